/**
 * @file batch.h
 * @brief The batch worker of a VM: finds jobs, claims chunks, runs items.
 *
 * Workers find jobs by listing the index `active/`. They don't list `jobs/`,
 * which also holds the objects of all jobs and chunks of the past days.
 *
 * The record of a chunk (`jobs/ID/chunk/N`) changes only by conditional
 * updates, which order claims, checkpoints and takeovers. A worker that has
 * lost its claim learns it when its next update conflicts. The out object
 * (`jobs/ID/out/N`) is created once and never changed: it holds the
 * authoritative results of the chunk's items.
 *
 * An idempotent item may be run again after a crash. An item of a
 * non-idempotent service is recorded as started before it is sent, and is
 * never sent again.
 */
#ifndef JJ_CORE_BATCH_H
#define JJ_CORE_BATCH_H

#include "core/action.h"
#include "core/job.h"

typedef struct {
	jj_name_t name;
	char writer[JJ_NAME_MAX + 20];
	uint64_t seed;
	jj_ms_t lease_ms; /**< duration of a claim; default 15000 */
	jj_ms_t margin_ms; /**< other workers wait this much longer than the
				lease before a takeover; default 3000 */
	jj_ms_t checkpoint_ms; /**< between renewals; default 5000 */
	uint32_t chunks; /**< maximum claimed at once; default 4 */
	uint32_t item_attempts; /**< maximum runs of one item; default 4 */
	jj_ms_t item_retry_ms; /**< first wait before a re-run; default 500 */
	jj_ms_t relist_ms; /**< average time between listings of the active
				jobs; default 30000 */
	jj_ms_t retry_ms; /**< first wait after a failed call; default 200 */
	size_t checkpoint_bytes; /**< maximum size; default 600000 */
} jj_batch_settings_t;

/** How one run of an item ended. */
typedef enum {
	JJ_ITEM_DONE, /**< answered; body and status are the response */
	JJ_ITEM_REFUSED, /**< permanently refused; recorded as failed */
	JJ_ITEM_NOT_RUN, /**< verifiably not run; may be retried */
	JJ_ITEM_OUTCOME_UNKNOWN, /**< may have run; idempotent: retried */
	JJ_ITEM_WITHDRAWN, /**< cancelled in favour of online requests; retried
				without counting as an attempt */
} jj_item_outcome_t;

typedef struct jj_batch jj_batch_t;

jj_batch_t *jj_batch_create(const jj_batch_settings_t *settings);
void jj_batch_destroy(jj_batch_t *batch);

/**
 * Sets the callback that looks up in the configuration whether a service is
 * idempotent. Unknown services count as non-idempotent.
 */
void jj_batch_set_idempotent(jj_batch_t *batch,
    bool (*is_idempotent)(void *ctx, const char *service), void *ctx);
/**
 * Sets the callback that returns how many items of a service this VM may run
 * at the same time; -1 when it has no share of the service's backend servers.
 * Without a callback only jj_batch_set_free_capacity limits the running items.
 */
void jj_batch_set_limits(jj_batch_t *batch,
    int32_t (*limit)(void *ctx, const char *service), void *ctx);
/**
 * Sets how many more items this VM's backend servers can take now. The worker
 * claims chunks and sends items (JJ_ACTION_ITEM_READY) up to this number.
 */
void jj_batch_set_free_capacity(jj_batch_t *batch, uint32_t items);
/**
 * Handles an event of the domain's watch relay for a key below `jobs/` or
 * `active/`. Events are only hints: they may be late or lost. An empty @p key
 * means that events were lost; the index of active jobs is then listed again.
 */
void jj_batch_take_change(jj_batch_t *batch, const char *key, uint64_t version,
    jj_ms_t now, jj_actions_t *out);
/** Marks a VM's process as failed: its claims may be taken over at once. */
void jj_batch_mark_writer_failed(
    jj_batch_t *batch, const char *writer, jj_ms_t now, jj_actions_t *out);
/**
 * Ends the run of an item. @p status and @p body: the backend server's answer.
 */
void
jj_batch_end_item(jj_batch_t *batch, uint64_t item, jj_item_outcome_t outcome,
    int status, const jj_bytes_t *body, jj_ms_t now, jj_actions_t *out);
/**
 * Handles a platform result. Those without owner JJ_OWNER_BATCH or without the
 * token's top bit are ignored.
 */
void jj_batch_take_result(jj_batch_t *batch, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
/** Does all that is due. */
void jj_batch_tick(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out);
/** Time at which jj_batch_tick is due next. */
jj_ms_t jj_batch_next(const jj_batch_t *batch);
/**
 * Begins a planned stop: starts no more items and releases the claims, with a
 * last checkpoint of each.
 */
void jj_batch_leave(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out);
/** True when no chunk is held, and so no claim and no write of one. */
bool jj_batch_is_idle(const jj_batch_t *batch);

/** Counters for metrics and tests; the last two are gauges. */
typedef struct {
	uint64_t items_done;
	uint64_t items_failed;
	uint64_t items_rerun; /**< runs after the first, at this VM */
	uint64_t claims;
	uint64_t takeovers;
	uint64_t claims_lost;
	uint64_t checkpoints;
	uint64_t published;
	uint64_t publish_conflicts; /**< another VM had published before */
	uint32_t chunks_held;
	uint32_t items_running;
} jj_batch_counts_t;

jj_batch_counts_t jj_batch_counts(const jj_batch_t *batch);

#endif
