/**
 * @file store.h
 * @brief The platform's objects, lists and watches for one process.
 */
#ifndef BENCH_SLOPES_STORE_H
#define BENCH_SLOPES_STORE_H

#include "core/platform_call.h"

typedef struct store store_t;

store_t *store_create(void);
void store_destroy(store_t *store);
/** Puts an object in, whatever was there. */
void store_put(store_t *store, const char *key, const jj_bytes_t *value);
/** The body of the VM list; copied. */
void store_set_vms(store_t *store, const char *body);
/**
 * Answers a call; the caller clears @p result.
 * @return false for a watch with no event yet: ask again, or give up by
 * @p last, which answers without events.
 */
bool store_answer(store_t *store, const jj_platform_call_t *call, bool last,
    jj_platform_result_t *result);
/** Newest revision: no watch can have news while it stands. */
uint64_t store_revision(const store_t *store);

#endif
