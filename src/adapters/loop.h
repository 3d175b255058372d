/**
 * @file loop.h
 * @brief Event loop: a thread that runs posted tasks in order, and timer ticks.
 *
 * Each half of the core (control, batch) runs on one loop and is accessed by no
 * other thread. So the core needs no locks, and its actions are executed in the
 * order in which it emits them.
 */
#ifndef JJ_ADAPTERS_LOOP_H
#define JJ_ADAPTERS_LOOP_H

#include <stdbool.h>
#include <sys/queue.h>

#include "core/clock.h"

/**
 * Embedded in each posted object; the loop's thread calls run once. If @p ctx
 * is NULL the loop has ended and the task only frees itself.
 */
typedef struct jj_task {
	STAILQ_ENTRY(jj_task) link;
	void (*run)(struct jj_task *task, void *ctx, jj_ms_t now);
} jj_task_t;

typedef struct jj_loop jj_loop_t;

/**
 * @param next returns when tick is due, on the monotonic clock.
 * @param tick called at that time, on the loop's thread.
 */
jj_loop_t *jj_loop_create(jj_ms_t (*next)(void *ctx),
    void (*tick)(void *ctx, jj_ms_t now), void *ctx);
/** Starts the thread. All that tasks and ticks use must exist by now. */
bool jj_loop_start(jj_loop_t *loop);
/** Runs the tasks posted so far, then stops the thread. */
void jj_loop_stop(jj_loop_t *loop);
/** Stops the loop if needed and frees it with the tasks posted since. */
void jj_loop_destroy(jj_loop_t *loop);
/** Posts a task from any thread; the task frees itself when it runs. */
void jj_loop_post(jj_loop_t *loop, jj_task_t *task);

#endif
