/**
 * @file node_callers.c
 * @brief The callers' HTTP interface: completions, other services, batches.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "core/json_text.h"
#include "daemon/answers.h"
#include "daemon/inlets.h"
#include "daemon/node.h"

/** Bytes of a prompt block for prefix routing, as engines cache blocks. */
#define PREFIX_BLOCK_BYTES 256
/** Of a body: the call's, the relay's, the loop's and the HTTP client's. */
#define BODY_COPIES 4
/** Rough estimate of the bytes of text in one token. */
#define BYTES_PER_TOKEN 4
/** Tokens of an answer when the caller sets no max_tokens. */
#define DEFAULT_MAX_TOKENS 16
/** Longest deadline that a caller may set, ms. */
#define DEADLINE_MAX_MS 3600000

static void on_request(void *, jj_http_call_t *);
static bool is_upload(void *, const jj_http_call_t *);
static void on_caller_disconnect(void *, jj_http_call_t *);
static void on_writable(void *, jj_http_call_t *);
static void serve_model(jj_node_t *, jj_http_call_t *);
static void serve_service(jj_node_t *, jj_http_call_t *);
static void serve_batches(jj_node_t *, jj_http_call_t *);
static void serve_job(jj_node_t *, jj_http_call_t *, const char *);
static bool
read_common(jj_node_t *, jj_http_call_t *, jj_request_t *, jj_exchange_t *);
static bool read_model_body(jj_http_call_t *, jj_request_t *, jj_exchange_t *);
static jj_bytes_t join_prompt(const json_t *);
static void hash_prefixes(jj_request_t *, const jj_bytes_t *);
static void begin_exchange(jj_node_t *, jj_http_call_t *, jj_request_t *,
    jj_exchange_t *, const char *);
static void refuse(jj_http_call_t *, int, const char *, const char *);
static const char *team_of(const jj_http_call_t *);

bool
jj_node_serve_callers(jj_node_t *node)
{
	const jj_settings_t *settings = node->settings;
	jj_http_limits_t limits =
	    jj_inlets_limits(settings, settings->listen_callers);
	jj_http_share_t share = {node->guard, BODY_COPIES,
	    settings->intake.part_bytes * (settings->intake.parts_pending + 1) +
		settings->intake.line_bytes};
	jj_http_port_t port = {node, on_request, is_upload, jj_node_feed_upload,
	    on_caller_disconnect, on_writable, NULL};

	limits.threads = settings->shards;
	node->callers = jj_http_server_create_guarded(&limits, &port, &share);
	return node->callers != NULL;
}

static void
on_request(void *ctx, jj_http_call_t *call)
{
	jj_node_t *node = ctx;
	const char *path = jj_http_call_path(call);
	bool is_post = strcmp(jj_http_call_method(call), "POST") == 0;

	if (jj_node_is_upload(call))
		jj_node_finish_upload(node, call);
	else if (is_post &&
	    (strcmp(path, "/v1/completions") == 0 ||
		strcmp(path, "/v1/chat/completions") == 0))
		serve_model(node, call);
	else if (strncmp(path, "/services/", 10) == 0)
		serve_service(node, call);
	else if (strncmp(path, "/v1/batches", 11) == 0)
		serve_batches(node, call);
	else if (strcmp(path, "/ready") == 0 || strcmp(path, "/health") == 0)
		jj_node_answer_ready(node, call);
	else
		refuse(call, 404, "unknown_path", "There is no such path.");
}

static bool
is_upload(void *ctx, const jj_http_call_t *call)
{
	(void)ctx;
	return jj_node_is_upload(call);
}

static void
on_caller_disconnect(void *ctx, jj_http_call_t *call)
{
	jj_node_t *node = ctx;

	if (jj_node_is_upload(call))
		jj_node_abort_upload(node, call);
	else if (jj_node_is_results_call(call))
		jj_node_resume_results(node, call);
	else if (jj_relay_request_of(call) != 0)
		jj_node_post_caller_disconnect(node, jj_relay_request_of(call));
}

static void
on_writable(void *ctx, jj_http_call_t *call)
{
	jj_node_t *node = ctx;

	if (jj_node_is_results_call(call))
		jj_node_resume_results(node, call);
	else if (jj_relay_request_of(call) != 0)
		jj_relay_resume(node->relay, jj_relay_request_of(call));
}

void
jj_node_answer_ready(jj_node_t *node, jj_http_call_t *call)
{
	jj_problem_t problem = {
	    503, "stopping", "This VM is stopping.", NULL, "not_run", 1000};
	jj_bytes_t body = jj_bytes_from_text("{\"status\":\"ok\"}");

	if (!atomic_load(&node->ready)) {
		problem.code = "no_configuration";
		problem.title = "No configuration is known here yet.";
	}
	if (atomic_load(&node->leaving) || !atomic_load(&node->ready))
		jj_answer_problem(call, &problem);
	else
		jj_answer_json(call, 200, &body, 0);
	jj_bytes_free(&body);
}

static void
serve_model(jj_node_t *node, jj_http_call_t *call)
{
	jj_request_t request = {0};
	jj_exchange_t exchange = {0};

	if (!read_model_body(call, &request, &exchange) ||
	    !read_common(node, call, &request, &exchange))
		return;
	exchange.is_model = true;
	exchange.path = jj_bytes_from_text(jj_http_call_path(call));
	begin_exchange(
	    node, call, &request, &exchange, jj_http_call_path(call));
}

/** Forwards /services/NAME/REST to service NAME as /REST. */
static void
serve_service(jj_node_t *node, jj_http_call_t *call)
{
	const char *name = jj_http_call_path(call) + strlen("/services/");
	const char *rest = strchr(name, '/');
	jj_request_t request = {0};
	jj_exchange_t exchange = {0};
	size_t length = rest != NULL ? (size_t)(rest - name) : strlen(name);

	if (rest == NULL || length == 0 || length > JJ_NAME_MAX) {
		refuse(call, 404, "unknown_path",
		    "A service is called as /services/NAME/PATH.");
		return;
	}
	if (strcmp(jj_http_call_method(call), "POST") != 0) {
		refuse(call, 405, "method", "Services are called by POST.");
		return;
	}
	memcpy(request.service.text, name, length);
	if (!read_common(node, call, &request, &exchange))
		return;
	exchange.path = jj_bytes_from_text(rest);
	begin_exchange(node, call, &request, &exchange, rest);
}

/** Reads deadline, team, key and trace; answers 400 if one is malformed. */
static bool
read_common(jj_node_t *node, jj_http_call_t *call, jj_request_t *request,
    jj_exchange_t *exchange)
{
	const char *deadline = jj_http_call_header(call, "Jujube-Deadline-Ms");
	const char *key = jj_http_call_header(call, "Idempotency-Key");
	const char *parent = jj_http_call_header(call, "traceparent");
	jj_trace_parent_t trace;
	bool has_parent;
	char *end;
	long wait;

	if (deadline != NULL) {
		wait = strtol(deadline, &end, 10);
		if (*end != '\0' || wait <= 0 || wait > DEADLINE_MAX_MS) {
			refuse(call, 400, "deadline",
			    "Jujube-Deadline-Ms must be 1 to 3600000.");
			return false;
		}
		request->deadline_ms = jj_monotonic_now() + wait;
	}
	if (key != NULL && strlen(key) > JJ_IDEMPOTENCY_KEY_MAX) {
		refuse(call, 400, "key_too_long",
		    "Idempotency-Key must be at most 255 bytes.");
		return false;
	}
	if (!jj_name_set(&request->team, team_of(call))) {
		refuse(
		    call, 400, "team", "Jujube-Team must be at most 63 bytes.");
		return false;
	}
	(void)snprintf(
	    exchange->key, sizeof(exchange->key), "%s", key != NULL ? key : "");
	has_parent = parent != NULL && jj_trace_parse_parent(parent, &trace);
	jj_trace_begin(&exchange->span, has_parent ? &trace : NULL,
	    JJ_HOP_CALLER, jj_http_call_path(call), jj_unix_now_ns());
	request->request = jj_node_next_number(node);
	return true;
}

static bool
read_model_body(
    jj_http_call_t *call, jj_request_t *request, jj_exchange_t *exchange)
{
	const jj_bytes_t *body = jj_http_call_body(call);
	json_t *root =
	    jj_json_load_limited(body->data != NULL ? body->data : "",
		body->size, 0, JJ_JSON_VALUES_MAX);
	const char *model = json_string_value(json_object_get(root, "model"));
	const json_t *limit = json_object_get(root, "max_tokens");
	jj_bytes_t prompt;
	bool valid = false;

	if (root == NULL) {
		refuse(call, 400, "malformed_json",
		    "The body is not valid JSON, or has too many values.");
	} else if (model == NULL || !jj_name_set(&request->service, model)) {
		refuse(call, 400, "model",
		    "\"model\" must name a service, at most 63 bytes.");
	} else if (limit != NULL &&
	    (!json_is_integer(limit) || json_integer_value(limit) < 1 ||
		json_integer_value(limit) > 1000000)) {
		refuse(call, 400, "max_tokens",
		    "\"max_tokens\" must be a whole number, 1 to 1000000.");
	} else {
		valid = true;
		prompt = join_prompt(root);
		request->output_tokens = limit != NULL
		    ? (uint32_t)json_integer_value(limit)
		    : DEFAULT_MAX_TOKENS;
		request->prompt_tokens =
		    (uint32_t)(prompt.size / BYTES_PER_TOKEN);
		hash_prefixes(request, &prompt);
		jj_bytes_free(&prompt);
		exchange->streams =
		    json_is_true(json_object_get(root, "stream"));
	}
	json_decref(root);
	return valid;
}

/** Returns the prompt; of a chat, the messages joined by newlines. */
static jj_bytes_t
join_prompt(const json_t *root)
{
	const json_t *messages = json_object_get(root, "messages");
	const char *prompt = json_string_value(json_object_get(root, "prompt"));
	GString *text = g_string_new("");
	const json_t *message;
	const char *content;
	jj_bytes_t bytes;
	size_t i;

	if (prompt != NULL)
		(void)g_string_append(text, prompt);
	json_array_foreach(messages, i, message)
	{
		content =
		    json_string_value(json_object_get(message, "content"));
		if (i > 0)
			(void)g_string_append_c(text, '\n');
		if (content != NULL)
			(void)g_string_append(text, content);
	}
	bytes = jj_bytes_copy(text->str, text->len);
	(void)g_string_free(text, TRUE);
	return bytes;
}

/** Computes chained hashes of the prompt's full blocks. */
static void
hash_prefixes(jj_request_t *request, const jj_bytes_t *prompt)
{
	uint64_t chain = 0;
	size_t at;

	for (at = 0; at + PREFIX_BLOCK_BYTES <= prompt->size;
	     at += PREFIX_BLOCK_BYTES) {
		if (request->prefix_count == JJ_PREFIX_BLOCKS_MAX)
			return;
		chain =
		    jj_hash_bytes(prompt->data + at, PREFIX_BLOCK_BYTES, chain);
		request->prefix[request->prefix_count++] = chain;
	}
}

static void
begin_exchange(jj_node_t *node, jj_http_call_t *call, jj_request_t *request,
    jj_exchange_t *exchange, const char *path)
{
	const jj_bytes_t *body = jj_http_call_body(call);
	const char *key = jj_http_call_header(call, "Idempotency-Key");
	char trace[JJ_TRACE_PARENT_SIZE];
	uint64_t seed;

	seed = jj_hash_bytes(
	    request->service.text, strlen(request->service.text), 0);
	seed = jj_hash_bytes(path, strlen(path), seed);
	request->fingerprint = jj_hash_bytes(
	    body->data != NULL ? body->data : "", body->size, seed);
	exchange->request = request->request;
	exchange->kind = JJ_EXCHANGE_CALLER;
	exchange->call = call;
	exchange->service = request->service;
	exchange->deadline_ms = request->deadline_ms;
	exchange->body = jj_bytes_copy(body->data, body->size);
	(void)snprintf(exchange->operation_id, sizeof(exchange->operation_id),
	    "%s-%016llx-%llx", node->settings->name.text,
	    (unsigned long long)node->incarnation,
	    (unsigned long long)request->request);
	jj_trace_format_parent(&exchange->span, trace);
	jj_relay_add(node->relay, exchange);
	jj_node_post_request(node, request, key, path, body, trace);
}

static void
serve_batches(jj_node_t *node, jj_http_call_t *call)
{
	const char *path = jj_http_call_path(call) + strlen("/v1/batches");
	const char *method = jj_http_call_method(call);
	const char *after;
	jj_pending_t *pending;

	if (path[0] == '/') {
		serve_job(node, call, path + 1);
		return;
	}
	if (path[0] != '\0') {
		refuse(call, 404, "unknown_path", "There is no such path.");
		return;
	}
	if (strcmp(method, "POST") == 0 && atomic_load(&node->leaving)) {
		refuse(call, 503, "stopping", "This VM is stopping.");
		return;
	}
	pending = jj_node_add_pending(node, call, jj_node_answer_json);
	if (strcmp(method, "POST") == 0) {
		jj_node_post_job(node, JJ_JOB_SUBMIT, pending->operation, NULL,
		    team_of(call), jj_http_call_header(call, "Idempotency-Key"),
		    jj_http_call_body(call), 0);
		return;
	}
	after = jj_http_call_query(call, "after");
	jj_node_post_job(
	    node, JJ_JOB_LIST, pending->operation, after, NULL, NULL, NULL, 0);
}

/** Serves ID, ID/cancel and ID/results below /v1/batches/. */
static void
serve_job(jj_node_t *node, jj_http_call_t *call, const char *rest)
{
	bool is_post = strcmp(jj_http_call_method(call), "POST") == 0;
	char id[JJ_NAME_MAX + 1];
	size_t length = strcspn(rest, "/");
	jj_pending_t *pending;

	if (length > JJ_NAME_MAX) {
		refuse(call, 404, "unknown_job", "There is no such job.");
		return;
	}
	(void)snprintf(id, sizeof(id), "%.*s", (int)length, rest);
	rest += length;
	if (strcmp(rest, "/results") == 0) {
		jj_node_begin_results(node, call, id);
	} else if (strcmp(rest, "/cancel") == 0 && is_post) {
		pending = jj_node_add_pending(node, call, jj_node_answer_json);
		jj_node_post_job(node, JJ_JOB_CANCEL, pending->operation, id,
		    NULL, NULL, NULL, 0);
	} else if (rest[0] == '\0') {
		pending = jj_node_add_pending(node, call, jj_node_answer_json);
		jj_node_post_job(node, JJ_JOB_STATUS, pending->operation, id,
		    NULL, NULL, NULL, 0);
	} else {
		refuse(call, 404, "unknown_path", "There is no such path.");
	}
}

static void
refuse(jj_http_call_t *call, int status, const char *code, const char *detail)
{
	/* With a key, an earlier attempt may have run. */
	bool has_key = jj_http_call_header(call, "Idempotency-Key") != NULL;
	jj_problem_t problem = {status, code, "The request is not valid.",
	    detail, has_key ? "unknown" : "not_run", status == 503 ? 1000 : 0};

	jj_answer_problem(call, &problem);
}

static const char *
team_of(const jj_http_call_t *call)
{
	const char *team = jj_http_call_header(call, "Jujube-Team");

	return team != NULL ? team : "default";
}
