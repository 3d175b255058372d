/**
 * @file gateway_config.c
 * @brief How a configuration gets from the VMs that know it to the others.
 *
 * Each VM learns it from the platform, by itself or through its domain's
 * relay. Who knows a newer one than others only says so; a VM that still does
 * not have it after a while asks one that does. A configuration may have a
 * megabyte: sent by each VM to all that seemed to be behind, one of 0.3 MB
 * filled 57 links of 30 Mbit/s for eight seconds, VMs missed each other and
 * servers that left were sent requests. Of a change on 66 VMs, 30 MB went out
 * from each VM within two seconds; now it is some hundred bytes.
 */
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

/**
 * Of the time in which news is due, the part that a VM waits for its own watch
 * before it asks; asks that are not answered are repeated after once, twice,
 * four times as long, so that there are three in that time.
 */
#define WAIT_PART 6
/**
 * Most documents that one VM sends within that part. Who gets none asks
 * another one: those that have it are five times as many with each round, so
 * two rounds reach 25 VMs and three 125.
 */
#define SENDS_MOST 4

static void log_behind(jj_gateway_t *, jj_ms_t, jj_actions_t *);
static jj_ms_t wait_ms(const jj_gateway_t *);
static void await(jj_gateway_t *, jj_ms_t);
static void ask(jj_gateway_t *, jj_ms_t, jj_actions_t *);
static bool choose_holder(jj_gateway_t *, jj_name_t *);
static void announce(jj_gateway_t *);
static void
send_document(jj_gateway_t *, const jj_name_t *, jj_ms_t, jj_actions_t *);

bool
jj_gateway_take_config(
    jj_gateway_t *gateway, const jj_bytes_t *object, const char *from)
{
	jj_routes_t routes = {0};
	char why[200] = "";

	if (!gateway->port.read_routes(
		gateway->port.ctx, object, &routes, why, sizeof(why))) {
		jj_actions_add_event(gateway->out, "config_unreadable",
		    "from=%s bytes=%zu in_force=%llu why=%.150s", from,
		    object->size, (unsigned long long)gateway->routes.version,
		    why);
		gateway->config.unreadable = true;
		return false;
	}
	/*
	 * Guards against going back: an older version may come late, from a
	 * stale read, a neighbour that knows less or a watch that was cut.
	 */
	if (routes.version <= gateway->routes.version) {
		jj_routes_clear(&routes);
		return false;
	}
	jj_actions_add_event(gateway->out, "config_in_force",
	    "version=%llu before=%llu from=%s routes=%zu bytes=%zu",
	    (unsigned long long)routes.version,
	    (unsigned long long)gateway->routes.version, from,
	    routes.route_count, object->size);
	if (routes.unreadable > 0)
		jj_actions_add_event(gateway->out, "routes_unreadable",
		    "version=%llu count=%zu last=%.150s",
		    (unsigned long long)routes.version, routes.unreadable, why);
	jj_routes_clear(&gateway->routes);
	gateway->routes = routes;
	gateway->config.unreadable = false;
	jj_bytes_free(&gateway->config_object);
	gateway->config_object = jj_bytes_copy(object->data, object->size);
	gateway->port.on_routes(gateway->port.ctx, &gateway->routes);
	await(gateway, gateway->now);
	announce(gateway);
	return true;
}

void
jj_gateway_hear_config(
    jj_gateway_t *gateway, const jj_name_t *from, uint64_t version, jj_ms_t now)
{
	jj_member_note_config(gateway->member, from, version);
	if (version <= gateway->config.heard)
		return;
	gateway->config.heard = version;
	if (gateway->config.awaited <= gateway->routes.version)
		await(gateway, now);
}

void
jj_gateway_take_config_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	uint64_t version = message->body.config.version;

	if (message->kind == JJ_MESSAGE_CONFIG_ASK) {
		if (version < gateway->routes.version)
			send_document(gateway, &message->from, now, out);
		return;
	}
	jj_gateway_hear_config(gateway, &message->from, version, now);
	if (message->body.config.document.size > 0 &&
	    version > gateway->routes.version)
		(void)jj_gateway_take_config(gateway,
		    &message->body.config.document, message->from.text);
}

bool
jj_gateway_is_behind(const jj_gateway_t *gateway)
{
	return gateway->routes.version == 0 || gateway->config.unreadable ||
	    gateway->config.heard > gateway->routes.version;
}

void
jj_gateway_tick_config(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	log_behind(gateway, now, out);
	if (gateway->config.awaited <= gateway->routes.version ||
	    now < gateway->config.ask_ms)
		return;
	ask(gateway, now, out);
}

/** After the time in which news is due, then each time after twice as long. */
static void
log_behind(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_config_t *config = &gateway->config;
	bool was_behind = config->behind;

	config->behind = jj_gateway_is_behind(gateway);
	if (!config->behind)
		return;
	if (!was_behind) {
		config->behind_ms = now;
		config->log_ms = now + gateway->settings.news_ms;
	}
	if (now < config->log_ms)
		return;
	config->log_ms = now + (now - config->behind_ms);
	jj_actions_add_event(out, "config_behind",
	    "in_force=%llu heard=%llu unreadable=%d for_ms=%lld "
	    "platform_reached=%d",
	    (unsigned long long)gateway->routes.version,
	    (unsigned long long)config->heard, config->unreadable,
	    (long long)(now - config->behind_ms), gateway->unreached_ms == 0);
}

static jj_ms_t
wait_ms(const jj_gateway_t *gateway)
{
	return gateway->settings.news_ms / WAIT_PART;
}

/**
 * The newest version that was heard of is waited for from now on, if it is not
 * here. One that is waited for already is not replaced by a newer one: where
 * changes come in a row, each would begin the wait anew.
 */
static void
await(jj_gateway_t *gateway, jj_ms_t now)
{
	jj_gateway_config_t *config = &gateway->config;

	if (config->awaited > gateway->routes.version ||
	    config->heard <= gateway->routes.version)
		return;
	config->awaited = config->heard;
	config->ask_again_ms = wait_ms(gateway);
	config->ask_ms = now;
	/* What does not come from the platform need not be waited for. */
	if (gateway->routes.version > 0 && gateway->unreached_ms == 0)
		config->ask_ms += config->ask_again_ms;
}

static void
ask(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_config_t *config = &gateway->config;
	jj_message_t *message;
	jj_name_t holder;

	config->ask_ms = now + config->ask_again_ms;
	if (!choose_holder(gateway, &holder))
		return;
	config->ask_again_ms *= 2;
	message = jj_actions_add_message(out, &holder, JJ_MESSAGE_CONFIG_ASK);
	message->body.config.version = gateway->routes.version;
	jj_actions_add_event(out, "config_asked",
	    "peer=%s version=%llu heard=%llu again_ms=%lld", holder.text,
	    (unsigned long long)gateway->routes.version,
	    (unsigned long long)config->heard, (long long)config->ask_again_ms);
}

/**
 * One of those that have a newer one, of the own failure domain if there is
 * one there, of another region too.
 */
static bool
choose_holder(jj_gateway_t *gateway, jj_name_t *holder)
{
	size_t most = jj_member_count(gateway->member) + 1;
	jj_member_info_t *infos = jj_alloc(most * sizeof(*infos));
	size_t count = jj_member_list_all(gateway->member, infos, most);
	uint64_t random = jj_gateway_random(gateway);
	uint64_t best = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		uint64_t weight = 1 +
		    (jj_hash_bytes(infos[i].name.text,
			 strlen(infos[i].name.text), random) >>
			2);

		if (!infos[i].live ||
		    infos[i].config_version <= gateway->routes.version)
			continue;
		if (jj_gateway_is_in_domain(gateway, &infos[i].name))
			weight |= UINT64_C(1) << 63;
		if (weight <= best)
			continue;
		best = weight;
		*holder = infos[i].name;
	}
	free(infos);
	return best > 0;
}

/** To those that are not known to have it; a version only. */
static void
announce(jj_gateway_t *gateway)
{
	jj_member_info_t *infos;
	size_t count = jj_gateway_list_others(gateway, &infos);
	jj_message_t *message;
	size_t i;

	for (i = 0; i < count; i++) {
		if (infos[i].config_version >= gateway->routes.version)
			continue;
		message = jj_actions_add_message(
		    gateway->out, &infos[i].name, JJ_MESSAGE_CONFIG);
		message->body.config.version = gateway->routes.version;
	}
	free(infos);
}

static void
send_document(
    jj_gateway_t *gateway, const jj_name_t *to, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_config_t *config = &gateway->config;
	jj_message_t *message;

	if (gateway->config_object.size == 0)
		return;
	if (now - config->sends_ms >= wait_ms(gateway)) {
		config->sends_ms = now;
		config->sends = 0;
	}
	if (config->sends >= SENDS_MOST) {
		jj_actions_add_event(out, "config_not_sent",
		    "peer=%s version=%llu sends=%u", to->text,
		    (unsigned long long)gateway->routes.version, config->sends);
		return;
	}
	config->sends++;
	message = jj_actions_add_message(out, to, JJ_MESSAGE_CONFIG);
	message->body.config.version = gateway->routes.version;
	message->body.config.document = jj_bytes_copy(
	    gateway->config_object.data, gateway->config_object.size);
}
