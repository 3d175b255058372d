/*
 * The bound of what a process holds for callers, in virtual time.
 */
#include <memory>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "core/caller_budget.h"
}

namespace
{

constexpr size_t LIMIT = 1 << 20;
constexpr size_t FIXED = 1000;
constexpr uint32_t CONNECTIONS = 4;
constexpr size_t LARGE = 600000;
constexpr jj_ms_t SLOW = JJ_CALLER_SLOW_MS;

class CallerBudget : public testing::Test
{
      protected:
	jj_caller_budget_t budget;
	std::vector<std::unique_ptr<jj_caller_t>> callers;

	CallerBudget()
	{
		jj_caller_budget_init(&budget, LIMIT, FIXED, CONNECTIONS);
	}
	jj_caller_t *
	add(jj_ms_t now, jj_caller_phase_t phase = JJ_CALLER_HEAD,
	    size_t bytes = 0)
	{
		callers.push_back(std::make_unique<jj_caller_t>());
		jj_caller_t *caller = callers.back().get();

		jj_caller_budget_add(&budget, caller, now);
		jj_caller_budget_enter(&budget, caller, phase, now);
		EXPECT_TRUE(
		    jj_caller_budget_hold(&budget, caller, bytes, true));
		return caller;
	}
	bool
	hold(jj_caller_t *caller, size_t bytes)
	{
		return jj_caller_budget_hold(&budget, caller, bytes, false);
	}
};

/* Guards against a sum that differs from its parts. */
TEST_F(CallerBudget, SumIsThatOfAllParts)
{
	jj_caller_t *one = add(0, JJ_CALLER_BODY, 100);
	jj_caller_t *two = add(0, JJ_CALLER_SERVED, 200);

	EXPECT_EQ(2 * FIXED + 300, budget.held);
	EXPECT_TRUE(hold(one, 50));
	EXPECT_EQ(2 * FIXED + 250, budget.held);
	jj_caller_budget_remove(&budget, two);
	EXPECT_EQ(FIXED + 50, budget.held);
	jj_caller_budget_remove(&budget, one);
	EXPECT_EQ(0U, budget.held);
	EXPECT_EQ(0U, budget.connections);
}

/* Guards against large bodies that leave nothing for small ones. */
TEST_F(CallerBudget, LastQuarterIsForSmallOnes)
{
	jj_caller_t *large = add(0, JJ_CALLER_BODY);
	jj_caller_t *small = add(0, JJ_CALLER_BODY);
	size_t most = LIMIT - LIMIT / 4 - 2 * FIXED;

	EXPECT_FALSE(hold(large, most + 1));
	EXPECT_EQ(0U, large->bytes);
	EXPECT_TRUE(hold(large, most));
	EXPECT_FALSE(hold(small, JJ_CALLER_SMALL_BYTES + 1));
	EXPECT_TRUE(hold(small, JJ_CALLER_SMALL_BYTES));
}

struct phase_case_t {
	jj_caller_phase_t phase;
	bool for_memory;
	bool for_connection;
	bool expires;
};

class CallerPhase : public CallerBudget,
		    public testing::WithParamInterface<phase_case_t>
{
};

/* Guards against the end of a connection that does not wait for its caller. */
TEST_P(CallerPhase, DecidesWhoGivesWay)
{
	const phase_case_t &row = GetParam();
	jj_caller_t *other = add(0, row.phase, LARGE);
	jj_caller_t *newest = add(SLOW, JJ_CALLER_BODY);

	for (jj_ms_t &timeout : budget.timeouts)
		timeout = 10 * SLOW;
	budget.timeouts[JJ_CALLER_SERVED] = JJ_MS_NEVER;
	EXPECT_EQ(row.expires ? other : nullptr,
	    jj_caller_budget_expire(&budget, 10 * SLOW));
	jj_caller_budget_init(&budget, LIMIT, FIXED, 1);
	callers.clear();
	other = add(0, row.phase, LARGE);
	newest = add(SLOW, JJ_CALLER_BODY);
	EXPECT_EQ(row.for_connection ? other : newest,
	    jj_caller_budget_evict_for_connection(&budget, newest));
	jj_caller_budget_init(&budget, LIMIT, FIXED, 0);
	callers.clear();
	other = add(0, row.phase, LARGE);
	newest = add(SLOW, JJ_CALLER_BODY);
	EXPECT_EQ(row.for_memory ? other : nullptr,
	    jj_caller_budget_evict_for_memory(&budget, newest, LARGE, SLOW));
	EXPECT_FALSE(hold(newest, LARGE));
	jj_caller_budget_remove(&budget, other);
	EXPECT_TRUE(hold(newest, LARGE));
}
INSTANTIATE_TEST_SUITE_P(Cases, CallerPhase,
    testing::Values(phase_case_t{JJ_CALLER_HEAD, true, true, true},
	phase_case_t{JJ_CALLER_BODY, true, true, true},
	phase_case_t{JJ_CALLER_SENDING, true, true, true},
	phase_case_t{JJ_CALLER_IDLE, true, true, true},
	phase_case_t{JJ_CALLER_SERVED, false, false, false}),
    [](const auto &info) {
	    return std::string(jj_caller_phase_name(info.param.phase));
    });

/* Guards against the eviction of fast callers for the memory of others. */
TEST_F(CallerBudget, OnlySlowOnesGiveMemory)
{
	jj_caller_t *slow = add(0, JJ_CALLER_BODY, LARGE);
	jj_caller_t *idle = add(0, JJ_CALLER_IDLE);
	jj_caller_t *newest = add(SLOW - 1, JJ_CALLER_BODY);

	EXPECT_EQ(nullptr,
	    jj_caller_budget_evict_for_memory(
		&budget, newest, LARGE, SLOW - 1));
	EXPECT_EQ(slow,
	    jj_caller_budget_evict_for_memory(&budget, newest, LARGE, SLOW));
	EXPECT_EQ(nullptr,
	    jj_caller_budget_evict_for_memory(&budget, newest, LARGE, SLOW));
	EXPECT_FALSE(idle->evicted);
	jj_caller_budget_remove(&budget, slow);
	EXPECT_TRUE(hold(newest, LARGE));
}

/* Guards against evictions for what could never be held. */
TEST_F(CallerBudget, NobodyGivesWayToWhatNeverFits)
{
	(void)add(0, JJ_CALLER_BODY, LARGE);
	jj_caller_t *newest = add(SLOW, JJ_CALLER_BODY);

	EXPECT_EQ(nullptr,
	    jj_caller_budget_evict_for_memory(&budget, newest, LIMIT, SLOW));
	EXPECT_FALSE(hold(newest, LIMIT));
}

/* Guards against one connection that gives way twice. */
TEST_F(CallerBudget, EvictedOnesAreCountedOnce)
{
	std::vector<jj_caller_t *> all;

	for (jj_ms_t now = 0; now < 7; now++)
		all.push_back(add(now));
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(all[i],
		    jj_caller_budget_evict_for_connection(&budget, all[6]));
	EXPECT_EQ(
	    nullptr, jj_caller_budget_evict_for_connection(&budget, all[6]));
	EXPECT_EQ(3U, budget.closed[JJ_CALLER_OVER_CONNECTIONS]);
	EXPECT_FALSE(hold(all[0], 10));
	jj_caller_budget_enter(&budget, all[0], JJ_CALLER_SERVED, 9);
	EXPECT_EQ(JJ_CALLER_HEAD, all[0]->phase);
	for (int i = 0; i < 7; i++)
		jj_caller_budget_remove(&budget, all[i]);
	EXPECT_EQ(0U, budget.held);
	EXPECT_EQ(0U, budget.leaving);
	EXPECT_EQ(0U, budget.evicted);
}

/* Guards against phases that continue at the end of their list. */
TEST_F(CallerBudget, PhaseThatContinuesKeepsItsTime)
{
	jj_caller_t *first = add(0, JJ_CALLER_BODY);
	jj_caller_t *second = add(100, JJ_CALLER_BODY);

	budget.timeouts[JJ_CALLER_BODY] = 1000;
	jj_caller_budget_enter(&budget, first, JJ_CALLER_SERVED, 500);
	jj_caller_budget_enter(&budget, first, JJ_CALLER_BODY, 50);
	EXPECT_EQ(nullptr, jj_caller_budget_expire(&budget, 1049));
	EXPECT_EQ(first, jj_caller_budget_expire(&budget, 1050));
	EXPECT_EQ(nullptr, jj_caller_budget_expire(&budget, 1050));
	EXPECT_EQ(second, jj_caller_budget_expire(&budget, 1100));
}

/* Guards against callers that pay for a pause of this process. */
TEST_F(CallerBudget, PauseOfTheProcessDoesNotCount)
{
	jj_caller_t *caller = add(0);

	budget.timeouts[JJ_CALLER_HEAD] = 1000;
	jj_caller_budget_skip(&budget, 5000);
	EXPECT_EQ(nullptr, jj_caller_budget_expire(&budget, 5999));
	EXPECT_EQ(caller, jj_caller_budget_expire(&budget, 6000));
}

/* Guards against servers' answers that leave no room for requests. */
TEST_F(CallerBudget, AnswersOfServersLeaveRoomForRequests)
{
	jj_caller_t *caller = add(0, JJ_CALLER_SERVED);
	size_t held = 0;
	size_t small = 0;

	while (jj_caller_budget_hold_answer(&budget, 0, 100000, false))
		held += 100000;
	EXPECT_LE(held, LIMIT / 2);
	EXPECT_GT(held, LIMIT / 2 - 100000);
	while (jj_caller_budget_hold_answer(
	    &budget, 0, JJ_CALLER_SMALL_BYTES, false))
		small += JJ_CALLER_SMALL_BYTES;
	EXPECT_GT(small, 0U) << "a small one beside the large ones";
	EXPECT_LE(held + small, LIMIT - LIMIT / 4);
	EXPECT_TRUE(hold(caller, JJ_CALLER_SMALL_BYTES));
	EXPECT_EQ(held + small, budget.answers);
	EXPECT_EQ(FIXED + held + small + JJ_CALLER_SMALL_BYTES, budget.held);
	while (held > 0) {
		EXPECT_TRUE(
		    jj_caller_budget_hold_answer(&budget, 100000, 0, true));
		held -= 100000;
	}
	EXPECT_TRUE(jj_caller_budget_hold_answer(&budget, small, 0, true));
	EXPECT_EQ(0U, budget.answers);
}

/* Guards against slow callers that break the answers of others. */
TEST_F(CallerBudget, SlowCallersAreEvictedForAnAnswer)
{
	jj_caller_t *slow = add(0, JJ_CALLER_BODY, LARGE);

	EXPECT_EQ(nullptr,
	    jj_caller_budget_evict_for_answer(&budget, 0, 400000, SLOW - 1));
	EXPECT_FALSE(jj_caller_budget_hold_answer(&budget, 0, 400000, false));
	EXPECT_EQ(
	    slow, jj_caller_budget_evict_for_answer(&budget, 0, 400000, SLOW));
	EXPECT_TRUE(jj_caller_budget_hold_answer(&budget, 0, 400000, false));
}

/* Guards against callers evicted for an answer that is too large anyway. */
TEST_F(CallerBudget, NobodyIsEvictedForAnAnswerOverItsShare)
{
	(void)add(0, JJ_CALLER_BODY, LARGE);
	EXPECT_EQ(nullptr,
	    jj_caller_budget_evict_for_answer(&budget, 0, LARGE, SLOW));
	EXPECT_FALSE(jj_caller_budget_hold_answer(&budget, 0, LARGE, false));
}

} // namespace
