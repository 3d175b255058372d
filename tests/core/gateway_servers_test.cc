/**
 * @file gateway_servers_test.cc
 * @brief Servers that start again under their ids, entries of other writers.
 */
#include "tests/core/gateway_fixture.h"
#include "tests/core/gateway_fleet.h"

namespace
{

/** Tokens of the fixture's watches. */
constexpr int SERVERS = 2;

class GatewayServer : public Gateway
{
      protected:
	void
	start_at(const char *text)
	{
		see(SERVERS, "servers/s1", text);
	}
	/** Ticks so long that requests of a process that is gone are moved. */
	void
	let_pass(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;)
			tick(25);
	}
};

/*
 * A server failed, rested long and was slow. Its process starts again under
 * the same id: it is another one, of which nothing of that is true.
 */
TEST_F(GatewayServer, AnotherStartIsAnotherServer)
{
	start_at("verona ready -20");
	jj_slot_server_t *old = server("s1");
	uint64_t hash = old->hash;
	uint64_t request = begin("/once/1");

	jj_slots_note_first(old, 900, now);
	happens(request, JJ_BACKEND_BROKEN);
	ASSERT_GT(old->failures, 0U);
	ASSERT_GT(old->rest_until_ms, now);
	start_at("verona ready -2");
	ASSERT_NE(nullptr, server("s1"));
	EXPECT_NE(hash, server("s1")->hash);
	EXPECT_EQ(0U, server("s1")->failures);
	EXPECT_EQ(0, server("s1")->first_ms);
	EXPECT_EQ("s1", said[begin("/once/1")].servers[0]);
}

/*
 * A server that is behind a cut crashes and starts again under its id. No
 * connection is reset: what ran there would wait for its time limit, and an
 * item for a stall of seconds. Its new start shows that the process is gone.
 */
TEST_F(GatewayServer, WhatRanAtTheOldStartIsMoved)
{
	start_at("verona ready -20");
	uint64_t again = begin("/again/1");
	uint64_t once = begin("/once/1");

	happens(again, JJ_BACKEND_FIRST, 200, true);
	happens(once, JJ_BACKEND_FIRST, 200, true);
	start_at("verona ready -2");
	EXPECT_EQ(1U, attempts(again)) << "what it sent is read first";
	let_pass(250);
	ASSERT_EQ(2U, attempts(again));
	EXPECT_EQ("s1", said[again].servers[1]);
	EXPECT_EQ(1U, said[again].cancelled.size());
	EXPECT_EQ(1U, attempts(once));
	expect_end(once, JJ_GIVE_UP_BROKEN, JJ_RUN_UNKNOWN);
	EXPECT_EQ(1U, server("s1")->online);
}

/* The old process had answered before its end: the answer counts. */
TEST_F(GatewayServer, AnAnswerOfTheOldStartIsTaken)
{
	start_at("verona ready -20");
	uint64_t once = begin("/once/1");

	happens(once, JJ_BACKEND_FIRST);
	start_at("verona ready -2");
	happens(once, JJ_BACKEND_DONE, 200, true);
	let_pass(300);
	EXPECT_EQ(0, said[once].answers);
	EXPECT_EQ(0U, jj_gateway_in_flight(gateway, JJ_CLASS_ONLINE));
}

/*
 * The platform is away while a server starts again; the VM learns of it from
 * the list that it reads after that, not from a change.
 */
TEST_F(GatewayServer, ANewStartIsFoundInANewList)
{
	start_at("verona ready -20");
	uint64_t again = begin("/again/1");

	happens(again, JJ_BACKEND_FIRST, 200, true);
	platform.put("servers/s1", "verona ready -1");
	lose_history(SERVERS);
	EXPECT_EQ(UNIX_MS - 1000, server("s1")->info.started_ms);
	let_pass(250);
	EXPECT_EQ(2U, attempts(again));
}

/*
 * A call of the old process is carried out by the store seconds late, after
 * the new process has written its entry. The new one goes on with what it has;
 * it gets nothing new until its entry stands there again.
 */
TEST_F(GatewayServer, ALateWordOfTheOldStartReplacesNothing)
{
	start_at("verona ready -2");
	uint64_t again = begin("/again/1");

	happens(again, JJ_BACKEND_FIRST, 200, true);
	start_at("verona ready -20");
	expect_end(begin("/once/1"), JJ_GIVE_UP_NO_SERVER, JJ_RUN_NOT_RUN);
	let_pass(500);
	EXPECT_EQ(1U, attempts(again)) << "its process lives";
	start_at("verona ready -2");
	EXPECT_EQ(UNIX_MS - 2000, server("s1")->info.started_ms);
	EXPECT_EQ(1U, attempts(begin("/once/1")));
}

/*
 * A server's clock was set back before it started again. Its entry is never
 * put right by a later start: after some seconds it is taken as it is.
 */
TEST_F(GatewayServer, AStartWithAnEarlierClockIsTakenInTheEnd)
{
	start_at("verona ready -2");
	start_at("verona ready -20");
	let_pass(3900);
	expect_end(begin("/once/1"), JJ_GIVE_UP_NO_SERVER, JJ_RUN_NOT_RUN);
	let_pass(200);
	EXPECT_EQ(1U, attempts(begin("/once/1")));
	EXPECT_EQ(UNIX_MS - 20000, server("s1")->info.started_ms);
}

/* A server leaves; another process starts under its id and takes work. */
TEST_F(GatewayServer, ALaterStartEndsADrain)
{
	start_at("verona draining -20");
	expect_end(begin("/once/1"), JJ_GIVE_UP_NO_SERVER, JJ_RUN_NOT_RUN);
	start_at("verona ready -1");
	EXPECT_EQ(1U, attempts(begin("/once/1")));
}

/*
 * A VM's watch was cut off for a moment while the store was well. Just then a
 * server left without a word: its entry was removed. The VM held it for lapsed
 * during an outage and sent it work for two seconds, four ms longer than a
 * server that leaves has to be served.
 */
TEST_F(GatewayServer, OneThatIsMissingAfterAFailureIsGone)
{
	for (const char *id : {"servers/s2", "servers/s3", "servers/s4"})
		see(SERVERS, id, "verona ready");
	end_watch(SERVERS, JJ_PLATFORM_UNKNOWN);
	let_pass(100);
	see(SERVERS, "servers/s1", "", true);
	let_pass(25);
	for (int i = 0; i < 8; i++)
		EXPECT_NE("s1", said[begin("/once/1")].servers[0]);
}

/*
 * The store was silent, and most entries lapsed: those servers live. The VM's
 * look had hung all the while and was answered in the end, so that it knew of
 * no outage; it dropped all servers at once.
 */
TEST_F(GatewayServer, ManyThatAreMissingAreKept)
{
	for (const char *id : {"servers/s2", "servers/s3", "servers/s4"})
		see(SERVERS, id, "verona ready");
	for (const char *id : {"servers/s1", "servers/s2", "servers/s3"})
		see(SERVERS, id, "", true);
	let_pass(25);
	std::set<std::string> used;
	for (int i = 0; i < 8; i++)
		used.insert(said[begin("/once/1")].servers[0]);
	EXPECT_EQ(4U, used.size());
	let_pass(2000);
	for (int i = 0; i < 3; i++) {
		uint64_t request = begin("/once/1");

		for (const std::string &name : said[request].servers)
			EXPECT_EQ("s4", name);
	}
}

/*
 * Servers that had said that they leave are gone, and one goes without a word.
 * Counted together they were as many as lapse in an outage, and the one was
 * sent work for 15 ms longer than it served.
 */
TEST_F(GatewayServer, ThoseThatSaidTheyLeaveDoNotCountAsMissing)
{
	for (const char *id : {"servers/s2", "servers/s3", "servers/s4"})
		see(SERVERS, id, "verona ready");
	for (const char *id : {"servers/s2", "servers/s3"})
		see(SERVERS, id, "verona draining");
	for (const char *id : {"servers/s1", "servers/s2", "servers/s3"})
		see(SERVERS, id, "", true);
	let_pass(25);
	for (int i = 0; i < 3; i++) {
		uint64_t request = begin("/once/1");

		for (const std::string &name : said[request].servers)
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
 * Another writer puts something under the id of a server in use. It names no
 * server to use; what runs there goes on, other servers hold, and the server
 * is back, as the same one, when its own entry stands there again.
 */
TEST_P(GatewayEntry, NamesNoServerUntilItIsGoodAgain)
{
	see(SERVERS, "servers/s2", "verona ready -30");
	start_at("verona ready -20");
	server("s2")->info.draining = true;
	uint64_t again = begin("/again/1");

	happens(again, JJ_BACKEND_FIRST, 200, true);
	server("s2")->info.draining = false;
	start_at(GetParam().text);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ("s2", said[begin("/once/1")].servers[0]);
	let_pass(300);
	EXPECT_EQ(1U, attempts(again));
	start_at("verona ready -20");
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
 * One VM knows of a server's new start, the other not yet. What that one runs
 * and believes is of the process that is gone: it fills no place of the new
 * one and casts no doubt on it.
 */
TEST_F(GatewayViews, NewsOfTheOldStartDoNotCountForTheNew)
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
