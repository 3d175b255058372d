/**
 * @file gateway_config.c
 * @brief How a configuration spreads from the VMs that have it to the others.
 *
 * Each VM reads it from the platform, by its own watch or through the relay of
 * its failure domain. A VM that has a newer version than others sends them the
 * version number only. A VM that still lacks that version after a while
 * requests the document from one that has it. A configuration may have a
 * megabyte: when each VM sent the document to all that seemed to be behind, one
 * of 0.3 MB filled 57 links of 30 Mbit/s for eight seconds, heartbeats were
 * lost and stopping servers were still sent requests. For one change on 66 VMs
 * each VM sent 30 MB within two seconds; now it sends some hundred bytes.
 */
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

/**
 * A VM waits news_ms / WAIT_DIVISOR for its own watch before it requests the
 * document. Unanswered requests are repeated after once, twice and four times
 * that time, so that there are three of them within news_ms.
 */
#define WAIT_DIVISOR 6
/**
 * Longest interval between such requests, in units of the first one: less than
 * news_ms, so that a VM that was unreachable has the document soon afterwards.
 */
#define REQUEST_INTERVAL_MAX 4
/**
 * Maximum number of documents that one VM sends within that time. A VM that
 * gets none requests it from another one: with each round five times as many
 * VMs have it, so two rounds reach 25 VMs and three 125.
 */
#define DOCUMENTS_MAX 4

static void log_stale_config(jj_gateway_t *, jj_ms_t, jj_actions_t *);
static jj_ms_t wait_ms(const jj_gateway_t *);
static void start_wait(jj_gateway_t *, jj_ms_t);
static void request_document(jj_gateway_t *, jj_ms_t, jj_actions_t *);
static bool choose_holder(jj_gateway_t *, jj_name_t *);
static void announce_version(jj_gateway_t *);
static void
send_document(jj_gateway_t *, const jj_name_t *, jj_ms_t, jj_actions_t *);

bool
jj_gateway_take_config(
    jj_gateway_t *gateway, const jj_bytes_t *object, const char *from)
{
	jj_routes_t routes = {0};
	char why[200] = "";
	const char *problem;

	if (!gateway->port.read_routes(
		gateway->port.ctx, object, &routes, why, sizeof(why))) {
		jj_actions_add_event(gateway->out, "config_unreadable",
		    "from=%s bytes=%zu in_force=%llu why=%.150s", from,
		    object->size, (unsigned long long)gateway->routes->version,
		    why);
		gateway->config.unreadable = true;
		return false;
	}
	/*
	 * Guards against a return to an older version, which may come late from
	 * a stale read, a neighbour that is behind or an interrupted watch.
	 */
	if (routes.version <= gateway->routes->version) {
		jj_routes_clear(&routes);
		return false;
	}
	jj_actions_add_event(gateway->out, "config_in_force",
	    "version=%llu before=%llu from=%s routes=%zu teams=%zu bytes=%zu",
	    (unsigned long long)routes.version,
	    (unsigned long long)gateway->routes->version, from,
	    routes.route_count, jj_teams_count(routes.teams), object->size);
	if (routes.unreadable > 0)
		jj_actions_add_event(gateway->out, "routes_unreadable",
		    "version=%llu count=%zu last=%.150s",
		    (unsigned long long)routes.version, routes.unreadable, why);
	if (jj_teams_problems(routes.teams, &problem) > 0)
		jj_actions_add_event(gateway->out, "teams_unsound",
		    "version=%llu count=%zu first=\"%s\"",
		    (unsigned long long)routes.version,
		    jj_teams_problems(routes.teams, &problem), problem);
	jj_routes_release(gateway->routes);
	gateway->routes = jj_routes_share(&routes);
	gateway->config.unreadable = false;
	jj_bytes_free(&gateway->config_object);
	gateway->config_object = jj_bytes_copy(object->data, object->size);
	gateway->port.on_routes(gateway->port.ctx, gateway->routes);
	start_wait(gateway, gateway->now);
	announce_version(gateway);
	return true;
}

void
jj_gateway_note_peer_config(
    jj_gateway_t *gateway, const jj_name_t *from, uint64_t version, jj_ms_t now)
{
	jj_member_note_config(gateway->member, from, version);
	if (version <= gateway->config.newest_version)
		return;
	gateway->config.newest_version = version;
	if (gateway->config.awaited_version <= gateway->routes->version)
		start_wait(gateway, now);
}

void
jj_gateway_take_config_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	uint64_t version = message->body.config.version;

	if (message->kind == JJ_MESSAGE_CONFIG_REQUEST) {
		if (version < gateway->routes->version)
			send_document(gateway, &message->from, now, out);
		return;
	}
	jj_gateway_note_peer_config(gateway, &message->from, version, now);
	if (message->body.config.document.size > 0 &&
	    version > gateway->routes->version)
		(void)jj_gateway_take_config(gateway,
		    &message->body.config.document, message->from.text);
}

bool
jj_gateway_is_config_stale(const jj_gateway_t *gateway)
{
	return gateway->routes->version == 0 || gateway->config.unreadable ||
	    gateway->config.newest_version > gateway->routes->version;
}

bool
jj_gateway_is_outdated(const jj_gateway_t *gateway, const jj_routes_t *routes)
{
	return routes->version < gateway->routes->version ||
	    jj_gateway_may_be_behind(gateway);
}

void
jj_gateway_tick_config(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	log_stale_config(gateway, now, out);
	if (gateway->config.awaited_version <= gateway->routes->version ||
	    now < gateway->config.next_document_request_ms)
		return;
	request_document(gateway, now, out);
}

/** Logs a stale configuration after news_ms, then at doubling intervals. */
static void
log_stale_config(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_config_t *config = &gateway->config;
	bool was_stale = config->stale;

	config->stale = jj_gateway_is_config_stale(gateway);
	if (!config->stale)
		return;
	if (!was_stale) {
		config->stale_since_ms = now;
		config->next_log_ms = now + gateway->settings.news_ms;
	}
	if (now < config->next_log_ms)
		return;
	config->next_log_ms = now + (now - config->stale_since_ms);
	jj_actions_add_event(out, "config_behind",
	    "in_force=%llu heard=%llu unreadable=%d for_ms=%lld "
	    "platform_reached=%d",
	    (unsigned long long)gateway->routes->version,
	    (unsigned long long)config->newest_version, config->unreadable,
	    (long long)(now - config->stale_since_ms),
	    gateway->platform_unreachable_ms == 0);
}

static jj_ms_t
wait_ms(const jj_gateway_t *gateway)
{
	return gateway->settings.news_ms / WAIT_DIVISOR;
}

/**
 * Starts to wait for the newest version known, if this VM lacks it. The wait
 * for one version is not restarted by a newer one: with changes in quick
 * succession each would restart it.
 */
static void
start_wait(jj_gateway_t *gateway, jj_ms_t now)
{
	jj_gateway_config_t *config = &gateway->config;

	if (config->awaited_version > gateway->routes->version ||
	    config->newest_version <= gateway->routes->version)
		return;
	config->awaited_version = config->newest_version;
	config->request_interval_ms = wait_ms(gateway);
	config->next_document_request_ms = now;
	/* No need to wait for the platform while it is unreachable. */
	if (gateway->routes->version > 0 &&
	    gateway->platform_unreachable_ms == 0)
		config->next_document_request_ms += config->request_interval_ms;
}

static void
request_document(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_config_t *config = &gateway->config;
	jj_message_t *message;
	jj_name_t holder;

	config->next_document_request_ms = now + config->request_interval_ms;
	if (!choose_holder(gateway, &holder))
		return;
	if (config->request_interval_ms <
	    wait_ms(gateway) * REQUEST_INTERVAL_MAX)
		config->request_interval_ms *= 2;
	message =
	    jj_actions_add_message(out, &holder, JJ_MESSAGE_CONFIG_REQUEST);
	message->body.config.version = gateway->routes->version;
	jj_actions_add_event(out, "config_asked",
	    "peer=%s version=%llu heard=%llu again_ms=%lld", holder.text,
	    (unsigned long long)gateway->routes->version,
	    (unsigned long long)config->newest_version,
	    (long long)config->request_interval_ms);
}

/**
 * Chooses a VM that has a newer version, in this failure domain if there is
 * one, else in any region.
 */
static bool
choose_holder(jj_gateway_t *gateway, jj_name_t *holder)
{
	size_t max_count = jj_member_count(gateway->member) + 1;
	jj_member_info_t *infos = jj_alloc(max_count * sizeof(*infos));
	size_t count = jj_member_list_all(gateway->member, infos, max_count);
	uint64_t random = jj_gateway_random(gateway);
	uint64_t best = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		uint64_t weight = 1 +
		    (jj_hash_bytes(infos[i].name.text,
			 strlen(infos[i].name.text), random) >>
			2);

		if (!infos[i].live ||
		    infos[i].config_version <= gateway->routes->version)
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

/** Sends the version number to the VMs that are not known to have it. */
static void
announce_version(jj_gateway_t *gateway)
{
	jj_member_info_t *infos;
	size_t count = jj_gateway_list_others(gateway, &infos);
	jj_message_t *message;
	size_t i;

	for (i = 0; i < count; i++) {
		if (infos[i].config_version >= gateway->routes->version)
			continue;
		message = jj_actions_add_message(
		    gateway->out, &infos[i].name, JJ_MESSAGE_CONFIG);
		message->body.config.version = gateway->routes->version;
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
	if (now - config->window_start_ms >= wait_ms(gateway)) {
		config->window_start_ms = now;
		config->window_sends = 0;
	}
	if (config->window_sends >= DOCUMENTS_MAX) {
		jj_actions_add_event(out, "config_not_sent",
		    "peer=%s version=%llu sends=%u", to->text,
		    (unsigned long long)gateway->routes->version,
		    config->window_sends);
		return;
	}
	config->window_sends++;
	message = jj_actions_add_message(out, to, JJ_MESSAGE_CONFIG);
	message->body.config.version = gateway->routes->version;
	message->body.config.document = jj_bytes_copy(
	    gateway->config_object.data, gateway->config_object.size);
}
