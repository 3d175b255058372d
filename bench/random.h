/**
 * @file random.h
 * @brief Seeded random numbers: the same seed gives the same run.
 */
#ifndef BENCH_RANDOM_H
#define BENCH_RANDOM_H

#include <stdint.h>

/** Returns the next number of the sequence (splitmix64). */
uint64_t random_next(uint64_t *state);
/** Uniform in [0, 1). */
double random_share(uint64_t *state);
/** Exponentially distributed with the given mean. */
double random_exponential(uint64_t *state, double mean);

#endif
