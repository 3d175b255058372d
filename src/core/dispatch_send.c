/**
 * @file dispatch_send.c
 * @brief Admission, queueing, choice of a server, start of an attempt.
 */
#include "core/dispatch_state.h"

/*
 * A suspect waits this long for one of the servers that this VM may send it to
 * in a round; then the next round begins.
 */
#define SUSPECT_ROUND_MS 500
/* Defaults for values that the configuration does not set. */
#define DEFAULT_QUEUE_LIMIT 256
#define DEFAULT_SLOTS 32

static bool can_meet_deadline(const jj_entry_t *, uint32_t, jj_ms_t);
static void
pump_suspects(jj_dispatch_t *, jj_service_queue_t *, jj_ms_t, jj_actions_t *);
static bool send_online(jj_dispatch_t *, jj_entry_t *, jj_ms_t, jj_actions_t *);
static jj_server_view_t *choose_server(jj_dispatch_t *, jj_entry_t *, jj_ms_t);
static void start_attempt(
    jj_dispatch_t *, jj_entry_t *, jj_server_view_t *, jj_ms_t, jj_actions_t *);

void
jj_dispatch_begin_online(
    jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service = entry->service;
	uint32_t limit = service->settings.queue_limit;
	uint64_t request = entry->request.request;
	jj_entry_t *victim;

	jj_retry_budget_note_first(&service->budget, now);
	jj_service_queue_add(service, entry, false, now);
	jj_dispatch_pump(dispatch, service, now, out);
	entry = jj_dispatch_find_entry(dispatch, request);
	if (entry == NULL || entry->state == JJ_ENTRY_IN_FLIGHT)
		return;
	if (!jj_dispatch_has_server_up(service)) {
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_NO_SERVER, now, out);
		return;
	}
	if (!can_meet_deadline(entry, entry->team->queued, now)) {
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_DEADLINE, now, out);
		return;
	}
	if (limit == 0)
		limit = DEFAULT_QUEUE_LIMIT;
	if (service->queued <= limit)
		return;
	victim = jj_service_queue_overflow(service);
	if (victim != NULL)
		jj_dispatch_give_up(
		    dispatch, victim, JJ_FAILURE_OVERLOADED, now, out);
}

/*
 * Batch items are never queued here: an item that does not fit now is refused.
 */
void
jj_dispatch_begin_batch(
    jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now, jj_actions_t *out)
{
	jj_headroom_use_t use =
	    jj_dispatch_headroom_use(dispatch, entry->service);
	jj_server_need_t need = {0};
	jj_server_view_t *view;

	need.request = &entry->request;
	need.suspect = entry->suspect;
	view =
	    jj_server_choose_batch(&entry->service->servers, &need, &use, now);
	if (view == NULL ||
	    !jj_fleet_takes_work(dispatch->fleet, &view->name, now)) {
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_OVERLOADED, now, out);
		return;
	}
	use = jj_server_view_use(view, &use);
	jj_headroom_note_start(&view->headroom, &use, now);
	start_attempt(dispatch, entry, view, now, out);
}

bool
jj_dispatch_has_server_up(const jj_service_queue_t *service)
{
	const jj_server_view_t *view;

	TAILQ_FOREACH(view, &service->servers, link)
	{
		/*
		 * A server in its cool-down becomes available soon, so waiting
		 * is worthwhile.
		 */
		if (view->listed && view->up)
			return true;
	}
	return false;
}

void
jj_dispatch_pump(jj_dispatch_t *dispatch, jj_service_queue_t *service,
    jj_ms_t now, jj_actions_t *out)
{
	jj_team_queue_t *team;

	pump_suspects(dispatch, service, now, out);
	while ((team = jj_service_queue_next(service)) != NULL) {
		if (!send_online(
			dispatch, TAILQ_FIRST(&team->entries), now, out))
			break;
	}
}

void
jj_dispatch_release_slot(jj_dispatch_t *dispatch, jj_entry_t *entry)
{
	jj_server_view_t *view = entry->server;

	if (entry->team != NULL) {
		entry->team->in_flight--;
		entry->service->in_flight--;
		view->online--;
	} else
		view->batch--;
	if (entry->suspect)
		view->suspects--;
	entry->server = NULL;
	entry->state = JJ_ENTRY_IDLE;
	dispatch->loads_reported = false;
}

/*
 * False when even a fast answer would miss the deadline from this queue
 * position.
 */
static bool
can_meet_deadline(const jj_entry_t *entry, uint32_t position, jj_ms_t now)
{
	jj_ms_t wait =
	    jj_service_queue_wait(entry->service, entry->team, position, now);

	if (wait == JJ_MS_NEVER)
		wait = 0;
	return now + wait + (jj_ms_t)entry->service->fast_answer_ms <=
	    entry->request.deadline_ms;
}

static void
pump_suspects(jj_dispatch_t *dispatch, jj_service_queue_t *service, jj_ms_t now,
    jj_actions_t *out)
{
	jj_entry_t *entry;
	jj_entry_t *next;

	for (entry = TAILQ_FIRST(&service->suspects); entry != NULL;
	     entry = next) {
		next = TAILQ_NEXT(entry, link);
		(void)send_online(dispatch, entry, now, out);
	}
}

/*
 * Returns false when the request stays queued; true when it was sent, abandoned
 * or moved to the suspects.
 */
static bool
send_online(
    jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service = entry->service;
	jj_quarantine_verdict_t verdict =
	    jj_dispatch_check_content(dispatch, &entry->request, now);
	jj_server_view_t *view;

	/* A neighbour's crash report may have arrived while it was queued. */
	if (verdict == JJ_QUARANTINE_REFUSED) {
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_QUARANTINED, now, out);
		return true;
	}
	if (verdict == JJ_QUARANTINE_SUSPECT && !entry->suspect) {
		jj_service_queue_remove(service, entry);
		jj_dispatch_mark_suspect(entry, now);
		jj_service_queue_add(service, entry, false, now);
		return true;
	}
	if (now < entry->deferred_until_ms)
		return false;
	view = choose_server(dispatch, entry, now);
	if (view == NULL)
		return false;
	jj_service_queue_remove(service, entry);
	jj_service_queue_charge(service, entry);
	start_attempt(dispatch, entry, view, now, out);
	return true;
}

static jj_server_view_t *
choose_server(jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now)
{
	jj_service_queue_t *service = entry->service;
	jj_member_info_t infos[VMS_MAX];
	jj_server_need_t need = {0};
	jj_server_view_t *view;

	need.request = &entry->request;
	need.suspect = entry->suspect;
	need.salt = dispatch->settings.seed ^ entry->request.request;
	need.online_max = service->settings.server_slots;
	if (need.online_max == 0)
		need.online_max = DEFAULT_SLOTS;
	need.online_share =
	    (uint32_t)(((int64_t)need.online_max + dispatch->live_vms - 1) /
		dispatch->live_vms);
	if (!jj_name_is_empty(&entry->avoid))
		need.avoid = &entry->avoid;
	if (entry->suspect) {
		need.round =
		    (uint32_t)((now - entry->queued_ms) / SUSPECT_ROUND_MS);
		need.self = &dispatch->settings.name;
		need.vms = infos;
		need.vm_count = jj_member_list(dispatch->member,
		    &dispatch->settings.domain, infos, VMS_MAX);
	}
	/*
	 * Another VM may have reported the server's state since the view was
	 * refreshed, so the fleet is checked again.
	 */
	while ((view = jj_server_choose_online(
		    &service->servers, &need, now)) != NULL) {
		if (jj_fleet_takes_work(dispatch->fleet, &view->name, now))
			return view;
		view->up = false;
	}
	return NULL;
}

static void
start_attempt(jj_dispatch_t *dispatch, jj_entry_t *entry,
    jj_server_view_t *view, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_BACKEND_START);

	entry->state = JJ_ENTRY_IN_FLIGHT;
	entry->server = view;
	entry->attempt++;
	entry->tokens = 0;
	entry->resuming = false;
	entry->sent_ms = now;
	entry->token_ms = 0;
	if (entry->team != NULL) {
		entry->team->in_flight++;
		entry->service->in_flight++;
		view->online++;
	} else
		view->batch++;
	if (entry->suspect)
		view->suspects++;
	jj_server_view_add_prefix(view, &entry->request);
	action->body.start.request = entry->request.request;
	action->body.start.attempt = entry->attempt;
	action->body.start.server = view->name;
	dispatch->loads_reported = false;
}
