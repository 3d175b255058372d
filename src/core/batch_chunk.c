/**
 * @file batch_chunk.c
 * @brief One chunk from claim to out object: its platform calls.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

/** Interval at which a blocked chunk is checked for a release. */
#define BLOCKED_CHECK_MS 500

static void
send_get(jj_batch_t *, jj_held_chunk_t *, const char *, jj_actions_t *);
static void send_job(jj_batch_t *, jj_held_chunk_t *, jj_actions_t *);
static void send_part(jj_batch_t *, jj_held_chunk_t *, jj_actions_t *);
static void
send_write(jj_batch_t *, jj_held_chunk_t *, jj_ms_t, jj_actions_t *);
static void step_run(jj_batch_t *, jj_held_chunk_t *, jj_ms_t, jj_actions_t *);
static void choose_write(jj_batch_t *, jj_held_chunk_t *, jj_ms_t);
static void prepare_write(jj_batch_t *, jj_held_chunk_t *, jj_write_kind_t);
static void prepare_out(jj_batch_t *, jj_held_chunk_t *);
static bool is_claimed(const jj_held_chunk_t *);
static bool has_out(const jj_held_chunk_t *);

jj_held_chunk_t *
jj_held_chunk_create(jj_batch_t *batch, const jj_chunk_choice_t *choice)
{
	jj_held_chunk_t *chunk = jj_alloc(sizeof(*chunk));

	chunk->job = choice->job;
	chunk->number = choice->chunk;
	chunk->count = choice->job->job.part_items[choice->chunk];
	chunk->items = jj_alloc((chunk->count + 1) * sizeof(*chunk->items));
	chunk->results = jj_alloc((chunk->count + 1) * sizeof(*chunk->results));
	chunk->started = jj_alloc((chunk->count + 1) * sizeof(*chunk->started));
	jj_known_job_set_view(chunk->job, chunk->number, JJ_VIEW_HELD);
	chunk->phase = JJ_PHASE_READ_RECORD;
	if (!choice->has_record) {
		chunk->phase = JJ_PHASE_CLAIM;
		chunk->fence = 1;
		jj_held_chunk_prepare_record(
		    batch, chunk, JJ_WRITE_CLAIM, JJ_CHUNK_RUNNING);
		chunk->write.is_create = true;
	}
	return chunk;
}

void
jj_held_chunk_destroy(jj_held_chunk_t *chunk)
{
	uint32_t i;

	for (i = 0; i < chunk->count; i++) {
		jj_batch_line_clear(&chunk->items[i].line);
		jj_result_clear(&chunk->results[i]);
	}
	jj_held_chunk_discard_write(chunk);
	free(chunk->items);
	free(chunk->results);
	free(chunk->started);
	free(chunk);
}

void
jj_held_chunk_step(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out)
{
	if (chunk->token != 0 || now < chunk->retry_at_ms)
		return;
	switch (chunk->phase) {
	case JJ_PHASE_READ_RECORD:
	case JJ_PHASE_CHECK_CLAIM:
	case JJ_PHASE_CHECK_RECORD:
		send_get(batch, chunk, "chunk", out);
		break;
	case JJ_PHASE_READ_OUT:
	case JJ_PHASE_CHECK_OUT:
		send_get(batch, chunk, "out", out);
		break;
	case JJ_PHASE_READ_JOB:
	case JJ_PHASE_CHECK_JOB:
		send_job(batch, chunk, out);
		break;
	case JJ_PHASE_READ_PART:
		send_part(batch, chunk, out);
		break;
	case JJ_PHASE_RUN:
		step_run(batch, chunk, now, out);
		break;
	case JJ_PHASE_CLAIM:
	case JJ_PHASE_PUBLISH:
	case JJ_PHASE_FINISH:
		send_write(batch, chunk, now, out);
		break;
	case JJ_PHASE_DROPPED:
		break;
	}
}

void
jj_held_chunk_cancel(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	/* Before its part is read, a chunk has no items to cancel; they are
	 * cancelled when they are loaded. */
	if (chunk->phase < JJ_PHASE_RUN || has_out(chunk))
		return;
	jj_held_chunk_cancel_items(batch, chunk, out);
}

void
jj_held_chunk_lose(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	if (chunk->phase == JJ_PHASE_DROPPED)
		return;
	if (is_claimed(chunk) && !has_out(chunk))
		batch->counts.claims_lost++;
	jj_held_chunk_stop_items(chunk, true, out);
	jj_held_chunk_drop(chunk, JJ_VIEW_CLAIMED);
}

void
jj_held_chunk_leave(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	bool sent = chunk->token != 0 || chunk->write.may_be_applied;

	(void)batch;
	if (chunk->phase == JJ_PHASE_READ_RECORD) {
		jj_held_chunk_drop(chunk, JJ_VIEW_CLAIMED);
		return;
	}
	if (chunk->phase == JJ_PHASE_CLAIM && !sent) {
		jj_held_chunk_drop(chunk, JJ_VIEW_OPEN);
		return;
	}
	if (is_claimed(chunk) && chunk->phase < JJ_PHASE_RUN) {
		chunk->token = 0;
		chunk->phase = JJ_PHASE_RUN;
	}
	jj_held_chunk_stop_items(chunk, false, out);
}

jj_ms_t
jj_held_chunk_next(const jj_batch_t *batch, const jj_held_chunk_t *chunk)
{
	jj_ms_t next = JJ_MS_NEVER;
	uint32_t i;

	if (chunk->token == 0)
		next = chunk->retry_at_ms;
	if (chunk->token == 0 && chunk->phase == JJ_PHASE_RUN &&
	    chunk->write.kind == JJ_WRITE_NONE && next < chunk->renew_at_ms)
		next = chunk->renew_at_ms;
	if (chunk->blocked_since_ms != 0 &&
	    next > chunk->blocked_since_ms + BLOCKED_CHECK_MS)
		next = batch->now_ms + BLOCKED_CHECK_MS;
	for (i = 0; i < chunk->count && batch->free_capacity > 0; i++) {
		const jj_batch_item_t *item = &chunk->items[i];

		if (item->state == JJ_ITEM_OPEN &&
		    item->ready_at_ms > batch->now_ms &&
		    item->ready_at_ms < next)
			next = item->ready_at_ms;
	}
	return next;
}

void
jj_held_chunk_prepare_record(jj_batch_t *batch, jj_held_chunk_t *chunk,
    jj_write_kind_t kind, jj_chunk_state_t state)
{
	jj_chunk_record_t record = {.fence = chunk->fence,
	    .renewals = chunk->renewals,
	    .lease_ms = batch->settings.lease_ms,
	    .state = state,
	    .counts = chunk->counts};
	bool done = state == JJ_CHUNK_DONE;

	prepare_write(batch, chunk, kind);
	(void)snprintf(
	    record.holder, sizeof(record.holder), "%s", batch->settings.writer);
	memcpy(
	    record.operation, chunk->write.operation, sizeof(record.operation));
	chunk->write.value =
	    jj_chunk_record_encode(&record, done ? NULL : chunk->results,
		chunk->started, chunk->count, batch->settings.checkpoint_bytes);
}

void
jj_held_chunk_discard_write(jj_held_chunk_t *chunk)
{
	jj_bytes_free(&chunk->write.value);
	memset(&chunk->write, 0, sizeof(chunk->write));
}

void
jj_held_chunk_drop(jj_held_chunk_t *chunk, jj_chunk_view_t view)
{
	jj_known_job_t *known = chunk->job;

	jj_known_job_set_view(known, chunk->number, view);
	chunk->phase = JJ_PHASE_DROPPED;
	chunk->token = 0;
	/* Whoever ends the last open chunk checks whether the job is done. */
	if (view == JJ_VIEW_OUT &&
	    (known->open_count == 0 || jj_known_job_is_cancelled(known)))
		known->wants_refresh = true;
}

static void
send_get(jj_batch_t *batch, jj_held_chunk_t *chunk, const char *kind,
    jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_GET, &chunk->token);

	(void)snprintf(call->key, sizeof(call->key), "jobs/%s/%s/%06u",
	    chunk->job->job.id, kind, chunk->number);
}

static void
send_job(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_GET, &chunk->token);

	(void)snprintf(
	    call->key, sizeof(call->key), "jobs/%s/job", chunk->job->job.id);
}

static void
send_part(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_GET, &chunk->token);

	(void)snprintf(call->key, sizeof(call->key), "files/%s/part/%06u",
	    chunk->job->job.input_file, chunk->number);
}

static void
send_write(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out)
{
	jj_chunk_write_t *write = &chunk->write;
	bool is_out = write->kind == JJ_WRITE_OUT;
	jj_platform_call_t *call = jj_batch_call(batch, out,
	    write->is_create ? JJ_PLATFORM_CREATE : JJ_PLATFORM_UPDATE,
	    &chunk->token);

	(void)snprintf(call->key, sizeof(call->key), "jobs/%s/%s/%06u",
	    chunk->job->job.id, is_out ? "out" : "chunk", chunk->number);
	call->version = write->is_create ? 0 : chunk->version;
	call->value = jj_bytes_copy(write->value.data, write->value.size);
	/* The lease starts at the first try, as that may be the one that was
	 * applied. */
	if (write->first_sent_ms == 0)
		write->first_sent_ms = now;
}

/*
 * An item that was cancelled before it was sent is published as not run. A
 * holder that was paused past its lease could publish this for an item that
 * its successor has run before the cancel. So a renewal of the claim must
 * succeed first. A VM that takes the chunk over after that renewal reads the
 * job after its claim, finds it cancelled and runs nothing.
 */
static void
step_run(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out)
{
	bool complete =
	    chunk->ended == chunk->count && !chunk->write.may_be_applied;

	if (complete && !chunk->must_renew) {
		prepare_out(batch, chunk);
		chunk->phase = JJ_PHASE_PUBLISH;
	} else if (chunk->write.kind == JJ_WRITE_NONE) {
		choose_write(batch, chunk, now);
	}
	if (chunk->write.kind != JJ_WRITE_NONE)
		send_write(batch, chunk, now, out);
}

static void
choose_write(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now)
{
	bool complete = chunk->ended == chunk->count;
	bool due = now >= chunk->renew_at_ms || chunk->must_renew;

	if (chunk->running == 0 && !complete &&
	    (batch->leaving ||
		jj_held_chunk_should_release(batch, chunk, now))) {
		jj_held_chunk_unmark_unsent(chunk);
		jj_held_chunk_prepare_record(
		    batch, chunk, JJ_WRITE_RELEASE, JJ_CHUNK_RELEASED);
		return;
	}
	if (jj_held_chunk_mark_started(batch, chunk, now) == 0 && !due)
		return;
	chunk->check_job_next = due;
	chunk->is_required_renewal = chunk->must_renew;
	chunk->renewals++;
	jj_held_chunk_prepare_record(
	    batch, chunk, JJ_WRITE_RENEW, JJ_CHUNK_RUNNING);
}

static void
prepare_write(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_write_kind_t kind)
{
	jj_held_chunk_discard_write(chunk);
	chunk->write.kind = kind;
	jj_operations_next_text(&batch->operations, chunk->write.operation);
}

static void
prepare_out(jj_batch_t *batch, jj_held_chunk_t *chunk)
{
	prepare_write(batch, chunk, JJ_WRITE_OUT);
	chunk->write.is_create = true;
	chunk->write.value = jj_out_encode(chunk->results, chunk->count,
	    batch->settings.writer, chunk->write.operation);
	chunk->counts = jj_results_count(chunk->results, chunk->count);
}

static bool
is_claimed(const jj_held_chunk_t *chunk)
{
	return chunk->phase > JJ_PHASE_CHECK_CLAIM;
}

static bool
has_out(const jj_held_chunk_t *chunk)
{
	return chunk->phase == JJ_PHASE_CHECK_OUT ||
	    chunk->phase >= JJ_PHASE_FINISH;
}
