/**
 * @file inline_model_test.cc
 * @brief Results that were read stay readable, in all orders of what happens.
 */
#include <algorithm>
#include <map>

#include "tests/core/inline_world.h"

namespace
{

/** Positions that were read have to be known everywhere after so long, ms. */
constexpr jj_ms_t SETTLE_MS = 1000;
constexpr int ITEMS = 3;

/** What may happen to the VM that took the job, and to the world. */
enum Event {
	CUT, /**< it reaches neither the platform nor other VMs */
	HEAL, /**< its calls under way take effect now */
	FREEZE,
	THAW,
	FINISH_HERE, /**< one of its items ends */
	FINISH_THERE, /**< all of the other VM's items end */
	MOMENT,
	LONG_WHILE, /**< a job of a VM that is lost is taken over in it */
	EVENTS
};

/** Three VMs; the second one takes the job and is cut off or frozen. */
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
	std::string wrong;

      protected:
	InlineVm &a;
	InlineVm &b;
	InlineVm &c;
	bool is_cut = false;

	void
	set_cut(bool to)
	{
		is_cut = to;
		b.blind = to;
		if (to) {
			dead.insert(b.writer);
			b.holds = [](const jj_platform_call_t &) {
				return true;
			};
			return;
		}
		dead.erase(b.writer);
		b.holds = nullptr;
		b.release();
	}
	void
	set_frozen(bool to)
	{
		b.frozen = to;
		if (to)
			dead.insert(b.writer);
		else
			dead.erase(b.writer);
	}
};

class Results : public ThreeVms
{
      public:
	/** False when it can't happen now: nothing would be new. */
	bool
	happen(int event)
	{
		bool away = b.frozen || is_cut;

		switch (event) {
		case CUT:
			if (away)
				return false;
			set_cut(true);
			break;
		case HEAL:
			if (!is_cut)
				return false;
			set_cut(false);
			break;
		case FREEZE:
		case THAW:
			if (is_cut || b.frozen == (event == FREEZE))
				return false;
			set_frozen(event == FREEZE);
			break;
		case FINISH_HERE:
			if (b.frozen || !finish_one(b))
				return false;
			break;
		case FINISH_THERE:
			if (a.items.empty())
				return false;
			a.finish_all("t");
			break;
		case MOMENT:
			pass(700);
			break;
		default:
			pass(3000);
			break;
		}
		look();
		return true;
	}

      private:
	std::map<jj_ms_t, uint32_t> read_by; /**< most that was read by then */

	static bool
	finish_one(InlineVm &vm)
	{
		if (vm.items.empty())
			return false;
		return vm.finish(vm.items.begin()->second, "t");
	}
	/** Readers at each VM that runs; what VMs say comes to all others. */
	void
	look()
	{
		pass(50);
		a.tell_states(c);
		if (!b.frozen && !is_cut) {
			b.tell_states(c);
			b.tell_states(a);
			a.tell_states(b);
		}
		for (InlineVm *vm : {&a, &b, &c})
			if (!vm->frozen)
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
			wrong = vm.writer + " shows " + std::to_string(shown) +
			    " where " + std::to_string(known) +
			    " had been read";
		read_by[now] = std::max(read_by[now], shown);
	}
	static uint32_t
	count(const std::string &page)
	{
		return (uint32_t)std::count(page.begin(), page.end(), '=');
	}
};

/** Runs the events of a number, its digits; false: one could not happen. */
bool
play(int code, int depth)
{
	Results results;
	std::string order;

	for (int i = 0; i < depth; i++, code /= EVENTS) {
		order += " " + std::to_string(code % EVENTS);
		if (!results.happen(code % EVENTS))
			return false;
		EXPECT_EQ("", results.wrong) << "events" << order;
		if (!results.wrong.empty())
			return true;
	}
	return true;
}

/*
 * A VM runs a job, is cut off or frozen at any moment and comes back at any
 * other; items end here and there, its calls take effect late. Each order of
 * five such events is played, with readers at three VMs after each.
 */
TEST(InlineModel, WhatWasReadStaysReadable)
{
	constexpr int DEPTH = 5;
	int orders = 1;
	int played = 0;

	for (int i = 0; i < DEPTH; i++)
		orders *= EVENTS;
	for (int code = 0; code < orders && !::testing::Test::HasFailure();
	     code++)
		played += play(code, DEPTH);
	EXPECT_GT(played, 1000);
	RecordProperty("orders", played);
}

/** How long after an end's confirmation an item may still begin, ms. */
constexpr jj_ms_t CANCEL_MS = 3000;
/** A VM is answerable for what it does so long after a cut or freeze, ms. */
constexpr jj_ms_t STABLE_MS = 3000;

/** What may happen around the end of a job by its client. */
enum EndEvent {
	E_CUT, /**< the VM that took it reaches nobody */
	E_HEAL, /**< its calls under way take effect now */
	E_FREEZE,
	E_THAW,
	E_END_HERE, /**< the client ends the job at the VM that took it */
	E_END_THERE, /**< or at another one */
	E_SEND_AGAIN, /**< the submission comes once more, elsewhere */
	E_FINISH_ONE, /**< one of the first VM's items ends */
	E_MOMENT,
	E_LONG_WHILE, /**< a job of a VM that is lost is taken over in it */
	E_EVENTS
};

class Ending : public ThreeVms
{
      public:
	/** False when it can't happen now: nothing would be new. */
	bool
	happen(int event)
	{
		switch (event) {
		case E_CUT:
		case E_HEAL:
			if (b.frozen || is_cut == (event == E_CUT))
				return false;
			set_cut(event == E_CUT);
			break;
		case E_FREEZE:
		case E_THAW:
			if (is_cut || b.frozen == (event == E_FREEZE))
				return false;
			set_frozen(event == E_FREEZE);
			break;
		case E_END_HERE:
			if (b.frozen)
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
			if (b.frozen || b.items.empty())
				return false;
			(void)b.finish(b.items.begin()->second, "t");
			break;
		case E_MOMENT:
			elapse(700);
			break;
		default:
			elapse(4000);
			break;
		}
		elapse(100);
		return true;
	}
	/** Nothing more happens: what was held back is free, time passes. */
	void
	calm_down()
	{
		if (is_cut)
			set_cut(false);
		if (b.frozen)
			set_frozen(false);
		elapse(12000);
	}
	bool ended = false;

      private:
	jj_ms_t ended_ms = 0;
	jj_ms_t disturbed_ms = 0; /**< b was cut or frozen until then */
	std::vector<std::pair<InlineVm *, uint64_t>> ends; /**< asked for */

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
			tell();
			note_ends();
			if (is_cut || b.frozen)
				disturbed_ms = now;
			judge(a, 0);
			judge(b, disturbed_ms + STABLE_MS);
			judge(c, 0);
		}
	}
	/** What VMs tell each other comes to those that can hear it. */
	void
	tell()
	{
		InlineVm *all[] = {&a, &b, &c};

		for (InlineVm *from : all)
			for (InlineVm *to : all)
				if (from != to && is_heard(*from) &&
				    is_heard(*to))
					tell_one(*from, *to);
	}
	bool
	is_heard(const InlineVm &vm) const
	{
		return &vm != &b || (!is_cut && !b.frozen);
	}
	void
	tell_one(InlineVm &from, InlineVm &to)
	{
		std::vector<std::string> left;

		from.tell_states(to);
		for (const std::string &told : from.told_ended) {
			if (told.substr(0, told.find(' ')) != to.writer) {
				left.push_back(told);
				continue;
			}
			jj_inline_take_ended(to.jobs,
			    told.substr(told.find(' ') + 1).c_str(), now,
			    &to.out);
			to.settle();
		}
		from.told_ended = left;
	}
	void
	note_ends()
	{
		for (auto &asked : ends) {
			if (ended ||
			    asked.first->answer(asked.second).status != 200)
				continue;
			ended = true;
			ended_ms = now;
		}
	}
	/** An item that a VM has begun may reach a server at any moment. */
	void
	judge(const InlineVm &vm, jj_ms_t from)
	{
		if (ended && !vm.items.empty() && !vm.frozen && now >= from &&
		    now > ended_ms + CANCEL_MS)
			wrong = vm.writer + " has " +
			    std::to_string(vm.items.size()) + " items " +
			    std::to_string(now - ended_ms) +
			    " ms after the end";
	}
};

/** Runs the events of a number, its digits; false: one could not happen. */
bool
play_end(int code, int depth, bool *ended)
{
	Ending world;
	std::string order;

	for (int i = 0; i < depth; i++, code /= E_EVENTS) {
		order += " " + std::to_string(code % E_EVENTS);
		if (!world.happen(code % E_EVENTS))
			return false;
	}
	world.calm_down();
	*ended = world.ended;
	EXPECT_EQ("", world.wrong) << "events" << order;
	return true;
}

/*
 * An item of a job ran that its client had ended, on a day on which a domain
 * was cut off. The VM that takes a job is cut off or frozen at any moment and
 * comes back at any other; the client ends the job here or there, and its
 * submission comes again. Once an end was confirmed, no VM that is in touch
 * has an item of the job that may reach a server later than CANCEL_MS.
 */
TEST(InlineModel, WhatWasEndedIsNotBegunAgain)
{
	constexpr int DEPTH = 5;
	int orders = 1;
	int played = 0;
	int with_end = 0;

	for (int i = 0; i < DEPTH; i++)
		orders *= E_EVENTS;
	for (int code = 0; code < orders && !::testing::Test::HasFailure();
	     code++) {
		bool ended = false;

		played += play_end(code, DEPTH, &ended);
		with_end += ended;
	}
	EXPECT_GT(with_end, 1000);
	RecordProperty("orders", played);
}

} // namespace
