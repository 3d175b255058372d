/**
 * @file dispatch.c
 * @brief Life cycle of a request from its acceptance to its end.
 *
 * A request is queued, in flight at one server, or gone. A request that is
 * abandoned is answered in the same step: an answer delayed until the deadline
 * would hide the overload from the caller.
 */
#include <stdlib.h>
#include <string.h>

#include "core/dispatch_state.h"

/* Interval at which queues, deadlines and headroom are processed. */
#define TICK_MS 20
/* Interval at which the views of servers and neighbours are refreshed. */
#define REFRESH_MS 100
#define DEFAULT_BATCH_MOST 256

static jj_entry_t *
add_entry(jj_dispatch_t *, const jj_request_t *, jj_service_queue_t *);
static void note_first_token(jj_entry_t *, jj_ms_t);
static void note_tokens(jj_entry_t *, uint32_t, jj_ms_t);
static void finish(jj_dispatch_t *, jj_entry_t *, bool, jj_ms_t);

jj_dispatch_t *
jj_dispatch_create(const jj_dispatch_settings_t *settings,
    const jj_config_t *config, jj_fleet_t *fleet, const jj_member_t *member,
    jj_quarantine_t *quarantine)
{
	jj_dispatch_t *dispatch = jj_alloc(sizeof(*dispatch));
	size_t i;

	dispatch->settings = *settings;
	if (dispatch->settings.batch_most == 0)
		dispatch->settings.batch_most = DEFAULT_BATCH_MOST;
	dispatch->config = config;
	dispatch->fleet = fleet;
	dispatch->member = member;
	dispatch->quarantine = quarantine;
	dispatch->random = settings->seed;
	dispatch->loads_reported = true;
	TAILQ_INIT(&dispatch->services);
	TAILQ_INIT(&dispatch->entries);
	for (i = 0; i < BUCKETS; i++)
		LIST_INIT(&dispatch->buckets[i]);
	for (i = 0; i < VIEW_BUCKETS; i++)
		LIST_INIT(&dispatch->view_buckets[i]);
	return dispatch;
}

void
jj_dispatch_destroy(jj_dispatch_t *dispatch)
{
	jj_service_queue_t *service;
	jj_entry_t *entry;

	if (dispatch == NULL)
		return;
	while ((entry = TAILQ_FIRST(&dispatch->entries)) != NULL) {
		TAILQ_REMOVE(&dispatch->entries, entry, all_link);
		free(entry);
	}
	while ((service = TAILQ_FIRST(&dispatch->services)) != NULL) {
		TAILQ_REMOVE(&dispatch->services, service, link);
		jj_service_queue_destroy(service);
	}
	free(dispatch);
}

void
jj_dispatch_begin(jj_dispatch_t *dispatch, const jj_request_t *request,
    jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service;
	jj_quarantine_verdict_t verdict;
	jj_entry_t *entry;

	jj_dispatch_refresh(dispatch, now);
	service = jj_dispatch_find_service(dispatch, request->service.text);
	verdict = jj_dispatch_check_content(dispatch, request, now);
	if (dispatch->leaving)
		jj_dispatch_refuse(
		    dispatch, request, JJ_FAILURE_STOPPING, now, out);
	else if (jj_config_version(dispatch->config) == 0)
		jj_dispatch_refuse(
		    dispatch, request, JJ_FAILURE_NO_CONFIG, now, out);
	else if (service == NULL)
		jj_dispatch_refuse(
		    dispatch, request, JJ_FAILURE_NO_SERVICE, now, out);
	else if (request->class_of == JJ_CLASS_ONLINE &&
	    request->deadline_ms <= now)
		jj_dispatch_refuse(
		    dispatch, request, JJ_FAILURE_DEADLINE, now, out);
	else if (verdict == JJ_QUARANTINE_REFUSED)
		jj_dispatch_refuse(
		    dispatch, request, JJ_FAILURE_QUARANTINED, now, out);
	else {
		entry = add_entry(dispatch, request, service);
		if (verdict == JJ_QUARANTINE_SUSPECT)
			jj_dispatch_mark_suspect(entry, now);
		if (request->class_of == JJ_CLASS_BATCH)
			jj_dispatch_begin_batch(dispatch, entry, now, out);
		else
			jj_dispatch_begin_online(dispatch, entry, now, out);
		jj_dispatch_report_loads(dispatch, now, out);
	}
}

jj_quarantine_verdict_t
jj_dispatch_check_content(
    const jj_dispatch_t *dispatch, const jj_request_t *request, jj_ms_t now)
{
	jj_quarantine_verdict_t verdict = jj_quarantine_check(
	    dispatch->quarantine, request->fingerprint, now);

	return request->class_of == JJ_CLASS_BATCH &&
		verdict == JJ_QUARANTINE_REFUSED
	    ? JJ_QUARANTINE_SUSPECT
	    : verdict;
}

void
jj_dispatch_take_event(jj_dispatch_t *dispatch, const jj_backend_event_t *event,
    jj_ms_t now, jj_actions_t *out)
{
	jj_entry_t *entry = jj_dispatch_find_entry(dispatch, event->request);
	jj_service_queue_t *service;

	/*
	 * A late answer of an earlier attempt must not end a newer one
	 * (story 18): only events of the newest attempt count, and only while
	 * it is in flight.
	 */
	if (entry == NULL || entry->state != JJ_ENTRY_IN_FLIGHT ||
	    entry->attempt != event->attempt)
		return;
	service = entry->service;
	entry->relayed |= event->relayed;
	switch (event->kind) {
	case JJ_BACKEND_FIRST:
		note_first_token(entry, now);
		return;
	case JJ_BACKEND_TOKENS:
		note_tokens(entry, event->tokens, now);
		return;
	case JJ_BACKEND_DONE:
		finish(dispatch, entry, true, now);
		break;
	case JJ_BACKEND_REJECTED:
		if (entry->resuming)
			jj_dispatch_take_failure(
			    dispatch, entry, event, now, out);
		else
			finish(dispatch, entry, false, now);
		break;
	case JJ_BACKEND_CANCELLED:
		jj_dispatch_release_slot(dispatch, entry);
		entry->may_have_run = true;
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_CANCELLED, now, out);
		break;
	default:
		jj_dispatch_take_failure(dispatch, entry, event, now, out);
		break;
	}
	jj_dispatch_pump(dispatch, service, now, out);
	jj_dispatch_report_loads(dispatch, now, out);
}

void
jj_dispatch_cancel(
    jj_dispatch_t *dispatch, uint64_t request, jj_ms_t now, jj_actions_t *out)
{
	jj_entry_t *entry = jj_dispatch_find_entry(dispatch, request);
	jj_service_queue_t *service;

	if (entry == NULL)
		return;
	service = entry->service;
	jj_dispatch_give_up(dispatch, entry, JJ_FAILURE_CANCELLED, now, out);
	jj_dispatch_pump(dispatch, service, now, out);
	jj_dispatch_report_loads(dispatch, now, out);
}

/*
 * A request that crashes each server it runs on is sent to the next one by its
 * retries (story 27). All requests in flight at the server are suspects: the
 * quarantine counts the crash once against each, and from then on a server runs
 * one suspect at a time.
 */
void
jj_dispatch_take_crash(jj_dispatch_t *dispatch, const jj_name_t *server,
    uint64_t boot, jj_ms_t now, jj_actions_t *out)
{
	uint64_t suspects[JJ_MESSAGE_SUSPECTS_MAX * 8];
	jj_backend_event_t broken = {.kind = JJ_BACKEND_BROKEN};
	jj_service_queue_t *service;
	jj_server_view_t *view =
	    jj_dispatch_find_view(dispatch, server, &service);
	jj_entry_t *entry;
	jj_entry_t *next;
	uint32_t count;
	bool changed;

	jj_fleet_note_state(
	    dispatch->fleet, server, JJ_SERVER_DOWN, boot, now, out, &changed);
	if (view == NULL)
		return;
	view->up = false;
	count = jj_dispatch_gather_suspects(dispatch, view, now, suspects,
	    sizeof(suspects) / sizeof(suspects[0]));
	jj_dispatch_report_crash(
	    dispatch, view, boot, suspects, count, now, out);
	view->broken_count = 0;
	jj_dispatch_end_probe_wait(dispatch, view, true, now);
	for (entry = TAILQ_FIRST(&dispatch->entries); entry != NULL;
	     entry = next) {
		next = TAILQ_NEXT(entry, all_link);
		if (entry->state == JJ_ENTRY_IN_FLIGHT && entry->server == view)
			jj_dispatch_take_failure(
			    dispatch, entry, &broken, now, out);
	}
	jj_dispatch_pump(dispatch, service, now, out);
	jj_dispatch_report_loads(dispatch, now, out);
}

void
jj_dispatch_note_alive(jj_dispatch_t *dispatch, const jj_name_t *server,
    jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service;
	jj_server_view_t *view =
	    jj_dispatch_find_view(dispatch, server, &service);

	if (view == NULL || !view->probe_awaited)
		return;
	jj_dispatch_end_probe_wait(dispatch, view, false, now);
	jj_dispatch_pump(dispatch, service, now, out);
}

void
jj_dispatch_take_loads(jj_dispatch_t *dispatch, const jj_name_t *from,
    const jj_load_t *loads, uint32_t count, jj_ms_t now)
{
	jj_server_view_t *view;
	uint32_t i;

	if (jj_name_equal(from, &dispatch->settings.name))
		return;
	/* Loads of a VM that is leaving count only until the next refresh. */
	if (!jj_member_is_live(dispatch->member, from))
		dispatch->views_stale = true;
	for (i = 0; i < count; i++) {
		view = jj_dispatch_find_hash(dispatch, loads[i].server);
		if (view != NULL)
			jj_server_view_take_load(view, from, &loads[i]);
	}
	/* Batch items must be cancelled now, not at the next tick. */
	dispatch->next_ms = now;
}

void
jj_dispatch_take_report(jj_dispatch_t *dispatch, const jj_name_t *server,
    uint32_t running, uint32_t waiting, jj_ms_t age_ms, jj_ms_t now)
{
	jj_service_queue_t *service;
	jj_server_view_t *view =
	    jj_dispatch_find_view(dispatch, server, &service);

	/* An old report says nothing about the current load. */
	if (view != NULL && (waiting == 0 || age_ms <= REFRESH_MS))
		jj_headroom_note_report(
		    &view->headroom, running, waiting, now - age_ms);
}

void
jj_dispatch_take_cache_event(jj_dispatch_t *dispatch, const jj_name_t *server,
    uint64_t prefix, bool added)
{
	jj_service_queue_t *service;
	jj_server_view_t *view =
	    jj_dispatch_find_view(dispatch, server, &service);

	if (view != NULL)
		jj_server_view_note_prefix(view, prefix, added);
}

void
jj_dispatch_tick(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service;

	dispatch->next_ms = now + TICK_MS;
	jj_dispatch_refresh(dispatch, now);
	jj_dispatch_check_deadlines(dispatch, now, out);
	jj_dispatch_adjust_headroom(dispatch, now, out);
	TAILQ_FOREACH(service, &dispatch->services, link)
	jj_dispatch_pump(dispatch, service, now, out);
	jj_dispatch_report_loads(dispatch, now, out);
}

jj_ms_t
jj_dispatch_next(const jj_dispatch_t *dispatch)
{
	return dispatch->next_ms;
}

uint32_t
jj_dispatch_batch_capacity(const jj_dispatch_t *dispatch, jj_ms_t now)
{
	const jj_service_queue_t *service;
	uint32_t capacity = 0;

	TAILQ_FOREACH(service, &dispatch->services, link)
	capacity += jj_dispatch_service_capacity(dispatch, &service->name, now);
	return capacity;
}

bool
jj_dispatch_has_share(
    const jj_dispatch_t *dispatch, const jj_name_t *name, jj_ms_t now)
{
	const jj_service_queue_t *service;
	const jj_server_view_t *view;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		if (!jj_name_equal(&service->name, name))
			continue;
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local)
				break;
			if (view->steward && jj_server_view_is_up(view, now))
				return true;
		}
	}
	return false;
}

uint32_t
jj_dispatch_shares(const jj_dispatch_t *dispatch, jj_batch_share_t *shares,
    uint32_t max_count, jj_ms_t now)
{
	const jj_service_queue_t *service;
	const jj_server_view_t *view;
	uint32_t count = 0;
	uint32_t running;
	bool steward;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		running = 0;
		steward = false;
		TAILQ_FOREACH(view, &service->servers, link)
		{
			steward |=
			    view->steward && jj_server_view_is_up(view, now);
			running += view->batch;
		}
		if (!steward || count == max_count || dispatch->leaving)
			continue;
		shares[count].service = service->name;
		shares[count].limit = running +
		    jj_dispatch_service_capacity(dispatch, &service->name, now);
		count++;
	}
	return count;
}

uint32_t
jj_dispatch_service_capacity(
    const jj_dispatch_t *dispatch, const jj_name_t *name, jj_ms_t now)
{
	const jj_service_queue_t *service;
	const jj_server_view_t *view;
	jj_headroom_use_t base;
	jj_headroom_use_t use;
	uint32_t capacity = 0;

	if (dispatch->leaving)
		return 0;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		if (!jj_name_equal(&service->name, name))
			continue;
		base = jj_dispatch_headroom_use(dispatch, service);
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local)
				break;
			if (!view->steward || !jj_server_view_is_up(view, now))
				continue;
			use = jj_server_view_use(view, &base);
			capacity +=
			    jj_headroom_free_slots(&view->headroom, &use, now);
		}
	}
	return capacity;
}

void
jj_dispatch_drain(jj_dispatch_t *dispatch)
{
	dispatch->leaving = true;
}

uint32_t
jj_dispatch_in_flight(const jj_dispatch_t *dispatch, jj_class_t class_of)
{
	return dispatch->counts[class_of];
}

jj_entry_t *
jj_dispatch_find_entry(const jj_dispatch_t *dispatch, uint64_t request)
{
	jj_entry_t *entry;

	LIST_FOREACH(entry, &dispatch->buckets[request % BUCKETS], bucket_link)
	{
		if (entry->request.request == request)
			return entry;
	}
	return NULL;
}

/* The entry must be neither queued nor in flight. */
void
jj_dispatch_free_entry(jj_dispatch_t *dispatch, jj_entry_t *entry)
{
	LIST_REMOVE(entry, bucket_link);
	TAILQ_REMOVE(&dispatch->entries, entry, all_link);
	dispatch->counts[entry->request.class_of]--;
	if (entry->team != NULL)
		entry->team->users--;
	free(entry);
}

jj_service_queue_t *
jj_dispatch_find_service(jj_dispatch_t *dispatch, const char *name)
{
	jj_service_queue_t *service;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		if (strcmp(service->name.text, name) == 0)
			return service;
	}
	return NULL;
}

jj_headroom_use_t
jj_dispatch_headroom_use(
    const jj_dispatch_t *dispatch, const jj_service_queue_t *service)
{
	jj_headroom_use_t use = {0};

	use.slots = service->settings.server_slots;
	use.trade = service->settings.trade;
	use.batch_max = dispatch->settings.batch_most;
	return use;
}

static jj_entry_t *
add_entry(jj_dispatch_t *dispatch, const jj_request_t *request,
    jj_service_queue_t *service)
{
	jj_entry_t *entry = jj_alloc(sizeof(*entry));
	jj_team_t team;

	entry->request = *request;
	entry->service = service;
	if (request->class_of == JJ_CLASS_ONLINE) {
		team = jj_config_team(dispatch->config, request->team.text);
		team.name = request->team;
		entry->team = jj_service_queue_team(service, &team);
		entry->team->users++;
	}
	LIST_INSERT_HEAD(
	    &dispatch->buckets[request->request % BUCKETS], entry, bucket_link);
	TAILQ_INSERT_TAIL(&dispatch->entries, entry, all_link);
	dispatch->counts[request->class_of]++;
	return entry;
}

static void
note_first_token(jj_entry_t *entry, jj_ms_t now)
{
	entry->may_have_run = true;
	entry->token_ms = now;
	entry->tokens++;
	if (entry->team == NULL && !entry->resuming)
		jj_headroom_add_first_token(
		    &entry->server->headroom, now - entry->sent_ms);
}

static void
note_tokens(jj_entry_t *entry, uint32_t tokens, jj_ms_t now)
{
	if (tokens == 0)
		return;
	if (entry->token_ms > 0)
		jj_headroom_add_gap(&entry->server->headroom,
		    (uint32_t)((now - entry->token_ms) * 1000 / tokens));
	entry->token_ms = now;
	entry->tokens += tokens;
}

static void
finish(jj_dispatch_t *dispatch, jj_entry_t *entry, bool done, jj_ms_t now)
{
	jj_server_view_note_outcome(entry->server, false);
	/* It completed without a crash: it is no longer a suspect. */
	if (entry->suspect && done)
		jj_quarantine_clear(
		    dispatch->quarantine, entry->request.fingerprint);
	if (entry->team != NULL && done)
		jj_service_queue_note_finished(
		    entry->service, now - entry->sent_ms, now);
	jj_dispatch_release_slot(dispatch, entry);
	jj_dispatch_free_entry(dispatch, entry);
}
