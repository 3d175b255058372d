/**
 * @file servers.c
 * @brief Simulated servers: streams, steps, load reports and faults.
 */
#include <stdlib.h>

#include "batch_side.h"
#include "callers.h"
#include "servers.h"
#include "vms.h"

/* Time until a VM's probe detects that a server is down or up. */
#define PROBE_DELAY_US 100000
/* Time until a server that a request has killed restarts. */
#define RESTART_DELAY_US 5000000

typedef struct {
	world_t *world;
	uint32_t server;
} emit_ctx_t;

static void kill_server(world_t *, uint32_t);
static void restart_server(world_t *, uint32_t);
static void notify_vms(world_t *, event_kind_t, uint32_t);
static void begin_step(world_t *, uint32_t);
static void emit_backend(void *, const bench_stream_t *, jj_backend_kind_t);
static void
answer_vm(world_t *, uint32_t, const bench_stream_t *, jj_backend_kind_t);

void
servers_submit(world_t *world, uint32_t vm, uint32_t server, uint64_t request,
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
		item = batch_find(world, request);
		stream->length = item->tokens;
		stream->prompt = item->prompt;
		prefix = item->prefix;
	}
	if (stream->length == 0)
		stream->length = 1;
	callers_fill_prefixes(prefix, stream->prompt, request,
	    &stream->prefix_count, stream->prefix);
	event.at_us = world->now_us + world->scenario->net_us;
	event.target = server;
	event.pointer = stream;
	events_push(&world->events, &event);
}

void
servers_handle_submit(world_t *world, const event_t *event)
{
	bench_engine_t *engine = &world->engines[event->target];
	bench_stream_t *stream = event->pointer;

	if (engine->alive && !engine->leaving) {
		engine_submit(engine, stream);
		begin_step(world, event->target);
		return;
	}
	answer_vm(world, event->target, stream,
	    engine->alive ? JJ_BACKEND_LEAVING : JJ_BACKEND_NOT_SENT);
	free(stream);
}

void
servers_handle_cancel(world_t *world, const event_t *event)
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

void
servers_handle_step(world_t *world, const event_t *event)
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

void
servers_handle_report(world_t *world, const event_t *event)
{
	const bench_engine_t *engine = &world->engines[event->target];
	jj_name_t name = world_server_name(event->target);
	uint32_t i;

	world_push(world, EVENT_REPORT, world->now_us + WORLD_REPORT_US,
	    event->target);
	if (!world->reports || !engine->alive)
		return;
	for (i = 0; i < world->scenario->vms; i++)
		jj_dispatch_take_report(world->vms[i].dispatch, &name,
		    engine->running_count, engine->waiting_count,
		    WORLD_REPORT_US / 1000, world_now_ms(world));
}

void
servers_handle_fault(world_t *world, const event_t *event)
{
	const bench_fault_t *fault = &world->scenario->faults[event->request];
	bench_engine_t *engine = &world->engines[fault->target];

	switch (fault->kind) {
	case BENCH_FAULT_SLOW:
		engine_count_idle(engine, world->now_us);
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
		world->vms[fault->target].paused = true;
		break;
	case BENCH_FAULT_THAW:
		vms_resume(world, fault->target);
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

	engine_kill(&world->engines[server], world->now_us, emit_backend, &ctx);
	notify_vms(world, EVENT_CRASH, server);
}

static void
restart_server(world_t *world, uint32_t server)
{
	if (world->engines[server].alive)
		return;
	engine_restart(&world->engines[server], world->now_us);
	notify_vms(world, EVENT_UP, server);
}

static void
notify_vms(world_t *world, event_kind_t kind, uint32_t server)
{
	event_t event = {.kind = kind, .server = server};
	uint32_t i;

	event.boot = world->engines[server].boot;
	for (i = 0; i < world->scenario->vms; i++) {
		event.target = i;
		event.at_us =
		    world->now_us + PROBE_DELAY_US + (int64_t)i * 10000;
		events_push(&world->events, &event);
	}
}

static void
begin_step(world_t *world, uint32_t server)
{
	bench_engine_t *engine = &world->engines[server];
	event_t event = {.kind = EVENT_STEP};
	bool crashed;
	int64_t length = engine_begin_step(engine, world->now_us, &crashed);

	if (crashed) {
		kill_server(world, server);
		event.at_us = world->now_us + RESTART_DELAY_US;
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
emit_backend(
    void *context, const bench_stream_t *stream, jj_backend_kind_t kind)
{
	const emit_ctx_t *ctx = context;

	answer_vm(ctx->world, ctx->server, stream, kind);
}

static void
answer_vm(world_t *world, uint32_t server, const bench_stream_t *stream,
    jj_backend_kind_t kind)
{
	event_t event = {.kind = EVENT_BACKEND};

	event.at_us = world->now_us + world->scenario->net_us;
	event.target = stream->vm;
	event.server = server;
	event.request = stream->request;
	event.attempt = stream->attempt;
	event.backend = kind;
	events_push(&world->events, &event);
}
