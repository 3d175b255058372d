/**
 * @file inline_progress_test.cc
 * @brief An accepted job runs to completion, in all sequences of failures.
 */
#include "tests/core/inline_world.h"

namespace
{

constexpr int ITEMS = 3;
/**
 * Without failures a job whose items end at once is complete after this, ms.
 */
constexpr jj_ms_t DONE_MS = 12000;

/** Events; the second VM accepts the job. */
enum Event {
	DISCONNECT, /**< it reaches neither the platform nor other VMs */
	RECONNECT, /**< its pending calls take effect now */
	PAUSE,
	RESUME,
	STOP, /**< planned stop of the second VM */
	KILL,
	PLATFORM_DOWN, /**< the platform does not answer the first VM */
	PLATFORM_UP,
	LOSE_HISTORY, /**< the platform drops its history of changes */
	DROP_ROUTE,
	ADD_ROUTE,
	FINISH, /**< items end, one at each VM */
	SHORT_WAIT,
	LONG_WAIT,
	EVENTS
};

class Progress : public InlineWorld
{
      public:
	Progress() : a(add_vm("a")), b(add_vm("b")), c(add_vm("c"))
	{
		(void)b.submit("j", ITEMS);
		pass(300);
	}
	void
	TestBody() override
	{
	}
	/** False when the event is impossible now, or has no effect. */
	bool
	apply(int event)
	{
		switch (event) {
		case DISCONNECT:
		case RECONNECT:
			if (exited || b.paused ||
			    is_disconnected == (event == DISCONNECT))
				return false;
			set_disconnected(event == DISCONNECT);
			break;
		case PAUSE:
		case RESUME:
			if (exited || is_disconnected ||
			    b.paused == (event == PAUSE))
				return false;
			set_paused(event == PAUSE);
			break;
		case STOP:
			if (exited || stopping || b.paused)
				return false;
			stopping = true;
			jj_inline_leave(b.jobs, now, &b.out);
			b.run_actions();
			break;
		case KILL:
			if (exited)
				return false;
			kill();
			break;
		case PLATFORM_DOWN:
		case PLATFORM_UP:
			if (platform_down == (event == PLATFORM_DOWN))
				return false;
			set_platform_down(event == PLATFORM_DOWN);
			break;
		case LOSE_HISTORY:
			a.drop_history();
			c.drop_history();
			break;
		case DROP_ROUTE:
		case ADD_ROUTE:
			if (route_removed == (event == DROP_ROUTE))
				return false;
			set_route_removed(event == DROP_ROUTE);
			break;
		case FINISH:
			for (InlineVm *vm : {&a, &b, &c})
				if (!vm->paused && !vm->items.empty())
					(void)vm->finish(
					    vm->items.begin()->second, "t");
			break;
		case SHORT_WAIT:
			elapse(700);
			break;
		default:
			elapse(4000);
			break;
		}
		elapse(100);
		return true;
	}
	/** Ends all failures; items end as soon as they begin. */
	void
	recover()
	{
		if (is_disconnected)
			set_disconnected(false);
		if (b.paused && !exited)
			set_paused(false);
		if (platform_down)
			set_platform_down(false);
		if (route_removed)
			set_route_removed(false);
		for (jj_ms_t until = now + DONE_MS; now < until;) {
			elapse(500);
			if (stored("j").size() == ITEMS &&
			    !platform.has("batch-open/j"))
				return;
			for (InlineVm *vm : {&a, &b, &c})
				if (!vm->paused)
					vm->finish_all("t");
		}
	}
	std::string
	describe()
	{
		std::string text = std::to_string(stored("j").size()) +
		    " results, entry " +
		    (platform.has("batch-open/j")
			    ? platform.objects["batch-open/j"].value
			    : "none");

		for (InlineVm *vm : {&a, &b, &c})
			text += "\n" + vm->writer + " " +
			    std::to_string(vm->items.size()) + " items; " +
			    (vm->log.empty() ? "" : vm->log.back());
		return text;
	}

      private:
	InlineVm &a;
	InlineVm &b;
	InlineVm &c;
	bool is_disconnected = false;
	bool stopping = false;
	bool exited = false; /**< the second VM's process has ended */
	bool platform_down = false;
	bool route_removed = false;

	void
	elapse(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			pass(50);
			if (stopping && !exited && !is_disconnected &&
			    !b.paused && jj_inline_is_idle(b.jobs))
				kill();
		}
	}
	void
	kill()
	{
		exited = true;
		is_disconnected = false;
		b.paused = true;
		lost_writers.insert(b.writer);
	}
	void
	set_disconnected(bool to)
	{
		is_disconnected = to;
		b.watch_stalled = to;
		b.defers_checks = to;
		if (to) {
			lost_writers.insert(b.writer);
			b.defers = [](const jj_platform_call_t &) {
				return true;
			};
			return;
		}
		lost_writers.erase(b.writer);
		b.defers = nullptr;
		b.release();
	}
	void
	set_paused(bool to)
	{
		b.paused = to;
		if (to)
			lost_writers.insert(b.writer);
		else
			lost_writers.erase(b.writer);
	}
	void
	set_platform_down(bool to)
	{
		platform_down = to;
		a.watch_stalled = to;
		a.defers_checks = to;
		if (to) {
			a.defers = [](const jj_platform_call_t &) {
				return true;
			};
			return;
		}
		a.defers = nullptr;
		a.release();
	}
	void
	set_route_removed(bool to)
	{
		route_removed = to;
		route.host =
		    const_cast<char *>(to ? "altro.example" : "ordini.example");
	}
};

/** Runs the events that the digits of a number give; false: impossible. */
bool
run_sequence(int code, int depth)
{
	Progress world;
	std::string sequence;

	for (int i = 0; i < depth; i++, code /= EVENTS) {
		sequence += " " + std::to_string(code % EVENTS);
		if (!world.apply(code % EVENTS))
			return false;
	}
	world.recover();
	EXPECT_EQ(size_t(ITEMS), world.stored("j").size())
	    << "events" << sequence << "\n"
	    << world.describe();
	EXPECT_FALSE(world.platform.has("batch-open/j"))
	    << "events" << sequence << "\n"
	    << world.describe();
	return true;
}

/*
 * After all failures have ended, some VM must run each accepted job to
 * completion. Plays all sequences of four events.
 */
TEST(InlineProgress, AnAcceptedJobIsRunToItsEnd)
{
	constexpr int DEPTH = 4;
	int sequences = 1;
	int run_count = 0;

	for (int i = 0; i < DEPTH; i++)
		sequences *= EVENTS;
	for (int code = 0; code < sequences && !::testing::Test::HasFailure();
	     code++)
		run_count += run_sequence(code, DEPTH);
	EXPECT_GT(run_count, 5000);
	RecordProperty("orders", run_count);
}

} // namespace
