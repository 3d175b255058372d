/**
 * @file runtime.h
 * @brief What adapters and daemon take from APR: pools, locks, threads, waits.
 *
 * Each instance of a module has one pool, made with the instance and ended
 * with it, that owns its locks, threads and wakers. What comes and goes with
 * requests is on the heap (jj_alloc) instead: a pool gives nothing back before
 * its end, so in one that lives as long as the process such objects would be a
 * leak.
 *
 * A pool itself is under no lock: only the thread that made an instance adds
 * to its pool.
 */
#ifndef JJ_ADAPTERS_RUNTIME_H
#define JJ_ADAPTERS_RUNTIME_H

#include <stdatomic.h>

#include <apr_poll.h>
#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "core/clock.h"

/** The lock of a module without instances; zeroed, made at its first use. */
typedef struct {
	_Atomic(apr_thread_mutex_t *) mutex;
} jj_static_lock_t;

/**
 * A pool of its own; APR is started by the first. Ended by apr_pool_destroy,
 * which ends the locks in it too: threads must be joined before.
 */
apr_pool_t *jj_runtime_create_pool(void);
apr_thread_mutex_t *jj_runtime_create_mutex(apr_pool_t *pool);
/** @return NULL when the system has no thread to give. */
apr_thread_t *jj_runtime_start_thread(
    apr_pool_t *pool, apr_thread_start_t function, void *argument);
void jj_runtime_join_thread(apr_thread_t *thread);

/**
 * Something one thread waits at until another wakes it (apr_pollset_wakeup).
 * A wake without a waiting thread ends the next wait at once.
 * @return NULL when the process has no file descriptor left.
 */
apr_pollset_t *jj_runtime_create_waker(apr_pool_t *pool);
/**
 * Waits to be woken, but no longer than @p most_ms (JJ_MS_NEVER: no bound).
 * May return early for no reason: look at what was waited for.
 */
void jj_runtime_wait(apr_pollset_t *waker, jj_ms_t most_ms);

void jj_runtime_lock_static(jj_static_lock_t *lock);
void jj_runtime_unlock_static(jj_static_lock_t *lock);

#endif
