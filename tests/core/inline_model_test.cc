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

/** Events around a submission whose VM may be killed between its writes. */
enum AcceptEvent {
	A_STORE_JOB, /**< the create of the job object takes effect */
	A_STORE_ENTRY, /**< that of the open entry does */
	A_KILL, /**< the VM; its calls may still take effect */
	A_RESEND, /**< the submission comes again, elsewhere */
	A_RESEND_TO_THIRD,
	A_FILL, /**< no more tokens fit the route */
	A_SHORT_WAIT,
	A_LONG_WAIT, /**< long enough for an orphaned entry to be deleted */
	A_EVENTS
};

/** The first of three VMs gets a submission; its creates wait. */
class Accepting : public InlineWorld
{
      public:
	Accepting() : a(add_vm("a")), b(add_vm("b")), c(add_vm("c"))
	{
		pass(100);
		a.defers = [](const jj_platform_call_t &call) {
			return call.op == JJ_PLATFORM_CREATE;
		};
		submit(a);
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
		case A_STORE_JOB:
			return take_effect("batch-jobs/");
		case A_STORE_ENTRY:
			return take_effect("batch-open/");
		case A_KILL:
			if (a.paused)
				return false;
			a.paused = true;
			lost_writers.insert(a.writer);
			return true;
		case A_RESEND:
			submit(b);
			break;
		case A_RESEND_TO_THIRD:
			submit(c);
			break;
		case A_FILL:
			if (is_full)
				return false;
			is_full = true;
			(void)c.submit("full", 10, 100);
			break;
		case A_SHORT_WAIT:
			pass(300);
			break;
		default:
			pass(7000);
			break;
		}
		note_items();
		return true;
	}
	/** All calls take effect, all items end; returns what is wrong. */
	std::string
	end()
	{
		(void)take_effect("batch-jobs/");
		(void)take_effect("batch-open/");
		a.defers = nullptr;
		if (!a.paused)
			a.release();
		for (int i = 0; i < 60; i++) {
			pass(200);
			note_items();
			for (InlineVm *vm : {&a, &b, &c})
				if (!vm->paused)
					vm->finish_all("t");
		}
		for (auto &sent : submissions) {
			int status = sent.first->answer(sent.second).status;

			accepted = accepted || status == 202;
			is_open = is_open || (status != 429 && status != 503);
		}
		if (accepted && stored("j").size() != (size_t)ITEMS)
			return "accepted, " +
			    std::to_string(stored("j").size()) + " results";
		if (!is_open && has_run)
			return "refused, and has run";
		return "";
	}
	bool accepted = false;

      private:
	InlineVm &a;
	InlineVm &b;
	InlineVm &c;
	bool is_full = false;
	bool has_run = false;
	bool is_open = false; /**< not all submissions were refused */
	std::vector<std::pair<InlineVm *, uint64_t>> submissions;

	void
	submit(InlineVm &vm)
	{
		submissions.push_back({&vm, vm.submit("j", ITEMS)});
	}
	/** Executes the first VM's waiting calls of that kind. */
	bool
	take_effect(const std::string &kind)
	{
		std::list<jj_action_t *> others;
		std::list<jj_action_t *> chosen;

		for (jj_action_t *action : a.deferred)
			(kind.compare(0, kind.size(), action->body.platform.key,
			     kind.size()) == 0
				? chosen
				: others)
			    .push_back(action);
		if (chosen.empty())
			return false;
		a.deferred = chosen;
		if (!a.paused) {
			a.release();
		} else {
			for (jj_action_t *action : a.deferred) {
				jj_platform_result_t result =
				    platform.execute(action->body.platform);
				jj_platform_result_clear(&result);
				jj_action_free(action);
			}
			a.deferred.clear();
		}
		a.deferred.insert(
		    a.deferred.end(), others.begin(), others.end());
		return true;
	}
	void
	note_items()
	{
		for (InlineVm *vm : {&a, &b, &c})
			for (auto &item : vm->items)
				has_run = has_run ||
				    item.second.compare(0, 2, "j-") == 0;
	}
};

/* Guards against accepted jobs that never run, and refused ones that do. */
TEST(InlineModel, WhatIsAcceptedIsRun)
{
	constexpr int DEPTH = 5;
	int sequences = 1;
	int with_kill = 0;

	for (int i = 0; i < DEPTH; i++)
		sequences *= A_EVENTS;
	for (int code = 0; code < sequences && !::testing::Test::HasFailure();
	     code++) {
		Accepting world;
		std::string sequence;
		bool killed = false;
		bool possible = true;

		for (int i = 0, rest = code; i < DEPTH && possible;
		     i++, rest /= A_EVENTS) {
			sequence += " " + std::to_string(rest % A_EVENTS);
			killed = killed || rest % A_EVENTS == A_KILL;
			possible = world.apply(rest % A_EVENTS);
		}
		if (!possible)
			continue;
		EXPECT_EQ("", world.end()) << "events" << sequence;
		with_kill += killed && world.accepted;
	}
	EXPECT_GT(with_kill, 1000);
}

} // namespace
