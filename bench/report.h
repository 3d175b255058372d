/**
 * @file report.h
 * @brief Figures of a run, and how they compare with the reference.
 */
#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include <jansson.h>

#include "world.h"

#define REPORT_QUANTILES 4

/** Quantiles of a latency: 50, 95, 99, 99.9 %. */
typedef struct {
	double ms[REPORT_QUANTILES];
} quantiles_t;

typedef struct {
	quantiles_t first; /**< first token */
	quantiles_t whole; /**< whole answer */
	quantiles_t others_first; /**< without the team "flood" */
	uint64_t calls;
	double refused; /**< share of calls that we answered ourselves */
	double late; /**< share answered after the deadline */
	double retried; /**< attempts beyond the first, per call */
	double open; /**< share without any answer at the end */
	double batch_tokens; /**< finished, with their prefill's worth */
	double idle_tokens;
	double lost; /**< thrown away, per token finished */
	uint64_t batch_done;
	uint64_t withdrawn;
	uint64_t messages;
} figures_t;

/** Figures against the same arrivals without batch. */
typedef struct {
	figures_t own;
	double first_ratio[REPORT_QUANTILES];
	double whole_ratio[REPORT_QUANTILES];
	double harm; /**< the worse p99 ratio of the two, less 1, at least 0 */
	double used; /**< batch finished as share of the idle capacity */
	double score; /**< used - harm_weight * harm */
} comparison_t;

/** Draws up the figures of a run. */
void report_figures(
    const bench_scenario_t *scenario, const run_t *run, figures_t *figures);
/**
 * First token of the calls that arrive in [from_us, to_us) and are answered;
 * zeros when there is none.
 */
void report_first_token(
    const run_t *run, int64_t from_us, int64_t to_us, quantiles_t *quantiles);
/** Compares a run with the reference. */
void report_compare(const bench_scenario_t *scenario, const figures_t *own,
    const figures_t *reference, comparison_t *comparison);
/** Prints one line of the table; the heading without a comparison. */
void report_print_line(
    const char *scenario, const char *policy, const comparison_t *comparison);
/** Prints a run in full. */
void report_print(
    const char *scenario, const char *policy, const comparison_t *comparison);
/** The same as JSON; the caller owns it. */
json_t *report_json(
    const char *scenario, const char *policy, const comparison_t *comparison);

#endif
