/**
 * @file vms.c
 * @brief Simulated VMs: delivers events to their cores, carries out actions.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch_side.h"
#include "callers.h"
#include "figures.h"
#include "servers.h"
#include "vms.h"

#define TICK_US 10000
#define DOMAIN "sala-a"

static void create_vm(world_t *, uint32_t);
static jj_bytes_t make_config(const bench_scenario_t *);
static void add_servers(world_t *, vm_t *);
static void do_start(world_t *, uint32_t, const jj_backend_start_t *);
static void do_answer(world_t *, const jj_answer_t *);
static uint32_t find_index(const char *, const char *);

void
vms_create(world_t *world)
{
	uint32_t i;
	uint32_t j;
	char name[JJ_NAME_MAX + 1];

	for (i = 0; i < world->scenario->vms; i++) {
		(void)snprintf(name, sizeof(name), "vm-%u", i);
		(void)jj_name_set(&world->vms[i].name, name);
	}
	for (i = 0; i < world->scenario->vms; i++) {
		create_vm(world, i);
		for (j = 0; j < world->scenario->vms; j++) {
			jj_name_t domain;

			(void)jj_name_set(&domain, DOMAIN);
			if (j != i)
				jj_member_add_vm(world->vms[i].member,
				    &world->vms[j].name, &domain, "");
		}
	}
}

void
vms_destroy(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->scenario->vms; i++) {
		jj_dispatch_destroy(world->vms[i].dispatch);
		jj_quarantine_destroy(world->vms[i].quarantine);
		jj_member_destroy(world->vms[i].member);
		jj_fleet_destroy(world->vms[i].fleet);
		jj_config_destroy(world->vms[i].config);
	}
}

/* A paused VM handles its deferred events in order when it resumes. */
bool
vms_defer_event(world_t *world, const event_t *event)
{
	switch (event->kind) {
	case EVENT_BACKEND:
	case EVENT_TIMEOUT:
	case EVENT_MESSAGE:
	case EVENT_TICK:
	case EVENT_CRASH:
	case EVENT_UP:
		break;
	default:
		return false;
	}
	if (!world->vms[event->target].paused)
		return false;
	world->deferred = jj_realloc(
	    world->deferred, (world->deferred_count + 1) * sizeof(*event));
	world->deferred[world->deferred_count++] = *event;
	return true;
}

void
vms_resume(world_t *world, uint32_t vm)
{
	size_t kept = 0;
	size_t i;

	world->vms[vm].paused = false;
	for (i = 0; i < world->deferred_count; i++) {
		if (world->deferred[i].target != vm) {
			world->deferred[kept++] = world->deferred[i];
			continue;
		}
		world->deferred[i].at_us = world->now_us;
		events_push(&world->events, &world->deferred[i]);
	}
	world->deferred_count = kept;
}

void
vms_handle_probe(world_t *world, const event_t *event)
{
	vm_t *vm = &world->vms[event->target];
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_name_t server = world_server_name(event->server);
	bool is_news;

	if (event->kind == EVENT_CRASH)
		jj_dispatch_take_crash(vm->dispatch, &server, event->boot,
		    world_now_ms(world), &actions);
	else
		jj_fleet_note_state(vm->fleet, &server, JJ_SERVER_UP,
		    event->boot, world_now_ms(world), &actions, &is_news);
	vms_do_actions_and_tick(world, event->target, &actions);
}

void
vms_handle_backend(world_t *world, const event_t *event)
{
	vm_t *vm = &world->vms[event->target];
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_backend_event_t backend = {0};
	bool batch = (event->request & BATCH_BIT) != 0;

	if (batch && world->policy.kind == POLICY_CAP) {
		batch_handle_cap_event(world, event);
		return;
	}
	if (!batch)
		callers_handle_event(world, event);
	else if (event->backend == JJ_BACKEND_DONE)
		batch_end(world, event->request, true);
	backend.request = event->request;
	backend.attempt = event->attempt;
	backend.kind = event->backend;
	backend.tokens = event->backend == JJ_BACKEND_TOKENS ? 1 : 0;
	jj_dispatch_take_event(
	    vm->dispatch, &backend, world_now_ms(world), &actions);
	vms_do_actions_and_tick(world, event->target, &actions);
}

void
vms_handle_timeout(world_t *world, const event_t *event)
{
	event_t backend = *event;

	if (engine_cancel(&world->engines[event->server], event->request,
		event->attempt) < 0)
		return;
	backend.kind = EVENT_BACKEND;
	backend.backend = JJ_BACKEND_TIMEOUT;
	vms_handle_backend(world, &backend);
}

void
vms_handle_message(world_t *world, const event_t *event)
{
	vm_t *vm = &world->vms[event->target];
	jj_message_t *message = event->pointer;
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_ms_t now = world_now_ms(world);

	world->run->messages++;
	if (jj_member_accept(vm->member, message, now, &actions)) {
		switch (message->kind) {
		case JJ_MESSAGE_HEARTBEAT:
			jj_dispatch_take_loads(vm->dispatch, &message->from,
			    message->body.heartbeat.loads,
			    message->body.heartbeat.load_count, now);
			break;
		case JJ_MESSAGE_LOAD:
			jj_dispatch_take_loads(vm->dispatch, &message->from,
			    message->body.load.loads, message->body.load.count,
			    now);
			break;
		case JJ_MESSAGE_CRASH:
			jj_quarantine_take_crash(vm->quarantine,
			    &message->body.crash, now, &actions);
			break;
		case JJ_MESSAGE_SERVER_STATE:
			jj_fleet_take_notice(
			    vm->fleet, &message->body.server, now);
			break;
		default:
			break;
		}
	}
	jj_message_clear(message);
	free(message);
	vms_do_actions_and_tick(world, event->target, &actions);
}

void
vms_handle_tick(world_t *world, const event_t *event)
{
	uint32_t index = event->target;
	vm_t *vm = &world->vms[index];
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	jj_ms_t now = world_now_ms(world);

	if (jj_member_next(vm->member) <= now) {
		jj_member_set_loads(vm->member, loads,
		    jj_dispatch_loads(
			vm->dispatch, loads, JJ_MESSAGE_LOADS_MAX));
		jj_member_tick(vm->member, now, &actions);
	}
	if (jj_dispatch_next(vm->dispatch) <= now)
		jj_dispatch_tick(vm->dispatch, now, &actions);
	vms_do_actions_and_tick(world, index, &actions);
	if (world->policy.kind == POLICY_CAP)
		batch_offer_capped(world);
	world_push(world, EVENT_TICK, world->now_us + TICK_US, index);
}

void
vms_do_actions_and_tick(world_t *world, uint32_t vm, jj_actions_t *actions)
{
	jj_dispatch_t *dispatch = world->vms[vm].dispatch;

	vms_do_actions(world, vm, actions);
	if (jj_dispatch_next(dispatch) <= world_now_ms(world)) {
		jj_dispatch_tick(dispatch, world_now_ms(world), actions);
		vms_do_actions(world, vm, actions);
	}
	if (world->policy.kind == POLICY_JUJUBE)
		batch_offer(world, vm, actions);
}

void
vms_do_actions(world_t *world, uint32_t vm, jj_actions_t *actions)
{
	jj_action_t *action;
	event_t event;

	while ((action = TAILQ_FIRST(actions)) != NULL) {
		TAILQ_REMOVE(actions, action, link);
		event =
		    (event_t){.at_us = world->now_us + world->scenario->net_us};
		switch (action->kind) {
		case JJ_ACTION_SEND:
			jj_member_stamp(
			    world->vms[vm].member, action->body.send.message);
			figures_measure_message(
			    world, action->body.send.message);
			event.kind = EVENT_MESSAGE;
			event.pointer = action->body.send.message;
			event.target =
			    find_index(action->body.send.to.text, "vm-");
			events_push(&world->events, &event);
			free(action);
			continue;
		case JJ_ACTION_BACKEND_START:
			do_start(world, vm, &action->body.start);
			break;
		case JJ_ACTION_BACKEND_CANCEL:
			event.kind = EVENT_CANCEL;
			event.request = action->body.cancel.request;
			event.attempt = action->body.cancel.attempt;
			events_push(&world->events, &event);
			break;
		case JJ_ACTION_ANSWER:
			do_answer(world, &action->body.answer);
			break;
		default:
			break;
		}
		jj_action_free(action);
	}
}

static void
create_vm(world_t *world, uint32_t index)
{
	const bench_scenario_t *scenario = world->scenario;
	vm_t *vm = &world->vms[index];
	jj_member_settings_t member = {.heartbeat_ms = 500,
	    .suspect_ms = 2000,
	    .forget_ms = 3600000,
	    .incarnation = 0x5eed000000000001 + index,
	    .address = "10.0.1.11:7400"};
	jj_quarantine_settings_t quarantine = {2, 600000, 3600000, 65536};
	jj_config_settings_t config = {
	    .writer = "bench", .call_timeout_ms = 4000};
	jj_dispatch_settings_t dispatch = {.seed = scenario->seed + index,
	    .retry_share = 0.1,
	    .retry_floor = 10,
	    .withdraw_retry_ms = 250,
	    .batch_start = 2,
	    .batch_most = scenario->batch_most};
	jj_bytes_t object = make_config(scenario);
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);

	member.name = vm->name;
	(void)jj_name_set(&member.domain, DOMAIN);
	dispatch.name = vm->name;
	dispatch.domain = member.domain;
	vm->member = jj_member_create(&member);
	jj_member_set_state(vm->member, JJ_VM_SERVING);
	vm->fleet = jj_fleet_create(&member.domain);
	vm->quarantine = jj_quarantine_create(&quarantine);
	vm->config = jj_config_create(&config);
	JJ_INVARIANT(jj_config_take(vm->config, &object, &actions));
	jj_actions_clear(&actions);
	jj_bytes_free(&object);
	add_servers(world, vm);
	vm->dispatch = jj_dispatch_create(
	    &dispatch, vm->config, vm->fleet, vm->member, vm->quarantine);
}

static jj_bytes_t
make_config(const bench_scenario_t *scenario)
{
	char text[1024];

	(void)snprintf(text, sizeof(text),
	    "{\"version\":1,\"previous\":0,\"operator\":\"bench\","
	    "\"writer\":\"bench\",\"operation\":1,\"recent\":[],"
	    "\"document\":{\"services\":{\"" SERVICE
	    "\":{\"kind\":\"model\",\"idempotent\":true,"
	    "\"timeout_ms\":%u,\"deadline_ms\":%u,\"attempts\":3,"
	    "\"trade\":%.3f,\"queue_limit\":%u,\"server_slots\":%u}}}}",
	    scenario->timeout_ms, scenario->deadline_ms, scenario->trade,
	    scenario->queue_limit, scenario->slots);
	return jj_bytes_from_text(text);
}

static void
add_servers(world_t *world, vm_t *vm)
{
	jj_server_t server = {0};
	uint32_t i;

	(void)jj_name_set(&server.domain, DOMAIN);
	(void)jj_name_set(&server.service, SERVICE);
	for (i = 0; i < world->scenario->servers; i++) {
		server.name = world_server_name(i);
		server.boot = world->engines[i].boot;
		server.state = JJ_SERVER_UP;
		jj_fleet_add_server(vm->fleet, &server);
	}
}

static void
do_start(world_t *world, uint32_t vm, const jj_backend_start_t *start)
{
	event_t timeout = {.kind = EVENT_TIMEOUT};
	uint32_t server = find_index(start->server.text, "server-");

	if ((start->request & BATCH_BIT) == 0) {
		world->run->calls[start->request - 1].starts = start->attempt;
		timeout.at_us =
		    world->now_us + (int64_t)world->scenario->timeout_ms * 1000;
		timeout.target = vm;
		timeout.server = server;
		timeout.request = start->request;
		timeout.attempt = start->attempt;
		events_push(&world->events, &timeout);
	}
	servers_submit(world, vm, server, start->request, start->attempt);
}

static void
do_answer(world_t *world, const jj_answer_t *answer)
{
	if ((answer->request & BATCH_BIT) != 0)
		batch_end(world, answer->request, false);
	else
		callers_handle_answer(world, answer);
}

static uint32_t
find_index(const char *name, const char *prefix)
{
	return (uint32_t)atoi(name + strlen(prefix));
}
