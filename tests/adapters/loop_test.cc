/**
 * @file loop_test.cc
 * @brief A loop's tasks run in order, and none waits for another to wake it.
 */
#include <atomic>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "adapters/loop.h"
#include "adapters/monotonic.h"
}

namespace
{

constexpr int POSTERS = 4;
constexpr int TASKS_EACH = 2000;
/** Generous: only a task that is never run takes as long. */
constexpr std::chrono::seconds LIMIT(30);

struct task_t {
	jj_task_t task; /**< the first: the loop hands back its address */
	int poster;
	int number;
	std::promise<void> ran;
};

/** What the loop's thread sees; its own until the loop is stopped. */
struct seen_t {
	std::vector<int> next = std::vector<int>(POSTERS);
	bool in_order = true;
	std::atomic<int> ticks{0};
	std::atomic<jj_ms_t> due{JJ_MS_NEVER};
};

void
run_task(jj_task_t *task, void *ctx, jj_ms_t now)
{
	task_t *own = reinterpret_cast<task_t *>(task);
	seen_t *seen = static_cast<seen_t *>(ctx);

	(void)now;
	seen->in_order &= seen->next[own->poster] == own->number;
	seen->next[own->poster]++;
	own->ran.set_value();
}

jj_ms_t
next_due(void *ctx)
{
	return static_cast<seen_t *>(ctx)->due;
}

void
count_tick(void *ctx, jj_ms_t now)
{
	(void)now;
	static_cast<seen_t *>(ctx)->due = JJ_MS_NEVER;
	static_cast<seen_t *>(ctx)->ticks++;
}

} // namespace

/*
 * A caller's request stands still until some other request comes in. It was
 * posted just as the loop had found no task and was about to wait; the loop
 * was not waiting yet, so nobody woke it, and it slept with a task to do.
 */
TEST(Loop, EveryPostWakes)
{
	seen_t seen;
	jj_loop_t *loop = jj_loop_create(next_due, count_tick, &seen);
	std::vector<std::thread> posters;
	std::atomic<bool> all_ran{true};

	ASSERT_TRUE(jj_loop_start(loop));
	for (int poster = 0; poster < POSTERS; poster++) {
		posters.emplace_back([loop, poster, &all_ran] {
			std::vector<task_t> tasks(TASKS_EACH);

			for (int i = 0; i < TASKS_EACH && all_ran; i++) {
				tasks[i].task.run = run_task;
				tasks[i].poster = poster;
				tasks[i].number = i;
				auto ran = tasks[i].ran.get_future();
				jj_loop_post(loop, &tasks[i].task);
				if (ran.wait_for(LIMIT) !=
				    std::future_status::ready)
					all_ran = false;
				/* It may still run: its memory stays. */
				ran.wait();
			}
		});
	}
	for (std::thread &poster : posters)
		poster.join();
	jj_loop_stop(loop);
	EXPECT_TRUE(all_ran);
	EXPECT_TRUE(seen.in_order);
	for (int count : seen.next)
		EXPECT_EQ(TASKS_EACH, count);
	jj_loop_destroy(loop);
}

TEST(Loop, TicksWhenDueWithoutATask)
{
	seen_t seen;
	jj_loop_t *loop = jj_loop_create(next_due, count_tick, &seen);

	seen.due = jj_monotonic_now() + 20;
	ASSERT_TRUE(jj_loop_start(loop));
	while (seen.ticks == 0)
		std::this_thread::yield();
	EXPECT_EQ(JJ_MS_NEVER, seen.due);
	jj_loop_stop(loop);
	jj_loop_destroy(loop);
}
