/**
 * @file share_level.c
 * @brief Weighted max-min division of a capacity.
 */
#include <math.h>
#include <stdlib.h>

#include "core/share/share_level.h"

static int compare_claims(const void *, const void *);

double
jj_share_divide(jj_share_claim_t *claims, size_t count, double capacity)
{
	double weight = 0;
	size_t i;

	if (count > 0)
		qsort(claims, count, sizeof(*claims), compare_claims);
	for (i = 0; i < count; i++)
		weight += claims[i].weight;
	for (i = count; i > 0; i--) {
		const jj_share_claim_t *claim = &claims[i - 1];

		if (claim->demand * weight > capacity * claim->weight)
			return capacity > 0 ? capacity / weight : 0;
		capacity -= claim->demand;
		weight -= claim->weight;
	}
	return INFINITY;
}

double
jj_share_admitted(const jj_share_claim_t *claim, double level)
{
	double share = level * claim->weight;

	/* A claim of nothing has a share of INFINITY times nothing. */
	return claim->demand > share ? share / claim->demand : 1;
}

/** Orders by demand per weight, highest first. */
static int
compare_claims(const void *left, const void *right)
{
	const jj_share_claim_t *a = left;
	const jj_share_claim_t *b = right;
	double difference = b->demand * a->weight - a->demand * b->weight;

	return (difference > 0) - (difference < 0);
}
