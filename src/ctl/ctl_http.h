/**
 * @file ctl_http.h
 * @brief One HTTP request at a time, on libcurl's easy interface.
 *
 * Each request has a connection of its own: libcurl repeats a request by
 * itself only on a connection it reuses, and a repeat that nobody asked for
 * could run a non-idempotent call twice.
 */
#ifndef JJ_CTL_CTL_HTTP_H
#define JJ_CTL_CTL_HTTP_H

#include <stddef.h>
#include <stdio.h>

#include "ctl/ctl.h"

/** Most extra headers of a request. */
#define JJ_CTL_HEADERS_MAX 8

/** A header that is left out when its value is NULL. */
typedef struct {
	const char *name;
	const char *value;
} jj_ctl_header_t;

/** What becomes of a piece of a streamed answer; false stops the transfer. */
typedef bool (*jj_ctl_data_t)(void *ctx, const char *data, size_t size);

typedef struct {
	const char *method;
	const char *address; /**< IP:PORT */
	const char *path; /**< with the query */
	jj_ctl_header_t headers[JJ_CTL_HEADERS_MAX]; /**< to a NULL name */
	const char *body; /**< or NULL */
	size_t body_size; /**< bytes */
	FILE *upload; /**< body read from here instead, or NULL */
	jj_ms_t timeout_ms; /**< whole request; 0: only a silence ends it */
	jj_ctl_data_t on_data; /**< of a 200; NULL: the body is kept */
	void *ctx;
} jj_ctl_request_t;

/** How a request ended. */
typedef enum {
	JJ_CTL_HTTP_WHOLE, /**< a whole answer */
	JJ_CTL_HTTP_NOT_SENT, /**< surely no byte reached the VM */
	JJ_CTL_HTTP_BROKEN, /**< sent, but no whole answer came back */
} jj_ctl_http_end_t;

typedef struct {
	jj_ctl_http_end_t end;
	long status; /**< 0: none came */
	GString *body;
	char etag[40];
	char content_type[96];
	jj_ms_t retry_after_ms; /**< 0: none told */
	char why[256]; /**< of an answer that is not whole */
} jj_ctl_response_t;

/** Sends a request and waits for its end; clear the response afterwards. */
void
jj_ctl_http_send(const jj_ctl_request_t *request, jj_ctl_response_t *response);
/** Frees what the response owns. */
void jj_ctl_http_clear(jj_ctl_response_t *response);

#endif
