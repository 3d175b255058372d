/**
 * @file gateway_test.cc
 * @brief Requests through a VM that serves routes, with all kinds of server
 * failures.
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

/** Request number of the first item; the next ones follow. */
constexpr uint64_t FIRST_ITEM = (UINT64_C(1) << 62) + 1;

class GatewayFailure : public Gateway
{
};

TEST_F(Gateway, SendsARequestAndForgetsItWhenItIsDone)
{
	uint64_t request = begin("/once/1");

	ASSERT_EQ(1U, attempts(request));
	EXPECT_EQ("s1", outcomes[request].servers[0]);
	report_event(request, JJ_BACKEND_FIRST);
	report_event(request, JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(0, outcomes[request].answers) << "its answer was relayed";
	EXPECT_EQ(0U, jj_gateway_in_flight(gateway, JJ_CLASS_ONLINE));
	EXPECT_EQ(0U, server("s1")->online);
}

TEST_F(Gateway, RefusesWhatNoRouteAllows)
{
	expect_end(begin("/none/1"), JJ_FAILURE_NO_SERVICE, JJ_RUN_NOT_RUN);
}

TEST_F(Gateway, IsNotReadyWithoutAConfiguration)
{
	platform.objects.erase("config/main");
	create(true);
	EXPECT_FALSE(jj_gateway_is_ready(gateway));
	expect_end(begin("/once/1"), JJ_FAILURE_NO_CONFIG, JJ_RUN_NOT_RUN);
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
		EXPECT_EQ("s2", outcomes[begin("/once/1")].servers[0]);
	see(2, "servers/s2", "", true);
	expect_end(begin("/once/1"), JJ_FAILURE_NO_SERVER, JJ_RUN_NOT_RUN);
}

TEST_F(Gateway, AnswersAnOrderToEmptyItsVm)
{
	platform.put("retire/verona-1", "{}");
	platform.put("retire/verona-2", "{}");
	create(false);
	/*
	 * The fake store does not support status writes: only the call itself
	 * counts.
	 */
	EXPECT_GT(platform.reads, 0);
	EXPECT_TRUE(watches.count(3) == 1) << "only orders are watched";
	EXPECT_EQ(1U, watches.size());
}

struct FailCase {
	const char *name;
	const char *path;
	jj_backend_kind_t kind;
	bool relayed;
	/** expected number of attempts when each one fails in this way */
	size_t attempts;
	jj_run_t run;
};

class GatewayFails : public Gateway,
		     public ::testing::WithParamInterface<FailCase>
{
};

/*
 * Which requests are sent again, how often, and what the caller learns of their
 * run.
 */
TEST_P(GatewayFails, IsSentAgainOnlyWhereAllowed)
{
	see(2, "servers/s2", "verona ready");
	uint64_t request = begin(GetParam().path);

	for (int i = 0; i < 9 && outcomes[request].answers == 0; i++) {
		if (GetParam().relayed)
			report_event(request, JJ_BACKEND_FIRST);
		report_event(request, GetParam().kind, 0, GetParam().relayed);
		now += 1000;
	}
	EXPECT_EQ(GetParam().attempts, attempts(request));
	EXPECT_EQ(1, outcomes[request].answers);
	EXPECT_EQ(GetParam().run, outcomes[request].answer.run);
	EXPECT_EQ(0U, jj_gateway_in_flight(gateway, JJ_CLASS_ONLINE));
}

INSTANTIATE_TEST_SUITE_P(Kinds, GatewayFails,
    ::testing::Values(FailCase{"OnceBroken", "/once/1", JJ_BACKEND_BROKEN,
			  false, 1, JJ_RUN_UNKNOWN},
	FailCase{"OnceRefused", "/once/1", JJ_BACKEND_REFUSED, false, 2,
	    JJ_RUN_NOT_RUN},
	FailCase{"OnceOtherInstance", "/once/1", JJ_BACKEND_LEAVING, false, 2,
	    JJ_RUN_NOT_RUN},
	FailCase{"OnceMismatch", "/once/1", JJ_BACKEND_MISMATCH, false, 2,
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

/* Guards against servers that one kind of request takes out of use. */
TEST_F(GatewayFailure, ARequestThatNoServerFitsLeavesThemInUse)
{
	see(2, "servers/s2", "verona ready");
	for (int i = 0; i < 6; i++) {
		uint64_t request = begin("/once/1");

		report_event(request, JJ_BACKEND_MISMATCH);
		report_event(request, JJ_BACKEND_MISMATCH);
		EXPECT_EQ(1, outcomes[request].answers);
	}
	EXPECT_EQ(1U, attempts(begin("/once/1")));
	EXPECT_EQ(1U, attempts(begin("/once/2")));
}

/*
 * Guards against sessions that are refused while servers of their weights are
 * there, in a release that replaces one server after the other.
 */
TEST_F(GatewayFailure, SessionsStayAtTheirWeightsInARelease)
{
	std::vector<std::string> ids = {"s1", "s2", "s3"};
	int refused = 0;
	int served = 0;

	auto ask = [&](uint64_t wanted) {
		weights = wanted;
		uint64_t request = begin("/again/1");

		while (outcomes[request].answers == 0) {
			std::string id = outcomes[request].servers.back();

			answered_weights = id[0] == 'n' ? 2 : 1;
			if (wanted != 0 && wanted != answered_weights) {
				refused++;
				report_event(request, JJ_BACKEND_MISMATCH, 421);
				continue;
			}
			report_event(request, JJ_BACKEND_DONE);
			served++;
			return;
		}
	};

	see(2, "servers/s2", "verona ready");
	see(2, "servers/s3", "verona ready");
	for (int i = 0; i < 12; i++)
		ask(0);
	for (size_t k = 0; k < ids.size(); k++) {
		std::string fresh = "n" + std::to_string(k);

		see(2, ("servers/" + fresh).c_str(), "verona ready");
		for (int i = 0; i < 12; i++)
			ask(0);
		refused = served = 0;
		for (int i = 0; i < 20; i++) {
			ask(1);
			ask(2);
		}
		EXPECT_EQ(0, refused) << k;
		EXPECT_EQ(40, served) << k;
		see(2, ("servers/" + ids[k]).c_str(), "", true);
		tick(5000);
	}
	served = 0;
	for (int i = 0; i < 4; i++)
		ask(1);
	EXPECT_EQ(0, served) << "no server has them any more";
	for (int i = 0; i < 4; i++)
		ask(0);
	EXPECT_EQ(4, served) << "others are served";
}

/* Guards against an item that goes round idle servers without a pause. */
TEST_F(GatewayFailure, AnItemThatNoServerFitsIsSentOnceASecond)
{
	submit("j", 1);
	tick(50);
	for (int i = 0; i < 100; i++) {
		report_event(FIRST_ITEM, JJ_BACKEND_MISMATCH);
		tick(50);
	}
	EXPECT_GE(attempts(FIRST_ITEM), 4U);
	EXPECT_LE(attempts(FIRST_ITEM), 6U);
	report_event(begin("/once/1"), JJ_BACKEND_DONE);
}

/*
 * A request's time is over: it is answered then, and cancelled at its server.
 */
TEST_F(GatewayFailure, ATimeLimitIsKept)
{
	uint64_t request = begin("/once/1");

	tick(3990);
	EXPECT_EQ(0, outcomes[request].answers);
	tick(10);
	expect_end(request, JJ_FAILURE_DEADLINE, JJ_RUN_UNKNOWN);
	EXPECT_EQ(1U, outcomes[request].cancelled.size());
}

/* A server sends no more events in the middle of a resumable stream. */
TEST_F(GatewayFailure, AStalledStreamIsMovedIfResumable)
{
	see(2, "servers/s2", "verona ready");
	uint64_t again = begin("/again/1");
	uint64_t once = begin("/once/1");

	report_event(again, JJ_BACKEND_FIRST);
	report_event(once, JJ_BACKEND_FIRST);
	tick(1600);
	EXPECT_EQ(2U, attempts(again));
	EXPECT_NE(outcomes[again].servers[0], outcomes[again].servers[1]);
	EXPECT_EQ(1U, outcomes[again].cancelled.size());
	EXPECT_EQ(1U, attempts(once))
	    << "missing events are no reason to end it";
	EXPECT_EQ(0, outcomes[once].answers);
}

/* The caller disconnects: its request is cancelled at once. */
TEST_F(GatewayFailure, ACallerThatDisconnectsFreesItsSlot)
{
	uint64_t request = begin("/once/1");

	jj_gateway_take_disconnect(gateway, request, now, &out);
	run_actions();
	EXPECT_EQ(1U, outcomes[request].cancelled.size());
	EXPECT_EQ(0U, server("s1")->online);
	report_event(request, JJ_BACKEND_DONE);
	EXPECT_EQ(0, outcomes[request].answers);
}

/*
 * Items use the slots that online requests leave free. In a burst they are
 * preempted before the requests arrive, and resume when it is over.
 */
TEST_F(GatewayFailure, OnlineRequestsPreemptBatch)
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
	report_event(first, JJ_BACKEND_DONE);
	report_event(second, JJ_BACKEND_DONE);
	tick(50);
	EXPECT_EQ(2U, server("s1")->batch);
}

/*
 * Guards against online requests that wait behind items of several VMs. After a
 * network cut VMs did not exchange heartbeats and each filled all slots with
 * its items; online requests waited 600 ms behind them. An item that waits too
 * long for its first event is removed and sent again only later, first to
 * servers that are not crowded.
 */
TEST_F(GatewayFailure, AnItemThatFindsNoSlotLeavesTheServer)
{
	report_event(begin("/once/1"), JJ_BACKEND_DONE);
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
 * Guards against overdue items that delay others. In a backlog an overdue item
 * ran before one that could have been in time, and so made that one late too.
 * Overdue items run last, and are the first to be preempted.
 */
TEST_F(GatewayFailure, OverdueItemsRunAfterThoseThatCanBeInTime)
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
	report_event(late + 1, JJ_BACKEND_DONE);
	tick(50);
	EXPECT_EQ(1U, attempts(late));
	(void)begin("/once/1");
	EXPECT_EQ(1U, outcomes[late].cancelled.size());
	EXPECT_EQ(0U, outcomes[late + 2].cancelled.size());
}

/*
 * The same for an online request: a slot seemed free, but its first event does
 * not come. One item of this VM there is preempted.
 */
TEST_F(GatewayFailure, AnOnlineRequestThatFindsNoSlotPreemptsAnItem)
{
	report_event(begin("/once/1"), JJ_BACKEND_DONE);
	submit("j", 1);
	tick(50);
	report_event(outcomes.rbegin()->first, JJ_BACKEND_FIRST);
	uint64_t request = begin("/once/1");
	EXPECT_EQ(1U, server("s1")->batch);
	tick(99);
	EXPECT_EQ(1U, server("s1")->batch);
	tick(1);
	EXPECT_EQ(0U, server("s1")->batch);
	EXPECT_EQ(1U, server("s1")->online);
	EXPECT_EQ(0, outcomes[request].answers);
}

/*
 * Guards against a crash of the gateway's process. After a network cut a stream
 * and items stalled at the same moment. The stream was sent again, which
 * preempted the item that the loop was to check next, and which then had no
 * server.
 */
TEST_F(GatewayFailure, AStreamThatMovesMayPreemptAnItemThatStalledToo)
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
	EXPECT_EQ(0, outcomes[stream].answers);
	EXPECT_EQ(1U, jj_gateway_waiting_items(gateway));
}

/*
 * All slots and queues are full: the caller is refused at once, with the answer
 * "not run".
 */
TEST_F(GatewayFailure, AFullFleetRefusesAtOnce)
{
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(1U, attempts(begin("/once/1")));
	uint64_t request = begin("/once/1");

	expect_end(request, JJ_FAILURE_OVERLOADED, JJ_RUN_NOT_RUN);
	EXPECT_EQ(250, outcomes[request].answer.retry_after_ms);
	EXPECT_EQ(0U, attempts(request));
}

/* The retry delays of a burst of refused callers are spread. */
TEST_F(GatewayFailure, RefusedCallersRetryWhenSlotsAreFree)
{
	std::set<jj_ms_t> times;

	for (int i = 0; i < 200; i++) {
		uint64_t request = begin("/once/1");

		now += 700;
		report_event(request, JJ_BACKEND_DONE);
	}
	for (int i = 0; i < 3; i++)
		(void)begin("/once/1");
	for (int i = 0; i < 20; i++) {
		jj_ms_t wait = outcomes[begin("/once/1")].answer.retry_after_ms;

		EXPECT_LE(690, wait);
		EXPECT_GE(1400, wait);
		times.insert(wait);
	}
	EXPECT_GT(times.size(), 10U);
}

/*
 * One request crashes each server that begins to run it, and its caller sends
 * it again. Other requests that ran there are not quarantined.
 */
TEST_F(GatewayFailure, ARequestThatCrashesServersIsRefused)
{
	uint64_t poison;
	uint64_t other;

	see(2, "servers/s2", "verona ready");
	for (int i = 0; i < 2; i++) {
		poison = begin("/once/p", 77);
		other = begin("/once/o");
		while (
		    outcomes[other].servers[0] != outcomes[poison].servers[0])
			other = begin("/once/o");
		report_event(other, JJ_BACKEND_FIRST);
		report_event(poison, JJ_BACKEND_BROKEN);
		report_event(other, JJ_BACKEND_BROKEN, 0, true);
		std::string dead = "servers/" + outcomes[poison].servers[0];
		see(2, dead.c_str(), "", true);
		see(2, "servers/s3", "verona ready");
		now += 1000;
	}
	expect_end(
	    begin("/once/p", 77), JJ_FAILURE_QUARANTINED, JJ_RUN_NOT_RUN);
	EXPECT_EQ(1U, attempts(begin("/once/o")));
}

/*
 * A lost answer is no crash: the server is up, and no request is quarantined.
 */
TEST_F(GatewayFailure, ALostAnswerIsNoCrash)
{
	see(2, "servers/s2", "verona ready");
	for (int i = 0; i < 4; i++) {
		uint64_t request = begin("/once/l", 88);

		ASSERT_EQ(1U, attempts(request)) << i;
		report_event(request, JJ_BACKEND_BROKEN);
		now += 4000;
	}
}

} // namespace
