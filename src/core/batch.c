/**
 * @file batch.c
 * @brief The batch worker's public functions.
 *
 * Each event ends with one round over all held chunks: it sends the platform
 * calls that are due, starts items, and claims further chunks while the
 * backend servers have free capacity.
 */
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

/** Set in tokens of this module; the others belong to the job operations. */
#define TOKEN_BIT (UINT64_C(1) << 63)
/** After failed calls, retry_ms is doubled at most this many times. */
#define BACKOFF_DOUBLINGS_MAX 6
/**
 * Together with the stalled chunks, whose service takes no items at present,
 * a worker holds at most settings.chunks times this many.
 */
#define STALLED_CHUNKS_FACTOR 4

static void run_round(jj_batch_t *, jj_ms_t, jj_actions_t *);
static void claim_chunks(jj_batch_t *, jj_ms_t, jj_actions_t *);
static bool may_claim_chunk(const jj_batch_t *, jj_ms_t);
static void sweep_chunks(jj_batch_t *);
static void
take_job_change(jj_batch_t *, const char *, const char *, uint64_t, jj_ms_t);
static void
take_chunk_change(jj_known_job_t *, const char *, uint64_t, jj_ms_t);

jj_batch_t *
jj_batch_create(const jj_batch_settings_t *settings)
{
	jj_batch_t *batch = jj_alloc(sizeof(*batch));

	batch->settings = *settings;
	jj_operations_seed(&batch->operations, settings->seed);
	jj_job_table_create(&batch->jobs);
	TAILQ_INIT(&batch->chunks);
	return batch;
}

void
jj_batch_destroy(jj_batch_t *batch)
{
	jj_held_chunk_t *chunk;

	if (batch == NULL)
		return;
	while ((chunk = TAILQ_FIRST(&batch->chunks)) != NULL) {
		TAILQ_REMOVE(&batch->chunks, chunk, link);
		jj_held_chunk_destroy(chunk);
	}
	jj_job_table_destroy(&batch->jobs);
	free(batch);
}

void
jj_batch_set_idempotent(jj_batch_t *batch,
    bool (*is_idempotent)(void *ctx, const char *service), void *ctx)
{
	batch->is_idempotent = is_idempotent;
	batch->idempotent_ctx = ctx;
}

void
jj_batch_set_limits(jj_batch_t *batch,
    int32_t (*limit)(void *ctx, const char *service), void *ctx)
{
	batch->service_capacity.limit = limit;
	batch->service_capacity.ctx = ctx;
}

void
jj_batch_set_free_capacity(jj_batch_t *batch, uint32_t items)
{
	batch->free_capacity = items;
}

void
jj_batch_take_change(jj_batch_t *batch, const char *key, uint64_t version,
    jj_ms_t now, jj_actions_t *out)
{
	char id[JJ_OBJECT_ID_TEXT];
	const char *rest;

	if (key[0] == '\0')
		jj_job_table_relist(batch, now);
	else if (jj_batch_split_key(key, JJ_ACTIVE_PREFIX, id, &rest))
		jj_job_table_add_job(&batch->jobs, id, false);
	else if (jj_batch_split_key(key, "jobs/", id, &rest))
		take_job_change(batch, id, rest, version, now);
	run_round(batch, now, out);
}

void
jj_batch_mark_writer_failed(
    jj_batch_t *batch, const char *writer, jj_ms_t now, jj_actions_t *out)
{
	jj_job_table_mark_failed(&batch->jobs, writer);
	run_round(batch, now, out);
}

void
jj_batch_end_item(jj_batch_t *batch, uint64_t item, jj_item_outcome_t outcome,
    int status, const jj_bytes_t *body, jj_ms_t now, jj_actions_t *out)
{
	jj_held_chunk_t *chunk;

	TAILQ_FOREACH(chunk, &batch->chunks, link)
	{
		if (jj_held_chunk_end_item(
			batch, chunk, item, outcome, status, body, now))
			break;
	}
	run_round(batch, now, out);
}

void
jj_batch_take_result(jj_batch_t *batch, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_held_chunk_t *chunk;

	if (result->owner != JJ_OWNER_BATCH || (result->token & TOKEN_BIT) == 0)
		return;
	TAILQ_FOREACH(chunk, &batch->chunks, link)
	{
		if (chunk->token == result->token)
			break;
	}
	if (chunk != NULL)
		jj_held_chunk_take_result(batch, chunk, result, now, out);
	else
		(void)jj_job_table_take_result(batch, result, now, out);
	run_round(batch, now, out);
}

void
jj_batch_tick(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out)
{
	run_round(batch, now, out);
}

jj_ms_t
jj_batch_next(const jj_batch_t *batch)
{
	jj_ms_t next = jj_job_table_next(batch);
	const jj_held_chunk_t *chunk;

	TAILQ_FOREACH(chunk, &batch->chunks, link)
	{
		jj_ms_t at = jj_held_chunk_next(batch, chunk);

		if (at < next)
			next = at;
	}
	/* The last round did all that was due. What remains due waits for an
	 * event, such as free capacity, so a tick now would do nothing. */
	return next > batch->now_ms ? next : batch->now_ms + 1;
}

void
jj_batch_leave(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out)
{
	jj_held_chunk_t *chunk;

	batch->leaving = true;
	TAILQ_FOREACH(chunk, &batch->chunks, link)
	jj_held_chunk_leave(batch, chunk, out);
	run_round(batch, now, out);
}

bool
jj_batch_is_idle(const jj_batch_t *batch)
{
	return TAILQ_EMPTY(&batch->chunks);
}

jj_batch_counts_t
jj_batch_counts(const jj_batch_t *batch)
{
	jj_batch_counts_t counts = batch->counts;
	const jj_held_chunk_t *chunk;

	TAILQ_FOREACH(chunk, &batch->chunks, link)
	{
		counts.chunks_held++;
		counts.items_running += chunk->running;
	}
	return counts;
}

jj_platform_call_t *
jj_batch_call(
    jj_batch_t *batch, jj_actions_t *out, jj_platform_op_t op, uint64_t *token)
{
	*token = TOKEN_BIT | ++batch->next_token;
	return jj_actions_add_platform(out, JJ_OWNER_BATCH, op, *token);
}

bool
jj_batch_split_key(const char *key, const char *prefix,
    char id[JJ_OBJECT_ID_TEXT], const char **rest)
{
	const char *start = key + strlen(prefix);
	size_t size;

	if (strncmp(key, prefix, strlen(prefix)) != 0)
		return false;
	size = strcspn(start, "/");
	if (size == 0 || size >= JJ_OBJECT_ID_TEXT)
		return false;
	memcpy(id, start, size);
	id[size] = '\0';
	*rest = start + size + (start[size] == '/' ? 1 : 0);
	return true;
}

jj_ms_t
jj_batch_backoff(
    jj_batch_t *batch, uint32_t failures, jj_ms_t min_wait_ms, jj_ms_t now)
{
	uint32_t doublings = failures > 0 ? failures - 1 : 0;
	jj_ms_t wait;

	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	wait = batch->settings.retry_ms << doublings;
	if (wait < min_wait_ms)
		wait = min_wait_ms;
	wait += (jj_ms_t)(jj_operations_next(&batch->operations) %
	    (uint64_t)(wait / 4 + 1));
	return now + wait;
}

static void
run_round(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out)
{
	jj_held_chunk_t *chunk;

	batch->now_ms = now;
	jj_batch_capacity_begin_round(&batch->service_capacity);
	TAILQ_FOREACH(chunk, &batch->chunks, link)
	jj_held_chunk_count_running(batch, chunk);
	TAILQ_FOREACH(chunk, &batch->chunks, link)
	{
		jj_held_chunk_step(batch, chunk, now, out);
		jj_held_chunk_send_items(batch, chunk, now, out);
	}
	sweep_chunks(batch);
	claim_chunks(batch, now, out);
	jj_job_table_step(batch, now, out);
	jj_job_table_sweep(&batch->jobs);
}

static void
claim_chunks(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out)
{
	while (may_claim_chunk(batch, now)) {
		jj_chunk_choice_t choice = jj_job_table_choose(batch, now);
		jj_held_chunk_t *chunk;

		if (choice.job == NULL)
			return;
		chunk = jj_held_chunk_create(batch, &choice);
		TAILQ_INSERT_TAIL(&batch->chunks, chunk, link);
		jj_held_chunk_step(batch, chunk, now, out);
	}
}

/*
 * A stalled chunk keeps its claim, but doesn't count against the limit of
 * claimed chunks: others whose items can run are claimed beside it.
 */
static bool
may_claim_chunk(const jj_batch_t *batch, jj_ms_t now)
{
	const jj_held_chunk_t *chunk;
	uint32_t ready = 0;
	uint32_t held = 0;
	uint32_t all = 0;

	TAILQ_FOREACH(chunk, &batch->chunks, link)
	{
		ready += jj_held_chunk_count_ready(chunk, now);
		held += jj_held_chunk_is_stalled(chunk) ? 0 : 1;
		all++;
	}
	return !batch->leaving && batch->free_capacity > ready &&
	    held < batch->settings.chunks &&
	    all < batch->settings.chunks * STALLED_CHUNKS_FACTOR;
}

static void
sweep_chunks(jj_batch_t *batch)
{
	jj_held_chunk_t *chunk;
	jj_held_chunk_t *next;

	for (chunk = TAILQ_FIRST(&batch->chunks); chunk != NULL; chunk = next) {
		next = TAILQ_NEXT(chunk, link);
		if (chunk->phase != JJ_PHASE_DROPPED)
			continue;
		TAILQ_REMOVE(&batch->chunks, chunk, link);
		jj_held_chunk_destroy(chunk);
	}
}

/* Handles a write of `jobs/ID/REST`. */
static void
take_job_change(jj_batch_t *batch, const char *id, const char *rest,
    uint64_t version, jj_ms_t now)
{
	jj_known_job_t *known = jj_job_table_find(&batch->jobs, id);
	bool is_job = strcmp(rest, "job") == 0;

	if (known == NULL)
		jj_job_table_add_job(&batch->jobs, id, is_job);
	else if (is_job)
		known->wants_refresh |= version > known->job.version;
	else if (known->loaded)
		take_chunk_change(known, rest, version, now);
}

/* Handles a write of `jobs/ID/chunk/N` or `jobs/ID/out/N`. */
static void
take_chunk_change(
    jj_known_job_t *known, const char *rest, uint64_t version, jj_ms_t now)
{
	const char *number = strchr(rest, '/');
	uint32_t chunk;

	if (number == NULL)
		return;
	chunk = (uint32_t)strtoul(number + 1, NULL, 10);
	if (chunk >= known->job.part_count ||
	    known->views[chunk] == JJ_VIEW_HELD ||
	    known->views[chunk] == JJ_VIEW_OUT)
		return;
	if (strncmp(rest, "out/", strlen("out/")) == 0) {
		jj_known_job_set_view(known, chunk, JJ_VIEW_OUT);
		return;
	}
	jj_known_job_set_view(known, chunk, JJ_VIEW_CLAIMED);
	(void)jj_known_job_note_claim(known, chunk, version, now);
}
