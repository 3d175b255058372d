/**
 * @file callers.c
 * @brief Online requests as seen by their callers: arrival and outcome.
 */
#include <stdlib.h>

#include "callers.h"
#include "random.h"
#include "vms.h"

#define BLOCK_TOKENS 64

static void make_phase_calls(world_t *, const bench_phase_t *, size_t *);
static int compare_calls(const void *, const void *);
static void add_call(world_t *, size_t *, const call_t *);

void
callers_make(world_t *world)
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
		poison.arrival_us = world_at_us(scenario->faults[i].at_s);
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

void
callers_handle_arrival(world_t *world, const event_t *event)
{
	call_t *call = &world->run->calls[event->request];
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_request_t request = {0};

	/* The load balancer skips VMs that do not answer. */
	while (world->vms[call->vm].paused)
		call->vm = (call->vm + 1) % world->scenario->vms;
	request.request = event->request + 1;
	request.class_of = JJ_CLASS_ONLINE;
	(void)jj_name_set(&request.service, SERVICE);
	request.team = call->team;
	request.fingerprint = call->fingerprint;
	request.idempotent = true;
	request.deadline_ms =
	    world_now_ms(world) + world->scenario->deadline_ms;
	request.prompt_tokens = call->prompt;
	request.output_tokens = call->tokens;
	callers_fill_prefixes(call->prefix, call->prompt, request.request,
	    &request.prefix_count, request.prefix);
	jj_dispatch_begin(world->vms[call->vm].dispatch, &request,
	    world_now_ms(world), &actions);
	vms_do_actions_and_tick(world, call->vm, &actions);
}

void
callers_handle_event(world_t *world, const event_t *event)
{
	call_t *call = &world->run->calls[event->request - 1];

	if (call->state != CALL_OPEN || call->starts != event->attempt)
		return;
	if (event->backend == JJ_BACKEND_FIRST)
		call->first_us = world->now_us;
	if (event->backend == JJ_BACKEND_DONE) {
		call->state = CALL_DONE;
		call->end_us = world->now_us;
	}
}

void
callers_handle_answer(world_t *world, const jj_answer_t *answer)
{
	call_t *call = &world->run->calls[answer->request - 1];

	if (call->state != CALL_OPEN)
		return;
	call->state = CALL_REFUSED;
	call->reason = answer->reason;
	call->end_us = world->now_us;
}

/* The last block is unique to the request, the others are shared. */
void
callers_fill_prefixes(uint64_t prefix, uint32_t prompt, uint64_t request_id,
    uint32_t *count, uint64_t *hashes)
{
	uint64_t seed = prefix + 1;
	uint32_t i;

	*count = prompt / BLOCK_TOKENS;
	if (*count > JJ_PREFIX_BLOCKS_MAX)
		*count = JJ_PREFIX_BLOCKS_MAX;
	for (i = 0; i < *count; i++) {
		if (i + 1 == *count)
			seed ^= request_id << 20;
		hashes[i] = random_next(&seed) | 1;
	}
}

static void
make_phase_calls(world_t *world, const bench_phase_t *phase, size_t *size)
{
	double length = phase->to_s - phase->from_s;
	double max_rate =
	    phase->rate > phase->rate_end ? phase->rate : phase->rate_end;
	double at_s = 0;
	double rate;
	call_t call = {0};

	call.team = phase->team;
	call.prompt = phase->prompt;
	while (max_rate > 0) {
		at_s += random_exponential(&world->random, 1 / max_rate);
		if (at_s >= length)
			return;
		rate = phase->rate +
		    (phase->rate_end - phase->rate) * at_s / length;
		if (random_share(&world->random) * max_rate > rate)
			continue;
		call.arrival_us = world_at_us(phase->from_s + at_s);
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
