/**
 * @file platform_wire.c
 * @brief Codec of the object API in docs/interfaces/PLATFORM.md.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "adapters/platform.h"

/** HTTP status: the object exists already, or has another version. */
#define STATUS_CONFLICT 412

static void
write_call(const char *, const jj_platform_call_t *, jj_platform_request_t *);
static void write_path(const jj_platform_call_t *, char *, size_t);
static const char *method_of(jj_platform_op_t);
static void read_answer(jj_platform_result_t *, const char *,
    const jj_http_head_t *, const char *, size_t);
static bool read_items(jj_platform_result_t *, const char *, size_t);
static void read_item(jj_platform_item_t *, const json_t *);
static uint64_t version_of(const char *);

const jj_platform_codec_t jj_platform_native_codec = {write_call, read_answer};

static void
write_call(const char *client_name, const jj_platform_call_t *call,
    jj_platform_request_t *request)
{
	request->method = method_of(call->op);
	write_path(call, request->path, sizeof(request->path));
	(void)snprintf(request->headers[0], sizeof(request->headers[0]),
	    "Jujube-Client: %s", client_name);
	request->body = jj_bytes_copy(call->value.data, call->value.size);
	if (call->op == JJ_PLATFORM_CREATE)
		(void)snprintf(request->headers[1], sizeof(request->headers[1]),
		    "If-None-Match: *");
	else if (call->op == JJ_PLATFORM_UPDATE ||
	    (call->op == JJ_PLATFORM_DELETE && call->version != 0))
		(void)snprintf(request->headers[1], sizeof(request->headers[1]),
		    "If-Match: \"%llu\"", (unsigned long long)call->version);
	/*
	 * On a reused connection, libcurl may repeat a conditional write that
	 * had taken effect, which then gets a conflict, and a late second
	 * answer is read as that of the next call.
	 */
	request->new_connection = true;
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
write_path(const jj_platform_call_t *call, char *path, size_t path_size)
{
	switch (call->op) {
	case JJ_PLATFORM_LIST:
		(void)snprintf(path, path_size,
		    "/v1/list?prefix=%s&after=%s&limit=%d&values=%d", call->key,
		    call->after, call->limit > 0 ? call->limit : 1000,
		    call->values ? 1 : 0);
		break;
	case JJ_PLATFORM_WATCH:
		(void)snprintf(path, path_size,
		    "/v1/watch?prefix=%s&since=%llu&wait=%lld", call->key,
		    (unsigned long long)call->version,
		    (long long)call->wait_ms);
		break;
	case JJ_PLATFORM_VMS:
		(void)snprintf(path, path_size, "/v1/vms");
		break;
	default:
		(void)snprintf(path, path_size, "/v1/objects/%s", call->key);
		break;
	}
}

static void
read_answer(jj_platform_result_t *result, const char *key,
    const jj_http_head_t *head, const char *body, size_t size)
{
	(void)key;
	result->outcome =
	    jj_platform_classify_status(head->status, STATUS_CONFLICT);
	if (result->outcome != JJ_PLATFORM_OK &&
	    result->outcome != JJ_PLATFORM_CONFLICT &&
	    result->outcome != JJ_PLATFORM_GAP)
		return;
	result->version = version_of(head->etag);
	if (result->op == JJ_PLATFORM_LIST || result->op == JJ_PLATFORM_WATCH) {
		if (!read_items(result, body, size))
			result->outcome = JJ_PLATFORM_UNKNOWN;
		return;
	}
	if (result->outcome != JJ_PLATFORM_OK)
		return;
	if (result->op != JJ_PLATFORM_GET && result->op != JJ_PLATFORM_VMS)
		return;
	/* A value may be any bytes, so it does not tell that it was cut. */
	if (head->body == JJ_HTTP_BODY_CLOSE)
		result->outcome = JJ_PLATFORM_UNKNOWN;
	else
		result->value = jj_bytes_copy(body, size);
}

static uint64_t
version_of(const char *etag)
{
	while (*etag == '"' || *etag == 'W' || *etag == '/')
		etag++;
	return strtoull(etag, NULL, 10);
}

static bool
read_items(jj_platform_result_t *result, const char *text, size_t size)
{
	json_t *root;
	json_t *array;
	size_t i;

	root = json_loadb(text, size, 0, NULL);
	array = json_object_get(
	    root, result->op == JJ_PLATFORM_LIST ? "items" : "events");
	result->more = json_is_true(json_object_get(root, "more"));
	/*
	 * A gap has a revision only. A page without items would be the list's
	 * end though more follow.
	 */
	if (root == NULL ||
	    (result->outcome == JJ_PLATFORM_OK && !json_is_array(array)) ||
	    (result->more && json_array_size(array) == 0)) {
		json_decref(root);
		return false;
	}
	result->version =
	    (uint64_t)json_integer_value(json_object_get(root, "revision"));
	if (json_array_size(array) > 0)
		result->items =
		    jj_alloc(json_array_size(array) * sizeof(*result->items));
	for (i = 0; i < json_array_size(array); i++)
		read_item(&result->items[i], json_array_get(array, i));
	result->item_count = json_array_size(array);
	json_decref(root);
	return true;
}

static void
read_item(jj_platform_item_t *item, const json_t *json)
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
