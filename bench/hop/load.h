/**
 * @file load.h
 * @brief Sends requests at a rate or at a concurrency and times the answers.
 *
 * Requests alternate between the targets, so that other load on the machine
 * affects both alike and their difference is the cost of the hop.
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
	uint32_t open; /**< maximum of requests open at once */
	uint32_t count; /**< requests per target */
	uint32_t tokens; /**< requested in each */
	const char *model;
	int pid; /**< process of the entry VM; 0: not measured */
} load_plan_t;

/** Results of one target's requests. */
typedef struct {
	uint32_t answered; /**< correct answers */
	uint32_t refused; /**< status other than 200 */
	uint32_t lost; /**< no answer, or a truncated one */
	uint32_t mixed;
	uint32_t malformed;
	uint64_t tokens;
	int64_t *first_us; /**< to the first byte of the body, sorted; owned */
	int64_t *whole_us; /**< to the end, sorted; owned */
} load_outcome_t;

typedef struct {
	load_outcome_t outcomes[LOAD_TARGETS_MAX];
	int64_t elapsed_us;
	usage_t before; /**< usage of the entry VM */
	usage_t after;
	int64_t max_rss_kb; /**< largest sample of the entry VM */
	uint32_t max_open; /**< maximum of requests that were open at once */
	/* At full load: while plan.open requests were open, without the first
	 * second. Processor time is that of the entry VM. */
	int64_t full_us;
	int64_t full_cpu_us;
	uint64_t full_tokens;
} load_result_t;

/** Runs a plan; false when libcurl cannot be used. */
bool load_run(const load_plan_t *plan, load_result_t *result);
void load_clear(load_result_t *result);
/** Returns the quantile at a share (0 to 1) of sorted values. */
int64_t load_quantile(const int64_t *sorted, uint32_t count, double share);

#endif
