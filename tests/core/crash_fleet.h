/**
 * @file crash_fleet.h
 * @brief A test fixture with gateways whose servers crash under some requests.
 */
#ifndef TESTS_CORE_CRASH_FLEET_H
#define TESTS_CORE_CRASH_FLEET_H

#include <functional>
#include <random>
#include <set>

#include "tests/core/gateway_fleet.h"

/** Token of the watch of the servers. */
constexpr int WATCH_SERVERS = 2;
/** Interval of the VMs' heartbeats in describe_gateway(). */
constexpr jj_ms_t HEARTBEAT_MS = 500;
/** Silence after which the platform removes a server's entry. */
constexpr jj_ms_t LAPSE_MS = 1200;
/** Time without a disturbance after which a VM counts as in touch. */
constexpr jj_ms_t STABLE_MS = 3000;

class CrashFleet : public GatewayFleet
{
      protected:
	struct Attempt {
		std::string vm;
		uint64_t request;
		uint32_t number;
		std::string server;
	};
	std::vector<Attempt> open;
	std::multimap<jj_ms_t, std::function<void()>> due;
	std::vector<jj_ms_t> reached; /**< when a request reached a server */
	std::set<std::string> cut; /**< VMs that learn nothing */
	const char *entry_text; /**< of a server */
	int server_count = 0;
	std::mt19937 random; /**< of series of disturbances */
	/** until when a VM does not count as in touch */
	std::map<std::string, jj_ms_t> disturbed;

	/** Three VMs and twelve servers. */
	explicit CrashFleet(const char *entry_text = "verona ready")
	    : entry_text(entry_text)
	{
		routes.push_back(
		    make_route("again", "/again/", JJ_ROUTE_STREAM));
		routes.back().resumable = true;
		routes.back().attempts = 2;
		for (const char *vm : {"verona-1", "verona-2", "verona-3"})
			see_config(vm, 8);
		for (int i = 0; i < 12; i++)
			add_server();
		play(1000);
	}
	void
	add_server()
	{
		std::string key = "servers/n" + std::to_string(++server_count);

		platform.put(key, entry_text);
		announce(key, false);
	}
	void
	announce(const std::string &key, bool gone)
	{
		for (auto &vm : vms)
			if (cut.count(vm.first) == 0)
				see(vm.first, 2, key.c_str(), entry_text, gone);
	}
	/** Runs the fleet and what is due. */
	void
	play(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			run(FLEET_STEP_MS);
			while (!due.empty() && due.begin()->first <= now) {
				auto step = due.begin()->second;

				due.erase(due.begin());
				step();
			}
		}
	}
	/** @param number of the attempt; 0: the current one, whichever it is */
	bool
	end_attempt(
	    const std::string &vm, uint64_t request, uint32_t number = 0)
	{
		for (auto it = open.begin(); it != open.end(); ++it)
			if (it->vm == vm && it->request == request &&
			    (number == 0 || it->number == number)) {
				open.erase(it);
				return true;
			}
		return false;
	}
	void
	report(const Attempt &attempt, jj_backend_kind_t kind,
	    bool unframed = false)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = jj_bytes_from_text("t");

		event.request = attempt.request;
		event.attempt = attempt.number;
		event.kind = kind;
		event.unframed = unframed;
		jj_gateway_take_backend_event(
		    vms[attempt.vm].gateway, &event, 200, &text, now, &out);
		jj_bytes_free(&text);
		carry_out(attempt.vm, &out);
	}
	void
	crash(const std::string &server)
	{
		std::vector<Attempt> attempts = open;

		for (const Attempt &attempt : attempts) {
			if (attempt.server != server ||
			    !end_attempt(attempt.vm, attempt.request))
				continue;
			report(attempt, JJ_BACKEND_BROKEN);
		}
		remove_server(server);
	}
	/** Its entry lapses, and another server starts. */
	void
	remove_server(const std::string &server)
	{
		std::string key = "servers/" + server;

		due.emplace(now + LAPSE_MS, [this, key]() {
			platform.objects.erase(key);
			announce(key, true);
			add_server();
		});
	}
	/** The VM ends and starts again without what it knew. */
	void
	restart(const std::string &vm)
	{
		jj_gateway_destroy(vms[vm].gateway);
		vms[vm] = FleetVm();
		for (size_t i = 0; i < open.size();)
			if (open[i].vm == vm)
				open.erase(open.begin() + (long)i);
			else
				i++;
		create(vm, 100 + (jj_incarnation_t)now);
		disturbed[vm] = now + STABLE_MS;
	}
	/** The VM reads the list of servers anew. */
	void
	read_servers(const std::string &vm)
	{
		for (int i = 0; i <= server_count; i++) {
			std::string key = i == 0
			    ? "servers/s1"
			    : "servers/n" + std::to_string(i);

			see(vm, WATCH_SERVERS, key.c_str(), entry_text,
			    platform.objects.count(key) == 0);
		}
	}
	/** VMs that get no messages and read no lists. */
	void
	cut_off(const std::set<std::string> &names)
	{
		cut = names;
		for (auto &vm : vms)
			vm.second.loses_messages = !names.empty();
	}
	uint32_t
	draw(uint32_t below)
	{
		return random() % below;
	}
	/** Cuts a VM off from the other VMs and from the lists, or ends that. */
	void
	set_cut(const std::string &vm, bool is_cut)
	{
		vms[vm].loses_messages = vms[vm].loses_sent = is_cut;
		if (is_cut) {
			cut.insert(vm);
			disturbed[vm] = JJ_MS_NEVER;
			return;
		}
		cut.erase(vm);
		disturbed[vm] = now + STABLE_MS;
		read_servers(vm);
	}
};

#endif
