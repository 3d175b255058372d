/**
 * @file plot.c
 * @brief A run second by second, as rows for gnuplot.
 */
#include <math.h>
#include <stdio.h>

#include "plot.h"
#include "report.h"

#define SECOND_US 1000000
/* Index of the p99 among the quantiles of a report. */
#define P99 2

/* The calls that arrive within one second. */
typedef struct {
	uint64_t arrivals;
	uint64_t unanswered; /* refused, or open at the end */
} arrivals_t;

static arrivals_t count_arrivals(const run_t *, int64_t);

void
plot_print_series(const bench_scenario_t *scenario, const run_t *run)
{
	quantiles_t first;
	arrivals_t calls;
	int64_t from_us;
	size_t i;

	printf("# second arrivals_per_s first_p99_ms unanswered batch\n");
	for (i = 0; i < run->second_count; i++) {
		from_us = WORLD_WARM_UP_US + (int64_t)i * SECOND_US;
		calls = count_arrivals(run, from_us);
		report_first_token(run, from_us, from_us + SECOND_US, &first);
		printf("%zu %.2f %.3f %.4f %.2f\n", i,
		    (double)calls.arrivals / scenario->runs,
		    calls.arrivals > calls.unanswered ? first.ms[P99] : NAN,
		    calls.arrivals > 0
			? (double)calls.unanswered / (double)calls.arrivals
			: 0,
		    (double)run->batch_running[i] / scenario->runs /
			WORLD_COUNTS_PER_SECOND);
	}
}

static arrivals_t
count_arrivals(const run_t *run, int64_t from_us)
{
	arrivals_t counted = {0};
	const call_t *call;
	size_t i;

	for (i = 0; i < run->call_count; i++) {
		call = &run->calls[i];
		if (call->arrival_us < from_us ||
		    call->arrival_us >= from_us + SECOND_US)
			continue;
		counted.arrivals++;
		counted.unanswered += call->state != CALL_DONE;
	}
	return counted;
}
