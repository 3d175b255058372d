/**
 * @file http_client.h
 * @brief HTTP client on libcurl; each client has a thread and a multi handle.
 *
 * Callbacks run on the client's thread and must not block. Cancelling a
 * request closes its connection, so that late bytes of the abandoned answer
 * cannot be read as the answer to the next request.
 */
#ifndef JJ_ADAPTERS_HTTP_CLIENT_H
#define JJ_ADAPTERS_HTTP_CLIENT_H

#include "adapters/http_guard.h"

/** Maximum number of extra headers in jj_http_request_t.headers. */
#define JJ_HTTP_HEADERS_MAX 8

/** How a request ended. */
typedef enum {
	/**
	 * Complete by HTTP's framing: the head and the end of the body were
	 * received. If `body` is JJ_HTTP_BODY_CLOSE, the connection was closed
	 * and not reset, which a sender that failed may do as well.
	 */
	JJ_HTTP_COMPLETE,
	JJ_HTTP_NOT_SENT, /**< no connection: no byte was sent */
	JJ_HTTP_BROKEN, /**< failed after bytes may have been sent */
	JJ_HTTP_TIMEOUT, /**< not complete in time after bytes were sent */
	JJ_HTTP_CANCELLED,
} jj_http_end_t;

/** How the end of an answer's body is found. */
typedef enum {
	JJ_HTTP_BODY_UNKNOWN, /**< the end of the head was not received */
	JJ_HTTP_BODY_LENGTH, /**< by its length; 0 where the status says so */
	JJ_HTTP_BODY_CHUNKS, /**< by the last chunk */
	JJ_HTTP_BODY_CLOSE, /**< the connection is closed there */
	JJ_HTTP_BODY_INVALID, /**< the headers contradict each other */
} jj_http_body_t;

/** Status and those headers of an answer that are used here. */
typedef struct {
	int status;
	jj_http_body_t body;
	const char *ended; /**< how the transfer ended, for logs; static */
	char content_type[96];
	char etag[40];
	char stream[64]; /**< Jujube-Stream */
	char boot[20]; /**< Jujube-Boot */
	bool leaving; /**< Jujube-Leaving is set */
	jj_ms_t retry_after_ms; /**< Retry-After, 0: none */
	const char *lines; /**< all header lines, each ending in a line feed */
} jj_http_head_t;

/** Result of a data callback. */
typedef enum {
	JJ_HTTP_CONSUMED,
	JJ_HTTP_PAUSE, /**< not consumed: deliver again after a resume */
	JJ_HTTP_ABORT, /**< close the connection; the transfer ends as broken */
} jj_http_flow_t;

/** One request; the client copies what it needs. */
typedef struct {
	const char *method; /**< "GET", "POST", ... */
	const char *address; /**< IP:PORT */
	const char *path; /**< with the query string */
	const char *headers[JJ_HTTP_HEADERS_MAX]; /**< "Name: value" or NULL */
	const void *body;
	size_t body_size;
	jj_ms_t timeout_ms; /**< for the whole request; 0: none */
	jj_ms_t begin_ms; /**< timeout until the answer begins; 0: none */
	jj_ms_t read_timeout_ms; /**< then between reads, if begin_ms is set */
	/**
	 * Use a new connection, and only for this request. libcurl retries a
	 * request when a reused connection closes before the first byte of
	 * the answer; a non-idempotent call whose server failed after running
	 * it would run twice. On a new connection libcurl never retries.
	 */
	bool once;
	/** Additional header lines of the form of `headers`; copied. */
	char *const *more_headers;
	size_t more_header_count;
	/** Send only the headers given here, none of libcurl's defaults. */
	bool no_default_headers;
	jj_ms_t connect_ms; /**< connect timeout; 0: the default */
	void *ctx;
	void (*on_head)(void *ctx, const jj_http_head_t *head); /**< or NULL */
	jj_http_flow_t (*on_data)(void *ctx, const char *data, size_t size);
	void (*on_end)(
	    void *ctx, jj_http_end_t end, const jj_http_head_t *head);
} jj_http_request_t;

typedef struct jj_http_client jj_http_client_t;

/** Name of that way for logs. */
const char *jj_http_body_name(jj_http_body_t body);

/** Starts the client's thread; NULL if libcurl or the thread fails. */
jj_http_client_t *jj_http_client_create(void);
/**
 * From now on the heads and buffers of answers count in the guard's sum; an
 * answer whose head does not fit ends as broken. To be called before the first
 * request; the guard outlives the client.
 */
void jj_http_client_set_guard(jj_http_client_t *client, jj_http_guard_t *guard);
/** Cancels all requests (their on_end runs) and stops the thread. */
void jj_http_client_destroy(jj_http_client_t *client);
/** Starts a request; returns its number, for cancel and resume. */
uint64_t jj_http_client_start(
    jj_http_client_t *client, const jj_http_request_t *request);
/** Cancels a request; no effect if it has ended. */
void jj_http_client_cancel(jj_http_client_t *client, uint64_t number);
/** Delivers the data of a paused request again. */
void jj_http_client_resume(jj_http_client_t *client, uint64_t number);

#endif
