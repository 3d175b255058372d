/**
 * @file crash_history.c
 * @brief VMs exchange which requests crash servers when they connect again.
 */
#include <string.h>

#include "core/crash_history.h"

/**
 * Maximum number of entries that one VM sends another at once, two messages of
 * 2.7 KB. More within the time that a crash counts would not be single requests
 * that crash servers.
 */
#define ENTRIES_MAX ((size_t)2 * JJ_MESSAGE_CRASH_HISTORY_MAX)

static void send_entries(
    const jj_quarantine_t *, const jj_name_t *, bool, jj_ms_t, jj_actions_t *);

void
jj_crash_history_send_to_arrival(const jj_quarantine_t *quarantine,
    const jj_name_t *name, jj_ms_t now, jj_actions_t *out)
{
	send_entries(quarantine, name, true, now, out);
}

bool
jj_crash_history_take(jj_quarantine_t *quarantine, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	bool changed = jj_quarantine_take_history(quarantine,
	    message->body.struck.entries, message->body.struck.count, now, out);

	if (message->body.struck.asks)
		send_entries(quarantine, &message->from, false, now, out);
	return changed;
}

static void
send_entries(const jj_quarantine_t *quarantine, const jj_name_t *to,
    bool request_reply, jj_ms_t now, jj_actions_t *out)
{
	jj_crash_record_t entries[ENTRIES_MAX];
	size_t count =
	    jj_quarantine_list(quarantine, now, entries, ENTRIES_MAX);
	jj_message_t *message;
	size_t sent = 0;
	size_t part;

	do {
		part = count - sent;
		if (part > JJ_MESSAGE_CRASH_HISTORY_MAX)
			part = JJ_MESSAGE_CRASH_HISTORY_MAX;
		message =
		    jj_actions_add_message(out, to, JJ_MESSAGE_CRASH_HISTORY);
		message->body.struck.asks = request_reply && sent == 0;
		message->body.struck.count = (uint32_t)part;
		memcpy(message->body.struck.entries, entries + sent,
		    part * sizeof(entries[0]));
		sent += part;
	} while (sent < count);
}
