#include <time.h>
#include <unistd.h>

#include "batcher.h"
#include "../common/web.h"

#define US_PER_MS 1000
#define US_PER_S 1000000
#define NS_PER_US 1000
#define MS_PER_S 1000.0
/* Prompt tokens per cache block. */
#define BLOCK_TOKENS (CACHE_BLOCK_BYTES / STREAM_TOKEN_BYTES)

static void *step_thread_run(void *);
static void wait_until(engine_t *, int64_t);
static long admit(engine_t *);
static long admit_one(engine_t *, stream_t *, int64_t);
static int64_t step_length_us(const engine_t *, long);
static void step(engine_t *);
static void step_stream(engine_t *, stream_t *);
static void refresh_load(engine_t *);
static double kv_used(const engine_t *);
static int64_t now_us(void);

bool
batcher_start(engine_t *engine)
{
	return pthread_create(
		   &engine->step_thread, NULL, step_thread_run, engine) == 0;
}

void
batcher_stop(engine_t *engine)
{
	pthread_mutex_lock(&engine->lock);
	engine->stopping = true;
	pthread_cond_broadcast(&engine->wake);
	pthread_mutex_unlock(&engine->lock);
	pthread_join(engine->step_thread, NULL);
}

stream_t *
batcher_submit(engine_t *engine, const stream_params_t *params)
{
	faults_t *faults = &engine->faults;
	stream_t *stream = stream_create(&engine->streams, params);

	stream->fails = faults_draw_failure(faults);
	if (params->streaming && !stream->fails &&
	    faults_consume(&faults->truncate_next))
		stream->stop_at = stream->length / 2;
	pthread_cond_signal(&engine->wake);
	return stream;
}

void
batcher_requeue(engine_t *engine, stream_t *stream)
{
	stream->outcome = OUTCOME_RUNNING;
	stream->stop_at = stream->length;
	stream->fails = false;
	stream_move(&engine->streams, stream, STREAM_WAITING);
	pthread_cond_signal(&engine->wake);
}

bool
batcher_end(engine_t *engine, stream_t *stream, outcome_t outcome)
{
	bool was_running = stream->state == STREAM_RUNNING;

	if (stream->state == STREAM_ENDED)
		return false;
	stream->outcome = outcome;
	stream_move(&engine->streams, stream, STREAM_ENDED);
	if (was_running)
		records_end(&engine->records, stream, web_now_ms());
	pthread_cond_broadcast(&stream->changed);
	return true;
}

void
batcher_end_cut_clients(engine_t *engine)
{
	stream_table_t *table = &engine->streams;
	struct stream_list *lists[] = {&table->waiting, &table->running};
	stream_t *stream;
	stream_t *next;
	int i;

	for (i = 0; i < 2; i++) {
		for (stream = TAILQ_FIRST(lists[i]); stream != NULL;
		     stream = next) {
			next = TAILQ_NEXT(stream, entry);
			if (faults_is_cut(&engine->faults, stream->client))
				batcher_end(engine, stream, OUTCOME_GONE);
		}
	}
}

bool
batcher_is_idle(const engine_t *engine)
{
	return engine->streams.waiting_count == 0 &&
	    engine->streams.running_count == 0 && engine->readers == 0;
}

static void *
step_thread_run(void *ctx)
{
	engine_t *engine = ctx;
	int64_t until_us = now_us();
	int64_t length_us;
	long uncached_tokens;

	pthread_mutex_lock(&engine->lock);
	while (!engine->stopping) {
		refresh_load(engine);
		uncached_tokens = admit(engine);
		if (engine->streams.running_count == 0) {
			stream_cond_wait(&engine->wake, &engine->lock,
			    engine->options.load_lag_ms + 1);
			until_us = now_us();
			continue;
		}
		length_us = step_length_us(engine, uncached_tokens);
		until_us += length_us;
		wait_until(engine, until_us);
		step(engine);
		/*
		 * A late wake-up shortens the next step, which keeps the
		 * average rate. After a delay of more than a step the schedule
		 * restarts from now, without catching up.
		 */
		if (until_us + length_us < now_us())
			until_us = now_us();
	}
	pthread_mutex_unlock(&engine->lock);
	return NULL;
}

/* Sleeps until the given time with the lock released, or until stopped. */
static void
wait_until(engine_t *engine, int64_t until_us)
{
	struct timespec until;

	until.tv_sec = until_us / US_PER_S;
	until.tv_nsec = until_us % US_PER_S * NS_PER_US;
	while (!engine->stopping && now_us() < until_us)
		pthread_cond_timedwait(&engine->wake, &engine->lock, &until);
}

/* Fills the free slots; returns the uncached prompt tokens to process. */
static long
admit(engine_t *engine)
{
	stream_table_t *table = &engine->streams;
	int64_t now_ms = web_now_ms();
	long uncached_tokens = 0;

	while (table->running_count < engine->options.slots &&
	    !TAILQ_EMPTY(&table->waiting))
		uncached_tokens +=
		    admit_one(engine, TAILQ_FIRST(&table->waiting), now_ms);
	if (table->running_count > engine->records.peak_running)
		engine->records.peak_running = table->running_count;
	return uncached_tokens;
}

static long
admit_one(engine_t *engine, stream_t *stream, int64_t now_ms)
{
	size_t blocks;

	if (stream->crashes && !engine->options.no_crash)
		_exit(1);
	stream_move(&engine->streams, stream, STREAM_RUNNING);
	records_begin(&engine->records, stream, now_ms);
	blocks = cache_use(&engine->cache, stream->prompt, now_ms);
	stream->cached_tokens = (long)blocks * BLOCK_TOKENS;
	if (stream->fails || stream->generated >= stream->stop_at)
		batcher_end(engine, stream, OUTCOME_FAILED);
	else
		pthread_cond_broadcast(&stream->changed);
	return stream->prompt_tokens - stream->cached_tokens;
}

/* Length of the next step in microseconds; grows above the soft limit. */
static int64_t
step_length_us(const engine_t *engine, long uncached_tokens)
{
	const engine_options_t *options = &engine->options;
	double excess_streams =
	    (double)engine->streams.running_count - options->soft;
	double length_us = (double)options->step_ms * US_PER_MS;

	if (excess_streams > 0)
		length_us *= 1 + excess_streams / options->soft;
	length_us += (double)uncached_tokens * options->prefill_us;
	return (int64_t)(length_us * engine->faults.slow);
}

static void
step(engine_t *engine)
{
	stream_t *stream;
	stream_t *next;

	for (stream = TAILQ_FIRST(&engine->streams.running); stream != NULL;
	     stream = next) {
		next = TAILQ_NEXT(stream, entry);
		if (!stream->hangs)
			step_stream(engine, stream);
	}
}

static void
step_stream(engine_t *engine, stream_t *stream)
{
	stream->generated++;
	engine->records.tokens++;
	if (stream->generated < stream->stop_at)
		pthread_cond_broadcast(&stream->changed);
	else
		batcher_end(engine, stream,
		    stream->stop_at < stream->length ? OUTCOME_FAILED
						     : OUTCOME_DONE);
}

/* The load report is a snapshot renewed only every load_lag_ms. */
static void
refresh_load(engine_t *engine)
{
	engine_load_t *load = &engine->load;
	int64_t now_ms = web_now_ms();
	int64_t age_ms = now_ms - load->taken_ms;

	if (engine->faults.load_frozen || age_ms < engine->options.load_lag_ms)
		return;
	load->running = engine->streams.running_count;
	load->waiting = engine->streams.waiting_count;
	load->kv_used = kv_used(engine);
	load->tokens_per_second =
	    (double)(engine->records.tokens - engine->load_tokens) * MS_PER_S /
	    (double)(age_ms > 0 ? age_ms : 1);
	load->taken_ms = now_ms;
	engine->load_tokens = engine->records.tokens;
}

static double
kv_used(const engine_t *engine)
{
	const stream_t *stream;
	long blocks = 0;
	double share;

	TAILQ_FOREACH(stream, &engine->streams.running, entry)
	blocks +=
	    (stream->prompt_tokens + stream->generated) / BLOCK_TOKENS + 1;
	share = (double)blocks / engine->options.cache_blocks;
	return share < 1 ? share : 1;
}

static int64_t
now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}
