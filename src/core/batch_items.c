/**
 * @file batch_items.c
 * @brief Items of a held chunk: loads, sends and ends them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

/**
 * Runs without acceptance by a backend server before an item fails. Takes
 * hours, as the waits between them double.
 */
#define NOT_RUN_MAX 200
/** item_retry_ms is doubled at most this many times. */
#define ITEM_DOUBLINGS_MAX 6
/** A chunk is stalled when no open item was accepted in so many runs. */
#define STALLED_NOT_RUN_MIN 3

/** A chunk blocked for lack of free capacity is released after this time. */
#define BLOCKED_RELEASE_MS 10000
/** The same when this VM has no share in the services of its open items. */
#define NO_SHARE_RELEASE_MS 500

static void note_blocked(const jj_batch_t *, jj_held_chunk_t *, jj_ms_t);
static uint32_t reserved_elsewhere(const jj_batch_t *, const jj_held_chunk_t *);
static bool
may_send_items(const jj_batch_t *, const jj_held_chunk_t *, jj_ms_t);
static bool is_idempotent(const jj_batch_t *, const jj_batch_item_t *);
static void
send_item(jj_batch_t *, jj_held_chunk_t *, uint32_t, bool, jj_actions_t *);
static void load_item(jj_batch_t *, jj_held_chunk_t *, uint32_t, json_t *);
static const char *custom_id(const jj_batch_item_t *);
static void
set_result(jj_batch_t *, jj_held_chunk_t *, uint32_t, jj_item_result_t);
static void end_run(jj_batch_t *, jj_held_chunk_t *, uint32_t,
    jj_item_outcome_t, int, const jj_bytes_t *, jj_ms_t);
static void
end_done(jj_batch_t *, jj_held_chunk_t *, uint32_t, int, const jj_bytes_t *);
static void
end_outcome_unknown(jj_batch_t *, jj_held_chunk_t *, uint32_t, jj_ms_t);
static void end_not_run(jj_batch_t *, jj_held_chunk_t *, uint32_t, jj_ms_t);
static void schedule_retry(jj_batch_t *, jj_batch_item_t *, uint32_t, jj_ms_t);

bool
jj_held_chunk_load(
    jj_held_chunk_t *chunk, const jj_bytes_t *part, jj_batch_t *batch)
{
	json_t *document = json_loadb(part->data, part->size, 0, NULL);
	json_t *lines = json_object_get(document, "items");
	bool known = json_is_array(lines);
	uint32_t i;

	for (i = 0; known && i < chunk->count; i++)
		load_item(batch, chunk, i, json_array_get(lines, i));
	json_decref(document);
	return known;
}

void
jj_held_chunk_send_items(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now, jj_actions_t *out)
{
	uint32_t i;

	if (!may_send_items(batch, chunk, now))
		return;
	note_blocked(batch, chunk, now);
	for (i = 0; i < chunk->count && batch->free_capacity > 0; i++) {
		jj_batch_item_t *item = &chunk->items[i];
		bool idempotent;

		if (item->state != JJ_ITEM_OPEN || now < item->ready_at_ms ||
		    !jj_batch_capacity_has_free(
			&batch->service_capacity, item->service))
			continue;
		idempotent = is_idempotent(batch, item);
		if (idempotent || item->start_confirmed)
			send_item(batch, chunk, i, idempotent, out);
	}
}

void
jj_held_chunk_count_running(jj_batch_t *batch, const jj_held_chunk_t *chunk)
{
	uint32_t i;

	for (i = 0; i < chunk->count && chunk->running > 0; i++) {
		if (chunk->items[i].state == JJ_ITEM_RUNNING)
			jj_batch_capacity_add_running(
			    &batch->service_capacity, chunk->items[i].service);
	}
}

/*
 * If this VM has no share in the services of a chunk's open items, they never
 * run here. Its lease would be renewed forever, so that no other VM could
 * claim it. Such a chunk is released soon. One that only waits for the end of
 * a burst is released later, as another VM may have free capacity.
 */
bool
jj_held_chunk_should_release(
    const jj_batch_t *batch, const jj_held_chunk_t *chunk, jj_ms_t now)
{
	uint32_t i;

	if (chunk->phase != JJ_PHASE_RUN || chunk->blocked_since_ms == 0)
		return false;
	if (now - chunk->blocked_since_ms >= BLOCKED_RELEASE_MS)
		return true;
	for (i = 0; i < chunk->count; i++) {
		if (chunk->items[i].state == JJ_ITEM_OPEN &&
		    jj_batch_capacity_has_share(
			&batch->service_capacity, chunk->items[i].service))
			return false;
	}
	return now - chunk->blocked_since_ms >= NO_SHARE_RELEASE_MS;
}

void
jj_held_chunk_unmark_unsent(jj_held_chunk_t *chunk)
{
	uint32_t i;

	for (i = 0; i < chunk->count; i++) {
		jj_batch_item_t *item = &chunk->items[i];

		if (item->state != JJ_ITEM_OPEN || !item->start_confirmed ||
		    item->was_sent)
			continue;
		item->start_confirmed = false;
		chunk->started[i] = false;
	}
}

/*
 * A VM may fail after it has sent a non-idempotent item. If the next holder
 * sent it again, it would, for example, book its pallets twice. So the item
 * is recorded as started, by an update on the version of this VM's claim, and
 * is sent only once that update is confirmed. The update fails if the claim
 * was lost, and the next holder never sends an item that has the mark.
 */
uint32_t
jj_held_chunk_mark_started(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now)
{
	uint32_t marked = 0;
	uint32_t wanted = 0;
	uint32_t reserved = reserved_elsewhere(batch, chunk);
	uint32_t free_capacity;
	uint32_t i;

	if (batch->leaving || jj_known_job_is_cancelled(chunk->job))
		return 0;
	free_capacity = reserved < batch->free_capacity
	    ? batch->free_capacity - reserved
	    : 0;
	for (i = 0; i < chunk->count && wanted < free_capacity; i++) {
		jj_batch_item_t *item = &chunk->items[i];

		if (item->state != JJ_ITEM_OPEN || now < item->ready_at_ms ||
		    !jj_batch_capacity_has_free(
			&batch->service_capacity, item->service))
			continue;
		wanted++;
		if (item->start_confirmed || is_idempotent(batch, item))
			continue;
		item->state = JJ_ITEM_MARKING;
		chunk->started[i] = true;
		marked++;
	}
	return marked;
}

void
jj_held_chunk_end_marking(jj_held_chunk_t *chunk, bool confirmed)
{
	uint32_t i;

	for (i = 0; i < chunk->count; i++) {
		jj_batch_item_t *item = &chunk->items[i];

		if (item->state != JJ_ITEM_MARKING)
			continue;
		item->state = JJ_ITEM_OPEN;
		item->start_confirmed = confirmed;
		chunk->started[i] = confirmed;
	}
}

bool
jj_held_chunk_end_item(jj_batch_t *batch, jj_held_chunk_t *chunk, uint64_t run,
    jj_item_outcome_t outcome, int status, const jj_bytes_t *body, jj_ms_t now)
{
	uint32_t i;

	for (i = 0; i < chunk->count; i++) {
		jj_batch_item_t *item = &chunk->items[i];

		if (item->state != JJ_ITEM_RUNNING || item->run != run)
			continue;
		item->state = JJ_ITEM_OPEN;
		chunk->running--;
		end_run(batch, chunk, i, outcome, status, body, now);
		return true;
	}
	return false;
}

void
jj_held_chunk_cancel_items(
    jj_batch_t *batch, jj_held_chunk_t *chunk, jj_actions_t *out)
{
	uint32_t i;

	jj_held_chunk_stop_items(chunk, true, out);
	chunk->must_renew = true;
	for (i = 0; i < chunk->count; i++) {
		jj_batch_item_t *item = &chunk->items[i];
		bool may_have_run = item->attempts > 0 || item->withdrawn ||
		    chunk->started[i] || chunk->takeover;

		if (item->state == JJ_ITEM_ENDED)
			continue;
		set_result(batch, chunk, i,
		    jj_result_error(custom_id(item), "cancelled",
			"the job was cancelled",
			may_have_run ? "unknown" : "not_run"));
	}
}

void
jj_held_chunk_stop_items(jj_held_chunk_t *chunk, bool all, jj_actions_t *out)
{
	uint32_t i;

	for (i = 0; i < chunk->count; i++) {
		jj_batch_item_t *item = &chunk->items[i];
		jj_action_t *action;

		if (item->state != JJ_ITEM_RUNNING ||
		    (!all && !item->idempotent))
			continue;
		action = jj_actions_add(out, JJ_ACTION_ITEM_CANCEL);
		action->body.item.item = item->run;
		item->state = JJ_ITEM_OPEN;
		item->attempts++;
		chunk->running--;
	}
}

uint32_t
jj_held_chunk_count_ready(const jj_held_chunk_t *chunk, jj_ms_t now)
{
	uint32_t ready = 0;
	uint32_t i;

	if (chunk->phase < JJ_PHASE_RUN)
		return chunk->count;
	for (i = 0; i < chunk->count; i++) {
		const jj_batch_item_t *item = &chunk->items[i];

		if (item->state == JJ_ITEM_MARKING ||
		    (item->state == JJ_ITEM_OPEN && now >= item->ready_at_ms))
			ready++;
	}
	return ready;
}

bool
jj_held_chunk_is_stalled(const jj_held_chunk_t *chunk)
{
	uint32_t i;

	if (chunk->phase < JJ_PHASE_RUN || chunk->running > 0 ||
	    chunk->ended == chunk->count)
		return false;
	for (i = 0; i < chunk->count; i++) {
		if (chunk->items[i].state != JJ_ITEM_ENDED &&
		    chunk->items[i].not_run_count < STALLED_NOT_RUN_MIN)
			return false;
	}
	return true;
}

/* Counts items of other chunks that are marked as started and not sent yet. */
static uint32_t
reserved_elsewhere(const jj_batch_t *batch, const jj_held_chunk_t *chunk)
{
	const jj_held_chunk_t *other;
	uint32_t reserved = 0;
	uint32_t i;

	TAILQ_FOREACH(other, &batch->chunks, link)
	{
		for (i = 0; other != chunk && i < other->count; i++) {
			const jj_batch_item_t *item = &other->items[i];

			if (item->state == JJ_ITEM_MARKING ||
			    (item->state == JJ_ITEM_OPEN &&
				item->start_confirmed))
				reserved++;
		}
	}
	return reserved;
}

/*
 * A holder that was paused past its lease may have lost the chunk without
 * knowing it, and would run items that another VM already runs. So it starts
 * nothing until its next write is confirmed. While the platform is
 * unreachable no VM can take the chunk over, so idempotent items still run.
 */
static bool
may_send_items(
    const jj_batch_t *batch, const jj_held_chunk_t *chunk, jj_ms_t now)
{
	if (chunk->phase != JJ_PHASE_RUN && chunk->phase != JJ_PHASE_CHECK_JOB)
		return false;
	if (batch->leaving || jj_known_job_is_cancelled(chunk->job) ||
	    chunk->write.kind == JJ_WRITE_RELEASE)
		return false;
	return now < chunk->lease_until_ms || chunk->unreachable;
}

static bool
is_idempotent(const jj_batch_t *batch, const jj_batch_item_t *item)
{
	return batch->is_idempotent != NULL &&
	    batch->is_idempotent(
		batch->idempotent_ctx, item->line.service.text);
}

/*
 * Notes since when no item of the chunk runs, and none of its open items has
 * free capacity.
 */
static void
note_blocked(const jj_batch_t *batch, jj_held_chunk_t *chunk, jj_ms_t now)
{
	bool waits = false;
	uint32_t i;

	for (i = 0; i < chunk->count && chunk->running == 0; i++) {
		const jj_batch_item_t *item = &chunk->items[i];

		if (item->state == JJ_ITEM_MARKING)
			break;
		if (item->state != JJ_ITEM_OPEN)
			continue;
		waits = true;
		if (jj_batch_capacity_has_free(
			&batch->service_capacity, item->service))
			break;
	}
	if (!waits || chunk->running > 0 || i < chunk->count)
		chunk->blocked_since_ms = 0;
	else if (chunk->blocked_since_ms == 0)
		chunk->blocked_since_ms = now;
}

static void
send_item(jj_batch_t *batch, jj_held_chunk_t *chunk, uint32_t index,
    bool idempotent, jj_actions_t *out)
{
	jj_batch_item_t *item = &chunk->items[index];
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ITEM_READY);
	const jj_batch_line_t *line = &item->line;

	if (item->was_sent)
		batch->counts.items_rerun++;
	item->state = JJ_ITEM_RUNNING;
	item->idempotent = idempotent;
	item->was_sent = true;
	item->run = ++batch->next_item;
	chunk->running++;
	batch->free_capacity--;
	jj_batch_capacity_add_running(&batch->service_capacity, item->service);
	action->body.item.item = item->run;
	action->body.item.service = line->service;
	action->body.item.team = chunk->job->job.team;
	action->body.item.fingerprint = line->fingerprint;
	action->body.item.idempotent = idempotent;
	action->body.item.due_ms = chunk->job->due_at_ms;
	action->body.item.body =
	    jj_bytes_copy(line->body.data, line->body.size);
	action->body.item.path =
	    jj_bytes_copy(line->path.data, line->path.size);
}

static void
load_item(
    jj_batch_t *batch, jj_held_chunk_t *chunk, uint32_t index, json_t *text)
{
	jj_batch_item_t *item = &chunk->items[index];
	const char *line = json_string_value(text);
	bool known = jj_batch_line_decode(
	    &item->line, line != NULL ? line : "", &chunk->job->job.service);

	item->service = jj_batch_capacity_index(
	    &batch->service_capacity, item->line.service.text);
	if (item->state == JJ_ITEM_ENDED)
		return;
	if (chunk->started[index])
		set_result(batch, chunk, index,
		    jj_result_error(custom_id(item), "outcome_unknown",
			"it may have been sent before its worker was lost",
			"unknown"));
	else if (!known)
		set_result(batch, chunk, index,
		    jj_result_error(custom_id(item), "invalid_line",
			"the line names no service or has no body", "not_run"));
}

static const char *
custom_id(const jj_batch_item_t *item)
{
	const char *id = item->line.custom_id.data;

	return id != NULL ? id : "";
}

static void
set_result(jj_batch_t *batch, jj_held_chunk_t *chunk, uint32_t index,
    jj_item_result_t result)
{
	chunk->items[index].state = JJ_ITEM_ENDED;
	chunk->results[index] = result;
	chunk->ended++;
	if (result.kind == JJ_RESULT_DONE)
		batch->counts.items_done++;
	else
		batch->counts.items_failed++;
}

static void
end_run(jj_batch_t *batch, jj_held_chunk_t *chunk, uint32_t index,
    jj_item_outcome_t outcome, int status, const jj_bytes_t *body, jj_ms_t now)
{
	jj_batch_item_t *item = &chunk->items[index];

	switch (outcome) {
	case JJ_ITEM_DONE:
		end_done(batch, chunk, index, status, body);
		break;
	case JJ_ITEM_REFUSED:
		set_result(batch, chunk, index,
		    jj_result_error(custom_id(item), "refused",
			body != NULL && body->data != NULL ? body->data : "",
			"unknown"));
		break;
	case JJ_ITEM_NOT_RUN:
		end_not_run(batch, chunk, index, now);
		break;
	case JJ_ITEM_WITHDRAWN:
		item->withdrawn = true;
		/* The run may have begun before it was withdrawn: only an
		 * idempotent item may run again. */
		if (!item->idempotent)
			end_outcome_unknown(batch, chunk, index, now);
		else
			schedule_retry(batch, item, 0, now);
		break;
	default:
		end_outcome_unknown(batch, chunk, index, now);
		break;
	}
}

static void
end_done(jj_batch_t *batch, jj_held_chunk_t *chunk, uint32_t index, int status,
    const jj_bytes_t *body)
{
	char request_id[64];

	(void)snprintf(request_id, sizeof(request_id), "%s-%06u-%u",
	    chunk->job->job.id, chunk->number, index);
	set_result(batch, chunk, index,
	    jj_result_answered(
		custom_id(&chunk->items[index]), request_id, status, body));
}

static void
end_outcome_unknown(
    jj_batch_t *batch, jj_held_chunk_t *chunk, uint32_t index, jj_ms_t now)
{
	jj_batch_item_t *item = &chunk->items[index];

	item->attempts++;
	if (!item->idempotent)
		set_result(batch, chunk, index,
		    jj_result_error(custom_id(item), "outcome_unknown",
			"the run broke and may not be repeated", "unknown"));
	else if (item->attempts >= batch->settings.item_attempts)
		set_result(batch, chunk, index,
		    jj_result_error(custom_id(item), "attempts_used_up",
			"each run broke", "unknown"));
	else
		schedule_retry(batch, item, item->attempts - 1, now);
}

static void
end_not_run(
    jj_batch_t *batch, jj_held_chunk_t *chunk, uint32_t index, jj_ms_t now)
{
	jj_batch_item_t *item = &chunk->items[index];

	if (++item->not_run_count >= NOT_RUN_MAX)
		set_result(batch, chunk, index,
		    jj_result_error(custom_id(item), "not_accepted",
			"no backend server took it", "unknown"));
	else
		schedule_retry(batch, item, item->not_run_count - 1, now);
}

static void
schedule_retry(
    jj_batch_t *batch, jj_batch_item_t *item, uint32_t doublings, jj_ms_t now)
{
	jj_ms_t wait;

	if (doublings > ITEM_DOUBLINGS_MAX)
		doublings = ITEM_DOUBLINGS_MAX;
	wait = batch->settings.item_retry_ms << doublings;
	wait += (jj_ms_t)(jj_operations_next(&batch->operations) %
	    (uint64_t)(wait / 4 + 1));
	item->ready_at_ms = now + wait;
}
