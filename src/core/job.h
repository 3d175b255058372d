/**
 * @file job.h
 * @brief Batch jobs as callers see them: submit, status, cancel, results.
 *
 * Every operation ends with one JJ_ACTION_JOB_ANSWER (HTTP status, JSON).
 * A job is acknowledged only after its object exists at the platform. The
 * same submission under the same idempotency key, to whichever VM, gives the
 * same job; the same key with other content is a clear conflict (409).
 */
#ifndef JJ_CORE_JOB_H
#define JJ_CORE_JOB_H

#include "core/action.h"

/** Longest endpoint of a job, bytes. */
#define JJ_JOB_ENDPOINT_MAX 127
/** Most jobs of one page of a list. */
#define JJ_JOB_PAGE 20
/**
 * Index of the jobs that have not ended: `active/ID`. Below `jobs/` stand
 * all jobs of days with their chunks; workers list the index instead. A job
 * that was acknowledged and has not ended has an entry.
 */
#define JJ_ACTIVE_PREFIX "active/"

/** A job's state. */
typedef enum {
	JJ_JOB_RUNNING,
	JJ_JOB_CANCELLING, /**< read as cancelled; never written here */
	JJ_JOB_CANCELLED,
	JJ_JOB_COMPLETED,
} jj_job_state_t;

/** A job's object, decoded. */
typedef struct {
	char id[25];
	jj_name_t team;
	jj_name_t service; /**< empty: each line's url and model decide */
	char endpoint[JJ_JOB_ENDPOINT_MAX + 1]; /**< as submitted, shown */
	jj_bytes_t metadata; /**< JSON object as submitted, owned, or empty */
	char input_file[25];
	uint32_t items;
	uint32_t part_count;
	uint32_t *part_items; /**< owned */
	jj_ms_t due_after_ms; /**< due, counted from the submit */
	int64_t submitted_at; /**< Unix seconds, for showing only */
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
/** The job's object, to be written by @p writer; freed by the caller. */
jj_bytes_t jj_job_encode(const jj_job_t *job, const char *writer);
/**
 * True when nothing is left to do: completed, or cancelled with all its
 * items counted.
 */
bool jj_job_has_ended(const jj_job_t *job);
/** Frees what the job owns and empties it. */
void jj_job_clear(jj_job_t *job);
/**
 * Ends a running job with its counts; to be written by update on `version`
 * under a new operation id.
 * @return false, and nothing changes, when the job has ended already: a
 * cancelled job stays cancelled.
 */
bool jj_job_finish(jj_job_t *job, uint32_t done, uint32_t failed);
/** Name of a state in the job's object. */
const char *jj_job_state_name(jj_job_state_t state);
/** The job in the widely used shape of a batch object. */
jj_bytes_t jj_job_describe(const jj_job_t *job);

typedef struct {
	char writer[JJ_NAME_MAX + 20];
	uint64_t seed;
	uint32_t tries; /**< of one platform call; default 4 */
	jj_ms_t retry_ms; /**< first wait between, doubles; 100 */
	jj_ms_t operation_ms; /**< an operation is given up after; 8000 */
	jj_ms_t retry_after_ms; /**< told to callers; default 2000 */
} jj_jobs_settings_t;

/** The operations under way at this VM. */
typedef struct jj_jobs jj_jobs_t;

jj_jobs_t *jj_jobs_create(const jj_jobs_settings_t *settings);
void jj_jobs_destroy(jj_jobs_t *jobs);

/**
 * Submits: @p request is the JSON body {"input_file_id","endpoint",
 * "completion_window" such as "24h" or "90s","metadata"}; @p key the
 * idempotency key or NULL. 200 with the job; 409 for the same key with other
 * content; 404 for an unknown file; 422 malformed; 503 with retry.
 */
void jj_jobs_submit(jj_jobs_t *jobs, uint64_t operation, const char *team,
    const char *key, const jj_bytes_t *request, int64_t unix_seconds,
    jj_ms_t now, jj_actions_t *out);
/** Status: reads the job and, while it runs, counts the finished chunks. */
void jj_jobs_status(jj_jobs_t *jobs, uint64_t operation, const char *id,
    jj_ms_t now, jj_actions_t *out);
/** Cancels: 200 once the cancel is durable (or the job has ended). */
void jj_jobs_cancel(jj_jobs_t *jobs, uint64_t operation, const char *id,
    jj_ms_t now, jj_actions_t *out);
/**
 * Reads results of one chunk: 200 with the JSON lines of the chunk in the
 * widely used shape of a batch output file; 204 when that chunk has none
 * yet; 404 unknown job; 410 past the last chunk. Also for finished and
 * cancelled jobs, from any VM.
 */
void jj_jobs_results(jj_jobs_t *jobs, uint64_t operation, const char *id,
    uint32_t chunk, jj_ms_t now, jj_actions_t *out);
/**
 * Lists jobs of all teams by id, JJ_JOB_PAGE at most: 200
 * {"object":"list","data":[…],"has_more":…}. @p after: the last id of the
 * page before, or NULL.
 */
void jj_jobs_list(jj_jobs_t *jobs, uint64_t operation, const char *after,
    jj_ms_t now, jj_actions_t *out);
/** A platform result of owner JJ_OWNER_BATCH with the token's top bit clear;
 * results of operations that were given up on are ignored. */
void jj_jobs_take_result(jj_jobs_t *jobs, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
/** Repeats calls whose wait is over; answers operations whose time is up. */
void jj_jobs_tick(jj_jobs_t *jobs, jj_ms_t now, jj_actions_t *out);
/** When jj_jobs_tick has something to do; JJ_MS_NEVER for nothing. */
jj_ms_t jj_jobs_next(const jj_jobs_t *jobs);

#endif
