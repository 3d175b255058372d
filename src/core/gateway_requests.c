/**
 * @file gateway_requests.c
 * @brief Callers' requests: sent to a server, retried where that is allowed,
 * ended.
 *
 * A request is sent again only when the attempt before certainly did not run,
 * or when its route allows to run it again or to resume it at another server. A
 * request that is abandoned is answered at once. The answer says "not run" only
 * if no attempt may have run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

/**
 * Data that a process sent before it ended is read within this time, ms: a VM
 * that was paused has full sockets, and reads them 25 ms after its timers.
 */
#define REPLACED_DRAIN_MS 200
/** A server without an event for so long may have crashed, ms. */
#define SILENT_MS 1000
/** Weight of a new sample in the moving average of a request's service time. */
#define MEAN_WEIGHT 0.05
/** Maximum parts of a prompt that one log line names. */
#define LOGGED_PARTS_MAX 7
/** Time until an item is sent again after a server refused what it asks, ms. */
#define MISMATCH_RETRY_MS 1000
/** Most time between two looks at an attempt that waits in a server, ms. */
#define CROWDED_CHECK_MS 100
/** Fields of a log line on how an answer ended, bytes. */
#define ANSWER_TEXT_SIZE 128

static bool
has_stalled(const jj_gateway_t *, const jj_gateway_entry_t *, jj_ms_t);
static void
note_if_silent(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t, jj_actions_t *);
static jj_gateway_entry_t *add_entry(
    jj_gateway_t *, const jj_gateway_request_t *, const jj_route_t *, jj_ms_t);
static jj_ms_t time_limit(const jj_gateway_request_t *, const jj_route_t *);
static void refuse(jj_gateway_t *, const jj_gateway_request_t *, jj_failure_t,
    jj_ms_t, jj_actions_t *);
static bool
check_entry(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t, jj_actions_t *);
static const jj_name_t *
server_to_avoid(const jj_gateway_t *, const jj_gateway_entry_t *);
static void
preempt_if_full(jj_gateway_t *, jj_slot_server_t *, jj_ms_t, jj_actions_t *);
static void
free_slot(jj_gateway_t *, jj_slot_server_t *, jj_ms_t, jj_actions_t *);
static bool waits_too_long(const jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t);
static jj_ms_t
wait_limit(const jj_gateway_t *, const jj_gateway_entry_t *, jj_ms_t);
static void
note_crowded(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t, jj_actions_t *);
static bool is_server_error(const jj_backend_event_t *, int);
static bool is_server_failure(int);
static void
note_service_time(jj_gateway_t *, const jj_gateway_entry_t *, jj_ms_t);
static void take_failure(jj_gateway_t *, jj_gateway_entry_t *,
    const jj_backend_event_t *, bool, jj_ms_t, jj_actions_t *);
static void take_progress(jj_gateway_t *, jj_gateway_entry_t *,
    const jj_backend_event_t *, jj_ms_t, jj_actions_t *);
static void take_end(jj_gateway_t *, jj_gateway_entry_t *,
    const jj_backend_event_t *, int, jj_bytes_t *, jj_ms_t, jj_actions_t *);
static void note_server(
    jj_gateway_t *, jj_gateway_entry_t *, const jj_backend_event_t *, jj_ms_t);
static void
withdraw_probe(jj_gateway_t *, const jj_gateway_entry_t *, jj_actions_t *);
static void take_unconfirmed(jj_gateway_t *, jj_gateway_entry_t *,
    const jj_backend_event_t *, jj_ms_t, jj_actions_t *);
static jj_ms_t item_pause(const jj_gateway_t *, jj_backend_kind_t, bool);
static void requeue_item(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t);
static void log_prompt(const jj_gateway_entry_t *, jj_actions_t *);
static void
retry(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t, jj_actions_t *);
static void
cancel_attempt(jj_gateway_t *, jj_gateway_entry_t *, jj_actions_t *);
static void log_end(const jj_gateway_entry_t *, const char *,
    const jj_backend_event_t *, jj_ms_t, jj_actions_t *);
static void describe_answer(const jj_backend_event_t *, char *, size_t);
static jj_ms_t
choose_retry_after_ms(jj_gateway_t *, jj_failure_t, const jj_prompt_t *);
static const char *name_of_kind(jj_backend_kind_t);

void
jj_gateway_begin(jj_gateway_t *gateway, const jj_gateway_request_t *request,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_route_t *route =
	    jj_routes_match(request->routes, request->host, request->path);
	jj_gateway_entry_t *entry;
	jj_failure_t reason;
	uint64_t charged_team;
	jj_ms_t retry_after_ms;

	gateway->now = now;
	gateway->out = out;
	if (route == NULL || route->kind == JJ_ROUTE_BATCH) {
		/* A newer configuration may have a route for it. */
		refuse(gateway, request,
		    jj_gateway_is_outdated(gateway, request->routes)
			? JJ_FAILURE_NO_CONFIG
			: JJ_FAILURE_NO_SERVICE,
		    0, out);
		return;
	}
	if (route->backend_count == 0) {
		refuse(gateway, request, JJ_FAILURE_NO_SERVER, 0, out);
		return;
	}
	if (gateway->leaving &&
	    now + time_limit(request, route) > gateway->stop_ms) {
		refuse(gateway, request, JJ_FAILURE_STOPPING,
		    JJ_GATEWAY_STOPPING_RETRY_MS, out);
		return;
	}
	reason = jj_gateway_check_request(
	    gateway, request->fingerprint, &request->prompt, false, now);
	if (reason != JJ_FAILURE_NONE) {
		refuse(gateway, request, reason, 0, out);
		return;
	}
	if (!jj_gateway_admit(
		gateway, request, now, &charged_team, &retry_after_ms, out)) {
		refuse(gateway, request, JJ_FAILURE_TEAM_LIMIT, retry_after_ms,
		    out);
		jj_gateway_step(gateway, now, out);
		return;
	}
	entry = add_entry(gateway, request, route, now);
	entry->charged_team = charged_team;
	jj_gateway_count_share(gateway, entry, &request->team, now);
	if (request->resumed && entry->streams)
		jj_gateway_resume(gateway, entry, route, now, out);
	else
		jj_gateway_dispatch(gateway, entry, now, out);
	jj_gateway_step(gateway, now, out);
}

void
jj_gateway_take_backend_event(jj_gateway_t *gateway,
    const jj_backend_event_t *event, int status, jj_bytes_t *text, jj_ms_t now,
    jj_actions_t *out)
{
	jj_gateway_entry_t *entry =
	    jj_gateway_find_entry(gateway, event->request);

	gateway->now = now;
	gateway->out = out;
	/* Events of an attempt that was abandoned are ignored. */
	if (entry == NULL || entry->server == NULL ||
	    entry->attempt != event->attempt)
		return;
	entry->relayed = entry->relayed || event->relayed;
	if (event->weights != 0)
		entry->server->weights = event->weights;
	if (event->software != 0 && !entry->restarts)
		entry->software = event->software;
	if (event->kind != JJ_BACKEND_NOT_SENT &&
	    event->kind != JJ_BACKEND_BROKEN &&
	    event->kind != JJ_BACKEND_TIMEOUT)
		jj_gateway_note_alive(gateway, entry->server, now, out);
	if (event->kind == JJ_BACKEND_FIRST ||
	    event->kind == JJ_BACKEND_TOKENS ||
	    event->kind == JJ_BACKEND_REJECTED ||
	    (event->kind == JJ_BACKEND_DONE && !event->unframed))
		jj_gateway_note_answered(gateway, entry, now, out);
	switch (event->kind) {
	case JJ_BACKEND_FIRST:
	case JJ_BACKEND_TOKENS:
		take_progress(gateway, entry, event, now, out);
		return;
	case JJ_BACKEND_DONE:
	case JJ_BACKEND_REJECTED:
		take_end(gateway, entry, event, status, text, now, out);
		break;
	case JJ_BACKEND_UNCONFIRMED:
		take_unconfirmed(gateway, entry, event, now, out);
		break;
	default:
		if (event->kind == JJ_BACKEND_FAILED &&
		    is_server_failure(status))
			jj_gateway_note_outcome(gateway, entry, true, now, out);
		take_failure(gateway, entry, event, false, now, out);
		break;
	}
	jj_gateway_step(gateway, now, out);
}

void
jj_gateway_take_disconnect(
    jj_gateway_t *gateway, uint64_t request, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_entry_t *entry = jj_gateway_find_entry(gateway, request);

	if (entry == NULL)
		return;
	log_end(entry, "caller_gone", NULL, now, out);
	note_if_silent(gateway, entry, now, out);
	if (entry->server != NULL && !entry->silence_noted)
		withdraw_probe(gateway, entry, out);
	cancel_attempt(gateway, entry, out);
	jj_gateway_free_entry(gateway, entry);
	jj_gateway_step(gateway, now, out);
}

void
jj_gateway_end_requests(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_entry_t *entry;
	jj_gateway_entry_t *next;

	gateway->now = now;
	gateway->out = out;
	for (entry = TAILQ_FIRST(&gateway->sent); entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->class_of != JJ_CLASS_ONLINE)
			continue;
		entry->may_have_run = true;
		cancel_attempt(gateway, entry, out);
		jj_gateway_give_up(gateway, entry, JJ_FAILURE_STOPPING, out);
	}
	for (entry = TAILQ_FIRST(&gateway->waiting); entry != NULL;
	     entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->class_of == JJ_CLASS_ONLINE)
			jj_gateway_give_up(
			    gateway, entry, JJ_FAILURE_STOPPING, out);
	}
}

bool
jj_gateway_find_attempt(const jj_gateway_t *gateway, uint64_t request,
    jj_ms_t now, jj_gateway_attempt_t *start)
{
	const jj_gateway_entry_t *entry =
	    jj_gateway_find_entry(gateway, request);

	if (entry == NULL || entry->server == NULL)
		return false;
	memset(start, 0, sizeof(*start));
	start->server = entry->server->info.id;
	memcpy(start->address, entry->server->info.address,
	    sizeof(start->address));
	start->budget_ms = entry->deadline_ms - now;
	if (entry->class_of == JJ_CLASS_ONLINE &&
	    entry->give_up_ms - now < start->budget_ms)
		start->budget_ms = entry->give_up_ms - now;
	if (start->budget_ms < 1)
		start->budget_ms = 1;
	start->connect_ms = gateway->settings.connect_ms;
	start->streams = entry->streams;
	start->repeatable = entry->repeatable;
	start->software = entry->server->software;
	start->restarts = entry->restarts;
	start->retries_errors = gateway->outcomes != NULL &&
	    entry->class_of == JJ_CLASS_ONLINE && entry->repeatable &&
	    entry->sent_attempts + 1 < entry->max_attempts;
	if (entry->class_of == JJ_CLASS_BATCH)
		start->item =
		    jj_inline_find_item(gateway->jobs, request, &start->job);
	return entry->class_of == JJ_CLASS_ONLINE || start->item != NULL;
}

jj_gateway_entry_t *
jj_gateway_find_entry(const jj_gateway_t *gateway, uint64_t request)
{
	jj_gateway_entry_t *entry;

	LIST_FOREACH(
	    entry, &gateway->buckets[request % JJ_GATEWAY_BUCKETS], bucket)
	{
		if (entry->request == request)
			return entry;
	}
	return NULL;
}

void
jj_gateway_free_entry(jj_gateway_t *gateway, jj_gateway_entry_t *entry)
{
	if (entry->server != NULL)
		jj_gateway_leave_server(gateway, entry);
	gateway->asking_count -= entry->was_asked;
	jj_gateway_dequeue(gateway, entry);
	TAILQ_REMOVE(&gateway->waiting, entry, link);
	LIST_REMOVE(entry, bucket);
	gateway->counts[entry->class_of]--;
	jj_routes_release(entry->routes);
	free(entry);
}

/**
 * Online requests only: sends the request to a server, queues it
 * (gateway_queue.c) or answers it at once.
 */
void
jj_gateway_dispatch(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out)
{
	jj_slots_criteria_t criteria = {&entry->service,
	    server_to_avoid(gateway, entry),
	    jj_gateway_first_event_limit(entry), entry->software,
	    jj_gateway_spare_part(gateway, entry), entry->weights};
	jj_failure_t reason;
	jj_slot_server_t *server;
	bool full;

	server = jj_slots_choose_online(gateway->slots, &criteria, now, &full);
	if (full)
		jj_gateway_note_shortage(gateway, &entry->service, now);
	if (server == NULL && full &&
	    jj_gateway_enqueue(gateway, entry, now, out))
		return;
	if (server == NULL) {
		reason = full ? JJ_FAILURE_OVERLOADED : JJ_FAILURE_NO_SERVER;
		if (full && entry->share.limited)
			reason = JJ_FAILURE_OVER_SHARE;
		jj_gateway_give_up(gateway, entry, reason, out);
		return;
	}
	preempt_if_full(gateway, server, now, out);
	jj_gateway_send(gateway, entry, server, now, out);
}

void
jj_gateway_give_up(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_failure_t reason, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ANSWER);

	if (entry->charged_team != 0 && !entry->may_have_run)
		jj_allowance_refund(gateway->allowance, entry->charged_team);
	action->body.answer.request = entry->request;
	action->body.answer.reason = reason;
	action->body.answer.run =
	    entry->may_have_run ? JJ_RUN_UNKNOWN : JJ_RUN_NOT_RUN;
	action->body.answer.retry_after_ms =
	    choose_retry_after_ms(gateway, reason, &entry->prompt);
	if (reason == JJ_FAILURE_OVER_SHARE) {
		action->body.answer.retry_after_ms =
		    entry->share.retry_after_ms;
		jj_gateway_log_over_share(gateway, entry, out);
	}
	jj_actions_add_event(out, "request_given_up",
	    "request=%s reason=%s may_have_run=%d relayed=%d tries=%u sent=%u "
	    "server=%s after_ms=%lld",
	    entry->id, jj_failure_name(reason), entry->may_have_run,
	    entry->relayed, entry->tries, entry->sent_attempts,
	    entry->last_server.text,
	    (long long)(gateway->now - entry->begun_ms));
	jj_gateway_free_entry(gateway, entry);
}

void
jj_gateway_leave_server(jj_gateway_t *gateway, jj_gateway_entry_t *entry)
{
	TAILQ_REMOVE(&gateway->sent, entry, link);
	entry->left_ms = gateway->now;
	if (entry->first_seen)
		entry->ran_ms += gateway->now - entry->sent_ms;
	entry->first_seen = false;
	jj_slots_remove(entry->server, entry->class_of);
	entry->server = NULL;
	TAILQ_INSERT_HEAD(&gateway->waiting, entry, link);
	jj_gateway_mark_loads_changed(gateway);
}

void
jj_gateway_send(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_BACKEND_START);

	jj_gateway_dequeue(gateway, entry);
	TAILQ_REMOVE(&gateway->waiting, entry, link);
	TAILQ_INSERT_TAIL(&gateway->sent, entry, link);
	entry->attempt++;
	entry->tries++;
	if (entry->attempt == 1)
		jj_gateway_note_share_sent(gateway, entry, now);
	entry->server = server;
	entry->last_server = server->info.id;
	entry->last_server_hash = server->hash;
	entry->sent_ms = now;
	entry->last_event_ms = now;
	entry->first_seen = false;
	entry->silence_noted = false;
	entry->crowded = false;
	entry->crowded_check_ms = now + CROWDED_CHECK_MS;
	if (entry->class_of == JJ_CLASS_ONLINE &&
	    jj_crash_parts_count(gateway->crash_parts) > 0)
		jj_crash_parts_note_probe(
		    gateway->crash_parts, &entry->prompt, now, out);
	jj_slots_add(server, entry->class_of);
	server->probe_due = false;
	if (server->avoided)
		jj_actions_add_event(out, "server_probed",
		    "request=%s server=%s", entry->id, server->info.id.text);
	jj_gateway_mark_loads_changed(gateway);
	action->body.start.request = entry->request;
	action->body.start.attempt = entry->attempt;
	action->body.start.server = server->info.id;
	jj_actions_add_event(out,
	    entry->class_of == JJ_CLASS_ONLINE ? "request_sent" : "item_sent",
	    "request=%s server=%s software=%s attempt=%u resumes=%s "
	    "team=%s config=%llu in_force=%llu "
	    "own=%u+%u others=%u+%u slots=%u list_ms_ago=%lld",
	    entry->id, server->info.id.text, server->info.version.text,
	    entry->attempt, entry->resumed ? entry->resumes : "no",
	    entry->team.text, (unsigned long long)entry->routed_version,
	    (unsigned long long)gateway->routes->version, server->online,
	    server->batch, server->others_online, server->others_batch,
	    server->info.slots,
	    jj_ms_ago(gateway->servers_mirror.confirmed_ms, now));
}

void
jj_gateway_check_times(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_entry_t *entry;
	jj_gateway_entry_t *next;

	/*
	 * A request that is sent again may preempt any item of the list, also
	 * the next one; that item was then handled as if it were still at a
	 * server, which ended the process. So the loop restarts after each
	 * change; an entry that was changed has left the list or was sent just
	 * now.
	 */
	for (entry = TAILQ_FIRST(&gateway->sent); entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (check_entry(gateway, entry, now, out))
			next = TAILQ_FIRST(&gateway->sent);
	}
}

/**
 * Checks the time limits of an entry. True when it, or another entry, left its
 * server.
 */
static bool
check_entry(jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now,
    jj_actions_t *out)
{
	jj_backend_event_t stalled = {0};

	if (entry->class_of == JJ_CLASS_ONLINE && now >= entry->give_up_ms) {
		entry->may_have_run = true;
		note_if_silent(gateway, entry, now, out);
		cancel_attempt(gateway, entry, out);
		jj_gateway_give_up(gateway, entry, JJ_FAILURE_DEADLINE, out);
		return true;
	}
	if (waits_too_long(gateway, entry, now)) {
		note_crowded(gateway, entry, now, out);
		return true;
	}
	if (jj_gateway_is_server_gone(entry->server, now))
		note_if_silent(gateway, entry, now, out);
	if (!has_stalled(gateway, entry, now))
		return false;
	entry->stalls += !entry->first_seen;
	cancel_attempt(gateway, entry, out);
	stalled.request = entry->request;
	stalled.kind = JJ_BACKEND_BROKEN;
	jj_actions_add_event(out, "stream_stalled",
	    "request=%s server=%s silent_ms=%lld replaced=%d", entry->id,
	    entry->server->info.id.text,
	    (long long)(now - entry->last_event_ms), entry->server->replaced);
	take_failure(gateway, entry, &stalled, true, now, out);
	return true;
}

/**
 * Guards against waiting for a process that has ended. A process that ended
 * behind a network cut or with its VM resets no connection, and its successor
 * under the same id answers only new requests. Data that it sent before is read
 * first. Without a successor only missing events show the end, and only a
 * request that may be repeated is moved.
 */
static bool
has_stalled(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	const jj_slot_server_t *server = entry->server;

	if (server->replaced &&
	    now - server->replaced_ms >= REPLACED_DRAIN_MS &&
	    now - entry->last_event_ms >= REPLACED_DRAIN_MS)
		return true;
	return entry->repeatable &&
	    now - entry->last_event_ms >=
	    jj_gateway_stall_limit(gateway, entry);
}

/** The attempt may be at a server that crashed and sends nothing any more. */
static void
note_if_silent(jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now,
    jj_actions_t *out)
{
	if (entry->server == NULL || entry->silence_noted ||
	    now - entry->last_event_ms < SILENT_MS)
		return;
	entry->silence_noted = true;
	jj_gateway_note_unanswered(gateway, entry, true, now, out);
}

static jj_gateway_entry_t *
add_entry(jj_gateway_t *gateway, const jj_gateway_request_t *request,
    const jj_route_t *route, jj_ms_t now)
{
	jj_gateway_entry_t *entry = jj_alloc(sizeof(*entry));

	entry->request = request->request;
	(void)snprintf(entry->id, sizeof(entry->id), "%s", request->id);
	entry->resumed = request->resumed;
	(void)snprintf(
	    entry->resumes, sizeof(entry->resumes), "%s", request->resumes);
	entry->class_of = JJ_CLASS_ONLINE;
	entry->route = route->name;
	entry->team = request->team;
	entry->routes = jj_routes_retain(request->routes);
	entry->routed_version = request->routes->version;
	entry->origin_id = jj_gateway_origin_id(
	    request->resumed ? request->resumes : request->id);
	entry->service = *jj_route_pick(route, jj_gateway_random(gateway));
	entry->streams = route->kind == JJ_ROUTE_STREAM;
	entry->repeatable = jj_route_is_repeatable(route);
	entry->max_attempts = route->attempts > 0 ? route->attempts : 1;
	entry->begun_ms = now;
	entry->give_up_ms = now + time_limit(request, route);
	entry->deadline_ms = now +
	    (request->budget_ms > 0 ? request->budget_ms : route->timeout_ms);
	entry->target_ms = route->target_ms;
	entry->client_retry =
	    jj_gateway_is_client_retry(gateway, route, request);
	entry->queue_until_ms = jj_gateway_queue_deadline(request, now);
	entry->priority = jj_team_priority(
	    jj_teams_find(request->routes->teams, request->team.text),
	    route->priority);
	entry->fingerprint = request->fingerprint;
	entry->prompt = request->prompt;
	entry->weights = request->weights;
	LIST_INSERT_HEAD(&gateway->buckets[entry->request % JJ_GATEWAY_BUCKETS],
	    entry, bucket);
	TAILQ_INSERT_HEAD(&gateway->waiting, entry, link);
	gateway->counts[JJ_CLASS_ONLINE]++;
	return entry;
}

/** Time after which the request is given up. */
static jj_ms_t
time_limit(const jj_gateway_request_t *request, const jj_route_t *route)
{
	return request->budget_ms > 0 && request->budget_ms < route->timeout_ms
	    ? request->budget_ms
	    : route->timeout_ms;
}

/** @param retry_after_ms 0: as usual for that reason. */
static void
refuse(jj_gateway_t *gateway, const jj_gateway_request_t *request,
    jj_failure_t reason, jj_ms_t retry_after_ms, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ANSWER);

	action->body.answer.request = request->request;
	action->body.answer.reason = reason;
	action->body.answer.run = JJ_RUN_NOT_RUN;
	action->body.answer.retry_after_ms = retry_after_ms > 0
	    ? retry_after_ms
	    : choose_retry_after_ms(gateway, reason, &request->prompt);
	if (reason == JJ_FAILURE_TEAM_LIMIT)
		return;
	jj_actions_add_event(out, "request_refused",
	    "request=%s reason=%s host=%s path=%.60s config=%llu", request->id,
	    jj_failure_name(reason), request->host, request->path,
	    (unsigned long long)request->routes->version);
}

/**
 * The server of the last attempt, or NULL when another process runs there now.
 */
static const jj_name_t *
server_to_avoid(const jj_gateway_t *gateway, const jj_gateway_entry_t *entry)
{
	const jj_slot_server_t *last;

	if (entry->tries == 0)
		return NULL;
	last = jj_slots_find(gateway->slots, entry->last_server.text);
	return last != NULL && last->hash == entry->last_server_hash
	    ? &entry->last_server
	    : NULL;
}

/** Preempts an item of a full server before the request arrives there. */
static void
preempt_if_full(jj_gateway_t *gateway, jj_slot_server_t *server, jj_ms_t now,
    jj_actions_t *out)
{
	if (jj_slot_server_taken(server) >= server->info.slots)
		free_slot(gateway, server, now, out);
}

static void
free_slot(jj_gateway_t *gateway, jj_slot_server_t *server, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_name_t *vm;
	jj_message_t *message;

	if (jj_gateway_preempt(gateway, server, "online", now, out))
		return;
	vm = jj_slots_choose_vm_to_yield(server);
	if (vm == NULL)
		return;
	message = jj_actions_add_message(out, vm, JJ_MESSAGE_YIELD);
	message->body.yield = server->hash;
}

/** Is an attempt without a first event to be noted as crowded? */
static bool
waits_too_long(
    const jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now)
{
	jj_ms_t left;

	if (entry->first_seen || entry->crowded ||
	    now < entry->crowded_check_ms)
		return false;
	left = wait_limit(gateway, entry, now) - (now - entry->sent_ms);
	entry->crowded_check_ms =
	    now + (left < CROWDED_CHECK_MS ? left : CROWDED_CHECK_MS);
	return left <= 0;
}

/** Looks at all servers of the service. */
static jj_ms_t
wait_limit(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	jj_ms_t limit =
	    jj_slots_wait_limit(gateway->slots, &entry->service, now);

	if (limit >= gateway->settings.stall_ms || entry->crowded_tries > 4)
		return JJ_MS_NEVER;
	return limit << entry->crowded_tries;
}

/**
 * Guards against slots that are taken by requests of VMs that have not reported
 * them: after a network cut, a power loss or a start, VMs do not exchange
 * heartbeats yet, each counts the servers' slots for itself, and online
 * requests wait behind the others' items. The time until a first event shows
 * this without any message. The limit doubles for an item with each try, so
 * that an item with a long prompt gets through.
 */
static void
note_crowded(jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now,
    jj_actions_t *out)
{
	jj_slot_server_t *server = entry->server;

	entry->crowded = true;
	jj_slots_note_crowded(server, now);
	jj_actions_add_event(out, "server_crowded",
	    "request=%s server=%s waits_ms=%lld own=%u+%u others=%u+%u slots=%u",
	    entry->id, server->info.id.text, (long long)(now - entry->sent_ms),
	    server->online, server->batch, server->others_online,
	    server->others_batch, server->info.slots);
	if (entry->class_of == JJ_CLASS_ONLINE) {
		free_slot(gateway, server, now, out);
		return;
	}
	entry->crowded_tries++;
	jj_gateway_preempt_item(gateway, entry, "crowded", now, out);
}

static void
take_progress(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	entry->last_event_ms = now;
	entry->silence_noted = false;
	if (event->kind != JJ_BACKEND_FIRST || entry->first_seen)
		return;
	entry->first_seen = true;
	entry->restarts = false;
	entry->software = entry->server->software;
	if (entry->first_ms == 0 && entry->class_of == JJ_CLASS_ONLINE)
		jj_gateway_note_stream_begun(gateway, entry, now);
	entry->attempt_first_ms = now;
	if (entry->first_ms == 0)
		entry->first_ms = now;
	entry->may_have_run = true;
	jj_slots_note_first(entry->server, now - entry->sent_ms, now);
	jj_gateway_note_outcome(gateway, entry, false, now, out);
}

/** Ends a request whose whole answer was relayed, or an item. */
static void
take_end(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_backend_event_t *event, int status, jj_bytes_t *text, jj_ms_t now,
    jj_actions_t *out)
{
	jj_inline_item_end_t end = JJ_INLINE_DONE;
	bool is_error = is_server_error(event, status);

	if (is_error)
		jj_slots_note_error(entry->server);
	else if (!entry->first_seen)
		jj_slots_note_first(entry->server, now - entry->sent_ms, now);
	if (is_error || !entry->first_seen)
		jj_gateway_note_outcome(gateway, entry, is_error, now, out);
	if (event->kind == JJ_BACKEND_DONE)
		jj_gateway_note_completed(
		    gateway, entry, event->unframed, now, out);
	if (entry->class_of == JJ_CLASS_ONLINE && !is_error)
		note_service_time(gateway, entry, now);
	log_end(entry, event->kind == JJ_BACKEND_DONE ? "done" : "rejected",
	    event, now, out);
	if (entry->class_of == JJ_CLASS_BATCH) {
		uint64_t request = entry->request;

		if (event->kind == JJ_BACKEND_DONE)
			jj_gateway_note_item_end(gateway, entry, now);
		if (event->kind == JJ_BACKEND_REJECTED)
			end = status == 422 ? JJ_INLINE_REFUSED
					    : JJ_INLINE_FAILED;
		jj_gateway_free_entry(gateway, entry);
		jj_inline_end_item(gateway->jobs, request, end, text, now, out);
		return;
	}
	jj_gateway_free_entry(gateway, entry);
}

/**
 * True for an answer with the server's own error. It may come at once, so its
 * time tells nothing about the speed of the server.
 */
static bool
is_server_error(const jj_backend_event_t *event, int status)
{
	return event->kind == JJ_BACKEND_REJECTED && status >= 500;
}

/** 504 also says that the request's time budget is used up. */
static bool
is_server_failure(int status)
{
	return status >= 500 && status != 504;
}

/**
 * Records the service time, without the wait for a slot if a first event shows
 * when that ended.
 */
static void
note_service_time(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	jj_ms_t since =
	    entry->first_seen ? entry->attempt_first_ms : entry->sent_ms;

	jj_slots_note_service_time(entry->server, now - since);
	jj_gateway_note_share_end(gateway, entry, now - since, now);
	gateway->mean_service_ms +=
	    MEAN_WEIGHT * ((double)(now - since) - gateway->mean_service_ms);
}

static void
take_failure(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_backend_event_t *event, bool stalled, jj_ms_t now,
    jj_actions_t *out)
{
	bool was_sent = event->kind != JJ_BACKEND_NOT_SENT;
	char answer[ANSWER_TEXT_SIZE];
	bool not_run = event->kind == JJ_BACKEND_NOT_SENT ||
	    event->kind == JJ_BACKEND_REFUSED ||
	    event->kind == JJ_BACKEND_LEAVING ||
	    event->kind == JJ_BACKEND_MISMATCH;

	if (was_sent)
		entry->sent_attempts++;
	if (!not_run)
		entry->may_have_run = true;
	else
		withdraw_probe(gateway, entry, out);
	if ((event->kind == JJ_BACKEND_BROKEN ||
		event->kind == JJ_BACKEND_TIMEOUT) &&
	    !entry->silence_noted)
		jj_gateway_note_unanswered(gateway, entry,
		    stalled || event->kind == JJ_BACKEND_TIMEOUT, now, out);
	if (event->kind == JJ_BACKEND_NOT_SENT)
		jj_gateway_note_unreachable(gateway, entry->server, now, out);
	note_server(gateway, entry, event, now);
	describe_answer(event, answer, sizeof(answer));
	jj_actions_add_event(out, "attempt_failed",
	    "request=%s server=%s attempt=%u kind=%s first=%d relayed=%d "
	    "after_ms=%lld fingerprint=%016llx%s",
	    entry->id, entry->server->info.id.text, entry->attempt,
	    name_of_kind(event->kind), entry->first_seen, entry->relayed,
	    (long long)(now - entry->sent_ms),
	    (unsigned long long)entry->fingerprint, answer);
	if (!not_run && entry->prompt.count > 0)
		log_prompt(entry, out);
	if (entry->class_of == JJ_CLASS_BATCH) {
		requeue_item(gateway, entry,
		    now + item_pause(gateway, event->kind, not_run));
		return;
	}
	jj_gateway_leave_server(gateway, entry);
	if (not_run || entry->repeatable)
		retry(gateway, entry, now, out);
	else
		jj_gateway_give_up(gateway, entry, JJ_FAILURE_BROKEN, out);
}

/** The attempt, if it is a probe of refused parts, does not tell about them. */
static void
withdraw_probe(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_actions_t *out)
{
	if (entry->class_of == JJ_CLASS_ONLINE)
		jj_crash_parts_withdraw_probe(
		    gateway->crash_parts, &entry->prompt, entry->sent_ms, out);
}

/** Time until an item is sent again after a failed attempt. */
static jj_ms_t
item_pause(const jj_gateway_t *gateway, jj_backend_kind_t kind, bool not_run)
{
	if (kind == JJ_BACKEND_MISMATCH)
		return MISMATCH_RETRY_MS;
	return not_run ? 0 : gateway->settings.retry_after_ms;
}

/** Resumes a stream later, to learn whether its output goes on. */
static void
take_unconfirmed(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	char answer[ANSWER_TEXT_SIZE];

	describe_answer(event, answer, sizeof(answer));
	jj_actions_add_event(out, "answer_unconfirmed",
	    "request=%s server=%s attempt=%u%s", entry->id,
	    entry->server->info.id.text, entry->attempt, answer);
	if (!entry->server->info.draining)
		jj_gateway_note_completed(
		    gateway, entry, event->unframed, now, out);
	entry->sent_attempts++;
	entry->may_have_run = true;
	if (entry->class_of == JJ_CLASS_BATCH) {
		requeue_item(
		    gateway, entry, now + gateway->settings.retry_after_ms);
		return;
	}
	jj_gateway_leave_server(gateway, entry);
	retry(gateway, entry, now, out);
}

static void
requeue_item(
    jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t not_before_ms)
{
	jj_gateway_leave_server(gateway, entry);
	entry->not_before_ms = not_before_ms;
	TAILQ_REMOVE(&gateway->waiting, entry, link);
	jj_gateway_add_waiting_item(gateway, entry);
}

/** Names the parts that an unanswered request shares with others. */
static void
log_prompt(const jj_gateway_entry_t *entry, jj_actions_t *out)
{
	char parts[LOGGED_PARTS_MAX * 17 + 1];
	size_t size = 0;
	uint32_t i;

	for (i = 0; i < entry->prompt.count && i < LOGGED_PARTS_MAX; i++)
		size += (size_t)snprintf(parts + size, sizeof(parts) - size,
		    "%s%016llx", i > 0 ? "," : "",
		    (unsigned long long)entry->prompt.ids[i]);
	jj_actions_add_event(out, "attempt_prompt",
	    "request=%s server=%s parts=%u ids=%s", entry->id,
	    entry->last_server.text, entry->prompt.count, parts);
}

static void
retry(jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now,
    jj_actions_t *out)
{
	jj_failure_t reason;

	if (entry->sent_attempts >= entry->max_attempts ||
	    entry->tries >=
		entry->max_attempts + gateway->settings.connect_tries) {
		jj_gateway_give_up(gateway, entry,
		    entry->may_have_run ? JJ_FAILURE_RETRIES
					: JJ_FAILURE_OVERLOADED,
		    out);
		return;
	}
	reason = jj_gateway_check_request(gateway, entry->fingerprint,
	    &entry->prompt, entry->may_have_run, now);
	if (reason != JJ_FAILURE_NONE) {
		jj_gateway_give_up(gateway, entry, reason, out);
		return;
	}
	jj_gateway_dispatch(gateway, entry, now, out);
}

static void
note_server(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now)
{
	switch (event->kind) {
	case JJ_BACKEND_REFUSED:
		jj_slots_note_refusal(
		    entry->server, event->retry_after_ms, now);
		break;
	case JJ_BACKEND_LEAVING:
		/* Another process uses the address now. */
		entry->server->info.draining = true;
		break;
	case JJ_BACKEND_NOT_SENT:
		if (jj_slots_note_failure(entry->server, now))
			jj_gateway_notify_unreachable(gateway, entry->server);
		break;
	case JJ_BACKEND_BROKEN:
		(void)jj_slots_note_failure(entry->server, now);
		break;
	default:
		break;
	}
}

/** Cancels the attempt at its server. */
static void
cancel_attempt(
    jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_actions_t *out)
{
	jj_action_t *action;

	(void)gateway;
	if (entry->server == NULL)
		return;
	action = jj_actions_add(out, JJ_ACTION_BACKEND_CANCEL);
	action->body.cancel.request = entry->request;
	action->body.cancel.attempt = entry->attempt;
}

/** @param event the end of the last attempt, or NULL. */
static void
log_end(const jj_gateway_entry_t *entry, const char *outcome,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	char answer[ANSWER_TEXT_SIZE];

	describe_answer(event, answer, sizeof(answer));
	jj_actions_add_event(out,
	    entry->class_of == JJ_CLASS_ONLINE ? "request_ended" : "item_ended",
	    "request=%s outcome=%s server=%s attempt=%u first_ms=%lld "
	    "took_ms=%lld%s",
	    entry->id, outcome, entry->last_server.text, entry->attempt,
	    entry->first_ms == 0
		? -1LL
		: (long long)(entry->first_ms - entry->begun_ms),
	    (long long)(now - entry->begun_ms), answer);
}

/**
 * Writes how the answer of an attempt ended, as fields of a log line; nothing
 * if @p event is NULL or the attempt got no answer.
 */
static void
describe_answer(const jj_backend_event_t *event, char *text, size_t size)
{
	text[0] = '\0';
	if (event == NULL || event->ended == NULL)
		return;
	(void)snprintf(text, size,
	    " ended=%s framing=%s events=%u resumed_after=%lld status=%d "
	    "stamped=%d",
	    event->ended, event->framing, event->events,
	    (long long)event->after, event->status, event->stamped);
}

/**
 * Retry delay of a refused caller. In a full fleet about as many slots become
 * free within the mean service time as there are slots. Callers that retry
 * sooner meet the same queue, and callers that retry all at once fill it again,
 * so the delays are spread between once and twice the mean service time.
 */
static jj_ms_t
choose_retry_after_ms(
    jj_gateway_t *gateway, jj_failure_t reason, const jj_prompt_t *prompt)
{
	jj_ms_t min_ms = gateway->settings.retry_after_ms;
	jj_ms_t mean = (jj_ms_t)gateway->mean_service_ms;
	jj_ms_t wait_ms;

	if (reason == JJ_FAILURE_CRASHING_PART) {
		wait_ms = jj_gateway_parts_wait(gateway, prompt, gateway->now);
		return wait_ms > min_ms ? wait_ms : min_ms;
	}
	if (reason == JJ_FAILURE_SUSPECT)
		return jj_gateway_verdict_ms();
	if (reason == JJ_FAILURE_QUARANTINED)
		return gateway->settings.quarantine.quarantine_ms;
	if (reason != JJ_FAILURE_OVERLOADED || mean < min_ms)
		return min_ms;
	return mean + (jj_ms_t)(jj_gateway_random(gateway) % (uint64_t)mean);
}

static const char *
name_of_kind(jj_backend_kind_t kind)
{
	static const char *const names[] = {"not_sent", "refused",
	    "other_instance", "mismatch", "first", "tokens", "done",
	    "unconfirmed", "rejected", "failed", "broken", "timeout",
	    "cancelled"};

	return names[kind];
}
