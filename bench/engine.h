/**
 * @file engine.h
 * @brief A fake model engine in virtual time.
 *
 * It behaves as docs/interfaces/ENGINE.md says of the stand-in: continuous
 * batching, steps that lengthen with what runs and with prefills, a waiting
 * queue in order of arrival without priorities, a prefix cache.
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
	bool stepping; /**< a step is under way */
	uint64_t boot;
	uint32_t epoch; /**< rises at each death: older steps are void */
	double slow;
	double fail_share;
	uint64_t random;
	bench_streams_t waiting;
	bench_streams_t running;
	uint32_t waiting_count;
	uint32_t running_count;
	uint64_t *cache;
	int64_t idle_since_us;
	double idle_tokens; /**< that steps had room for at no slow-down */
} bench_engine_t;

/** Told of each stream's progress at the end of a step. */
typedef void
bench_emit_t(void *ctx, const bench_stream_t *stream, jj_backend_kind_t kind);

void engine_create(
    bench_engine_t *engine, const bench_scenario_t *scenario, uint64_t seed);
void engine_destroy(bench_engine_t *engine);
/** Takes a stream, which it owns from now on. */
void engine_submit(bench_engine_t *engine, bench_stream_t *stream);
/** Ends a stream; its tokens so far, -1 when there is none such. */
int64_t
engine_cancel(bench_engine_t *engine, uint64_t request, uint32_t attempt);
/**
 * Begins a step when something is to run.
 * @param crashed set when a request that kills servers was admitted.
 * @return its length in microseconds, 0 when idle.
 */
int64_t
engine_begin_step(bench_engine_t *engine, int64_t now_us, bool *crashed);
/** Ends the step: each stream has one more token. */
void engine_end_step(
    bench_engine_t *engine, int64_t now_us, bench_emit_t *emit, void *ctx);
/** The process dies with all its streams. */
void engine_kill(
    bench_engine_t *engine, int64_t now_us, bench_emit_t *emit, void *ctx);
/** A new process starts, with an empty cache. */
void engine_restart(bench_engine_t *engine, int64_t now_us);
/** Accounts for idle time up to now. */
void engine_settle(bench_engine_t *engine, int64_t now_us);

#endif
