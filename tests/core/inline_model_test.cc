/**
 * @file inline_model_test.cc
 * @brief Results that were read stay readable, in all sequences of failures.
 */
#include <algorithm>
#include <map>

#include "tests/core/inline_world.h"

namespace
{

/** A position that was read has to be known at all VMs after this, ms. */
constexpr jj_ms_t SETTLE_MS = 1000;
constexpr int ITEMS = 3;

/** Events: failures of the VM that accepted the job, ends of items, waits. */
enum Event {
	DISCONNECT, /**< from the platform and all other VMs */
	RECONNECT, /**< its pending calls take effect now */
	PAUSE,
	RESUME,
	FINISH_HERE, /**< one of its items ends */
	FINISH_THERE, /**< all of the other VM's items end */
	SHORT_WAIT,
	LONG_WAIT, /**< long enough for a lost VM's job to be taken over */
	EVENTS
};

/** Three VMs; the second one accepts the job and is disconnected or paused. */
class ThreeVms : public InlineWorld
{
      public:
	ThreeVms() : a(add_vm("a")), b(add_vm("b")), c(add_vm("c"))
	{
		(void)b.submit("j", ITEMS);
		pass(300);
		EXPECT_EQ(size_t(ITEMS), b.items.size());
	}
	void
	TestBody() override
	{
	}
	std::string violation;

      protected:
	InlineVm &a;
	InlineVm &b;
	InlineVm &c;
	bool is_disconnected = false;

	void
	set_disconnected(bool to)
	{
		is_disconnected = to;
		b.watch_stalled = to;
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
};

class Results : public ThreeVms
{
      public:
	/** False when the event is impossible now, or has no effect. */
	bool
	apply(int event)
	{
		bool is_away = b.paused || is_disconnected;

		switch (event) {
		case DISCONNECT:
			if (is_away)
				return false;
			set_disconnected(true);
			break;
		case RECONNECT:
			if (!is_disconnected)
				return false;
			set_disconnected(false);
			break;
		case PAUSE:
		case RESUME:
			if (is_disconnected || b.paused == (event == PAUSE))
				return false;
			set_paused(event == PAUSE);
			break;
		case FINISH_HERE:
			if (b.paused || !finish_one(b))
				return false;
			break;
		case FINISH_THERE:
			if (a.items.empty())
				return false;
			a.finish_all("t");
			break;
		case SHORT_WAIT:
			pass(700);
			break;
		default:
			pass(3000);
			break;
		}
		check_reads();
		return true;
	}

      private:
	/** Largest number of results read by then. */
	std::map<jj_ms_t, uint32_t> read_by;

	static bool
	finish_one(InlineVm &vm)
	{
		if (vm.items.empty())
			return false;
		return vm.finish(vm.items.begin()->second, "t");
	}
	/** Reads at each running VM, after reports were sent to all others. */
	void
	check_reads()
	{
		pass(50);
		a.report_states(c);
		if (!b.paused && !is_disconnected) {
			b.report_states(c);
			b.report_states(a);
			a.report_states(b);
		}
		for (InlineVm *vm : {&a, &b, &c})
			if (!vm->paused)
				read_at(*vm);
	}
	void
	read_at(InlineVm &vm)
	{
		uint32_t known = 0;
		uint64_t all = vm.read("j", 0);
		uint32_t shown = count(vm.answer(all).body);

		for (auto &read : read_by)
			if (read.first + SETTLE_MS < now)
				known = std::max(known, read.second);
		if (vm.answer(all).status == 404 ||
		    (vm.answer(all).status == 200 && shown < known))
			violation = vm.writer + " publishes " +
			    std::to_string(shown) + " where " +
			    std::to_string(known) + " had been read";
		read_by[now] = std::max(read_by[now], shown);
	}
	static uint32_t
	count(const std::string &page)
	{
		return (uint32_t)std::count(page.begin(), page.end(), '=');
	}
};

/** Runs the events that the digits of a number give; false: impossible. */
bool
run_sequence(int code, int depth)
{
	Results results;
	std::string sequence;

	for (int i = 0; i < depth; i++, code /= EVENTS) {
		sequence += " " + std::to_string(code % EVENTS);
		if (!results.apply(code % EVENTS))
			return false;
		EXPECT_EQ("", results.violation) << "events" << sequence;
		if (!results.violation.empty())
			return true;
	}
	return true;
}

/*
 * A VM runs a job and is disconnected or paused at any moment, and comes back
 * at any other; items end at several VMs, and pending calls take effect late.
 * Plays each sequence of five such events, with reads at three VMs after each
 * event.
 */
TEST(InlineModel, WhatWasReadStaysReadable)
{
	constexpr int DEPTH = 5;
	int sequences = 1;
	int run_count = 0;

	for (int i = 0; i < DEPTH; i++)
		sequences *= EVENTS;
	for (int code = 0; code < sequences && !::testing::Test::HasFailure();
	     code++)
		run_count += run_sequence(code, DEPTH);
	EXPECT_GT(run_count, 1000);
	RecordProperty("orders", run_count);
}

/** An item may still start this long after an end was confirmed, ms. */
constexpr jj_ms_t CANCEL_MS = 3000;
/** A VM is checked only this long after a disconnect or pause, ms. */
constexpr jj_ms_t STABLE_MS = 3000;

/** Events around the end of a job by its client. */
enum EndEvent {
	E_DISCONNECT, /**< the VM that accepted it reaches nobody */
	E_RECONNECT, /**< its pending calls take effect now */
	E_PAUSE,
	E_RESUME,
	E_END_HERE, /**< the client ends the job at the VM that accepted it */
	E_END_THERE, /**< or at another one */
	E_SEND_AGAIN, /**< the submission comes once more, elsewhere */
	E_FINISH_ONE, /**< one of the first VM's items ends */
	E_SHORT_WAIT,
	E_LONG_WAIT, /**< long enough for a lost VM's job to be taken over */
	E_EVENTS
};

class Ending : public ThreeVms
{
      public:
	/** False when the event is impossible now, or has no effect. */
	bool
	apply(int event)
	{
		switch (event) {
		case E_DISCONNECT:
		case E_RECONNECT:
			if (b.paused ||
			    is_disconnected == (event == E_DISCONNECT))
				return false;
			set_disconnected(event == E_DISCONNECT);
			break;
		case E_PAUSE:
		case E_RESUME:
			if (is_disconnected || b.paused == (event == E_PAUSE))
				return false;
			set_paused(event == E_PAUSE);
			break;
		case E_END_HERE:
			if (b.paused)
				return false;
			end_at(b);
			break;
		case E_END_THERE:
			end_at(a);
			break;
		case E_SEND_AGAIN:
			(void)c.submit("j", ITEMS);
			break;
		case E_FINISH_ONE:
			if (b.paused || b.items.empty())
				return false;
			(void)b.finish(b.items.begin()->second, "t");
			break;
		case E_SHORT_WAIT:
			elapse(700);
			break;
		default:
			elapse(4000);
			break;
		}
		elapse(100);
		return true;
	}
	/** Ends all failures: deferred calls take effect, time passes. */
	void
	recover()
	{
		if (is_disconnected)
			set_disconnected(false);
		if (b.paused)
			set_paused(false);
		elapse(12000);
	}
	bool ended = false;

      private:
	jj_ms_t ended_ms = 0;
	/** VM b was disconnected or paused until then. */
	jj_ms_t disturbed_ms = 0;
	/** End operations that were sent. */
	std::vector<std::pair<InlineVm *, uint64_t>> ends;

	void
	end_at(InlineVm &vm)
	{
		ends.push_back({&vm, vm.end("j")});
	}
	void
	elapse(jj_ms_t ms)
	{
		for (jj_ms_t until = now + ms; now < until;) {
			pass(50);
			report();
			note_ends();
			if (is_disconnected || b.paused)
				disturbed_ms = now;
			check_items(a, 0);
			check_items(b, disturbed_ms + STABLE_MS);
			check_items(c, 0);
		}
	}
	/** Delivers reports and notifications between connected VMs. */
	void
	report()
	{
		InlineVm *all[] = {&a, &b, &c};

		for (InlineVm *from : all)
			for (InlineVm *to : all)
				if (from != to && is_connected(*from) &&
				    is_connected(*to))
					report_to(*from, *to);
	}
	bool
	is_connected(const InlineVm &vm) const
	{
		return &vm != &b || (!is_disconnected && !b.paused);
	}
	void
	report_to(InlineVm &from, InlineVm &to)
	{
		std::vector<std::string> undelivered;

		from.report_states(to);
		for (const std::string &notice : from.ended_notices) {
			if (notice.substr(0, notice.find(' ')) != to.writer) {
				undelivered.push_back(notice);
				continue;
			}
			jj_inline_take_ended(to.jobs,
			    notice.substr(notice.find(' ') + 1).c_str(), now,
			    &to.out);
			to.run_actions();
		}
		from.ended_notices = undelivered;
	}
	void
	note_ends()
	{
		for (auto &sent_end : ends) {
			if (ended ||
			    sent_end.first->answer(sent_end.second).status !=
				200)
				continue;
			ended = true;
			ended_ms = now;
		}
	}
	/**
	 * Started items may reach a server at any moment, so none may be left.
	 */
	void
	check_items(const InlineVm &vm, jj_ms_t from)
	{
		if (ended && !vm.items.empty() && !vm.paused && now >= from &&
		    now > ended_ms + CANCEL_MS)
			violation = vm.writer + " has " +
			    std::to_string(vm.items.size()) + " items " +
			    std::to_string(now - ended_ms) +
			    " ms after the end";
	}
};

/** Runs the events that the digits of a number give; false: impossible. */
bool
run_end_sequence(int code, int depth, bool *ended)
{
	Ending world;
	std::string sequence;

	for (int i = 0; i < depth; i++, code /= E_EVENTS) {
		sequence += " " + std::to_string(code % E_EVENTS);
		if (!world.apply(code % E_EVENTS))
			return false;
	}
	world.recover();
	*ended = world.ended;
	EXPECT_EQ("", world.violation) << "events" << sequence;
	return true;
}

/*
 * An item of a job ran after its client had ended the job, on a day on which a
 * domain was disconnected. The VM that accepts a job is disconnected or paused
 * at any moment and comes back at any other; the client ends the job at one VM
 * or another, and its submission is sent again. Once an end is confirmed, no
 * connected VM may have an item of the job that can reach a server later than
 * CANCEL_MS.
 */
TEST(InlineModel, WhatWasEndedIsNotBegunAgain)
{
	constexpr int DEPTH = 5;
	int sequences = 1;
	int run_count = 0;
	int with_end = 0;

	for (int i = 0; i < DEPTH; i++)
		sequences *= E_EVENTS;
	for (int code = 0; code < sequences && !::testing::Test::HasFailure();
	     code++) {
		bool ended = false;

		run_count += run_end_sequence(code, DEPTH, &ended);
		with_end += ended;
	}
	EXPECT_GT(with_end, 1000);
	RecordProperty("orders", run_count);
}

} // namespace
