/**
 * @file figures.h
 * @brief Figures that are collected during a run.
 */
#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#include "world_state.h"

/** Counts batch streams up to now, if the scenario measures seconds. */
void figures_count_batch(world_t *world);
/** Counts a message between VMs by kind, if bytes are measured. */
void figures_measure_message(world_t *world, const jj_message_t *message);

#endif
