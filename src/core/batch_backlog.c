/**
 * @file batch_backlog.c
 * @brief Batch requests that wait until a server of their service has capacity.
 */
#include <stdlib.h>
#include <sys/queue.h>

#include "core/batch_backlog.h"

/**
 * A VM that has just started considers itself the steward of all servers. Items
 * that it accepted then must not wait for ever for servers of another steward:
 * without a share for this time they are refused.
 */
#define NO_SHARE_MS 500

/** One request that waits. */
typedef struct waiter {
	TAILQ_ENTRY(waiter) link;
	jj_request_t request;
	jj_ms_t since_ms;
} waiter_t;

struct jj_batch_backlog {
	TAILQ_HEAD(, waiter) waiters;
	uint32_t count;
};

static void
refuse(jj_batch_backlog_t *, waiter_t *, jj_failure_t, jj_actions_t *);
static void remove_waiter(jj_batch_backlog_t *, waiter_t *);

jj_batch_backlog_t *
jj_batch_backlog_create(void)
{
	jj_batch_backlog_t *batch_backlog = jj_alloc(sizeof(*batch_backlog));

	TAILQ_INIT(&batch_backlog->waiters);
	return batch_backlog;
}

void
jj_batch_backlog_destroy(jj_batch_backlog_t *batch_backlog)
{
	if (batch_backlog == NULL)
		return;
	while (!TAILQ_EMPTY(&batch_backlog->waiters))
		remove_waiter(
		    batch_backlog, TAILQ_FIRST(&batch_backlog->waiters));
	free(batch_backlog);
}

void
jj_batch_backlog_add(
    jj_batch_backlog_t *batch_backlog, const jj_request_t *request, jj_ms_t now)
{
	waiter_t *waiter = jj_alloc(sizeof(*waiter));

	waiter->request = *request;
	waiter->since_ms = now;
	TAILQ_INSERT_TAIL(&batch_backlog->waiters, waiter, link);
	batch_backlog->count++;
}

bool
jj_batch_backlog_remove(jj_batch_backlog_t *batch_backlog, uint64_t request)
{
	waiter_t *waiter;

	TAILQ_FOREACH(waiter, &batch_backlog->waiters, link)
	{
		if (waiter->request.request == request) {
			remove_waiter(batch_backlog, waiter);
			return true;
		}
	}
	return false;
}

void
jj_batch_backlog_pump(jj_batch_backlog_t *batch_backlog,
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_name_t full = {""};
	waiter_t *waiter;
	waiter_t *next;

	for (waiter = TAILQ_FIRST(&batch_backlog->waiters); waiter != NULL;
	     waiter = next) {
		next = TAILQ_NEXT(waiter, link);
		if (now - waiter->since_ms >= NO_SHARE_MS &&
		    !jj_dispatch_has_share(
			dispatch, &waiter->request.service, now)) {
			refuse(
			    batch_backlog, waiter, JJ_FAILURE_OVERLOADED, out);
			continue;
		}
		if (jj_name_equal(&waiter->request.service, &full))
			continue;
		if (jj_dispatch_service_capacity(
			dispatch, &waiter->request.service, now) == 0) {
			full = waiter->request.service;
			continue;
		}
		jj_dispatch_begin(dispatch, &waiter->request, now, out);
		remove_waiter(batch_backlog, waiter);
	}
}

void
jj_batch_backlog_stop(jj_batch_backlog_t *batch_backlog, jj_actions_t *out)
{
	while (!TAILQ_EMPTY(&batch_backlog->waiters))
		refuse(batch_backlog, TAILQ_FIRST(&batch_backlog->waiters),
		    JJ_FAILURE_STOPPING, out);
}

uint32_t
jj_batch_backlog_count(const jj_batch_backlog_t *batch_backlog)
{
	return batch_backlog->count;
}

/** Refuses a request, as not run. */
static void
refuse(jj_batch_backlog_t *batch_backlog, waiter_t *waiter, jj_failure_t reason,
    jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ANSWER);

	action->body.answer.request = waiter->request.request;
	action->body.answer.reason = reason;
	action->body.answer.run = JJ_RUN_NOT_RUN;
	remove_waiter(batch_backlog, waiter);
}

static void
remove_waiter(jj_batch_backlog_t *batch_backlog, waiter_t *waiter)
{
	TAILQ_REMOVE(&batch_backlog->waiters, waiter, link);
	batch_backlog->count--;
	free(waiter);
}
