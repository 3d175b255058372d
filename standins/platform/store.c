/**
 * @file store.c
 * @brief The in-memory object store; see store.h.
 */
#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "journal.h"
#include "store.h"

/* Bytes of values in one list answer, which limits its memory. */
#define LIST_VALUES_MAX_BYTES (8U * 1024 * 1024)

struct store {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* after each write or cleared history */
	GTree *objects; /* key -> object_t, ordered by key */
	uint64_t revision;
	watch_history_t history;
	journal_t journal;
};

typedef struct {
	uint64_t version;
	blob_t *value;
} object_t;

/* One listed object, copied under the lock and encoded without it. */
typedef struct {
	char *key;
	uint64_t version;
	blob_t *value;
} item_t;

static gint compare_keys(gconstpointer, gconstpointer, gpointer);
static void object_free(gpointer);
static void item_clear(gpointer);
static store_outcome_t
check_condition(const object_t *, const store_write_t *, uint64_t *);
static void record_write(store_t *, const store_write_t *, blob_t *);
static bool collect_items(store_t *, const store_list_t *, GArray *);
static json_t *item_dump(const item_t *, bool);
static struct timespec deadline_after(int64_t);

store_t *
store_create(size_t history_events, size_t journal_bytes)
{
	store_t *store = g_new0(store_t, 1);
	pthread_condattr_t clock;

	pthread_mutex_init(&store->lock, NULL);
	pthread_condattr_init(&clock);
	pthread_condattr_setclock(&clock, CLOCK_MONOTONIC);
	pthread_cond_init(&store->changed, &clock);
	pthread_condattr_destroy(&clock);
	store->objects =
	    g_tree_new_full(compare_keys, NULL, g_free, object_free);
	watch_create(&store->history, history_events);
	journal_create(&store->journal, journal_bytes);
	return store;
}

void
store_destroy(store_t *store)
{
	g_tree_destroy(store->objects);
	watch_destroy(&store->history);
	journal_destroy(&store->journal);
	pthread_cond_destroy(&store->changed);
	pthread_mutex_destroy(&store->lock);
	g_free(store);
}

bool
store_is_key(const char *key)
{
	size_t size = strlen(key);

	if (size == 0 || size > STORE_KEY_MAX)
		return false;
	for (; *key != '\0'; key++) {
		if (!g_ascii_isalnum(*key) && strchr("._/-", *key) == NULL)
			return false;
	}
	return true;
}

bool
store_is_prefix(const char *prefix)
{
	return *prefix == '\0' || store_is_key(prefix);
}

store_outcome_t
store_get(store_t *store, const char *key, blob_t **value, uint64_t *version)
{
	store_outcome_t outcome = STORE_ABSENT;
	const object_t *object;

	pthread_mutex_lock(&store->lock);
	object = g_tree_lookup(store->objects, key);
	if (object != NULL) {
		*value = blob_acquire(object->value);
		*version = object->version;
		outcome = STORE_OK;
	}
	pthread_mutex_unlock(&store->lock);
	return outcome;
}

store_outcome_t
store_put(store_t *store, const store_write_t *write, uint64_t *version)
{
	blob_t *value = blob_create(write->value, write->size);
	store_outcome_t outcome;
	object_t *object;

	pthread_mutex_lock(&store->lock);
	object = g_tree_lookup(store->objects, write->key);
	outcome = check_condition(object, write, version);
	if (outcome == STORE_ABSENT && write->condition != STORE_IF_VERSION)
		outcome = STORE_CREATED;
	if (outcome == STORE_OK || outcome == STORE_CREATED) {
		record_write(store, write, value);
		object = g_new0(object_t, 1);
		object->version = store->revision;
		object->value = blob_acquire(value);
		g_tree_replace(store->objects, g_strdup(write->key), object);
		*version = store->revision;
	}
	pthread_mutex_unlock(&store->lock);
	blob_release(value);
	return outcome;
}

store_outcome_t
store_delete(store_t *store, const store_write_t *write, uint64_t *version)
{
	store_outcome_t outcome;

	pthread_mutex_lock(&store->lock);
	outcome = check_condition(
	    g_tree_lookup(store->objects, write->key), write, version);
	if (outcome == STORE_OK) {
		record_write(store, write, NULL);
		g_tree_remove(store->objects, write->key);
	}
	pthread_mutex_unlock(&store->lock);
	return outcome;
}

json_t *
store_list(store_t *store, const store_list_t *list)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(item_t));
	json_t *dump = json_array();
	uint64_t revision;
	bool more;
	guint i;

	g_array_set_clear_func(items, item_clear);
	pthread_mutex_lock(&store->lock);
	revision = store->revision;
	more = collect_items(store, list, items);
	pthread_mutex_unlock(&store->lock);
	for (i = 0; i < items->len; i++)
		json_array_append_new(dump,
		    item_dump(&g_array_index(items, item_t, i), list->values));
	g_array_free(items, TRUE);
	return json_pack("{s:I, s:b, s:o}", "revision", (json_int_t)revision,
	    "more", more, "items", dump);
}

watch_outcome_t
store_watch(store_t *store, const char *prefix, uint64_t since, int64_t wait_ms,
    json_t *events, uint64_t *reached)
{
	struct timespec deadline = deadline_after(wait_ms);
	watch_outcome_t outcome;
	int result = 0;

	pthread_mutex_lock(&store->lock);
	for (;;) {
		*reached = store->revision;
		outcome = watch_collect(
		    &store->history, prefix, since, events, reached);
		if (outcome != WATCH_NONE || result != 0)
			break;
		/* No event up to this revision matches the prefix. */
		since = *reached;
		result = pthread_cond_timedwait(
		    &store->changed, &store->lock, &deadline);
	}
	pthread_mutex_unlock(&store->lock);
	return outcome;
}

void
store_clear_history(store_t *store)
{
	pthread_mutex_lock(&store->lock);
	watch_clear(&store->history, store->revision);
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void
store_drop_events(store_t *store, long count)
{
	pthread_mutex_lock(&store->lock);
	store->history.drop = count;
	pthread_mutex_unlock(&store->lock);
}

json_t *
store_journal(store_t *store, const char *prefix, uint64_t *dropped)
{
	json_t *dump;

	pthread_mutex_lock(&store->lock);
	dump = journal_dump(&store->journal, prefix);
	*dropped = store->journal.dropped;
	pthread_mutex_unlock(&store->lock);
	return dump;
}

static gint
compare_keys(gconstpointer left, gconstpointer right, gpointer ctx)
{
	(void)ctx;
	return strcmp(left, right);
}

static void
object_free(gpointer pointer)
{
	object_t *object = pointer;

	blob_release(object->value);
	g_free(object);
}

static void
item_clear(gpointer pointer)
{
	item_t *item = pointer;

	g_free(item->key);
	blob_release(item->value);
}

/* Returns STORE_OK when the object exists and the condition holds. */
static store_outcome_t
check_condition(
    const object_t *object, const store_write_t *write, uint64_t *version)
{
	if (object == NULL)
		return STORE_ABSENT;
	*version = object->version;
	if (write->condition == STORE_IF_ABSENT)
		return STORE_CONFLICT;
	if (write->condition == STORE_IF_VERSION &&
	    write->version != object->version)
		return STORE_CONFLICT;
	return STORE_OK;
}

static void
record_write(store_t *store, const store_write_t *write, blob_t *value)
{
	store->revision++;
	watch_append(
	    &store->history, write->key, store->revision, value == NULL);
	journal_append(
	    &store->journal, store->revision, write->key, write->client, value);
	pthread_cond_broadcast(&store->changed);
}

/* Returns whether more objects follow. */
static bool
collect_items(store_t *store, const store_list_t *list, GArray *items)
{
	bool after = strcmp(list->after, list->prefix) >= 0;
	size_t bytes = 0;
	GTreeNode *node;

	if (after && *list->after != '\0')
		node = g_tree_upper_bound(store->objects, list->after);
	else
		node = g_tree_lower_bound(store->objects, list->prefix);
	for (; node != NULL; node = g_tree_node_next(node)) {
		const object_t *object = g_tree_node_value(node);
		item_t item = {.version = object->version};

		if (!g_str_has_prefix(g_tree_node_key(node), list->prefix))
			return false;
		if (list->values)
			bytes += object->value->size;
		if (items->len >= list->limit)
			return true;
		if (items->len > 0 && bytes > LIST_VALUES_MAX_BYTES)
			return true;
		item.key = g_strdup(g_tree_node_key(node));
		item.value = blob_acquire(object->value);
		g_array_append_val(items, item);
	}
	return false;
}

static json_t *
item_dump(const item_t *item, bool with_value)
{
	json_t *dump = json_pack("{s:s, s:I}", "key", item->key, "version",
	    (json_int_t)item->version);
	char *encoded;

	if (!with_value)
		return dump;
	encoded = g_base64_encode(
	    (const guchar *)item->value->data, item->value->size);
	json_object_set_new(dump, "value", json_string(encoded));
	g_free(encoded);
	return dump;
}

static struct timespec
deadline_after(int64_t wait_ms)
{
	struct timespec deadline;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_sec += wait_ms / 1000;
	deadline.tv_nsec += wait_ms % 1000 * 1000000;
	if (deadline.tv_nsec >= 1000000000) {
		deadline.tv_sec++;
		deadline.tv_nsec -= 1000000000;
	}
	return deadline;
}
