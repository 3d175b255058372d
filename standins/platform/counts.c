/**
 * @file counts.c
 * @brief Call counters by kind and first segment of the key; see counts.h.
 */
#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "counts.h"

/* The kinds with a key come first in count_kind_t. */
#define KEY_KINDS (COUNT_WATCH + 1)

typedef struct {
	json_int_t calls[COUNT_KINDS];
} tally_t;

struct counts {
	pthread_mutex_t lock;
	tally_t total;
	GHashTable *by_prefix; /* char * -> tally_t * */
};

static const char *const kind_names[COUNT_KINDS] = {"get", "put", "delete",
    "list", "watch", "vms", "weights", "limited", "conflicts"};

static tally_t *prefix_tally(counts_t *, const char *);
static json_t *tally_dump(const tally_t *, int);

counts_t *
count_create(void)
{
	counts_t *counts = g_new0(counts_t, 1);

	pthread_mutex_init(&counts->lock, NULL);
	counts->by_prefix =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return counts;
}

void
count_destroy(counts_t *counts)
{
	g_hash_table_destroy(counts->by_prefix);
	pthread_mutex_destroy(&counts->lock);
	g_free(counts);
}

void
count_add(counts_t *counts, count_kind_t kind, const char *key)
{
	pthread_mutex_lock(&counts->lock);
	counts->total.calls[kind]++;
	if (key != NULL)
		prefix_tally(counts, key)->calls[kind]++;
	pthread_mutex_unlock(&counts->lock);
}

void
count_reset(counts_t *counts)
{
	pthread_mutex_lock(&counts->lock);
	memset(&counts->total, 0, sizeof(counts->total));
	g_hash_table_remove_all(counts->by_prefix);
	pthread_mutex_unlock(&counts->lock);
}

json_t *
count_dump(counts_t *counts)
{
	json_t *by_prefix = json_object();
	GHashTableIter iter;
	gpointer prefix;
	gpointer tally;
	json_t *dump;

	pthread_mutex_lock(&counts->lock);
	dump = tally_dump(&counts->total, COUNT_KINDS);
	g_hash_table_iter_init(&iter, counts->by_prefix);
	while (g_hash_table_iter_next(&iter, &prefix, &tally))
		json_object_set_new(
		    by_prefix, prefix, tally_dump(tally, KEY_KINDS));
	pthread_mutex_unlock(&counts->lock);
	json_object_set_new(dump, "by_prefix", by_prefix);
	return dump;
}

/* Keys without a slash share the empty prefix, which limits the table. */
static tally_t *
prefix_tally(counts_t *counts, const char *key)
{
	const char *slash = strchr(key, '/');
	size_t size = slash != NULL ? (size_t)(slash - key) + 1 : 0;
	char *prefix = g_strndup(key, size);
	tally_t *tally = g_hash_table_lookup(counts->by_prefix, prefix);

	if (tally != NULL) {
		g_free(prefix);
		return tally;
	}
	tally = g_new0(tally_t, 1);
	g_hash_table_insert(counts->by_prefix, prefix, tally);
	return tally;
}

static json_t *
tally_dump(const tally_t *tally, int kinds)
{
	json_t *dump = json_object();
	int kind;

	for (kind = 0; kind < kinds; kind++)
		json_object_set_new(
		    dump, kind_names[kind], json_integer(tally->calls[kind]));
	return dump;
}
