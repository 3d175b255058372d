/**
 * @file rates.h
 * @brief Token buckets for writes, reads and the weight store's bytes.
 */
#ifndef STANDIN_RATES_H
#define STANDIN_RATES_H

#include <pthread.h>
#include <stdint.h>

/** A bucket that holds one second of its rate. */
typedef struct {
	pthread_mutex_t lock;
	double per_second; /**< 0: no limit */
	double tokens;
	int64_t filled_ms; /**< monotonic time of the last refill */
} rate_t;

void rate_create(rate_t *rate, double per_second, int64_t now_ms);
void rate_destroy(rate_t *rate);
/**
 * Takes @p amount tokens and returns 0, or returns the milliseconds after
 * which to ask again. More than one second's worth takes a full bucket and
 * leaves it in debt.
 */
int64_t rate_take(rate_t *rate, double amount, int64_t now_ms);

#endif
