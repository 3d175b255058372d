/**
 * @file gateway.c
 * @brief Combines the modules of a VM that serves routes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"
#include "core/crash_history.h"

/** Tokens that tell the platform calls of the mirrors apart. */
#define TOKEN_CONFIG 1
#define TOKEN_SERVERS 2
#define TOKEN_RETIRE 3
/**
 * A VM without a heartbeat for longer than this is taken as gone, not as cut
 * off, ms.
 */
#define VM_GONE_MS 30000
/** Interval between checks for unreachable VMs, ms. */
#define UNREACHABLE_CHECK_MS 50
/**
 * Interval between ticks of all modules when idle; BUSY_TICK_MS applies while
 * requests are in progress, ms.
 */
#define TICK_MS 200
/**
 * Fractions of news_ms, the time within which each VM has to know a change. A
 * relay polls RELAY_POLLS_PER_PERIOD times in it. A relay that sends nothing
 * for RELAY_FRESH_TENTHS tenths of it is no longer relied on; the rest is long
 * enough for a VM's own poll.
 */
#define RELAY_POLLS_PER_PERIOD 3
#define RELAY_FRESH_TENTHS 7
#define BUSY_TICK_MS 25

static void set_watch_times(jj_gateway_settings_t *);
static void init_mirrors(jj_gateway_t *);
static bool take_mirror_result(
    jj_gateway_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void begin_list(void *);
static void end_list(void *, bool, jj_ms_t);
static void take_config_object(void *, const jj_platform_item_t *);
static void ignore_removed(void *, const char *);
static void take_retirement(void *, const jj_platform_item_t *);
static bool is_live(void *, const char *);
static bool has_live_peers(void *);
static bool has_unreachable_peers(void *);
static jj_ms_t platform_regained_ms(void *);
static int64_t unix_ms(void *);
static jj_bytes_t write_page(void *, const jj_inline_page_t *);
static jj_ms_t earlier(jj_ms_t, jj_ms_t);
static void update_heartbeat_loads(jj_gateway_t *);
static void begin_step(jj_gateway_t *, jj_ms_t, jj_actions_t *);
static void end_step(jj_gateway_t *, jj_ms_t, jj_actions_t *);

jj_gateway_t *
jj_gateway_create(
    const jj_gateway_settings_t *settings, const jj_gateway_port_t *port)
{
	jj_gateway_t *gateway = jj_alloc(sizeof(*gateway));
	jj_routes_t no_routes = {0};
	jj_inline_port_t jobs = {gateway, is_live, jj_gateway_rank,
	    has_live_peers, has_unreachable_peers, platform_regained_ms,
	    jj_gateway_job_route, unix_ms, jj_gateway_begin_item,
	    jj_gateway_cancel_item, jj_gateway_is_item_sent, write_page,
	    jj_gateway_relay_jobs, jj_gateway_notify_job_ended};

	gateway->routes = jj_routes_share(&no_routes);
	gateway->settings = *settings;
	gateway->port = *port;
	gateway->settings.member.failure_domain = settings->domain;
	gateway->random = settings->seed;
	gateway->member = jj_member_create(&gateway->settings.member);
	gateway->quarantine = jj_quarantine_create(&settings->quarantine);
	gateway->crash_parts =
	    jj_crash_parts_create(settings->quarantine.quarantine_ms);
	gateway->slots = jj_slots_create(&settings->slots);
	set_watch_times(&gateway->settings);
	gateway->jobs = jj_inline_create(&gateway->settings.jobs, &jobs);
	gateway->allowance = jj_allowance_create(settings->seed);
	if (settings->fair_shares) {
		gateway->shares = jj_shares_create(settings->seed);
		gateway->share_home = jj_share_home_create();
		gateway->share_vms = 1;
		gateway->share_reach = 1;
	}
	gateway->origins = jj_stream_origins_create();
	if (settings->avoid_failing)
		gateway->outcomes = jj_outcomes_create();
	gateway->servers_since_ms = JJ_MS_NEVER;
	gateway->origins_since_ms = JJ_MS_NEVER;
	gateway->live_vms = 1;
	TAILQ_INIT(&gateway->sent);
	TAILQ_INIT(&gateway->waiting);
	TAILQ_INIT(&gateway->borrowed);
	TAILQ_INIT(&gateway->calls_for_peers);
	gateway->vm_places =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	init_mirrors(gateway);
	jj_member_set_state(gateway->member, JJ_VM_SERVING);
	return gateway;
}

void
jj_gateway_destroy(jj_gateway_t *gateway)
{
	jj_actions_t unused;
	jj_gateway_entry_t *entry;

	if (gateway == NULL)
		return;
	TAILQ_INIT(&unused);
	begin_step(gateway, gateway->last_tick_ms, &unused);
	jj_inline_destroy(gateway->jobs);
	while ((entry = TAILQ_FIRST(&gateway->sent)) != NULL)
		jj_gateway_free_entry(gateway, entry);
	while ((entry = TAILQ_FIRST(&gateway->waiting)) != NULL)
		jj_gateway_free_entry(gateway, entry);
	jj_actions_clear(&unused);
	jj_gateway_free_peer_calls(gateway);
	jj_outcomes_destroy(gateway->outcomes);
	jj_stream_origins_destroy(gateway->origins);
	jj_allowance_destroy(gateway->allowance);
	jj_allowance_home_destroy(gateway->allowance_home);
	jj_shares_destroy(gateway->shares);
	jj_share_home_destroy(gateway->share_home);
	jj_slots_destroy(gateway->slots);
	jj_crash_parts_destroy(gateway->crash_parts);
	jj_quarantine_destroy(gateway->quarantine);
	jj_member_destroy(gateway->member);
	jj_routes_release(gateway->routes);
	jj_bytes_free(&gateway->config_object);
	g_hash_table_destroy(gateway->vm_places);
	free(gateway->vms);
	free(gateway);
}

void
jj_gateway_submit(jj_gateway_t *gateway, uint64_t operation,
    jj_inline_job_t *job, const jj_routes_t *routes, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_route_t *route = jj_routes_match(routes, job->host, job->path);
	bool is_batch = route != NULL && route->kind == JJ_ROUTE_BATCH;
	bool is_unknown = (route != NULL && route->backend_count == 0) ||
	    (!is_batch && jj_gateway_is_outdated(gateway, routes));
	jj_action_t *action;

	begin_step(gateway, now, out);
	if (is_batch && !is_unknown) {
		job->submitted_unix_ms =
		    gateway->port.unix_ms(gateway->port.ctx);
		jj_inline_submit(
		    gateway->jobs, operation, job, route, now, out);
		end_step(gateway, now, out);
		return;
	}
	jj_actions_add_event(out, "job_without_route",
	    "job=%s host=%s path=%s version=%llu", job->id, job->host,
	    job->path, (unsigned long long)routes->version);
	action = jj_actions_add(out, JJ_ACTION_JOB_ANSWER);
	action->body.job.operation = operation;
	action->body.job.status = is_unknown ? 503 : 404;
	action->body.job.retry_after_ms = gateway->settings.retry_after_ms;
	jj_inline_job_clear(job);
}

jj_inline_t *
jj_gateway_jobs(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	begin_step(gateway, now, out);
	return gateway->jobs;
}

void
jj_gateway_step(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	begin_step(gateway, now, out);
	end_step(gateway, now, out);
}

void
jj_gateway_take_message(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	jj_name_t name;
	bool accepted;

	begin_step(gateway, now, out);
	accepted = jj_member_accept(gateway->member, message, now, out);
	while (jj_member_pop_arrival(gateway->member, &name)) {
		jj_crash_history_send_to_arrival(
		    gateway->quarantine, &name, now, out);
		jj_gateway_send_part_history(gateway, &name, now, out);
	}
	if (accepted)
		jj_gateway_take_peer_message(gateway, message, now, out);
	end_step(gateway, now, out);
}

void
jj_gateway_take_platform(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	begin_step(gateway, now, out);
	jj_gateway_note_platform_reach(gateway, result, now);
	if (result->unreadable > 0)
		jj_actions_add_event(out, "objects_unreadable",
		    "count=%zu of=%zu token=%llu version=%llu",
		    result->unreadable, result->item_count,
		    (unsigned long long)result->token,
		    (unsigned long long)result->version);
	if (result->owner == JJ_OWNER_BORROWED)
		jj_gateway_answer_borrower(gateway, result, out);
	else if (result->owner == JJ_OWNER_INLINE)
		jj_inline_take_result(gateway->jobs, result, now, out);
	else if (!take_mirror_result(gateway, result, now, out))
		(void)jj_gateway_take_vms(gateway, result, now, out);
	end_step(gateway, now, out);
}

void
jj_gateway_tick(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	begin_step(gateway, now, out);
	gateway->last_tick_ms = now;
	jj_mirror_set_active(&gateway->retire_mirror,
	    gateway->settings.retire_prefix[0] != '\0', now);
	jj_mirror_tick(&gateway->retire_mirror, now, out);
	if (!gateway->settings.serves)
		return;
	jj_mirror_set_active(&gateway->config_mirror, true, now);
	jj_mirror_set_active(&gateway->servers_mirror, true, now);
	jj_mirror_tick(&gateway->config_mirror, now, out);
	jj_mirror_tick(&gateway->servers_mirror, now, out);
	if (jj_member_next(gateway->member) <= now)
		update_heartbeat_loads(gateway);
	jj_member_set_versions(gateway->member, gateway->routes->version, 0);
	jj_member_tick(gateway->member, now, out);
	jj_gateway_drop_stale_loads(gateway, now);
	jj_gateway_tick_config(gateway, now, out);
	jj_gateway_tick_vms(gateway, now, out);
	jj_quarantine_tick(gateway->quarantine, now);
	jj_gateway_tick_crashes(gateway, now, out);
	jj_gateway_tick_parts(gateway, now, out);
	jj_gateway_tick_servers(gateway, now, out);
	jj_gateway_check_times(gateway, now, out);
	jj_gateway_tick_origins(gateway, now, out);
	jj_gateway_expire_borrowed(gateway, now, out);
	jj_inline_tick(gateway->jobs, now, out);
	jj_gateway_tick_relay(gateway, now, out);
	jj_gateway_tick_teams(gateway, now, out);
	jj_gateway_tick_outcomes(gateway, now, out);
	jj_gateway_tick_shares(gateway, now, out);
	end_step(gateway, now, out);
}

jj_ms_t
jj_gateway_next(const jj_gateway_t *gateway)
{
	bool busy = gateway->counts[JJ_CLASS_ONLINE] > 0 ||
	    gateway->counts[JJ_CLASS_BATCH] > 0 ||
	    (gateway->shares != NULL &&
		jj_shares_is_contended(gateway->shares, gateway->last_tick_ms));
	jj_ms_t next = gateway->last_tick_ms + (busy ? BUSY_TICK_MS : TICK_MS);

	next = earlier(next, jj_mirror_next(&gateway->retire_mirror));
	if (!gateway->settings.serves)
		return next > gateway->last_tick_ms ? next
						    : gateway->last_tick_ms + 1;
	next = earlier(next, jj_mirror_next(&gateway->config_mirror));
	next = earlier(next, jj_mirror_next(&gateway->servers_mirror));
	next = earlier(next, jj_member_next(gateway->member));
	next = earlier(next, jj_gateway_next_vms(gateway));
	next = earlier(next, jj_inline_next(gateway->jobs));
	if (gateway->local_loads_changed)
		next = earlier(next, gateway->next_local_loads_ms);
	if (gateway->remote_loads_changed)
		next = earlier(next, gateway->next_remote_loads_ms);
	/* The next tick is at least 1 ms after the last one. */
	return next > gateway->last_tick_ms ? next : gateway->last_tick_ms + 1;
}

void
jj_gateway_leave(
    jj_gateway_t *gateway, jj_ms_t end_ms, jj_ms_t now, jj_actions_t *out)
{
	begin_step(gateway, now, out);
	gateway->leaving = true;
	gateway->stop_ms = end_ms;
	jj_member_set_state(gateway->member, JJ_VM_LEAVING);
	jj_inline_leave(gateway->jobs, now, out);
	end_step(gateway, now, out);
}

bool
jj_gateway_is_idle(const jj_gateway_t *gateway)
{
	return gateway->counts[JJ_CLASS_ONLINE] == 0 &&
	    jj_inline_is_idle(gateway->jobs);
}

bool
jj_gateway_is_ready(const jj_gateway_t *gateway)
{
	return gateway->routes->version > 0;
}

bool
jj_gateway_may_be_behind(const jj_gateway_t *gateway)
{
	return jj_gateway_is_config_stale(gateway) ||
	    (gateway->platform_unreachable_ms != 0 &&
		jj_gateway_is_alone(gateway));
}

void
jj_gateway_learn_vm(jj_gateway_t *gateway, const jj_name_t *name,
    const jj_name_t *domain, const char *address)
{
	jj_member_add_vm(gateway->member, name, domain, address);
}

const char *
jj_gateway_address(const jj_gateway_t *gateway, const jj_name_t *name)
{
	const jj_member_info_t *info = jj_member_find(gateway->member, name);

	return info != NULL ? info->address : NULL;
}

const jj_routes_t *
jj_gateway_routes(const jj_gateway_t *gateway)
{
	return gateway->routes;
}

const jj_slots_t *
jj_gateway_slots(const jj_gateway_t *gateway)
{
	return gateway->slots;
}

const jj_member_t *
jj_gateway_member(const jj_gateway_t *gateway)
{
	return gateway->member;
}

jj_ms_t
jj_gateway_table_time(const jj_gateway_t *gateway, jj_table_t table)
{
	switch (table) {
	case JJ_TABLE_CONFIG:
		return gateway->config_mirror.confirmed_ms;
	case JJ_TABLE_SERVERS:
		return gateway->servers_mirror.confirmed_ms;
	case JJ_TABLE_JOBS:
		return jj_inline_table_time(gateway->jobs);
	default:
		return gateway->retire_mirror.confirmed_ms;
	}
}

uint32_t
jj_gateway_in_flight(const jj_gateway_t *gateway, jj_class_t class_of)
{
	return gateway->counts[class_of];
}

uint32_t
jj_gateway_waiting_items(const jj_gateway_t *gateway)
{
	const jj_gateway_entry_t *entry;
	uint32_t count = 0;

	TAILQ_FOREACH(entry, &gateway->waiting, link)
	{
		count++;
	}
	return count;
}

uint64_t
jj_gateway_random(jj_gateway_t *gateway)
{
	gateway->random = jj_hash_bytes(
	    &gateway->random, sizeof(gateway->random), gateway->settings.seed);
	return gateway->random;
}

/**
 * Sets the times of all watches, those of jobs too. A watch that waits longer
 * than changes may take would, if the platform does not answer it, keep them
 * away for longer than that.
 */
static void
set_watch_times(jj_gateway_settings_t *settings)
{
	jj_inline_settings_t *times = &settings->jobs;

	times->mirror_wait_ms = settings->watch_wait_ms < settings->news_ms
	    ? settings->watch_wait_ms
	    : settings->news_ms;
	times->short_wait_ms = settings->news_ms / RELAY_POLLS_PER_PERIOD;
	times->relay_timeout_ms = settings->news_ms * RELAY_FRESH_TENTHS / 10;
}

static void
init_mirrors(jj_gateway_t *gateway)
{
	const jj_gateway_settings_t *from = &gateway->settings;
	jj_mirror_settings_t settings = {JJ_OWNER_GATEWAY, TOKEN_CONFIG, "",
	    from->jobs.mirror_wait_ms, 0, from->backoff_ms,
	    from->backoff_most_ms, from->jobs.short_wait_ms,
	    from->jobs.relay_timeout_ms};
	jj_mirror_port_t config = {gateway, begin_list, take_config_object,
	    ignore_removed, end_list, jj_gateway_relay_objects};
	jj_mirror_port_t servers = {gateway, jj_gateway_begin_servers,
	    jj_gateway_take_server, jj_gateway_drop_server,
	    jj_gateway_end_servers, jj_gateway_relay_objects};
	jj_mirror_port_t retire = {gateway, begin_list, take_retirement,
	    ignore_removed, end_list, NULL};

	/*
	 * This VM forwards a configuration change as soon as it reads it, and
	 * changes come in bursts: a quarter of the usual pause between watches.
	 */
	settings.spacing_ms = from->spacing_ms / 4;
	(void)snprintf(settings.prefix, sizeof(settings.prefix), "%s",
	    from->config_prefix);
	jj_mirror_init(&gateway->config_mirror, &settings, &config);
	settings.token = TOKEN_SERVERS;
	settings.spacing_ms = from->spacing_ms;
	(void)snprintf(settings.prefix, sizeof(settings.prefix), "%s",
	    from->servers_prefix);
	jj_mirror_init(&gateway->servers_mirror, &settings, &servers);
	settings.token = TOKEN_RETIRE;
	(void)snprintf(settings.prefix, sizeof(settings.prefix), "%s",
	    from->retire_prefix);
	jj_mirror_init(&gateway->retire_mirror, &settings, &retire);
}

static bool
take_mirror_result(jj_gateway_t *gateway, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_mirror_t *const mirrors[] = {&gateway->config_mirror,
	    &gateway->servers_mirror, &gateway->retire_mirror};
	size_t i;

	for (i = 0; i < sizeof(mirrors) / sizeof(mirrors[0]); i++)
		if (jj_mirror_take_result(mirrors[i], result, now, out))
			return true;
	return false;
}

static void
begin_list(void *ctx)
{
	(void)ctx;
}

static void
end_list(void *ctx, bool is_complete, jj_ms_t now)
{
	(void)ctx;
	(void)is_complete;
	(void)now;
}

static void
ignore_removed(void *ctx, const char *key)
{
	(void)ctx;
	(void)key;
}

static void
take_config_object(void *ctx, const jj_platform_item_t *item)
{
	jj_gateway_t *gateway = ctx;

	if (strcmp(item->key, gateway->settings.config_key) == 0)
		(void)jj_gateway_take_config(gateway, &item->value, "platform");
}

static void
take_retirement(void *ctx, const jj_platform_item_t *item)
{
	jj_gateway_take_retirement(ctx, item);
}

/**
 * True when that process is live.
 * @param writer NAME/HEX16 of a process.
 */
static bool
is_live(void *ctx, const char *writer)
{
	const jj_gateway_t *gateway = ctx;
	const jj_member_info_t *info;
	jj_name_t name;
	const char *incarnation = jj_writer_split(writer, &name);

	if (incarnation == NULL)
		return false;
	info = jj_member_find(gateway->member, &name);
	return info != NULL && info->live &&
	    info->incarnation == strtoull(incarnation, NULL, 16);
}

static bool
has_live_peers(void *ctx)
{
	return !jj_gateway_is_alone(ctx);
}

static jj_ms_t
platform_regained_ms(void *ctx)
{
	const jj_gateway_t *gateway = ctx;

	return gateway->platform_regained_ms;
}

/**
 * True when a known VM of the region is unreachable, but not for as long as
 * VM_GONE_MS.
 */
static bool
has_unreachable_peers(void *ctx)
{
	jj_gateway_t *gateway = ctx;
	const jj_member_info_t *info;
	size_t i;

	if (gateway->now < gateway->next_unreachable_ms)
		return gateway->has_unreachable;
	gateway->next_unreachable_ms = gateway->now + UNREACHABLE_CHECK_MS;
	gateway->has_unreachable = false;
	for (i = 0; i < gateway->vm_count && !gateway->has_unreachable; i++) {
		info = jj_member_find(gateway->member, &gateway->vms[i].name);
		gateway->has_unreachable = info != NULL && !info->live &&
		    info->heard_ms != JJ_MS_NEVER &&
		    gateway->now - info->heard_ms < VM_GONE_MS;
	}
	return gateway->has_unreachable;
}

static int64_t
unix_ms(void *ctx)
{
	const jj_gateway_t *gateway = ctx;

	return gateway->port.unix_ms(gateway->port.ctx);
}

static jj_bytes_t
write_page(void *ctx, const jj_inline_page_t *page)
{
	const jj_gateway_t *gateway = ctx;

	return gateway->port.write_page(gateway->port.ctx, page);
}

static jj_ms_t
earlier(jj_ms_t a, jj_ms_t b)
{
	return a < b ? a : b;
}

/**
 * Heartbeats carry all loads: receivers take a server that a heartbeat does not
 * name as unused by this VM.
 */
static void
update_heartbeat_loads(jj_gateway_t *gateway)
{
	uint32_t count = jj_slots_list_loads(gateway->slots, NULL, 0);
	jj_load_t *loads;

	if (count > JJ_HEARTBEAT_LOADS_MAX)
		count = JJ_HEARTBEAT_LOADS_MAX;
	loads = jj_alloc((count + 1) * sizeof(*loads));
	(void)jj_slots_list_loads(gateway->slots, loads, count);
	jj_member_set_loads(gateway->member, loads, count);
	free(loads);
}

static void
begin_step(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	gateway->now = now;
	gateway->out = out;
}

/**
 * Ends a step: does the work that it may have made possible, then numbers the
 * messages that it added.
 */
static void
end_step(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action;

	jj_gateway_send_queued(gateway, now, out);
	jj_gateway_send_waiting_items(gateway, now, out);
	jj_gateway_report_loads(gateway, now, out);
	jj_gateway_report_teams(gateway, now, out);
	jj_gateway_report_outcomes(gateway, now, out);
	jj_gateway_borrow_calls(gateway, now, out);
	TAILQ_FOREACH(action, out, link)
	{
		if (action->kind == JJ_ACTION_SEND &&
		    action->body.send.message->sequence == 0)
			jj_member_stamp(
			    gateway->member, action->body.send.message);
	}
}
