/**
 * @file caller_budget.h
 * @brief Bounds the memory and the connections that a process holds for its
 * callers, with the answers that it receives from servers.
 *
 * Each connection has a phase and a number of bytes held for it: its buffers,
 * the body of its request with all copies, and the part of an answer that was
 * not read. The sum over all connections has a limit. Under pressure, the
 * connection that waits for its caller longest is closed first. A request that
 * was received completely is never given up. Unfinished answers of servers are
 * part of the sum, and have a limit of their own: they leave room for requests.
 *
 * A phase's list is in the order of its members' times, so that expiry and
 * eviction look only at its head.
 */
#ifndef JJ_CORE_CALLER_BUDGET_H
#define JJ_CORE_CALLER_BUDGET_H

#include <sys/queue.h>

#include "core/clock.h"
#include "core/types.h"

/** Minimum time in a phase until a connection is evicted for memory, ms. */
#define JJ_CALLER_SLOW_MS 500
/** A connection that holds no more may use the whole limit, bytes. */
#define JJ_CALLER_SMALL_BYTES 65536

/** What a connection waits for. */
typedef enum {
	JJ_CALLER_HEAD, /**< the first head of a new connection */
	JJ_CALLER_BODY, /**< the rest of a body */
	JJ_CALLER_SENDING, /**< its caller to read the answer */
	JJ_CALLER_IDLE, /**< the next head of a kept connection */
	JJ_CALLER_SERVED, /**< this system; neither expires nor is evicted */
	JJ_CALLER_PHASES
} jj_caller_phase_t;

/** Why a connection is closed by this process. */
typedef enum {
	JJ_CALLER_OVER_TIME, /**< its phase lasted too long */
	JJ_CALLER_OVER_MEMORY, /**< others need the memory it holds */
	JJ_CALLER_OVER_CONNECTIONS, /**< there are too many connections */
	JJ_CALLER_REASONS
} jj_caller_reason_t;

/** A connection; embedded in its owner's structure. */
typedef struct jj_caller {
	TAILQ_ENTRY(jj_caller) link;
	jj_caller_phase_t phase;
	jj_ms_t since; /**< when the phase began */
	size_t bytes; /**< held for it, without the fixed part */
	bool evicted; /**< is being closed; in no list */
} jj_caller_t;

typedef TAILQ_HEAD(jj_caller_list, jj_caller) jj_caller_list_t;

typedef struct {
	size_t limit; /**< of the sum, bytes; 0: none */
	size_t connection_bytes; /**< fixed part of each connection */
	uint32_t connection_limit; /**< 0: none */
	/** maximum time in a phase; JJ_MS_NEVER: no limit */
	jj_ms_t timeouts[JJ_CALLER_PHASES];
	size_t held; /**< sum of all connections and answers, bytes */
	size_t answers; /**< part of it: unfinished answers of servers */
	size_t leaving; /**< part of it held by evicted ones */
	uint32_t connections; /**< all, with the evicted ones */
	uint32_t evicted; /**< not removed yet */
	uint64_t closed[JJ_CALLER_REASONS]; /**< since the start */
	jj_caller_list_t lists[JJ_CALLER_PHASES];
} jj_caller_budget_t;

/** Without timeouts; see the fields for the limits. */
void jj_caller_budget_init(jj_caller_budget_t *budget, size_t limit,
    size_t connection_bytes, uint32_t connection_limit);
/** Adds a new connection, in the phase JJ_CALLER_HEAD. */
void jj_caller_budget_add(
    jj_caller_budget_t *budget, jj_caller_t *caller, jj_ms_t now);
/** Removes a connection and all that is held for it. */
void jj_caller_budget_remove(jj_caller_budget_t *budget, jj_caller_t *caller);
/**
 * Begins a phase, or continues an earlier one; an evicted connection keeps its
 * phase.
 * @param since when the phase began: now, or before for one that continues.
 * @return false if the connection is evicted.
 */
bool jj_caller_budget_enter(jj_caller_budget_t *budget, jj_caller_t *caller,
    jj_caller_phase_t phase, jj_ms_t since);
/**
 * Changes what is held for a connection to @p bytes.
 * @param must also beyond the limit, for memory that is in use already.
 * @return false when more is asked for than is left; nothing has changed.
 */
bool jj_caller_budget_hold(
    jj_caller_budget_t *budget, jj_caller_t *caller, size_t bytes, bool must);
/**
 * Changes what is held for an answer of a server from @p held to @p bytes.
 * @param must also beyond the limits.
 * @return false when more is asked for than is left; nothing has changed.
 */
bool jj_caller_budget_hold_answer(
    jj_caller_budget_t *budget, size_t held, size_t bytes, bool must);
/** Whether a connection may hold so much now. */
bool jj_caller_budget_fits(
    const jj_caller_budget_t *budget, const jj_caller_t *caller, size_t bytes);
/**
 * The next connection to evict so that @p caller may hold @p bytes. It counts
 * as evicted from then on; its owner closes it.
 * @return NULL when there is enough, or when none is slow.
 */
jj_caller_t *jj_caller_budget_evict_for_memory(jj_caller_budget_t *budget,
    const jj_caller_t *caller, size_t bytes, jj_ms_t now);
/** The same so that what is held for an answer may grow so. */
jj_caller_t *jj_caller_budget_evict_for_answer(
    jj_caller_budget_t *budget, size_t held, size_t bytes, jj_ms_t now);
/**
 * The next connection to evict as there are too many: @p caller, the newest,
 * only if all others are being served; NULL when there are not too many.
 */
jj_caller_t *jj_caller_budget_evict_for_connection(
    jj_caller_budget_t *budget, jj_caller_t *caller);
/** The next connection whose phase has expired; it counts as evicted. */
jj_caller_t *jj_caller_budget_expire(jj_caller_budget_t *budget, jj_ms_t now);
/** Excludes a pause of this process from all times. */
void jj_caller_budget_skip(jj_caller_budget_t *budget, jj_ms_t pause_ms);
/** "head", "body", "sending", "idle", "served". */
const char *jj_caller_phase_name(jj_caller_phase_t phase);

#endif
