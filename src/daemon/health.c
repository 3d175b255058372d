/**
 * @file health.c
 * @brief Health checks and load queries of backend servers.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <glib.h>
#include <jansson.h>

#include "adapters/monotonic.h"
#include "adapters/runtime.h"
#include "daemon/health.h"

/** Time limit of a health check, ms; after it the result is unknown. */
#define PROBE_TIMEOUT_MS 500
/** A check that was cut off is retried for at most this long, ms. */
#define CUT_RETRY_MAX_MS 500
/** Largest answer to a health check, bytes. */
#define PROBE_ANSWER_MAX 2048

/** An event that is held back until a health check has ended. */
typedef struct deferred {
	STAILQ_ENTRY(deferred) link;
	void *event;
	uint64_t min_probe; /**< first probe begun after the event */
} deferred_t;

/** State of one server. */
typedef struct {
	uint64_t boot; /**< start id of the process last seen, 0: none yet */
	uint64_t probes; /**< probes begun so far */
	bool probing; /**< a probe is in progress */
	bool cut; /**< the last probe was cut off, with events held back */
	jj_ms_t first_cut_ms; /**< time of the first probe in a row that was */
	char address[JJ_NAME_MAX + 1];
	STAILQ_HEAD(, deferred) deferred;
} record_t;

/** A health check in progress. */
typedef struct {
	jj_health_watch_t *watch;
	jj_name_t server;
	bool with_load;
	char answer[PROBE_ANSWER_MAX];
	size_t size;
} probe_t;

struct jj_health_watch {
	jj_health_port_t port;
	jj_http_client_t *client;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /**< guards records */
	GHashTable *records;
	atomic_bool has_cut; /**< some record may have `cut` set */
};

static record_t *find_or_add_record(jj_health_watch_t *, const jj_name_t *);
static bool begin_probe(record_t *);
static void
send_probe(jj_health_watch_t *, const jj_name_t *, const char *, bool);
static jj_http_flow_t on_data(void *, const char *, size_t);
static void on_end(void *, jj_http_end_t, const jj_http_head_t *);
static jj_health_t
classify(probe_t *, jj_http_end_t, const jj_http_head_t *, uint64_t *);
static void update_cut(jj_health_watch_t *, record_t *, bool);
static void report_load(const probe_t *, const json_t *);
static void release_events(jj_health_watch_t *, const jj_name_t *);
static void free_record(void *);

jj_health_watch_t *
jj_health_watch_create(const jj_health_port_t *port)
{
	jj_health_watch_t *watch = jj_alloc(sizeof(*watch));

	watch->port = *port;
	watch->pool = jj_runtime_create_pool();
	watch->lock = jj_runtime_create_mutex(watch->pool);
	watch->records =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
	watch->client = jj_http_client_create();
	JJ_INVARIANT(watch->client != NULL);
	return watch;
}

void
jj_health_watch_set_guard(jj_health_watch_t *watch, jj_http_guard_t *guard)
{
	jj_http_client_set_guard(watch->client, guard);
}

void
jj_health_watch_destroy(jj_health_watch_t *watch)
{
	if (watch == NULL)
		return;
	jj_http_client_destroy(watch->client);
	g_hash_table_destroy(watch->records);
	apr_pool_destroy(watch->pool);
	free(watch);
}

void
jj_health_watch_probe(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, bool with_load)
{
	record_t *record;
	bool start;

	(void)apr_thread_mutex_lock(watch->lock);
	record = find_or_add_record(watch, server);
	start = begin_probe(record);
	(void)snprintf(record->address, sizeof(record->address), "%s", address);
	(void)apr_thread_mutex_unlock(watch->lock);
	if (start)
		send_probe(watch, server, address, with_load);
}

void
jj_health_watch_defer_event(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, void *event)
{
	deferred_t *deferred = jj_alloc(sizeof(*deferred));
	record_t *record;

	deferred->event = event;
	(void)apr_thread_mutex_lock(watch->lock);
	record = find_or_add_record(watch, server);
	/*
	 * A probe in progress may have been answered just before the server
	 * failed, and would find it healthy; only a later one is conclusive.
	 */
	deferred->min_probe = record->probes + 1;
	STAILQ_INSERT_TAIL(&record->deferred, deferred, link);
	(void)apr_thread_mutex_unlock(watch->lock);
	jj_health_watch_probe(watch, server, address, false);
}

bool
jj_health_watch_is_probe_cut(jj_health_watch_t *watch, const jj_name_t *server)
{
	bool is_cut;

	(void)apr_thread_mutex_lock(watch->lock);
	is_cut = find_or_add_record(watch, server)->cut;
	(void)apr_thread_mutex_unlock(watch->lock);
	return is_cut;
}

bool
jj_health_watch_has_cut_probe(const jj_health_watch_t *watch)
{
	return atomic_load(&watch->has_cut);
}

void
jj_health_watch_retry_probes(jj_health_watch_t *watch)
{
	jj_name_t server = {""};
	GHashTableIter iterator;
	gpointer key;
	gpointer value;
	record_t *record;

	if (!atomic_load(&watch->has_cut))
		return;
	atomic_store(&watch->has_cut, false);
	(void)apr_thread_mutex_lock(watch->lock);
	g_hash_table_iter_init(&iterator, watch->records);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		record = value;
		if (!record->cut)
			continue;
		atomic_store(&watch->has_cut, true);
		if (!begin_probe(record))
			continue;
		jj_name_set(&server, key);
		send_probe(watch, &server, record->address, false);
	}
	(void)apr_thread_mutex_unlock(watch->lock);
}

static record_t *
find_or_add_record(jj_health_watch_t *watch, const jj_name_t *server)
{
	record_t *record = g_hash_table_lookup(watch->records, server->text);

	if (record != NULL)
		return record;
	record = jj_alloc(sizeof(*record));
	STAILQ_INIT(&record->deferred);
	(void)g_hash_table_insert(
	    watch->records, g_strdup(server->text), record);
	return record;
}

/** False while a probe of this server is in progress. */
static bool
begin_probe(record_t *record)
{
	if (record->probing)
		return false;
	record->probing = true;
	record->probes++;
	return true;
}

static void
send_probe(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, bool with_load)
{
	probe_t *probe = jj_alloc(sizeof(*probe));
	jj_http_request_t request = {0};

	probe->watch = watch;
	probe->server = *server;
	probe->with_load = with_load;
	request.method = "GET";
	request.address = address;
	request.path = with_load ? "/load" : "/health";
	request.timeout_ms = PROBE_TIMEOUT_MS;
	request.once = true;
	request.ctx = probe;
	request.on_data = on_data;
	request.on_end = on_end;
	(void)jj_http_client_start(watch->client, &request);
}

static jj_http_flow_t
on_data(void *ctx, const char *data, size_t size)
{
	probe_t *probe = ctx;

	if (size > PROBE_ANSWER_MAX - probe->size)
		size = PROBE_ANSWER_MAX - probe->size;
	memcpy(probe->answer + probe->size, data, size);
	probe->size += size;
	return JJ_HTTP_CONSUMED;
}

static void
on_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	probe_t *probe = ctx;
	jj_health_watch_t *watch = probe->watch;
	uint64_t boot = 0;
	jj_health_t health;

	if (end == JJ_HTTP_CANCELLED) {
		free(probe);
		return;
	}
	health = classify(probe, end, head, &boot);
	watch->port.on_health(watch->port.ctx, &probe->server, health, boot);
	release_events(watch, &probe->server);
	free(probe);
}

/**
 * Only a refused connection proves that a process is gone: a probe without an
 * answer may mean a slow server, whose requests must not be charged with a
 * crash. A crash is reported with the start id of the failed process, so that
 * neighbours count it once, whichever VM reports it.
 */
static jj_health_t
classify(probe_t *probe, jj_http_end_t end, const jj_http_head_t *head,
    uint64_t *boot)
{
	bool answered = end == JJ_HTTP_COMPLETE && head->status == 200;
	json_t *json =
	    answered ? json_loadb(probe->answer, probe->size, 0, NULL) : NULL;
	const char *text = json_string_value(json_object_get(json, "boot"));
	jj_health_t health = answered ? JJ_HEALTH_UP
	    : end == JJ_HTTP_NOT_SENT ? JJ_HEALTH_DOWN
				      : JJ_HEALTH_UNKNOWN;
	uint64_t seen = text != NULL ? strtoull(text, NULL, 16) : 0;
	record_t *record;

	(void)apr_thread_mutex_lock(probe->watch->lock);
	record = find_or_add_record(probe->watch, &probe->server);
	record->probing = false;
	update_cut(probe->watch, record, end == JJ_HTTP_BROKEN);
	*boot = record->boot;
	if (seen != 0) {
		if (record->boot != 0 && record->boot != seen)
			health = JJ_HEALTH_RESTARTED;
		else
			*boot = seen;
		record->boot = seen;
	}
	(void)apr_thread_mutex_unlock(probe->watch->lock);
	if (probe->with_load && json != NULL)
		report_load(probe, json);
	json_decref(json);
	return health;
}

/**
 * A process that is terminating still accepts connections for some ms. Its
 * crash must be charged to the requests that broke there before they are sent
 * to a third server, so a probe that is cut off meanwhile is retried.
 */
static void
update_cut(jj_health_watch_t *watch, record_t *record, bool was_cut)
{
	jj_ms_t now = jj_monotonic_now();

	if (!record->cut && was_cut && !STAILQ_EMPTY(&record->deferred)) {
		record->cut = true;
		record->first_cut_ms = now;
		atomic_store(&watch->has_cut, true);
	} else if (!was_cut || now - record->first_cut_ms >= CUT_RETRY_MAX_MS) {
		record->cut = false;
	}
}

static void
report_load(const probe_t *probe, const json_t *json)
{
	const jj_health_port_t *port = &probe->watch->port;

	port->on_report(port->ctx, &probe->server,
	    (uint32_t)json_integer_value(json_object_get(json, "running")),
	    (uint32_t)json_integer_value(json_object_get(json, "waiting")),
	    json_integer_value(json_object_get(json, "age_ms")));
}

/** Releases the events that waited for this probe, after its result. */
static void
release_events(jj_health_watch_t *watch, const jj_name_t *server)
{
	char address[JJ_NAME_MAX + 1];
	record_t *record;
	deferred_t *deferred;
	bool more;

	for (;;) {
		(void)apr_thread_mutex_lock(watch->lock);
		record = find_or_add_record(watch, server);
		deferred = STAILQ_FIRST(&record->deferred);
		more = deferred != NULL;
		if (more && deferred->min_probe > record->probes)
			deferred = NULL;
		if (deferred != NULL)
			STAILQ_REMOVE_HEAD(&record->deferred, link);
		memcpy(address, record->address, sizeof(address));
		(void)apr_thread_mutex_unlock(watch->lock);
		if (deferred == NULL)
			break;
		watch->port.on_release(watch->port.ctx, deferred->event);
		free(deferred);
	}
	if (more)
		jj_health_watch_probe(watch, server, address, false);
}

static void
free_record(void *memory)
{
	record_t *record = memory;
	deferred_t *deferred;

	while ((deferred = STAILQ_FIRST(&record->deferred)) != NULL) {
		STAILQ_REMOVE_HEAD(&record->deferred, link);
		free(deferred);
	}
	free(record);
}
