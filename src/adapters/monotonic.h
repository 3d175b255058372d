/**
 * @file monotonic.h
 * @brief The only place that reads the machine's clocks.
 */
#ifndef JJ_ADAPTERS_MONOTONIC_H
#define JJ_ADAPTERS_MONOTONIC_H

#include "core/clock.h"

/** Milliseconds since boot, time asleep included; never steps back. */
jj_ms_t jj_monotonic_now(void);
/** Seconds since 1970 of the wall clock: for showing only, it may step. */
int64_t jj_unix_now(void);
/** Nanoseconds since 1970 of the wall clock, for log lines and spans. */
uint64_t jj_unix_now_ns(void);

#endif
