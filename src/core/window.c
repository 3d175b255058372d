/**
 * @file window.c
 * @brief A ring of buckets; expired buckets are cleared as time advances.
 */
#include <string.h>

#include "core/window.h"

static void advance(jj_window_t *, jj_ms_t);

void
jj_window_reset(jj_window_t *window, jj_ms_t length_ms)
{
	memset(window, 0, sizeof(*window));
	window->bucket_ms = length_ms / JJ_WINDOW_BUCKETS;
}

void
jj_window_add(jj_window_t *window, uint32_t count, jj_ms_t now)
{
	advance(window, now);
	window->counts[window->newest % JJ_WINDOW_BUCKETS] += count;
	window->sum += count;
}

uint32_t
jj_window_count(jj_window_t *window, jj_ms_t now)
{
	advance(window, now);
	return window->sum;
}

jj_ms_t
jj_window_length(const jj_window_t *window)
{
	return window->bucket_ms * JJ_WINDOW_BUCKETS;
}

static void
advance(jj_window_t *window, jj_ms_t now)
{
	int64_t bucket = now / window->bucket_ms;
	int64_t step;

	if (bucket - window->newest > JJ_WINDOW_BUCKETS)
		window->newest = bucket - JJ_WINDOW_BUCKETS;
	for (step = window->newest + 1; step <= bucket; step++) {
		window->sum -= window->counts[step % JJ_WINDOW_BUCKETS];
		window->counts[step % JJ_WINDOW_BUCKETS] = 0;
		window->newest = step;
	}
}
