/**
 * @file fleet.c
 * @brief State of backend servers; own observations take priority over lists.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/fleet.h"

/** Slots of the index by name; a power of two, at most half of them used. */
#define INDEX_SIZE (2 * JJ_SERVERS_MAX)
/** A server counts as missing after this many lists in a row without it, */
#define MISSING_LISTS 3
/** and not before this time, as lists may come in a burst, ms. */
#define MISSING_MS 5000
/**
 * For so long an own observation that a server is up overrides other sources,
 * ms.
 */
#define OBSERVATION_FRESH_MS 3000
/** A server that is missing from the lists is dropped after this time, ms. */
#define FORGET_MS 3600000
/** A leaving server that still answers is used again after this time, ms. */
#define LEAVING_RETRY_MS 60000
/** First and longest interval between probes of a server that is down, ms. */
#define DOWN_BACKOFF_FIRST_MS 500
#define DOWN_BACKOFF_MAX_MS 30000

/** Private state of a server. */
typedef struct {
	jj_server_t *server; /**< in the fleet's array, at the same index */
	bool from_settings; /**< from the settings: never dropped */
	bool listed; /**< was on a list since it was last taken as missing */
	uint32_t missed_lists; /**< lists in a row without it */
	jj_ms_t missing_since_ms; /**< time of the first of them */
	/** last own observation that it is up, JJ_MS_NEVER: none */
	jj_ms_t last_up_ms;
	/** last notice that it is leaving, JJ_MS_NEVER: none */
	jj_ms_t last_leaving_ms;
	jj_ms_t down_backoff_ms;
	bool seen_down; /**< observed as down by this VM itself */
	bool on_list; /**< used only while a list is read */
} entry_t;

struct jj_fleet {
	jj_name_t own_domain;
	uint64_t version; /**< counts changes of where work may be sent */
	size_t count;
	jj_server_t *servers;
	entry_t *entries;
	uint16_t index[INDEX_SIZE]; /**< entry number + 1, 0: free */
};

/** One entry of the platform's list. */
typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_name_t service;
	const char *address;
	bool is_server;
	bool leaving;
} listed_t;

static entry_t *find_entry(const jj_fleet_t *, const jj_name_t *);
static entry_t *add_entry(jj_fleet_t *, const jj_name_t *);
static void index_entry(jj_fleet_t *, size_t);
static void rebuild_index(jj_fleet_t *);
static bool read_line(const json_t *, listed_t *);
static bool check_lines(const json_t *);
static void take_line(jj_fleet_t *, const listed_t *, jj_actions_t *);
static bool is_plausible(const jj_fleet_t *);
static void count_missing(jj_fleet_t *, jj_ms_t, jj_actions_t *);
static void forget_missing(jj_fleet_t *, jj_ms_t);
static void move_entry(jj_fleet_t *, size_t, size_t);
static void set_up(entry_t *);
static void set_down(entry_t *, jj_ms_t);
static void set_leaving(entry_t *, jj_ms_t);
static bool note_up(entry_t *, uint64_t, jj_ms_t);
static bool is_up_observation_fresh(const entry_t *, jj_ms_t);
static const char *state_name(jj_server_state_t);

jj_fleet_t *
jj_fleet_create(const jj_name_t *own_domain)
{
	jj_fleet_t *fleet = jj_alloc(sizeof(*fleet));

	fleet->own_domain = *own_domain;
	fleet->servers = jj_alloc(JJ_SERVERS_MAX * sizeof(*fleet->servers));
	fleet->entries = jj_alloc(JJ_SERVERS_MAX * sizeof(*fleet->entries));
	return fleet;
}

void
jj_fleet_destroy(jj_fleet_t *fleet)
{
	if (fleet == NULL)
		return;
	free(fleet->servers);
	free(fleet->entries);
	free(fleet);
}

void
jj_fleet_add_server(jj_fleet_t *fleet, const jj_server_t *server)
{
	entry_t *entry = find_entry(fleet, &server->name);

	if (entry == NULL)
		entry = add_entry(fleet, &server->name);
	if (entry == NULL)
		return;
	*entry->server = *server;
	entry->from_settings = true;
	fleet->version++;
}

bool
jj_fleet_take_list(jj_fleet_t *fleet, const jj_bytes_t *json, jj_ms_t now,
    void (*on_vm)(void *ctx, const jj_name_t *name, const jj_name_t *domain,
	const char *address),
    void *ctx, jj_actions_t *out)
{
	json_t *list =
	    json_loadb(json->data, json->size, JSON_REJECT_DUPLICATES, NULL);
	const json_t *lines = json_object_get(list, "vms");
	bool valid = check_lines(lines);
	listed_t line;
	size_t i;

	if (!valid)
		goto out;
	for (i = 0; i < fleet->count; i++)
		fleet->entries[i].on_list = false;
	for (i = 0; i < json_array_size(lines); i++) {
		if (!read_line(json_array_get(lines, i), &line))
			continue;
		if (line.is_server)
			take_line(fleet, &line, out);
		else if (on_vm != NULL && !line.leaving)
			on_vm(ctx, &line.name, &line.domain, line.address);
	}
	/*
	 * The list service may be out of order and return an empty or partial
	 * list, as if most servers had failed at once while they still answer.
	 * Such a list is ignored.
	 */
	if (is_plausible(fleet)) {
		count_missing(fleet, now, out);
		forget_missing(fleet, now);
	}
out:
	json_decref(list);
	return valid;
}

void
jj_fleet_note_state(jj_fleet_t *fleet, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, jj_ms_t now, jj_actions_t *out,
    bool *is_changed)
{
	entry_t *entry = find_entry(fleet, server);
	jj_server_state_t before;
	bool restarted = false;

	*is_changed = false;
	if (entry == NULL)
		return;
	before = entry->server->state;
	switch (state) {
	case JJ_SERVER_UP:
		restarted = note_up(entry, boot, now);
		break;
	case JJ_SERVER_LEAVING:
		set_leaving(entry, now);
		if (boot != 0)
			entry->server->boot = boot;
		break;
	case JJ_SERVER_DOWN:
		set_down(entry, now);
		entry->last_up_ms = JJ_MS_NEVER;
		entry->seen_down = true;
		break;
	}
	*is_changed = entry->server->state != before || restarted;
	fleet->version += entry->server->state != before;
	if (*is_changed)
		jj_actions_add_event(out, "server_state",
		    "server=%s state=%s boot=%016llx", server->text,
		    state_name(entry->server->state),
		    (unsigned long long)entry->server->boot);
}

void
jj_fleet_take_notice(
    jj_fleet_t *fleet, const jj_server_notice_t *notice, jj_ms_t now)
{
	entry_t *entry = find_entry(fleet, &notice->server);
	jj_server_state_t before;
	bool other_boot;

	if (entry == NULL)
		return;
	other_boot = notice->boot != 0 && entry->server->boot != 0 &&
	    notice->boot != entry->server->boot;
	/*
	 * A late notice about an earlier process would take the restarted
	 * server out of service; a fresh own observation takes priority.
	 */
	if (other_boot && is_up_observation_fresh(entry, now))
		return;
	before = entry->server->state;
	switch (notice->state) {
	case JJ_SERVER_LEAVING:
		set_leaving(entry, now);
		break;
	case JJ_SERVER_DOWN:
		/*
		 * A neighbour that is cut off from the server takes it as down.
		 */
		if (is_up_observation_fresh(entry, now) ||
		    entry->server->state == JJ_SERVER_LEAVING)
			return;
		set_down(entry, now);
		break;
	case JJ_SERVER_UP:
		if (entry->server->state == JJ_SERVER_LEAVING && !other_boot)
			return;
		if (entry->server->state == JJ_SERVER_DOWN && entry->seen_down)
			entry->server->down_until_ms = now;
		else
			set_up(entry);
		break;
	}
	fleet->version += entry->server->state != before;
	if (notice->boot != 0)
		entry->server->boot = notice->boot;
}

bool
jj_fleet_takes_work(
    const jj_fleet_t *fleet, const jj_name_t *server, jj_ms_t now)
{
	const entry_t *entry = find_entry(fleet, server);

	(void)now;
	if (entry == NULL || entry->server->listed_leaving)
		return false;
	return entry->server->state == JJ_SERVER_UP;
}

const jj_server_t *
jj_fleet_find(const jj_fleet_t *fleet, const jj_name_t *server)
{
	const entry_t *entry = find_entry(fleet, server);

	return entry != NULL ? entry->server : NULL;
}

const jj_server_t *
jj_fleet_list(const jj_fleet_t *fleet, size_t *count)
{
	*count = fleet->count;
	return fleet->servers;
}

uint64_t
jj_fleet_version(const jj_fleet_t *fleet)
{
	return fleet->version;
}

static entry_t *
find_entry(const jj_fleet_t *fleet, const jj_name_t *name)
{
	size_t at = jj_hash_bytes(name->text, strlen(name->text), 0);

	for (;; at++) {
		uint16_t number = fleet->index[at % INDEX_SIZE];

		if (number == 0)
			return NULL;
		if (jj_name_equal(&fleet->servers[number - 1].name, name))
			return &fleet->entries[number - 1];
	}
}

static entry_t *
add_entry(jj_fleet_t *fleet, const jj_name_t *name)
{
	entry_t *entry;

	if (fleet->count == JJ_SERVERS_MAX)
		return NULL;
	entry = &fleet->entries[fleet->count];
	memset(entry, 0, sizeof(*entry));
	entry->server = &fleet->servers[fleet->count];
	memset(entry->server, 0, sizeof(*entry->server));
	entry->server->name = *name;
	entry->last_up_ms = JJ_MS_NEVER;
	entry->last_leaving_ms = JJ_MS_NEVER;
	index_entry(fleet, fleet->count);
	fleet->count++;
	fleet->version++;
	return entry;
}

static void
index_entry(jj_fleet_t *fleet, size_t number)
{
	const char *name = fleet->servers[number].name.text;
	size_t at = jj_hash_bytes(name, strlen(name), 0);

	while (fleet->index[at % INDEX_SIZE] != 0)
		at++;
	fleet->index[at % INDEX_SIZE] = (uint16_t)(number + 1);
}

static void
rebuild_index(jj_fleet_t *fleet)
{
	size_t i;

	memset(fleet->index, 0, sizeof(fleet->index));
	for (i = 0; i < fleet->count; i++)
		index_entry(fleet, i);
}

static bool
read_line(const json_t *json, listed_t *line)
{
	const char *name = json_string_value(json_object_get(json, "id"));
	const char *kind = json_string_value(json_object_get(json, "kind"));
	const char *domain = json_string_value(json_object_get(json, "domain"));
	const char *service =
	    json_string_value(json_object_get(json, "service"));
	const char *state = json_string_value(json_object_get(json, "state"));

	line->address = json_string_value(json_object_get(json, "address"));
	if (name == NULL || kind == NULL || domain == NULL || state == NULL)
		return false;
	if (line->address == NULL || strlen(line->address) > JJ_NAME_MAX)
		return false;
	line->is_server = strcmp(kind, "server") == 0;
	line->leaving = strcmp(state, "leaving") == 0;
	return jj_name_set(&line->name, name) &&
	    jj_name_set(&line->domain, domain) &&
	    jj_name_set(&line->service, service != NULL ? service : "");
}

static bool
check_lines(const json_t *lines)
{
	listed_t line;
	size_t i;

	if (!json_is_array(lines))
		return false;
	for (i = 0; i < json_array_size(lines); i++)
		if (!read_line(json_array_get(lines, i), &line))
			return false;
	return true;
}

static void
take_line(jj_fleet_t *fleet, const listed_t *line, jj_actions_t *out)
{
	entry_t *entry = find_entry(fleet, &line->name);
	bool was_leaving;

	if (entry == NULL) {
		entry = add_entry(fleet, &line->name);
		if (entry == NULL)
			return;
		jj_actions_add_event(out, "server_listed",
		    "server=%s domain=%s", line->name.text, line->domain.text);
	}
	was_leaving = entry->server->listed_leaving;
	fleet->version += was_leaving != line->leaving ||
	    !jj_name_equal(&entry->server->domain, &line->domain) ||
	    !jj_name_equal(&entry->server->service, &line->service);
	entry->server->domain = line->domain;
	entry->server->service = line->service;
	(void)snprintf(entry->server->address, sizeof(entry->server->address),
	    "%s", line->address);
	entry->server->listed_leaving = line->leaving;
	entry->listed = true;
	entry->on_list = true;
	entry->missed_lists = 0;
	if (line->leaving && !was_leaving)
		jj_actions_add_event(
		    out, "server_leaving_listed", "server=%s", line->name.text);
}

/* True when the list has at least half of the servers that lists had before. */
static bool
is_plausible(const jj_fleet_t *fleet)
{
	size_t before = 0;
	size_t shown = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		before += fleet->entries[i].listed;
		shown += fleet->entries[i].on_list;
	}
	return shown > 0 && 2 * shown >= before;
}

/*
 * A single list without a server may be stale or incomplete, and a healthy
 * server would get no work. A server counts as missing only after several lists
 * over some time, and never against a fresh own observation.
 */
static void
count_missing(jj_fleet_t *fleet, jj_ms_t now, jj_actions_t *out)
{
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		entry_t *entry = &fleet->entries[i];

		if (entry->on_list || !entry->listed)
			continue;
		if (entry->missed_lists == 0 ||
		    is_up_observation_fresh(entry, now)) {
			entry->missed_lists = 1;
			entry->missing_since_ms = now;
			continue;
		}
		entry->missed_lists++;
		if (entry->missed_lists < MISSING_LISTS ||
		    now - entry->missing_since_ms < MISSING_MS)
			continue;
		entry->listed = false;
		if (entry->server->state == JJ_SERVER_LEAVING)
			continue;
		set_down(entry, now);
		fleet->version++;
		jj_actions_add_event(out, "server_missing", "server=%s",
		    entry->server->name.text);
	}
}

static void
forget_missing(jj_fleet_t *fleet, jj_ms_t now)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const entry_t *entry = &fleet->entries[i];

		if (!entry->listed && !entry->from_settings &&
		    entry->server->state != JJ_SERVER_UP &&
		    now - entry->missing_since_ms >= FORGET_MS)
			continue;
		if (kept != i)
			move_entry(fleet, i, kept);
		kept++;
	}
	if (kept == fleet->count)
		return;
	fleet->count = kept;
	fleet->version++;
	rebuild_index(fleet);
}

static void
move_entry(jj_fleet_t *fleet, size_t from, size_t to)
{
	fleet->servers[to] = fleet->servers[from];
	fleet->entries[to] = fleet->entries[from];
	fleet->entries[to].server = &fleet->servers[to];
}

static void
set_up(entry_t *entry)
{
	entry->server->state = JJ_SERVER_UP;
	entry->server->down_until_ms = 0;
	entry->down_backoff_ms = 0;
	entry->seen_down = false;
	entry->last_leaving_ms = JJ_MS_NEVER;
}

static void
set_down(entry_t *entry, jj_ms_t now)
{
	bool was_down = entry->server->state == JJ_SERVER_DOWN;

	/* Many requests fail when a server fails; they count as one failure. */
	if (was_down && now < entry->server->down_until_ms)
		return;
	entry->down_backoff_ms =
	    was_down ? 2 * entry->down_backoff_ms : DOWN_BACKOFF_FIRST_MS;
	if (entry->down_backoff_ms > DOWN_BACKOFF_MAX_MS)
		entry->down_backoff_ms = DOWN_BACKOFF_MAX_MS;
	entry->server->state = JJ_SERVER_DOWN;
	entry->server->down_until_ms = now + entry->down_backoff_ms;
}

static void
set_leaving(entry_t *entry, jj_ms_t now)
{
	entry->server->state = JJ_SERVER_LEAVING;
	entry->server->down_until_ms = 0;
	entry->last_leaving_ms = now;
	entry->seen_down = false;
}

/*
 * Notes an own observation that the server is up. True when it has restarted.
 */
static bool
note_up(entry_t *entry, uint64_t boot, jj_ms_t now)
{
	bool known = entry->server->boot != 0 && boot != 0;
	bool restarted = known && boot != entry->server->boot;

	entry->last_up_ms = now;
	if (boot != 0)
		entry->server->boot = boot;
	/*
	 * A leaving server still answers its running requests; if that counted
	 * as a return, it would get new work while it drains. Its leaving ends
	 * only when it restarts, or after a long time without a refusal.
	 */
	if (entry->last_leaving_ms != JJ_MS_NEVER && !restarted &&
	    (entry->server->listed_leaving ||
		now - entry->last_leaving_ms < LEAVING_RETRY_MS)) {
		entry->server->state = JJ_SERVER_LEAVING;
		return false;
	}
	set_up(entry);
	return restarted;
}

static bool
is_up_observation_fresh(const entry_t *entry, jj_ms_t now)
{
	return entry->last_up_ms != JJ_MS_NEVER &&
	    now - entry->last_up_ms <= OBSERVATION_FRESH_MS;
}

static const char *
state_name(jj_server_state_t state)
{
	switch (state) {
	case JJ_SERVER_UP:
		return "up";
	case JJ_SERVER_LEAVING:
		return "leaving";
	case JJ_SERVER_DOWN:
		return "down";
	}
	return "unknown";
}
