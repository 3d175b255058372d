/**
 * @file batcher.h
 * @brief Continuous batching: one thread generates a token for each running
 * stream per step. Admission is first come, first served, without priorities.
 */
#ifndef STANDIN_ENGINE_BATCHER_H
#define STANDIN_ENGINE_BATCHER_H

#include <stdbool.h>
#include <stdint.h>

#include "engine.h"

/** Starts the thread; false on failure. */
bool batcher_start(engine_t *engine);
/** Ends the thread and waits for it. */
void batcher_stop(engine_t *engine);
/** Queues a new stream; the caller owns its only reference. Locked. */
stream_t *batcher_submit(engine_t *engine, const stream_params_t *params);
/** Queues a stream again that ended before its last token. Locked. */
void batcher_requeue(engine_t *engine, stream_t *stream);
/**
 * Ends a waiting or running stream and frees its slot immediately. A stream
 * that never had a slot leaves no record. Locked.
 * @return false when it had already ended.
 */
bool batcher_end(engine_t *engine, stream_t *stream, outcome_t outcome);
/** Ends the streams of all clients in the `cut` fault. Locked. */
void batcher_end_cut_clients(engine_t *engine);
/** True when no stream waits or runs and no answer is being written. Locked. */
bool batcher_is_idle(const engine_t *engine);

#endif
