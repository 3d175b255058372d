/**
 * @file job_operation.c
 * @brief Calls, retries and answers that all job operations share.
 */
#include "core/job_operation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/json_text.h"

/* HTTP statuses used here. */
#define STATUS_OK 200
#define STATUS_INTERNAL 500
#define STATUS_UNAVAILABLE 503

/* An operation ends with 503 after this many conflicts. */
#define CONFLICTS_MAX 8

static void send_call(jj_job_operation_t *, jj_actions_t *);
static bool is_write(const jj_platform_call_t *);
static bool writes_job(const jj_job_operation_t *);
static jj_bytes_t encode_entry(const jj_jobs_t *, const jj_job_operation_t *);
static bool is_definite(jj_platform_outcome_t);
static void schedule_retry(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void set_call(jj_job_operation_t *, jj_platform_op_t, const char *);
static jj_bytes_t encode_problem(int, const char *, const char *, const char *);
static const char *title_of(int);
static const char *unavailable_detail(const jj_job_operation_t *, bool);

jj_job_operation_t *
jj_job_operation_begin(jj_jobs_t *jobs, uint64_t number,
    jj_job_result_handler_t handler, jj_ms_t now)
{
	jj_job_operation_t *operation = jj_alloc(sizeof(*operation));

	operation->number = number;
	operation->token = ++jobs->last_token;
	operation->handler = handler;
	operation->deadline = now + jobs->settings.operation_ms;
	TAILQ_INSERT_TAIL(&jobs->under_way, operation, link);
	return operation;
}

void
jj_job_operation_call(jj_job_operation_t *operation, jj_platform_op_t op,
    const char *key, jj_actions_t *out)
{
	set_call(operation, op, key);
	send_call(operation, out);
}

void
jj_job_operation_call_list(jj_job_operation_t *operation, const char *prefix,
    const char *after, int limit, jj_actions_t *out)
{
	char copy[JJ_OBJECT_KEY_MAX + 1];

	/* `after` may point into the call that is about to be replaced. */
	snprintf(copy, sizeof(copy), "%s", after);
	set_call(operation, JJ_PLATFORM_LIST, prefix);
	memcpy(operation->call.after, copy, sizeof(copy));
	operation->call.limit = limit;
	send_call(operation, out);
}

void
jj_job_operation_write(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_platform_op_t op, jj_actions_t *out)
{
	char key[JJ_OBJECT_KEY_MAX + 1];

	snprintf(key, sizeof(key), "jobs/%s/job", operation->id);
	set_call(operation, op, key);
	operation->call.version = operation->job.version;
	operation->call.value =
	    jj_job_encode(&operation->job, jobs->settings.writer);
	send_call(operation, out);
}

void
jj_job_operation_call_entry(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_platform_op_t op, uint64_t version, jj_actions_t *out)
{
	char key[JJ_OBJECT_KEY_MAX + 1];

	snprintf(key, sizeof(key), JJ_ACTIVE_PREFIX "%s", operation->id);
	set_call(operation, op, key);
	operation->call.version = version;
	if (is_write(&operation->call)) {
		jj_operations_next_text(
		    &jobs->operations, operation->entry_operation);
		operation->call.value = encode_entry(jobs, operation);
	}
	send_call(operation, out);
}

bool
jj_job_operation_is_for_entry(const jj_job_operation_t *operation)
{
	return strncmp(operation->call.key, JJ_ACTIVE_PREFIX,
		   strlen(JJ_ACTIVE_PREFIX)) == 0;
}

void
jj_job_operation_read(jj_job_operation_t *operation, jj_actions_t *out)
{
	char key[JJ_OBJECT_KEY_MAX + 1];

	snprintf(key, sizeof(key), "jobs/%s/job", operation->id);
	jj_job_operation_call(operation, JJ_PLATFORM_GET, key, out);
}

bool
jj_job_operation_decode(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_job_clear(&operation->job);
	if (jj_job_decode(&operation->job, &result->value, result->version))
		return true;
	jj_job_operation_refuse(jobs, operation, STATUS_INTERNAL,
	    "job_malformed", "the job's object cannot be read", out);
	return false;
}

void
jj_job_operation_answer(jj_jobs_t *jobs, jj_job_operation_t *operation,
    int status, jj_bytes_t body, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_JOB_ANSWER);

	action->body.job.operation = operation->number;
	action->body.job.status = status;
	action->body.job.body = body;
	jj_job_operation_free(jobs, operation);
}

void
jj_job_operation_answer_job(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	jj_job_operation_answer(
	    jobs, operation, STATUS_OK, jj_job_describe(&operation->job), out);
}

void
jj_job_operation_refuse(jj_jobs_t *jobs, jj_job_operation_t *operation,
    int status, const char *code, const char *detail, jj_actions_t *out)
{
	jj_job_operation_answer(jobs, operation, status,
	    encode_problem(status, code, detail, "not_run"), out);
}

/*
 * During an outage of the platform nothing can be made durable, so the caller
 * gets a 503 without delay, with a retry time. "not_run" is answered only when
 * no write of the job's object can have been applied. A write whose answer was
 * lost, or that is still under way at the deadline, may have been.
 */
void
jj_job_operation_end_unavailable(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	bool unknown = operation->job_write_unknown ||
	    (operation->in_flight && writes_job(operation));
	jj_ms_t retry_after_ms = jobs->settings.retry_after_ms;
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_JOB_ANSWER);

	if (retry_after_ms < operation->retry_after_ms)
		retry_after_ms = operation->retry_after_ms;
	action->body.job.operation = operation->number;
	action->body.job.status = STATUS_UNAVAILABLE;
	action->body.job.retry_after_ms = retry_after_ms;
	action->body.job.body = encode_problem(STATUS_UNAVAILABLE,
	    "platform_unavailable", unavailable_detail(operation, unknown),
	    unknown ? "unknown" : "not_run");
	jj_job_operation_free(jobs, operation);
}

void
jj_job_operation_take_result(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	/*
	 * A VM that is paused after it wrote its index entry may resume when
	 * the entry was deleted as an orphan. It would then create and
	 * acknowledge a job that no worker finds. Entries without a job are
	 * kept for far longer than an operation may take, so it is enough to
	 * ignore results after the deadline. A resend confirms the entry
	 * before it acknowledges the job.
	 */
	if (now >= operation->deadline) {
		jj_job_operation_end_unavailable(jobs, operation, out);
		return;
	}
	operation->in_flight = false;
	if (result->outcome == JJ_PLATFORM_CONFLICT)
		operation->conflicts++;
	/*
	 * After a conflict the object is read and written again without a
	 * wait. A key that always conflicts would use up the platform's rate
	 * limit until the deadline.
	 */
	if (operation->conflicts >= CONFLICTS_MAX)
		jj_job_operation_end_unavailable(jobs, operation, out);
	else if (is_definite(result->outcome))
		operation->handler(jobs, operation, result, now, out);
	else
		schedule_retry(jobs, operation, result, now, out);
}

void
jj_job_operation_tick(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_ms_t now, jj_actions_t *out)
{
	if (now >= operation->deadline)
		jj_job_operation_end_unavailable(jobs, operation, out);
	else if (!operation->in_flight && now >= operation->retry.at)
		send_call(operation, out);
}

void
jj_job_operation_free(jj_jobs_t *jobs, jj_job_operation_t *operation)
{
	TAILQ_REMOVE(&jobs->under_way, operation, link);
	jj_platform_call_clear(&operation->call);
	jj_job_clear(&operation->job);
	json_decref(operation->data);
	free(operation);
}

static void
set_call(jj_job_operation_t *operation, jj_platform_op_t op, const char *key)
{
	char copy[JJ_OBJECT_KEY_MAX + 1];

	/* `key` may point into the call that is replaced. */
	snprintf(copy, sizeof(copy), "%s", key);
	jj_platform_call_clear(&operation->call);
	memset(&operation->call, 0, sizeof(operation->call));
	operation->call.owner = JJ_OWNER_BATCH;
	operation->call.token = operation->token;
	operation->call.op = op;
	memcpy(operation->call.key, copy, sizeof(copy));
}

static void
send_call(jj_job_operation_t *operation, jj_actions_t *out)
{
	const jj_platform_call_t *kept = &operation->call;
	jj_platform_call_t *call =
	    jj_actions_add_platform(out, kept->owner, kept->op, kept->token);

	*call = *kept;
	call->value = jj_bytes_copy(kept->value.data, kept->value.size);
	operation->in_flight = true;
}

static bool
is_write(const jj_platform_call_t *call)
{
	return call->op == JJ_PLATFORM_CREATE || call->op == JJ_PLATFORM_UPDATE;
}

/* Index entries don't count, as an entry without its job runs nothing. */
static bool
writes_job(const jj_job_operation_t *operation)
{
	return is_write(&operation->call) &&
	    !jj_job_operation_is_for_entry(operation);
}

static jj_bytes_t
encode_entry(const jj_jobs_t *jobs, const jj_job_operation_t *operation)
{
	json_t *entry =
	    json_pack("{s:s,s:s,s:s}", "job", operation->id, "writer",
		jobs->settings.writer, "operation", operation->entry_operation);

	JJ_INVARIANT(entry != NULL);
	return jj_json_take_bytes(entry);
}

static bool
is_definite(jj_platform_outcome_t outcome)
{
	return outcome != JJ_PLATFORM_LIMITED && outcome != JJ_PLATFORM_DOWN &&
	    outcome != JJ_PLATFORM_UNKNOWN;
}

/*
 * Schedules the next try. Ends the operation at once when no try is left or
 * the next one would come after the deadline.
 *
 * After a write without an answer its key is read, as only the stored value
 * shows whether the write was applied.
 */
static void
schedule_retry(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_retry_limits_t limits = {
	    jobs->settings.tries, jobs->settings.retry_ms};

	if (operation->retry_after_ms < result->retry_after_ms)
		operation->retry_after_ms = result->retry_after_ms;
	if (result->outcome == JJ_PLATFORM_UNKNOWN &&
	    is_write(&operation->call)) {
		operation->job_write_unknown |= writes_job(operation);
		set_call(operation, JJ_PLATFORM_GET, operation->call.key);
	}
	if (!jj_retry_plan(
		&operation->retry, &limits, result->retry_after_ms, now) ||
	    operation->retry.at >= operation->deadline)
		jj_job_operation_end_unavailable(jobs, operation, out);
}

static jj_bytes_t
encode_problem(
    int status, const char *code, const char *detail, const char *run)
{
	char type[64];
	json_t *problem;

	snprintf(type, sizeof(type), "urn:jujubeswitch:problem:%s", code);
	problem = json_pack("{s:s,s:s,s:i,s:s,s:s,s:s}", "type", type, "title",
	    title_of(status), "status", status, "code", code, "detail", detail,
	    "run", run);
	JJ_INVARIANT(problem != NULL);
	return jj_json_take_bytes(problem);
}

static const char *
title_of(int status)
{
	switch (status) {
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 410:
		return "Gone";
	case 422:
		return "Unprocessable Content";
	case STATUS_UNAVAILABLE:
		return "Service Unavailable";
	default:
		return "Internal Server Error";
	}
}

static const char *
unavailable_detail(const jj_job_operation_t *operation, bool unknown)
{
	if (!unknown)
		return "the platform does not answer now; nothing was changed";
	if (operation->has_key)
		return "the platform did not confirm the write; sending it "
		       "again with the same idempotency key is safe";
	return "the platform did not confirm the write; look at the job or "
	       "the list of jobs before sending it again";
}
