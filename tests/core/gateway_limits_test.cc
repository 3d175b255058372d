/**
 * @file gateway_limits_test.cc
 * @brief More jobs, servers and bytes than one message between VMs can hold.
 */
#include <set>

#include "tests/core/gateway_fleet.h"

extern "C" {
#include "adapters/wire.h"
}

namespace
{

class Limits : public GatewayFleet
{
      protected:
	explicit Limits(int vms = 3) : GatewayFleet(vms)
	{
	}
	/**
	 * Passes each message of a kind to that VM, sent within that time, to
	 * @p take.
	 */
	template <typename Take>
	void
	watch_messages(const std::string &to, jj_message_kind_t kind,
	    jj_ms_t ms, const Take &take)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			run(FLEET_STEP_MS);
			for (const auto &sent : messages)
				if (sent.second->body.send.to.text == to &&
				    sent.second->body.send.message->kind ==
					kind)
					take(*sent.second->body.send.message);
		}
	}
};

/*
 * Guards against jobs that other VMs don't know, as their VM runs more than fit
 * into one message: all their tokens would count as waiting.
 */
TEST_F(Limits, AllJobsOfAVmAreReported)
{
	constexpr size_t JOBS = 3 * JJ_MESSAGE_JOB_STATES_MAX + 1;
	std::set<uint64_t> reported;

	for (size_t i = 0; i < JOBS; i++)
		(void)submit("verona-1", "j" + std::to_string(i));
	watch_messages("verona-2", JJ_MESSAGE_JOB_STATES, 1000,
	    [&reported](const jj_message_t &message) {
		    const auto &states = message.body.job_states;

		    for (uint32_t i = 0; i < states.count; i++)
			    reported.insert(states.states[i].job);
	    });
	EXPECT_EQ(JOBS, reported.size());
}

/*
 * Guards against slots that other VMs take as free, or as taken forever, when a
 * VM has requests at more servers than fit into a heartbeat.
 */
TEST_F(Limits, AllLoadsOfAVmAreReported)
{
	constexpr int SERVERS = 2 * 128 + 1;
	size_t reported = 0;

	for (int i = 2; i <= SERVERS; i++)
		see("verona-1", 2, ("servers/s" + std::to_string(i)).c_str(),
		    "verona ready");
	for (int i = 0; i < SERVERS; i++)
		(void)begin("verona-1", "/online/x");
	watch_messages("verona-2", JJ_MESSAGE_HEARTBEAT, 1000,
	    [&reported](const jj_message_t &message) {
		    const auto &heartbeat = message.body.heartbeat;
		    std::set<uint64_t> servers;

		    for (uint32_t i = 0; i < heartbeat.load_count; i++)
			    servers.insert(heartbeat.loads[i].server);
		    reported = std::max(reported, servers.size());
	    });
	EXPECT_EQ((size_t)SERVERS, reported);
}

class RelayLimits : public Limits
{
      protected:
	RelayLimits() : Limits(6)
	{
		for (int i = 1; i <= count; i++)
			list_vm("verona-" + std::to_string(i));
		run(6000);
	}
	void
	list_vm(const std::string &name)
	{
		platform.put("vms/" + name,
		    R"({"domain":"verona","region":"pianura","address":"a:1"})");
	}
	/** One poll of the relay returns several versions of one object. */
	void
	poll(const std::vector<std::string> &values)
	{
		jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
		std::vector<jj_platform_item_t> items(values.size());
		jj_platform_result_t result = {};

		for (size_t i = 0; i < values.size(); i++) {
			snprintf(
			    items[i].key, sizeof(items[i].key), "config/main");
			items[i].version = ++platform.revision;
			items[i].value =
			    jj_bytes_copy(values[i].data(), values[i].size());
		}
		result.owner = JJ_OWNER_GATEWAY;
		result.token = 1;
		result.op = JJ_PLATFORM_WATCH;
		result.version = platform.revision;
		result.items = items.data();
		result.item_count = items.size();
		jj_gateway_take_platform(
		    vms["verona-1"].gateway, &result, now, &out);
		for (auto &item : items)
			jj_bytes_free(&item.value);
		carry_out("verona-1", &out);
	}
	std::vector<size_t>
	relayed_sizes()
	{
		std::vector<size_t> sizes;

		for (const auto &sent : messages) {
			const jj_message_t *message =
			    sent.second->body.send.message;
			if (message->kind != JJ_MESSAGE_RELAY)
				continue;
			jj_message_t stamped = *message;
			jj_name_set(&stamped.from, "verona-1");
			stamped.incarnation = 1;
			jj_bytes_t bytes = jj_wire_encode(&stamped);
			sizes.push_back(bytes.size);
			jj_bytes_free(&bytes);
		}
		return sizes;
	}
};

/*
 * Guards against updates that no VM of a domain gets, as several versions of
 * the largest object in one poll exceed the size of a message.
 */
TEST_F(RelayLimits, AllVersionsOfOnePollAreRelayed)
{
	std::string large = "9 \"" + std::string(JJ_OBJECT_VALUE_MAX - 8, '"');

	poll({large, large, large, large});
	std::vector<size_t> sizes = relayed_sizes();
	ASSERT_EQ((size_t)count - 1, sizes.size());
	for (size_t size : sizes)
		EXPECT_GT(size, (size_t)JJ_OBJECT_VALUE_MAX);
	run(100);
	for (const auto &vm : vms)
		EXPECT_EQ(9U, version_of(vm.first)) << vm.first;
}

} // namespace
