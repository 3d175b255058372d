/**
 * @file inline_op.c
 * @brief Callers' reads of results and item bodies, and ends of jobs.
 *
 * The VM that runs a job answers reads from results whose write was confirmed.
 * Any other VM queries that VM when its reports show new results, and the
 * platform when there are no reports, at the end of the time that the reader
 * lets it wait. So a read costs at most one platform call.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/inline_state.h"

/** Share of a reader's wait after which the platform is queried, in tenths. */
#define WAIT_SHARE_TENTHS 9
/** Maximum bytes of one page of results; readers accept up to 1 MB. */
#define PAGE_BYTES_MAX 900000

static jj_ms_t next_query(const jj_inline_op_t *);
static void step_read(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static bool
serve_from_run(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static bool
serve_from_peer_state(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static bool may_answer(const jj_inline_t *, const jj_inline_run_t *);
static void start_read(jj_inline_t *, jj_inline_op_t *, jj_actions_t *);
static void take_read(jj_inline_t *, jj_inline_op_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_segment(jj_inline_t *, jj_inline_op_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
take_no_segment(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static void take_job_check(jj_inline_t *, jj_inline_op_t *,
    const jj_platform_result_t *, jj_actions_t *);
static void
log_read(const jj_inline_op_t *, const char *, uint32_t, jj_actions_t *);
static void answer_from_run(
    jj_inline_t *, jj_inline_op_t *, const jj_inline_run_t *, jj_actions_t *);
static jj_inline_segment_t published_part(const jj_inline_run_t *);
static void answer_page(jj_inline_t *, jj_inline_op_t *,
    const jj_inline_segment_t *, uint32_t, jj_actions_t *);
static jj_bytes_t write_page(
    const jj_inline_t *, const jj_inline_segment_t *, uint32_t, uint32_t);
static void step_item(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static void answer_item(
    jj_inline_t *, jj_inline_op_t *, const jj_inline_job_t *, jj_actions_t *);
static void take_item(jj_inline_t *, jj_inline_op_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void step_end(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static void start_update(
    jj_inline_t *, jj_inline_op_t *, const jj_open_entry_t *, jj_actions_t *);
static void take_end(jj_inline_t *, jj_inline_op_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
update_entry(jj_inline_t *, jj_inline_op_t *, const jj_platform_result_t *);
static void
confirm_end(jj_inline_t *, jj_inline_op_t *, jj_ms_t, jj_actions_t *);
static void note_version(jj_inline_t *, const jj_inline_op_t *, uint64_t);

void
jj_inline_read(jj_inline_t *jobs, uint64_t operation, const char *id,
    uint32_t after, jj_ms_t wait_ms, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_op_t *op = jj_inline_add_op(jobs, JJ_OP_READ, operation, id,
	    now + wait_ms + jobs->settings.read_ms, now);
	bool is_open = jj_inline_find_open(jobs, id) != NULL ||
	    jj_inline_is_reported(jobs, id, now);

	jobs->now_ms = now;
	op->after = after;
	op->query_ms = now;
	/* A job that is not open has all its results: no need to wait. */
	if (is_open)
		op->query_ms += wait_ms * WAIT_SHARE_TENTHS / 10;
	jj_inline_step_op(jobs, op, now, out);
}

void
jj_inline_read_item(jj_inline_t *jobs, uint64_t operation, const char *id,
    const char *item, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_op_t *op = jj_inline_add_op(
	    jobs, JJ_OP_ITEM, operation, id, now + jobs->settings.read_ms, now);

	op->item = strdup(item);
	(void)snprintf(op->load.id, sizeof(op->load.id), "%s", id);
	jj_inline_schedule_call(&op->load.call, now);
	jj_inline_step_op(jobs, op, now, out);
}

void
jj_inline_end_job(jj_inline_t *jobs, uint64_t operation, const char *id,
    jj_ms_t now, jj_actions_t *out)
{
	jj_inline_op_t *op = jj_inline_add_op(jobs, JJ_OP_END, operation, id,
	    now + jobs->settings.submit_ms, now);

	jj_inline_schedule_call(&op->end, now);
	jj_inline_step_op(jobs, op, now, out);
}

void
jj_inline_step_op(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	switch (op->kind) {
	case JJ_OP_SUBMIT:
		jj_inline_step_submit(jobs, op, now, out);
		return;
	case JJ_OP_READ:
		step_read(jobs, op, now, out);
		return;
	case JJ_OP_ITEM:
		step_item(jobs, op, now, out);
		return;
	case JJ_OP_END:
		step_end(jobs, op, now, out);
		return;
	}
}

bool
jj_inline_take_op_result(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	switch (op->kind) {
	case JJ_OP_SUBMIT:
		return jj_inline_take_submit(jobs, op, result, now, out);
	case JJ_OP_READ:
		if (result->token != op->get.token)
			return false;
		take_read(jobs, op, result, now, out);
		return true;
	case JJ_OP_ITEM:
		if (result->token != op->load.call.token)
			return false;
		take_item(jobs, op, result, now, out);
		return true;
	case JJ_OP_END:
		if (result->token != op->end.token)
			return false;
		take_end(jobs, op, result, now, out);
		return true;
	}
	return false;
}

jj_ms_t
jj_inline_op_next(const jj_inline_op_t *op)
{
	const jj_inline_call_t *calls[] = {&op->create_job, &op->create_open,
	    &op->get, &op->load.call, &op->end};
	jj_ms_t next = op->until_ms;
	size_t i;

	if (op->kind == JJ_OP_ITEM && op->peer_ms != 0 && !op->peer_failed)
		return op->peer_ms < next ? op->peer_ms : next;
	if (op->kind == JJ_OP_READ && op->get.token == 0 &&
	    op->get.due_ms == JJ_MS_NEVER && next_query(op) < next)
		next = next_query(op);
	for (i = 0; i < sizeof(calls) / sizeof(calls[0]); i++)
		if (calls[i]->token == 0 && calls[i]->due_ms < next)
			next = calls[i]->due_ms;
	return next;
}

/** When a read without a call under way queries a VM or the platform next. */
static jj_ms_t
next_query(const jj_inline_op_t *op)
{
	if (op->peer_failed)
		return op->query_ms;
	if (op->peer_ms != 0)
		return op->peer_ms;
	return op->next_peer_ms != 0 && op->next_peer_ms < op->query_ms
	    ? op->next_peer_ms
	    : op->query_ms;
}

jj_inline_op_t *
jj_inline_add_op(jj_inline_t *jobs, jj_inline_op_kind_t kind,
    uint64_t operation, const char *id, jj_ms_t until_ms, jj_ms_t now)
{
	jj_inline_op_t *op = jj_alloc(sizeof(*op));

	op->kind = kind;
	op->operation = operation;
	(void)snprintf(op->id, sizeof(op->id), "%s", id);
	op->started_ms = now;
	op->until_ms = until_ms;
	jj_inline_end_call(&op->create_job);
	jj_inline_end_call(&op->create_open);
	jj_inline_end_call(&op->get);
	jj_inline_end_call(&op->load.call);
	jj_inline_end_call(&op->end);
	TAILQ_INSERT_TAIL(&jobs->ops, op, link);
	return op;
}

void
jj_inline_answer(jj_inline_t *jobs, jj_inline_op_t *op, int status,
    const jj_bytes_t *body, jj_actions_t *out)
{
	jj_action_t *action;

	if (!op->abandoned) {
		action = jj_actions_add(out, JJ_ACTION_JOB_ANSWER);
		action->body.job.operation = op->operation;
		action->body.job.status = status;
		if (status == 429 || status == 503)
			action->body.job.retry_after_ms =
			    jobs->settings.retry_after_ms;
		if (body != NULL)
			action->body.job.body =
			    jj_bytes_copy(body->data, body->size);
	}
	jj_inline_free_op(jobs, op);
}

void
jj_inline_free_op(jj_inline_t *jobs, jj_inline_op_t *op)
{
	TAILQ_REMOVE(&jobs->ops, op, link);
	jj_inline_job_clear(&op->job);
	jj_bytes_free(&op->text);
	jj_inline_clear_load(&op->load);
	free(op->item);
	free(op);
}

void
jj_inline_serve_readers(
    jj_inline_t *jobs, const jj_inline_run_t *run, jj_actions_t *out)
{
	jj_inline_op_t *op;
	jj_inline_op_t *next;

	for (op = TAILQ_FIRST(&jobs->ops); op != NULL; op = next) {
		next = TAILQ_NEXT(op, link);
		if (op->kind == JJ_OP_READ && strcmp(op->id, run->id) == 0 &&
		    op->after >= run->segment.first &&
		    op->after < run->published && may_answer(jobs, run))
			answer_from_run(jobs, op, run, out);
	}
}

static void
step_read(jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	if (op->abandoned && op->get.token == 0) {
		jj_inline_free_op(jobs, op);
		return;
	}
	if (op->get.token == 0 && serve_from_run(jobs, op, now, out))
		return;
	if (op->get.token == 0 && serve_from_peer_state(jobs, op, now, out))
		return;
	if (now >= op->until_ms) {
		jj_actions_add_event(out, "job_read_failed",
		    "job=%s after=%u failures=%u", op->id, op->after,
		    op->get.failures);
		jj_inline_answer(jobs, op, 503, NULL, out);
		return;
	}
	if (op->get.token == 0 && op->get.due_ms == JJ_MS_NEVER &&
	    now >= op->query_ms)
		jj_inline_schedule_call(&op->get, now);
	if (jj_inline_is_due(&op->get, now))
		start_read(jobs, op, out);
}

/** True when the run on this VM answered the read, or will. */
static bool
serve_from_run(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	const jj_inline_run_t *run = jj_inline_find_run(jobs, op->id);

	if (run == NULL || !may_answer(jobs, run) ||
	    op->after < run->segment.first)
		return false;
	if (op->after < run->published || op->after >= run->segment.total ||
	    now >= op->query_ms || run->state == JJ_RUN_CLOSED) {
		answer_from_run(jobs, op, run, out);
		return true;
	}
	return true;
}

/**
 * True when the VM that runs the job suffices as a source of the answer: its
 * report shows that nothing is new, or it is queried. A report is valid for less
 * time than the one within which a position read at one VM has to be known at
 * all of them.
 */
static bool
serve_from_peer_state(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	const jj_peer_state_t *peer_state =
	    jj_inline_find_peer_state(jobs, op->id, now);

	if (op->checks_job || op->get.due_ms != JJ_MS_NEVER)
		return false;
	if (peer_state == NULL)
		return jobs->report_interval_ms >
		    jobs->settings.state_fresh_ms &&
		    jj_inline_poll_peer(jobs, op, now, out);
	op->next_peer_ms = 0;
	if (op->after < peer_state->state.shown) {
		if (jj_inline_query_peer(jobs, op, now, out))
			return true;
		op->query_ms = now;
		return false;
	}
	if (now >= op->query_ms) {
		log_read(op, "heard", peer_state->state.shown, out);
		answer_page(jobs, op, NULL, peer_state->state.total, out);
	}
	return true;
}

/**
 * A VM that was paused or disconnected while another one took its job over does
 * not know what that VM has published, and must not answer less than the reader
 * saw elsewhere. So it answers from memory only while the list of open entries
 * names it as the owner; a job that it has just accepted is not listed yet.
 */
static bool
may_answer(const jj_inline_t *jobs, const jj_inline_run_t *run)
{
	const jj_open_entry_t *entry = jj_inline_find_open(jobs, run->id);

	if (jj_inline_is_orphan(run) ||
	    (run->state != JJ_RUN_RUNNING && run->state != JJ_RUN_CLOSING &&
		run->state != JJ_RUN_CLOSED))
		return false;
	if (!jj_inline_is_current(jobs, run))
		return false;
	return entry == NULL || entry->version <= run->open_version ||
	    strcmp(entry->owner, jobs->settings.writer) == 0;
}

static void
start_read(jj_inline_t *jobs, jj_inline_op_t *op, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_inline_start_call(jobs, &op->get, JJ_PLATFORM_GET, out);

	if (op->checks_job)
		(void)snprintf(call->key, sizeof(call->key), "%s%s",
		    JJ_INLINE_JOBS, op->id);
	else
		(void)snprintf(call->key, sizeof(call->key), "%s%s.%u",
		    JJ_INLINE_OUT, op->id, op->segment_number);
}

static void
take_read(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	if (op->abandoned) {
		jj_inline_free_op(jobs, op);
		return;
	}
	if (result->outcome != JJ_PLATFORM_OK &&
	    result->outcome != JJ_PLATFORM_ABSENT) {
		jj_inline_back_off(jobs, &op->get, now);
		return;
	}
	if (op->checks_job)
		take_job_check(jobs, op, result, out);
	else if (result->outcome == JJ_PLATFORM_OK)
		take_segment(jobs, op, result, now, out);
	else
		take_no_segment(jobs, op, now, out);
}

static void
take_segment(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_segment_t segment;

	if (!jj_inline_segment_decode(&segment, &result->value)) {
		jj_inline_back_off(jobs, &op->get, now);
		return;
	}
	op->total = segment.total;
	if (segment.sealed && op->after >= segment.first + segment.count) {
		op->segment_number++;
		jj_inline_schedule_call(&op->get, now);
		start_read(jobs, op, out);
	} else {
		log_read(op, "store", segment.first + segment.count, out);
		answer_page(jobs, op, &segment, segment.total, out);
	}
	jj_inline_segment_clear(&segment);
}

static void
take_no_segment(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	const jj_open_entry_t *entry = jj_inline_find_open(jobs, op->id);
	uint32_t total = entry != NULL ? entry->total : op->total;

	if (total > 0) {
		log_read(op, "store", 0, out);
		answer_page(jobs, op, NULL, total, out);
		return;
	}
	op->checks_job = true;
	jj_inline_schedule_call(&op->get, now);
	start_read(jobs, op, out);
}

static void
take_job_check(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_inline_job_t job;

	if (result->outcome == JJ_PLATFORM_ABSENT) {
		jj_inline_answer(jobs, op, 404, NULL, out);
		return;
	}
	/* The size of a split job is known only once its entry is listed. */
	if (!jj_inline_job_decode(
		&job, result->value.data, result->value.size)) {
		jj_inline_answer(jobs, op, 503, NULL, out);
		return;
	}
	answer_page(jobs, op, NULL, (uint32_t)job.item_count, out);
	jj_inline_job_clear(&job);
}

/**
 * Leaves out results whose write is not confirmed: they follow the published
 * ones in the segment. If the write fails, others may take their positions, so
 * a reader must not see them.
 */
static jj_inline_segment_t
published_part(const jj_inline_run_t *run)
{
	jj_inline_segment_t published = run->segment;

	published.count = run->published - published.first;
	return published;
}

static void
answer_from_run(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_inline_run_t *run, jj_actions_t *out)
{
	jj_inline_segment_t published = published_part(run);

	log_read(op, "run", run->published, out);
	answer_page(jobs, op, &published, published.total, out);
}

jj_bytes_t
jj_inline_page_of_run(const jj_inline_t *jobs, const jj_inline_run_t *run,
    uint32_t after, size_t max_bytes)
{
	jj_bytes_t none = {0};
	jj_inline_segment_t published;

	if (!may_answer(jobs, run) || after < run->segment.first ||
	    after >= run->published)
		return none;
	published = published_part(run);
	if (jj_inline_segment_size(&published) > max_bytes)
		return none;
	return write_page(jobs, &published, after, published.total);
}

bool
jj_inline_has_nothing_new(
    const jj_inline_t *jobs, const jj_inline_run_t *run, uint32_t after)
{
	return may_answer(jobs, run) && after >= run->published;
}

void
jj_inline_answer_nothing_new(
    jj_inline_t *jobs, jj_inline_op_t *op, uint32_t total, jj_actions_t *out)
{
	log_read(op, "peer", op->after, out);
	answer_page(jobs, op, NULL, total, out);
}

/**
 * Logs where an answer came from: this VM's run, a peer's report, the platform.
 */
static void
log_read(const jj_inline_op_t *op, const char *source, uint32_t published,
    jj_actions_t *out)
{
	jj_actions_add_event(out, "job_read",
	    "job=%s after=%u shown=%u source=%s segment=%u", op->id, op->after,
	    published, source, op->segment_number);
}

static void
answer_page(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_inline_segment_t *segment, uint32_t total, jj_actions_t *out)
{
	jj_bytes_t body = write_page(jobs, segment, op->after, total);

	jj_inline_answer(jobs, op, 200, &body, out);
	jj_bytes_free(&body);
}

/**
 * Encodes the results from @p after on, as many as fit into a page.
 * @param segment that has them, or NULL when there are none.
 */
static jj_bytes_t
write_page(const jj_inline_t *jobs, const jj_inline_segment_t *segment,
    uint32_t after, uint32_t total)
{
	jj_inline_page_t page = {total, after, 0, NULL};
	size_t size = 0;
	uint32_t at;

	if (segment != NULL && after >= segment->first &&
	    after < segment->first + segment->count) {
		at = after - segment->first;
		page.results = &segment->results[at];
		for (; at < segment->count; at++) {
			size += segment->results[at].text.size;
			if (page.count > 0 && size > PAGE_BYTES_MAX)
				break;
			page.count++;
		}
	}
	return jobs->port.write_page(jobs->port.ctx, &page);
}

static void
step_item(jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	const jj_inline_run_t *run = jj_inline_find_run(jobs, op->id);

	if (run != NULL && run->job.item_count > 0) {
		answer_item(jobs, op, &run->job, out);
		return;
	}
	if (now >= op->until_ms) {
		jj_inline_answer(jobs, op, 503, NULL, out);
		return;
	}
	if (op->load.call.token == 0 &&
	    jj_inline_query_peer_item(jobs, op, now, out))
		return;
	jj_inline_step_load(jobs, &op->load, now, out);
}

static void
answer_item(jj_inline_t *jobs, jj_inline_op_t *op, const jj_inline_job_t *job,
    jj_actions_t *out)
{
	const jj_inline_item_t *item = jj_inline_job_find(job, op->item);

	if (item == NULL)
		jj_inline_answer(jobs, op, 404, NULL, out);
	else
		jj_inline_answer(jobs, op, 200, &item->body, out);
}

static void
take_item(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_load_result_t loaded =
	    jj_inline_take_load(jobs, &op->load, result, now);
	jj_inline_job_t job;

	if (loaded == JJ_LOAD_MORE) {
		jj_inline_step_load(jobs, &op->load, now, out);
		return;
	}
	if (loaded == JJ_LOAD_ABSENT) {
		jj_inline_answer(jobs, op, 404, NULL, out);
		return;
	}
	if (loaded == JJ_LOAD_DONE &&
	    jj_inline_job_decode(
		&job, op->load.text.data, op->load.text.size)) {
		answer_item(jobs, op, &job, out);
		jj_inline_job_clear(&job);
		return;
	}
	jj_inline_answer(jobs, op, 503, NULL, out);
}

static void
step_end(jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	const jj_open_entry_t *entry;
	jj_platform_call_t *call;

	if (now >= op->until_ms) {
		jj_inline_answer(jobs, op, 504, NULL, out);
		return;
	}
	if (!jj_inline_is_due(&op->end, now))
		return;
	entry = jj_inline_find_open(jobs, op->id);
	if (entry != NULL && !op->checks_job && !op->reads_entry) {
		start_update(jobs, op, entry, out);
		return;
	}
	call = jj_inline_start_call(jobs, &op->end, JJ_PLATFORM_GET, out);
	(void)snprintf(call->key, sizeof(call->key), "%s%s",
	    op->checks_job ? JJ_INLINE_JOBS : JJ_INLINE_OPEN, op->id);
	op->reads_entry = !op->checks_job;
}

static void
start_update(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_open_entry_t *entry, jj_actions_t *out)
{
	jj_platform_call_t *call =
	    jj_inline_start_call(jobs, &op->end, JJ_PLATFORM_UPDATE, out);

	op->reads_entry = false;
	(void)snprintf(op->owner, sizeof(op->owner), "%s", entry->owner);
	(void)snprintf(
	    call->key, sizeof(call->key), "%s%s", JJ_INLINE_OPEN, op->id);
	call->version = entry->version;
	call->value = jj_inline_encode_open(
	    entry->owner, &entry->route, entry->tokens, entry->total, true);
}

static void
take_end(jj_inline_t *jobs, jj_inline_op_t *op,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_open_entry_t stored = {0};
	bool asked_job = op->checks_job;

	switch (result->outcome) {
	case JJ_PLATFORM_ABSENT:
		if (asked_job) {
			jj_inline_answer(jobs, op, 404, NULL, out);
			return;
		}
		/* The job is not open: check that it exists. */
		op->checks_job = true;
		jj_inline_schedule_call(&op->end, now);
		break;
	case JJ_PLATFORM_OK:
		if (asked_job) {
			jj_inline_answer(jobs, op, 200, NULL, out);
			return;
		}
		if (!op->reads_entry) {
			note_version(jobs, op, result->version);
			confirm_end(jobs, op, now, out);
			return;
		}
		/* fall through */
	case JJ_PLATFORM_CONFLICT:
		if (!jj_inline_decode_open(&stored, &result->value)) {
			op->reads_entry = true;
			jj_inline_back_off(jobs, &op->end, now);
			return;
		}
		update_entry(jobs, op, result);
		if (stored.ended) {
			(void)snprintf(
			    op->owner, sizeof(op->owner), "%s", stored.owner);
			confirm_end(jobs, op, now, out);
			return;
		}
		stored.version = result->version;
		(void)snprintf(stored.id, sizeof(stored.id), "%s", op->id);
		jj_inline_schedule_call(&op->end, now);
		start_update(jobs, op, &stored, out);
		return;
	default:
		/*
		 * A write whose answer was lost may have ended it: read it
		 * back.
		 */
		op->reads_entry = true;
		jj_inline_back_off(jobs, &op->end, now);
		return;
	}
	step_end(jobs, op, now, out);
}

/** Updates the copy of the open entry with what was read. */
static void
update_entry(
    jj_inline_t *jobs, jj_inline_op_t *op, const jj_platform_result_t *result)
{
	jj_open_entry_t *entry = jj_inline_find_open(jobs, op->id);

	if (entry == NULL || entry->version >= result->version)
		return;
	if (jj_inline_decode_open(entry, &result->value))
		entry->version = result->version;
}

/**
 * Keeps the entry's version after this VM's write, for the run that closes it.
 */
static void
note_version(jj_inline_t *jobs, const jj_inline_op_t *op, uint64_t version)
{
	jj_inline_run_t *run = jj_inline_find_run(jobs, op->id);

	if (run != NULL && strcmp(op->owner, jobs->settings.writer) == 0)
		run->open_version = version;
}

static void
confirm_end(
    jj_inline_t *jobs, jj_inline_op_t *op, jj_ms_t now, jj_actions_t *out)
{
	jj_actions_add_event(
	    out, "job_ended", "job=%s owner=%s", op->id, op->owner);
	if (strcmp(op->owner, jobs->settings.writer) == 0)
		jj_inline_take_ended(jobs, op->id, now, out);
	else
		jobs->port.notify_ended(jobs->port.ctx, op->owner, op->id);
	jj_inline_answer(jobs, op, 200, NULL, out);
}
