/**
 * @file mirror.h
 * @brief Local copy of all objects below a prefix: listed once, then watched.
 *
 * One listing and a chain of watch calls keep a whole table up to date. After a
 * watch that returned events the next one is delayed, so that events close
 * together cost one call. When the platform no longer has the history since the
 * last call, the table is listed again; likewise, after a while, when a listing
 * was incomplete. Calls that fail, or whose answer is
 * malformed, are retried with exponential backoff, and wait for less time: a
 * platform that was silent is soon known to be back.
 *
 * Where many VMs keep the same table, one of them, the relay, polls and
 * forwards the result of each poll, with events or without; its polls are
 * short. A listener that receives nothing for a while polls for itself, so a
 * relay that is disconnected, paused or lost delays updates by no more than
 * that.
 */
#ifndef JJ_CORE_MIRROR_H
#define JJ_CORE_MIRROR_H

#include "core/action.h"
#include "core/list_cursor.h"

typedef struct {
	jj_owner_t owner; /**< owner of its platform calls */
	uint64_t token; /**< token of its calls, in the low bits */
	char prefix[64]; /**< ends with '/' */
	/**
	 * Longest wait of one watch call. A call that the platform does not
	 * answer is noticed after this and the call's timeout only, so changes
	 * may be that late.
	 */
	jj_ms_t wait_ms;
	jj_ms_t spacing_ms; /**< delay from events to the next call */
	jj_ms_t backoff_ms; /**< delay after a first failure; doubles */
	jj_ms_t backoff_most_ms;
	/** like wait_ms, for a relay's calls and for those after a failure */
	jj_ms_t short_wait_ms;
	/** A listener polls after this long without a relayed poll. */
	jj_ms_t relay_timeout_ms;
} jj_mirror_settings_t;

/** Whether a mirror polls, and for whom. */
typedef enum {
	JJ_MIRROR_STANDALONE, /**< polls for itself */
	JJ_MIRROR_RELAY, /**< polls, and forwards each result */
	JJ_MIRROR_LISTENER, /**< receives relayed polls; polls when they stop */
} jj_mirror_duty_t;

/** Callbacks of the owner of the table. */
typedef struct {
	void *ctx;
	/** A listing begins: objects that it does not contain were deleted. */
	void (*begin_list)(void *ctx);
	void (*take)(void *ctx, const jj_platform_item_t *item);
	void (*drop)(void *ctx, const char *key);
	/**
	 * The listing ended. Unless it is complete, objects that it does not
	 * contain may exist.
	 */
	void (*end_list)(void *ctx, bool is_complete, jj_ms_t now);
	/** A poll ended; called by a relay only. */
	void (*relay)(void *ctx, uint64_t token, uint64_t from, uint64_t to,
	    const jj_platform_item_t *items, size_t count);
} jj_mirror_port_t;

/** A mirror; a plain struct, embedded by its owner. */
typedef struct {
	jj_mirror_settings_t settings;
	jj_mirror_port_t port;
	bool active;
	jj_mirror_duty_t duty;
	jj_ms_t relayed_ms; /**< last relayed poll; JJ_MS_NEVER: none */
	bool polling; /**< a call is pending */
	jj_ms_t polled_ms; /**< start of the last call */
	/** last answer that showed that the table is complete; or JJ_MS_NEVER */
	jj_ms_t confirmed_ms;
	/** Number of calls whose results are ignored. */
	uint32_t calls_dropped;
	bool listed; /**< the listing has ended; now watching */
	uint64_t since;
	jj_list_cursor_t cursor; /**< of the listing */
	/** time of a new listing after an incomplete one; or JJ_MS_NEVER */
	jj_ms_t relist_ms;
	jj_ms_t next_ms; /**< time of the next call */
	uint32_t failures; /**< in a row */
} jj_mirror_t;

void jj_mirror_init(jj_mirror_t *mirror, const jj_mirror_settings_t *settings,
    const jj_mirror_port_t *port);
void jj_mirror_set_active(jj_mirror_t *mirror, bool active, jj_ms_t now);
/** Changes the duty of the mirror. */
void
jj_mirror_set_duty(jj_mirror_t *mirror, jj_mirror_duty_t duty, jj_ms_t now);
/**
 * Handles a relayed poll: the changes after @p from up to @p to. Ignored unless
 * it connects to what is known here; after a gap the mirror polls for itself.
 */
void jj_mirror_take_relay(jj_mirror_t *mirror, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count, jj_ms_t now);
/**
 * Handles the result of a watch call that another module sent: applies what is
 * new; a lost history leads to a new listing.
 * @return true when the table is as recent as that call.
 */
bool jj_mirror_take_check(
    jj_mirror_t *mirror, const jj_platform_result_t *result, jj_ms_t now);
/** Starts a call when one is due. */
void jj_mirror_tick(jj_mirror_t *mirror, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_mirror_next(const jj_mirror_t *mirror);
/** Handles the result of a call; false when it is not a call of this mirror. */
bool jj_mirror_take_result(jj_mirror_t *mirror,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** True when the listing has ended and the last call succeeded. */
bool jj_mirror_is_current(const jj_mirror_t *mirror);

#endif
