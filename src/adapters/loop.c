/**
 * @file loop.c
 * @brief Event loop: a thread that runs posted tasks in order, and timer ticks.
 */
#include <stdbool.h>
#include <stdlib.h>

#include "adapters/loop.h"
#include "adapters/monotonic.h"
#include "adapters/runtime.h"
#include "core/types.h"

struct jj_loop {
	apr_pool_t *pool;
	apr_thread_t *thread; /**< NULL: not started */
	apr_thread_mutex_t *lock; /**< guards tasks, stopping and waiting */
	apr_pollset_t *waker;
	STAILQ_HEAD(, jj_task) tasks;
	bool stopping;
	bool waiting; /**< the thread waits or is about to; needs a wake-up */
	jj_ms_t (*next)(void *);
	void (*tick)(void *, jj_ms_t);
	void *ctx;
};

static void *APR_THREAD_FUNC run(apr_thread_t *, void *);
static jj_task_t *wait_for_task(jj_loop_t *, jj_ms_t, bool *);
static void wait_unlocked(jj_loop_t *, jj_ms_t);
static bool clear_waiting(jj_loop_t *);

jj_loop_t *
jj_loop_create(
    jj_ms_t (*next)(void *ctx), void (*tick)(void *ctx, jj_ms_t now), void *ctx)
{
	jj_loop_t *loop = jj_alloc(sizeof(*loop));

	loop->next = next;
	loop->tick = tick;
	loop->ctx = ctx;
	STAILQ_INIT(&loop->tasks);
	loop->pool = jj_runtime_create_pool();
	loop->lock = jj_runtime_create_mutex(loop->pool);
	return loop;
}

bool
jj_loop_start(jj_loop_t *loop)
{
	loop->waker = jj_runtime_create_waker(loop->pool);
	if (loop->waker == NULL)
		return false;
	loop->thread = jj_runtime_start_thread(loop->pool, run, loop);
	return loop->thread != NULL;
}

void
jj_loop_stop(jj_loop_t *loop)
{
	bool wake;

	if (loop == NULL || loop->thread == NULL)
		return;
	(void)apr_thread_mutex_lock(loop->lock);
	loop->stopping = true;
	wake = clear_waiting(loop);
	(void)apr_thread_mutex_unlock(loop->lock);
	if (wake)
		(void)apr_pollset_wakeup(loop->waker);
	jj_runtime_join_thread(loop->thread);
	loop->thread = NULL;
}

void
jj_loop_destroy(jj_loop_t *loop)
{
	jj_task_t *task;

	if (loop == NULL)
		return;
	jj_loop_stop(loop);
	while ((task = STAILQ_FIRST(&loop->tasks)) != NULL) {
		STAILQ_REMOVE_HEAD(&loop->tasks, link);
		task->run(task, NULL, 0);
	}
	apr_pool_destroy(loop->pool);
	free(loop);
}

void
jj_loop_post(jj_loop_t *loop, jj_task_t *task)
{
	bool wake;

	(void)apr_thread_mutex_lock(loop->lock);
	STAILQ_INSERT_TAIL(&loop->tasks, task, link);
	wake = clear_waiting(loop);
	(void)apr_thread_mutex_unlock(loop->lock);
	if (wake)
		(void)apr_pollset_wakeup(loop->waker);
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *argument)
{
	jj_loop_t *loop = argument;
	jj_task_t *task;
	jj_ms_t now;
	bool stopping = false;

	(void)thread;
	for (;;) {
		task = wait_for_task(loop, loop->next(loop->ctx), &stopping);
		now = jj_monotonic_now();
		if (task != NULL)
			task->run(task, loop->ctx, now);
		else if (stopping)
			return NULL;
		if (now >= loop->next(loop->ctx))
			loop->tick(loop->ctx, now);
	}
}

static jj_task_t *
wait_for_task(jj_loop_t *loop, jj_ms_t until, bool *stopping)
{
	jj_task_t *task;

	(void)apr_thread_mutex_lock(loop->lock);
	if (STAILQ_EMPTY(&loop->tasks) && !loop->stopping)
		wait_unlocked(loop, until);
	task = STAILQ_FIRST(&loop->tasks);
	if (task != NULL)
		STAILQ_REMOVE_HEAD(&loop->tasks, link);
	*stopping = loop->stopping;
	(void)apr_thread_mutex_unlock(loop->lock);
	return task;
}

/**
 * Waits until a task is posted or @p until. Releases the lock during the wait;
 * a task posted before the wait has begun finds `waiting` set, and its wake-up
 * ends the wait at once.
 */
static void
wait_unlocked(jj_loop_t *loop, jj_ms_t until)
{
	jj_ms_t timeout_ms = JJ_MS_NEVER;

	if (until != JJ_MS_NEVER)
		timeout_ms = until - jj_monotonic_now();
	if (timeout_ms <= 0)
		return;
	loop->waiting = true;
	(void)apr_thread_mutex_unlock(loop->lock);
	jj_runtime_wait(loop->waker, timeout_ms);
	(void)apr_thread_mutex_lock(loop->lock);
	loop->waiting = false;
}

/** True if the thread must be woken; only for the first of several posters. */
static bool
clear_waiting(jj_loop_t *loop)
{
	bool waiting = loop->waiting;

	loop->waiting = false;
	return waiting;
}
