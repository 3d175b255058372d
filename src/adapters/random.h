/**
 * @file random.h
 * @brief Random numbers from the kernel, for incarnations, seeds and ids.
 */
#ifndef JJ_ADAPTERS_RANDOM_H
#define JJ_ADAPTERS_RANDOM_H

#include <stddef.h>
#include <stdint.h>

/** 64 random bits; right after boot, blocks until the kernel has entropy. */
uint64_t jj_random_u64(void);
/** Fills @p size bytes with random data. */
void jj_random_fill(void *bytes, size_t size);

#endif
