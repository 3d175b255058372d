/**
 * @file node_control.c
 * @brief The control loop: passes events to the core and executes its actions.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "daemon/node.h"

/** Interval at which the VM in charge checks a server's health and load. */
#define HEALTH_CHECK_MS 500
/** Interval of repeated checks of a server that may be crashing, ms. */
#define RECHECK_MS 20
/** A leaving server is checked for a restart once in so many intervals. */
#define LEAVING_CHECK_INTERVALS 10
/** Timeout of an attempt whose service is no longer configured, ms. */
#define FALLBACK_TIMEOUT_MS 30000

/** An event posted to the control loop; owns the data it points to. */
typedef struct {
	jj_task_t task;
	jj_event_t event;
	jj_message_t *message;
	jj_platform_result_t result;
	jj_bytes_t body;
	char *path;
	char key[JJ_IDEMPOTENCY_KEY_MAX + 1];
	char trace[JJ_TRACE_PARENT_SIZE];
	char operator_name[JJ_NAME_MAX + 1];
	jj_backend_answer_t response;
	jj_name_t server;
} event_task_t;

static void run_event(jj_task_t *, void *, jj_ms_t);
static void run_show_config(jj_task_t *, void *, jj_ms_t);
static void handle_event(jj_node_t *, const jj_event_t *, jj_ms_t);
static void execute_action(jj_node_t *, jj_action_t *, jj_ms_t);
static void send_message(jj_node_t *, jj_action_t *);
static void start_backend(jj_node_t *, const jj_backend_start_t *, jj_ms_t);
static void record_queue_span(const jj_exchange_t *);
static void add_call_exchange(jj_node_t *, jj_action_t *);
static void answer_patch(jj_node_t *, jj_action_t *);
static void adopt_config(jj_node_t *, uint64_t);
static void log_event(const jj_action_t *);
static void after_caller_gone(jj_node_t *, uint64_t);
static void publish_state(jj_node_t *, jj_ms_t);
static void check_servers(jj_node_t *, jj_ms_t);
static void check_unavailable_server(jj_node_t *, const jj_server_t *, jj_ms_t);
static event_task_t *create_task(jj_event_kind_t);
static void free_task(event_task_t *);

void
jj_node_post_request(jj_node_t *node, const jj_request_t *request,
    const char *key, const char *path, const jj_bytes_t *body,
    const char *trace)
{
	event_task_t *task = create_task(JJ_EVENT_REQUEST);

	task->event.body.request.request = *request;
	task->path = strdup(path);
	task->event.body.request.path = task->path;
	if (key != NULL) {
		(void)snprintf(task->key, sizeof(task->key), "%s", key);
		task->event.body.request.key = task->key;
		task->body = jj_bytes_copy(body->data, body->size);
		task->event.body.request.body = task->body;
	}
	(void)snprintf(task->trace, sizeof(task->trace), "%s", trace);
	task->event.body.request.trace = task->trace;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_caller_disconnect(jj_node_t *node, uint64_t request)
{
	event_task_t *task = create_task(JJ_EVENT_CALLER_DISCONNECTED);

	task->event.body.disconnected_request = request;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_message(jj_node_t *node, jj_message_t *message)
{
	event_task_t *task = create_task(JJ_EVENT_MESSAGE);

	task->message = message;
	task->event.body.message = message;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_platform(jj_node_t *node, jj_platform_result_t *result)
{
	event_task_t *task = create_task(JJ_EVENT_PLATFORM);

	task->result = *result;
	task->event.body.platform = &task->result;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_backend(jj_node_t *node, const jj_backend_event_t *event,
    jj_backend_answer_t *response, const jj_name_t *server, bool suspect)
{
	event_task_t *task = create_task(JJ_EVENT_BACKEND);
	char address[JJ_NAME_MAX + 1];

	task->event.body.backend.event = *event;
	task->server = *server;
	if (response != NULL) {
		task->response = *response;
		memset(&response->body, 0, sizeof(response->body));
		task->event.body.backend.status = task->response.status;
		task->event.body.backend.body = task->response.body;
	}
	suspect = suspect &&
	    jj_relay_address(
		node->relay, event->request, address, sizeof(address));
	if (suspect && event->kind != JJ_BACKEND_NOT_SENT) {
		jj_health_watch_defer_event(
		    node->health, server, address, task);
		return;
	}
	/*
	 * A request that was not sent, as its server was already down, must
	 * not count as a cause of the crash. Its event is posted before the
	 * health check reports the crash.
	 */
	jj_loop_post(node->control, &task->task);
	if (suspect)
		jj_health_watch_probe(node->health, server, address, false);
}

void
jj_node_post_deferred_event(void *ctx, void *deferred)
{
	jj_node_t *node = ctx;
	event_task_t *task = deferred;

	task->event.body.backend.event.probe_cut =
	    jj_health_watch_is_probe_cut(node->health, &task->server);
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_server(jj_node_t *node, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, bool crashed)
{
	event_task_t *task =
	    create_task(crashed ? JJ_EVENT_CRASH : JJ_EVENT_SERVER);

	task->event.body.server.server = *server;
	task->event.body.server.boot = boot;
	task->event.body.server.state = state;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_report(jj_node_t *node, const jj_name_t *server, uint32_t running,
    uint32_t waiting, jj_ms_t age_ms)
{
	event_task_t *task = create_task(JJ_EVENT_REPORT);

	task->event.body.report.server = *server;
	task->event.body.report.running = running;
	task->event.body.report.waiting = waiting;
	task->event.body.report.age_ms = age_ms;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_order_answer(jj_node_t *node, const jj_name_t *server,
    uint64_t order, int status, jj_ms_t retry_after_ms)
{
	event_task_t *task = create_task(JJ_EVENT_ORDER_ANSWER);

	task->event.body.ordered.server = *server;
	task->event.body.ordered.order = order;
	task->event.body.ordered.status = status;
	task->event.body.ordered.retry_after_ms = retry_after_ms;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_patch(jj_node_t *node, uint64_t operation, uint64_t operation_key,
    const char *operator_name, uint64_t base_version, const jj_bytes_t *patch)
{
	event_task_t *task = create_task(JJ_EVENT_PATCH);

	task->body = jj_bytes_copy(patch->data, patch->size);
	(void)snprintf(task->operator_name, sizeof(task->operator_name), "%s",
	    operator_name);
	task->event.body.patch.operation = operation;
	task->event.body.patch.operation_key = operation_key;
	task->event.body.patch.operator_name = task->operator_name;
	task->event.body.patch.base_version = base_version;
	task->event.body.patch.patch = task->body;
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_simple(
    jj_node_t *node, jj_event_kind_t kind, uint64_t operation, uint32_t slot)
{
	event_task_t *task = create_task(kind);

	if (kind == JJ_EVENT_RELEASE) {
		task->event.body.release.operation = operation;
		task->event.body.release.slot = slot;
	} else {
		task->event.body.operation = operation;
	}
	jj_loop_post(node->control, &task->task);
}

void
jj_node_post_show_config(jj_node_t *node, uint64_t operation)
{
	event_task_t *task = create_task(JJ_EVENT_STATUS);

	task->event.body.operation = operation;
	task->task.run = run_show_config;
	jj_loop_post(node->control, &task->task);
}

jj_ms_t
jj_node_control_next(void *ctx)
{
	const jj_node_t *node = ctx;
	jj_ms_t next = jj_core_next(node->core);

	if (jj_health_watch_has_cut_probe(node->health) &&
	    node->next_recheck_ms < next)
		next = node->next_recheck_ms;
	return next < node->next_health_check_ms ? next
						 : node->next_health_check_ms;
}

void
jj_node_control_tick(void *ctx, jj_ms_t now)
{
	jj_node_t *node = ctx;
	jj_event_t event = {.kind = JJ_EVENT_TICK};

	handle_event(node, &event, now);
	if (now >= node->next_recheck_ms) {
		node->next_recheck_ms = now + RECHECK_MS;
		jj_health_watch_retry_probes(node->health);
	}
	if (now >= node->next_health_check_ms) {
		node->next_health_check_ms = now + HEALTH_CHECK_MS;
		check_servers(node, now);
	}
}

static void
run_event(jj_task_t *base, void *ctx, jj_ms_t now)
{
	jj_node_t *node = ctx;
	event_task_t *task = (event_task_t *)base;
	const jj_backend_event_t *backend = &task->event.body.backend.event;

	if (node == NULL) {
		free_task(task);
		return;
	}
	if (task->event.kind == JJ_EVENT_MESSAGE &&
	    task->message->kind == JJ_MESSAGE_CALL_ANSWER)
		jj_node_end_hop(node, &task->message->body.call_answer);
	handle_event(node, &task->event, now);
	if (task->event.kind == JJ_EVENT_BACKEND &&
	    (backend->kind == JJ_BACKEND_DONE ||
		backend->kind == JJ_BACKEND_REJECTED))
		jj_node_finish_response(node, backend->request,
		    backend->kind == JJ_BACKEND_REJECTED, &task->response);
	else if (task->event.kind == JJ_EVENT_CALLER_DISCONNECTED)
		after_caller_gone(node, task->event.body.disconnected_request);
	else if (task->event.kind == JJ_EVENT_RELEASE)
		jj_node_answer_pending(node, task->event.body.release.operation,
		    202, 0, &task->body);
	free_task(task);
}

static void
run_show_config(jj_task_t *base, void *ctx, jj_ms_t now)
{
	jj_node_t *node = ctx;
	event_task_t *task = (event_task_t *)base;
	const jj_bytes_t *object = NULL;
	jj_bytes_t none = {NULL, 0};

	(void)now;
	if (node == NULL) {
		free_task(task);
		return;
	}
	object = jj_config_object(jj_core_config(node->core));
	jj_node_answer_pending(node, task->event.body.operation,
	    object != NULL ? 200 : 503, 0, object != NULL ? object : &none);
	free_task(task);
}

static void
handle_event(jj_node_t *node, const jj_event_t *event, jj_ms_t now)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_action_t *action;

	jj_core_handle(node->core, event, now, &actions);
	while ((action = TAILQ_FIRST(&actions)) != NULL) {
		TAILQ_REMOVE(&actions, action, link);
		execute_action(node, action, now);
		jj_action_free(action);
	}
	publish_state(node, now);
}

static void
execute_action(jj_node_t *node, jj_action_t *action, jj_ms_t now)
{
	switch (action->kind) {
	case JJ_ACTION_SEND:
		send_message(node, action);
		break;
	case JJ_ACTION_PLATFORM:
		jj_platform_start(
		    node->platform_control, &action->body.platform);
		break;
	case JJ_ACTION_BACKEND_START:
		start_backend(node, &action->body.start, now);
		break;
	case JJ_ACTION_BACKEND_CANCEL:
		jj_relay_cancel(node->relay, action->body.cancel.request,
		    action->body.cancel.attempt);
		break;
	case JJ_ACTION_ANSWER:
		jj_node_finish_failed(node, &action->body.answer);
		break;
	case JJ_ACTION_CALL_ANSWER:
		jj_node_finish_call(
		    node, action->body.call.call, &action->body.call.answer);
		break;
	case JJ_ACTION_CALL_READY:
		add_call_exchange(node, action);
		break;
	case JJ_ACTION_CONFIG_ANSWER:
		answer_patch(node, action);
		break;
	case JJ_ACTION_CONFIG_ADOPTED:
		adopt_config(node, action->body.adopted.version);
		break;
	case JJ_ACTION_JOB_ANSWER:
		jj_node_answer_pending(node, action->body.job.operation,
		    action->body.job.status, action->body.job.retry_after_ms,
		    &action->body.job.body);
		break;
	case JJ_ACTION_JOB_CHANGED:
		jj_node_post_job_change(node, action->body.job_change.key,
		    action->body.job_change.version);
		break;
	case JJ_ACTION_VM_LOST: {
		char writer[JJ_NAME_MAX + 20];

		jj_core_write_writer(&action->body.lost.name,
		    action->body.lost.incarnation, writer, sizeof(writer));
		jj_node_post_vm_lost(node, writer);
		break;
	}
	case JJ_ACTION_ORDER:
		jj_node_send_order(node, action);
		break;
	case JJ_ACTION_EVENT:
		log_event(action);
		break;
	case JJ_ACTION_ITEM_READY:
	case JJ_ACTION_ITEM_CANCEL:
		break;
	}
}

static void
send_message(jj_node_t *node, jj_action_t *action)
{
	const char *address =
	    jj_core_address(node->core, &action->body.send.to);

	if (address == NULL || address[0] == '\0')
		return;
	if (action->body.send.message->kind == JJ_MESSAGE_CALL)
		jj_node_begin_hop(node, &action->body.send.to,
		    &action->body.send.message->body.call);
	jj_neighbours_send(node->neighbours, action->body.send.to.text, address,
	    action->body.send.message);
}

static void
start_backend(jj_node_t *node, const jj_backend_start_t *start, jj_ms_t now)
{
	const jj_server_t *server =
	    jj_fleet_find(jj_core_fleet(node->core), &start->server);
	const jj_service_t *service;
	jj_exchange_t exchange;
	jj_ms_t timeout = FALLBACK_TIMEOUT_MS;
	bool idempotent = false;

	if (!jj_relay_find(node->relay, start->request, &exchange))
		return;
	service = jj_config_service(
	    jj_core_config(node->core), exchange.service.text);
	if (service != NULL) {
		timeout = service->timeout_ms;
		idempotent = service->idempotent;
	}
	if (exchange.deadline_ms != 0 && exchange.deadline_ms - now < timeout)
		timeout = exchange.deadline_ms - now;
	if (timeout < 1)
		timeout = 1;
	if (start->attempt == 1)
		record_queue_span(&exchange);
	jj_relay_start(node->relay, start,
	    server != NULL ? server->address : "127.0.0.1:1", timeout,
	    idempotent);
}

/** Records the span between a request's head and its first attempt. */
static void
record_queue_span(const jj_exchange_t *exchange)
{
	jj_trace_parent_t parent = jj_trace_as_parent(&exchange->span);
	jj_span_t span;

	jj_trace_begin(
	    &span, &parent, JJ_HOP_QUEUE, "queue", exchange->span.start_ns);
	jj_trace_end(&span, false, jj_unix_now_ns());
}

/** Adds the exchange of a call that the ledger allows to run. */
static void
add_call_exchange(jj_node_t *node, jj_action_t *action)
{
	jj_exchange_t exchange = {0};
	jj_trace_parent_t parent;
	bool has_parent =
	    jj_trace_parse_parent(action->body.item.trace, &parent);

	exchange.request = action->body.item.item;
	exchange.kind = JJ_EXCHANGE_LEDGER_CALL;
	exchange.service = action->body.item.service;
	exchange.deadline_ms = action->body.item.due_ms;
	exchange.path = action->body.item.path;
	exchange.body = action->body.item.body;
	memset(&action->body.item.path, 0, sizeof(jj_bytes_t));
	memset(&action->body.item.body, 0, sizeof(jj_bytes_t));
	(void)snprintf(
	    exchange.key, sizeof(exchange.key), "%s", action->body.item.key);
	(void)snprintf(exchange.operation_id, sizeof(exchange.operation_id),
	    "%s-run-%llx", node->settings->name.text,
	    (unsigned long long)(exchange.request & ~JJ_REQUEST_INTERNAL));
	jj_trace_begin(&exchange.span, has_parent ? &parent : NULL, JJ_HOP_HOME,
	    "call_home", jj_unix_now_ns());
	jj_relay_add(node->relay, &exchange);
}

static void
answer_patch(jj_node_t *node, jj_action_t *action)
{
	json_t *root = json_pack("{s:I,s:i}", "version",
	    (json_int_t)action->body.config.version, "status",
	    action->body.config.status);
	jj_bytes_t body;

	if (action->body.config.detail.size > 0)
		(void)json_object_set_new(root, "detail",
		    json_stringn(action->body.config.detail.data,
			action->body.config.detail.size));
	body.data = json_dumps(root, JSON_COMPACT);
	body.size = strlen(body.data);
	jj_node_answer_pending(node, action->body.config.operation,
	    action->body.config.status, action->body.config.retry_after_ms,
	    &body);
	jj_bytes_free(&body);
	json_decref(root);
}

static void
adopt_config(jj_node_t *node, uint64_t version)
{
	const jj_service_t *services;
	jj_node_service_t *known;
	size_t count;
	size_t i;

	services = jj_config_services(jj_core_config(node->core), &count);
	if (count > JJ_NODE_SERVICES_MAX)
		count = JJ_NODE_SERVICES_MAX;
	known = jj_alloc((count + 1) * sizeof(*known));
	for (i = 0; i < count; i++) {
		known[i].name = services[i].name;
		known[i].idempotent = services[i].idempotent;
	}
	jj_node_post_services(node, known, count);
	free(known);
	atomic_store(&node->ready, true);
	jj_log(JJ_LOG_INFO, "config_adopted", "version=%llu",
	    (unsigned long long)version);
}

static void
log_event(const jj_action_t *action)
{
	jj_log(JJ_LOG_INFO, action->body.event.name, "%s",
	    action->body.event.detail);
	jj_node_count_event(action->body.event.name);
}

/**
 * Drops the exchange of a caller that disconnected. A non-idempotent call with
 * a key still completes at its home VM, which keeps the outcome for a retry.
 */
static void
after_caller_gone(jj_node_t *node, uint64_t request)
{
	const jj_service_t *service;
	jj_exchange_t exchange;

	if (!jj_relay_find(node->relay, request, &exchange))
		return;
	service = jj_config_service(
	    jj_core_config(node->core), exchange.service.text);
	if (exchange.key[0] != '\0' && service != NULL && !service->idempotent)
		return;
	jj_node_drop_exchange(node, request);
}

/** Sends changed batch shares to the batch loop and updates core_idle. */
static void
publish_state(jj_node_t *node, jj_ms_t now)
{
	jj_batch_share_t shares[JJ_NODE_SERVICES_MAX];
	uint32_t count;

	memset(shares, 0, sizeof(shares));
	count =
	    jj_core_batch_shares(node->core, shares, JJ_NODE_SERVICES_MAX, now);
	if (count != node->reported_share_count ||
	    memcmp(shares, node->reported_shares, count * sizeof(shares[0])) !=
		0) {
		node->reported_share_count = count;
		memcpy(
		    node->reported_shares, shares, count * sizeof(shares[0]));
		jj_node_post_shares(node, shares, count);
	}
	atomic_store(&node->core_idle, jj_core_is_idle(node->core));
}

/**
 * Starts health checks. Each server is checked by one VM of its failure domain;
 * servers that this VM found down or leaving are checked by this VM as well.
 */
static void
check_servers(jj_node_t *node, jj_ms_t now)
{
	const jj_fleet_t *fleet = jj_core_fleet(node->core);
	const jj_service_t *service;
	const jj_server_t *servers;
	jj_name_t checker;
	uint64_t item;
	size_t count;
	size_t i;
	bool is_model;

	servers = jj_fleet_list(fleet, &count);
	for (i = 0; i < count; i++) {
		if (servers[i].state == JJ_SERVER_DOWN)
			check_unavailable_server(node, &servers[i], now);
		else if (servers[i].state == JJ_SERVER_LEAVING &&
		    now / HEALTH_CHECK_MS % LEAVING_CHECK_INTERVALS ==
			(jj_ms_t)i % LEAVING_CHECK_INTERVALS)
			check_unavailable_server(node, &servers[i], now);
		if (!jj_name_equal(&servers[i].domain, &node->settings->domain))
			continue;
		item = jj_hash_bytes(
		    servers[i].name.text, strlen(servers[i].name.text), 0);
		if (!jj_member_choose(jj_core_member(node->core),
			&node->settings->domain, item, &checker) ||
		    !jj_name_equal(&checker, &node->settings->name))
			continue;
		service = jj_config_service(
		    jj_core_config(node->core), servers[i].service.text);
		is_model = service != NULL && service->kind == JJ_SERVICE_MODEL;
		jj_health_watch_probe(node->health, &servers[i].name,
		    servers[i].address, is_model);
	}
}

/**
 * Checks a server that this VM found down or leaving. Only a health check by
 * this VM marks it up again: a neighbour may reach it when this VM does not.
 * The interval doubles while the server stays down (fleet.h).
 */
static void
check_unavailable_server(
    jj_node_t *node, const jj_server_t *server, jj_ms_t now)
{
	if (now >= server->down_until_ms)
		jj_health_watch_probe(
		    node->health, &server->name, server->address, false);
}

static event_task_t *
create_task(jj_event_kind_t kind)
{
	event_task_t *task = jj_alloc(sizeof(*task));

	task->task.run = run_event;
	task->event.kind = kind;
	return task;
}

static void
free_task(event_task_t *task)
{
	if (task->message != NULL) {
		jj_message_clear(task->message);
		free(task->message);
	}
	jj_platform_result_clear(&task->result);
	jj_bytes_free(&task->body);
	jj_bytes_free(&task->response.body);
	free(task->path);
	free(task);
}
