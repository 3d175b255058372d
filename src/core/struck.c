/**
 * @file struck.c
 * @brief VMs that meet again tell each other which requests crash servers.
 */
#include <string.h>

#include "core/struck.h"

/**
 * Most that one VM tells another at once, two messages of 2.7 KB. More in the
 * time that a strike counts are not single requests that crash servers.
 */
#define TOLD_MOST ((size_t)2 * JJ_MESSAGE_STRUCK_MAX)

static void
tell(const jj_quarantine_t *, const jj_name_t *, bool, jj_ms_t, jj_actions_t *);

void
jj_struck_greet(const jj_quarantine_t *quarantine, jj_member_t *member,
    jj_ms_t now, jj_actions_t *out)
{
	jj_name_t name;

	while (jj_member_take_arrival(member, &name))
		tell(quarantine, &name, true, now, out);
}

bool
jj_struck_take(jj_quarantine_t *quarantine, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	bool news = jj_quarantine_take_struck(quarantine,
	    message->body.struck.entries, message->body.struck.count, now, out);

	if (message->body.struck.asks)
		tell(quarantine, &message->from, false, now, out);
	return news;
}

static void
tell(const jj_quarantine_t *quarantine, const jj_name_t *to, bool asks,
    jj_ms_t now, jj_actions_t *out)
{
	jj_struck_t entries[TOLD_MOST];
	size_t count = jj_quarantine_list(quarantine, now, entries, TOLD_MOST);
	jj_message_t *message;
	size_t told = 0;
	size_t part;

	do {
		part = count - told;
		if (part > JJ_MESSAGE_STRUCK_MAX)
			part = JJ_MESSAGE_STRUCK_MAX;
		message = jj_actions_add_message(out, to, JJ_MESSAGE_STRUCK);
		message->body.struck.asks = asks && told == 0;
		message->body.struck.count = (uint32_t)part;
		memcpy(message->body.struck.entries, entries + told,
		    part * sizeof(entries[0]));
		told += part;
	} while (told < count);
}
