/**
 * @file rates.c
 * @brief Token buckets; see rates.h.
 */
#include <math.h>

#include "rates.h"

static void refill(rate_t *, int64_t);

void
rate_create(rate_t *rate, double per_second, int64_t now_ms)
{
	pthread_mutex_init(&rate->lock, NULL);
	rate->per_second = per_second;
	rate->tokens = fmax(per_second, 1);
	rate->filled_ms = now_ms;
}

void
rate_destroy(rate_t *rate)
{
	pthread_mutex_destroy(&rate->lock);
}

int64_t
rate_take(rate_t *rate, double amount, int64_t now_ms)
{
	double needed = fmin(amount, fmax(rate->per_second, 1));
	int64_t wait_ms = 0;

	if (rate->per_second <= 0)
		return 0;
	pthread_mutex_lock(&rate->lock);
	refill(rate, now_ms);
	if (rate->tokens >= needed)
		rate->tokens -= amount;
	else
		wait_ms = (int64_t)ceil(
		    (needed - rate->tokens) * 1000 / rate->per_second);
	pthread_mutex_unlock(&rate->lock);
	return wait_ms;
}

/* With a rate below 1/s the bucket must still hold one whole token. */
static void
refill(rate_t *rate, int64_t now_ms)
{
	double capacity = fmax(rate->per_second, 1);
	double elapsed_ms = (double)(now_ms - rate->filled_ms);

	if (elapsed_ms <= 0)
		return;
	rate->tokens += elapsed_ms * rate->per_second / 1000;
	rate->tokens = fmin(rate->tokens, capacity);
	rate->filled_ms = now_ms;
}
