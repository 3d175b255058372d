/**
 * @file batch_chunk.h
 * @brief One chunk that a batch worker holds, from claim to out object.
 *
 * At most one platform call of a chunk is under way at a time.
 */
#ifndef JJ_CORE_BATCH_CHUNK_H
#define JJ_CORE_BATCH_CHUNK_H

#include <sys/queue.h>

#include "core/batch_jobs.h"
#include "core/batch_line.h"

/** Phases of a chunk; each but RUN makes one platform call. */
typedef enum {
	JJ_PHASE_READ_RECORD, /**< may another's record be taken over? */
	JJ_PHASE_CLAIM, /**< create or take over the record */
	JJ_PHASE_CHECK_CLAIM, /**< claim conflicted: read whose record it is */
	JJ_PHASE_READ_OUT, /**< did the previous holder publish? */
	JJ_PHASE_READ_JOB, /**< is the job still running? */
	JJ_PHASE_READ_PART, /**< read the items from the input file */
	JJ_PHASE_RUN, /**< run items, write a checkpoint at intervals */
	JJ_PHASE_CHECK_RECORD, /**< checkpoint conflicted: read the record */
	JJ_PHASE_CHECK_JOB, /**< was the job cancelled meanwhile? */
	JJ_PHASE_PUBLISH, /**< create the out object */
	JJ_PHASE_CHECK_OUT, /**< publish conflicted: read the out object */
	JJ_PHASE_FINISH, /**< mark the record as done */
	JJ_PHASE_DROPPED, /**< not held; removed at the round's end */
} jj_chunk_phase_t;

typedef enum {
	JJ_ITEM_OPEN,
	JJ_ITEM_MARKING, /**< the write that records its start is unconfirmed */
	JJ_ITEM_RUNNING,
	JJ_ITEM_ENDED,
} jj_item_state_t;

/** An item of a held chunk. */
typedef struct {
	jj_item_state_t state;
	jj_batch_line_t line;
	bool idempotent; /**< as configured when it was last sent */
	/** The record is confirmed to name it as started. */
	bool start_confirmed;
	bool was_sent; /**< sent at least once */
	bool withdrawn; /**< a run was withdrawn and may have begun */
	uint64_t run; /**< number of the run under way */
	uint32_t attempts; /**< runs that may have reached a server */
	uint32_t not_run_count; /**< runs that verifiably didn't */
	jj_ms_t ready_at_ms; /**< earliest time of the next run */
	uint32_t service; /**< index in the table of services */
} jj_batch_item_t;

/** Kinds of writes. */
typedef enum {
	JJ_WRITE_NONE,
	JJ_WRITE_CLAIM,
	JJ_WRITE_RENEW,
	JJ_WRITE_RELEASE,
	JJ_WRITE_OUT,
	JJ_WRITE_DONE,
} jj_write_kind_t;

/** A write, kept until its outcome is known; retries send the same bytes. */
typedef struct {
	jj_write_kind_t kind;
	bool is_create;
	bool may_be_applied; /**< an earlier try may have been applied */
	char operation[JJ_OPERATION_TEXT];
	jj_bytes_t value;
	/** Time of the first try; the lease starts here. */
	jj_ms_t first_sent_ms;
} jj_chunk_write_t;

typedef struct jj_held_chunk {
	TAILQ_ENTRY(jj_held_chunk) link;
	jj_known_job_t *job;
	uint32_t number;
	jj_chunk_phase_t phase;
	uint64_t token; /**< of the call under way; 0: none */
	jj_ms_t retry_at_ms; /**< earliest time of the next call */
	uint32_t failures; /**< failed calls in a row */
	bool takeover; /**< claimed by taking over another's record */
	bool unreachable; /**< the last call failed or was not answered */
	bool must_renew; /**< a renewal must succeed before publishing */
	bool is_required_renewal; /**< the write under way is that renewal */
	bool check_job_next; /**< read the job after the write under way */
	uint64_t version; /**< of the record */
	uint64_t fence;
	uint64_t renewals; /**< by this holder so far */
	jj_ms_t lease_until_ms; /**< by this VM's clock */
	jj_ms_t renew_at_ms;
	jj_chunk_write_t write;
	jj_result_counts_t counts; /**< results in the stored out object */
	uint32_t count; /**< items */
	uint32_t ended; /**< items with a result */
	uint32_t running; /**< items sent and not ended */
	jj_ms_t blocked_since_ms; /**< since when nothing runs for lack of free
				 capacity; 0: not blocked */
	jj_batch_item_t *items;
	jj_item_result_t *results;
	bool *started; /**< by item: recorded as started */
} jj_held_chunk_t;

typedef TAILQ_HEAD(jj_held_chunk_list, jj_held_chunk) jj_held_chunks_t;

/** Creates the state of a chosen chunk, in its first phase. */
jj_held_chunk_t *
jj_held_chunk_create(jj_batch_t *batch, const jj_chunk_choice_t *choice);
void jj_held_chunk_destroy(jj_held_chunk_t *chunk);
/** Sends the chunk's next platform call when it is due. */
void jj_held_chunk_step(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out);
/** Handles the result of the call under way. */
void jj_held_chunk_take_result(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Adds the chunk's running items to the counts by service. */
void
jj_held_chunk_count_running(jj_batch_t *batch, const jj_held_chunk_t *chunk);
/**
 * True when the chunk should be released, so that a VM with free capacity for
 * its items can claim it.
 */
bool jj_held_chunk_should_release(
    const jj_batch_t *batch, const jj_held_chunk_t *chunk, jj_ms_t now);
/** Before a release: clears the start marks of items that were never sent. */
void jj_held_chunk_unmark_unsent(jj_held_chunk_t *chunk);
/** Sends items that may run, up to the worker's free capacity. */
void jj_held_chunk_send_items(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out);
/**
 * Prepares an update of the record as the next write. For a creation, the
 * caller sets `is_create` afterwards.
 */
void jj_held_chunk_prepare_record(jj_batch_t *batch, jj_held_chunk_t *chunk,
    jj_write_kind_t kind, jj_chunk_state_t state);
/** Frees the write; its outcome is known. */
void jj_held_chunk_discard_write(jj_held_chunk_t *chunk);
/** Stops holding the chunk; @p view is its state as known now. */
void jj_held_chunk_drop(jj_held_chunk_t *chunk, jj_chunk_view_t view);
/** Decodes the items of the file's part; false when the part is malformed. */
bool jj_held_chunk_load(
    jj_held_chunk_t *chunk, const jj_bytes_t *part, jj_batch_t *batch);
/**
 * Marks the items that must be recorded as started before they are sent.
 * @return how many were marked.
 */
uint32_t jj_held_chunk_mark_started(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now);
/** Ends the marking after the write was confirmed or verifiably not applied. */
void jj_held_chunk_end_marking(jj_held_chunk_t *chunk, bool confirmed);
/** Ends all items without a result as cancelled. */
void jj_held_chunk_cancel_items(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** Cancels runs under way: all, or only those of idempotent items. */
void
jj_held_chunk_stop_items(jj_held_chunk_t *chunk, bool all, jj_actions_t *out);
/** Ends a run; false when it doesn't belong to this chunk. */
bool
jj_held_chunk_end_item(jj_batch_t *batch, jj_held_chunk_t *chunk, uint64_t run,
    jj_item_outcome_t outcome, int status, const jj_bytes_t *body, jj_ms_t now);
/** Handles the job's cancellation: items without a result end as cancelled. */
void jj_held_chunk_cancel(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** Drops the chunk: another VM holds it, or its job has ended. */
void jj_held_chunk_lose(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** Begins a planned stop: cancels runs of idempotent items. */
void jj_held_chunk_leave(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** Counts items that can run now; before the chunk is loaded, all. */
uint32_t jj_held_chunk_count_ready(const jj_held_chunk_t *chunk, jj_ms_t now);
/** True when no open item was accepted, each in several runs. */
bool jj_held_chunk_is_stalled(const jj_held_chunk_t *chunk);
/** Time at which the chunk's next call or item is due. */
jj_ms_t
jj_held_chunk_next(const jj_batch_t *batch, const jj_held_chunk_t *chunk);

#endif
