/**
 * @file monotonic.h
 * @brief System clocks; no other module reads them.
 */
#ifndef JJ_ADAPTERS_MONOTONIC_H
#define JJ_ADAPTERS_MONOTONIC_H

#include "core/clock.h"

/** Milliseconds since boot, including suspended time; never steps back. */
jj_ms_t jj_monotonic_now(void);
/** Wall clock, seconds since 1970: for display only, as it may step. */
int64_t jj_unix_now(void);
/** Wall clock, nanoseconds since 1970, for log lines and trace spans. */
uint64_t jj_unix_now_ns(void);

#endif
