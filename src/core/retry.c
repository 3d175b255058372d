/**
 * @file retry.c
 * @brief Exponential backoff between the attempts of one platform call.
 */
#include "core/retry.h"

/* Maximum number of times the wait is doubled. */
#define DOUBLINGS_MAX 10

bool
jj_retry_plan(jj_retry_t *retry, const jj_retry_limits_t *limits,
    jj_ms_t at_least_ms, jj_ms_t now)
{
	uint32_t doublings = retry->failures;
	jj_ms_t wait;

	retry->failures++;
	if (retry->failures >= limits->tries)
		return false;
	if (doublings > DOUBLINGS_MAX)
		doublings = DOUBLINGS_MAX;
	wait = limits->first_ms << doublings;
	if (wait < at_least_ms)
		wait = at_least_ms;
	retry->at = now + wait;
	return true;
}
