/**
 * @file load.h
 * @brief Sends requests at a rate, or so many at once, and times answers.
 *
 * Targets take turns request by request, so that what disturbs the machine
 * disturbs them alike and their difference is the hop.
 */
#ifndef BENCH_HOP_LOAD_H
#define BENCH_HOP_LOAD_H

#include "answer.h"
#include "usage.h"

#define LOAD_TARGETS_MAX 2

typedef struct {
	const char *name; /**< as printed */
	const char *url;
} load_target_t;

typedef struct {
	load_target_t targets[LOAD_TARGETS_MAX];
	uint32_t target_count;
	answer_kind_t kind;
	double rate; /**< requests per second and target; 0: no pacing */
	uint32_t open; /**< most requests open at once */
	uint32_t count; /**< requests per target */
	uint32_t tokens; /**< asked for in each */
	const char *model;
	int pid; /**< process of the hop, 0: not measured */
} load_plan_t;

/** What came of one target's requests. */
typedef struct {
	uint32_t answered; /**< right answers */
	uint32_t refused; /**< status other than 200 */
	uint32_t lost; /**< no answer, or not the whole */
	uint32_t mixed;
	uint32_t odd;
	uint64_t tokens;
	int64_t *first_us; /**< to the first byte of the body, sorted; owned */
	int64_t *whole_us; /**< to the end, sorted; owned */
} load_outcome_t;

typedef struct {
	load_outcome_t outcomes[LOAD_TARGETS_MAX];
	int64_t elapsed_us;
	usage_t before; /**< of the hop */
	usage_t after;
	int64_t rss_most_kb; /**< greatest seen of the hop */
	uint32_t open_most; /**< most requests open at once */
	/* While all places were taken, from the first second on. */
	int64_t full_us;
	int64_t full_cpu_us;
	uint64_t full_tokens;
} load_result_t;

/** Runs a plan; false when libcurl cannot be used. */
bool load_run(const load_plan_t *plan, load_result_t *result);
void load_clear(load_result_t *result);
/** Value at a share (0 to 1) of sorted values. */
int64_t load_quantile(const int64_t *sorted, uint32_t count, double share);

#endif
