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

/* Conflicts of one operation after which it is given up. */
#define CONFLICTS_MAX 8

static void send_call(jj_job_operation_t *, jj_actions_t *);
static bool is_write(const jj_platform_call_t *);
static bool writes_job(const jj_job_operation_t *);
static jj_bytes_t encode_entry(const jj_jobs_t *, const jj_job_operation_t *);
static bool is_sure(jj_platform_outcome_t);
static void repeat(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void set_call(jj_job_operation_t *, jj_platform_op_t, const char *);
static jj_bytes_t encode_problem(int, const char *, const char *, const char *);
static const char *title_of(int);
static const char *give_up_detail(const jj_job_operation_t *, bool);

jj_job_operation_t *
jj_job_operation_begin(
    jj_jobs_t *jobs, uint64_t number, jj_job_take_t take, jj_ms_t now)
{
	jj_job_operation_t *operation = jj_alloc(sizeof(*operation));

	operation->number = number;
	operation->token = ++jobs->last_token;
	operation->take = take;
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

	/* The key may stand in the call that is about to be replaced. */
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
jj_job_operation_call_index(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_platform_op_t op, uint64_t version, jj_actions_t *out)
{
	char key[JJ_OBJECT_KEY_MAX + 1];

	snprintf(key, sizeof(key), JJ_ACTIVE_PREFIX "%s", operation->id);
	set_call(operation, op, key);
	operation->call.version = version;
	if (is_write(&operation->call)) {
		jj_operations_next_text(
		    &jobs->operations, operation->index_operation);
		operation->call.value = encode_entry(jobs, operation);
	}
	send_call(operation, out);
}

bool
jj_job_operation_is_index(const jj_job_operation_t *operation)
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
 * During an outage of the platform nothing durable can be promised: the
 * caller is told so at once, with when to come back. "not_run" is said only
 * when no write of this operation can have taken effect; a write whose
 * answer is missing, or still awaited at the deadline, may yet have.
 */
void
jj_job_operation_give_up(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	bool unknown = operation->write_unknown ||
	    (operation->in_flight && writes_job(operation));
	jj_ms_t retry_after_ms = jobs->settings.retry_after_ms;
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_JOB_ANSWER);

	if (retry_after_ms < operation->retry_after_ms)
		retry_after_ms = operation->retry_after_ms;
	action->body.job.operation = operation->number;
	action->body.job.status = STATUS_UNAVAILABLE;
	action->body.job.retry_after_ms = retry_after_ms;
	action->body.job.body = encode_problem(STATUS_UNAVAILABLE,
	    "platform_unavailable", give_up_detail(operation, unknown),
	    unknown ? "unknown" : "not_run");
	jj_job_operation_free(jobs, operation);
}

void
jj_job_operation_take(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	/*
	 * A VM frozen between its index entry and its job may wake after the
	 * entry was deleted as an orphan. It would create and acknowledge a
	 * job that no worker finds. Entries are kept for far longer than an
	 * operation may take, so that what comes after the deadline is not
	 * acted on; a resend looks after the entry before it acknowledges.
	 */
	if (now >= operation->deadline) {
		jj_job_operation_give_up(jobs, operation, out);
		return;
	}
	operation->in_flight = false;
	if (result->outcome == JJ_PLATFORM_CONFLICT)
		operation->conflicts++;
	/*
	 * Each conflict is followed by a read and another write without a
	 * wait; a key that conflicts for ever would use up the platform's
	 * rate until the deadline.
	 */
	if (operation->conflicts >= CONFLICTS_MAX)
		jj_job_operation_give_up(jobs, operation, out);
	else if (is_sure(result->outcome))
		operation->take(jobs, operation, result, now, out);
	else
		repeat(jobs, operation, result, now, out);
}

void
jj_job_operation_tick(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_ms_t now, jj_actions_t *out)
{
	if (now >= operation->deadline)
		jj_job_operation_give_up(jobs, operation, out);
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

	/* The key may stand in the call that is replaced. */
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

/* An index entry without its job runs nothing. */
static bool
writes_job(const jj_job_operation_t *operation)
{
	return is_write(&operation->call) &&
	    !jj_job_operation_is_index(operation);
}

static jj_bytes_t
encode_entry(const jj_jobs_t *jobs, const jj_job_operation_t *operation)
{
	json_t *entry =
	    json_pack("{s:s,s:s,s:s}", "job", operation->id, "writer",
		jobs->settings.writer, "operation", operation->index_operation);

	JJ_INVARIANT(entry != NULL);
	return jj_json_take_bytes(entry);
}

static bool
is_sure(jj_platform_outcome_t outcome)
{
	return outcome != JJ_PLATFORM_LIMITED && outcome != JJ_PLATFORM_DOWN &&
	    outcome != JJ_PLATFORM_UNKNOWN;
}

/*
 * Plans the next try, or gives up at once when there is none or when it
 * would come after the deadline.
 *
 * A write without an answer is followed by a read of its key: the write may
 * have taken effect, and only the value tells.
 */
static void
repeat(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_retry_limits_t limits = {
	    jobs->settings.tries, jobs->settings.retry_ms};

	if (operation->retry_after_ms < result->retry_after_ms)
		operation->retry_after_ms = result->retry_after_ms;
	if (result->outcome == JJ_PLATFORM_UNKNOWN &&
	    is_write(&operation->call)) {
		operation->write_unknown |= writes_job(operation);
		set_call(operation, JJ_PLATFORM_GET, operation->call.key);
	}
	if (!jj_retry_plan(
		&operation->retry, &limits, result->retry_after_ms, now) ||
	    operation->retry.at >= operation->deadline)
		jj_job_operation_give_up(jobs, operation, out);
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
give_up_detail(const jj_job_operation_t *operation, bool unknown)
{
	if (!unknown)
		return "the platform does not answer now; nothing was changed";
	if (operation->has_key)
		return "the platform did not confirm the write; sending it "
		       "again with the same idempotency key is safe";
	return "the platform did not confirm the write; look at the job or "
	       "the list of jobs before sending it again";
}
