/**
 * @file usage_window.h
 * @brief Counts events in a sliding window of time.
 */
#ifndef JJ_CORE_TEAM_USAGE_WINDOW_H
#define JJ_CORE_TEAM_USAGE_WINDOW_H

#include "core/types.h"

/** Length of the window over which a team's limit holds, ms. */
#define JJ_USAGE_WINDOW_MS 5000
/** Events are counted in slices of this length, ms. */
#define JJ_USAGE_SLICE_MS 200
/** One more than fit, so that the window is never too short. */
#define JJ_USAGE_SLICES (JJ_USAGE_WINDOW_MS / JJ_USAGE_SLICE_MS + 1)

/** Zeroed it is empty. */
typedef struct {
	uint32_t slices[JJ_USAGE_SLICES];
	int64_t last; /**< number of the newest slice since time 0 */
	uint32_t sum;
} jj_usage_window_t;

/** Events in the window that ends now. */
uint32_t jj_usage_window_sum(jj_usage_window_t *window, jj_ms_t now);
/** Events of the last @p slices whole slices and of the current one. */
uint32_t
jj_usage_window_recent(jj_usage_window_t *window, uint32_t slices, jj_ms_t now);
void
jj_usage_window_add(jj_usage_window_t *window, uint32_t count, jj_ms_t now);
/** Adds events whose times in the window are not known: evenly. */
void jj_usage_window_add_spread(
    jj_usage_window_t *window, uint32_t count, jj_ms_t now);
/** Takes one event back, the newest one; nothing when there is none. */
void jj_usage_window_undo(jj_usage_window_t *window);

#endif
