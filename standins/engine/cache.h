/**
 * @file cache.h
 * @brief The prefix cache and its add and evict events.
 *
 * A prompt is split into blocks of 256 bytes; an incomplete last block is
 * ignored. The id of a block is the hash of its bytes, seeded with the id of
 * the previous block, so equal ids mean equal prefixes. The least recently used
 * block is evicted.
 */
#ifndef STANDIN_ENGINE_CACHE_H
#define STANDIN_ENGINE_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>
#include <jansson.h>

/** Bytes of prompt in a block. */
#define CACHE_BLOCK_BYTES 256
/** Events kept; a reader that is further behind misses events. */
#define CACHE_EVENTS_MAX 8192

/** One block. */
typedef struct cache_block {
	TAILQ_ENTRY(cache_block) entry;
	uint64_t prefix; /**< its id */
} cache_block_t;

/** One event. */
typedef struct {
	uint64_t prefix;
	int64_t at_ms;
	bool evict;
} cache_event_t;

/** The cache. */
typedef struct {
	GHashTable *blocks; /**< by prefix */
	TAILQ_HEAD(cache_order, cache_block) order; /**< oldest use first */
	size_t capacity; /**< blocks */
	int64_t event_lag_ms; /**< delay before an event is visible */
	int64_t event_gap; /**< one event in this many is lost; 0: none */
	uint64_t seed;
	uint64_t last_seq;
	cache_event_t events[CACHE_EVENTS_MAX]; /**< by seq modulo size */
} cache_t;

void cache_init(cache_t *cache, size_t capacity, int64_t event_lag_ms,
    int64_t event_gap, uint64_t seed);
void cache_destroy(cache_t *cache);
/**
 * Adds a prompt's blocks to the cache. Locked.
 * @return the number of leading blocks that were already cached.
 */
size_t cache_use(cache_t *cache, const char *prompt, int64_t now_ms);
/**
 * Appends the visible events after @p since to @p events and sets @p *next to
 * the sequence number to use as @p since in the next call. Locked.
 */
void cache_list_events(const cache_t *cache, uint64_t since, int64_t now_ms,
    json_t *events, uint64_t *next);

#endif
