#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "cache.h"

#define HEX16_SIZE 17

static bool use_block(cache_t *, uint64_t, int64_t);
static void evict_oldest(cache_t *, int64_t);
static void add_event(cache_t *, uint64_t, bool, int64_t);
static bool event_is_lost(const cache_t *, uint64_t);
static json_t *event_json(const cache_event_t *, uint64_t);

void
cache_init(cache_t *cache, size_t capacity, int64_t event_lag_ms,
    int64_t event_gap, uint64_t seed)
{
	memset(cache, 0, sizeof(*cache));
	cache->blocks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	TAILQ_INIT(&cache->order);
	cache->capacity = capacity;
	cache->event_lag_ms = event_lag_ms;
	cache->event_gap = event_gap;
	cache->seed = seed;
}

void
cache_destroy(cache_t *cache)
{
	g_hash_table_destroy(cache->blocks);
}

size_t
cache_use(cache_t *cache, const char *prompt, int64_t now_ms)
{
	size_t blocks = strlen(prompt) / CACHE_BLOCK_BYTES;
	size_t hits = 0;
	uint64_t prefix = 0;
	size_t i;

	for (i = 0; i < blocks && i < cache->capacity; i++) {
		prefix = XXH3_64bits_withSeed(
		    prompt + i * CACHE_BLOCK_BYTES, CACHE_BLOCK_BYTES, prefix);
		if (use_block(cache, prefix, now_ms) && hits == i)
			hits++;
	}
	return hits;
}

void
cache_list_events(const cache_t *cache, uint64_t since, int64_t now_ms,
    json_t *events, uint64_t *next)
{
	const cache_event_t *event;
	uint64_t seq;

	/* A sequence number from before a restart: start from the beginning. */
	if (since > cache->last_seq)
		since = 0;
	if (cache->last_seq > CACHE_EVENTS_MAX &&
	    since < cache->last_seq - CACHE_EVENTS_MAX)
		since = cache->last_seq - CACHE_EVENTS_MAX;
	for (seq = since + 1; seq <= cache->last_seq; seq++) {
		event = &cache->events[seq % CACHE_EVENTS_MAX];
		if (event->at_ms + cache->event_lag_ms > now_ms)
			break;
		if (!event_is_lost(cache, seq))
			json_array_append_new(events, event_json(event, seq));
	}
	*next = seq - 1;
}

/* Marks a block as most recently used; returns false if it had to be added. */
static bool
use_block(cache_t *cache, uint64_t prefix, int64_t now_ms)
{
	cache_block_t *block = g_hash_table_lookup(cache->blocks, &prefix);

	if (block != NULL) {
		TAILQ_REMOVE(&cache->order, block, entry);
		TAILQ_INSERT_TAIL(&cache->order, block, entry);
		return true;
	}
	if (g_hash_table_size(cache->blocks) >= cache->capacity)
		evict_oldest(cache, now_ms);
	block = g_new0(cache_block_t, 1);
	block->prefix = prefix;
	g_hash_table_insert(cache->blocks, &block->prefix, block);
	TAILQ_INSERT_TAIL(&cache->order, block, entry);
	add_event(cache, prefix, false, now_ms);
	return false;
}

static void
evict_oldest(cache_t *cache, int64_t now_ms)
{
	cache_block_t *block = TAILQ_FIRST(&cache->order);

	if (block == NULL)
		return;
	add_event(cache, block->prefix, true, now_ms);
	TAILQ_REMOVE(&cache->order, block, entry);
	g_hash_table_remove(cache->blocks, &block->prefix);
}

static void
add_event(cache_t *cache, uint64_t prefix, bool evict, int64_t now_ms)
{
	cache_event_t *event;

	cache->last_seq++;
	event = &cache->events[cache->last_seq % CACHE_EVENTS_MAX];
	event->prefix = prefix;
	event->evict = evict;
	event->at_ms = now_ms;
}

/* Which events are lost depends only on the seed, not on reader or run. */
static bool
event_is_lost(const cache_t *cache, uint64_t seq)
{
	if (cache->event_gap == 0)
		return false;
	return XXH3_64bits_withSeed(&seq, sizeof(seq), cache->seed) %
	    (uint64_t)cache->event_gap ==
	    0;
}

static json_t *
event_json(const cache_event_t *event, uint64_t seq)
{
	char prefix[HEX16_SIZE];

	snprintf(prefix, sizeof(prefix), "%016" PRIx64, event->prefix);
	return json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)seq, "op",
	    event->evict ? "evict" : "add", "prefix", prefix);
}
