/**
 * @file dispatch_server.c
 * @brief Keeps the views and scores servers.
 */
#include <float.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch_server.h"

/* Weight of the newest outcome in the share of failures. */
#define FAILURE_WEIGHT 0.2
/* A server that fails everything costs this many times more. */
#define FAILURE_COST 8.0
/* A server this VM has no gap from is held for an ordinary one. */
#define DEFAULT_GAP_US 10000.0
/* Tokens a request is taken to run for when its load cost is weighed. */
#define TYPICAL_TOKENS 4.0
/* What a cached prefix block saves, microseconds (64 tokens). */
#define BLOCK_SAVES_US 1500.0
/* Load at which a server counts as half full when nothing was learned. */
#define DEFAULT_LIMIT 16.0
/* A batch item counts as so much of an online request: it gives way, but not
 * before the next step. */
#define BATCH_LOAD 0.7
/* Where a request failed before is chosen only when nothing else is left. */
#define AVOID_COST_US 1e9
/* Another failure domain is a last resort, too: its own load is unseen. */
#define REMOTE_COST_US 1e8
/* No server of another domain costs less, whatever its cache saves. */
#define REMOTE_LEAST_US (REMOTE_COST_US - JJ_PREFIX_BLOCKS_MAX * BLOCK_SAVES_US)

static double score(const jj_server_view_t *, const jj_server_need_t *);
static double spread(const jj_server_view_t *, const jj_server_need_t *);
static bool is_full(const jj_server_view_t *, const jj_server_need_t *);
static bool fits_suspect(const jj_server_view_t *, const jj_server_need_t *);
static bool has_turn(const jj_server_view_t *, const jj_server_need_t *);
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
 * What a dead or frozen neighbour last said would hold places for ever; its
 * word counts only while it is heard.
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
	uint64_t *place;

	if (view->prefixes == NULL)
		view->prefixes =
		    jj_alloc(JJ_PREFIX_TABLE_SIZE * sizeof(uint64_t));
	place = &view->prefixes[prefix % JJ_PREFIX_TABLE_SIZE];
	if (added)
		*place = prefix;
	else if (*place == prefix)
		*place = 0;
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
	uint32_t place = view->broken_count % JJ_BROKEN_MAX;

	if (view->broken == NULL)
		view->broken = jj_alloc(JJ_BROKEN_MAX * sizeof(*view->broken));
	view->broken[place].fingerprint = fingerprint;
	view->broken[place].ms = now;
	view->broken_count++;
}

bool
jj_server_view_is_up(const jj_server_view_t *view, jj_ms_t now)
{
	return view->listed && view->up && now >= view->rest_until_ms;
}

jj_server_view_t *
jj_server_choose_online(
    const jj_server_views_t *views, const jj_server_need_t *need, jj_ms_t now)
{
	jj_server_view_t *view;
	jj_server_view_t *best = NULL;
	double best_cost = DBL_MAX;
	bool home_is_up = false;
	double cost;

	TAILQ_FOREACH(view, views, link)
	{
		if (!view->local && best_cost < REMOTE_LEAST_US)
			break;
		if (!jj_server_view_is_up(view, now))
			continue;
		home_is_up = home_is_up || view->local;
		/*
		 * Guards an innocent suspect: who runs suspects is told within
		 * a domain only, so one from abroad would meet it on a server,
		 * and the next death would be its second.
		 */
		if (need->suspect && !view->local && home_is_up)
			break;
		if (is_full(view, need))
			continue;
		if (need->suspect && !fits_suspect(view, need))
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
	uint32_t best_room = 0;
	uint32_t room;

	TAILQ_FOREACH(view, views, link)
	{
		/* Stewards have the servers of their own domain only. */
		if (!view->local)
			break;
		if (!jj_server_view_is_up(view, now) || !view->steward)
			continue;
		if (need->suspect && view->suspects + view->others_suspects > 0)
			continue;
		use = jj_server_view_use(view, service);
		room = jj_headroom_room(&view->headroom, &use, now);
		if (room == 0)
			continue;
		room += jj_server_view_match(view, need->request);
		if (room > best_room) {
			best_room = room;
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
 * Expected microseconds that this server costs more than an idle one: its
 * step time weighed by its load, less the prefill that its cache saves.
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
 * Up to half a request's load, by chance: VMs that know the same loads would
 * all send their next requests to the same server.
 */
static double
spread(const jj_server_view_t *view, const jj_server_need_t *need)
{
	uint64_t mixed =
	    jj_hash_bytes(&view->hash, sizeof(view->hash), need->salt);

	return (double)(mixed >> 32) / (double)UINT32_MAX / 2;
}

/*
 * A flood at the other VMs refills each free place there at once: a VM that
 * runs nothing would never see one free, and its callers would wait for ever.
 * It may always have its share; the others then find the server over full
 * and hold back until all have theirs.
 */
static bool
is_full(const jj_server_view_t *view, const jj_server_need_t *need)
{
	return view->online + view->others_online >= need->online_most &&
	    view->online >= need->online_share;
}

static bool
fits_suspect(const jj_server_view_t *view, const jj_server_need_t *need)
{
	if (view->suspects + view->others_suspects > 0)
		return false;
	/* Where it broke is probably dead: there a retry is wasted. */
	if (need->turn == 0 && need->avoid != NULL &&
	    jj_name_equal(&view->name, need->avoid))
		return false;
	return has_turn(view, need);
}

/*
 * A server may run one suspect at a time over all VMs: with two, the next
 * death gives an innocent one its second strike. So a suspect goes to servers
 * that this VM is steward of, and, when it has found none free, in the next
 * turn to those that it is second to, and so on: those that broke on the same
 * server wait since the same moment, and in no turn is a server open to two
 * VMs. One that still runs from an earlier turn is told by the loads.
 */
static bool
has_turn(const jj_server_view_t *view, const jj_server_need_t *need)
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
	return order == need->turn % vms;
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
