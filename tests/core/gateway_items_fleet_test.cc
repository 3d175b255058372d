/**
 * @file gateway_items_fleet_test.cc
 * @brief Items of jobs at whole gateways while servers, VMs and routes change.
 */
#include <random>
#include <set>

#include "tests/core/gateway_fleet.h"

extern "C" {
#include "core/gateway_state.h"
#include "core/inline_state.h"
}

namespace
{

/** Returns what is violation with the items of a VM; empty: nothing. */
std::string
check_items(const jj_gateway_t *gateway)
{
	std::map<uint64_t, int> waiting;
	std::map<uint64_t, int> sent;
	const jj_gateway_entry_t *entry;
	const jj_inline_run_t *run;
	uint32_t begun = 0;

	TAILQ_FOREACH(entry, &gateway->waiting, link)
	{
		if (entry->class_of == JJ_CLASS_BATCH)
			waiting[entry->request]++;
		if (entry->server != nullptr)
			return "a waiting entry has a server";
	}
	TAILQ_FOREACH(entry, &gateway->sent, link)
	{
		if (entry->class_of == JJ_CLASS_BATCH)
			sent[entry->request]++;
		if (entry->server == nullptr)
			return "a sent entry has no server";
	}
	TAILQ_FOREACH(run, &gateway->jobs->runs, link)
	{
		for (size_t i = 0;
		     run->items != nullptr && i < run->job.item_count; i++) {
			if (run->items[i].state != JJ_ITEM_STARTED)
				continue;
			uint64_t request = run->items[i].request;

			begun++;
			entry = jj_gateway_find_entry(gateway, request);
			if (entry == nullptr || entry->job != &run->job)
				return "a begun item has no entry";
			if (waiting[request] + sent[request] != 1)
				return "a begun item is not in one list only";
		}
	}
	if (begun != gateway->counts[JJ_CLASS_BATCH])
		return std::to_string(begun) + " items begun, " +
		    std::to_string(gateway->counts[JJ_CLASS_BATCH]) +
		    " counted";
	if (begun != jj_gateway_in_flight(gateway, JJ_CLASS_BATCH) ||
	    begun < sent.size())
		return "entries without an item";
	return "";
}

/** A fleet whose watches return changes, and whose servers run items. */
class ItemFleet : public GatewayFleet
{
      protected:
	static constexpr int SERVERS = 4;
	static constexpr int JOBS = 6;

	struct Attempt {
		std::string vm;
		uint64_t request;
		uint32_t attempt;
		std::string server;
		bool begun;
	};
	struct Watch {
		std::string vm;
		jj_platform_call_t call;
	};

	std::mt19937 random;
	std::vector<Attempt> attempts;
	std::vector<Watch> watches;
	std::set<std::string> keys; /**< all keys that the platform ever had */
	std::set<std::string> accepted;
	/** submitted jobs, by operation */
	std::map<uint64_t, std::string> submitted;
	std::vector<jj_route_backend_t> backends = {
	    {{"ordini"}, 1}, {{"altri"}, 1}};
	uint64_t version = 7;
	jj_incarnation_t incarnation = 100;
	std::string violation;
	std::string event_log;

	ItemFleet()
	{
		for (int i = 0; i < SERVERS; i++)
			set_server(i, "ready");
		/*
		 * GatewayFleet never answers watches, so the VMs it started are
		 * restarted.
		 */
		for (int i = 1; i <= count; i++)
			restart("verona-" + std::to_string(i));
		elapse(3000);
	}
	uint32_t
	draw(uint32_t most)
	{
		return random() % most;
	}
	/** Half of the servers belong to each service. */
	void
	set_server(int i, const std::string &state)
	{
		platform.put("servers/s" + std::to_string(i),
		    "verona " + state +
			" service=" + backends[i % 2].service.text);
	}
	void
	remove_server(int i)
	{
		platform.objects.erase("servers/s" + std::to_string(i));
		platform.revision++;
	}
	void
	call(const std::string &name, const jj_platform_call_t &call) override
	{
		if (call.op != JJ_PLATFORM_WATCH) {
			GatewayFleet::call(name, call);
			return;
		}
		watches.push_back({name, call});
		if (call.wait_ms == 0)
			answer_watch(watches.size() - 1);
	}
	void
	answer_watch(size_t i)
	{
		Watch watch = watches[i];
		std::vector<jj_platform_item_t> items;
		jj_platform_result_t result = {};
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		watches.erase(watches.begin() + (long)i);
		for (const std::string &key : keys) {
			jj_platform_item_t item = {};
			auto found = platform.objects.find(key);

			if (key.find(watch.call.key) != 0)
				continue;
			snprintf(item.key, sizeof(item.key), "%s", key.c_str());
			item.deleted = found == platform.objects.end();
			if (!item.deleted) {
				item.version = found->second.version;
				if (item.version <= watch.call.version)
					continue;
				item.value =
				    jj_bytes_copy(found->second.value.data(),
					found->second.value.size());
			}
			items.push_back(item);
		}
		result.owner = watch.call.owner;
		result.token = watch.call.token;
		result.op = JJ_PLATFORM_WATCH;
		result.outcome = vms[watch.vm].cut;
		result.version = platform.revision;
		result.items = items.data();
		result.item_count = items.size();
		if (result.outcome != JJ_PLATFORM_OK)
			result.item_count = 0;
		jj_gateway_take_platform(
		    vms[watch.vm].gateway, &result, now, &out);
		for (jj_platform_item_t &item : items)
			jj_bytes_free(&item.value);
		carry_out(watch.vm, &out);
	}
	void
	take(const std::string &name, const jj_action_t &action) override
	{
		uint64_t request = action.body.cancel.request;
		bool is_attempt = action.kind == JJ_ACTION_BACKEND_CANCEL;

		if (action.kind == JJ_ACTION_BACKEND_START) {
			check_route(name, action.body.start);
			attempts.push_back({name, action.body.start.request,
			    action.body.start.attempt,
			    action.body.start.server.text, false});
			return;
		}
		if (!is_attempt && action.kind != JJ_ACTION_ITEM_CANCEL)
			return;
		for (size_t i = attempts.size(); i-- > 0;)
			if (attempts[i].vm == name &&
			    attempts[i].request == request &&
			    (!is_attempt ||
				attempts[i].attempt ==
				    action.body.cancel.attempt))
				attempts.erase(attempts.begin() + (long)i);
	}
	/**
	 * Checks that an item is only sent to a service that its VM's
	 * configuration allows.
	 */
	void
	check_route(const std::string &name, const jj_backend_start_t &start)
	{
		const jj_gateway_t *gateway = vms[name].gateway;
		const jj_gateway_entry_t *entry =
		    jj_gateway_find_entry(gateway, start.request);
		const jj_slot_server_t *server =
		    jj_slots_find(gateway->slots, start.server.text);

		if (entry == nullptr || entry->class_of != JJ_CLASS_BATCH ||
		    server == nullptr)
			return;
		const jj_route_t *route = jj_routes_match(
		    gateway->routes, entry->job->host, entry->job->path);
		if (route == nullptr ||
		    !jj_route_allows(route, &server->info.service))
			violation = name +
			    ": an item was sent where its route does not allow";
	}
	/** An event of that kind occurs at an attempt. */
	void
	report_event(size_t i, jj_backend_kind_t kind, int status)
	{
		Attempt of = attempts[i];
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_backend_event_t event = {};
		jj_bytes_t text = jj_bytes_from_text("t");

		if (kind == JJ_BACKEND_FIRST || kind == JJ_BACKEND_TOKENS)
			attempts[i].begun = true;
		else
			attempts.erase(attempts.begin() + (long)i);
		event.request = of.request;
		event.attempt = of.attempt;
		event.kind = kind;
		jj_gateway_take_backend_event(
		    vms[of.vm].gateway, &event, status, &text, now, &out);
		jj_bytes_free(&text);
		carry_out(of.vm, &out);
	}
	void
	elapse(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			run(FLEET_STEP_MS);
			for (auto &object : platform.objects)
				keys.insert(object.first);
			for (size_t i = watches.size(); i-- > 0;)
				if (i < watches.size() &&
				    watches[i].call.version < platform.revision)
					answer_watch(i);
			for (auto &vm : vms)
				check_vm(vm.first, vm.second);
		}
	}
	void
	check_vm(const std::string &name, FleetVm &vm)
	{
		std::string problem = check_items(vm.gateway);

		if (!problem.empty() && violation.empty())
			violation = name + ": " + problem;
		for (auto &answer : vm.answers)
			if (answer.second == 202 &&
			    submitted.count(answer.first))
				accepted.insert(submitted[answer.first]);
	}
	void
	restart(const std::string &name)
	{
		for (size_t i = attempts.size(); i-- > 0;)
			if (attempts[i].vm == name)
				attempts.erase(attempts.begin() + (long)i);
		for (size_t i = watches.size(); i-- > 0;)
			if (watches[i].vm == name)
				watches.erase(watches.begin() + (long)i);
		jj_gateway_destroy(vms[name].gateway);
		vms[name] = FleetVm();
		create(name, ++incarnation);
	}
	/** A planned stop with half a second to finish. */
	void
	leave(const std::string &name)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

		jj_gateway_leave(vms[name].gateway, JJ_MS_NEVER, now, &out);
		carry_out(name, &out);
		elapse(500);
	}
	/** Sets the batch route to one of the services, or to both. */
	void
	set_route(uint32_t choice)
	{
		routes[0].backends = &backends[choice % 2];
		routes[0].backend_count = choice < 2 ? 1 : 2;
		if (choice == 2)
			routes[0].backends = &backends[0];
		platform.put("config/main", std::to_string(++version));
	}
	void
	inject_event()
	{
		static const jj_backend_kind_t ends[] = {JJ_BACKEND_NOT_SENT,
		    JJ_BACKEND_REFUSED, JJ_BACKEND_LEAVING, JJ_BACKEND_FIRST,
		    JJ_BACKEND_TOKENS, JJ_BACKEND_DONE, JJ_BACKEND_REJECTED,
		    JJ_BACKEND_BROKEN};
		std::string vm = "verona-" + std::to_string(1 + draw(3));
		uint32_t kind = draw(12);
		const char *state;

		event_log += " " + std::to_string(kind);
		switch (kind) {
		case 0:
			state = draw(2) == 0 ? "draining" : "ready";
			set_server((int)draw(SERVERS), state);
			break;
		case 1:
			remove_server((int)draw(SERVERS));
			break;
		case 2:
			set_route(draw(3));
			break;
		case 3:
			vms[vm].loses_messages = !vms[vm].loses_messages;
			break;
		case 4:
			vms[vm].cut = vms[vm].cut == JJ_PLATFORM_OK
			    ? JJ_PLATFORM_UNKNOWN
			    : JJ_PLATFORM_OK;
			break;
		case 5:
			if (draw(3) == 0) {
				if (draw(2) == 0)
					leave(vm);
				restart(vm);
			}
			break;
		case 6:
			(void)begin(vm, "/online/x");
			break;
		default:
			if (!attempts.empty()) {
				int status = draw(4) == 0 ? 422 : 500;
				jj_backend_kind_t end = ends[draw(8)];

				report_event(draw((uint32_t)attempts.size()),
				    end, status);
			}
			break;
		}
		elapse(5 * (1 + draw(60)));
	}
	void
	restore_all()
	{
		uint32_t choice = draw(3);

		set_route(choice);
		for (int i = 0; i < SERVERS; i++)
			if (choice == 2 || (uint32_t)i % 2 == choice)
				set_server(i, "ready");
			else
				remove_server(i);
		for (auto &vm : vms) {
			vm.second.loses_messages = false;
			vm.second.cut = JJ_PLATFORM_OK;
		}
		for (jj_ms_t until = now + 30000; now < until && is_open();) {
			elapse(50);
			for (size_t i = attempts.size(); i-- > 0;)
				if (i < attempts.size())
					report_event(i, JJ_BACKEND_DONE, 200);
		}
	}
	bool
	is_open() const
	{
		auto first = platform.objects.lower_bound("batch-open/");

		return first != platform.objects.end() &&
		    first->first.find("batch-open/") == 0;
	}
	void
	run_scenario(unsigned seed)
	{
		random.seed(seed);
		for (int i = 0; i < JOBS; i++) {
			std::string id = "j" + std::to_string(i);

			submitted[submit(
			    "verona-" + std::to_string(1 + draw(3)), id)] = id;
			elapse(100);
			for (int k = 0; k < 10; k++)
				inject_event();
		}
		restore_all();
		EXPECT_EQ("", violation)
		    << "seed " << seed << " events" << event_log;
		EXPECT_FALSE(is_open())
		    << "seed " << seed << " events" << event_log << "\n"
		    << describe_open();
		for (const std::string &id : accepted)
			EXPECT_EQ(1U,
			    platform.objects.count("batch-out/" + id + ".0"))
			    << id;
	}
	std::string
	describe_open()
	{
		std::string text;

		for (auto &object : platform.objects)
			if (object.first.find("batch-open/") == 0)
				text += object.first + " " +
				    object.second.value + "\n";
		for (auto &vm : vms) {
			text += vm.first + ":";
			for (auto &event : vm.second.events)
				text += " " + event.first + "=" +
				    std::to_string(event.second);
			text += "\n";
		}
		return text;
	}
};

class ItemFleetFailure : public ItemFleet,
			 public ::testing::WithParamInterface<unsigned>
{
};

/*
 * Guards against begun items with no entry or two, and against accepted jobs
 * that no VM runs.
 */
TEST_P(ItemFleetFailure, EachBegunItemHasOneEntry)
{
	run_scenario(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Seeds, ItemFleetFailure, ::testing::Range(1U, 201U));

} // namespace
