/**
 * @file rates.h
 * @brief Token buckets for writes, reads and bytes of the weight store.
 */
#ifndef STANDIN_RATES_H
#define STANDIN_RATES_H

#include <pthread.h>
#include <stdint.h>

/** A token bucket; its capacity is the tokens of one second, at least 1. */
typedef struct {
	pthread_mutex_t lock;
	double per_second; /**< 0: no limit */
	double tokens;
	int64_t filled_ms; /**< monotonic time of the last refill */
} rate_t;

void rate_create(rate_t *rate, double per_second, int64_t now_ms);
void rate_destroy(rate_t *rate);
/**
 * Takes @p amount tokens and returns 0, or returns the milliseconds to wait
 * before a retry. An amount above the capacity requires a full bucket and
 * leaves its level negative.
 */
int64_t rate_take(rate_t *rate, double amount, int64_t now_ms);

#endif
