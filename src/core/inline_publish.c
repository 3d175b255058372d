/**
 * @file inline_publish.c
 * @brief Results of a job, appended to its list by conditional updates.
 *
 * Only results whose write was confirmed are published to readers. After a
 * write whose outcome is unknown, or that conflicted with another VM's, the
 * segment is read back: what is stored is authoritative, and results of this VM
 * that are missing there are appended again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/inline_state.h"

static void write_segment(jj_inline_t *, jj_inline_run_t *, jj_actions_t *);
static void read_segment(jj_inline_t *, jj_inline_run_t *, jj_actions_t *);
static void set_key(const jj_inline_run_t *, char *, size_t);
static void take_written(jj_inline_t *, jj_inline_run_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_read(jj_inline_t *, jj_inline_run_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void end_catching_up(jj_inline_t *, jj_inline_run_t *, jj_actions_t *);
static void remove_unconfirmed(jj_inline_run_t *);
static void publish_written(jj_inline_t *, jj_inline_run_t *);
static void publish_stored(jj_inline_t *, jj_inline_run_t *);
static void mark_published(jj_inline_t *, jj_inline_run_t *, const char *);
static void begin_segment(jj_inline_run_t *);
static bool needs_end(const jj_inline_run_t *);
static bool has_unpublished(const jj_inline_run_t *);
static bool is_all_finished(const jj_inline_run_t *);

void
jj_inline_schedule_publish(jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now)
{
	jj_ms_t at = now + jobs->settings.publish_ms;

	if (is_all_finished(run))
		at = now;
	if (at < run->publish_ms)
		run->publish_ms = at;
}

void
jj_inline_step_publish(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now, jj_actions_t *out)
{
	if (run->write.token != 0)
		return;
	if (run->entry_missing && !run->reads_back) {
		run->reads_back = true;
		jj_inline_schedule_call(&run->write, now);
	}
	if (run->reads_back) {
		if (jj_inline_is_due(&run->write, now))
			read_segment(jobs, run, out);
		return;
	}
	if (run->write.due_ms != JJ_MS_NEVER && now < run->write.due_ms)
		return;
	if (!jj_inline_is_verified(jobs))
		return;
	if (run->needs_fence ||
	    (now >= run->publish_ms &&
		(has_unpublished(run) || needs_end(run))))
		write_segment(jobs, run, out);
}

bool
jj_inline_take_publish(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->token != run->write.token)
		return false;
	if (run->reads_back)
		take_read(jobs, run, result, now, out);
	else
		take_written(jobs, run, result, now, out);
	return true;
}

static void
write_segment(jj_inline_t *jobs, jj_inline_run_t *run, jj_actions_t *out)
{
	jj_inline_segment_t *segment = &run->segment;
	size_t size = jj_inline_segment_size(segment);
	jj_platform_call_t *call;
	size_t i;

	for (i = 0; i < run->job.item_count && !segment->sealed; i++) {
		jj_inline_item_run_t *item = &run->items[i];

		if (item->state != JJ_ITEM_FINISHED)
			continue;
		/*
		 * A segment larger than the store's limit would be refused each
		 * time, and its results never be published.
		 */
		size +=
		    jj_inline_result_size(run->job.items[i].id, &item->text);
		if (segment->count > 0 && size > JJ_INLINE_SEGMENT_SIZE_MAX) {
			segment->sealed = true;
			break;
		}
		jj_inline_segment_add(
		    segment, run->job.items[i].id, item->done, &item->text);
		run->unconfirmed++;
		segment->sealed = size >= JJ_INLINE_SEGMENT_BYTES;
	}
	/* The end stands in the last segment, or a reader would look behind. */
	while (
	    i < run->job.item_count && run->items[i].state != JJ_ITEM_FINISHED)
		i++;
	run->write_sent_ms = jobs->now_ms;
	segment->ended =
	    segment->ended || (run->ended && i == run->job.item_count);
	(void)snprintf(segment->writer, sizeof(segment->writer), "%s",
	    jobs->settings.writer);
	run->publish_ms = JJ_MS_NEVER;
	call = jj_inline_start_call(jobs, &run->write,
	    run->segment_version == 0 ? JJ_PLATFORM_CREATE : JJ_PLATFORM_UPDATE,
	    out);
	set_key(run, call->key, sizeof(call->key));
	call->version = run->segment_version;
	call->value = jj_inline_segment_encode(segment);
}

static void
read_segment(jj_inline_t *jobs, jj_inline_run_t *run, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_inline_start_call(jobs, &run->write, JJ_PLATFORM_GET, out);

	set_key(run, call->key, sizeof(call->key));
}

static void
set_key(const jj_inline_run_t *run, char *key, size_t key_size)
{
	(void)snprintf(key, key_size, "%s%s.%u", JJ_INLINE_OUT, run->id,
	    run->segment_number);
}

static void
take_written(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->outcome == JJ_PLATFORM_OK) {
		jj_inline_end_call(&run->write);
		run->segment_version = result->version;
		/* The condition held, so no other VM had written. */
		run->entry_missing = false;
		if (run->needs_fence) {
			end_catching_up(jobs, run, out);
			return;
		}
		jj_actions_add_event(out, "results_shown",
		    "job=%s from=%u count=%u version=%llu", run->id,
		    run->published, run->unconfirmed,
		    (unsigned long long)result->version);
		publish_written(jobs, run);
		jj_inline_serve_readers(jobs, run, out);
		if (run->segment.sealed && !run->segment.ended)
			begin_segment(run);
		if (has_unpublished(run))
			jj_inline_schedule_publish(jobs, run, now);
		return;
	}
	remove_unconfirmed(run);
	run->publish_ms = now;
	if (jj_inline_had_no_effect(result->outcome)) {
		jj_inline_back_off(jobs, &run->write, now);
		return;
	}
	jobs->counts.publish_conflicts++;
	jj_actions_add_event(out, "results_reread", "job=%s outcome=%d",
	    run->id, (int)result->outcome);
	run->reads_back = true;
	jj_inline_schedule_call(&run->write, now);
}

static void
take_read(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_segment_t stored;
	bool is_read = result->outcome == JJ_PLATFORM_OK &&
	    jj_inline_segment_decode(&stored, &result->value);

	if (result->outcome == JJ_PLATFORM_OK && !is_read)
		jj_actions_add_event(out, "results_unreadable",
		    "job=%s segment=%u version=%llu bytes=%zu", run->id,
		    run->segment_number, (unsigned long long)result->version,
		    result->value.size);
	if (is_read) {
		jj_inline_segment_clear(&run->segment);
		run->segment = stored;
		run->segment_version = result->version;
		/*
		 * Another VM wrote to the segment, so this one may have lost
		 * the job and must not continue to write. The list of open
		 * entries shows the owner.
		 */
		if (run->state == JJ_RUN_RUNNING &&
		    strcmp(stored.writer, jobs->settings.writer) != 0)
			jj_inline_require_check(jobs);
		publish_stored(jobs, run);
		jj_inline_schedule_call(&run->write, now);
		if (stored.sealed && !stored.ended) {
			begin_segment(run);
			return;
		}
	} else if (result->outcome != JJ_PLATFORM_ABSENT) {
		jj_inline_back_off(jobs, &run->write, now);
		return;
	}
	jj_inline_end_call(&run->write);
	run->reads_back = false;
	run->entry_missing = false;
	if (run->segment.ended)
		jj_inline_end_run(run, jobs, now);
	if (needs_end(run))
		run->publish_ms = now;
	if (!run->needs_fence)
		jj_inline_serve_readers(jobs, run, out);
}

/**
 * A write that the previous owner sent before it was disconnected may take
 * effect later; readers elsewhere would see its results, while this VM answered
 * that there are none. This VM's first write, on the version that it has read,
 * makes every earlier write fail; only then it answers for the job.
 */
static void
end_catching_up(jj_inline_t *jobs, jj_inline_run_t *run, jj_actions_t *out)
{
	run->needs_fence = false;
	run->state = JJ_RUN_RUNNING;
	jj_actions_add_event(out, "job_caught_up",
	    "job=%s items=%zu shown=%u version=%llu", run->id,
	    run->job.item_count, run->published,
	    (unsigned long long)run->segment_version);
	jj_inline_serve_readers(jobs, run, out);
}

/** Removes the results that were appended for a write that failed. */
static void
remove_unconfirmed(jj_inline_run_t *run)
{
	jj_inline_segment_t *segment = &run->segment;

	while (run->unconfirmed > 0) {
		jj_inline_result_t *result =
		    &segment->results[--segment->count];

		free(result->id);
		jj_bytes_free(&result->text);
		run->unconfirmed--;
	}
	segment->sealed = false;
	segment->ended = false;
}

static void
publish_written(jj_inline_t *jobs, jj_inline_run_t *run)
{
	const jj_inline_segment_t *segment = &run->segment;
	uint32_t i;

	for (i = segment->count - run->unconfirmed; i < segment->count; i++) {
		mark_published(jobs, run, segment->results[i].id);
		jobs->counts.shown++;
	}
	run->unconfirmed = 0;
	run->published = segment->first + segment->count;
}

static void
publish_stored(jj_inline_t *jobs, jj_inline_run_t *run)
{
	uint32_t i;

	for (i = 0; i < run->segment.count; i++)
		mark_published(jobs, run, run->segment.results[i].id);
	run->unconfirmed = 0;
	run->published = run->segment.first + run->segment.count;
}

/** Marks an item's result as published, and cancels a run of the item. */
static void
mark_published(jj_inline_t *jobs, jj_inline_run_t *run, const char *id)
{
	size_t i;

	for (i = 0; i < run->job.item_count; i++)
		if (strcmp(run->job.items[i].id, id) == 0)
			break;
	if (i == run->job.item_count)
		return;
	if (run->items[i].state == JJ_ITEM_STARTED)
		jobs->port.cancel_item(jobs->port.ctx, run->items[i].request);
	run->items[i].state = JJ_ITEM_PUBLISHED;
	jj_bytes_free(&run->items[i].text);
}

static void
begin_segment(jj_inline_run_t *run)
{
	uint32_t total = run->segment.total;

	jj_inline_segment_clear(&run->segment);
	run->segment.total = total;
	run->segment.first = run->published;
	run->segment_number++;
	run->segment_version = 0;
}

/**
 * Its client may send an ended job once more, as it does when an answer was
 * slow, and the open entry that recorded the end is deleted by then: the job
 * would run again. So the end is stored with the results before the entry is
 * deleted, where each VM that adopts the job reads it.
 */
static bool
needs_end(const jj_inline_run_t *run)
{
	return run->ended && !run->segment.ended;
}

static bool
has_unpublished(const jj_inline_run_t *run)
{
	size_t i;

	for (i = 0; i < run->job.item_count; i++)
		if (run->items[i].state == JJ_ITEM_FINISHED)
			return true;
	return false;
}

static bool
is_all_finished(const jj_inline_run_t *run)
{
	size_t i;

	for (i = 0; i < run->job.item_count; i++)
		if (run->items[i].state != JJ_ITEM_FINISHED &&
		    run->items[i].state != JJ_ITEM_PUBLISHED)
			return false;
	return true;
}
