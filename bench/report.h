/**
 * @file report.h
 * @brief Figures of a run and their comparison with the reference run.
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
	quantiles_t others_first; /**< first token, without the team "flood" */
	uint64_t calls;
	double refused; /**< share of calls answered without a server */
	double late; /**< share answered after the deadline */
	double retried; /**< attempts beyond the first, per call */
	double unanswered; /**< share without an answer past the deadline */
	double batch_tokens; /**< of finished items, with prefill cost */
	double idle_tokens;
	double lost; /**< tokens discarded per token finished */
	uint64_t batch_done;
	uint64_t withdrawn;
	uint64_t messages;
} figures_t;

/** Figures compared with the same arrivals without batch. */
typedef struct {
	figures_t measured;
	double first_ratio[REPORT_QUANTILES];
	double whole_ratio[REPORT_QUANTILES];
	double harm; /**< larger of the two p99 ratios, minus 1, at least 0 */
	double used; /**< finished batch as a share of the idle capacity */
	double score; /**< used - harm_weight * harm */
} comparison_t;

/** Computes the figures of a run. */
void report_figures(
    const bench_scenario_t *scenario, const run_t *run, figures_t *figures);
/**
 * Quantiles of the time to the first token over the answered calls that
 * arrive in [from_us, to_us); zeros when there is none.
 */
void report_first_token(
    const run_t *run, int64_t from_us, int64_t to_us, quantiles_t *quantiles);
/** Compares a run with the reference. */
void report_compare(const bench_scenario_t *scenario, const figures_t *measured,
    const figures_t *reference, comparison_t *comparison);
/** Prints one line of the table; its heading when @p comparison is NULL. */
void report_print_line(
    const char *scenario, const char *policy, const comparison_t *comparison);
/** Prints all figures of a run. */
void report_print(
    const char *scenario, const char *policy, const comparison_t *comparison);
/** Returns all figures as JSON; the caller owns it. */
json_t *report_json(
    const char *scenario, const char *policy, const comparison_t *comparison);

#endif
