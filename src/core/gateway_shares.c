/**
 * @file gateway_shares.c
 * @brief Fair shares of scarce slots: homes, reports and refusals.
 *
 * The home of a service is chosen among the live VMs of the region by
 * rendezvous hashing, as the home of a team (gateway_teams.c).
 */
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

/** Interval between reports in a small region, ms. */
#define INTERVAL_MS 100
/** The interval grows by INTERVAL_MS for each so many VMs. */
#define VMS_PER_INTERVAL 48
/**
 * Part of the slots that is divided. The rest goes to requests beyond their
 * shares when it is free; with all of it divided, requests within their shares
 * would wait as long as at full load.
 */
#define DIVIDED_PART 0.95
/**
 * Part of a server's slots that requests beyond their shares may take. VMs send
 * to the same slot before they know of each other: with all slots, 0.15 to 0.23
 * of the other groups' requests were not in time, instead of 0.04.
 */
#define FREE_PART 0.75
/**
 * VMs that do not see each other's requests keep this reserve, so that the
 * queues from the time before they noticed become shorter.
 */
#define CUT_OFF_FACTOR 0.85
/** Slots of a VM that is cut off are not divided for so long, ms. */
#define GONE_MS 10000
/** Interval between counts of the live VMs, ms. */
#define COUNT_VMS_MS 200
/** Interval between log lines about refused requests, ms. */
#define LOG_MS 100

static double weight_of(void *, uint64_t);
static bool
has_slots(const jj_gateway_t *, const jj_slot_server_t *, const jj_name_t *);
static void slots_of(void *, const jj_name_t *, double *, double *);
static double home_slots(void *, const jj_name_t *);
static void send_report(void *, const jj_share_demand_t *);
static void announce(void *, const jj_share_level_t *);
static jj_share_home_port_t home_port(jj_gateway_t *);
static jj_ms_t interval_ms(const jj_gateway_t *);
static void count_vms(jj_gateway_t *);
static jj_share_key_t key_of(const jj_gateway_t *, const jj_gateway_entry_t *);

void
jj_gateway_count_share(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_name_t *team, jj_ms_t now)
{
	jj_share_key_t key;

	if (gateway->shares == NULL)
		return;
	entry->share_group = jj_team_hash(
	    jj_name_is_empty(team) ? entry->route.text : team->text);
	key = key_of(gateway, entry);
	entry->share = jj_shares_arrive(gateway->shares, &key, now);
	/* A stream that has begun is taken up at any load. */
	if (entry->resumed)
		entry->share.limited = false;
	entry->over_share = entry->share.limited && !entry->share.within;
}

/**
 * VMs that are cut off use their part of the slots; this one does not see when.
 */
double
jj_gateway_spare_part(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry)
{
	return entry->over_share ? 1 - FREE_PART * gateway->share_reach : 0;
}

void
jj_gateway_note_share_sent(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	jj_share_key_t key;

	if (gateway->shares == NULL || entry->share_group == 0)
		return;
	key = key_of(gateway, entry);
	jj_shares_note_sent(gateway->shares, &key, now);
}

void
jj_gateway_note_share_end(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, jj_ms_t slot_ms, jj_ms_t now)
{
	jj_share_key_t key;

	if (gateway->shares == NULL || entry->share_group == 0)
		return;
	key = key_of(gateway, entry);
	jj_shares_note_end(gateway->shares, &key, slot_ms, now);
}

void
jj_gateway_note_shortage(
    jj_gateway_t *gateway, const jj_name_t *service, jj_ms_t now)
{
	if (gateway->shares != NULL)
		jj_shares_note_shortage(gateway->shares, service, now);
}

void
jj_gateway_log_over_share(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_actions_t *out)
{
	if (gateway->now < gateway->next_share_log_ms) {
		gateway->unlogged_share_refusals++;
		return;
	}
	jj_actions_add_event(out, "over_share",
	    "request=%s team=%s route=%s service=%s basis=%s share=%.2f "
	    "demand=%.2f age_ms=%lld retry_ms=%lld unlogged=%u",
	    entry->id, entry->team.text, entry->route.text, entry->service.text,
	    entry->share.basis, entry->share.share, entry->share.demand,
	    entry->share.age_ms == JJ_MS_NEVER ? -1LL
					       : (long long)entry->share.age_ms,
	    (long long)entry->share.retry_after_ms,
	    gateway->unlogged_share_refusals);
	gateway->next_share_log_ms = gateway->now + LOG_MS;
	gateway->unlogged_share_refusals = 0;
}

void
jj_gateway_tick_shares(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_share_port_t port = {
	    gateway, slots_of, send_report, interval_ms(gateway)};
	jj_share_home_port_t home = home_port(gateway);

	gateway->out = out;
	if (gateway->shares == NULL)
		return;
	if (now >= gateway->next_share_vms_ms) {
		gateway->next_share_vms_ms = now + COUNT_VMS_MS;
		count_vms(gateway);
	}
	jj_shares_tick(gateway->shares, &port, now);
	jj_share_home_tick(gateway->share_home, &home, now);
}

void
jj_gateway_take_share_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	jj_share_home_port_t port = home_port(gateway);

	gateway->out = out;
	if (gateway->shares == NULL)
		return;
	if (message->kind == JJ_MESSAGE_SHARE_DEMAND)
		jj_share_home_take(gateway->share_home, &message->from,
		    &message->body.share_demand, &port, now);
	else
		jj_shares_take_level(
		    gateway->shares, &message->body.share_level, now);
}

const jj_shares_t *
jj_gateway_shares(const jj_gateway_t *gateway)
{
	return gateway->shares;
}

static double
weight_of(void *ctx, uint64_t group)
{
	const jj_gateway_t *gateway = ctx;
	const jj_team_entry_t *team =
	    jj_teams_find_hash(gateway->routes->teams, group);

	return team != NULL && team->weight > 0 ? team->weight : 1;
}

/** True for a server whose slots the service can use now. */
static bool
has_slots(const jj_gateway_t *gateway, const jj_slot_server_t *server,
    const jj_name_t *service)
{
	return jj_slot_server_is_up(server, gateway->now) &&
	    jj_name_equal(&server->info.service, service);
}

static void
slots_of(void *ctx, const jj_name_t *service, double *taken, double *own_slots)
{
	jj_gateway_t *gateway = ctx;
	const jj_slot_server_t *server;
	double total = 0;
	double online = 0;

	for (server = jj_slots_first(gateway->slots); server != NULL;
	     server = TAILQ_NEXT(server, link)) {
		if (!has_slots(gateway, server, service))
			continue;
		total += server->info.slots;
		online += server->online + server->others_online;
	}
	total *= gateway->share_reach;
	*taken = total > 0 ? online / total : 0;
	*own_slots = DIVIDED_PART * total / gateway->share_vms;
}

/**
 * VMs that send no reports, such as older ones, go on using slots; what they
 * use is not divided.
 */
static double
home_slots(void *ctx, const jj_name_t *service)
{
	jj_gateway_t *gateway = ctx;
	const jj_slot_server_t *server;
	double other = 0;
	uint32_t total = 0;
	size_t i;

	for (server = jj_slots_first(gateway->slots); server != NULL;
	     server = TAILQ_NEXT(server, link)) {
		if (!has_slots(gateway, server, service))
			continue;
		total += server->info.slots;
		for (i = 0; i < server->neighbour_count; i++)
			if (!jj_share_home_has_report(gateway->share_home,
				service, &server->neighbours[i].vm->name))
				other += server->neighbours[i].online;
	}
	return DIVIDED_PART * total * gateway->share_reach - other;
}

static void
count_vms(jj_gateway_t *gateway)
{
	jj_member_info_t *infos;
	uint32_t missing = jj_gateway_count_missing_vms(gateway, GONE_MS);

	gateway->share_vms =
	    1 + (uint32_t)jj_gateway_list_others(gateway, &infos);
	free(infos);
	gateway->share_reach =
	    gateway->share_vms / (double)(gateway->share_vms + missing);
	if (missing > 0)
		gateway->share_reach *= CUT_OFF_FACTOR;
}

static void
send_report(void *ctx, const jj_share_demand_t *demand)
{
	jj_gateway_t *gateway = ctx;
	jj_share_home_port_t port = home_port(gateway);
	jj_message_t *message;
	jj_name_t home;

	if (!jj_member_choose(gateway->member, &gateway->settings.member.domain,
		jj_team_hash(demand->service.text), &home))
		home = gateway->settings.name;
	if (jj_name_equal(&home, &gateway->settings.name)) {
		jj_share_home_take(
		    gateway->share_home, &home, demand, &port, gateway->now);
		return;
	}
	message = jj_actions_add_message(
	    gateway->out, &home, JJ_MESSAGE_SHARE_DEMAND);
	message->body.share_demand = *demand;
}

static void
announce(void *ctx, const jj_share_level_t *level)
{
	jj_gateway_t *gateway = ctx;
	jj_message_t message = {.kind = JJ_MESSAGE_SHARE_LEVEL};

	jj_shares_take_level(gateway->shares, level, gateway->now);
	message.body.share_level = *level;
	jj_gateway_send_to_others(gateway, &message, gateway->out);
}

static jj_share_home_port_t
home_port(jj_gateway_t *gateway)
{
	return (jj_share_home_port_t){
	    gateway, weight_of, home_slots, announce, interval_ms(gateway)};
}

/** It grows with the VMs, so that the home's traffic stays about the same. */
static jj_ms_t
interval_ms(const jj_gateway_t *gateway)
{
	return INTERVAL_MS * (1 + gateway->share_vms / VMS_PER_INTERVAL);
}

static jj_share_key_t
key_of(const jj_gateway_t *gateway, const jj_gateway_entry_t *entry)
{
	return (jj_share_key_t){&entry->service, entry->share_group,
	    weight_of((void *)(uintptr_t)gateway, entry->share_group)};
}
