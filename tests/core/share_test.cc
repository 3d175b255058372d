/**
 * @file share_test.cc
 * @brief Division of slots, decisions of a VM and of a home.
 */
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "core/share/share.h"
#include "core/share/share_home.h"
#include "core/share/share_level.h"
}

namespace
{

struct DivideCase {
	const char *name;
	double capacity;
	std::vector<double> demands;
	std::vector<double> weights;
	double level;
};

class ShareDivide : public ::testing::TestWithParam<DivideCase>
{
};

TEST_P(ShareDivide, IsMaxMinFair)
{
	std::vector<jj_share_claim_t> claims;

	for (size_t i = 0; i < GetParam().demands.size(); i++)
		claims.push_back(
		    {i, GetParam().demands[i], GetParam().weights[i]});
	EXPECT_DOUBLE_EQ(GetParam().level,
	    jj_share_divide(claims.data(), claims.size(), GetParam().capacity));
}

INSTANTIATE_TEST_SUITE_P(Cases, ShareDivide,
    ::testing::Values(DivideCase{"None", 10, {}, {}, INFINITY},
	DivideCase{"AllFit", 10, {4, 6}, {1, 1}, INFINITY},
	DivideCase{"OneIsOver", 10, {2, 20}, {1, 1}, 8},
	DivideCase{"AllAreOver", 10, {20, 20}, {1, 1}, 5},
	DivideCase{"Weights", 12, {20, 20}, {1, 2}, 4},
	DivideCase{"NoSlots", 0, {1}, {1}, 0},
	DivideCase{"LessThanNone", -3, {1, 2}, {1, 1}, 0}),
    [](const auto &info) { return std::string(info.param.name); });

/** One VM that is the home of its only service. */
class ShareVm : public ::testing::Test
{
      protected:
	jj_shares_t *shares = jj_shares_create(1);
	jj_share_home_t *home = jj_share_home_create();
	jj_name_t service = {"ordini"};
	jj_name_t vm = {"verona-1"};
	jj_ms_t now = 1000;
	double slots = 10;
	double taken = 0;
	double weight = 1; /**< of group 1; others have 1 */
	int reports = 0;
	jj_share_demand_t report = {};
	std::map<uint64_t, int> asked;
	std::map<uint64_t, int> within;

	~ShareVm() override
	{
		jj_shares_destroy(shares);
		jj_share_home_destroy(home);
	}
	static ShareVm *
	self(void *ctx)
	{
		return static_cast<ShareVm *>(ctx);
	}
	jj_share_home_port_t
	home_port()
	{
		return {this,
		    [](void *ctx, uint64_t group) {
			    return group == 1 ? self(ctx)->weight : 1;
		    },
		    [](void *ctx, const jj_name_t *) {
			    return self(ctx)->slots;
		    },
		    [](void *ctx, const jj_share_level_t *level) {
			    jj_shares_take_level(
				self(ctx)->shares, level, self(ctx)->now);
		    },
		    100};
	}
	void
	tick()
	{
		jj_share_home_port_t of_home = home_port();
		jj_share_port_t port = {this,
		    [](void *ctx, const jj_name_t *, double *is_taken,
			double *own) {
			    *is_taken = self(ctx)->taken;
			    *own = self(ctx)->slots;
		    },
		    [](void *ctx, const jj_share_demand_t *demand) {
			    self(ctx)->reports++;
			    self(ctx)->report = *demand;
		    },
		    100};

		jj_shares_tick(shares, &port, now);
		jj_share_home_tick(home, &of_home, now);
	}
	/** @param ms to be divided by 10; @param loads requests per 10 ms. */
	void
	run(jj_ms_t ms, const std::map<uint64_t, int> &loads,
	    bool reaches_home = true)
	{
		asked.clear();
		within.clear();
		for (jj_ms_t until = now + ms; now < until; now += 10) {
			int before = reports;

			for (auto &load : loads)
				for (int i = 0; i < load.second; i++)
					arrive(load.first);
			tick();
			if (reports > before && reaches_home) {
				jj_share_home_port_t port = home_port();

				jj_share_home_take(
				    home, &vm, &report, &port, now);
			}
		}
	}
	void
	arrive(uint64_t group)
	{
		jj_share_key_t key = {&service, group, group == 1 ? weight : 1};

		asked[group]++;
		within[group] += jj_shares_arrive(shares, &key, now).within;
	}
	double
	part(uint64_t group)
	{
		return (double)within[group] / asked[group];
	}
};

/* No VM reports and no request is over its share while slots are free. */
TEST_F(ShareVm, IsSilentWhileSlotsAreFree)
{
	taken = 0.8;
	run(5000, {{1, 20}, {2, 1}});
	EXPECT_EQ(0, reports);
	EXPECT_EQ(1, part(1));
}

/* Without its home a VM divides what it sees itself. */
TEST_F(ShareVm, DividesByItselfWithoutItsHome)
{
	taken = 1;
	run(2000, {{1, 4}, {2, 1}}, false);
	run(2000, {{1, 4}, {2, 1}}, false);
	EXPECT_NEAR(0.025, part(1), 0.005);
	EXPECT_NEAR(0.1, part(2), 0.02);
}

/* A team appears or changes its weight during a peak. */
TEST_F(ShareVm, FollowsNewTeamsAndWeights)
{
	taken = 1;
	slots = 300;
	run(2000, {{1, 8}, {2, 2}});
	run(2000, {{1, 8}, {2, 2}});
	EXPECT_NEAR(0.5, part(1), 0.05);
	EXPECT_EQ(1, part(2));
	run(2000, {{1, 8}, {2, 2}, {3, 1}});
	EXPECT_EQ(1, part(3));
	weight = 3;
	run(2000, {{1, 8}, {2, 8}});
	run(2000, {{1, 8}, {2, 8}});
	EXPECT_NEAR(225.0 / 400, part(1), 0.05);
	EXPECT_NEAR(75.0 / 400, part(2), 0.05);
}

/* The clock jumps by an hour, forwards and back. */
TEST_F(ShareVm, ForgetsSharesWhenTheClockSteps)
{
	taken = 1;
	slots = 100;
	run(2000, {{1, 8}});
	taken = 0;
	now += 3600000;
	run(100, {{1, 1}});
	EXPECT_EQ(1, part(1));
	now -= 3600000;
	run(100, {{1, 1}});
	now += 3600000;
	run(100, {{1, 1}});
	EXPECT_EQ(1, part(1));
}

/* A repeated report counts once. */
TEST_F(ShareVm, RepeatedReportsCountOnce)
{
	jj_share_home_port_t port = home_port();

	taken = 1;
	slots = 500;
	run(1000, {{1, 4}});
	for (int i = 0; i < 5; i++)
		jj_share_home_take(home, &vm, &report, &port, now);
	run(300, {{1, 4}});
	EXPECT_EQ(1, part(1));
}

/* Ten thousand teams and more: memory and reports are bounded. */
TEST_F(ShareVm, CountsABoundedNumberOfTeams)
{
	jj_share_info_t infos[16];

	taken = 1;
	for (uint64_t group = 1; group <= 2 * JJ_SHARE_GROUPS_MAX; group++)
		arrive(group);
	tick();
	EXPECT_EQ(1, reports);
	EXPECT_EQ((uint32_t)JJ_MESSAGE_SHARES_MAX, report.count);
	EXPECT_EQ((uint32_t)JJ_SHARE_GROUPS_MAX + 1 - JJ_MESSAGE_SHARES_MAX,
	    report.rest_groups);
	EXPECT_EQ((size_t)JJ_SHARE_GROUPS_MAX + 1,
	    jj_shares_list(shares, infos, 16, now));
	EXPECT_EQ(0u, infos[0].group);
}

} // namespace
