/**
 * @file inline_run.c
 * @brief A job that this VM runs: runs its items and closes it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/inline_state.h"

/**
 * A submission stored within this time is taken for the only one, ms. Before an
 * end by another VM is durable, that VM's own submission, its client's answer
 * and call, and three writes have to take place.
 */
#define QUICK_SUBMIT_MS 100
/** How often the retry delay of an item that failed at a server doubles. */
#define BACKOFF_DOUBLINGS_MAX 4

static jj_ms_t item_backoff_ms(const jj_inline_t *, uint32_t);
static bool is_only_owner(const jj_inline_op_t *, jj_ms_t);
static jj_inline_run_t *create_run(jj_inline_t *, const char *, uint64_t);
static void begin_catching_up(jj_inline_t *, jj_inline_run_t *, jj_ms_t);
static void
step_items(jj_inline_t *, jj_inline_run_t *, jj_ms_t, jj_actions_t *);
static void step_item(
    jj_inline_t *, jj_inline_run_t *, size_t, const jj_route_t *, jj_ms_t);
static void give_up_item(jj_inline_t *, jj_inline_run_t *, size_t, jj_ms_t);
static void cancel_items(jj_inline_t *, jj_inline_run_t *);
static void begin_closing(jj_inline_run_t *, jj_ms_t);
static void step_close(jj_inline_t *, jj_inline_run_t *, jj_actions_t *);
static void take_close(jj_inline_t *, jj_inline_run_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_loaded(jj_inline_t *, jj_inline_run_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void handle_missing_job(jj_inline_t *, jj_inline_run_t *, jj_ms_t);
static void check_dropped_job(jj_inline_run_t *, jj_ms_t);
static void start_reopen(jj_inline_t *, jj_inline_run_t *, jj_actions_t *);
static void take_reopened(jj_inline_t *, jj_inline_run_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void close_run(jj_inline_t *, jj_inline_run_t *, jj_ms_t);
static bool is_all_published(const jj_inline_run_t *);
static void
set_due(jj_inline_t *, jj_inline_run_t *, const jj_route_t *, jj_ms_t);

jj_inline_run_t *
jj_inline_find_run(const jj_inline_t *jobs, const char *id)
{
	jj_inline_run_t *run;

	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		if (strcmp(run->id, id) == 0)
			return run;
	}
	return NULL;
}

jj_inline_run_t *
jj_inline_find_accepted(jj_inline_t *jobs, const char *id)
{
	jj_inline_run_t *run = jj_inline_find_run(jobs, id);

	if (run == NULL || run->state != JJ_RUN_CLOSED ||
	    !jj_inline_is_orphan(run))
		return run;
	jj_inline_drop_run(jobs, run);
	return NULL;
}

bool
jj_inline_is_orphan(const jj_inline_run_t *run)
{
	return run->absent_ms != JJ_MS_NEVER;
}

jj_inline_run_t *
jj_inline_adopt(jj_inline_t *jobs, const jj_open_entry_t *entry, jj_ms_t now)
{
	jj_inline_run_t *run = jj_inline_find_run(jobs, entry->id);

	if (run != NULL && run->state != JJ_RUN_CLOSED) {
		run->open_version = entry->version;
		return run;
	}
	if (run != NULL)
		jj_inline_drop_run(jobs, run);
	run = create_run(jobs, entry->id, entry->version);
	run->route = entry->route;
	run->tokens = entry->tokens;
	run->total = entry->total;
	run->state = JJ_RUN_LOADING;
	jj_inline_schedule_call(&run->load.call, now);
	return run;
}

void
jj_inline_adopt_job(jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now)
{
	jj_inline_run_t *run = jj_inline_find_accepted(jobs, op->id);

	if (run != NULL)
		return;
	run = create_run(jobs, op->id, op->open_version);
	run->job = op->job;
	memset(&op->job, 0, sizeof(op->job));
	begin_catching_up(jobs, run, now);
	run->route = op->route;
	run->due_ms = op->run_due_ms;
	run->retention_ms = op->retention_ms;
	if (is_only_owner(op, now)) {
		jj_inline_end_call(&run->write);
		run->reads_back = false;
		run->needs_fence = false;
		run->state = JJ_RUN_RUNNING;
	}
}

void
jj_inline_drop_run(jj_inline_t *jobs, jj_inline_run_t *run)
{
	size_t i;

	cancel_items(jobs, run);
	for (i = 0; run->items != NULL && i < run->job.item_count; i++)
		jj_bytes_free(&run->items[i].text);
	free(run->items);
	jj_inline_clear_load(&run->load);
	jj_inline_job_clear(&run->job);
	jj_inline_segment_clear(&run->segment);
	TAILQ_REMOVE(&jobs->runs, run, link);
	free(run);
}

void
jj_inline_end_run(jj_inline_run_t *run, jj_inline_t *jobs, jj_ms_t now)
{
	if (run->ended)
		return;
	run->ended = true;
	run->publish_ms = now;
	cancel_items(jobs, run);
}

/**
 * The entry of a running job is gone: while this VM was disconnected, another
 * one took the job over and closed it, at its end or its client's. The takeover
 * and the deletion arrive in one poll of the list, so no other owner was ever
 * seen. Items of an ended job then ran again, and readers at all VMs got empty
 * pages where results had been read. Only a closed job's entry is deleted, and
 * its results are complete or record the end; so no item is started and nothing
 * reported before they are read.
 */
void
jj_inline_note_missing_entry(jj_inline_t *jobs, const char *id)
{
	jj_inline_run_t *run = jj_inline_find_run(jobs, id);

	if (run == NULL ||
	    (run->state != JJ_RUN_RUNNING &&
		!(run->state == JJ_RUN_CLOSING && run->handing_over)))
		return;
	run->entry_missing = true;
	cancel_items(jobs, run);
}

void
jj_inline_hand_over_run(jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now)
{
	size_t i;

	if (run->handing_over || run->state == JJ_RUN_CLOSED)
		return;
	run->handing_over = true;
	cancel_items(jobs, run);
	if (run->state == JJ_RUN_LOADING && !run->entry_dropped) {
		jj_inline_end_call(&run->load.call);
		begin_closing(run, now);
		return;
	}
	for (i = 0; i < run->job.item_count; i++)
		if (run->items[i].state == JJ_ITEM_FINISHED)
			run->publish_ms = now;
}

uint64_t
jj_inline_run_tokens(const jj_inline_run_t *run)
{
	uint64_t tokens = 0;
	size_t i;

	if (run->state == JJ_RUN_CLOSED || run->ended)
		return 0;
	if (run->items == NULL)
		return run->tokens;
	for (i = 0; i < run->job.item_count; i++)
		if (run->items[i].state == JJ_ITEM_IDLE ||
		    run->items[i].state == JJ_ITEM_STARTED)
			tokens += run->job.items[i].tokens;
	return tokens;
}

bool
jj_inline_run_is_complete(const jj_inline_run_t *run)
{
	size_t i;

	for (i = 0; i < run->job.item_count; i++)
		if (run->items[i].state != JJ_ITEM_PUBLISHED)
			return false;
	return true;
}

void
jj_inline_step_run(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now, jj_actions_t *out)
{
	switch (run->state) {
	case JJ_RUN_LOADING:
		jj_inline_step_load(jobs, &run->load, now, out);
		break;
	case JJ_RUN_CATCHING_UP:
		jj_inline_step_publish(jobs, run, now, out);
		break;
	case JJ_RUN_RUNNING:
		if (!run->ended && !run->entry_missing)
			step_items(jobs, run, now, out);
		jj_inline_step_publish(jobs, run, now, out);
		if (run->write.token != 0)
			break;
		if (jj_inline_run_is_complete(run) || run->segment.ended ||
		    (run->handing_over && !run->ended &&
			run->publish_ms == JJ_MS_NEVER))
			begin_closing(run, now);
		break;
	case JJ_RUN_CLOSING:
		if (jj_inline_is_due(&run->close, now) && run->write.token == 0)
			step_close(jobs, run, out);
		break;
	case JJ_RUN_REOPENING:
		if (jj_inline_is_due(&run->close, now))
			start_reopen(jobs, run, out);
		break;
	case JJ_RUN_CLOSED:
		if (now - run->closed_ms >= jobs->settings.keep_ms)
			jj_inline_drop_run(jobs, run);
		break;
	}
}

bool
jj_inline_take_run_result(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->token == run->load.call.token) {
		take_loaded(jobs, run, result, now, out);
		return true;
	}
	if (result->token == run->close.token) {
		if (run->state == JJ_RUN_REOPENING)
			take_reopened(jobs, run, result, now, out);
		else
			take_close(jobs, run, result, now, out);
		return true;
	}
	return jj_inline_take_publish(jobs, run, result, now, out);
}

jj_ms_t
jj_inline_run_next(const jj_inline_run_t *run)
{
	jj_ms_t next = run->load.call.due_ms;
	size_t i;

	if (run->write.token == 0 && run->write.due_ms < next)
		next = run->write.due_ms;
	if (run->write.token == 0 && run->publish_ms < next &&
	    run->state == JJ_RUN_RUNNING)
		next = run->publish_ms;
	if (run->close.due_ms < next)
		next = run->close.due_ms;
	if (run->state != JJ_RUN_RUNNING)
		return next;
	for (i = 0; i < run->job.item_count; i++)
		if (run->items[i].state == JJ_ITEM_IDLE &&
		    run->items[i].retry_at_ms < next)
			next = run->items[i].retry_at_ms;
	return next;
}

void
jj_inline_end_item(jj_inline_t *jobs, uint64_t request,
    jj_inline_item_end_t end, jj_bytes_t *text, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_item_run_t *item = NULL;
	jj_inline_run_t *run;
	const jj_route_t *route;
	uint32_t attempts;
	size_t i;

	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		for (i = 0; run->items != NULL && i < run->job.item_count; i++)
			if (run->items[i].state == JJ_ITEM_STARTED &&
			    run->items[i].request == request)
				item = &run->items[i];
		if (item != NULL)
			break;
	}
	if (item == NULL)
		return;
	i = (size_t)(item - run->items);
	route =
	    jobs->port.find_route(jobs->port.ctx, run->job.host, run->job.path);
	/* A removed route may be configured again: its items keep theirs. */
	if (route != NULL)
		run->attempts = route->attempts;
	attempts = run->attempts > 0 ? run->attempts : 1;
	if (end == JJ_INLINE_FAILED && ++item->failures < attempts) {
		item->state = JJ_ITEM_IDLE;
		item->retry_at_ms = now + item_backoff_ms(jobs, item->failures);
		return;
	}
	/*
	 * The store would refuse this result each time, and with it all results
	 * behind it. The run did not fail, so the item is abandoned only at the
	 * end of its retention.
	 */
	if (end == JJ_INLINE_DONE &&
	    jj_inline_result_size(run->job.items[i].id, text) >
		JJ_INLINE_SEGMENT_SIZE_MAX) {
		item->state = JJ_ITEM_IDLE;
		item->retry_at_ms = run->retention_ms;
		jj_actions_add_event(out, "item_result_too_large",
		    "job=%s item=%s bytes=%zu", run->id, run->job.items[i].id,
		    text->size);
		return;
	}
	item->state = JJ_ITEM_FINISHED;
	item->done = end == JJ_INLINE_DONE;
	if (item->done) {
		item->text = *text;
		memset(text, 0, sizeof(*text));
	} else
		jj_actions_add_event(out, "item_given_up",
		    "job=%s item=%s reason=%s failures=%u", run->id,
		    run->job.items[i].id,
		    end == JJ_INLINE_REFUSED ? "refused" : "failed",
		    item->failures);
	jj_inline_schedule_publish(jobs, run, now);
}

const jj_inline_item_t *
jj_inline_find_item(
    const jj_inline_t *jobs, uint64_t request, const jj_inline_job_t **job)
{
	const jj_inline_run_t *run;
	size_t i;

	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		for (i = 0; run->items != NULL && i < run->job.item_count;
		     i++) {
			if (run->items[i].state != JJ_ITEM_STARTED ||
			    run->items[i].request != request)
				continue;
			*job = &run->job;
			return &run->job.items[i];
		}
	}
	return NULL;
}

static jj_ms_t
item_backoff_ms(const jj_inline_t *jobs, uint32_t failures)
{
	uint32_t doublings = failures - 1;

	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	return jobs->settings.item_retry_ms << doublings;
}

/**
 * True when no other VM can have run the job: its entry is older than the job
 * object, or both were created at about the same time. Otherwise the job may
 * have been run and ended meanwhile: another VM's entry came first and is
 * deleted by now, and this VM's, retried during an outage, was created at last.
 * This VM knows nothing of the end and would run the items again; so it reads
 * the stored results first.
 */
static bool
is_only_owner(const jj_inline_op_t *op, jj_ms_t now)
{
	return op->job_is_new &&
	    (op->open_version < op->job_version ||
		now - op->started_ms <= QUICK_SUBMIT_MS);
}

static jj_inline_run_t *
create_run(jj_inline_t *jobs, const char *id, uint64_t open_version)
{
	jj_inline_run_t *run = jj_alloc(sizeof(*run));

	(void)snprintf(run->id, sizeof(run->id), "%s", id);
	(void)snprintf(run->load.id, sizeof(run->load.id), "%s", id);
	run->open_version = open_version;
	run->absent_ms = JJ_MS_NEVER;
	run->no_route_ms = JJ_MS_NEVER;
	run->publish_ms = JJ_MS_NEVER;
	jj_inline_end_call(&run->load.call);
	jj_inline_end_call(&run->write);
	jj_inline_end_call(&run->close);
	TAILQ_INSERT_TAIL(&jobs->runs, run, link);
	return run;
}

static void
begin_catching_up(jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now)
{
	const jj_route_t *route =
	    jobs->port.find_route(jobs->port.ctx, run->job.host, run->job.path);

	run->items = jj_alloc(run->job.item_count * sizeof(*run->items));
	run->tokens = run->job.tokens;
	run->total = (uint32_t)run->job.item_count;
	run->segment.total = run->total;
	run->state = JJ_RUN_CATCHING_UP;
	run->reads_back = true;
	run->needs_fence = true;
	jj_inline_schedule_call(&run->write, now);
	set_due(jobs, run, route, now);
}

/** Computed from the wall clock, as another VM may have accepted the job. */
static void
set_due(jj_inline_t *jobs, jj_inline_run_t *run, const jj_route_t *route,
    jj_ms_t now)
{
	jj_ms_t age =
	    jobs->port.unix_ms(jobs->port.ctx) - run->job.submitted_unix_ms;

	run->due_ms = now;
	run->retention_ms = JJ_MS_NEVER;
	if (route == NULL)
		return;
	run->route = jj_inline_account(route, &run->job.team);
	if (age < 0)
		age = 0;
	run->due_ms = now - age + route->run_due_ms;
	run->retention_ms = now - age + route->retention_ms;
}

static void
step_items(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now, jj_actions_t *out)
{
	const jj_route_t *route =
	    jobs->port.find_route(jobs->port.ctx, run->job.host, run->job.path);
	size_t i;

	jj_inline_note_route(run, route, now, out);
	/* A removed route may be configured again: its items wait. */
	if (route == NULL && now < run->retention_ms)
		return;
	if (run->retention_ms == JJ_MS_NEVER)
		set_due(jobs, run, route, now);
	if (route != NULL)
		run->attempts = route->attempts;
	for (i = 0; i < run->job.item_count; i++) {
		if (now >= run->retention_ms)
			give_up_item(jobs, run, i, now);
		else
			step_item(jobs, run, i, route, now);
	}
}

static void
step_item(jj_inline_t *jobs, jj_inline_run_t *run, size_t i,
    const jj_route_t *route, jj_ms_t now)
{
	jj_inline_item_run_t *item = &run->items[i];

	if (item->state != JJ_ITEM_IDLE || now < item->retry_at_ms ||
	    jobs->leaving)
		return;
	item->state = JJ_ITEM_STARTED;
	item->request = jobs->port.begin_item(jobs->port.ctx, &run->job,
	    &run->job.items[i], route, run->due_ms, run->retention_ms);
}

static void
give_up_item(jj_inline_t *jobs, jj_inline_run_t *run, size_t i, jj_ms_t now)
{
	jj_inline_item_run_t *item = &run->items[i];

	if (item->state == JJ_ITEM_FINISHED || item->state == JJ_ITEM_PUBLISHED)
		return;
	if (item->state == JJ_ITEM_STARTED)
		jobs->port.cancel_item(jobs->port.ctx, item->request);
	item->state = JJ_ITEM_FINISHED;
	item->done = false;
	jj_inline_schedule_publish(jobs, run, now);
}

static void
cancel_items(jj_inline_t *jobs, jj_inline_run_t *run)
{
	size_t i;

	for (i = 0; run->items != NULL && i < run->job.item_count; i++) {
		if (run->items[i].state != JJ_ITEM_STARTED)
			continue;
		jobs->port.cancel_item(jobs->port.ctx, run->items[i].request);
		run->items[i].state = JJ_ITEM_IDLE;
	}
}

static void
begin_closing(jj_inline_run_t *run, jj_ms_t now)
{
	run->state = JJ_RUN_CLOSING;
	jj_inline_schedule_call(&run->close, now);
}

/**
 * Deletes the entry only when all results, or the end, are stored without it.
 */
static void
step_close(jj_inline_t *jobs, jj_inline_run_t *run, jj_actions_t *out)
{
	bool hands_over =
	    run->handing_over && !run->segment.ended && !is_all_published(run);
	jj_platform_call_t *call = jj_inline_start_call(jobs, &run->close,
	    hands_over ? JJ_PLATFORM_UPDATE : JJ_PLATFORM_DELETE, out);

	call->version = run->open_version;
	(void)snprintf(
	    call->key, sizeof(call->key), "%s%s", JJ_INLINE_OPEN, run->id);
	if (hands_over)
		call->value = jj_inline_encode_open(
		    "", &run->route, run->tokens, run->total, run->ended);
}

static bool
is_all_published(const jj_inline_run_t *run)
{
	return run->job.item_count > 0 && jj_inline_run_is_complete(run);
}

static void
take_close(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_open_entry_t now_stored = {0};

	switch (result->outcome) {
	case JJ_PLATFORM_OK:
	case JJ_PLATFORM_ABSENT:
		jj_inline_end_call(&run->close);
		jj_actions_add_event(out, "job_closed",
		    "job=%s results=%u of=%zu ended=%d handed_over=%d", run->id,
		    run->published, run->job.item_count, run->ended,
		    run->handing_over);
		if (jj_inline_is_orphan(run) && !run->handing_over)
			check_dropped_job(run, now);
		else
			close_run(jobs, run, now);
		break;
	case JJ_PLATFORM_CONFLICT:
		if (jj_inline_decode_open(&now_stored, &result->value) &&
		    strcmp(now_stored.owner, jobs->settings.writer) == 0) {
			run->open_version = result->version;
			run->ended = run->ended || now_stored.ended;
			jj_inline_schedule_call(&run->close, now);
			break;
		}
		/* Another VM owns it, and will close it. */
		jj_inline_end_call(&run->close);
		close_run(jobs, run, now);
		break;
	default:
		jj_inline_back_off(jobs, &run->close, now);
		break;
	}
}

/** Frees the job's content at once; keeps its last results for readers. */
static void
close_run(jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now)
{
	size_t i;

	run->state = JJ_RUN_CLOSED;
	run->closed_ms = now;
	if (run->handing_over) {
		jj_inline_drop_run(jobs, run);
		return;
	}
	for (i = 0; i < run->job.item_count; i++)
		jj_bytes_free(&run->items[i].text);
	free(run->items);
	run->items = NULL;
	jj_inline_job_clear(&run->job);
}

static void
take_loaded(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_load_result_t loaded =
	    jj_inline_take_load(jobs, &run->load, result, now);

	if (loaded == JJ_LOAD_MORE)
		return;
	if (loaded == JJ_LOAD_ABSENT) {
		handle_missing_job(jobs, run, now);
		return;
	}
	if (run->entry_dropped) {
		jj_inline_clear_load(&run->load);
		run->state = JJ_RUN_REOPENING;
		jj_inline_schedule_call(&run->close, now);
		return;
	}
	run->absent_ms = JJ_MS_NEVER;
	if (loaded == JJ_LOAD_DONE &&
	    jj_inline_job_decode(
		&run->job, run->load.text.data, run->load.text.size)) {
		jj_inline_clear_load(&run->load);
		begin_catching_up(jobs, run, now);
		return;
	}
	jj_actions_add_event(
	    out, "job_unreadable", "job=%s parts=%u", run->id, run->load.parts);
	jj_inline_clear_load(&run->load);
	jj_inline_back_off(jobs, &run->load.call, now);
}

/**
 * The entry of a submission that failed has no job object. The write of the job
 * may take effect seconds later, so the entry is only deleted after a while.
 */
static void
handle_missing_job(jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now)
{
	if (run->entry_dropped) {
		close_run(jobs, run, now);
		return;
	}
	if (run->absent_ms == JJ_MS_NEVER)
		run->absent_ms = now;
	if (now - run->absent_ms < jobs->settings.orphan_ms) {
		run->load.call.failures = 8;
		jj_inline_back_off(jobs, &run->load.call, now);
		return;
	}
	begin_closing(run, now);
}

/**
 * The job may have come while its entry was being deleted: whoever stored it
 * found the entry, and answered 202.
 */
static void
check_dropped_job(jj_inline_run_t *run, jj_ms_t now)
{
	run->entry_dropped = true;
	run->state = JJ_RUN_LOADING;
	jj_inline_schedule_call(&run->load.call, now);
}

static void
start_reopen(jj_inline_t *jobs, jj_inline_run_t *run, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_inline_start_call(jobs, &run->close, JJ_PLATFORM_CREATE, out);

	(void)snprintf(
	    call->key, sizeof(call->key), "%s%s", JJ_INLINE_OPEN, run->id);
	call->value = jj_inline_encode_open(jobs->settings.writer, &run->route,
	    run->tokens, run->total, run->ended);
}

static void
take_reopened(jj_inline_t *jobs, jj_inline_run_t *run,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (result->outcome != JJ_PLATFORM_OK &&
	    result->outcome != JJ_PLATFORM_CONFLICT) {
		jj_inline_back_off(jobs, &run->close, now);
		return;
	}
	jj_inline_end_call(&run->close);
	if (result->outcome == JJ_PLATFORM_CONFLICT &&
	    !jj_inline_is_own_entry(jobs, result)) {
		/* Another VM accepted the job after the deletion. */
		jj_inline_drop_run(jobs, run);
		return;
	}
	jj_actions_add_event(out, "job_reopened", "job=%s version=%llu",
	    run->id, (unsigned long long)result->version);
	run->open_version = result->version;
	run->entry_dropped = false;
	run->absent_ms = JJ_MS_NEVER;
	if (run->handing_over) {
		begin_closing(run, now);
		return;
	}
	run->state = JJ_RUN_LOADING;
	jj_inline_schedule_call(&run->load.call, now);
}
