/**
 * @file clock.h
 * @brief The one type for time: milliseconds of a monotonic clock.
 *
 * The core never reads a clock; callers pass the time in, so that tests and
 * benches run in virtual time and a clock step cannot change a decision.
 */
#ifndef JJ_CORE_CLOCK_H
#define JJ_CORE_CLOCK_H

#include <stdint.h>

/** Milliseconds; as a point in time, since an arbitrary start. */
typedef int64_t jj_ms_t;

/** A point in time that is never reached. */
#define JJ_MS_NEVER INT64_MAX

/** How long ago a point in time was, for log lines; -1: never. */
static inline long long
jj_ms_ago(jj_ms_t then, jj_ms_t now)
{
	return then == JJ_MS_NEVER ? -1LL : (long long)(now - then);
}

#endif
