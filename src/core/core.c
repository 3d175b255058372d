/**
 * @file core.c
 * @brief Connects the modules of a VM's control.
 *
 * Each event goes to the module that it concerns. What modules report to each
 * other passes through here, so that no module depends on another's internals.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/core.h"
#include "core/core_updates.h"
#include "core/core_requests.h"
#include "core/core_state.h"
#include "core/core_status.h"
#include "core/crash_history.h"

/** Tokens of platform calls: watches of the speaker, and the VM list. */
#define TOKEN_WATCH_CONFIG UINT64_C(0xC0)
#define TOKEN_WATCH_JOBS UINT64_C(0xC1)
#define TOKEN_VMS UINT64_C(0xC2)
/**
 * How long the platform may wait before it answers a watch of `jobs/`, ms.
 * Workers also list all jobs, so a lost watch only delays them.
 */
#define WATCH_JOBS_WAIT_MS 20000
/**
 * The same for `config/`, ms. A lost watch is noticed only after this and the
 * call's timeout, and a patch must be in force within 3 s.
 */
#define WATCH_CONFIG_WAIT_MS 2000
/** Minimum time between polls of `jobs/`, ms: a busy prefix costs 2 calls/s. */
#define WATCH_JOBS_SPACING_MS 500
/**
 * Minimum time between polls of `config/`, ms; well below the 3 s in which a
 * patch must be in force.
 */
#define WATCH_CONFIG_SPACING_MS 100
/** Wait after a failed poll, ms. */
#define WATCH_BACKOFF_MS 1000
/** Time between reads of the configuration while none is known, ms. */
#define CONFIG_REFRESH_MS 1000
/** Maximum time between ticks of the modules, ms. */
#define TICK_INTERVAL_MAX_MS 100
/** Time between ticks while batch_backlog items wait for free capacity, ms. */
#define WITHHELD_TICK_MS 10
/** Items of a service that may wait here in excess of the free capacity. */
#define WITHHELD_EXTRA_MAX 4
/** How long a request like one that crashed a server is deferred, ms. */
#define SUSPECT_DELAY_MS 300

static jj_ms_t next_suspect(const jj_core_t *);
static void create_modules(jj_core_t *);
static const jj_member_info_t *find_member(void *, const jj_name_t *);
static size_t list_members(void *, jj_member_info_t *, size_t);
static void detect_pause(jj_core_t *, jj_ms_t, jj_actions_t *);
static void take_tick(jj_core_t *, jj_ms_t, jj_actions_t *);
static void
take_message(jj_core_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void take_platform(
    jj_core_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_member_result(
    jj_core_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_report(jj_core_t *, const jj_event_t *, jj_ms_t);
static void
take_ordered(jj_core_t *, const jj_event_t *, jj_ms_t, jj_actions_t *);
static void
take_patch(jj_core_t *, const jj_event_t *, jj_ms_t, jj_actions_t *);
static void leave(jj_core_t *, jj_ms_t, jj_actions_t *);
static void forward_outcomes(jj_core_t *, jj_ms_t, jj_actions_t *);
static void request_models(jj_core_t *, jj_ms_t);
static void stamp_messages(jj_core_t *, jj_actions_t *);
static jj_ms_t min_ms(jj_ms_t, jj_ms_t);

jj_core_t *
jj_core_create(const jj_core_settings_t *settings)
{
	jj_core_t *core = jj_alloc(sizeof(*core));
	jj_watch_settings_t config_watch = {JJ_OWNER_MEMBER, TOKEN_WATCH_CONFIG,
	    "config/", WATCH_CONFIG_WAIT_MS, WATCH_CONFIG_SPACING_MS,
	    WATCH_BACKOFF_MS};
	jj_watch_settings_t jobs_watch = {JJ_OWNER_MEMBER, TOKEN_WATCH_JOBS,
	    "jobs/", WATCH_JOBS_WAIT_MS, WATCH_JOBS_SPACING_MS,
	    WATCH_BACKOFF_MS};

	core->settings = *settings;
	jj_watch_init(&core->config_watch, &config_watch);
	jj_watch_init(&core->jobs_watch, &jobs_watch);
	create_modules(core);
	return core;
}

void
jj_core_destroy(jj_core_t *core)
{
	if (core == NULL)
		return;
	jj_orders_destroy(core->orders);
	jj_lease_destroy(core->lease);
	jj_calls_destroy(core->calls);
	jj_ledger_destroy(core->ledger);
	jj_suspects_destroy(core->suspects);
	jj_batch_backlog_destroy(core->batch_backlog);
	jj_dispatch_destroy(core->dispatch);
	jj_config_destroy(core->config);
	jj_quarantine_destroy(core->quarantine);
	jj_fleet_destroy(core->fleet);
	jj_member_destroy(core->member);
	free(core);
}

void
jj_core_add_vm(jj_core_t *core, const jj_name_t *name, const jj_name_t *domain,
    const char *address)
{
	jj_member_add_vm(core->member, name, domain, address);
}

void
jj_core_add_server(jj_core_t *core, const jj_server_t *server)
{
	jj_fleet_add_server(core->fleet, server);
}

void
jj_core_handle(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	core->out = out;
	core->now = now;
	core->config_source = JJ_CONFIG_FROM_PLATFORM;
	switch (event->kind) {
	case JJ_EVENT_TICK:
		take_tick(core, now, out);
		break;
	case JJ_EVENT_MESSAGE:
		take_message(core, event->body.message, now, out);
		break;
	case JJ_EVENT_PLATFORM:
		take_platform(core, event->body.platform, now, out);
		break;
	case JJ_EVENT_REQUEST:
		jj_core_take_request(core, event, now, out);
		break;
	case JJ_EVENT_BACKEND:
		jj_core_take_backend(core, event, now, out);
		break;
	case JJ_EVENT_CALLER_DISCONNECTED:
		jj_core_cancel_request(
		    core, event->body.disconnected_request, now, out);
		break;
	case JJ_EVENT_CRASH:
		jj_dispatch_take_crash(core->dispatch,
		    &event->body.server.server, event->body.server.boot, now,
		    out);
		break;
	case JJ_EVENT_SERVER:
		jj_core_take_server_state(core, event, now, out);
		break;
	case JJ_EVENT_REPORT:
		take_report(core, event, now);
		break;
	case JJ_EVENT_ORDER_ANSWER:
		take_ordered(core, event, now, out);
		break;
	case JJ_EVENT_PATCH:
		take_patch(core, event, now, out);
		break;
	case JJ_EVENT_RELEASE:
		jj_ledger_release(
		    core->ledger, event->body.release.slot, now, out);
		break;
	case JJ_EVENT_STATUS:
		jj_core_answer_status(core, event->body.operation, now, out);
		break;
	case JJ_EVENT_LEAVE:
		leave(core, now, out);
		break;
	}
	jj_core_start_waiting(core, now, out);
	forward_outcomes(core, now, out);
	stamp_messages(core, out);
	core->out = NULL;
}

jj_ms_t
jj_core_next(const jj_core_t *core)
{
	jj_ms_t next = core->last_tick + TICK_INTERVAL_MAX_MS;

	next = min_ms(next, jj_member_next(core->member));
	next = min_ms(next, jj_dispatch_next(core->dispatch));
	next = min_ms(next, jj_ledger_next(core->ledger));
	next = min_ms(next, jj_calls_next(core->calls));
	next = min_ms(next, jj_lease_next(core->lease));
	next = min_ms(next, jj_config_next(core->config));
	next = min_ms(next, jj_orders_next(core->orders));
	next = min_ms(next, jj_watch_next(&core->config_watch));
	next = min_ms(next, jj_watch_next(&core->jobs_watch));
	next = min_ms(next, next_suspect(core));
	if (jj_batch_backlog_count(core->batch_backlog) > 0)
		next = min_ms(next, core->last_tick + WITHHELD_TICK_MS);
	return next;
}

bool
jj_core_is_idle(const jj_core_t *core)
{
	return jj_suspects_next(core->suspects) == JJ_MS_NEVER &&
	    jj_dispatch_in_flight(core->dispatch, JJ_CLASS_ONLINE) == 0 &&
	    jj_dispatch_in_flight(core->dispatch, JJ_CLASS_BATCH) == 0 &&
	    jj_ledger_is_idle(core->ledger) && jj_calls_is_idle(core->calls);
}

const char *
jj_core_address(const jj_core_t *core, const jj_name_t *name)
{
	const jj_member_info_t *info = jj_member_find(core->member, name);

	return info != NULL ? info->address : NULL;
}

const jj_config_t *
jj_core_config(const jj_core_t *core)
{
	return core->config;
}

const jj_fleet_t *
jj_core_fleet(const jj_core_t *core)
{
	return core->fleet;
}

const jj_member_t *
jj_core_member(const jj_core_t *core)
{
	return core->member;
}

uint32_t
jj_core_batch_shares(
    const jj_core_t *core, jj_batch_share_t *shares, uint32_t max, jj_ms_t now)
{
	uint32_t count = jj_dispatch_shares(core->dispatch, shares, max, now);
	uint32_t i;

	for (i = 0; i < count; i++)
		shares[i].limit += WITHHELD_EXTRA_MAX;
	return count;
}

void
jj_core_write_writer(const jj_name_t *name, jj_incarnation_t incarnation,
    char *text, size_t size)
{
	(void)snprintf(text, size, "%s/%016" PRIx64, name->text, incarnation);
}

/**
 * Suspect requests are deferred at least until this VM has received the crash
 * history.
 */
static jj_ms_t
next_suspect(const jj_core_t *core)
{
	jj_ms_t next = jj_suspects_next(core->suspects);

	if (next < core->crash_history_due_ms &&
	    jj_core_awaits_crash_history(core, core->last_tick))
		return core->crash_history_due_ms;
	return next;
}

static void
create_modules(jj_core_t *core)
{
	const jj_core_settings_t *settings = &core->settings;
	jj_ledger_port_t port = {
	    core, jj_core_run_call, find_member, list_members};
	jj_member_settings_t member = settings->member;
	jj_calls_settings_t calls = {settings->name, settings->domain,
	    settings->resend_ms, JJ_CALL_RETRY_AFTER_MS};

	/*
	 * The batch claims and the slots of a lost VM are taken over at the
	 * same time.
	 */
	member.lost_ms = settings->ledger.takeover_ms;
	core->member = jj_member_create(&member);
	core->fleet = jj_fleet_create(&settings->domain);
	core->quarantine = jj_quarantine_create(&settings->quarantine);
	core->config = jj_config_create(&settings->config);
	core->dispatch = jj_dispatch_create(&settings->dispatch, core->config,
	    core->fleet, core->member, core->quarantine);
	core->batch_backlog = jj_batch_backlog_create();
	core->suspects = jj_suspects_create(SUSPECT_DELAY_MS);
	core->ledger = jj_ledger_create(&settings->ledger, &port);
	core->calls = jj_calls_create(&calls, core->ledger, core->member);
	core->lease = jj_lease_create(&settings->lease);
	core->orders =
	    jj_orders_create(&settings->orders, core->lease, core->fleet);
	jj_member_set_state(core->member, JJ_VM_SERVING);
}

static const jj_member_info_t *
find_member(void *ctx, const jj_name_t *name)
{
	const jj_core_t *core = ctx;

	return jj_member_find(core->member, name);
}

static size_t
list_members(void *ctx, jj_member_info_t *infos, size_t max)
{
	const jj_core_t *core = ctx;

	return jj_member_list(core->member, &core->settings.domain, infos, max);
}

/** Other VMs have sent their updates only to VMs that were alive meanwhile. */
static void
detect_pause(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	jj_ms_t silent_ms = core->settings.member.suspect_ms;

	if (core->last_tick != 0 &&
	    jj_member_was_paused(core->member, now, core->settings.pause_ms))
		jj_actions_add_event(
		    out, "paused", "gap_ms=%" PRId64, now - core->last_tick);
	if (core->last_tick == 0 || now - core->last_tick >= silent_ms)
		core->crash_history_due_ms = now + silent_ms;
	core->last_tick = now;
}

static void
take_tick(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	bool speaker;
	uint32_t count;

	detect_pause(core, now, out);
	if (jj_member_next(core->member) <= now) {
		count = jj_dispatch_loads(
		    core->dispatch, loads, JJ_MESSAGE_LOADS_MAX);
		jj_member_set_loads(core->member, loads, count);
	}
	jj_member_set_versions(core->member, jj_config_version(core->config),
	    jj_ledger_version(core->ledger));
	jj_member_tick(core->member, now, out);
	jj_core_notice_lost_vms(core, now, out);
	speaker = jj_member_is_speaker(core->member) && !core->leaving;
	jj_watch_set_active(&core->config_watch, speaker, now);
	jj_watch_set_active(&core->jobs_watch, speaker, now);
	jj_watch_tick(&core->config_watch, now, out);
	jj_watch_tick(&core->jobs_watch, now, out);
	if (now >= core->next_vms_poll_ms && (speaker || !core->list_known)) {
		core->next_vms_poll_ms = now + core->settings.vms_poll_ms;
		(void)jj_actions_add_platform(
		    out, JJ_OWNER_MEMBER, JJ_PLATFORM_VMS, TOKEN_VMS);
	}
	if (jj_config_version(core->config) == 0 &&
	    now >= core->next_config_refresh_ms) {
		core->next_config_refresh_ms = now + CONFIG_REFRESH_MS;
		jj_config_refresh(core->config, now, out);
	}
	jj_config_tick(core->config, now, out);
	jj_ledger_tick(core->ledger, now, out);
	jj_calls_tick(core->calls, now, out);
	jj_lease_want(core->lease, speaker, now, out);
	jj_lease_tick(core->lease, now, out);
	request_models(core, now);
	jj_orders_tick(core->orders, now, out);
	jj_quarantine_tick(core->quarantine, now);
	jj_dispatch_tick(core->dispatch, now, out);
}

static void
take_message(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	bool accepted = jj_member_accept(core->member, message, now, out);
	jj_name_t name;

	while (jj_member_pop_arrival(core->member, &name))
		jj_crash_history_send_to_arrival(
		    core->quarantine, &name, now, out);
	if (!accepted)
		return;
	switch (message->kind) {
	case JJ_MESSAGE_CALL:
		jj_calls_take_call(core->calls, message,
		    jj_config_service(
			core->config, message->body.call.service.text),
		    now, out);
		break;
	case JJ_MESSAGE_CALL_ANSWER:
		jj_calls_take_answer(core->calls, message, out);
		break;
	case JJ_MESSAGE_INTENT:
	case JJ_MESSAGE_INTENT_ACK:
	case JJ_MESSAGE_RESOLVE:
	case JJ_MESSAGE_SYNC:
	case JJ_MESSAGE_SYNC_ACK:
	case JJ_MESSAGE_SLOTS:
		jj_ledger_take_message(core->ledger, message, now, out);
		break;
	default:
		jj_core_take_update(core, message, now, out);
		break;
	}
}

static void
take_platform(jj_core_t *core, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	switch (result->owner) {
	case JJ_OWNER_CONFIG:
		jj_config_take_result(core->config, result, now, out);
		break;
	case JJ_OWNER_LEDGER:
		jj_ledger_take_result(core->ledger, result, now, out);
		break;
	case JJ_OWNER_LEASE:
		jj_lease_take_result(core->lease, result, now, out);
		break;
	case JJ_OWNER_MEMBER:
		take_member_result(core, result, now, out);
		break;
	default:
		break;
	}
}

static void
take_member_result(jj_core_t *core, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_watch_update_t update;

	if (result->token == TOKEN_VMS) {
		jj_core_take_vms(core, result, now, out);
		return;
	}
	if (result->token == TOKEN_WATCH_CONFIG) {
		update = jj_watch_take_result(&core->config_watch, result, now);
		if (update != JJ_WATCH_NOTHING)
			jj_config_refresh(core->config, now, out);
		return;
	}
	update = jj_watch_take_result(&core->jobs_watch, result, now);
	if (update == JJ_WATCH_LOST)
		jj_core_notify_job_events_lost(core, result->version, out);
	if (update == JJ_WATCH_EVENTS)
		jj_core_take_job_changes(core, result, out);
}

static void
take_report(jj_core_t *core, const jj_event_t *event, jj_ms_t now)
{
	jj_dispatch_take_report(core->dispatch, &event->body.report.server,
	    event->body.report.running, event->body.report.waiting,
	    event->body.report.age_ms, now);
}

static void
take_ordered(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_orders_take_answer(core->orders, &event->body.ordered.server,
	    event->body.ordered.order, event->body.ordered.status,
	    event->body.ordered.retry_after_ms, now, out);
}

static void
take_patch(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_config_patch(core->config, event->body.patch.operation,
	    event->body.patch.operation_key, event->body.patch.operator_name,
	    event->body.patch.base_version, &event->body.patch.patch, now, out);
}

static void
leave(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	core->leaving = true;
	jj_member_set_state(core->member, JJ_VM_LEAVING);
	jj_dispatch_drain(core->dispatch);
	jj_batch_backlog_stop(core->batch_backlog, out);
	jj_ledger_leave(core->ledger, now, out);
	jj_lease_want(core->lease, false, now, out);
}

/**
 * Passes actions of this event on to other modules: a refused run to the
 * ledger, a new configuration to the neighbours.
 */
static void
forward_outcomes(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action;
	jj_action_t *next;

	for (action = TAILQ_FIRST(out); action != NULL; action = next) {
		/*
		 * The answer stays in the list: it frees what was stored for
		 * the run.
		 */
		if (action->kind == JJ_ACTION_ANSWER &&
		    (action->body.answer.request & JJ_REQUEST_INTERNAL))
			jj_core_end_refused_call(
			    core, &action->body.answer, now, out);
		if (action->kind == JJ_ACTION_CONFIG_ADOPTED)
			jj_core_spread_config(core, out);
		next = TAILQ_NEXT(action, link);
	}
}

/**
 * Requests the models that the configuration wants the engines of the local
 * domain to have loaded.
 */
static void
request_models(jj_core_t *core, jj_ms_t now)
{
	const jj_service_t *service;
	const jj_server_t *servers;
	size_t count;
	size_t i;

	if (!jj_lease_is_held(core->lease, now))
		return;
	servers = jj_fleet_list(core->fleet, &count);
	for (i = 0; i < count; i++) {
		if (!jj_name_equal(&servers[i].domain, &core->settings.domain))
			continue;
		service =
		    jj_config_service(core->config, servers[i].service.text);
		if (service == NULL || service->model_wish.model[0] == '\0')
			continue;
		jj_orders_set_desired(core->orders, &servers[i].name,
		    service->model_wish.model, service->model_wish.version,
		    service->model_wish.role, now);
	}
}

static void
stamp_messages(jj_core_t *core, jj_actions_t *out)
{
	jj_action_t *action;

	TAILQ_FOREACH(action, out, link)
	{
		if (action->kind == JJ_ACTION_SEND)
			jj_member_stamp(
			    core->member, action->body.send.message);
	}
}

static jj_ms_t
min_ms(jj_ms_t a, jj_ms_t b)
{
	return a < b ? a : b;
}
