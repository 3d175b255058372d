/**
 * @file orders_test.cc
 * @brief Orders to engines: one director, paced, repeated without harm.
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
class Director
{
      public:
	Director(FakePlatform *platform, const char *writer, uint64_t seed,
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
			jj_fleet_learn(fleet, &server);
		}
		orders = jj_orders_create(&settings, lease, fleet);
		TAILQ_INIT(&out);
	}
	~Director()
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
	wish(const std::string &server, const char *model, jj_ms_t now,
	    const char *role = "")
	{
		jj_name_t at = name(server);

		jj_orders_wish(orders, &at, model, "1", role, now);
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

	/** Runs a director; answers each order by the status, -1: never. */
	void
	run(Director &director, jj_ms_t duration, int status)
	{
		for (jj_ms_t end = now + duration; now < end; now += 100) {
			size_t from = director.sent.size();

			director.run(now);
			for (; from < director.sent.size() && status >= 0;
			     from++)
				director.answer(
				    director.sent[from], status, now);
		}
	}
	void
	take_lease(Director &director, int status = -1)
	{
		jj_lease_want(director.lease, true, now, &director.out);
		while (!jj_lease_is_held(director.lease, now))
			run(director, 100, status);
	}
};

TEST_F(Orders, LoadsThenSetsTheRole)
{
	Director a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	a.wish("s0", "llama", now, "decode");
	run(a, 5000, 200);
	ASSERT_EQ(a.sent.size(), 2u);
	EXPECT_NE(a.sent[0].body.find("\"order\":\"load\",\"model\":\"llama\""),
	    std::string::npos);
	EXPECT_NE(
	    a.sent[1].body.find("\"role\":\"decode\""), std::string::npos);
	EXPECT_EQ(a.sent[0].fence, 1u);
	EXPECT_EQ(jj_orders_next(a.orders), JJ_MS_NEVER);
}

/* Two VMs believe they direct an engine: the first was frozen past its lease
 * while its order was under way. It must send nothing when it wakes, and for
 * engines that ignore fencing numbers the second one waits until the first
 * one's order cannot arrive any more. */
TEST_F(Orders, OfTwoDirectorsOneSends)
{
	for (bool checks_fence : {true, false}) {
		FakePlatform store;
		Director a(&store, "a1/01", 1, checks_fence, 1);
		Director b(&store, "a2/02", 2, checks_fence, 1);

		take_lease(a);
		a.wish("s0", "one", now);
		run(a, 2500, -1);
		ASSERT_EQ(a.sent.size(), 1u);
		b.wish("s0", "two", now);
		take_lease(b, 200); /* a is frozen meanwhile */
		jj_ms_t taken = now - 100; /* the tick that took it */
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
		EXPECT_EQ(a.sent.size(), 1u) << "the frozen one, awake";
	}
}

TEST_F(Orders, AFencedDirectorStops)
{
	Director a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	a.wish("s0", "one", now);
	run(a, 20000, 409);
	EXPECT_EQ(a.sent.size(), 1u);
}

/* The answer to an order is lost, or the order itself; the engine is asked
 * again and must not load twice: repeats carry the same number. */
TEST_F(Orders, AnUnansweredOrderIsRepeatedUnchanged)
{
	Director a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	a.wish("s0", "one", now);
	run(a, 13000, -1);
	ASSERT_EQ(a.sent.size(), 3u) << "after 3 s, then 6 s";
	for (const Sent &sent : a.sent) {
		EXPECT_EQ(sent.order, a.sent[0].order);
		EXPECT_EQ(sent.body, a.sent[0].body);
	}
	a.answer(a.sent[0], 200, now);
	run(a, 20000, 200);
	EXPECT_EQ(a.sent.size(), 3u) << "a late answer ends it";
}

/* Ten engines start at once and all want a model from the weight store. Sent
 * at once most would be refused, and asking again would keep it so. */
TEST_F(Orders, ABurstOfLoadsIsPaced)
{
	Director a(&platform, "a1/01", 1, true, 10);

	take_lease(a);
	for (int i = 0; i < 10; i++)
		a.wish("s" + std::to_string(i), "one", now);
	run(a, 3900, -1);
	EXPECT_EQ(a.sent.size(), 2u) << "two at once";
	a.answer(a.sent[0], 200, now);
	a.answer(a.sent[1], 429, now, 5000);
	run(a, 4900, 200);
	EXPECT_EQ(a.sent.size(), 2u) << "as long as the store asked";
	run(a, 8000, 200);
	EXPECT_EQ(a.sent.size(), 11u) << "one was refused, none twice";
	for (size_t i = 3; i < a.sent.size(); i++)
		EXPECT_GE(a.sent[i].at_ms - a.sent[i - 1].at_ms, 500);
}

TEST_F(Orders, DeadServersDoNotHoldThePlaces)
{
	Director a(&platform, "a1/01", 1, true, 4);
	bool loaded = false;

	take_lease(a);
	for (int i = 0; i < 4; i++)
		a.wish("s" + std::to_string(i), "one", now);
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

TEST_F(Orders, AWishMustStandBeforeItIsActedOn)
{
	Director a(&platform, "a1/01", 1, true, 1);

	take_lease(a);
	for (int i = 0; i < 20; i++) {
		a.wish("s0", i % 2 == 0 ? "one" : "two", now);
		run(a, 1000, 200);
	}
	EXPECT_EQ(a.sent.size(), 0u);
	run(a, 2000, 200);
	EXPECT_EQ(a.sent.size(), 1u);
	a.wish("s0", "one", now);
	run(a, 500, 200);
	a.wish("s0", "two", now);
	run(a, 5000, 200);
	EXPECT_EQ(a.sent.size(), 1u) << "back to what is loaded";
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
		Director a(&store, "a1/01", 1, true, 1);

		take_lease(a);
		a.wish("s0", "one", now);
		run(a, 13000, row.status);
		EXPECT_EQ(a.sent.size(), row.sent) << row.story;
	}
}

} // namespace
