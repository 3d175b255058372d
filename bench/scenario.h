/**
 * @file scenario.h
 * @brief A scenario of the bench: servers, arrivals, batch and faults.
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include "core/types.h"

#define BENCH_PHASES_MAX 32
#define BENCH_FAULTS_MAX 64
#define BENCH_SERVERS_MAX 128
#define BENCH_VMS_MAX 16

/** Poisson arrivals of one team whose rate moves evenly between two values. */
typedef struct {
	double from_s;
	double to_s;
	double rate; /**< requests per second, over all VMs */
	double rate_end;
	jj_name_t team;
	uint32_t tokens; /**< mean of the answer's length */
	uint32_t prompt; /**< prompt tokens */
} bench_phase_t;

typedef enum {
	BENCH_FAULT_SLOW, /**< value: factor of the step time */
	BENCH_FAULT_FAIL, /**< value: share of requests that fail */
	BENCH_FAULT_KILL, /**< the server dies */
	BENCH_FAULT_RESTART, /**< and comes back, empty */
	BENCH_FAULT_LEAVE, /**< the server refuses new work */
	BENCH_FAULT_FREEZE, /**< the VM stops for a while */
	BENCH_FAULT_THAW,
	BENCH_FAULT_REPORTS, /**< value 0: load reports stop */
	BENCH_FAULT_POISON, /**< a request that kills its server */
	BENCH_FAULT_KINDS,
} bench_fault_kind_t;

typedef struct {
	double at_s;
	bench_fault_kind_t kind;
	uint32_t target; /**< server or VM, from 0 */
	double value;
} bench_fault_t;

typedef struct {
	char name[JJ_NAME_MAX + 1];
	double seconds;
	uint64_t seed;
	uint32_t runs; /**< seeds in a row, from `seed` */
	uint32_t vms;
	uint32_t servers;
	double trade; /**< of the service */
	double harm_weight; /**< score = used - harm_weight * harm */
	uint32_t slots; /**< engine: streams at once */
	uint32_t soft; /**< engine: streams that do not slow a step */
	uint32_t step_ms;
	uint32_t prefill_us; /**< per uncached prompt token */
	uint32_t cache_blocks;
	uint32_t prefixes; /**< different prompts' beginnings */
	uint32_t net_us; /**< one way, VM to server and VM to VM */
	uint32_t deadline_ms;
	uint32_t timeout_ms;
	uint32_t queue_limit;
	double batch_from_s;
	uint32_t batch_tokens;
	uint32_t batch_prompt;
	uint32_t batch_most; /**< batch streams of a server at most */
	bool measures_bytes; /**< messages are encoded to be measured */
	bool measures_seconds; /**< batch streams are counted each second */
	uint32_t phase_count;
	bench_phase_t phases[BENCH_PHASES_MAX];
	uint32_t fault_count;
	bench_fault_t faults[BENCH_FAULTS_MAX];
} bench_scenario_t;

/** What a scenario is when its file says nothing else. */
void scenario_set_defaults(bench_scenario_t *scenario);
/** Reads a scenario; false and @p why when the file is not a valid one. */
bool scenario_load(
    bench_scenario_t *scenario, const char *path, char *why, size_t why_size);

#endif
