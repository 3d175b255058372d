/**
 * @file dispatch_refresh.c
 * @brief Periodic work: services, deadlines, headroom, withdrawal of batch
 * items.
 */
#include "core/dispatch_state.h"

/* Interval at which the views of servers and neighbours are refreshed. */
#define REFRESH_MS 100
/*
 * Interval at which the headroom of other domains' servers is adjusted: this VM
 * runs no batch items there that would have to be withdrawn, and they are two
 * thousand.
 */
#define REMOTE_ADJUST_MS 500
/* After a withdrawal a server gets no batch items for this time. */
#define WITHDRAW_PAUSE_MS 60
/* Minimum interval between log entries about a server's limit. */
#define LIMIT_LOG_MS 1000

static void refresh_services(jj_dispatch_t *);
static void log_limit(
    jj_server_view_t *, const jj_headroom_use_t *, jj_ms_t, jj_actions_t *);
static void withdraw_excess(jj_dispatch_t *, jj_service_queue_t *,
    jj_server_view_t *, jj_ms_t, jj_actions_t *);
static jj_entry_t *
choose_victim(const jj_dispatch_t *, const jj_server_view_t *);

void
jj_dispatch_refresh(jj_dispatch_t *dispatch, jj_ms_t now)
{
	jj_member_info_t infos[VMS_MAX];
	jj_service_queue_t *service;
	size_t vms;

	/*
	 * A new configuration takes effect at once: a request for a service
	 * that it adds must not be answered with "no such service".
	 */
	if (now < dispatch->refresh_ms &&
	    dispatch->config_version == jj_config_version(dispatch->config))
		return;
	if (dispatch->config_version != jj_config_version(dispatch->config))
		dispatch->views_stale = true;
	dispatch->config_version = jj_config_version(dispatch->config);
	dispatch->refresh_ms = now + REFRESH_MS;
	vms = jj_member_list(
	    dispatch->member, &dispatch->settings.domain, infos, VMS_MAX);
	if ((int64_t)vms > dispatch->live_vms)
		jj_dispatch_reset_reported(dispatch);
	dispatch->live_vms = vms > 0 ? (int64_t)vms : 1;
	refresh_services(dispatch);
	jj_dispatch_refresh_views(dispatch, infos, vms, now);
	TAILQ_FOREACH(service, &dispatch->services, link)
	jj_service_queue_sweep(service);
}

/*
 * A queued request that can no longer meet its deadline is answered now, while
 * its caller can still react. A request in flight of which the caller has
 * received nothing is stopped when its deadline passes.
 */
void
jj_dispatch_check_deadlines(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_entry_t *entry;
	jj_entry_t *next;
	jj_ms_t deadline;

	for (entry = TAILQ_FIRST(&dispatch->entries); entry != NULL;
	     entry = next) {
		next = TAILQ_NEXT(entry, all_link);
		/* A batch item is still run after its job's due time. */
		if (entry->team == NULL)
			continue;
		deadline = entry->request.deadline_ms;
		if (entry->state == JJ_ENTRY_QUEUED)
			deadline -= (jj_ms_t)entry->service->fast_answer_ms;
		else if (entry->relayed)
			continue;
		if (now > deadline)
			jj_dispatch_give_up(
			    dispatch, entry, JJ_FAILURE_DEADLINE, now, out);
	}
}

void
jj_dispatch_adjust_headroom(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;
	jj_headroom_use_t base;
	jj_headroom_use_t use;
	bool remote_due = now >= dispatch->remote_adjust_ms;

	if (remote_due)
		dispatch->remote_adjust_ms = now + REMOTE_ADJUST_MS;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		base = jj_dispatch_headroom_use(dispatch, service);
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local && !remote_due)
				break;
			use = jj_server_view_use(view, &base);
			jj_headroom_adjust(&view->headroom, &use, now);
			log_limit(view, &use, now, out);
			withdraw_excess(dispatch, service, view, now, out);
		}
	}
}

static void
refresh_services(jj_dispatch_t *dispatch)
{
	jj_service_queue_t *service;
	const jj_service_t *settings;
	size_t count;
	size_t i;

	settings = jj_config_services(dispatch->config, &count);
	for (i = 0; i < count; i++) {
		service =
		    jj_dispatch_find_service(dispatch, settings[i].name.text);
		if (service != NULL) {
			service->settings = settings[i];
			continue;
		}
		service = jj_service_queue_create(&settings[i],
		    dispatch->settings.retry_share,
		    dispatch->settings.retry_floor);
		TAILQ_INSERT_TAIL(&dispatch->services, service, link);
	}
}

/*
 * A limit that is too low shows only as a job that makes no progress. So the
 * steward logs each change of a limit and its cause.
 */
static void
log_limit(jj_server_view_t *view, const jj_headroom_use_t *use, jj_ms_t now,
    jj_actions_t *out)
{
	static const char *const bounds[] = {"none", "report", "gaps"};
	const jj_headroom_t *headroom = &view->headroom;
	uint32_t limit = (uint32_t)headroom->limit;

	if (!view->steward || limit == view->logged_limit ||
	    now < view->limit_logged_ms + LIMIT_LOG_MS)
		return;
	jj_actions_add_event(out, "batch_limit",
	    "server=%s limit=%u was=%u lowered_by=%s ran=%u online=%u batch=%u "
	    "gap_us=%.0f base_gap_us=%.0f",
	    view->name.text, limit, view->logged_limit, bounds[headroom->bound],
	    headroom->bound_running, use->online, use->batch, headroom->gap_us,
	    headroom->base_gap_us);
	view->logged_limit = limit;
	view->limit_logged_ms = now;
}

/* Cancels batch items above the limit when online load has risen. */
static void
withdraw_excess(jj_dispatch_t *dispatch, jj_service_queue_t *service,
    jj_server_view_t *view, jj_ms_t now, jj_actions_t *out)
{
	jj_headroom_use_t use = jj_dispatch_headroom_use(dispatch, service);
	jj_entry_t *victim;
	uint32_t excess;

	use = jj_server_view_use(view, &use);
	excess = jj_headroom_excess(&view->headroom, &use);
	if (excess == 0)
		return;
	view->headroom.next_batch_ms = now + WITHDRAW_PAUSE_MS;
	for (; excess > 0; excess--) {
		victim = choose_victim(dispatch, view);
		if (victim == NULL)
			return;
		jj_dispatch_give_up(
		    dispatch, victim, JJ_FAILURE_OVERLOADED, now, out);
	}
}

/* The batch item whose loss costs least work: fewest tokens, newest first. */
static jj_entry_t *
choose_victim(const jj_dispatch_t *dispatch, const jj_server_view_t *view)
{
	jj_entry_t *entry;
	jj_entry_t *victim = NULL;

	if (view->batch == 0)
		return NULL;
	TAILQ_FOREACH(entry, &dispatch->entries, all_link)
	{
		/*
		 * A non-idempotent item cannot be retried: cancelled, it would
		 * never get a result.
		 */
		if (entry->server != view || entry->team != NULL ||
		    !entry->request.idempotent)
			continue;
		if (victim == NULL || entry->tokens <= victim->tokens)
			victim = entry;
	}
	return victim;
}
