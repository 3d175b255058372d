/**
 * @file watch.h
 * @brief One watch on a prefix of the platform's objects.
 *
 * Only a domain's speaker watches and tells its neighbours, so that waiting
 * watches grow with domains, not with VMs. Watch events are hints: late,
 * repeated or missing ones only cost time, since readers compare versions
 * and look for themselves now and then.
 */
#ifndef JJ_CORE_WATCH_H
#define JJ_CORE_WATCH_H

#include "core/action.h"

typedef struct {
	jj_owner_t owner; /**< its results come back under this owner */
	uint64_t token; /**< and this token */
	char prefix[64];
	jj_ms_t wait_ms; /**< how long the platform may hold a poll */
	jj_ms_t spacing_ms; /**< least time between polls: bounds the calls
			       that a busy prefix costs */
	jj_ms_t backoff_ms; /**< after a failure */
} jj_watch_settings_t;

/** What a poll's result means for the owner. */
typedef enum {
	JJ_WATCH_NOTHING, /**< no news, or a failure */
	JJ_WATCH_EVENTS, /**< the result's items are news */
	JJ_WATCH_LOST, /**< events were lost: look at all objects again */
} jj_watch_news_t;

/** A watch; plain, owned by whoever embeds it. */
typedef struct {
	jj_watch_settings_t settings;
	bool active; /**< wanted */
	bool polling; /**< a call is under way */
	bool positioned; /**< `since` is known */
	uint64_t since;
	jj_ms_t next_ms; /**< next poll not before */
} jj_watch_t;

void jj_watch_init(jj_watch_t *watch, const jj_watch_settings_t *settings);
/** Starts or stops polling; a poll under way still brings its result. */
void jj_watch_set_active(jj_watch_t *watch, bool active, jj_ms_t now);
/** Starts a poll when one is due. */
void jj_watch_tick(jj_watch_t *watch, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_watch_next(const jj_watch_t *watch);
/** Takes the result of a poll. */
jj_watch_news_t jj_watch_take_result(
    jj_watch_t *watch, const jj_platform_result_t *result, jj_ms_t now);

#endif
