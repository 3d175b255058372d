/**
 * @file node_operators.c
 * @brief The operators' HTTP interface: configuration, state, metrics, traces.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "adapters/random.h"
#include "adapters/trace.h"
#include "daemon/answers.h"
#include "daemon/inlets.h"
#include "daemon/node.h"

/** Of a body: the call's, the loop's and the HTTP client's. */
#define BODY_COPIES 3

static void on_request(void *, jj_http_call_t *);
static void on_operator_gone(void *, jj_http_call_t *);
static void show_config(jj_node_t *, jj_http_call_t *);
static void
answer_config(jj_node_t *, jj_pending_t *, int, jj_ms_t, const jj_bytes_t *);
static void patch_config(jj_node_t *, jj_http_call_t *);
static void show_history(jj_node_t *, jj_http_call_t *);
static void show_metrics(jj_node_t *, jj_http_call_t *);
static void show_trace(jj_http_call_t *, const char *);
static void release_slot(jj_node_t *, jj_http_call_t *, const char *);
static void set_network_cuts(jj_node_t *, jj_http_call_t *);
static void drain(jj_node_t *, jj_http_call_t *);
static void refuse(jj_http_call_t *, int, const char *, const char *);

bool
jj_node_serve_operators(jj_node_t *node)
{
	const jj_settings_t *settings = node->settings;
	jj_http_limits_t limits =
	    jj_inlets_limits(settings, settings->listen_operators);
	jj_http_share_t share = {node->guard, BODY_COPIES, 0};
	jj_http_port_t port = {
	    node, on_request, NULL, NULL, on_operator_gone, NULL, NULL};

	limits.body_bytes = JJ_OBJECT_VALUE_MAX;
	node->operators = jj_http_server_create_guarded(&limits, &port, &share);
	return node->operators != NULL;
}

void
jj_node_answer_history(jj_node_t *node, const jj_platform_result_t *result)
{
	json_t *array = json_array();
	jj_bytes_t body;
	size_t i;

	for (i = 0; i < result->item_count; i++)
		(void)json_array_append_new(array,
		    json_loadb(result->items[i].value.data,
			result->items[i].value.size, 0, NULL));
	body.data = json_dumps(array, JSON_COMPACT);
	body.size = strlen(body.data);
	jj_node_answer_pending(node, result->token,
	    result->outcome == JJ_PLATFORM_OK ? 200 : 503, 0, &body);
	jj_bytes_free(&body);
	json_decref(array);
}

static void
on_request(void *ctx, jj_http_call_t *call)
{
	jj_node_t *node = ctx;
	const char *path = jj_http_call_path(call);
	const char *method = jj_http_call_method(call);
	jj_pending_t *pending;

	if (strcmp(path, "/v1/config") == 0 && strcmp(method, "GET") == 0) {
		show_config(node, call);
	} else if (strcmp(path, "/v1/config") == 0 &&
	    strcmp(method, "PATCH") == 0) {
		patch_config(node, call);
	} else if (strcmp(path, "/v1/config/history") == 0) {
		show_history(node, call);
	} else if (strcmp(path, "/v1/status") == 0) {
		pending = jj_node_add_pending(node, call, jj_node_answer_json);
		jj_node_post_simple(
		    node, JJ_EVENT_STATUS, pending->operation, 0);
	} else if (strcmp(path, "/metrics") == 0) {
		show_metrics(node, call);
	} else if (strncmp(path, "/v1/traces/", 11) == 0) {
		show_trace(call, path + 11);
	} else if (strncmp(path, "/v1/ledger/", 11) == 0 &&
	    strcmp(method, "POST") == 0) {
		release_slot(node, call, path + 11);
	} else if (strcmp(path, "/v1/faults") == 0 &&
	    strcmp(method, "POST") == 0) {
		set_network_cuts(node, call);
	} else if (strcmp(path, "/v1/drain") == 0 &&
	    strcmp(method, "POST") == 0) {
		drain(node, call);
	} else if (strcmp(path, "/ready") == 0) {
		jj_node_answer_ready(node, call);
	} else {
		refuse(call, 404, "unknown_path", "There is no such path.");
	}
}

/** Nothing to undo: pending answers to operators are small. */
static void
on_operator_gone(void *ctx, jj_http_call_t *call)
{
	(void)ctx;
	(void)call;
}

static void
show_config(jj_node_t *node, jj_http_call_t *call)
{
	jj_pending_t *pending = jj_node_add_pending(node, call, answer_config);

	jj_node_post_show_config(node, pending->operation);
}

static void
answer_config(jj_node_t *node, jj_pending_t *pending, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body)
{
	json_t *root =
	    body->size > 0 ? json_loadb(body->data, body->size, 0, NULL) : NULL;
	jj_http_answer_t answer = {
	    status, "application/json", {{NULL, NULL}}, NULL, 0};
	char etag[32];
	char *text;

	(void)node;
	(void)retry_after_ms;
	if (root == NULL) {
		refuse(pending->call, 503, "no_configuration",
		    "No configuration is known here yet.");
		return;
	}
	(void)snprintf(etag, sizeof(etag), "\"%lld\"",
	    (long long)json_integer_value(json_object_get(root, "version")));
	answer.fields[0].name = "ETag";
	answer.fields[0].value = etag;
	text = json_dumps(json_object_get(root, "document"), JSON_INDENT(2));
	jj_http_call_answer(pending->call, &answer, text != NULL ? text : "",
	    text != NULL ? strlen(text) : 0);
	free(text);
	json_decref(root);
}

static void
patch_config(jj_node_t *node, jj_http_call_t *call)
{
	const char *match = jj_http_call_header(call, "If-Match");
	const char *key = jj_http_call_header(call, "Idempotency-Key");
	const char *who = jj_http_call_header(call, "Jujube-Operator");
	const jj_bytes_t *body = jj_http_call_body(call);
	jj_pending_t *pending;
	uint64_t operation_key;
	char *end;
	uint64_t version;

	if (match == NULL) {
		refuse(call, 428, "if_match_required",
		    "Name the version this patch was made against: "
		    "If-Match: \"N\".");
		return;
	}
	if (*match == '"')
		match++;
	version = strtoull(match, &end, 10);
	if (end == match || (*end != '\0' && *end != '"')) {
		refuse(call, 400, "if_match",
		    "If-Match must be a version such as \"7\".");
		return;
	}
	operation_key =
	    key != NULL ? jj_hash_bytes(key, strlen(key), 1) : jj_random_u64();
	pending = jj_node_add_pending(node, call, jj_node_answer_json);
	jj_node_post_patch(node, pending->operation, operation_key,
	    who != NULL ? who : "unknown", version, body);
}

static void
show_history(jj_node_t *node, jj_http_call_t *call)
{
	const char *after = jj_http_call_query(call, "after");
	jj_pending_t *pending =
	    jj_node_add_pending(node, call, jj_node_answer_json);
	jj_platform_call_t list = {0};

	list.owner = JJ_OWNER_NONE;
	list.token = pending->operation;
	list.op = JJ_PLATFORM_LIST;
	(void)snprintf(list.key, sizeof(list.key), "config/history/");
	if (after != NULL)
		(void)snprintf(list.after, sizeof(list.after),
		    "config/history/%010llu~",
		    (unsigned long long)strtoull(after, NULL, 10));
	list.limit = 100;
	list.values = true;
	jj_platform_start(node->platform_bulk, &list);
}

static void
show_metrics(jj_node_t *node, jj_http_call_t *call)
{
	jj_http_answer_t answer = {
	    200, "text/plain; version=0.0.4", {{NULL, NULL}}, NULL, 0};
	jj_bytes_t text;

	jj_node_update_metrics(node);
	jj_inlets_update_metrics(node->guard);
	text = jj_metrics_text();
	jj_http_call_answer(call, &answer, text.data, text.size);
	jj_bytes_free(&text);
}

static void
show_trace(jj_http_call_t *call, const char *id)
{
	jj_bytes_t spans = jj_trace_find(id);

	jj_answer_json(call, 200, &spans, 0);
	jj_bytes_free(&spans);
}

/** Serves ledger/SLOT/release: confirms that the slot's VMs have failed. */
static void
release_slot(jj_node_t *node, jj_http_call_t *call, const char *rest)
{
	jj_pending_t *pending;
	char *end;
	unsigned long slot = strtoul(rest, &end, 10);

	if (strcmp(end, "/release") != 0 || slot >= JJ_LEDGER_SLOTS) {
		refuse(call, 404, "unknown_slot", "There is no such slot.");
		return;
	}
	pending = jj_node_add_pending(node, call, jj_node_answer_json);
	jj_node_post_simple(
	    node, JJ_EVENT_RELEASE, pending->operation, (uint32_t)slot);
}

/** Blocks traffic with the named neighbours, for failure tests only. */
static void
set_network_cuts(jj_node_t *node, jj_http_call_t *call)
{
	const jj_bytes_t *body = jj_http_call_body(call);
	jj_bytes_t answer = jj_bytes_from_text("{}");
	json_t *root;
	const char *name;
	json_t *cut;

	if (!node->settings->faults) {
		refuse(call, 403, "faults_disabled",
		    "Fault switches are off in this VM's settings.");
		jj_bytes_free(&answer);
		return;
	}
	root = json_loadb(body->data, body->size, 0, NULL);
	json_object_foreach(root, name, cut)
	{
		jj_neighbours_set_partitioned(
		    node->neighbours, name, json_is_true(cut));
	}
	json_decref(root);
	jj_answer_json(call, 200, &answer, 0);
	jj_bytes_free(&answer);
}

static void
drain(jj_node_t *node, jj_http_call_t *call)
{
	jj_bytes_t answer = jj_bytes_from_text("{\"leaving\":true}");

	jj_node_leave(node);
	jj_answer_json(call, 202, &answer, 0);
	jj_bytes_free(&answer);
}

static void
refuse(jj_http_call_t *call, int status, const char *code, const char *detail)
{
	jj_problem_t problem = {status, code, "The request is not valid.",
	    detail, NULL, status == 503 ? 1000 : 0};

	jj_answer_problem(call, &problem);
}
