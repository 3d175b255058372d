/**
 * @file gateway_outage_test.cc
 * @brief Changes after an outage of the platform that answered no call.
 */
#include <algorithm>
#include <random>

#include "tests/core/gateway_fleet.h"

namespace
{

/** From so long after an outage on, changes are due within news_ms, ms. */
constexpr jj_ms_t SETTLED_MS = 3000;
constexpr jj_ms_t NEWS_MS = 2000;
/** A call without an answer ends so long after the time it may wait, ms. */
constexpr jj_ms_t ANSWER_TIMEOUT_MS = 1000;

/** Answers watches from a history of changes, unless the platform is silent. */
class OutageFleet : public GatewayFleet
{
      protected:
	struct Change {
		uint64_t revision;
		std::string key;
		std::string value;
	};
	std::vector<Change> history;

	explicit OutageFleet(int count) : GatewayFleet(count)
	{
		for (auto &vm : vms)
			for (FleetWatch &watch : vm.second.watches)
				watch.begun = now;
	}
	void
	change(const std::string &key, const std::string &value)
	{
		platform.put(key, value);
		history.push_back({platform.revision, key, value});
	}
	/** No call of that VM is answered; calls that wait already may be. */
	void
	silence(const std::string &name, bool also_waiting)
	{
		vms[name].cut = JJ_PLATFORM_UNKNOWN;
		if (!also_waiting)
			return;
		for (FleetWatch &watch : vms[name].watches)
			watch.lost = true;
	}
	void
	restore()
	{
		for (auto &vm : vms)
			vm.second.cut = JJ_PLATFORM_OK;
	}
	void
	live(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			run(FLEET_STEP_MS);
			for (auto &vm : vms)
				answer_watches(vm.first);
		}
	}
	void
	answer_watches(const std::string &name)
	{
		FleetVm &vm = vms[name];
		std::vector<FleetWatch> waiting;

		waiting.swap(vm.watches);
		for (FleetWatch &watch : waiting) {
			jj_ms_t end = watch.begun + watch.call.wait_ms;

			if (vm.cut != JJ_PLATFORM_OK &&
			    watch.begun + FLEET_STEP_MS >= now)
				watch.lost = true;
			if (watch.lost && now >= end + ANSWER_TIMEOUT_MS)
				answer(name, watch.call, JJ_PLATFORM_UNKNOWN);
			else if (!watch.lost && vm.cut == JJ_PLATFORM_OK &&
			    (now >= end || has_changes(watch.call)))
				answer(name, watch.call, JJ_PLATFORM_OK);
			else
				vm.watches.push_back(watch);
		}
	}
	bool
	has_changes(const jj_platform_call_t &call) const
	{
		return std::any_of(history.begin(), history.end(),
		    [&](const Change &change) { return is_new(change, call); });
	}
	static bool
	is_new(const Change &change, const jj_platform_call_t &call)
	{
		return change.revision > call.version &&
		    change.key.find(call.key) == 0;
	}
	void
	answer(const std::string &name, const jj_platform_call_t &call,
	    jj_platform_outcome_t outcome)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		jj_platform_result_t result = {};

		result.owner = call.owner;
		result.token = call.token;
		result.op = call.op;
		result.outcome = outcome;
		result.version = platform.revision;
		result.items = (jj_platform_item_t *)jj_alloc(
		    (history.size() + 1) * sizeof(jj_platform_item_t));
		for (const Change &change : history) {
			if (outcome != JJ_PLATFORM_OK || !is_new(change, call))
				continue;
			jj_platform_item_t *item =
			    &result.items[result.item_count++];
			snprintf(item->key, sizeof(item->key), "%s",
			    change.key.c_str());
			item->version = change.revision;
			item->value = jj_bytes_from_text(change.value.c_str());
		}
		jj_gateway_take_platform(vms[name].gateway, &result, now, &out);
		jj_platform_result_clear(&result);
		carry_out(name, &out);
	}
	bool
	is_draining(const std::string &name, const char *id)
	{
		const jj_slot_server_t *server =
		    jj_slots_find(jj_gateway_slots(vms[name].gateway), id);

		return server != nullptr && server->info.draining;
	}
	/** Changes both tables, so that all VMs begin new watches at once. */
	void
	change_tables()
	{
		change("config/main", "8");
		change("servers/s2", "verona ready");
		live(FLEET_STEP_MS);
	}
	void
	expect_changes_within(jj_ms_t ms)
	{
		change("servers/s1", "verona draining");
		change("config/main", "20");
		live(ms);
		for (auto &vm : vms) {
			if (vm.second.cut != JJ_PLATFORM_OK)
				continue;
			EXPECT_TRUE(is_draining(vm.first, "s1")) << vm.first;
			EXPECT_EQ(20U, version_of(vm.first)) << vm.first;
		}
	}
};

struct Outage {
	const char *name;
	int vms;
	int silenced; /**< how many of them get no answers */
	jj_ms_t length_ms;
	bool also_waiting; /**< answers of waiting calls are lost, too */
};

class GatewayOutage : public OutageFleet,
		      public ::testing::WithParamInterface<Outage>
{
      protected:
	GatewayOutage() : OutageFleet(GetParam().vms)
	{
	}
	void
	pass_outage()
	{
		int i;

		live(1000);
		change_tables();
		for (i = 1; i <= GetParam().silenced; i++)
			silence("verona-" + std::to_string(i),
			    GetParam().also_waiting);
		live(GetParam().length_ms);
		restore();
		live(SETTLED_MS);
	}
};

/* Guards against VMs that wait long for a watch that an outage lost. */
TEST_P(GatewayOutage, ChangesAreSeenInTimeAfterIt)
{
	pass_outage();
	expect_changes_within(NEWS_MS);
}

/* Guards against a lost relay whose listeners wait for a lost watch. */
TEST_P(GatewayOutage, ChangesAreSeenInTimeWhenARelayIsLostAfterIt)
{
	pass_outage();
	silence("verona-1", true);
	live(NEWS_MS / 2);
	expect_changes_within(NEWS_MS);
}

INSTANTIATE_TEST_SUITE_P(Lengths, GatewayOutage,
    ::testing::Values(Outage{"AllFor1s", 3, 3, 1000, false},
	Outage{"AllFor3s", 3, 3, 3000, false},
	Outage{"AllFor6s", 3, 3, 6000, false},
	Outage{"AllFor12s", 3, 3, 12000, false},
	Outage{"AllFor3sAnswersLost", 3, 3, 3000, true},
	Outage{"SomeFor6s", 3, 2, 6000, false},
	Outage{"OneFor6s", 3, 1, 6000, false},
	Outage{"RelayedAllFor1s", 6, 6, 1000, false},
	Outage{"RelayedAllFor6s", 6, 6, 6000, false},
	Outage{"RelayedAllFor12sAnswersLost", 6, 6, 12000, true},
	Outage{"RelayFor6s", 6, 1, 6000, false}),
    [](const auto &info) { return std::string(info.param.name); });

/** Outages of some or all VMs in series, which overlap, and changes. */
class OutageSeries : public OutageFleet
{
      protected:
	static constexpr jj_ms_t STEP_MS = 50;
	struct Due {
		jj_ms_t at;
		uint64_t change;
		std::string vm;
	};
	std::mt19937 random;
	std::map<std::string, jj_ms_t> reached; /**< since when, by VM */
	std::vector<Due> due;
	uint64_t changes = 0;

	void
	TestBody() override
	{
	}
	bool
	happens(uint32_t one_in)
	{
		return random() % one_in == 0;
	}
	void
	start_or_end_outages()
	{
		bool all = happens(2);
		bool also_waiting = happens(2);

		for (auto &vm : vms) {
			if (!all && happens(2))
				continue;
			if (vm.second.cut == JJ_PLATFORM_OK) {
				silence(vm.first, also_waiting);
				reached[vm.first] = JJ_MS_NEVER;
			} else {
				vm.second.cut = JJ_PLATFORM_OK;
				reached[vm.first] = now;
			}
		}
	}
	void
	change_both_tables()
	{
		changes++;
		change("servers/n" + std::to_string(changes), "verona ready");
		change("config/main", std::to_string(100 + changes));
		for (auto &vm : vms)
			due.push_back({now + NEWS_MS, changes, vm.first});
	}
	/** True when the VM reached the platform for long enough before. */
	bool
	must_know(const Due &change) const
	{
		jj_ms_t since = reached.at(change.vm);

		return since != JJ_MS_NEVER &&
		    since + SETTLED_MS <= change.at - NEWS_MS;
	}
	void
	check_due()
	{
		while (!due.empty() && due.front().at <= now) {
			Due change = due.front();

			due.erase(due.begin());
			if (!must_know(change))
				continue;
			EXPECT_LE(100 + change.change, version_of(change.vm))
			    << change.vm << " at " << now;
			EXPECT_NE(nullptr,
			    jj_slots_find(
				jj_gateway_slots(vms[change.vm].gateway),
				("n" + std::to_string(change.change)).c_str()))
			    << change.vm << " at " << now;
		}
	}

      public:
	OutageSeries(uint32_t seed, int count)
	    : OutageFleet(count), random(seed)
	{
		for (auto &vm : vms)
			reached[vm.first] = now - SETTLED_MS;
	}
	/** @return how many changes were made. */
	uint64_t
	play(jj_ms_t length_ms)
	{
		for (jj_ms_t end = now + length_ms;
		     now < end && !HasFailure();) {
			if (happens(60))
				start_or_end_outages();
			if (happens(20))
				change_both_tables();
			live(STEP_MS);
			check_due();
		}
		return changes;
	}
};

/* Guards against changes that are lost in outages that overlap. */
TEST(GatewayOutageSeries, ChangesAreSeenInTimeBetweenThem)
{
	for (uint32_t seed = 1; seed <= 60 && !HasFailure(); seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		OutageSeries fleet(seed, seed % 2 == 0 ? 3 : 6);

		EXPECT_LT(20U, fleet.play(60000));
	}
}

} // namespace
