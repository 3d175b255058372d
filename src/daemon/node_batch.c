/**
 * @file node_batch.c
 * @brief The batch loop: jobs, chunks and items.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "daemon/assembler.h"
#include "daemon/node.h"

/** Set in tokens of the batch worker, not in those of job operations. */
#define TOKEN_WORKER (UINT64_C(1) << 63)
/** Interval at which uploads are checked for writes to repeat, ms. */
#define UPLOAD_TICK_MS 50
/** Rough estimate of the bytes of text in one token. */
#define BYTES_PER_TOKEN 4

typedef enum {
	BATCH_JOB,
	BATCH_ITEM_END,
	BATCH_JOB_CHANGE,
	BATCH_VM_LOST,
	BATCH_SHARES,
	BATCH_SERVICES,
	BATCH_LEAVE,
	BATCH_RESULT,
} batch_kind_t;

/** A task posted to the batch loop; owns the data it points to. */
typedef struct {
	jj_task_t task;
	batch_kind_t kind;
	jj_job_operation_t job;
	uint64_t number; /**< operation, item or version */
	char text[JJ_OBJECT_KEY_MAX + 1];
	char team[JJ_NAME_MAX + 1];
	char key[JJ_IDEMPOTENCY_KEY_MAX + 1];
	bool has_key;
	uint32_t chunk;
	jj_item_outcome_t outcome;
	int status;
	jj_bytes_t body;
	jj_platform_result_t result;
	jj_node_service_t *services;
	size_t service_count;
	jj_batch_share_t *shares;
	uint32_t share_count;
} batch_task_t;

static void run_task(jj_task_t *, void *, jj_ms_t);
static void run_job(jj_node_t *, batch_task_t *, jj_ms_t, jj_actions_t *);
static void take_services(jj_node_t *, batch_task_t *);
static void update_free_capacity(jj_node_t *);
static void execute_actions(jj_node_t *, jj_actions_t *);
static void begin_item(jj_node_t *, jj_action_t *);
static void request_as_stream(jj_exchange_t *);
static void free_task(batch_task_t *);
static batch_task_t *create_task(batch_kind_t);

void
jj_node_post_job(jj_node_t *node, jj_job_operation_t kind, uint64_t operation,
    const char *id, const char *team, const char *key, const jj_bytes_t *body,
    uint32_t chunk)
{
	batch_task_t *task = create_task(BATCH_JOB);

	task->job = kind;
	task->number = operation;
	task->chunk = chunk;
	(void)snprintf(
	    task->text, sizeof(task->text), "%s", id != NULL ? id : "");
	(void)snprintf(
	    task->team, sizeof(task->team), "%s", team != NULL ? team : "");
	task->has_key = key != NULL;
	(void)snprintf(
	    task->key, sizeof(task->key), "%s", key != NULL ? key : "");
	if (body != NULL)
		task->body = jj_bytes_copy(body->data, body->size);
	jj_loop_post(node->batch_loop, &task->task);
}

void
jj_node_post_item_end(jj_node_t *node, uint64_t item, jj_item_outcome_t outcome,
    int status, const jj_bytes_t *body)
{
	batch_task_t *task = create_task(BATCH_ITEM_END);

	task->number = item;
	task->outcome = outcome;
	task->status = status;
	if (body != NULL)
		task->body = jj_bytes_copy(body->data, body->size);
	jj_loop_post(node->batch_loop, &task->task);
}

void
jj_node_post_job_change(jj_node_t *node, const char *key, uint64_t version)
{
	batch_task_t *task = create_task(BATCH_JOB_CHANGE);

	(void)snprintf(task->text, sizeof(task->text), "%s", key);
	task->number = version;
	jj_loop_post(node->batch_loop, &task->task);
}

void
jj_node_post_vm_lost(jj_node_t *node, const char *writer)
{
	batch_task_t *task = create_task(BATCH_VM_LOST);

	(void)snprintf(task->text, sizeof(task->text), "%s", writer);
	jj_loop_post(node->batch_loop, &task->task);
}

void
jj_node_post_shares(
    jj_node_t *node, const jj_batch_share_t *shares, uint32_t count)
{
	batch_task_t *task = create_task(BATCH_SHARES);

	task->shares = jj_alloc((count + 1) * sizeof(*shares));
	memcpy(task->shares, shares, count * sizeof(*shares));
	task->share_count = count;
	jj_loop_post(node->batch_loop, &task->task);
}

void
jj_node_post_services(
    jj_node_t *node, const jj_node_service_t *services, size_t count)
{
	batch_task_t *task = create_task(BATCH_SERVICES);

	task->services = jj_alloc((count + 1) * sizeof(*services));
	memcpy(task->services, services, count * sizeof(*services));
	task->service_count = count;
	jj_loop_post(node->batch_loop, &task->task);
}

void
jj_node_post_batch_leave(jj_node_t *node)
{
	batch_task_t *task = create_task(BATCH_LEAVE);

	jj_loop_post(node->batch_loop, &task->task);
}

void
jj_node_post_bulk_result(jj_node_t *node, jj_platform_result_t *result)
{
	batch_task_t *task = create_task(BATCH_RESULT);

	task->result = *result;
	jj_loop_post(node->batch_loop, &task->task);
}

jj_ms_t
jj_node_batch_next(void *ctx)
{
	const jj_node_t *node = ctx;
	jj_ms_t next = jj_batch_next(node->batch);
	jj_ms_t other = jj_jobs_next(node->jobs);

	if (other < next)
		next = other;
	return node->next_upload_tick < next ? node->next_upload_tick : next;
}

void
jj_node_batch_tick(void *ctx, jj_ms_t now)
{
	jj_node_t *node = ctx;
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);

	update_free_capacity(node);
	jj_batch_tick(node->batch, now, &actions);
	jj_jobs_tick(node->jobs, now, &actions);
	execute_actions(node, &actions);
	if (now >= node->next_upload_tick) {
		node->next_upload_tick = now + UPLOAD_TICK_MS;
		jj_node_tick_uploads(node, now);
	}
	atomic_store(&node->batch_idle, jj_batch_is_idle(node->batch));
}

int32_t
jj_node_service_limit(void *ctx, const char *service)
{
	const jj_node_t *node = ctx;
	uint32_t i;

	for (i = 0; i < node->share_count; i++) {
		if (strcmp(node->shares[i].service.text, service) == 0)
			return (int32_t)node->shares[i].limit;
	}
	return -1;
}

bool
jj_node_is_idempotent(void *ctx, const char *service)
{
	const jj_node_t *node = ctx;
	size_t i;

	for (i = 0; i < node->service_count; i++) {
		if (strcmp(node->services[i].name.text, service) == 0)
			return node->services[i].idempotent;
	}
	return false;
}

static void
run_task(jj_task_t *base, void *ctx, jj_ms_t now)
{
	jj_node_t *node = ctx;
	batch_task_t *task = (batch_task_t *)base;
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);

	if (node == NULL) {
		free_task(task);
		return;
	}
	switch (task->kind) {
	case BATCH_JOB:
		run_job(node, task, now, &actions);
		break;
	case BATCH_ITEM_END:
		jj_log(JJ_LOG_DEBUG, "item_ended",
		    "item=%llu outcome=%d status=%d",
		    (unsigned long long)task->number, (int)task->outcome,
		    task->status);
		jj_batch_end_item(node->batch, task->number, task->outcome,
		    task->status, &task->body, now, &actions);
		break;
	case BATCH_JOB_CHANGE:
		jj_batch_take_change(
		    node->batch, task->text, task->number, now, &actions);
		break;
	case BATCH_VM_LOST:
		jj_batch_mark_writer_failed(
		    node->batch, task->text, now, &actions);
		break;
	case BATCH_SHARES:
		node->share_count = task->share_count;
		memcpy(node->shares, task->shares,
		    task->share_count * sizeof(node->shares[0]));
		break;
	case BATCH_SERVICES:
		take_services(node, task);
		break;
	case BATCH_LEAVE:
		jj_batch_leave(node->batch, now, &actions);
		break;
	case BATCH_RESULT:
		if (task->result.token & TOKEN_WORKER)
			jj_batch_take_result(
			    node->batch, &task->result, now, &actions);
		else
			jj_jobs_take_result(
			    node->jobs, &task->result, now, &actions);
		break;
	}
	update_free_capacity(node);
	jj_batch_tick(node->batch, now, &actions);
	execute_actions(node, &actions);
	atomic_store(&node->batch_idle, jj_batch_is_idle(node->batch));
	free_task(task);
}

static void
run_job(jj_node_t *node, batch_task_t *task, jj_ms_t now, jj_actions_t *out)
{
	switch (task->job) {
	case JJ_JOB_SUBMIT:
		jj_jobs_submit(node->jobs, task->number, task->team,
		    task->has_key ? task->key : NULL, &task->body,
		    jj_unix_now(), now, out);
		break;
	case JJ_JOB_STATUS:
		jj_jobs_status(node->jobs, task->number, task->text, now, out);
		break;
	case JJ_JOB_CANCEL:
		jj_jobs_cancel(node->jobs, task->number, task->text, now, out);
		break;
	case JJ_JOB_RESULTS:
		jj_jobs_results(node->jobs, task->number, task->text,
		    task->chunk, now, out);
		break;
	case JJ_JOB_LIST:
		jj_jobs_list(node->jobs, task->number,
		    task->text[0] != '\0' ? task->text : NULL, now, out);
		break;
	}
}

static void
take_services(jj_node_t *node, batch_task_t *task)
{
	node->service_count = task->service_count;
	memcpy(node->services, task->services,
	    task->service_count * sizeof(node->services[0]));
}

/**
 * The control loop reports how many items may run at once, not how many more
 * may start. A number of free slots that was sent before the worker's latest
 * items reached the control loop would count these slots twice, and would not
 * be raised again after the control loop refused items.
 */
static void
update_free_capacity(jj_node_t *node)
{
	uint32_t running = jj_batch_counts(node->batch).items_running;
	uint32_t limit = 0;
	uint32_t i;

	for (i = 0; i < node->share_count; i++)
		limit += node->shares[i].limit;
	jj_batch_set_free_capacity(
	    node->batch, limit > running ? limit - running : 0);
}

static void
execute_actions(jj_node_t *node, jj_actions_t *actions)
{
	jj_action_t *action;

	while ((action = TAILQ_FIRST(actions)) != NULL) {
		TAILQ_REMOVE(actions, action, link);
		switch (action->kind) {
		case JJ_ACTION_PLATFORM:
			jj_platform_start(
			    node->platform_bulk, &action->body.platform);
			break;
		case JJ_ACTION_ITEM_READY:
			begin_item(node, action);
			break;
		case JJ_ACTION_ITEM_CANCEL:
			jj_node_post_caller_disconnect(
			    node, action->body.item.item | JJ_REQUEST_ITEM);
			break;
		case JJ_ACTION_JOB_ANSWER:
			jj_node_answer_pending(node, action->body.job.operation,
			    action->body.job.status,
			    action->body.job.retry_after_ms,
			    &action->body.job.body);
			break;
		case JJ_ACTION_EVENT:
			jj_log(JJ_LOG_INFO, action->body.event.name, "%s",
			    action->body.event.detail);
			jj_node_count_event(action->body.event.name);
			break;
		default:
			break;
		}
		jj_action_free(action);
	}
}

/** Submits an item as a request of the batch class. */
static void
begin_item(jj_node_t *node, jj_action_t *action)
{
	jj_exchange_t exchange = {0};
	jj_request_t request = {0};
	const char *path = action->body.item.path.data;

	request.request = action->body.item.item | JJ_REQUEST_ITEM;
	request.class_of = JJ_CLASS_BATCH;
	request.service = action->body.item.service;
	request.team = action->body.item.team;
	request.fingerprint = action->body.item.fingerprint;
	request.deadline_ms = action->body.item.due_ms;
	request.prompt_tokens =
	    (uint32_t)(action->body.item.body.size / BYTES_PER_TOKEN);
	exchange.request = request.request;
	exchange.kind = JJ_EXCHANGE_ITEM;
	exchange.is_model = path != NULL && strncmp(path, "/v1/", 4) == 0;
	exchange.service = action->body.item.service;
	exchange.path = action->body.item.path;
	exchange.body = action->body.item.body;
	memset(&action->body.item.path, 0, sizeof(jj_bytes_t));
	memset(&action->body.item.body, 0, sizeof(jj_bytes_t));
	if (exchange.is_model)
		request_as_stream(&exchange);
	(void)snprintf(exchange.operation_id, sizeof(exchange.operation_id),
	    "%s-item-%llx", node->settings->name.text,
	    (unsigned long long)action->body.item.item);
	jj_trace_begin(
	    &exchange.span, NULL, JJ_HOP_BATCH, "batch_item", jj_unix_now_ns());
	jj_relay_add(node->relay, &exchange);
	jj_node_post_request(node, &request, NULL, "", NULL, "");
}

/** Requests a streamed response of the server if the body allows it. */
static void
request_as_stream(jj_exchange_t *exchange)
{
	jj_bytes_t streamed = jj_assembler_make_stream_request(&exchange->body);

	if (streamed.size == 0)
		return;
	jj_bytes_free(&exchange->body);
	exchange->body = streamed;
	exchange->streams = true;
}

static batch_task_t *
create_task(batch_kind_t kind)
{
	batch_task_t *task = jj_alloc(sizeof(*task));

	task->task.run = run_task;
	task->kind = kind;
	return task;
}

static void
free_task(batch_task_t *task)
{
	jj_bytes_free(&task->body);
	jj_platform_result_clear(&task->result);
	free(task->services);
	free(task->shares);
	free(task);
}
