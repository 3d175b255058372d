/**
 * @file http_guard.c
 * @brief Keeps what a process holds for its callers in bounds, and what it
 * receives from servers.
 */
#include <errno.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/http_guard.h"
#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "adapters/runtime.h"

/** A longer gap between ticks is a pause of this process, ms. */
#define PAUSE_MS 1000
/** Time for which bytes are discarded behind an answer, ms. */
#define LINGER_MS 1000
/** Maximum number of connections that linger. */
#define LINGERING_MAX 64
/** Interval of log events, ms. */
#define LOG_MS 1000
/** Retry-After of refusals for want of memory, s. */
#define RETRY_AFTER_S 1
/** Free memory is returned to the system once this share of it is left. */
#define TRIM_DIVISOR 4

struct jj_http_peer {
	jj_caller_t caller; /**< first, as evictions point to it */
	int fd;
	bool lingers;
};

/** The end of a connection whose caller may still send. */
typedef struct {
	int fd;
	jj_ms_t until;
} lingering_t;

struct jj_http_guard {
	atomic_int references;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /**< guards all below */
	jj_caller_budget_t budget;
	lingering_t lingering[LINGERING_MAX];
	size_t lingering_count;
	uint64_t refused;
	uint64_t answers_refused;
	uint64_t logged; /**< closed and refused ones that were logged */
	jj_ms_t logged_ms;
	jj_ms_t ticked_ms;
	size_t peak; /**< held since memory was last returned, bytes */
};

static void close_caller(jj_caller_t *, bool);
static void send_answer(int, int);
static void drain(jj_http_guard_t *, jj_ms_t);
static void log_closed(jj_http_guard_t *, jj_ms_t);
static bool must_trim(jj_http_guard_t *);

jj_http_guard_t *
jj_http_guard_create(const jj_http_guard_limits_t *limits)
{
	jj_http_guard_t *guard = jj_alloc(sizeof(*guard));

	atomic_init(&guard->references, 1);
	guard->pool = jj_runtime_create_pool();
	guard->lock = jj_runtime_create_mutex(guard->pool);
	jj_caller_budget_init(&guard->budget, limits->memory_bytes,
	    limits->connection_bytes, limits->connections);
	guard->ticked_ms = jj_monotonic_now();
	return guard;
}

jj_http_guard_t *
jj_http_guard_retain(jj_http_guard_t *guard)
{
	(void)atomic_fetch_add(&guard->references, 1);
	return guard;
}

void
jj_http_guard_release(jj_http_guard_t *guard)
{
	if (guard == NULL || atomic_fetch_sub(&guard->references, 1) != 1)
		return;
	drain(guard, JJ_MS_NEVER);
	apr_pool_destroy(guard->pool);
	free(guard);
}

void
jj_http_guard_set_times(
    jj_http_guard_t *guard, const jj_http_guard_times_t *times)
{
	jj_ms_t *timeouts = guard->budget.timeouts;
	/* A next head begins unseen: the server tells only of its end. */
	bool idle_ends = times->idle_ms > 0 && times->head_ms > 0;

	(void)apr_thread_mutex_lock(guard->lock);
	timeouts[JJ_CALLER_HEAD] =
	    times->head_ms > 0 ? times->head_ms : JJ_MS_NEVER;
	timeouts[JJ_CALLER_BODY] =
	    times->body_ms > 0 ? times->body_ms : JJ_MS_NEVER;
	timeouts[JJ_CALLER_IDLE] =
	    idle_ends ? times->idle_ms + times->head_ms : JJ_MS_NEVER;
	(void)apr_thread_mutex_unlock(guard->lock);
}

void
jj_http_guard_tick(jj_http_guard_t *guard)
{
	jj_ms_t now = jj_monotonic_now();
	jj_caller_t *expired;
	bool trims;

	(void)apr_thread_mutex_lock(guard->lock);
	if (now - guard->ticked_ms > PAUSE_MS)
		jj_caller_budget_skip(&guard->budget, now - guard->ticked_ms);
	guard->ticked_ms = now;
	while ((expired = jj_caller_budget_expire(&guard->budget, now)) != NULL)
		close_caller(expired, true);
	drain(guard, now);
	log_closed(guard, now);
	trims = must_trim(guard);
	(void)apr_thread_mutex_unlock(guard->lock);
	if (trims)
		(void)malloc_trim(0);
}

void
jj_http_guard_read_stats(jj_http_guard_t *guard, jj_http_guard_stats_t *stats)
{
	int reason;

	(void)apr_thread_mutex_lock(guard->lock);
	stats->held = guard->budget.held;
	stats->limit = guard->budget.limit;
	stats->connections = guard->budget.connections;
	stats->answers = guard->budget.answers;
	stats->refused = guard->refused;
	stats->answers_refused = guard->answers_refused;
	for (reason = 0; reason < JJ_CALLER_REASONS; reason++)
		stats->closed[reason] = guard->budget.closed[reason];
	(void)apr_thread_mutex_unlock(guard->lock);
}

jj_http_peer_t *
jj_http_guard_open(jj_http_guard_t *guard, int fd)
{
	jj_http_peer_t *peer = jj_alloc(sizeof(*peer));
	jj_caller_budget_t *budget = &guard->budget;
	jj_caller_t *victim;

	peer->fd = fd;
	(void)apr_thread_mutex_lock(guard->lock);
	jj_caller_budget_add(budget, &peer->caller, jj_monotonic_now());
	while ((victim = jj_caller_budget_evict_for_connection(
		    budget, &peer->caller)) != NULL)
		close_caller(victim, false);
	(void)apr_thread_mutex_unlock(guard->lock);
	return peer;
}

void
jj_http_guard_close(jj_http_guard_t *guard, jj_http_peer_t *peer)
{
	lingering_t lingering = {-1, 0};

	(void)apr_thread_mutex_lock(guard->lock);
	jj_caller_budget_remove(&guard->budget, &peer->caller);
	if (peer->lingers && guard->lingering_count < LINGERING_MAX)
		lingering.fd = dup(peer->fd);
	if (lingering.fd >= 0) {
		(void)shutdown(lingering.fd, SHUT_WR);
		lingering.until = jj_monotonic_now() + LINGER_MS;
		guard->lingering[guard->lingering_count++] = lingering;
	}
	(void)apr_thread_mutex_unlock(guard->lock);
	free(peer);
}

bool
jj_http_guard_enter(
    jj_http_guard_t *guard, jj_http_peer_t *peer, jj_caller_phase_t phase)
{
	return jj_http_guard_continue(guard, peer, phase, 0);
}

jj_ms_t
jj_http_guard_pause(jj_http_guard_t *guard, jj_http_peer_t *peer)
{
	jj_ms_t now = jj_monotonic_now();
	jj_ms_t spent;

	(void)apr_thread_mutex_lock(guard->lock);
	spent = now - peer->caller.since;
	(void)jj_caller_budget_enter(
	    &guard->budget, &peer->caller, JJ_CALLER_SERVED, now);
	(void)apr_thread_mutex_unlock(guard->lock);
	return spent;
}

bool
jj_http_guard_continue(jj_http_guard_t *guard, jj_http_peer_t *peer,
    jj_caller_phase_t phase, jj_ms_t spent_ms)
{
	bool is_open;

	(void)apr_thread_mutex_lock(guard->lock);
	is_open = jj_caller_budget_enter(&guard->budget, &peer->caller, phase,
	    jj_monotonic_now() - spent_ms);
	(void)apr_thread_mutex_unlock(guard->lock);
	return is_open;
}

bool
jj_http_guard_hold(jj_http_guard_t *guard, jj_http_peer_t *peer, size_t *held,
    size_t bytes, bool must)
{
	jj_caller_budget_t *budget = &guard->budget;
	jj_caller_t *caller = &peer->caller;
	jj_caller_t *victim;
	size_t total;
	bool holds;

	if (bytes == *held)
		return true;
	(void)apr_thread_mutex_lock(guard->lock);
	total = caller->bytes - *held + bytes;
	while (bytes > *held &&
	    (victim = jj_caller_budget_evict_for_memory(
		 budget, caller, total, jj_monotonic_now())) != NULL)
		close_caller(victim, false);
	holds = jj_caller_budget_hold(budget, caller, total, must);
	if (holds)
		*held = bytes;
	else
		guard->refused++;
	if (budget->held > guard->peak)
		guard->peak = budget->held;
	(void)apr_thread_mutex_unlock(guard->lock);
	return holds;
}

bool
jj_http_guard_hold_answer(
    jj_http_guard_t *guard, size_t *held, size_t bytes, bool must)
{
	jj_caller_t *victim;
	bool holds;

	if (guard == NULL || bytes == *held)
		return true;
	(void)apr_thread_mutex_lock(guard->lock);
	while (bytes > *held &&
	    (victim = jj_caller_budget_evict_for_answer(
		 &guard->budget, *held, bytes, jj_monotonic_now())) != NULL)
		close_caller(victim, false);
	holds =
	    jj_caller_budget_hold_answer(&guard->budget, *held, bytes, must);
	if (holds)
		*held = bytes;
	else
		guard->answers_refused++;
	if (guard->budget.held > guard->peak)
		guard->peak = guard->budget.held;
	(void)apr_thread_mutex_unlock(guard->lock);
	return holds;
}

void
jj_http_guard_answer(jj_http_guard_t *guard, jj_http_peer_t *peer, int status)
{
	(void)apr_thread_mutex_lock(guard->lock);
	if (!peer->caller.evicted)
		send_answer(peer->fd, status);
	peer->lingers = true;
	(void)apr_thread_mutex_unlock(guard->lock);
}

void
jj_http_guard_linger(jj_http_guard_t *guard, jj_http_peer_t *peer)
{
	(void)apr_thread_mutex_lock(guard->lock);
	peer->lingers = true;
	(void)apr_thread_mutex_unlock(guard->lock);
}

/**
 * Ends a connection; the HTTP server notices it and closes the descriptor. A
 * caller in the middle of its body is answered. In the other phases there is
 * no request, or its answer has begun.
 */
static void
close_caller(jj_caller_t *caller, bool over_time)
{
	const jj_http_peer_t *peer = (const jj_http_peer_t *)caller;

	if (caller->phase == JJ_CALLER_BODY)
		send_answer(peer->fd, over_time ? 408 : 503);
	(void)shutdown(peer->fd, SHUT_RDWR);
}

static void
send_answer(int fd, int status)
{
	char retry[48] = "";
	char text[192];
	int size;

	if (status == 503)
		(void)snprintf(
		    retry, sizeof(retry), "Retry-After: %d\r\n", RETRY_AFTER_S);
	size = snprintf(text, sizeof(text),
	    "HTTP/1.1 %d %s\r\nConnection: close\r\n%s"
	    "Content-Length: 0\r\n\r\n",
	    status,
	    status == 408	? "Request Timeout"
		: status == 413 ? "Content Too Large"
				: "Service Unavailable",
	    retry);
	/* All of it fits: nothing else was sent for this request. */
	(void)send(fd, text, (size_t)size, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/** Discards what lingering connections receive; closes those that end. */
static void
drain(jj_http_guard_t *guard, jj_ms_t now)
{
	char discarded[16384];
	lingering_t *lingering;
	size_t i = 0;
	ssize_t size;
	int reads;

	while (i < guard->lingering_count) {
		lingering = &guard->lingering[i];
		size = 1;
		for (reads = 0; reads < 16 && size > 0; reads++)
			size = recv(lingering->fd, discarded, sizeof(discarded),
			    MSG_DONTWAIT);
		if (size == 0 || (size < 0 && errno != EAGAIN) ||
		    now >= lingering->until) {
			(void)close(lingering->fd);
			*lingering = guard->lingering[--guard->lingering_count];
		} else {
			i++;
		}
	}
}

static void
log_closed(jj_http_guard_t *guard, jj_ms_t now)
{
	const uint64_t *closed = guard->budget.closed;
	uint64_t total = guard->refused + guard->answers_refused;
	int reason;

	for (reason = 0; reason < JJ_CALLER_REASONS; reason++)
		total += closed[reason];
	if (total == guard->logged || now - guard->logged_ms < LOG_MS)
		return;
	jj_log(JJ_LOG_INFO, "callers_closed",
	    "over_time=%llu over_memory=%llu over_connections=%llu "
	    "refused=%llu answers_refused=%llu held=%zu answers=%zu limit=%zu "
	    "connections=%u",
	    (unsigned long long)closed[JJ_CALLER_OVER_TIME],
	    (unsigned long long)closed[JJ_CALLER_OVER_MEMORY],
	    (unsigned long long)closed[JJ_CALLER_OVER_CONNECTIONS],
	    (unsigned long long)guard->refused,
	    (unsigned long long)guard->answers_refused, guard->budget.held,
	    guard->budget.answers, guard->budget.limit,
	    guard->budget.connections);
	guard->logged = total;
	guard->logged_ms = now;
}

/** True when much memory was released since the last time. */
static bool
must_trim(jj_http_guard_t *guard)
{
	const jj_caller_budget_t *budget = &guard->budget;

	if (budget->limit == 0 ||
	    guard->peak < budget->limit / TRIM_DIVISOR + budget->held)
		return false;
	guard->peak = budget->held;
	return true;
}
