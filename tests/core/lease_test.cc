/**
 * @file lease_test.cc
 * @brief One holder at a time, whatever is late, lost, paused or down.
 */
#include <string>

#include <gtest/gtest.h>

#include "tests/core/fake_platform.h"

extern "C" {
#include "core/lease.h"
}

namespace
{

/** One VM's lease, whose calls are executed and answered by hand. */
class Holder
{
      public:
	Holder(FakePlatform *platform, const char *writer, uint64_t seed)
	    : platform(platform)
	{
		jj_lease_settings_t settings = {};

		strcpy(settings.key, "leases/sala-a/orders");
		strcpy(settings.writer, writer);
		settings.lease_ms = 6000;
		settings.margin_ms = 1500;
		settings.grace_ms = 4000;
		settings.seed = seed;
		lease = jj_lease_create(&settings);
		TAILQ_INIT(&out);
	}
	~Holder()
	{
		jj_platform_result_clear(&result);
		jj_actions_clear(&out);
		jj_lease_destroy(lease);
	}
	void
	want(bool wanted, jj_ms_t now)
	{
		jj_lease_want(lease, wanted, now, &out);
	}
	void
	tick(jj_ms_t now)
	{
		jj_lease_tick(lease, now, &out);
	}
	/** Ticks and executes all calls; answers that many of them, -1: all. */
	void
	run(jj_ms_t now, int answers = -1)
	{
		tick(now);
		while (execute_call() && answers != 0) {
			deliver(now, false);
			answers--;
		}
	}
	/** Executes a call at the platform; false when none is pending. */
	bool
	execute_call()
	{
		jj_action_t *action = FakePlatform::find_call(&out);

		if (action == nullptr || executed)
			return false;
		TAILQ_REMOVE(&out, action, link);
		result = platform->execute(action->body.platform);
		jj_action_free(action);
		executed = true;
		return true;
	}
	bool
	deliver(jj_ms_t now, bool lose)
	{
		if (!executed)
			return false;
		if (lose)
			result.outcome = JJ_PLATFORM_UNKNOWN;
		executed = false;
		jj_lease_take_result(lease, &result, now, &out);
		jj_platform_result_clear(&result);
		return true;
	}
	bool
	held(jj_ms_t now)
	{
		return jj_lease_is_held(lease, now);
	}

	FakePlatform *platform;
	jj_lease_t *lease;
	jj_actions_t out;
	jj_platform_result_t result = {};
	bool executed = false;
};

class Lease : public ::testing::Test
{
      protected:
	FakePlatform platform;
	Holder a{&platform, "a1/01", 1};
	Holder b{&platform, "a2/02", 2};
	jj_ms_t now = 1000;

	void
	run(jj_ms_t duration, bool run_a = true, bool run_b = true)
	{
		for (jj_ms_t end = now + duration; now < end; now += 100) {
			if (run_a)
				a.run(now);
			if (run_b)
				b.run(now);
			ASSERT_FALSE(a.held(now) && b.held(now));
		}
	}
	void
	begin()
	{
		a.want(true, now);
		run(1000);
		b.want(true, now);
		run(3000);
		ASSERT_TRUE(a.held(now));
		ASSERT_FALSE(b.held(now));
	}
};

TEST_F(Lease, IsKeptByRenewal)
{
	begin();
	EXPECT_TRUE(jj_lease_is_safe_unfenced(a.lease, now))
	    << "the first holder";
	run(60000);
	EXPECT_TRUE(a.held(now));
	EXPECT_EQ(jj_lease_fence(a.lease), 1u);
	EXPECT_LE(platform.writes, 33);
}

/*
 * The holder is paused past its lease and another VM takes over. If the first
 * one resumed as the holder, both would send orders.
 */
TEST_F(Lease, APausedHolderHasLostItWhenItResumes)
{
	begin();
	run(12000, false, true);
	EXPECT_TRUE(b.held(now));
	EXPECT_FALSE(a.held(now));
	EXPECT_EQ(jj_lease_fence(b.lease), 2u);
	run(5000);
	EXPECT_TRUE(b.held(now));
	EXPECT_FALSE(a.held(now));
}

/*
 * An order of the paused holder is still pending when another VM takes over. A
 * server that ignores fencing numbers would apply it after the new one's.
 */
TEST_F(Lease, ASuccessorWaitsForServersThatIgnoreFences)
{
	begin();
	while (!b.held(now))
		run(100, false, true);
	EXPECT_FALSE(jj_lease_is_safe_unfenced(b.lease, now));
	run(3500, false, true);
	EXPECT_FALSE(jj_lease_is_safe_unfenced(b.lease, now));
	run(1000, false, true);
	EXPECT_TRUE(jj_lease_is_safe_unfenced(b.lease, now));
}

/*
 * Renewals take effect and their answers are lost, repeatedly: a conflict with
 * its own write must not be taken for another VM's.
 */
TEST_F(Lease, LostAnswersDoNotLoseTheLease)
{
	begin();
	for (int i = 0; i < 20; i++) {
		platform.next_writes = {Fault::kLoseAnswer};
		run(2000);
		EXPECT_TRUE(a.held(now)) << i;
	}
	EXPECT_EQ(jj_lease_fence(a.lease), 1u);
}

TEST_F(Lease, ALostAnswerToTheFirstWriteIsRecognised)
{
	platform.next_writes = {Fault::kLoseAnswer};
	a.want(true, now);
	run(1000);
	EXPECT_TRUE(a.held(now));
	EXPECT_EQ(jj_lease_fence(a.lease), 1u);
	EXPECT_EQ(platform.writes, 1);
}

TEST_F(Lease, OutagesOfThePlatform)
{
	const struct {
		const char *story;
		Fault fault;
		jj_ms_t lasts_ms;
		bool held_during;
	} cases[] = {
	    {"short, refused", Fault::kRefuse, 3000, true},
	    {"short, no answers", Fault::kNoAnswer, 3000, true},
	    {"long, refused", Fault::kRefuse, 20000, false},
	    {"long, no answers", Fault::kNoAnswer, 20000, false},
	};

	begin();
	for (const auto &row : cases) {
		uint64_t before = jj_lease_fence(a.lease);

		platform.fault = row.fault;
		run(row.lasts_ms);
		EXPECT_EQ(a.held(now) || b.held(now), row.held_during)
		    << row.story;
		platform.fault = Fault::kNone;
		run(3000);
		EXPECT_TRUE(a.held(now) || b.held(now)) << row.story;
		EXPECT_GE(
		    std::max(jj_lease_fence(a.lease), jj_lease_fence(b.lease)),
		    before);
	}
}

TEST_F(Lease, IsHandedOverByARelease)
{
	begin();
	a.want(false, now);
	EXPECT_FALSE(a.held(now));
	run(3200);
	EXPECT_TRUE(b.held(now));
	EXPECT_FALSE(jj_lease_is_safe_unfenced(b.lease, now));
	EXPECT_EQ(jj_lease_next(a.lease), JJ_MS_NEVER);
}

/*
 * Released, and wanted again before the answer arrives: the release may already
 * be in effect, and another VM may hold the lease.
 */
TEST_F(Lease, ARecalledReleaseIsNoLease)
{
	begin();
	a.want(false, now);
	ASSERT_TRUE(a.execute_call());
	a.want(true, now);
	EXPECT_FALSE(a.held(now));
	run(4000);
}

/*
 * All sequences of up to eight events of two VMs: time passes, a VM ticks or is
 * paused, its calls reach the platform late, answers arrive late or are lost,
 * the first VM releases the lease and wants it again.
 */
class Interleavings
{
      public:
	enum {
		TIME,
		TICK_A,
		TICK_B,
		CALL_A,
		CALL_B,
		ANSWER_A,
		ANSWER_B,
		LOSE_A,
		LOSE_B,
		WANT_A,
		EVENTS
	};

	void
	explore(int depth)
	{
		if (replay() && depth > 0) {
			for (int event = 0; event < EVENTS; event++) {
				path.push_back((char)event);
				explore(depth - 1);
				path.pop_back();
			}
		}
	}
	/** False when the last event was not possible or changed nothing. */
	bool
	replay()
	{
		FakePlatform platform;
		Holder a(&platform, "a1/01", 1);
		Holder b(&platform, "a2/02", 2);
		jj_ms_t now = 1000;
		bool wanted = true;
		bool possible = true;

		a.want(true, now);
		b.want(true, now);
		a.run(now, answered ? -1 : 1);
		b.run(now);
		for (char event : path) {
			possible = apply(event, a, b, &now, &wanted);
			check(a, b, now);
			if (!possible)
				return false;
		}
		paths++;
		handovers += jj_lease_fence(b.lease) > 1;
		return true;
	}
	bool
	apply(int event, Holder &a, Holder &b, jj_ms_t *now, bool *wanted)
	{
		switch (event) {
		case TIME:
			*now += 3800;
			return true;
		case TICK_A:
			return tick(a, *now);
		case TICK_B:
			return tick(b, *now);
		case CALL_A:
			return a.execute_call();
		case CALL_B:
			return b.execute_call();
		case ANSWER_A:
			return a.deliver(*now, false);
		case ANSWER_B:
			return b.deliver(*now, false);
		case LOSE_A:
			return a.deliver(*now, true);
		case LOSE_B:
			return b.deliver(*now, true);
		default:
			*wanted = !*wanted;
			a.want(*wanted, *now);
			return true;
		}
	}
	static bool
	tick(Holder &holder, jj_ms_t now)
	{
		bool waiting = holder.executed ||
		    FakePlatform::find_call(&holder.out) != nullptr;

		holder.tick(now);
		return !waiting &&
		    FakePlatform::find_call(&holder.out) != nullptr;
	}
	void
	check(Holder &a, Holder &b, jj_ms_t now)
	{
		std::string story;

		if (!a.held(now) || !b.held(now))
			return;
		for (char event : path)
			story += std::to_string((int)event) + " ";
		ADD_FAILURE() << "both hold the lease after " << story;
	}

	bool answered = true; /**< a's first write, before all events */
	std::string path;
	uint64_t paths = 0;
	uint64_t handovers = 0;
};

TEST(LeaseInterleavings, NeverTwoHolders)
{
	Interleavings all;

	all.explore(8);
	all.answered = false;
	all.explore(7);
	EXPECT_GT(all.paths, 1000u);
	EXPECT_GT(all.handovers, 10u);
	RecordProperty("paths", std::to_string(all.paths));
	RecordProperty("handovers", std::to_string(all.handovers));
}

} // namespace
