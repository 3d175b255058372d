/**
 * @file watch.c
 * @brief Watches the platform's objects under one prefix.
 */
#include <stdio.h>
#include <string.h>

#include "core/watch.h"

void
jj_watch_init(jj_watch_t *watch, const jj_watch_settings_t *settings)
{
	memset(watch, 0, sizeof(*watch));
	watch->settings = *settings;
}

void
jj_watch_set_active(jj_watch_t *watch, bool active, jj_ms_t now)
{
	if (watch->active == active)
		return;
	watch->active = active;
	/*
	 * A VM that takes over the watch has missed the events before: it
	 * starts from a new revision, which counts as lost events.
	 */
	watch->has_revision = false;
	watch->next_ms = now;
}

void
jj_watch_tick(jj_watch_t *watch, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call;

	if (!watch->active || watch->polling || now < watch->next_ms)
		return;
	watch->polling = true;
	watch->next_ms = now + watch->settings.spacing_ms;
	if (watch->has_revision) {
		call = jj_actions_add_platform(out, watch->settings.owner,
		    JJ_PLATFORM_WATCH, watch->settings.token);
		call->version = watch->since;
		call->wait_ms = watch->settings.wait_ms;
	} else {
		/* A list of one key returns the revision to watch from. */
		call = jj_actions_add_platform(out, watch->settings.owner,
		    JJ_PLATFORM_LIST, watch->settings.token);
		call->limit = 1;
	}
	(void)snprintf(
	    call->key, sizeof(call->key), "%s", watch->settings.prefix);
}

jj_ms_t
jj_watch_next(const jj_watch_t *watch)
{
	if (!watch->active || watch->polling)
		return JJ_MS_NEVER;
	return watch->next_ms;
}

jj_watch_update_t
jj_watch_take_result(
    jj_watch_t *watch, const jj_platform_result_t *result, jj_ms_t now)
{
	watch->polling = false;
	if (result->outcome == JJ_PLATFORM_GAP) {
		watch->has_revision = false;
		return JJ_WATCH_NOTHING;
	}
	if (result->outcome != JJ_PLATFORM_OK) {
		watch->next_ms = now + watch->settings.backoff_ms;
		return JJ_WATCH_NOTHING;
	}
	watch->since = result->version;
	if (result->op == JJ_PLATFORM_LIST) {
		watch->has_revision = true;
		return JJ_WATCH_LOST;
	}
	return result->item_count > 0 ? JJ_WATCH_EVENTS : JJ_WATCH_NOTHING;
}
