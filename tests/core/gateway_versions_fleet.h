/**
 * @file gateway_versions_fleet.h
 * @brief A test fixture with VMs and servers of two software versions, whose
 * streams callers take up.
 */
#ifndef TESTS_CORE_GATEWAY_VERSIONS_FLEET_H
#define TESTS_CORE_GATEWAY_VERSIONS_FLEET_H

#include "tests/core/gateway_fleet.h"

constexpr int WATCH_SERVERS = 2;

/** VMs of one failure domain and servers a1, b1, ... of two versions. */
class GatewayVersionsFleet : public GatewayFleet
{
      protected:
	struct Attempt {
		std::string vm;
		uint32_t number;
		std::string server;
	};
	std::map<uint64_t, Attempt> attempts; /**< the last one, by request */
	std::map<uint64_t, jj_answer_t> given;
	/** changes of the list that a cut-off VM has not seen */
	std::map<std::string, std::vector<std::pair<std::string, bool>>> missed;

	explicit GatewayVersionsFleet(int count = 3,
	    std::function<void(jj_gateway_settings_t *)> adjust = nullptr)
	    : GatewayFleet(count, 1, read_routes, "7", std::move(adjust))
	{
		routes.push_back(
		    make_route("again", "/again/", JJ_ROUTE_STREAM));
		routes.back().resumable = true;
		routes.back().attempts = 1;
		for (int i = 1; i <= count; i++)
			see_config("verona-" + std::to_string(i), 8);
		for (const char *id : {"a1", "a2", "a3", "b1", "b2", "b3"})
			list(id);
		unlist("s1");
		run(1000);
	}
	void
	list(const char *id)
	{
		platform.put(std::string("servers/") + id,
		    std::string("verona ready version=") + id[0]);
		change(id, false);
	}
	void
	unlist(const char *id)
	{
		platform.objects.erase(std::string("servers/") + id);
		change(id, true);
	}
	void
	change(const std::string &id, bool gone)
	{
		for (auto &vm : vms)
			if (vm.second.cut != JJ_PLATFORM_OK)
				missed[vm.first].push_back({id, gone});
			else
				show(vm.first, id, gone);
	}
	void
	show(const std::string &vm, const std::string &id, bool gone)
	{
		std::string text = std::string("verona ready version=") + id[0];

		see(vm, WATCH_SERVERS, ("servers/" + id).c_str(), text.c_str(),
		    gone);
	}
	void
	set_cut(const std::string &vm, bool is_cut)
	{
		vms[vm].loses_messages = vms[vm].loses_sent = is_cut;
		vms[vm].cut = is_cut ? JJ_PLATFORM_UNKNOWN : JJ_PLATFORM_OK;
		if (is_cut)
			return;
		for (const auto &change : missed[vm])
			show(vm, change.first, change.second);
		missed[vm].clear();
	}
	void
	take(const std::string &vm, const jj_action_t &action) override
	{
		const jj_backend_start_t &start = action.body.start;

		if (action.kind == JJ_ACTION_BACKEND_START)
			attempts[start.request] = {
			    vm, start.attempt, start.server.text};
		if (action.kind == JJ_ACTION_ANSWER)
			given[action.body.answer.request] = action.body.answer;
	}
	void
	report(uint64_t request, jj_backend_kind_t kind)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = {};
		const Attempt attempt = attempts[request];

		event.request = request;
		event.attempt = attempt.number;
		event.kind = kind;
		event.relayed = true;
		/* As the relay does: the version that its events are from. */
		if (kind == JJ_BACKEND_FIRST)
			event.software = jj_slots_find(
			    jj_gateway_slots(vms[attempt.vm].gateway),
			    attempt.server.c_str())
					     ->software;
		jj_gateway_take_backend_event(
		    vms[attempt.vm].gateway, &event, 200, &text, now, &out);
		carry_out(attempt.vm, &out);
	}
	/** Begins a stream and returns it after its first event. */
	uint64_t
	begin_stream(const std::string &vm, uint64_t content = 0)
	{
		uint64_t request = begin(vm, "/again/s", content);

		EXPECT_EQ(1U, attempts.count(request));
		report(request, JJ_BACKEND_FIRST);
		run(100);
		return request;
	}
	/** The caller takes the stream up; returns its version, or '-'. */
	char
	take_up(const std::string &vm, const std::string &resumes,
	    uint64_t content = 0, jj_ms_t wait_ms = 500)
	{
		uint64_t request =
		    begin(vm, "/again/s", content, resumes.c_str());
		char version = '-';

		run(wait_ms);
		if (attempts.count(request) == 1) {
			version = attempts[request].server[0];
			report(request, JJ_BACKEND_DONE);
		} else if (given.count(request) == 1)
			EXPECT_EQ(JJ_RUN_NOT_RUN, given[request].run);
		else
			ADD_FAILURE() << "neither sent nor answered";
		return version;
	}
	void
	restart(const std::string &vm)
	{
		jj_gateway_destroy(vms[vm].gateway);
		vms[vm] = FleetVm();
		missed.erase(vm);
		start(vm);
	}
	/** The VM is gone until start(), and its last messages with it. */
	void
	kill(const std::string &vm)
	{
		for (auto it = messages.begin(); it != messages.end();) {
			if (it->first != vm) {
				++it;
				continue;
			}
			jj_action_free(it->second);
			it = messages.erase(it);
		}
		jj_gateway_destroy(vms[vm].gateway);
		vms.erase(vm);
		missed.erase(vm);
	}
	void
	start(const std::string &vm)
	{
		create(vm, 100 + (jj_incarnation_t)now);
	}
	/** Each VM's watch shows that its list of servers is complete. */
	void
	confirm_list()
	{
		for (auto &vm : vms)
			see(vm.first, WATCH_SERVERS, "servers/a1",
			    "verona ready version=a");
	}
	static std::string
	id_of(uint64_t request)
	{
		return "r" + std::to_string(request);
	}
};

#endif
