/**
 * @file store.h
 * @brief The object store with versions, conditional writes and watches.
 *
 * A single mutex makes all writes linearizable.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "blob.h"
#include "watch.h"

/** Maximum key length, bytes. */
#define STORE_KEY_MAX 512
/** Maximum value size, bytes. */
#define STORE_VALUE_MAX 1048576
/** Maximum items of one list answer. */
#define STORE_LIST_MAX 1000

typedef struct store store_t;

typedef enum {
	STORE_OK,
	STORE_CREATED,
	STORE_ABSENT, /**< no such object */
	STORE_CONFLICT, /**< the condition does not hold */
} store_outcome_t;

typedef enum {
	STORE_ANY,
	STORE_IF_ABSENT,
	STORE_IF_VERSION,
} store_condition_t;

/** A put or delete with its condition. */
typedef struct {
	const char *key;
	const char *client; /**< for the journal */
	const char *value; /**< not used by a delete */
	size_t size; /**< bytes */
	store_condition_t condition;
	uint64_t version; /**< for STORE_IF_VERSION */
} store_write_t;

typedef struct {
	const char *prefix;
	const char *after; /**< items with keys above this; "" for all */
	size_t limit;
	bool values;
} store_list_t;

store_t *store_create(size_t history_events, size_t journal_bytes);
void store_destroy(store_t *store);

/** True for 1 to 512 bytes of `[A-Za-z0-9._/-]`. */
bool store_is_key(const char *key);
/** True for a key or the empty string. */
bool store_is_prefix(const char *prefix);
/** STORE_OK with a new reference @p *value and its version, or STORE_ABSENT. */
store_outcome_t
store_get(store_t *store, const char *key, blob_t **value, uint64_t *version);
/** @p *version becomes the new version, or the current one on a conflict. */
store_outcome_t
store_put(store_t *store, const store_write_t *write, uint64_t *version);
/** @p *version is set on a conflict. */
store_outcome_t
store_delete(store_t *store, const store_write_t *write, uint64_t *version);
/** The answer to a list request, see docs/interfaces/PLATFORM.md. */
json_t *store_list(store_t *store, const store_list_t *list);
/**
 * Waits at most @p wait_ms for events newer than @p since. Sets @p *reached to
 * the revision up to which the outcome is complete.
 */
watch_outcome_t store_watch(store_t *store, const char *prefix, uint64_t since,
    int64_t wait_ms, json_t *events, uint64_t *reached);

/** Clears the watch history. */
void store_clear_history(store_t *store);
/** Omits the next @p count events from the watch history. */
void store_drop_events(store_t *store, long count);
/** The journal below @p prefix; @p *dropped entries are no longer kept. */
json_t *store_journal(store_t *store, const char *prefix, uint64_t *dropped);

#endif
