/**
 * @file usage.h
 * @brief Processor time and memory of another process, from /proc.
 */
#ifndef BENCH_HOP_USAGE_H
#define BENCH_HOP_USAGE_H

#include <stdint.h>

typedef struct {
	int64_t cpu_us; /**< user and system time; in steps of a clock tick */
	int64_t rss_kb; /**< resident memory, KiB */
} usage_t;

/** Reads a process's usage; all zero for pid 0 or a process that has ended. */
usage_t usage_read(int pid);
/** Returns the monotonic clock in microseconds. */
int64_t usage_now_us(void);

#endif
