/**
 * @file gateway_servers.c
 * @brief The platform's list of servers, and server processes that restart.
 */
#include <stdio.h>

#include "core/gateway_state.h"

/**
 * The clocks of two healthy VMs differ by less than this, ms. An entry with a
 * later start time is invalid: if it were accepted, each correct one would look
 * like that of an earlier process.
 */
#define CLOCK_SKEW_MAX_MS 60000

static const char *read_entry(jj_gateway_t *, const jj_platform_item_t *,
    jj_slot_info_t *, char *, size_t);
static void log_learned(jj_gateway_t *, const jj_platform_item_t *,
    const jj_slot_info_t *, int64_t, jj_slots_update_t);

void
jj_gateway_begin_servers(void *ctx)
{
	jj_gateway_t *gateway = ctx;

	jj_slots_begin_list(gateway->slots);
}

/**
 * Guards against entries of other writers: one that can't be read, or with
 * values that no server writes, describes no usable server. If a process was
 * known by that id, it gets no new requests until its own entry is back; its
 * running requests continue.
 */
void
jj_gateway_take_server(void *ctx, const jj_platform_item_t *item)
{
	jj_gateway_t *gateway = ctx;
	const char *id = jj_object_name(item->key);
	const jj_slot_server_t *known = jj_slots_find(gateway->slots, id);
	int64_t before = known != NULL ? known->info.started_ms : 0;
	bool was_draining = known != NULL && known->info.draining;
	jj_slots_update_t learned;
	jj_slot_info_t info = {0};
	char why[100] = "";

	if (read_entry(gateway, item, &info, why, sizeof(why)) != NULL) {
		jj_actions_add_event(gateway->out, "server_unreadable",
		    "server=%s version=%llu known=%d why=\"%s\"", id,
		    (unsigned long long)item->version, known != NULL, why);
		jj_slots_note_unlisted(
		    gateway->slots, id, gateway->now, gateway->now);
		return;
	}
	learned = jj_slots_update(gateway->slots, &info, gateway->now);
	if (learned != JJ_SLOTS_KNOWN || was_draining != info.draining)
		log_learned(gateway, item, &info, before, learned);
}

void
jj_gateway_drop_server(void *ctx, const char *key)
{
	jj_gateway_t *gateway = ctx;

	jj_actions_add_event(
	    gateway->out, "server_unlisted", "server=%s", jj_object_name(key));
	jj_slots_note_unlisted(gateway->slots, jj_object_name(key),
	    gateway->now, gateway->now + gateway->settings.relist_grace_ms);
}

void
jj_gateway_end_servers(void *ctx, bool is_complete, jj_ms_t now)
{
	jj_gateway_t *gateway = ctx;

	if (!is_complete)
		jj_slots_keep_unlisted(gateway->slots);
	jj_slots_end_list(
	    gateway->slots, now, now + gateway->settings.relist_grace_ms);
}

void
jj_gateway_tick_servers(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	const jj_slot_server_t *server;

	while (
	    (server = jj_slots_accept_old_start(gateway->slots, now)) != NULL)
		jj_actions_add_event(out, "server_start_settled",
		    "server=%s started=%lld", server->info.id.text,
		    (long long)server->info.started_ms);
	jj_slots_tick(gateway->slots, now);
}

/** Returns what is wrong with the entry, or NULL. */
static const char *
read_entry(jj_gateway_t *gateway, const jj_platform_item_t *item,
    jj_slot_info_t *info, char *why, size_t why_size)
{
	int64_t unix_ms = gateway->port.unix_ms(gateway->port.ctx);

	if (!gateway->port.read_server(gateway->port.ctx,
		jj_object_name(item->key), &item->value, info, why, why_size))
		return why;
	if (info->started_ms <= unix_ms + CLOCK_SKEW_MAX_MS)
		return NULL;
	(void)snprintf(why, why_size, "it starts in %lld ms",
	    (long long)(info->started_ms - unix_ms));
	return why;
}

static void
log_learned(jj_gateway_t *gateway, const jj_platform_item_t *item,
    const jj_slot_info_t *info, int64_t before, jj_slots_update_t learned)
{
	static const char *const events[] = {
	    [JJ_SLOTS_KNOWN] = "server_listed",
	    [JJ_SLOTS_NEW] = "server_listed",
	    [JJ_SLOTS_RESTARTED] = "server_started_again",
	    [JJ_SLOTS_OLD_START] = "server_old_start",
	};

	jj_actions_add_event(gateway->out,
	    learned < JJ_SLOTS_RESTARTED && info->draining ? "server_draining"
							   : events[learned],
	    "server=%s service=%s software=%s domain=%s address=%s "
	    "version=%llu "
	    "started=%lld before=%lld draining=%d",
	    info->id.text, info->service.text, info->version.text,
	    info->domain.text, info->address, (unsigned long long)item->version,
	    (long long)info->started_ms, (long long)before, info->draining);
}
