/**
 * @file inline_call_end_test.cc
 * @brief Each call for batch jobs ends, once and in time, whatever the platform
 * answers.
 */
#include "tests/core/inline_world.h"

namespace
{

constexpr jj_ms_t READ_MS = 1500; /**< settings.read_ms of the VMs */
constexpr jj_ms_t SUBMIT_MS = 3000;
constexpr jj_ms_t LATE_MS = 500;
constexpr jj_ms_t WAIT_MS = 1000;

/** The job that a call is about, and where the call arrives. */
struct CallCase {
	const char *name;
	enum {
		SUBMIT,
		READ,
		WAIT,
		ITEM,
		END
	} kind;
	const char *job; /**< "j": runs at a, "k": closed, "n": not there */
	bool elsewhere; /**< at another VM than the one that runs the job */
};

const CallCase calls[] = {
    {"SubmitNew", CallCase::SUBMIT, "n", false},
    {"SubmitAgain", CallCase::SUBMIT, "j", false},
    {"SubmitElsewhere", CallCase::SUBMIT, "j", true},
    {"SubmitClosed", CallCase::SUBMIT, "k", false},
    {"Read", CallCase::READ, "j", false},
    {"ReadElsewhere", CallCase::READ, "j", true},
    {"ReadClosed", CallCase::READ, "k", true},
    {"ReadUnknown", CallCase::READ, "n", false},
    {"Wait", CallCase::WAIT, "j", false},
    {"WaitElsewhere", CallCase::WAIT, "j", true},
    {"WaitClosed", CallCase::WAIT, "k", true},
    {"WaitUnknown", CallCase::WAIT, "n", false},
    {"Item", CallCase::ITEM, "j", false},
    {"ItemElsewhere", CallCase::ITEM, "j", true},
    {"ItemClosed", CallCase::ITEM, "k", true},
    {"ItemUnknown", CallCase::ITEM, "n", false},
    {"End", CallCase::END, "j", false},
    {"EndElsewhere", CallCase::END, "j", true},
    {"EndClosed", CallCase::END, "k", true},
    {"EndUnknown", CallCase::END, "n", false},
};

/** What the platform does with its calls from then on. */
struct StoreCase {
	const char *name;
	Fault fault;
	int passed; /**< calls that are carried out before */
	int hit; /**< calls that meet it; 0: all */
	bool silent; /**< calls get no answer until after the end */
};

const StoreCase stores[] = {
    {"Sound", Fault::kNone, 0, 0, false},
    {"Down", Fault::kRefuse, 0, 0, false},
    {"DownOnce", Fault::kRefuse, 0, 1, false},
    {"DownSecond", Fault::kRefuse, 1, 0, false},
    {"DownThird", Fault::kRefuse, 2, 0, false},
    {"Limited", Fault::kLimit, 0, 0, false},
    {"LimitedSecond", Fault::kLimit, 1, 0, false},
    {"NoAnswer", Fault::kNoAnswer, 0, 0, false},
    {"NoAnswerOnce", Fault::kNoAnswer, 0, 1, false},
    {"NoAnswerSecond", Fault::kNoAnswer, 1, 0, false},
    {"AnswerLost", Fault::kLoseAnswer, 0, 0, false},
    {"AnswerLostOnce", Fault::kLoseAnswer, 0, 1, false},
    {"AnswerLostSecond", Fault::kLoseAnswer, 1, 0, false},
    {"AnswerLostThird", Fault::kLoseAnswer, 2, 0, false},
    {"Conflict", Fault::kConflict, 0, 0, false},
    {"ConflictOnce", Fault::kConflict, 0, 1, false},
    {"ConflictSecond", Fault::kConflict, 1, 1, false},
    {"Silent", Fault::kNone, 0, 0, true},
    {"SilentSecond", Fault::kNone, 1, 0, true},
    {"SilentThird", Fault::kNone, 2, 0, true},
};

class InlineCallEnd
    : public InlineWorld,
      public ::testing::WithParamInterface<std::tuple<CallCase, StoreCase>>
{
      protected:
	InlineVm &a = add_vm("a");
	InlineVm &b = add_vm("b");
	const CallCase &call = std::get<0>(GetParam());
	const StoreCase &store = std::get<1>(GetParam());
	int calls_so_far = 0;

	void
	SetUp() override
	{
		(void)a.submit("k", 1);
		pass(300);
		a.finish_all("text");
		pass(3000);
		ASSERT_FALSE(platform.has("batch-open/k"));
		(void)a.submit("j", 2);
		pass(300);
		ASSERT_EQ(2U, a.items.size());
	}
	/** Sets what the next call meets. */
	void
	set_fault()
	{
		int place = calls_so_far - store.passed;

		platform.fault =
		    place >= 0 && (store.hit == 0 || place < store.hit)
		    ? store.fault
		    : Fault::kNone;
	}
	void
	break_store()
	{
		set_fault();
		platform.before = [this](const jj_platform_call_t &) {
			calls_so_far++;
			set_fault();
		};
		if (!store.silent)
			return;
		for (auto &vm : vms)
			vm->defers = [this](const jj_platform_call_t &) {
				return calls_so_far >= store.passed;
			};
	}
	void
	mend_store()
	{
		platform.before = nullptr;
		platform.fault = Fault::kNone;
		for (auto &vm : vms) {
			vm->defers = nullptr;
			vm->release();
		}
	}
	uint64_t
	start(InlineVm &vm)
	{
		switch (call.kind) {
		case CallCase::SUBMIT:
			return vm.submit(call.job, 2);
		case CallCase::READ:
			return vm.read(call.job, 0);
		case CallCase::WAIT:
			return vm.read(call.job, 0, WAIT_MS);
		case CallCase::ITEM:
			return vm.read_item(
			    call.job, std::string(call.job) + "-0");
		case CallCase::END:
			return vm.end(call.job);
		}
		return 0;
	}
	jj_ms_t
	limit() const
	{
		if (call.kind == CallCase::SUBMIT || call.kind == CallCase::END)
			return SUBMIT_MS;
		return READ_MS + (call.kind == CallCase::WAIT ? WAIT_MS : 0);
	}
	/** Does any VM run items of the job, or has it results? */
	bool
	runs()
	{
		bool found = stored(call.job).size() > 0;

		for (auto &vm : vms)
			for (auto &item : vm->items)
				found = found ||
				    item.second.rfind(call.job, 0) == 0;
		return found;
	}
	void
	check_truth(int status)
	{
		bool is_new = strcmp(call.job, "n") == 0;
		bool is_ended = call.kind == CallCase::END && status == 200 &&
		    strcmp(call.job, "j") == 0;

		if (call.kind == CallCase::SUBMIT && is_new) {
			EXPECT_TRUE(status != 202 || runs()) << "not run";
			EXPECT_TRUE((status != 429 && status != 503) || !runs())
			    << "it runs";
		}
		EXPECT_TRUE(call.kind == CallCase::SUBMIT || status != 404 ||
		    is_new || call.kind == CallCase::ITEM)
		    << "the job exists";
		EXPECT_FALSE(is_ended && a.items.size() > 0)
		    << "items still run";
	}
};

/* Guards against calls that a fault of the platform leaves without an end. */
TEST_P(InlineCallEnd, IsSeenByItsCaller)
{
	InlineVm &vm = call.elsewhere ? b : a;
	uint64_t operation;

	break_store();
	operation = start(vm);
	pass(limit() + LATE_MS);
	int status = vm.answer(operation).status;

	EXPECT_NE(0, status) << "no answer";
	mend_store();
	pass(12000);
	EXPECT_EQ(status, vm.answer(operation).status);
	check_truth(status);
}

INSTANTIATE_TEST_SUITE_P(Cases, InlineCallEnd,
    ::testing::Combine(::testing::ValuesIn(calls), ::testing::ValuesIn(stores)),
    [](const auto &info) {
	    return std::string(std::get<0>(info.param).name) + "When" +
		std::get<1>(info.param).name;
    });

} // namespace
