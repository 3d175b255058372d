/**
 * @file batch_worker.h
 * @brief The state that the parts of the batch worker share.
 */
#ifndef JJ_CORE_BATCH_WORKER_H
#define JJ_CORE_BATCH_WORKER_H

#include "core/batch.h"
#include "core/batch_chunk.h"
#include "core/batch_jobs.h"
#include "core/batch_room.h"
#include "core/operation.h"

struct jj_batch {
	jj_batch_settings_t settings;
	jj_operations_t operations;
	bool (*is_idempotent)(void *ctx, const char *service);
	void *idempotent_ctx;
	uint32_t room; /**< more items the servers could take */
	jj_batch_room_t service_room; /**< the same by service */
	uint64_t next_item; /**< number of the next run of an item */
	uint64_t next_token; /**< of the next platform call */
	bool leaving;
	jj_job_table_t jobs;
	jj_held_chunks_t chunks;
	jj_batch_counts_t counts;
	jj_ms_t now_ms; /**< of the last event */
};

/** Adds a platform call without a key and notes its token. */
jj_platform_call_t *jj_batch_call(
    jj_batch_t *batch, jj_actions_t *out, jj_platform_op_t op, uint64_t *token);
/**
 * Splits a key PREFIX ID or PREFIX ID "/" REST.
 * @return false when it is none; @p id then is unchanged.
 */
bool jj_batch_split_key(const char *key, const char *prefix,
    char id[JJ_OBJECT_ID_TEXT], const char **rest);
/** When to repeat a call after so many failures in a row, with jitter. */
jj_ms_t jj_batch_backoff(
    jj_batch_t *batch, uint32_t failures, jj_ms_t at_least_ms, jj_ms_t now);

#endif
