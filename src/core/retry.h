/**
 * @file retry.h
 * @brief When a failed platform call is tried again.
 */
#ifndef JJ_CORE_RETRY_H
#define JJ_CORE_RETRY_H

#include "core/clock.h"
#include "core/types.h"

/** The limits of one call's retries. */
typedef struct {
	uint32_t tries; /**< calls in all, the first one included */
	jj_ms_t first_ms; /**< wait before the first retry; doubles with each
			       one */
} jj_retry_limits_t;

/** One call's retries; zeroed at the call's start. */
typedef struct {
	uint32_t failures;
	jj_ms_t at; /**< time of the next try, if one is due */
} jj_retry_t;

/**
 * Counts a failure and schedules the next try.
 * @param at_least_ms the platform's own Retry-After; 0 when it gave none.
 * @return false when all tries are used up.
 */
bool jj_retry_plan(jj_retry_t *retry, const jj_retry_limits_t *limits,
    jj_ms_t at_least_ms, jj_ms_t now);

#endif
