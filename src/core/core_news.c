/**
 * @file core_news.c
 * @brief What VMs tell each other: configuration, lists, jobs and deaths.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/core_news.h"
#include "core/core_state.h"
#include "core/crash_history.h"

/** Least time between asks for a configuration, ms. */
#define CONFIG_ASK_MS 200
/** An unchanged VM list is told to the domain again after, ms. */
#define LIST_TELL_MS 60000

static void
take_heartbeat(jj_core_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static bool is_gone(const jj_core_t *, const jj_seen_t *, jj_ms_t);
static bool is_leaving(const jj_core_t *, const jj_seen_t *);
static void tell_lost(jj_core_t *, const jj_seen_t *, jj_ms_t, jj_actions_t *);
static void note_seen(jj_core_t *, const jj_member_info_t *);
static void send_config(jj_core_t *, const jj_name_t *, jj_actions_t *);
static bool is_abroad(const jj_core_t *, const jj_name_t *);
static void tell_domain(jj_core_t *, jj_message_kind_t, uint64_t,
    const jj_bytes_t *, jj_actions_t *);
static void
take_vm_list(jj_core_t *, const jj_bytes_t *, jj_ms_t, jj_actions_t *);
static void
learn_listed_vm(void *, const jj_name_t *, const jj_name_t *, const char *);
static void tell_vm_list(
    jj_core_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_job_events(const jj_bytes_t *, jj_actions_t *);
static jj_bytes_t encode_job_events(const jj_platform_result_t *);
static void add_job_change(jj_actions_t *, const char *, uint64_t);
static void take_death(jj_core_t *, const jj_crash_t *, jj_ms_t);
static void
take_struck(jj_core_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void pass_on(jj_core_t *, const jj_message_t *, jj_actions_t *);
static void
tell_news(jj_core_t *, const jj_message_t *, bool, bool, jj_actions_t *);

void
jj_core_take_news(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
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
	case JJ_MESSAGE_CRASH:
		jj_quarantine_take_crash(
		    core->quarantine, &message->body.crash, now, out);
		take_death(core, &message->body.crash, now);
		pass_on(core, message, out);
		break;
	case JJ_MESSAGE_STRUCK:
		take_struck(core, message, now, out);
		break;
	case JJ_MESSAGE_SERVER_STATE:
		jj_fleet_take_notice(core->fleet, &message->body.server, now);
		pass_on(core, message, out);
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
	jj_message_t news = {.kind = JJ_MESSAGE_SERVER_STATE};
	bool is_news = false;

	jj_fleet_note(core->fleet, &event->body.server.server,
	    event->body.server.state, event->body.server.boot, now, out,
	    &is_news);
	if (event->body.server.state == JJ_SERVER_UP)
		jj_dispatch_note_alive(
		    core->dispatch, &event->body.server.server, now, out);
	if (!is_news)
		return;
	news.body.server.server = event->body.server.server;
	news.body.server.boot = event->body.server.boot;
	news.body.server.state = event->body.server.state;
	tell_news(core, &news, true, jj_member_is_speaker(core->member), out);
}

void
jj_core_take_vms(jj_core_t *core, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	if (result->outcome != JJ_PLATFORM_OK)
		return;
	take_vm_list(core, &result->value, now, out);
	tell_vm_list(core, result, now, out);
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
	tell_domain(core, JJ_MESSAGE_JOBS, result->version, &events, out);
	jj_bytes_free(&events);
}

void
jj_core_tell_lost_job_events(
    jj_core_t *core, uint64_t revision, jj_actions_t *out)
{
	jj_bytes_t events =
	    jj_bytes_from_text("[{\"key\":\"\",\"version\":0}]");

	add_job_change(out, "", 0);
	tell_domain(core, JJ_MESSAGE_JOBS, revision, &events, out);
	jj_bytes_free(&events);
}

void
jj_core_spread_config(jj_core_t *core, jj_actions_t *out)
{
	size_t most = jj_member_count(core->member) + 1;
	jj_member_info_t *infos = jj_alloc(most * sizeof(*infos));
	size_t count = jj_member_list_all(core->member, infos, most);
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

void
jj_core_notice_lost_vms(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	jj_member_info_t members[JJ_LEDGER_SLOTS];
	size_t kept = 0;
	size_t i;

	for (i = 0; i < core->seen_count; i++) {
		if (is_gone(core, &core->seen[i], now))
			tell_lost(core, &core->seen[i], now, out);
		else if (!is_leaving(core, &core->seen[i]))
			core->seen[kept++] = core->seen[i];
	}
	core->seen_count = kept;
	/*
	 * Of other domains only speakers are heard: a VM abroad that falls
	 * silent is no sign of death, nor is a cut between domains.
	 */
	i = jj_member_list(
	    core->member, &core->settings.domain, members, JJ_LEDGER_SLOTS);
	while (i-- > 0)
		note_seen(core, &members[i]);
}

/*
 * Guards against work that is done twice: a VM that was silent for some
 * hundred milliseconds lives, goes on with its items and renews its claims,
 * while its neighbour claims and runs the same ones. A process that was
 * replaced is gone for sure, a silent one only after lost_ms.
 */
static bool
is_gone(const jj_core_t *core, const jj_seen_t *seen, jj_ms_t now)
{
	const jj_member_info_t *info =
	    jj_member_find(core->member, &seen->name);

	return info == NULL || info->incarnation != seen->incarnation ||
	    jj_member_is_lost(core->member, &seen->name, 0, now);
}

/** It hands over what it has itself. */
static bool
is_leaving(const jj_core_t *core, const jj_seen_t *seen)
{
	return jj_member_find(core->member, &seen->name)->state ==
	    JJ_VM_LEAVING;
}

static void
tell_lost(
    jj_core_t *core, const jj_seen_t *seen, jj_ms_t now, jj_actions_t *out)
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
note_seen(jj_core_t *core, const jj_member_info_t *member)
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
jj_core_is_unheard(const jj_core_t *core, jj_ms_t now)
{
	return now < core->unheard_until_ms &&
	    jj_member_knows_other(core->member, &core->settings.domain);
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
is_abroad(const jj_core_t *core, const jj_name_t *name)
{
	const jj_member_info_t *info = jj_member_find(core->member, name);

	return info != NULL &&
	    !jj_name_equal(&info->domain, &core->settings.domain);
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

/** A neighbour's word of a death: no new work there, unless seen up since. */
static void
take_death(jj_core_t *core, const jj_crash_t *crash, jj_ms_t now)
{
	jj_server_notice_t notice = {
	    crash->server, crash->boot, JJ_SERVER_DOWN};

	jj_fleet_take_notice(core->fleet, &notice, now);
}

/**
 * Guards against a domain of which one VM alone has met one abroad: the
 * others would run what that one refuses. Only what is new here goes on, so
 * that it goes round once.
 */
static void
take_struck(jj_core_t *core, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	bool abroad = is_abroad(core, &message->from);

	if (jj_struck_take(core->quarantine, message, now, out))
		tell_news(core, message, abroad,
		    !abroad && jj_member_is_speaker(core->member), out);
	if (!abroad)
		core->unheard_until_ms = now;
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

/** Sends a crash, past crashes or a server's state to live VMs. */
static void
tell_news(jj_core_t *core, const jj_message_t *message, bool domain,
    bool abroad, jj_actions_t *out)
{
	size_t most = jj_member_count(core->member) + 1;
	jj_member_info_t *infos = jj_alloc(most * sizeof(*infos));
	size_t count = jj_member_list_all(core->member, infos, most);
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
		else if (message->kind == JJ_MESSAGE_STRUCK) {
			copy->body.struck = message->body.struck;
			copy->body.struck.asks = false;
		} else
			copy->body.server = message->body.server;
	}
	free(infos);
}
