/**
 * @file figures.h
 * @brief What a run shows while it goes on.
 */
#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#include "world_state.h"

/** Counts batch streams up to now, when the seconds are measured. */
void figures_count_batch(world_t *world);
/** Counts a message between VMs by kind, when bytes are measured. */
void figures_measure_message(world_t *world, const jj_message_t *message);

#endif
