/**
 * @file gateway_line_test.cc
 * @brief Who waits, who is refused, when one server's two places are taken.
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
			held.push_back(begin("/once/1"));
		for (uint64_t request : held)
			happens(request, JJ_BACKEND_FIRST);
		jj_slots_note_first(server("s1"), 18, now);
		jj_slots_note_hold(server("s1"), 600);
	}
	std::vector<uint64_t> held;
};

/* It would be late behind them: it is told so at once, with all its time. */
TEST_F(GatewayLine, ANewRequestThatCannotBeInTimeIsRefusedAtOnce)
{
	uint64_t request = begin("/once/1");

	EXPECT_EQ(0U, attempts(request));
	expect_end(request, JJ_GIVE_UP_OVERLOADED, JJ_RUN_NOT_RUN);
	EXPECT_GT(said[request].answer.retry_after_ms, 0);
}

/* Places that are held for 100 ms are free in time: it waits at the server. */
TEST_F(GatewayLine, ANewRequestWaitsAtAServerWhoseQueueIsShort)
{
	for (int i = 0; i < 60; i++)
		jj_slots_note_hold(server("s1"), 100);
	EXPECT_EQ(1U, attempts(begin("/once/1")));
}

/* Its time is short already: it waits for a place that comes free. */
TEST_F(GatewayLine, AReturnedRequestWaitsForAFreePlace)
{
	uint64_t request = begin("/once/1", 0, 3000);

	EXPECT_EQ(0U, attempts(request));
	EXPECT_EQ(0, said[request].answers);
	tick(25);
	EXPECT_EQ(0U, attempts(request));
	happens(held[0], JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(1U, attempts(request));
}

/* A place that comes free goes to the one that came last; the others may
 * still find one, or are told to come back, long before their time is over. */
TEST_F(GatewayLine, WhoFindsNoPlaceIsRefusedLongBeforeItsTimeIsOver)
{
	uint64_t first = begin("/once/1", 0, 3000);
	uint64_t second = begin("/once/1", 0, 3000);

	happens(held[0], JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(0U, attempts(first));
	EXPECT_EQ(1U, attempts(second));
	for (int i = 0; i < 39; i++)
		tick(25);
	EXPECT_EQ(0, said[first].answers);
	tick(25);
	expect_end(first, JJ_GIVE_UP_OVERLOADED, JJ_RUN_NOT_RUN);
}

/* A caller that leaves the line is forgotten; the next one gets the place. */
TEST_F(GatewayLine, ACallerThatLeavesTheLineIsForgotten)
{
	uint64_t stays = begin("/once/1", 0, 3000);
	uint64_t leaves = begin("/once/1", 0, 3000);

	jj_gateway_take_gone(gateway, leaves, now, &out);
	settle();
	happens(held[0], JJ_BACKEND_DONE, 200, true);
	EXPECT_EQ(0U, attempts(leaves));
	EXPECT_EQ(1U, attempts(stays));
}

/* A stream that may have run is moved however long the queues are. */
TEST_F(GatewayLine, WhatMayHaveRunIsNotRefusedForTheQueue)
{
	see(2, "servers/s2", "verona ready");
	uint64_t moved = begin("/again/1");

	ASSERT_EQ("s2", said[moved].servers[0]);
	happens(moved, JJ_BACKEND_FIRST, 200, true);
	held.push_back(begin("/once/1"));
	jj_slots_note_hold(server("s2"), 600);
	happens(moved, JJ_BACKEND_BROKEN, 0, true);
	EXPECT_EQ(2U, attempts(moved));
}

} // namespace
