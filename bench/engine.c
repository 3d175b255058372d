/**
 * @file engine.c
 * @brief Steps of the simulated engine.
 */
#include <stdlib.h>
#include <string.h>

#include "engine.h"
#include "random.h"

/* Tokens per prefix block. */
#define BLOCK_TOKENS 64

static uint32_t admit(bench_engine_t *, bool *);
static uint32_t count_uncached(bench_engine_t *, const bench_stream_t *);
static void
step_stream(bench_engine_t *, bench_stream_t *, bench_emit_t *, void *);
static void remove_stream(bench_engine_t *, bench_stream_t *, bool);
static void remove_all(bench_engine_t *);
static void free_list(bench_streams_t *);

void
engine_create(
    bench_engine_t *engine, const bench_scenario_t *scenario, uint64_t seed)
{
	memset(engine, 0, sizeof(*engine));
	engine->scenario = scenario;
	engine->random = seed;
	engine->slow = 1;
	engine->alive = true;
	engine->boot = random_next(&engine->random) | 1;
	engine->cache =
	    jj_alloc((size_t)scenario->cache_blocks * sizeof(uint64_t));
	TAILQ_INIT(&engine->waiting);
	TAILQ_INIT(&engine->running);
}

void
engine_destroy(bench_engine_t *engine)
{
	remove_all(engine);
	free(engine->cache);
}

void
engine_submit(bench_engine_t *engine, bench_stream_t *stream)
{
	stream->fails = random_share(&engine->random) < engine->fail_share;
	TAILQ_INSERT_TAIL(&engine->waiting, stream, link);
	engine->waiting_count++;
}

int64_t
engine_cancel(bench_engine_t *engine, uint64_t request, uint32_t attempt)
{
	bench_stream_t *stream;
	int64_t tokens;
	bool running = false;

	TAILQ_FOREACH(stream, &engine->waiting, link)
	{
		if (stream->request == request && stream->attempt == attempt)
			break;
	}
	if (stream == NULL) {
		running = true;
		TAILQ_FOREACH(stream, &engine->running, link)
		{
			if (stream->request == request &&
			    stream->attempt == attempt)
				break;
		}
	}
	if (stream == NULL)
		return -1;
	tokens = stream->tokens;
	remove_stream(engine, stream, running);
	return tokens;
}

int64_t
engine_begin_step(bench_engine_t *engine, int64_t now_us, bool *crashed)
{
	const bench_scenario_t *scenario = engine->scenario;
	uint32_t uncached;
	double length;
	double excess;

	*crashed = false;
	if (!engine->alive || engine->stepping)
		return 0;
	engine_count_idle(engine, now_us);
	uncached = admit(engine, crashed);
	if (*crashed || engine->running_count == 0)
		return 0;
	excess = (double)engine->running_count - scenario->soft;
	length = scenario->step_ms * 1000.0;
	if (excess > 0)
		length *= 1 + excess / scenario->soft;
	else
		engine->idle_tokens -= excess;
	length += (double)uncached * scenario->prefill_us;
	engine->stepping = true;
	return (int64_t)(length * engine->slow);
}

void
engine_end_step(
    bench_engine_t *engine, int64_t now_us, bench_emit_t *emit, void *ctx)
{
	bench_stream_t *stream;
	bench_stream_t *next;

	engine->stepping = false;
	engine->idle_since_us = now_us;
	for (stream = TAILQ_FIRST(&engine->running); stream != NULL;
	     stream = next) {
		next = TAILQ_NEXT(stream, link);
		step_stream(engine, stream, emit, ctx);
	}
}

void
engine_kill(
    bench_engine_t *engine, int64_t now_us, bench_emit_t *emit, void *ctx)
{
	bench_stream_t *stream;

	engine_count_idle(engine, now_us);
	engine->alive = false;
	engine->stepping = false;
	engine->epoch++;
	TAILQ_FOREACH(stream, &engine->waiting, link)
	emit(ctx, stream, JJ_BACKEND_BROKEN);
	TAILQ_FOREACH(stream, &engine->running, link)
	emit(ctx, stream, JJ_BACKEND_BROKEN);
	remove_all(engine);
}

void
engine_restart(bench_engine_t *engine, int64_t now_us)
{
	engine->alive = true;
	engine->leaving = false;
	engine->boot = random_next(&engine->random) | 1;
	engine->idle_since_us = now_us;
	memset(engine->cache, 0,
	    engine->scenario->cache_blocks * sizeof(uint64_t));
}

void
engine_count_idle(bench_engine_t *engine, int64_t now_us)
{
	double step_us = engine->scenario->step_ms * 1000.0 * engine->slow;

	if (engine->alive && !engine->stepping &&
	    now_us > engine->idle_since_us)
		engine->idle_tokens += engine->scenario->soft *
		    (double)(now_us - engine->idle_since_us) / step_us;
	engine->idle_since_us = now_us;
}

/* Fills the free slots; returns the prompt tokens to prefill. */
static uint32_t
admit(bench_engine_t *engine, bool *crashed)
{
	bench_stream_t *stream;
	uint32_t uncached = 0;

	while (engine->running_count < engine->scenario->slots &&
	    (stream = TAILQ_FIRST(&engine->waiting)) != NULL) {
		TAILQ_REMOVE(&engine->waiting, stream, link);
		engine->waiting_count--;
		TAILQ_INSERT_TAIL(&engine->running, stream, link);
		engine->running_count++;
		uncached += count_uncached(engine, stream);
		if (stream->poison)
			*crashed = true;
	}
	return uncached;
}

static uint32_t
count_uncached(bench_engine_t *engine, const bench_stream_t *stream)
{
	uint32_t cached = 0;
	uint64_t *slot;
	uint32_t i;

	for (i = 0; i < stream->prefix_count; i++) {
		slot = &engine->cache[stream->prefix[i] %
		    engine->scenario->cache_blocks];
		if (*slot == stream->prefix[i] && cached == i)
			cached++;
		*slot = stream->prefix[i];
	}
	cached *= BLOCK_TOKENS;
	return cached < stream->prompt ? stream->prompt - cached : 0;
}

static void
step_stream(bench_engine_t *engine, bench_stream_t *stream, bench_emit_t *emit,
    void *ctx)
{
	stream->tokens++;
	if (stream->fails) {
		emit(ctx, stream, JJ_BACKEND_FAILED);
		remove_stream(engine, stream, true);
		return;
	}
	emit(ctx, stream,
	    stream->tokens == 1 ? JJ_BACKEND_FIRST : JJ_BACKEND_TOKENS);
	if (stream->tokens < stream->length)
		return;
	emit(ctx, stream, JJ_BACKEND_DONE);
	remove_stream(engine, stream, true);
}

static void
remove_stream(bench_engine_t *engine, bench_stream_t *stream, bool running)
{
	TAILQ_REMOVE(
	    running ? &engine->running : &engine->waiting, stream, link);
	if (running)
		engine->running_count--;
	else
		engine->waiting_count--;
	free(stream);
}

static void
remove_all(bench_engine_t *engine)
{
	free_list(&engine->waiting);
	free_list(&engine->running);
	engine->waiting_count = 0;
	engine->running_count = 0;
}

static void
free_list(bench_streams_t *streams)
{
	bench_stream_t *stream;
	bench_stream_t *next;

	for (stream = TAILQ_FIRST(streams); stream != NULL; stream = next) {
		next = TAILQ_NEXT(stream, link);
		free(stream);
	}
	TAILQ_INIT(streams);
}
