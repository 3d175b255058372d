/**
 * @file vms.c
 * @brief The delayed VM list; see vms.h.
 */
#include <sys/queue.h>

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "vms.h"

/* One posted version of the list; versions are kept in posting order. */
typedef struct version {
	TAILQ_ENTRY(version) link;
	uint64_t revision;
	int64_t visible_ms;
	json_t *list;
} version_t;

struct vms {
	pthread_mutex_t lock;
	TAILQ_HEAD(version_list, version) versions;
	uint64_t revision;
};

static bool is_vm(const json_t *, char *, size_t);
static bool is_one_of(const json_t *, const char *, const char *);
static void append(vms_t *, json_t *, int64_t);
static void drop_first(vms_t *);
static version_t *newest_visible(vms_t *, int64_t);

vms_t *
vms_create(void)
{
	vms_t *vms = g_new0(vms_t, 1);

	pthread_mutex_init(&vms->lock, NULL);
	TAILQ_INIT(&vms->versions);
	append(vms, json_array(), INT64_MIN);
	return vms;
}

void
vms_destroy(vms_t *vms)
{
	while (!TAILQ_EMPTY(&vms->versions))
		drop_first(vms);
	pthread_mutex_destroy(&vms->lock);
	g_free(vms);
}

bool
vms_replace(vms_t *vms, const json_t *document, int64_t visible_ms,
    char *reason, size_t reason_size)
{
	const json_t *list = json_object_get(document, "vms");
	size_t i;

	if (!json_is_array(list)) {
		snprintf(reason, reason_size, "vms: not a list");
		return false;
	}
	for (i = 0; i < json_array_size(list); i++) {
		if (!is_vm(json_array_get(list, i), reason, reason_size))
			return false;
	}
	pthread_mutex_lock(&vms->lock);
	append(vms, json_deep_copy(list), visible_ms);
	pthread_mutex_unlock(&vms->lock);
	return true;
}

json_t *
vms_dump(vms_t *vms, int64_t now_ms)
{
	version_t *visible;
	json_t *dump;

	pthread_mutex_lock(&vms->lock);
	visible = newest_visible(vms, now_ms);
	while (TAILQ_FIRST(&vms->versions) != visible)
		drop_first(vms);
	dump =
	    json_pack("{s:I, s:o}", "revision", (json_int_t)visible->revision,
		"vms", json_deep_copy(visible->list));
	pthread_mutex_unlock(&vms->lock);
	return dump;
}

static bool
is_vm(const json_t *vm, char *reason, size_t reason_size)
{
	static const char *const texts[] = {"id", "domain", "address"};
	const json_t *service = json_object_get(vm, "service");
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		if (json_is_string(json_object_get(vm, texts[i])))
			continue;
		snprintf(reason, reason_size, "%s: not a string", texts[i]);
		return false;
	}
	if (service != NULL && !json_is_string(service)) {
		snprintf(reason, reason_size, "service: not a string");
		return false;
	}
	if (!is_one_of(json_object_get(vm, "kind"), "entry", "server")) {
		snprintf(reason, reason_size, "kind: neither entry nor server");
		return false;
	}
	if (!is_one_of(json_object_get(vm, "state"), "live", "leaving")) {
		snprintf(
		    reason, reason_size, "state: neither live nor leaving");
		return false;
	}
	return true;
}

static bool
is_one_of(const json_t *value, const char *left, const char *right)
{
	const char *text = json_string_value(value);

	if (text == NULL)
		return false;
	return strcmp(text, left) == 0 || strcmp(text, right) == 0;
}

static void
append(vms_t *vms, json_t *list, int64_t visible_ms)
{
	version_t *version = g_new0(version_t, 1);

	version->revision = ++vms->revision;
	version->visible_ms = visible_ms;
	version->list = list;
	TAILQ_INSERT_TAIL(&vms->versions, version, link);
}

static void
drop_first(vms_t *vms)
{
	version_t *version = TAILQ_FIRST(&vms->versions);

	TAILQ_REMOVE(&vms->versions, version, link);
	json_decref(version->list);
	g_free(version);
}

/* If the lag was reduced, a later list may be visible before an earlier one. */
static version_t *
newest_visible(vms_t *vms, int64_t now_ms)
{
	version_t *version;

	TAILQ_FOREACH_REVERSE(version, &vms->versions, version_list, link)
	{
		if (version->visible_ms <= now_ms)
			return version;
	}
	return TAILQ_FIRST(&vms->versions);
}
