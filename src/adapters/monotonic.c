/**
 * @file monotonic.c
 * @brief Reads the system clocks.
 */
#include <time.h>

#include "adapters/monotonic.h"
#include "core/types.h"

#define NS_PER_SECOND 1000000000ULL

static uint64_t read_clock(clockid_t);

/*
 * CLOCK_BOOTTIME also advances while the VM is suspended. With CLOCK_MONOTONIC
 * a lease holder that was suspended past the lease's expiry would still
 * consider it held.
 */
jj_ms_t
jj_monotonic_now(void)
{
	return (jj_ms_t)(read_clock(CLOCK_BOOTTIME) / 1000000);
}

int64_t
jj_unix_now(void)
{
	return (int64_t)(jj_unix_now_ns() / NS_PER_SECOND);
}

uint64_t
jj_unix_now_ns(void)
{
	return read_clock(CLOCK_REALTIME);
}

static uint64_t
read_clock(clockid_t clock)
{
	struct timespec time;

	JJ_INVARIANT(clock_gettime(clock, &time) == 0);
	return (uint64_t)time.tv_sec * NS_PER_SECOND + (uint64_t)time.tv_nsec;
}
