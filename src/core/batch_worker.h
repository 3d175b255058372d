/**
 * @file batch_worker.h
 * @brief The state that the parts of the batch worker share.
 */
#ifndef JJ_CORE_BATCH_WORKER_H
#define JJ_CORE_BATCH_WORKER_H

#include "core/batch.h"
#include "core/batch_chunk.h"
#include "core/batch_jobs.h"
#include "core/batch_capacity.h"
#include "core/operation.h"

struct jj_batch {
	jj_batch_settings_t settings;
	jj_operations_t operations;
	bool (*is_idempotent)(void *ctx, const char *service);
	void *idempotent_ctx;
	/** Items that the backend servers can take now. */
	uint32_t free_capacity;
	/** Limits and counts by service. */
	jj_batch_capacity_t service_capacity;
	uint64_t next_item; /**< number of the last run of an item */
	uint64_t next_token; /**< number in the last platform call's token */
	bool leaving;
	jj_job_table_t jobs;
	jj_held_chunks_t chunks;
	jj_batch_counts_t counts;
	jj_ms_t now_ms; /**< of the last event */
};

/** Adds a platform call without a key and stores its new token. */
jj_platform_call_t *jj_batch_call(
    jj_batch_t *batch, jj_actions_t *out, jj_platform_op_t op, uint64_t *token);
/**
 * Splits a key of the form PREFIX ID or PREFIX ID "/" REST.
 * @return false when the key has another form; @p id then is unchanged.
 */
bool jj_batch_split_key(const char *key, const char *prefix,
    char id[JJ_OBJECT_ID_TEXT], const char **rest);
/**
 * Time of the next retry: exponential backoff with jitter.
 * @param failures failed tries in a row.
 * @param min_wait_ms minimum wait, as requested by the platform.
 */
jj_ms_t jj_batch_backoff(
    jj_batch_t *batch, uint32_t failures, jj_ms_t min_wait_ms, jj_ms_t now);

#endif
