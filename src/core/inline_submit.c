/**
 * @file inline_submit.c
 * @brief Accepts a job: stores it, with an entry that names the VM that runs
 * it.
 *
 * Both writes are creates under the job's id, so that a resend, to this or any
 * VM, finds the first one's objects and gets the same answer. They are sent in
 * parallel; the order in which they take effect does not matter, as neither an
 * entry without a job nor a job without an entry runs anything. A VM that is
 * killed may leave either of them alone, so only both are an accepted job: each
 * resend completes what is missing.
 */
#include <stdio.h>
#include <string.h>

#include "core/inline_state.h"

/** A job waits this long for the list of the open jobs, ms. */
#define LIST_WAIT_MS 500

static bool can_decide(const jj_inline_t *, const jj_inline_op_t *);
static void decide(jj_inline_t *, jj_inline_op_t *, jj_ms_t);
static bool is_known(const jj_inline_t *, const jj_inline_op_t *);
static bool fits(const jj_inline_t *, const jj_inline_op_t *, jj_ms_t);
static bool has_memory(const jj_inline_t *, const jj_inline_op_t *);
static void start_job(jj_inline_t *, jj_inline_op_t *, jj_actions_t *);
static void start_open(jj_inline_t *, jj_inline_op_t *, jj_actions_t *);
static void start_check(jj_inline_t *, jj_inline_op_t *, jj_actions_t *);
static void take_job(
    jj_inline_t *, jj_inline_op_t *, const jj_platform_result_t *, jj_ms_t);
static void take_open(
    jj_inline_t *, jj_inline_op_t *, const jj_platform_result_t *, jj_ms_t);
static void take_check(jj_inline_t *, jj_inline_op_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void accept(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static void fail_submit(jj_inline_t *, jj_inline_op_t *, jj_actions_t *);

void
jj_inline_submit(jj_inline_t *jobs, uint64_t operation, jj_inline_job_t *job,
    const jj_route_t *route, jj_ms_t now, jj_actions_t *out)
{
	const jj_inline_run_t *run = jj_inline_find_accepted(jobs, job->id);
	jj_inline_op_t *op = jj_inline_add_op(jobs, JJ_OP_SUBMIT, operation,
	    job->id, now + jobs->settings.submit_ms, now);

	op->job = *job;
	memset(job, 0, sizeof(*job));
	op->route = jj_inline_account(route, &op->job.team);
	op->max_waiting_tokens = route->max_waiting_tokens;
	op->undecided = true;
	op->run_due_ms = now + route->run_due_ms;
	op->retention_ms = now + route->retention_ms;
	if (run != NULL && run->state != JJ_RUN_LOADING &&
	    !jj_inline_is_orphan(run)) {
		jj_inline_answer(jobs, op, 202, NULL, out);
		return;
	}
	if (jobs->leaving && !is_known(jobs, op)) {
		jj_inline_answer(jobs, op, 503, NULL, out);
		return;
	}
	if (!can_decide(jobs, op))
		op->until_ms = now + LIST_WAIT_MS;
	jj_inline_step_submit(jobs, op, now, out);
}

void
jj_inline_step_submit(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	if (now >= op->until_ms) {
		fail_submit(jobs, op, out);
		return;
	}
	if (op->undecided && can_decide(jobs, op))
		decide(jobs, op, now);
	if (jj_inline_is_due(&op->get, now))
		start_check(jobs, op, out);
	if (jj_inline_is_due(&op->create_job, now))
		start_job(jobs, op, out);
	if (jj_inline_is_due(&op->create_open, now))
		start_open(jobs, op, out);
}

bool
jj_inline_take_submit(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->token == op->get.token) {
		take_check(jobs, op, result, now, out);
		return true;
	}
	if (result->token == op->create_job.token)
		take_job(jobs, op, result, now);
	else if (result->token == op->create_open.token)
		take_open(jobs, op, result, now);
	else
		return false;
	if (op->job_stored && op->open_stored)
		accept(jobs, op, now, out);
	else
		jj_inline_step_submit(jobs, op, now, out);
	return true;
}

/** Without a list of the open jobs, it is not known what the route holds. */
static bool
can_decide(const jj_inline_t *jobs, const jj_inline_op_t *op)
{
	return jj_inline_is_listed(jobs) || op->max_waiting_tokens == 0 ||
	    is_known(jobs, op);
}

/** Decides whether the job is stored, or only accepted if it is already. */
static void
decide(jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now)
{
	bool known = is_known(jobs, op);

	op->over_memory = !known && !has_memory(jobs, op);
	if (known || (!op->over_memory && fits(jobs, op, now))) {
		op->text = jj_inline_job_encode(&op->job);
		op->parts = jj_inline_count_parts(op->text.size);
		jj_inline_schedule_call(&op->create_job, now);
		jj_inline_schedule_call(&op->create_open, now);
	} else {
		op->checks_job = true;
		jj_inline_schedule_call(&op->get, now);
	}
	op->until_ms = op->started_ms + jobs->settings.submit_ms;
	op->undecided = false;
}

static bool
is_known(const jj_inline_t *jobs, const jj_inline_op_t *op)
{
	return jj_inline_find_run(jobs, op->id) != NULL ||
	    jj_inline_find_open(jobs, op->id) != NULL;
}

/** True when the route has room for an undecided job. */
static bool
fits(const jj_inline_t *jobs, const jj_inline_op_t *op, jj_ms_t now)
{
	return op->max_waiting_tokens == 0 ||
	    jj_inline_open_tokens(jobs, &op->route, now) + op->job.tokens <=
	    op->max_waiting_tokens;
}

/** True when this VM may keep one more job, with its text while it is stored. */
static bool
has_memory(const jj_inline_t *jobs, const jj_inline_op_t *op)
{
	size_t held = 2 * jj_inline_job_bytes(&op->job);
	const jj_inline_run_t *run;
	const jj_inline_op_t *other;

	if (jobs->settings.memory_bytes == 0)
		return true;
	TAILQ_FOREACH(run, &jobs->runs, link)
	held += jj_inline_job_bytes(&run->job);
	TAILQ_FOREACH(other, &jobs->ops, link)
	if (other->kind == JJ_OP_SUBMIT && !other->undecided)
		held += jj_inline_job_bytes(&other->job) + other->text.size;
	return held <= jobs->settings.memory_bytes;
}

static void
start_job(jj_inline_t *jobs, jj_inline_op_t *op, jj_actions_t *out)
{
	jj_platform_call_t *call = jj_inline_start_call(
	    jobs, &op->create_job, JJ_PLATFORM_CREATE, out);

	if (op->parts_done < op->parts) {
		(void)snprintf(call->key, sizeof(call->key), "%s%s.%u",
		    JJ_INLINE_PARTS, op->id, op->parts_done);
		call->value = jj_inline_encode_part(&op->text, op->parts_done);
		return;
	}
	(void)snprintf(
	    call->key, sizeof(call->key), "%s%s", JJ_INLINE_JOBS, op->id);
	call->value = op->parts > 0
	    ? jj_inline_encode_split(op->parts)
	    : jj_bytes_copy(op->text.data, op->text.size);
}

static void
start_open(jj_inline_t *jobs, jj_inline_op_t *op, jj_actions_t *out)
{
	jj_platform_call_t *call = jj_inline_start_call(
	    jobs, &op->create_open, JJ_PLATFORM_CREATE, out);

	(void)snprintf(
	    call->key, sizeof(call->key), "%s%s", JJ_INLINE_OPEN, op->id);
	call->value = jj_inline_encode_open(jobs->settings.writer, &op->route,
	    op->job.tokens, (uint32_t)op->job.item_count, false);
}

static void
start_check(jj_inline_t *jobs, jj_inline_op_t *op, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_inline_start_call(jobs, &op->get, JJ_PLATFORM_GET, out);

	(void)snprintf(
	    call->key, sizeof(call->key), "%s%s", JJ_INLINE_JOBS, op->id);
}

/** A part that exists already is of an earlier attempt, with the same text. */
static void
take_job(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now)
{
	bool is_part = op->parts_done < op->parts;

	if (result->outcome != JJ_PLATFORM_OK &&
	    result->outcome != JJ_PLATFORM_CONFLICT) {
		if (!is_part && !jj_inline_had_no_effect(result->outcome))
			op->may_be_stored = true;
		jj_inline_back_off(jobs, &op->create_job, now);
		return;
	}
	if (is_part) {
		op->parts_done++;
		jj_inline_schedule_call(&op->create_job, now);
		return;
	}
	jj_inline_end_call(&op->create_job);
	op->job_stored = true;
	op->job_is_new = result->outcome == JJ_PLATFORM_OK;
	op->job_version = result->version;
	op->may_be_stored = true;
}

static void
take_open(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now)
{
	if (result->outcome != JJ_PLATFORM_OK &&
	    result->outcome != JJ_PLATFORM_CONFLICT) {
		jj_inline_back_off(jobs, &op->create_open, now);
		return;
	}
	jj_inline_end_call(&op->create_open);
	op->open_stored = true;
	op->open_version = result->version;
	/*
	 * A conflict with this process's own entry: the answer to its create
	 * was lost.
	 */
	op->owns_entry = result->outcome == JJ_PLATFORM_OK ||
	    jj_inline_is_own_entry(jobs, result);
}

/**
 * A job that is stored was admitted by the VM that stored it. Its open entry
 * may be missing, so it is created before the job is answered 202; an entry that
 * exists is left as it is.
 */
static void
take_check(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->outcome == JJ_PLATFORM_OK) {
		jj_inline_end_call(&op->get);
		op->job_stored = true;
		op->job_version = result->version;
		op->may_be_stored = true;
		jj_inline_schedule_call(&op->create_open, now);
		jj_inline_step_submit(jobs, op, now, out);
	} else if (result->outcome == JJ_PLATFORM_ABSENT) {
		jj_actions_add_event(out, "job_over_limit",
		    "job=%s limit=%s bytes=%zu tokens=%llu waiting=%llu "
		    "route=%s",
		    op->id, op->over_memory ? "memory" : "tokens",
		    jj_inline_job_bytes(&op->job),
		    (unsigned long long)op->job.tokens,
		    (unsigned long long)(jj_inline_open_tokens(
					     jobs, &op->route, now) -
			op->job.tokens),
		    op->route.text);
		jj_inline_answer(
		    jobs, op, op->over_memory ? 503 : 429, NULL, out);
	} else
		jj_inline_back_off(jobs, &op->get, now);
}

static void
accept(jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	if (op->job_is_new)
		jobs->counts.accepted++;
	jj_actions_add_event(out, "job_accepted",
	    "job=%s items=%zu tokens=%llu new=%d runs_here=%d took_ms=%lld",
	    op->id, op->job.item_count, (unsigned long long)op->job.tokens,
	    op->job_is_new, op->owns_entry, (long long)(now - op->started_ms));
	if (op->owns_entry)
		jj_inline_adopt_job(jobs, op, now);
	jj_inline_answer(jobs, op, 202, NULL, out);
}

/**
 * Answers 503 (not run) only when no write of the job object can take effect,
 * now or later; an entry without a job runs nothing.
 */
static void
fail_submit(jj_inline_t *jobs, jj_inline_op_t *op, jj_actions_t *out)
{
	bool unknown = op->may_be_stored || op->create_job.token != 0;

	jj_actions_add_event(out, "job_not_accepted",
	    "job=%s stored=%d entry=%d failures=%u unknown=%d", op->id,
	    op->job_stored, op->open_stored, op->create_job.failures, unknown);
	jj_inline_answer(jobs, op, unknown ? 504 : 503, NULL, out);
}
