/**
 * @file outcome_test.cc
 * @brief When a server counts as failing, from single answers and reports.
 */
#include <gtest/gtest.h>

extern "C" {
#include "core/outcome/outcome.h"
}

namespace
{

class Outcomes : public ::testing::Test
{
      protected:
	jj_outcomes_t *outcomes = jj_outcomes_create();
	jj_ms_t now = 10000;
	uint64_t content = 1000;

	~Outcomes() override
	{
		jj_outcomes_destroy(outcomes);
	}
	void
	note(uint64_t server, bool failed, uint64_t of = 0)
	{
		jj_outcome_t outcome = {server, 1, of != 0 ? of : ++content,
		    failed, jj_outcomes_is_failing(outcomes, server, now), now};

		now += 5;
		jj_outcomes_note(outcomes, &outcome, now);
	}
	/** Each of the servers 1 to 10 answers once. */
	void
	note_all(bool failed)
	{
		for (uint64_t server = 1; server <= 10; server++)
			note(server, failed);
	}
	bool
	is_failing(uint64_t server)
	{
		return jj_outcomes_is_failing(outcomes, server, now);
	}
};

/* A single failure may be the request's own; two contents are evidence. */
TEST_F(Outcomes, TwoContentsMakeAServerFailing)
{
	note_all(false);
	note(3, true);
	EXPECT_FALSE(is_failing(3));
	note(3, true);
	EXPECT_TRUE(is_failing(3));
	EXPECT_FALSE(is_failing(4));
}

/* A content that is sent again and again is one failure. */
TEST_F(Outcomes, OneContentIsCountedOnce)
{
	note_all(false);
	for (int i = 0; i < 10; i++)
		note(3, true, 7);
	EXPECT_FALSE(is_failing(3));
}

/* A content that fails at each server is evidence against none. */
TEST_F(Outcomes, AContentThatFailsEverywhereIsWithdrawn)
{
	note_all(false);
	note(3, true, 7);
	note(4, true, 7);
	note(3, true);
	note(4, true);
	EXPECT_FALSE(is_failing(3));
	EXPECT_FALSE(is_failing(4));
}

/* Answers of attempts that were sent before the first failure tell nothing. */
TEST_F(Outcomes, OldAttemptsAreNoRecovery)
{
	jj_outcome_t old = {3, 1, 7, false, false, now};

	note_all(false);
	note(3, true);
	note(3, true);
	for (int i = 0; i < 10; i++)
		jj_outcomes_note(outcomes, &old, now);
	EXPECT_TRUE(is_failing(3));
	for (int i = 0; i < 3; i++)
		note(3, false);
	EXPECT_FALSE(is_failing(3));
}

/* A report of a failing server is no proof without a failure. */
TEST_F(Outcomes, ReportsNeedEvidence)
{
	jj_server_outcome_t bare = {3, 0, true, false, 0, {}};
	jj_server_outcome_t full = {3, 0, true, false, 2, {7, 8}};
	jj_server_outcome_t recovered = {3, 3, false, true, 0, {}};

	note_all(false);
	jj_outcomes_take_report(outcomes, &bare, 1, false, now);
	EXPECT_FALSE(is_failing(3));
	jj_outcomes_take_report(outcomes, &full, 1, false, now);
	EXPECT_TRUE(is_failing(3));
	EXPECT_FALSE(jj_outcomes_is_changed(outcomes));
	jj_outcomes_take_report(outcomes, &recovered, 1, true, now);
	EXPECT_FALSE(is_failing(3));
	EXPECT_TRUE(jj_outcomes_is_empty(outcomes));
}

/* Nothing is kept for ever, and a probe comes before the end. */
TEST_F(Outcomes, EvidenceExpires)
{
	jj_outcome_info_t infos[16];

	note_all(false);
	note(3, true);
	note(3, true);
	EXPECT_EQ(0U, jj_outcomes_probe_key(outcomes, 3, now + 1000));
	EXPECT_NE(0U, jj_outcomes_probe_key(outcomes, 3, now + 3000));
	EXPECT_EQ(10U, jj_outcomes_list(outcomes, infos, 16, now));
	jj_server_outcome_t reports[16];
	EXPECT_EQ(1U, jj_outcomes_take_changes(outcomes, reports, 16));
	EXPECT_EQ(2U, reports[0].count);
	EXPECT_TRUE(reports[0].failing);
	now += 20000;
	jj_outcomes_tick(outcomes, now);
	EXPECT_FALSE(is_failing(3));
	EXPECT_TRUE(jj_outcomes_is_empty(outcomes));
	EXPECT_EQ(0U, jj_outcomes_list(outcomes, infos, 16, now));
}

} // namespace
