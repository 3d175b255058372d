/**
 * @file share.c
 * @brief Counts groups of requests and decides which are within their share.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/share/share.h"
#include "core/share/share_level.h"

/** Time constant of the counts of requests, ms. */
#define COUNT_MS 400.0
/** Part of the slots that online requests take when a service is contended. */
#define CONTENDED_PART 0.85
/** A service stays contended for this time after a shortage, ms. */
#define CONTENDED_MS 1000
/** Interval between checks for contention, ms. */
#define CHECK_MS 50
/** A VM divides by itself only after it has counted for so long, ms. */
#define COUNTED_MIN_MS 400
/** A group or service without requests for so long is forgotten, ms. */
#define FORGET_MS 10000
/** Interval between scans for those, ms. */
#define SCAN_MS 2000
/** Slot time of a request before one has ended, ms. */
#define SLOT_DEFAULT_MS 500.0
/** Weight of a new sample in the mean slot time of a group. */
#define SLOT_WEIGHT 0.1
/**
 * What a request of a group that asks for less than its share adds to the
 * group's credit, so that a short burst stays within the share.
 */
#define UNLIMITED_CREDIT 0.25
/** Maximum credit, requests. */
#define CREDIT_MAX 4.0
/** The retry delay grows with the excess of a group up to this factor. */
#define RETRY_EXCESS_MAX 3.0

/** Requests of one group for one service. */
typedef struct {
	uint64_t group;
	double weight;
	double arrived; /**< requests, decayed with COUNT_MS */
	double sent; /**< the same of those sent to servers */
	double slot_ms; /**< mean slot time; 0: not known */
	double credit; /**< what its share allows and it has not used, 0 to 1 */
	jj_ms_t counted_ms; /**< when the counts were decayed last */
	jj_ms_t seen_ms; /**< last request */
} group_t;

typedef struct {
	jj_name_t name;
	GHashTable *groups; /**< group_t by group */
	double slot_ms; /**< mean over all groups; 0: not known */
	jj_ms_t since_ms; /**< first request */
	jj_ms_t seen_ms; /**< last request */
	jj_ms_t contended_until_ms;
	jj_ms_t report_ms; /**< no report before */
	double own_level; /**< when this VM divides by itself, slots */
	jj_share_level_t level; /**< last answer of the home */
	jj_ms_t level_ms; /**< when it came */
	jj_ms_t level_until_ms; /**< it is valid until then */
} service_t;

struct jj_shares {
	GHashTable *services; /**< service_t by name */
	size_t group_count; /**< of all services */
	uint64_t random;
	jj_ms_t next_check_ms;
	jj_ms_t next_scan_ms;
};

static service_t *find_service(jj_shares_t *, const jj_name_t *, jj_ms_t);
static group_t *
find_group(jj_shares_t *, service_t *, const jj_share_key_t *, jj_ms_t);
static void free_service(void *);
static void decay(group_t *, jj_ms_t);
static double counted_s(const service_t *, jj_ms_t);
static double slots_asked(const service_t *, group_t *, jj_ms_t);
static double
admitted_part(const service_t *, group_t *, jj_ms_t, jj_share_decision_t *);
static jj_ms_t
retry_delay(jj_shares_t *, const service_t *, const group_t *, double);
static double next_random(jj_shares_t *);
static bool has_level(const service_t *, jj_ms_t);
static jj_share_claim_t *list_claims(const service_t *, jj_ms_t, size_t *);
static void check_service(service_t *, const jj_share_port_t *, jj_ms_t);
static void send_report(service_t *, const jj_share_port_t *,
    const jj_share_claim_t *, size_t, jj_ms_t);
static void forget(jj_shares_t *, jj_ms_t);
static int compare_infos(const void *, const void *);

jj_shares_t *
jj_shares_create(uint64_t seed)
{
	jj_shares_t *shares = jj_alloc(sizeof(*shares));

	shares->random = seed;
	shares->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
	return shares;
}

void
jj_shares_destroy(jj_shares_t *shares)
{
	if (shares == NULL)
		return;
	g_hash_table_destroy(shares->services);
	free(shares);
}

jj_share_decision_t
jj_shares_arrive(jj_shares_t *shares, const jj_share_key_t *key, jj_ms_t now)
{
	service_t *service = find_service(shares, key->service, now);
	group_t *group = find_group(shares, service, key, now);
	jj_share_decision_t decision = {
	    true, false, 0, "none", 0, 0, JJ_MS_NEVER};
	double part;

	decay(group, now);
	group->arrived++;
	group->seen_ms = now;
	service->seen_ms = now;
	part = admitted_part(service, group, now, &decision);
	if (part >= 1) {
		group->credit =
		    fmin(group->credit + UNLIMITED_CREDIT, CREDIT_MAX);
		return decision;
	}
	decision.limited = true;
	group->credit += part;
	decision.within = group->credit >= 1;
	if (decision.within)
		group->credit--;
	decision.retry_after_ms = retry_delay(shares, service, group, part);
	return decision;
}

void
jj_shares_note_sent(jj_shares_t *shares, const jj_share_key_t *key, jj_ms_t now)
{
	service_t *service = find_service(shares, key->service, now);
	group_t *group = find_group(shares, service, key, now);

	decay(group, now);
	group->sent++;
}

void
jj_shares_note_end(jj_shares_t *shares, const jj_share_key_t *key,
    jj_ms_t slot_ms, jj_ms_t now)
{
	service_t *service = find_service(shares, key->service, now);
	group_t *group = find_group(shares, service, key, now);
	double *const means[] = {&service->slot_ms, &group->slot_ms};
	size_t i;

	for (i = 0; i < 2; i++) {
		if (*means[i] == 0)
			*means[i] = (double)slot_ms;
		*means[i] += SLOT_WEIGHT * ((double)slot_ms - *means[i]);
	}
}

void
jj_shares_note_shortage(
    jj_shares_t *shares, const jj_name_t *service, jj_ms_t now)
{
	find_service(shares, service, now)->contended_until_ms =
	    now + CONTENDED_MS;
}

void
jj_shares_take_level(
    jj_shares_t *shares, const jj_share_level_t *level, jj_ms_t now)
{
	service_t *service = find_service(shares, &level->service, now);

	service->level = *level;
	service->level_ms = now;
	service->level_until_ms = now + level->valid_ms;
}

void
jj_shares_tick(jj_shares_t *shares, const jj_share_port_t *port, jj_ms_t now)
{
	GHashTableIter at;
	gpointer value;

	if (now < shares->next_check_ms)
		return;
	shares->next_check_ms = now + CHECK_MS;
	if (now >= shares->next_scan_ms) {
		shares->next_scan_ms = now + SCAN_MS;
		forget(shares, now);
	}
	g_hash_table_iter_init(&at, shares->services);
	while (g_hash_table_iter_next(&at, NULL, &value))
		check_service(value, port, now);
}

bool
jj_shares_is_contended(const jj_shares_t *shares, jj_ms_t now)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, shares->services);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		const service_t *service = value;

		if (now < service->contended_until_ms ||
		    has_level(service, now))
			return true;
	}
	return false;
}

size_t
jj_shares_list(const jj_shares_t *shares, jj_share_info_t *infos,
    size_t max_count, jj_ms_t now)
{
	GHashTable *places = g_hash_table_new(g_int64_hash, g_int64_equal);
	jj_share_info_t *all =
	    jj_alloc((shares->group_count + 1) * sizeof(*all));
	GHashTableIter services;
	GHashTableIter groups;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&services, shares->services);
	while (g_hash_table_iter_next(&services, NULL, &value)) {
		const service_t *service = value;
		double seconds = counted_s(service, now);

		g_hash_table_iter_init(&groups, service->groups);
		while (g_hash_table_iter_next(&groups, NULL, &value)) {
			jj_share_decision_t unused;
			group_t *group = value;
			jj_share_info_t *info =
			    g_hash_table_lookup(places, &group->group);

			if (info == NULL) {
				info = &all[count++];
				info->group = group->group;
				(void)g_hash_table_insert(
				    places, &info->group, info);
			}
			decay(group, now);
			info->demand += group->arrived / seconds;
			info->served += group->sent / seconds;
			info->share += group->arrived / seconds *
			    admitted_part(service, group, now, &unused);
		}
	}
	g_hash_table_destroy(places);
	qsort(all, count, sizeof(*all), compare_infos);
	if (max_count > 0)
		memcpy(infos, all,
		    (count < max_count ? count : max_count) * sizeof(*all));
	free(all);
	return count;
}

static service_t *
find_service(jj_shares_t *shares, const jj_name_t *name, jj_ms_t now)
{
	service_t *service = g_hash_table_lookup(shares->services, name->text);

	if (service != NULL)
		return service;
	service = jj_alloc(sizeof(*service));
	service->name = *name;
	service->groups =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	service->since_ms = now;
	service->seen_ms = now;
	service->own_level = INFINITY;
	(void)g_hash_table_insert(
	    shares->services, service->name.text, service);
	return service;
}

/** Groups beyond JJ_SHARE_GROUPS_MAX are counted as group 0. */
static group_t *
find_group(jj_shares_t *shares, service_t *service, const jj_share_key_t *key,
    jj_ms_t now)
{
	uint64_t hash = key->group;
	group_t *group = g_hash_table_lookup(service->groups, &hash);

	if (group == NULL && shares->group_count >= JJ_SHARE_GROUPS_MAX) {
		hash = 0;
		group = g_hash_table_lookup(service->groups, &hash);
	}
	if (group == NULL) {
		group = jj_alloc(sizeof(*group));
		group->group = hash;
		group->counted_ms = now;
		group->seen_ms = now;
		group->credit = next_random(shares);
		(void)g_hash_table_insert(
		    service->groups, &group->group, group);
		shares->group_count++;
	}
	group->weight = key->weight;
	return group;
}

static void
free_service(void *memory)
{
	service_t *service = memory;

	g_hash_table_destroy(service->groups);
	free(service);
}

static void
decay(group_t *group, jj_ms_t now)
{
	double factor;

	if (now <= group->counted_ms)
		return;
	factor = exp(-(double)(now - group->counted_ms) / COUNT_MS);
	group->arrived *= factor;
	group->sent *= factor;
	group->counted_ms = now;
}

/** Time that a decayed count stands for, s. */
static double
counted_s(const service_t *service, jj_ms_t now)
{
	double whole = (double)(now - service->since_ms) / COUNT_MS;

	return COUNT_MS / 1000 * (1 - exp(-(whole > 0.25 ? whole : 0.25)));
}

/** Slots that a group asks for at this VM. */
static double
slots_asked(const service_t *service, group_t *group, jj_ms_t now)
{
	double slot_ms = group->slot_ms > 0 ? group->slot_ms
	    : service->slot_ms > 0	    ? service->slot_ms
					    : SLOT_DEFAULT_MS;

	decay(group, now);
	return group->arrived / counted_s(service, now) * slot_ms / 1000;
}

/** Part of a group's requests that is within its share, 0 to 1. */
static double
admitted_part(const service_t *service, group_t *group, jj_ms_t now,
    jj_share_decision_t *decision)
{
	jj_share_claim_t claim;
	double part = service->level.rest_admit / (double)JJ_SHARE_UNIT;
	uint32_t i;

	if (has_level(service, now)) {
		decision->basis = "home";
		decision->age_ms = now - service->level_ms;
		for (i = 0; i < service->level.count; i++) {
			if (service->level.groups[i].group != group->group)
				continue;
			part = service->level.groups[i].admit /
			    (double)JJ_SHARE_UNIT;
			decision->demand = service->level.groups[i].demand /
			    (double)JJ_SHARE_SLOT_UNIT;
			decision->share = part * decision->demand;
			break;
		}
		return part;
	}
	if (now >= service->contended_until_ms ||
	    now - service->since_ms < COUNTED_MIN_MS)
		return 1;
	claim = (jj_share_claim_t){
	    group->group, slots_asked(service, group, now), group->weight};
	part = jj_share_admitted(&claim, service->own_level);
	decision->basis = "own";
	decision->age_ms = 0;
	decision->demand = claim.demand;
	decision->share = part * claim.demand;
	return part;
}

/**
 * The more a group asks for beyond its share, the later it has room. Delays are
 * spread between once and twice that time.
 */
static jj_ms_t
retry_delay(jj_shares_t *shares, const service_t *service, const group_t *group,
    double part)
{
	double excess =
	    part * RETRY_EXCESS_MAX > 1 ? 1 / part : RETRY_EXCESS_MAX;
	double slot_ms = group->slot_ms > 0 ? group->slot_ms
	    : service->slot_ms > 0	    ? service->slot_ms
					    : SLOT_DEFAULT_MS;

	return (jj_ms_t)(slot_ms * excess * (1 + next_random(shares)));
}

/** A pseudo-random number, 0 to 1. */
static double
next_random(jj_shares_t *shares)
{
	shares->random = jj_hash_bytes(
	    &shares->random, sizeof(shares->random), shares->random);
	return (double)(shares->random % JJ_SHARE_UNIT) / JJ_SHARE_UNIT;
}

static bool
has_level(const service_t *service, jj_ms_t now)
{
	return now < service->level_until_ms;
}

/** The demand of each group; to be freed. */
static jj_share_claim_t *
list_claims(const service_t *service, jj_ms_t now, size_t *count)
{
	jj_share_claim_t *claims = jj_alloc(
	    (g_hash_table_size(service->groups) + 1) * sizeof(*claims));
	GHashTableIter at;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&at, service->groups);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		group_t *group = value;

		if (now - group->seen_ms > (jj_ms_t)(4 * COUNT_MS))
			continue;
		claims[(*count)++] = (jj_share_claim_t){group->group,
		    slots_asked(service, group, now), group->weight};
	}
	return claims;
}

static void
check_service(service_t *service, const jj_share_port_t *port, jj_ms_t now)
{
	jj_share_claim_t *claims;
	double own_slots;
	double taken;
	size_t count;

	port->slots_of(port->ctx, &service->name, &taken, &own_slots);
	if (taken >= CONTENDED_PART)
		service->contended_until_ms = now + CONTENDED_MS;
	if (now >= service->contended_until_ms && !has_level(service, now))
		return;
	claims = list_claims(service, now, &count);
	service->own_level = jj_share_divide(claims, count, own_slots);
	if (now >= service->report_ms) {
		service->report_ms = now + port->interval_ms;
		send_report(service, port, claims, count, now);
	}
	free(claims);
}

static void
send_report(service_t *service, const jj_share_port_t *port,
    const jj_share_claim_t *claims, size_t count, jj_ms_t now)
{
	jj_share_demand_t report = {0};
	double rest = 0;
	size_t i;

	report.service = service->name;
	report.contended = now < service->contended_until_ms;
	for (i = 0; i < count; i++) {
		if (report.count == JJ_MESSAGE_SHARES_MAX ||
		    claims[i].group == 0) {
			report.rest_groups++;
			rest += claims[i].demand * JJ_SHARE_SLOT_UNIT;
			continue;
		}
		report.groups[report.count++] =
		    (jj_share_group_t){claims[i].group,
			(uint32_t)(claims[i].demand * JJ_SHARE_SLOT_UNIT)};
	}
	report.rest_demand = (uint32_t)rest;
	port->report(port->ctx, &report);
}

static void
forget(jj_shares_t *shares, jj_ms_t now)
{
	GHashTableIter services;
	GHashTableIter groups;
	gpointer value;

	g_hash_table_iter_init(&services, shares->services);
	while (g_hash_table_iter_next(&services, NULL, &value)) {
		service_t *service = value;

		g_hash_table_iter_init(&groups, service->groups);
		while (g_hash_table_iter_next(&groups, NULL, &value)) {
			if (now - ((group_t *)value)->seen_ms < FORGET_MS)
				continue;
			g_hash_table_iter_remove(&groups);
			shares->group_count--;
		}
		if (g_hash_table_size(service->groups) == 0 &&
		    now - service->seen_ms >= FORGET_MS &&
		    !has_level(service, now))
			g_hash_table_iter_remove(&services);
	}
}

/** Orders by demand, highest first. */
static int
compare_infos(const void *left, const void *right)
{
	const jj_share_info_t *a = left;
	const jj_share_info_t *b = right;

	return (b->demand > a->demand) - (b->demand < a->demand);
}
