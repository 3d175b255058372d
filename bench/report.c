/**
 * @file report.c
 * @brief Quantiles, ratios and the score.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "report.h"

#define FLOOD_TEAM "flood"
#define BLOCK_TOKENS 64

static const double SHARES[REPORT_QUANTILES] = {0.5, 0.95, 0.99, 0.999};
static const char *const NAMES[REPORT_QUANTILES] = {
    "p50", "p95", "p99", "p99.9"};

typedef enum {
	SAMPLE_FIRST,
	SAMPLE_WHOLE,
	SAMPLE_OTHERS_FIRST,
} sample_t;

static void
quantiles_of(const run_t *, int64_t, int64_t, sample_t, quantiles_t *);
static bool sample_of(const call_t *, sample_t, double *);
static int compare_doubles(const void *, const void *);
static void
count_outcomes(const bench_scenario_t *, const run_t *, int64_t, figures_t *);
static double prefill_cost_tokens(const bench_scenario_t *);
static json_t *quantiles_json(const quantiles_t *, const double *);

void
report_figures(
    const bench_scenario_t *scenario, const run_t *run, figures_t *figures)
{
	int64_t from_us = (int64_t)((1 + scenario->batch_from_s) * 1e6);

	memset(figures, 0, sizeof(*figures));
	quantiles_of(run, from_us, INT64_MAX, SAMPLE_FIRST, &figures->first);
	quantiles_of(run, from_us, INT64_MAX, SAMPLE_WHOLE, &figures->whole);
	quantiles_of(run, from_us, INT64_MAX, SAMPLE_OTHERS_FIRST,
	    &figures->others_first);
	count_outcomes(scenario, run, from_us, figures);
	figures->batch_done = run->batch_done;
	figures->batch_tokens = (double)run->batch_tokens +
	    (double)run->batch_done * prefill_cost_tokens(scenario);
	figures->idle_tokens = run->idle_tokens;
	figures->withdrawn = run->batch_withdrawn;
	figures->messages = run->messages;
	if (run->batch_tokens > 0)
		figures->lost =
		    (double)run->batch_lost / (double)run->batch_tokens;
}

void
report_first_token(
    const run_t *run, int64_t from_us, int64_t to_us, quantiles_t *quantiles)
{
	memset(quantiles, 0, sizeof(*quantiles));
	quantiles_of(run, from_us, to_us, SAMPLE_FIRST, quantiles);
}

void
report_compare(const bench_scenario_t *scenario, const figures_t *measured,
    const figures_t *reference, comparison_t *comparison)
{
	double worst;
	int i;

	memset(comparison, 0, sizeof(*comparison));
	comparison->measured = *measured;
	for (i = 0; i < REPORT_QUANTILES; i++) {
		comparison->first_ratio[i] =
		    measured->first.ms[i] / reference->first.ms[i];
		comparison->whole_ratio[i] =
		    measured->whole.ms[i] / reference->whole.ms[i];
	}
	worst = comparison->first_ratio[2];
	if (comparison->whole_ratio[2] > worst)
		worst = comparison->whole_ratio[2];
	comparison->harm = worst > 1 ? worst - 1 : 0;
	if (reference->idle_tokens > 0)
		comparison->used =
		    measured->batch_tokens / reference->idle_tokens;
	comparison->score =
	    comparison->used - scenario->harm_weight * comparison->harm;
}

void
report_print_line(
    const char *scenario, const char *policy, const comparison_t *comparison)
{
	const figures_t *measured;

	if (comparison == NULL) {
		printf("%-18s %-8s %9s %9s %7s %7s %7s %7s %6s %6s %6s %6s "
		       "%6s %8s\n",
		    "scenario", "policy", "first99ms", "whole99ms", "xfirst",
		    "xwhole", "xf99.9", "xw99.9", "used", "lost", "refus",
		    "late", "retry", "score");
		return;
	}
	measured = &comparison->measured;
	printf("%-18s %-8s %9.0f %9.0f %7.3f %7.3f %7.3f %7.3f %6.3f %6.3f "
	       "%6.4f %6.4f %6.4f %8.3f\n",
	    scenario, policy, measured->first.ms[2], measured->whole.ms[2],
	    comparison->first_ratio[2], comparison->whole_ratio[2],
	    comparison->first_ratio[3], comparison->whole_ratio[3],
	    comparison->used, measured->lost, measured->refused, measured->late,
	    measured->retried, comparison->score);
}

void
report_print(
    const char *scenario, const char *policy, const comparison_t *comparison)
{
	const figures_t *measured = &comparison->measured;
	int i;

	printf("%s under %s: %llu calls\n", scenario, policy,
	    (unsigned long long)measured->calls);
	for (i = 0; i < REPORT_QUANTILES; i++)
		printf("  %-6s first token %8.1f ms (x%.3f)  whole answer "
		       "%8.1f ms (x%.3f)  others' first %8.1f ms\n",
		    NAMES[i], measured->first.ms[i], comparison->first_ratio[i],
		    measured->whole.ms[i], comparison->whole_ratio[i],
		    measured->others_first.ms[i]);
	printf("  refused %.4f late %.4f retried %.4f unanswered %.4f\n",
	    measured->refused, measured->late, measured->retried,
	    measured->unanswered);
	printf("  batch items %llu, used %.3f of idle, withdrawn %llu, lost "
	       "%.3f, messages %llu, score %.3f\n",
	    (unsigned long long)measured->batch_done, comparison->used,
	    (unsigned long long)measured->withdrawn, measured->lost,
	    (unsigned long long)measured->messages, comparison->score);
}

json_t *
report_json(
    const char *scenario, const char *policy, const comparison_t *comparison)
{
	const figures_t *measured = &comparison->measured;

	return json_pack(
	    "{s:s,s:s,s:I,s:o,s:o,s:f,s:f,s:f,s:f,s:I,s:I,s:f,s:f,s:f,s:I}",
	    "scenario", scenario, "policy", policy, "calls",
	    (json_int_t)measured->calls, "first_token",
	    quantiles_json(&measured->first, comparison->first_ratio),
	    "whole_answer",
	    quantiles_json(&measured->whole, comparison->whole_ratio),
	    "refused", measured->refused, "late", measured->late, "retried",
	    measured->retried, "unanswered", measured->unanswered,
	    "batch_items", (json_int_t)measured->batch_done, "withdrawn",
	    (json_int_t)measured->withdrawn, "lost", measured->lost, "used",
	    comparison->used, "score", comparison->score, "messages",
	    (json_int_t)measured->messages);
}

static json_t *
quantiles_json(const quantiles_t *quantiles, const double *ratios)
{
	json_t *object = json_object();
	int i;

	for (i = 0; i < REPORT_QUANTILES; i++)
		json_object_set_new(object, NAMES[i],
		    json_pack("{s:f,s:f}", "ms", quantiles->ms[i], "ratio",
			ratios[i]));
	return object;
}

static void
quantiles_of(const run_t *run, int64_t from_us, int64_t to_us, sample_t sample,
    quantiles_t *quantiles)
{
	double *values = jj_alloc((run->call_count + 1) * sizeof(double));
	size_t count = 0;
	size_t i;
	int q;

	for (i = 0; i < run->call_count; i++)
		if (run->calls[i].arrival_us >= from_us &&
		    run->calls[i].arrival_us < to_us &&
		    sample_of(&run->calls[i], sample, &values[count]))
			count++;
	qsort(values, count, sizeof(double), compare_doubles);
	for (q = 0; q < REPORT_QUANTILES && count > 0; q++)
		quantiles->ms[q] =
		    values[(size_t)(SHARES[q] * (double)(count - 1))];
	free(values);
}

static bool
sample_of(const call_t *call, sample_t sample, double *ms)
{
	int64_t end = sample == SAMPLE_WHOLE ? call->end_us : call->first_us;

	if (call->state != CALL_DONE || call->poison)
		return false;
	if (sample == SAMPLE_OTHERS_FIRST &&
	    strcmp(call->team.text, FLOOD_TEAM) == 0)
		return false;
	*ms = (double)(end - call->arrival_us) / 1000;
	return true;
}

static int
compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void
count_outcomes(const bench_scenario_t *scenario, const run_t *run,
    int64_t from_us, figures_t *figures)
{
	int64_t end_us = (int64_t)((1 + scenario->seconds) * 1e6);
	uint64_t refused = 0;
	uint64_t late = 0;
	uint64_t retried = 0;
	uint64_t unanswered = 0;
	const call_t *call;
	size_t i;

	for (i = 0; i < run->call_count; i++) {
		call = &run->calls[i];
		if (call->arrival_us < from_us)
			continue;
		figures->calls++;
		refused += call->state == CALL_REFUSED;
		retried += call->starts > 1 ? call->starts - 1 : 0;
		late += call->state == CALL_DONE &&
		    call->end_us - call->arrival_us >
			(int64_t)scenario->deadline_ms * 1000;
		unanswered += call->state == CALL_OPEN &&
		    end_us - call->arrival_us >
			(int64_t)scenario->deadline_ms * 1000;
	}
	if (figures->calls == 0)
		return;
	figures->refused = (double)refused / (double)figures->calls;
	figures->late = (double)late / (double)figures->calls;
	figures->retried = (double)retried / (double)figures->calls;
	figures->unanswered = (double)unanswered / (double)figures->calls;
}

/* Cost of an item's prefill: it delays a step by that time, in which the
 * engine could have generated this many tokens. */
static double
prefill_cost_tokens(const bench_scenario_t *scenario)
{
	double uncached = scenario->batch_prompt % BLOCK_TOKENS + BLOCK_TOKENS;

	if (uncached > scenario->batch_prompt)
		uncached = scenario->batch_prompt;
	return uncached * scenario->prefill_us / (scenario->step_ms * 1000.0) *
	    scenario->soft;
}
