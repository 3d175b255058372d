/**
 * @file ctl_http.h
 * @brief Blocking HTTP client on libcurl's easy interface.
 *
 * Each request uses a new connection: when a reused connection fails, libcurl
 * may resend the request unrequested, which could run a non-idempotent call
 * twice.
 */
#ifndef JJ_CTL_CTL_HTTP_H
#define JJ_CTL_CTL_HTTP_H

#include <stddef.h>
#include <stdio.h>

#include "ctl/ctl.h"

/** Maximum number of extra headers of a request, with the end marker. */
#define JJ_CTL_HEADERS_MAX 8

/** A header; omitted when its value is NULL. */
typedef struct {
	const char *name;
	const char *value;
} jj_ctl_header_t;

/** Receives part of a streamed answer; false stops the transfer. */
typedef bool (*jj_ctl_data_callback_t)(
    void *ctx, const char *data, size_t size);

typedef struct {
	const char *method;
	const char *address; /**< IP:PORT */
	const char *path; /**< path and query string */
	jj_ctl_header_t headers[JJ_CTL_HEADERS_MAX]; /**< NULL name: end */
	const char *body; /**< or NULL */
	size_t body_size; /**< bytes */
	FILE *upload; /**< source of the body instead, or NULL */
	jj_ms_t timeout_ms; /**< whole request; 0: only the stall timeout */
	jj_ctl_data_callback_t on_data; /**< for a 200; NULL: body stored */
	void *ctx;
} jj_ctl_request_t;

/** Transport result of a request. */
typedef enum {
	JJ_CTL_HTTP_COMPLETE, /**< complete answer received */
	JJ_CTL_HTTP_NOT_SENT, /**< no byte was sent to the VM */
	JJ_CTL_HTTP_INCOMPLETE, /**< sent, answer missing or cut off */
} jj_ctl_http_result_t;

typedef struct {
	jj_ctl_http_result_t result;
	long status; /**< HTTP status; 0: none received */
	GString *body;
	char etag[40];
	char content_type[96];
	jj_ms_t retry_after_ms; /**< 0: not given */
	char why[256]; /**< error text when the answer is not complete */
} jj_ctl_response_t;

/**
 * Sends a request and waits until it has ended; free the response with
 * jj_ctl_http_clear.
 */
void
jj_ctl_http_send(const jj_ctl_request_t *request, jj_ctl_response_t *response);
/** Frees what the response owns. */
void jj_ctl_http_clear(jj_ctl_response_t *response);

#endif
