/**
 * @file job.h
 * @brief Batch jobs as callers see them: submit, status, cancel, results.
 *
 * Every operation ends with one JJ_ACTION_JOB_ANSWER (HTTP status, JSON).
 * A job is acknowledged only after its object exists at the platform. The
 * same submission with the same idempotency key gives the same job, at any VM.
 * The same key with other content is refused (409).
 */
#ifndef JJ_CORE_JOB_H
#define JJ_CORE_JOB_H

#include "core/action.h"

/** Maximum length of a job's endpoint, bytes. */
#define JJ_JOB_ENDPOINT_MAX 127
/** Maximum of jobs in one page of a list. */
#define JJ_JOB_PAGE 20
/**
 * Index of the jobs that have not ended: `active/ID`. Each acknowledged job
 * has an entry until it ends. Workers list the index, as `jobs/` holds all
 * jobs of the past days with their chunks.
 */
#define JJ_ACTIVE_PREFIX "active/"

/** A job's state. */
typedef enum {
	JJ_JOB_RUNNING,
	JJ_JOB_CANCELLING, /**< treated as cancelled; never written here */
	JJ_JOB_CANCELLED,
	JJ_JOB_COMPLETED,
} jj_job_state_t;

/** A job's object, decoded. */
typedef struct {
	char id[25];
	jj_name_t team;
	jj_name_t service; /**< empty: each line's url and model name it */
	char endpoint[JJ_JOB_ENDPOINT_MAX + 1]; /**< as submitted; only shown */
	jj_bytes_t metadata; /**< JSON object as submitted, owned, or empty */
	char input_file[25];
	uint32_t items;
	uint32_t part_count;
	uint32_t *part_items; /**< owned */
	jj_ms_t due_after_ms; /**< due time, from the submission */
	int64_t submitted_at; /**< Unix seconds; shown, and orders the jobs */
	jj_job_state_t state;
	uint32_t done; /**< items answered with a response */
	uint32_t failed; /**< items that ended with an error */
	uint32_t cancelled_items; /**< items that have no result */
	uint64_t fingerprint;
	char key[JJ_IDEMPOTENCY_KEY_MAX + 1];
	char operation[17];
	uint64_t version; /**< of the object */
} jj_job_t;

/** Decodes a job's object; false (and an empty job) when malformed. */
bool jj_job_decode(jj_job_t *job, const jj_bytes_t *value, uint64_t version);
/** Encodes the job's object, written by @p writer; freed by the caller. */
jj_bytes_t jj_job_encode(const jj_job_t *job, const char *writer);
/**
 * True when the job is completed, or cancelled with all its items counted.
 */
bool jj_job_has_ended(const jj_job_t *job);
/** Frees what the job owns and empties it. */
void jj_job_clear(jj_job_t *job);
/**
 * Completes a running job with its counts. The caller then writes it with a
 * new operation id, by an update on `version`.
 * @return false, with the job unchanged, when it is not running: a cancelled
 * job stays cancelled.
 */
bool jj_job_finish(jj_job_t *job, uint32_t done, uint32_t failed);
/** Name of a state as stored in the job's object. */
const char *jj_job_state_name(jj_job_state_t state);
/** Encodes the job for callers, in the widely used form of a batch object. */
jj_bytes_t jj_job_describe(const jj_job_t *job);

typedef struct {
	char writer[JJ_NAME_MAX + 20];
	uint64_t seed;
	uint32_t tries; /**< of one platform call; default 4 */
	jj_ms_t retry_ms; /**< wait before the first retry, doubles; 100 */
	jj_ms_t operation_ms; /**< time limit of an operation; 8000 */
	jj_ms_t retry_after_ms; /**< for callers, with a 503; default 2000 */
} jj_jobs_settings_t;

/** The job operations under way at this VM. */
typedef struct jj_jobs jj_jobs_t;

jj_jobs_t *jj_jobs_create(const jj_jobs_settings_t *settings);
void jj_jobs_destroy(jj_jobs_t *jobs);

/**
 * Submits a job. Answers 200 with the job; 409 for the same key with other
 * content; 404 for an unknown file; 422 for a malformed request; 503 when the
 * platform is unavailable.
 * @param key the idempotency key or NULL.
 * @param request JSON body {"input_file_id","endpoint","completion_window"
 * such as "24h" or "90s","metadata"}.
 */
void jj_jobs_submit(jj_jobs_t *jobs, uint64_t operation, const char *team,
    const char *key, const jj_bytes_t *request, int64_t unix_seconds,
    jj_ms_t now, jj_actions_t *out);
/** Reads a job's status. Unless it is completed, counts its done chunks. */
void jj_jobs_status(jj_jobs_t *jobs, uint64_t operation, const char *id,
    jj_ms_t now, jj_actions_t *out);
/** Cancels a job: 200 once the cancel is durable, or if the job has ended. */
void jj_jobs_cancel(jj_jobs_t *jobs, uint64_t operation, const char *id,
    jj_ms_t now, jj_actions_t *out);
/**
 * Reads the results of one chunk: 200 with JSON lines in the widely used form
 * of a batch output file; 204 when the chunk has none yet; 404 for an unknown
 * job; 410 past the last chunk. Works at any VM, also for finished and
 * cancelled jobs.
 */
void jj_jobs_results(jj_jobs_t *jobs, uint64_t operation, const char *id,
    uint32_t chunk, jj_ms_t now, jj_actions_t *out);
/**
 * Lists up to JJ_JOB_PAGE jobs of all teams, by id: 200
 * {"object":"list","data":[…],"has_more":…}. @p after: the last id of the
 * previous page, or NULL.
 */
void jj_jobs_list(jj_jobs_t *jobs, uint64_t operation, const char *after,
    jj_ms_t now, jj_actions_t *out);
/**
 * Handles a platform result of owner JJ_OWNER_BATCH with the token's top bit
 * clear. Results of operations that have ended are ignored.
 */
void jj_jobs_take_result(jj_jobs_t *jobs, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
/** Retries calls that are due; answers operations past their deadline. */
void jj_jobs_tick(jj_jobs_t *jobs, jj_ms_t now, jj_actions_t *out);
/** Time at which jj_jobs_tick is due next; JJ_MS_NEVER for nothing. */
jj_ms_t jj_jobs_next(const jj_jobs_t *jobs);

#endif
