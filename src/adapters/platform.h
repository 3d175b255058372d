/**
 * @file platform.h
 * @brief Carries out the core's platform calls over HTTP.
 *
 * A process uses two clients: one for control (configuration, ledger, leases,
 * watches) and one for bulk data (files, chunks, results), so that a
 * configuration never waits behind a megabyte of batch input.
 */
#ifndef JJ_ADAPTERS_PLATFORM_H
#define JJ_ADAPTERS_PLATFORM_H

#include "adapters/http_client.h"
#include "core/platform_call.h"

/** Called with a result; the receiver takes ownership of what it holds. */
typedef void (*jj_platform_done_t)(void *ctx, jj_platform_result_t *result);

/** A call encoded as an HTTP request. */
typedef struct {
	const char *method;
	char path[1024]; /**< with the query string */
	char headers[2][128]; /**< "Name: value" or empty */
	jj_bytes_t body; /**< owned */
	/** On a new connection: never repeated, nor given a late answer. */
	bool new_connection;
} jj_platform_request_t;

/**
 * Translates calls to HTTP and answers back. A deployment whose platform has
 * another API than docs/interfaces/PLATFORM.md provides one for it.
 */
typedef struct {
	/**
	 * Encodes a call.
	 * @param client_name the name that the platform counts calls under.
	 */
	void (*write)(const char *client_name, const jj_platform_call_t *call,
	    jj_platform_request_t *request);
	/**
	 * Decodes a whole answer into the result; always sets the outcome.
	 * @param key key of the call; for a list or a watch, the prefix of the
	 * items' keys.
	 */
	void (*read)(jj_platform_result_t *result, const char *key,
	    const jj_http_head_t *head, const char *body, size_t size);
} jj_platform_codec_t;

/**
 * Maps an HTTP status that has the same meaning on all platforms to an outcome.
 * A 5xx other than 503 leaves unknown whether a write took effect.
 * @param conflict the status for an object that has another version.
 */
jj_platform_outcome_t jj_platform_classify_status(int status, int conflict);

/** Codec of the API in docs/interfaces/PLATFORM.md. */
extern const jj_platform_codec_t jj_platform_native_codec;

typedef struct jj_platform jj_platform_t;

/**
 * @param codec translates calls to HTTP and answers back.
 * @param address IP:PORT of the platform.
 * @param client_name the name that the platform counts calls under.
 * @param timeout_ms maximum time until the answer begins (for a watch, plus the
 * call's wait_ms), and between two pieces of the answer.
 */
jj_platform_t *jj_platform_create(const jj_platform_codec_t *codec,
    const char *address, const char *client_name, jj_ms_t timeout_ms,
    jj_platform_done_t done, void *ctx);
/**
 * From now on the platform's answers count in the guard's sum. To be called
 * before the first call.
 */
void jj_platform_set_guard(jj_platform_t *platform, jj_http_guard_t *guard);
void jj_platform_destroy(jj_platform_t *platform);
/** Starts a call; takes ownership of the call's value. */
void jj_platform_start(jj_platform_t *platform, jj_platform_call_t *call);
/** Calls started so far, for metrics. */
uint64_t jj_platform_calls(const jj_platform_t *platform);

#endif
