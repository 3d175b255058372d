/**
 * @file batch_job_steps.c
 * @brief The platform calls that find jobs, refresh their views, close them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

/** Keys in one page of the index of active jobs; the platform's maximum. */
#define LIST_PAGE 1000
/** Records, with values, in one page of the sum; a done one has some hundred
 * bytes. */
#define SUM_PAGE 200
/**
 * Every relist_ms / this, on average, the views of one job are refreshed, in
 * case its events were lost. Random times spread the calls of all VMs.
 */
#define REFRESH_DIVISOR 2
/** After lost events the index is listed within relist_ms / this. */
#define LOST_EVENTS_DIVISOR 16

static void step_listing(jj_batch_t *, jj_ms_t, jj_actions_t *);
static void take_listing(jj_batch_t *, const jj_platform_result_t *, jj_ms_t);
static jj_ms_t random_delay(jj_batch_t *, jj_ms_t);
static void start_refresh_of_stalest(jj_batch_t *, jj_ms_t);
static bool is_before(const jj_known_job_t *, const jj_known_job_t *);
static void step_job(jj_batch_t *, jj_known_job_t *, jj_ms_t, jj_actions_t *);
static void send_get(jj_batch_t *, jj_known_job_t *, jj_actions_t *);
static jj_platform_call_t *
send_list(jj_batch_t *, jj_known_job_t *, const char *, jj_actions_t *);
static void send_sum(jj_batch_t *, jj_known_job_t *, jj_actions_t *);
static void send_delete(jj_batch_t *, jj_known_job_t *, jj_actions_t *);
static jj_job_t closed_job(const jj_known_job_t *);
static void send_close(jj_batch_t *, jj_known_job_t *, jj_actions_t *);
static void take_step(jj_batch_t *, jj_known_job_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_job(jj_batch_t *, jj_known_job_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_absent_job(jj_batch_t *, jj_known_job_t *, jj_ms_t);
static void take_list(jj_known_job_t *, const jj_platform_result_t *, jj_ms_t);
static uint32_t chunk_of(const jj_known_job_t *, const jj_platform_item_t *);
static bool take_page(jj_known_job_t *, const jj_platform_result_t *);
static void take_records(jj_known_job_t *, const jj_platform_result_t *);
static void add_counts(jj_known_job_t *, uint32_t, const jj_result_counts_t *);
static void take_out(jj_known_job_t *, const jj_platform_result_t *);
static void take_close(jj_known_job_t *, const jj_platform_result_t *);
static void take_refreshed(jj_known_job_t *, jj_ms_t);
static bool is_finished(const jj_known_job_t *);
static void continue_sum(jj_known_job_t *);
static void set_idle(jj_known_job_t *);

void
jj_job_table_step(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out)
{
	jj_known_job_t *known;

	step_listing(batch, now, out);
	start_refresh_of_stalest(batch, now);
	TAILQ_FOREACH(known, &batch->jobs.list, link)
	step_job(batch, known, now, out);
}

bool
jj_job_table_take_result(jj_batch_t *batch, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_known_job_t *known;

	if (result->token == batch->jobs.token) {
		take_listing(batch, result, now);
		return true;
	}
	TAILQ_FOREACH(known, &batch->jobs.list, link)
	{
		if (known->token == result->token) {
			known->token = 0;
			take_step(batch, known, result, now, out);
			return true;
		}
	}
	return false;
}

jj_ms_t
jj_job_table_next(const jj_batch_t *batch)
{
	const jj_job_table_t *table = &batch->jobs;
	jj_ms_t next = table->refresh_at_ms;
	const jj_known_job_t *known;

	if (table->token == 0 && table->list_at_ms < next)
		next = table->list_at_ms;
	TAILQ_FOREACH(known, &table->list, link)
	{
		if (known->token == 0 && known->step != JJ_STEP_IDLE &&
		    known->retry_at_ms < next)
			next = known->retry_at_ms;
	}
	return next;
}

static void
step_listing(jj_batch_t *batch, jj_ms_t now, jj_actions_t *out)
{
	jj_job_table_t *table = &batch->jobs;
	jj_platform_call_t *call;

	if (table->token != 0 || now < table->list_at_ms || batch->leaving)
		return;
	call = jj_batch_call(batch, out, JJ_PLATFORM_LIST, &table->token);
	(void)snprintf(call->key, sizeof(call->key), JJ_ACTIVE_PREFIX);
	memcpy(call->after, table->after, sizeof(call->after));
	call->limit = LIST_PAGE;
}

void
jj_job_table_relist(jj_batch_t *batch, jj_ms_t now)
{
	jj_job_table_t *table = &batch->jobs;
	jj_ms_t at = now +
	    random_delay(
		batch, batch->settings.relist_ms / LOST_EVENTS_DIVISOR);

	table->list_again = table->token != 0 || table->after[0] != '\0';
	if (!table->list_again && at < table->list_at_ms)
		table->list_at_ms = at;
}

/*
 * Hundreds of VMs that were started or disconnected together would list at
 * the same times and together exceed the platform's rate limit. So each waits
 * a random time between listings.
 */
static void
take_listing(jj_batch_t *batch, const jj_platform_result_t *result, jj_ms_t now)
{
	jj_job_table_t *table = &batch->jobs;
	char id[JJ_OBJECT_ID_TEXT];
	const char *rest;
	jj_ms_t relist_ms = batch->settings.relist_ms;
	size_t i;

	table->token = 0;
	if (result->outcome != JJ_PLATFORM_OK) {
		table->list_at_ms = jj_batch_backoff(
		    batch, ++table->failures, result->retry_after_ms, now);
		return;
	}
	table->failures = 0;
	for (i = 0; i < result->item_count; i++) {
		if (jj_batch_split_key(
			result->items[i].key, JJ_ACTIVE_PREFIX, id, &rest))
			jj_job_table_take_entry(
			    table, id, result->items[i].version, now);
	}
	if (result->more && result->item_count > 0) {
		memcpy(table->after, result->items[i - 1].key,
		    sizeof(table->after));
		return;
	}
	table->after[0] = '\0';
	table->list_at_ms =
	    now + relist_ms / 2 + random_delay(batch, relist_ms);
	if (table->list_again)
		jj_job_table_relist(batch, now);
}

/* Random time from 0 to @p max_ms, from this VM's seed. */
static jj_ms_t
random_delay(jj_batch_t *batch, jj_ms_t max_ms)
{
	return (jj_ms_t)(jj_operations_next(&batch->operations) %
	    (uint64_t)(max_ms + 1));
}

/*
 * The worker that published the last chunk may fail before it closes the job,
 * and callers would see a job that never completes. So each worker
 * periodically refreshes the job that it has not refreshed for longest.
 */
static void
start_refresh_of_stalest(jj_batch_t *batch, jj_ms_t now)
{
	jj_known_job_t *stalest = NULL;
	jj_known_job_t *known;

	if (now < batch->jobs.refresh_at_ms || batch->leaving)
		return;
	batch->jobs.refresh_at_ms = now +
	    batch->settings.relist_ms / REFRESH_DIVISOR / 2 +
	    random_delay(batch, batch->settings.relist_ms / REFRESH_DIVISOR);
	TAILQ_FOREACH(known, &batch->jobs.list, link)
	{
		if (!known->loaded || known->step != JJ_STEP_IDLE)
			continue;
		if (now - known->refreshed_ms < batch->settings.relist_ms)
			continue;
		if (stalest == NULL || is_before(known, stalest))
			stalest = known;
	}
	if (stalest == NULL)
		return;
	stalest->wants_refresh = true;
	stalest->periodic_refresh = true;
}

/* Jobs that, by the known views, only need to be closed come first. */
static bool
is_before(const jj_known_job_t *a, const jj_known_job_t *b)
{
	if (is_finished(a) != is_finished(b))
		return is_finished(a);
	return a->refreshed_ms < b->refreshed_ms;
}

static void
step_job(
    jj_batch_t *batch, jj_known_job_t *known, jj_ms_t now, jj_actions_t *out)
{
	if (known->step == JJ_STEP_IDLE && known->wants_refresh) {
		known->step = JJ_STEP_READ;
		known->wants_refresh = false;
	}
	if (known->token != 0 || known->step == JJ_STEP_IDLE ||
	    now < known->retry_at_ms || batch->leaving)
		return;
	switch (known->step) {
	case JJ_STEP_READ:
	case JJ_STEP_SUM_OUT:
		send_get(batch, known, out);
		break;
	case JJ_STEP_LIST_OUTS:
		(void)send_list(batch, known, "out", out);
		break;
	case JJ_STEP_LIST_CLAIMS:
		(void)send_list(batch, known, "chunk", out);
		break;
	case JJ_STEP_SUM_RECORDS:
		send_sum(batch, known, out);
		break;
	case JJ_STEP_CLOSE:
		send_close(batch, known, out);
		break;
	case JJ_STEP_DELETE_ENTRY:
		send_delete(batch, known, out);
		break;
	case JJ_STEP_IDLE:
		break;
	}
}

/* Reads the job's object, or the out object of the next chunk to sum up. */
static void
send_get(jj_batch_t *batch, jj_known_job_t *known, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_GET, &known->token);

	if (known->step == JJ_STEP_READ)
		(void)snprintf(
		    call->key, sizeof(call->key), "jobs/%s/job", known->job.id);
	else
		(void)snprintf(call->key, sizeof(call->key), "jobs/%s/out/%06u",
		    known->job.id, known->sum_next);
}

static jj_platform_call_t *
send_list(jj_batch_t *batch, jj_known_job_t *known, const char *kind,
    jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_LIST, &known->token);

	(void)snprintf(
	    call->key, sizeof(call->key), "jobs/%s/%s/", known->job.id, kind);
	memcpy(call->after, known->after, sizeof(call->after));
	return call;
}

/*
 * Lists the records with their values: one call for hundreds of chunks. A get
 * for each would take half a minute at the end of a large job.
 */
static void
send_sum(jj_batch_t *batch, jj_known_job_t *known, jj_actions_t *out)
{
	jj_platform_call_t *call = send_list(batch, known, "chunk", out);

	call->values = true;
	call->limit = SUM_PAGE;
}

/*
 * The entry of an ended job may be deleted in any version, as a resent
 * submission does not need it. An entry without a job is deleted only in the
 * version that was listed.
 */
static void
send_delete(jj_batch_t *batch, jj_known_job_t *known, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_DELETE, &known->token);

	(void)snprintf(
	    call->key, sizeof(call->key), JJ_ACTIVE_PREFIX "%s", known->job.id);
	if (!known->loaded)
		call->version = known->entry_version;
}

/* The job in its final state; shares the memory that the known job owns. */
static jj_job_t
closed_job(const jj_known_job_t *known)
{
	jj_job_t job = known->job;
	const uint32_t *sum = known->sum.by_kind;

	if (jj_job_finish(&job, sum[JJ_RESULT_DONE], sum[JJ_RESULT_FAILED]))
		return job;
	job.state = JJ_JOB_CANCELLED;
	job.done = sum[JJ_RESULT_DONE];
	job.failed = sum[JJ_RESULT_FAILED];
	job.cancelled_items = job.items - job.done - job.failed;
	return job;
}

static void
send_close(jj_batch_t *batch, jj_known_job_t *known, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_UPDATE, &known->token);
	jj_job_t job = closed_job(known);

	jj_operations_next_text(&batch->operations, job.operation);
	(void)snprintf(
	    call->key, sizeof(call->key), "jobs/%s/job", known->job.id);
	known->close_sent = true;
	call->version = known->job.version;
	call->value = jj_job_encode(&job, batch->settings.writer);
}

static void
take_step(jj_batch_t *batch, jj_known_job_t *known,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	bool answered = result->outcome == JJ_PLATFORM_OK ||
	    result->outcome == JJ_PLATFORM_ABSENT ||
	    result->outcome == JJ_PLATFORM_CONFLICT;

	if (!answered) {
		known->retry_at_ms = jj_batch_backoff(
		    batch, ++known->failures, result->retry_after_ms, now);
		/* The close may have been applied: the job is read again. */
		if (known->step == JJ_STEP_CLOSE)
			known->step = JJ_STEP_READ;
		return;
	}
	known->failures = 0;
	switch (known->step) {
	case JJ_STEP_READ:
		take_job(batch, known, result, now, out);
		break;
	case JJ_STEP_LIST_OUTS:
	case JJ_STEP_LIST_CLAIMS:
		take_list(known, result, now);
		break;
	case JJ_STEP_SUM_RECORDS:
		take_records(known, result);
		break;
	case JJ_STEP_SUM_OUT:
		take_out(known, result);
		break;
	case JJ_STEP_CLOSE:
		take_close(known, result);
		break;
	case JJ_STEP_DELETE_ENTRY:
	case JJ_STEP_IDLE:
		set_idle(known);
		break;
	}
}

static void
take_job(jj_batch_t *batch, jj_known_job_t *known,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	bool first = !known->loaded;

	set_idle(known);
	known->after[0] = '\0';
	if (result->outcome == JJ_PLATFORM_ABSENT)
		take_absent_job(batch, known, now);
	if (result->outcome != JJ_PLATFORM_OK ||
	    !jj_known_job_update(
		batch, known, &result->value, result->version, now, out))
		return;
	if (jj_job_has_ended(&known->job)) {
		/*
		 * Only a VM that may have closed the job, or that first found
		 * it by its entry after its end, deletes the entry. Otherwise
		 * hundreds of VMs that knew it as running would.
		 */
		if (known->close_sent || (first && known->entry_version != 0))
			known->step = JJ_STEP_DELETE_ENTRY;
	} else if (first && known->created) {
		/* A new job has nothing to list yet; events follow. */
		known->refreshed_ms = now > 0 ? now : 1;
	} else {
		known->step = JJ_STEP_LIST_OUTS;
	}
}

static void
take_absent_job(jj_batch_t *batch, jj_known_job_t *known, jj_ms_t now)
{
	if (!known->loaded && jj_job_table_is_orphan(&batch->jobs, known, now))
		known->step = JJ_STEP_DELETE_ENTRY;
}

static void
take_list(
    jj_known_job_t *known, const jj_platform_result_t *result, jj_ms_t now)
{
	bool outs = known->step == JJ_STEP_LIST_OUTS;
	size_t i;

	for (i = 0; i < result->item_count; i++) {
		const jj_platform_item_t *item = &result->items[i];
		uint32_t chunk = chunk_of(known, item);

		if (outs && known->last_out_version < item->version)
			known->last_out_version = item->version;
		if (chunk >= known->job.part_count ||
		    known->views[chunk] == JJ_VIEW_HELD ||
		    known->views[chunk] == JJ_VIEW_OUT)
			continue;
		if (outs) {
			jj_known_job_set_view(known, chunk, JJ_VIEW_OUT);
			continue;
		}
		jj_known_job_set_view(known, chunk, JJ_VIEW_CLAIMED);
		(void)jj_known_job_note_claim(known, chunk, item->version, now);
	}
	if (take_page(known, result))
		return;
	known->step = JJ_STEP_LIST_CLAIMS;
	/* With all out objects present, listing the claims adds nothing. */
	if (!outs || known->open_count + known->claimed_count == 0)
		take_refreshed(known, now);
}

static uint32_t
chunk_of(const jj_known_job_t *known, const jj_platform_item_t *item)
{
	const char *number = strrchr(item->key, '/');

	if (number == NULL)
		return known->job.part_count;
	return (uint32_t)strtoul(number + 1, NULL, 10);
}

/* True when the list has another page. */
static bool
take_page(jj_known_job_t *known, const jj_platform_result_t *result)
{
	known->after[0] = '\0';
	if (!result->more || result->item_count == 0)
		return false;
	memcpy(known->after, result->items[result->item_count - 1].key,
	    sizeof(known->after));
	return true;
}

/*
 * All workers that end a chunk near the job's end check whether the job is
 * finished. Only the one that published the newest out object, or finished
 * for its publisher, sums up and closes the job, as the others would repeat
 * the same calls. If that worker fails, a periodic refresh by another worker
 * closes the job.
 */
static void
take_refreshed(jj_known_job_t *known, jj_ms_t now)
{
	bool closes = known->periodic_refresh ||
	    known->own_out_version >= known->last_out_version;

	known->refreshed_ms = now > 0 ? now : 1;
	known->views_stale = false;
	known->periodic_refresh = false;
	set_idle(known);
	if (!is_finished(known) || !closes)
		return;
	memset(&known->sum, 0, sizeof(known->sum));
	memset(
	    known->summed, 0, known->job.part_count * sizeof(*known->summed));
	known->sum_next = 0;
	known->step = JJ_STEP_SUM_RECORDS;
}

/*
 * A cancelled job is finished once each claimed chunk has its out object. A
 * claim that is made after the cancel and not seen here does no harm: its
 * holder reads the job after the claim and starts nothing.
 */
static bool
is_finished(const jj_known_job_t *known)
{
	if (jj_job_has_ended(&known->job))
		return false;
	if (known->claimed_count > 0 || known->held_count > 0)
		return false;
	return known->open_count == 0 || jj_known_job_is_cancelled(known);
}

/* Continues with the next out object not counted yet, or closes the job. */
static void
continue_sum(jj_known_job_t *known)
{
	while (known->sum_next < known->job.part_count &&
	    (known->views[known->sum_next] != JJ_VIEW_OUT ||
		known->summed[known->sum_next]))
		known->sum_next++;
	known->step = known->sum_next < known->job.part_count ? JJ_STEP_SUM_OUT
							      : JJ_STEP_CLOSE;
}

/*
 * A done record has the counts of its chunk. If the holder failed between its
 * out object and that record, the out object itself is counted.
 */
static void
take_records(jj_known_job_t *known, const jj_platform_result_t *result)
{
	size_t i;

	for (i = 0; i < result->item_count; i++) {
		const jj_platform_item_t *item = &result->items[i];
		uint32_t chunk = chunk_of(known, item);
		jj_chunk_record_t record = {0};

		if (jj_chunk_record_decode(
			&record, &item->value, item->version) &&
		    record.state == JJ_CHUNK_DONE)
			add_counts(known, chunk, &record.counts);
		jj_chunk_record_clear(&record);
	}
	if (!take_page(known, result))
		continue_sum(known);
}

static void
add_counts(
    jj_known_job_t *known, uint32_t chunk, const jj_result_counts_t *counts)
{
	int kind;

	if (chunk >= known->job.part_count || known->summed[chunk])
		return;
	known->summed[chunk] = true;
	for (kind = JJ_RESULT_DONE; kind <= JJ_RESULT_CANCELLED; kind++)
		known->sum.by_kind[kind] += counts->by_kind[kind];
}

static void
take_out(jj_known_job_t *known, const jj_platform_result_t *result)
{
	jj_result_counts_t counts = {0};

	if (result->outcome == JJ_PLATFORM_OK)
		(void)jj_out_count(&result->value, &counts);
	add_counts(known, known->sum_next, &counts);
	continue_sum(known);
}

/* After a conflict (another worker's close, or a cancel) the job is read
 * again. */
static void
take_close(jj_known_job_t *known, const jj_platform_result_t *result)
{
	if (result->outcome != JJ_PLATFORM_OK) {
		known->step = JJ_STEP_READ;
		known->close_sent = false;
		return;
	}
	known->job = closed_job(known);
	known->job.version = result->version;
	known->step = JJ_STEP_DELETE_ENTRY;
}

static void
set_idle(jj_known_job_t *known)
{
	known->step = JJ_STEP_IDLE;
	known->retry_at_ms = 0;
}
