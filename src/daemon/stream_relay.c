/**
 * @file stream_relay.c
 * @brief Forwards answers of backend servers to callers, byte for byte.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <glib.h>

#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "adapters/runtime.h"
#include "core/event_stream.h"
#include "daemon/attempt_end.h"
#include "daemon/stream_relay.h"

/** Largest answer that is no stream, bytes. */
#define ANSWER_MAX (16U << 20)
/** Memory of an answer or an output is counted in such steps, bytes. */
#define HOLD_STEP_BYTES 4096
/** Largest output of an item, bytes; the store holds less. */
#define ITEM_TEXT_MAX (4U << 20)
/** Interval of progress reports, by which the core detects a stall, ms. */
#define PROGRESS_REPORT_MS 250
/**
 * Attempts in a row that must end with their connection after the same event
 * until that counts as the end of the output.
 */
#define CLOSES 2
/** The same where an earlier attempt's answer had a length or chunks. */
#define FRAMED_CLOSES 4
/** HTTP status: the server lacks what the request asks for, or is another. */
#define STATUS_MISDIRECTED 421
/** The server stops at its deadline; we cancel this much later, ms. */
#define DEADLINE_GRACE_MS 500

typedef struct attempt attempt_t;

/** An exchange and how much of its answer was forwarded. */
typedef struct {
	jj_stream_relay_t *relay;
	jj_stream_exchange_t exchange;
	/** a complete answer with a server's error, or NULL; owned */
	attempt_t *error;
	uint32_t attempt; /**< number of the current one, 0: none */
	uint64_t transfer; /**< its number at the HTTP client */
	bool begun; /**< the answer's head was sent to the caller */
	int64_t last_id; /**< of the last event forwarded */
	/** software version of the forwarded events; 0: not known */
	uint64_t software;
	jj_bytes_t text; /**< of a batch item: its output so far */
	size_t text_held; /**< for it, in the guard's sum */
	bool has_text; /**< an event had data, if only an empty text */
	bool was_framed; /**< an answer had a length or chunks */
	uint32_t closes; /**< attempts in a row that ended with a close */
	int64_t closed_after; /**< all of them after that event */
} entry_t;

/** How an answer is handled, as its head decides. */
typedef enum {
	ANSWER_UNKNOWN,
	ANSWER_STREAM, /**< forwarded event by event */
	ANSWER_UNSTREAMED, /**< forwarded once it is complete */
	ANSWER_INVALID, /**< not a valid answer to this request */
} answer_kind_t;

/** One attempt at a server; freed when its transfer ends. */
struct attempt {
	jj_stream_relay_t *relay;
	uint64_t request;
	uint32_t attempt;
	bool streams; /**< the route has streamed answers */
	bool retries_errors; /**< a server's error is not final */
	bool resumes; /**< resumes after an event that was forwarded */
	uint64_t software; /**< software version of the server */
	/** of the events forwarded so far; 0: there is none */
	uint64_t begun_software;
	char *id; /**< request id, which the server must echo; owned */
	jj_name_t server; /**< id of the server */
	bool is_item;
	bool is_conditional; /**< it may ask for what a server lacks */
	answer_kind_t kind;
	int status;
	bool not_run; /**< the server reported that it did not run it */
	bool has_stamp; /**< the answer has the server's stamp */
	bool is_named; /**< the answer names its server */
	bool is_other; /**< it names another one than it was sent to */
	uint64_t weights; /**< version of its weights; 0: not told */
	jj_http_body_t body_end; /**< how the end of its body is found */
	const char *ended; /**< how its transfer ended; static */
	uint32_t event_count; /**< complete events */
	int64_t
	    after; /**< event after which it was resumed, or JJ_EVENT_NO_ID */
	char *header_lines; /**< header lines of the answer; owned */
	jj_event_stream_t events;
	jj_buffer_t body; /**< of an answer that is not streamed */
	size_t held; /**< for what is not forwarded yet, in the guard's sum */
	/** last_id of `events` at the last progress report */
	int64_t reported_id;
	bool first_reported;
	jj_ms_t progress_reported_ms;
};

struct jj_stream_relay {
	const jj_deployment_t *deployment;
	jj_stream_relay_port_t port;
	jj_http_client_t *client;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /**< guards the table and its entries */
	GHashTable *table; /**< entry_t by request */
	jj_http_guard_t *guard; /**< or NULL */
	bool close_connections; /**< answers have Connection: close */
};

static entry_t *find(jj_stream_relay_t *, uint64_t);
static void free_entry(void *);
static void clear_exchange(jj_stream_exchange_t *);
static void free_attempt(attempt_t *);
static void on_head(void *, const jj_http_head_t *);
static char *read_header(const char **, char **);
static void check_head(attempt_t *);
static jj_http_flow_t on_data(void *, const char *, size_t);
static bool prepare_output(entry_t *, const jj_gateway_attempt_t *);
static bool
is_conditional(const jj_stream_relay_t *, const jj_stream_exchange_t *);
static bool is_header(const char *, const char *);
static void receive_events(attempt_t *, entry_t *, const char *, size_t);
static void forward_event(attempt_t *, entry_t *, const jj_stream_event_t *);
static void append_output(attempt_t *, entry_t *, const jj_stream_event_t *);
static void drop_output(entry_t *);
static bool hold(jj_stream_relay_t *, size_t *, size_t);
static void receive_body(attempt_t *, const char *, size_t);
static void begin_answer(attempt_t *, entry_t *);
static void send_unstreamed(attempt_t *, entry_t *);
static jj_http_answer_t make_answer(const attempt_t *, const GArray *);
static GArray *list_fields(const attempt_t *);
static void free_fields(GArray *);
static void on_end(void *, jj_http_end_t, const jj_http_head_t *);
static jj_backend_kind_t classify_end(const attempt_t *, jj_http_end_t);
static jj_backend_kind_t classify_close(const attempt_t *, entry_t *);
static jj_backend_kind_t classify_refusal(const attempt_t *);
static jj_backend_kind_t classify_status(const attempt_t *);
static bool fits_caller(const attempt_t *, const entry_t *, jj_backend_kind_t);
static bool keep_error(attempt_t *, entry_t *, jj_backend_kind_t);
static bool is_retried_error(const attempt_t *);
static void finish_answer(attempt_t *, entry_t *, jj_bytes_t *);
static void
post_event(attempt_t *, jj_backend_kind_t, jj_ms_t, bool, jj_bytes_t *);
static void report_progress(attempt_t *);

jj_stream_relay_t *
jj_stream_relay_create(
    const jj_deployment_t *deployment, const jj_stream_relay_port_t *port)
{
	jj_stream_relay_t *relay = jj_alloc(sizeof(*relay));

	relay->deployment = deployment;
	relay->port = *port;
	relay->pool = jj_runtime_create_pool();
	relay->lock = jj_runtime_create_mutex(relay->pool);
	relay->table = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_entry);
	relay->client = jj_http_client_create();
	if (relay->client != NULL)
		return relay;
	jj_stream_relay_destroy(relay);
	return NULL;
}

void
jj_stream_relay_destroy(jj_stream_relay_t *relay)
{
	if (relay == NULL)
		return;
	jj_http_client_destroy(relay->client);
	g_hash_table_destroy(relay->table);
	apr_pool_destroy(relay->pool);
	free(relay);
}

void
jj_stream_relay_set_guard(jj_stream_relay_t *relay, jj_http_guard_t *guard)
{
	relay->guard = guard;
	jj_http_client_set_guard(relay->client, guard);
}

void
jj_stream_relay_close_connections(jj_stream_relay_t *relay)
{
	(void)apr_thread_mutex_lock(relay->lock);
	relay->close_connections = true;
	(void)apr_thread_mutex_unlock(relay->lock);
}

void
jj_stream_relay_add(
    jj_stream_relay_t *relay, const jj_stream_exchange_t *exchange)
{
	entry_t *entry = jj_alloc(sizeof(*entry));

	entry->relay = relay;
	entry->exchange = *exchange;
	entry->last_id = exchange->last_id;
	(void)apr_thread_mutex_lock(relay->lock);
	(void)g_hash_table_insert(
	    relay->table, &entry->exchange.request, entry);
	(void)apr_thread_mutex_unlock(relay->lock);
}

void
jj_stream_exchange_add_header(
    jj_stream_exchange_t *exchange, const char *name, const char *value)
{
	size_t size = strlen(name) + strlen(value) + 3;
	char *line = jj_alloc(size);

	/* libcurl drops a header "Name:"; "Name;" sends it with no value. */
	if (value[0] == '\0')
		(void)snprintf(line, size, "%s;", name);
	else
		(void)snprintf(line, size, "%s: %s", name, value);
	exchange->headers = jj_realloc(exchange->headers,
	    (exchange->header_count + 1) * sizeof(*exchange->headers));
	exchange->headers[exchange->header_count++] = line;
}

bool
jj_stream_relay_has(jj_stream_relay_t *relay, uint64_t request)
{
	bool has;

	(void)apr_thread_mutex_lock(relay->lock);
	has = find(relay, request) != NULL;
	(void)apr_thread_mutex_unlock(relay->lock);
	return has;
}

void
jj_stream_relay_start(jj_stream_relay_t *relay, uint64_t request,
    uint32_t number, const jj_gateway_attempt_t *start)
{
	const jj_front_headers_t *names = &relay->deployment->headers;
	jj_http_request_t http = {0};
	char deadline[128];
	char target[192];
	char last_event_id[128];
	attempt_t *attempt;
	entry_t *entry;
	size_t count = 0;
	bool fits;

	(void)apr_thread_mutex_lock(relay->lock);
	entry = find(relay, request);
	if (entry == NULL) {
		(void)apr_thread_mutex_unlock(relay->lock);
		return;
	}
	fits = prepare_output(entry, start);
	attempt = jj_alloc(sizeof(*attempt));
	attempt->relay = relay;
	attempt->request = request;
	attempt->attempt = number;
	attempt->software = start->software;
	attempt->begun_software = entry->software;
	if (!fits) {
		entry->attempt = 0;
		(void)apr_thread_mutex_unlock(relay->lock);
		post_event(attempt, JJ_BACKEND_MISMATCH, 0, false, NULL);
		free_attempt(attempt);
		return;
	}
	attempt->streams = start->streams;
	attempt->retries_errors = start->retries_errors;
	attempt->resumes = entry->last_id != JJ_EVENT_NO_ID;
	attempt->after = entry->last_id;
	attempt->id = strdup(entry->exchange.id);
	attempt->server = start->server;
	attempt->is_item = entry->exchange.call == NULL;
	attempt->is_conditional = is_conditional(relay, &entry->exchange);
	jj_event_stream_begin(&attempt->events, entry->last_id);
	attempt->reported_id = entry->last_id;
	(void)snprintf(deadline, sizeof(deadline), "%s: %lld",
	    names->deadline_ms, (long long)start->budget_ms);
	(void)snprintf(target, sizeof(target), "%s: %s", names->target,
	    start->server.text);
	http.headers[count++] = deadline;
	http.headers[count++] = target;
	if (entry->last_id != JJ_EVENT_NO_ID) {
		(void)snprintf(last_event_id, sizeof(last_event_id), "%s: %lld",
		    names->last_event_id, (long long)entry->last_id);
		http.headers[count++] = last_event_id;
	}
	http.method = entry->exchange.method;
	http.address = start->address;
	http.path = entry->exchange.uri;
	http.more_headers = entry->exchange.headers;
	http.more_header_count = entry->exchange.header_count;
	http.no_default_headers = true;
	http.body = entry->exchange.body.data;
	http.body_size = entry->exchange.body.size;
	http.timeout_ms = start->budget_ms + DEADLINE_GRACE_MS;
	http.connect_ms = start->connect_ms;
	http.once = true;
	http.ctx = attempt;
	http.on_head = on_head;
	http.on_data = on_data;
	http.on_end = on_end;
	entry->attempt = number;
	entry->transfer = jj_http_client_start(relay->client, &http);
	(void)apr_thread_mutex_unlock(relay->lock);
}

void
jj_stream_relay_cancel(
    jj_stream_relay_t *relay, uint64_t request, uint32_t attempt)
{
	entry_t *entry;

	(void)apr_thread_mutex_lock(relay->lock);
	entry = find(relay, request);
	if (entry != NULL && entry->attempt == attempt) {
		entry->attempt = 0;
		jj_http_client_cancel(relay->client, entry->transfer);
	}
	(void)apr_thread_mutex_unlock(relay->lock);
}

bool
jj_stream_relay_take(jj_stream_relay_t *relay, uint64_t request,
    jj_http_call_t **call, bool *relayed)
{
	entry_t *entry;

	(void)apr_thread_mutex_lock(relay->lock);
	entry = find(relay, request);
	if (entry != NULL) {
		*call = entry->exchange.call;
		*relayed = entry->begun;
		entry->exchange.call = NULL;
		if (entry->attempt != 0)
			jj_http_client_cancel(relay->client, entry->transfer);
		(void)g_hash_table_remove(relay->table, &request);
	}
	(void)apr_thread_mutex_unlock(relay->lock);
	return entry != NULL;
}

bool
jj_stream_relay_forward_error(
    jj_stream_relay_t *relay, uint64_t request, bool not_run)
{
	bool forwarded = false;
	entry_t *entry;

	(void)apr_thread_mutex_lock(relay->lock);
	entry = find(relay, request);
	if (entry != NULL && entry->error != NULL && !entry->begun &&
	    (not_run || entry->error->status != STATUS_MISDIRECTED) &&
	    entry->exchange.call != NULL) {
		forwarded = true;
		if (entry->attempt != 0)
			jj_http_client_cancel(relay->client, entry->transfer);
		send_unstreamed(entry->error, entry);
		(void)g_hash_table_remove(relay->table, &request);
	}
	(void)apr_thread_mutex_unlock(relay->lock);
	return forwarded;
}

void
jj_stream_relay_resume(jj_stream_relay_t *relay, uint64_t request)
{
	entry_t *entry;

	(void)apr_thread_mutex_lock(relay->lock);
	entry = find(relay, request);
	if (entry != NULL && entry->attempt != 0)
		jj_http_client_resume(relay->client, entry->transfer);
	(void)apr_thread_mutex_unlock(relay->lock);
}

bool
jj_stream_relay_is_hop_header(const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	    "Expect"};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcasecmp(names[i], name) == 0)
			return true;
	return false;
}

static entry_t *
find(jj_stream_relay_t *relay, uint64_t request)
{
	return g_hash_table_lookup(relay->table, &request);
}

static void
free_entry(void *memory)
{
	entry_t *entry = memory;

	if (entry->exchange.call != NULL)
		jj_http_call_end_stream(entry->exchange.call, true);
	if (entry->error != NULL)
		free_attempt(entry->error);
	clear_exchange(&entry->exchange);
	drop_output(entry);
	free(entry);
}

static void
clear_exchange(jj_stream_exchange_t *exchange)
{
	size_t i;

	for (i = 0; i < exchange->header_count; i++)
		free(exchange->headers[i]);
	free(exchange->headers);
	free(exchange->id);
	free(exchange->method);
	free(exchange->uri);
	jj_bytes_free(&exchange->body);
}

static void
free_attempt(attempt_t *attempt)
{
	(void)hold(attempt->relay, &attempt->held, 0);
	jj_event_stream_clear(&attempt->events);
	jj_buffer_clear(&attempt->body);
	free(attempt->header_lines);
	free(attempt->id);
	free(attempt);
}

static void
on_head(void *ctx, const jj_http_head_t *head)
{
	attempt_t *attempt = ctx;

	attempt->status = head->status;
	attempt->body_end = head->body;
	attempt->header_lines = strdup(head->lines);
	check_head(attempt);
}

/**
 * Reads the next header line.
 * @param value points into the memory of the returned name.
 * @return the header's name, to be freed, or NULL at the end.
 */
static char *
read_header(const char **cursor, char **value)
{
	size_t length = strcspn(*cursor, "\n");
	char *line;

	if (**cursor == '\0')
		return NULL;
	line = g_strndup(*cursor, length);
	*cursor += length + ((*cursor)[length] == '\n');
	*value = strchr(line, ':');
	if (*value == NULL) {
		*value = line + strlen(line);
		return line;
	}
	*(*value)++ = '\0';
	*value += strspn(*value, " \t");
	return line;
}

/**
 * Guards against bytes that are not a valid answer to this request: a late
 * answer to another one (its echoed id differs or is missing), a body that a
 * proxy has encoded, an answer without the server's stamp, which comes from
 * another process at the server's address. None may reach the caller.
 */
static void
check_head(attempt_t *attempt)
{
	const jj_front_headers_t *names = &attempt->relay->deployment->headers;
	const char *cursor = attempt->header_lines;
	bool has_id = false;
	bool is_refusal;
	char *value;
	char *line;

	attempt->kind = ANSWER_UNSTREAMED;
	/* Only a 200 goes on with a stream. */
	if (attempt->streams &&
	    (attempt->status == 200 ||
		(attempt->status > 200 && attempt->status < 300 &&
		    !attempt->resumes)))
		attempt->kind = ANSWER_STREAM;
	while ((line = read_header(&cursor, &value)) != NULL) {
		if (strcasecmp(line, names->request_id) == 0) {
			has_id = true;
			if (strcmp(value, attempt->id) != 0)
				attempt->kind = ANSWER_INVALID;
		}
		if (strcasecmp(line, "Content-Encoding") == 0 &&
		    strcasecmp(value, "identity") != 0)
			attempt->kind = ANSWER_INVALID;
		if (strcasecmp(line, names->stamp) == 0)
			attempt->has_stamp = true;
		if (strcasecmp(line, names->not_run) == 0)
			attempt->not_run = strcmp(value, "0") != 0;
		if (strcasecmp(line, names->weights) == 0)
			attempt->weights = strtoull(value, NULL, 10);
		if (strcasecmp(line, names->instance) == 0) {
			attempt->is_named = true;
			attempt->is_other |=
			    strcmp(value, attempt->server.text) != 0;
		}
		g_free(line);
	}
	is_refusal = attempt->not_run || attempt->status == STATUS_MISDIRECTED;
	if (!is_refusal &&
	    (!attempt->has_stamp || (!has_id && attempt->id[0] != '\0')))
		attempt->kind = ANSWER_INVALID;
}

static jj_http_flow_t
on_data(void *ctx, const char *data, size_t size)
{
	attempt_t *attempt = ctx;
	jj_stream_relay_t *relay = attempt->relay;
	jj_http_flow_t flow = JJ_HTTP_CONSUMED;
	entry_t *entry;

	(void)apr_thread_mutex_lock(relay->lock);
	entry = find(relay, attempt->request);
	if (entry != NULL && entry->attempt == attempt->attempt) {
		if (attempt->kind == ANSWER_UNSTREAMED)
			receive_body(attempt, data, size);
		else if (attempt->kind == ANSWER_STREAM &&
		    entry->exchange.call != NULL &&
		    !jj_http_call_is_writable(entry->exchange.call))
			flow = JJ_HTTP_PAUSE;
		else if (attempt->kind == ANSWER_STREAM)
			receive_events(attempt, entry, data, size);
		if (attempt->kind == ANSWER_INVALID)
			flow = JJ_HTTP_ABORT;
	}
	(void)apr_thread_mutex_unlock(relay->lock);
	if (flow == JJ_HTTP_CONSUMED && attempt->kind == ANSWER_STREAM)
		report_progress(attempt);
	return flow;
}

/**
 * Prepares an exchange for its next attempt.
 * @return false when the events so far are from another software version: one
 * may have been forwarded that the core had not heard of when it chose a server.
 */
static bool
prepare_output(entry_t *entry, const jj_gateway_attempt_t *start)
{
	if (start->restarts) {
		drop_output(entry);
		entry->last_id = entry->exchange.last_id;
		entry->software = 0;
		entry->closes = 0;
	}
	if (entry->last_id == JJ_EVENT_NO_ID)
		return true;
	if (entry->software == 0)
		entry->software = start->software;
	return entry->software == start->software;
}

/** True if the request has a header that a server may be unable to satisfy. */
static bool
is_conditional(
    const jj_stream_relay_t *relay, const jj_stream_exchange_t *exchange)
{
	const jj_front_headers_t *names = &relay->deployment->headers;
	size_t name;
	size_t i;

	for (name = 0;
	     name < JJ_FRONT_CONDITIONS_MAX && names->conditions[name] != NULL;
	     name++)
		for (i = 0; i < exchange->header_count; i++)
			if (is_header(
				exchange->headers[i], names->conditions[name]))
				return true;
	return false;
}

/** True for the line of that header, also without a value. */
static bool
is_header(const char *line, const char *name)
{
	size_t size = strlen(name);

	return strncasecmp(line, name, size) == 0 &&
	    (line[size] == ':' || line[size] == ';');
}

static void
receive_events(
    attempt_t *attempt, entry_t *entry, const char *data, size_t size)
{
	jj_stream_event_t event;
	jj_event_result_t result = JJ_EVENT_COMPLETE;

	jj_event_stream_feed(&attempt->events, data, size);
	while (attempt->kind == ANSWER_STREAM && result == JJ_EVENT_COMPLETE) {
		result = jj_event_stream_next(&attempt->events, &event);
		if (result == JJ_EVENT_COMPLETE)
			forward_event(attempt, entry, &event);
	}
	if (result == JJ_EVENT_OUT_OF_SEQUENCE ||
	    !hold(attempt->relay, &attempt->held, attempt->events.capacity))
		attempt->kind = ANSWER_INVALID;
}

static void
forward_event(
    attempt_t *attempt, entry_t *entry, const jj_stream_event_t *event)
{
	attempt->event_count += event->id != JJ_EVENT_NO_ID;
	entry->last_id = attempt->events.last_id;
	entry->software = attempt->software;
	attempt->begun_software = attempt->software;
	if (entry->exchange.call == NULL) {
		append_output(attempt, entry, event);
		return;
	}
	if (!entry->begun)
		begin_answer(attempt, entry);
	(void)jj_http_call_write(
	    entry->exchange.call, event->raw, event->raw_size, true);
}

/**
 * An output without end would use up all memory. Nothing of it can be stored,
 * so the run begins anew.
 */
static void
append_output(
    attempt_t *attempt, entry_t *entry, const jj_stream_event_t *event)
{
	jj_stream_event_append_data(event, !entry->has_text, &entry->text);
	entry->has_text = entry->has_text || event->has_data;
	if (entry->text.size <= ITEM_TEXT_MAX &&
	    hold(entry->relay, &entry->text_held, entry->text.size))
		return;
	drop_output(entry);
	entry->last_id = JJ_EVENT_NO_ID;
	entry->software = 0;
	entry->closes = 0;
	attempt->kind = ANSWER_INVALID;
}

static void
drop_output(entry_t *entry)
{
	jj_bytes_free(&entry->text);
	(void)hold(entry->relay, &entry->text_held, 0);
	entry->has_text = false;
}

/**
 * Counts what is held in the guard's sum.
 * @return false if there is no memory for that.
 */
static bool
hold(jj_stream_relay_t *relay, size_t *held, size_t bytes)
{
	size_t counted =
	    (bytes + HOLD_STEP_BYTES - 1) / HOLD_STEP_BYTES * HOLD_STEP_BYTES;

	return jj_http_guard_hold_answer(relay->guard, held, counted, false);
}

static void
receive_body(attempt_t *attempt, const char *data, size_t size)
{
	size_t total = attempt->body.bytes.size + size;

	if (total > ANSWER_MAX ||
	    !hold(attempt->relay, &attempt->held, total)) {
		attempt->kind = ANSWER_INVALID;
		return;
	}
	jj_buffer_append(&attempt->body, data, size);
}

static void
begin_answer(attempt_t *attempt, entry_t *entry)
{
	GArray *fields = list_fields(attempt);
	jj_http_answer_t answer = make_answer(attempt, fields);

	entry->begun = true;
	jj_http_call_begin_stream(entry->exchange.call, &answer);
	free_fields(fields);
}

static void
send_unstreamed(attempt_t *attempt, entry_t *entry)
{
	GArray *fields = list_fields(attempt);
	jj_http_answer_t answer = make_answer(attempt, fields);

	if (!jj_http_call_answer(entry->exchange.call, &answer,
		attempt->body.bytes.data, attempt->body.bytes.size))
		jj_log(JJ_LOG_ERROR, "answer_misplaced", "request=%s status=%d",
		    attempt->id, attempt->status);
	entry->exchange.call = NULL;
	free_fields(fields);
}

static jj_http_answer_t
make_answer(const attempt_t *attempt, const GArray *fields)
{
	jj_http_answer_t answer = {0};

	answer.status = attempt->status;
	if (attempt->relay->close_connections) {
		answer.fields[0].name = "Connection";
		answer.fields[0].value = "close";
	}
	answer.more = (const jj_http_field_t *)(const void *)fields->data;
	answer.more_count = fields->len;
	return answer;
}

/** The server's headers without the hop-by-hop ones. */
static GArray *
list_fields(const attempt_t *attempt)
{
	GArray *fields = g_array_new(FALSE, FALSE, sizeof(jj_http_field_t));
	const char *cursor =
	    attempt->header_lines != NULL ? attempt->header_lines : "";
	jj_http_field_t field;
	char *value;
	char *line;

	while ((line = read_header(&cursor, &value)) != NULL) {
		if (jj_stream_relay_is_hop_header(line)) {
			g_free(line);
			continue;
		}
		field.name = line;
		field.value = value;
		(void)g_array_append_val(fields, field);
	}
	return fields;
}

static void
free_fields(GArray *fields)
{
	guint i;

	for (i = 0; i < fields->len; i++)
		g_free(
		    (gpointer)g_array_index(fields, jj_http_field_t, i).name);
	g_array_free(fields, TRUE);
}

static void
on_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	attempt_t *attempt = ctx;
	jj_stream_relay_t *relay = attempt->relay;
	jj_backend_kind_t kind = classify_end(attempt, end);
	jj_bytes_t text = {NULL, 0};
	bool is_current = false;
	bool is_kept = false;
	bool relayed = false;
	attempt_t ended;
	entry_t *entry;

	attempt->body_end = head->body;
	attempt->ended = head->ended;
	(void)apr_thread_mutex_lock(relay->lock);
	entry = find(relay, attempt->request);
	if (entry != NULL && entry->attempt == attempt->attempt) {
		is_current = true;
		entry->attempt = 0;
		relayed = entry->begun;
		if (kind == JJ_BACKEND_DONE && attempt->kind == ANSWER_STREAM &&
		    attempt->body_end == JJ_HTTP_BODY_CLOSE)
			kind = classify_close(attempt, entry);
		else if (attempt->kind != ANSWER_UNSTREAMED)
			entry->closes = 0;
		if (!fits_caller(attempt, entry, kind))
			kind = JJ_BACKEND_FAILED;
		entry->was_framed |= attempt->body_end == JJ_HTTP_BODY_LENGTH ||
		    attempt->body_end == JJ_HTTP_BODY_CHUNKS;
		if (kind == JJ_BACKEND_DONE || kind == JJ_BACKEND_REJECTED)
			finish_answer(attempt, entry, &text);
	}
	ended = *attempt;
	if (is_current && kind != JJ_BACKEND_DONE &&
	    kind != JJ_BACKEND_REJECTED)
		is_kept = keep_error(attempt, entry, kind);
	(void)apr_thread_mutex_unlock(relay->lock);
	/* A kept attempt may be freed by another thread now. */
	if (is_current)
		post_event(&ended, kind, head->retry_after_ms, relayed, &text);
	jj_bytes_free(&text);
	if (!is_kept)
		free_attempt(attempt);
}

/**
 * False for an answer that is no stream where events have come before: it can't
 * be the rest of them, and a caller can't be given another answer.
 */
static bool
fits_caller(
    const attempt_t *attempt, const entry_t *entry, jj_backend_kind_t kind)
{
	if (attempt->kind != ANSWER_UNSTREAMED)
		return true;
	if (attempt->is_item)
		return kind != JJ_BACKEND_DONE || !attempt->resumes;
	return !entry->begun ||
	    (kind != JJ_BACKEND_DONE && kind != JJ_BACKEND_REJECTED);
}

/**
 * Keeps an answer that the caller gets if no other attempt has a better one:
 * an error of the server, or its refusal because of what the request asks for.
 * A refusal holds only while no later attempt ends in another way.
 */
static bool
keep_error(attempt_t *attempt, entry_t *entry, jj_backend_kind_t kind)
{
	bool is_refusal = kind == JJ_BACKEND_MISMATCH &&
	    attempt->status == STATUS_MISDIRECTED;
	bool keeps = entry->exchange.call != NULL &&
	    (is_refusal ||
		(kind == JJ_BACKEND_FAILED && is_retried_error(attempt)));

	if (entry->error != NULL &&
	    (keeps || entry->error->status == STATUS_MISDIRECTED)) {
		free_attempt(entry->error);
		entry->error = NULL;
	}
	if (keeps)
		entry->error = attempt;
	return keeps;
}

/** True for a server's own error after which the request is sent again. */
static bool
is_retried_error(const attempt_t *attempt)
{
	return attempt->retries_errors && attempt->kind == ANSWER_UNSTREAMED &&
	    !attempt->not_run &&
	    (attempt->status == 500 || attempt->status == 501 ||
		attempt->status > 504);
}

/** Ends the caller's answer, or returns the output of a batch item. */
static void
finish_answer(attempt_t *attempt, entry_t *entry, jj_bytes_t *text)
{
	uint64_t request = attempt->request;

	if (entry->exchange.call == NULL) {
		*text = entry->text;
		memset(&entry->text, 0, sizeof(entry->text));
		drop_output(entry);
	} else if (attempt->kind == ANSWER_UNSTREAMED) {
		send_unstreamed(attempt, entry);
	} else {
		if (!entry->begun)
			begin_answer(attempt, entry);
		jj_http_call_end_stream(entry->exchange.call, false);
		entry->exchange.call = NULL;
	}
	(void)g_hash_table_remove(attempt->relay->table, &request);
}

static jj_backend_kind_t
classify_end(const attempt_t *attempt, jj_http_end_t end)
{
	if (attempt->kind == ANSWER_INVALID)
		return JJ_BACKEND_BROKEN;
	if (end != JJ_HTTP_COMPLETE)
		return jj_attempt_kind_of_end(end);
	if (attempt->kind == ANSWER_STREAM)
		return jj_event_stream_has_incomplete(&attempt->events) ||
			(attempt->event_count == 0 && !attempt->resumes)
		    ? JJ_BACKEND_BROKEN
		    : JJ_BACKEND_DONE;
	return classify_status(attempt);
}

/**
 * A stream that ended between two events, with its connection: the server may
 * have failed there. Where another attempt can tell, the end counts once
 * several in a row found it after the same event, more of them if the servers
 * are known to send lengths or chunks. A caller's stream that brought events
 * isn't kept waiting for that.
 */
static jj_backend_kind_t
classify_close(const attempt_t *attempt, entry_t *entry)
{
	bool is_item = entry->exchange.call == NULL;
	uint32_t needed = entry->was_framed ? FRAMED_CLOSES : CLOSES;

	if (entry->closed_after != entry->last_id)
		entry->closes = 0;
	entry->closes++;
	entry->closed_after = entry->last_id;
	return entry->closes >= needed || (!is_item && attempt->event_count > 0)
	    ? JJ_BACKEND_DONE
	    : JJ_BACKEND_UNCONFIRMED;
}

/**
 * A refusal tells that another process has the address, that the server is
 * full, that it lacks what the request asks for, or that the request is wrong.
 */
static jj_backend_kind_t
classify_refusal(const attempt_t *attempt)
{
	if (attempt->status == STATUS_MISDIRECTED &&
	    (attempt->is_other ||
		(!attempt->is_named && !attempt->is_conditional)))
		return JJ_BACKEND_LEAVING;
	if (attempt->status == 429 || attempt->status == 503)
		return attempt->is_conditional ? JJ_BACKEND_MISMATCH
					       : JJ_BACKEND_REFUSED;
	return attempt->is_item || attempt->status == STATUS_MISDIRECTED
	    ? JJ_BACKEND_MISMATCH
	    : JJ_BACKEND_REJECTED;
}

/**
 * Only the server's own statement (421 or the not-run header) proves that it
 * did not run a request. A status that implies it to the caller without that
 * statement is not forwarded.
 */
static jj_backend_kind_t
classify_status(const attempt_t *attempt)
{
	if (attempt->status == STATUS_MISDIRECTED || attempt->not_run)
		return classify_refusal(attempt);
	if (attempt->status >= 200 && attempt->status < 300)
		return JJ_BACKEND_DONE;
	switch (attempt->status) {
	case 408:
	case 429:
	case 502:
	case 503:
	case 504:
		return JJ_BACKEND_FAILED;
	default:
		return is_retried_error(attempt) ? JJ_BACKEND_FAILED
						 : JJ_BACKEND_REJECTED;
	}
}

static void
post_event(attempt_t *attempt, jj_backend_kind_t kind, jj_ms_t retry_after_ms,
    bool relayed, jj_bytes_t *text)
{
	jj_backend_event_t event = {0};

	event.request = attempt->request;
	event.attempt = attempt->attempt;
	event.kind = kind;
	event.retry_after_ms = retry_after_ms;
	event.relayed = relayed;
	event.software = attempt->begun_software;
	event.weights = attempt->weights;
	event.unframed =
	    (kind == JJ_BACKEND_DONE || kind == JJ_BACKEND_UNCONFIRMED) &&
	    attempt->body_end == JJ_HTTP_BODY_CLOSE;
	event.ended = attempt->ended;
	event.framing = jj_http_body_name(attempt->body_end);
	event.status = attempt->status;
	event.stamped = attempt->has_stamp;
	event.events = attempt->event_count;
	event.after = attempt->after;
	attempt->relay->port.on_event(
	    attempt->relay->port.ctx, &event, attempt->status, text);
}

/**
 * Reports the first event at once, later ones at intervals. Bytes that are no
 * event are no progress.
 */
static void
report_progress(attempt_t *attempt)
{
	jj_ms_t now;

	if (attempt->events.last_id == attempt->reported_id)
		return;
	now = jj_monotonic_now();
	if (!attempt->first_reported) {
		attempt->first_reported = true;
		attempt->reported_id = attempt->events.last_id;
		attempt->progress_reported_ms = now;
		post_event(attempt, JJ_BACKEND_FIRST, 0, false, NULL);
	} else if (now - attempt->progress_reported_ms >= PROGRESS_REPORT_MS) {
		attempt->reported_id = attempt->events.last_id;
		attempt->progress_reported_ms = now;
		post_event(attempt, JJ_BACKEND_TOKENS, 0, false, NULL);
	}
}
