/**
 * @file http_server.h
 * @brief HTTP server for callers and operators, on libmicrohttpd.
 *
 * A pool of epoll threads serves all connections; the connection of a waiting
 * request is suspended and occupies no thread. Any thread may answer, with a
 * complete body or with a stream that has a bounded buffer.
 *
 * Lock order: the lock of the server's list of open calls, then a call's lock.
 * Callbacks of the port run without either.
 */
#ifndef JJ_ADAPTERS_HTTP_SERVER_H
#define JJ_ADAPTERS_HTTP_SERVER_H

#include "adapters/http_guard.h"
#include "core/types.h"

/** Maximum number of headers in jj_http_answer_t.fields. */
#define JJ_HTTP_ANSWER_HEADERS_MAX 8

/** A request in progress, reference-counted. */
typedef struct jj_http_call jj_http_call_t;

typedef struct {
	const char *name;
	const char *value;
} jj_http_field_t;

/** Status and headers of an answer. */
typedef struct {
	int status;
	const char *content_type;
	jj_http_field_t fields[JJ_HTTP_ANSWER_HEADERS_MAX]; /**< up to NULL */
	const jj_http_field_t *more; /**< headers from a backend server */
	size_t more_count;
} jj_http_answer_t;

/** Callbacks of the owner of the server. */
typedef struct {
	void *ctx;
	/**
	 * A request was received completely. The port must answer it exactly
	 * once, now or later, from any thread; until then the port owns one
	 * reference to the call.
	 */
	void (*on_request)(void *ctx, jj_http_call_t *call);
	/**
	 * True if the body shall be passed in pieces to on_upload, without a
	 * limit of its size, instead of being collected. NULL: never.
	 */
	bool (*takes_upload)(void *ctx, const jj_http_call_t *call);
	/**
	 * Receives bytes of an upload; returns how many it consumed. The rest
	 * is passed again, after 0 only when jj_http_call_resume_upload was
	 * called.
	 */
	size_t (*on_upload)(
	    void *ctx, jj_http_call_t *call, const char *data, size_t size);
	/** The caller disconnected before its answer was complete. */
	void (*on_disconnect)(void *ctx, jj_http_call_t *call);
	/** A full stream buffer has free capacity again. NULL: ignored. */
	void (*on_writable)(void *ctx, jj_http_call_t *call);
	/**
	 * The headers of a request were received. True when the port takes
	 * the request as it is: it answers it now or later, as in on_request,
	 * and the body is not read. NULL: never.
	 */
	bool (*on_headers)(void *ctx, jj_http_call_t *call);
} jj_http_port_t;

/** Limits of a server; the settings explain the reason for each. */
typedef struct {
	const char *address; /**< IP:PORT */
	uint32_t threads;
	uint32_t connections; /**< maximum number of open connections */
	size_t header_bytes; /**< memory of a connection, for headers */
	size_t body_bytes; /**< maximum size of a collected body */
	size_t stream_bytes; /**< bytes buffered for a slow caller */
	jj_ms_t idle_ms; /**< idle timeout of a connection */
} jj_http_limits_t;

/** How the requests of a server count in the sum of its process. */
typedef struct {
	jj_http_guard_t *guard;
	/** copies of a body while its request runs, the body itself included */
	uint32_t body_copies;
	size_t upload_bytes; /**< memory that the port uses for an upload */
} jj_http_share_t;

/** Limits of requests that may change while a server runs. */
typedef struct {
	size_t head_bytes; /**< names and values of the headers */
	size_t body_bytes; /**< maximum size of a collected body */
	jj_ms_t idle_ms; /**< idle timeout of new connections */
} jj_http_request_limits_t;

typedef struct jj_http_server jj_http_server_t;

/**
 * Starts serving; NULL if the address cannot be bound. Without a share of a
 * guard, nothing but `limits` bounds what the server holds.
 */
jj_http_server_t *jj_http_server_create(
    const jj_http_limits_t *limits, const jj_http_port_t *port);
/** The same within the bounds of a process. */
jj_http_server_t *jj_http_server_create_guarded(const jj_http_limits_t *limits,
    const jj_http_port_t *port, const jj_http_share_t *share);
/** Limits for requests whose head is not complete yet. */
void jj_http_server_set_limits(
    jj_http_server_t *server, const jj_http_request_limits_t *limits);
/** Stops the server; connections of open requests are closed. */
void jj_http_server_destroy(jj_http_server_t *server);
/** Number of requests whose answer is not yet complete. */
uint32_t jj_http_server_open_count(const jj_http_server_t *server);

const char *jj_http_call_method(const jj_http_call_t *call);
const char *jj_http_call_path(const jj_http_call_t *call);
/** Path and query string as received, not decoded. */
const char *jj_http_call_uri(const jj_http_call_t *call);
/** Calls @p take for each request header; only during on_request. */
void jj_http_call_each_header(const jj_http_call_t *call,
    void (*take)(void *ctx, const char *name, const char *value), void *ctx);
/** A request header, or NULL. */
const char *jj_http_call_header(const jj_http_call_t *call, const char *name);
/** An argument of the query string, or NULL. */
const char *jj_http_call_query(const jj_http_call_t *call, const char *name);
/** Announced bytes of the body; 0: none, -1: not announced. */
int64_t jj_http_call_length(const jj_http_call_t *call);
/** The collected body; empty for uploads. */
const jj_bytes_t *jj_http_call_body(const jj_http_call_t *call);
/** Moves the collected body to the port; what it holds still counts. */
jj_bytes_t jj_http_call_take_body(jj_http_call_t *call);
/**
 * Changes what the port holds for a call beside its body, until the call is
 * answered; only during on_request.
 * @return false if there is no memory left.
 */
bool jj_http_call_hold(jj_http_call_t *call, size_t bytes);
/** Sets a pointer for the port's own use. */
void jj_http_call_set_context(jj_http_call_t *call, void *context);
void *jj_http_call_context(const jj_http_call_t *call);

/**
 * Sends a complete answer and drops the port's reference.
 * @return false if a streamed answer has begun: it is cut instead.
 */
bool jj_http_call_answer(jj_http_call_t *call, const jj_http_answer_t *answer,
    const void *body, size_t size);
/** Begins a streamed answer. */
void
jj_http_call_begin_stream(jj_http_call_t *call, const jj_http_answer_t *answer);
/**
 * Appends bytes to the stream.
 * @param must buffer them even if the buffer is full (for the last piece).
 * @return false if the buffer is full: nothing was buffered, and on_writable is
 * called when there is free capacity.
 */
bool jj_http_call_write(
    jj_http_call_t *call, const void *data, size_t size, bool must);
/** True if a write would succeed; if not, on_writable is called later. */
bool jj_http_call_is_writable(jj_http_call_t *call);
/** True if the caller disconnected: further writes are discarded. */
bool jj_http_call_is_disconnected(jj_http_call_t *call);
/**
 * Ends the stream and drops the port's reference. With @p broken the
 * connection is closed without the last chunk, so that the caller does not
 * take the answer for complete.
 */
void jj_http_call_end_stream(jj_http_call_t *call, bool broken);
/** Resumes an upload after on_upload consumed nothing. */
void jj_http_call_resume_upload(jj_http_call_t *call);
/** Adds a reference, for a user of the call besides the port. */
void jj_http_call_retain(jj_http_call_t *call);
void jj_http_call_release(jj_http_call_t *call);

#endif
