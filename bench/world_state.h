/**
 * @file world_state.h
 * @brief The state of one run, shared by its parts.
 */
#ifndef BENCH_WORLD_STATE_H
#define BENCH_WORLD_STATE_H

#include <sys/queue.h>

#include "core/dispatch.h"
#include "engine.h"
#include "events.h"
#include "world.h"

/** Requests with this bit are batch items. */
#define BATCH_BIT (1ULL << 62)
/** A server reports its load so often. */
#define WORLD_REPORT_US 500000
#define SERVICE "ordini"

/** One VM: the modules of the core that dispatch needs. */
typedef struct {
	jj_name_t name;
	jj_config_t *config;
	jj_fleet_t *fleet;
	jj_member_t *member;
	jj_quarantine_t *quarantine;
	jj_dispatch_t *dispatch;
	bool frozen;
} vm_t;

/** One batch item under way. */
typedef struct item {
	LIST_ENTRY(item) link;
	uint64_t request;
	uint32_t tokens;
	uint32_t prompt;
	uint32_t server;
	uint64_t prefix;
} item_t;

/** All of one run. Times are virtual, in microseconds. */
typedef struct {
	const bench_scenario_t *scenario;
	policy_t policy;
	run_t *run;
	events_t events;
	int64_t now_us;
	int64_t end_us;
	int64_t count_us; /**< of the next count of batch streams */
	uint64_t random;
	uint64_t batch_random;
	uint64_t batch_number;
	bool reports;
	vm_t vms[BENCH_VMS_MAX];
	bench_engine_t engines[BENCH_SERVERS_MAX];
	uint32_t capped[BENCH_SERVERS_MAX]; /**< batch streams, POLICY_CAP */
	bool batch_counts; /**< the time in which batch is offered */
	LIST_HEAD(, item) items;
	event_t *held; /**< of frozen VMs */
	size_t held_count;
} world_t;

/** The virtual time of a scenario's second, in microseconds. */
int64_t world_at_us(double seconds);
jj_ms_t world_now_ms(const world_t *world);
jj_name_t world_server_name(uint32_t server);
/** Schedules an event that has no more than its target. */
void
world_push(world_t *world, event_kind_t kind, int64_t at_us, uint32_t target);

#endif
