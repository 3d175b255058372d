/**
 * @file http_guard.h
 * @brief Keeps what a process holds for its callers in bounds, and what it
 * receives from servers.
 *
 * The servers of a process share one guard, so that there is one sum over all
 * addresses (core/caller_budget.h). Connections that wait too long for their
 * callers, or that stand in the way of others, are closed; if part of a request
 * was received, its caller gets an answer that says that it was not run.
 *
 * All functions may be called from any thread. The guard's lock is a leaf.
 */
#ifndef JJ_ADAPTERS_HTTP_GUARD_H
#define JJ_ADAPTERS_HTTP_GUARD_H

#include "core/caller_budget.h"

/** Limits of a process; 0: none. */
typedef struct {
	size_t memory_bytes; /**< held for all callers */
	size_t connection_bytes; /**< buffers of one connection */
	uint32_t connections;
} jj_http_guard_limits_t;

/** Maximum time that a connection waits for its caller, ms; 0: no limit. */
typedef struct {
	jj_ms_t head_ms; /**< a complete head */
	jj_ms_t body_ms; /**< a complete body */
	jj_ms_t idle_ms; /**< the first byte of the next head */
} jj_http_guard_times_t;

/** What a guard holds and what it did, for metrics. */
typedef struct {
	size_t held; /**< bytes */
	size_t answers; /**< part of it: unfinished answers of servers */
	size_t limit; /**< bytes */
	uint32_t connections;
	uint64_t closed[JJ_CALLER_REASONS];
	uint64_t refused; /**< requests refused for want of memory */
	uint64_t answers_refused; /**< answers of servers, likewise */
} jj_http_guard_stats_t;

typedef struct jj_http_guard jj_http_guard_t;
/** A connection of a guard. */
typedef struct jj_http_peer jj_http_peer_t;

jj_http_guard_t *jj_http_guard_create(const jj_http_guard_limits_t *limits);
/** Adds a reference. */
jj_http_guard_t *jj_http_guard_retain(jj_http_guard_t *guard);
/** Drops a reference; NULL is ignored. */
void jj_http_guard_release(jj_http_guard_t *guard);
/** Times that hold from now on, also for open connections. */
void jj_http_guard_set_times(
    jj_http_guard_t *guard, const jj_http_guard_times_t *times);
/** Closes what has waited too long; to be called several times a second. */
void jj_http_guard_tick(jj_http_guard_t *guard);
void
jj_http_guard_read_stats(jj_http_guard_t *guard, jj_http_guard_stats_t *stats);

/** Adds a connection; others may be closed for it. */
jj_http_peer_t *jj_http_guard_open(jj_http_guard_t *guard, int fd);
/** Removes a connection; to be called before its descriptor is closed. */
void jj_http_guard_close(jj_http_guard_t *guard, jj_http_peer_t *peer);
/**
 * Begins a phase of a connection.
 * @return false if the connection is being closed: its caller was told that no
 * request of it runs.
 */
bool jj_http_guard_enter(
    jj_http_guard_t *guard, jj_http_peer_t *peer, jj_caller_phase_t phase);
/** Stops the time of a phase and returns it, ms. */
jj_ms_t jj_http_guard_pause(jj_http_guard_t *guard, jj_http_peer_t *peer);
/** Continues a phase that has lasted for @p spent_ms already; as above. */
bool jj_http_guard_continue(jj_http_guard_t *guard, jj_http_peer_t *peer,
    jj_caller_phase_t phase, jj_ms_t spent_ms);
/**
 * Changes one part of what is held for a connection.
 * @param held bytes of that part; updated if they may be held.
 * @param must also beyond the limit.
 * @return false if there is no memory left, also after slow ones were closed.
 */
bool jj_http_guard_hold(jj_http_guard_t *guard, jj_http_peer_t *peer,
    size_t *held, size_t bytes, bool must);
/**
 * Changes what is held for an unfinished answer of a server.
 * @param guard NULL: there is no limit.
 * @param held bytes; updated if they may be held.
 * @param must also beyond the limit.
 * @return false if there is no memory left, also after slow callers were
 * closed.
 */
bool jj_http_guard_hold_answer(
    jj_http_guard_t *guard, size_t *held, size_t bytes, bool must);
/**
 * Sends an answer without a body in place of the HTTP server, in the middle of
 * a request's body. The connection is to be closed afterwards.
 */
void
jj_http_guard_answer(jj_http_guard_t *guard, jj_http_peer_t *peer, int status);
/**
 * The caller may still be sending: its bytes are discarded for a while after
 * the connection's end, or the answer would be lost by a reset.
 */
void jj_http_guard_linger(jj_http_guard_t *guard, jj_http_peer_t *peer);

#endif
