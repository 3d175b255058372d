/**
 * @file gateway_front.c
 * @brief The HTTP interface of a VM that serves routes of a deployment.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/monotonic.h"
#include "core/event_stream.h"
#include "daemon/gateway_node.h"
#include "daemon/inlets.h"

/** Bit that is set in a call's context when it waits for an operation. */
#define CONTEXT_OPERATION (UINT64_C(1) << 63)

/** Of a body: the exchange's and the HTTP client's. */
#define BODY_COPIES 2
/** Of a submission: its items, their records and what is sent to the store. */
#define JOB_COPIES 3
/** While this VM stops, a body up to this size is read before the answer. */
#define SMALL_BODY_BYTES 65536
/** Retry-After for a key that may be in a newer configuration, ms. */
#define UNKNOWN_KEY_RETRY_MS 500
/** Upper bound of the time that a caller says it waits, ms. */
#define BUDGET_MAX_MS 86400000
/** How callers prove their team, as RFC 9110 requires with a 401. */
#define AUTHENTICATE "ApiKey realm=\"jujubeswitch\""

/** A caller, by the one version of the configuration that decides its call. */
typedef struct {
	const jj_routes_t *routes; /**< that version; a reference */
	jj_name_t team; /**< empty: none */
} caller_t;

/** State while the headers of a request are copied to its exchange. */
typedef struct {
	jj_gateway_node_t *node;
	jj_stream_exchange_t *exchange;
	const char *connection; /**< value of Connection, or NULL */
} header_copy_t;

/** State while the headers of a request are searched for a key. */
typedef struct {
	const char *name; /**< of the header */
	char *value; /**< of the first one, or NULL; owned */
	size_t count;
} key_search_t;

static bool on_headers(void *, jj_http_call_t *);
static void on_request(void *, jj_http_call_t *);
static void on_caller_disconnect(void *, jj_http_call_t *);
static void on_writable(void *, jj_http_call_t *);
static bool on_ready(void *, jj_http_call_t *);
static bool on_operator(void *, jj_http_call_t *);
static jj_http_server_t *
serve(jj_gateway_node_t *, const char *, const jj_http_port_t *);
static bool
is_hopeless(const jj_gateway_node_t *, jj_http_call_t *, const jj_routes_t *);
static bool is_ready_check(const jj_gateway_node_t *, const jj_http_call_t *);
static bool is_valid_head(const jj_gateway_node_t *, jj_http_call_t *);
static bool allow_caller(jj_gateway_node_t *, jj_http_call_t *, caller_t *);
static jj_access_t
check_access(const jj_gateway_node_t *, jj_http_call_t *, caller_t *);
static void
defer_caller(jj_gateway_node_t *, jj_http_call_t *, const jj_routes_t *);
static const jj_routes_t *take_routes(jj_gateway_node_t *);
static void find_key(void *, const char *, const char *);
static void scope_job(const jj_name_t *, char *, size_t);
static bool is_job_call(const jj_gateway_node_t *, jj_http_call_t *);
static void forward(jj_gateway_node_t *, jj_http_call_t *, const caller_t *);
static void submit(jj_gateway_node_t *, jj_http_call_t *, const caller_t *);
static uint64_t add_pending(jj_gateway_node_t *, jj_http_call_t *);
static jj_http_call_t *take_pending(jj_gateway_node_t *, uint64_t);
static void start_operation(jj_gateway_node_t *, jj_http_call_t *,
    jj_gateway_operation_t, const jj_front_call_t *);
static bool
is_job_submission(const jj_routes_t *, jj_http_call_t *, const char *);
static jj_ms_t read_budget(const char *);
static bool read_event_id(const char *, int64_t *);
static void copy_header(void *, const char *, const char *);
static bool is_listed(const char *, const char *);
static uint64_t fingerprint_of(const jj_http_call_t *);
static void answer(jj_gateway_node_t *, jj_http_call_t *, int, jj_ms_t,
    const char *, const jj_bytes_t *);
static int status_of(const jj_answer_t *);
static void answer_ready(jj_gateway_node_t *, jj_http_call_t *);

bool
jj_gateway_node_serve(jj_gateway_node_t *node)
{
	const jj_settings_t *settings = node->settings;
	jj_http_port_t callers = {node, on_request, NULL, NULL,
	    on_caller_disconnect, on_writable, on_headers};
	jj_http_port_t ready = {node, NULL, NULL, NULL, NULL, NULL, on_ready};
	jj_http_port_t operators = {
	    node, NULL, NULL, NULL, NULL, NULL, on_operator};
	jj_http_server_t *server;

	node->operators = serve(node, settings->listen_operators, &operators);
	if (node->operators == NULL)
		return false;
	if (settings->gateway_idle)
		return true;
	server = serve(node, settings->listen_callers, &callers);
	if (server == NULL)
		return false;
	(void)apr_thread_mutex_lock(node->lock);
	node->callers = server;
	jj_gateway_limit_callers(node, node->routes);
	(void)apr_thread_mutex_unlock(node->lock);
	if (settings->listen_ready[0] == '\0')
		return true;
	node->ready_server = serve(node, settings->listen_ready, &ready);
	return node->ready_server != NULL;
}

void
jj_gateway_limit_callers(jj_gateway_node_t *node, const jj_routes_t *routes)
{
	const jj_settings_t *settings = node->settings;
	const jj_route_limits_t *limits = &routes->limits;
	jj_http_request_limits_t requests = {limits->head_bytes > 0
		? limits->head_bytes
		: settings->callers.header_bytes,
	    limits->body_bytes > 0 ? limits->body_bytes
				   : settings->callers.body_bytes,
	    limits->idle_ms > 0 ? limits->idle_ms : settings->callers.idle_ms};
	jj_http_guard_times_t times = {
	    limits->head_ms > 0 ? limits->head_ms : settings->callers.head_ms,
	    settings->callers.body_ms, requests.idle_ms};

	if (node->callers == NULL)
		return;
	jj_http_server_set_limits(node->callers, &requests);
	jj_http_guard_set_times(node->guard, &times);
}

static jj_http_server_t *
serve(jj_gateway_node_t *node, const char *address, const jj_http_port_t *port)
{
	jj_http_limits_t limits = jj_inlets_limits(node->settings, address);
	jj_http_share_t share = {node->guard, BODY_COPIES, 0};

	return jj_http_server_create_guarded(&limits, port, &share);
}

void
jj_gateway_answer_request(jj_gateway_node_t *node, const jj_answer_t *given)
{
	jj_http_call_t *call = NULL;
	bool relayed = false;

	if (jj_stream_relay_forward_error(
		node->relay, given->request, given->run == JJ_RUN_NOT_RUN))
		return;
	if (!jj_stream_relay_take(
		node->relay, given->request, &call, &relayed) ||
	    call == NULL)
		return;
	/* A response that has begun can only be cut off, never completed. */
	if (relayed)
		jj_http_call_end_stream(call, true);
	else
		answer(node, call, status_of(given), given->retry_after_ms,
		    "text/plain", NULL);
}

void
jj_gateway_answer_operation(jj_gateway_node_t *node, uint64_t operation,
    int status, jj_ms_t retry_after_ms, const jj_bytes_t *body)
{
	jj_http_call_t *call = take_pending(node, operation);

	if (call != NULL)
		answer(node, call, status, retry_after_ms, "application/json",
		    body);
}

void
jj_gateway_drop_pending(jj_gateway_node_t *node, uint64_t operation)
{
	jj_http_call_t *call = take_pending(node, operation);

	if (call != NULL)
		jj_http_call_end_stream(call, true);
}

void
jj_gateway_answer_pending(jj_gateway_node_t *node)
{
	GList *calls;
	GList *call;

	(void)apr_thread_mutex_lock(node->lock);
	calls = g_hash_table_get_values(node->pending);
	g_hash_table_remove_all(node->pending);
	(void)apr_thread_mutex_unlock(node->lock);
	for (call = calls; call != NULL; call = call->next)
		answer(node, call->data, 502, 0, "text/plain", NULL);
	g_list_free(calls);
}

void
jj_gateway_add_item(jj_gateway_node_t *node, uint64_t request,
    const jj_inline_job_t *job, const jj_inline_item_t *item)
{
	const jj_front_headers_t *names = &node->deployment->headers;
	jj_stream_exchange_t exchange = {0};
	const char *colon;
	char *name;
	size_t i;

	exchange.request = request;
	exchange.last_id = JJ_EVENT_NO_ID;
	exchange.id = strdup(item->id);
	exchange.method = strdup("POST");
	exchange.uri = strdup(item->path);
	exchange.body = jj_bytes_copy(item->body.data, item->body.size);
	jj_stream_exchange_add_header(&exchange, "Host", job->host);
	jj_stream_exchange_add_header(&exchange, names->request_id, item->id);
	if (!jj_name_is_empty(&job->team))
		jj_stream_exchange_add_header(
		    &exchange, names->team, job->team.text);
	for (i = 0; i < item->header_count; i++) {
		colon = strchr(item->headers[i], ':');
		if (colon == NULL)
			continue;
		name = strndup(
		    item->headers[i], (size_t)(colon - item->headers[i]));
		colon++;
		colon += strspn(colon, " ");
		if (strcasecmp(name, names->request_id) != 0 &&
		    strcasecmp(name, names->deadline_ms) != 0 &&
		    strcasecmp(name, names->target) != 0 &&
		    strcasecmp(name, names->key) != 0 &&
		    strcasecmp(name, names->team) != 0 &&
		    strcasecmp(name, "Host") != 0 &&
		    !jj_stream_relay_is_hop_header(name))
			jj_stream_exchange_add_header(&exchange, name, colon);
		free(name);
	}
	jj_stream_relay_add(node->relay, &exchange);
}

/** Takes a request whose head alone decides its answer. */
static bool
on_headers(void *ctx, jj_http_call_t *call)
{
	jj_gateway_node_t *node = ctx;
	int64_t length = jj_http_call_length(call);
	caller_t caller;
	bool hopeless;

	if (atomic_load(&node->rejecting)) {
		if (length >= 0 && length <= SMALL_BODY_BYTES)
			return false;
		answer(node, call, 503, JJ_GATEWAY_STOPPING_RETRY_MS,
		    "text/plain", NULL);
		return true;
	}
	if (!allow_caller(node, call, &caller))
		return true;
	hopeless = length != 0 && is_hopeless(node, call, caller.routes);
	if (hopeless)
		forward(node, call, &caller);
	jj_routes_release(caller.routes);
	return hopeless;
}

/** True if a request is refused by this version, whatever its body is. */
static bool
is_hopeless(const jj_gateway_node_t *node, jj_http_call_t *call,
    const jj_routes_t *routes)
{
	bool is_post = strcmp(jj_http_call_method(call), "POST") == 0;
	const char *path = jj_http_call_path(call);
	const jj_route_t *route;

	if (is_job_call(node, call) || is_ready_check(node, call))
		return false;
	if (!is_valid_head(node, call))
		return true;
	route =
	    jj_routes_match(routes, jj_http_call_header(call, "Host"), path);
	return route == NULL || (route->kind == JJ_ROUTE_BATCH && !is_post);
}

/** True for a check of readiness at the callers' address. */
static bool
is_ready_check(const jj_gateway_node_t *node, const jj_http_call_t *call)
{
	return node->settings->listen_ready[0] == '\0' &&
	    strcmp(jj_http_call_path(call), node->deployment->ready_path) == 0;
}

/** True if a request has a host and valid fields. */
static bool
is_valid_head(const jj_gateway_node_t *node, jj_http_call_t *call)
{
	const char *last =
	    jj_http_call_header(call, node->deployment->headers.last_event_id);
	int64_t id;

	return jj_http_call_header(call, "Host") != NULL &&
	    read_event_id(last, &id) &&
	    strchr(jj_http_call_uri(call), '#') == NULL;
}

/**
 * Finds the caller's team; answers the call when it proves none.
 * @param caller its routes are to be released if it is allowed.
 */
static bool
allow_caller(jj_gateway_node_t *node, jj_http_call_t *call, caller_t *caller)
{
	/* Read first: the routes are then at least as new. */
	bool may_be_behind = atomic_load(&node->may_be_behind);
	jj_access_t access;

	caller->routes = take_routes(node);
	access = check_access(node, call, caller);
	if (access == JJ_ACCESS_GRANTED ||
	    (access == JJ_ACCESS_ANONYMOUS && !may_be_behind))
		return true;
	if (access == JJ_ACCESS_DENIED && !may_be_behind) {
		jj_counter_add(jj_metrics_counter("jujube_keys_refused_total",
				   "Requests without a valid key.", NULL, NULL),
		    1);
		answer(node, call, 401, 0, "text/plain", NULL);
	} else {
		defer_caller(node, call, caller->routes);
	}
	jj_routes_release(caller->routes);
	return false;
}

/** Answers a caller whose team this VM may know later. */
static void
defer_caller(
    jj_gateway_node_t *node, jj_http_call_t *call, const jj_routes_t *routes)
{
	bool has_config = routes->version > 0;

	jj_counter_add(
	    jj_metrics_counter("jujube_callers_deferred_total",
		"Calls answered 503 as their team is not known yet.", "reason",
		has_config ? "key_unclear" : "no_configuration"),
	    1);
	answer(node, call, 503,
	    has_config ? UNKNOWN_KEY_RETRY_MS
		       : node->settings->gateway.retry_after_ms,
	    "text/plain", NULL);
}

static void
on_request(void *ctx, jj_http_call_t *call)
{
	jj_gateway_node_t *node = ctx;
	jj_front_call_t read;
	caller_t caller;

	/*
	 * Callers keep using open connections until this process exits, which
	 * would cut off a request that is accepted now. The request was not
	 * sent to a server, and another VM can take it at once.
	 */
	if (atomic_load(&node->rejecting)) {
		answer(node, call, 503, JJ_GATEWAY_STOPPING_RETRY_MS,
		    "text/plain", NULL);
		return;
	}
	/* Keys that were taken away while the body came count, too. */
	if (!allow_caller(node, call, &caller))
		return;
	node->deployment->read_call(call, &read);
	scope_job(&caller.team, read.job, sizeof(read.job));
	switch (read.kind) {
	case JJ_FRONT_READ_RESULTS:
		start_operation(node, call, JJ_GATEWAY_READ_RESULTS, &read);
		break;
	case JJ_FRONT_READ_ITEM:
		start_operation(node, call, JJ_GATEWAY_READ_ITEM, &read);
		break;
	case JJ_FRONT_END_JOB:
		start_operation(node, call, JJ_GATEWAY_END_JOB, &read);
		break;
	case JJ_FRONT_MALFORMED:
		answer(node, call, 400, 0, "text/plain", NULL);
		break;
	case JJ_FRONT_FORWARD:
		if (is_ready_check(node, call))
			answer_ready(node, call);
		else
			forward(node, call, &caller);
		break;
	}
	jj_routes_release(caller.routes);
}

static void
on_caller_disconnect(void *ctx, jj_http_call_t *call)
{
	jj_gateway_node_t *node = ctx;
	uint64_t number = (uint64_t)(uintptr_t)jj_http_call_context(call);

	if (number == 0)
		return;
	if ((number & CONTEXT_OPERATION) == 0)
		jj_gateway_post_caller_disconnect(node, number);
	else
		jj_gateway_post_abandon(node, number & ~CONTEXT_OPERATION);
}

static void
on_writable(void *ctx, jj_http_call_t *call)
{
	jj_gateway_node_t *node = ctx;
	uint64_t number = (uint64_t)(uintptr_t)jj_http_call_context(call);

	if (number != 0 && (number & CONTEXT_OPERATION) == 0)
		jj_stream_relay_resume(node->relay, number);
}

/** Answers at the head, as bodies mean nothing here. */
static bool
on_ready(void *ctx, jj_http_call_t *call)
{
	answer_ready(ctx, call);
	return true;
}

/** Answers at the head, as bodies mean nothing here. */
static bool
on_operator(void *ctx, jj_http_call_t *call)
{
	jj_gateway_node_t *node = ctx;
	const char *path = jj_http_call_path(call);
	const char *type = "application/json";
	jj_bytes_t text;

	if (strcmp(path, "/metrics") == 0) {
		jj_gateway_update_metrics(node);
		text = jj_metrics_text();
		type = "text/plain; version=0.0.4";
	} else if (strcmp(path, "/v1/shares") == 0) {
		text = jj_gateway_write_view(node, JJ_GATEWAY_VIEW_SHARES);
	} else if (strcmp(path, "/v1/outcomes") == 0) {
		text = jj_gateway_write_view(node, JJ_GATEWAY_VIEW_OUTCOMES);
	} else {
		answer_ready(node, call);
		return true;
	}
	answer(node, call, 200, 0, type, &text);
	jj_bytes_free(&text);
	return true;
}

/** Finds the caller's team by its key; empty when it needs none. */
static jj_access_t
check_access(
    const jj_gateway_node_t *node, jj_http_call_t *call, caller_t *caller)
{
	key_search_t key = {node->deployment->headers.key, NULL, 0};
	jj_routes_call_t request = {jj_http_call_header(call, "Host"),
	    jj_http_call_path(call), is_job_call(node, call), NULL, 0};
	jj_access_t access;

	if (is_ready_check(node, call)) {
		memset(&caller->team, 0, sizeof(caller->team));
		return JJ_ACCESS_GRANTED;
	}
	jj_http_call_each_header(call, find_key, &key);
	request.key = key.value;
	request.key_count = key.count;
	access = jj_routes_check_call(caller->routes, &request, &caller->team);
	g_free(key.value);
	return access;
}

/** Adds a reference to the version that is in force. */
static const jj_routes_t *
take_routes(jj_gateway_node_t *node)
{
	const jj_routes_t *routes;

	(void)apr_thread_mutex_lock(node->lock);
	routes = jj_routes_retain(node->routes);
	(void)apr_thread_mutex_unlock(node->lock);
	return routes;
}

static void
find_key(void *ctx, const char *name, const char *value)
{
	key_search_t *key = ctx;

	if (strcasecmp(name, key->name) != 0)
		return;
	/* libmicrohttpd keeps the spaces after a value. */
	if (key->count++ == 0)
		key->value = g_strchomp(g_strdup(value));
}

static bool
is_job_call(const jj_gateway_node_t *node, jj_http_call_t *call)
{
	jj_front_call_t read;

	node->deployment->read_call(call, &read);
	free(read.item);
	return read.kind != JJ_FRONT_FORWARD;
}

/** A call reaches only jobs of the caller's team. */
static void
scope_job(const jj_name_t *team, char *id, size_t size)
{
	char caller_id[JJ_INLINE_ID_MAX + 1];

	(void)snprintf(caller_id, sizeof(caller_id), "%s", id);
	if (caller_id[0] != '\0')
		jj_team_scope_id(team, caller_id, id, size);
}

static void
forward(jj_gateway_node_t *node, jj_http_call_t *call, const caller_t *caller)
{
	const jj_front_headers_t *names = &node->deployment->headers;
	const char *host = jj_http_call_header(call, "Host");
	const char *id = jj_http_call_header(call, names->request_id);
	const char *budget = jj_http_call_header(call, names->deadline_ms);
	const char *last = jj_http_call_header(call, names->last_event_id);
	const char *resumes = jj_http_call_header(call, names->resumes);
	const char *prompt = jj_http_call_header(call, names->prompt);
	const char *expects = jj_http_call_header(call, names->expects);
	jj_stream_exchange_t exchange = {0};
	jj_gateway_request_t request = {0};
	header_copy_t copy = {
	    node, &exchange, jj_http_call_header(call, "Connection")};

	if (!is_valid_head(node, call)) {
		answer(node, call, 400, 0, "text/plain", NULL);
		return;
	}
	if (is_job_submission(caller->routes, call, host)) {
		submit(node, call, caller);
		return;
	}
	(void)read_event_id(last, &exchange.last_id);
	request.request = jj_gateway_node_next_number(node);
	(void)snprintf(
	    request.id, sizeof(request.id), "%s", id != NULL ? id : "");
	request.routes = caller->routes;
	request.team = caller->team;
	request.host = host;
	request.path = jj_http_call_path(call);
	request.budget_ms = read_budget(budget);
	request.fingerprint = fingerprint_of(call);
	if (prompt != NULL)
		node->deployment->read_prompt(prompt, &request.prompt);
	if (expects != NULL)
		request.weights = strtoull(expects, NULL, 10);
	request.resumed = last != NULL;
	(void)snprintf(request.resumes, sizeof(request.resumes), "%s",
	    resumes != NULL ? resumes : "");
	exchange.request = request.request;
	exchange.call = call;
	exchange.id = strdup(id != NULL ? id : "");
	exchange.method = strdup(jj_http_call_method(call));
	exchange.uri = strdup(jj_http_call_uri(call));
	exchange.body = jj_http_call_take_body(call);
	jj_http_call_each_header(call, copy_header, &copy);
	if (!jj_name_is_empty(&caller->team))
		jj_stream_exchange_add_header(
		    &exchange, names->team, caller->team.text);
	jj_http_call_set_context(call, (void *)(uintptr_t)request.request);
	jj_stream_relay_add(node->relay, &exchange);
	jj_gateway_post_request(node, &request);
}

/** 0: none, or no such time. */
static jj_ms_t
read_budget(const char *text)
{
	long budget_ms = text != NULL ? strtol(text, NULL, 10) : 0;

	if (budget_ms < 0)
		return 0;
	return budget_ms < BUDGET_MAX_MS ? budget_ms : BUDGET_MAX_MS;
}

/**
 * Reads the id of the event after which a stream resumes.
 * @param id set to JJ_EVENT_NO_ID when there is none.
 * @return false when it is no event's id.
 */
static bool
read_event_id(const char *text, int64_t *id)
{
	char *end;

	*id = JJ_EVENT_NO_ID;
	if (text == NULL)
		return true;
	errno = 0;
	*id = strtoll(text, &end, 10);
	end += strspn(end, " \t");
	return end > text && *end == '\0' && errno == 0 && *id >= 0;
}

/** Copies end-to-end headers, except those that this VM sets itself. */
static void
copy_header(void *ctx, const char *name, const char *value)
{
	const header_copy_t *copy = ctx;
	const jj_front_headers_t *names = &copy->node->deployment->headers;

	if (jj_stream_relay_is_hop_header(name) ||
	    strcasecmp(name, names->deadline_ms) == 0 ||
	    strcasecmp(name, names->target) == 0 ||
	    strcasecmp(name, names->key) == 0 ||
	    strcasecmp(name, names->team) == 0 ||
	    strcasecmp(name, names->last_event_id) == 0 ||
	    is_listed(copy->connection, name))
		return;
	jj_stream_exchange_add_header(copy->exchange, name, value);
}

/** True when the value of the Connection header lists this header. */
static bool
is_listed(const char *connection, const char *name)
{
	size_t length = strlen(name);

	while (connection != NULL && *connection != '\0') {
		connection += strspn(connection, " ,\t");
		if (strncasecmp(connection, name, length) == 0 &&
		    strchr(" ,\t", connection[length]) != NULL)
			return true;
		connection += strcspn(connection, ",");
	}
	return false;
}

/** True when the call submits a job to a batch route. */
static bool
is_job_submission(
    const jj_routes_t *routes, jj_http_call_t *call, const char *host)
{
	const jj_route_t *route;

	if (strcmp(jj_http_call_method(call), "POST") != 0)
		return false;
	route = jj_routes_match(routes, host, jj_http_call_path(call));
	return route != NULL && route->kind == JJ_ROUTE_BATCH;
}

static void
submit(jj_gateway_node_t *node, jj_http_call_t *call, const caller_t *caller)
{
	size_t size = jj_http_call_body(call)->size;
	jj_inline_job_t job;
	const char *problem;
	jj_bytes_t text;

	if (!jj_http_call_hold(call, JOB_COPIES * size)) {
		answer(node, call, 503, node->settings->gateway.retry_after_ms,
		    "text/plain", NULL);
		return;
	}
	problem = node->deployment->read_job(call, &job);
	text = jj_http_call_take_body(call);
	jj_bytes_free(&text);
	if (problem != NULL) {
		text = jj_bytes_from_text(problem);
		answer(node, call, 400, 0, "text/plain", &text);
		jj_bytes_free(&text);
		return;
	}
	job.team = caller->team;
	scope_job(&job.team, job.id, sizeof(job.id));
	jj_gateway_post_submission(
	    node, add_pending(node, call), &job, caller->routes);
}

/** Removes the call that waits for an operation; NULL if there is none. */
static jj_http_call_t *
take_pending(jj_gateway_node_t *node, uint64_t operation)
{
	jj_http_call_t *call;

	(void)apr_thread_mutex_lock(node->lock);
	call = g_hash_table_lookup(node->pending, &operation);
	if (call != NULL)
		(void)g_hash_table_remove(node->pending, &operation);
	(void)apr_thread_mutex_unlock(node->lock);
	return call;
}

/** Adds a call to those that wait; returns the number of its operation. */
static uint64_t
add_pending(jj_gateway_node_t *node, jj_http_call_t *call)
{
	uint64_t operation = jj_gateway_node_next_number(node);
	gint64 *key = g_new(gint64, 1);

	*key = (gint64)operation;
	jj_http_call_set_context(
	    call, (void *)(uintptr_t)(operation | CONTEXT_OPERATION));
	(void)apr_thread_mutex_lock(node->lock);
	(void)g_hash_table_insert(node->pending, key, call);
	(void)apr_thread_mutex_unlock(node->lock);
	return operation;
}

static void
start_operation(jj_gateway_node_t *node, jj_http_call_t *call,
    jj_gateway_operation_t kind, const jj_front_call_t *read)
{
	jj_gateway_post_operation(node, kind, add_pending(node, call), read);
}

static uint64_t
fingerprint_of(const jj_http_call_t *call)
{
	const jj_bytes_t *body = jj_http_call_body(call);
	const char *uri = jj_http_call_uri(call);

	return jj_hash_bytes(body->data != NULL ? body->data : "", body->size,
	    jj_hash_bytes(uri, strlen(uri), 0));
}

/** Sends an answer of this VM; closes the connection while it stops. */
static void
answer(jj_gateway_node_t *node, jj_http_call_t *call, int status,
    jj_ms_t retry_after_ms, const char *content_type, const jj_bytes_t *body)
{
	jj_http_answer_t head = {status, content_type, {{NULL, NULL}}, NULL, 0};
	char seconds[32];
	size_t count = 0;

	if (retry_after_ms > 0 && (status == 429 || status == 503)) {
		(void)snprintf(seconds, sizeof(seconds), "%.3f",
		    (double)retry_after_ms / 1000);
		head.fields[count].name = "Retry-After";
		head.fields[count++].value = seconds;
	}
	if (status == 401) {
		head.fields[count].name = "WWW-Authenticate";
		head.fields[count++].value = AUTHENTICATE;
	}
	if (atomic_load(&node->leaving)) {
		head.fields[count].name = "Connection";
		head.fields[count++].value = "close";
	}
	jj_http_call_answer(call, &head, body != NULL ? body->data : NULL,
	    body != NULL ? body->size : 0);
}

static int
status_of(const jj_answer_t *given)
{
	if (given->run != JJ_RUN_NOT_RUN)
		return given->reason == JJ_FAILURE_DEADLINE ? 504 : 502;
	if (given->reason == JJ_FAILURE_TEAM_LIMIT ||
	    given->reason == JJ_FAILURE_OVER_SHARE)
		return 429;
	return given->reason == JJ_FAILURE_NO_SERVICE ? 404 : 503;
}

static void
answer_ready(jj_gateway_node_t *node, jj_http_call_t *call)
{
	bool ready = atomic_load(&node->ready) && !atomic_load(&node->leaving);

	answer(node, call, ready ? 200 : 503, 0, "text/plain", NULL);
}
