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

class Results : public InlineWorld
{
      public:
	Results() : a(add_vm("a")), b(add_vm("b")), c(add_vm("c"))
	{
		(void)b.submit("j", ITEMS);
		pass(300);
		EXPECT_EQ(size_t(ITEMS), b.items.size());
	}
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
	void
	TestBody() override
	{
	}
	std::string wrong;

      private:
	InlineVm &a;
	InlineVm &b;
	InlineVm &c;
	bool is_cut = false;
	std::map<jj_ms_t, uint32_t> read_by; /**< most that was read by then */

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

} // namespace
