/**
 * @file dispatch_answer.c
 * @brief Error answers: whether the request ran, and the Retry-After time.
 */
#include "core/dispatch_state.h"

/* Bounds of Retry-After, and its value when the wait is not known. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 60000
#define RETRY_AFTER_UNKNOWN_MS 1000
/* A VM that is stopping sends callers to other VMs at once. */
#define RETRY_AFTER_STOPPING_MS 50

static jj_ms_t jitter(jj_dispatch_t *, jj_ms_t);
static jj_ms_t
retry_after(jj_dispatch_t *, const jj_entry_t *, jj_failure_t, jj_ms_t);

void
jj_dispatch_refuse(jj_dispatch_t *dispatch, const jj_request_t *request,
    jj_failure_t reason, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ANSWER);

	action->body.answer.request = request->request;
	action->body.answer.reason = reason;
	action->body.answer.run = JJ_RUN_NOT_RUN;
	action->body.answer.retry_after_ms =
	    retry_after(dispatch, NULL, reason, now);
}

void
jj_dispatch_give_up(jj_dispatch_t *dispatch, jj_entry_t *entry,
    jj_failure_t reason, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action;

	if (entry->state == JJ_ENTRY_IN_FLIGHT) {
		action = jj_actions_add(out, JJ_ACTION_BACKEND_CANCEL);
		action->body.cancel.request = entry->request.request;
		action->body.cancel.attempt = entry->attempt;
		entry->may_have_run = true;
		jj_dispatch_release_slot(dispatch, entry);
	} else if (entry->state == JJ_ENTRY_QUEUED)
		jj_service_queue_remove(entry->service, entry);
	action = jj_actions_add(out, JJ_ACTION_ANSWER);
	action->body.answer.request = entry->request.request;
	action->body.answer.reason = reason;
	action->body.answer.run =
	    entry->may_have_run ? JJ_RUN_UNKNOWN : JJ_RUN_NOT_RUN;
	action->body.answer.retry_after_ms =
	    retry_after(dispatch, entry, reason, now);
	/* A retry of a non-idempotent request could run it twice. */
	if (entry->may_have_run && !entry->request.idempotent)
		action->body.answer.retry_after_ms = 0;
	jj_dispatch_free_entry(dispatch, entry);
}

/*
 * A random time from 1.0 to 1.5 times @p ms, so that callers do not all return
 * at the same moment.
 */
static jj_ms_t
jitter(jj_dispatch_t *dispatch, jj_ms_t ms)
{
	dispatch->random =
	    jj_hash_bytes(&dispatch->random, sizeof(dispatch->random), 1);
	return ms + (jj_ms_t)(dispatch->random % ((uint64_t)ms / 2 + 1));
}

/*
 * Time after which a retry is likely to succeed, from the rate at which the
 * queue drains.
 */
static jj_ms_t
retry_after(jj_dispatch_t *dispatch, const jj_entry_t *entry,
    jj_failure_t reason, jj_ms_t now)
{
	jj_ms_t wait = RETRY_AFTER_UNKNOWN_MS;

	switch (reason) {
	case JJ_FAILURE_STOPPING:
		return jitter(dispatch, RETRY_AFTER_STOPPING_MS);
	case JJ_FAILURE_QUARANTINED:
	case JJ_FAILURE_CANCELLED:
	case JJ_FAILURE_NONE:
		return 0;
	case JJ_FAILURE_OVERLOADED:
	case JJ_FAILURE_DEADLINE:
		if (entry == NULL)
			return 0;
		if (entry->team == NULL)
			wait = dispatch->settings.withdraw_retry_ms;
		else
			wait = jj_service_queue_wait(entry->service,
			    entry->team, entry->team->queued + 1, now);
		break;
	default:
		break;
	}
	if (wait == JJ_MS_NEVER)
		wait = RETRY_AFTER_UNKNOWN_MS;
	if (wait < RETRY_AFTER_MIN_MS)
		wait = RETRY_AFTER_MIN_MS;
	if (wait > RETRY_AFTER_MAX_MS)
		wait = RETRY_AFTER_MAX_MS;
	return jitter(dispatch, wait);
}
