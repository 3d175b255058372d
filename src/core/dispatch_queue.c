/**
 * @file dispatch_queue.c
 * @brief Team queues, the order among them, and their drain rate.
 */
#include <stdlib.h>

#include "core/dispatch_queue.h"

#define DRAIN_WINDOW_MS 2000
/* Prompt tokens that cost a server as much as one output token. */
#define PROMPT_TOKENS_PER_OUTPUT 100.0
/*
 * Share by which the fast answer time follows slower answers; it takes faster
 * ones over at once.
 */
#define FAST_ANSWER_RISE 0.02
/* Weight of the newest answer in the mean answer time. */
#define MEAN_WEIGHT 0.05

static double drain_rate(jj_service_queue_t *, jj_ms_t);
static double cost_of(const jj_request_t *);
static double
waiting_weight(const jj_service_queue_t *, const jj_team_queue_t *);

jj_service_queue_t *
jj_service_queue_create(
    const jj_service_t *settings, double retry_share, uint32_t retry_floor)
{
	jj_service_queue_t *service = jj_alloc(sizeof(*service));

	service->name = settings->name;
	service->settings = *settings;
	TAILQ_INIT(&service->servers);
	TAILQ_INIT(&service->teams);
	TAILQ_INIT(&service->suspects);
	jj_retry_budget_reset(&service->budget, retry_share, retry_floor);
	jj_window_reset(&service->finished, DRAIN_WINDOW_MS);
	return service;
}

void
jj_service_queue_destroy(jj_service_queue_t *service)
{
	jj_team_queue_t *team;
	jj_server_view_t *view;

	while ((team = TAILQ_FIRST(&service->teams)) != NULL) {
		TAILQ_REMOVE(&service->teams, team, link);
		free(team);
	}
	while ((view = TAILQ_FIRST(&service->servers)) != NULL) {
		TAILQ_REMOVE(&service->servers, view, link);
		jj_server_view_destroy(view);
	}
	free(service);
}

jj_team_queue_t *
jj_service_queue_team(jj_service_queue_t *service, const jj_team_t *team)
{
	jj_team_queue_t *queue;

	TAILQ_FOREACH(queue, &service->teams, link)
	{
		if (jj_name_equal(&queue->name, &team->name))
			break;
	}
	if (queue == NULL) {
		queue = jj_alloc(sizeof(*queue));
		queue->name = team->name;
		queue->virtual_time = service->virtual_time;
		TAILQ_INIT(&queue->entries);
		TAILQ_INSERT_TAIL(&service->teams, queue, link);
	}
	queue->weight = team->weight > 0 ? team->weight : 1;
	queue->in_flight_max = team->in_flight;
	return queue;
}

void
jj_service_queue_sweep(jj_service_queue_t *service)
{
	bool idle = service->queued == 0 && service->in_flight == 0;
	jj_team_queue_t *team;
	jj_team_queue_t *next;

	for (team = TAILQ_FIRST(&service->teams); team != NULL; team = next) {
		next = TAILQ_NEXT(team, link);
		/*
		 * A team that is ahead of the others stays, as its use would be
		 * forgotten otherwise.
		 */
		if (team->users > 0 ||
		    (!idle && team->virtual_time > service->virtual_time))
			continue;
		TAILQ_REMOVE(&service->teams, team, link);
		free(team);
	}
	if (TAILQ_EMPTY(&service->teams))
		service->virtual_time = 0;
}

void
jj_service_queue_add(
    jj_service_queue_t *service, jj_entry_t *entry, bool at_head, jj_ms_t now)
{
	jj_team_queue_t *team = entry->team;

	entry->state = JJ_ENTRY_QUEUED;
	entry->queued_ms = now;
	/*
	 * Suspects wait for a server that runs no other suspect; in a list of
	 * their own they do not block their team's queue.
	 */
	if (entry->suspect) {
		TAILQ_INSERT_TAIL(&service->suspects, entry, link);
		return;
	}
	/* A team does not accumulate credit while it is idle. */
	if (team->queued == 0 && team->virtual_time < service->virtual_time)
		team->virtual_time = service->virtual_time;
	if (service->queued == 0)
		service->busy_since_ms = now;
	if (at_head)
		TAILQ_INSERT_HEAD(&team->entries, entry, link);
	else
		TAILQ_INSERT_TAIL(&team->entries, entry, link);
	team->queued++;
	service->queued++;
}

void
jj_service_queue_remove(jj_service_queue_t *service, jj_entry_t *entry)
{
	entry->state = JJ_ENTRY_IDLE;
	if (entry->suspect) {
		TAILQ_REMOVE(&service->suspects, entry, link);
		return;
	}
	TAILQ_REMOVE(&entry->team->entries, entry, link);
	entry->team->queued--;
	service->queued--;
	if (service->queued == 0)
		service->busy_since_ms = 0;
}

jj_team_queue_t *
jj_service_queue_next(const jj_service_queue_t *service)
{
	jj_team_queue_t *team;
	jj_team_queue_t *best = NULL;

	TAILQ_FOREACH(team, &service->teams, link)
	{
		if (team->queued == 0 ||
		    (team->in_flight_max > 0 &&
			team->in_flight >= team->in_flight_max))
			continue;
		if (best == NULL || team->virtual_time < best->virtual_time)
			best = team;
	}
	return best;
}

void
jj_service_queue_charge(jj_service_queue_t *service, const jj_entry_t *entry)
{
	jj_team_queue_t *team = entry->team;

	if (team->virtual_time > service->virtual_time)
		service->virtual_time = team->virtual_time;
	team->virtual_time += cost_of(&entry->request) / team->weight;
}

/*
 * The newest request of the team with the longest queue for its weight: a team
 * that sends too much loses its own requests, not those of the others.
 */
jj_entry_t *
jj_service_queue_overflow(const jj_service_queue_t *service)
{
	jj_team_queue_t *team;
	jj_team_queue_t *longest = NULL;

	TAILQ_FOREACH(team, &service->teams, link)
	{
		if (team->queued > 0 &&
		    (longest == NULL ||
			team->queued / team->weight >
			    longest->queued / longest->weight))
			longest = team;
	}
	if (longest == NULL)
		return NULL;
	return TAILQ_LAST(&longest->entries, jj_entry_list);
}

void
jj_service_queue_note_finished(
    jj_service_queue_t *service, jj_ms_t took_ms, jj_ms_t now)
{
	double took = (double)took_ms;

	jj_window_add(&service->finished, 1, now);
	if (service->mean_ms <= 0)
		service->mean_ms = took;
	service->mean_ms += (took - service->mean_ms) * MEAN_WEIGHT;
	if (service->fast_answer_ms <= 0 || took < service->fast_answer_ms)
		service->fast_answer_ms = took;
	else
		service->fast_answer_ms +=
		    (took - service->fast_answer_ms) * FAST_ANSWER_RISE;
}

jj_ms_t
jj_service_queue_wait(jj_service_queue_t *service, const jj_team_queue_t *team,
    uint32_t position, jj_ms_t now)
{
	double rate = drain_rate(service, now);
	double ahead;

	if (position == 0)
		return 0;
	if (rate <= 0)
		return JJ_MS_NEVER;
	ahead = position * waiting_weight(service, team) / team->weight;
	if (ahead > service->queued)
		ahead = service->queued;
	return (jj_ms_t)(ahead / rate);
}

/*
 * Rate at which online requests leave the servers, per millisecond. When the
 * queue was never empty during the window, it is the number counted. Otherwise
 * the count only shows what arrived, so it is the number in flight divided by
 * the mean answer time.
 */
static double
drain_rate(jj_service_queue_t *service, jj_ms_t now)
{
	uint32_t count = jj_window_count(&service->finished, now);

	if (service->busy_since_ms > 0 &&
	    now - service->busy_since_ms >= DRAIN_WINDOW_MS)
		return (double)count / DRAIN_WINDOW_MS;
	return service->mean_ms > 0 ? service->in_flight / service->mean_ms : 0;
}

static double
cost_of(const jj_request_t *request)
{
	return 1 + request->output_tokens +
	    request->prompt_tokens / PROMPT_TOKENS_PER_OUTPUT;
}

/* Sum of the weights of this team and of all others with queued requests. */
static double
waiting_weight(const jj_service_queue_t *service, const jj_team_queue_t *own)
{
	const jj_team_queue_t *team;
	double weight = own->weight;

	TAILQ_FOREACH(team, &service->teams, link)
	{
		if (team != own && team->queued > 0)
			weight += team->weight;
	}
	return weight;
}
