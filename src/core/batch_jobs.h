/**
 * @file batch_jobs.h
 * @brief The jobs a batch worker knows, and which chunk it takes next.
 *
 * A view of a job is a hint: it may lag. A claim, an out object and the
 * job's end are each decided by one conditional write, so that a view that
 * is behind costs a call, never a second result.
 */
#ifndef JJ_CORE_BATCH_JOBS_H
#define JJ_CORE_BATCH_JOBS_H

#include <sys/queue.h>

#include "core/batch.h"
#include "core/batch_record.h"

/** Most jobs a worker knows; others are found when some have ended. */
#define JJ_KNOWN_JOBS_MAX 4096
/** Ended jobs that are remembered, so that a listing reads them once. */
#define JJ_ENDED_JOBS 16384
/** Dead writers that are remembered. */
#define JJ_DEAD_WRITERS 64
/** Index entries without a job that are remembered. */
#define JJ_ORPHANS 256
/**
 * An index entry without a job is kept so long on the own clock, ms: far
 * longer than a submission may take, whose entry comes before its job.
 */
#define JJ_ORPHAN_GRACE_MS 600000

/** What is known of a chunk. */
typedef enum {
	JJ_VIEW_OPEN, /**< no claim seen */
	JJ_VIEW_CLAIMED, /**< a record exists, no out seen */
	JJ_VIEW_HELD, /**< this worker deals with it */
	JJ_VIEW_OUT, /**< its out object exists */
} jj_chunk_view_t;

/** Another worker's claim, as seen from here. */
typedef struct jj_seen_claim {
	LIST_ENTRY(jj_seen_claim) link;
	uint32_t chunk;
	uint64_t version;
	jj_ms_t seen_ms; /**< own clock, when this version was first seen */
	jj_ms_t lease_ms; /**< of the record; 0: record not read yet */
	bool changed; /**< another version since the record was read */
	bool released;
	char holder[JJ_WRITER_TEXT]; /**< empty: record not read yet */
	/** Version and holder when the holder was held for dead, 0: was not. */
	uint64_t dead_version;
	char dead_holder[JJ_WRITER_TEXT];
	jj_ms_t avoid_until_ms; /**< given back by this VM: not before */
} jj_seen_claim_t;

/** Which call a job's own steps are at. */
typedef enum {
	JJ_STEP_REST,
	JJ_STEP_READ,
	JJ_STEP_LIST_OUTS,
	JJ_STEP_LIST_CLAIMS,
	JJ_STEP_SUM_RECORDS, /**< list the records with their counts */
	JJ_STEP_SUM_OUT, /**< read an out object whose record has none */
	JJ_STEP_CLOSE,
	JJ_STEP_DELETE_ENTRY, /**< of an ended job, or of an orphan */
} jj_job_step_t;

/** A known job. */
typedef struct jj_known_job {
	TAILQ_ENTRY(jj_known_job) link; /**< in due order */
	jj_job_t job;
	bool loaded; /**< the object was read */
	bool created; /**< learnt from its object's event: nothing claimed */
	bool behind; /**< a claim met another's: the views need a refresh */
	bool closing; /**< a close was sent and its outcome is not known */
	bool checks; /**< the refresh is one of those now and then */
	uint64_t own_out; /**< newest out object this worker answered for */
	uint64_t last_out; /**< newest out object listed; versions both */
	uint64_t entry_version; /**< of the index entry seen, 0: none */
	jj_ms_t due_at_ms; /**< own clock */
	uint8_t *views; /**< jj_chunk_view_t of each chunk */
	uint32_t open_count;
	uint32_t claimed_count;
	uint32_t held_count;
	LIST_HEAD(, jj_seen_claim) claims;
	jj_job_step_t step;
	uint64_t token; /**< of the call under way, 0: none */
	jj_ms_t retry_at_ms; /**< the step's call is due */
	uint32_t failures; /**< in a row */
	jj_ms_t refreshed_ms; /**< lists were read; 0: never */
	bool wants_refresh;
	char after[JJ_OBJECT_KEY_MAX + 1]; /**< where a list goes on */
	uint32_t sum_next; /**< next chunk to sum up */
	bool *summed; /**< by chunk, while summing; owned */
	jj_result_counts_t sum;
} jj_known_job_t;

typedef TAILQ_HEAD(jj_known_job_list, jj_known_job) jj_known_jobs_t;

/** An index entry whose job did not exist. */
typedef struct {
	char id[JJ_OBJECT_ID_TEXT];
	uint64_t version;
	jj_ms_t seen_ms; /**< own clock, when this version was first seen */
	jj_ms_t listed_ms; /**< when it was last seen; 0: free */
} jj_orphan_t;

/** The table. */
typedef struct {
	jj_known_jobs_t list;
	uint32_t count;
	uint64_t ended[JJ_ENDED_JOBS]; /**< hashes of ids, by hash */
	char dead[JJ_DEAD_WRITERS][JJ_WRITER_TEXT];
	uint32_t dead_next;
	uint64_t token; /**< of the listing under way, 0: none */
	jj_ms_t list_at_ms;
	bool list_again; /**< events were lost during the listing */
	jj_orphan_t orphans[JJ_ORPHANS];
	uint32_t failures;
	char after[JJ_OBJECT_KEY_MAX + 1];
	jj_ms_t refresh_at_ms; /**< next look at a job known for long */
	jj_ms_t probe_at_ms; /**< next look at a claim that has changed */
	uint32_t probe_misses; /**< such looks in a row that found nothing */
} jj_job_table_t;

/** A chunk to take. */
typedef struct {
	jj_known_job_t *job; /**< NULL: none now */
	uint32_t chunk;
	bool has_record; /**< read the record first, then take it over */
} jj_chunk_choice_t;

void jj_job_table_create(jj_job_table_t *table);
void jj_job_table_destroy(jj_job_table_t *table);

/** The known job, or NULL. */
jj_known_job_t *jj_job_table_find(jj_job_table_t *table, const char *id);
/** Takes note of a job id; reads it if it is new and has not ended. */
void jj_job_table_learn(jj_job_table_t *table, const char *id, bool created);
/** Takes note of a listed index entry. */
void jj_job_table_take_entry(
    jj_job_table_t *table, const char *id, uint64_t version, jj_ms_t now);
/** The listed entry's job does not exist; true when the grace is over. */
bool jj_job_table_is_orphan(
    jj_job_table_t *table, const jj_known_job_t *known, jj_ms_t now);
/** Events were lost: the index is listed again soon. */
void jj_job_table_relist(jj_batch_t *batch, jj_ms_t now);
/** Removes jobs that have ended and of which nothing is held. */
void jj_job_table_sweep(jj_job_table_t *table);

/** Remembers a dead writer. */
void jj_job_table_bury(jj_job_table_t *table, const char *writer);
bool jj_job_table_is_dead(const jj_job_table_t *table, const char *writer);

/** Next chunk for this worker, or none. May ask for a refresh. */
jj_chunk_choice_t jj_job_table_choose(jj_batch_t *batch, jj_ms_t now);

/** Counts a look at another's record; @p found: it may be taken over. */
void jj_job_table_count_probe(jj_job_table_t *table, bool found);

/** This worker published the chunk's out object, or finishes for who did. */
void jj_known_job_answer_for_out(jj_known_job_t *known, uint64_t version);
/** True when the job is cancelled or being cancelled. */
bool jj_known_job_is_cancelled(const jj_known_job_t *known);
/** Takes in the job's object; false when it is malformed. */
bool jj_known_job_update(jj_batch_t *batch, jj_known_job_t *known,
    const jj_bytes_t *value, uint64_t version, jj_ms_t now, jj_actions_t *out);
void jj_known_job_set_view(
    jj_known_job_t *known, uint32_t chunk, jj_chunk_view_t view);
/** The claim seen on a chunk, or NULL. */
jj_seen_claim_t *jj_known_job_find_claim(jj_known_job_t *known, uint32_t chunk);
/** Notes a record's version; a new one restarts its lapse time. */
jj_seen_claim_t *jj_known_job_see_claim(
    jj_known_job_t *known, uint32_t chunk, uint64_t version, jj_ms_t now);
/** Notes a record that was read. */
jj_seen_claim_t *
jj_known_job_read_claim(jj_job_table_t *table, jj_known_job_t *known,
    uint32_t chunk, const jj_chunk_record_t *record, jj_ms_t now);
/** True when a claim may be taken over. */
bool jj_seen_claim_has_lapsed(
    const jj_batch_t *batch, const jj_seen_claim_t *claim, jj_ms_t now);

/** Sends the calls that are due: the listing and the jobs' own steps. */
void jj_job_table_step(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out);
/** Takes a result of the listing or of a job's step; false: not ours. */
bool jj_job_table_take_result(jj_batch_t *batch,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** When the next call of the table is due. */
jj_ms_t jj_job_table_next(const jj_batch_t *batch);

#endif
