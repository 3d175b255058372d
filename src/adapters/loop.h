/**
 * @file loop.h
 * @brief A thread that takes tasks in order and wakes when its core is due.
 *
 * Each half of the core (control, batch) lives on one loop and is touched by
 * no other thread, so the core needs no locks and its actions are carried
 * out in the order it gave them.
 */
#ifndef JJ_ADAPTERS_LOOP_H
#define JJ_ADAPTERS_LOOP_H

#include <stdbool.h>
#include <sys/queue.h>

#include "core/clock.h"

/**
 * Embedded in what is posted; the loop's thread calls run once. With a NULL
 * @p ctx the loop has ended and the task only frees itself.
 */
typedef struct jj_task {
	STAILQ_ENTRY(jj_task) link;
	void (*run)(struct jj_task *task, void *ctx, jj_ms_t now);
} jj_task_t;

typedef struct jj_loop jj_loop_t;

/**
 * @param next when tick is due, by the monotonic clock.
 * @param tick called then, on the loop's thread.
 */
jj_loop_t *jj_loop_create(jj_ms_t (*next)(void *ctx),
    void (*tick)(void *ctx, jj_ms_t now), void *ctx);
/** Starts the thread, once all that tasks and ticks use is there. */
bool jj_loop_start(jj_loop_t *loop);
/** Runs what was posted before, then ends the thread. */
void jj_loop_stop(jj_loop_t *loop);
/** Frees a loop that was stopped, and what was posted since. */
void jj_loop_destroy(jj_loop_t *loop);
/** Posts a task from any thread; the task frees itself when it runs. */
void jj_loop_post(jj_loop_t *loop, jj_task_t *task);

#endif
