/**
 * @file quarantine_test.cc
 * @brief Requests that crash servers are refused; others are not.
 */
#include <initializer_list>

#include <gtest/gtest.h>

extern "C" {
#include "core/quarantine.h"
}

namespace
{

class Quarantine : public ::testing::Test
{
      protected:
	Quarantine()
	{
		jj_quarantine_settings_t settings = {2, 600000, 3600000, 100};

		quarantine = jj_quarantine_create(&settings);
		TAILQ_INIT(&out);
	}
	~Quarantine() override
	{
		jj_actions_clear(&out);
		jj_quarantine_destroy(quarantine);
	}
	void
	crash(const char *server, uint64_t boot,
	    std::initializer_list<uint64_t> requests)
	{
		jj_crash_t report = {};

		(void)jj_name_set(&report.server, server);
		report.boot = boot;
		for (uint64_t request : requests)
			report.suspects[report.suspect_count++] = request;
		jj_quarantine_take_crash(quarantine, &report, now, &out);
	}
	jj_quarantine_verdict_t
	check(uint64_t request)
	{
		return jj_quarantine_check(quarantine, request, now);
	}

	static constexpr uint64_t POISON = 666;
	jj_quarantine_t *quarantine;
	jj_actions_t out;
	jj_ms_t now = 1000;
};

/*
 * One request crashes each server that runs it, and its caller sends it again
 * through other VMs. Each crash breaks tens of other requests. After the second
 * server it is refused; the others run on and are cleared.
 */
TEST_F(Quarantine, TheSecondCrashRefusesThePoisonAndNobodyElse)
{
	crash("s1", 1, {1, 2, 3, POISON});
	for (uint64_t request : {uint64_t{1}, uint64_t{3}, POISON})
		EXPECT_EQ(check(request), JJ_QUARANTINE_SUSPECT);
	EXPECT_EQ(check(99), JJ_QUARANTINE_CLEAN);
	jj_quarantine_clear(quarantine, 1);
	EXPECT_EQ(check(1), JJ_QUARANTINE_CLEAN);
	crash("s2", 5, {1, 4, POISON});
	EXPECT_EQ(check(POISON), JJ_QUARANTINE_REFUSED);
	for (uint64_t request : {1, 2, 3, 4})
		EXPECT_EQ(check(request), JJ_QUARANTINE_SUSPECT) << request;
	EXPECT_EQ(jj_quarantine_count(quarantine, now), 1u);
	for (uint64_t request : {1, 2, 3, 4}) {
		jj_quarantine_clear(quarantine, request);
		EXPECT_EQ(check(request), JJ_QUARANTINE_CLEAN);
	}
	EXPECT_EQ(check(POISON), JJ_QUARANTINE_REFUSED);
}

/*
 * Every VM that had requests on the crashed server reports it, some twice. If
 * each report counted, one crash would refuse all that were there.
 */
TEST_F(Quarantine, OneDeathCountsOnceWhoeverTellsIt)
{
	const struct {
		const char *story;
		const char *server;
		uint64_t boot;
		jj_ms_t after_ms;
		jj_quarantine_verdict_t verdict;
	} cases[] = {
	    {"first report", "s1", 1, 0, JJ_QUARANTINE_SUSPECT},
	    {"a neighbour's", "s1", 1, 10, JJ_QUARANTINE_SUSPECT},
	    {"a late repeat", "s1", 1, 60000, JJ_QUARANTINE_SUSPECT},
	    {"its next run dies", "s1", 2, 100, JJ_QUARANTINE_REFUSED},
	};

	for (const auto &row : cases) {
		now += row.after_ms;
		crash(row.server, row.boot, {POISON});
		EXPECT_EQ(check(POISON), row.verdict) << row.story;
	}
}

TEST_F(Quarantine, UnknownBootsAreOneDeathForAWhile)
{
	crash("s1", 0, {POISON});
	now += 1000;
	crash("s1", 0, {POISON});
	EXPECT_EQ(check(POISON), JJ_QUARANTINE_SUSPECT);
	now += 60000;
	crash("s1", 0, {POISON});
	EXPECT_EQ(check(POISON), JJ_QUARANTINE_REFUSED);
}

/* Guards against refusals by crashes that were none, and lost true ones. */
TEST_F(Quarantine, AWithdrawnCrashCountsForNoRequest)
{
	jj_name_t server = {};

	crash("e1", 1, {POISON, 1});
	crash("e2", 2, {POISON});
	crash("e3", 3, {POISON});
	now += 10;
	crash("e4", 4, {2});
	EXPECT_EQ(JJ_QUARANTINE_REFUSED, check(POISON));
	(void)jj_name_set(&server, "e1");
	EXPECT_EQ(0U, jj_quarantine_withdraw(quarantine, &server, 9, &out));
	EXPECT_EQ(2U, jj_quarantine_withdraw(quarantine, &server, 1, &out));
	EXPECT_EQ(0U, jj_quarantine_withdraw(quarantine, &server, 1, &out));
	EXPECT_EQ(JJ_QUARANTINE_CLEAN, check(1));
	EXPECT_EQ(JJ_QUARANTINE_REFUSED, check(POISON)) << "two are left";
	(void)jj_name_set(&server, "e2");
	EXPECT_EQ(1U, jj_quarantine_withdraw(quarantine, &server, 2, &out));
	EXPECT_EQ(JJ_QUARANTINE_SUSPECT, check(POISON));
	EXPECT_EQ(1U, jj_quarantine_strikes(quarantine, POISON, now));
	now += 600000 - 10;
	jj_quarantine_tick(quarantine, now);
	EXPECT_EQ(0U, jj_quarantine_strikes(quarantine, POISON, now));
	EXPECT_EQ(1U, jj_quarantine_strikes(quarantine, 2, now));
	crash("e5", 5, {POISON});
	crash("e6", 6, {POISON});
	EXPECT_EQ(JJ_QUARANTINE_REFUSED, check(POISON));
}

/*
 * Two VMs connect again after a network partition. Each has seen one crash of
 * its own and both have seen a third: none counts twice, and a request is
 * refused for as long as without the exchange, not longer.
 */
TEST_F(Quarantine, WhatANeighbourTellsCountsEachDeathOnce)
{
	jj_quarantine_settings_t settings = {2, 600000, 3600000, 100};
	jj_quarantine_t *other = jj_quarantine_create(&settings);
	jj_crash_record_t listed[2] = {};

	crash("s1", 1, {1, POISON});
	crash("s2", 1, {POISON});
	now += 1000;
	ASSERT_EQ(jj_quarantine_list(quarantine, now, listed, 2), 2u);
	EXPECT_EQ(listed[0].fingerprint, POISON)
	    << "refused requests come first";
	EXPECT_EQ(listed[0].death_count, 2u);
	EXPECT_EQ(listed[0].age_ms, 1000);
	for (int i = 0; i < 2; i++)
		jj_quarantine_take_history(other, listed, 2, now, &out);
	EXPECT_EQ(
	    jj_quarantine_check(other, POISON, now), JJ_QUARANTINE_REFUSED);
	EXPECT_EQ(jj_quarantine_check(other, 1, now), JJ_QUARANTINE_SUSPECT);
	now += 3598999;
	EXPECT_EQ(
	    jj_quarantine_check(other, POISON, now), JJ_QUARANTINE_REFUSED);
	now += 1;
	EXPECT_EQ(jj_quarantine_check(other, POISON, now), JJ_QUARANTINE_CLEAN);
	EXPECT_EQ(jj_quarantine_list(quarantine, now, listed, 2), 0u);
	jj_quarantine_destroy(other);
}

TEST_F(Quarantine, StrikesAndRefusalsLapse)
{
	crash("s1", 1, {1, POISON});
	crash("s2", 1, {POISON});
	now += 599999;
	EXPECT_EQ(check(1), JJ_QUARANTINE_SUSPECT);
	now += 1;
	EXPECT_EQ(check(1), JJ_QUARANTINE_CLEAN);
	crash("s3", 1, {1});
	EXPECT_EQ(check(1), JJ_QUARANTINE_SUSPECT) << "the first one expired";
	EXPECT_EQ(check(POISON), JJ_QUARANTINE_REFUSED);
	now += 3000000;
	EXPECT_EQ(check(POISON), JJ_QUARANTINE_CLEAN);
	EXPECT_EQ(jj_quarantine_count(quarantine, now), 0u);
}

TEST_F(Quarantine, MemoryIsBoundedAndKeepsTheRefused)
{
	crash("s1", 1, {POISON});
	crash("s2", 1, {POISON});
	for (uint64_t request = 1000; request < 2000; request++)
		crash("s3", request, {request});
	EXPECT_EQ(check(POISON), JJ_QUARANTINE_REFUSED);
	EXPECT_EQ(check(1999), JJ_QUARANTINE_SUSPECT);
	EXPECT_EQ(check(1000), JJ_QUARANTINE_CLEAN);
}

} // namespace
