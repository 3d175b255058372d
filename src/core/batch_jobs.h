/**
 * @file batch_jobs.h
 * @brief The jobs a batch worker knows, and which chunk it claims next.
 *
 * The view of a job's chunks may be stale. Claims, out objects and the end of
 * the job are each decided by one conditional write, so that a stale view
 * costs a platform call and never causes a second result.
 */
#ifndef JJ_CORE_BATCH_JOBS_H
#define JJ_CORE_BATCH_JOBS_H

#include <sys/queue.h>

#include "core/batch.h"
#include "core/batch_record.h"

/** Maximum of known jobs; others are found later, when some have ended. */
#define JJ_KNOWN_JOBS_MAX 4096
/** Ended jobs that are remembered, so that their events cause no read. */
#define JJ_ENDED_JOBS 16384
/** Maximum of remembered failed writers (processes of VMs). */
#define JJ_FAILED_WRITERS 64
/** Maximum of remembered index entries without a job. */
#define JJ_ORPHANS 256
/**
 * An index entry without a job is deleted after this time by this VM's clock.
 * A submission writes the entry before the job; the time is far longer than a
 * submission may take.
 */
#define JJ_ORPHAN_GRACE_MS 600000

/** Known state of a chunk. */
typedef enum {
	JJ_VIEW_OPEN, /**< no claim known */
	JJ_VIEW_CLAIMED, /**< a record exists, no out object known */
	JJ_VIEW_HELD, /**< held by this worker */
	JJ_VIEW_OUT, /**< its out object exists */
} jj_chunk_view_t;

/** Claim of another worker, as known here. */
typedef struct jj_seen_claim {
	LIST_ENTRY(jj_seen_claim) link;
	uint32_t chunk;
	uint64_t version;
	/** When this version was first seen, by this VM's clock. */
	jj_ms_t first_seen_ms;
	jj_ms_t lease_ms; /**< of the record; 0: record not read yet */
	bool changed; /**< a newer version than the record last read */
	bool released;
	char holder[JJ_WRITER_TEXT]; /**< empty: record not read yet */
	/** Version and holder when the holder was found failed; or 0 and "". */
	uint64_t failed_version;
	char failed_holder[JJ_WRITER_TEXT];
	jj_ms_t no_claim_until_ms; /**< this VM released it: no claim before */
} jj_seen_claim_t;

/** Platform calls for a job as a whole, one at a time. */
typedef enum {
	JJ_STEP_IDLE, /**< none */
	JJ_STEP_READ, /**< read the job's object */
	JJ_STEP_LIST_OUTS,
	JJ_STEP_LIST_CLAIMS,
	JJ_STEP_SUM_RECORDS, /**< list the chunk records with their counts */
	JJ_STEP_SUM_OUT, /**< read an out object, as its record has no counts */
	JJ_STEP_CLOSE, /**< write the job's end with its counts */
	JJ_STEP_DELETE_ENTRY, /**< of an ended job, or without a job */
} jj_job_step_t;

/** A known job. */
typedef struct jj_known_job {
	TAILQ_ENTRY(jj_known_job) link; /**< in due order */
	jj_job_t job;
	bool loaded; /**< the object was read */
	bool created; /**< found by the event of its creation, so that no
			   chunk was claimed yet */
	bool views_stale; /**< a claim conflicted: refresh the views first */
	/** A close was sent that is not known to have failed. */
	bool close_sent;
	bool periodic_refresh; /**< the refresh under way is a periodic one */
	/**
	 * Highest version of the out objects that this worker published or
	 * finished for others.
	 */
	uint64_t own_out_version;
	/** Highest version of the listed out objects. */
	uint64_t last_out_version;
	uint64_t entry_version; /**< of the listed index entry; 0: none */
	jj_ms_t due_at_ms; /**< by this VM's clock */
	uint8_t *views; /**< jj_chunk_view_t of each chunk */
	uint32_t open_count;
	uint32_t claimed_count;
	uint32_t held_count;
	LIST_HEAD(, jj_seen_claim) claims;
	jj_job_step_t step;
	uint64_t token; /**< of the call under way; 0: none */
	jj_ms_t retry_at_ms; /**< earliest time of the step's call */
	uint32_t failures; /**< failed calls in a row */
	/** When the views were last refreshed; 0: never. */
	jj_ms_t refreshed_ms;
	bool wants_refresh;
	char after[JJ_OBJECT_KEY_MAX + 1]; /**< last key of the list's pages */
	uint32_t sum_next; /**< next chunk to sum up */
	bool *summed; /**< by chunk: its counts are in `sum`; owned */
	jj_result_counts_t sum;
} jj_known_job_t;

typedef TAILQ_HEAD(jj_known_job_list, jj_known_job) jj_known_jobs_t;

/** An index entry whose job doesn't exist. */
typedef struct {
	char id[JJ_OBJECT_ID_TEXT];
	uint64_t version;
	/** When this version was first seen, by this VM's clock. */
	jj_ms_t first_seen_ms;
	jj_ms_t listed_ms; /**< when it was last seen; 0: unused */
} jj_orphan_t;

/** The known jobs, and what is remembered of others. */
typedef struct {
	jj_known_jobs_t list;
	uint32_t count;
	/** Id hashes, at hash % JJ_ENDED_JOBS. */
	uint64_t ended[JJ_ENDED_JOBS];
	char failed_writers[JJ_FAILED_WRITERS][JJ_WRITER_TEXT];
	uint32_t failed_writers_next;
	uint64_t token; /**< of the listing under way; 0: none */
	jj_ms_t list_at_ms;
	bool list_again; /**< events were lost during the listing */
	jj_orphan_t orphans[JJ_ORPHANS];
	uint32_t failures; /**< failed listing calls in a row */
	char after[JJ_OBJECT_KEY_MAX + 1]; /**< last key of the pages so far */
	jj_ms_t refresh_at_ms; /**< next periodic refresh of one job */
	jj_ms_t probe_at_ms; /**< earliest next read of a changed record */
	uint32_t probe_misses; /**< such reads in a row without a takeover */
} jj_job_table_t;

/** A chunk to claim. */
typedef struct {
	jj_known_job_t *job; /**< NULL: none now */
	uint32_t chunk;
	bool has_record; /**< read another's record before the takeover */
} jj_chunk_choice_t;

void jj_job_table_create(jj_job_table_t *table);
void jj_job_table_destroy(jj_job_table_t *table);

/** The known job, or NULL. */
jj_known_job_t *jj_job_table_find(jj_job_table_t *table, const char *id);
/**
 * Adds a job by its id, unless it is known or remembered as ended. Its object
 * is then read. @p created: found by the event of the object's creation.
 */
void jj_job_table_add_job(jj_job_table_t *table, const char *id, bool created);
/** Handles a listed index entry: adds its job if it is unknown. */
void jj_job_table_take_entry(
    jj_job_table_t *table, const char *id, uint64_t version, jj_ms_t now);
/**
 * Notes that the job of a listed index entry doesn't exist.
 * @return true when the entry has been without a job for the grace period.
 */
bool jj_job_table_is_orphan(
    jj_job_table_t *table, const jj_known_job_t *known, jj_ms_t now);
/** Lists the index again soon, after events were lost. */
void jj_job_table_relist(jj_batch_t *batch, jj_ms_t now);
/** Removes jobs that have ended and have no held chunk. */
void jj_job_table_sweep(jj_job_table_t *table);

/** Remembers a writer (a process of a VM) as failed. */
void jj_job_table_mark_failed(jj_job_table_t *table, const char *writer);
bool jj_job_table_has_failed(const jj_job_table_t *table, const char *writer);

/** Chooses this worker's next chunk, if any. May request a refresh of views. */
jj_chunk_choice_t jj_job_table_choose(jj_batch_t *batch, jj_ms_t now);

/**
 * Counts a read of another worker's record; reads become rarer while they find
 * nothing. @p found: the chunk may be taken over or is done.
 */
void jj_job_table_count_probe(jj_job_table_t *table, bool found);

/**
 * Notes the version of an out object that this worker published, or whose
 * record it marks as done for a lost publisher.
 */
void jj_known_job_note_own_out(jj_known_job_t *known, uint64_t version);
/** True when the job is cancelled or being cancelled. */
bool jj_known_job_is_cancelled(const jj_known_job_t *known);
/** Updates the job from its object; false when it is malformed. */
bool jj_known_job_update(jj_batch_t *batch, jj_known_job_t *known,
    const jj_bytes_t *value, uint64_t version, jj_ms_t now, jj_actions_t *out);
void jj_known_job_set_view(
    jj_known_job_t *known, uint32_t chunk, jj_chunk_view_t view);
/** Another worker's claim on a chunk, or NULL. */
jj_seen_claim_t *jj_known_job_find_claim(jj_known_job_t *known, uint32_t chunk);
/** Notes a record's version; a newer one restarts the time until it lapses. */
jj_seen_claim_t *jj_known_job_note_claim(
    jj_known_job_t *known, uint32_t chunk, uint64_t version, jj_ms_t now);
/** Notes the content of a record that was read. */
jj_seen_claim_t *
jj_known_job_note_record(jj_job_table_t *table, jj_known_job_t *known,
    uint32_t chunk, const jj_chunk_record_t *record, jj_ms_t now);
/** True when a claim may be taken over. */
bool jj_seen_claim_has_lapsed(
    const jj_batch_t *batch, const jj_seen_claim_t *claim, jj_ms_t now);

/** Sends the calls that are due: the listing and the steps of the jobs. */
void jj_job_table_step(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out);
/** Handles a result of the listing or of a step; false: of neither. */
bool jj_job_table_take_result(jj_batch_t *batch,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Time at which the table's next call is due. */
jj_ms_t jj_job_table_next(const jj_batch_t *batch);

#endif
