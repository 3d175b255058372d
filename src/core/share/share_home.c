/**
 * @file share_home.c
 * @brief Adds up the demand of all VMs and divides a service's slots.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/share/share_home.h"
#include "core/share/share_level.h"

/** A report or an answer is valid for so many intervals ... */
#define VALID_INTERVALS 3
/** ... and this time, ms. */
#define VALID_MS 300
/** Maximum services; reports about further ones are ignored. */
#define SERVICES_MAX 64

typedef struct {
	jj_name_t vm;
	jj_ms_t taken_ms;
	jj_share_demand_t demand;
} report_t;

typedef struct {
	jj_name_t name;
	GHashTable *reports; /**< report_t by VM */
	jj_ms_t next_ms; /**< next answer */
} service_t;

struct jj_share_home {
	GHashTable *services; /**< service_t by name */
};

static void free_service(void *);
static bool forget_reports(service_t *, jj_ms_t, jj_ms_t);
static bool is_contended(const service_t *);
static void
divide(const service_t *, const jj_share_home_port_t *, jj_share_level_t *);
static jj_share_claim_t *sum_claims(const service_t *,
    const jj_share_home_port_t *, jj_share_claim_t *, size_t *);
static jj_ms_t valid_ms(const jj_share_home_port_t *);

jj_share_home_t *
jj_share_home_create(void)
{
	jj_share_home_t *home = jj_alloc(sizeof(*home));

	home->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
	return home;
}

void
jj_share_home_destroy(jj_share_home_t *home)
{
	if (home == NULL)
		return;
	g_hash_table_destroy(home->services);
	free(home);
}

void
jj_share_home_take(jj_share_home_t *home, const jj_name_t *vm,
    const jj_share_demand_t *demand, const jj_share_home_port_t *port,
    jj_ms_t now)
{
	service_t *service =
	    g_hash_table_lookup(home->services, demand->service.text);
	report_t *report;

	if (service == NULL &&
	    g_hash_table_size(home->services) >= SERVICES_MAX)
		return;
	if (service == NULL) {
		service = jj_alloc(sizeof(*service));
		service->name = demand->service;
		service->reports =
		    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
		service->next_ms = now + port->interval_ms;
		(void)g_hash_table_insert(
		    home->services, service->name.text, service);
	}
	report = g_hash_table_lookup(service->reports, vm->text);
	if (report == NULL) {
		report = jj_alloc(sizeof(*report));
		report->vm = *vm;
		(void)g_hash_table_insert(
		    service->reports, report->vm.text, report);
	}
	report->demand = *demand;
	report->taken_ms = now;
}

bool
jj_share_home_has_report(
    const jj_share_home_t *home, const jj_name_t *service, const jj_name_t *vm)
{
	const service_t *known =
	    g_hash_table_lookup(home->services, service->text);

	return known != NULL && g_hash_table_contains(known->reports, vm->text);
}

void
jj_share_home_tick(
    jj_share_home_t *home, const jj_share_home_port_t *port, jj_ms_t now)
{
	jj_share_level_t level;
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, home->services);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		service_t *service = value;

		if (now < service->next_ms)
			continue;
		service->next_ms = now + port->interval_ms;
		if (!forget_reports(service, valid_ms(port), now)) {
			g_hash_table_iter_remove(&at);
			continue;
		}
		if (!is_contended(service))
			continue;
		divide(service, port, &level);
		port->announce(port->ctx, &level);
	}
}

static void
free_service(void *memory)
{
	service_t *service = memory;

	g_hash_table_destroy(service->reports);
	free(service);
}

/** False when none is left. */
static bool
forget_reports(service_t *service, jj_ms_t age_ms, jj_ms_t now)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, service->reports);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		if (now - ((report_t *)value)->taken_ms >= age_ms)
			g_hash_table_iter_remove(&at);
	}
	return g_hash_table_size(service->reports) > 0;
}

/** True when some VM has seen a shortage itself. */
static bool
is_contended(const service_t *service)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, service->reports);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		if (((report_t *)value)->demand.contended)
			return true;
	}
	return false;
}

static void
divide(const service_t *service, const jj_share_home_port_t *port,
    jj_share_level_t *level)
{
	double slots = port->slots_of(port->ctx, &service->name);
	jj_share_claim_t rest;
	jj_share_claim_t *claims;
	double height;
	double part;
	size_t count;
	size_t i;

	memset(level, 0, sizeof(*level));
	claims = sum_claims(service, port, &rest, &count);
	height = jj_share_divide(claims, count, slots);
	level->service = service->name;
	level->valid_ms = (uint32_t)valid_ms(port);
	level->rest_admit =
	    (uint32_t)(JJ_SHARE_UNIT * jj_share_admitted(&rest, height));
	for (i = 0; i < count && level->count < JJ_MESSAGE_SHARES_MAX; i++) {
		part = jj_share_admitted(&claims[i], height);
		if (part >= 1)
			break;
		/* Group 0 is the sum of those that no VM has listed. */
		if (claims[i].group == 0)
			continue;
		level->groups[level->count++] = (jj_share_grant_t){
		    claims[i].group, (uint32_t)(JJ_SHARE_UNIT * part),
		    (uint32_t)(JJ_SHARE_SLOT_UNIT * claims[i].demand)};
	}
	free(claims);
}

/**
 * The claims of all groups, to be freed.
 * @param rest the sum of the groups that VMs did not list; also among them.
 */
static jj_share_claim_t *
sum_claims(const service_t *service, const jj_share_home_port_t *port,
    jj_share_claim_t *rest, size_t *count)
{
	GHashTable *places = g_hash_table_new(g_int64_hash, g_int64_equal);
	size_t max_count =
	    g_hash_table_size(service->reports) * JJ_MESSAGE_SHARES_MAX + 1;
	jj_share_claim_t *claims = jj_alloc(max_count * sizeof(*claims));
	GHashTableIter at;
	gpointer value;
	uint32_t i;

	*count = 0;
	*rest = (jj_share_claim_t){0, 0, 0};
	g_hash_table_iter_init(&at, service->reports);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		const jj_share_demand_t *demand = &((report_t *)value)->demand;

		rest->demand += demand->rest_demand;
		if (demand->rest_groups > rest->weight)
			rest->weight = demand->rest_groups;
		for (i = 0; i < demand->count; i++) {
			const jj_share_group_t *group = &demand->groups[i];
			jj_share_claim_t *claim =
			    g_hash_table_lookup(places, &group->group);

			if (claim == NULL) {
				claim = &claims[(*count)++];
				claim->group = group->group;
				claim->weight =
				    port->weight_of(port->ctx, group->group);
				(void)g_hash_table_insert(
				    places, &claim->group, claim);
			}
			claim->demand +=
			    group->demand / (double)JJ_SHARE_SLOT_UNIT;
		}
	}
	g_hash_table_destroy(places);
	rest->demand /= JJ_SHARE_SLOT_UNIT;
	if (rest->weight > 0)
		claims[(*count)++] = *rest;
	return claims;
}

static jj_ms_t
valid_ms(const jj_share_home_port_t *port)
{
	return VALID_INTERVALS * port->interval_ms + VALID_MS;
}
