/**
 * @file window.h
 * @brief A count of events over a sliding window of time.
 */
#ifndef JJ_CORE_WINDOW_H
#define JJ_CORE_WINDOW_H

#include "core/types.h"

/** Buckets of a window; the count is exact to one bucket. */
#define JJ_WINDOW_BUCKETS 10

/** Counts of the last JJ_WINDOW_BUCKETS * bucket_ms milliseconds. */
typedef struct {
	jj_ms_t bucket_ms; /**< length of a bucket */
	int64_t newest; /**< number of the newest bucket */
	uint32_t counts[JJ_WINDOW_BUCKETS];
	uint32_t sum;
} jj_window_t;

/** Clears the window and sets its length, a multiple of its buckets. */
void jj_window_reset(jj_window_t *window, jj_ms_t length_ms);
/** Counts events at @p now. */
void jj_window_add(jj_window_t *window, uint32_t count, jj_ms_t now);
/** Number of events in the window at @p now. */
uint32_t jj_window_count(jj_window_t *window, jj_ms_t now);
/** Length of the window, milliseconds. */
jj_ms_t jj_window_length(const jj_window_t *window);

#endif
