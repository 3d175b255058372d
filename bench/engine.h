/**
 * @file engine.h
 * @brief A simulated model engine in virtual time.
 *
 * It follows the stand-in of docs/interfaces/ENGINE.md: continuous batching,
 * steps that take longer with more streams and with prefills, a FIFO queue
 * without priorities, a prefix cache.
 */
#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include <sys/queue.h>

#include "core/dispatch.h"
#include "scenario.h"

/** One request at an engine. */
typedef struct bench_stream {
	TAILQ_ENTRY(bench_stream) link;
	uint64_t request;
	uint32_t attempt;
	uint32_t vm;
	bool online;
	bool poison;
	bool fails;
	uint32_t length; /**< tokens it will generate */
	uint32_t tokens; /**< generated so far */
	uint32_t prompt; /**< tokens */
	uint32_t prefix_count;
	uint64_t prefix[JJ_PREFIX_BLOCKS_MAX];
} bench_stream_t;

typedef TAILQ_HEAD(bench_streams, bench_stream) bench_streams_t;

typedef struct {
	const bench_scenario_t *scenario;
	bool alive;
	bool leaving;
	bool stepping; /**< a step is in progress */
	uint64_t boot;
	uint32_t epoch; /**< rises at each kill: older steps are ignored */
	double slow;
	double fail_share;
	uint64_t random;
	bench_streams_t waiting;
	bench_streams_t running;
	uint32_t waiting_count;
	uint32_t running_count;
	uint64_t *cache;
	int64_t idle_since_us;
	double idle_tokens; /**< that could have run without slowing a step */
} bench_engine_t;

/** Called for each stream's progress at the end of a step. */
typedef void
bench_emit_t(void *ctx, const bench_stream_t *stream, jj_backend_kind_t kind);

void engine_create(
    bench_engine_t *engine, const bench_scenario_t *scenario, uint64_t seed);
void engine_destroy(bench_engine_t *engine);
/** Queues a stream and takes ownership of it. */
void engine_submit(bench_engine_t *engine, bench_stream_t *stream);
/** Cancels a stream; returns its tokens so far, -1 when it is not found. */
int64_t
engine_cancel(bench_engine_t *engine, uint64_t request, uint32_t attempt);
/**
 * Begins a step when streams are waiting or running.
 * @param crashed set when a request that kills servers was admitted.
 * @return the step's length in microseconds, 0 when no step begins.
 */
int64_t
engine_begin_step(bench_engine_t *engine, int64_t now_us, bool *crashed);
/** Ends the step: each running stream generates one token. */
void engine_end_step(
    bench_engine_t *engine, int64_t now_us, bench_emit_t *emit, void *ctx);
/** Kills the process: all its streams break. */
void engine_kill(
    bench_engine_t *engine, int64_t now_us, bench_emit_t *emit, void *ctx);
/** Starts a new process with an empty cache. */
void engine_restart(bench_engine_t *engine, int64_t now_us);
/** Adds the idle time up to now to idle_tokens. */
void engine_count_idle(bench_engine_t *engine, int64_t now_us);

#endif
