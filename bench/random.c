/**
 * @file random.c
 * @brief splitmix64 and distributions drawn from it.
 */
#include <math.h>

#include "random.h"

uint64_t
random_next(uint64_t *state)
{
	uint64_t mixed = *state += 0x9e3779b97f4a7c15U;

	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
	return mixed ^ (mixed >> 31);
}

double
random_share(uint64_t *state)
{
	return (double)(random_next(state) >> 11) / (double)(1ULL << 53);
}

double
random_exponential(uint64_t *state, double mean)
{
	return -mean * log(1 - random_share(state));
}
