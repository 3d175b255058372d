/**
 * @file gateway_events.c
 * @brief Passes events to the gateway's core and executes its actions.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/monotonic.h"
#include "daemon/gateway_node.h"

typedef enum {
	EVENT_REQUEST,
	EVENT_CALLER_GONE,
	EVENT_BACKEND,
	EVENT_MESSAGE,
	EVENT_PLATFORM,
	EVENT_OPERATION,
	EVENT_ABANDON,
	EVENT_LEAVE,
	EVENT_END_REQUESTS,
} event_kind_t;

/** An event posted to the loop; owns the data it points to. */
typedef struct {
	jj_task_t task;
	event_kind_t kind;
	uint64_t number; /**< of a request or an operation */
	jj_ms_t end_ms; /**< of a planned stop */
	jj_gateway_request_t request;
	const jj_routes_t *routes; /**< by which a call is decided, or NULL */
	char *host;
	char *path;
	jj_backend_event_t backend;
	int status;
	jj_bytes_t text;
	jj_message_t *message;
	jj_platform_result_t result;
	jj_gateway_operation_t operation;
	jj_front_call_t call;
	jj_inline_job_t job;
} event_t;

static event_t *create_event(event_kind_t);
static void run_event(jj_task_t *, void *, jj_ms_t);
static void
handle_event(jj_gateway_node_t *, event_t *, jj_ms_t, jj_actions_t *);
static void
handle_operation(jj_gateway_node_t *, event_t *, jj_ms_t, jj_actions_t *);
static void free_event(event_t *);
static void execute_actions(jj_gateway_node_t *, jj_actions_t *, jj_ms_t);
static void execute_action(jj_gateway_node_t *, jj_action_t *, jj_ms_t);
static void send_message(jj_gateway_node_t *, const jj_action_t *);
static void
start_backend(jj_gateway_node_t *, const jj_backend_start_t *, jj_ms_t);
static void drop_exchange(jj_gateway_node_t *, uint64_t);
static void log_event(const jj_action_t *);

void
jj_gateway_post_request(
    jj_gateway_node_t *node, const jj_gateway_request_t *request)
{
	event_t *event = create_event(EVENT_REQUEST);

	event->request = *request;
	event->host = strdup(request->host);
	event->path = strdup(request->path);
	event->request.host = event->host;
	event->request.path = event->path;
	event->routes = jj_routes_retain(request->routes);
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_caller_disconnect(jj_gateway_node_t *node, uint64_t request)
{
	event_t *event = create_event(EVENT_CALLER_GONE);

	event->number = request;
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_backend(
    void *ctx, const jj_backend_event_t *backend, int status, jj_bytes_t *text)
{
	jj_gateway_node_t *node = ctx;
	event_t *event = create_event(EVENT_BACKEND);

	event->backend = *backend;
	event->status = status;
	if (text != NULL) {
		event->text = *text;
		memset(text, 0, sizeof(*text));
	}
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_message(void *ctx, jj_message_t *message)
{
	jj_gateway_node_t *node = ctx;
	event_t *event = create_event(EVENT_MESSAGE);

	event->message = message;
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_platform(void *ctx, jj_platform_result_t *result)
{
	jj_gateway_node_t *node = ctx;
	event_t *event = create_event(EVENT_PLATFORM);

	event->result = *result;
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_submission(jj_gateway_node_t *node, uint64_t operation,
    jj_inline_job_t *job, const jj_routes_t *routes)
{
	event_t *event = create_event(EVENT_OPERATION);

	event->operation = JJ_GATEWAY_SUBMIT;
	event->number = operation;
	event->job = *job;
	memset(job, 0, sizeof(*job));
	event->routes = jj_routes_retain(routes);
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_operation(jj_gateway_node_t *node, jj_gateway_operation_t kind,
    uint64_t operation, const jj_front_call_t *call)
{
	event_t *event = create_event(EVENT_OPERATION);

	event->operation = kind;
	event->number = operation;
	event->call = *call;
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_abandon(jj_gateway_node_t *node, uint64_t operation)
{
	event_t *event = create_event(EVENT_ABANDON);

	event->number = operation;
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_leave(jj_gateway_node_t *node, jj_ms_t end_ms)
{
	event_t *event = create_event(EVENT_LEAVE);

	event->end_ms = end_ms;
	jj_loop_post(node->loop, &event->task);
}

void
jj_gateway_post_end_requests(jj_gateway_node_t *node)
{
	jj_loop_post(node->loop, &create_event(EVENT_END_REQUESTS)->task);
}

jj_ms_t
jj_gateway_node_next(void *ctx)
{
	const jj_gateway_node_t *node = ctx;

	return jj_gateway_next(node->core);
}

void
jj_gateway_node_tick(void *ctx, jj_ms_t now)
{
	jj_gateway_node_t *node = ctx;
	jj_actions_t actions;

	TAILQ_INIT(&actions);
	jj_gateway_tick(node->core, now, &actions);
	execute_actions(node, &actions, now);
}

static event_t *
create_event(event_kind_t kind)
{
	event_t *event = jj_alloc(sizeof(*event));

	event->kind = kind;
	event->task.run = run_event;
	return event;
}

static void
run_event(jj_task_t *task, void *ctx, jj_ms_t now)
{
	event_t *event = (event_t *)task;
	jj_gateway_node_t *node = ctx;
	jj_actions_t actions;

	TAILQ_INIT(&actions);
	if (node != NULL) {
		handle_event(node, event, now, &actions);
		execute_actions(node, &actions, now);
	}
	free_event(event);
}

static void
handle_event(
    jj_gateway_node_t *node, event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_t *core = node->core;

	switch (event->kind) {
	case EVENT_REQUEST:
		jj_gateway_begin(core, &event->request, now, out);
		break;
	case EVENT_CALLER_GONE:
		jj_gateway_take_disconnect(core, event->number, now, out);
		drop_exchange(node, event->number);
		break;
	case EVENT_BACKEND:
		jj_gateway_take_backend_event(core, &event->backend,
		    event->status, &event->text, now, out);
		break;
	case EVENT_MESSAGE:
		jj_gateway_take_message(core, event->message, now, out);
		break;
	case EVENT_PLATFORM:
		jj_gateway_take_platform(core, &event->result, now, out);
		break;
	case EVENT_OPERATION:
		handle_operation(node, event, now, out);
		break;
	case EVENT_ABANDON:
		jj_inline_abandon(
		    jj_gateway_jobs(core, now, out), event->number);
		jj_gateway_drop_pending(node, event->number);
		break;
	case EVENT_LEAVE:
		jj_gateway_leave(core, event->end_ms, now, out);
		break;
	case EVENT_END_REQUESTS:
		jj_gateway_end_requests(core, now, out);
		break;
	}
}

static void
handle_operation(
    jj_gateway_node_t *node, event_t *event, jj_ms_t now, jj_actions_t *out)
{
	const jj_front_call_t *call = &event->call;
	jj_inline_t *jobs;

	if (event->operation == JJ_GATEWAY_SUBMIT) {
		jj_gateway_submit(node->core, event->number, &event->job,
		    event->routes, now, out);
		return;
	}
	jobs = jj_gateway_jobs(node->core, now, out);
	if (event->operation == JJ_GATEWAY_READ_RESULTS)
		jj_inline_read(jobs, event->number, call->job, call->after,
		    call->wait_ms, now, out);
	else if (event->operation == JJ_GATEWAY_READ_ITEM)
		jj_inline_read_item(
		    jobs, event->number, call->job, call->item, now, out);
	else
		jj_inline_end_job(jobs, event->number, call->job, now, out);
	jj_gateway_step(node->core, now, out);
}

static void
free_event(event_t *event)
{
	free(event->host);
	free(event->path);
	jj_routes_release(event->routes);
	jj_bytes_free(&event->text);
	if (event->message != NULL) {
		jj_message_clear(event->message);
		free(event->message);
	}
	jj_platform_result_clear(&event->result);
	jj_inline_job_clear(&event->job);
	free(event->call.item);
	free(event);
}

static void
execute_actions(jj_gateway_node_t *node, jj_actions_t *actions, jj_ms_t now)
{
	jj_inline_health_t health;
	jj_action_t *action;
	int table;

	while ((action = TAILQ_FIRST(actions)) != NULL) {
		TAILQ_REMOVE(actions, action, link);
		execute_action(node, action, now);
		jj_action_free(action);
	}
	health = jj_gateway_job_health(node->core);
	atomic_store(&node->stalled_jobs, health.stalled);
	atomic_store(&node->ownerless_jobs, health.ownerless);
	for (table = 0; table < JJ_TABLE_COUNT; table++)
		atomic_store(&node->table_times[table],
		    jj_gateway_table_time(node->core, (jj_table_t)table));
	jj_gateway_take_views(node, now);
	atomic_store(&node->idle, jj_gateway_is_idle(node->core));
	atomic_store(&node->ready, jj_gateway_is_ready(node->core));
	atomic_store(
	    &node->may_be_behind, jj_gateway_may_be_behind(node->core));
}

static void
execute_action(jj_gateway_node_t *node, jj_action_t *action, jj_ms_t now)
{
	switch (action->kind) {
	case JJ_ACTION_SEND:
		send_message(node, action);
		break;
	case JJ_ACTION_PLATFORM:
		jj_platform_start(node->platform, &action->body.platform);
		break;
	case JJ_ACTION_BACKEND_START:
		start_backend(node, &action->body.start, now);
		break;
	case JJ_ACTION_BACKEND_CANCEL:
		jj_stream_relay_cancel(node->relay, action->body.cancel.request,
		    action->body.cancel.attempt);
		break;
	case JJ_ACTION_ITEM_CANCEL:
		drop_exchange(node, action->body.cancel.request);
		break;
	case JJ_ACTION_ANSWER:
		jj_gateway_answer_request(node, &action->body.answer);
		break;
	case JJ_ACTION_JOB_ANSWER:
		jj_gateway_answer_operation(node, action->body.job.operation,
		    action->body.job.status, action->body.job.retry_after_ms,
		    &action->body.job.body);
		break;
	case JJ_ACTION_EVENT:
		log_event(action);
		break;
	default:
		break;
	}
}

static void
send_message(jj_gateway_node_t *node, const jj_action_t *action)
{
	const char *address =
	    jj_gateway_address(node->core, &action->body.send.to);

	if (address != NULL)
		jj_neighbours_send(node->neighbours, action->body.send.to.text,
		    address, action->body.send.message);
}

/** Starts an attempt, unless a later event has already ended it. */
static void
start_backend(
    jj_gateway_node_t *node, const jj_backend_start_t *start, jj_ms_t now)
{
	jj_gateway_attempt_t where;

	if (!jj_gateway_find_attempt(node->core, start->request, now, &where) ||
	    !jj_name_equal(&where.server, &start->server))
		return;
	if (where.item != NULL &&
	    !jj_stream_relay_has(node->relay, start->request))
		jj_gateway_add_item(
		    node, start->request, where.job, where.item);
	jj_stream_relay_start(
	    node->relay, start->request, start->attempt, &where);
}

/** Removes an exchange that no caller or job needs any more. */
static void
drop_exchange(jj_gateway_node_t *node, uint64_t request)
{
	jj_http_call_t *call = NULL;
	bool relayed;

	if (jj_stream_relay_take(node->relay, request, &call, &relayed) &&
	    call != NULL)
		jj_http_call_end_stream(call, true);
}

static void
log_event(const jj_action_t *action)
{
	const char *name = action->body.event.name;

	jj_counter_add(jj_metrics_counter("jujube_events_total",
			   "Events by name, as in the log.", "event", name),
	    1);
	jj_log(JJ_LOG_INFO, name, "%s", action->body.event.detail);
}
