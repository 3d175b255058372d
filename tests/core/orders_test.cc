/**
 * @file orders_test.cc
 * @brief Orders to engines: sent by one lease holder, paced, safe to repeat.
 */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/core/fake_platform.h"

extern "C" {
#include "core/orders.h"
}

namespace
{

struct Sent {
	std::string server;
	uint64_t fence;
	uint64_t order;
	std::string body;
	jj_ms_t at_ms;
};

/** A VM with its lease, its fleet and its orders. */
class LeaseVm
{
      public:
	LeaseVm(FakePlatform *platform, const char *writer, uint64_t seed,
	    bool checks_fence, int servers)
	    : platform(platform)
	{
		jj_lease_settings_t lease_settings = {};
		jj_orders_settings_t settings = {2000, 3000, 2, 500, seed};
		jj_name_t domain;

		strcpy(lease_settings.key, "leases/sala-a/orders");
		strcpy(lease_settings.writer, writer);
		lease_settings.lease_ms = 6000;
		lease_settings.margin_ms = 1500;
		lease_settings.grace_ms = 4000;
		lease_settings.seed = seed;
		lease = jj_lease_create(&lease_settings);
		(void)jj_name_set(&domain, "sala-a");
		fleet = jj_fleet_create(&domain);
		for (int i = 0; i < servers; i++) {
			jj_server_t server = {};

			server.name = name("s" + std::to_string(i));
			server.checks_fence = checks_fence;
			jj_fleet_add_server(fleet, &server);
		}
		orders = jj_orders_create(&settings, lease, fleet);
		TAILQ_INIT(&out);
	}
	~LeaseVm()
	{
		jj_actions_clear(&out);
		jj_orders_destroy(orders);
		jj_fleet_destroy(fleet);
		jj_lease_destroy(lease);
	}
	static jj_name_t
	name(const std::string &text)
	{
		jj_name_t result;

		(void)jj_name_set(&result, text.c_str());
		return result;
	}
	void
	set_desired(const std::string &server, const char *model, jj_ms_t now,
	    const char *role = "")
	{
		jj_name_t at = name(server);

		jj_orders_set_desired(orders, &at, model, "1", role, now);
	}
	void
	answer(const Sent &sent, int status, jj_ms_t now,
	    jj_ms_t retry_after_ms = 0)
	{
		jj_name_t at = name(sent.server);

		jj_orders_take_answer(
		    orders, &at, sent.order, status, retry_after_ms, now, &out);
	}
	void
	run(jj_ms_t now)
	{
		jj_lease_tick(lease, now, &out);
		platform->run(&out,
		    [&](const jj_platform_result_t &result, jj_actions_t *to) {
			    jj_lease_take_result(lease, &result, now, to);
		    });
		jj_orders_tick(orders, now, &out);
		collect(now);
	}
	void
	collect(jj_ms_t now)
	{
		jj_action_t *action;

		while ((action = TAILQ_FIRST(&out)) != nullptr) {
			TAILQ_REMOVE(&out, action, link);
			if (action->kind == JJ_ACTION_ORDER)
				sent.push_back({action->body.order.server.text,
				    action->body.order.fence,
				    action->body.order.order,
				    action->body.order.body.data, now});
			jj_action_free(action);
		}
	}

	FakePlatform *platform;
	jj_lease_t *lease;
	jj_fleet_t *fleet;
	jj_orders_t *orders;
	jj_actions_t out;
	std::vector<Sent> sent;
};

class Orders : public ::testing::Test
{
      protected:
	FakePlatform platform;
	jj_ms_t now = 1000;

	/** Runs a VM; answers each of its orders with the status, -1: never. */
	void
	run(LeaseVm &vm, jj_ms_t duration, int status)
	{
		for (jj_ms_t end = now + duration; now < end; now += 100) {
			size_t from = vm.sent.size();

			vm.run(now);
			for (; from < vm.sent.size() && status >= 0; from++)
				vm.answer(vm.sent[from], status, now);
		}
	}
	void
	take_lease(LeaseVm &vm, int status = -1)
	{
		jj_lease_want(vm.lease, true, now, &vm.out);
		while (!jj_lease_is_held(vm.lease, now))
			run(vm, 100, status);
	}
};

TEST_F(Orders, LoadsThenSetsTheRole)
{
	LeaseVm a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	a.set_desired("s0", "llama", now, "decode");
	run(a, 5000, 200);
	ASSERT_EQ(a.sent.size(), 2u);
	EXPECT_NE(a.sent[0].body.find("\"order\":\"load\",\"model\":\"llama\""),
	    std::string::npos);
	EXPECT_NE(
	    a.sent[1].body.find("\"role\":\"decode\""), std::string::npos);
	EXPECT_EQ(a.sent[0].fence, 1u);
	EXPECT_EQ(jj_orders_next(a.orders), JJ_MS_NEVER);
}

/*
 * Two VMs believe that they hold the lease: the first was paused past its end
 * while its order was pending. It must send nothing when it resumes, and for
 * engines that ignore fencing numbers the second one waits until the first
 * one's order cannot arrive any more.
 */
TEST_F(Orders, OfTwoLeaseHoldersOneSends)
{
	for (bool checks_fence : {true, false}) {
		FakePlatform store;
		LeaseVm a(&store, "a1/01", 1, checks_fence, 1);
		LeaseVm b(&store, "a2/02", 2, checks_fence, 1);

		take_lease(a);
		a.set_desired("s0", "one", now);
		run(a, 2500, -1);
		ASSERT_EQ(a.sent.size(), 1u);
		b.set_desired("s0", "two", now);
		take_lease(b, 200); /* a is paused meanwhile */
		jj_ms_t taken = now - 100; /* the tick that took the lease */
		run(b, 6000, 200);
		ASSERT_EQ(b.sent.size(), 1u);
		EXPECT_GT(b.sent[0].fence, a.sent[0].fence);
		if (!checks_fence)
			EXPECT_GE(b.sent[0].at_ms, taken + 4000);
		else
			EXPECT_LT(b.sent[0].at_ms, taken + 4000);
		jj_orders_tick(a.orders, now, &a.out);
		a.collect(now);
		run(a, 3000, 200);
		EXPECT_EQ(a.sent.size(), 1u)
		    << "sent by the paused VM after it resumed";
	}
}

TEST_F(Orders, AFencedHolderStops)
{
	LeaseVm a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	a.set_desired("s0", "one", now);
	run(a, 20000, 409);
	EXPECT_EQ(a.sent.size(), 1u);
}

/*
 * The answer to an order is lost, or the order itself; the engine gets it again
 * and must not load twice: repeats carry the same number.
 */
TEST_F(Orders, AnUnansweredOrderIsRepeatedUnchanged)
{
	LeaseVm a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	a.set_desired("s0", "one", now);
	run(a, 13000, -1);
	ASSERT_EQ(a.sent.size(), 3u) << "after 3 s, then 6 s";
	for (const Sent &sent : a.sent) {
		EXPECT_EQ(sent.order, a.sent[0].order);
		EXPECT_EQ(sent.body, a.sent[0].body);
	}
	a.answer(a.sent[0], 200, now);
	run(a, 20000, 200);
	EXPECT_EQ(a.sent.size(), 3u) << "a late answer ends the order";
}

/*
 * Ten engines start at once and all need a model from the weight store. If all
 * orders were sent at once, most would be refused, and so would their retries.
 */
TEST_F(Orders, ABurstOfLoadsIsPaced)
{
	LeaseVm a(&platform, "a1/01", 1, true, 10);

	take_lease(a);
	for (int i = 0; i < 10; i++)
		a.set_desired("s" + std::to_string(i), "one", now);
	run(a, 3900, -1);
	EXPECT_EQ(a.sent.size(), 2u) << "more than two concurrent orders";
	a.answer(a.sent[0], 200, now);
	a.answer(a.sent[1], 429, now, 5000);
	run(a, 4900, 200);
	EXPECT_EQ(a.sent.size(), 2u)
	    << "before the store's retry-after is over";
	run(a, 8000, 200);
	EXPECT_EQ(a.sent.size(), 11u)
	    << "ten orders, and a repeat of the refused one";
	for (size_t i = 3; i < a.sent.size(); i++)
		EXPECT_GE(a.sent[i].at_ms - a.sent[i - 1].at_ms, 500);
}

TEST_F(Orders, DeadServersDoNotBlockOthers)
{
	LeaseVm a(&platform, "a1/01", 1, true, 4);
	bool loaded = false;

	take_lease(a);
	for (int i = 0; i < 4; i++)
		a.set_desired("s" + std::to_string(i), "one", now);
	for (int i = 0; i < 300; i++) {
		run(a, 100, -1);
		for (const Sent &sent : a.sent)
			if (sent.server == "s3") {
				a.answer(sent, 200, now);
				loaded = true;
			}
	}
	EXPECT_TRUE(loaded);
}

TEST_F(Orders, ADesiredStateMustBeStableBeforeItIsActedOn)
{
	LeaseVm a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	for (int i = 0; i < 20; i++) {
		a.set_desired("s0", i % 2 == 0 ? "one" : "two", now);
		run(a, 1000, 200);
	}
	EXPECT_EQ(a.sent.size(), 0u);
	run(a, 2000, 200);
	EXPECT_EQ(a.sent.size(), 1u);
	a.set_desired("s0", "one", now);
	run(a, 500, 200);
	a.set_desired("s0", "two", now);
	run(a, 5000, 200);
	EXPECT_EQ(a.sent.size(), 1u) << "the desired state is loaded already";
}

TEST_F(Orders, StatusesThatEndAnOrderOrDoNot)
{
	const struct {
		const char *story;
		int status;
		size_t sent;
	} cases[] = {
	    {"applied", 200, 1},
	    {"a permanent refusal", 400, 1},
	    {"an engine's fault: repeated", 500, 3},
	};

	for (const auto &row : cases) {
		FakePlatform store;
		LeaseVm a(&store, "a1/01", 1, true, 1);

		take_lease(a);
		a.set_desired("s0", "one", now);
		run(a, 13000, row.status);
		EXPECT_EQ(a.sent.size(), row.sent) << row.story;
	}
}

} // namespace
