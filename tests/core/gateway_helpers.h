/**
 * @file gateway_helpers.h
 * @brief What tests of whole gateways share: settings, and a simple format of
 * stored objects, where a route list is its version and a server "DOMAIN
 * ready".
 */
#ifndef TESTS_CORE_GATEWAY_WORLD_H
#define TESTS_CORE_GATEWAY_WORLD_H

#include <cstdio>
#include <string>
#include <vector>

#include "tests/core/fake_platform.h"

extern "C" {
#include "core/gateway.h"
}

/** The time of day of these tests; it does not advance. */
constexpr int64_t UNIX_MS = 1700000000000;

/**
 * A route of host "h" to the service that read_server() returns; @p prefix is
 * not copied.
 */
inline jj_route_t
make_route(const char *name, const char *prefix, jj_route_kind_t kind)
{
	static jj_route_backend_t backend = {{"ordini"}, 1};
	jj_route_t route = {};

	jj_name_set(&route.name, name);
	route.host = const_cast<char *>("h");
	route.prefix = const_cast<char *>(prefix);
	route.kind = kind;
	route.attempts = 3;
	route.timeout_ms = 5000;
	route.run_due_ms = 18000;
	route.retention_ms = 60000;
	route.backend_count = 1;
	route.backends = &backend;
	return route;
}

/** Returns the test's routes with the version that is in the object. */
inline bool
read_routes(void *ctx, const jj_bytes_t *object, jj_routes_t *routes, char *why,
    size_t why_size)
{
	auto *list = static_cast<std::vector<jj_route_t> *>(ctx);
	uint64_t version = strtoull(object->data, nullptr, 10);

	if (version == 0) {
		snprintf(why, why_size, "no version");
		return false;
	}
	routes->version = version;
	for (const jj_route_t &route : *list)
		jj_routes_add(routes, &route);
	jj_routes_build_index(routes);
	return true;
}

/**
 * Reads "DOMAIN ready" or "DOMAIN draining", then optionally its start in s
 * from now, "places=N", "service=NAME" or
 * "version=NAME".
 */
inline bool
read_server(void *, const char *id, const jj_bytes_t *object,
    jj_slot_info_t *info, char *why, size_t why_size)
{
	std::string text(
	    object->data != nullptr ? object->data : "", object->size);
	size_t start = text.find_last_of(' ');

	if (text.find(' ') == std::string::npos) {
		snprintf(why, why_size, "no state after the domain");
		return false;
	}
	if (start != text.find(' ') && text.find('=') == std::string::npos)
		info->started_ms =
		    UNIX_MS + 1000 * strtoll(&text[start], nullptr, 10);
	jj_name_set(&info->id, id);
	jj_name_set(&info->service, "ordini");
	jj_name_set(&info->domain, text.substr(0, text.find(' ')).c_str());
	snprintf(info->address, sizeof(info->address), "10.0.0.9:80");
	if (text.find("service=") != std::string::npos)
		jj_name_set(
		    &info->service, text.substr(text.find('=') + 1).c_str());
	info->slots = 2;
	if (text.find("places=") != std::string::npos)
		info->slots = (uint32_t)atoi(&text[text.find('=') + 1]);
	if (text.find("version=") != std::string::npos)
		jj_name_set(
		    &info->version, text.substr(text.find('=') + 1).c_str());
	info->draining = text.find("draining") != std::string::npos;
	return true;
}

inline jj_bytes_t
write_page(void *, const jj_inline_page_t *)
{
	return jj_bytes_from_text("page");
}

inline int64_t
unix_ms(void *)
{
	return UNIX_MS;
}

/** Reads "prompt:ID,ID,..." of decimal ids, all of them shared parts. */
inline void
read_prompt(void *, const jj_inline_item_t *item, jj_prompt_t *prompt)
{
	for (size_t i = 0; i < item->header_count; i++) {
		std::string header = item->headers[i];

		if (header.compare(0, 7, "prompt:") != 0)
			continue;
		for (size_t at = 6; at != std::string::npos;
		     at = header.find(',', at + 1))
			prompt->ids[prompt->count++] =
			    strtoull(&header[at + 1], nullptr, 10);
	}
}

inline void
on_routes(void *, const jj_routes_t *)
{
}

inline jj_gateway_settings_t
describe_gateway(const char *name, jj_incarnation_t incarnation)
{
	jj_gateway_settings_t settings = {};

	jj_name_set(&settings.name, name);
	jj_name_set(&settings.domain, "verona");
	settings.incarnation = incarnation;
	settings.member.name = settings.name;
	jj_name_set(&settings.member.domain, "pianura");
	settings.member.incarnation = incarnation;
	settings.member.heartbeat_ms = 500;
	settings.member.suspect_ms = 2000;
	settings.member.forget_ms = 60000;
	settings.quarantine = {2, 600000, 600000, 100};
	settings.slots.name = settings.name;
	settings.slots.domain = settings.domain;
	settings.slots.reserve = 0;
	settings.slots.queue_most = 1;
	snprintf(settings.jobs.writer, sizeof(settings.jobs.writer),
	    "%s/%016llx", name, (unsigned long long)incarnation);
	settings.jobs.publish_ms = 100;
	settings.jobs.submit_ms = 3000;
	settings.jobs.retry_ms = 50;
	settings.jobs.retry_most_ms = 400;
	settings.jobs.item_retry_ms = 100;
	settings.jobs.takeover_ms = 1500;
	settings.jobs.alone_ms = 3000;
	settings.jobs.orphan_ms = 5000;
	settings.jobs.read_ms = 1500;
	settings.jobs.keep_ms = 1000;
	settings.jobs.mirror_spacing_ms = 100;
	settings.jobs.state_fresh_ms = 850;
	snprintf(
	    settings.config_prefix, sizeof(settings.config_prefix), "config/");
	snprintf(
	    settings.config_key, sizeof(settings.config_key), "config/main");
	snprintf(settings.servers_prefix, sizeof(settings.servers_prefix),
	    "servers/");
	settings.watch_wait_ms = 20000;
	settings.news_ms = 2000;
	settings.backoff_ms = 100;
	settings.backoff_most_ms = 800;
	settings.vms_poll_ms = 5000;
	settings.relist_grace_ms = 2000;
	settings.tell_near_ms = 10;
	settings.tell_far_ms = 100;
	settings.stall_ms = 1500;
	settings.connect_ms = 250;
	settings.retry_after_ms = 250;
	settings.connect_tries = 3;
	return settings;
}

#endif
