/**
 * @file gateway_items_test.cc
 * @brief Items of jobs are sent where the configuration in force allows it.
 */
#include "tests/core/gateway_fixture.h"

namespace
{

/** A job with one item on a batch route, and servers of two services. */
class GatewayItem : public Gateway
{
      protected:
	jj_route_backend_t other = {{"altri"}, 1};
	jj_ms_t started_ms = 0; /**< start of the last attempt */

	GatewayItem()
	{
		list_server("servers/s1", "verona ready places=0");
		submit("j", 1);
		tick(200);
	}
	void
	list_server(const char *key, const char *value, bool gone = false)
	{
		see(2, key, value, gone);
		tick(0);
	}
	/** A newer version moves the batch route to the other service. */
	void
	move_route()
	{
		routes[2].backends = &other;
		see(1, "config/main", "8");
		tick(0);
	}
	/** Servers that items were sent to, in order. */
	std::vector<std::string>
	servers() const
	{
		std::vector<std::string> all;

		for (const auto &entry : outcomes)
			all.insert(all.end(), entry.second.servers.begin(),
			    entry.second.servers.end());
		return all;
	}
};

class GatewayItemFailure : public GatewayItem
{
};

/*
 * Guards against items that wait for servers of a service that the
 * configuration no longer has.
 */
TEST_F(GatewayItemFailure, IsSentToTheServiceInForce)
{
	ASSERT_TRUE(servers().empty());
	list_server("servers/t1", "verona ready service=altri");
	tick(200);
	ASSERT_TRUE(servers().empty()) << "its route does not allow it yet";
	move_route();
	tick(200);
	EXPECT_EQ(std::vector<std::string>{"t1"}, servers());
}

/*
 * Guards against items that are sent to the service of an older configuration.
 */
TEST_F(GatewayItemFailure, IsNotSentToTheServiceOfAnOlderVersion)
{
	move_route();
	list_server("servers/s1", "verona ready");
	tick(1000);
	EXPECT_TRUE(servers().empty());
	list_server("servers/t1", "verona ready service=altri");
	tick(200);
	EXPECT_EQ(std::vector<std::string>{"t1"}, servers());
}

/* Guards against items that are run by a route that takes no jobs. */
TEST_F(GatewayItemFailure, WaitsWhileItsRouteTakesNoJobs)
{
	routes[2].kind = JJ_ROUTE_IDEMPOTENT;
	move_route();
	list_server("servers/s2", "verona ready service=altri");
	list_server("servers/s1", "verona ready places=2");
	tick(500);
	EXPECT_TRUE(servers().empty());
	routes[2].kind = JJ_ROUTE_BATCH;
	see(1, "config/main", "9");
	tick(200);
	EXPECT_EQ(std::vector<std::string>{"s2"}, servers());
}

/* Guards against items that are still sent although their route was removed. */
TEST_F(GatewayItemFailure, WaitsWhileItsRouteIsRemoved)
{
	jj_route_t route = routes[2];

	routes.pop_back();
	see(1, "config/main", "8");
	list_server("servers/s1", "verona ready");
	tick(1000);
	EXPECT_TRUE(servers().empty());
	routes.push_back(route);
	see(1, "config/main", "9");
	tick(200);
	EXPECT_EQ(std::vector<std::string>{"s1"}, servers());
}

/*
 * Guards against an item that is sent again to the service that a newer
 * configuration removed from its route.
 */
TEST_F(GatewayItemFailure, ResumesAtTheNewServiceOfItsRoute)
{
	list_server("servers/s1", "verona ready");
	tick(200);
	ASSERT_EQ(std::vector<std::string>{"s1"}, servers());
	list_server("servers/t1", "verona ready service=altri");
	move_route();
	ASSERT_EQ(std::vector<std::string>{"s1"}, servers());
	report_event(outcomes.begin()->first, JJ_BACKEND_BROKEN);
	tick(1000);
	EXPECT_EQ((std::vector<std::string>{"s1", "t1"}), servers());
}

/* Guards against an item that waits, or is done, where its end is in doubt. */
TEST_F(GatewayItemFailure, IsResumedWhenItsEndIsUnconfirmed)
{
	list_server("servers/s1", "verona ready");
	tick(200);
	ASSERT_EQ(std::vector<std::string>{"s1"}, servers());
	report_event(outcomes.begin()->first, JJ_BACKEND_UNCONFIRMED);
	EXPECT_EQ(1U, servers().size()) << "not at the same moment";
	tick(1000);
	EXPECT_EQ((std::vector<std::string>{"s1", "s1"}), servers());
	report_event(outcomes.begin()->first, JJ_BACKEND_DONE);
	tick(1000);
	EXPECT_EQ(2U, servers().size());
}

/*
 * Guards against an item that never ends, as each first event comes later than
 * the time after which a stalled stream is moved.
 */
TEST_F(GatewayItemFailure, GetsMoreTimeWhenItsFirstEventIsLate)
{
	constexpr jj_ms_t FIRST_MS = 2200;
	jj_ms_t sent_ms = 0;
	size_t seen = 0;

	list_server("servers/s1", "verona ready");
	for (int i = 0; i < 600 && sent_ms == 0; i++) {
		tick(50);
		if (outcomes.empty())
			continue;
		const RequestOutcome &item = outcomes.begin()->second;
		if (item.servers.size() > seen) {
			seen = item.servers.size();
			started_ms = now;
		}
		if (item.cancelled.size() < seen &&
		    now - started_ms >= FIRST_MS)
			sent_ms = started_ms;
	}
	EXPECT_GT(sent_ms, 0) << seen << " attempts";
	EXPECT_LT(seen, 4U);
}

} // namespace
