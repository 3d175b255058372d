/**
 * @file world.c
 * @brief One run: set-up, event loop and clean-up.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch_side.h"
#include "callers.h"
#include "figures.h"
#include "servers.h"
#include "vms.h"

typedef void handler_t(world_t *, const event_t *);

static world_t *create(const bench_scenario_t *, const policy_t *, run_t *);
static void destroy(world_t *);
static void schedule_start(world_t *);
static void run_events(world_t *);
static void begin_batch(world_t *, int64_t);

static handler_t *const handlers[] = {
    [EVENT_ARRIVAL] = callers_handle_arrival,
    [EVENT_SUBMIT] = servers_handle_submit,
    [EVENT_CANCEL] = servers_handle_cancel,
    [EVENT_STEP] = servers_handle_step,
    [EVENT_BACKEND] = vms_handle_backend,
    [EVENT_TIMEOUT] = vms_handle_timeout,
    [EVENT_MESSAGE] = vms_handle_message,
    [EVENT_TICK] = vms_handle_tick,
    [EVENT_REPORT] = servers_handle_report,
    [EVENT_FAULT] = servers_handle_fault,
    [EVENT_CRASH] = vms_handle_probe,
    [EVENT_UP] = vms_handle_probe,
};

void
world_run(const bench_scenario_t *scenario, const policy_t *policy, run_t *run)
{
	world_t *world = create(scenario, policy, run);

	callers_make(world);
	vms_create(world);
	schedule_start(world);
	run_events(world);
	destroy(world);
}

int64_t
world_at_us(double seconds)
{
	return WORLD_WARM_UP_US + (int64_t)(seconds * 1e6);
}

jj_ms_t
world_now_ms(const world_t *world)
{
	return world->now_us / 1000;
}

jj_name_t
world_server_name(uint32_t server)
{
	jj_name_t name = {0};
	char text[JJ_NAME_MAX + 1];

	(void)snprintf(text, sizeof(text), "server-%u", server);
	(void)jj_name_set(&name, text);
	return name;
}

void
world_push(world_t *world, event_kind_t kind, int64_t at_us, uint32_t target)
{
	event_t event = {.kind = kind, .at_us = at_us, .target = target};

	events_push(&world->events, &event);
}

static world_t *
create(const bench_scenario_t *scenario, const policy_t *policy, run_t *run)
{
	world_t *world = jj_alloc(sizeof(*world));
	uint32_t i;

	memset(run, 0, sizeof(*run));
	world->scenario = scenario;
	world->policy = *policy;
	world->run = run;
	world->random = scenario->seed;
	world->batch_random = scenario->seed ^ 0xba7c4;
	world->reports = true;
	LIST_INIT(&world->items);
	world->end_us = world_at_us(scenario->seconds);
	for (i = 0; i < scenario->servers; i++)
		engine_create(
		    &world->engines[i], scenario, scenario->seed * 1000 + i);
	world->next_count_us = WORLD_WARM_UP_US;
	if (scenario->measures_seconds) {
		run->second_count = (size_t)scenario->seconds;
		run->batch_running =
		    jj_alloc((run->second_count + 1) * sizeof(uint64_t));
	}
	return world;
}

static void
destroy(world_t *world)
{
	event_t event;
	size_t i;

	vms_destroy(world);
	for (i = 0; i < world->deferred_count; i++)
		events_push(&world->events, &world->deferred[i]);
	while (events_pop(&world->events, &event)) {
		if (event.kind == EVENT_MESSAGE)
			jj_message_clear(event.pointer);
		free(event.pointer);
	}
	for (i = 0; i < world->scenario->servers; i++)
		engine_destroy(&world->engines[i]);
	batch_destroy(world);
	events_destroy(&world->events);
	free(world->deferred);
	free(world);
}

static void
schedule_start(world_t *world)
{
	const bench_scenario_t *scenario = world->scenario;
	event_t event = {.kind = EVENT_ARRIVAL};
	size_t i;

	for (i = 0; i < scenario->vms; i++)
		world_push(world, EVENT_TICK, (int64_t)i * 1000, (uint32_t)i);
	for (i = 0; i < scenario->servers; i++)
		world_push(world, EVENT_REPORT, WORLD_REPORT_US, (uint32_t)i);
	for (i = 0; i < world->run->call_count; i++) {
		event.at_us = world->run->calls[i].arrival_us;
		event.request = i;
		events_push(&world->events, &event);
	}
	event.kind = EVENT_FAULT;
	for (i = 0; i < scenario->fault_count; i++) {
		event.at_us = world_at_us(scenario->faults[i].at_s);
		event.request = i;
		events_push(&world->events, &event);
	}
}

static void
run_events(world_t *world)
{
	int64_t from_us = world_at_us(world->scenario->batch_from_s);
	event_t event;
	uint32_t i;

	while (events_pop(&world->events, &event)) {
		world->now_us = event.at_us;
		if (!world->batch_offered && event.at_us >= from_us)
			begin_batch(world, from_us);
		if (event.at_us > world->end_us) {
			events_push(&world->events, &event);
			break;
		}
		figures_count_batch(world);
		if (!vms_defer_event(world, &event))
			handlers[event.kind](world, &event);
	}
	for (i = 0; i < world->scenario->servers; i++) {
		engine_count_idle(&world->engines[i], world->end_us);
		world->run->idle_tokens += world->engines[i].idle_tokens;
	}
}

/* Idle capacity is counted from the time on at which batch is offered. */
static void
begin_batch(world_t *world, int64_t from_us)
{
	uint32_t i;

	world->batch_offered = true;
	for (i = 0; i < world->scenario->servers; i++) {
		engine_count_idle(&world->engines[i], from_us);
		world->engines[i].idle_tokens = 0;
	}
}
