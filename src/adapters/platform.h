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

typedef struct jj_platform jj_platform_t;

/**
 * @param address IP:PORT of the platform.
 * @param client_name what the platform counts our calls under.
 * @param timeout_ms of each call; a watch waits longer by its own wait.
 */
jj_platform_t *jj_platform_create(const char *address, const char *client_name,
    jj_ms_t timeout_ms, jj_platform_done_t done, void *ctx);
void jj_platform_destroy(jj_platform_t *platform);
/** Starts a call; takes over the call's value. */
void jj_platform_start(jj_platform_t *platform, jj_platform_call_t *call);
/** Calls started so far, for metrics. */
uint64_t jj_platform_calls(const jj_platform_t *platform);

#endif
