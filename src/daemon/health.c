/**
 * @file health.c
 * @brief Looks after backend servers: is the process alive, how loaded is it.
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

/** A server that does not answer a look in this time is held for down. */
#define LOOK_TIMEOUT_MS 500
/** Longest time in which a look that was cut off is made again. */
#define CUT_MOST_MS 500
/** Largest answer to a look, bytes. */
#define LOOK_MAX 2048

typedef struct held {
	STAILQ_ENTRY(held) link;
	void *event;
	uint64_t needs; /**< the first look that began after the event */
} held_t;

/** What is known of one server. */
typedef struct {
	uint64_t boot; /**< of the process last seen, 0: none yet */
	uint64_t looks; /**< looks begun so far */
	bool looking; /**< the last of them is under way */
	bool cut; /**< it was cut off after an attempt broke there */
	jj_ms_t cut_ms; /**< the first that was */
	char address[JJ_NAME_MAX + 1];
	STAILQ_HEAD(, held) held;
} record_t;

typedef struct {
	jj_health_watch_t *watch;
	jj_name_t server;
	bool with_load;
	char answer[LOOK_MAX];
	size_t size;
} look_t;

struct jj_health_watch {
	jj_health_port_t port;
	jj_http_client_t *client;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /**< guards records */
	GHashTable *records;
	atomic_bool has_cut; /**< a record may be cut */
};

static record_t *find_record(jj_health_watch_t *, const jj_name_t *);
static bool begin_look(record_t *);
static void
start_look(jj_health_watch_t *, const jj_name_t *, const char *, bool);
static jj_http_flow_t on_data(void *, const char *, size_t);
static void on_end(void *, jj_http_end_t, const jj_http_head_t *);
static jj_health_t
judge(look_t *, jj_http_end_t, const jj_http_head_t *, uint64_t *);
static void note_cut(jj_health_watch_t *, record_t *, bool);
static void tell_load(const look_t *, const json_t *);
static void release(jj_health_watch_t *, const jj_name_t *);
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
jj_health_watch_look(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, bool with_load)
{
	record_t *record;
	bool start;

	(void)apr_thread_mutex_lock(watch->lock);
	record = find_record(watch, server);
	start = begin_look(record);
	(void)snprintf(record->address, sizeof(record->address), "%s", address);
	(void)apr_thread_mutex_unlock(watch->lock);
	if (start)
		start_look(watch, server, address, with_load);
}

void
jj_health_watch_hold(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, void *event)
{
	held_t *held = jj_alloc(sizeof(*held));
	record_t *record;

	held->event = event;
	(void)apr_thread_mutex_lock(watch->lock);
	record = find_record(watch, server);
	/*
	 * A look under way may have been answered just before the server
	 * died and would clear it; only a later one tells.
	 */
	held->needs = record->looks + 1;
	STAILQ_INSERT_TAIL(&record->held, held, link);
	(void)apr_thread_mutex_unlock(watch->lock);
	jj_health_watch_look(watch, server, address, false);
}

bool
jj_health_watch_is_cut(jj_health_watch_t *watch, const jj_name_t *server)
{
	bool is_cut;

	(void)apr_thread_mutex_lock(watch->lock);
	is_cut = find_record(watch, server)->cut;
	(void)apr_thread_mutex_unlock(watch->lock);
	return is_cut;
}

bool
jj_health_watch_has_cut(const jj_health_watch_t *watch)
{
	return atomic_load(&watch->has_cut);
}

void
jj_health_watch_look_again(jj_health_watch_t *watch)
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
		if (!begin_look(record))
			continue;
		jj_name_set(&server, key);
		start_look(watch, &server, record->address, false);
	}
	(void)apr_thread_mutex_unlock(watch->lock);
}

static record_t *
find_record(jj_health_watch_t *watch, const jj_name_t *server)
{
	record_t *record = g_hash_table_lookup(watch->records, server->text);

	if (record != NULL)
		return record;
	record = jj_alloc(sizeof(*record));
	STAILQ_INIT(&record->held);
	(void)g_hash_table_insert(
	    watch->records, g_strdup(server->text), record);
	return record;
}

/** False while one is under way. */
static bool
begin_look(record_t *record)
{
	if (record->looking)
		return false;
	record->looking = true;
	record->looks++;
	return true;
}

static void
start_look(jj_health_watch_t *watch, const jj_name_t *server,
    const char *address, bool with_load)
{
	look_t *look = jj_alloc(sizeof(*look));
	jj_http_request_t request = {0};

	look->watch = watch;
	look->server = *server;
	look->with_load = with_load;
	request.method = "GET";
	request.address = address;
	request.path = with_load ? "/load" : "/health";
	request.timeout_ms = LOOK_TIMEOUT_MS;
	request.once = true;
	request.ctx = look;
	request.on_data = on_data;
	request.on_end = on_end;
	(void)jj_http_client_start(watch->client, &request);
}

static jj_http_flow_t
on_data(void *ctx, const char *data, size_t size)
{
	look_t *look = ctx;

	if (size > LOOK_MAX - look->size)
		size = LOOK_MAX - look->size;
	memcpy(look->answer + look->size, data, size);
	look->size += size;
	return JJ_HTTP_TAKEN;
}

static void
on_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	look_t *look = ctx;
	jj_health_watch_t *watch = look->watch;
	uint64_t boot = 0;
	jj_health_t health;

	if (end == JJ_HTTP_CANCELLED) {
		free(look);
		return;
	}
	health = judge(look, end, head, &boot);
	watch->port.on_health(watch->port.ctx, &look->server, health, boot);
	release(watch, &look->server);
	free(look);
}

/**
 * Only a refused connection shows that a process is gone; a look without an
 * answer may be a slow server, and its requests must not be blamed. A dead
 * server's boot is told as it was, so that neighbours count one death once,
 * whoever tells it.
 */
static jj_health_t
judge(
    look_t *look, jj_http_end_t end, const jj_http_head_t *head, uint64_t *boot)
{
	bool answered = end == JJ_HTTP_COMPLETE && head->status == 200;
	json_t *json =
	    answered ? json_loadb(look->answer, look->size, 0, NULL) : NULL;
	const char *text = json_string_value(json_object_get(json, "boot"));
	jj_health_t health = answered ? JJ_HEALTH_UP
	    : end == JJ_HTTP_NOT_SENT ? JJ_HEALTH_DOWN
				      : JJ_HEALTH_UNSURE;
	uint64_t seen = text != NULL ? strtoull(text, NULL, 16) : 0;
	record_t *record;

	(void)apr_thread_mutex_lock(look->watch->lock);
	record = find_record(look->watch, &look->server);
	record->looking = false;
	note_cut(look->watch, record, end == JJ_HTTP_BROKEN);
	*boot = record->boot;
	if (seen != 0) {
		if (record->boot != 0 && record->boot != seen)
			health = JJ_HEALTH_REBORN;
		else
			*boot = seen;
		record->boot = seen;
	}
	(void)apr_thread_mutex_unlock(look->watch->lock);
	if (look->with_load && json != NULL)
		tell_load(look, json);
	json_decref(json);
	return health;
}

/**
 * A process that is dying still takes connections for some ms. Its death must
 * count against what broke there before that is sent to a third server.
 */
static void
note_cut(jj_health_watch_t *watch, record_t *record, bool was_cut)
{
	jj_ms_t now = jj_monotonic_now();

	if (!record->cut && was_cut && !STAILQ_EMPTY(&record->held)) {
		record->cut = true;
		record->cut_ms = now;
		atomic_store(&watch->has_cut, true);
	} else if (!was_cut || now - record->cut_ms >= CUT_MOST_MS) {
		record->cut = false;
	}
}

static void
tell_load(const look_t *look, const json_t *json)
{
	const jj_health_port_t *port = &look->watch->port;

	port->on_report(port->ctx, &look->server,
	    (uint32_t)json_integer_value(json_object_get(json, "running")),
	    (uint32_t)json_integer_value(json_object_get(json, "waiting")),
	    json_integer_value(json_object_get(json, "age_ms")));
}

/** Tells the events that waited for this look, after its verdict. */
static void
release(jj_health_watch_t *watch, const jj_name_t *server)
{
	char address[JJ_NAME_MAX + 1];
	record_t *record;
	held_t *held;
	bool more;

	for (;;) {
		(void)apr_thread_mutex_lock(watch->lock);
		record = find_record(watch, server);
		held = STAILQ_FIRST(&record->held);
		more = held != NULL;
		if (more && held->needs > record->looks)
			held = NULL;
		if (held != NULL)
			STAILQ_REMOVE_HEAD(&record->held, link);
		memcpy(address, record->address, sizeof(address));
		(void)apr_thread_mutex_unlock(watch->lock);
		if (held == NULL)
			break;
		watch->port.on_release(watch->port.ctx, held->event);
		free(held);
	}
	if (more)
		jj_health_watch_look(watch, server, address, false);
}

static void
free_record(void *memory)
{
	record_t *record = memory;
	held_t *held;

	while ((held = STAILQ_FIRST(&record->held)) != NULL) {
		STAILQ_REMOVE_HEAD(&record->held, link);
		free(held);
	}
	free(record);
}
