/**
 * @file scenario.h
 * @brief A benchmark scenario: servers, arrivals, batch and faults.
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include "core/types.h"

#define BENCH_PHASES_MAX 32
#define BENCH_FAULTS_MAX 64
#define BENCH_SERVERS_MAX 128
#define BENCH_VMS_MAX 16

/** Poisson arrivals of one team with a rate that changes linearly. */
typedef struct {
	double from_s;
	double to_s;
	double rate; /**< requests per second, over all VMs */
	double rate_end;
	jj_name_t team;
	uint32_t tokens; /**< mean length of the answer */
	uint32_t prompt; /**< prompt tokens */
} bench_phase_t;

typedef enum {
	BENCH_FAULT_SLOW, /**< value: factor of the step time */
	BENCH_FAULT_FAIL, /**< value: share of requests that fail */
	BENCH_FAULT_KILL, /**< the server process is killed */
	BENCH_FAULT_RESTART, /**< the server restarts with an empty cache */
	BENCH_FAULT_LEAVE, /**< the server refuses new work */
	BENCH_FAULT_FREEZE, /**< the VM is paused */
	BENCH_FAULT_THAW, /**< the VM resumes */
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
	uint32_t runs; /**< consecutive seeds, starting at `seed` */
	uint32_t vms;
	uint32_t servers;
	double trade; /**< setting `trade` of the service, 0 to 1 */
	double harm_weight; /**< score = used - harm_weight * harm */
	uint32_t slots; /**< engine: maximum of running streams */
	uint32_t soft; /**< engine: streams that do not slow a step */
	uint32_t step_ms;
	uint32_t prefill_us; /**< per uncached prompt token */
	uint32_t cache_blocks;
	uint32_t prefixes; /**< number of distinct prompt prefixes */
	uint32_t net_us; /**< one-way delay, VM to server and VM to VM */
	uint32_t deadline_ms;
	uint32_t timeout_ms;
	uint32_t queue_limit;
	double batch_from_s;
	uint32_t batch_tokens;
	uint32_t batch_prompt;
	uint32_t batch_most; /**< maximum of batch streams per server */
	bool measures_bytes; /**< messages are encoded to be measured */
	bool measures_seconds; /**< batch streams are counted each second */
	uint32_t phase_count;
	bench_phase_t phases[BENCH_PHASES_MAX];
	uint32_t fault_count;
	bench_fault_t faults[BENCH_FAULTS_MAX];
} bench_scenario_t;

/** Sets the values that a scenario file may override. */
void scenario_set_defaults(bench_scenario_t *scenario);
/** Reads a scenario; false with the reason in @p error when it is invalid. */
bool scenario_load(bench_scenario_t *scenario, const char *path, char *error,
    size_t error_size);

#endif
