/**
 * @file allowance_test.cc
 * @brief A team's rate limit over all VMs, in virtual time.
 *
 * Patterns: steps between a third and twice the mean; one team with 7.5 times
 * its usual spread over all VMs; network cuts into two and three sides; the
 * death of the home; a start of all VMs at once; a limit that is lowered. The
 * limit is 1.6 times the mean, as the users set theirs.
 */
#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "tests/core/team/allowance_fleet.h"

namespace
{

constexpr double HOT = 7.5;

struct Fleet {
	size_t vms;
	double mean; /**< requests a second */
};

constexpr Fleet FLEETS[] = {{6, 3}, {6, 60}, {51, 0.5}, {51, 3}, {51, 15},
    {51, 60}, {250, 3}, {250, 60}};

struct PatternCase {
	const char *name;
	void (*play)(AllowanceFleet &fleet, double mean);
};

class AllowanceLimit : public ::testing::TestWithParam<PatternCase>
{
};

/* Guards against a team that gets more than its limit by using many VMs. */
TEST_P(AllowanceLimit, IsKeptInEveryWindow)
{
	for (const Fleet &size : FLEETS)
		for (uint32_t seed = 1; seed <= 3; seed++) {
			AllowanceFleet fleet(
			    size.vms, {1.6 * size.mean, 1.6 * size.mean}, seed);

			fleet.play(6000, size.mean);
			GetParam().play(fleet, size.mean);
			EXPECT_LE(
			    (double)fleet.worst_window(), fleet.most_allowed())
			    << size.vms << " VMs, mean " << size.mean
			    << ", seed " << seed;
		}
}

INSTANTIATE_TEST_SUITE_P(Patterns, AllowanceLimit,
    ::testing::Values(
	PatternCase{"Hot",
	    [](AllowanceFleet &f, double mean) { f.play(6500, HOT * mean); }},
	PatternCase{"HotThenCutInTwo",
	    [](AllowanceFleet &f, double mean) {
		    f.play(3000, HOT * mean);
		    f.cut(2);
		    f.play(4000, HOT * mean);
		    f.cut(1);
		    f.play(4000, mean);
	    }},
	PatternCase{"HotThenCutInThree",
	    [](AllowanceFleet &f, double mean) {
		    f.play(3000, HOT * mean);
		    f.cut(3);
		    f.play(6000, HOT * mean);
		    f.cut(1);
		    f.play(6000, HOT * mean);
	    }},
	PatternCase{"HomeDies",
	    [](AllowanceFleet &f, double mean) {
		    f.play(2000, HOT * mean);
		    f.kill(f.home_for(f.vms[0]));
		    f.play(4500, HOT * mean);
	    }},
	PatternCase{"AllRestart",
	    [](AllowanceFleet &f, double mean) {
		    f.play(6000, HOT * mean);
		    f.restart_all();
		    f.play(6000, HOT * mean);
	    }},
	PatternCase{"CutThenHot",
	    [](AllowanceFleet &f, double mean) {
		    f.cut(3);
		    f.play(2000, mean);
		    f.play(5000, HOT * mean);
		    f.cut(1);
		    f.play(4000, mean);
	    }},
	PatternCase{"CutAndHotAtOnce",
	    [](AllowanceFleet &f, double mean) {
		    f.cut(2);
		    f.play(6000, HOT * mean);
		    f.cut(1);
		    f.play(6000, mean);
	    }}),
    [](const auto &info) { return std::string(info.param.name); });

/** Requests refused although the window before them was within the limit. */
size_t
count_refused_owed(const AllowanceFleet &fleet)
{
	std::vector<jj_ms_t> asked(fleet.admitted);
	size_t owed = 0;

	asked.insert(asked.end(), fleet.refused.begin(), fleet.refused.end());
	std::sort(asked.begin(), asked.end());
	for (jj_ms_t at : fleet.refused) {
		auto end = std::upper_bound(asked.begin(), asked.end(), at);
		auto begin = std::upper_bound(
		    asked.begin(), asked.end(), at - JJ_USAGE_WINDOW_MS);

		owed += end - begin <= jj_allowance_window_limit(&fleet.limit);
	}
	return owed;
}

/*
 * Guards against refusing what is owed: steps that stay within the limit, also
 * for teams with less than one request a second at a VM. At most one request in
 * 500 may be refused that way, as for other refusals.
 */
TEST(AllowanceOwed, IsServedAtSteps)
{
	for (const Fleet &size : FLEETS) {
		size_t owed = 0;
		size_t asked = 0;

		for (uint32_t seed = 1; seed <= 3; seed++) {
			AllowanceFleet fleet(
			    size.vms, {1.6 * size.mean, 1.6 * size.mean}, seed);

			for (int step = 0; step < 4; step++) {
				fleet.play(3000, 0.378 * size.mean);
				fleet.play(2200, 1.85 * size.mean);
			}
			owed += count_refused_owed(fleet);
			asked += fleet.admitted.size() + fleet.refused.size();
		}
		EXPECT_LE(owed * 500, asked)
		    << size.vms << " VMs, mean " << size.mean;
	}
}

/* Guards against a lowered limit that binds only after the next burst. */
TEST(AllowanceChange, ALoweredLimitBindsAfterOneWindow)
{
	for (const Fleet &size : FLEETS) {
		AllowanceFleet fleet(
		    size.vms, {1.6 * size.mean, 1.6 * size.mean}, 1);

		fleet.play(6000, size.mean);
		fleet.limit = {0.5 * size.mean, 0.5 * size.mean};
		fleet.play(JJ_USAGE_WINDOW_MS, size.mean);
		fleet.admitted.clear();
		fleet.play(8000, size.mean);
		EXPECT_LE((double)fleet.worst_window(), fleet.most_allowed())
		    << size.vms << " VMs, mean " << size.mean;
	}
}

/* Guards against a raised limit of which only a part is given out. */
TEST(AllowanceChange, ARaisedLimitIsServed)
{
	for (const Fleet &size : FLEETS) {
		AllowanceFleet fleet(
		    size.vms, {0.3 * size.mean, 0.3 * size.mean}, 1);

		fleet.play(6000, size.mean);
		fleet.limit = {2 * size.mean, 2 * size.mean};
		fleet.play(JJ_USAGE_WINDOW_MS, size.mean);
		fleet.refused.clear();
		fleet.admitted.clear();
		fleet.play(8000, size.mean);
		EXPECT_LE(fleet.refused.size() * 500, fleet.admitted.size())
		    << size.vms << " VMs, mean " << size.mean;
	}
}

/* Guards against a limit that stays in force after it was taken away. */
TEST(AllowanceChange, NoGrantOfATeamWithoutALimit)
{
	AllowanceFleet fleet(6, {1, 1}, 1);
	jj_team_use_t use = {};
	jj_team_grant_t grant;

	use.team = TEAM;
	fleet.limited = false;
	EXPECT_FALSE(jj_allowance_home_take(
	    fleet.vms[0].home, &fleet.vms[1].name, &use, fleet.now, &grant));
}

/* Guards against callers of a refused team that return all at once. */
TEST(AllowanceRetry, TimesAreSpread)
{
	AllowanceFleet fleet(6, {10, 10}, 1);
	std::vector<jj_ms_t> times;

	fleet.play(4000, 200);
	for (int i = 0; i < 200; i++) {
		jj_allowance_decision_t decision =
		    jj_allowance_admit(fleet.vms[0].allowance, TEAM,
			&fleet.limit, 6, true, fleet.now);

		if (!decision.admitted)
			times.push_back(decision.retry_after_ms);
	}
	ASSERT_GT(times.size(), 100U);
	std::sort(times.begin(), times.end());
	EXPECT_GE(times.front(), 200);
	EXPECT_GE(times.back() - times.front(), times.front() / 2);
}

/* Guards against messages that grow with the requests of a team. */
TEST(AllowanceMessages, AreFewBelowTheLimit)
{
	AllowanceFleet fleet(51, {96, 96}, 1);

	fleet.play(4000, 60);
	fleet.sent = 0;
	fleet.play(10000, 60);
	/* A report and its grant for each request at most. */
	EXPECT_LE(fleet.sent, 2U * 600);
}

/* Guards against charging twice for a request that a server never got. */
TEST(AllowanceRefund, GivesBackWhatDidNotRun)
{
	jj_allowance_t *allowance = jj_allowance_create(1);
	jj_allowance_limit_t limit = {0.2, 0};

	/* The limit allows one request on trust, and two in all. */
	EXPECT_TRUE(jj_allowance_admit(allowance, TEAM, &limit, 1, true, 1000)
			.admitted);
	EXPECT_TRUE(jj_allowance_admit(allowance, TEAM, &limit, 1, true, 1000)
			.admitted);
	EXPECT_FALSE(jj_allowance_admit(allowance, TEAM, &limit, 1, true, 1000)
			 .admitted);
	jj_allowance_refund(allowance, TEAM);
	EXPECT_TRUE(jj_allowance_admit(allowance, TEAM, &limit, 1, true, 1000)
			.admitted);
	jj_allowance_refund(allowance, TEAM + 1);
	jj_allowance_destroy(allowance);
}

struct WindowCase {
	const char *name;
	jj_ms_t later; /**< after the events */
	uint32_t sum;
};

class UsageWindow : public ::testing::TestWithParam<WindowCase>
{
};

/* Guards against a window that forgets events too early. */
TEST_P(UsageWindow, CountsForItsLength)
{
	jj_usage_window_t window = {};

	jj_usage_window_add(&window, 7, 100199);
	EXPECT_EQ(GetParam().sum,
	    jj_usage_window_sum(&window, 100199 + GetParam().later));
}

INSTANTIATE_TEST_SUITE_P(Times, UsageWindow,
    ::testing::Values(WindowCase{"AtOnce", 0, 7},
	WindowCase{"InTheWindow", JJ_USAGE_WINDOW_MS, 7},
	WindowCase{"After", JJ_USAGE_WINDOW_MS + 2 * JJ_USAGE_SLICE_MS, 0},
	WindowCase{"LongAfter", 3600000, 0}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(UsageWindow, SpreadEventsAgeEvenly)
{
	jj_usage_window_t window = {};

	jj_usage_window_add_spread(&window, 260, 100000);
	EXPECT_EQ(260U, jj_usage_window_sum(&window, 100000));
	EXPECT_NEAR(130, jj_usage_window_sum(&window, 100000 + 2600), 10);
	jj_usage_window_undo(&window);
	EXPECT_NEAR(129, jj_usage_window_sum(&window, 102600), 10);
}

} // namespace
