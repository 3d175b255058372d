/**
 * @file batch_model_test.cc
 * @brief Model test of batch workers: all interleavings of events and faults,
 * to a bounded depth, from each point of the processing of a chunk.
 */
#include "batch_fleet.h"

namespace
{

/** Events the model chooses from. */
enum Event {
	kStepA,
	kStepB,
	kBurstA, /**< many steps of one worker while the other is paused */
	kBurstB,
	kLoseA, /**< the next call is applied, its answer is lost */
	kLoseB,
	kDownA, /**< the next call is refused */
	kBreakA, /**< a run ends with unknown outcome */
	kLapse, /**< a lease and its margin pass without an event */
	kKillA, /**< the VM fails and is replaced */
	kFalseFailureA, /**< A is reported as failed to B, but still runs */
	kCancel, /**< the job's cancel is durable */
	kEventCount
};

const char *const kNames[] = {"stepA", "stepB", "burstA", "burstB", "loseA",
    "loseB", "downA", "breakA", "lapse", "killA", "falseFailureA", "cancel"};

void
apply(Fleet &fleet, int event)
{
	const int burst = 14;

	switch (event) {
	case kStepA:
	case kStepB:
		fleet.step(event == kStepA ? 0 : 1);
		break;
	case kBurstA:
	case kBurstB:
		for (int i = 0; i < burst; i++)
			fleet.step(event == kBurstA ? 0 : 1);
		break;
	case kLoseA:
	case kLoseB:
		fleet.step(event == kLoseA ? 0 : 1, Fault::kLoseAnswer);
		break;
	case kDownA:
		fleet.step(0, Fault::kRefuse);
		break;
	case kBreakA:
		fleet.end(0, JJ_ITEM_OUTCOME_UNKNOWN);
		break;
	case kLapse:
		fleet.now += 18001;
		break;
	case kKillA:
		fleet.kill(0);
		break;
	case kFalseFailureA:
		fleet.report_false_failure(0, 1);
		break;
	default:
		fleet.cancel();
		break;
	}
}

struct Scenario {
	const char *name;
	Rows chunks;
	int workers;
	int prefix; /**< sequences start after 0 to this many steps of A */
	int depth;
};

std::string
describe(const Scenario &scenario, int prefix, const std::vector<int> &events)
{
	std::string text = scenario.name;

	text += " after " + std::to_string(prefix) + ":";
	for (int event : events)
		text += std::string(" ") + kNames[event];
	return text;
}

/** Runs one sequence; true when no invariant was violated. */
bool
run_sequence(
    const Scenario &scenario, int prefix, const std::vector<int> &events)
{
	Fleet fleet(scenario.chunks, scenario.workers);

	for (int i = 0; i < prefix; i++)
		fleet.step(0);
	for (int event : events)
		apply(fleet, event);
	bool ended = fleet.run_to_end();
	fleet.check_outs();
	for (int i = 0; i < 100 && fleet.platform.has(fleet.entry_key()); i++)
		fleet.run_rounds(1, 1000);
	if (fleet.platform.has(fleet.entry_key()))
		ADD_FAILURE() << "the index entry was not deleted, "
			      << describe(scenario, prefix, events);
	for (const std::string &what : fleet.violations)
		ADD_FAILURE()
		    << what << ", " << describe(scenario, prefix, events);
	if (!ended)
		ADD_FAILURE() << "the job never ended, "
			      << describe(scenario, prefix, events);
	return ended && fleet.violations.empty();
}

/** Moves to the next sequence; false after the last. */
bool
advance(std::vector<int> *events)
{
	for (int &event : *events) {
		if (++event < kEventCount)
			return true;
		event = 0;
	}
	return false;
}

class BatchModel : public testing::TestWithParam<Scenario>
{
};

/*
 * Stories 3, 4, 5, 8, 9: an item is run and billed twice, or a job never ends.
 * Causes: a worker is paused past its lease and resumes beside its successor,
 * a running worker is considered failed, answers to claims, start marks and
 * publications are lost, the platform refuses calls, the VM fails (also
 * twice), or a cancel comes in between.
 */
TEST_P(BatchModel, HoldsInEachOrderOfEvents)
{
	const Scenario &scenario = GetParam();
	uint64_t explored = 0;
	int failures = 0;

	for (int prefix = 0; prefix <= scenario.prefix; prefix++) {
		std::vector<int> events(scenario.depth, 0);

		do {
			explored++;
			if (!run_sequence(scenario, prefix, events))
				failures++;
		} while (failures < 5 && advance(&events));
	}
	printf("explored %llu sequences of %s\n", (unsigned long long)explored,
	    scenario.name);
	EXPECT_EQ(0, failures);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, BatchModel,
    testing::Values(Scenario{"one_chunk", {{true, false}}, 2, 18, 3},
	Scenario{"two_chunks", {{true, false}, {false}}, 2, 24, 2},
	Scenario{"three_workers", {{true}, {false}}, 3, 20, 2}),
    [](const testing::TestParamInfo<Scenario> &info) {
	    return std::string(info.param.name);
    });

} // namespace
