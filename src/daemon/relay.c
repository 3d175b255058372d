/**
 * @file relay.c
 * @brief Relays requests to backend servers and answers to callers, in shards.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "adapters/monotonic.h"
#include "adapters/runtime.h"
#include "core/json_text.h"
#include "daemon/assembler.h"
#include "daemon/attempt_end.h"
#include "daemon/relay.h"
#include "daemon/sse.h"

/** Largest answer that is not streamed, bytes. */
#define ANSWER_MAX (8U << 20)
/** Interval at which a stream's tokens are reported to the core, ms. */
#define TOKEN_REPORT_MS 200

/** One attempt at a server; once started, used by the client thread only. */
typedef struct {
	jj_relay_t *relay;
	uint32_t shard;
	uint64_t request;
	uint32_t attempt;
	jj_name_t server;
	bool streams; /**< the answer is a stream of server-sent events */
	bool assembles; /**< the stream is assembled into one answer */
	bool first_reported;
	bool relayed; /**< part of the answer was sent to the caller */
	bool resumes; /**< resumes the previous attempt's stream */
	bool resumable; /**< its stream can be resumed at the server */
	jj_sse_t sse;
	jj_buffer_t body; /**< of an answer that is not streamed */
	size_t held; /**< for it, in the guard's sum */
	bool too_large; /**< or there is no memory for it */
	int status;
	char content_type[96];
	jj_ms_t tokens_reported_ms;
	jj_span_t span;
} attempt_t;

/** An exchange in its shard's table. */
typedef struct {
	jj_exchange_t exchange;
	uint32_t attempt; /**< current one, 0: none; others are ignored */
	uint64_t transfer; /**< number of its transfer at the HTTP client */
	bool begun; /**< the answer's head was sent to the caller */
	uint32_t tokens; /**< forwarded to the caller */
	char stream[64]; /**< the server's id of the stream */
	char boot[20]; /**< start id of the server's process */
	jj_assembler_t *assembler; /**< of a batch item requested as a stream */
	char address[JJ_NAME_MAX + 1];
} entry_t;

typedef struct {
	apr_thread_mutex_t *lock; /**< guards the table and its entries */
	GHashTable *table; /**< entry_t by request */
	jj_http_client_t *client;
} shard_t;

struct jj_relay {
	apr_pool_t *pool; /**< owns the shards' locks */
	jj_relay_port_t port;
	uint32_t shard_count;
	shard_t *shards;
	jj_http_guard_t *guard; /**< or NULL */
};

static uint32_t shard_of(const jj_relay_t *, uint64_t);
static entry_t *lock_entry(jj_relay_t *, uint64_t, shard_t **);
static void free_entry(void *);
static attempt_t *
create_attempt(jj_relay_t *, entry_t *, const jj_backend_start_t *);
static void reset_stream(entry_t *);
static void start_request(shard_t *, entry_t *, attempt_t *, jj_ms_t);
static void reject_second_run(jj_relay_t *, const jj_backend_start_t *);
static void on_head(void *, const jj_http_head_t *);
static jj_http_flow_t on_data(void *, const char *, size_t);
static jj_http_flow_t
receive_stream(attempt_t *, entry_t *, const char *, size_t);
static void receive_body(attempt_t *, const char *, size_t);
static bool forward_events(attempt_t *, entry_t *, bool);
static void begin_caller_stream(entry_t *);
static void on_end(void *, jj_http_end_t, const jj_http_head_t *);
static jj_backend_kind_t
finish_stream(attempt_t *, entry_t *, jj_backend_kind_t);
static bool assemble_answer(attempt_t *, entry_t *);
static jj_backend_kind_t
classify_end(const attempt_t *, jj_http_end_t, const jj_http_head_t *);
static bool is_success(int);
static bool is_json(const jj_buffer_t *);
static jj_backend_kind_t
classify_status(const attempt_t *, const jj_http_head_t *);
static void post_event(attempt_t *, jj_backend_kind_t, uint32_t, jj_ms_t,
    jj_backend_answer_t *, bool);
static void report_progress(attempt_t *);
static void cancel_at_server(shard_t *, const entry_t *);
static jj_http_flow_t ignore_data(void *, const char *, size_t);
static void ignore_end(void *, jj_http_end_t, const jj_http_head_t *);
static void free_attempt(attempt_t *);

jj_relay_t *
jj_relay_create(uint32_t shards, const jj_relay_port_t *port)
{
	jj_relay_t *relay = jj_alloc(sizeof(*relay));
	uint32_t i;

	relay->port = *port;
	relay->shard_count = shards;
	relay->pool = jj_runtime_create_pool();
	relay->shards = jj_alloc(shards * sizeof(*relay->shards));
	for (i = 0; i < shards; i++) {
		relay->shards[i].lock = jj_runtime_create_mutex(relay->pool);
		relay->shards[i].table = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, free_entry);
		relay->shards[i].client = jj_http_client_create();
		JJ_INVARIANT(relay->shards[i].client != NULL);
	}
	return relay;
}

void
jj_relay_set_guard(jj_relay_t *relay, jj_http_guard_t *guard)
{
	uint32_t i;

	relay->guard = guard;
	for (i = 0; i < relay->shard_count; i++)
		jj_http_client_set_guard(relay->shards[i].client, guard);
}

void
jj_relay_destroy(jj_relay_t *relay)
{
	uint32_t i;

	if (relay == NULL)
		return;
	for (i = 0; i < relay->shard_count; i++) {
		jj_http_client_destroy(relay->shards[i].client);
		g_hash_table_destroy(relay->shards[i].table);
	}
	apr_pool_destroy(relay->pool);
	free(relay->shards);
	free(relay);
}

void
jj_relay_add(jj_relay_t *relay, const jj_exchange_t *exchange)
{
	shard_t *shard = &relay->shards[shard_of(relay, exchange->request)];
	entry_t *entry = jj_alloc(sizeof(*entry));

	entry->exchange = *exchange;
	if (exchange->kind == JJ_EXCHANGE_ITEM && exchange->streams)
		entry->assembler = jj_assembler_create();
	if (exchange->call != NULL)
		jj_http_call_set_context(
		    exchange->call, (void *)(uintptr_t)exchange->request);
	(void)apr_thread_mutex_lock(shard->lock);
	(void)g_hash_table_replace(
	    shard->table, &entry->exchange.request, entry);
	(void)apr_thread_mutex_unlock(shard->lock);
}

bool
jj_relay_find(jj_relay_t *relay, uint64_t request, jj_exchange_t *copy)
{
	shard_t *shard;
	entry_t *entry = lock_entry(relay, request, &shard);

	if (entry != NULL)
		*copy = entry->exchange;
	(void)apr_thread_mutex_unlock(shard->lock);
	return entry != NULL;
}

bool
jj_relay_address(
    jj_relay_t *relay, uint64_t request, char *address, size_t size)
{
	shard_t *shard;
	entry_t *entry = lock_entry(relay, request, &shard);

	if (entry != NULL)
		(void)snprintf(address, size, "%s", entry->address);
	(void)apr_thread_mutex_unlock(shard->lock);
	return entry != NULL;
}

void
jj_relay_start(jj_relay_t *relay, const jj_backend_start_t *start,
    const char *address, jj_ms_t timeout_ms, bool idempotent)
{
	bool is_second_run = false;
	shard_t *shard;
	entry_t *entry = lock_entry(relay, start->request, &shard);
	attempt_t *attempt;

	if (entry != NULL) {
		(void)snprintf(
		    entry->address, sizeof(entry->address), "%s", address);
		entry->exchange.idempotent = idempotent;
		entry->attempt = start->attempt;
		is_second_run = entry->begun && start->resume_from == 0;
	}
	if (entry != NULL && !is_second_run) {
		attempt = create_attempt(relay, entry, start);
		start_request(shard, entry, attempt, timeout_ms);
	}
	(void)apr_thread_mutex_unlock(shard->lock);
	if (is_second_run)
		reject_second_run(relay, start);
}

/**
 * Guards against two runs in one answer. The report of a server's crash may
 * reach the core before the event of an answer's first bytes, above all when
 * this process resumes after a pause. The core then sends the request again,
 * and the caller would get the start of one run and the whole of another as
 * one complete answer. Bytes are sent to the caller under the shard's lock,
 * so the check for them is made here, and the second run is not sent.
 */
static void
reject_second_run(jj_relay_t *relay, const jj_backend_start_t *start)
{
	jj_backend_event_t event = {0};
	jj_backend_answer_t no_answer = {0};

	event.request = start->request;
	event.attempt = start->attempt;
	event.kind = JJ_BACKEND_BROKEN;
	event.relayed = true;
	relay->port.on_event(
	    relay->port.ctx, &event, &no_answer, &start->server, false);
}

void
jj_relay_cancel(jj_relay_t *relay, uint64_t request, uint32_t attempt)
{
	shard_t *shard;
	entry_t *entry = lock_entry(relay, request, &shard);

	if (entry != NULL && entry->attempt == attempt) {
		entry->attempt = 0;
		jj_http_client_cancel(shard->client, entry->transfer);
		cancel_at_server(shard, entry);
	}
	(void)apr_thread_mutex_unlock(shard->lock);
}

bool
jj_relay_take(
    jj_relay_t *relay, uint64_t request, jj_exchange_t *taken, bool *relayed)
{
	shard_t *shard;
	entry_t *entry = lock_entry(relay, request, &shard);

	if (entry != NULL) {
		*taken = entry->exchange;
		*relayed = entry->begun;
		if (entry->attempt != 0)
			jj_http_client_cancel(shard->client, entry->transfer);
		(void)g_hash_table_steal(
		    shard->table, &entry->exchange.request);
		jj_assembler_destroy(entry->assembler);
		free(entry);
	}
	(void)apr_thread_mutex_unlock(shard->lock);
	return entry != NULL;
}

void
jj_exchange_clear(jj_exchange_t *exchange)
{
	jj_bytes_free(&exchange->path);
	jj_bytes_free(&exchange->body);
}

void
jj_relay_resume(jj_relay_t *relay, uint64_t request)
{
	shard_t *shard;
	entry_t *entry = lock_entry(relay, request, &shard);

	if (entry != NULL && entry->attempt != 0)
		jj_http_client_resume(shard->client, entry->transfer);
	(void)apr_thread_mutex_unlock(shard->lock);
}

uint64_t
jj_relay_request_of(const jj_http_call_t *call)
{
	return (uint64_t)(uintptr_t)jj_http_call_context(call);
}

static uint32_t
shard_of(const jj_relay_t *relay, uint64_t request)
{
	return (uint32_t)(request % relay->shard_count);
}

/** The entry or NULL; its shard is locked in both cases. */
static entry_t *
lock_entry(jj_relay_t *relay, uint64_t request, shard_t **shard)
{
	*shard = &relay->shards[shard_of(relay, request)];
	(void)apr_thread_mutex_lock((*shard)->lock);
	return g_hash_table_lookup((*shard)->table, &request);
}

static void
free_entry(void *memory)
{
	entry_t *entry = memory;

	/* On a forced stop, the call can no longer be answered. */
	if (entry->exchange.call != NULL)
		jj_http_call_release(entry->exchange.call);
	jj_exchange_clear(&entry->exchange);
	jj_assembler_destroy(entry->assembler);
	free(entry);
}

static attempt_t *
create_attempt(
    jj_relay_t *relay, entry_t *entry, const jj_backend_start_t *start)
{
	attempt_t *attempt = jj_alloc(sizeof(*attempt));
	const jj_exchange_t *exchange = &entry->exchange;
	jj_trace_parent_t parent = jj_trace_as_parent(&exchange->span);

	attempt->relay = relay;
	attempt->shard = shard_of(relay, start->request);
	attempt->request = start->request;
	attempt->attempt = start->attempt;
	attempt->server = start->server;
	attempt->assembles = entry->assembler != NULL;
	attempt->streams =
	    exchange->is_model && (exchange->streams || attempt->assembles);
	attempt->resumes = start->resume_from > 0;
	if (!attempt->resumes)
		reset_stream(entry);
	attempt->relayed = entry->begun;
	jj_trace_begin(&attempt->span, &parent, JJ_HOP_BACKEND,
	    start->server.text, jj_unix_now_ns());
	return attempt;
}

/** Clears the state of an earlier stream before a new one begins. */
static void
reset_stream(entry_t *entry)
{
	entry->tokens = 0;
	entry->stream[0] = '\0';
	entry->boot[0] = '\0';
	if (entry->assembler != NULL)
		jj_assembler_reset(entry->assembler);
}

static void
start_request(
    shard_t *shard, entry_t *entry, attempt_t *attempt, jj_ms_t timeout_ms)
{
	const jj_exchange_t *exchange = &entry->exchange;
	jj_http_request_t request = {0};
	char id[JJ_NAME_MAX + 64];
	char key[JJ_IDEMPOTENCY_KEY_MAX + 32];
	char trace[JJ_TRACE_PARENT_SIZE + 16];
	char parent[JJ_TRACE_PARENT_SIZE];
	char path[160];
	char resume[96];
	size_t count = 0;

	(void)snprintf(
	    id, sizeof(id), "Jujube-Request: %s", exchange->operation_id);
	jj_trace_format_parent(&attempt->span, parent);
	(void)snprintf(trace, sizeof(trace), "traceparent: %s", parent);
	request.headers[count++] = "Content-Type: application/json";
	request.headers[count++] = id;
	request.headers[count++] = trace;
	if (exchange->kind == JJ_EXCHANGE_ITEM)
		request.headers[count++] = "Jujube-Class: batch";
	if (exchange->key[0] != '\0') {
		(void)snprintf(
		    key, sizeof(key), "Idempotency-Key: %s", exchange->key);
		request.headers[count++] = key;
	}
	request.method = "POST";
	request.address = entry->address;
	request.path = exchange->path.data;
	request.body = exchange->body.data;
	request.body_size = exchange->body.size;
	/* A resume does not send the request itself, which was run already. */
	if (attempt->resumes) {
		(void)snprintf(
		    path, sizeof(path), "/v1/streams/%s/resume", entry->stream);
		(void)snprintf(resume, sizeof(resume),
		    "{\"boot\":\"%s\",\"from\":%u}", entry->boot,
		    entry->tokens);
		request.path = path;
		request.body = resume;
		request.body_size = strlen(resume);
	}
	request.timeout_ms = timeout_ms;
	/* A late second answer would be read as that of the next request. */
	request.once = true;
	request.ctx = attempt;
	request.on_head = on_head;
	request.on_data = on_data;
	request.on_end = on_end;
	entry->transfer = jj_http_client_start(shard->client, &request);
}

static void
on_head(void *ctx, const jj_http_head_t *head)
{
	attempt_t *attempt = ctx;
	shard_t *shard;
	entry_t *entry;

	attempt->status = head->status;
	(void)snprintf(attempt->content_type, sizeof(attempt->content_type),
	    "%s", head->content_type);
	if (strncmp(head->content_type, "text/event-stream", 17) != 0)
		attempt->streams = false;
	entry = lock_entry(attempt->relay, attempt->request, &shard);
	/* A refused resume has no stream id; the old one stays. */
	if (entry != NULL && entry->attempt == attempt->attempt &&
	    head->stream[0] != '\0') {
		(void)snprintf(
		    entry->stream, sizeof(entry->stream), "%s", head->stream);
		(void)snprintf(
		    entry->boot, sizeof(entry->boot), "%s", head->boot);
	}
	(void)apr_thread_mutex_unlock(shard->lock);
}

static jj_http_flow_t
on_data(void *ctx, const char *data, size_t size)
{
	attempt_t *attempt = ctx;
	jj_http_flow_t flow = JJ_HTTP_CONSUMED;
	shard_t *shard;
	entry_t *entry = lock_entry(attempt->relay, attempt->request, &shard);

	/*
	 * Drops bytes of an abandoned attempt: the exchange may have another
	 * attempt by now, or be gone.
	 */
	if (entry != NULL && entry->attempt == attempt->attempt) {
		if (attempt->streams)
			flow = receive_stream(attempt, entry, data, size);
		else
			receive_body(attempt, data, size);
		if (attempt->too_large || attempt->sse.too_long)
			flow = JJ_HTTP_ABORT;
	}
	(void)apr_thread_mutex_unlock(shard->lock);
	/* The body of an error is no sign that the request was begun. */
	if (flow == JJ_HTTP_CONSUMED && is_success(attempt->status))
		report_progress(attempt);
	return flow;
}

static bool
is_success(int status)
{
	return status >= 200 && status < 300;
}

static jj_http_flow_t
receive_stream(
    attempt_t *attempt, entry_t *entry, const char *data, size_t size)
{
	if (attempt->sse.whole > 0 && !forward_events(attempt, entry, false))
		return JJ_HTTP_PAUSE;
	jj_sse_feed(&attempt->sse, data, size);
	(void)forward_events(attempt, entry, false);
	return JJ_HTTP_CONSUMED;
}

/**
 * Forwards complete events; false when the caller's buffer is full.
 * @param force write even if it is full.
 */
static bool
forward_events(attempt_t *attempt, entry_t *entry, bool force)
{
	if (attempt->sse.whole == 0)
		return true;
	if (attempt->assembles) {
		jj_assembler_feed(
		    entry->assembler, attempt->sse.pending, attempt->sse.whole);
		jj_sse_drop_complete(&attempt->sse);
		return true;
	}
	if (!entry->begun)
		begin_caller_stream(entry);
	if (!jj_http_call_write(entry->exchange.call, attempt->sse.pending,
		attempt->sse.whole, force))
		return false;
	jj_sse_drop_complete(&attempt->sse);
	attempt->relayed = true;
	return true;
}

static void
begin_caller_stream(entry_t *entry)
{
	jj_http_answer_t answer = {200, "text/event-stream",
	    {{"Cache-Control", "no-cache"},
		{"X-Request-Id", entry->exchange.operation_id}, {NULL, NULL}},
	    NULL, 0};

	entry->begun = true;
	jj_http_call_begin_stream(entry->exchange.call, &answer);
}

static void
receive_body(attempt_t *attempt, const char *data, size_t size)
{
	size_t total = attempt->body.bytes.size + size;

	if (total > ANSWER_MAX ||
	    !jj_http_guard_hold_answer(
		attempt->relay->guard, &attempt->held, total, false))
		attempt->too_large = true;
	else
		jj_buffer_append(&attempt->body, data, size);
}

static void
on_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	attempt_t *attempt = ctx;
	jj_backend_kind_t kind = classify_end(attempt, end, head);
	jj_backend_answer_t answer = {0};
	bool is_current = false;
	bool suspect = !attempt->too_large &&
	    (end == JJ_HTTP_BROKEN || end == JJ_HTTP_NOT_SENT);
	shard_t *shard;
	entry_t *entry;

	entry = lock_entry(attempt->relay, attempt->request, &shard);
	if (entry != NULL && entry->attempt == attempt->attempt) {
		is_current = true;
		kind = finish_stream(attempt, entry, kind);
		entry->tokens += attempt->sse.total;
		attempt->resumable = kind == JJ_BACKEND_BROKEN &&
		    attempt->streams && !attempt->sse.too_long &&
		    entry->stream[0] != '\0';
		entry->attempt = 0;
	}
	(void)apr_thread_mutex_unlock(shard->lock);
	jj_trace_set(&attempt->span, "end",
	    is_current ? (kind == JJ_BACKEND_DONE ? "done" : "failed")
		       : "abandoned");
	jj_trace_end(&attempt->span, kind != JJ_BACKEND_DONE, jj_unix_now_ns());
	if (!is_current || end == JJ_HTTP_CANCELLED) {
		free_attempt(attempt);
		return;
	}
	if (head->leaving)
		attempt->relay->port.on_leaving(
		    attempt->relay->port.ctx, &attempt->server);
	if (kind == JJ_BACKEND_DONE || kind == JJ_BACKEND_REJECTED) {
		answer.status = attempt->status;
		(void)snprintf(answer.content_type, sizeof(answer.content_type),
		    "%s", attempt->content_type);
		answer.body = jj_buffer_take(&attempt->body);
	}
	if (attempt->sse.tokens > 0)
		post_event(attempt, JJ_BACKEND_TOKENS,
		    jj_sse_take_tokens(&attempt->sse), 0, NULL, false);
	post_event(attempt, kind, 0, head->retry_after_ms, &answer, suspect);
	jj_bytes_free(&answer.body);
	free_attempt(attempt);
}

/**
 * Forwards the rest of a stream and corrects the result of its attempt. Without
 * the end mark the stream is truncated, even if the connection ended cleanly;
 * with it the stream is complete, even if the connection broke.
 */
static jj_backend_kind_t
finish_stream(attempt_t *attempt, entry_t *entry, jj_backend_kind_t kind)
{
	bool is_whole;

	if (!attempt->streams)
		return kind;
	(void)forward_events(attempt, entry, true);
	is_whole = attempt->sse.done && !attempt->sse.too_long;
	if (is_whole && attempt->assembles)
		is_whole = assemble_answer(attempt, entry);
	if (is_whole && kind == JJ_BACKEND_BROKEN)
		return JJ_BACKEND_DONE;
	if (!is_whole && kind == JJ_BACKEND_DONE)
		return JJ_BACKEND_BROKEN;
	return kind;
}

/** Assembles a streamed item's answer; false when it is malformed. */
static bool
assemble_answer(attempt_t *attempt, entry_t *entry)
{
	jj_bytes_t answer = jj_assembler_finish(entry->assembler);

	jj_buffer_clear(&attempt->body);
	attempt->body.bytes = answer;
	(void)snprintf(attempt->content_type, sizeof(attempt->content_type),
	    "application/json");
	return answer.size > 0;
}

static jj_backend_kind_t
classify_end(
    const attempt_t *attempt, jj_http_end_t end, const jj_http_head_t *head)
{
	jj_backend_kind_t kind;

	if (attempt->too_large)
		return JJ_BACKEND_FAILED;
	if (end != JJ_HTTP_COMPLETE)
		return jj_attempt_kind_of_end(end);
	kind = classify_status(attempt, head);
	/* A stream is checked for its end mark. */
	if ((kind == JJ_BACKEND_DONE || kind == JJ_BACKEND_REJECTED) &&
	    head->body == JJ_HTTP_BODY_CLOSE && !attempt->streams &&
	    !is_json(&attempt->body))
		return JJ_BACKEND_BROKEN;
	return kind;
}

/** True for a whole object or array: it tells its own end. */
static bool
is_json(const jj_buffer_t *body)
{
	json_t *json = jj_json_load_stored(body->bytes.data, body->bytes.size);
	bool is_whole = json != NULL;

	json_decref(json);
	return is_whole;
}

/**
 * A 503 or 429 may be sent after work on the request began, so by itself it
 * counts as any failure. Only a server that reports that it is leaving
 * guarantees that it did not begin.
 */
static jj_backend_kind_t
classify_status(const attempt_t *attempt, const jj_http_head_t *head)
{
	if (head->status == 503 && head->leaving)
		return JJ_BACKEND_LEAVING;
	/* An error answer to a resume is not the answer to the request. */
	if (attempt->resumes && (head->status != 200 || !attempt->streams))
		return JJ_BACKEND_FAILED;
	if (is_success(head->status))
		return JJ_BACKEND_DONE;
	if (head->status >= 400 && head->status < 500 && head->status != 408 &&
	    head->status != 425 && head->status != 429)
		return JJ_BACKEND_REJECTED;
	return JJ_BACKEND_FAILED;
}

static void
post_event(attempt_t *attempt, jj_backend_kind_t kind, uint32_t tokens,
    jj_ms_t retry_after_ms, jj_backend_answer_t *answer, bool suspect)
{
	jj_backend_event_t event = {0};

	event.request = attempt->request;
	event.attempt = attempt->attempt;
	event.kind = kind;
	event.tokens = tokens;
	event.retry_after_ms = retry_after_ms;
	event.relayed = attempt->relayed;
	event.resumable = attempt->resumable;
	attempt->relay->port.on_event(attempt->relay->port.ctx, &event, answer,
	    &attempt->server, suspect);
}

/** Reports the first token at once, later ones at intervals. */
static void
report_progress(attempt_t *attempt)
{
	jj_ms_t now;

	if (!attempt->first_reported) {
		attempt->first_reported = true;
		attempt->tokens_reported_ms = jj_monotonic_now();
		post_event(attempt, JJ_BACKEND_FIRST, 0, 0, NULL, false);
		return;
	}
	if (attempt->sse.tokens == 0)
		return;
	now = jj_monotonic_now();
	if (now < attempt->tokens_reported_ms + TOKEN_REPORT_MS)
		return;
	attempt->tokens_reported_ms = now;
	post_event(attempt, JJ_BACKEND_TOKENS,
	    jj_sse_take_tokens(&attempt->sse), 0, NULL, false);
}

/**
 * Lets the server free the stream's request slot at once, rather than when its
 * next write fails.
 */
static void
cancel_at_server(shard_t *shard, const entry_t *entry)
{
	jj_http_request_t request = {0};
	char path[160];

	if (!entry->exchange.is_model || entry->stream[0] == '\0')
		return;
	(void)snprintf(
	    path, sizeof(path), "/v1/streams/%s/cancel", entry->stream);
	request.method = "POST";
	request.address = entry->address;
	request.path = path;
	request.timeout_ms = 1000;
	request.on_data = ignore_data;
	request.on_end = ignore_end;
	(void)jj_http_client_start(shard->client, &request);
}

static jj_http_flow_t
ignore_data(void *ctx, const char *data, size_t size)
{
	(void)ctx;
	(void)data;
	(void)size;
	return JJ_HTTP_CONSUMED;
}

static void
ignore_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	(void)ctx;
	(void)end;
	(void)head;
}

static void
free_attempt(attempt_t *attempt)
{
	(void)jj_http_guard_hold_answer(
	    attempt->relay->guard, &attempt->held, 0, true);
	jj_sse_clear(&attempt->sse);
	jj_buffer_clear(&attempt->body);
	free(attempt);
}
