/**
 * @file inline_stop_test.cc
 * @brief Planned stop of a VM: it hands its jobs over without loss.
 */
#include <jansson.h>

#include "tests/core/inline_world.h"

namespace
{

class InlineStop : public InlineWorld
{
      protected:
	InlineVm &a = add_vm("a");
	InlineVm &b = add_vm("b");
	InlineVm &c = add_vm("c");

	InlineStop()
	{
		pass(100);
	}
	/**
	 * The first VM takes the second one's job over, and is still reading
	 * it.
	 */
	void
	take_over()
	{
		a.defers = [](const jj_platform_call_t &call) {
			return call.op == JJ_PLATFORM_GET &&
			    strcmp(call.key, "batch-jobs/j") == 0;
		};
		b.paused = true;
		lost_writers.insert(b.writer);
		pass(3000);
		ASSERT_EQ(1U, jj_inline_counts(a.jobs).takeovers);
		ASSERT_FALSE(a.deferred.empty());
	}
	/** Stops the first VM, and answers its deferred calls. */
	void
	stop()
	{
		jj_inline_leave(a.jobs, now, &a.out);
		a.run_actions();
		a.defers = nullptr;
		a.release();
		for (int i = 0; i < 40 && !jj_inline_is_idle(a.jobs); i++)
			pass(50);
		EXPECT_TRUE(jj_inline_is_idle(a.jobs));
		a.paused = true;
		lost_writers.insert(a.writer);
	}
	std::string
	entry(const std::string &id) const
	{
		auto found = platform.objects.find("batch-open/" + id);

		return found != platform.objects.end() ? found->second.value
						       : "";
	}
};

class InlineStopFailure : public InlineStop
{
};

/* The entry must keep its route and tokens, or they would not be counted. */
TEST_F(InlineStopFailure, WhileAJobIsReadKeepsItsTokens)
{
	(void)b.submit("j", 2);
	pass(300);
	take_over();
	stop();
	json_t *root = json_loads(entry("j").c_str(), 0, nullptr);
	ASSERT_NE(nullptr, root);
	EXPECT_STREQ(
	    "notturno", json_string_value(json_object_get(root, "route")));
	EXPECT_EQ(20, json_integer_value(json_object_get(root, "tokens")));
	EXPECT_EQ(2, json_integer_value(json_object_get(root, "total")));
	json_decref(root);
}

/* A job's tokens count while its new owner is still reading it. */
TEST_F(InlineStopFailure, AJobThatIsReadCounts)
{
	route.max_waiting_tokens = 25;
	(void)b.submit("j", 2);
	pass(300);
	take_over();
	EXPECT_EQ(429, a.answer(a.submit("k", 1)).status);
}

/*
 * An ended job must not run again when it is submitted once more. It did: its
 * open entry, the only record of the end, was deleted by a VM that had not read
 * the job yet.
 */
TEST_F(InlineStopFailure, WhileAnEndedJobIsReadKeepsTheEnd)
{
	(void)b.submit("j", 2);
	pass(300);
	b.paused = true;
	ASSERT_EQ(200, c.answer(c.end("j")).status);
	take_over();
	stop();
	pass(3000);
	EXPECT_EQ("", entry("j")) << "the next VM closes it";
	EXPECT_EQ(202, c.answer(c.submit("j", 2)).status);
	pass(1000);
	EXPECT_TRUE(c.items.empty());
}

/* The same, with the end while the job is handed over. */
TEST_F(InlineStopFailure, WhileAJobIsEndedKeepsTheEnd)
{
	(void)a.submit("j", 2);
	pass(300);
	ASSERT_EQ(2U, a.items.size());
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_UPDATE;
	};
	jj_inline_leave(a.jobs, now, &a.out);
	a.run_actions();
	pass(50);
	ASSERT_EQ(1U, a.deferred.size());
	ASSERT_EQ(200, c.answer(c.end("j")).status);
	stop();
	pass(3000);
	EXPECT_EQ("", entry("j")) << "the next VM closes it";
	EXPECT_EQ(202, c.answer(c.submit("j", 2)).status);
	pass(1000);
	EXPECT_TRUE(c.items.empty());
}

/*
 * A stopping VM waits for the answer to its takeover: otherwise it would own
 * the job, and other VMs would wait until it is lost.
 */
TEST_F(InlineStopFailure, WaitsForATakeoverUnderWay)
{
	(void)b.submit("j", 2);
	pass(300);
	a.defers = [](const jj_platform_call_t &call) {
		return call.op == JJ_PLATFORM_UPDATE;
	};
	b.paused = true;
	lost_writers.insert(b.writer);
	pass(3000);
	ASSERT_EQ(1U, a.deferred.size());
	jj_inline_leave(a.jobs, now, &a.out);
	a.run_actions();
	EXPECT_FALSE(jj_inline_is_idle(a.jobs));
	stop();
	EXPECT_NE(std::string::npos, entry("j").find("\"owner\":\"\""))
	    << entry("j");
	pass(1000);
	EXPECT_EQ(2U, c.items.size())
	    << "earlier than the takeover from a lost VM";
}

} // namespace
