/**
 * @file platform.c
 * @brief Carries out the core's platform calls over HTTP.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "adapters/monotonic.h"
#include "adapters/platform.h"
#include "adapters/trace.h"

/** Largest answer kept, bytes: a list with values may be large. */
#define ANSWER_MAX (64U << 20)
/** First room for an answer, bytes. */
#define ANSWER_FIRST 4096

struct jj_platform {
	jj_http_client_t *http;
	char address[JJ_NAME_MAX + 1];
	char client_header[JJ_NAME_MAX + 32];
	jj_ms_t timeout_ms;
	jj_platform_done_t done;
	void *ctx;
	atomic_uint_fast64_t calls;
};

typedef struct {
	jj_platform_t *platform;
	jj_platform_result_t result;
	char *answer;
	size_t size;
	size_t room;
	bool too_large;
	jj_span_t span; /**< the hop to the platform */
} exchange_t;

static void build_path(const jj_platform_call_t *, char *, size_t);
static const char *method_of(jj_platform_op_t);
static jj_http_flow_t on_data(void *, const char *, size_t);
static void on_end(void *, jj_http_end_t, const jj_http_head_t *);
static jj_platform_outcome_t
judge(const exchange_t *, jj_http_end_t, const jj_http_head_t *);
static void take_answer(exchange_t *, const jj_http_head_t *);
static bool take_items(jj_platform_result_t *, const char *, size_t);
static void take_item(jj_platform_item_t *, const json_t *);
static uint64_t version_of(const char *);

jj_platform_t *
jj_platform_create(const char *address, const char *client_name,
    jj_ms_t timeout_ms, jj_platform_done_t done, void *ctx)
{
	jj_platform_t *platform = jj_alloc(sizeof(*platform));

	(void)snprintf(
	    platform->address, sizeof(platform->address), "%s", address);
	(void)snprintf(platform->client_header, sizeof(platform->client_header),
	    "Jujube-Client: %s", client_name);
	platform->timeout_ms = timeout_ms;
	platform->done = done;
	platform->ctx = ctx;
	platform->http = jj_http_client_create();
	if (platform->http == NULL) {
		free(platform);
		return NULL;
	}
	return platform;
}

void
jj_platform_destroy(jj_platform_t *platform)
{
	if (platform == NULL)
		return;
	jj_http_client_destroy(platform->http);
	free(platform);
}

void
jj_platform_start(jj_platform_t *platform, jj_platform_call_t *call)
{
	exchange_t *exchange = jj_alloc(sizeof(*exchange));
	jj_http_request_t request = {0};
	char path[1024];
	char match[64];

	exchange->platform = platform;
	exchange->result.owner = call->owner;
	exchange->result.token = call->token;
	exchange->result.op = call->op;
	build_path(call, path, sizeof(path));
	jj_trace_begin(&exchange->span, NULL, JJ_HOP_PLATFORM,
	    method_of(call->op), jj_unix_now_ns());
	jj_trace_set(&exchange->span, "key", call->key);
	request.method = method_of(call->op);
	request.address = platform->address;
	request.path = path;
	request.headers[0] = platform->client_header;
	request.body = call->value.data;
	request.body_size = call->value.size;
	request.timeout_ms = platform->timeout_ms + call->wait_ms;
	if (call->op == JJ_PLATFORM_CREATE) {
		request.headers[1] = "If-None-Match: *";
	} else if (call->op == JJ_PLATFORM_UPDATE ||
	    (call->op == JJ_PLATFORM_DELETE && call->version != 0)) {
		(void)snprintf(match, sizeof(match), "If-Match: \"%llu\"",
		    (unsigned long long)call->version);
		request.headers[1] = match;
	}
	/*
	 * A conditional write that libcurl repeated by itself would meet its
	 * own first effect as a conflict; the core must see each try.
	 */
	request.once = call->op != JJ_PLATFORM_GET &&
	    call->op != JJ_PLATFORM_LIST && call->op != JJ_PLATFORM_VMS;
	request.ctx = exchange;
	request.on_data = on_data;
	request.on_end = on_end;
	(void)atomic_fetch_add(&platform->calls, 1);
	(void)jj_http_client_start(platform->http, &request);
	jj_platform_call_clear(call);
}

uint64_t
jj_platform_calls(const jj_platform_t *platform)
{
	return atomic_load(&platform->calls);
}

static const char *
method_of(jj_platform_op_t op)
{
	switch (op) {
	case JJ_PLATFORM_CREATE:
	case JJ_PLATFORM_UPDATE:
		return "PUT";
	case JJ_PLATFORM_DELETE:
		return "DELETE";
	default:
		return "GET";
	}
}

static void
build_path(const jj_platform_call_t *call, char *path, size_t room)
{
	switch (call->op) {
	case JJ_PLATFORM_LIST:
		(void)snprintf(path, room,
		    "/v1/list?prefix=%s&after=%s&limit=%d&values=%d", call->key,
		    call->after, call->limit > 0 ? call->limit : 1000,
		    call->values ? 1 : 0);
		break;
	case JJ_PLATFORM_WATCH:
		(void)snprintf(path, room,
		    "/v1/watch?prefix=%s&since=%llu&wait=%lld", call->key,
		    (unsigned long long)call->version,
		    (long long)call->wait_ms);
		break;
	case JJ_PLATFORM_VMS:
		(void)snprintf(path, room, "/v1/vms");
		break;
	default:
		(void)snprintf(path, room, "/v1/objects/%s", call->key);
		break;
	}
}

static jj_http_flow_t
on_data(void *ctx, const char *data, size_t size)
{
	exchange_t *exchange = ctx;

	if (exchange->size + size > ANSWER_MAX) {
		exchange->too_large = true;
		return JJ_HTTP_TAKEN;
	}
	if (exchange->size + size + 1 > exchange->room) {
		exchange->room = exchange->room * 2 + size + ANSWER_FIRST;
		exchange->answer = jj_realloc(exchange->answer, exchange->room);
	}
	memcpy(exchange->answer + exchange->size, data, size);
	exchange->size += size;
	exchange->answer[exchange->size] = '\0';
	return JJ_HTTP_TAKEN;
}

static void
on_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	exchange_t *exchange = ctx;
	jj_platform_result_t *result = &exchange->result;

	result->outcome = judge(exchange, end, head);
	result->retry_after_ms = head->retry_after_ms;
	jj_trace_end(
	    &exchange->span, end != JJ_HTTP_COMPLETE, jj_unix_now_ns());
	if (result->outcome == JJ_PLATFORM_OK ||
	    result->outcome == JJ_PLATFORM_CONFLICT ||
	    result->outcome == JJ_PLATFORM_GAP)
		take_answer(exchange, head);
	exchange->platform->done(exchange->platform->ctx, result);
	free(exchange->answer);
	free(exchange);
}

/** A 5xx of a write proves nothing about its effect, but for 503. */
static jj_platform_outcome_t
judge(const exchange_t *exchange, jj_http_end_t end, const jj_http_head_t *head)
{
	if (end == JJ_HTTP_NOT_SENT)
		return JJ_PLATFORM_DOWN;
	if (end != JJ_HTTP_COMPLETE || exchange->too_large)
		return JJ_PLATFORM_UNKNOWN;
	switch (head->status) {
	case 200:
	case 201:
	case 204:
		return JJ_PLATFORM_OK;
	case 404:
		return JJ_PLATFORM_ABSENT;
	case 410:
		return JJ_PLATFORM_GAP;
	case 412:
		return JJ_PLATFORM_CONFLICT;
	case 429:
		return JJ_PLATFORM_LIMITED;
	case 503:
		return JJ_PLATFORM_DOWN;
	default:
		return JJ_PLATFORM_UNKNOWN;
	}
}

static uint64_t
version_of(const char *etag)
{
	while (*etag == '"' || *etag == 'W' || *etag == '/')
		etag++;
	return strtoull(etag, NULL, 10);
}

static void
take_answer(exchange_t *exchange, const jj_http_head_t *head)
{
	jj_platform_result_t *result = &exchange->result;

	result->version = version_of(head->etag);
	if (result->op == JJ_PLATFORM_LIST || result->op == JJ_PLATFORM_WATCH) {
		if (!take_items(result, exchange->answer, exchange->size))
			result->outcome = JJ_PLATFORM_UNKNOWN;
		return;
	}
	if (result->outcome != JJ_PLATFORM_OK)
		return;
	if (result->op == JJ_PLATFORM_GET || result->op == JJ_PLATFORM_VMS) {
		result->value.data = exchange->answer;
		result->value.size = exchange->size;
		exchange->answer = NULL;
	}
}

static bool
take_items(jj_platform_result_t *result, const char *text, size_t size)
{
	json_t *root;
	json_t *array;
	size_t i;

	if (text == NULL)
		return false;
	root = json_loadb(text, size, 0, NULL);
	if (root == NULL)
		return false;
	result->version =
	    (uint64_t)json_integer_value(json_object_get(root, "revision"));
	result->more = json_is_true(json_object_get(root, "more"));
	array = json_object_get(root, "items");
	if (array == NULL)
		array = json_object_get(root, "events");
	if (json_array_size(array) > 0)
		result->items =
		    jj_alloc(json_array_size(array) * sizeof(*result->items));
	for (i = 0; i < json_array_size(array); i++)
		take_item(&result->items[i], json_array_get(array, i));
	result->item_count = json_array_size(array);
	json_decref(root);
	return true;
}

static void
take_item(jj_platform_item_t *item, const json_t *json)
{
	const char *key = json_string_value(json_object_get(json, "key"));
	const char *value = json_string_value(json_object_get(json, "value"));
	gsize size = 0;
	guchar *decoded;

	(void)snprintf(
	    item->key, sizeof(item->key), "%s", key != NULL ? key : "");
	item->version =
	    (uint64_t)json_integer_value(json_object_get(json, "version"));
	item->deleted = json_is_true(json_object_get(json, "deleted"));
	if (value == NULL)
		return;
	decoded = g_base64_decode(value, &size);
	item->value = jj_bytes_copy(decoded, size);
	g_free(decoded);
}
