/**
 * @file world.c
 * @brief Callers, VMs with their cores, servers, and messages in between.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/wire.h"
#include "core/dispatch.h"
#include "engine.h"
#include "events.h"
#include "random.h"
#include "world.h"

#define TICK_US 10000
#define COUNT_US (1000000 / WORLD_COUNTS_PER_SECOND)
#define REPORT_US 500000
/* A VM's probe notices a death or a start after so long. */
#define PROBE_US 100000
/* Requests with this bit are batch items. */
#define BATCH_BIT (1ULL << 62)
/* A server killed by a request is started again after so long. */
#define RESTART_US 5000000
#define SERVICE "ordini"
#define DOMAIN "sala-a"
#define BLOCK_TOKENS 64

/* One VM: the modules of the core that dispatch needs. */
typedef struct {
	jj_name_t name;
	jj_config_t *config;
	jj_fleet_t *fleet;
	jj_member_t *member;
	jj_quarantine_t *quarantine;
	jj_dispatch_t *dispatch;
	bool frozen;
	uint32_t next_server; /* of POLICY_CAP */
} vm_t;

/* One batch item under way. */
typedef struct item {
	LIST_ENTRY(item) link;
	uint64_t request;
	uint32_t tokens;
	uint32_t prompt;
	uint32_t server;
	uint64_t prefix;
} item_t;

typedef struct {
	const bench_scenario_t *scenario;
	policy_t policy;
	run_t *run;
	events_t events;
	int64_t now_us;
	int64_t end_us;
	int64_t count_us; /* of the next count of batch streams */
	uint64_t random;
	uint64_t batch_random;
	uint64_t batch_number;
	bool reports;
	vm_t vms[BENCH_VMS_MAX];
	bench_engine_t engines[BENCH_SERVERS_MAX];
	uint32_t capped[BENCH_SERVERS_MAX]; /* batch streams, POLICY_CAP */
	bool batch_counts; /* the time in which batch is offered */
	LIST_HEAD(, item) items;
	event_t *held; /* of frozen VMs */
	size_t held_count;
} world_t;

typedef struct {
	world_t *world;
	uint32_t server;
} emit_ctx_t;

static void make_calls(world_t *);
static void make_phase_calls(world_t *, const bench_phase_t *, size_t *);
static int compare_calls(const void *, const void *);
static void add_call(world_t *, size_t *, const call_t *);
static void create_vms(world_t *);
static void create_vm(world_t *, uint32_t);
static jj_bytes_t make_config(const bench_scenario_t *);
static void learn_servers(world_t *, vm_t *);
static void schedule_start(world_t *);
static void run_events(world_t *);
static void count_batch(world_t *);
static uint32_t count_batch_streams(const bench_engine_t *);
static void handle(world_t *, event_t *);
static bool hold(world_t *, const event_t *);
static void take_arrival(world_t *, size_t);
static void fill_prefixes(uint64_t, uint32_t, uint64_t, uint32_t *, uint64_t *);
static void take_submit(world_t *, const event_t *);
static void take_cancel(world_t *, const event_t *);
static void take_backend(world_t *, const event_t *);
static void take_timeout(world_t *, const event_t *);
static void take_cap_event(world_t *, const event_t *);
static void take_message(world_t *, const event_t *);
static void take_tick(world_t *, uint32_t);
static void take_report(world_t *, uint32_t);
static void take_fault(world_t *, const bench_fault_t *);
static void kill_server(world_t *, uint32_t);
static void restart_server(world_t *, uint32_t);
static void thaw(world_t *, uint32_t);
static void begin_step(world_t *, uint32_t);
static void end_step(world_t *, const event_t *);
static void emit_backend(void *, const bench_stream_t *, jj_backend_kind_t);
static void settle(world_t *, uint32_t, jj_actions_t *);
static void offer_batch(world_t *, uint32_t, jj_actions_t *);
static void offer_capped(world_t *);
static item_t *make_item(world_t *);
static item_t *find_item(world_t *, uint64_t);
static void end_item(world_t *, item_t *, bool);
static void do_actions(world_t *, uint32_t, jj_actions_t *);
static void measure_message(world_t *, const jj_message_t *);
static void do_start(world_t *, uint32_t, const jj_backend_start_t *);
static void do_answer(world_t *, const jj_answer_t *);
static void submit_stream(world_t *, uint32_t, uint32_t, uint64_t, uint32_t);
static uint32_t find_server(const char *);
static jj_ms_t now_ms(const world_t *);
static void push(world_t *, event_kind_t, int64_t, uint32_t);

void
world_run(const bench_scenario_t *scenario, const policy_t *policy, run_t *run)
{
	world_t *world = jj_alloc(sizeof(*world));
	event_t event;
	item_t *item;
	item_t *next;
	uint32_t i;

	memset(run, 0, sizeof(*run));
	world->scenario = scenario;
	world->policy = *policy;
	world->run = run;
	world->random = scenario->seed;
	world->batch_random = scenario->seed ^ 0xba7c4;
	world->reports = true;
	LIST_INIT(&world->items);
	world->end_us = WORLD_WARM_US + (int64_t)(scenario->seconds * 1e6);
	for (i = 0; i < scenario->servers; i++)
		engine_create(
		    &world->engines[i], scenario, scenario->seed * 1000 + i);
	world->count_us = WORLD_WARM_US;
	if (scenario->measures_seconds) {
		run->second_count = (size_t)scenario->seconds;
		run->batch_running =
		    jj_alloc((run->second_count + 1) * sizeof(uint64_t));
	}
	make_calls(world);
	create_vms(world);
	schedule_start(world);
	run_events(world);
	for (i = 0; i < scenario->vms; i++) {
		jj_dispatch_destroy(world->vms[i].dispatch);
		jj_quarantine_destroy(world->vms[i].quarantine);
		jj_member_destroy(world->vms[i].member);
		jj_fleet_destroy(world->vms[i].fleet);
		jj_config_destroy(world->vms[i].config);
	}
	for (i = 0; i < world->held_count; i++)
		events_push(&world->events, &world->held[i]);
	while (events_pop(&world->events, &event)) {
		if (event.kind == EVENT_MESSAGE)
			jj_message_clear(event.pointer);
		free(event.pointer);
	}
	for (i = 0; i < scenario->servers; i++) {
		run->idle_tokens += world->engines[i].idle_tokens;
		engine_destroy(&world->engines[i]);
	}
	for (item = LIST_FIRST(&world->items); item != NULL; item = next) {
		next = LIST_NEXT(item, link);
		free(item);
	}
	events_destroy(&world->events);
	free(world->held);
	free(world);
}

void
run_merge(run_t *sum, const run_t *run)
{
	size_t count = sum->call_count + run->call_count;
	size_t i;

	sum->calls = jj_realloc(sum->calls, (count + 1) * sizeof(call_t));
	memcpy(sum->calls + sum->call_count, run->calls,
	    run->call_count * sizeof(call_t));
	sum->call_count = count;
	sum->batch_done += run->batch_done;
	sum->batch_tokens += run->batch_tokens;
	sum->batch_lost += run->batch_lost;
	sum->batch_withdrawn += run->batch_withdrawn;
	sum->idle_tokens += run->idle_tokens;
	sum->messages += run->messages;
	for (i = 0; i < JJ_MESSAGE_KIND_END; i++) {
		sum->sent[i] += run->sent[i];
		sum->sent_bytes[i] += run->sent_bytes[i];
	}
	for (i = 0; i < sum->second_count; i++)
		sum->batch_running[i] += run->batch_running[i];
}

void
run_destroy(run_t *run)
{
	free(run->calls);
	run->calls = NULL;
	free(run->batch_running);
	run->batch_running = NULL;
}

/* Arrivals: made at the start, so that all policies meet the same. */

static void
make_calls(world_t *world)
{
	const bench_scenario_t *scenario = world->scenario;
	call_t poison = {0};
	size_t size = 0;
	uint32_t i;

	for (i = 0; i < scenario->phase_count; i++)
		make_phase_calls(world, &scenario->phases[i], &size);
	for (i = 0; i < scenario->fault_count; i++) {
		if (scenario->faults[i].kind != BENCH_FAULT_POISON)
			continue;
		poison.arrival_us =
		    WORLD_WARM_US + (int64_t)(scenario->faults[i].at_s * 1e6);
		poison.poison = true;
		poison.tokens = 10;
		poison.fingerprint = (uint64_t)scenario->faults[i].value + 1;
		(void)jj_name_set(&poison.team, "poison");
		add_call(world, &size, &poison);
	}
	qsort(world->run->calls, world->run->call_count, sizeof(call_t),
	    compare_calls);
	for (i = 0; i < world->run->call_count; i++)
		world->run->calls[i].vm =
		    (uint32_t)(random_next(&world->random) % scenario->vms);
}

static void
make_phase_calls(world_t *world, const bench_phase_t *phase, size_t *size)
{
	double length = phase->to_s - phase->from_s;
	double most =
	    phase->rate > phase->rate_end ? phase->rate : phase->rate_end;
	double at = 0;
	double rate;
	call_t call = {0};

	call.team = phase->team;
	call.prompt = phase->prompt;
	while (most > 0) {
		at += random_exponential(&world->random, 1 / most);
		if (at >= length)
			return;
		rate =
		    phase->rate + (phase->rate_end - phase->rate) * at / length;
		if (random_share(&world->random) * most > rate)
			continue;
		call.arrival_us =
		    WORLD_WARM_US + (int64_t)((phase->from_s + at) * 1e6);
		call.tokens = phase->tokens / 3 +
		    (uint32_t)random_exponential(
			&world->random, phase->tokens * 2 / 3.0);
		if (call.tokens > phase->tokens * 4)
			call.tokens = phase->tokens * 4;
		call.prefix =
		    random_next(&world->random) % world->scenario->prefixes;
		call.fingerprint = random_next(&world->random) | 1ULL << 40;
		add_call(world, size, &call);
	}
}

static int
compare_calls(const void *a, const void *b)
{
	const call_t *left = a;
	const call_t *right = b;

	if (left->arrival_us != right->arrival_us)
		return left->arrival_us < right->arrival_us ? -1 : 1;
	return (left->fingerprint > right->fingerprint) -
	    (left->fingerprint < right->fingerprint);
}

static void
add_call(world_t *world, size_t *size, const call_t *call)
{
	run_t *run = world->run;

	if (run->call_count == *size) {
		*size = *size * 2 + 256;
		run->calls = jj_realloc(run->calls, *size * sizeof(call_t));
	}
	run->calls[run->call_count++] = *call;
}

/* VMs. */

static void
create_vms(world_t *world)
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
				jj_member_learn(world->vms[i].member,
				    &world->vms[j].name, &domain, "");
		}
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
	learn_servers(world, vm);
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
learn_servers(world_t *world, vm_t *vm)
{
	jj_server_t server = {0};
	char name[JJ_NAME_MAX + 1];
	uint32_t i;

	(void)jj_name_set(&server.domain, DOMAIN);
	(void)jj_name_set(&server.service, SERVICE);
	for (i = 0; i < world->scenario->servers; i++) {
		(void)snprintf(name, sizeof(name), "server-%u", i);
		(void)jj_name_set(&server.name, name);
		server.boot = world->engines[i].boot;
		server.state = JJ_SERVER_UP;
		jj_fleet_learn(vm->fleet, &server);
	}
}

static void
schedule_start(world_t *world)
{
	const bench_scenario_t *scenario = world->scenario;
	event_t event = {.kind = EVENT_ARRIVAL};
	size_t i;

	for (i = 0; i < scenario->vms; i++)
		push(world, EVENT_TICK, (int64_t)i * 1000, (uint32_t)i);
	for (i = 0; i < scenario->servers; i++)
		push(world, EVENT_REPORT, REPORT_US, (uint32_t)i);
	for (i = 0; i < world->run->call_count; i++) {
		event.at_us = world->run->calls[i].arrival_us;
		event.request = i;
		events_push(&world->events, &event);
	}
	event.kind = EVENT_FAULT;
	for (i = 0; i < scenario->fault_count; i++) {
		event.at_us =
		    WORLD_WARM_US + (int64_t)(scenario->faults[i].at_s * 1e6);
		event.request = i;
		events_push(&world->events, &event);
	}
}

static void
run_events(world_t *world)
{
	int64_t from_us =
	    WORLD_WARM_US + (int64_t)(world->scenario->batch_from_s * 1e6);
	event_t event;
	uint32_t i;

	while (events_pop(&world->events, &event)) {
		world->now_us = event.at_us;
		if (!world->batch_counts && event.at_us >= from_us) {
			world->batch_counts = true;
			for (i = 0; i < world->scenario->servers; i++) {
				engine_settle(&world->engines[i], from_us);
				world->engines[i].idle_tokens = 0;
			}
		}
		if (event.at_us > world->end_us) {
			events_push(&world->events, &event);
			break;
		}
		count_batch(world);
		handle(world, &event);
	}
	for (i = 0; i < world->scenario->servers; i++)
		engine_settle(&world->engines[i], world->end_us);
}

/* Nothing changes between two events, so one count stands for what is due. */
static void
count_batch(world_t *world)
{
	run_t *run = world->run;
	size_t second;
	uint32_t i;

	if (run->second_count == 0)
		return;
	for (; world->count_us <= world->now_us; world->count_us += COUNT_US) {
		second = (size_t)((world->count_us - WORLD_WARM_US) / 1000000);
		if (second >= run->second_count)
			return;
		for (i = 0; i < world->scenario->servers; i++)
			run->batch_running[second] +=
			    count_batch_streams(&world->engines[i]);
	}
}

static uint32_t
count_batch_streams(const bench_engine_t *engine)
{
	const bench_stream_t *stream;
	uint32_t count = 0;

	TAILQ_FOREACH(stream, &engine->running, link)
	count += !stream->online;
	return count;
}

static void
handle(world_t *world, event_t *event)
{
	if (hold(world, event))
		return;
	switch (event->kind) {
	case EVENT_ARRIVAL:
		take_arrival(world, event->request);
		break;
	case EVENT_SUBMIT:
		take_submit(world, event);
		break;
	case EVENT_CANCEL:
		take_cancel(world, event);
		break;
	case EVENT_STEP:
		end_step(world, event);
		break;
	case EVENT_BACKEND:
		take_backend(world, event);
		break;
	case EVENT_TIMEOUT:
		take_timeout(world, event);
		break;
	case EVENT_MESSAGE:
		take_message(world, event);
		break;
	case EVENT_TICK:
		take_tick(world, event->target);
		break;
	case EVENT_REPORT:
		take_report(world, event->target);
		break;
	case EVENT_FAULT:
		take_fault(world, &world->scenario->faults[event->request]);
		break;
	case EVENT_CRASH:
	case EVENT_UP:
		take_backend(world, event);
		break;
	}
}

/* A frozen VM finds its events in their order when it goes on. */
static bool
hold(world_t *world, const event_t *event)
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
	if (!world->vms[event->target].frozen)
		return false;
	world->held =
	    jj_realloc(world->held, (world->held_count + 1) * sizeof(*event));
	world->held[world->held_count++] = *event;
	return true;
}

/* Callers. */

static void
take_arrival(world_t *world, size_t index)
{
	call_t *call = &world->run->calls[index];
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_request_t request = {0};

	/* The balancer sends nothing to a VM that does not answer. */
	while (world->vms[call->vm].frozen)
		call->vm = (call->vm + 1) % world->scenario->vms;
	request.request = index + 1;
	request.class_of = JJ_CLASS_ONLINE;
	(void)jj_name_set(&request.service, SERVICE);
	request.team = call->team;
	request.fingerprint = call->fingerprint;
	request.idempotent = true;
	request.deadline_ms = now_ms(world) + world->scenario->deadline_ms;
	request.prompt_tokens = call->prompt;
	request.output_tokens = call->tokens;
	fill_prefixes(call->prefix, call->prompt, request.request,
	    &request.prefix_count, request.prefix);
	jj_dispatch_begin(
	    world->vms[call->vm].dispatch, &request, now_ms(world), &actions);
	settle(world, call->vm, &actions);
}

/* The last block is the request's own, the others are shared. */
static void
fill_prefixes(uint64_t prefix, uint32_t prompt, uint64_t own, uint32_t *count,
    uint64_t *hashes)
{
	uint64_t seed = prefix + 1;
	uint32_t i;

	*count = prompt / BLOCK_TOKENS;
	if (*count > JJ_PREFIX_BLOCKS_MAX)
		*count = JJ_PREFIX_BLOCKS_MAX;
	for (i = 0; i < *count; i++) {
		if (i + 1 == *count)
			seed ^= own << 20;
		hashes[i] = random_next(&seed) | 1;
	}
}

static void
submit_stream(world_t *world, uint32_t vm, uint32_t server, uint64_t request,
    uint32_t attempt)
{
	bench_stream_t *stream = jj_alloc(sizeof(*stream));
	event_t event = {.kind = EVENT_SUBMIT};
	const call_t *call;
	const item_t *item;
	uint64_t prefix;

	stream->request = request;
	stream->attempt = attempt;
	stream->vm = vm;
	stream->online = (request & BATCH_BIT) == 0;
	if (stream->online) {
		call = &world->run->calls[request - 1];
		stream->length = call->tokens;
		stream->prompt = call->prompt;
		stream->poison = call->poison;
		prefix = call->prefix;
	} else {
		item = find_item(world, request);
		stream->length = item->tokens;
		stream->prompt = item->prompt;
		prefix = item->prefix;
	}
	if (stream->length == 0)
		stream->length = 1;
	fill_prefixes(prefix, stream->prompt, request, &stream->prefix_count,
	    stream->prefix);
	event.at_us = world->now_us + world->scenario->net_us;
	event.target = server;
	event.pointer = stream;
	events_push(&world->events, &event);
}

static void
take_submit(world_t *world, const event_t *event)
{
	bench_engine_t *engine = &world->engines[event->target];
	bench_stream_t *stream = event->pointer;
	event_t answer = {.kind = EVENT_BACKEND};

	if (engine->alive && !engine->leaving) {
		engine_submit(engine, stream);
		begin_step(world, event->target);
		return;
	}
	answer.at_us = world->now_us + world->scenario->net_us;
	answer.target = stream->vm;
	answer.server = event->target;
	answer.request = stream->request;
	answer.attempt = stream->attempt;
	answer.backend =
	    engine->alive ? JJ_BACKEND_LEAVING : JJ_BACKEND_NOT_SENT;
	events_push(&world->events, &answer);
	free(stream);
}

static void
take_cancel(world_t *world, const event_t *event)
{
	bool batch = (event->request & BATCH_BIT) != 0;
	int64_t lost = -1;
	uint32_t i;

	for (i = 0; i < world->scenario->servers && lost < 0; i++)
		lost = engine_cancel(
		    &world->engines[i], event->request, event->attempt);
	if (!batch)
		return;
	world->run->batch_withdrawn++;
	if (lost > 0)
		world->run->batch_lost += (uint64_t)lost;
}

/* What VMs hear. */

static void
take_backend(world_t *world, const event_t *event)
{
	vm_t *vm = &world->vms[event->target];
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_backend_event_t backend = {0};
	jj_name_t server;
	char name[JJ_NAME_MAX + 1];
	bool is_news;

	(void)snprintf(name, sizeof(name), "server-%u", event->server);
	(void)jj_name_set(&server, name);
	if (event->kind == EVENT_CRASH) {
		jj_dispatch_take_crash(vm->dispatch, &server, event->boot,
		    now_ms(world), &actions);
		settle(world, event->target, &actions);
		return;
	}
	if (event->kind == EVENT_UP) {
		jj_fleet_note(vm->fleet, &server, JJ_SERVER_UP, event->boot,
		    now_ms(world), &actions, &is_news);
		settle(world, event->target, &actions);
		return;
	}
	if ((event->request & BATCH_BIT) != 0 &&
	    world->policy.kind == POLICY_CAP) {
		take_cap_event(world, event);
		return;
	}
	backend.request = event->request;
	backend.attempt = event->attempt;
	backend.kind = event->backend;
	backend.tokens = event->backend == JJ_BACKEND_TOKENS ? 1 : 0;
	if ((event->request & BATCH_BIT) != 0) {
		if (event->backend == JJ_BACKEND_DONE &&
		    find_item(world, event->request) != NULL)
			end_item(world, find_item(world, event->request), true);
	} else if (world->run->calls[event->request - 1].state == CALL_OPEN &&
	    world->run->calls[event->request - 1].starts == event->attempt) {
		call_t *call = &world->run->calls[event->request - 1];

		if (event->backend == JJ_BACKEND_FIRST)
			call->first_us = world->now_us;
		if (event->backend == JJ_BACKEND_DONE) {
			call->state = CALL_DONE;
			call->end_us = world->now_us;
		}
	}
	jj_dispatch_take_event(vm->dispatch, &backend, now_ms(world), &actions);
	settle(world, event->target, &actions);
}

static void
take_timeout(world_t *world, const event_t *event)
{
	event_t backend = *event;

	if (engine_cancel(&world->engines[event->server], event->request,
		event->attempt) < 0)
		return;
	backend.kind = EVENT_BACKEND;
	backend.backend = JJ_BACKEND_TIMEOUT;
	take_backend(world, &backend);
}

static void
take_cap_event(world_t *world, const event_t *event)
{
	item_t *item = find_item(world, event->request);

	if (item == NULL || event->backend == JJ_BACKEND_FIRST ||
	    event->backend == JJ_BACKEND_TOKENS)
		return;
	world->capped[item->server]--;
	end_item(world, item, event->backend == JJ_BACKEND_DONE);
	offer_capped(world);
}

static void
take_message(world_t *world, const event_t *event)
{
	vm_t *vm = &world->vms[event->target];
	jj_message_t *message = event->pointer;
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_ms_t now = now_ms(world);

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
	settle(world, event->target, &actions);
}

static void
take_tick(world_t *world, uint32_t index)
{
	vm_t *vm = &world->vms[index];
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	jj_ms_t now = now_ms(world);

	if (jj_member_next(vm->member) <= now) {
		jj_member_set_loads(vm->member, loads,
		    jj_dispatch_loads(
			vm->dispatch, loads, JJ_MESSAGE_LOADS_MAX));
		jj_member_tick(vm->member, now, &actions);
	}
	if (jj_dispatch_next(vm->dispatch) <= now)
		jj_dispatch_tick(vm->dispatch, now, &actions);
	settle(world, index, &actions);
	if (world->policy.kind == POLICY_CAP)
		offer_capped(world);
	push(world, EVENT_TICK, world->now_us + TICK_US, index);
}

static void
take_report(world_t *world, uint32_t server)
{
	const bench_engine_t *engine = &world->engines[server];
	jj_name_t name;
	char text[JJ_NAME_MAX + 1];
	uint32_t i;

	push(world, EVENT_REPORT, world->now_us + REPORT_US, server);
	if (!world->reports || !engine->alive)
		return;
	(void)snprintf(text, sizeof(text), "server-%u", server);
	(void)jj_name_set(&name, text);
	for (i = 0; i < world->scenario->vms; i++)
		jj_dispatch_take_report(world->vms[i].dispatch, &name,
		    engine->running_count, engine->waiting_count,
		    REPORT_US / 1000, now_ms(world));
}

/* Faults. */

static void
take_fault(world_t *world, const bench_fault_t *fault)
{
	bench_engine_t *engine = &world->engines[fault->target];

	switch (fault->kind) {
	case BENCH_FAULT_SLOW:
		engine_settle(engine, world->now_us);
		engine->slow = fault->value;
		break;
	case BENCH_FAULT_FAIL:
		engine->fail_share = fault->value;
		break;
	case BENCH_FAULT_KILL:
		kill_server(world, fault->target);
		break;
	case BENCH_FAULT_RESTART:
		restart_server(world, fault->target);
		break;
	case BENCH_FAULT_LEAVE:
		engine->leaving = true;
		break;
	case BENCH_FAULT_FREEZE:
		world->vms[fault->target].frozen = true;
		break;
	case BENCH_FAULT_THAW:
		thaw(world, fault->target);
		break;
	case BENCH_FAULT_REPORTS:
		world->reports = fault->value != 0;
		break;
	default:
		break;
	}
}

static void
kill_server(world_t *world, uint32_t server)
{
	emit_ctx_t ctx = {world, server};
	event_t event = {.kind = EVENT_CRASH};
	uint32_t i;

	engine_kill(&world->engines[server], world->now_us, emit_backend, &ctx);
	event.server = server;
	event.boot = world->engines[server].boot;
	for (i = 0; i < world->scenario->vms; i++) {
		event.target = i;
		event.at_us = world->now_us + PROBE_US + (int64_t)i * 10000;
		events_push(&world->events, &event);
	}
}

static void
restart_server(world_t *world, uint32_t server)
{
	event_t event = {.kind = EVENT_UP};
	uint32_t i;

	if (world->engines[server].alive)
		return;
	engine_restart(&world->engines[server], world->now_us);
	event.server = server;
	event.boot = world->engines[server].boot;
	for (i = 0; i < world->scenario->vms; i++) {
		event.target = i;
		event.at_us = world->now_us + PROBE_US + (int64_t)i * 10000;
		events_push(&world->events, &event);
	}
}

static void
thaw(world_t *world, uint32_t vm)
{
	size_t kept = 0;
	size_t i;

	world->vms[vm].frozen = false;
	for (i = 0; i < world->held_count; i++) {
		if (world->held[i].target != vm) {
			world->held[kept++] = world->held[i];
			continue;
		}
		world->held[i].at_us = world->now_us;
		events_push(&world->events, &world->held[i]);
	}
	world->held_count = kept;
}

/* Servers. */

static void
begin_step(world_t *world, uint32_t server)
{
	bench_engine_t *engine = &world->engines[server];
	event_t event = {.kind = EVENT_STEP};
	bool crashed;
	int64_t length = engine_begin_step(engine, world->now_us, &crashed);

	if (crashed) {
		kill_server(world, server);
		event.at_us = world->now_us + RESTART_US;
		event.target = server;
		event.attempt = UINT32_MAX;
		events_push(&world->events, &event);
		return;
	}
	if (length == 0)
		return;
	event.at_us = world->now_us + length;
	event.target = server;
	event.attempt = engine->epoch;
	events_push(&world->events, &event);
}

static void
end_step(world_t *world, const event_t *event)
{
	bench_engine_t *engine = &world->engines[event->target];
	emit_ctx_t ctx = {world, event->target};

	if (event->attempt == UINT32_MAX) {
		restart_server(world, event->target);
		return;
	}
	if (event->attempt != engine->epoch)
		return;
	engine_end_step(engine, world->now_us, emit_backend, &ctx);
	begin_step(world, event->target);
}

static void
emit_backend(
    void *context, const bench_stream_t *stream, jj_backend_kind_t kind)
{
	const emit_ctx_t *ctx = context;
	world_t *world = ctx->world;
	event_t event = {.kind = EVENT_BACKEND};

	event.at_us = world->now_us + world->scenario->net_us;
	event.target = stream->vm;
	event.server = ctx->server;
	event.request = stream->request;
	event.attempt = stream->attempt;
	event.backend = kind;
	events_push(&world->events, &event);
}

/* What VMs do. */

/* Carries out what the VM decided, and what it decides on top of that. */
static void
settle(world_t *world, uint32_t vm, jj_actions_t *actions)
{
	jj_dispatch_t *dispatch = world->vms[vm].dispatch;

	do_actions(world, vm, actions);
	if (jj_dispatch_next(dispatch) <= now_ms(world)) {
		jj_dispatch_tick(dispatch, now_ms(world), actions);
		do_actions(world, vm, actions);
	}
	if (world->policy.kind == POLICY_JUJUBE)
		offer_batch(world, vm, actions);
}

static void
offer_batch(world_t *world, uint32_t vm, jj_actions_t *actions)
{
	jj_dispatch_t *dispatch = world->vms[vm].dispatch;
	jj_request_t request = {0};
	item_t *item;
	uint32_t room;

	if (!world->batch_counts)
		return;
	room = jj_dispatch_batch_room(dispatch, now_ms(world));
	while (room > 0) {
		item = make_item(world);
		request.request = item->request;
		request.class_of = JJ_CLASS_BATCH;
		(void)jj_name_set(&request.service, SERVICE);
		request.fingerprint = item->request;
		request.idempotent = true;
		request.deadline_ms = JJ_MS_NEVER;
		request.prompt_tokens = item->prompt;
		request.output_tokens = item->tokens;
		fill_prefixes(item->prefix, item->prompt, item->request,
		    &request.prefix_count, request.prefix);
		jj_dispatch_begin(dispatch, &request, now_ms(world), actions);
		do_actions(world, vm, actions);
		room--;
		if (jj_dispatch_batch_room(dispatch, now_ms(world)) == 0)
			break;
	}
}

/* The baselines: so many batch streams per server, whatever happens. */
static void
offer_capped(world_t *world)
{
	uint32_t server;
	item_t *item;

	if (!world->batch_counts)
		return;
	for (server = 0; server < world->scenario->servers; server++) {
		if (!world->engines[server].alive ||
		    world->engines[server].leaving)
			continue;
		while (world->capped[server] < world->policy.cap) {
			item = make_item(world);
			item->server = server;
			world->capped[server]++;
			submit_stream(world, server % world->scenario->vms,
			    server, item->request, 1);
		}
	}
}

static item_t *
make_item(world_t *world)
{
	const bench_scenario_t *scenario = world->scenario;
	item_t *item = jj_alloc(sizeof(*item));

	item->request = ++world->batch_number | BATCH_BIT;
	item->tokens = scenario->batch_tokens / 2 +
	    (uint32_t)(random_share(&world->batch_random) *
		scenario->batch_tokens);
	item->prompt = scenario->batch_prompt;
	/* One job's items begin alike. */
	item->prefix = 1000000;
	LIST_INSERT_HEAD(&world->items, item, link);
	return item;
}

static item_t *
find_item(world_t *world, uint64_t request)
{
	item_t *item;

	LIST_FOREACH(item, &world->items, link)
	{
		if (item->request == request)
			return item;
	}
	return NULL;
}

static void
end_item(world_t *world, item_t *item, bool done)
{
	if (done) {
		world->run->batch_done++;
		world->run->batch_tokens += item->tokens;
	}
	LIST_REMOVE(item, link);
	free(item);
}

static void
do_actions(world_t *world, uint32_t vm, jj_actions_t *actions)
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
			measure_message(world, action->body.send.message);
			event.kind = EVENT_MESSAGE;
			event.pointer = action->body.send.message;
			event.target = (uint32_t)atoi(
			    action->body.send.to.text + strlen("vm-"));
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

/* What the warm-up sends is not counted. */
static void
measure_message(world_t *world, const jj_message_t *message)
{
	jj_bytes_t bytes;

	if (!world->scenario->measures_bytes || !world->batch_counts)
		return;
	bytes = jj_wire_encode(message);
	world->run->sent[message->kind]++;
	world->run->sent_bytes[message->kind] += bytes.size;
	jj_bytes_free(&bytes);
}

static void
do_start(world_t *world, uint32_t vm, const jj_backend_start_t *start)
{
	event_t timeout = {.kind = EVENT_TIMEOUT};
	uint32_t server = find_server(start->server.text);

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
	submit_stream(world, vm, server, start->request, start->attempt);
}

static void
do_answer(world_t *world, const jj_answer_t *answer)
{
	call_t *call;

	if ((answer->request & BATCH_BIT) != 0) {
		if (find_item(world, answer->request) != NULL)
			end_item(
			    world, find_item(world, answer->request), false);
		return;
	}
	call = &world->run->calls[answer->request - 1];
	if (call->state != CALL_OPEN)
		return;
	call->state = CALL_REFUSED;
	call->reason = answer->reason;
	call->end_us = world->now_us;
}

static uint32_t
find_server(const char *name)
{
	return (uint32_t)atoi(name + strlen("server-"));
}

static jj_ms_t
now_ms(const world_t *world)
{
	return world->now_us / 1000;
}

static void
push(world_t *world, event_kind_t kind, int64_t at_us, uint32_t target)
{
	event_t event = {.kind = kind, .at_us = at_us, .target = target};

	events_push(&world->events, &event);
}
