/**
 * @file world_state.h
 * @brief State of one run, shared by the modules of the benchmark.
 */
#ifndef BENCH_WORLD_STATE_H
#define BENCH_WORLD_STATE_H

#include <sys/queue.h>

#include "core/dispatch.h"
#include "engine.h"
#include "events.h"
#include "world.h"

/** Set in the request ids of batch items. */
#define BATCH_BIT (1ULL << 62)
/** Interval between a server's load reports. */
#define WORLD_REPORT_US 500000
#define SERVICE "ordini"

/** One VM: the core modules that dispatch depends on. */
typedef struct {
	jj_name_t name;
	jj_config_t *config;
	jj_fleet_t *fleet;
	jj_member_t *member;
	jj_quarantine_t *quarantine;
	jj_dispatch_t *dispatch;
	bool paused;
} vm_t;

/** One running batch item. */
typedef struct item {
	LIST_ENTRY(item) link;
	uint64_t request;
	uint32_t tokens;
	uint32_t prompt;
	uint32_t server;
	uint64_t prefix;
} item_t;

/** State of one run. Times are virtual, in microseconds. */
typedef struct {
	const bench_scenario_t *scenario;
	policy_t policy;
	run_t *run;
	events_t events;
	int64_t now_us;
	int64_t end_us;
	int64_t next_count_us; /**< time of the next count of batch streams */
	uint64_t random;
	uint64_t batch_random;
	uint64_t batch_number;
	bool reports;
	vm_t vms[BENCH_VMS_MAX];
	bench_engine_t engines[BENCH_SERVERS_MAX];
	uint32_t capped_streams[BENCH_SERVERS_MAX]; /**< for POLICY_CAP */
	bool batch_offered; /**< batch_from_s is reached: batch is offered */
	LIST_HEAD(, item) items;
	event_t *deferred; /**< events of paused VMs */
	size_t deferred_count;
} world_t;

/** Converts a second of the scenario to virtual time in microseconds. */
int64_t world_at_us(double seconds);
jj_ms_t world_now_ms(const world_t *world);
jj_name_t world_server_name(uint32_t server);
/** Schedules an event that has no data but its target. */
void
world_push(world_t *world, event_kind_t kind, int64_t at_us, uint32_t target);

#endif
