/**
 * @file cache.h
 * @brief The prefix cache and its events.
 *
 * A prompt is cut into whole blocks of 256 bytes; a block's name is the hash
 * of its bytes seeded with the name of the block before it, so equal names
 * mean equal prefixes. The least recently used block is evicted.
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
/** Events kept; a reader who is further behind sees a gap. */
#define CACHE_EVENTS_KEPT 8192

/** One block. */
typedef struct cache_block {
	TAILQ_ENTRY(cache_block) entry;
	uint64_t prefix; /**< its name */
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
	TAILQ_HEAD(cache_order, cache_block) order; /**< least recent first */
	size_t capacity; /**< blocks */
	int64_t event_lag_ms;
	int64_t event_gap; /**< one event in so many is lost; 0: none */
	uint64_t seed;
	uint64_t last_seq;
	cache_event_t events[CACHE_EVENTS_KEPT]; /**< by seq modulo size */
} cache_t;

void cache_init(cache_t *cache, size_t capacity, int64_t event_lag_ms,
    int64_t event_gap, uint64_t seed);
void cache_destroy(cache_t *cache);
/**
 * Takes a prompt's blocks into the cache. Locked.
 * @return the blocks at its beginning that were there before.
 */
size_t cache_use(cache_t *cache, const char *prompt, int64_t now_ms);
/**
 * Adds the events after @p since that show by now to @p events and sets
 * @p *next to the number to ask with next. Locked.
 */
void cache_list_events(const cache_t *cache, uint64_t since, int64_t now_ms,
    json_t *events, uint64_t *next);

#endif
