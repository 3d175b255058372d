/**
 * @file gateway_queue_test.cc
 * @brief Which requests wait and which are refused when both slots of the only
 * server are taken.
 */
#include "tests/core/gateway_fixture.h"

namespace
{

class GatewayLine : public Gateway
{
      protected:
	GatewayLine()
	{
		for (jj_route_t &route : routes)
			route.target_ms = 300;
		see(1, "config/main", "8");
		for (int i = 0; i < 2; i++)
			running.push_back(begin("/once/1"));
		for (uint64_t request : running)
			report_event(request, JJ_BACKEND_FIRST);
		jj_slots_note_first(server("s1"), 18, now);
		jj_slots_note_service_time(server("s1"), 600);
	}
	std::vector<uint64_t> running;
};

/*
 * It would be late behind the running requests: it is refused at once, with all
 * its time left for a retry.
 */
TEST_F(GatewayLine, ANewRequestThatCannotBeInTimeIsRefusedAtOnce)
{
	uint64_t request = begin("/once/1");

	EXPECT_EQ(0U, attempts(request));
	expect_end(request, JJ_FAILURE_OVERLOADED, JJ_RUN_NOT_RUN);
	EXPECT_GT(outcomes[request].answer.retry_after_ms, 0);
}

/*
 * With a service time of 100 ms a slot is free in time: the request waits at
 * the server.
 */
TEST_F(GatewayLine, ANewRequestWaitsAtAServerWhoseQueueIsShort)
{
	for (int i = 0; i < 60; i++)
		jj_slots_note_service_time(server("s1"), 100);
	EXPECT_EQ(1U, attempts(begin("/once/1")));
}

/* It has used up part of its time: it waits for a slot to become free. */
TEST_F(GatewayLine, ARetriedRequestWaitsForAFreeSlot)
{
	uint64_t request = begin("/once/1", 0, 3000);

	EXPECT_EQ(0U, attempts(request));
	EXPECT_EQ(0, outcomes[request].answers);
	tick(25);
	EXPECT_EQ(0U, attempts(request));
	report_event(running[0], JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(1U, attempts(request));
}

/* Guards against a request that waits behind a less urgent one. */
TEST_F(GatewayLine, AFreeSlotGoesToTheHighestPriority)
{
	routes[0].priority = 1;
	see(1, "config/main", "9");
	uint64_t urgent = begin("/again/1", 0, 4000);
	uint64_t urgent_retry = begin("/again/1", 0, 3000);
	uint64_t later = begin("/once/1", 0, 3000);

	(void)urgent;
	report_event(running[0], JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(1U, attempts(urgent_retry));
	EXPECT_EQ(0U, attempts(later));
}

/*
 * A free slot goes to the request that came last. The others are refused long
 * before their time is over, and may find a slot elsewhere.
 */
TEST_F(GatewayLine, ARequestWithoutASlotIsRefusedLongBeforeItsTimeIsOver)
{
	uint64_t first = begin("/once/1", 0, 3000);
	uint64_t second = begin("/once/1", 0, 3000);

	report_event(running[0], JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(0U, attempts(first));
	EXPECT_EQ(1U, attempts(second));
	for (int i = 0; i < 39; i++)
		tick(25);
	EXPECT_EQ(0, outcomes[first].answers);
	tick(25);
	expect_end(first, JJ_FAILURE_OVERLOADED, JJ_RUN_NOT_RUN);
}

/*
 * A caller disconnects while its request is queued: the next one gets the slot.
 */
TEST_F(GatewayLine, ACallerThatLeavesTheQueueIsForgotten)
{
	uint64_t stays = begin("/once/1", 0, 3000);
	uint64_t leaves = begin("/once/1", 0, 3000);

	jj_gateway_take_disconnect(gateway, leaves, now, &out);
	run_actions();
	report_event(running[0], JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(0U, attempts(leaves));
	EXPECT_EQ(1U, attempts(stays));
}

/* A stream that may have run is moved regardless of the queues. */
TEST_F(GatewayLine, ARequestThatMayHaveRunIsNotRefusedForTheQueue)
{
	see(2, "servers/s2", "verona ready");
	uint64_t moved = begin("/again/1");

	ASSERT_EQ("s2", outcomes[moved].servers[0]);
	report_event(moved, JJ_BACKEND_FIRST, 200, true);
	running.push_back(begin("/once/1"));
	jj_slots_note_service_time(server("s2"), 600);
	report_event(moved, JJ_BACKEND_BROKEN, 0, true);
	EXPECT_EQ(2U, attempts(moved));
}

} // namespace
