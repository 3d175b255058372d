/**
 * @file store.c
 * @brief In-process store with the platform's objects, lists and watches.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "store.h"

#define BUCKETS 4096
/** Maximum of items in the answer to a list call, as at the platform. */
#define ITEMS_MAX 1000

typedef struct object {
	TAILQ_ENTRY(object) link;
	LIST_ENTRY(object) bucket;
	char key[JJ_OBJECT_KEY_MAX + 1];
	uint64_t version;
	jj_bytes_t value;
} object_t;

struct store {
	uint64_t revision;
	/* Ordered by key, as list answers are; writes are rare. */
	TAILQ_HEAD(object_list, object) objects;
	LIST_HEAD(, object) buckets[BUCKETS];
	jj_bytes_t vms;
};

static object_t *find(const store_t *, const char *);
static object_t *add(store_t *, const char *);
static void remove_object(store_t *, object_t *);
static size_t bucket_of(const char *);
static void
write_object(store_t *, const jj_platform_call_t *, jj_platform_result_t *);
static void
list(const store_t *, const jj_platform_call_t *, jj_platform_result_t *);
static bool watch(
    const store_t *, const jj_platform_call_t *, bool, jj_platform_result_t *);
static void add_item(jj_platform_result_t *, const object_t *, bool);

store_t *
store_create(void)
{
	store_t *store = jj_alloc(sizeof(*store));

	TAILQ_INIT(&store->objects);
	return store;
}

void
store_destroy(store_t *store)
{
	object_t *object;

	while ((object = TAILQ_FIRST(&store->objects)) != NULL)
		remove_object(store, object);
	jj_bytes_free(&store->vms);
	free(store);
}

void
store_put(store_t *store, const char *key, const jj_bytes_t *value)
{
	object_t *object = find(store, key);

	if (object == NULL)
		object = add(store, key);
	jj_bytes_free(&object->value);
	object->value = jj_bytes_copy(value->data, value->size);
	object->version = ++store->revision;
}

void
store_set_vms(store_t *store, const char *body)
{
	jj_bytes_free(&store->vms);
	store->vms = jj_bytes_from_text(body);
}

bool
store_answer(store_t *store, const jj_platform_call_t *call, bool timed_out,
    jj_platform_result_t *result)
{
	const object_t *object = NULL;

	memset(result, 0, sizeof(*result));
	result->owner = call->owner;
	result->token = call->token;
	result->op = call->op;
	result->outcome = JJ_PLATFORM_OK;
	switch (call->op) {
	case JJ_PLATFORM_GET:
		object = find(store, call->key);
		result->outcome =
		    object != NULL ? JJ_PLATFORM_OK : JJ_PLATFORM_ABSENT;
		if (object != NULL) {
			result->version = object->version;
			result->value = jj_bytes_copy(
			    object->value.data, object->value.size);
		}
		return true;
	case JJ_PLATFORM_LIST:
		list(store, call, result);
		return true;
	case JJ_PLATFORM_WATCH:
		return watch(store, call, timed_out, result);
	case JJ_PLATFORM_VMS:
		result->version = 1;
		result->value = jj_bytes_copy(store->vms.data, store->vms.size);
		return true;
	default:
		write_object(store, call, result);
		return true;
	}
}

uint64_t
store_revision(const store_t *store)
{
	return store->revision;
}

static object_t *
find(const store_t *store, const char *key)
{
	object_t *object;

	LIST_FOREACH(object, &store->buckets[bucket_of(key)], bucket)
	{
		if (strcmp(object->key, key) == 0)
			return object;
	}
	return NULL;
}

static object_t *
add(store_t *store, const char *key)
{
	object_t *object = jj_alloc(sizeof(*object));
	object_t *before;

	(void)snprintf(object->key, sizeof(object->key), "%s", key);
	LIST_INSERT_HEAD(&store->buckets[bucket_of(key)], object, bucket);
	/* Most keys are inserted in rising order, so search from the end. */
	TAILQ_FOREACH_REVERSE(before, &store->objects, object_list, link)
	{
		if (strcmp(before->key, key) < 0)
			break;
	}
	if (before != NULL)
		TAILQ_INSERT_AFTER(&store->objects, before, object, link);
	else
		TAILQ_INSERT_HEAD(&store->objects, object, link);
	return object;
}

static void
remove_object(store_t *store, object_t *object)
{
	TAILQ_REMOVE(&store->objects, object, link);
	LIST_REMOVE(object, bucket);
	jj_bytes_free(&object->value);
	free(object);
	store->revision++;
}

static size_t
bucket_of(const char *key)
{
	return jj_hash_bytes(key, strlen(key), 0) % BUCKETS;
}

static void
write_object(store_t *store, const jj_platform_call_t *call,
    jj_platform_result_t *result)
{
	object_t *object = find(store, call->key);

	if (call->op == JJ_PLATFORM_CREATE && object != NULL) {
		result->outcome = JJ_PLATFORM_CONFLICT;
		result->version = object->version;
		return;
	}
	/* A delete without a version is unconditional. */
	if (call->op != JJ_PLATFORM_CREATE &&
	    (object == NULL ||
		(object->version != call->version &&
		    (call->op != JJ_PLATFORM_DELETE || call->version != 0)))) {
		result->outcome =
		    object == NULL ? JJ_PLATFORM_ABSENT : JJ_PLATFORM_CONFLICT;
		result->version = object != NULL ? object->version : 0;
		return;
	}
	if (call->op == JJ_PLATFORM_DELETE) {
		remove_object(store, object);
		return;
	}
	store_put(store, call->key, &call->value);
	result->version = store->revision;
}

static void
list(const store_t *store, const jj_platform_call_t *call,
    jj_platform_result_t *result)
{
	size_t limit = call->limit > 0 ? (size_t)call->limit : ITEMS_MAX;
	size_t prefix = strlen(call->key);
	const object_t *object;

	result->version = store->revision;
	TAILQ_FOREACH(object, &store->objects, link)
	{
		if (strncmp(object->key, call->key, prefix) != 0 ||
		    strcmp(object->key, call->after) <= 0)
			continue;
		if (result->item_count == limit) {
			result->more = true;
			return;
		}
		add_item(result, object, call->values);
	}
}

static bool
watch(const store_t *store, const jj_platform_call_t *call, bool timed_out,
    jj_platform_result_t *result)
{
	size_t prefix = strlen(call->key);
	const object_t *object;

	result->version = store->revision;
	TAILQ_FOREACH(object, &store->objects, link)
	{
		if (object->version > call->version &&
		    strncmp(object->key, call->key, prefix) == 0)
			add_item(result, object, false);
	}
	return timed_out || result->item_count > 0;
}

static void
add_item(jj_platform_result_t *result, const object_t *object, bool with_value)
{
	jj_platform_item_t *item;

	result->items = jj_realloc(
	    result->items, (result->item_count + 1) * sizeof(*result->items));
	item = &result->items[result->item_count++];
	memset(item, 0, sizeof(*item));
	(void)snprintf(item->key, sizeof(item->key), "%s", object->key);
	item->version = object->version;
	if (with_value)
		item->value =
		    jj_bytes_copy(object->value.data, object->value.size);
}
