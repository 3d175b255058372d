/**
 * @file world.h
 * @brief One run of a scenario under one policy, in virtual time.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "core/action.h"
#include "scenario.h"

/** Start of the requests: all VMs have exchanged heartbeats by then. */
#define WORLD_WARM_UP_US 1000000
/** Number of counts of the batch streams per second. */
#define WORLD_COUNTS_PER_SECOND 10

typedef enum {
	POLICY_JUJUBE, /**< batch as admitted by the dispatch module */
	POLICY_NONE, /**< no batch at all: the reference */
	POLICY_CAP, /**< a fixed number of batch streams per server */
} policy_kind_t;

typedef struct {
	policy_kind_t kind;
	uint32_t cap; /**< of POLICY_CAP; equals the slots for fcfs */
} policy_t;

typedef enum {
	CALL_OPEN,
	CALL_DONE,
	CALL_REFUSED, /**< answered by a VM without a server */
} call_state_t;

/** One online request as its caller sees it. */
typedef struct {
	int64_t arrival_us;
	int64_t first_us; /**< time of its first token; 0: none */
	int64_t end_us;
	call_state_t state;
	jj_failure_t reason;
	uint32_t starts; /**< number of attempts sent to a server */
	uint32_t vm;
	bool poison;
	jj_name_t team;
	uint32_t tokens;
	uint32_t prompt;
	uint64_t prefix;
	uint64_t fingerprint;
} call_t;

/** Results of a run. */
typedef struct {
	call_t *calls;
	size_t call_count;
	uint64_t batch_done; /**< items finished */
	uint64_t batch_tokens; /**< of finished items */
	uint64_t batch_lost; /**< tokens of cancelled streams */
	uint64_t batch_withdrawn; /**< items cancelled */
	double idle_tokens; /**< unused capacity, see docs/BENCHMARKS.md */
	uint64_t messages; /**< between VMs */
	uint64_t sent[JJ_MESSAGE_KIND_END]; /**< by kind, when measured */
	uint64_t sent_bytes[JJ_MESSAGE_KIND_END]; /**< encoded */
	uint64_t *batch_running; /**< by second: sum of the stream counts */
	size_t second_count; /**< 0 when the seconds are not measured */
} run_t;

/** Runs a scenario; the caller clears @p run with run_destroy(). */
void
world_run(const bench_scenario_t *scenario, const policy_t *policy, run_t *run);
/** Adds the results of another run to @p sum. */
void run_merge(run_t *sum, const run_t *run);
void run_destroy(run_t *run);

#endif
