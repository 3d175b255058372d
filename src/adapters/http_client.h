/**
 * @file http_client.h
 * @brief HTTP requests on libcurl: one thread and one multi handle each.
 *
 * Callbacks run on the client's thread and must not block. A request that is
 * cancelled closes its connection, so that late bytes of an abandoned answer
 * die with it and can never be read as the next request's answer.
 */
#ifndef JJ_ADAPTERS_HTTP_CLIENT_H
#define JJ_ADAPTERS_HTTP_CLIENT_H

#include "core/types.h"

/** Most extra headers of a request. */
#define JJ_HTTP_HEADERS_MAX 8

/** How a request ended. */
typedef enum {
	JJ_HTTP_COMPLETE, /**< a whole answer, as HTTP frames it */
	JJ_HTTP_NOT_SENT, /**< no connection: surely no byte was sent */
	JJ_HTTP_BROKEN, /**< failed after bytes may have been sent */
	JJ_HTTP_TIMEOUT, /**< no end in time after bytes were sent */
	JJ_HTTP_CANCELLED,
} jj_http_end_t;

/** The head of an answer, as far as we use it. */
typedef struct {
	int status;
	char content_type[96];
	char etag[40];
	char stream[64]; /**< Jujube-Stream */
	char boot[20]; /**< Jujube-Boot */
	bool leaving; /**< Jujube-Leaving is set */
	jj_ms_t retry_after_ms; /**< Retry-After, 0: none */
	const char *lines; /**< all header lines, each with a line feed */
} jj_http_head_t;

/** What a data callback did with the bytes. */
typedef enum {
	JJ_HTTP_TAKEN,
	JJ_HTTP_PAUSE, /**< not taken: offer again after a resume */
} jj_http_flow_t;

/** One request; the client copies what it needs. */
typedef struct {
	const char *method; /**< "GET", "POST", ... */
	const char *address; /**< IP:PORT */
	const char *path; /**< with the query */
	const char *headers[JJ_HTTP_HEADERS_MAX]; /**< "Name: value" or NULL */
	const void *body;
	size_t body_size;
	jj_ms_t timeout_ms; /**< whole request; 0: none */
	jj_ms_t begin_ms; /**< until an answer begins; 0: no such limit */
	jj_ms_t silence_ms; /**< between its pieces, if begin_ms is set */
	/**
	 * A connection of its own, never a reused one. libcurl repeats a
	 * request by itself when a reused connection closes before the first
	 * byte of an answer; a non-idempotent call whose server died after
	 * running it would run twice. On a fresh connection it never repeats.
	 */
	bool once;
	/** More header lines, as `headers`; copied. */
	char *const *more_headers;
	size_t more_header_count;
	/** Only the headers given here are sent, none of libcurl's own. */
	bool verbatim;
	jj_ms_t connect_ms; /**< longest time to connect; 0: the default */
	void *ctx;
	void (*on_head)(void *ctx, const jj_http_head_t *head); /**< or NULL */
	jj_http_flow_t (*on_data)(void *ctx, const char *data, size_t size);
	void (*on_end)(
	    void *ctx, jj_http_end_t end, const jj_http_head_t *head);
} jj_http_request_t;

typedef struct jj_http_client jj_http_client_t;

/** Starts the client's thread; NULL when libcurl or the thread fails. */
jj_http_client_t *jj_http_client_create(void);
/** Cancels all requests (their on_end runs) and ends the thread. */
void jj_http_client_destroy(jj_http_client_t *client);
/** Starts a request; its number is for cancel and resume. */
uint64_t jj_http_client_start(
    jj_http_client_t *client, const jj_http_request_t *request);
/** Cancels a request; nothing happens when it has ended. */
void jj_http_client_cancel(jj_http_client_t *client, uint64_t number);
/** Offers paused bytes again. */
void jj_http_client_resume(jj_http_client_t *client, uint64_t number);

#endif
