/**
 * @file store.h
 * @brief In-process store with the platform's objects, lists and watches.
 */
#ifndef BENCH_SLOPES_STORE_H
#define BENCH_SLOPES_STORE_H

#include "core/platform_call.h"

typedef struct store store_t;

store_t *store_create(void);
void store_destroy(store_t *store);
/** Writes an object unconditionally. */
void store_put(store_t *store, const char *key, const jj_bytes_t *value);
/** Sets the body of the VM list, which is copied. */
void store_set_vms(store_t *store, const char *body);
/**
 * Answers a call; the caller clears @p result.
 * @param timed_out the watch has reached its timeout: answer without events.
 * @return false for a watch without events, to be tried again later.
 */
bool store_answer(store_t *store, const jj_platform_call_t *call,
    bool timed_out, jj_platform_result_t *result);
/** Newest revision; no watch has new events while it is unchanged. */
uint64_t store_revision(const store_t *store);

#endif
