/**
 * @file slots.c
 * @brief The list of servers and their state.
 */
#include <stdlib.h>
#include <string.h>

#include "core/slots_state.h"

/*
 * A first event within this time, ms, outweighs a failure that another VM
 * reports.
 */
#define RECENT_ANSWER_MS 300

/* Weight of the newest wait in the mean wait for a first event. */
#define FIRST_WAIT_WEIGHT 0.2

/*
 * Weight of the newest service time in its mean; service times vary by nature.
 */
#define SERVICE_TIME_WEIGHT 0.1
/* First and longest cool-down after a failure, ms. */
#define COOLDOWN_FIRST_MS 200
#define COOLDOWN_MAX_MS 3000

/*
 * Cool-down after a refusal without Retry-After: about one step of the server's
 * queue, ms.
 */
#define REFUSAL_COOLDOWN_MS 50

/*
 * An entry with an earlier start that stays this long is valid, ms: a server
 * renews its entry every 1,200 ms and counts as gone after three missed
 * renewals.
 */
#define OLD_START_ACCEPT_MS 4000

/*
 * When at least one in this many servers is missing at once, and not a single
 * one alone, their entries have expired. Of nine servers two sometimes leave
 * together, three hardly ever.
 */
#define EXPIRED_PART 3
/*
 * Batch avoids a crowded server for about the service time of an online
 * request, ms.
 */
#define CROWDED_AVOID_MS 500

static jj_slot_server_t *add_server(jj_slots_t *, const jj_slot_info_t *);
static void set_info(jj_slots_t *, jj_slot_server_t *, const jj_slot_info_t *);
static jj_slot_server_t *replace_server(
    jj_slots_t *, jj_slot_server_t *, const jj_slot_info_t *, jj_ms_t);
static void unlist(jj_slots_t *, jj_slot_server_t *, jj_ms_t);
static void classify_missing(jj_slots_t *, jj_ms_t);
static bool is_missing(const jj_slot_server_t *, jj_ms_t);
static uint64_t hash_of(const jj_slot_info_t *);
static uint64_t software_of(const jj_slot_info_t *);
static void forget_server(jj_slots_t *, jj_slot_server_t *, jj_ms_t);
static void
note_removed_software(jj_slots_t *, const jj_slot_server_t *, jj_ms_t);
static void remove_server(jj_slots_t *, jj_slot_server_t *);
static bool is_complete(const jj_slot_server_t *);

jj_slots_t *
jj_slots_create(const jj_slots_settings_t *settings)
{
	jj_slots_t *slots = jj_alloc(sizeof(*slots));

	slots->settings = *settings;
	slots->sequence = settings->seed;
	slots->near_vms = 1;
	TAILQ_INIT(&slots->servers);
	slots->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	slots->neighbours = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, jj_slots_free_vm);
	slots->mean_loads =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	return slots;
}

void
jj_slots_destroy(jj_slots_t *slots)
{
	jj_slot_server_t *server;

	if (slots == NULL)
		return;
	while ((server = TAILQ_FIRST(&slots->servers)) != NULL)
		remove_server(slots, server);
	g_hash_table_destroy(slots->by_hash);
	g_hash_table_destroy(slots->neighbours);
	g_hash_table_destroy(slots->mean_loads);
	free(slots->users);
	free(slots);
}

jj_slots_update_t
jj_slots_update(jj_slots_t *slots, const jj_slot_info_t *info, jj_ms_t now)
{
	jj_slot_server_t *server = jj_slots_find(slots, info->id.text);

	if (server == NULL) {
		(void)add_server(slots, info);
		return JJ_SLOTS_NEW;
	}
	if (info->started_ms < server->info.started_ms) {
		if (!server->has_old_start)
			server->old_start_ms = now;
		server->has_old_start = true;
		slots->has_old_starts = true;
		server->old_start_info = *info;
		unlist(slots, server, now);
		return JJ_SLOTS_OLD_START;
	}
	if (info->started_ms > server->info.started_ms) {
		replace_server(slots, server, info, now);
		return JJ_SLOTS_RESTARTED;
	}
	/* An entry without a start may be that of a later process. */
	if (server->software != software_of(info))
		note_removed_software(slots, server, now);
	set_info(slots, server, info);
	return JJ_SLOTS_KNOWN;
}

/**
 * Guards against a server that stays unusable because its clock was set back
 * before it restarted. A late write of a process that is gone is overwritten by
 * the next renewal of the live process; an entry that is not overwritten is
 * valid.
 */
jj_slot_server_t *
jj_slots_accept_old_start(jj_slots_t *slots, jj_ms_t now)
{
	jj_slot_server_t *server;
	jj_slot_info_t old_start_info;
	bool has_old_starts = false;

	if (!slots->has_old_starts)
		return NULL;
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		has_old_starts = has_old_starts || server->has_old_start;
		if (!server->has_old_start ||
		    now - server->old_start_ms < OLD_START_ACCEPT_MS)
			continue;
		old_start_info = server->old_start_info;
		return replace_server(slots, server, &old_start_info, now);
	}
	slots->has_old_starts = has_old_starts;
	return NULL;
}

void
jj_slots_begin_list(jj_slots_t *slots)
{
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!server->listed)
			continue;
		unlist(slots, server, JJ_MS_NEVER);
	}
}

void
jj_slots_keep_unlisted(jj_slots_t *slots)
{
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!server->listed && server->unlisted_ms == JJ_MS_NEVER)
			server->listed = true;
	}
}

void
jj_slots_end_list(jj_slots_t *slots, jj_ms_t now, jj_ms_t until)
{
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!server->listed && server->unlisted_ms == JJ_MS_NEVER)
			unlist(slots, server, until);
	}
	classify_missing(slots, now);
}

void
jj_slots_note_unlisted(
    jj_slots_t *slots, const char *id, jj_ms_t now, jj_ms_t until)
{
	jj_slot_server_t *server = jj_slots_find(slots, id);

	if (server == NULL)
		return;
	server->has_old_start = false;
	/*
	 * For a server that is missing already, the deadline is not extended.
	 */
	if (server->listed || until < server->relist_until_ms)
		unlist(slots, server, until);
	classify_missing(slots, now);
}

void
jj_slots_tick(jj_slots_t *slots, jj_ms_t now)
{
	jj_slot_server_t *server;
	jj_slot_server_t *next;
	bool has_unlisted = false;

	if (!slots->has_unlisted)
		return;
	for (server = TAILQ_FIRST(&slots->servers); server != NULL;
	     server = next) {
		next = TAILQ_NEXT(server, link);
		has_unlisted = has_unlisted || !server->listed;
		if (!server->listed && now >= server->unlisted_ms &&
		    now >= server->relist_until_ms && !server->has_old_start &&
		    server->online + server->batch == 0)
			forget_server(slots, server, now);
	}
	slots->has_unlisted = has_unlisted;
}

jj_slot_server_t *
jj_slots_find(const jj_slots_t *slots, const char *id)
{
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!server->replaced && strcmp(server->info.id.text, id) == 0)
			return server;
	}
	return NULL;
}

jj_slot_server_t *
jj_slots_find_hash(const jj_slots_t *slots, uint64_t hash)
{
	return g_hash_table_lookup(slots->by_hash, &hash);
}

const jj_name_t *
jj_slots_service_of(const jj_slots_t *slots, uint64_t software)
{
	const jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (server->software == software && is_complete(server) &&
		    server->listed && !server->info.draining)
			return &server->info.service;
	}
	return NULL;
}

uint64_t
jj_slots_sole_software(
    const jj_slots_t *slots, const jj_name_t *service, jj_ms_t since_ms)
{
	const jj_removed_software_t *removed;
	const jj_slot_server_t *server;
	uint64_t software = 0;
	uint32_t i;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!jj_name_equal(&server->info.service, service))
			continue;
		if (software != 0 && server->software != software)
			return JJ_SOFTWARE_MIXED;
		software = server->software;
	}
	for (i = 0; i < slots->removed_count && software != 0; i++) {
		removed = &slots->removed[i];
		if (removed->removed_ms >= since_ms &&
		    removed->software != software &&
		    jj_name_equal(&removed->service, service))
			return JJ_SOFTWARE_MIXED;
	}
	return software;
}

void
jj_slots_set_vms(jj_slots_t *slots, uint32_t near, uint32_t far)
{
	slots->near_vms = near > 0 ? near : 1;
	slots->far_vms = far;
}

jj_slot_server_t *
jj_slots_first(const jj_slots_t *slots)
{
	return TAILQ_FIRST(&slots->servers);
}

uint32_t
jj_slot_server_taken(const jj_slot_server_t *server)
{
	return server->online + server->batch + server->others_online +
	    server->others_batch;
}

bool
jj_slot_server_is_up(const jj_slot_server_t *server, jj_ms_t now)
{
	return is_complete(server) && !server->info.draining &&
	    (server->listed || now < server->unlisted_ms) &&
	    now >= server->rest_until_ms;
}

void
jj_slots_add(jj_slot_server_t *server, jj_class_t class_of)
{
	if (class_of == JJ_CLASS_ONLINE)
		server->online++;
	else
		server->batch++;
	server->open_connects += 1;
}

void
jj_slots_remove(jj_slot_server_t *server, jj_class_t class_of)
{
	uint32_t *count =
	    class_of == JJ_CLASS_ONLINE ? &server->online : &server->batch;

	JJ_INVARIANT(*count > 0);
	(*count)--;
	if (server->open_connects > server->online + server->batch)
		server->open_connects = server->online + server->batch;
}

void
jj_slots_note_first(jj_slot_server_t *server, jj_ms_t wait_ms, jj_ms_t now)
{
	server->failures = 0;
	server->answered_ms = now;
	server->rest_until_ms = 0;
	if (server->open_connects > 0)
		server->open_connects -= 1;
	if (server->first_ms == 0)
		server->first_ms = (double)wait_ms + 1;
	else
		server->first_ms += FIRST_WAIT_WEIGHT *
		    ((double)wait_ms + 1 - server->first_ms);
}

void
jj_slots_note_error(jj_slot_server_t *server)
{
	if (server->open_connects > 0)
		server->open_connects -= 1;
}

void
jj_slots_note_service_time(jj_slot_server_t *server, jj_ms_t service_ms)
{
	if (server->service_ms == 0)
		server->service_ms = (double)service_ms;
	server->service_ms +=
	    SERVICE_TIME_WEIGHT * ((double)service_ms - server->service_ms);
}

bool
jj_slots_note_failure(jj_slot_server_t *server, jj_ms_t now)
{
	jj_ms_t cooldown_ms = COOLDOWN_MAX_MS;

	/*
	 * Failures during a cool-down count as one: they have the same cause.
	 */
	if (now < server->rest_until_ms)
		return false;
	if (server->failures < 4)
		cooldown_ms = (jj_ms_t)COOLDOWN_FIRST_MS << server->failures;
	server->failures++;
	server->rest_until_ms = now + cooldown_ms;
	return true;
}

void
jj_slots_note_remote_failure(jj_slot_server_t *server, jj_ms_t now)
{
	if (server->failures > 0 ||
	    now - server->answered_ms < RECENT_ANSWER_MS)
		return;
	server->failures = 1;
	server->rest_until_ms = now + COOLDOWN_FIRST_MS;
}

void
jj_slots_note_refusal(
    jj_slot_server_t *server, jj_ms_t cooldown_ms, jj_ms_t now)
{
	jj_ms_t until =
	    now + (cooldown_ms > 0 ? cooldown_ms : REFUSAL_COOLDOWN_MS);

	/* It isn't full: nothing runs there but the refused request. */
	if (jj_slot_server_taken(server) <= 1)
		(void)jj_slots_note_failure(server, now);
	if (cooldown_ms > COOLDOWN_MAX_MS)
		until = now + COOLDOWN_MAX_MS;
	if (until > server->rest_until_ms)
		server->rest_until_ms = until;
}

void
jj_slots_note_crowded(jj_slot_server_t *server, jj_ms_t now)
{
	server->crowded_until_ms = now + CROWDED_AVOID_MS;
}

static bool
is_complete(const jj_slot_server_t *server)
{
	return server->info.address[0] != '\0' && server->info.slots > 0;
}

/** Adds a process of which only its entry is known. */
static jj_slot_server_t *
add_server(jj_slots_t *slots, const jj_slot_info_t *info)
{
	jj_slot_server_t *server = jj_alloc(sizeof(*server));

	server->hash = hash_of(info);
	server->used = true;
	TAILQ_INSERT_TAIL(&slots->servers, server, link);
	(void)g_hash_table_replace(slots->by_hash, &server->hash, server);
	set_info(slots, server, info);
	return server;
}

static void
set_info(
    jj_slots_t *slots, jj_slot_server_t *server, const jj_slot_info_t *info)
{
	server->info = *info;
	server->software = software_of(info);
	server->local = jj_name_equal(&info->domain, &slots->settings.domain);
	server->listed = true;
	server->has_old_start = false;
}

/** The previous process gets no new requests; those of this VM there end. */
static jj_slot_server_t *
replace_server(jj_slots_t *slots, jj_slot_server_t *server,
    const jj_slot_info_t *info, jj_ms_t now)
{
	server->replaced = true;
	server->replaced_ms = now;
	server->has_old_start = false;
	unlist(slots, server, now);
	return add_server(slots, info);
}

static void
unlist(jj_slots_t *slots, jj_slot_server_t *server, jj_ms_t until)
{
	slots->has_unlisted = true;
	server->listed = false;
	server->unlisted_ms = until;
	server->relist_until_ms = until;
}

/**
 * Decides between two cases. In an outage of the list entries expire though
 * their servers live: if they counted as gone, all servers would be lost, and a
 * VM whose poll hung during the outage does not know of it. But a server may
 * also leave without notice, and must not get requests for longer than it
 * serves. An outage long enough for one entry to expire affects most of them,
 * so a few missing servers have left. Servers that announced their leaving are
 * not counted as missing.
 */
static void
classify_missing(jj_slots_t *slots, jj_ms_t now)
{
	jj_slot_server_t *server;
	uint32_t missing = 0;
	uint32_t listed = 0;
	bool expired;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		listed += server->listed;
		missing += is_missing(server, now);
	}
	expired = listed == 0 ||
	    (missing > 1 && missing * EXPIRED_PART >= missing + listed);
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!is_missing(server, now))
			continue;
		if (expired)
			server->unlisted_ms = server->relist_until_ms;
		else if (server->unlisted_ms > now)
			server->unlisted_ms = now;
	}
}

static bool
is_missing(const jj_slot_server_t *server, jj_ms_t now)
{
	return !server->listed && !server->info.draining &&
	    now < server->relist_until_ms;
}

/** In messages between VMs the hash identifies a process, not just an id. */
static uint64_t
hash_of(const jj_slot_info_t *info)
{
	uint64_t hash = jj_dispatch_hash_server(&info->id);

	if (info->started_ms == 0)
		return hash;
	return jj_hash_bytes(&info->started_ms, sizeof(info->started_ms), hash);
}

/** What two services run differs, even under the same version. */
static uint64_t
software_of(const jj_slot_info_t *info)
{
	return jj_hash_bytes(info->version.text, strlen(info->version.text),
	    jj_hash_bytes(info->service.text, strlen(info->service.text), 0));
}

static void
forget_server(jj_slots_t *slots, jj_slot_server_t *server, jj_ms_t now)
{
	note_removed_software(slots, server, now);
	remove_server(slots, server);
}

/** Remembers until when a server of this software version was there. */
static void
note_removed_software(
    jj_slots_t *slots, const jj_slot_server_t *server, jj_ms_t now)
{
	jj_removed_software_t *oldest = &slots->removed[0];
	jj_removed_software_t *removed = NULL;
	uint32_t i;

	for (i = 0; i < slots->removed_count && removed == NULL; i++) {
		if (slots->removed[i].software == server->software)
			removed = &slots->removed[i];
		if (slots->removed[i].removed_ms < oldest->removed_ms)
			oldest = &slots->removed[i];
	}
	if (removed == NULL && slots->removed_count < JJ_REMOVED_SOFTWARE_MAX)
		removed = &slots->removed[slots->removed_count++];
	if (removed == NULL)
		removed = oldest;
	removed->service = server->info.service;
	removed->software = server->software;
	removed->removed_ms = now;
}

static void
remove_server(jj_slots_t *slots, jj_slot_server_t *server)
{
	TAILQ_REMOVE(&slots->servers, server, link);
	if (jj_slots_find_hash(slots, server->hash) == server)
		(void)g_hash_table_remove(slots->by_hash, &server->hash);
	jj_slots_clear_neighbours(slots, server);
	free(server);
}
