/**
 * @file platform.h
 * @brief Carries out the core's platform calls over HTTP.
 *
 * Two clients are used per process: one for control (configuration, ledger,
 * leases, watches) and one for bulk (files, chunks, results), so that a
 * megabyte of batch input never stands before a configuration.
 */
#ifndef JJ_ADAPTERS_PLATFORM_H
#define JJ_ADAPTERS_PLATFORM_H

#include "adapters/http_client.h"
#include "core/platform_call.h"

/** Brings a result; the receiver takes over what it owns. */
typedef void (*jj_platform_done_t)(void *ctx, jj_platform_result_t *result);

/** A call as it goes out. */
typedef struct {
	const char *method;
	char path[1024]; /**< with the query */
	char headers[2][128]; /**< "Name: value" or empty */
	jj_bytes_t body; /**< owned */
	bool once; /**< on a connection of its own, never repeated */
} jj_platform_request_t;

/**
 * How calls are spoken: a deployment whose platform speaks another language
 * than ours brings its own.
 */
typedef struct {
	/** Writes a call; @p client_name is what calls are counted under. */
	void (*write)(const char *client_name, const jj_platform_call_t *call,
	    jj_platform_request_t *request);
	/**
	 * Reads a whole answer into the result, its outcome above all.
	 * @param key of the call; items' keys begin with it where it is a
	 * prefix.
	 */
	void (*read)(jj_platform_result_t *result, const char *key,
	    const jj_http_head_t *head, const char *body, size_t size);
} jj_platform_wire_t;

/**
 * What a status says that all platforms mean alike: a 5xx of a write proves
 * nothing about its effect, but for 503.
 * @param conflict the status of an object that is at another version.
 */
jj_platform_outcome_t jj_platform_judge_status(int status, int conflict);

/** The wire of docs/interfaces/PLATFORM.md. */
extern const jj_platform_wire_t jj_platform_own_wire;

typedef struct jj_platform jj_platform_t;

/**
 * @param wire how calls are spoken.
 * @param address IP:PORT of the platform.
 * @param client_name what the platform counts our calls under.
 * @param timeout_ms until the answer of a call begins, a watch waits longer by
 * its own wait; and from one piece of the answer to the next.
 */
jj_platform_t *jj_platform_create(const jj_platform_wire_t *wire,
    const char *address, const char *client_name, jj_ms_t timeout_ms,
    jj_platform_done_t done, void *ctx);
void jj_platform_destroy(jj_platform_t *platform);
/** Starts a call; takes over the call's value. */
void jj_platform_start(jj_platform_t *platform, jj_platform_call_t *call);
/** Calls started so far, for metrics. */
uint64_t jj_platform_calls(const jj_platform_t *platform);

#endif
