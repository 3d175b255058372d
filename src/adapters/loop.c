/**
 * @file loop.c
 * @brief A thread that takes tasks in order and wakes when its core is due.
 */
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <time.h>

#include "adapters/loop.h"
#include "adapters/monotonic.h"
#include "core/types.h"

struct jj_loop {
	pthread_t thread;
	pthread_mutex_t lock; /**< guards tasks and stopping */
	pthread_cond_t wake;
	STAILQ_HEAD(, jj_task) tasks;
	bool stopping;
	bool started;
	jj_ms_t (*next)(void *);
	void (*tick)(void *, jj_ms_t);
	void *ctx;
};

static void *run(void *);
static jj_task_t *wait_for_task(jj_loop_t *, jj_ms_t, bool *);
static void wait_until(jj_loop_t *, jj_ms_t);

jj_loop_t *
jj_loop_create(
    jj_ms_t (*next)(void *ctx), void (*tick)(void *ctx, jj_ms_t now), void *ctx)
{
	jj_loop_t *loop = jj_alloc(sizeof(*loop));
	pthread_condattr_t attributes;

	loop->next = next;
	loop->tick = tick;
	loop->ctx = ctx;
	STAILQ_INIT(&loop->tasks);
	(void)pthread_mutex_init(&loop->lock, NULL);
	(void)pthread_condattr_init(&attributes);
	(void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	(void)pthread_cond_init(&loop->wake, &attributes);
	(void)pthread_condattr_destroy(&attributes);
	return loop;
}

bool
jj_loop_start(jj_loop_t *loop)
{
	loop->started = pthread_create(&loop->thread, NULL, run, loop) == 0;
	return loop->started;
}

void
jj_loop_stop(jj_loop_t *loop)
{
	if (loop == NULL || !loop->started)
		return;
	(void)pthread_mutex_lock(&loop->lock);
	loop->stopping = true;
	(void)pthread_cond_signal(&loop->wake);
	(void)pthread_mutex_unlock(&loop->lock);
	(void)pthread_join(loop->thread, NULL);
	loop->started = false;
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
	(void)pthread_cond_destroy(&loop->wake);
	(void)pthread_mutex_destroy(&loop->lock);
	free(loop);
}

void
jj_loop_post(jj_loop_t *loop, jj_task_t *task)
{
	(void)pthread_mutex_lock(&loop->lock);
	STAILQ_INSERT_TAIL(&loop->tasks, task, link);
	(void)pthread_cond_signal(&loop->wake);
	(void)pthread_mutex_unlock(&loop->lock);
}

static void *
run(void *argument)
{
	jj_loop_t *loop = argument;
	jj_task_t *task;
	jj_ms_t now;
	bool stopping = false;

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

	(void)pthread_mutex_lock(&loop->lock);
	task = STAILQ_FIRST(&loop->tasks);
	if (task == NULL && !loop->stopping && jj_monotonic_now() < until) {
		wait_until(loop, until);
		task = STAILQ_FIRST(&loop->tasks);
	}
	if (task != NULL)
		STAILQ_REMOVE_HEAD(&loop->tasks, link);
	*stopping = loop->stopping;
	(void)pthread_mutex_unlock(&loop->lock);
	return task;
}

static void
wait_until(jj_loop_t *loop, jj_ms_t until)
{
	struct timespec time;
	jj_ms_t remaining;

	if (until == JJ_MS_NEVER) {
		(void)pthread_cond_wait(&loop->wake, &loop->lock);
		return;
	}
	/* The injected clock may count on while the condition's does not. */
	remaining = until - jj_monotonic_now();
	if (remaining <= 0)
		return;
	(void)clock_gettime(CLOCK_MONOTONIC, &time);
	time.tv_sec += remaining / 1000;
	time.tv_nsec += (remaining % 1000) * 1000000L;
	if (time.tv_nsec >= 1000000000L) {
		time.tv_sec++;
		time.tv_nsec -= 1000000000L;
	}
	(void)pthread_cond_timedwait(&loop->wake, &loop->lock, &time);
}
