/**
 * @file core.c
 * @brief Puts the modules of a VM's control together.
 *
 * Each event goes to the module it concerns; what modules tell each other
 * goes through here, so that no module knows another's inside.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/calls.h"
#include "core/core.h"
#include "core/core_state.h"
#include "core/core_status.h"

/** Watches of the speaker, by token of their platform calls. */
#define TOKEN_WATCH_CONFIG UINT64_C(0xC0)
#define TOKEN_WATCH_JOBS UINT64_C(0xC1)
#define TOKEN_VMS UINT64_C(0xC2)
/** How long the platform may hold a watch, ms. */
#define WATCH_WAIT_MS 20000
/** Least time between polls of `jobs/`: a busy prefix costs 2 calls/s. */
#define WATCH_JOBS_SPACING_MS 500
/** Least time between polls of `config/`; well below the 3 s allowed. */
#define WATCH_CONFIG_SPACING_MS 100
/** Wait after a failed poll, ms. */
#define WATCH_BACKOFF_MS 1000
/** Least time between asks for a configuration, ms. */
#define CONFIG_ASK_MS 200
/** Refresh of the configuration while none is known, ms. */
#define CONFIG_REFRESH_MS 1000
/** Modules are ticked at least this often, ms. */
#define TICK_MOST_MS 100
/** While items wait for room, it is looked for this often, ms. */
#define WITHHELD_TICK_MS 10
/** Items of a service that wait next to the decision, beyond the room. */
#define WITHHELD_MOST 4
/** An unchanged VM list is told to the domain again after, ms. */
#define LIST_TELL_MS 60000
/** A request like one that crashed a server rests so long, ms. */
#define SUSPECT_REST_MS 300
/** Told with refusals of calls, ms. */
#define CALL_RETRY_AFTER_MS 1000

static void create_modules(jj_core_t *);
static void run_call(void *, uint64_t, const jj_call_t *);
static const jj_member_info_t *find_member(void *, const jj_name_t *);
static size_t list_members(void *, jj_member_info_t *, size_t);
static void take_tick(jj_core_t *, jj_ms_t, jj_actions_t *);
static void
take_message(jj_core_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void
take_heartbeat(jj_core_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void take_platform(
    jj_core_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_member_result(
    jj_core_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
take_request(jj_core_t *, const jj_event_t *, jj_ms_t, jj_actions_t *);
static void begin_call(jj_core_t *, const jj_event_t *, const jj_service_t *,
    jj_ms_t, jj_actions_t *);
static void
take_backend(jj_core_t *, const jj_event_t *, jj_ms_t, jj_actions_t *);
static void
take_server_state(jj_core_t *, const jj_event_t *, jj_ms_t, jj_actions_t *);
static void end_call(jj_core_t *, uint64_t, jj_call_outcome_t, int,
    const jj_bytes_t *, jj_ms_t, jj_ms_t, jj_actions_t *);
static void settle(jj_core_t *, jj_ms_t, jj_actions_t *);
static void
end_refused_call(jj_core_t *, const jj_answer_t *, jj_ms_t, jj_actions_t *);
static void spread_config(jj_core_t *, jj_actions_t *);
static bool is_abroad(const jj_core_t *, const jj_name_t *);
static void tell_vm_list(
    jj_core_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void send_config(jj_core_t *, const jj_name_t *, jj_actions_t *);
static void tell_domain(jj_core_t *, jj_message_kind_t, uint64_t,
    const jj_bytes_t *, jj_actions_t *);
static void
take_vm_list(jj_core_t *, const jj_bytes_t *, jj_ms_t, jj_actions_t *);
static void
learn_listed_vm(void *, const jj_name_t *, const jj_name_t *, const char *);
static void take_job_events(jj_core_t *, const jj_bytes_t *, jj_actions_t *);
static jj_bytes_t encode_job_events(const jj_platform_result_t *);
static void add_job_change(jj_actions_t *, const char *, uint64_t);
static void wish_models(jj_core_t *, jj_ms_t);
static void take_death(jj_core_t *, const jj_crash_t *, jj_ms_t);
static void pass_on(jj_core_t *, const jj_message_t *, jj_actions_t *);
static void
tell_news(jj_core_t *, const jj_message_t *, bool, bool, jj_actions_t *);
static void tell_lost_job_events(jj_core_t *, uint64_t, jj_actions_t *);
static void notice_lost_vms(jj_core_t *, jj_actions_t *);
static void refuse_request(jj_actions_t *, const jj_event_t *, jj_give_up_t);
static void refuse_unknown_key(jj_actions_t *, uint64_t);
static void stamp_messages(jj_core_t *, jj_actions_t *);
static jj_ms_t earlier(jj_ms_t, jj_ms_t);

jj_core_t *
jj_core_create(const jj_core_settings_t *settings)
{
	jj_core_t *core = jj_alloc(sizeof(*core));
	jj_watch_settings_t config_watch = {JJ_OWNER_MEMBER, TOKEN_WATCH_CONFIG,
	    "config/", WATCH_WAIT_MS, WATCH_CONFIG_SPACING_MS,
	    WATCH_BACKOFF_MS};
	jj_watch_settings_t jobs_watch = {JJ_OWNER_MEMBER, TOKEN_WATCH_JOBS,
	    "jobs/", WATCH_WAIT_MS, WATCH_JOBS_SPACING_MS, WATCH_BACKOFF_MS};

	core->settings = *settings;
	core->last_request = JJ_REQUEST_INTERNAL;
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
	jj_withheld_destroy(core->withheld);
	jj_dispatch_destroy(core->dispatch);
	jj_config_destroy(core->config);
	jj_quarantine_destroy(core->quarantine);
	jj_fleet_destroy(core->fleet);
	jj_member_destroy(core->member);
	free(core);
}

void
jj_core_learn_vm(jj_core_t *core, const jj_name_t *name,
    const jj_name_t *domain, const char *address)
{
	jj_member_learn(core->member, name, domain, address);
}

void
jj_core_learn_server(jj_core_t *core, const jj_server_t *server)
{
	jj_fleet_learn(core->fleet, server);
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
		take_request(core, event, now, out);
		break;
	case JJ_EVENT_BACKEND:
		take_backend(core, event, now, out);
		break;
	case JJ_EVENT_GONE:
		if (!jj_withheld_remove(
			core->withheld, event->body.request_gone) &&
		    !jj_suspects_remove(
			core->suspects, event->body.request_gone))
			jj_dispatch_cancel(
			    core->dispatch, event->body.request_gone, now, out);
		break;
	case JJ_EVENT_CRASH:
		jj_dispatch_take_crash(core->dispatch,
		    &event->body.server.server, event->body.server.boot, now,
		    out);
		break;
	case JJ_EVENT_SERVER:
		take_server_state(core, event, now, out);
		break;
	case JJ_EVENT_REPORT:
		jj_dispatch_take_report(core->dispatch,
		    &event->body.report.server, event->body.report.running,
		    event->body.report.waiting, event->body.report.age_ms, now);
		break;
	case JJ_EVENT_ORDERED:
		jj_orders_take_answer(core->orders, &event->body.ordered.server,
		    event->body.ordered.order, event->body.ordered.status,
		    event->body.ordered.retry_after_ms, now, out);
		break;
	case JJ_EVENT_PATCH:
		jj_config_patch(core->config, event->body.patch.operation,
		    event->body.patch.operation_key,
		    event->body.patch.operator_name,
		    event->body.patch.base_version, &event->body.patch.patch,
		    now, out);
		break;
	case JJ_EVENT_RELEASE:
		jj_ledger_release(
		    core->ledger, event->body.release.slot, now, out);
		break;
	case JJ_EVENT_STATUS:
		jj_core_answer_status(core, event->body.operation, now, out);
		break;
	case JJ_EVENT_LEAVE:
		core->leaving = true;
		jj_member_set_state(core->member, JJ_VM_LEAVING);
		jj_dispatch_leave(core->dispatch);
		jj_withheld_leave(core->withheld, out);
		jj_ledger_leave(core->ledger, now, out);
		jj_lease_want(core->lease, false, now, out);
		break;
	}
	jj_suspects_tick(core->suspects, core->dispatch, now, out);
	jj_withheld_pump(core->withheld, core->dispatch, now, out);
	settle(core, now, out);
	stamp_messages(core, out);
	core->out = NULL;
}

jj_ms_t
jj_core_next(const jj_core_t *core)
{
	jj_ms_t next = core->last_tick + TICK_MOST_MS;

	next = earlier(next, jj_member_next(core->member));
	next = earlier(next, jj_dispatch_next(core->dispatch));
	next = earlier(next, jj_ledger_next(core->ledger));
	next = earlier(next, jj_calls_next(core->calls));
	next = earlier(next, jj_lease_next(core->lease));
	next = earlier(next, jj_config_next(core->config));
	next = earlier(next, jj_orders_next(core->orders));
	next = earlier(next, jj_watch_next(&core->config_watch));
	next = earlier(next, jj_watch_next(&core->jobs_watch));
	next = earlier(next, jj_suspects_next(core->suspects));
	if (jj_withheld_count(core->withheld) > 0)
		next = earlier(next, core->last_tick + WITHHELD_TICK_MS);
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
    const jj_core_t *core, jj_batch_share_t *shares, uint32_t most, jj_ms_t now)
{
	uint32_t count = jj_dispatch_shares(core->dispatch, shares, most, now);
	uint32_t i;

	for (i = 0; i < count; i++)
		shares[i].limit += WITHHELD_MOST;
	return count;
}

void
jj_core_write_writer(const jj_name_t *name, jj_incarnation_t incarnation,
    char *text, size_t room)
{
	(void)snprintf(text, room, "%s/%016" PRIx64, name->text, incarnation);
}

static void
create_modules(jj_core_t *core)
{
	const jj_core_settings_t *settings = &core->settings;
	jj_ledger_port_t port = {core, run_call, find_member, list_members};
	jj_calls_settings_t calls = {settings->name, settings->domain,
	    settings->resend_ms, CALL_RETRY_AFTER_MS};

	core->member = jj_member_create(&settings->member);
	core->fleet = jj_fleet_create(&settings->domain);
	core->quarantine = jj_quarantine_create(&settings->quarantine);
	core->config = jj_config_create(&settings->config);
	core->dispatch = jj_dispatch_create(&settings->dispatch, core->config,
	    core->fleet, core->member, core->quarantine);
	core->withheld = jj_withheld_create();
	core->suspects = jj_suspects_create(SUSPECT_REST_MS);
	core->ledger = jj_ledger_create(&settings->ledger, &port);
	core->calls = jj_calls_create(&calls, core->ledger, core->member);
	core->lease = jj_lease_create(&settings->lease);
	core->orders =
	    jj_orders_create(&settings->orders, core->lease, core->fleet);
	jj_member_set_state(core->member, JJ_VM_SERVING);
}

/** The ledger says that this call may run now, once. */
static void
run_call(void *ctx, uint64_t run, const jj_call_t *call)
{
	jj_core_t *core = ctx;
	jj_request_t request = {0};
	jj_action_t *action;

	request.request = JJ_REQUEST_INTERNAL | run;
	request.class_of = JJ_CLASS_ONLINE;
	request.service = call->service;
	(void)jj_name_set(&request.team, "");
	request.fingerprint = call->fingerprint;
	request.idempotent = false;
	request.deadline_ms = core->now + call->budget_ms;
	action = jj_actions_add(core->out, JJ_ACTION_CALL_READY);
	action->body.item.item = request.request;
	action->body.item.service = call->service;
	action->body.item.fingerprint = call->fingerprint;
	action->body.item.due_ms = request.deadline_ms;
	action->body.item.path =
	    jj_bytes_copy(call->path.data, call->path.size);
	action->body.item.body =
	    jj_bytes_copy(call->body.data, call->body.size);
	(void)snprintf(action->body.item.key, sizeof(action->body.item.key),
	    "%s", call->key_text);
	(void)snprintf(action->body.item.trace, sizeof(action->body.item.trace),
	    "%s", call->trace);
	jj_dispatch_begin(core->dispatch, &request, core->now, core->out);
}

static const jj_member_info_t *
find_member(void *ctx, const jj_name_t *name)
{
	const jj_core_t *core = ctx;

	return jj_member_find(core->member, name);
}

static size_t
list_members(void *ctx, jj_member_info_t *infos, size_t most)
{
	const jj_core_t *core = ctx;

	return jj_member_list(
	    core->member, &core->settings.domain, infos, most);
}

static void
take_tick(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	bool speaker;
	uint32_t count;

	if (core->last_tick != 0 &&
	    jj_member_was_paused(core->member, now, core->settings.pause_ms))
		jj_actions_add_event(
		    out, "paused", "gap_ms=%" PRId64, now - core->last_tick);
	core->last_tick = now;
	if (jj_member_next(core->member) <= now) {
		count = jj_dispatch_loads(
		    core->dispatch, loads, JJ_MESSAGE_LOADS_MAX);
		jj_member_set_loads(core->member, loads, count);
	}
	jj_member_set_versions(core->member, jj_config_version(core->config),
	    jj_ledger_version(core->ledger));
	jj_member_tick(core->member, now, out);
	notice_lost_vms(core, out);
	speaker = jj_member_is_speaker(core->member) && !core->leaving;
	jj_watch_set_active(&core->config_watch, speaker, now);
	jj_watch_set_active(&core->jobs_watch, speaker, now);
	jj_watch_tick(&core->config_watch, now, out);
	jj_watch_tick(&core->jobs_watch, now, out);
	if (now >= core->next_vms && (speaker || !core->list_known)) {
		core->next_vms = now + core->settings.vms_poll_ms;
		(void)jj_actions_add_platform(
		    out, JJ_OWNER_MEMBER, JJ_PLATFORM_VMS, TOKEN_VMS);
	}
	if (jj_config_version(core->config) == 0 && now >= core->next_refresh) {
		core->next_refresh = now + CONFIG_REFRESH_MS;
		jj_config_refresh(core->config, now, out);
	}
	jj_config_tick(core->config, now, out);
	jj_ledger_tick(core->ledger, now, out);
	jj_calls_tick(core->calls, now, out);
	jj_lease_want(core->lease, speaker, now, out);
	jj_lease_tick(core->lease, now, out);
	wish_models(core, now);
	jj_orders_tick(core->orders, now, out);
	jj_quarantine_tick(core->quarantine, now);
	jj_dispatch_tick(core->dispatch, now, out);
}

static void
take_message(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	if (!jj_member_accept(core->member, message, now, out))
		return;
	switch (message->kind) {
	case JJ_MESSAGE_HEARTBEAT:
		take_heartbeat(core, message, now, out);
		break;
	case JJ_MESSAGE_CONFIG_ASK:
		if (message->body.config.version <
		    jj_config_version(core->config))
			send_config(core, &message->from, out);
		break;
	case JJ_MESSAGE_CONFIG:
		core->config_source = is_abroad(core, &message->from)
		    ? JJ_CONFIG_FROM_ABROAD
		    : JJ_CONFIG_FROM_DOMAIN;
		(void)jj_config_take(
		    core->config, &message->body.config.document, out);
		break;
	case JJ_MESSAGE_LOAD:
		jj_dispatch_take_loads(core->dispatch, &message->from,
		    message->body.load.loads, message->body.load.count, now);
		break;
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
	case JJ_MESSAGE_CRASH:
		jj_quarantine_take_crash(
		    core->quarantine, &message->body.crash, now, out);
		take_death(core, &message->body.crash, now);
		pass_on(core, message, out);
		break;
	case JJ_MESSAGE_SERVER_STATE:
		jj_fleet_take_notice(core->fleet, &message->body.server, now);
		pass_on(core, message, out);
		break;
	case JJ_MESSAGE_JOBS:
		take_job_events(core, &message->body.jobs.events, out);
		break;
	case JJ_MESSAGE_VMS:
		take_vm_list(core, &message->body.jobs.events, now, out);
		break;
	default:
		break;
	}
}

static void
take_heartbeat(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_heartbeat_t *heartbeat = &message->body.heartbeat;
	jj_message_t *ask;

	jj_dispatch_take_loads(core->dispatch, &message->from, heartbeat->loads,
	    heartbeat->load_count, now);
	if (heartbeat->config_version > jj_config_version(core->config) &&
	    now >= core->next_ask) {
		core->next_ask = now + CONFIG_ASK_MS;
		ask = jj_actions_add_message(
		    out, &message->from, JJ_MESSAGE_CONFIG_ASK);
		ask->body.config.version = jj_config_version(core->config);
	}
	if (jj_name_equal(&heartbeat->domain, &core->settings.domain) &&
	    heartbeat->slots_version > jj_ledger_version(core->ledger))
		jj_ledger_refresh(
		    core->ledger, heartbeat->slots_version, now, out);
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
	jj_watch_news_t news;
	jj_bytes_t events;
	size_t i;

	if (result->token == TOKEN_VMS) {
		if (result->outcome != JJ_PLATFORM_OK)
			return;
		take_vm_list(core, &result->value, now, out);
		tell_vm_list(core, result, now, out);
		return;
	}
	if (result->token == TOKEN_WATCH_CONFIG) {
		news = jj_watch_take_result(&core->config_watch, result, now);
		if (news != JJ_WATCH_NOTHING)
			jj_config_refresh(core->config, now, out);
		return;
	}
	news = jj_watch_take_result(&core->jobs_watch, result, now);
	if (news == JJ_WATCH_LOST)
		tell_lost_job_events(core, result->version, out);
	if (news != JJ_WATCH_EVENTS)
		return;
	for (i = 0; i < result->item_count; i++)
		add_job_change(
		    out, result->items[i].key, result->items[i].version);
	events = encode_job_events(result);
	tell_domain(core, JJ_MESSAGE_JOBS, result->version, &events, out);
	jj_bytes_free(&events);
}

static void
take_request(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	const jj_service_t *service;
	jj_request_t request = event->body.request.request;

	if (jj_config_version(core->config) == 0) {
		refuse_request(out, event, JJ_GIVE_UP_NO_CONFIG);
		return;
	}
	service = jj_config_service(core->config, request.service.text);
	if (service == NULL) {
		refuse_request(out, event, JJ_GIVE_UP_NO_SERVICE);
		return;
	}
	request.idempotent = service->idempotent;
	if (request.deadline_ms == 0)
		request.deadline_ms = now + service->deadline_ms;
	if (!service->idempotent && event->body.request.key != NULL &&
	    request.class_of == JJ_CLASS_ONLINE) {
		begin_call(core, event, service, now, out);
		return;
	}
	if (request.class_of == JJ_CLASS_BATCH && !core->leaving)
		jj_withheld_add(core->withheld, &request, now);
	else if (jj_quarantine_check(core->quarantine, request.fingerprint,
		     now) == JJ_QUARANTINE_SUSPECT)
		jj_suspects_add(core->suspects, &request, now);
	else
		jj_dispatch_begin(core->dispatch, &request, now, out);
}

static void
begin_call(jj_core_t *core, const jj_event_t *event,
    const jj_service_t *service, jj_ms_t now, jj_actions_t *out)
{
	const jj_request_t *request = &event->body.request.request;
	const char *key = event->body.request.key;
	jj_call_t call = {0};

	if (core->leaving) {
		refuse_request(out, event, JJ_GIVE_UP_STOPPING);
		return;
	}
	if (service->key_domain_count == 0) {
		refuse_unknown_key(out, request->request);
		return;
	}
	(void)snprintf(call.key_text, sizeof(call.key_text), "%s", key);
	call.call = request->request;
	call.key = jj_hash_wide(key, strlen(key));
	call.fingerprint = request->fingerprint;
	call.service = request->service;
	call.budget_ms = (request->deadline_ms != 0 ? request->deadline_ms - now
						    : service->deadline_ms);
	(void)snprintf(call.trace, sizeof(call.trace), "%s",
	    event->body.request.trace != NULL ? event->body.request.trace : "");
	call.path = jj_bytes_from_text(event->body.request.path);
	call.body = event->body.request.body;
	jj_calls_begin(core->calls, request->request, service, &call, now, out);
	jj_bytes_free(&call.path);
}

static void
take_backend(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	const jj_backend_event_t *backend = &event->body.backend.event;
	bool whole = backend->kind == JJ_BACKEND_DONE ||
	    backend->kind == JJ_BACKEND_REJECTED;
	bool is_call = (backend->request & JJ_REQUEST_INTERNAL) != 0;

	jj_dispatch_take_event(core->dispatch, backend, now, out);
	if (whole && is_call)
		end_call(core, backend->request, JJ_CALL_DONE,
		    event->body.backend.status, &event->body.backend.body, 0,
		    now, out);
}

static void
take_server_state(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t news = {.kind = JJ_MESSAGE_SERVER_STATE};
	bool is_news = false;

	jj_fleet_note(core->fleet, &event->body.server.server,
	    event->body.server.state, event->body.server.boot, now, out,
	    &is_news);
	if (!is_news)
		return;
	news.body.server.server = event->body.server.server;
	news.body.server.boot = event->body.server.boot;
	news.body.server.state = event->body.server.state;
	tell_news(core, &news, true, jj_member_is_speaker(core->member), out);
}

static void
end_call(jj_core_t *core, uint64_t request, jj_call_outcome_t outcome,
    int status, const jj_bytes_t *body, jj_ms_t retry_after_ms, jj_ms_t now,
    jj_actions_t *out)
{
	jj_bytes_t empty = {NULL, 0};

	jj_ledger_end(core->ledger, request & ~JJ_REQUEST_INTERNAL, outcome,
	    status, body != NULL ? body : &empty, retry_after_ms, now, out);
}

/**
 * What modules said in this step may concern other modules: a refused run
 * goes back to the ledger, a new configuration to the neighbours.
 */
static void
settle(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action;
	jj_action_t *next;

	for (action = TAILQ_FIRST(out); action != NULL; action = next) {
		/* The answer stays: what was kept for the run is freed by it. */
		if (action->kind == JJ_ACTION_ANSWER &&
		    (action->body.answer.request & JJ_REQUEST_INTERNAL))
			end_refused_call(core, &action->body.answer, now, out);
		if (action->kind == JJ_ACTION_CONFIG_ADOPTED)
			spread_config(core, out);
		next = TAILQ_NEXT(action, link);
	}
}

static void
end_refused_call(
    jj_core_t *core, const jj_answer_t *answer, jj_ms_t now, jj_actions_t *out)
{
	end_call(core, answer->request,
	    answer->run == JJ_RUN_NOT_RUN ? JJ_CALL_NOT_RUN : JJ_CALL_UNKNOWN,
	    0, NULL, answer->retry_after_ms, now, out);
}

/**
 * Each VM gets the document once or twice, however many there are: who takes
 * it from the platform, an operator or abroad tells its domain; what comes
 * from the own domain is only passed abroad, by the speaker. A VM that was
 * left out asks when it hears of the version in a heartbeat.
 */
static void
spread_config(jj_core_t *core, jj_actions_t *out)
{
	jj_member_info_t *infos = jj_alloc(JJ_MEMBERS_MAX * sizeof(*infos));
	size_t count = jj_member_list_all(core->member, infos, JJ_MEMBERS_MAX);
	bool from_domain = core->config_source == JJ_CONFIG_FROM_DOMAIN;
	size_t i;

	if (from_domain && !jj_member_is_speaker(core->member))
		count = 0;
	for (i = 0; i < count; i++) {
		if (!infos[i].live ||
		    jj_name_equal(&infos[i].name, &core->settings.name))
			continue;
		if (from_domain &&
		    jj_name_equal(&infos[i].domain, &core->settings.domain))
			continue;
		if (infos[i].config_version < jj_config_version(core->config))
			send_config(core, &infos[i].name, out);
	}
	free(infos);
}

static bool
is_abroad(const jj_core_t *core, const jj_name_t *name)
{
	const jj_member_info_t *info = jj_member_find(core->member, name);

	return info != NULL &&
	    !jj_name_equal(&info->domain, &core->settings.domain);
}

/** The list is large and rarely changes: told when it did, or now and then. */
static void
tell_vm_list(jj_core_t *core, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	uint64_t hash =
	    jj_hash_bytes(result->value.data, result->value.size, 0);

	if (hash == core->list_hash && now < core->next_tell)
		return;
	core->list_hash = hash;
	core->next_tell = now + LIST_TELL_MS;
	tell_domain(core, JJ_MESSAGE_VMS, result->version, &result->value, out);
}

static void
send_config(jj_core_t *core, const jj_name_t *to, jj_actions_t *out)
{
	const jj_bytes_t *object = jj_config_object(core->config);
	jj_message_t *message;

	if (object == NULL)
		return;
	message = jj_actions_add_message(out, to, JJ_MESSAGE_CONFIG);
	message->body.config.version = jj_config_version(core->config);
	message->body.config.document =
	    jj_bytes_copy(object->data, object->size);
}

static void
tell_domain(jj_core_t *core, jj_message_kind_t kind, uint64_t revision,
    const jj_bytes_t *body, jj_actions_t *out)
{
	jj_member_info_t members[JJ_LEDGER_SLOTS];
	jj_message_t *message;
	size_t count = jj_member_list(
	    core->member, &core->settings.domain, members, JJ_LEDGER_SLOTS);
	size_t i;

	for (i = 0; i < count; i++) {
		if (jj_name_equal(&members[i].name, &core->settings.name))
			continue;
		message = jj_actions_add_message(out, &members[i].name, kind);
		message->body.jobs.revision = revision;
		message->body.jobs.events =
		    jj_bytes_copy(body->data, body->size);
	}
}

static void
take_vm_list(
    jj_core_t *core, const jj_bytes_t *list, jj_ms_t now, jj_actions_t *out)
{
	if (jj_fleet_take_list(
		core->fleet, list, now, learn_listed_vm, core, out))
		core->list_known = true;
}

static void
learn_listed_vm(void *ctx, const jj_name_t *name, const jj_name_t *domain,
    const char *address)
{
	jj_core_t *core = ctx;

	jj_member_learn(core->member, name, domain, address);
}

static jj_bytes_t
encode_job_events(const jj_platform_result_t *result)
{
	json_t *array = json_array();
	jj_bytes_t bytes = {NULL, 0};
	size_t i;

	for (i = 0; i < result->item_count; i++)
		(void)json_array_append_new(array,
		    json_pack("{s:s,s:I}", "key", result->items[i].key,
			"version", (json_int_t)result->items[i].version));
	bytes.data = json_dumps(array, JSON_COMPACT);
	bytes.size = strlen(bytes.data);
	json_decref(array);
	return bytes;
}

static void
take_job_events(jj_core_t *core, const jj_bytes_t *events, jj_actions_t *out)
{
	json_t *array = json_loadb(events->data, events->size, 0, NULL);
	const json_t *entry;
	const char *key;
	size_t i;

	(void)core;
	json_array_foreach(array, i, entry)
	{
		key = json_string_value(json_object_get(entry, "key"));
		if (key == NULL)
			continue;
		add_job_change(out, key,
		    (uint64_t)json_integer_value(
			json_object_get(entry, "version")));
	}
	json_decref(array);
}

/** Events were lost: each VM of the domain looks at the active jobs. */
static void
tell_lost_job_events(jj_core_t *core, uint64_t revision, jj_actions_t *out)
{
	jj_bytes_t events =
	    jj_bytes_from_text("[{\"key\":\"\",\"version\":0}]");

	add_job_change(out, "", 0);
	tell_domain(core, JJ_MESSAGE_JOBS, revision, &events, out);
	jj_bytes_free(&events);
}

static void
add_job_change(jj_actions_t *out, const char *key, uint64_t version)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_JOB_CHANGED);

	(void)snprintf(action->body.job_change.key,
	    sizeof(action->body.job_change.key), "%s", key);
	action->body.job_change.version = version;
}

/** What the configuration wants the own domain's engines to have loaded. */
static void
wish_models(jj_core_t *core, jj_ms_t now)
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
		jj_orders_wish(core->orders, &servers[i].name,
		    service->model_wish.model, service->model_wish.version,
		    service->model_wish.role, now);
	}
}

/** A neighbour's word of a death: no new work there, unless seen up since. */
static void
take_death(jj_core_t *core, const jj_crash_t *crash, jj_ms_t now)
{
	jj_server_notice_t notice = {
	    crash->server, crash->boot, JJ_SERVER_DOWN};

	jj_fleet_take_notice(core->fleet, &notice, now);
}

/**
 * Speakers carry news of backend servers between domains: out of their own to
 * the others, and from abroad to their own. So a request that kills servers
 * is known everywhere after its second victim, wherever it is resent, and a
 * server that leaves is spared by all.
 */
static void
pass_on(jj_core_t *core, const jj_message_t *message, jj_actions_t *out)
{
	if (!jj_member_is_speaker(core->member))
		return;
	if (is_abroad(core, &message->from))
		tell_news(core, message, true, false, out);
	else
		tell_news(core, message, false, true, out);
}

/** Sends a crash or a server's state to live VMs. */
static void
tell_news(jj_core_t *core, const jj_message_t *message, bool domain,
    bool abroad, jj_actions_t *out)
{
	jj_member_info_t *infos = jj_alloc(JJ_MEMBERS_MAX * sizeof(*infos));
	size_t count = jj_member_list_all(core->member, infos, JJ_MEMBERS_MAX);
	jj_message_t *copy;
	bool own;
	size_t i;

	for (i = 0; i < count; i++) {
		own = jj_name_equal(&infos[i].domain, &core->settings.domain);
		if (!infos[i].live || !(own ? domain : abroad) ||
		    jj_name_equal(&infos[i].name, &core->settings.name))
			continue;
		copy =
		    jj_actions_add_message(out, &infos[i].name, message->kind);
		if (message->kind == JJ_MESSAGE_CRASH)
			copy->body.crash = message->body.crash;
		else
			copy->body.server = message->body.server;
	}
	free(infos);
}

/** A process that fell silent: its batch claims may be taken over. */
static void
notice_lost_vms(jj_core_t *core, jj_actions_t *out)
{
	jj_member_info_t members[JJ_LEDGER_SLOTS];
	jj_action_t *action;
	const jj_member_info_t *info;
	size_t i;

	for (i = 0; i < core->seen_count; i++) {
		info = jj_member_find(core->member, &core->seen[i].name);
		if (info != NULL && info->live &&
		    info->incarnation == core->seen[i].incarnation)
			continue;
		action = jj_actions_add(out, JJ_ACTION_VM_LOST);
		action->body.lost.name = core->seen[i].name;
		action->body.lost.incarnation = core->seen[i].incarnation;
		jj_actions_add_event(
		    out, "vm_lost", "lost=%s", core->seen[i].name.text);
	}
	core->seen_count = 0;
	/*
	 * Of other domains only speakers are heard: a VM abroad that falls
	 * silent is no sign of death, nor is a cut between domains.
	 */
	i = jj_member_list(
	    core->member, &core->settings.domain, members, JJ_LEDGER_SLOTS);
	while (i-- > 0) {
		if (!members[i].live ||
		    jj_name_equal(&members[i].name, &core->settings.name))
			continue;
		core->seen[core->seen_count].name = members[i].name;
		core->seen[core->seen_count].incarnation =
		    members[i].incarnation;
		core->seen_count++;
	}
}

/**
 * Refuses a caller's request before anything is known of it. With a key, an
 * earlier attempt may have run: only the key's home could say "not run".
 */
static void
refuse_request(jj_actions_t *out, const jj_event_t *event, jj_give_up_t reason)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ANSWER);

	action->body.answer.request = event->body.request.request.request;
	action->body.answer.reason = reason;
	action->body.answer.run =
	    event->body.request.key != NULL ? JJ_RUN_UNKNOWN : JJ_RUN_NOT_RUN;
	if (reason != JJ_GIVE_UP_NO_SERVICE)
		action->body.answer.retry_after_ms = CALL_RETRY_AFTER_MS;
}

/**
 * A non-idempotent service without home domains: two domains could each run
 * the key, so it is refused. Nobody can ever have run it.
 */
static void
refuse_unknown_key(jj_actions_t *out, uint64_t request)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_CALL_ANSWER);

	action->body.call.call = request;
	action->body.call.answer.outcome = JJ_CALL_NOT_RUN;
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
earlier(jj_ms_t a, jj_ms_t b)
{
	return a < b ? a : b;
}
