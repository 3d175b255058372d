/**
 * @file gateway_test.cc
 * @brief Requests through a VM that serves routes, whatever servers do.
 */
#include <cstdio>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/core/gateway_fixture.h"

namespace
{

/** Number of the first item's request; the next ones follow. */
constexpr uint64_t FIRST_ITEM = (UINT64_C(1) << 62) + 1;

class GatewayFailure : public Gateway
{
};

TEST_F(Gateway, SendsARequestAndForgetsItWhenItIsDone)
{
	uint64_t request = begin("/once/1");

	ASSERT_EQ(1U, attempts(request));
	EXPECT_EQ("s1", said[request].servers[0]);
	happens(request, JJ_BACKEND_FIRST);
	happens(request, JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(0, said[request].answers) << "its answer went by the relay";
	EXPECT_EQ(0U, jj_gateway_in_flight(gateway, JJ_CLASS_ONLINE));
	EXPECT_EQ(0U, server("s1")->online);
}

TEST_F(Gateway, RefusesWhatNoRouteAllows)
{
	expect_end(begin("/none/1"), JJ_GIVE_UP_NO_SERVICE, JJ_RUN_NOT_RUN);
}

TEST_F(Gateway, IsNotReadyWithoutAConfiguration)
{
	platform.objects.erase("config/main");
	create(true);
	EXPECT_FALSE(jj_gateway_is_ready(gateway));
	expect_end(begin("/once/1"), JJ_GIVE_UP_NO_CONFIG, JJ_RUN_NOT_RUN);
}

TEST_F(Gateway, TakesANewerConfigurationOnly)
{
	see(1, "config/main", "9");
	EXPECT_EQ(9U, jj_gateway_routes(gateway)->version);
	see(1, "config/main", "8");
	EXPECT_EQ(9U, jj_gateway_routes(gateway)->version);
	see(1, "config/main", "nonsense");
	EXPECT_EQ(9U, jj_gateway_routes(gateway)->version);
}

TEST_F(Gateway, SendsNothingToAServerThatLeaves)
{
	see(2, "servers/s2", "verona ready");
	see(2, "servers/s1", "verona draining");
	for (int i = 0; i < 3; i++)
		EXPECT_EQ("s2", said[begin("/once/1")].servers[0]);
	see(2, "servers/s2", "", true);
	expect_end(begin("/once/1"), JJ_GIVE_UP_NO_SERVER, JJ_RUN_NOT_RUN);
}

TEST_F(Gateway, AnswersAnOrderToEmptyItsVm)
{
	platform.put("retire/verona-1", "{}");
	platform.put("retire/verona-2", "{}");
	create(false);
	/* The fake store knows no status: the call itself is what counts. */
	EXPECT_GT(platform.reads, 0);
	EXPECT_TRUE(watches.count(3) == 1) << "only orders are watched";
	EXPECT_EQ(1U, watches.size());
}

struct FailCase {
	const char *name;
	const char *path;
	jj_backend_kind_t kind;
	bool relayed;
	size_t attempts; /**< in all, when each one fails alike */
	jj_run_t run;
};

class GatewayFails : public Gateway,
		     public ::testing::WithParamInterface<FailCase>
{
};

/* What is sent again, how often, and what the caller is told of its run. */
TEST_P(GatewayFails, IsSentAgainOnlyWhereAllowed)
{
	see(2, "servers/s2", "verona ready");
	uint64_t request = begin(GetParam().path);

	for (int i = 0; i < 9 && said[request].answers == 0; i++) {
		if (GetParam().relayed)
			happens(request, JJ_BACKEND_FIRST);
		happens(request, GetParam().kind, 0, GetParam().relayed);
		now += 1000;
	}
	EXPECT_EQ(GetParam().attempts, attempts(request));
	EXPECT_EQ(1, said[request].answers);
	EXPECT_EQ(GetParam().run, said[request].answer.run);
	EXPECT_EQ(0U, jj_gateway_in_flight(gateway, JJ_CLASS_ONLINE));
}

INSTANTIATE_TEST_SUITE_P(Kinds, GatewayFails,
    ::testing::Values(FailCase{"OnceBroken", "/once/1", JJ_BACKEND_BROKEN,
			  false, 1, JJ_RUN_UNKNOWN},
	FailCase{"OnceRefused", "/once/1", JJ_BACKEND_REFUSED, false, 2,
	    JJ_RUN_NOT_RUN},
	FailCase{"OnceOtherInstance", "/once/1", JJ_BACKEND_LEAVING, false, 2,
	    JJ_RUN_NOT_RUN},
	FailCase{"OnceFailed", "/once/1", JJ_BACKEND_FAILED, false, 1,
	    JJ_RUN_UNKNOWN},
	FailCase{"OnceNotSent", "/once/1", JJ_BACKEND_NOT_SENT, false, 5,
	    JJ_RUN_NOT_RUN},
	FailCase{"OnceCutMidway", "/once/1", JJ_BACKEND_BROKEN, true, 1,
	    JJ_RUN_UNKNOWN},
	FailCase{"AgainBroken", "/again/1", JJ_BACKEND_BROKEN, false, 2,
	    JJ_RUN_UNKNOWN},
	FailCase{"AgainCutMidway", "/again/1", JJ_BACKEND_BROKEN, true, 2,
	    JJ_RUN_UNKNOWN}),
    [](const auto &info) { return std::string(info.param.name); });

/* A request's time is up: it is answered then, and stopped at its server. */
TEST_F(GatewayFailure, ATimeLimitIsKept)
{
	uint64_t request = begin("/once/1");

	tick(3990);
	EXPECT_EQ(0, said[request].answers);
	tick(10);
	expect_end(request, JJ_GIVE_UP_DEADLINE, JJ_RUN_UNKNOWN);
	EXPECT_EQ(1U, said[request].cancelled.size());
}

/* A server falls silent in the middle of a stream that may go on elsewhere. */
TEST_F(GatewayFailure, ASilentStreamIsMovedWhereItMayBe)
{
	see(2, "servers/s2", "verona ready");
	uint64_t again = begin("/again/1");
	uint64_t once = begin("/once/1");

	happens(again, JJ_BACKEND_FIRST);
	happens(once, JJ_BACKEND_FIRST);
	tick(1600);
	EXPECT_EQ(2U, attempts(again));
	EXPECT_NE(said[again].servers[0], said[again].servers[1]);
	EXPECT_EQ(1U, said[again].cancelled.size());
	EXPECT_EQ(1U, attempts(once)) << "silence is no reason to end it";
	EXPECT_EQ(0, said[once].answers);
}

/* The caller hangs up: its request is stopped at once. */
TEST_F(GatewayFailure, ACallerThatLeavesFreesItsPlace)
{
	uint64_t request = begin("/once/1");

	jj_gateway_take_gone(gateway, request, now, &out);
	settle();
	EXPECT_EQ(1U, said[request].cancelled.size());
	EXPECT_EQ(0U, server("s1")->online);
	happens(request, JJ_BACKEND_DONE);
	EXPECT_EQ(0, said[request].answers);
}

/*
 * Batch fills the places that online leaves. A burst comes: the items are cut
 * before the requests get there, and go on when it is over.
 */
TEST_F(GatewayFailure, OnlineTakesPlacesOfBatch)
{
	submit("j", 4);
	tick(50);
	EXPECT_EQ(2U, server("s1")->batch);
	uint64_t first = begin("/once/1");
	EXPECT_EQ(1U, attempts(first));
	EXPECT_EQ(1U, server("s1")->batch);
	uint64_t second = begin("/once/2");
	EXPECT_EQ(0U, server("s1")->batch);
	EXPECT_EQ(4U, jj_gateway_waiting_items(gateway));
	happens(first, JJ_BACKEND_DONE);
	happens(second, JJ_BACKEND_DONE);
	tick(50);
	EXPECT_EQ(2U, server("s1")->batch);
}

/*
 * After a cut VMs did not hear each other and each filled all places with its
 * items; online requests waited 600 ms behind them. An item that waits too
 * long for its first event goes away and comes back only later, to servers
 * that nobody crowds first.
 */
TEST_F(GatewayFailure, AnItemThatFindsNoPlaceLeavesTheServer)
{
	happens(begin("/once/1"), JJ_BACKEND_DONE);
	submit("j", 1);
	tick(50);
	EXPECT_EQ(1U, server("s1")->batch);
	tick(99);
	EXPECT_EQ(1U, server("s1")->batch);
	tick(1);
	EXPECT_EQ(0U, server("s1")->batch);
	see(2, "servers/s2", "verona ready");
	tick(50);
	EXPECT_EQ(0U, server("s1")->batch);
	EXPECT_EQ(1U, server("s2")->batch);
	EXPECT_EQ(0U, jj_gateway_waiting_items(gateway));
}

/*
 * A backlog: an item that was late already ran before one that could have
 * been in time, and so made it late too. It runs behind, and it is the one
 * that gives its place to an online request.
 */
TEST_F(GatewayFailure, LateItemsRunBehindThoseThatCanBeInTime)
{
	constexpr jj_ms_t DUE_MS = 18000;

	see(2, "servers/s1", "verona draining");
	submit("late", 1);
	uint64_t late = FIRST_ITEM;
	tick(DUE_MS + 1);
	submit("young", 2);
	see(2, "servers/s2", "verona ready");
	tick(50);
	EXPECT_EQ(1U, attempts(late + 1));
	EXPECT_EQ(1U, attempts(late + 2));
	EXPECT_EQ(0U, attempts(late));
	happens(late + 1, JJ_BACKEND_DONE);
	tick(50);
	EXPECT_EQ(1U, attempts(late));
	(void)begin("/once/1");
	EXPECT_EQ(1U, said[late].cancelled.size());
	EXPECT_EQ(0U, said[late + 2].cancelled.size());
}

/*
 * The same from the side of an online request: a place seemed free, yet its
 * first event does not come. One item of this VM there makes room for it.
 */
TEST_F(GatewayFailure, AnOnlineRequestThatFindsNoPlaceCutsAnItem)
{
	happens(begin("/once/1"), JJ_BACKEND_DONE);
	submit("j", 1);
	tick(50);
	happens(said.rbegin()->first, JJ_BACKEND_FIRST);
	uint64_t request = begin("/once/1");
	EXPECT_EQ(1U, server("s1")->batch);
	tick(99);
	EXPECT_EQ(1U, server("s1")->batch);
	tick(1);
	EXPECT_EQ(0U, server("s1")->batch);
	EXPECT_EQ(1U, server("s1")->online);
	EXPECT_EQ(0, said[request].answers);
}

/*
 * A whole process ended by itself: a stream and items were silent at one
 * moment, as after a cut. The stream was sent again, which cut the item that
 * was to be looked at next and had no server any more.
 */
TEST_F(GatewayFailure, AStreamThatMovesMayCutAnItemThatIsSilentToo)
{
	uint64_t stream = begin("/again/1");

	see(2, "servers/s2", "verona ready");
	see(2, "servers/s1", "verona draining");
	submit("j", 1);
	tick(50);
	EXPECT_EQ(1U, server("s2")->batch);
	EXPECT_EQ(1U, attempts(begin("/once/1")));
	tick(1600);
	EXPECT_EQ(2U, attempts(stream));
	EXPECT_EQ(0, said[stream].answers);
	EXPECT_EQ(1U, jj_gateway_waiting_items(gateway));
}

/* All places and queues are full: the caller is told at once, and truly. */
TEST_F(GatewayFailure, AFullFleetRefusesAtOnce)
{
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(1U, attempts(begin("/once/1")));
	uint64_t request = begin("/once/1");

	expect_end(request, JJ_GIVE_UP_OVERLOADED, JJ_RUN_NOT_RUN);
	EXPECT_EQ(250, said[request].answer.retry_after_ms);
	EXPECT_EQ(0U, attempts(request));
}

/* Refused callers of a burst do not all come back into the same burst. */
TEST_F(GatewayFailure, RefusedCallersComeBackWhenPlacesAreFree)
{
	std::set<jj_ms_t> times;

	for (int i = 0; i < 200; i++) {
		uint64_t request = begin("/once/1");

		now += 700;
		happens(request, JJ_BACKEND_DONE);
	}
	for (int i = 0; i < 3; i++)
		(void)begin("/once/1");
	for (int i = 0; i < 20; i++) {
		jj_ms_t wait = said[begin("/once/1")].answer.retry_after_ms;

		EXPECT_LE(690, wait);
		EXPECT_GE(1400, wait);
		times.insert(wait);
	}
	EXPECT_GT(times.size(), 10U);
}

/*
 * One request crashes each server that begins to run it, and its caller sends
 * it again. Others that were there are not blamed for good.
 */
TEST_F(GatewayFailure, ARequestThatCrashesServersIsRefused)
{
	uint64_t poison;
	uint64_t other;

	see(2, "servers/s2", "verona ready");
	for (int i = 0; i < 2; i++) {
		poison = begin("/once/p", 77);
		other = begin("/once/o");
		while (said[other].servers[0] != said[poison].servers[0])
			other = begin("/once/o");
		happens(other, JJ_BACKEND_FIRST);
		happens(poison, JJ_BACKEND_BROKEN);
		happens(other, JJ_BACKEND_BROKEN, 0, true);
		std::string dead = "servers/" + said[poison].servers[0];
		see(2, dead.c_str(), "", true);
		see(2, "servers/s3", "verona ready");
		now += 1000;
	}
	expect_end(
	    begin("/once/p", 77), JJ_GIVE_UP_QUARANTINED, JJ_RUN_NOT_RUN);
	EXPECT_EQ(1U, attempts(begin("/once/o")));
}

/* A lost answer is no crash: the server lives, nobody is blamed. */
TEST_F(GatewayFailure, ALostAnswerIsNoCrash)
{
	see(2, "servers/s2", "verona ready");
	for (int i = 0; i < 4; i++) {
		uint64_t request = begin("/once/l", 88);

		ASSERT_EQ(1U, attempts(request)) << i;
		happens(request, JJ_BACKEND_BROKEN);
		now += 4000;
	}
}

} // namespace
