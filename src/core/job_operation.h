/**
 * @file job_operation.h
 * @brief One job operation under way: its platform calls and its answer.
 *
 * Private to the job modules. An operation makes one platform call at a
 * time. Failed calls are repeated here; job_submit, job_cancel and job_read
 * see only answers that are sure, in their take function. Each of them ends
 * the operation with exactly one answer.
 */
#ifndef JJ_CORE_JOB_OPERATION_H
#define JJ_CORE_JOB_OPERATION_H

#include <sys/queue.h>

#include <jansson.h>

#include "core/job.h"
#include "core/operation.h"
#include "core/retry.h"

typedef struct jj_job_operation jj_job_operation_t;

/** Takes a sure result (OK, ABSENT, CONFLICT, GAP) of the call. */
typedef void (*jj_job_take_t)(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);

/** One operation. */
struct jj_job_operation {
	TAILQ_ENTRY(jj_job_operation) link;
	uint64_t number; /**< the caller's, for the answer */
	uint64_t token; /**< of its platform calls */
	jj_job_take_t take;
	jj_ms_t deadline;
	jj_platform_call_t call; /**< under way, or to be repeated; owned */
	bool in_flight;
	/** A write of this operation may have taken effect unseen. */
	bool write_unknown;
	jj_ms_t retry_after_ms; /**< longest the platform asked for */
	jj_retry_t retry;
	uint32_t conflicts; /**< writes that met another version */

	char id[JJ_OBJECT_ID_TEXT];
	jj_job_t job; /**< as read, or as it is to be written */
	bool has_key; /**< the submission came with an idempotency key */
	bool indexed; /**< the entry below JJ_ACTIVE_PREFIX is confirmed */
	bool found; /**< `job` stands at the platform already */
	char index_operation[JJ_OPERATION_TEXT]; /**< of the entry's write */
	uint32_t chunk; /**< whose results are read */
	json_t *data; /**< jobs of a list so far; owned */
};

struct jj_jobs {
	jj_jobs_settings_t settings;
	jj_operations_t operations; /**< generator of operation ids */
	uint64_t last_token;
	TAILQ_HEAD(, jj_job_operation) under_way;
};

/** Begins an operation whose results go to @p take. */
jj_job_operation_t *jj_job_operation_begin(
    jj_jobs_t *jobs, uint64_t number, jj_job_take_t take, jj_ms_t now);
/** Sends a platform call without a value. */
void jj_job_operation_call(jj_job_operation_t *operation, jj_platform_op_t op,
    const char *key, jj_actions_t *out);
/** Sends a list call of keys. */
void jj_job_operation_call_list(jj_job_operation_t *operation,
    const char *prefix, const char *after, int limit, jj_actions_t *out);
/** Sends a create or update of the job's object from `job`. */
void jj_job_operation_write(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_platform_op_t op, jj_actions_t *out);
/**
 * Sends a create, update (on @p version) or get of the job's entry in the
 * index of active jobs.
 */
void jj_job_operation_call_index(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_platform_op_t op, uint64_t version, jj_actions_t *out);
/** True when the call under way is one of the job's index entry. */
bool jj_job_operation_is_index(const jj_job_operation_t *operation);
/** Reads the object of the job `id`. */
void jj_job_operation_read(jj_job_operation_t *operation, jj_actions_t *out);
/** Decodes a job that was read; when malformed, answers 500: false. */
bool jj_job_operation_decode(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out);
/** Ends the operation with a body, which is taken over. */
void jj_job_operation_answer(jj_jobs_t *jobs, jj_job_operation_t *operation,
    int status, jj_bytes_t body, jj_actions_t *out);
/** Ends the operation with the job as its body. */
void jj_job_operation_answer_job(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out);
/** Ends the operation with a problem; it was not run. */
void jj_job_operation_refuse(jj_jobs_t *jobs, jj_job_operation_t *operation,
    int status, const char *code, const char *detail, jj_actions_t *out);
/** Ends the operation at once with 503, a time to come back and its run. */
void jj_job_operation_give_up(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out);
/** Takes any result: repeats what failed, hands on what is sure. */
void jj_job_operation_take(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Sends the call again when its wait is over; gives up at the deadline. */
void jj_job_operation_tick(jj_jobs_t *jobs, jj_job_operation_t *operation,
    jj_ms_t now, jj_actions_t *out);
/** Frees the operation. */
void jj_job_operation_free(jj_jobs_t *jobs, jj_job_operation_t *operation);

#endif
