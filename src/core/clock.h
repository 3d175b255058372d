/**
 * @file clock.h
 * @brief The type of all times: milliseconds of a monotonic clock.
 *
 * The core never reads a clock; callers pass the time in, so that tests and
 * benchmarks run in virtual time and a clock step cannot change a decision.
 */
#ifndef JJ_CORE_CLOCK_H
#define JJ_CORE_CLOCK_H

#include <stdint.h>

/** Milliseconds; a point in time counts from an arbitrary start. */
typedef int64_t jj_ms_t;

/** A point in time that is never reached. */
#define JJ_MS_NEVER INT64_MAX

/** Time since @p then, for log lines; -1 for JJ_MS_NEVER. */
static inline long long
jj_ms_ago(jj_ms_t then, jj_ms_t now)
{
	return then == JJ_MS_NEVER ? -1LL : (long long)(now - then);
}

#endif
