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

#endif
