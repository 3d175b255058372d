/**
 * @file batch_job_steps.c
 * @brief The calls that find jobs, refresh their views and close them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

/** Keys in one page of the listing of all jobs. */
#define LIST_PAGE 500
/** A job known for long is looked at each relist_ms / this. */
#define REFRESHES_PER_RELIST 16

static void step_listing(jj_batch_t *, jj_ms_t, jj_actions_t *);
static void take_listing(jj_batch_t *, const jj_platform_result_t *, jj_ms_t);
static bool id_of_key(const char *, char[JJ_OBJECT_ID_TEXT]);
static void start_refresh_of_stalest(jj_batch_t *, jj_ms_t);
static void step_job(jj_batch_t *, jj_known_job_t *, jj_ms_t, jj_actions_t *);
static void
send_list(jj_batch_t *, jj_known_job_t *, const char *, jj_actions_t *);
static jj_job_t closed_job(const jj_known_job_t *);
static void send_close(jj_batch_t *, jj_known_job_t *, jj_actions_t *);
static void take_step(jj_batch_t *, jj_known_job_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_job(jj_batch_t *, jj_known_job_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_list(jj_known_job_t *, const jj_platform_result_t *, jj_ms_t);
static void take_sum(jj_known_job_t *, const jj_platform_result_t *);
static void take_close(jj_known_job_t *, const jj_platform_result_t *);
static void take_refreshed(jj_known_job_t *, jj_ms_t);
static bool is_finished(const jj_known_job_t *);
static void sum_on(jj_known_job_t *);
static void rest(jj_known_job_t *);

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
		if (known->token == 0 && known->step != JJ_STEP_REST &&
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
	(void)snprintf(call->key, sizeof(call->key), "jobs/");
	memcpy(call->after, table->after, sizeof(call->after));
	call->limit = LIST_PAGE;
}

/*
 * A page may hold many small jobs, or a part of one large job: the next page
 * begins behind the last job seen, whose chunks need not be listed here.
 */
static void
take_listing(jj_batch_t *batch, const jj_platform_result_t *result, jj_ms_t now)
{
	jj_job_table_t *table = &batch->jobs;
	char id[JJ_OBJECT_ID_TEXT] = "";
	size_t i;

	table->token = 0;
	if (result->outcome != JJ_PLATFORM_OK) {
		table->list_at_ms = jj_batch_backoff(
		    batch, ++table->failures, result->retry_after_ms, now);
		return;
	}
	table->failures = 0;
	for (i = 0; i < result->item_count; i++) {
		if (id_of_key(result->items[i].key, id))
			jj_job_table_learn(table, id);
	}
	if (result->more && result->item_count > 0 && id[0] != '\0') {
		(void)snprintf(
		    table->after, sizeof(table->after), "jobs/%s/~", id);
		return;
	}
	table->after[0] = '\0';
	table->list_at_ms = now + batch->settings.relist_ms;
}

static bool
id_of_key(const char *key, char id[JJ_OBJECT_ID_TEXT])
{
	const char *start = key + strlen("jobs/");
	size_t size;

	if (strncmp(key, "jobs/", strlen("jobs/")) != 0)
		return false;
	size = strcspn(start, "/");
	if (size == 0 || size >= JJ_OBJECT_ID_TEXT)
		return false;
	memcpy(id, start, size);
	id[size] = '\0';
	return true;
}

/*
 * The worker that published the last chunk may die before it closes the job:
 * callers then see a job that never completes. So each worker looks again,
 * now and then, at the job it has not looked at for longest.
 */
static void
start_refresh_of_stalest(jj_batch_t *batch, jj_ms_t now)
{
	jj_known_job_t *stalest = NULL;
	jj_known_job_t *known;

	if (now < batch->jobs.refresh_at_ms || batch->leaving)
		return;
	batch->jobs.refresh_at_ms = now +
	    batch->settings.relist_ms / REFRESHES_PER_RELIST +
	    (jj_ms_t)(jj_operations_next(&batch->operations) % 64);
	TAILQ_FOREACH(known, &batch->jobs.list, link)
	{
		if (!known->loaded || known->step != JJ_STEP_REST)
			continue;
		if (now - known->refreshed_ms < batch->settings.relist_ms)
			continue;
		if (stalest == NULL ||
		    known->refreshed_ms < stalest->refreshed_ms)
			stalest = known;
	}
	if (stalest != NULL)
		stalest->wants_refresh = true;
}

static void
step_job(
    jj_batch_t *batch, jj_known_job_t *known, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call;

	if (known->step == JJ_STEP_REST && known->wants_refresh) {
		known->step = JJ_STEP_READ;
		known->wants_refresh = false;
	}
	if (known->token != 0 || known->step == JJ_STEP_REST ||
	    now < known->retry_at_ms || batch->leaving)
		return;
	if (known->step == JJ_STEP_LIST_OUTS) {
		send_list(batch, known, "out", out);
		return;
	}
	if (known->step == JJ_STEP_LIST_CLAIMS) {
		send_list(batch, known, "chunk", out);
		return;
	}
	if (known->step == JJ_STEP_CLOSE) {
		send_close(batch, known, out);
		return;
	}
	call = jj_batch_call(batch, out, JJ_PLATFORM_GET, &known->token);
	if (known->step == JJ_STEP_READ)
		(void)snprintf(
		    call->key, sizeof(call->key), "jobs/%s/job", known->job.id);
	else
		(void)snprintf(call->key, sizeof(call->key), "jobs/%s/%s/%06u",
		    known->job.id,
		    known->step == JJ_STEP_SUM_RECORD ? "chunk" : "out",
		    known->sum_next);
}

static void
send_list(jj_batch_t *batch, jj_known_job_t *known, const char *kind,
    jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_batch_call(batch, out, JJ_PLATFORM_LIST, &known->token);

	(void)snprintf(
	    call->key, sizeof(call->key), "jobs/%s/%s/", known->job.id, kind);
	memcpy(call->after, known->after, sizeof(call->after));
}

/* The job as it ends; shares what the known job owns. */
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
		/* An unsure close is settled by reading the job again. */
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
	case JJ_STEP_SUM_RECORD:
	case JJ_STEP_SUM_OUT:
		take_sum(known, result);
		break;
	default:
		take_close(known, result);
		break;
	}
}

static void
take_job(jj_batch_t *batch, jj_known_job_t *known,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	known->step = JJ_STEP_LIST_OUTS;
	known->after[0] = '\0';
	if (result->outcome == JJ_PLATFORM_OK &&
	    jj_known_job_update(
		batch, known, &result->value, result->version, now, out))
		return;
	rest(known);
}

static void
take_list(
    jj_known_job_t *known, const jj_platform_result_t *result, jj_ms_t now)
{
	bool outs = known->step == JJ_STEP_LIST_OUTS;
	size_t i;

	for (i = 0; i < result->item_count; i++) {
		const jj_platform_item_t *item = &result->items[i];
		const char *number = strrchr(item->key, '/');
		uint32_t chunk =
		    (uint32_t)strtoul(number ? number + 1 : "", NULL, 10);

		if (chunk >= known->job.part_count ||
		    known->views[chunk] == JJ_VIEW_HELD ||
		    known->views[chunk] == JJ_VIEW_OUT)
			continue;
		if (outs) {
			jj_known_job_set_view(known, chunk, JJ_VIEW_OUT);
			continue;
		}
		jj_known_job_set_view(known, chunk, JJ_VIEW_CLAIMED);
		(void)jj_known_job_see_claim(known, chunk, item->version, now);
	}
	if (result->more && result->item_count > 0) {
		memcpy(known->after, result->items[result->item_count - 1].key,
		    sizeof(known->after));
		return;
	}
	known->after[0] = '\0';
	known->step = JJ_STEP_LIST_CLAIMS;
	if (!outs)
		take_refreshed(known, now);
}

static void
take_refreshed(jj_known_job_t *known, jj_ms_t now)
{
	known->refreshed_ms = now > 0 ? now : 1;
	rest(known);
	if (!is_finished(known))
		return;
	memset(&known->sum, 0, sizeof(known->sum));
	known->sum_next = 0;
	sum_on(known);
}

/*
 * A cancelled job is finished once each chunk that was ever claimed has its
 * out object. A claim made after the cancel cannot be missed here: its holder
 * reads the job after the claim and starts nothing.
 */
static bool
is_finished(const jj_known_job_t *known)
{
	if (jj_known_job_has_ended(known))
		return false;
	if (known->claimed_count > 0 || known->held_count > 0)
		return false;
	return known->open_count == 0 || jj_known_job_is_cancelled(known);
}

/* Goes on with the next chunk that has an out object, or closes the job. */
static void
sum_on(jj_known_job_t *known)
{
	while (known->sum_next < known->job.part_count &&
	    known->views[known->sum_next] != JJ_VIEW_OUT)
		known->sum_next++;
	known->step = known->sum_next < known->job.part_count
	    ? JJ_STEP_SUM_RECORD
	    : JJ_STEP_CLOSE;
}

/*
 * A done record carries the counts. A holder that died between its out
 * object and that record left none: the out object itself is counted.
 */
static void
take_sum(jj_known_job_t *known, const jj_platform_result_t *result)
{
	jj_result_counts_t counts = {0};
	jj_chunk_record_t record = {0};
	int kind;

	if (result->outcome == JJ_PLATFORM_OK && known->step == JJ_STEP_SUM_OUT)
		(void)jj_out_count(&result->value, &counts);
	if (known->step == JJ_STEP_SUM_RECORD) {
		bool done = result->outcome == JJ_PLATFORM_OK &&
		    jj_chunk_record_decode(
			&record, &result->value, result->version) &&
		    record.state == JJ_CHUNK_DONE;

		counts = record.counts;
		jj_chunk_record_clear(&record);
		if (!done) {
			known->step = JJ_STEP_SUM_OUT;
			return;
		}
	}
	for (kind = JJ_RESULT_DONE; kind <= JJ_RESULT_CANCELLED; kind++)
		known->sum.by_kind[kind] += counts.by_kind[kind];
	known->sum_next++;
	sum_on(known);
}

/* Another closed it, or a cancel came first: the job is read again. */
static void
take_close(jj_known_job_t *known, const jj_platform_result_t *result)
{
	if (result->outcome != JJ_PLATFORM_OK) {
		known->step = JJ_STEP_READ;
		return;
	}
	known->job.version = result->version;
	known->job.state = jj_known_job_is_cancelled(known) ? JJ_JOB_CANCELLED
							    : JJ_JOB_COMPLETED;
	rest(known);
}

static void
rest(jj_known_job_t *known)
{
	known->step = JJ_STEP_REST;
	known->retry_at_ms = 0;
}
