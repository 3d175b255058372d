/**
 * @file runtime.c
 * @brief What adapters and daemon take from APR: pools, locks, threads, waits.
 */
#include <pthread.h>
#include <stddef.h>

#include <apr_general.h>

#include "adapters/runtime.h"
#include "core/types.h"

/** Longest single wait, ms; its microseconds fit every type on the way. */
#define WAIT_MOST_MS 60000
#define US_PER_MS 1000

/*
 * The one POSIX call where APR has none: apr_initialize counts its
 * calls without a lock, and APR's own "once" needs a pool, so an APR that is
 * started.
 */
static pthread_once_t apr_once = PTHREAD_ONCE_INIT;

static void start_apr(void);
static apr_thread_mutex_t *find_static(jj_static_lock_t *);

apr_pool_t *
jj_runtime_create_pool(void)
{
	apr_pool_t *pool;

	JJ_INVARIANT(pthread_once(&apr_once, start_apr) == 0);
	JJ_INVARIANT(apr_pool_create(&pool, NULL) == APR_SUCCESS);
	return pool;
}

apr_thread_mutex_t *
jj_runtime_create_mutex(apr_pool_t *pool)
{
	apr_thread_mutex_t *mutex;

	JJ_INVARIANT(apr_thread_mutex_create(&mutex, APR_THREAD_MUTEX_DEFAULT,
			 pool) == APR_SUCCESS);
	return mutex;
}

apr_thread_t *
jj_runtime_start_thread(
    apr_pool_t *pool, apr_thread_start_t function, void *argument)
{
	apr_thread_t *thread;

	if (apr_thread_create(&thread, NULL, function, argument, pool) !=
	    APR_SUCCESS)
		return NULL;
	return thread;
}

void
jj_runtime_join_thread(apr_thread_t *thread)
{
	apr_status_t unused;

	(void)apr_thread_join(&unused, thread);
}

apr_pollset_t *
jj_runtime_create_waker(apr_pool_t *pool)
{
	apr_pollset_t *waker;

	if (apr_pollset_create(&waker, 1, pool, APR_POLLSET_WAKEABLE) !=
	    APR_SUCCESS)
		return NULL;
	return waker;
}

/*
 * Guards against a wall clock that is set back: apr_thread_cond_timedwait
 * waits for a time of the wall clock, so an hour's step back would keep a
 * loop asleep, and its heartbeats and lease renewals out, for an hour. A
 * bound on each wait would not help, as the bound is by that clock too. A
 * poll's timeout is a span, which the kernel counts on the monotonic clock.
 */
void
jj_runtime_wait(apr_pollset_t *waker, jj_ms_t most_ms)
{
	const apr_pollfd_t *unused;
	apr_int32_t count;

	if (most_ms <= 0)
		return;
	if (most_ms > WAIT_MOST_MS)
		most_ms = WAIT_MOST_MS;
	(void)apr_pollset_poll(waker, most_ms * US_PER_MS, &count, &unused);
}

void
jj_runtime_lock_static(jj_static_lock_t *lock)
{
	(void)apr_thread_mutex_lock(find_static(lock));
}

void
jj_runtime_unlock_static(jj_static_lock_t *lock)
{
	(void)apr_thread_mutex_unlock(atomic_load(&lock->mutex));
}

/* Never ended: a thread left over may log while the process ends. */
static void
start_apr(void)
{
	JJ_INVARIANT(apr_initialize() == APR_SUCCESS);
}

/* Two threads may make it at once: the second one's goes away again. */
static apr_thread_mutex_t *
find_static(jj_static_lock_t *lock)
{
	apr_thread_mutex_t *mutex = atomic_load(&lock->mutex);
	apr_thread_mutex_t *found = NULL;
	apr_pool_t *pool;

	if (mutex != NULL)
		return mutex;
	pool = jj_runtime_create_pool();
	mutex = jj_runtime_create_mutex(pool);
	if (atomic_compare_exchange_strong(&lock->mutex, &found, mutex))
		return mutex;
	apr_pool_destroy(pool);
	return found;
}
