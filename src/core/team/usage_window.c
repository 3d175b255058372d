/**
 * @file usage_window.c
 * @brief Counts events in a sliding window of time.
 */
#include <string.h>

#include "core/team/usage_window.h"

uint32_t
jj_usage_window_sum(jj_usage_window_t *window, jj_ms_t now)
{
	int64_t slice = now / JJ_USAGE_SLICE_MS;

	if (slice - window->last >= JJ_USAGE_SLICES) {
		memset(window->slices, 0, sizeof(window->slices));
		window->sum = 0;
		window->last = slice;
	}
	while (window->last < slice) {
		uint32_t *oldest =
		    &window->slices[++window->last % JJ_USAGE_SLICES];

		window->sum -= *oldest;
		*oldest = 0;
	}
	return window->sum;
}

uint32_t
jj_usage_window_recent(jj_usage_window_t *window, uint32_t slices, jj_ms_t now)
{
	uint32_t sum = 0;
	uint32_t i;

	(void)jj_usage_window_sum(window, now);
	for (i = 0; i <= slices && i < JJ_USAGE_SLICES; i++)
		sum += window->slices[(window->last + JJ_USAGE_SLICES - i) %
		    JJ_USAGE_SLICES];
	return sum;
}

void
jj_usage_window_add(jj_usage_window_t *window, uint32_t count, jj_ms_t now)
{
	(void)jj_usage_window_sum(window, now);
	window->slices[window->last % JJ_USAGE_SLICES] += count;
	window->sum += count;
}

void
jj_usage_window_add_spread(
    jj_usage_window_t *window, uint32_t count, jj_ms_t now)
{
	uint32_t i;

	(void)jj_usage_window_sum(window, now);
	window->sum += count;
	/* From the oldest slice on. */
	for (i = 0; i < JJ_USAGE_SLICES; i++)
		window->slices[(window->last + 1 + i) % JJ_USAGE_SLICES] +=
		    (uint64_t)count * (i + 1) / JJ_USAGE_SLICES -
		    (uint64_t)count * i / JJ_USAGE_SLICES;
}

void
jj_usage_window_undo(jj_usage_window_t *window)
{
	int64_t i;

	for (i = 0; i < JJ_USAGE_SLICES; i++) {
		int64_t slice = window->last - i;

		if (slice < 0 || window->slices[slice % JJ_USAGE_SLICES] == 0)
			continue;
		window->slices[slice % JJ_USAGE_SLICES]--;
		window->sum--;
		return;
	}
}
