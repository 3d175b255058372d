/**
 * @file ledger_test.cc
 * @brief The ledger's behaviours and failure stories, in tables.
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

	/** All VMs but one take no part for this long. */
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
	int outcome; /**< of the last answer at the asking VM */
	int runs; /**< of the key, over all VMs */
};

class LedgerCall : public testing::TestWithParam<Step>
{
};

/* One call, or one after another, while nothing fails. */
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

TEST(LedgerTable, RefusesWhatIsNotWhole)
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
 * A driver books pallets; something fails while the call is under way, and
 * he sends the same order again, through another VM. In the order of each
 * case below the successor of the slot could run the order a second time, or
 * say that it was not run although it was.
 */
TEST_P(LedgerFailure, RunsOnceAndSaysTheTruth)
{
	Steady world;

	GetParam().act(world);
	int asked = world.vms[world.home]->frozen || world.vms[world.home]->gone
	    ? world.witness
	    : world.home;
	EXPECT_EQ(world.Last(asked), GetParam().outcome);
	EXPECT_EQ(world.RunCount(KEY), GetParam().runs);
}

INSTANTIATE_TEST_SUITE_P(Stories, LedgerFailure,
    testing::Values(
	/* The home dies while the order runs: nobody learns how it ended. */
	Step{"HomeDiesInMidRun",
	    [](Steady &w) {
		    w.Call(w.home, KEY);
		    w.Settle();
		    w.Without(w.home, 10000);
		    w.Call(w.witness, KEY);
	    },
	    JJ_CALL_UNKNOWN, 1},
	/* It dies after the end: the witness knows the answer. */
	Step{"HomeDiesAfterTheEnd",
	    [](Steady &w) {
		    RunOnce(w, JJ_CALL_DONE);
		    w.Without(w.home, 10000);
		    w.Call(w.witness, KEY);
	    },
	    JJ_CALL_REPLAYED, 1},
	/* A home is frozen, deposed, wakes, and is asked for a new key. */
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
	/* The witness's word comes when the driver has given up. */
	Step{"AcknowledgedTooLate",
	    [](Steady &w) {
		    w.Call(w.home, KEY, -1, 7, 500);
		    w.Deliver(0);
		    w.now += 600;
		    w.Settle();
	    },
	    JJ_CALL_NOT_RUN, 0},
	/* A long run's end is lost, its home dies much later. */
	Step{"WordOfTheEndLost",
	    [](Steady &w) {
		    w.Call(w.home, KEY);
		    w.Settle();
		    w.Advance(RETENTION_MS / 2, 1000);
		    w.End(JJ_CALL_DONE);
		    w.mail.clear();
		    w.now += 1200;
		    w.Tick(w.home);
		    w.mail.clear();
		    w.Advance(RETENTION_MS * 6 / 10, 1000);
		    w.Without(w.home, 10000);
		    w.Call(w.witness, KEY);
	    },
	    JJ_CALL_UNKNOWN, 1},
	/* The same, but only its wait for the witness ends. */
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
	/* The home alone is left: it goes on by the platform's word. */
	Step{"WitnessDies",
	    [](Steady &w) {
		    w.Without(w.witness, 10000);
		    RunOnce(w, JJ_CALL_DONE);
	    },
	    JJ_CALL_DONE, 1},
	/* Witness lost, platform down: no call may be begun. */
	Step{"WitnessDiesInAnOutage",
	    [](Steady &w) {
		    w.platform_down = true;
		    w.Without(w.witness, 10000);
		    w.Call(w.home, KEY);
		    w.Advance(2000);
	    },
	    JJ_CALL_NO_HISTORY, 0},
	/* Both live, platform down: nothing is refused. */
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
	/* Both are silent: a freeze is no death, so nobody takes over. */
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
 * A VM forwards an order to its home, which refuses it; the driver is told
 * "not run". Then a late copy of the forwarded message arrives. If it ran,
 * the driver would own pallets that he was told he had not booked.
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

/* A copy of a call that is open brings neither a run nor an answer. */
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
 * An order is booked, then the old home's VM leaves by plan. No slot stays
 * with it, no call is cut off, and the heir knows the booked order.
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
	int heir = world.Home(KEY);
	EXPECT_NE(heir, world.home);
	world.Call(heir, KEY);
	EXPECT_EQ(world.Last(heir), JJ_CALL_REPLAYED);
	world.Call(heir, KEY + 64);
	EXPECT_EQ(world.Last(heir), JJ_CALL_REPLAYED);
}

/*
 * The history of a slot is lost for good; its keys are refused. After the
 * retention time no lost key can matter any more, and orders are taken again.
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

/* The store is full: new keys are refused, no old one is forgotten. */
TEST(LedgerBounds, FullStoreRefusesNewKeys)
{
	Steady world;
	const int most = 1000;

	for (int i = 0; i < most + 5; i++) {
		world.Call(world.home, KEY + 64 * (uint64_t)i);
		world.Settle();
		if (!world.open.empty())
			world.End(JJ_CALL_DONE);
		world.Settle();
	}
	EXPECT_EQ(world.runs.size(), (size_t)most);
	EXPECT_EQ(world.Last(world.home), JJ_CALL_NO_HISTORY);
	EXPECT_GT(world.vms[world.home]->answers.back().retry_after_ms, 0);
	world.Call(world.home, KEY);
	EXPECT_EQ(world.Last(world.home), JJ_CALL_REPLAYED);
	/* More than one part: a new witness gets them all. */
	world.Without(world.witness, 10000);
	world.Without(world.home, 10000);
	world.Call(world.third, KEY + 64 * 999);
	EXPECT_EQ(world.Last(world.third), JJ_CALL_REPLAYED);
}

/* Slots spread over the VMs, and come back to a VM that was replaced. */
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
