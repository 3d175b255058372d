/**
 * @file figures.c
 * @brief Figures of a run: streams by second, bytes sent; merging of runs.
 */
#include <stdlib.h>
#include <string.h>

#include "adapters/wire.h"
#include "figures.h"

#define COUNT_US (1000000 / WORLD_COUNTS_PER_SECOND)

static uint32_t count_batch_streams(const bench_engine_t *);

void
run_merge(run_t *sum, const run_t *run)
{
	size_t count = sum->call_count + run->call_count;
	size_t i;

	sum->calls = jj_realloc(sum->calls, (count + 1) * sizeof(call_t));
	memcpy(sum->calls + sum->call_count, run->calls,
	    run->call_count * sizeof(call_t));
	sum->call_count = count;
	sum->batch_done += run->batch_done;
	sum->batch_tokens += run->batch_tokens;
	sum->batch_lost += run->batch_lost;
	sum->batch_withdrawn += run->batch_withdrawn;
	sum->idle_tokens += run->idle_tokens;
	sum->messages += run->messages;
	for (i = 0; i < JJ_MESSAGE_KIND_END; i++) {
		sum->sent[i] += run->sent[i];
		sum->sent_bytes[i] += run->sent_bytes[i];
	}
	for (i = 0; i < sum->second_count; i++)
		sum->batch_running[i] += run->batch_running[i];
}

void
run_destroy(run_t *run)
{
	free(run->calls);
	run->calls = NULL;
	free(run->batch_running);
	run->batch_running = NULL;
}

/* No state changes between two events, so one count serves all overdue ones. */
void
figures_count_batch(world_t *world)
{
	run_t *run = world->run;
	size_t second;
	uint32_t i;

	if (run->second_count == 0)
		return;
	for (; world->next_count_us <= world->now_us;
	     world->next_count_us += COUNT_US) {
		second = (size_t)((world->next_count_us - WORLD_WARM_UP_US) /
		    1000000);
		if (second >= run->second_count)
			return;
		for (i = 0; i < world->scenario->servers; i++)
			run->batch_running[second] +=
			    count_batch_streams(&world->engines[i]);
	}
}

/* Messages sent before batch is offered (warm-up) are not counted. */
void
figures_measure_message(world_t *world, const jj_message_t *message)
{
	jj_bytes_t bytes;

	if (!world->scenario->measures_bytes || !world->batch_offered)
		return;
	bytes = jj_wire_encode(message);
	world->run->sent[message->kind]++;
	world->run->sent_bytes[message->kind] += bytes.size;
	jj_bytes_free(&bytes);
}

static uint32_t
count_batch_streams(const bench_engine_t *engine)
{
	const bench_stream_t *stream;
	uint32_t count = 0;

	TAILQ_FOREACH(stream, &engine->running, link)
	count += !stream->online;
	return count;
}
