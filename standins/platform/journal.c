/**
 * @file journal.c
 * @brief The log of effective writes; see journal.h.
 */
#include <string.h>

#include <glib.h>

#include "journal.h"

static size_t entry_bytes(const journal_entry_t *);
static void drop_oldest(journal_t *);
static json_t *entry_dump(const journal_entry_t *);

void
journal_create(journal_t *journal, size_t limit)
{
	TAILQ_INIT(&journal->entries);
	journal->bytes = 0;
	journal->limit = limit;
	journal->dropped = 0;
}

void
journal_destroy(journal_t *journal)
{
	while (!TAILQ_EMPTY(&journal->entries))
		drop_oldest(journal);
}

void
journal_append(journal_t *journal, uint64_t revision, const char *key,
    const char *client, blob_t *value)
{
	journal_entry_t *entry = g_new0(journal_entry_t, 1);

	entry->revision = revision;
	entry->key = g_strdup(key);
	entry->client = g_strdup(client);
	entry->value = value != NULL ? blob_acquire(value) : NULL;
	TAILQ_INSERT_TAIL(&journal->entries, entry, link);
	journal->bytes += entry_bytes(entry);
	while (journal->bytes > journal->limit)
		drop_oldest(journal);
}

json_t *
journal_dump(const journal_t *journal, const char *prefix)
{
	const journal_entry_t *entry;
	json_t *dump = json_array();

	TAILQ_FOREACH(entry, &journal->entries, link)
	{
		if (g_str_has_prefix(entry->key, prefix))
			json_array_append_new(dump, entry_dump(entry));
	}
	return dump;
}

static size_t
entry_bytes(const journal_entry_t *entry)
{
	size_t value = entry->value != NULL ? entry->value->size : 0;

	return sizeof(*entry) + strlen(entry->key) + strlen(entry->client) +
	    value;
}

static void
drop_oldest(journal_t *journal)
{
	journal_entry_t *entry = TAILQ_FIRST(&journal->entries);

	TAILQ_REMOVE(&journal->entries, entry, link);
	journal->bytes -= entry_bytes(entry);
	journal->dropped++;
	blob_release(entry->value);
	g_free(entry->key);
	g_free(entry->client);
	g_free(entry);
}

static json_t *
entry_dump(const journal_entry_t *entry)
{
	const blob_t *value = entry->value;
	char *encoded = NULL;
	json_t *dump;

	if (value != NULL)
		encoded =
		    g_base64_encode((const guchar *)value->data, value->size);
	dump = json_pack("{s:I, s:s, s:s, s:s, s:s}", "revision",
	    (json_int_t)entry->revision, "key", entry->key, "client",
	    entry->client, "op", value != NULL ? "put" : "delete", "value",
	    encoded != NULL ? encoded : "");
	g_free(encoded);
	return dump;
}
