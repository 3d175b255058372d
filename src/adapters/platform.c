/**
 * @file platform.c
 * @brief Carries out the core's platform calls over HTTP.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/platform.h"
#include "adapters/monotonic.h"
#include "adapters/trace.h"

/** Maximum size of an answer, bytes: a list with values may be large. */
#define ANSWER_MAX_BYTES (64U << 20)
/** Maximum time for a whole answer while data keeps arriving, ms. */
#define ANSWER_TIMEOUT_MS 30000

struct jj_platform {
	const jj_platform_codec_t *codec;
	jj_http_client_t *http;
	char address[JJ_NAME_MAX + 1];
	char client_name[JJ_NAME_MAX + 1];
	jj_ms_t timeout_ms;
	jj_platform_done_t done;
	void *ctx;
	atomic_uint_fast64_t calls;
	jj_http_guard_t *guard; /**< or NULL */
};

typedef struct {
	jj_platform_t *platform;
	jj_platform_result_t result;
	char key[JJ_OBJECT_KEY_MAX + 1]; /**< of the call */
	jj_buffer_t answer;
	size_t held; /**< for it, in the guard's sum */
	bool too_large; /**< or there is no memory for it */
	jj_span_t span; /**< trace span of the call */
} exchange_t;

static void count_call(const jj_platform_call_t *);
static jj_http_flow_t on_data(void *, const char *, size_t);
static void on_end(void *, jj_http_end_t, const jj_http_head_t *);
static void read_answer(exchange_t *, jj_http_end_t, const jj_http_head_t *);

jj_platform_t *
jj_platform_create(const jj_platform_codec_t *codec, const char *address,
    const char *client_name, jj_ms_t timeout_ms, jj_platform_done_t done,
    void *ctx)
{
	jj_platform_t *platform = jj_alloc(sizeof(*platform));

	platform->codec = codec;
	(void)snprintf(
	    platform->address, sizeof(platform->address), "%s", address);
	(void)snprintf(platform->client_name, sizeof(platform->client_name),
	    "%s", client_name);
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
jj_platform_set_guard(jj_platform_t *platform, jj_http_guard_t *guard)
{
	platform->guard = guard;
	jj_http_client_set_guard(platform->http, guard);
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
	jj_platform_request_t *encoded = jj_alloc(sizeof(*encoded));
	jj_http_request_t request = {0};
	size_t i;

	exchange->platform = platform;
	exchange->result.owner = call->owner;
	exchange->result.token = call->token;
	exchange->result.op = call->op;
	memcpy(exchange->key, call->key, sizeof(exchange->key));
	platform->codec->write(platform->client_name, call, encoded);
	jj_trace_begin(&exchange->span, NULL, JJ_HOP_PLATFORM, encoded->method,
	    jj_unix_now_ns());
	jj_trace_set(&exchange->span, "key", call->key);
	request.method = encoded->method;
	request.address = platform->address;
	request.path = encoded->path;
	for (i = 0; i < 2 && encoded->headers[i][0] != '\0'; i++)
		request.headers[i] = encoded->headers[i];
	request.body = encoded->body.data;
	request.body_size = encoded->body.size;
	/* A whole answer may take long: it depends on its size and the link. */
	request.timeout_ms = call->wait_ms + ANSWER_TIMEOUT_MS;
	request.begin_ms = call->wait_ms + platform->timeout_ms;
	request.read_timeout_ms = platform->timeout_ms;
	request.once = encoded->new_connection;
	request.ctx = exchange;
	request.on_data = on_data;
	request.on_end = on_end;
	(void)atomic_fetch_add(&platform->calls, 1);
	count_call(call);
	(void)jj_http_client_start(platform->http, &request);
	jj_bytes_free(&encoded->body);
	free(encoded);
	jj_platform_call_clear(call);
}

uint64_t
jj_platform_calls(const jj_platform_t *platform)
{
	return atomic_load(&platform->calls);
}

jj_platform_outcome_t
jj_platform_classify_status(int status, int conflict)
{
	if (status == conflict)
		return JJ_PLATFORM_CONFLICT;
	switch (status) {
	case 200:
	case 201:
	case 204:
		return JJ_PLATFORM_OK;
	case 404:
		return JJ_PLATFORM_ABSENT;
	case 410:
		return JJ_PLATFORM_GAP;
	case 429:
		return JJ_PLATFORM_LIMITED;
	case 503:
		return JJ_PLATFORM_DOWN;
	default:
		return JJ_PLATFORM_UNKNOWN;
	}
}

/** Counts a call by what it does to which kind of object. */
static void
count_call(const jj_platform_call_t *call)
{
	char kind[64];

	(void)snprintf(kind, sizeof(kind), "%s %.*s%s",
	    jj_platform_op_name(call->op), (int)strcspn(call->key, "/"),
	    call->key, call->stale ? " stale" : "");
	jj_counter_add(
	    jj_metrics_counter("jujube_platform_calls_by_kind_total",
		"Calls to the platform, by operation and kind.", "kind", kind),
	    1);
}

static jj_http_flow_t
on_data(void *ctx, const char *data, size_t size)
{
	exchange_t *exchange = ctx;
	size_t total = exchange->answer.bytes.size + size;

	if (total > ANSWER_MAX_BYTES ||
	    !jj_http_guard_hold_answer(
		exchange->platform->guard, &exchange->held, total, false))
		exchange->too_large = true;
	else
		jj_buffer_append(&exchange->answer, data, size);
	return JJ_HTTP_CONSUMED;
}

static void
on_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	exchange_t *exchange = ctx;

	exchange->result.retry_after_ms = head->retry_after_ms;
	jj_trace_end(
	    &exchange->span, end != JJ_HTTP_COMPLETE, jj_unix_now_ns());
	read_answer(exchange, end, head);
	exchange->platform->done(exchange->platform->ctx, &exchange->result);
	(void)jj_http_guard_hold_answer(
	    exchange->platform->guard, &exchange->held, 0, true);
	jj_buffer_clear(&exchange->answer);
	free(exchange);
}

static void
read_answer(exchange_t *exchange, jj_http_end_t end, const jj_http_head_t *head)
{
	jj_platform_result_t *result = &exchange->result;

	if (end == JJ_HTTP_TIMEOUT && exchange->answer.bytes.size > 0)
		jj_log(JJ_LOG_WARN, "platform_answer_cut",
		    "key=%s op=%d bytes=%zu silence_ms=%lld", exchange->key,
		    (int)result->op, exchange->answer.bytes.size,
		    (long long)exchange->platform->timeout_ms);
	if (exchange->too_large)
		jj_log(JJ_LOG_WARN, "platform_answer_too_large",
		    "key=%s op=%d most_bytes=%u", exchange->key,
		    (int)result->op, ANSWER_MAX_BYTES);
	if (end == JJ_HTTP_NOT_SENT)
		result->outcome = JJ_PLATFORM_DOWN;
	else if (end == JJ_HTTP_COMPLETE && exchange->too_large &&
	    result->op == JJ_PLATFORM_WATCH)
		/*
		 * A repeated watch would get the same events again; a gap
		 * makes the core list the objects, which is paged.
		 */
		result->outcome = JJ_PLATFORM_GAP;
	else if (end != JJ_HTTP_COMPLETE || exchange->too_large)
		result->outcome = JJ_PLATFORM_UNKNOWN;
	else
		exchange->platform->codec->read(result, exchange->key, head,
		    exchange->answer.bytes.data, exchange->answer.bytes.size);
	if (end == JJ_HTTP_COMPLETE && result->outcome == JJ_PLATFORM_UNKNOWN)
		jj_log(JJ_LOG_WARN, "platform_answer_unusable",
		    "key=%s op=%d status=%d bytes=%zu", exchange->key,
		    (int)result->op, head->status, exchange->answer.bytes.size);
}
