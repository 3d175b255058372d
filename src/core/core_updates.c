/**
 * @file core_updates.c
 * @brief Updates between VMs: configuration, VM lists, job changes, crashes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/core_updates.h"
#include "core/core_state.h"
#include "core/crash_history.h"

/** Minimum time between requests for a configuration, ms. */
#define CONFIG_REQUEST_SPACING_MS 200
/** Time until an unchanged VM list is sent to the domain again, ms. */
#define VM_LIST_RESEND_MS 60000

static void
take_heartbeat(jj_core_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static bool
is_process_lost(const jj_core_t *, const jj_seen_process_t *, jj_ms_t);
static bool is_leaving(const jj_core_t *, const jj_seen_process_t *);
static void
report_lost_vm(jj_core_t *, const jj_seen_process_t *, jj_ms_t, jj_actions_t *);
static void remember_process(jj_core_t *, const jj_member_info_t *);
static void send_config(jj_core_t *, const jj_name_t *, jj_actions_t *);
static bool is_in_remote_domain(const jj_core_t *, const jj_name_t *);
static void send_to_domain(jj_core_t *, jj_message_kind_t, uint64_t,
    const jj_bytes_t *, jj_actions_t *);
static void
take_vm_list(jj_core_t *, const jj_bytes_t *, jj_ms_t, jj_actions_t *);
static void
learn_listed_vm(void *, const jj_name_t *, const jj_name_t *, const char *);
static void send_vm_list(
    jj_core_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_job_events(const jj_bytes_t *, jj_actions_t *);
static jj_bytes_t encode_job_events(const jj_platform_result_t *);
static void add_job_change(jj_actions_t *, const char *, uint64_t);
static void take_server_down(jj_core_t *, const jj_crash_t *, jj_ms_t);
static void
take_crash_history(jj_core_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void
relay_between_domains(jj_core_t *, const jj_message_t *, jj_actions_t *);
static void
send_update(jj_core_t *, const jj_message_t *, bool, bool, jj_actions_t *);

void
jj_core_take_update(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	switch (message->kind) {
	case JJ_MESSAGE_HEARTBEAT:
		take_heartbeat(core, message, now, out);
		break;
	case JJ_MESSAGE_CONFIG_REQUEST:
		if (message->body.config.version <
		    jj_config_version(core->config))
			send_config(core, &message->from, out);
		break;
	case JJ_MESSAGE_CONFIG:
		core->config_source = is_in_remote_domain(core, &message->from)
		    ? JJ_CONFIG_FROM_REMOTE_DOMAIN
		    : JJ_CONFIG_FROM_LOCAL_DOMAIN;
		(void)jj_config_take(
		    core->config, &message->body.config.document, out);
		break;
	case JJ_MESSAGE_LOAD:
		jj_dispatch_take_loads(core->dispatch, &message->from,
		    message->body.load.loads, message->body.load.count, now);
		break;
	case JJ_MESSAGE_CRASH:
		jj_quarantine_take_crash(
		    core->quarantine, &message->body.crash, now, out);
		take_server_down(core, &message->body.crash, now);
		relay_between_domains(core, message, out);
		break;
	case JJ_MESSAGE_CRASH_HISTORY:
		take_crash_history(core, message, now, out);
		break;
	case JJ_MESSAGE_SERVER_STATE:
		jj_fleet_take_notice(core->fleet, &message->body.server, now);
		relay_between_domains(core, message, out);
		break;
	case JJ_MESSAGE_JOBS:
		take_job_events(&message->body.jobs.events, out);
		break;
	case JJ_MESSAGE_VMS:
		take_vm_list(core, &message->body.jobs.events, now, out);
		break;
	default:
		break;
	}
}

void
jj_core_take_server_state(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t update = {.kind = JJ_MESSAGE_SERVER_STATE};
	bool is_new = false;

	jj_fleet_note_state(core->fleet, &event->body.server.server,
	    event->body.server.state, event->body.server.boot, now, out,
	    &is_new);
	if (event->body.server.state == JJ_SERVER_UP)
		jj_dispatch_note_alive(
		    core->dispatch, &event->body.server.server, now, out);
	if (!is_new)
		return;
	update.body.server.server = event->body.server.server;
	update.body.server.boot = event->body.server.boot;
	update.body.server.state = event->body.server.state;
	send_update(
	    core, &update, true, jj_member_is_speaker(core->member), out);
}

void
jj_core_take_vms(jj_core_t *core, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	if (result->outcome != JJ_PLATFORM_OK)
		return;
	take_vm_list(core, &result->value, now, out);
	send_vm_list(core, result, now, out);
}

void
jj_core_take_job_changes(
    jj_core_t *core, const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_bytes_t events = encode_job_events(result);
	size_t i;

	for (i = 0; i < result->item_count; i++)
		add_job_change(
		    out, result->items[i].key, result->items[i].version);
	send_to_domain(core, JJ_MESSAGE_JOBS, result->version, &events, out);
	jj_bytes_free(&events);
}

void
jj_core_notify_job_events_lost(
    jj_core_t *core, uint64_t revision, jj_actions_t *out)
{
	jj_bytes_t events =
	    jj_bytes_from_text("[{\"key\":\"\",\"version\":0}]");

	add_job_change(out, "", 0);
	send_to_domain(core, JJ_MESSAGE_JOBS, revision, &events, out);
	jj_bytes_free(&events);
}

void
jj_core_spread_config(jj_core_t *core, jj_actions_t *out)
{
	size_t max = jj_member_count(core->member) + 1;
	jj_member_info_t *infos = jj_alloc(max * sizeof(*infos));
	size_t count = jj_member_list_all(core->member, infos, max);
	bool from_domain = core->config_source == JJ_CONFIG_FROM_LOCAL_DOMAIN;
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

void
jj_core_notice_lost_vms(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	jj_member_info_t members[JJ_LEDGER_SLOTS];
	size_t kept = 0;
	size_t i;

	for (i = 0; i < core->seen_count; i++) {
		if (is_process_lost(core, &core->seen[i], now))
			report_lost_vm(core, &core->seen[i], now, out);
		else if (!is_leaving(core, &core->seen[i]))
			core->seen[kept++] = core->seen[i];
	}
	core->seen_count = kept;
	/*
	 * Only the speakers of remote domains send heartbeats to this one:
	 * missing heartbeats of a remote VM do not show that it failed, nor
	 * does a network partition between domains.
	 */
	i = jj_member_list(
	    core->member, &core->settings.domain, members, JJ_LEDGER_SLOTS);
	while (i-- > 0)
		remember_process(core, &members[i]);
}

/*
 * Guards against work that is done twice: a VM without heartbeats for some
 * hundred milliseconds is alive, resumes its items and renews its claims, while
 * its neighbour claims and runs the same ones. A process that was replaced has
 * certainly ended, an unreachable one counts as lost only after lost_ms.
 */
static bool
is_process_lost(
    const jj_core_t *core, const jj_seen_process_t *seen, jj_ms_t now)
{
	const jj_member_info_t *info =
	    jj_member_find(core->member, &seen->name);

	return info == NULL || info->incarnation != seen->incarnation ||
	    jj_member_is_lost(core->member, &seen->name, 0, now);
}

/** A leaving VM hands over its own work. */
static bool
is_leaving(const jj_core_t *core, const jj_seen_process_t *seen)
{
	return jj_member_find(core->member, &seen->name)->state ==
	    JJ_VM_LEAVING;
}

static void
report_lost_vm(jj_core_t *core, const jj_seen_process_t *seen, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_member_info_t *info =
	    jj_member_find(core->member, &seen->name);
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_VM_LOST);
	bool replaced = info != NULL && info->incarnation != seen->incarnation;

	action->body.lost.name = seen->name;
	action->body.lost.incarnation = seen->incarnation;
	jj_actions_add_event(out, "vm_lost",
	    "lost=%s reason=%s heard_ms_ago=%lld", seen->name.text,
	    replaced ? "replaced" : "silent",
	    jj_ms_ago(info != NULL ? info->heard_ms : JJ_MS_NEVER, now));
}

static void
remember_process(jj_core_t *core, const jj_member_info_t *member)
{
	size_t i;

	if (!member->live || jj_name_equal(&member->name, &core->settings.name))
		return;
	for (i = 0; i < core->seen_count; i++)
		if (jj_name_equal(&core->seen[i].name, &member->name))
			return;
	if (core->seen_count == JJ_LEDGER_SLOTS)
		return;
	core->seen[core->seen_count].name = member->name;
	core->seen[core->seen_count].incarnation = member->incarnation;
	core->seen_count++;
}

bool
jj_core_awaits_crash_history(const jj_core_t *core, jj_ms_t now)
{
	return now < core->crash_history_due_ms &&
	    jj_member_has_peer_in(core->member, &core->settings.domain);
}

static void
take_heartbeat(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_heartbeat_t *heartbeat = &message->body.heartbeat;
	jj_message_t *request;

	jj_dispatch_take_loads(core->dispatch, &message->from, heartbeat->loads,
	    heartbeat->load_count, now);
	if (heartbeat->config_version > jj_config_version(core->config) &&
	    now >= core->next_config_request_ms) {
		core->next_config_request_ms = now + CONFIG_REQUEST_SPACING_MS;
		request = jj_actions_add_message(
		    out, &message->from, JJ_MESSAGE_CONFIG_REQUEST);
		request->body.config.version = jj_config_version(core->config);
	}
	if (jj_name_equal(&heartbeat->domain, &core->settings.domain) &&
	    heartbeat->slots_version > jj_ledger_version(core->ledger))
		jj_ledger_refresh(
		    core->ledger, heartbeat->slots_version, now, out);
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

static bool
is_in_remote_domain(const jj_core_t *core, const jj_name_t *name)
{
	const jj_member_info_t *info = jj_member_find(core->member, name);

	return info != NULL &&
	    !jj_name_equal(&info->domain, &core->settings.domain);
}

static void
send_to_domain(jj_core_t *core, jj_message_kind_t kind, uint64_t revision,
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

	jj_member_add_vm(core->member, name, domain, address);
}

/**
 * Sends the list, which is large and rarely changes, when it has changed or
 * VM_LIST_RESEND_MS has passed.
 */
static void
send_vm_list(jj_core_t *core, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	uint64_t hash =
	    jj_hash_bytes(result->value.data, result->value.size, 0);

	if (hash == core->list_hash && now < core->next_list_send_ms)
		return;
	core->list_hash = hash;
	core->next_list_send_ms = now + VM_LIST_RESEND_MS;
	send_to_domain(
	    core, JJ_MESSAGE_VMS, result->version, &result->value, out);
}

static void
take_job_events(const jj_bytes_t *events, jj_actions_t *out)
{
	json_t *array = json_loadb(events->data, events->size, 0, NULL);
	const json_t *entry;
	const char *key;
	size_t i;

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
add_job_change(jj_actions_t *out, const char *key, uint64_t version)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_JOB_CHANGED);

	(void)snprintf(action->body.job_change.key,
	    sizeof(action->body.job_change.key), "%s", key);
	action->body.job_change.version = version;
}

/**
 * A neighbour reported a crash: sends no new work there, unless the server was
 * seen up since.
 */
static void
take_server_down(jj_core_t *core, const jj_crash_t *crash, jj_ms_t now)
{
	jj_server_notice_t notice = {
	    crash->server, crash->boot, JJ_SERVER_DOWN};

	jj_fleet_take_notice(core->fleet, &notice, now);
}

/**
 * Guards against a domain in which only one VM has received the crash history
 * of a remote one: the others would run the requests that it refuses. Only what
 * is new here is relayed, so that it circulates once.
 */
static void
take_crash_history(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	bool remote = is_in_remote_domain(core, &message->from);

	if (jj_crash_history_take(core->quarantine, message, now, out))
		send_update(core, message, remote,
		    !remote && jj_member_is_speaker(core->member), out);
	if (!remote)
		core->crash_history_due_ms = now;
}

/**
 * Speakers relay updates about backend servers between domains: from their own
 * to the others, and from remote ones to their own. So a request that crashes
 * servers is known everywhere after its second crash, wherever it is resent,
 * and no VM sends work to a server that leaves.
 */
static void
relay_between_domains(
    jj_core_t *core, const jj_message_t *message, jj_actions_t *out)
{
	if (!jj_member_is_speaker(core->member))
		return;
	if (is_in_remote_domain(core, &message->from))
		send_update(core, message, true, false, out);
	else
		send_update(core, message, false, true, out);
}

/** Sends a crash, a crash history or a server's state to live VMs. */
static void
send_update(jj_core_t *core, const jj_message_t *message, bool domain,
    bool remote, jj_actions_t *out)
{
	size_t max = jj_member_count(core->member) + 1;
	jj_member_info_t *infos = jj_alloc(max * sizeof(*infos));
	size_t count = jj_member_list_all(core->member, infos, max);
	jj_message_t *copy;
	bool own;
	size_t i;

	for (i = 0; i < count; i++) {
		own = jj_name_equal(&infos[i].domain, &core->settings.domain);
		if (!infos[i].live || !(own ? domain : remote) ||
		    jj_name_equal(&infos[i].name, &core->settings.name))
			continue;
		copy =
		    jj_actions_add_message(out, &infos[i].name, message->kind);
		if (message->kind == JJ_MESSAGE_CRASH)
			copy->body.crash = message->body.crash;
		else if (message->kind == JJ_MESSAGE_CRASH_HISTORY) {
			copy->body.struck = message->body.struck;
			copy->body.struck.asks = false;
		} else
			copy->body.server = message->body.server;
	}
	free(infos);
}
