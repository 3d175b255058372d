/**
 * @file batch_side.c
 * @brief Batch items: submission, completion, and the baseline policies.
 */
#include <stdlib.h>

#include "batch_side.h"
#include "callers.h"
#include "random.h"
#include "servers.h"
#include "vms.h"

static item_t *make_item(world_t *);
static void end_item(world_t *, item_t *, bool);

void
batch_offer(world_t *world, uint32_t vm, jj_actions_t *actions)
{
	jj_dispatch_t *dispatch = world->vms[vm].dispatch;
	jj_request_t request = {0};
	item_t *item;
	uint32_t capacity;

	if (!world->batch_offered)
		return;
	capacity = jj_dispatch_batch_capacity(dispatch, world_now_ms(world));
	while (capacity > 0) {
		item = make_item(world);
		request.request = item->request;
		request.class_of = JJ_CLASS_BATCH;
		(void)jj_name_set(&request.service, SERVICE);
		request.fingerprint = item->request;
		request.idempotent = true;
		request.deadline_ms = JJ_MS_NEVER;
		request.prompt_tokens = item->prompt;
		request.output_tokens = item->tokens;
		callers_fill_prefixes(item->prefix, item->prompt, item->request,
		    &request.prefix_count, request.prefix);
		jj_dispatch_begin(
		    dispatch, &request, world_now_ms(world), actions);
		vms_do_actions(world, vm, actions);
		capacity--;
		if (jj_dispatch_batch_capacity(dispatch, world_now_ms(world)) ==
		    0)
			break;
	}
}

/* Baseline: a fixed number of batch streams per server at any load. */
void
batch_offer_capped(world_t *world)
{
	uint32_t server;
	item_t *item;

	if (!world->batch_offered)
		return;
	for (server = 0; server < world->scenario->servers; server++) {
		if (!world->engines[server].alive ||
		    world->engines[server].leaving)
			continue;
		while (world->capped_streams[server] < world->policy.cap) {
			item = make_item(world);
			item->server = server;
			world->capped_streams[server]++;
			servers_submit(world, server % world->scenario->vms,
			    server, item->request, 1);
		}
	}
}

void
batch_handle_cap_event(world_t *world, const event_t *event)
{
	item_t *item = batch_find(world, event->request);

	if (item == NULL || event->backend == JJ_BACKEND_FIRST ||
	    event->backend == JJ_BACKEND_TOKENS)
		return;
	world->capped_streams[item->server]--;
	end_item(world, item, event->backend == JJ_BACKEND_DONE);
	batch_offer_capped(world);
}

void
batch_end(world_t *world, uint64_t request, bool done)
{
	item_t *item = batch_find(world, request);

	if (item != NULL)
		end_item(world, item, done);
}

item_t *
batch_find(world_t *world, uint64_t request)
{
	item_t *item;

	LIST_FOREACH(item, &world->items, link)
	{
		if (item->request == request)
			return item;
	}
	return NULL;
}

void
batch_destroy(world_t *world)
{
	item_t *item;
	item_t *next;

	for (item = LIST_FIRST(&world->items); item != NULL; item = next) {
		next = LIST_NEXT(item, link);
		free(item);
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
	/* All items share one prompt prefix, as those of one job do. */
	item->prefix = 1000000;
	LIST_INSERT_HEAD(&world->items, item, link);
	return item;
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
