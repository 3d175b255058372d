/**
 * @file inline_peer.c
 * @brief Reads results from the VM that runs the job.
 *
 * A read from the platform costs a call, and gets no answer during an outage of
 * the platform. The VM that runs the job has the published results in memory,
 * and answers by the same rule as for its own readers (see may_answer() in
 * inline_op.c). What it sends was confirmed by a write and never changes, so a
 * late answer is still correct. On a quiet day with 53 VMs 880 of 2,900
 * platform calls were such reads.
 */
#include <stdio.h>
#include <string.h>

#include "core/inline_state.h"

/**
 * Timeout for the answer, ms: a message and its answer take a few ms between
 * healthy VMs, and the platform is queried after it.
 */
#define PEER_TIMEOUT_MS 200
/**
 * Largest page sent in such an answer, bytes: takes half of that timeout on 30
 * Mbit/s.
 */
#define PEER_PAGE_BYTES_MAX 300000

static jj_inline_op_t *find_read(const jj_inline_t *, const jj_message_t *);

bool
jj_inline_query_peer(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	const jj_peer_state_t *peer_state =
	    jj_inline_find_peer_state(jobs, op->id, now);
	jj_message_t *message;

	if (op->peer_ms != 0)
		return now < op->peer_ms;
	if (peer_state == NULL || jj_name_is_empty(&peer_state->vm))
		return false;
	op->peer_ms = now + PEER_TIMEOUT_MS;
	message =
	    jj_actions_add_message(out, &peer_state->vm, JJ_MESSAGE_JOB_READ);
	message->body.job_page.operation = op->operation;
	message->body.job_page.after = op->after;
	(void)snprintf(message->body.job_page.job,
	    sizeof(message->body.job_page.job), "%s", op->id);
	return true;
}

void
jj_inline_take_peer_read(
    jj_inline_t *jobs, const jj_message_t *message, jj_actions_t *out)
{
	const jj_inline_run_t *run =
	    jj_inline_find_run(jobs, message->body.job_page.job);
	jj_message_t *answer =
	    jj_actions_add_message(out, &message->from, JJ_MESSAGE_JOB_PAGE);

	answer->body.job_page.operation = message->body.job_page.operation;
	answer->body.job_page.after = message->body.job_page.after;
	memcpy(answer->body.job_page.job, message->body.job_page.job,
	    sizeof(answer->body.job_page.job));
	if (run != NULL)
		answer->body.job_page.page = jj_inline_page_of_run(jobs, run,
		    message->body.job_page.after, PEER_PAGE_BYTES_MAX);
}

void
jj_inline_take_peer_page(jj_inline_t *jobs, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	jj_inline_op_t *op = find_read(jobs, message);

	if (op == NULL || op->get.token != 0)
		return;
	if (message->body.job_page.page.size == 0) {
		op->peer_ms = now;
		jj_inline_step_op(jobs, op, now, out);
		return;
	}
	jj_actions_add_event(out, "job_read",
	    "job=%s after=%u source=peer peer=%s bytes=%zu", op->id, op->after,
	    message->from.text, message->body.job_page.page.size);
	jj_inline_answer(jobs, op, 200, &message->body.job_page.page, out);
}

/**
 * The job and the position have to match, too: after a restart operations are
 * numbered from the start again, and an answer to the previous process may
 * still arrive.
 */
static jj_inline_op_t *
find_read(const jj_inline_t *jobs, const jj_message_t *message)
{
	jj_inline_op_t *op;

	TAILQ_FOREACH(op, &jobs->ops, link)
	{
		if (op->kind == JJ_OP_READ && op->peer_ms != 0 &&
		    op->operation == message->body.job_page.operation &&
		    op->after == message->body.job_page.after &&
		    strcmp(op->id, message->body.job_page.job) == 0)
			return op;
	}
	return NULL;
}
