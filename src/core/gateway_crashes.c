/**
 * @file gateway_crashes.c
 * @brief Servers that crashed while they ran requests, and servers that accept
 * no connections.
 */
#include <stdlib.h>

#include "core/gateway_state.h"

/**
 * Connections that break within this time at one server belong to one crash,
 * ms.
 */
#define CRASH_WINDOW_MS 300

static void
report_crash(jj_gateway_t *, const jj_slot_server_t *, jj_ms_t, jj_actions_t *);

void
jj_gateway_notify_unreachable(
    jj_gateway_t *gateway, const jj_slot_server_t *server)
{
	jj_member_info_t *infos;
	size_t count = jj_gateway_list_others(gateway, &infos);
	jj_message_t *message;
	size_t i;

	for (i = 0; i < count; i++) {
		message = jj_actions_add_message(
		    gateway->out, &infos[i].name, JJ_MESSAGE_SERVER_STATE);
		message->body.server.server = server->info.id;
		message->body.server.boot = server->hash;
		message->body.server.state = JJ_SERVER_DOWN;
	}
	free(infos);
}

void
jj_gateway_note_broken(jj_gateway_t *gateway, const jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_broken_t *broken;
	uint32_t same = 0;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < gateway->broken_count; i++)
		if (now - gateway->broken[i].ms <= CRASH_WINDOW_MS)
			gateway->broken[kept++] = gateway->broken[i];
	gateway->broken_count = kept;
	if (kept == JJ_GATEWAY_BROKEN_MAX)
		return;
	broken = &gateway->broken[gateway->broken_count++];
	broken->fingerprint = entry->first_seen ? 0 : entry->fingerprint;
	broken->server = entry->server->hash;
	broken->ms = now;
	for (i = 0; i < gateway->broken_count; i++)
		same += gateway->broken[i].server == broken->server;
	if (same > 1)
		report_crash(gateway, entry->server, now, out);
}

void
jj_gateway_note_unreachable(jj_gateway_t *gateway,
    const jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out)
{
	uint32_t i;

	for (i = 0; i < gateway->broken_count; i++)
		if (gateway->broken[i].server == server->hash)
			break;
	if (i < gateway->broken_count)
		report_crash(gateway, server, now, out);
}

static void
report_crash(jj_gateway_t *gateway, const jj_slot_server_t *server, jj_ms_t now,
    jj_actions_t *out)
{
	jj_member_info_t *infos;
	jj_crash_t crash = {0};
	size_t count;
	size_t i;

	crash.server = server->info.id;
	/*
	 * The report names the process that crashed, which may have been
	 * replaced under the same id.
	 */
	crash.boot = server->hash;
	for (i = 0; i < gateway->broken_count &&
	     crash.suspect_count < JJ_MESSAGE_SUSPECTS_MAX;
	     i++)
		if (gateway->broken[i].server == server->hash &&
		    gateway->broken[i].fingerprint != 0)
			crash.suspects[crash.suspect_count++] =
			    gateway->broken[i].fingerprint;
	if (crash.suspect_count == 0)
		return;
	jj_quarantine_take_crash(gateway->quarantine, &crash, now, out);
	count = jj_gateway_list_others(gateway, &infos);
	for (i = 0; i < count; i++)
		jj_actions_add_message(out, &infos[i].name, JJ_MESSAGE_CRASH)
		    ->body.crash = crash;
	free(infos);
}
