/**
 * @file share_level.h
 * @brief Weighted max-min division of a capacity.
 */
#ifndef JJ_CORE_SHARE_SHARE_LEVEL_H
#define JJ_CORE_SHARE_SHARE_LEVEL_H

#include "core/types.h"

/** What a group asks for. */
typedef struct {
	uint64_t group;
	double demand;
	double weight; /**< > 0 */
} jj_share_claim_t;

/**
 * The level up to which each claim is served, per unit of weight: the sum of
 * the served parts is @p capacity. INFINITY when all claims fit. Sorts the
 * claims by demand per weight, highest first.
 */
double jj_share_divide(jj_share_claim_t *claims, size_t count, double capacity);
/** Part of a claim that is served at a level, 0 to 1. */
double jj_share_admitted(const jj_share_claim_t *claim, double level);

#endif
