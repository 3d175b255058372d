/**
 * @file web.h
 * @brief A small HTTP server for the stand-ins, based on libmicrohttpd.
 *
 * Uses one thread per connection, so that a handler may block: stand-ins serve
 * long polls, delay answers and stream tokens. Not for production use.
 */
#ifndef STANDIN_WEB_H
#define STANDIN_WEB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/** A request; all pointers are valid until the handler returns. */
typedef struct {
	const char *method; /**< "GET", "PUT", ... */
	const char *path; /**< decoded path without the query */
	const char *body; /**< NUL-terminated for convenience, never NULL */
	size_t body_size; /**< bytes, without the NUL */
	void *impl; /**< private to the server */
} web_request_t;

/** What a streaming producer returns from each call. */
typedef enum {
	WEB_STREAM_MORE, /**< call the producer again */
	WEB_STREAM_END, /**< the answer ends normally after these bytes */
	WEB_STREAM_BREAK, /**< abort the connection after these bytes */
} web_stream_status_t;

/**
 * Writes the next piece of a streamed answer into @p buffer (may block);
 * sets @p *size to the bytes written, which may be 0 with WEB_STREAM_MORE.
 */
typedef web_stream_status_t (*web_producer_t)(
    void *ctx, char *buffer, size_t capacity, size_t *size);

/** The answer, which the handler fills in; zeroed before the call. */
typedef struct {
	int status; /**< HTTP status; 0: close without an answer */
	char *body; /**< malloc'd, freed by the server, may be NULL */
	size_t body_size; /**< bytes */
	char headers[8][2]
		    [256]; /**< name and value; empty name ends the list */
	web_producer_t producer; /**< when set, streamed instead of body */
	void *producer_ctx;
	void (*producer_free)(void *ctx); /**< called once, also on a hang-up */
} web_answer_t;

typedef void (*web_handler_t)(
    void *ctx, const web_request_t *request, web_answer_t *answer);

typedef struct web_server web_server_t;

/** Starts serving on "IP:PORT" (port 0: any free one); NULL on failure. */
web_server_t *web_start(const char *address, web_handler_t handler, void *ctx);
/** The port that the server listens on. */
uint16_t web_port(const web_server_t *server);
/** Stops accepting and waits for open requests. */
void web_stop(web_server_t *server);

/** A request header's value or NULL. */
const char *web_header(const web_request_t *request, const char *name);
/** A query argument's value or NULL. */
const char *web_query(const web_request_t *request, const char *name);
/** A query argument as a number, or @p fallback when absent or malformed. */
long
web_query_number(const web_request_t *request, const char *name, long fallback);

/**
 * True when the client has disconnected or the server is stopping. A handler or
 * producer that waits polls this and ends early. A producer may keep the
 * request for this purpose; it is valid until the answer is complete.
 */
bool web_is_abandoned(const web_request_t *request);

/** Adds a header to an answer; ignores it when the table is full. */
void web_add_header(web_answer_t *answer, const char *name, const char *value);
/** Answers with JSON; takes over the reference to @p json. */
void web_answer_json(web_answer_t *answer, int status, json_t *json);
/** Answers with a problem document (RFC 9457). */
void web_answer_problem(
    web_answer_t *answer, int status, const char *code, const char *detail);

/** Milliseconds of the monotonic clock. */
int64_t web_now_ms(void);
/** Blocks the calling handler for @p ms milliseconds. */
void web_sleep_ms(int64_t ms);
/** Prints `event=listening address=… control=…` and flushes stdout. */
void web_announce(const char *ip, uint16_t port, uint16_t control_port);
/** Blocks until SIGTERM or SIGINT; call web_block_signals() first in main. */
void web_wait_for_signal(void);
/** Blocks SIGTERM and SIGINT for web_wait_for_signal(); ignores SIGPIPE. */
void web_block_signals(void);

#endif
