/**
 * @file inline_watchdog_test.cc
 * @brief Jobs without progress are reported, with what they wait for.
 */
#include "tests/core/inline_world.h"

namespace
{

class InlineWatchdog : public InlineWorld
{
      protected:
	InlineVm &a;
	InlineVm &b;

	InlineWatchdog() : a(add_vm("a")), b(add_vm("b"))
	{
		pass(100);
	}
	/** Number of log lines with that event name that contain the text. */
	static int
	lines(const InlineVm &vm, const std::string &name,
	    const std::string &text = "")
	{
		int count = 0;

		for (const std::string &line : vm.log)
			count += line.find(name + " ") == 0 &&
			    line.find(text) != std::string::npos;
		return count;
	}
};

TEST_F(InlineWatchdog, ReportsNothingForARunningJob)
{
	(void)b.submit("j", 2);
	pass(10000);
	EXPECT_EQ(0, lines(b, "job_stalled")) << "its items are at servers";
	EXPECT_EQ(0U, jj_inline_health(b.jobs).stalled);
	b.finish_all("eins");
	pass(10000);
	EXPECT_EQ(0, lines(b, "job_stalled"));
	EXPECT_EQ(0, lines(a, "job_ownerless"));
}

struct WaitCase {
	const char *name;
	const char *expected;
	bool servers_full; /**< no server has free capacity */
	bool routed;
	bool finished; /**< its items end */
	bool writes; /**< writes of results are answered */
	/** Heartbeats of all VMs arrive, or the list can be checked. */
	bool verified;
};

class InlineWait : public InlineWatchdog,
		   public ::testing::WithParamInterface<WaitCase>
{
};

/* Each stalled job must be logged, with what it waits for. */
TEST_P(InlineWait, IsNamed)
{
	const WaitCase &wait = GetParam();

	servers_full = wait.servers_full;
	if (!wait.routed)
		route.host = const_cast<char *>("altro.example");
	(void)b.submit("j", 2);
	pass(200);
	if (!wait.writes)
		b.defers = [](const jj_platform_call_t &) { return true; };
	if (!wait.verified) {
		lost_writers.insert(a.writer);
		b.defers_checks = true;
		pass(1000);
	}
	if (wait.finished)
		b.finish_all("eins");
	pass(3000);
	EXPECT_LE(lines(b, "job_stalled"), 1);
	pass(3000);
	EXPECT_GE(lines(b, "job_stalled", wait.expected), 2)
	    << (b.log.empty() ? "" : b.log.back());
	EXPECT_LE(lines(b, "job_stalled"), 4) << "one line a second";
	EXPECT_EQ(1U, jj_inline_health(b.jobs).stalled);
}

INSTANTIATE_TEST_SUITE_P(Waits, InlineWait,
    ::testing::Values(
	WaitCase{"Server", "state=running awaits=server idle=0 begun=2", true,
	    true, false, true, true},
	WaitCase{
	    "Route", "awaits=route idle=2", false, false, false, true, true},
	WaitCase{"Write", "awaits=results_write idle=0 begun=0 finished=2",
	    false, true, true, false, true},
	WaitCase{
	    "Certainty", "awaits=certainty", false, true, true, true, false}),
    [](const auto &info) { return std::string(info.param.name); });

struct BlockCase {
	const char *name;
	const char *expected;
	bool chosen;
	bool current; /**< its copy of the list is current */
};

class InlineBlock : public InlineWatchdog,
		    public ::testing::WithParamInterface<BlockCase>
{
};

/* Each entry without a live owner must be logged, with the reason. */
TEST_P(InlineBlock, IsNamed)
{
	const BlockCase &block = GetParam();
	InlineVm &c = add_vm("c");
	InlineVm &d = add_vm("d");
	InlineVm &vm = block.chosen ? a : d;

	pass(100);
	(void)b.submit("j", 2);
	pass(200);
	for (InlineVm *other : {&a, &c, &d})
		other->defers = [](const jj_platform_call_t &call) {
			return call.op == JJ_PLATFORM_UPDATE;
		};
	if (!block.current) {
		a.fail_watch();
		a.watch_stalled = true;
		a.defers_checks = true;
	}
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(6000);
	EXPECT_GE(lines(vm, "job_ownerless", block.expected), 2)
	    << (vm.log.empty() ? "" : vm.log.back());
	EXPECT_LE(lines(vm, "job_ownerless"), 4) << "one line a second";
	EXPECT_EQ(1U, jj_inline_health(vm.jobs).ownerless);
}

INSTANTIATE_TEST_SUITE_P(Blocks, InlineBlock,
    ::testing::Values(
	BlockCase{"NotChosen", "blocked_by=not_chosen", false, true},
	BlockCase{"Write", "blocked_by=write_under_way", true, true},
	BlockCase{"List", "blocked_by=list_not_current", true, false}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
