/**
 * @file batcher.h
 * @brief Continuous batching: one thread gives each running stream a token
 * per step. It knows no priorities and admits in order of arrival.
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
/** Queues a new stream with one user, the caller. Locked. */
stream_t *batcher_submit(engine_t *engine, const stream_ask_t *ask);
/** Puts a stream that ended early back into the queue. Locked. */
void batcher_requeue(engine_t *engine, stream_t *stream);
/**
 * Ends a waiting or running stream and frees its slot at once; one that
 * never got a slot leaves no record. Locked.
 * @return false when it had ended before.
 */
bool batcher_end(engine_t *engine, stream_t *stream, outcome_t outcome);
/** Ends the streams of all clients that are cut off. Locked. */
void batcher_end_cut(engine_t *engine);
/** Whether nothing waits, runs or is being answered. Locked. */
bool batcher_is_idle(const engine_t *engine);

#endif
