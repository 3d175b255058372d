/**
 * @file batch_chunk.h
 * @brief One chunk that a batch worker deals with, from claim to out object.
 *
 * At most one platform call of a chunk is under way at a time.
 */
#ifndef JJ_CORE_BATCH_CHUNK_H
#define JJ_CORE_BATCH_CHUNK_H

#include <sys/queue.h>

#include "core/batch_jobs.h"
#include "core/batch_line.h"

/** What a chunk is at; each phase but RUN is one platform call. */
typedef enum {
	JJ_PHASE_EXAMINE, /**< read a record that may be taken over */
	JJ_PHASE_CLAIM, /**< create or take over the record */
	JJ_PHASE_CHECK_CLAIM, /**< whose record stands after a conflict? */
	JJ_PHASE_READ_OUT, /**< did the last holder publish? */
	JJ_PHASE_READ_JOB, /**< is the job still running? */
	JJ_PHASE_READ_PART, /**< the items */
	JJ_PHASE_RUN, /**< items run; checkpoints now and then */
	JJ_PHASE_CHECK_RECORD, /**< whose record stands after a conflict? */
	JJ_PHASE_CHECK_JOB, /**< was the job cancelled meanwhile? */
	JJ_PHASE_PUBLISH, /**< create the out object */
	JJ_PHASE_CHECK_OUT, /**< whose out object stands? */
	JJ_PHASE_FINISH, /**< mark the record as done */
	JJ_PHASE_GONE, /**< to be removed */
} jj_chunk_phase_t;

typedef enum {
	JJ_ITEM_OPEN,
	JJ_ITEM_MARKING, /**< its start is in a write not confirmed yet */
	JJ_ITEM_RUNNING,
	JJ_ITEM_ENDED,
} jj_item_state_t;

/** An item of a held chunk. */
typedef struct {
	jj_item_state_t state;
	jj_batch_line_t line;
	bool idempotent; /**< when it was last offered */
	bool cleared; /**< its start is confirmed in the record */
	bool offered; /**< at least once */
	bool withdrawn; /**< a run that may have begun was taken back */
	uint64_t run; /**< number of the run under way */
	uint32_t attempts; /**< runs that may have reached a server */
	uint32_t not_run; /**< runs that surely did not */
	jj_ms_t ready_at_ms; /**< not offered before */
	uint32_t service; /**< place in the table of services */
} jj_batch_item_t;

/** What the write under way does. */
typedef enum {
	JJ_WRITE_NONE,
	JJ_WRITE_CLAIM,
	JJ_WRITE_RENEW,
	JJ_WRITE_RELEASE,
	JJ_WRITE_OUT,
	JJ_WRITE_DONE,
} jj_write_kind_t;

/** A write, kept until its outcome is known: repeats are byte for byte. */
typedef struct {
	jj_write_kind_t kind;
	bool creates;
	bool unsure; /**< an earlier try may have taken effect */
	char operation[JJ_OPERATION_TEXT];
	jj_bytes_t value;
	jj_ms_t sent_ms; /**< first try: the lease counts from it */
} jj_chunk_write_t;

typedef struct jj_held_chunk {
	TAILQ_ENTRY(jj_held_chunk) link;
	jj_known_job_t *job;
	uint32_t number;
	jj_chunk_phase_t phase;
	uint64_t token; /**< of the call under way, 0: none */
	jj_ms_t retry_at_ms;
	uint32_t failures;
	bool takeover;
	bool unreachable; /**< the last call did not reach the platform */
	bool must_confirm; /**< renew the claim once more, then publish */
	bool confirms; /**< the write under way is that renewal */
	bool checks_job; /**< read the job after the write under way */
	uint64_t version; /**< of the record */
	uint64_t fence;
	uint64_t beat;
	jj_ms_t lease_until_ms; /**< own clock */
	jj_ms_t renew_at_ms;
	jj_chunk_write_t write;
	jj_result_counts_t counts; /**< of the out object that stands */
	uint32_t count; /**< items */
	uint32_t ended; /**< items with a result */
	uint32_t running; /**< items offered and not ended */
	jj_ms_t blocked_ms; /**< no item finds room since, 0: is not so */
	jj_batch_item_t *items;
	jj_item_result_t *results;
	bool *started;
} jj_held_chunk_t;

typedef TAILQ_HEAD(jj_held_chunk_list, jj_held_chunk) jj_held_chunks_t;

/** Begins to deal with a chunk. */
jj_held_chunk_t *
jj_held_chunk_create(jj_batch_t *batch, const jj_chunk_choice_t *choice);
void jj_held_chunk_destroy(jj_held_chunk_t *chunk);
/** Sends the chunk's next call, when one is due. */
void jj_held_chunk_step(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out);
/** Takes the result of the call under way. */
void jj_held_chunk_take_result(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Counts the chunk's items that are out, by service. */
void
jj_held_chunk_count_running(jj_batch_t *batch, const jj_held_chunk_t *chunk);
/** True when the chunk shall go to a VM with room for its items. */
bool jj_held_chunk_wants_release(
    const jj_batch_t *batch, const jj_held_chunk_t *chunk, jj_ms_t now);
/** Before a release: marks of items that were never sent are taken back. */
void jj_held_chunk_unmark_unsent(jj_held_chunk_t *chunk);
/** Offers items that may run, up to the worker's room. */
void jj_held_chunk_offer(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out);
/** Makes the next write a record's update (or creation, see `creates`). */
void jj_held_chunk_prepare_record(jj_batch_t *batch, jj_held_chunk_t *chunk,
    jj_write_kind_t kind, jj_chunk_state_t state);
/** Forgets the write, whose outcome is known. */
void jj_held_chunk_discard_write(jj_held_chunk_t *chunk);
/** Ends the dealing with the chunk; @p view is what is known of it now. */
void jj_held_chunk_drop(jj_held_chunk_t *chunk, jj_chunk_view_t view);
/** Makes the items of the part; false when it cannot be decoded. */
bool jj_held_chunk_load(
    jj_held_chunk_t *chunk, const jj_bytes_t *part, jj_batch_t *batch);
/** Marks items that have to be recorded as started; how many. */
uint32_t
jj_held_chunk_mark(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now);
/** Ends the marking: the write was confirmed, or surely not done. */
void jj_held_chunk_unmark(jj_held_chunk_t *chunk, bool confirmed);
/** Ends all items without a result as cancelled. */
void jj_held_chunk_cancel_items(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** Stops runs under way; all, or those that may be repeated. */
void
jj_held_chunk_stop_items(jj_held_chunk_t *chunk, bool all, jj_actions_t *out);
/** Ends a run; false when it is not one of this chunk. */
bool
jj_held_chunk_end_item(jj_batch_t *batch, jj_held_chunk_t *chunk, uint64_t run,
    jj_item_outcome_t outcome, int status, const jj_bytes_t *body, jj_ms_t now);
/** The job was cancelled: items stop and get the failure "cancelled". */
void jj_held_chunk_cancel(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** Gives the chunk up: another holds it, or its job has ended. */
void jj_held_chunk_lose(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** This VM leaves: runs that can be repeated elsewhere are stopped. */
void jj_held_chunk_leave(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out);
/** Items that could be offered now, or soon once the chunk is loaded. */
uint32_t jj_held_chunk_ready(const jj_held_chunk_t *chunk, jj_ms_t now);
/** True when all open items have been turned away several times. */
bool jj_held_chunk_is_stalled(const jj_held_chunk_t *chunk);
/** When the chunk wants a step or has an item to offer. */
jj_ms_t
jj_held_chunk_next(const jj_batch_t *batch, const jj_held_chunk_t *chunk);

#endif
