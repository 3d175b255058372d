/**
 * @file gateway_servers_test.cc
 * @brief Servers that restart under their ids, and entries of other writers.
 */
#include "tests/core/gateway_fixture.h"
#include "tests/core/gateway_fleet.h"

namespace
{

/** Token of the fixture's watch of servers. */
constexpr int SERVERS_TOKEN = 2;

class GatewayServer : public Gateway
{
      protected:
	void
	list_server(const char *text)
	{
		see(SERVERS_TOKEN, "servers/s1", text);
	}
	/**
	 * Ticks for that time, so that requests of a process that is gone are
	 * moved.
	 */
	void
	advance(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;)
			tick(25);
	}
};

/*
 * A server failed, was in a long cool-down and was slow. When its process
 * restarts under the same id, none of that applies to the new process.
 */
TEST_F(GatewayServer, ARestartedServerIsAnotherServer)
{
	list_server("verona ready -20");
	jj_slot_server_t *old = server("s1");
	uint64_t hash = old->hash;
	uint64_t request = begin("/once/1");

	jj_slots_note_first(old, 900, now);
	report_event(request, JJ_BACKEND_BROKEN);
	ASSERT_GT(old->failures, 0U);
	ASSERT_GT(old->rest_until_ms, now);
	list_server("verona ready -2");
	ASSERT_NE(nullptr, server("s1"));
	EXPECT_NE(hash, server("s1")->hash);
	EXPECT_EQ(0U, server("s1")->failures);
	EXPECT_EQ(0, server("s1")->first_ms);
	EXPECT_EQ("s1", outcomes[begin("/once/1")].servers[0]);
}

/*
 * Guards against requests that wait for a process that is gone. A server behind
 * a network cut crashes and restarts under its id. No connection is reset:
 * requests there would wait for their time limit, and items for a stall of
 * seconds. The new start time shows that the process is gone.
 */
TEST_F(GatewayServer, RequestsOfTheOldProcessAreMoved)
{
	list_server("verona ready -20");
	uint64_t again = begin("/again/1");
	uint64_t once = begin("/once/1");

	report_event(again, JJ_BACKEND_FIRST, 200, true);
	report_event(once, JJ_BACKEND_FIRST, 200, true);
	list_server("verona ready -2");
	EXPECT_EQ(1U, attempts(again)) << "its earlier output is read first";
	advance(250);
	ASSERT_EQ(2U, attempts(again));
	EXPECT_EQ("s1", outcomes[again].servers[1]);
	EXPECT_EQ(1U, outcomes[again].cancelled.size());
	EXPECT_EQ(1U, attempts(once));
	expect_end(once, JJ_FAILURE_BROKEN, JJ_RUN_UNKNOWN);
	EXPECT_EQ(1U, server("s1")->online);
}

/* The old process answered before it ended: the answer counts. */
TEST_F(GatewayServer, AnAnswerOfTheOldProcessIsAccepted)
{
	list_server("verona ready -20");
	uint64_t once = begin("/once/1");

	report_event(once, JJ_BACKEND_FIRST);
	list_server("verona ready -2");
	report_event(once, JJ_BACKEND_DONE, 200, true);
	advance(300);
	EXPECT_EQ(0, outcomes[once].answers);
	EXPECT_EQ(0U, jj_gateway_in_flight(gateway, JJ_CLASS_ONLINE));
}

/*
 * A server restarts while the platform is unreachable; the VM learns of it from
 * the next full list, not from a change.
 */
TEST_F(GatewayServer, ARestartIsFoundInANewList)
{
	list_server("verona ready -20");
	uint64_t again = begin("/again/1");

	report_event(again, JJ_BACKEND_FIRST, 200, true);
	platform.put("servers/s1", "verona ready -1");
	lose_history(SERVERS_TOKEN);
	EXPECT_EQ(UNIX_MS - 1000, server("s1")->info.started_ms);
	advance(250);
	EXPECT_EQ(2U, attempts(again));
}

/*
 * The store executes a call of the old process seconds late, after the new
 * process has written its entry. Requests at the new process continue; it gets
 * no new ones until its own entry is back.
 */
TEST_F(GatewayServer, ALateEntryOfTheOldProcessReplacesNothing)
{
	list_server("verona ready -2");
	uint64_t again = begin("/again/1");

	report_event(again, JJ_BACKEND_FIRST, 200, true);
	list_server("verona ready -20");
	expect_end(begin("/once/1"), JJ_FAILURE_NO_SERVER, JJ_RUN_NOT_RUN);
	advance(500);
	EXPECT_EQ(1U, attempts(again)) << "its process is still running";
	list_server("verona ready -2");
	EXPECT_EQ(UNIX_MS - 2000, server("s1")->info.started_ms);
	EXPECT_EQ(1U, attempts(begin("/once/1")));
}

/*
 * A server's clock was set back before it restarted. No later start ever
 * corrects its entry: it is accepted after some seconds.
 */
TEST_F(GatewayServer, ARestartWithAnEarlierClockIsAcceptedLater)
{
	list_server("verona ready -2");
	list_server("verona ready -20");
	advance(3900);
	expect_end(begin("/once/1"), JJ_FAILURE_NO_SERVER, JJ_RUN_NOT_RUN);
	advance(200);
	EXPECT_EQ(1U, attempts(begin("/once/1")));
	EXPECT_EQ(UNIX_MS - 20000, server("s1")->info.started_ms);
}

/* A server leaves; another process starts under its id and accepts work. */
TEST_F(GatewayServer, ALaterStartEndsADrain)
{
	list_server("verona draining -20");
	expect_end(begin("/once/1"), JJ_FAILURE_NO_SERVER, JJ_RUN_NOT_RUN);
	list_server("verona ready -1");
	EXPECT_EQ(1U, attempts(begin("/once/1")));
}

/*
 * Guards against new work for a server that is gone. A VM's watch failed for a
 * moment while the store was fine. Just then a server left without notice and
 * its entry was removed. The VM took the entry as expired during an outage and
 * sent work there for two seconds, four ms longer than a leaving server has to
 * be served.
 */
TEST_F(GatewayServer, OneThatIsMissingAfterAFailureIsGone)
{
	for (const char *id : {"servers/s2", "servers/s3", "servers/s4"})
		see(SERVERS_TOKEN, id, "verona ready");
	end_watch(SERVERS_TOKEN, JJ_PLATFORM_UNKNOWN);
	advance(100);
	see(SERVERS_TOKEN, "servers/s1", "", true);
	advance(25);
	for (int i = 0; i < 8; i++)
		EXPECT_NE("s1", outcomes[begin("/once/1")].servers[0]);
}

/*
 * Guards against dropping live servers. The store did not answer, and most
 * entries expired. The VM's watch was pending all the time and was answered in
 * the end, so that the VM did not know of the outage; it dropped all servers at
 * once.
 */
TEST_F(GatewayServer, ManyThatAreMissingAreKept)
{
	for (const char *id : {"servers/s2", "servers/s3", "servers/s4"})
		see(SERVERS_TOKEN, id, "verona ready");
	for (const char *id : {"servers/s1", "servers/s2", "servers/s3"})
		see(SERVERS_TOKEN, id, "", true);
	advance(25);
	std::set<std::string> used;
	for (int i = 0; i < 8; i++)
		used.insert(outcomes[begin("/once/1")].servers[0]);
	EXPECT_EQ(4U, used.size());
	advance(2000);
	for (int i = 0; i < 3; i++) {
		uint64_t request = begin("/once/1");

		for (const std::string &name : outcomes[request].servers)
			EXPECT_EQ("s4", name);
	}
}

/*
 * Guards against counting announced departures as missing. Servers that had
 * announced that they leave were removed, and one left without notice. Counted
 * together they were as many as expire in an outage, and that one was sent work
 * for 15 ms longer than it served.
 */
TEST_F(GatewayServer, AnnouncedDeparturesDoNotCountAsMissing)
{
	for (const char *id : {"servers/s2", "servers/s3", "servers/s4"})
		see(SERVERS_TOKEN, id, "verona ready");
	for (const char *id : {"servers/s2", "servers/s3"})
		see(SERVERS_TOKEN, id, "verona draining");
	for (const char *id : {"servers/s1", "servers/s2", "servers/s3"})
		see(SERVERS_TOKEN, id, "", true);
	advance(25);
	for (int i = 0; i < 3; i++) {
		uint64_t request = begin("/once/1");

		for (const std::string &name : outcomes[request].servers)
			EXPECT_EQ("s4", name);
	}
}

struct BadCase {
	const char *name;
	const char *text;
};

class GatewayEntry : public GatewayServer,
		     public ::testing::WithParamInterface<BadCase>
{
};

/*
 * Another writer overwrites the entry of a server in use. The entry describes
 * no usable server; requests there continue, other servers take the new ones,
 * and the server is back, as the same process, when its own entry is restored.
 */
TEST_P(GatewayEntry, DescribesNoServerUntilItIsValidAgain)
{
	see(SERVERS_TOKEN, "servers/s2", "verona ready -30");
	list_server("verona ready -20");
	server("s2")->info.draining = true;
	uint64_t again = begin("/again/1");

	report_event(again, JJ_BACKEND_FIRST, 200, true);
	server("s2")->info.draining = false;
	list_server(GetParam().text);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ("s2", outcomes[begin("/once/1")].servers[0]);
	advance(300);
	EXPECT_EQ(1U, attempts(again));
	list_server("verona ready -20");
	EXPECT_EQ(1U, server("s1")->online) << "the same server";
	EXPECT_FALSE(server("s1")->replaced);
}

INSTANTIATE_TEST_SUITE_P(Texts, GatewayEntry,
    ::testing::Values(BadCase{"Unreadable", "x"}, BadCase{"Empty", ""},
	BadCase{"InTheFuture", "verona ready 3600"},
	BadCase{"OfAnEarlierStart", "verona ready -3600"}),
    [](const auto &info) { return std::string(info.param.name); });

class GatewayViews : public GatewayFleet
{
      protected:
	GatewayViews() : GatewayFleet(2)
	{
	}
	void
	see_server(const std::string &name, const char *text)
	{
		see(name, 2, "servers/s1", text);
	}
	jj_slot_server_t *
	server(const std::string &name)
	{
		return jj_slots_find(jj_gateway_slots(vms[name].gateway), "s1");
	}
};

/*
 * One VM knows that a server has restarted, the other does not yet. What the
 * other VM reports concerns the process that is gone: it takes no slot of the
 * new one and does not make it suspect.
 */
TEST_F(GatewayViews, ReportsOnTheOldProcessDoNotCountForTheNew)
{
	see_server("verona-1", "verona ready -20");
	see_server("verona-2", "verona ready -20");
	(void)begin("verona-2", "/online/1");
	run(50);
	ASSERT_EQ(1U, server("verona-1")->others_online);
	see_server("verona-1", "verona ready -2");
	EXPECT_EQ(0U, server("verona-1")->others_online);
	(void)begin("verona-2", "/online/1");
	run(50);
	EXPECT_EQ(0U, server("verona-1")->others_online);
	fail("verona-2", JJ_BACKEND_NOT_SENT);
	run(50);
	EXPECT_EQ(0U, server("verona-1")->failures);
	see_server("verona-2", "verona ready -2");
	(void)begin("verona-2", "/online/1");
	run(50);
	EXPECT_EQ(1U, server("verona-1")->others_online);
}

} // namespace
