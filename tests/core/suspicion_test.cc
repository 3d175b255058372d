/**
 * @file suspicion_test.cc
 * @brief Behaviour of a VM while it does not know whether another VM is alive.
 */
#include <gtest/gtest.h>

#include "tests/core/core_world.h"

namespace
{

/* Defaults of the settings: suspected after 2 s, lost after 3 s. */
constexpr jj_ms_t SUSPECT_MS = 2000;
constexpr jj_ms_t LOST_MS = 3000;
constexpr jj_ms_t HEARTBEAT_MS = 500;
constexpr int KEYS = 64;

const char kServices[] =
    "{\"services\":{\"pallets\":{\"kind\":\"plain\",\"idempotent\":false,"
    "\"key_domains\":[\"d100\"],\"timeout_ms\":20000,"
    "\"deadline_ms\":20000}}}";

std::string
key(int i)
{
	return "d100/order-" + std::to_string(i);
}

/** Two VMs of a domain that know each other and the home of each slot. */
struct Pair {
	World world{1, 2};
	WorldCore &entry = world.at(0, 0);
	WorldCore &other = world.at(0, 1);

	Pair()
	{
		world.run_until(6000);
		world.patch(entry, 0, kServices);
		world.run_until(12000);
	}
	void
	run(jj_ms_t duration)
	{
		world.run_until(world.now + duration);
	}
	void
	call_all(WorldCore &at, uint64_t first, int keys = KEYS)
	{
		for (int i = 0; i < keys; i++)
			world.call(at, first + (uint64_t)i, key(i));
	}
	/** Replaces the other VM by a new process, noticed this many ms ago. */
	void
	replace_other(jj_ms_t ago)
	{
		world.restart(other, 77);
		while (entry.losses.empty())
			run(1);
		run(ago);
	}
	static int
	count(const WorldCore &at, jj_call_outcome_t outcome)
	{
		int count = 0;

		for (const auto &answer : at.call_answers)
			count += answer.second == outcome;
		return count;
	}
	void
	expect_no_second_run()
	{
		for (const auto &row : world.runs)
			EXPECT_EQ(row.second, 1) << row.first;
	}
};

/*
 * A shop books through one VM while the other one runs the booking. The two
 * receive no messages from each other for 2.5 s, then do again. The shop got
 * "outcome unknown" as soon as the other VM was suspected, and never the
 * confirmation that was ready a moment later ("request_ended status=502
 * code=outcome_unknown" in the same millisecond as "vm_silent").
 */
TEST(Suspicion, ACallThatRunsAtASuspectIsAnswered)
{
	Pair pair;

	pair.world.run_ms = 1000;
	pair.call_all(pair.entry, 1);
	pair.run(50);
	pair.world.cut_vms = true;
	pair.run(SUSPECT_MS + HEARTBEAT_MS);
	pair.world.cut_vms = false;
	pair.run(5000);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_DONE) +
		Pair::count(pair.entry, JJ_CALL_REPLAYED),
	    KEYS);
	pair.expect_no_second_run();
}

/*
 * The same silence, but the shop books during it. Its VM does not know whether
 * the key's home is alive: it refused at once ("503 history_unknown" each 7 ms
 * while the home answered its own callers), though the home was reachable again
 * within the booking's deadline.
 */
TEST(Suspicion, ACallForASuspectWaitsUnsent)
{
	Pair pair;
	uint64_t sent;

	pair.world.cut_vms = true;
	pair.run(SUSPECT_MS + HEARTBEAT_MS / 2);
	sent = pair.world.calls_sent;
	pair.call_all(pair.entry, 1);
	pair.run(HEARTBEAT_MS / 2);
	EXPECT_EQ(pair.world.calls_sent, sent);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_NO_HISTORY), 0);
	pair.world.cut_vms = false;
	pair.run(5000);
	/* About half of the slots have the other VM as their home. */
	EXPECT_GE(Pair::count(pair.entry, JJ_CALL_DONE), KEYS / 4);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_UNKNOWN), 0);
	pair.expect_no_second_run();
}

/*
 * The home stays unreachable. A call that was never sent to it is refused as
 * not run as soon as the home counts as lost, with a Retry-After: not with
 * "outcome unknown", and not only at the booking's deadline.
 */
TEST(Suspicion, ACallForALostHomeIsRefusedOnce)
{
	Pair pair;

	pair.entry.cut_from_platform = true;
	pair.other.frozen = true;
	pair.run(SUSPECT_MS + HEARTBEAT_MS);
	pair.call_all(pair.entry, 1);
	pair.run(LOST_MS - SUSPECT_MS + HEARTBEAT_MS);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_NO_HISTORY), KEYS);
	EXPECT_TRUE(pair.world.runs.empty());
}

/*
 * A booking is confirmed and its home is lost while the platform is down, so
 * that no VM can take over its slots. The shop asks again at the VM that was
 * the witness, which has the confirmation but answered "history unknown" (410
 * "answer not kept" was followed by 502 and 503 for one call).
 */
TEST(Suspicion, AKnownResultIsReturnedWithoutTheHome)
{
	Pair pair;

	pair.call_all(pair.entry, 1);
	pair.run(1000);
	ASSERT_EQ(Pair::count(pair.entry, JJ_CALL_DONE), KEYS);
	pair.entry.cut_from_platform = true;
	pair.other.frozen = true;
	pair.run(LOST_MS + HEARTBEAT_MS);
	pair.call_all(pair.entry, 1000);
	pair.run(2000);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_REPLAYED), KEYS);
	pair.expect_no_second_run();
}

/*
 * A VM was replaced; its neighbour takes over all slots and sends the new
 * process its records, which takes a while on a loaded machine. A booking that
 * arrived meanwhile was refused ("history unknown", 5 ms after another VM had
 * confirmed the same one), though its home could accept it a moment later.
 */
TEST(Suspicion, ACallAtAHomeThatSettlesWaits)
{
	Pair pair;

	pair.world.message_ms = 200;
	pair.replace_other(300); /* the new table is active */
	pair.call_all(pair.entry, 1);
	pair.run(3000);
	/*
	 * For balance four slots (about as many keys) move at a time; a call
	 * that waits for a witness at that moment is refused.
	 */
	EXPECT_GE(Pair::count(pair.entry, JJ_CALL_DONE), KEYS - 4);
	pair.expect_no_second_run();
}

/*
 * The messages that carried calls to their home were lost, and the home hands
 * its slots over to this VM and stops. The home does not answer calls that it
 * never received: it must be asked for them, otherwise the callers wait for the
 * 20 s of their bookings.
 */
TEST(Suspicion, ACallThatNeverCameIsNotWaitedForWhenItsSlotMovesHere)
{
	Pair pair;
	jj_event_t leave = {};

	leave.kind = JJ_EVENT_LEAVE;
	pair.world.cut_vms = true;
	pair.call_all(pair.entry, 1);
	pair.run(10);
	pair.world.cut_vms = false;
	pair.world.handle(pair.other, leave);
	pair.run(5000);
	EXPECT_EQ(pair.entry.call_answers.size(), (size_t)KEYS);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_NOT_RUN), 0);
	pair.expect_no_second_run();
}

/*
 * A confirmed booking is requested again while its home sends its records to a
 * new witness: a known result is returned at once and needs no witness.
 */
TEST(Suspicion, AKnownResultIsReturnedByAHomeThatSettles)
{
	Pair pair;

	pair.call_all(pair.entry, 1);
	pair.run(1000);
	pair.world.message_ms = 400;
	pair.replace_other(300); /* the new table is active */
	pair.call_all(pair.entry, 1000);
	pair.run(50);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_REPLAYED), KEYS);
}

/*
 * The new witness never answers: calls that wait for it are refused when it
 * could have been replaced, not after the 20 s of the booking, and later calls
 * are refused at once.
 */
TEST(Suspicion, ACallAtAHomeThatDoesNotSettleIsRefused)
{
	Pair pair;
	const jj_ms_t settle_ms = LOST_MS + 1000;

	pair.replace_other(20);
	pair.entry.cut_from_platform = true;
	pair.other.frozen = true;
	pair.call_all(pair.entry, 1, 1);
	pair.run(settle_ms + HEARTBEAT_MS);
	ASSERT_EQ(pair.entry.call_answers.size(), 1u);
	pair.call_all(pair.entry, 1000, 1);
	pair.run(1000 + HEARTBEAT_MS);
	ASSERT_EQ(pair.entry.call_answers.size(), 2u);
}

/*
 * Two VMs receive no messages from each other, and one takes over all slots.
 * The other one reads the new table from the platform: its writer was alive a
 * moment ago, yet calls for it were refused at once, as it counted as lost.
 */
TEST(Suspicion, AHomeThatANewTableNamesIsNotLostYet)
{
	Pair pair;
	WorldCore *late;

	pair.world.cut_vms = true;
	pair.run(LOST_MS + 1000);
	pair.call_all(pair.entry, 1);
	pair.call_all(pair.other, 1000);
	pair.run(100);
	/*
	 * The VM that took over has run all calls; the other one has sent
	 * nothing.
	 */
	late = Pair::count(pair.entry, JJ_CALL_DONE) == KEYS ? &pair.other
							     : &pair.entry;
	EXPECT_EQ(Pair::count(*late, JJ_CALL_NO_HISTORY), 0);
	pair.world.cut_vms = false;
	pair.run(3000);
	EXPECT_EQ(Pair::count(*late, JJ_CALL_REPLAYED), KEYS);
	pair.expect_no_second_run();
}

/*
 * The two VMs of a domain received no messages from each other for 0.6 s right
 * after their start, and each reported the other as lost to its workers: chunks
 * were claimed that their live holders continued to run, 51 streams for 40
 * items ("vm_lost" at 125.84 and 125.86, "vm_live" 0.1 s later).
 */
TEST(Suspicion, ClaimsOfASuspectStayItsOwn)
{
	Pair pair;
	jj_ms_t cut_ms = pair.world.now;

	pair.world.cut_vms = true;
	pair.run(SUSPECT_MS + HEARTBEAT_MS);
	pair.world.cut_vms = false;
	pair.run(1000);
	EXPECT_TRUE(pair.entry.losses.empty());
	EXPECT_TRUE(pair.other.losses.empty());

	cut_ms = pair.world.now;
	pair.other.frozen = true;
	pair.run(LOST_MS + 2 * HEARTBEAT_MS);
	ASSERT_EQ(pair.entry.losses.size(), 1u);
	EXPECT_GE(pair.entry.losses[0], cut_ms + LOST_MS - HEARTBEAT_MS);
}

/* A VM's process was replaced: its loss is known, not only suspected. */
TEST(Suspicion, ClaimsOfAReplacedProcessAreFreeAtOnce)
{
	Pair pair;

	pair.world.restart(pair.other, 77);
	pair.run(2 * HEARTBEAT_MS);
	EXPECT_EQ(pair.entry.losses.size(), 1u);
}

/*
 * A call of 20 kB for a home behind a slow link was sent each resend_ms until
 * it was answered. Its copies were queued before the heartbeats ("SEND kind=7
 * size=20153" each 100 ms, received at the other end 250 to 600 ms later), so
 * each VM found the other one silent. One copy each 2 s is enough against lost
 * messages; the first three may be sent sooner.
 */
TEST(Suspicion, ACallIsNotSentAtASteadyPace)
{
	Pair pair;
	uint64_t before = pair.world.calls_sent;
	const int keys = 8; /* as many as can run at once */
	const jj_ms_t waited = 10000;
	uint64_t forwarded;
	uint64_t sent;

	pair.world.run_ms = waited;
	pair.call_all(pair.entry, 1, keys);
	pair.run(100);
	forwarded = pair.world.calls_sent - before;
	ASSERT_GT(forwarded, 0u);
	pair.run(waited - 100);
	sent = pair.world.calls_sent - before;
	EXPECT_LE(sent, forwarded * (3 + waited / 2000));
	pair.run(1000);
	EXPECT_EQ(Pair::count(pair.entry, JJ_CALL_DONE), keys);
	pair.expect_no_second_run();
}

} // namespace
