/**
 * @file watch.h
 * @brief Watches the platform's objects under one prefix.
 *
 * Only the speaker of a domain watches, and notifies its neighbours, so that
 * the number of pending watch calls grows with domains, not with VMs. Watch
 * events are hints: late, repeated or missing ones only cost time, since
 * readers compare versions and also poll periodically.
 */
#ifndef JJ_CORE_WATCH_H
#define JJ_CORE_WATCH_H

#include "core/action.h"

typedef struct {
	jj_owner_t owner; /**< owner under which results are returned */
	uint64_t token; /**< token of its calls */
	char prefix[64];
	jj_ms_t wait_ms; /**< how long the platform may hold a poll open */
	jj_ms_t spacing_ms; /**< minimum time between polls: limits the calls
				 that a busy prefix causes */
	jj_ms_t backoff_ms; /**< wait after a failure */
} jj_watch_settings_t;

/** Meaning of a poll's result for the owner. */
typedef enum {
	JJ_WATCH_NOTHING, /**< no events, or a failure */
	JJ_WATCH_EVENTS, /**< the result's items are events */
	JJ_WATCH_LOST, /**< events were lost: read all objects again */
} jj_watch_update_t;

/** A watch, embedded in its owner's state. */
typedef struct {
	jj_watch_settings_t settings;
	bool active; /**< polling is enabled */
	bool polling; /**< a call is in progress */
	bool has_revision; /**< `since` is known */
	uint64_t since;
	jj_ms_t next_ms; /**< no poll before this time */
} jj_watch_t;

void jj_watch_init(jj_watch_t *watch, const jj_watch_settings_t *settings);
/** Starts or stops polling; a poll in progress still returns its result. */
void jj_watch_set_active(jj_watch_t *watch, bool active, jj_ms_t now);
/** Starts a poll when one is due. */
void jj_watch_tick(jj_watch_t *watch, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_watch_next(const jj_watch_t *watch);
/** Takes the result of a poll. */
jj_watch_update_t jj_watch_take_result(
    jj_watch_t *watch, const jj_platform_result_t *result, jj_ms_t now);

#endif
