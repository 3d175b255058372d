/**
 * @file gateway_updates.c
 * @brief Messages between VMs: loads, crash reports, ended jobs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/gateway_state.h"

/**
 * Interval between checks for VMs that no longer send heartbeats, ms; the
 * heartbeat timeout itself is eight times as long.
 */
#define STALE_CHECK_MS 200
/**
 * The interval between load reports to a region grows by one base interval for
 * each so many VMs.
 */
#define VMS_PER_INTERVAL 12

static void take_heartbeat(jj_gateway_t *, const jj_message_t *, jj_ms_t);
static void
take_states(jj_gateway_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static bool forget_if_stale(void *, const jj_name_t *);
static void send_loads_to_all(jj_gateway_t *, jj_actions_t *);
static void send_loads_to_domain(jj_gateway_t *, jj_actions_t *);
static void send_loads_to_users(jj_gateway_t *, jj_actions_t *);
static void
send_loads(const jj_name_t *, const jj_load_t *, uint32_t, jj_actions_t *);
static void
add_load(GHashTable *, const jj_name_t *, const jj_load_t *, jj_actions_t *);
static bool are_heartbeats_enough(const jj_gateway_t *);
static jj_ms_t remote_interval(const jj_gateway_t *);

void
jj_gateway_take_peer_message(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	jj_slot_server_t *server;

	switch (message->kind) {
	case JJ_MESSAGE_HEARTBEAT:
		take_heartbeat(gateway, message, now);
		break;
	case JJ_MESSAGE_CONFIG_REQUEST:
	case JJ_MESSAGE_CONFIG:
		jj_gateway_take_config_message(gateway, message, now, out);
		break;
	case JJ_MESSAGE_LOAD:
		jj_slots_take_loads(gateway->slots, &message->from,
		    message->body.load.loads, message->body.load.count, false);
		break;
	case JJ_MESSAGE_CRASH:
		jj_gateway_take_crash(gateway, &message->body.crash, now, out);
		break;
	case JJ_MESSAGE_UNANSWERED:
		jj_gateway_take_unanswered(gateway, message, now);
		break;
	case JJ_MESSAGE_UNANSWERED_PARTS:
	case JJ_MESSAGE_PART_CRASHES:
	case JJ_MESSAGE_PARTS_COMPLETED:
		jj_gateway_take_parts_message(gateway, message, now, out);
		break;
	case JJ_MESSAGE_CRASH_HISTORY:
		if (message->body.struck.asks)
			jj_gateway_send_part_history(
			    gateway, &message->from, now, out);
		jj_gateway_take_crash_history(gateway, message, now, out);
		break;
	case JJ_MESSAGE_SERVER_STATE:
		if (message->body.server.state == JJ_SERVER_UP) {
			jj_gateway_take_server_up(
			    gateway, &message->body.server, now, out);
			break;
		}
		server = jj_slots_find_hash(
		    gateway->slots, message->body.server.boot);
		if (server != NULL &&
		    message->body.server.state == JJ_SERVER_DOWN)
			jj_slots_note_remote_failure(server, now);
		break;
	case JJ_MESSAGE_BORROW:
		jj_gateway_take_borrow_request(gateway, message, now, out);
		break;
	case JJ_MESSAGE_BORROW_RESULT:
		jj_gateway_take_borrow_result(gateway, message, now, out);
		break;
	case JJ_MESSAGE_YIELD:
		server =
		    jj_slots_find_hash(gateway->slots, message->body.yield);
		if (server != NULL)
			(void)jj_gateway_preempt(
			    gateway, server, message->from.text, now, out);
		break;
	case JJ_MESSAGE_RELAY:
		jj_gateway_take_relay(gateway, &message->body.relay, now, out);
		break;
	case JJ_MESSAGE_JOB_STATES:
		take_states(gateway, message, now, out);
		break;
	case JJ_MESSAGE_JOB_READ:
		jj_inline_take_peer_read(gateway->jobs, message, out);
		break;
	case JJ_MESSAGE_JOB_PAGE:
		jj_inline_take_peer_page(gateway->jobs, message, now, out);
		break;
	case JJ_MESSAGE_TEAM_USE:
	case JJ_MESSAGE_TEAM_GRANT:
		jj_gateway_take_team_message(gateway, message, now, out);
		break;
	case JJ_MESSAGE_SERVER_OUTCOMES:
		jj_gateway_take_outcomes(gateway, message, now, out);
		break;
	case JJ_MESSAGE_SHARE_DEMAND:
	case JJ_MESSAGE_SHARE_LEVEL:
		jj_gateway_take_share_message(gateway, message, now, out);
		break;
	case JJ_MESSAGE_STREAM_ORIGINS:
	case JJ_MESSAGE_ORIGIN_QUERY:
	case JJ_MESSAGE_ORIGIN_REPLY:
		jj_gateway_take_origin_message(gateway, message, now, out);
		break;
	case JJ_MESSAGE_JOB_ENDED:
		jj_inline_take_ended(
		    gateway->jobs, message->body.job_ended, now, out);
		break;
	default:
		break;
	}
}

/**
 * Guards against old job states taken as new: on a VM that is slow or was
 * paused a message may wait for a second before it is read, and readers would
 * be told that there is no result where others have read one. The sequence
 * number that the sender acknowledges bounds the age of the message.
 */
static void
take_states(jj_gateway_t *gateway, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	jj_ms_t written =
	    jj_member_ack_time(gateway->member, message->body.job_states.ack);

	if (written == JJ_MS_NEVER)
		return;
	jj_inline_take_states(gateway->jobs, &message->from,
	    message->body.job_states.states, message->body.job_states.count,
	    written, now, out);
}

void
jj_gateway_mark_loads_changed(jj_gateway_t *gateway)
{
	gateway->local_loads_changed = true;
	gateway->remote_loads_changed = true;
}

void
jj_gateway_report_loads(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	if (are_heartbeats_enough(gateway))
		gateway->remote_loads_changed = false;
	if (gateway->remote_loads_changed &&
	    now >= gateway->next_remote_loads_ms) {
		send_loads_to_all(gateway, out);
		gateway->remote_loads_changed = false;
		gateway->local_loads_changed = false;
		gateway->next_local_loads_ms =
		    now + gateway->settings.tell_near_ms;
		gateway->next_remote_loads_ms = now + remote_interval(gateway);
	} else if (gateway->local_loads_changed &&
	    now >= gateway->next_local_loads_ms) {
		if (are_heartbeats_enough(gateway))
			send_loads_to_users(gateway, out);
		else
			send_loads_to_domain(gateway, out);
		gateway->local_loads_changed = false;
		gateway->next_local_loads_ms =
		    now + gateway->settings.tell_near_ms;
	}
}

void
jj_gateway_drop_stale_loads(jj_gateway_t *gateway, jj_ms_t now)
{
	if (now < gateway->next_stale_check_ms)
		return;
	gateway->next_stale_check_ms = now + STALE_CHECK_MS;
	jj_slots_forget_neighbours(gateway->slots, forget_if_stale, gateway);
}

void
jj_gateway_notify_job_ended(void *ctx, const char *writer, const char *id)
{
	jj_gateway_t *gateway = ctx;
	jj_name_t name;
	jj_message_t *message;

	if (jj_writer_split(writer, &name) == NULL ||
	    jj_member_find(gateway->member, &name) == NULL)
		return;
	message =
	    jj_actions_add_message(gateway->out, &name, JJ_MESSAGE_JOB_ENDED);
	(void)snprintf(
	    message->body.job_ended, sizeof(message->body.job_ended), "%s", id);
}

static void
take_heartbeat(jj_gateway_t *gateway, const jj_message_t *message, jj_ms_t now)
{
	const jj_heartbeat_t *heartbeat = &message->body.heartbeat;

	jj_slots_take_loads(gateway->slots, &message->from, heartbeat->loads,
	    heartbeat->load_count, true);
	jj_gateway_note_vm(
	    gateway, &message->from, &heartbeat->failure_domain, 0);
	jj_gateway_note_peer_config(
	    gateway, &message->from, heartbeat->config_version, now);
}

/**
 * Each VM sends load reports to all others of the region. The interval grows
 * with their number, so that the traffic of a VM stays about the same.
 */
static jj_ms_t
remote_interval(const jj_gateway_t *gateway)
{
	return gateway->settings.tell_far_ms *
	    (jj_ms_t)(1 + gateway->vm_count / VMS_PER_INTERVAL);
}

/**
 * True when load reports to the whole region would come no earlier than
 * heartbeats, which carry all loads.
 */
static bool
are_heartbeats_enough(const jj_gateway_t *gateway)
{
	return remote_interval(gateway) >=
	    gateway->settings.member.heartbeat_ms;
}

static bool
forget_if_stale(void *ctx, const jj_name_t *vm)
{
	jj_gateway_t *gateway = ctx;
	const jj_member_info_t *info = jj_member_find(gateway->member, vm);

	if (info != NULL && info->live)
		return false;
	jj_actions_add_event(gateway->out, "loads_forgotten",
	    "peer=%s heard_ms_ago=%lld", vm->text,
	    jj_ms_ago(
		info != NULL ? info->heard_ms : JJ_MS_NEVER, gateway->now));
	return true;
}

static void
send_loads_to_all(jj_gateway_t *gateway, jj_actions_t *out)
{
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	jj_member_info_t *infos;
	size_t vms = jj_gateway_list_others(gateway, &infos);
	uint32_t count;
	size_t i;

	while ((count = jj_slots_take_changes(gateway->slots,
		    JJ_SLOTS_SCOPE_ALL, loads, JJ_MESSAGE_LOADS_MAX)) > 0) {
		for (i = 0; i < vms; i++)
			send_loads(&infos[i].name, loads, count, out);
	}
	free(infos);
}

static void
send_loads_to_domain(jj_gateway_t *gateway, jj_actions_t *out)
{
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	uint32_t count;
	size_t i;

	while ((count = jj_slots_take_changes(gateway->slots,
		    JJ_SLOTS_SCOPE_DOMAIN, loads, JJ_MESSAGE_LOADS_MAX)) > 0) {
		for (i = 0; i < gateway->vm_count; i++)
			if (jj_gateway_is_local(gateway, &gateway->vms[i]))
				send_loads(
				    &gateway->vms[i].name, loads, count, out);
	}
}

static void
send_loads(const jj_name_t *to, const jj_load_t *loads, uint32_t count,
    jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, to, JJ_MESSAGE_LOAD);

	message->body.load.count = count;
	memcpy(message->body.load.loads, loads, count * sizeof(loads[0]));
}

/**
 * Sends each changed load to the VMs that use that server, in whichever failure
 * domain it is.
 */
static void
send_loads_to_users(jj_gateway_t *gateway, jj_actions_t *out)
{
	size_t max_count = gateway->vm_count + 1;
	const jj_name_t **users = jj_alloc(max_count * sizeof(void *));
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	const jj_slot_server_t *server;
	GHashTable *messages;
	uint32_t count;
	size_t user_count;
	uint32_t i;
	size_t j;

	while ((count = jj_slots_take_changes(gateway->slots,
		    JJ_SLOTS_SCOPE_DOMAIN, loads, JJ_MESSAGE_LOADS_MAX)) > 0) {
		messages = g_hash_table_new(g_str_hash, g_str_equal);
		for (i = 0; i < count; i++) {
			server =
			    jj_slots_find_hash(gateway->slots, loads[i].server);
			user_count = server == NULL
			    ? 0
			    : jj_slots_list_users(
				  gateway->slots, server, users, max_count);
			for (j = 0; j < user_count; j++)
				add_load(messages, users[j], &loads[i], out);
		}
		g_hash_table_destroy(messages);
	}
	free(users);
}

/** Adds a load to the message to that VM, which is created if need be. */
static void
add_load(GHashTable *messages, const jj_name_t *to, const jj_load_t *load,
    jj_actions_t *out)
{
	jj_message_t *message = g_hash_table_lookup(messages, to->text);

	if (message == NULL) {
		message = jj_actions_add_message(out, to, JJ_MESSAGE_LOAD);
		(void)g_hash_table_insert(
		    messages, (gpointer)to->text, message);
	}
	message->body.load.loads[message->body.load.count++] = *load;
}
