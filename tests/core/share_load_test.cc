/**
 * @file share_load_test.cc
 * @brief Fair shares under load: one team sends many times its usual load.
 */
#include "tests/core/load_world.h"

namespace
{

constexpr int SEEDS = 3;
/** Sixth largest of the teams, 0.04 of the usual load. */
constexpr int HOT_TEAM = 5;
constexpr double USUAL = 0.75; /**< usual load as a share of the limit */

LoadShape
shape_of(bool fair)
{
	LoadShape shape;

	shape.vms = 12;
	shape.servers = 24;
	shape.teams = 20;
	shape.fair_shares = fair;
	return shape;
}

/** Share of the requests that were served in time, at once or by a retry. */
double
in_time(const LoadSecond &sum)
{
	return (double)(sum.in_target + sum.again) / sum.asked;
}

struct Outcome {
	double others = 0;
	double hot = 0;
	double refused = 0; /**< share of the others that are refused twice */
	double busy = 0; /**< share of the slot time that is used */
};

/** Ten seconds with a hot team after three seconds without one. */
Outcome
run_hot(bool fair, double times)
{
	Outcome mean;

	for (int seed = 1; seed <= SEEDS; seed++) {
		LoadWorld world(shape_of(fair), (uint64_t)seed);
		double rate = USUAL * world.shape.limit();
		LoadSecond others;
		double busy;

		world.load(3000, rate);
		busy = world.busy_ms;
		world.hot_team = HOT_TEAM;
		world.hot_times = times;
		world.load(10000, rate);
		mean.busy += (world.busy_ms - busy) /
		    (10000.0 * world.shape.servers * world.shape.slots) / SEEDS;
		world.hot_team = -1;
		world.load(5000, 0.2 * rate);
		others = world.sum(3, 13, -1, HOT_TEAM);
		mean.others += in_time(others) / SEEDS;
		mean.refused += (double)others.refused / others.asked / SEEDS;
		mean.hot += in_time(world.sum(3, 13, HOT_TEAM)) / SEEDS;
	}
	printf("hot %g fair %d: others %.3f hot %.3f others refused %.3f "
	       "busy %.3f\n",
	    times, fair, mean.others, mean.hot, mean.refused, mean.busy);
	return mean;
}

class HotTeam : public ::testing::TestWithParam<int>
{
};

/* Guards against a hot team that takes the slots of the others. */
TEST_P(HotTeam, OthersAreServed)
{
	Outcome before = run_hot(false, GetParam());
	Outcome after = run_hot(true, GetParam());

	EXPECT_GE(after.others, 0.95);
	EXPECT_GE(after.busy, before.busy - 0.015);
	EXPECT_LE(after.refused, before.refused / 3);
}

INSTANTIATE_TEST_SUITE_P(Times, HotTeam, ::testing::Values(15, 40));

struct PlainCase {
	const char *name;
	double load; /**< mean, as a share of the limit */
	bool waves;
	double zipf;
};

class NoHotTeam : public ::testing::TestWithParam<PlainCase>
{
};

/* Guards against shares that serve fewer when no team is hot. */
TEST_P(NoHotTeam, AsManyAreServed)
{
	double served[2] = {0, 0};

	for (bool fair : {false, true})
		for (int seed = 1; seed <= SEEDS - 1; seed++) {
			LoadShape shape = shape_of(fair);

			shape.zipf = GetParam().zipf;
			LoadWorld world(shape, (uint64_t)seed);
			double rate = GetParam().load * shape.limit();

			for (int wave = 0; wave < 3; wave++) {
				world.load(
				    2400, rate * (GetParam().waves ? 1.87 : 1));
				world.load(
				    3400, rate * (GetParam().waves ? 0.39 : 1));
			}
			world.load(3000, 0.2 * rate);
			served[fair] += in_time(world.sum(0, 17)) / (SEEDS - 1);
		}
	printf("%s off %.3f on %.3f\n", GetParam().name, served[0], served[1]);
	EXPECT_GE(served[1], served[0] - 0.01);
}

INSTANTIATE_TEST_SUITE_P(Loads, NoHotTeam,
    ::testing::Values(PlainCase{"Half", 0.5, false, 1.2},
	PlainCase{"Most", 0.9, false, 1.2}, PlainCase{"All", 1.0, false, 1.2},
	PlainCase{"Over", 1.5, false, 1.2}, PlainCase{"Waves", 0.7, true, 1.2},
	PlainCase{"EqualTeams", 1.2, false, 0},
	PlainCase{"EqualTeamsInWaves", 0.7, true, 0}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against messages on a calm day. */
TEST(ShareMessages, NoneWhileSlotsAreFree)
{
	LoadWorld world(shape_of(true));

	world.load(10000, 0.6 * world.shape.limit());
	EXPECT_EQ(0u, world.count_sent(JJ_MESSAGE_SHARE_DEMAND));
	EXPECT_EQ(0u, world.count_sent(JJ_MESSAGE_SHARE_LEVEL));
}

/** The VM that announces shares. */
std::string
home_of(LoadWorld &world)
{
	std::string home;
	size_t most = 0;

	for (auto &vm : world.vms)
		if (vm.second.sent[JJ_MESSAGE_SHARE_LEVEL] > most) {
			most = vm.second.sent[JJ_MESSAGE_SHARE_LEVEL];
			home = vm.first;
		}
	return home;
}

void
restart_all(LoadWorld &world)
{
	for (int i = 1; i <= world.shape.vms; i++)
		world.kill("verona-" + std::to_string(i));
	for (int i = 1; i <= world.shape.vms; i++)
		world.create("verona-" + std::to_string(i), 100 + i);
}

struct FailureCase {
	const char *name;
	void (*prepare)(LoadWorld &); /**< before the load, or NULL */
	void (*fail)(LoadWorld &); /**< with the peak, or NULL */
	/** in the peak, after two seconds of it, or NULL */
	void (*fail_later)(LoadWorld &);
};

class ShareFailure : public ::testing::TestWithParam<FailureCase>
{
};

/** Part of the others' requests in time from a second after the failure on. */
double
others_in_time(const FailureCase &failure, bool fair_shares)
{
	double others = 0;

	for (int seed = 1; seed <= SEEDS; seed++) {
		LoadWorld world(shape_of(fair_shares), (uint64_t)seed);
		double rate = USUAL * world.shape.limit();

		if (failure.prepare != nullptr)
			failure.prepare(world);
		world.load(3000, rate);
		world.hot_team = HOT_TEAM;
		world.hot_times = 40;
		if (failure.fail != nullptr)
			failure.fail(world);
		world.load(2000, rate);
		if (failure.fail_later != nullptr)
			failure.fail_later(world);
		world.load(6000, rate);
		world.hot_team = -1;
		world.load(5000, 0.2 * rate);
		others += in_time(world.sum(6, 11, -1, HOT_TEAM)) / SEEDS;
	}
	return others;
}

TEST_P(ShareFailure, OthersAreServed)
{
	EXPECT_GE(others_in_time(GetParam(), true), 0.95);
}

INSTANTIATE_TEST_SUITE_P(Cases, ShareFailure,
    ::testing::Values(
	/* The VM that divides the slots ends during a peak. */
	FailureCase{"HomeEnds", nullptr, nullptr,
	    [](LoadWorld &world) { world.kill(home_of(world)); }},
	/* All messages to and from the home are lost. */
	FailureCase{"HomeIsCutOff", nullptr, nullptr,
	    [](LoadWorld &world) { world.cut_off = {home_of(world)}; }},
	/* A third of the VMs is cut off as the peak begins. */
	FailureCase{"PartitionWithThePeak", nullptr,
	    [](LoadWorld &world) {
		    world.cut_off = {
			"verona-1", "verona-2", "verona-3", "verona-4"};
	    },
	    nullptr},
	/* All VMs restart during a peak. */
	FailureCase{"AllVmsRestart", nullptr, nullptr, restart_all},
	/* Messages come twice, late and out of order. */
	FailureCase{"Disorder", nullptr,
	    [](LoadWorld &world) { world.disorder = 0.2; }, nullptr}),
    [](const auto &info) { return std::string(info.param.name); });

/* VMs of an earlier version admit whoever asks; the others' shares still help. */
TEST(ShareFailureMixed, AThirdOfTheVmsHasNoShares)
{
	FailureCase none = {"None", nullptr, nullptr, nullptr};
	FailureCase mixed = none;

	mixed.prepare = [](LoadWorld &world) {
		world.fair_shares = false;
		for (int i = 1; i <= 4; i++) {
			std::string name = "verona-" + std::to_string(i);

			world.kill(name);
			world.create(name, 100 + i);
		}
	};
	EXPECT_GT(others_in_time(mixed, true), others_in_time(none, false));
}

/* No request is refused for its share before demand has been counted. */
TEST(ShareRestart, NoneIsRefusedBeforeDemandIsCounted)
{
	LoadWorld world(shape_of(true));
	double rate = USUAL * world.shape.limit();

	world.hot_team = HOT_TEAM;
	world.hot_times = 40;
	world.load(3000, rate);
	EXPECT_GT(world.count_events("over_share"), 0);
	restart_all(world);
	world.load(300, rate);
	EXPECT_EQ(0, world.count_events("over_share"));
}

} // namespace
