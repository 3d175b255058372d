/**
 * @file journal.h
 * @brief A log of every effective write in order, for the checks of tests.
 *
 * Has no lock of its own: the store calls it with its mutex held.
 */
#ifndef STANDIN_JOURNAL_H
#define STANDIN_JOURNAL_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "blob.h"

/** One effective write. */
typedef struct journal_entry {
	TAILQ_ENTRY(journal_entry) link;
	uint64_t revision;
	char *key;
	char *client;
	blob_t *value; /**< NULL for a delete */
} journal_entry_t;

typedef struct {
	TAILQ_HEAD(journal_list, journal_entry) entries;
	size_t bytes; /**< size of the entries kept */
	size_t limit; /**< maximum of bytes; the oldest entries are dropped */
	uint64_t dropped; /**< number of entries dropped */
} journal_t;

void journal_create(journal_t *journal, size_t limit);
void journal_destroy(journal_t *journal);
/** Adds a write; takes a reference to @p value, NULL for a delete. */
void journal_append(journal_t *journal, uint64_t revision, const char *key,
    const char *client, blob_t *value);
/** The kept writes below @p prefix, oldest first. */
json_t *journal_dump(const journal_t *journal, const char *prefix);

#endif
