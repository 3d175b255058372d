/**
 * @file runtime.h
 * @brief APR for adapters and daemon: pools, locks, threads, timed waits.
 *
 * Each instance of a module has one pool, created and destroyed with it, that
 * owns its locks, threads and wakers. Objects per request are allocated on the
 * heap (jj_alloc) instead: a pool frees memory only when it is destroyed, so in
 * a pool that lives as long as the process they would leak.
 *
 * Pools are not thread-safe: only the thread that created an instance allocates
 * from its pool.
 */
#ifndef JJ_ADAPTERS_RUNTIME_H
#define JJ_ADAPTERS_RUNTIME_H

#include <stdatomic.h>

#include <apr_poll.h>
#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "core/clock.h"

/** Lock of a module without instances; zero-initialized, made on first use. */
typedef struct {
	_Atomic(apr_thread_mutex_t *) mutex;
} jj_static_lock_t;

/**
 * Creates an root pool; the first call initializes APR. Free it by
 * apr_pool_destroy, which destroys its locks too: join the threads first.
 */
apr_pool_t *jj_runtime_create_pool(void);
apr_thread_mutex_t *jj_runtime_create_mutex(apr_pool_t *pool);
/** @return NULL if the thread cannot be created. */
apr_thread_t *jj_runtime_start_thread(
    apr_pool_t *pool, apr_thread_start_t function, void *argument);
void jj_runtime_join_thread(apr_thread_t *thread);

/**
 * Creates an object on which one thread waits until another wakes it with
 * apr_pollset_wakeup. A wake-up while no thread waits ends the next wait at
 * once.
 * @return NULL if the process has no free file descriptor.
 */
apr_pollset_t *jj_runtime_create_waker(apr_pool_t *pool);
/**
 * Waits for a wake-up, at most @p timeout_ms (JJ_MS_NEVER: no timeout).
 * May return early without a reason: check the condition again.
 */
void jj_runtime_wait(apr_pollset_t *waker, jj_ms_t timeout_ms);

void jj_runtime_lock_static(jj_static_lock_t *lock);
void jj_runtime_unlock_static(jj_static_lock_t *lock);

#endif
