/**
 * @file dispatch_server.c
 * @brief Maintains the views of servers and scores them.
 */
#include <float.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch_server.h"

/* Weight of the newest attempt in a server's failure rate. */
#define FAILURE_WEIGHT 0.2
/* A server that fails all attempts costs this many times more in addition. */
#define FAILURE_COST 8.0
/* Token gap assumed for a server without a measurement. */
#define DEFAULT_GAP_US 10000.0
/* Tokens per request assumed when load is converted to cost. */
#define TYPICAL_TOKENS 4.0
/* Time that a cached prefix block (64 tokens) saves, microseconds. */
#define BLOCK_SAVES_US 1500.0
/*
 * Minimum limit used for scoring: at a load equal to the limit a server costs
 * twice as much as an idle one.
 */
#define DEFAULT_LIMIT 16.0
/*
 * A batch item counts as this share of an online request: it can be cancelled,
 * but its slot is free only at the engine's next step.
 */
#define BATCH_LOAD 0.7
/* The server where a request failed before is the last resort. */
#define AVOID_COST_US 1e9
/* So are servers of other failure domains, as their load is not known here. */
#define REMOTE_COST_US 1e8
/*
 * Lower bound of the cost of a server of another domain, with every prefix
 * block cached.
 */
#define REMOTE_MIN_US (REMOTE_COST_US - JJ_PREFIX_BLOCKS_MAX * BLOCK_SAVES_US)

static double score(const jj_server_view_t *, const jj_server_need_t *);
static double spread(const jj_server_view_t *, const jj_server_need_t *);
static bool is_full(const jj_server_view_t *, const jj_server_need_t *);
static bool accepts_suspect(const jj_server_view_t *, const jj_server_need_t *);
static bool
is_open_in_round(const jj_server_view_t *, const jj_server_need_t *);
static jj_neighbour_load_t *
find_neighbour(jj_server_view_t *, const jj_name_t *);
static void sum_neighbours(jj_server_view_t *);

jj_server_view_t *
jj_server_view_create(const jj_server_t *server)
{
	jj_server_view_t *view = jj_alloc(sizeof(*view));

	view->name = server->name;
	view->service = server->service;
	view->hash = jj_dispatch_hash_server(&server->name);
	view->listed = true;
	return view;
}

void
jj_server_view_destroy(jj_server_view_t *view)
{
	free(view->neighbours);
	free(view->prefixes);
	free(view->broken);
	free(view);
}

void
jj_server_view_take_load(
    jj_server_view_t *view, const jj_name_t *from, const jj_load_t *load)
{
	jj_neighbour_load_t *neighbour = find_neighbour(view, from);

	neighbour->live = true;
	neighbour->online = load->online;
	neighbour->batch = load->batch;
	neighbour->suspects =
	    load->suspects < UINT16_MAX ? (uint16_t)load->suspects : UINT16_MAX;
	sum_neighbours(view);
}

/*
 * The last report of a failed or stalled neighbour would block request slots
 * for ever, so loads count only while heartbeats arrive from their VM.
 */
void
jj_server_view_refresh(jj_server_view_t *view, const jj_member_t *member)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < view->neighbour_count; i++) {
		if (jj_member_find(member, &view->neighbours[i].vm) == NULL)
			continue;
		view->neighbours[kept] = view->neighbours[i];
		view->neighbours[kept].live =
		    jj_member_is_live(member, &view->neighbours[i].vm);
		kept++;
	}
	view->neighbour_count = kept;
	sum_neighbours(view);
}

uint32_t
jj_server_view_running(const jj_server_view_t *view)
{
	return view->online + view->batch + view->others_online +
	    view->others_batch;
}

void
jj_server_view_note_outcome(jj_server_view_t *view, bool failed)
{
	view->failures +=
	    ((failed ? 1.0 : 0.0) - view->failures) * FAILURE_WEIGHT;
}

void
jj_server_view_add_prefix(jj_server_view_t *view, const jj_request_t *request)
{
	uint32_t i;

	for (i = 0; i < request->prefix_count; i++)
		jj_server_view_note_prefix(view, request->prefix[i], true);
}

void
jj_server_view_note_prefix(jj_server_view_t *view, uint64_t prefix, bool added)
{
	uint64_t *slot;

	if (view->prefixes == NULL)
		view->prefixes =
		    jj_alloc(JJ_PREFIX_TABLE_SIZE * sizeof(uint64_t));
	slot = &view->prefixes[prefix % JJ_PREFIX_TABLE_SIZE];
	if (added)
		*slot = prefix;
	else if (*slot == prefix)
		*slot = 0;
}

uint32_t
jj_server_view_match(const jj_server_view_t *view, const jj_request_t *request)
{
	uint32_t i;

	if (view->prefixes == NULL)
		return 0;
	for (i = 0; i < request->prefix_count; i++)
		if (view->prefixes[request->prefix[i] % JJ_PREFIX_TABLE_SIZE] !=
		    request->prefix[i])
			break;
	return i;
}

void
jj_server_view_note_broken(
    jj_server_view_t *view, uint64_t fingerprint, jj_ms_t now)
{
	uint32_t slot = view->broken_count % JJ_BROKEN_MAX;

	if (view->broken == NULL)
		view->broken = jj_alloc(JJ_BROKEN_MAX * sizeof(*view->broken));
	view->broken[slot].fingerprint = fingerprint;
	view->broken[slot].ms = now;
	view->broken_count++;
}

bool
jj_server_view_is_up(const jj_server_view_t *view, jj_ms_t now)
{
	return view->listed && view->up && now >= view->cooldown_until_ms;
}

jj_server_view_t *
jj_server_choose_online(
    const jj_server_views_t *views, const jj_server_need_t *need, jj_ms_t now)
{
	jj_server_view_t *view;
	jj_server_view_t *best = NULL;
	double best_cost = DBL_MAX;
	bool local_is_up = false;
	double cost;

	TAILQ_FOREACH(view, views, link)
	{
		if (!view->local && best_cost < REMOTE_MIN_US)
			break;
		if (!jj_server_view_is_up(view, now))
			continue;
		local_is_up = local_is_up || view->local;
		/*
		 * Where suspects run is reported within a domain only. A
		 * suspect from another domain could share a server with a local
		 * one, and the next crash would be counted against both, also
		 * the innocent one. So a suspect stays in its domain while a
		 * local server is up.
		 */
		if (need->suspect && !view->local && local_is_up)
			break;
		if (is_full(view, need))
			continue;
		if (need->suspect && !accepts_suspect(view, need))
			continue;
		cost = score(view, need);
		if (cost < best_cost) {
			best_cost = cost;
			best = view;
		}
	}
	return best;
}

jj_server_view_t *
jj_server_choose_batch(const jj_server_views_t *views,
    const jj_server_need_t *need, const jj_headroom_use_t *service, jj_ms_t now)
{
	jj_server_view_t *view;
	jj_server_view_t *best = NULL;
	jj_headroom_use_t use;
	uint32_t best_capacity = 0;
	uint32_t capacity;

	TAILQ_FOREACH(view, views, link)
	{
		/* A VM is steward of servers of its own domain only. */
		if (!view->local)
			break;
		if (!jj_server_view_is_up(view, now) || !view->steward)
			continue;
		if (need->suspect && view->suspects + view->others_suspects > 0)
			continue;
		use = jj_server_view_use(view, service);
		capacity = jj_headroom_free_slots(&view->headroom, &use, now);
		if (capacity == 0)
			continue;
		capacity += jj_server_view_match(view, need->request);
		if (capacity > best_capacity) {
			best_capacity = capacity;
			best = view;
		}
	}
	return best;
}

jj_headroom_use_t
jj_server_view_use(
    const jj_server_view_t *view, const jj_headroom_use_t *service)
{
	jj_headroom_use_t use = *service;

	use.online = view->online + view->others_online;
	use.batch = view->batch + view->others_batch;
	return use;
}

/*
 * Expected cost of the server in microseconds: its step time weighted by its
 * load, less the prefill time that its cache saves.
 */
static double
score(const jj_server_view_t *view, const jj_server_need_t *need)
{
	double gap =
	    view->headroom.gap_us > 0 ? view->headroom.gap_us : DEFAULT_GAP_US;
	double limit = view->headroom.limit > DEFAULT_LIMIT
	    ? view->headroom.limit
	    : DEFAULT_LIMIT;
	double load = view->online + view->others_online +
	    BATCH_LOAD * (view->batch + view->others_batch);
	double cost = gap * TYPICAL_TOKENS * (1 + load / limit) *
	    (1 + FAILURE_COST * view->failures);

	cost += gap * TYPICAL_TOKENS * spread(view, need) / limit;
	cost -= BLOCK_SAVES_US * jj_server_view_match(view, need->request);
	if (need->avoid != NULL && jj_name_equal(&view->name, need->avoid))
		cost += AVOID_COST_US;
	if (!view->local)
		cost += REMOTE_COST_US;
	return cost;
}

/*
 * A random load of up to half a request: VMs that know the same loads would
 * otherwise all send their next requests to the same server.
 */
static double
spread(const jj_server_view_t *view, const jj_server_need_t *need)
{
	uint64_t mixed =
	    jj_hash_bytes(&view->hash, sizeof(view->hash), need->salt);

	return (double)(mixed >> 32) / (double)UINT32_MAX / 2;
}

/*
 * When other VMs are overloaded they refill each free slot at once: a VM that
 * runs nothing would never find one, and its callers would wait for ever. So
 * each VM may always use its share; the others then see the server above its
 * limit and send nothing until all VMs have their share.
 */
static bool
is_full(const jj_server_view_t *view, const jj_server_need_t *need)
{
	return view->online + view->others_online >= need->online_max &&
	    view->online >= need->online_share;
}

static bool
accepts_suspect(const jj_server_view_t *view, const jj_server_need_t *need)
{
	if (view->suspects + view->others_suspects > 0)
		return false;
	/*
	 * The server where it broke has probably crashed: a retry there would
	 * be wasted.
	 */
	if (need->round == 0 && need->avoid != NULL &&
	    jj_name_equal(&view->name, need->avoid))
		return false;
	return is_open_in_round(view, need);
}

/*
 * A server may run one suspect at a time, counted over all VMs: with two, the
 * next crash would be the second one counted against an innocent request. So a
 * suspect goes first to servers that this VM is steward of, in the next round
 * to servers for which it is second in the rendezvous order, and so on.
 * Suspects that broke on the same server wait since the same moment, so in no
 * round may two VMs use the same server. A suspect that still runs from an
 * earlier round is known from the loads.
 */
static bool
is_open_in_round(const jj_server_view_t *view, const jj_server_need_t *need)
{
	uint64_t own = jj_rendezvous_weight(need->self->text, view->hash);
	size_t order = 0;
	size_t vms = 1;
	size_t i;

	for (i = 0; i < need->vm_count; i++) {
		if (jj_name_equal(&need->vms[i].name, need->self))
			continue;
		vms++;
		order += jj_rendezvous_weight(
			     need->vms[i].name.text, view->hash) > own;
	}
	return order == need->round % vms;
}

static jj_neighbour_load_t *
find_neighbour(jj_server_view_t *view, const jj_name_t *vm)
{
	jj_neighbour_load_t *neighbour;
	size_t i;

	for (i = 0; i < view->neighbour_count; i++)
		if (jj_name_equal(&view->neighbours[i].vm, vm))
			return &view->neighbours[i];
	view->neighbour_count++;
	view->neighbours = jj_realloc(view->neighbours,
	    view->neighbour_count * sizeof(*view->neighbours));
	neighbour = &view->neighbours[view->neighbour_count - 1];
	*neighbour = (jj_neighbour_load_t){.vm = *vm};
	return neighbour;
}

static void
sum_neighbours(jj_server_view_t *view)
{
	size_t i;

	view->others_online = 0;
	view->others_batch = 0;
	view->others_suspects = 0;
	for (i = 0; i < view->neighbour_count; i++) {
		if (!view->neighbours[i].live)
			continue;
		view->others_online += view->neighbours[i].online;
		view->others_batch += view->neighbours[i].batch;
		view->others_suspects += view->neighbours[i].suspects;
	}
}
