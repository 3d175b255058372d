/**
 * @file batch_chunk.c
 * @brief One chunk from claim to out object, a platform call at a time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

static bool is_answer(jj_platform_outcome_t);
static void
send_get(jj_batch_t *, jj_held_chunk_t *, const char *, jj_actions_t *);
static void send_job(jj_batch_t *, jj_held_chunk_t *, jj_actions_t *);
static void send_part(jj_batch_t *, jj_held_chunk_t *, jj_actions_t *);
static void
send_write(jj_batch_t *, jj_held_chunk_t *, jj_ms_t, jj_actions_t *);
static void step_run(jj_batch_t *, jj_held_chunk_t *, jj_ms_t, jj_actions_t *);
static void choose_write(jj_batch_t *, jj_held_chunk_t *, jj_ms_t);
static void prepare_write(jj_batch_t *, jj_held_chunk_t *, jj_write_kind_t);
static void prepare_record(
    jj_batch_t *, jj_held_chunk_t *, jj_write_kind_t, jj_chunk_state_t);
static void prepare_out(jj_batch_t *, jj_held_chunk_t *);
static void discard_write(jj_held_chunk_t *);
static void take_failure(
    jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *, jj_ms_t);
static void take_written(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_read(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void confirm_write(jj_batch_t *, jj_held_chunk_t *, uint64_t, jj_ms_t);
static void confirm_claim(jj_batch_t *, jj_held_chunk_t *);
static void take_examined(
    jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *, jj_ms_t);
static void inherit(jj_held_chunk_t *, const jj_chunk_record_t *);
static void take_claim_check(
    jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *, jj_ms_t);
static void take_record_check(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
take_old_out(jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *);
static void take_job(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_part(jj_batch_t *, jj_held_chunk_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
take_out_check(jj_batch_t *, jj_held_chunk_t *, const jj_platform_result_t *);
static void begin_finish(jj_batch_t *, jj_held_chunk_t *);
static void drop(jj_held_chunk_t *, jj_chunk_view_t);
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
	chunk->phase = JJ_PHASE_EXAMINE;
	if (!choice->has_record) {
		chunk->phase = JJ_PHASE_CLAIM;
		chunk->fence = 1;
		prepare_record(batch, chunk, JJ_WRITE_CLAIM, JJ_CHUNK_RUNNING);
		chunk->write.creates = true;
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
	discard_write(chunk);
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
	case JJ_PHASE_EXAMINE:
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
	case JJ_PHASE_GONE:
		break;
	}
}

void
jj_held_chunk_take_result(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	chunk->token = 0;
	if (!is_answer(result->outcome)) {
		take_failure(batch, chunk, result, now);
		return;
	}
	chunk->failures = 0;
	chunk->retry_at_ms = 0;
	chunk->unreachable = false;
	if (result->op == JJ_PLATFORM_GET)
		take_read(batch, chunk, result, now, out);
	else
		take_written(batch, chunk, result, now, out);
}

void
jj_held_chunk_cancel(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	/* Before its part is read, a chunk has nothing to stop; it sees the
	 * cancel once it is loaded. */
	if (chunk->phase < JJ_PHASE_RUN || has_out(chunk))
		return;
	jj_held_chunk_cancel_items(batch, chunk, out);
}

void
jj_held_chunk_lose(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	if (chunk->phase == JJ_PHASE_GONE)
		return;
	if (is_claimed(chunk) && !has_out(chunk))
		batch->counts.claims_lost++;
	jj_held_chunk_stop_items(chunk, true, out);
	drop(chunk, JJ_VIEW_CLAIMED);
}

void
jj_held_chunk_leave(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	bool sent = chunk->token != 0 || chunk->write.unsure;

	(void)batch;
	if (chunk->phase == JJ_PHASE_EXAMINE) {
		drop(chunk, JJ_VIEW_CLAIMED);
		return;
	}
	if (chunk->phase == JJ_PHASE_CLAIM && !sent) {
		drop(chunk, JJ_VIEW_OPEN);
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
	for (i = 0; i < chunk->count && batch->room > 0; i++) {
		const jj_batch_item_t *item = &chunk->items[i];

		if (item->state == JJ_ITEM_OPEN &&
		    item->ready_at_ms > batch->now_ms &&
		    item->ready_at_ms < next)
			next = item->ready_at_ms;
	}
	return next;
}

static bool
is_answer(jj_platform_outcome_t outcome)
{
	return outcome == JJ_PLATFORM_OK || outcome == JJ_PLATFORM_ABSENT ||
	    outcome == JJ_PLATFORM_CONFLICT;
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
	    write->creates ? JJ_PLATFORM_CREATE : JJ_PLATFORM_UPDATE,
	    &chunk->token);

	(void)snprintf(call->key, sizeof(call->key), "jobs/%s/%s/%06u",
	    chunk->job->job.id, is_out ? "out" : "chunk", chunk->number);
	call->version = write->creates ? 0 : chunk->version;
	call->value = jj_bytes_copy(write->value.data, write->value.size);
	/* The lease counts from before the first try: an earlier try may be
	 * the one that took effect. */
	if (write->sent_ms == 0)
		write->sent_ms = now;
}

/*
 * A cancelled item is published as not run. A frozen holder would say so of
 * an item that its successor had run before the cancel; it therefore renews
 * its claim once more first. Who takes the chunk over after that reads the
 * job after its claim, sees the cancel and runs nothing.
 */
static void
step_run(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out)
{
	bool complete = chunk->ended == chunk->count && !chunk->write.unsure;

	if (complete && !chunk->must_confirm) {
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
	bool due = now >= chunk->renew_at_ms || chunk->must_confirm;

	if (batch->leaving && chunk->running == 0 && !complete) {
		prepare_record(
		    batch, chunk, JJ_WRITE_RELEASE, JJ_CHUNK_RELEASED);
		return;
	}
	if (jj_held_chunk_mark(batch, chunk, now) == 0 && !due)
		return;
	chunk->checks_job = due;
	chunk->confirms = chunk->must_confirm;
	chunk->beat++;
	prepare_record(batch, chunk, JJ_WRITE_RENEW, JJ_CHUNK_RUNNING);
}

static void
prepare_write(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_write_kind_t kind)
{
	discard_write(chunk);
	chunk->write.kind = kind;
	jj_operations_next_text(&batch->operations, chunk->write.operation);
}

static void
prepare_record(jj_batch_t *batch, jj_held_chunk_t *chunk, jj_write_kind_t kind,
    jj_chunk_state_t state)
{
	jj_chunk_record_t record = {.fence = chunk->fence,
	    .beat = chunk->beat,
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

static void
prepare_out(jj_batch_t *batch, jj_held_chunk_t *chunk)
{
	prepare_write(batch, chunk, JJ_WRITE_OUT);
	chunk->write.creates = true;
	chunk->write.value = jj_out_encode(chunk->results, chunk->count,
	    batch->settings.writer, chunk->write.operation);
	chunk->counts = jj_results_count(chunk->results, chunk->count);
}

static void
discard_write(jj_held_chunk_t *chunk)
{
	jj_bytes_free(&chunk->write.value);
	memset(&chunk->write, 0, sizeof(chunk->write));
}

/*
 * No answer, or none now. A write that may have taken effect is repeated
 * byte for byte until its outcome is known. One that surely was not done
 * is made anew, with what has ended meanwhile.
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
		chunk->write.unsure = true;
	if (chunk->write.unsure)
		return;
	if (kind == JJ_WRITE_RENEW || kind == JJ_WRITE_RELEASE) {
		jj_held_chunk_unmark(chunk, false);
		discard_write(chunk);
	}
	if (kind == JJ_WRITE_CLAIM && batch->leaving)
		drop(chunk, JJ_VIEW_OPEN);
}

static void
take_written(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->outcome == JJ_PLATFORM_OK) {
		confirm_write(batch, chunk, result->version, now);
		return;
	}
	if (chunk->write.kind == JJ_WRITE_OUT)
		chunk->phase = JJ_PHASE_CHECK_OUT;
	else if (chunk->write.kind == JJ_WRITE_DONE)
		/* The results stand; the record is the next holder's. */
		drop(chunk, JJ_VIEW_OUT);
	else if (chunk->phase == JJ_PHASE_CLAIM)
		chunk->phase = JJ_PHASE_CHECK_CLAIM;
	else if (result->outcome == JJ_PLATFORM_CONFLICT)
		chunk->phase = JJ_PHASE_CHECK_RECORD;
	else
		jj_held_chunk_lose(batch, chunk, out);
}

static void
confirm_write(
    jj_batch_t *batch, jj_held_chunk_t *chunk, uint64_t version, jj_ms_t now)
{
	jj_write_kind_t kind = chunk->write.kind;
	jj_ms_t sent_ms = chunk->write.sent_ms;

	(void)now;
	discard_write(chunk);
	if (kind == JJ_WRITE_OUT) {
		batch->counts.published++;
		begin_finish(batch, chunk);
		return;
	}
	chunk->version = version;
	if (kind == JJ_WRITE_DONE || kind == JJ_WRITE_RELEASE) {
		drop(chunk,
		    kind == JJ_WRITE_DONE ? JJ_VIEW_OUT : JJ_VIEW_CLAIMED);
		return;
	}
	chunk->lease_until_ms = sent_ms + batch->settings.lease_ms;
	chunk->renew_at_ms = sent_ms + batch->settings.checkpoint_ms;
	if (kind == JJ_WRITE_CLAIM) {
		confirm_claim(batch, chunk);
		return;
	}
	jj_held_chunk_unmark(chunk, true);
	batch->counts.checkpoints++;
	if (chunk->confirms)
		chunk->must_confirm = false;
	chunk->phase = chunk->checks_job ? JJ_PHASE_CHECK_JOB : JJ_PHASE_RUN;
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
	case JJ_PHASE_EXAMINE:
		take_examined(batch, chunk, result, now);
		break;
	case JJ_PHASE_CHECK_CLAIM:
		take_claim_check(batch, chunk, result, now);
		break;
	case JJ_PHASE_CHECK_RECORD:
		take_record_check(batch, chunk, result, now, out);
		break;
	case JJ_PHASE_READ_OUT:
		take_old_out(batch, chunk, result);
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
 * The version must not have changed for the whole lease and a margin on the
 * own clock: no clock of another VM is trusted. The take-over is an update
 * on the version read here, so that a holder that renews in between wins.
 */
static void
take_examined(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result, jj_ms_t now)
{
	jj_chunk_record_t record = {0};
	jj_seen_claim_t *claim;

	if (result->outcome != JJ_PLATFORM_OK ||
	    !jj_chunk_record_decode(&record, &result->value, result->version)) {
		drop(chunk, JJ_VIEW_OPEN);
		return;
	}
	claim =
	    jj_known_job_read_claim(chunk->job, chunk->number, &record, now);
	if (record.state == JJ_CHUNK_DONE) {
		drop(chunk, JJ_VIEW_OUT);
	} else if (claim->version != record.version ||
	    !jj_seen_claim_has_lapsed(batch, claim, now)) {
		drop(chunk, JJ_VIEW_CLAIMED);
	} else {
		inherit(chunk, &record);
		prepare_record(batch, chunk, JJ_WRITE_CLAIM, JJ_CHUNK_RUNNING);
		chunk->phase = JJ_PHASE_CLAIM;
	}
	jj_chunk_record_clear(&record);
}

static void
inherit(jj_held_chunk_t *chunk, const jj_chunk_record_t *record)
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
		drop(chunk, JJ_VIEW_OPEN);
		return;
	}
	if (jj_operation_is_own(&result->value, batch->settings.writer,
		chunk->write.operation)) {
		confirm_write(batch, chunk, record.version, now);
	} else if (record.state == JJ_CHUNK_DONE) {
		drop(chunk, JJ_VIEW_OUT);
	} else {
		(void)jj_known_job_read_claim(
		    chunk->job, chunk->number, &record, now);
		drop(chunk, JJ_VIEW_CLAIMED);
	}
	jj_chunk_record_clear(&record);
}

/*
 * A conflict may be the echo of the own write whose answer was lost; the
 * operation id tells. Any other holder means that the claim is lost: what
 * runs here is stopped and the results are dropped.
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
		confirm_write(batch, chunk, record.version, now);
	} else if (strcmp(record.holder, batch->settings.writer) == 0) {
		chunk->version = record.version;
		chunk->phase = JJ_PHASE_RUN;
	} else {
		(void)jj_known_job_read_claim(
		    chunk->job, chunk->number, &record, now);
		jj_held_chunk_lose(batch, chunk, out);
	}
	jj_chunk_record_clear(&record);
}

/* The last holder may have died between its out object and its record. */
static void
take_old_out(jj_batch_t *batch, jj_held_chunk_t *chunk,
    const jj_platform_result_t *result)
{
	if (result->outcome != JJ_PLATFORM_OK) {
		chunk->phase = JJ_PHASE_READ_JOB;
		return;
	}
	(void)jj_out_count(&result->value, &chunk->counts);
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
		/* The file was durable before the job was: look again. */
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
 * A worker frozen past its lease wakes and publishes beside its successor:
 * two results for one item. The out object is only ever created, so that
 * the first stands; the other's results are dropped whole.
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
	begin_finish(batch, chunk);
}

static void
begin_finish(jj_batch_t *batch, jj_held_chunk_t *chunk)
{
	chunk->phase = JJ_PHASE_FINISH;
	prepare_record(batch, chunk, JJ_WRITE_DONE, JJ_CHUNK_DONE);
}

static void
drop(jj_held_chunk_t *chunk, jj_chunk_view_t view)
{
	jj_known_job_t *known = chunk->job;

	jj_known_job_set_view(known, chunk->number, view);
	chunk->phase = JJ_PHASE_GONE;
	chunk->token = 0;
	/* Whoever ends the last open chunk looks whether the job is done. */
	if (view == JJ_VIEW_OUT &&
	    (known->open_count == 0 || jj_known_job_is_cancelled(known)))
		known->wants_refresh = true;
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
