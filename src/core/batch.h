/**
 * @file batch.h
 * @brief The batch worker of a VM: finds jobs, claims chunks, runs items.
 *
 * Workers find jobs in the index `active/`, not below `jobs/`, where the
 * chunks of days stand. One conditional-update chain per chunk
 * (`jobs/ID/chunk/N`) orders claims, checkpoints and takeovers;
 * `jobs/ID/out/N` is created once and is the truth: an item has exactly the
 * result in it. A worker that lost its claim finds out at its next write.
 * Re-running an idempotent item after a crash is allowed; an item of a
 * non-idempotent service is recorded as started before it is sent and never
 * sent again.
 */
#ifndef JJ_CORE_BATCH_H
#define JJ_CORE_BATCH_H

#include "core/action.h"
#include "core/job.h"

typedef struct {
	jj_name_t name;
	char writer[JJ_NAME_MAX + 20];
	uint64_t seed;
	jj_ms_t lease_ms; /**< of a claim; default 15000 */
	jj_ms_t margin_ms; /**< an observer waits more; 3000 */
	jj_ms_t checkpoint_ms; /**< between renewals; default 5000 */
	uint32_t chunks; /**< most claimed at once; default 4 */
	uint32_t item_attempts; /**< most runs of one item; default 4 */
	jj_ms_t item_retry_ms; /**< first wait before a re-run; 500 */
	jj_ms_t relist_ms; /**< between listings of active jobs, on
				     average; 30000 */
	jj_ms_t retry_ms; /**< first wait after a failed call; 200 */
	size_t checkpoint_bytes; /**< largest checkpoint; 600000 */
} jj_batch_settings_t;

/** How one run of an item ended. */
typedef enum {
	JJ_ITEM_DONE, /**< body and status are its response */
	JJ_ITEM_REFUSED, /**< a permanent refusal: failure is recorded */
	JJ_ITEM_NOT_RUN, /**< surely not sent: may be tried again */
	JJ_ITEM_BROKEN, /**< may have run: again only if idempotent */
	JJ_ITEM_WITHDRAWN, /**< made room for online: again, no attempt used */
	JJ_ITEM_POISON, /**< crashes servers: failure is recorded */
} jj_item_outcome_t;

typedef struct jj_batch jj_batch_t;

jj_batch_t *jj_batch_create(const jj_batch_settings_t *settings);
void jj_batch_destroy(jj_batch_t *batch);

/**
 * Callback that tells whether a service is idempotent, from the
 * configuration; unknown services count as non-idempotent.
 */
void jj_batch_set_idempotent(jj_batch_t *batch,
    bool (*is_idempotent)(void *ctx, const char *service), void *ctx);
/**
 * Callback that tells how many items of a service this VM may have out at
 * once; -1 when it has no share of the service's servers. Without it only
 * jj_batch_set_room bounds what is offered.
 */
void jj_batch_set_limits(jj_batch_t *batch,
    int32_t (*limit)(void *ctx, const char *service), void *ctx);
/**
 * How many more items this VM's servers could take now; the worker claims
 * chunks and offers items (JJ_ACTION_ITEM_READY) up to it.
 */
void jj_batch_set_room(jj_batch_t *batch, uint32_t items);
/**
 * Events of the domain's watch relay below `jobs/` (or `active/`); hints
 * only. @p key "": events were lost, the index of active jobs is listed
 * again.
 */
void jj_batch_take_change(jj_batch_t *batch, const char *key, uint64_t version,
    jj_ms_t now, jj_actions_t *out);
/** A VM is held for dead: its claims may be taken over at once. */
void jj_batch_take_death(
    jj_batch_t *batch, const char *writer, jj_ms_t now, jj_actions_t *out);
/**
 * An item's run ended. @p status and @p body as the backend answered.
 */
void
jj_batch_end_item(jj_batch_t *batch, uint64_t item, jj_item_outcome_t outcome,
    int status, const jj_bytes_t *body, jj_ms_t now, jj_actions_t *out);
/** A result with owner JJ_OWNER_BATCH and the token's top bit set. */
void jj_batch_take_result(jj_batch_t *batch, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
void jj_batch_tick(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_batch_next(const jj_batch_t *batch);
/** Planned stop: no new items; claims are released with a checkpoint. */
void jj_batch_leave(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out);
/** True when no claim is held and no write is under way. */
bool jj_batch_is_idle(const jj_batch_t *batch);

/** Counts for metrics and tests; all rise only, but the last two. */
typedef struct {
	uint64_t items_done;
	uint64_t items_failed;
	uint64_t items_rerun; /**< sent more than once by this VM */
	uint64_t claims;
	uint64_t takeovers;
	uint64_t claims_lost;
	uint64_t checkpoints;
	uint64_t published;
	uint64_t publish_conflicts; /**< another's result stood first */
	uint32_t chunks_held;
	uint32_t items_running;
} jj_batch_counts_t;

jj_batch_counts_t jj_batch_counts(const jj_batch_t *batch);

#endif
