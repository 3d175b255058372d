/**
 * @file slots.c
 * @brief Which backend server takes the next request, by places taken.
 */
#include <stdlib.h>
#include <string.h>

#include "core/slots.h"

/*
 * What each step away from an empty place costs, in requests that wait
 * before one: to have a batch item of this VM cut (its place is free within a
 * step of the engine), one of a neighbour (a message later), and to leave the
 * failure domain (the way is a few ms, and less is known of the loads there).
 */
#define COST_CUT_OWN 0.2
#define COST_CUT_OTHER 0.4
#define COST_ABROAD 0.9
/* Equal costs differ by up to this. */
#define COST_SPREAD 0.003
/* A server whose last word was a failure: better to have an item cut than to
 * wait for a connection that may not come, worse to wait behind a request. */
#define COST_DOUBTED 0.8
/* A first event this young stands against another VM's failure, ms. */
#define DOUBT_AFTER_MS 300
/* Of a server where the request failed before: only if there is no other. */
#define COST_AVOIDED 1000.0
/* A connection that is not answered yet may be to a server that is dark. */
#define COST_OPEN_CONNECT 0.3
/* How far the mean of the waits for a first event moves with each one. */
#define FIRST_SHARE 0.2
/* A server this many times slower than the fastest counts so much fuller. */
#define SLOWNESS_MOST 20.0
/* First and longest rest after a failure, ms. */
#define REST_MS 200
#define REST_MOST_MS 3000
/*
 * A first event that takes this many times the fastest server's mean, and this
 * long at least, waits behind requests that nobody has told of. An item then
 * looks elsewhere, and batch leaves the server alone for about as long as an
 * online request holds a place.
 */
#define CROWDED_TIMES 3.0
#define CROWDED_LEAST_MS 100.0
#define CROWDED_REST_MS 500
/* Rest after a refusal that names no time: about one step of its queue, ms. */
#define REFUSAL_REST_MS 50

/*
 * An entry of an earlier start that stands for so long is true, ms: a server
 * writes its entry anew each 1,200 ms, and is taken for gone after three times
 * that without a word.
 */
#define CLAIM_MS 4000

/* So many VMs of other domains choose a server, where there are many. */
#define ABROAD_VMS 2
/* With fewer VMs of other domains all may choose all: they hardly collide. */
#define ABROAD_FREE_VMS 8
/* Of the own domain's servers a request looks at this many times its VM's
 * share, and at no fewer than these. */
#define DRAWN_SHARES 2
#define DRAWN_LEAST 3

TAILQ_HEAD(slot_list, jj_slot_server);

struct jj_slots {
	jj_slots_settings_t settings;
	struct slot_list servers;
	uint64_t turn; /**< spreads equal costs */
	uint32_t near_vms; /**< that choose among the own domain's servers */
	uint32_t far_vms; /**< of other domains */
};

static jj_slot_server_t *choose(jj_slots_t *, const jj_name_t *,
    const jj_name_t *, jj_ms_t, double, bool *);
static double drawn_share(const jj_slots_t *, const jj_name_t *);
static double draw_of(const jj_slots_t *, const jj_slot_server_t *);
static bool is_offered(const jj_slots_t *, const jj_slot_server_t *);
static double cost_of(const jj_slots_t *, const jj_slot_server_t *, double);
static double fastest(const jj_slots_t *, const jj_name_t *, jj_ms_t);
static double slowness(const jj_slot_server_t *, double);
static bool is_candidate(
    const jj_slot_server_t *, const jj_name_t *, const jj_name_t *, jj_ms_t);
static void
set_neighbour(jj_slot_server_t *, const jj_name_t *, uint32_t, uint32_t);
static void sum_neighbours(jj_slot_server_t *);
static jj_slot_server_t *add_server(jj_slots_t *, const jj_slot_info_t *);
static void set_info(jj_slots_t *, jj_slot_server_t *, const jj_slot_info_t *);
static jj_slot_server_t *replace_server(
    jj_slots_t *, jj_slot_server_t *, const jj_slot_info_t *, jj_ms_t);
static void unlist(jj_slot_server_t *, jj_ms_t);
static uint64_t hash_of(const jj_slot_info_t *);
static void remove_server(jj_slots_t *, jj_slot_server_t *);
static bool is_known(const jj_slot_server_t *);
static jj_load_t load_of(const jj_slot_server_t *);

jj_slots_t *
jj_slots_create(const jj_slots_settings_t *settings)
{
	jj_slots_t *slots = jj_alloc(sizeof(*slots));

	slots->settings = *settings;
	slots->turn = settings->seed;
	slots->near_vms = 1;
	TAILQ_INIT(&slots->servers);
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
	free(slots);
}

jj_slots_learned_t
jj_slots_learn(jj_slots_t *slots, const jj_slot_info_t *info, jj_ms_t now)
{
	jj_slot_server_t *server = jj_slots_find(slots, info->id.text);

	if (server == NULL) {
		(void)add_server(slots, info);
		return JJ_SLOTS_NEW;
	}
	if (info->started_ms < server->info.started_ms) {
		if (!server->claimed)
			server->claimed_ms = now;
		server->claimed = true;
		server->claim = *info;
		unlist(server, now);
		return JJ_SLOTS_OLD_START;
	}
	if (info->started_ms > server->info.started_ms) {
		replace_server(slots, server, info, now);
		return JJ_SLOTS_STARTED_AGAIN;
	}
	set_info(slots, server, info);
	return JJ_SLOTS_KNOWN;
}

/**
 * Guards against a server that is lost for good because its clock was set back
 * before it started again. The word of a process that is gone, carried out
 * late, is put right by the next one of the process that lives; one that
 * nobody puts right is true.
 */
jj_slot_server_t *
jj_slots_settle_claim(jj_slots_t *slots, jj_ms_t now)
{
	jj_slot_server_t *server;
	jj_slot_info_t claim;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!server->claimed || now - server->claimed_ms < CLAIM_MS)
			continue;
		claim = server->claim;
		return replace_server(slots, server, &claim, now);
	}
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
		unlist(server, JJ_MS_NEVER);
	}
}

void
jj_slots_end_list(jj_slots_t *slots, jj_ms_t until)
{
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!server->listed && server->unlisted_ms == JJ_MS_NEVER)
			server->unlisted_ms = until;
	}
}

void
jj_slots_drop(jj_slots_t *slots, const char *id, jj_ms_t until)
{
	jj_slot_server_t *server = jj_slots_find(slots, id);

	if (server == NULL)
		return;
	server->claimed = false;
	/* One that is gone already stays so: its time is not begun anew. */
	if (server->listed || until < server->unlisted_ms)
		unlist(server, until);
}

void
jj_slots_tick(jj_slots_t *slots, jj_ms_t now)
{
	jj_slot_server_t *server;
	jj_slot_server_t *next;

	for (server = TAILQ_FIRST(&slots->servers); server != NULL;
	     server = next) {
		next = TAILQ_NEXT(server, link);
		if (!server->listed && now >= server->unlisted_ms &&
		    !server->claimed && server->online + server->batch == 0)
			remove_server(slots, server);
	}
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
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (server->hash == hash)
			return server;
	}
	return NULL;
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

jj_slot_server_t *
jj_slots_choose_online(jj_slots_t *slots, const jj_name_t *service,
    const jj_name_t *avoid, jj_ms_t now, bool *full)
{
	jj_slot_server_t *best;

	slots->turn++;
	best = choose(
	    slots, service, avoid, now, drawn_share(slots, service), full);
	/* Those drawn were full or none: all are looked at. */
	if (best == NULL || jj_slot_server_taken(best) >= best->info.slots)
		best = choose(slots, service, avoid, now, 1, full);
	return best;
}

jj_slot_server_t *
jj_slots_choose_batch(jj_slots_t *slots, const jj_name_t *service,
    const jj_name_t *avoid, jj_ms_t now)
{
	jj_slot_server_t *best = NULL;
	jj_slot_server_t *server;
	double best_free = 0;
	double best_ms = fastest(slots, service, now);

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		uint32_t limit = server->info.slots;
		uint32_t taken = jj_slot_server_taken(server);
		double free_places;

		if (!is_candidate(server, service, avoid, now) ||
		    !is_offered(slots, server) || server->open_connects > 1 ||
		    now < server->crowded_until_ms)
			continue;
		/* Two free places abroad are as good as one at home. */
		if (limit <
		    taken + slots->settings.reserve + (server->local ? 1 : 2))
			continue;
		free_places = (double)(limit - taken);
		if (!server->local)
			free_places /= 2;
		free_places /= slowness(server, best_ms);
		if (free_places <= best_free)
			continue;
		best = server;
		best_free = free_places;
	}
	return best;
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
	return is_known(server) && !server->info.draining &&
	    (server->listed || now < server->unlisted_ms) &&
	    now >= server->rest_until_ms;
}

void
jj_slots_sum(const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now,
    uint32_t *places, uint32_t *taken)
{
	const jj_slot_server_t *server;

	*places = 0;
	*taken = 0;
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!is_candidate(server, service, NULL, now))
			continue;
		*places += server->info.slots;
		*taken += jj_slot_server_taken(server);
	}
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
		server->first_ms +=
		    FIRST_SHARE * ((double)wait_ms + 1 - server->first_ms);
}

bool
jj_slots_note_failure(jj_slot_server_t *server, jj_ms_t now)
{
	jj_ms_t rest = REST_MOST_MS;

	/* Failures of one moment are one: they broke together. */
	if (now < server->rest_until_ms)
		return false;
	if (server->failures < 4)
		rest = (jj_ms_t)REST_MS << server->failures;
	server->failures++;
	server->rest_until_ms = now + rest;
	return true;
}

void
jj_slots_note_doubt(jj_slot_server_t *server, jj_ms_t now)
{
	if (server->failures > 0 || now - server->answered_ms < DOUBT_AFTER_MS)
		return;
	server->failures = 1;
	server->rest_until_ms = now + REST_MS;
}

void
jj_slots_note_refusal(jj_slot_server_t *server, jj_ms_t rest_ms, jj_ms_t now)
{
	jj_ms_t until = now + (rest_ms > 0 ? rest_ms : REFUSAL_REST_MS);

	if (rest_ms > REST_MOST_MS)
		until = now + REST_MOST_MS;
	if (until > server->rest_until_ms)
		server->rest_until_ms = until;
}

jj_ms_t
jj_slots_wait_limit(
    const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now)
{
	double usual = fastest(slots, service, now);
	double limit = CROWDED_TIMES * usual;

	if (usual == 0)
		return JJ_MS_NEVER;
	return (jj_ms_t)(limit > CROWDED_LEAST_MS ? limit : CROWDED_LEAST_MS);
}

void
jj_slots_note_crowded(jj_slot_server_t *server, jj_ms_t now)
{
	server->crowded_until_ms = now + CROWDED_REST_MS;
}

void
jj_slots_take_loads(jj_slots_t *slots, const jj_name_t *from,
    const jj_load_t *loads, uint32_t count, bool whole)
{
	jj_slot_server_t *server;
	uint32_t i;

	if (whole && count < JJ_MESSAGE_LOADS_MAX)
		jj_slots_forget_neighbour(slots, from);
	for (i = 0; i < count; i++) {
		server = jj_slots_find_hash(slots, loads[i].server);
		if (server != NULL)
			set_neighbour(
			    server, from, loads[i].online, loads[i].batch);
	}
}

void
jj_slots_forget_neighbour(jj_slots_t *slots, const jj_name_t *vm)
{
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		set_neighbour(server, vm, 0, 0);
	}
}

uint32_t
jj_slots_take_news(
    jj_slots_t *slots, jj_slots_scope_t scope, jj_load_t *loads, uint32_t most)
{
	jj_slot_server_t *server;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		jj_slot_told_t *told = &server->told[scope];

		if (count == most)
			break;
		if (server->online == told->online &&
		    server->batch == told->batch)
			continue;
		loads[count++] = load_of(server);
		told->online = server->online;
		told->batch = server->batch;
		/* What goes to all goes to those nearby as well. */
		server->told[JJ_SLOTS_NEAR] = *told;
	}
	return count;
}

uint32_t
jj_slots_list_loads(const jj_slots_t *slots, jj_load_t *loads, uint32_t most)
{
	const jj_slot_server_t *server;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (server->online + server->batch > 0 && count < most)
			loads[count++] = load_of(server);
	}
	return count;
}

const jj_name_t *
jj_slots_ask_to_yield(jj_slot_server_t *server)
{
	jj_slot_neighbour_t *most = NULL;
	size_t i;

	for (i = 0; i < server->neighbour_count; i++)
		if (server->neighbours[i].batch > 0 &&
		    (most == NULL || server->neighbours[i].batch > most->batch))
			most = &server->neighbours[i];
	if (most == NULL)
		return NULL;
	most->batch--;
	server->others_batch--;
	return &most->vm;
}

/**
 * The cheapest of the servers that are drawn, each with the probability
 * @p share; with 1 all of them, also those offered to others.
 */
static jj_slot_server_t *
choose(jj_slots_t *slots, const jj_name_t *service, const jj_name_t *avoid,
    jj_ms_t now, double share, bool *full)
{
	double best_ms = fastest(slots, service, now);
	jj_slot_server_t *best = NULL;
	jj_slot_server_t *server;
	double best_cost = 0;

	*full = false;
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		double draw = draw_of(slots, server);
		double cost;

		if (!is_candidate(server, service, NULL, now))
			continue;
		if (share < 1 && (draw >= share || !is_offered(slots, server)))
			continue;
		if (server->online + server->others_online >=
		    server->info.slots + slots->settings.queue_most) {
			*full = true;
			continue;
		}
		cost = cost_of(slots, server, best_ms);
		if (avoid != NULL && jj_name_equal(&server->info.id, avoid))
			cost += COST_AVOIDED;
		if (!is_offered(slots, server))
			cost += COST_ABROAD;
		/* Equal costs are spread, so that VMs differ in their choice. */
		cost += draw * COST_SPREAD;
		if (best != NULL && cost >= best_cost)
			continue;
		best = server;
		best_cost = cost;
	}
	if (best != NULL)
		*full = false;
	return best;
}

/** What part of the servers one request looks at. */
static double
drawn_share(const jj_slots_t *slots, const jj_name_t *service)
{
	const jj_slot_server_t *server;
	double drawn = DRAWN_LEAST;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		count += server->local &&
		    jj_name_equal(&server->info.service, service);
	}
	if (DRAWN_SHARES * (double)count / slots->near_vms > drawn)
		drawn = DRAWN_SHARES * (double)count / slots->near_vms;
	return count > 0 && drawn < count ? drawn / count : 1;
}

/** A number from 0 to 1 for a server, another one for each request. */
static double
draw_of(const jj_slots_t *slots, const jj_slot_server_t *server)
{
	uint64_t hash = jj_hash_bytes(&slots->turn, sizeof(slots->turn),
	    server->hash ^ slots->settings.seed);

	return (double)(hash & 0xffff) / 0x10000;
}

/** False for a server of another domain that other VMs than this one use. */
static bool
is_offered(const jj_slots_t *slots, const jj_slot_server_t *server)
{
	if (server->local || slots->far_vms < ABROAD_FREE_VMS)
		return true;
	return jj_rendezvous_weight(slots->settings.name.text, server->hash) %
	    slots->far_vms <
	    ABROAD_VMS;
}

static double
cost_of(const jj_slots_t *slots, const jj_slot_server_t *server, double best_ms)
{
	uint32_t online = server->online + server->others_online;
	uint32_t taken = jj_slot_server_taken(server);
	uint32_t limit = server->info.slots;
	double cost;

	(void)slots;
	if (taken < limit)
		cost = 0.1 * (double)taken / (double)limit;
	else if (server->batch > 0)
		cost = COST_CUT_OWN;
	else if (server->others_batch > 0)
		cost = COST_CUT_OTHER;
	else
		cost = 1.0 + (double)(online - limit);
	cost += COST_OPEN_CONNECT *
	    (server->open_connects > 1 ? server->open_connects - 1 : 0);
	cost += slowness(server, best_ms) - 1;
	if (server->failures > 0)
		cost += COST_DOUBTED;
	if (!server->local)
		cost += COST_ABROAD;
	return cost;
}

/** The shortest mean wait for a first event among a service's servers. */
static double
fastest(const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now)
{
	const jj_slot_server_t *server;
	double best = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!is_candidate(server, service, NULL, now) ||
		    server->first_ms == 0)
			continue;
		if (best == 0 || server->first_ms < best)
			best = server->first_ms;
	}
	return best;
}

/** How many times slower than the fastest; small differences are noise. */
static double
slowness(const jj_slot_server_t *server, double best_ms)
{
	double times;

	if (server->first_ms == 0 || best_ms == 0)
		return 1;
	times = server->first_ms / best_ms / 2;
	if (times < 1)
		return 1;
	return times < SLOWNESS_MOST ? times : SLOWNESS_MOST;
}

static bool
is_candidate(const jj_slot_server_t *server, const jj_name_t *service,
    const jj_name_t *avoid, jj_ms_t now)
{
	return jj_slot_server_is_up(server, now) &&
	    jj_name_equal(&server->info.service, service) &&
	    (avoid == NULL || !jj_name_equal(&server->info.id, avoid));
}

static bool
is_known(const jj_slot_server_t *server)
{
	return server->info.address[0] != '\0' && server->info.slots > 0;
}

static void
set_neighbour(jj_slot_server_t *server, const jj_name_t *vm, uint32_t online,
    uint32_t batch)
{
	size_t i;

	for (i = 0; i < server->neighbour_count; i++)
		if (jj_name_equal(&server->neighbours[i].vm, vm))
			break;
	if (i == server->neighbour_count) {
		if (online + batch == 0)
			return;
		server->neighbours = jj_realloc(
		    server->neighbours, (i + 1) * sizeof(*server->neighbours));
		server->neighbours[i].vm = *vm;
		server->neighbour_count++;
	}
	server->neighbours[i].online = online;
	server->neighbours[i].batch = batch;
	if (online + batch == 0)
		server->neighbours[i] =
		    server->neighbours[--server->neighbour_count];
	sum_neighbours(server);
}

static void
sum_neighbours(jj_slot_server_t *server)
{
	size_t i;

	server->others_online = 0;
	server->others_batch = 0;
	for (i = 0; i < server->neighbour_count; i++) {
		server->others_online += server->neighbours[i].online;
		server->others_batch += server->neighbours[i].batch;
	}
}

static jj_load_t
load_of(const jj_slot_server_t *server)
{
	jj_load_t load = {server->hash, server->online, server->batch, 0};

	return load;
}

/** A process of which nothing is known but its entry. */
static jj_slot_server_t *
add_server(jj_slots_t *slots, const jj_slot_info_t *info)
{
	jj_slot_server_t *server = jj_alloc(sizeof(*server));

	server->hash = hash_of(info);
	TAILQ_INSERT_TAIL(&slots->servers, server, link);
	set_info(slots, server, info);
	return server;
}

static void
set_info(
    jj_slots_t *slots, jj_slot_server_t *server, const jj_slot_info_t *info)
{
	server->info = *info;
	server->local = jj_name_equal(&info->domain, &slots->settings.domain);
	server->listed = true;
	server->claimed = false;
}

/** The process before takes nothing more; what this VM has there ends. */
static jj_slot_server_t *
replace_server(jj_slots_t *slots, jj_slot_server_t *server,
    const jj_slot_info_t *info, jj_ms_t now)
{
	server->replaced = true;
	server->replaced_ms = now;
	server->claimed = false;
	unlist(server, now);
	return add_server(slots, info);
}

static void
unlist(jj_slot_server_t *server, jj_ms_t until)
{
	server->listed = false;
	server->unlisted_ms = until;
}

/** Other VMs mean a process by it, not whatever has the id. */
static uint64_t
hash_of(const jj_slot_info_t *info)
{
	uint64_t hash = jj_dispatch_hash_server(&info->id);

	if (info->started_ms == 0)
		return hash;
	return jj_hash_bytes(&info->started_ms, sizeof(info->started_ms), hash);
}

static void
remove_server(jj_slots_t *slots, jj_slot_server_t *server)
{
	TAILQ_REMOVE(&slots->servers, server, link);
	free(server->neighbours);
	free(server);
}
