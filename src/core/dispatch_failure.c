/**
 * @file dispatch_failure.c
 * @brief Failed attempts, retries and crashed servers.
 */
#include <string.h>

#include "core/dispatch_state.h"

/* A server crash is detected and reported to this VM within this time. */
#define CRASH_DETECTION_MS 500
/* A crash report reaches all VMs, also in other domains, within this time. */
#define CRASH_PROPAGATION_MS 30
#define DEFAULT_ATTEMPTS 3
/* Upper bound for a server's own Retry-After. */
#define COOLDOWN_MAX_MS 5000
/* Cool-down of a server after a refusal without Retry-After. */
#define COOLDOWN_MIN_MS 50
/*
 * A connection that broke within this time before a crash is attributed to the
 * crash.
 */
#define BROKEN_RETENTION_MS 10000

static void note_failure(jj_dispatch_t *, jj_entry_t *,
    const jj_backend_event_t *, jj_ms_t, jj_actions_t *);
static void note_break(
    jj_entry_t *, const jj_backend_event_t *, bool, jj_ms_t, jj_actions_t *);
static void
retry_or_give_up(jj_dispatch_t *, jj_entry_t *, bool, jj_ms_t, jj_actions_t *);

void
jj_dispatch_take_failure(jj_dispatch_t *dispatch, jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_server_view_t *view = entry->server;
	/*
	 * Retries after a crash are not charged to the budget: their number is
	 * bounded by the server's slots, so they cause no retry storm.
	 */
	bool crashed = entry->resuming
	    ? event->kind == JJ_BACKEND_NOT_SENT
	    : event->kind == JJ_BACKEND_BROKEN && !view->up;
	bool charged = event->kind != JJ_BACKEND_LEAVING && !crashed;
	bool began = event->kind != JJ_BACKEND_NOT_SENT &&
	    event->kind != JJ_BACKEND_REFUSED &&
	    event->kind != JJ_BACKEND_LEAVING;

	if (jj_dispatch_resume(dispatch, entry, event, now, out))
		return;
	note_failure(dispatch, entry, event, now, out);
	entry->avoid = view->name;
	jj_dispatch_release_slot(dispatch, entry);
	entry->may_have_run |= began;
	/*
	 * When two servers crash at the same time, a request may be sent to one
	 * after the other. A server that refuses the connection must not use up
	 * an attempt. It is marked as down, so that no request is sent there
	 * twice.
	 */
	entry->failures += event->kind != JJ_BACKEND_LEAVING &&
	    event->kind != JJ_BACKEND_NOT_SENT;
	/* A stream that could not be resumed had broken before that. */
	if (event->kind == JJ_BACKEND_BROKEN || entry->resuming)
		note_break(entry, event, crashed, now, out);
	view->probe_awaited |= entry->awaits_probe;
	if (entry->team == NULL) {
		jj_dispatch_give_up(dispatch, entry,
		    began ? JJ_FAILURE_BROKEN : JJ_FAILURE_OVERLOADED, now,
		    out);
		return;
	}
	retry_or_give_up(dispatch, entry, charged, now, out);
}

/*
 * The platform's list of servers lags. Without a notification each other VM
 * would send requests to a server that is leaving or gone until it finds out
 * itself (story 23).
 */
void
jj_dispatch_note_server(jj_dispatch_t *dispatch, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, jj_ms_t now, jj_actions_t *out)
{
	jj_member_info_t infos[VMS_MAX];
	size_t count = jj_member_list(
	    dispatch->member, &dispatch->settings.domain, infos, VMS_MAX);
	jj_message_t *message;
	bool changed = false;
	size_t i;

	jj_fleet_note_state(
	    dispatch->fleet, server, state, boot, now, out, &changed);
	for (i = 0; changed && i < count; i++) {
		message = jj_dispatch_add_message(
		    out, &infos[i], dispatch, JJ_MESSAGE_SERVER_STATE);
		if (message == NULL)
			continue;
		message->body.server.server = *server;
		message->body.server.boot = boot;
		message->body.server.state = state;
	}
}

uint32_t
jj_dispatch_gather_suspects(const jj_dispatch_t *dispatch,
    const jj_server_view_t *view, jj_ms_t now, uint64_t *suspects,
    uint32_t max_count)
{
	const jj_entry_t *entry;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < view->broken_count && i < JJ_BROKEN_MAX; i++)
		if (now - view->broken[i].ms <= BROKEN_RETENTION_MS)
			suspects[count++] = view->broken[i].fingerprint;
	TAILQ_FOREACH(entry, &dispatch->entries, all_link)
	{
		if (count < max_count && entry->state == JJ_ENTRY_IN_FLIGHT &&
		    entry->server == view)
			suspects[count++] = entry->request.fingerprint;
	}
	return count;
}

void
jj_dispatch_mark_suspect(jj_entry_t *entry, jj_ms_t now)
{
	entry->suspect = true;
	entry->deferred_until_ms = now + CRASH_PROPAGATION_MS;
}

void
jj_dispatch_end_probe_wait(
    jj_dispatch_t *dispatch, jj_server_view_t *view, bool crashed, jj_ms_t now)
{
	jj_entry_t *entry;

	view->probe_awaited = false;
	TAILQ_FOREACH(entry, &dispatch->entries, all_link)
	{
		if (!entry->awaits_probe ||
		    !jj_name_equal(&entry->avoid, &view->name))
			continue;
		entry->awaits_probe = false;
		entry->deferred_until_ms =
		    crashed ? now + CRASH_PROPAGATION_MS : now;
	}
}

/**
 * Recipients of crash reports: the live VMs of this domain and, when this VM is
 * the domain's speaker, also the known VMs of other domains.
 */
static size_t
list_crash_recipients(
    const jj_dispatch_t *dispatch, jj_member_info_t *infos, size_t max_count)
{
	size_t count;
	size_t kept = 0;
	size_t i;

	if (!jj_member_is_speaker(dispatch->member))
		return jj_member_list(dispatch->member,
		    &dispatch->settings.domain, infos, max_count);
	count = jj_member_list_all(dispatch->member, infos, max_count);
	for (i = 0; i < count; i++) {
		if (infos[i].live)
			infos[kept++] = infos[i];
	}
	return kept;
}

void
jj_dispatch_report_crash(jj_dispatch_t *dispatch, jj_server_view_t *view,
    uint64_t boot, const uint64_t *suspects, uint32_t count, jj_ms_t now,
    jj_actions_t *out)
{
	jj_member_info_t infos[VMS_MAX];
	size_t vm_count = list_crash_recipients(dispatch, infos, VMS_MAX);
	jj_crash_t crash = {0};
	jj_message_t *message;
	uint32_t done;
	size_t i;

	for (done = 0; done < count; done += crash.suspect_count) {
		crash.server = view->name;
		crash.boot = boot;
		crash.suspect_count = count - done;
		if (crash.suspect_count > JJ_MESSAGE_SUSPECTS_MAX)
			crash.suspect_count = JJ_MESSAGE_SUSPECTS_MAX;
		memcpy(crash.suspects, suspects + done,
		    crash.suspect_count * sizeof(suspects[0]));
		jj_quarantine_take_crash(
		    dispatch->quarantine, &crash, now, out);
		for (i = 0; i < vm_count; i++) {
			message = jj_dispatch_add_message(
			    out, &infos[i], dispatch, JJ_MESSAGE_CRASH);
			if (message != NULL)
				message->body.crash = crash;
		}
	}
}

static void
note_failure(jj_dispatch_t *dispatch, jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_server_view_t *view = entry->server;
	jj_ms_t cooldown_ms = event->retry_after_ms;

	switch (event->kind) {
	case JJ_BACKEND_NOT_SENT:
		jj_dispatch_note_server(
		    dispatch, &view->name, JJ_SERVER_DOWN, 0, now, out);
		view->up = false;
		break;
	case JJ_BACKEND_LEAVING:
		jj_dispatch_note_server(
		    dispatch, &view->name, JJ_SERVER_LEAVING, 0, now, out);
		view->up = false;
		return;
	case JJ_BACKEND_REFUSED:
		if (cooldown_ms < COOLDOWN_MIN_MS)
			cooldown_ms = COOLDOWN_MIN_MS;
		if (cooldown_ms > COOLDOWN_MAX_MS)
			cooldown_ms = COOLDOWN_MAX_MS;
		view->cooldown_until_ms = now + cooldown_ms;
		break;
	case JJ_BACKEND_BROKEN:
		jj_server_view_note_broken(
		    view, entry->request.fingerprint, now);
		break;
	default:
		break;
	}
	jj_server_view_note_outcome(view, true);
}

/*
 * A broken connection may be the first sign of a crash that has not been
 * reported yet, so the request runs as a suspect until it completes somewhere.
 * A request that broke twice waits for the probes of these servers: otherwise a
 * request that crashes servers would crash a third one before the first crash
 * is known (story 27). The same applies to a request whose server also cut off
 * the health probe after the break.
 */
static void
note_break(jj_entry_t *entry, const jj_backend_event_t *event, bool crashed,
    jj_ms_t now, jj_actions_t *out)
{
	entry->suspect = true;
	entry->breaks++;
	entry->awaits_probe =
	    event->probe_cut && !crashed && entry->breaks == 1;
	if (entry->breaks > 1 || entry->awaits_probe)
		entry->deferred_until_ms = now + CRASH_DETECTION_MS;
	/*
	 * After this time a copy of it that the caller sends to another VM is a
	 * suspect there, too.
	 */
	else if (crashed)
		entry->deferred_until_ms = now + CRASH_PROPAGATION_MS;
	jj_actions_add_event(out, "attempt_broken",
	    "request=%016llx fingerprint=%016llx server=%s attempt=%u "
	    "breaks=%u died=%d look_cut=%d hold_ms=%lld",
	    (unsigned long long)entry->request.request,
	    (unsigned long long)entry->request.fingerprint, entry->avoid.text,
	    entry->attempt, entry->breaks, crashed, event->probe_cut,
	    entry->deferred_until_ms > now
		? (long long)(entry->deferred_until_ms - now)
		: 0LL);
}

/*
 * Retries are allowed for requests that are idempotent or have not run, and of
 * which the caller has received nothing. They are bounded per request and by
 * the service's budget, so that retries do not keep an overloaded service down.
 */
static void
retry_or_give_up(jj_dispatch_t *dispatch, jj_entry_t *entry, bool charged,
    jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service = entry->service;
	uint32_t attempts = service->settings.attempts;

	if (attempts == 0)
		attempts = DEFAULT_ATTEMPTS;
	if (entry->relayed ||
	    (entry->may_have_run && !entry->request.idempotent))
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_BROKEN, now, out);
	else if (jj_dispatch_check_content(dispatch, &entry->request, now) ==
	    JJ_QUARANTINE_REFUSED)
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_QUARANTINED, now, out);
	else if (now + (jj_ms_t)service->fast_answer_ms >
	    entry->request.deadline_ms)
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_DEADLINE, now, out);
	else if (entry->failures >= attempts ||
	    (charged && !jj_retry_budget_take(&service->budget, now)))
		jj_dispatch_give_up(
		    dispatch, entry, JJ_FAILURE_RETRIES, now, out);
	else {
		jj_service_queue_add(service, entry, true, now);
		if (!jj_dispatch_has_server_up(service))
			jj_dispatch_give_up(
			    dispatch, entry, JJ_FAILURE_NO_SERVER, now, out);
	}
}
