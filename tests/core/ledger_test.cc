/**
 * @file ledger_test.cc
 * @brief Behaviour of the ledger without and with failures, as tables of cases.
 */
#include <gtest/gtest.h>

#include <functional>

#include "tests/core/ledger_world.h"

namespace
{

using namespace ledger_test;

constexpr uint64_t KEY = 5;

/** Three VMs in the steady state: each slot has a synced witness. */
struct Steady : World {
	int home;
	int witness;
	int third;

	explicit Steady(int count = 3) : World(count)
	{
		Advance(30000);
		home = Home(KEY);
		witness = Witness(KEY);
		third = 3 - home - witness;
	}

	/** Freezes VM @p i and lets the others run for this time. */
	void
	Without(int i, jj_ms_t time)
	{
		vms[i]->frozen = true;
		Advance(time);
	}
};

struct Step {
	const char *name;
	std::function<void(Steady &)> act;
	int outcome; /**< last answer at the VM that was called */
	int runs; /**< runs of the key, on all VMs */
};

class LedgerCall : public testing::TestWithParam<Step>
{
};

/* One call, or several in sequence, without failures. */
TEST_P(LedgerCall, Ends)
{
	Steady world;

	GetParam().act(world);
	EXPECT_EQ(world.Last(world.home), GetParam().outcome);
	EXPECT_EQ(world.RunCount(KEY), GetParam().runs);
}

void
RunOnce(Steady &world, jj_call_outcome_t outcome)
{
	world.Call(world.home, KEY);
	world.Settle();
	world.End(outcome);
	world.Settle();
}

INSTANTIATE_TEST_SUITE_P(Cases, LedgerCall,
    testing::Values(Step{"Done", [](Steady &w) { RunOnce(w, JJ_CALL_DONE); },
			JJ_CALL_DONE, 1},
	Step{"UnknownEnd", [](Steady &w) { RunOnce(w, JJ_CALL_UNKNOWN); },
	    JJ_CALL_UNKNOWN, 1},
	Step{"Replayed",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_DONE);
		    w.Call(w.home, KEY);
	    },
	    JJ_CALL_REPLAYED, 1},
	Step{"UnknownStaysUnknown",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_UNKNOWN);
		    w.Call(w.home, KEY);
	    },
	    JJ_CALL_UNKNOWN, 1},
	Step{"NotRunFreesTheKey",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_NOT_RUN);
		    RunOnce(w, JJ_CALL_DONE);
	    },
	    JJ_CALL_DONE, 2},
	Step{"OtherContent",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_DONE);
		    w.Call(w.home, KEY, -1, 8);
	    },
	    JJ_CALL_MISMATCH, 1},
	Step{"InProgress",
	    [](Steady &w) {
		    w.Call(w.home, KEY);
		    w.Settle();
		    w.Call(w.home, KEY);
	    },
	    JJ_CALL_IN_PROGRESS, 1},
	Step{"NoTimeLeft", [](Steady &w) { w.Call(w.home, KEY, -1, 7, 0); },
	    JJ_CALL_NO_HISTORY, 0},
	Step{"VeryLongRun",
	    [](Steady &w) {
		    w.Call(w.home, KEY);
		    w.Settle();
		    w.Advance(RETENTION_MS * 3, 1000);
		    w.End(JJ_CALL_DONE);
		    w.Settle();
		    w.Call(w.home, KEY);
	    },
	    JJ_CALL_REPLAYED, 1},
	Step{"RunsAnewAfterRetention",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_DONE);
		    w.Advance(RETENTION_MS + 1000, 1000);
		    RunOnce(w, JJ_CALL_DONE);
	    },
	    JJ_CALL_DONE, 2}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(LedgerTable, ReadsWhatItWrote)
{
	Steady world;
	jj_ledger_table_t table;
	jj_bytes_t stored = {world.value.data(), world.value.size()};

	ASSERT_TRUE(jj_ledger_table_parse(&stored, &table));
	jj_bytes_t again = jj_ledger_table_print(&table);
	EXPECT_EQ(world.value, std::string(again.data, again.size));
	jj_bytes_free(&again);
}

TEST(LedgerTable, RefusesIncompleteTables)
{
	const char *cases[] = {"", "x", "{}", "{\"slots\":[]}",
	    "{\"slots\":7,\"writer\":\"a\",\"operation\":\"1\"}"};
	jj_ledger_table_t table;

	for (const char *text : cases) {
		jj_bytes_t stored = Text(text);
		EXPECT_FALSE(jj_ledger_table_parse(&stored, &table)) << text;
	}
}

class LedgerFailure : public testing::TestWithParam<Step>
{
};

/*
 * A driver books pallets; something fails while the call is in progress, and
 * the same order is sent again through another VM. In each case below the new
 * home of the slot could run the order a second time, or answer that it was not
 * run although it was.
 */
TEST_P(LedgerFailure, RunsOnceAndAnswersTruthfully)
{
	Steady world;

	GetParam().act(world);
	int callee =
	    world.vms[world.home]->frozen || world.vms[world.home]->gone
	    ? world.witness
	    : world.home;
	EXPECT_EQ(world.Last(callee), GetParam().outcome);
	EXPECT_EQ(world.RunCount(KEY), GetParam().runs);
}

INSTANTIATE_TEST_SUITE_P(Stories, LedgerFailure,
    testing::Values(
	/*
	 * The home fails while the order runs: its outcome cannot be learned.
	 */
	Step{"HomeDiesInMidRun",
	    [](Steady &w) {
		    w.Call(w.home, KEY);
		    w.Settle();
		    w.Without(w.home, 10000);
		    w.Call(w.witness, KEY);
	    },
	    JJ_CALL_UNKNOWN, 1},
	/* It fails after the run ended: the witness has the answer. */
	Step{"HomeDiesAfterTheEnd",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_DONE);
		    w.Without(w.home, 10000);
		    w.Call(w.witness, KEY);
	    },
	    JJ_CALL_REPLAYED, 1},
	/* A paused home is deposed, resumes, and gets a call with a new key. */
	Step{"FrozenHomeWakes",
	    [](Steady &w) {
		    w.Without(w.home, 10000);
		    w.Call(w.witness, KEY);
		    w.Settle();
		    w.End(JJ_CALL_DONE);
		    w.Settle();
		    w.vms[w.home]->frozen = false;
		    w.Call(w.home, KEY);
		    w.Settle();
	    },
	    JJ_CALL_NO_HISTORY, 1},
	/* The witness acknowledges after the call's deadline. */
	Step{"AcknowledgedTooLate",
	    [](Steady &w) {
		    w.Call(w.home, KEY, -1, 7, 500);
		    w.Deliver(0);
		    w.now += 600;
		    w.Settle();
	    },
	    JJ_CALL_NOT_RUN, 0},
	/*
	 * Both messages with the outcome of a long run are lost; its home fails
	 * much later.
	 */
	Step{"WordOfTheEndLost",
	    [](Steady &w) {
		    w.Call(w.home, KEY);
		    w.Settle();
		    w.Advance(RETENTION_MS / 2, 1000);
		    w.End(JJ_CALL_DONE);
		    w.in_transit.clear();
		    w.now += 1200;
		    w.Tick(w.home);
		    w.in_transit.clear();
		    w.Advance(RETENTION_MS * 6 / 10, 1000);
		    w.Without(w.home, 10000);
		    w.Call(w.witness, KEY);
	    },
	    JJ_CALL_UNKNOWN, 1},
	/*
	 * A deposed home that is cut off learns nothing of it: only its wait
	 * for the witness times out.
	 */
	Step{"DeposedHomeIsCutOff",
	    [](Steady &w) {
		    w.vms[w.home]->silenced.assign(3, true);
		    w.vms[w.witness]->silenced[w.home] = true;
		    w.vms[w.third]->silenced[w.home] = true;
		    w.vms[w.home]->frozen = true;
		    w.Advance(10000);
		    w.vms[w.home]->frozen = false;
		    w.Call(w.witness, KEY);
		    w.Settle();
		    w.platform_down = true;
		    w.Call(w.home, KEY);
		    w.Advance(2000);
	    },
	    JJ_CALL_NO_HISTORY, 1},
	/*
	 * Only the home is left: it runs calls after a conditional update
	 * removed the witness.
	 */
	Step{"WitnessDies",
	    [](Steady &w) {
		    w.Without(w.witness, 10000);
		    RunOnce(w, JJ_CALL_DONE);
	    },
	    JJ_CALL_DONE, 1},
	/* Witness lost, platform down: no call may start. */
	Step{"WitnessDiesInAnOutage",
	    [](Steady &w) {
		    w.platform_down = true;
		    w.Without(w.witness, 10000);
		    w.Call(w.home, KEY);
		    w.Advance(2000);
	    },
	    JJ_CALL_NO_HISTORY, 0},
	/* Home and witness live, platform down: no call is refused. */
	Step{"OutageAlone",
	    [](Steady &w) {
		    w.platform_down = true;
		    w.Advance(60000);
		    RunOnce(w, JJ_CALL_DONE);
	    },
	    JJ_CALL_DONE, 1},
	/* Both holders of the history are replaced at once. */
	Step{"BothReplaced",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_DONE);
		    w.Start(w.home);
		    w.Start(w.witness);
		    w.Advance(30000);
		    for (int i = 0; i < 3; i++)
			    w.Call(i, KEY);
		    w.Settle();
	    },
	    JJ_CALL_NO_HISTORY, 1},
	/*
	 * No heartbeats from either: they may be paused, so no VM takes over.
	 */
	Step{"BothSilent",
	    [](Steady &w) {
		    w.vms[w.witness]->frozen = true;
		    w.vms[w.home]->frozen = true;
		    w.Advance(60000);
		    w.Call(w.third, KEY);
		    w.vms[w.home]->frozen = false;
		    w.vms[w.witness]->frozen = false;
		    w.Advance(10000);
		    EXPECT_EQ(w.Last(w.third), JJ_CALL_NO_HISTORY);
		    RunOnce(w, JJ_CALL_DONE);
	    },
	    JJ_CALL_DONE, 1}),
    [](const auto &info) { return std::string(info.param.name); });

/*
 * A VM forwards an order to its home, which refuses it; the driver gets "not
 * run". Then a late copy of the forwarded message arrives. If it ran, the order
 * would be booked after its refusal.
 */
TEST(LedgerForward, RefusedCallIsNotRunByItsCopy)
{
	Steady world;

	world.Call(world.home, KEY, world.third, 7, 10000, 77);
	world.Settle();
	world.End(JJ_CALL_NOT_RUN);
	world.Settle();
	EXPECT_EQ(world.Last(world.third), JJ_CALL_NOT_RUN);
	world.Call(world.home, KEY, world.third, 7, 10000, 77);
	world.Settle();
	EXPECT_EQ(world.Last(world.third), JJ_CALL_NOT_RUN);
	EXPECT_EQ(world.RunCount(KEY), 1);
}

/* A copy of a call that is open causes neither a run nor an answer. */
TEST(LedgerForward, CopyOfAnOpenCallIsIgnored)
{
	Steady world;

	world.Call(world.home, KEY, world.third, 7, 10000, 77);
	world.Call(world.home, KEY, world.third, 7, 10000, 77);
	world.Settle();
	world.Call(world.home, KEY, world.third, 7, 10000, 77);
	world.End(JJ_CALL_DONE);
	world.Settle();
	EXPECT_EQ(world.vms[world.third]->answers.size(), 1u);
	EXPECT_EQ(world.Last(world.third), JJ_CALL_DONE);
	EXPECT_EQ(world.RunCount(KEY), 1);
}

/*
 * An order is booked, then the VM of its home leaves as planned. It keeps no
 * slot, no call is aborted, and its successor knows the booked order.
 */
TEST(LedgerLeave, HandsAllOver)
{
	Steady world;
	jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);
	Vm &vm = *world.vms[world.home];

	RunOnce(world, JJ_CALL_DONE);
	world.Call(world.home, KEY + 64);
	world.Settle();
	vm.leaving = true;
	jj_ledger_leave(vm.ledger, world.now, &out);
	world.Carry(world.home, &out);
	world.Advance(20000);
	EXPECT_FALSE(jj_ledger_is_idle(vm.ledger));
	world.End(JJ_CALL_DONE);
	world.Advance(5000);
	EXPECT_TRUE(jj_ledger_is_idle(vm.ledger));
	int successor = world.Home(KEY);
	EXPECT_NE(successor, world.home);
	world.Call(successor, KEY);
	EXPECT_EQ(world.Last(successor), JJ_CALL_REPLAYED);
	world.Call(successor, KEY + 64);
	EXPECT_EQ(world.Last(successor), JJ_CALL_REPLAYED);
}

/*
 * The history of a slot is lost permanently; its keys are refused. After the
 * retention time no lost key can matter any more, and orders are accepted
 * again.
 */
TEST(LedgerRelease, OperatorReopensTheSlot)
{
	Steady world;
	jj_actions_t out = TAILQ_HEAD_INITIALIZER(out);

	world.vms[world.home]->gone = true;
	world.vms[world.witness]->gone = true;
	world.Advance(10000);
	EXPECT_EQ(world.Home(KEY), world.home);
	jj_ledger_release(world.vms[world.third]->ledger, KEY, world.now, &out);
	world.Carry(world.third, &out);
	world.Advance(5000);
	ASSERT_EQ(world.Home(KEY), world.third);
	world.Call(world.third, KEY);
	EXPECT_EQ(world.Last(world.third), JJ_CALL_NO_HISTORY);
	world.Advance(RETENTION_MS + 1000, 1000);
	world.Call(world.third, KEY);
	EXPECT_EQ(world.RunCount(KEY), 1);
}

/* The store is full: new keys are refused, no stored key is removed. */
TEST(LedgerBounds, FullStoreRefusesNewKeys)
{
	Steady world;
	const int record_max = 1000;

	for (int i = 0; i < record_max + 5; i++) {
		world.Call(world.home, KEY + 64 * (uint64_t)i);
		world.Settle();
		if (!world.open.empty())
			world.End(JJ_CALL_DONE);
		world.Settle();
	}
	EXPECT_EQ(world.runs.size(), (size_t)record_max);
	EXPECT_EQ(world.Last(world.home), JJ_CALL_NO_HISTORY);
	EXPECT_GT(world.vms[world.home]->answers.back().retry_after_ms, 0);
	world.Call(world.home, KEY);
	EXPECT_EQ(world.Last(world.home), JJ_CALL_REPLAYED);
	/* More than one sync part: a new witness gets them all. */
	world.Without(world.witness, 10000);
	world.Without(world.home, 10000);
	world.Call(world.third, KEY + 64 * 999);
	EXPECT_EQ(world.Last(world.third), JJ_CALL_REPLAYED);
}

/* Slots spread over the VMs, and return to a VM that was replaced. */
TEST(LedgerBalance, SpreadsSlots)
{
	Steady world;
	auto count = [&world](int vm) {
		int homes = 0;
		for (uint64_t i = 0; i < JJ_LEDGER_SLOTS; i++)
			homes += world.Home(i) == vm;
		return homes;
	};

	for (int i = 0; i < 3; i++)
		EXPECT_GT(count(i), 8) << i;
	world.Start(0);
	world.Advance(120000);
	for (int i = 0; i < 3; i++)
		EXPECT_GT(count(i), 8) << i;
	uint64_t settled = world.version;
	world.Advance(60000);
	EXPECT_EQ(world.version, settled);
}

} // namespace
