/**
 * @file inline_peer.c
 * @brief Reads results and items' bodies from the VM that runs the job.
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
/** Interval between queries while there are no new results, ms. */
#define PEER_POLL_MS 400

static jj_message_t *
send_query(jj_inline_op_t *, const jj_name_t *, jj_ms_t, jj_actions_t *);
static void write_item(const jj_inline_run_t *, jj_message_t *);
static void take_item(jj_inline_t *, jj_inline_op_t *, const jj_message_t *,
    jj_ms_t, jj_actions_t *);
static bool find_owner(const jj_inline_t *, const char *, jj_name_t *);
static void note_failure(const jj_inline_t *, jj_inline_op_t *, jj_ms_t);
static jj_inline_op_t *find_read(const jj_inline_t *, const jj_message_t *);

bool
jj_inline_query_peer(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	const jj_peer_state_t *peer_state =
	    jj_inline_find_peer_state(jobs, op->id, now);

	if (op->peer_ms != 0)
		return now < op->peer_ms;
	if (peer_state == NULL || jj_name_is_empty(&peer_state->vm))
		return false;
	(void)send_query(op, &peer_state->vm, now, out);
	return true;
}

bool
jj_inline_query_peer_item(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t *message;
	jj_name_t owner;

	if (op->peer_failed)
		return false;
	if (op->peer_ms != 0) {
		op->peer_failed = now >= op->peer_ms;
		return !op->peer_failed;
	}
	if (strlen(op->item) >= JJ_MESSAGE_ITEM_ID_SIZE ||
	    !find_owner(jobs, op->id, &owner)) {
		op->peer_failed = true;
		return false;
	}
	message = send_query(op, &owner, now, out);
	(void)snprintf(message->body.job_page.item,
	    sizeof(message->body.job_page.item), "%s", op->item);
	return true;
}

bool
jj_inline_poll_peer(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	jj_name_t owner;

	if (op->peer_failed)
		return false;
	if (op->peer_ms != 0 && now < op->peer_ms)
		return true;
	if (op->peer_ms != 0 || !find_owner(jobs, op->id, &owner)) {
		note_failure(jobs, op, now);
		return false;
	}
	if (now >= op->next_peer_ms)
		(void)send_query(op, &owner, now, out);
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
	memcpy(answer->body.job_page.item, message->body.job_page.item,
	    sizeof(answer->body.job_page.item));
	if (run == NULL)
		return;
	if (answer->body.job_page.item[0] != '\0') {
		write_item(run, answer);
		return;
	}
	answer->body.job_page.page = jj_inline_page_of_run(
	    jobs, run, message->body.job_page.after, PEER_PAGE_BYTES_MAX);
	if (jj_inline_has_nothing_new(jobs, run, message->body.job_page.after))
		answer->body.job_page.total = run->segment.total;
}

void
jj_inline_take_peer_page(jj_inline_t *jobs, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	jj_inline_op_t *op = find_read(jobs, message);

	if (op == NULL || op->get.token != 0)
		return;
	if (op->kind == JJ_OP_ITEM) {
		take_item(jobs, op, message, now, out);
		return;
	}
	if (message->body.job_page.page.size == 0 &&
	    message->body.job_page.total == 0) {
		op->peer_ms = now;
		note_failure(jobs, op, now);
		jj_inline_step_op(jobs, op, now, out);
		return;
	}
	if (message->body.job_page.page.size == 0 && now < op->query_ms) {
		op->peer_ms = 0;
		op->next_peer_ms = now + PEER_POLL_MS < op->query_ms
		    ? now + PEER_POLL_MS
		    : op->query_ms;
		return;
	}
	if (message->body.job_page.page.size == 0) {
		jj_inline_answer_nothing_new(
		    jobs, op, message->body.job_page.total, out);
		return;
	}
	jj_actions_add_event(out, "job_read",
	    "job=%s after=%u source=peer peer=%s bytes=%zu", op->id, op->after,
	    message->from.text, message->body.job_page.page.size);
	jj_inline_answer(jobs, op, 200, &message->body.job_page.page, out);
}

/** Adds the body of the item to the answer, if this VM has it. */
static void
write_item(const jj_inline_run_t *run, jj_message_t *answer)
{
	const jj_inline_item_t *item =
	    jj_inline_job_find(&run->job, answer->body.job_page.item);

	if (item == NULL || item->body.size > PEER_PAGE_BYTES_MAX)
		return;
	answer->body.job_page.total = 1;
	answer->body.job_page.page =
	    jj_bytes_copy(item->body.data, item->body.size);
}

static void
take_item(jj_inline_t *jobs, jj_inline_op_t *op, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	if (op->load.call.token != 0)
		return;
	if (message->body.job_page.total == 0) {
		op->peer_failed = true;
		jj_inline_step_op(jobs, op, now, out);
		return;
	}
	jj_actions_add_event(out, "job_item_read",
	    "job=%s item=%s source=peer peer=%s bytes=%zu", op->id, op->item,
	    message->from.text, message->body.job_page.page.size);
	jj_inline_answer(jobs, op, 200, &message->body.job_page.page, out);
}

static jj_message_t *
send_query(
    jj_inline_op_t *op, const jj_name_t *to, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, to, JJ_MESSAGE_JOB_READ);

	op->peer_ms = now + PEER_TIMEOUT_MS;
	message->body.job_page.operation = op->operation;
	message->body.job_page.after = op->after;
	(void)snprintf(message->body.job_page.job,
	    sizeof(message->body.job_page.job), "%s", op->id);
	return message;
}

/**
 * The VM that runs the job, by its open entry; a job that was just accepted is
 * not listed yet, and its VM has reported it.
 */
static bool
find_owner(const jj_inline_t *jobs, const char *id, jj_name_t *owner)
{
	const jj_open_entry_t *entry = jj_inline_find_open(jobs, id);
	const jj_peer_state_t *peer_state =
	    jj_inline_find_old_peer_state(jobs, id);

	if (entry != NULL)
		return jj_writer_split(entry->owner, owner) != NULL &&
		    strcmp(entry->owner, jobs->settings.writer) != 0 &&
		    jobs->port.is_live(jobs->port.ctx, entry->owner);
	if (peer_state == NULL)
		return false;
	*owner = peer_state->vm;
	return !jj_name_is_empty(owner);
}

/**
 * No VM can answer, so the platform is queried; at once when the job has ended,
 * as there is nothing to wait for.
 */
static void
note_failure(const jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now)
{
	op->peer_failed = true;
	if (jj_inline_find_open(jobs, op->id) == NULL)
		op->query_ms = now;
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
		bool is_item = op->kind == JJ_OP_ITEM;

		if ((op->kind == JJ_OP_READ || is_item) && op->peer_ms != 0 &&
		    op->operation == message->body.job_page.operation &&
		    op->after == message->body.job_page.after &&
		    strcmp(op->id, message->body.job_page.job) == 0 &&
		    strcmp(is_item ? op->item : "",
			message->body.job_page.item) == 0)
			return op;
	}
	return NULL;
}
