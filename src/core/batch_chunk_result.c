/**
 * @file batch_chunk_result.c
 * @brief Handles the results of a chunk's platform calls.
 */
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

/** A chunk that this VM released is not claimed here again for so long. */
#define RECLAIM_DELAY_MS 3000

static bool is_definite(jj_platform_outcome_t);
static void take_failure(
    jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *, jj_ms_t);
static void take_written(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_actions_t *);
static void confirm_write(jj_batch_t *, jj_held_chunk_t *, uint64_t);
static void confirm_claim(jj_batch_t *, jj_held_chunk_t *);
static void take_read(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_other_record(
    jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *, jj_ms_t);
static void take_over_record(jj_held_chunk_t *, const jj_chunk_record_t *);
static void take_claim_check(
    jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *, jj_ms_t);
static void take_record_check(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_previous_out(
    jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *);
static void take_job(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_part(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
take_out_check(jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *);
static void begin_finish(jj_batch_t *, jj_held_chunk_t *);

void
jj_held_chunk_take_result(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	chunk->token = 0;
	if (!is_definite(result->outcome)) {
		take_failure(batch, chunk, result, now);
		return;
	}
	chunk->failures = 0;
	chunk->retry_at_ms = 0;
	chunk->unreachable = false;
	if (result->op == JJ_PLATFORM_GET)
		take_read(batch, chunk, result, now, out);
	else
		take_written(batch, chunk, result, out);
}

static bool
is_definite(jj_platform_outcome_t outcome)
{
	return outcome == JJ_PLATFORM_OK || outcome == JJ_PLATFORM_ABSENT ||
	    outcome == JJ_PLATFORM_CONFLICT;
}

/*
 * The call failed. A write that may have been applied is retried with the same
 * bytes until its outcome is known. A checkpoint or release that verifiably
 * was not applied is discarded; the next one also has the items that have
 * ended since.
 */
static void
take_failure(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now)
{
	bool is_read = result->op == JJ_PLATFORM_GET;
	jj_write_kind_t kind = chunk->write.kind;

	chunk->unreachable = true;
	chunk->retry_at_ms = jj_batch_backoff(
	    batch, ++chunk->failures, result->retry_after_ms, now);
	if (chunk->phase == JJ_PHASE_CHECK_JOB)
		chunk->phase = JJ_PHASE_RUN;
	if (is_read)
		return;
	if (result->outcome == JJ_PLATFORM_UNKNOWN)
		chunk->write.may_be_applied = true;
	if (chunk->write.may_be_applied)
		return;
	if (kind == JJ_WRITE_RENEW || kind == JJ_WRITE_RELEASE) {
		jj_held_chunk_end_marking(chunk, false);
		jj_held_chunk_discard_write(chunk);
	}
	if (kind == JJ_WRITE_CLAIM && batch->leaving)
		jj_held_chunk_drop(chunk, JJ_VIEW_OPEN);
}

static void
take_written(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	if (result->outcome == JJ_PLATFORM_OK) {
		confirm_write(batch, chunk, result->version);
		return;
	}
	if (chunk->write.kind == JJ_WRITE_OUT)
		chunk->phase = JJ_PHASE_CHECK_OUT;
	else if (chunk->write.kind == JJ_WRITE_DONE)
		/* The results are published; another VM has the record. */
		jj_held_chunk_drop(chunk, JJ_VIEW_OUT);
	else if (chunk->phase == JJ_PHASE_CLAIM)
		chunk->phase = JJ_PHASE_CHECK_CLAIM;
	else if (result->outcome == JJ_PLATFORM_CONFLICT)
		chunk->phase = JJ_PHASE_CHECK_RECORD;
	else
		jj_held_chunk_lose(batch, chunk, out);
}

/*
 * This VM released the chunk for lack of free capacity; it waits before
 * claiming it again, so that another VM can.
 */
static void
delay_reclaim(jj_batch_t *batch, jj_held_chunk_t *chunk)
{
	jj_seen_claim_t *claim = jj_known_job_note_claim(
	    chunk->job, chunk->number, chunk->version, batch->now_ms);

	claim->changed = false;
	claim->released = true;
	claim->lease_ms = batch->settings.lease_ms;
	claim->no_claim_until_ms = batch->now_ms + RECLAIM_DELAY_MS;
	(void)snprintf(
	    claim->holder, sizeof(claim->holder), "%s", batch->settings.writer);
}

static void
confirm_write(jj_batch_t *batch, jj_held_chunk_t *chunk, uint64_t version)
{
	jj_write_kind_t kind = chunk->write.kind;
	jj_ms_t first_sent_ms = chunk->write.first_sent_ms;

	jj_held_chunk_discard_write(chunk);
	if (kind == JJ_WRITE_OUT) {
		batch->counts.published++;
		jj_known_job_note_own_out(chunk->job, version);
		begin_finish(batch, chunk);
		return;
	}
	chunk->version = version;
	if (kind == JJ_WRITE_RELEASE)
		delay_reclaim(batch, chunk);
	if (kind == JJ_WRITE_DONE || kind == JJ_WRITE_RELEASE) {
		jj_held_chunk_drop(chunk,
		    kind == JJ_WRITE_DONE ? JJ_VIEW_OUT : JJ_VIEW_CLAIMED);
		return;
	}
	chunk->lease_until_ms = first_sent_ms + batch->settings.lease_ms;
	chunk->renew_at_ms = first_sent_ms + batch->settings.checkpoint_ms;
	if (kind == JJ_WRITE_CLAIM) {
		confirm_claim(batch, chunk);
		return;
	}
	jj_held_chunk_end_marking(chunk, true);
	batch->counts.checkpoints++;
	if (chunk->is_required_renewal)
		chunk->must_renew = false;
	chunk->phase =
	    chunk->check_job_next ? JJ_PHASE_CHECK_JOB : JJ_PHASE_RUN;
}

static void
confirm_claim(jj_batch_t *batch, jj_held_chunk_t *chunk)
{
	if (chunk->takeover)
		batch->counts.takeovers++;
	else
		batch->counts.claims++;
	chunk->phase = chunk->takeover ? JJ_PHASE_READ_OUT : JJ_PHASE_READ_JOB;
	if (batch->leaving)
		chunk->phase = JJ_PHASE_RUN;
}

static void
take_read(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	switch (chunk->phase) {
	case JJ_PHASE_READ_RECORD:
		take_other_record(batch, chunk, result, now);
		break;
	case JJ_PHASE_CHECK_CLAIM:
		take_claim_check(batch, chunk, result, now);
		break;
	case JJ_PHASE_CHECK_RECORD:
		take_record_check(batch, chunk, result, now, out);
		break;
	case JJ_PHASE_READ_OUT:
		take_previous_out(batch, chunk, result);
		break;
	case JJ_PHASE_READ_JOB:
	case JJ_PHASE_CHECK_JOB:
		take_job(batch, chunk, result, now, out);
		break;
	case JJ_PHASE_READ_PART:
		take_part(batch, chunk, result, now, out);
		break;
	case JJ_PHASE_CHECK_OUT:
		take_out_check(batch, chunk, result);
		break;
	default:
		break;
	}
}

/*
 * A claim has lapsed when the record's version has not changed for the lease
 * and a margin by this VM's clock; clocks of other VMs are not trusted. The
 * takeover is an update on the version read here: if the holder renews in
 * between, the takeover fails.
 */
static void
take_other_record(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now)
{
	jj_chunk_record_t record = {0};
	jj_seen_claim_t *claim;

	if (result->outcome != JJ_PLATFORM_OK ||
	    !jj_chunk_record_decode(&record, &result->value, result->version)) {
		jj_held_chunk_drop(chunk, JJ_VIEW_OPEN);
		return;
	}
	claim = jj_known_job_note_record(
	    &batch->jobs, chunk->job, chunk->number, &record, now);
	jj_job_table_count_probe(&batch->jobs,
	    record.state == JJ_CHUNK_DONE ||
		jj_seen_claim_has_lapsed(batch, claim, now));
	if (record.state == JJ_CHUNK_DONE) {
		jj_held_chunk_drop(chunk, JJ_VIEW_OUT);
	} else if (!jj_seen_claim_has_lapsed(batch, claim, now)) {
		jj_held_chunk_drop(chunk, JJ_VIEW_CLAIMED);
	} else {
		take_over_record(chunk, &record);
		jj_held_chunk_prepare_record(
		    batch, chunk, JJ_WRITE_CLAIM, JJ_CHUNK_RUNNING);
		chunk->phase = JJ_PHASE_CLAIM;
	}
	jj_chunk_record_clear(&record);
}

static void
take_over_record(jj_held_chunk_t *chunk, const jj_chunk_record_t *record)
{
	jj_item_record_t *items = jj_alloc((chunk->count + 1) * sizeof(*items));
	uint32_t i;

	chunk->takeover = true;
	chunk->version = record->version;
	chunk->fence = record->fence + 1;
	jj_chunk_record_read_items(record, items, chunk->count);
	for (i = 0; i < chunk->count; i++) {
		chunk->started[i] = items[i].started;
		chunk->results[i] = items[i].result;
		if (items[i].result.text.data == NULL)
			continue;
		chunk->items[i].state = JJ_ITEM_ENDED;
		chunk->ended++;
	}
	free(items);
}

static void
take_claim_check(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now)
{
	jj_chunk_record_t record = {0};

	if (result->outcome != JJ_PLATFORM_OK ||
	    !jj_chunk_record_decode(&record, &result->value, result->version)) {
		jj_held_chunk_drop(chunk, JJ_VIEW_OPEN);
		return;
	}
	if (jj_operation_is_own(&result->value, batch->settings.writer,
		chunk->write.operation)) {
		confirm_write(batch, chunk, record.version);
	} else if (record.state == JJ_CHUNK_DONE) {
		jj_held_chunk_drop(chunk, JJ_VIEW_OUT);
	} else {
		(void)jj_known_job_note_record(
		    &batch->jobs, chunk->job, chunk->number, &record, now);
		jj_held_chunk_drop(chunk, JJ_VIEW_CLAIMED);
		/* The views are stale. Two list calls refresh them; without,
		 * each chunk claimed by others costs a failed write. */
		chunk->job->views_stale = chunk->job->open_count > 0;
	}
	jj_chunk_record_clear(&record);
}

/*
 * A write may conflict with an earlier try of itself whose answer was lost;
 * the operation id shows it. If the record has another holder, the claim is
 * lost: running items are cancelled and their results dropped.
 */
static void
take_record_check(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_chunk_record_t record = {0};

	if (result->outcome != JJ_PLATFORM_OK ||
	    !jj_chunk_record_decode(&record, &result->value, result->version)) {
		jj_held_chunk_lose(batch, chunk, out);
		return;
	}
	if (jj_operation_is_own(&result->value, batch->settings.writer,
		chunk->write.operation)) {
		confirm_write(batch, chunk, record.version);
	} else if (strcmp(record.holder, batch->settings.writer) == 0) {
		chunk->version = record.version;
		chunk->phase = JJ_PHASE_RUN;
	} else {
		(void)jj_known_job_note_record(
		    &batch->jobs, chunk->job, chunk->number, &record, now);
		jj_held_chunk_lose(batch, chunk, out);
	}
	jj_chunk_record_clear(&record);
}

/* The previous holder may have failed after publishing the out object and
 * before marking its record as done. */
static void
take_previous_out(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result)
{
	if (result->outcome != JJ_PLATFORM_OK) {
		chunk->phase = JJ_PHASE_READ_JOB;
		return;
	}
	(void)jj_out_count(&result->value, &chunk->counts);
	jj_known_job_note_own_out(chunk->job, result->version);
	begin_finish(batch, chunk);
}

static void
take_job(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	chunk->phase = chunk->phase == JJ_PHASE_READ_JOB ? JJ_PHASE_READ_PART
							 : JJ_PHASE_RUN;
	if (result->outcome == JJ_PLATFORM_OK)
		(void)jj_known_job_update(batch, chunk->job, &result->value,
		    result->version, now, out);
}

static void
take_part(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->outcome != JJ_PLATFORM_OK ||
	    !jj_held_chunk_load(chunk, &result->value, batch)) {
		/* The file was durable before the job was created, so the
		 * read is retried. */
		jj_actions_add_event(out, "batch_part_unreadable",
		    "job=%s chunk=%u", chunk->job->job.id, chunk->number);
		chunk->retry_at_ms =
		    jj_batch_backoff(batch, ++chunk->failures, 0, now);
		return;
	}
	chunk->phase = JJ_PHASE_RUN;
	if (jj_known_job_is_cancelled(chunk->job))
		jj_held_chunk_cancel_items(batch, chunk, out);
}

/*
 * A worker that was paused past its lease may publish as well as its
 * successor, which would give an item two results. The out object is only
 * ever created, so the first one is kept and the results of the other worker
 * are dropped.
 */
static void
take_out_check(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result)
{
	if (result->outcome != JJ_PLATFORM_OK) {
		chunk->phase = JJ_PHASE_PUBLISH;
		return;
	}
	if (jj_operation_is_own(
		&result->value, batch->settings.writer, chunk->write.operation))
		batch->counts.published++;
	else
		batch->counts.publish_conflicts++;
	(void)jj_out_count(&result->value, &chunk->counts);
	jj_known_job_note_own_out(chunk->job, result->version);
	begin_finish(batch, chunk);
}

static void
begin_finish(jj_batch_t *batch, jj_held_chunk_t *chunk)
{
	chunk->phase = JJ_PHASE_FINISH;
	jj_held_chunk_prepare_record(
	    batch, chunk, JJ_WRITE_DONE, JJ_CHUNK_DONE);
}
