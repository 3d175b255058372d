/**
 * @file plot.h
 * @brief A run second by second, as rows for gnuplot (scripts/plots).
 */
#ifndef BENCH_PLOT_H
#define BENCH_PLOT_H

#include "world.h"

/**
 * Prints one row for each second of a run that measured its seconds: the
 * second, online arrivals per second, the p99 in ms to the first token of the
 * calls that arrived in it ("nan" when none was answered), the share of these
 * calls without an answer, and the batch streams running on all servers.
 * Rates and streams are means over the scenario's runs.
 */
void plot_print_series(const bench_scenario_t *scenario, const run_t *run);

#endif
