/**
 * @file http_server.c
 * @brief HTTP server for callers and operators, on libmicrohttpd.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <glib.h>
#include <microhttpd.h>

#include "adapters/http_framing.h"
#include "adapters/http_server.h"
#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/runtime.h"

/** Interval of the check for callers that closed their connection, ms. */
#define DISCONNECT_CHECK_MS 200
/** Block size of streamed responses, bytes. */
#define STREAM_BLOCK_BYTES 16384
/** A stream's buffer that is empty keeps no more memory than that, bytes. */
#define STREAM_KEPT_BYTES 65536
/** A body without an announced length is held in steps of so many bytes. */
#define BODY_STEP_BYTES 65536
/** Buffers grow to twice their size and so many bytes more. */
#define BUFFER_SLACK_BYTES 256
/** Retry-After of a request that is refused for want of memory, s. */
#define MEMORY_RETRY_S "1"
/** Headers from a backend server may use 1/this of header_bytes. */
#define EXTRA_HEADERS_DIVISOR 2
/** Bytes of a header line besides name and value: ": " and CRLF. */
#define HEADER_LINE_OVERHEAD 4
/**
 * Locks shared by the calls of a server. APR allocates a lock from a pool, and
 * a pool per call would cost 8 KB each. No thread holds the locks of two calls.
 */
#define CALL_LOCKS 64

typedef enum {
	CALL_READING, /**< receiving the body */
	CALL_WAITING, /**< no answer yet */
	CALL_ANSWERED, /**< a complete answer is ready */
	CALL_STREAMING, /**< a streamed answer has begun */
	CALL_ENDED, /**< the stream's last byte is buffered */
} call_state_t;

struct jj_http_call {
	TAILQ_ENTRY(jj_http_call) link; /**< in the server's open_calls */
	jj_http_server_t *server;
	struct MHD_Connection *connection;
	atomic_int references;
	char *method;
	char *path;
	char *uri; /**< as received, not decoded */
	bool is_upload;
	bool passed_to_port; /**< on_request or on_upload was called */
	bool ends_early; /**< answered without its body */
	jj_http_request_limits_t limits; /**< when its head was complete */
	int64_t length; /**< see jj_http_call_length() */
	jj_bytes_t body;
	size_t body_capacity;
	void *context;

	/* Parts of what the guard holds; not changed once finished. */
	jj_http_peer_t *peer; /**< valid until finished */
	size_t body_held; /**< the body with the port's copies, bytes */
	size_t port_held; /**< by jj_http_call_hold(), bytes */
	size_t answer_held; /**< buffers of the answer, bytes */

	jj_ms_t upload_spent_ms; /**< waiting for the caller, since then: */
	size_t upload_since; /**< bytes, up to the limit of a body */

	apr_thread_mutex_t *lock; /**< one of the server's; guards all below */
	call_state_t state;
	bool suspended;
	bool disconnected; /**< by the caller, or as the server stops */
	bool finished; /**< libmicrohttpd has completed the request */
	bool broken;
	bool report_writable; /**< a write was refused: on_writable follows */
	struct MHD_Response *response;
	int status;
	char *buffer;
	size_t buffer_start;
	size_t buffer_size;
	size_t buffer_capacity;
};

/** Callback for each header, with its context. */
typedef struct {
	void (*take)(void *, const char *, const char *);
	void *ctx;
} header_callback_t;

/** What the headers of a request state. */
typedef struct {
	jj_http_framing_t framing;
	uint32_t hosts;
	size_t bytes; /**< of names and values */
} head_t;

struct jj_http_server {
	struct MHD_Daemon *daemon;
	jj_http_port_t port;
	jj_http_limits_t limits;
	atomic_size_t head_bytes; /**< see jj_http_request_limits_t */
	atomic_size_t body_bytes;
	atomic_int_fast64_t idle_ms;
	jj_http_share_t share; /**< with a reference to the guard */
	apr_pool_t *pool;
	/** One of the owner and one per call: calls may outlive the server. */
	atomic_int references;
	apr_thread_mutex_t *lock; /**< guards open_calls and stopping */
	TAILQ_HEAD(, jj_http_call) open_calls;
	atomic_uint open_count;
	apr_thread_mutex_t *call_locks[CALL_LOCKS];
	atomic_uint next_call_lock;
	apr_thread_t *disconnect_checker;
	apr_pollset_t *waker; /**< ends the wait of disconnect_checker */
	bool stopping;
};

static enum MHD_Result handle(void *, struct MHD_Connection *, const char *,
    const char *, const char *, const char *, size_t *, void **);
static void *prepare_call(void *, const char *, struct MHD_Connection *);
static enum MHD_Result
begin_call(jj_http_call_t *, const char *, const char *, const head_t *);
static int check_head(jj_http_call_t *, const char *, head_t *);
static int check_body(jj_http_call_t *, const head_t *);
static bool is_target(const char *);
static enum MHD_Result take_head_field(
    void *, enum MHD_ValueKind, const char *, size_t, const char *, size_t);
static enum MHD_Result reject_head(jj_http_call_t *, int, bool);
static enum MHD_Result take_head(jj_http_call_t *, const head_t *);
static bool has_body(const head_t *);
static enum MHD_Result
pass_header(void *, enum MHD_ValueKind, const char *, const char *);
static enum MHD_Result collect_body(jj_http_call_t *, const char *, size_t *);
static enum MHD_Result end_body(jj_http_call_t *, int);
static enum MHD_Result pass_upload(jj_http_call_t *, const char *, size_t *);
static enum MHD_Result continue_call(jj_http_call_t *);
static void count_over_limit(int);
static void on_connection(void *, struct MHD_Connection *, void **,
    enum MHD_ConnectionNotificationCode);
static void on_completed(
    void *, struct MHD_Connection *, void **, enum MHD_RequestTerminationCode);
static ssize_t read_stream(void *, uint64_t, char *, size_t);
static void resume_connection(jj_http_call_t *);
static void add_headers(
    const jj_http_call_t *, struct MHD_Response *, const jj_http_answer_t *);
static void *APR_THREAD_FUNC run_disconnect_checks(apr_thread_t *, void *);
static jj_http_call_t *find_disconnected(jj_http_server_t *, bool *);
static void notify_disconnect(jj_http_server_t *, jj_http_call_t *);
static bool detect_disconnect(jj_http_call_t *);
static bool parse_address(const char *, struct sockaddr_in *);
static void ensure_capacity(char **, size_t *, size_t);
static jj_http_server_t *prepare_server(
    const jj_http_limits_t *, const jj_http_port_t *, const jj_http_share_t *);
static void release_server(jj_http_server_t *);
static bool enter(const jj_http_call_t *, jj_caller_phase_t);
static bool hold(jj_http_call_t *, size_t *, size_t, bool);
static bool grow_buffer(jj_http_call_t *, size_t, bool);
static void free_buffer(jj_http_call_t *);

jj_http_server_t *
jj_http_server_create(
    const jj_http_limits_t *limits, const jj_http_port_t *port)
{
	jj_http_guard_limits_t none = {0, 0, 0};
	jj_http_share_t share = {jj_http_guard_create(&none), 1, 0};
	jj_http_server_t *server =
	    jj_http_server_create_guarded(limits, port, &share);

	jj_http_guard_release(share.guard);
	return server;
}

jj_http_server_t *
jj_http_server_create_guarded(const jj_http_limits_t *limits,
    const jj_http_port_t *port, const jj_http_share_t *share)
{
	jj_http_server_t *server = prepare_server(limits, port, share);
	struct sockaddr_in address;
	unsigned int flags =
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;

	server->waker = jj_runtime_create_waker(server->pool);
	if (server->waker == NULL)
		goto out;
	if (!parse_address(limits->address, &address))
		goto out;
	server->daemon = MHD_start_daemon(flags, 0, NULL, NULL, handle, server,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
	    MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)limits->threads,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)limits->connections,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits->header_bytes,
	    MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned int)(limits->idle_ms / 1000),
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_URI_LOG_CALLBACK,
	    prepare_call, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
	    server, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
	    MHD_OPTION_END);
	if (server->daemon == NULL)
		goto out;
	server->disconnect_checker = jj_runtime_start_thread(
	    server->pool, run_disconnect_checks, server);
	if (server->disconnect_checker == NULL)
		goto out_daemon;
	return server;

out_daemon:
	MHD_stop_daemon(server->daemon);
out:
	release_server(server);
	return NULL;
}

void
jj_http_server_set_limits(
    jj_http_server_t *server, const jj_http_request_limits_t *limits)
{
	atomic_store(&server->head_bytes, limits->head_bytes);
	atomic_store(&server->body_bytes, limits->body_bytes);
	atomic_store(&server->idle_ms, limits->idle_ms);
}

void
jj_http_server_destroy(jj_http_server_t *server)
{
	jj_http_call_t *call;

	if (server == NULL)
		return;
	(void)apr_thread_mutex_lock(server->lock);
	server->stopping = true;
	TAILQ_FOREACH(call, &server->open_calls, link)
	{
		(void)apr_thread_mutex_lock(call->lock);
		call->disconnected = true;
		resume_connection(call);
		(void)apr_thread_mutex_unlock(call->lock);
	}
	(void)apr_thread_mutex_unlock(server->lock);
	(void)apr_pollset_wakeup(server->waker);
	jj_runtime_join_thread(server->disconnect_checker);
	MHD_stop_daemon(server->daemon);
	release_server(server);
}

uint32_t
jj_http_server_open_count(const jj_http_server_t *server)
{
	return atomic_load(&server->open_count);
}

const char *
jj_http_call_method(const jj_http_call_t *call)
{
	return call->method;
}

const char *
jj_http_call_path(const jj_http_call_t *call)
{
	return call->path;
}

const char *
jj_http_call_uri(const jj_http_call_t *call)
{
	return call->uri;
}

void
jj_http_call_each_header(const jj_http_call_t *call,
    void (*take)(void *ctx, const char *name, const char *value), void *ctx)
{
	header_callback_t callback = {take, ctx};

	(void)MHD_get_connection_values(
	    call->connection, MHD_HEADER_KIND, pass_header, &callback);
}

const char *
jj_http_call_header(const jj_http_call_t *call, const char *name)
{
	return MHD_lookup_connection_value(
	    call->connection, MHD_HEADER_KIND, name);
}

const char *
jj_http_call_query(const jj_http_call_t *call, const char *name)
{
	return MHD_lookup_connection_value(
	    call->connection, MHD_GET_ARGUMENT_KIND, name);
}

const jj_bytes_t *
jj_http_call_body(const jj_http_call_t *call)
{
	return &call->body;
}

int64_t
jj_http_call_length(const jj_http_call_t *call)
{
	return call->length;
}

jj_bytes_t
jj_http_call_take_body(jj_http_call_t *call)
{
	jj_bytes_t body = call->body;

	memset(&call->body, 0, sizeof(call->body));
	call->body_capacity = 0;
	return body;
}

bool
jj_http_call_hold(jj_http_call_t *call, size_t bytes)
{
	return hold(call, &call->port_held, bytes, false);
}

void
jj_http_call_set_context(jj_http_call_t *call, void *context)
{
	call->context = context;
}

void *
jj_http_call_context(const jj_http_call_t *call)
{
	return call->context;
}

bool
jj_http_call_answer(jj_http_call_t *call, const jj_http_answer_t *answer,
    const void *body, size_t size)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    size, (void *)body, MHD_RESPMEM_MUST_COPY);
	bool fits = true;

	JJ_INVARIANT(response != NULL);
	add_headers(call, response, answer);
	(void)apr_thread_mutex_lock(call->lock);
	if (call->state == CALL_READING || call->state == CALL_WAITING) {
		call->response = response;
		call->status = answer->status;
		call->state = CALL_ANSWERED;
		response = NULL;
		/* The caller's next upload may come before this one's end. */
		if (!call->finished && call->is_upload)
			(void)hold(call, &call->body_held, 0, true);
		if (!call->finished)
			(void)hold(call, &call->answer_held, size, true);
		resume_connection(call);
	} else {
		fits = call->state != CALL_STREAMING || call->disconnected;
		call->broken = call->broken || call->state == CALL_STREAMING;
		if (call->state == CALL_STREAMING)
			call->state = CALL_ENDED;
		resume_connection(call);
	}
	(void)apr_thread_mutex_unlock(call->lock);
	if (!fits)
		jj_counter_add(
		    jj_metrics_counter("jujube_answers_misplaced_total",
			"Streams cut as a whole answer was to be sent.", NULL,
			NULL),
		    1);
	if (response != NULL)
		MHD_destroy_response(response);
	jj_http_call_release(call);
	return fits;
}

void
jj_http_call_begin_stream(jj_http_call_t *call, const jj_http_answer_t *answer)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, call, NULL);

	JJ_INVARIANT(response != NULL);
	add_headers(call, response, answer);
	(void)apr_thread_mutex_lock(call->lock);
	call->response = response;
	call->status = answer->status;
	call->state = CALL_STREAMING;
	if (!call->finished)
		(void)hold(call, &call->answer_held,
		    STREAM_BLOCK_BYTES + call->buffer_capacity, true);
	resume_connection(call);
	(void)apr_thread_mutex_unlock(call->lock);
}

bool
jj_http_call_write(
    jj_http_call_t *call, const void *data, size_t size, bool must)
{
	bool taken = true;

	(void)apr_thread_mutex_lock(call->lock);
	if (call->disconnected || call->finished) {
		taken = true;
	} else if (!must &&
	    call->buffer_size >= call->server->limits.stream_bytes) {
		call->report_writable = true;
		taken = false;
	} else if (!grow_buffer(call, size, must || call->buffer_size == 0)) {
		call->report_writable = true;
		taken = false;
	} else {
		memcpy(call->buffer + call->buffer_start + call->buffer_size,
		    data, size);
		call->buffer_size += size;
		resume_connection(call);
	}
	(void)apr_thread_mutex_unlock(call->lock);
	return taken;
}

bool
jj_http_call_is_writable(jj_http_call_t *call)
{
	bool writable;

	(void)apr_thread_mutex_lock(call->lock);
	/* An empty buffer is always writable: only its end reports space. */
	writable = call->disconnected || call->finished ||
	    call->buffer_size == 0 ||
	    (call->buffer_size < call->server->limits.stream_bytes &&
		grow_buffer(call, STREAM_BLOCK_BYTES, false));
	if (!writable)
		call->report_writable = true;
	(void)apr_thread_mutex_unlock(call->lock);
	return writable;
}

bool
jj_http_call_is_disconnected(jj_http_call_t *call)
{
	bool disconnected;

	(void)apr_thread_mutex_lock(call->lock);
	disconnected = call->disconnected;
	(void)apr_thread_mutex_unlock(call->lock);
	return disconnected;
}

void
jj_http_call_end_stream(jj_http_call_t *call, bool broken)
{
	(void)apr_thread_mutex_lock(call->lock);
	call->state = CALL_ENDED;
	call->broken = broken;
	resume_connection(call);
	(void)apr_thread_mutex_unlock(call->lock);
	jj_http_call_release(call);
}

void
jj_http_call_resume_upload(jj_http_call_t *call)
{
	(void)apr_thread_mutex_lock(call->lock);
	resume_connection(call);
	(void)apr_thread_mutex_unlock(call->lock);
}

void
jj_http_call_retain(jj_http_call_t *call)
{
	(void)atomic_fetch_add(&call->references, 1);
}

void
jj_http_call_release(jj_http_call_t *call)
{
	if (atomic_fetch_sub(&call->references, 1) != 1)
		return;
	if (call->response != NULL)
		MHD_destroy_response(call->response);
	release_server(call->server);
	free(call->buffer);
	free(call->method);
	free(call->path);
	free(call->uri);
	jj_bytes_free(&call->body);
	free(call);
}

/**
 * libmicrohttpd calls this after the request's headers, for each piece of the
 * body, after its end, and after the connection was resumed.
 */
static enum MHD_Result
handle(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **memory)
{
	jj_http_call_t *call = *memory;
	head_t head = {0};
	bool disconnected;
	bool reading;
	int rejected;

	(void)ctx;
	(void)connection;
	if (call->path == NULL) {
		rejected = check_head(call, version, &head);
		return rejected != 0
		    ? reject_head(call, rejected, has_body(&head))
		    : begin_call(call, url, method, &head);
	}
	(void)apr_thread_mutex_lock(call->lock);
	disconnected = call->disconnected;
	reading = call->state == CALL_READING;
	(void)apr_thread_mutex_unlock(call->lock);
	if (disconnected)
		return MHD_NO;
	if (*size > 0 && reading)
		return call->is_upload ? pass_upload(call, data, size)
				       : collect_body(call, data, size);
	if (*size > 0) {
		/* Answered before the body ended: discard the rest of it. */
		*size = 0;
		return MHD_YES;
	}
	return continue_call(call);
}

/** Called with the URI of the request line before it is decoded. */
static void *
prepare_call(void *ctx, const char *uri, struct MHD_Connection *connection)
{
	jj_http_server_t *server = ctx;
	jj_http_call_t *call = jj_alloc(sizeof(*call));

	call->server = server;
	call->connection = connection;
	call->peer = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			 ->socket_context;
	call->uri = strdup(uri);
	call->lock =
	    server->call_locks[atomic_fetch_add(&server->next_call_lock, 1) %
		CALL_LOCKS];
	(void)atomic_fetch_add(&server->references, 1);
	atomic_init(&call->references, 1);
	(void)atomic_fetch_add(&server->open_count, 1);
	(void)apr_thread_mutex_lock(server->lock);
	TAILQ_INSERT_TAIL(&server->open_calls, call, link);
	(void)apr_thread_mutex_unlock(server->lock);
	return call;
}

/**
 * Guards against a request inside the body of another one: where a proxy and
 * this process find another end of the body, one caller's bytes become a
 * request on another caller's connection.
 * @return the status to reject the request with; 0: it is valid.
 */
static int
check_head(jj_http_call_t *call, const char *version, head_t *head)
{
	(void)MHD_get_connection_values_n(
	    call->connection, MHD_HEADER_KIND, take_head_field, head);
	if (!jj_http_framing_is_valid(&head->framing) || head->hosts > 1 ||
	    !is_target(call->uri) ||
	    (head->framing.has_chunks &&
		strcmp(version, MHD_HTTP_VERSION_1_1) != 0))
		return MHD_HTTP_BAD_REQUEST;
	if (has_body(head))
		call->length =
		    head->framing.has_chunks ? -1 : head->framing.length;
	call->limits.head_bytes = atomic_load(&call->server->head_bytes);
	call->limits.body_bytes = atomic_load(&call->server->body_bytes);
	if (head->bytes > call->limits.head_bytes)
		return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
	return 0;
}

/** False if spaces or control characters are in a request's target. */
static bool
is_target(const char *uri)
{
	for (; *uri != '\0'; uri++)
		if (*uri == ' ' || g_ascii_iscntrl(*uri))
			return false;
	return true;
}

static enum MHD_Result
take_head_field(void *ctx, enum MHD_ValueKind kind, const char *name,
    size_t name_size, const char *value, size_t value_size)
{
	head_t *head = ctx;

	(void)kind;
	jj_http_framing_take(&head->framing, name, name_size,
	    value != NULL ? value : "", value_size);
	head->hosts += strcasecmp(name, "Host") == 0;
	head->bytes += name_size + value_size;
	return MHD_YES;
}

/** libmicrohttpd closes the connection, as nothing of the body was read. */
static enum MHD_Result
reject_head(jj_http_call_t *call, int status, bool lingers)
{
	static const char too_large[] =
	    "{\"type\":\"about:blank\",\"title\":\"Content Too Large\","
	    "\"status\":413,\"code\":\"body_too_large\",\"run\":\"not_run\"}";
	bool explains = status == MHD_HTTP_CONTENT_TOO_LARGE;
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    explains ? sizeof(too_large) - 1 : 0, (void *)too_large,
	    MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;

	JJ_INVARIANT(response != NULL);
	if (status == MHD_HTTP_BAD_REQUEST)
		jj_log(JJ_LOG_INFO, "request_malformed", "status=%d", status);
	else
		count_over_limit(status);
	if (explains)
		(void)MHD_add_response_header(response,
		    MHD_HTTP_HEADER_CONTENT_TYPE, "application/problem+json");
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_RETRY_AFTER, MEMORY_RETRY_S);
	(void)MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONNECTION, "close");
	if (lingers)
		jj_http_guard_linger(call->server->share.guard, call->peer);
	(void)enter(call, JJ_CALLER_SENDING);
	result = MHD_queue_response(
	    call->connection, (unsigned int)status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
begin_call(jj_http_call_t *call, const char *url, const char *method,
    const head_t *head)
{
	const jj_http_port_t *port = &call->server->port;
	int rejected;

	call->method = strdup(method);
	call->path = strdup(url);
	if (port->on_headers != NULL) {
		jj_http_call_retain(call);
		call->passed_to_port = true;
		if (port->on_headers(port->ctx, call))
			return take_head(call, head);
		call->passed_to_port = false;
		jj_http_call_release(call);
	}
	call->is_upload =
	    port->takes_upload != NULL && port->takes_upload(port->ctx, call);
	rejected = check_body(call, head);
	if (rejected != 0)
		return reject_head(call, rejected, true);
	if (has_body(head))
		(void)enter(call, JJ_CALLER_BODY);
	return MHD_YES;
}

static bool
has_body(const head_t *head)
{
	return head->framing.has_chunks ||
	    (head->framing.has_length && head->framing.length > 0);
}

/**
 * Reserves memory for a body whose length is known.
 * @return the status to reject the request with; 0: its body may come.
 */
static int
check_body(jj_http_call_t *call, const head_t *head)
{
	const jj_http_share_t *share = &call->server->share;
	int64_t length = head->framing.has_length ? head->framing.length : 0;
	size_t needed = (size_t)length * share->body_copies;

	if (!has_body(head))
		return 0;
	if (call->is_upload)
		needed = share->upload_bytes;
	else if ((uint64_t)length > call->limits.body_bytes)
		return MHD_HTTP_CONTENT_TOO_LARGE;
	return hold(call, &call->body_held, needed, false)
	    ? 0
	    : MHD_HTTP_SERVICE_UNAVAILABLE;
}

/** The port has taken a request without its body. */
static enum MHD_Result
take_head(jj_http_call_t *call, const head_t *head)
{
	(void)apr_thread_mutex_lock(call->lock);
	if (call->state == CALL_READING)
		call->state = CALL_WAITING;
	(void)apr_thread_mutex_unlock(call->lock);
	(void)enter(call, JJ_CALLER_SERVED);
	call->ends_early = has_body(head);
	/* An answer before the body must be queued before it is received. */
	return call->ends_early ? continue_call(call) : MHD_YES;
}

static enum MHD_Result
pass_header(
    void *ctx, enum MHD_ValueKind kind, const char *name, const char *value)
{
	header_callback_t *callback = ctx;

	(void)kind;
	callback->take(callback->ctx, name, value != NULL ? value : "");
	return MHD_YES;
}

static enum MHD_Result
collect_body(jj_http_call_t *call, const char *data, size_t *size)
{
	size_t needed = call->body.size + *size;
	size_t held = needed * call->server->share.body_copies;

	if (needed > call->limits.body_bytes)
		return end_body(call, MHD_HTTP_CONTENT_TOO_LARGE);
	if (held > call->body_held &&
	    !hold(call, &call->body_held, held + BODY_STEP_BYTES, false))
		return end_body(call, MHD_HTTP_SERVICE_UNAVAILABLE);
	ensure_capacity(&call->body.data, &call->body_capacity, needed + 1);
	memcpy(call->body.data + call->body.size, data, *size);
	call->body.size = needed;
	call->body.data[needed] = '\0';
	*size = 0;
	return MHD_YES;
}

/** Answers in the middle of a body, which libmicrohttpd can't, and closes. */
static enum MHD_Result
end_body(jj_http_call_t *call, int status)
{
	count_over_limit(status);
	jj_http_guard_answer(call->server->share.guard, call->peer, status);
	return MHD_NO;
}

static enum MHD_Result
pass_upload(jj_http_call_t *call, const char *data, size_t *size)
{
	const jj_http_port_t *port = &call->server->port;
	size_t taken;

	if (!call->passed_to_port) {
		call->passed_to_port = true;
		jj_http_call_retain(call);
	}
	/*
	 * Suspend before calling the port: jj_http_call_resume_upload may run
	 * on another thread during the call. If it found the connection not
	 * suspended, it would have no effect and the upload would stall.
	 */
	(void)apr_thread_mutex_lock(call->lock);
	MHD_suspend_connection(call->connection);
	call->suspended = true;
	call->upload_spent_ms =
	    jj_http_guard_pause(call->server->share.guard, call->peer);
	call->upload_since += *size;
	if (call->upload_since >= call->limits.body_bytes) {
		call->upload_spent_ms = 0;
		call->upload_since = 0;
	}
	(void)apr_thread_mutex_unlock(call->lock);
	taken = port->on_upload(port->ctx, call, data, *size);
	if (taken > 0) {
		(void)apr_thread_mutex_lock(call->lock);
		resume_connection(call);
		(void)apr_thread_mutex_unlock(call->lock);
	}
	*size -= taken;
	return MHD_YES;
}

/** The body is complete, or the connection was resumed. */
static enum MHD_Result
continue_call(jj_http_call_t *call)
{
	const jj_http_port_t *port = &call->server->port;
	struct MHD_Response *response = NULL;
	enum MHD_Result result = MHD_YES;
	bool first;

	(void)apr_thread_mutex_lock(call->lock);
	first = call->state == CALL_READING;
	if (first)
		call->state = CALL_WAITING;
	(void)apr_thread_mutex_unlock(call->lock);
	if (first) {
		/* Its caller was told that it does not run. */
		if (!enter(call, JJ_CALLER_SERVED))
			return MHD_NO;
		if (!call->passed_to_port)
			jj_http_call_retain(call);
		call->passed_to_port = true;
		port->on_request(port->ctx, call);
	}
	(void)apr_thread_mutex_lock(call->lock);
	if (call->disconnected) {
		result = MHD_NO;
	} else if (call->state == CALL_WAITING) {
		call->suspended = true;
		MHD_suspend_connection(call->connection);
	} else if (call->response != NULL) {
		response = call->response;
		call->response = NULL;
	}
	(void)apr_thread_mutex_unlock(call->lock);
	if (response != NULL) {
		if (call->ends_early) {
			(void)MHD_add_response_header(
			    response, MHD_HTTP_HEADER_CONNECTION, "close");
			jj_http_guard_linger(
			    call->server->share.guard, call->peer);
		}
		(void)enter(call, JJ_CALLER_SENDING);
		result = MHD_queue_response(
		    call->connection, (unsigned int)call->status, response);
		MHD_destroy_response(response);
	}
	return result;
}

static void
count_over_limit(int status)
{
	char label[16];

	(void)snprintf(label, sizeof(label), "%d", status);
	jj_counter_add(
	    jj_metrics_counter("jujube_requests_over_limit_total",
		"Requests refused as they exceed a limit.", "status", label),
	    1);
}

static void
on_connection(void *ctx, struct MHD_Connection *connection, void **context,
    enum MHD_ConnectionNotificationCode code)
{
	jj_http_server_t *server = ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		(void)MHD_set_connection_option(connection,
		    MHD_CONNECTION_OPTION_TIMEOUT,
		    (unsigned int)((atomic_load(&server->idle_ms) + 999) /
			1000));
		*context = jj_http_guard_open(server->share.guard,
		    MHD_get_connection_info(
			connection, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd);
	} else {
		jj_http_guard_close(server->share.guard, *context);
		*context = NULL;
	}
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **memory,
    enum MHD_RequestTerminationCode code)
{
	jj_http_server_t *server = ctx;
	jj_http_call_t *call = *memory;
	bool unfinished;
	bool notified;

	(void)connection;
	(void)code;
	if (call == NULL)
		return;
	*memory = NULL;
	(void)apr_thread_mutex_lock(server->lock);
	TAILQ_REMOVE(&server->open_calls, call, link);
	(void)apr_thread_mutex_unlock(server->lock);
	(void)apr_thread_mutex_lock(call->lock);
	notified = call->disconnected;
	call->finished = true;
	call->disconnected = true;
	unfinished = call->passed_to_port && call->state != CALL_ANSWERED &&
	    call->state != CALL_ENDED;
	(void)hold(call, &call->body_held, 0, true);
	(void)hold(call, &call->port_held, 0, true);
	(void)hold(call, &call->answer_held, 0, true);
	(void)enter(call, JJ_CALLER_IDLE);
	/* The port may keep its reference for long. */
	free_buffer(call);
	(void)apr_thread_mutex_unlock(call->lock);
	if (unfinished && !notified && server->port.on_disconnect != NULL)
		server->port.on_disconnect(server->port.ctx, call);
	(void)atomic_fetch_sub(&server->open_count, 1);
	jj_http_call_release(call);
}

static ssize_t
read_stream(void *ctx, uint64_t position, char *target, size_t size)
{
	jj_http_call_t *call = ctx;
	const jj_http_port_t *port = &call->server->port;
	ssize_t result = 0;
	bool writable = false;

	(void)position;
	(void)apr_thread_mutex_lock(call->lock);
	if (call->buffer_size > 0) {
		if (size > call->buffer_size)
			size = call->buffer_size;
		memcpy(target, call->buffer + call->buffer_start, size);
		call->buffer_start += size;
		call->buffer_size -= size;
		result = (ssize_t)size;
		if (call->buffer_size == 0 &&
		    call->buffer_capacity > STREAM_KEPT_BYTES) {
			free_buffer(call);
			(void)hold(
			    call, &call->answer_held, STREAM_BLOCK_BYTES, true);
		}
		(void)enter(call, JJ_CALLER_SENDING);
		writable = call->report_writable &&
		    call->buffer_size < call->server->limits.stream_bytes / 2;
		if (writable)
			call->report_writable = false;
	} else if (call->disconnected) {
		result = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (call->state == CALL_ENDED) {
		result = call->broken ? MHD_CONTENT_READER_END_WITH_ERROR
				      : MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		call->suspended = true;
		MHD_suspend_connection(call->connection);
		(void)enter(call, JJ_CALLER_SERVED);
	}
	(void)apr_thread_mutex_unlock(call->lock);
	if (writable && port->on_writable != NULL)
		port->on_writable(port->ctx, call);
	return result;
}

/** Resumes a suspended connection; the call's lock is held. */
static void
resume_connection(jj_http_call_t *call)
{
	if (!call->suspended || call->finished)
		return;
	call->suspended = false;
	if (call->state == CALL_READING)
		(void)jj_http_guard_continue(call->server->share.guard,
		    call->peer, JJ_CALLER_BODY, call->upload_spent_ms);
	MHD_resume_connection(call->connection);
}

static void
add_headers(const jj_http_call_t *call, struct MHD_Response *response,
    const jj_http_answer_t *answer)
{
	size_t free_bytes =
	    call->server->limits.header_bytes / EXTRA_HEADERS_DIVISOR;
	size_t i;

	if (answer->content_type != NULL)
		(void)MHD_add_response_header(
		    response, "Content-Type", answer->content_type);
	for (i = 0; i < JJ_HTTP_ANSWER_HEADERS_MAX; i++) {
		if (answer->fields[i].name == NULL)
			break;
		(void)MHD_add_response_header(
		    response, answer->fields[i].name, answer->fields[i].value);
	}
	/*
	 * libmicrohttpd closes the connection if its memory does not hold the
	 * headers: leave out those that exceed the limit.
	 */
	for (i = 0; i < answer->more_count; i++) {
		size_t size = strlen(answer->more[i].name) +
		    strlen(answer->more[i].value) + HEADER_LINE_OVERHEAD;

		if (size > free_bytes)
			continue;
		free_bytes -= size;
		(void)MHD_add_response_header(
		    response, answer->more[i].name, answer->more[i].value);
	}
}

/**
 * Detects callers that disconnect while they wait. libmicrohttpd does not poll
 * a suspended connection, so without this check the call would keep its request
 * slot at a backend server until the answer is written.
 */
static void *APR_THREAD_FUNC
run_disconnect_checks(apr_thread_t *thread, void *argument)
{
	jj_http_server_t *server = argument;
	jj_http_call_t *closed;
	bool stopping = false;

	(void)thread;
	while (!stopping) {
		jj_runtime_wait(server->waker, DISCONNECT_CHECK_MS);
		jj_http_guard_tick(server->share.guard);
		while ((closed = find_disconnected(server, &stopping)) != NULL)
			notify_disconnect(server, closed);
	}
	return NULL;
}

/** A call whose caller disconnected, with a reference; NULL: none left. */
static jj_http_call_t *
find_disconnected(jj_http_server_t *server, bool *stopping)
{
	jj_http_call_t *call = NULL;

	(void)apr_thread_mutex_lock(server->lock);
	*stopping = server->stopping;
	if (!*stopping) {
		TAILQ_FOREACH(call, &server->open_calls, link)
		{
			if (detect_disconnect(call))
				break;
		}
	}
	if (call != NULL)
		jj_http_call_retain(call);
	(void)apr_thread_mutex_unlock(server->lock);
	return call;
}

static void
notify_disconnect(jj_http_server_t *server, jj_http_call_t *call)
{
	if (server->port.on_disconnect != NULL)
		server->port.on_disconnect(server->port.ctx, call);
	(void)apr_thread_mutex_lock(call->lock);
	resume_connection(call);
	(void)apr_thread_mutex_unlock(call->lock);
	jj_http_call_release(call);
}

/** Detects that the caller of a suspended call disconnected; true only once. */
static bool
detect_disconnect(jj_http_call_t *call)
{
	const union MHD_ConnectionInfo *info;
	bool closed = false;
	char byte;

	(void)apr_thread_mutex_lock(call->lock);
	if (call->suspended && !call->disconnected && call->passed_to_port &&
	    (call->state == CALL_WAITING || call->state == CALL_STREAMING)) {
		info = MHD_get_connection_info(
		    call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		closed = info != NULL &&
		    recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
			0;
		if (closed)
			call->disconnected = true;
	}
	(void)apr_thread_mutex_unlock(call->lock);
	return closed;
}

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
	char ip[64];
	const char *colon = strrchr(text, ':');

	memset(address, 0, sizeof(*address));
	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	(void)snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

static void
ensure_capacity(char **memory, size_t *capacity, size_t needed)
{
	if (needed <= *capacity)
		return;
	*capacity = needed + *capacity + BUFFER_SLACK_BYTES;
	*memory = jj_realloc(*memory, *capacity);
}

/** False if the connection is being closed. */
static bool
enter(const jj_http_call_t *call, jj_caller_phase_t phase)
{
	return jj_http_guard_enter(
	    call->server->share.guard, call->peer, phase);
}

/** Changes a part of what is held for a call; not once it is finished. */
static bool
hold(jj_http_call_t *call, size_t *part, size_t bytes, bool must)
{
	return jj_http_guard_hold(
	    call->server->share.guard, call->peer, part, bytes, must);
}

/** Makes room for more bytes of a stream; false if there is no memory left. */
static bool
grow_buffer(jj_http_call_t *call, size_t more, bool must)
{
	size_t needed = call->buffer_size + more;
	size_t capacity = needed + call->buffer_capacity + BUFFER_SLACK_BYTES;

	if (needed > call->buffer_capacity &&
	    !hold(
		call, &call->answer_held, STREAM_BLOCK_BYTES + capacity, must))
		return false;
	if (call->buffer_start + needed > call->buffer_capacity &&
	    call->buffer_start > 0) {
		memmove(call->buffer, call->buffer + call->buffer_start,
		    call->buffer_size);
		call->buffer_start = 0;
	}
	ensure_capacity(&call->buffer, &call->buffer_capacity, needed);
	return true;
}

/** Frees the buffer of a stream. */
static void
free_buffer(jj_http_call_t *call)
{
	free(call->buffer);
	call->buffer = NULL;
	call->buffer_start = 0;
	call->buffer_size = 0;
	call->buffer_capacity = 0;
}

static jj_http_server_t *
prepare_server(const jj_http_limits_t *limits, const jj_http_port_t *port,
    const jj_http_share_t *share)
{
	jj_http_server_t *server = jj_alloc(sizeof(*server));
	size_t i;

	server->port = *port;
	server->limits = *limits;
	server->share = *share;
	(void)jj_http_guard_retain(share->guard);
	atomic_init(&server->head_bytes, limits->header_bytes);
	atomic_init(&server->body_bytes, limits->body_bytes);
	atomic_init(&server->idle_ms, limits->idle_ms);
	TAILQ_INIT(&server->open_calls);
	atomic_init(&server->references, 1);
	server->pool = jj_runtime_create_pool();
	server->lock = jj_runtime_create_mutex(server->pool);
	for (i = 0; i < CALL_LOCKS; i++)
		server->call_locks[i] = jj_runtime_create_mutex(server->pool);
	return server;
}

/**
 * Drops a reference; the last one frees the server. Guards against a call that
 * is answered after jj_http_server_destroy: the loops stop after the server,
 * and answering takes the call's lock, which is in the server's pool.
 */
static void
release_server(jj_http_server_t *server)
{
	if (atomic_fetch_sub(&server->references, 1) != 1)
		return;
	jj_http_guard_release(server->share.guard);
	apr_pool_destroy(server->pool);
	free(server);
}
