/**
 * @file runtime.c
 * @brief APR for adapters and daemon: pools, locks, threads, timed waits.
 */
#include <pthread.h>
#include <stddef.h>

#include <apr_general.h>

#include "adapters/runtime.h"
#include "core/types.h"

/** Longest single wait, ms; in microseconds it fits all types used. */
#define WAIT_MAX_MS 60000
#define US_PER_MS 1000

/*
 * The only POSIX threads call here, as APR has no equivalent: apr_initialize
 * counts its calls without a lock, and APR's thread-once needs a pool, which
 * requires APR to be initialized.
 */
static pthread_once_t apr_once = PTHREAD_ONCE_INIT;

static void initialize_apr(void);
static apr_thread_mutex_t *find_or_create_mutex(jj_static_lock_t *);

apr_pool_t *
jj_runtime_create_pool(void)
{
	apr_pool_t *pool;

	JJ_INVARIANT(pthread_once(&apr_once, initialize_apr) == 0);
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
 * Guards against a wall clock that is set back. apr_thread_cond_timedwait waits
 * until a wall-clock time: after a step back by an hour a loop would sleep for
 * an hour and send no heartbeats and lease renewals. Limiting each wait would
 * not help, as the limit uses the same clock. The timeout of a poll is a
 * duration, which the kernel measures on the monotonic clock.
 */
void
jj_runtime_wait(apr_pollset_t *waker, jj_ms_t timeout_ms)
{
	const apr_pollfd_t *unused;
	apr_int32_t count;

	if (timeout_ms <= 0)
		return;
	if (timeout_ms > WAIT_MAX_MS)
		timeout_ms = WAIT_MAX_MS;
	(void)apr_pollset_poll(waker, timeout_ms * US_PER_MS, &count, &unused);
}

void
jj_runtime_lock_static(jj_static_lock_t *lock)
{
	(void)apr_thread_mutex_lock(find_or_create_mutex(lock));
}

void
jj_runtime_unlock_static(jj_static_lock_t *lock)
{
	(void)apr_thread_mutex_unlock(atomic_load(&lock->mutex));
}

/* APR is never terminated: a remaining thread may log during process exit. */
static void
initialize_apr(void)
{
	JJ_INVARIANT(apr_initialize() == APR_SUCCESS);
}

/* If two threads create the lock at once, the second one's is destroyed. */
static apr_thread_mutex_t *
find_or_create_mutex(jj_static_lock_t *lock)
{
	apr_thread_mutex_t *mutex = atomic_load(&lock->mutex);
	apr_thread_mutex_t *existing = NULL;
	apr_pool_t *pool;

	if (mutex != NULL)
		return mutex;
	pool = jj_runtime_create_pool();
	mutex = jj_runtime_create_mutex(pool);
	if (atomic_compare_exchange_strong(&lock->mutex, &existing, mutex))
		return mutex;
	apr_pool_destroy(pool);
	return existing;
}
