/**
 * @file gateway_teams.c
 * @brief Rate limits of teams over all VMs: homes, reports and grants.
 *
 * The home of a team is chosen among the live VMs of the region by rendezvous
 * hashing, so that each VM finds it by itself and the teams of a VM that fails
 * spread over all others.
 */
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

/** Interval between counts of the live VMs, ms. */
#define LIVE_VMS_MS 200
/** Interval between log lines about teams that are metered here, ms. */
#define USAGE_LOG_MS 5000
/** A home is reachable for so many intervals after its last heartbeat. */
#define HEARTBEATS 2
/** A VM without heartbeats for so long is taken as gone, not as cut off, ms. */
#define GONE_MS 30000
/** Interval between log lines about refused requests, ms. */
#define LOG_MS 100

static void log_refusal(jj_gateway_t *, const jj_team_entry_t *,
    const jj_allowance_decision_t *, jj_ms_t, jj_actions_t *);
static void log_usage(void *, const jj_team_usage_t *);
static void create_home(jj_gateway_t *, jj_ms_t);
static void home_of(void *, uint64_t, jj_name_t *);
static void send_report(void *, const jj_name_t *, const jj_team_use_t *);
static bool limit_of(void *, uint64_t, jj_allowance_limit_t *);
static bool is_reachable(void *, const jj_name_t *);
static bool misses_vms(void *);
static bool comes_on_time(const jj_gateway_t *, const jj_member_info_t *);
static void announce(void *, const jj_team_grant_t *);
static void
add_grant(jj_actions_t *, const jj_name_t *, const jj_team_grant_t *);
static void take_use(jj_gateway_t *, const jj_name_t *, const jj_team_use_t *,
    jj_ms_t, jj_actions_t *);
static jj_message_t *
find_message(jj_actions_t *, const jj_name_t *, jj_message_kind_t);

bool
jj_gateway_admit(jj_gateway_t *gateway, const jj_gateway_request_t *request,
    jj_ms_t now, uint64_t *charged, jj_ms_t *retry_after_ms, jj_actions_t *out)
{
	const jj_team_entry_t *team =
	    jj_teams_find(request->routes->teams, request->team.text);
	jj_allowance_decision_t decision;
	jj_allowance_limit_t limit;
	jj_name_t home;

	*charged = 0;
	*retry_after_ms = 0;
	if (team == NULL || team->rate_per_s <= 0)
		return true;
	limit.rate_per_s = team->rate_per_s;
	limit.burst = team->burst;
	*charged = jj_team_hash(team->name.text);
	home_of(gateway, *charged, &home);
	decision = jj_allowance_admit(gateway->allowance, *charged, &limit,
	    gateway->live_vms, is_reachable(gateway, &home), now);
	*retry_after_ms = decision.retry_after_ms;
	if (!decision.admitted)
		log_refusal(gateway, team, &decision, now, out);
	return decision.admitted;
}

void
jj_gateway_tick_teams(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	gateway->out = out;
	if (gateway->allowance_home == NULL)
		create_home(gateway, now);
	jj_allowance_tick(gateway->allowance, now);
	jj_allowance_home_tick(gateway->allowance_home, now);
	if (now >= gateway->next_usage_log_ms) {
		gateway->next_usage_log_ms = now + USAGE_LOG_MS;
		jj_allowance_home_each(
		    gateway->allowance_home, now, log_usage, gateway);
	}
	if (now < gateway->next_live_vms_ms)
		return;
	gateway->next_live_vms_ms = now + LIVE_VMS_MS;
	gateway->live_vms = (uint32_t)jj_member_list(
	    gateway->member, &gateway->settings.member.domain, NULL, 0);
}

void
jj_gateway_report_teams(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_allowance_port_t port = {gateway, home_of, send_report};

	gateway->out = out;
	jj_allowance_report(gateway->allowance, &port, now);
}

void
jj_gateway_take_team_message(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	uint32_t i;

	if (message->kind == JJ_MESSAGE_TEAM_USE) {
		for (i = 0; i < message->body.team_use.count; i++)
			take_use(gateway, &message->from,
			    &message->body.team_use.uses[i], now, out);
		return;
	}
	for (i = 0; i < message->body.team_grant.count; i++)
		jj_allowance_take_grant(gateway->allowance, &message->from,
		    &message->body.team_grant.grants[i], now);
}

/** Logs at most one refusal in LOG_MS, with the number of those left out. */
static void
log_refusal(jj_gateway_t *gateway, const jj_team_entry_t *team,
    const jj_allowance_decision_t *decision, jj_ms_t now, jj_actions_t *out)
{
	if (now < gateway->next_team_log_ms) {
		gateway->unlogged_refusals++;
		return;
	}
	jj_actions_add_event(out, "team_over_limit",
	    "team=%s rate=%g burst=%g basis=%s used=%u age_ms=%lld "
	    "retry_ms=%lld unlogged=%u",
	    team->name.text, team->rate_per_s, team->burst, decision->basis,
	    decision->known_used,
	    decision->known_age_ms == JJ_MS_NEVER
		? -1LL
		: (long long)decision->known_age_ms,
	    (long long)decision->retry_after_ms, gateway->unlogged_refusals);
	gateway->next_team_log_ms = now + LOG_MS;
	gateway->unlogged_refusals = 0;
}

/** Logs the use of a team over all VMs while it is near its limit. */
static void
log_usage(void *ctx, const jj_team_usage_t *usage)
{
	jj_gateway_t *gateway = ctx;
	const jj_team_entry_t *team =
	    jj_teams_find_hash(gateway->routes->teams, usage->team);

	if (!usage->metered || team == NULL)
		return;
	jj_actions_add_event(gateway->out, "team_metered",
	    "team=%s rate=%g burst=%g used=%u credits=%u vms=%u",
	    team->name.text, team->rate_per_s, team->burst, usage->used,
	    usage->credits, usage->vms);
}

static void
create_home(jj_gateway_t *gateway, jj_ms_t now)
{
	jj_allowance_home_port_t port = {
	    gateway, limit_of, is_reachable, misses_vms, announce};

	gateway->allowance_home = jj_allowance_home_create(&port, now);
}

static void
home_of(void *ctx, uint64_t team, jj_name_t *home)
{
	const jj_gateway_t *gateway = ctx;

	if (!jj_member_choose(
		gateway->member, &gateway->settings.member.domain, team, home))
		*home = gateway->settings.name;
}

static void
send_report(void *ctx, const jj_name_t *home, const jj_team_use_t *use)
{
	jj_gateway_t *gateway = ctx;
	jj_message_t *message;

	if (jj_name_equal(home, &gateway->settings.name)) {
		take_use(gateway, home, use, gateway->now, gateway->out);
		return;
	}
	message = find_message(gateway->out, home, JJ_MESSAGE_TEAM_USE);
	message->body.team_use.uses[message->body.team_use.count++] = *use;
}

static bool
limit_of(void *ctx, uint64_t hash, jj_allowance_limit_t *limit)
{
	const jj_gateway_t *gateway = ctx;
	const jj_team_entry_t *team =
	    jj_teams_find_hash(gateway->routes->teams, hash);

	if (team == NULL || team->rate_per_s <= 0)
		return false;
	limit->rate_per_s = team->rate_per_s;
	limit->burst = team->burst;
	return true;
}

/** True when the VM's heartbeats come on time. */
static bool
is_reachable(void *ctx, const jj_name_t *vm)
{
	const jj_gateway_t *gateway = ctx;
	const jj_member_info_t *info = jj_member_find(gateway->member, vm);

	return jj_name_equal(vm, &gateway->settings.name) ||
	    (info != NULL && comes_on_time(gateway, info));
}

static bool
misses_vms(void *ctx)
{
	return jj_gateway_count_missing_vms(ctx, GONE_MS) > 0;
}

uint32_t
jj_gateway_count_missing_vms(const jj_gateway_t *gateway, jj_ms_t gone_ms)
{
	const jj_member_info_t *info;
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < gateway->vm_count; i++) {
		info = jj_member_find(gateway->member, &gateway->vms[i].name);
		count += info != NULL && info->state != JJ_VM_LEAVING &&
		    info->heard_ms != JJ_MS_NEVER &&
		    gateway->now - info->heard_ms < gone_ms &&
		    !comes_on_time(gateway, info);
	}
	return count;
}

static bool
comes_on_time(const jj_gateway_t *gateway, const jj_member_info_t *info)
{
	return info->live && info->heard_ms != JJ_MS_NEVER &&
	    gateway->now - info->heard_ms <
	    HEARTBEATS * jj_member_interval(gateway->member);
}

static void
announce(void *ctx, const jj_team_grant_t *notice)
{
	jj_gateway_t *gateway = ctx;
	jj_member_info_t *infos;
	size_t count = jj_gateway_list_others(gateway, &infos);
	size_t i;

	jj_allowance_take_grant(
	    gateway->allowance, &gateway->settings.name, notice, gateway->now);
	for (i = 0; i < count; i++)
		add_grant(gateway->out, &infos[i].name, notice);
	free(infos);
}

static void
add_grant(jj_actions_t *out, const jj_name_t *vm, const jj_team_grant_t *grant)
{
	jj_message_t *message = find_message(out, vm, JJ_MESSAGE_TEAM_GRANT);

	message->body.team_grant.grants[message->body.team_grant.count++] =
	    *grant;
}

static void
take_use(jj_gateway_t *gateway, const jj_name_t *from, const jj_team_use_t *use,
    jj_ms_t now, jj_actions_t *out)
{
	jj_team_grant_t grant;

	if (gateway->allowance_home == NULL ||
	    !jj_allowance_home_take(
		gateway->allowance_home, from, use, now, &grant))
		return;
	if (jj_name_equal(from, &gateway->settings.name))
		jj_allowance_take_grant(gateway->allowance, from, &grant, now);
	else
		add_grant(out, from, &grant);
}

/** The last message of that kind to that VM, if it has room, or a new one. */
static jj_message_t *
find_message(jj_actions_t *out, const jj_name_t *to, jj_message_kind_t kind)
{
	jj_action_t *action;

	TAILQ_FOREACH_REVERSE(action, out, jj_action_list, link)
	{
		const jj_message_t *message = action->body.send.message;

		if (action->kind != JJ_ACTION_SEND || message->kind != kind ||
		    !jj_name_equal(&action->body.send.to, to))
			continue;
		/* Counts of both kinds are at the same place. */
		if (message->body.team_use.count < JJ_MESSAGE_TEAMS_MAX)
			return action->body.send.message;
		break;
	}
	return jj_actions_add_message(out, to, kind);
}
