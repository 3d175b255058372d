/**
 * @file loop_test.cc
 * @brief A loop runs its tasks in order and wakes up for each of them.
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
/** Time limit; only a task that is never run exceeds it. */
constexpr std::chrono::seconds LIMIT(30);

struct task_t {
	jj_task_t task; /**< first member: run_task casts from its address */
	int poster;
	int number;
	std::promise<void> ran;
};

/** Recorded on the loop's thread; read after the loop was stopped. */
struct recorded_t {
	std::vector<int> next = std::vector<int>(POSTERS);
	bool in_order = true;
	std::atomic<int> ticks{0};
	std::atomic<jj_ms_t> due{JJ_MS_NEVER};
};

void
run_task(jj_task_t *task, void *ctx, jj_ms_t now)
{
	task_t *own = reinterpret_cast<task_t *>(task);
	recorded_t *recorded = static_cast<recorded_t *>(ctx);

	(void)now;
	recorded->in_order &= recorded->next[own->poster] == own->number;
	recorded->next[own->poster]++;
	own->ran.set_value();
}

jj_ms_t
next_due(void *ctx)
{
	return static_cast<recorded_t *>(ctx)->due;
}

void
count_tick(void *ctx, jj_ms_t now)
{
	(void)now;
	static_cast<recorded_t *>(ctx)->due = JJ_MS_NEVER;
	static_cast<recorded_t *>(ctx)->ticks++;
}

} // namespace

/*
 * Guards against a lost wake-up: a task is posted after the loop has found its
 * queue empty but before it waits. As the loop does not wait yet, the poster
 * does not wake it, and a caller's request stalls until the next one arrives.
 */
TEST(Loop, EveryPostWakes)
{
	recorded_t recorded;
	jj_loop_t *loop = jj_loop_create(next_due, count_tick, &recorded);
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
				/* It may still run: keep its memory. */
				ran.wait();
			}
		});
	}
	for (std::thread &poster : posters)
		poster.join();
	jj_loop_stop(loop);
	EXPECT_TRUE(all_ran);
	EXPECT_TRUE(recorded.in_order);
	for (int count : recorded.next)
		EXPECT_EQ(TASKS_EACH, count);
	jj_loop_destroy(loop);
}

TEST(Loop, TicksWhenDueWithoutATask)
{
	recorded_t recorded;
	jj_loop_t *loop = jj_loop_create(next_due, count_tick, &recorded);

	recorded.due = jj_monotonic_now() + 20;
	ASSERT_TRUE(jj_loop_start(loop));
	while (recorded.ticks == 0)
		std::this_thread::yield();
	EXPECT_EQ(JJ_MS_NEVER, recorded.due);
	jj_loop_stop(loop);
	jj_loop_destroy(loop);
}
