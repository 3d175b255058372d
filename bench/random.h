/**
 * @file random.h
 * @brief Seeded random numbers: the same seed gives the same run.
 */
#ifndef BENCH_RANDOM_H
#define BENCH_RANDOM_H

#include <stdint.h>

/** The next number of a sequence (splitmix64). */
uint64_t random_next(uint64_t *state);
/** Evenly in [0, 1). */
double random_share(uint64_t *state);
/** Exponential with a mean. */
double random_exponential(uint64_t *state, double mean);

#endif
