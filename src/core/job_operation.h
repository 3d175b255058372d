/**
 * @file job_operation.h
 * @brief One job operation under way: its platform calls and its answer.
 *
 * Private to the job modules. An operation makes one platform call at a time.
 * Failed calls are retried here. The handlers in job_submit, job_cancel and
 * job_read get only definite results. Each operation ends with exactly one
 * answer.
 */
#ifndef JJ_CORE_JOB_OPERATION_H
#define JJ_CORE_JOB_OPERATION_H

#include <sys/queue.h>

#include <jansson.h>

#include "core/job.h"
#include "core/operation.h"
#include "core/retry.h"

typedef struct jj_job_operation jj_job_operation_t;

/** Handles a definite result (OK, ABSENT, CONFLICT, GAP) of the call. */
typedef void (*jj_job_result_handler_t)(jj_jobs_t *jobs,
    jj_job_operation_t *operation, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);

/** One operation. */
struct jj_job_operation {
	TAILQ_ENTRY(jj_job_operation) link;
	uint64_t number; /**< given by the caller; returned in the answer */
	uint64_t token; /**< of its platform calls */
	jj_job_result_handler_t handler;
	jj_ms_t deadline;
	jj_platform_call_t call; /**< under way, or to be retried; owned */
	bool in_flight;
	/** A write of the job's object got no answer and may be applied. */
	bool job_write_unknown;
	jj_ms_t retry_after_ms; /**< longest wait requested by the platform */
	jj_retry_t retry;
	uint32_t conflicts; /**< calls that ended with a conflict */

	char id[JJ_OBJECT_ID_TEXT];
	jj_job_t job; /**< as read, or to be written */
	bool has_key; /**< the submission has an idempotency key */
	/** The entry below JJ_ACTIVE_PREFIX is confirmed. */
	bool entry_confirmed;
	bool job_exists; /**< `job` was read: it exists at the platform */
	char entry_operation[JJ_OPERATION_TEXT]; /**< id of the entry's write */
	uint32_t chunk; /**< chunk whose results are read */
	json_t *data; /**< jobs of the list so far; owned */
};

struct jj_jobs {
	jj_jobs_settings_t settings;
	jj_operations_t operations; /**< generator of operation ids */
	uint64_t last_token;
	TAILQ_HEAD(, jj_job_operation) under_way;
};

/** Begins an operation; @p handler handles the results of its calls. */
jj_job_operation_t *jj_job_operation_begin(jj_jobs_t *jobs, uint64_t number,
    jj_job_result_handler_t handler, jj_ms_t now);
/** Sends a platform call without a value. */
void jj_job_operation_call(jj_job_operation_t *operation, jj_platform_op_t op,
    const char *key, jj_actions_t *out);
/** Sends a call that lists keys. */
void jj_job_operation_call_list(jj_job_operation_t *operation,
    const char *prefix, const char *after, int limit, jj_actions_t *out);
/** Sends a create or update of the job's object, from `job`. */
void jj_job_operation_write(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_platform_op_t op, jj_actions_t *out);
/**
 * Sends a create, update (on @p version) or get of the job's entry in the
 * index of active jobs.
 */
void jj_job_operation_call_entry(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_platform_op_t op, uint64_t version, jj_actions_t *out);
/** True when the call under way is for the job's index entry. */
bool jj_job_operation_is_for_entry(const jj_job_operation_t *operation);
/** Sends a get of the object of the job `id`. */
void jj_job_operation_read(jj_job_operation_t *operation, jj_actions_t *out);
/**
 * Decodes a job that was read.
 * @return false when it is malformed; the operation has then ended with 500.
 */
bool jj_job_operation_decode(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out);
/** Ends the operation with a body, taking ownership of it. */
void jj_job_operation_answer(jj_jobs_t *jobs, jj_job_operation_t *operation,
    int status, jj_bytes_t body, jj_actions_t *out);
/** Ends the operation with the job as its body. */
void jj_job_operation_answer_job(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out);
/** Ends the operation with a problem document; "run" is "not_run". */
void jj_job_operation_refuse(jj_jobs_t *jobs, jj_job_operation_t *operation,
    int status, const char *code, const char *detail, jj_actions_t *out);
/**
 * Ends the operation with 503, a retry time for the caller, and whether it may
 * have been applied ("run": "not_run" or "unknown").
 */
void jj_job_operation_end_unavailable(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out);
/** Handles any result: retries failed calls, passes definite results on. */
void
jj_job_operation_take_result(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Retries the call when it is due; ends the operation at its deadline. */
void jj_job_operation_tick(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_ms_t now, jj_actions_t *out);
/** Frees the operation. */
void jj_job_operation_free(jj_jobs_t *jobs, jj_job_operation_t *operation);

#endif
