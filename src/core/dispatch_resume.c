/**
 * @file dispatch_resume.c
 * @brief Resumes streams whose connection broke.
 *
 * A connection breaks, or an answer ends without its end mark, in the middle of
 * a stream while the server is healthy. As the caller has received part of the
 * answer, the request cannot be sent to another server. The engine keeps the
 * stream, and a resume returns the rest of it. A resume never starts a new run:
 * an engine that has restarted, or does not know the stream, refuses it
 * (story 18), and the request is handled like any other broken one.
 */
#include "core/dispatch_state.h"

/* Resumes per request, after which a stream that breaks again has failed. */
#define RESUMES_MOST 2

static bool can_resume(
    jj_dispatch_t *, const jj_entry_t *, const jj_backend_event_t *, jj_ms_t);

bool
jj_dispatch_resume(jj_dispatch_t *dispatch, jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_server_view_t *view = entry->server;
	jj_action_t *action;

	if (!can_resume(dispatch, entry, event, now))
		return false;
	/*
	 * The server may have crashed all the same: its crash report must name
	 * the requests whose connections broke there (story 27).
	 */
	jj_server_view_note_broken(view, entry->request.fingerprint, now);
	jj_server_view_note_outcome(view, true);
	entry->may_have_run = true;
	entry->resumes++;
	entry->resuming = true;
	entry->attempt++;
	entry->token_ms = 0;
	action = jj_actions_add(out, JJ_ACTION_BACKEND_START);
	action->body.start.request = entry->request.request;
	action->body.start.attempt = entry->attempt;
	action->body.start.server = view->name;
	action->body.start.resume_from = 1;
	return true;
}

static bool
can_resume(jj_dispatch_t *dispatch, const jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now)
{
	const jj_server_view_t *view = entry->server;

	if (!event->resumable || entry->resumes >= RESUMES_MOST)
		return false;
	if (!view->up ||
	    !jj_fleet_takes_work(dispatch->fleet, &view->name, now))
		return false;
	if (jj_dispatch_check_content(dispatch, &entry->request, now) ==
	    JJ_QUARANTINE_REFUSED)
		return false;
	return jj_retry_budget_take(&entry->service->budget, now);
}
