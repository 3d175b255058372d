/**
 * @file gateway_items.c
 * @brief Items of jobs: they use free request slots and are preempted by online
 * requests.
 *
 * A preempted item resumes at another server after the output that it already
 * has. Preemption thus costs little more than reading its prompt again, so that
 * items may use nearly all slots that online requests leave free.
 */
#include <stdio.h>
#include <string.h>

#include "core/gateway_state.h"

/**
 * A preempted item waits this long before it is sent again, so that it does not
 * take the slot that it was removed from, ms.
 */
#define PREEMPTED_DELAY_MS 40
/**
 * An item waits this long for a slot at the software version of its output, ms.
 */
#define VERSION_WAIT_MS 3000
/** Maximum number of times that the limit for a first event doubles. */
#define STALL_DOUBLINGS_MAX 4
/** Weight of a new sample in the moving average of an item's run time. */
#define ITEM_MEAN_WEIGHT 0.1
/**
 * An item that is cut in each peak needs about this many times its run time
 * until it is done.
 */
#define TIGHT_FACTOR 2
/**
 * The gateway does not limit the attempts of an item; its job counts the
 * failures.
 */
#define ATTEMPTS_UNLIMITED UINT32_MAX

/** The order in which waiting items are sent. */
typedef enum {
	RANK_BEGUN, /**< has run before and can still end in time */
	RANK_NEW, /**< can end in time even if it is cut again and again */
	RANK_TIGHT, /**< can end in time if it is not cut */
	RANK_OVERDUE,
	RANK_END,
} rank_t;

static void
send_items(jj_gateway_t *, rank_t, const jj_name_t **, jj_ms_t, jj_actions_t *);
static rank_t
rank_of(const jj_gateway_t *, const jj_gateway_entry_t *, jj_ms_t);
static jj_slot_server_t *
choose_server(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t);
static void
route_item(const jj_gateway_t *, jj_gateway_entry_t *, const jj_route_t *);
static bool
is_overdue(const jj_gateway_t *, const jj_gateway_entry_t *, jj_ms_t);
static bool loses_less(const jj_gateway_t *, const jj_gateway_entry_t *,
    const jj_gateway_entry_t *, jj_ms_t);
static jj_ms_t total_run_ms(const jj_gateway_entry_t *, jj_ms_t);

const jj_route_t *
jj_gateway_job_route(void *ctx, const char *host, const char *path)
{
	const jj_gateway_t *gateway = ctx;
	const jj_route_t *route = jj_routes_match(gateway->routes, host, path);

	return route != NULL && route->kind == JJ_ROUTE_BATCH &&
		route->backend_count > 0
	    ? route
	    : NULL;
}

uint64_t
jj_gateway_begin_item(void *ctx, const jj_inline_job_t *job,
    const jj_inline_item_t *item, const jj_route_t *route, jj_ms_t due_ms,
    jj_ms_t retention_ms)
{
	jj_gateway_t *gateway = ctx;
	jj_gateway_entry_t *entry = jj_alloc(sizeof(*entry));
	uint64_t seed = jj_hash_bytes(item->path, strlen(item->path), 0);

	entry->request = JJ_GATEWAY_ITEM | ++gateway->last_item;
	(void)snprintf(entry->id, sizeof(entry->id), "%s", item->id);
	entry->class_of = JJ_CLASS_BATCH;
	entry->job = job;
	entry->route_random = jj_gateway_random(gateway);
	route_item(gateway, entry, route);
	entry->streams = true;
	entry->repeatable = true;
	entry->max_attempts = ATTEMPTS_UNLIMITED;
	entry->begun_ms = gateway->now;
	entry->give_up_ms = retention_ms;
	entry->team = job->team;
	entry->deadline_ms = retention_ms;
	entry->due_ms = due_ms;
	entry->fingerprint =
	    jj_hash_bytes(item->body.data != NULL ? item->body.data : "",
		item->body.size, seed);
	gateway->port.read_prompt(gateway->port.ctx, item, &entry->prompt);
	LIST_INSERT_HEAD(&gateway->buckets[entry->request % JJ_GATEWAY_BUCKETS],
	    entry, bucket);
	jj_gateway_add_waiting_item(gateway, entry);
	gateway->counts[JJ_CLASS_BATCH]++;
	return entry->request;
}

void
jj_gateway_cancel_item(void *ctx, uint64_t request)
{
	jj_gateway_t *gateway = ctx;
	jj_gateway_entry_t *entry = jj_gateway_find_entry(gateway, request);
	jj_action_t *action;

	if (entry == NULL)
		return;
	jj_actions_add_event(gateway->out, "item_dropped",
	    "request=%s server=%s", entry->id,
	    entry->server != NULL ? entry->server->info.id.text : "");
	action = jj_actions_add(gateway->out, JJ_ACTION_ITEM_CANCEL);
	action->body.cancel.request = request;
	jj_gateway_free_entry(gateway, entry);
}

bool
jj_gateway_is_item_sent(void *ctx, uint64_t request, uint32_t *attempts)
{
	const jj_gateway_entry_t *entry = jj_gateway_find_entry(ctx, request);

	*attempts = entry != NULL ? entry->attempt : 0;
	return entry != NULL && entry->server != NULL;
}

jj_inline_health_t
jj_gateway_job_health(const jj_gateway_t *gateway)
{
	return jj_inline_health(gateway->jobs);
}

/**
 * Guards against an item whose prompt takes longer than a stream may stay
 * without an event: it would be moved from server to server and never end. The
 * limit doubles with each stalled attempt.
 */
jj_ms_t
jj_gateway_stall_limit(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry)
{
	uint32_t doublings = entry->stalls;

	if (entry->class_of != JJ_CLASS_BATCH || entry->first_seen)
		return gateway->settings.stall_ms;
	if (doublings > STALL_DOUBLINGS_MAX)
		doublings = STALL_DOUBLINGS_MAX;
	return gateway->settings.stall_ms << doublings;
}

void
jj_gateway_add_waiting_item(jj_gateway_t *gateway, jj_gateway_entry_t *entry)
{
	jj_gateway_entry_t *other;

	TAILQ_FOREACH(other, &gateway->waiting, link)
	{
		if (other->due_ms > entry->due_ms)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, entry, link);
	else
		TAILQ_INSERT_TAIL(&gateway->waiting, entry, link);
}

/**
 * Sends items in the order of rank_t, and of their due times within a rank. An
 * overdue item is worth a tenth, and run first it would delay the next one past
 * its due time: in a backlog all items would be overdue. With more items than
 * slots, slots are best spent on items that will be whole in time: those that
 * have run, then those with time to spare.
 */
void
jj_gateway_send_waiting_items(
    jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	const jj_name_t *full = NULL;
	rank_t rank;

	if (gateway->leaving)
		return;
	for (rank = RANK_BEGUN; rank < RANK_END; rank++)
		send_items(gateway, rank, &full, now, out);
}

/**
 * Sends the items of one rank.
 * @param full a service without free slots, or NULL; kept between calls.
 */
static void
send_items(jj_gateway_t *gateway, rank_t rank, const jj_name_t **full,
    jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_entry_t *entry;
	jj_gateway_entry_t *next;
	jj_slot_server_t *server;

	for (entry = TAILQ_FIRST(&gateway->waiting); entry != NULL;
	     entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->class_of != JJ_CLASS_BATCH ||
		    now < entry->not_before_ms)
			continue;
		if (entry->routed_version != gateway->routes->version)
			route_item(gateway, entry,
			    jj_gateway_job_route(
				gateway, entry->job->host, entry->job->path));
		if (jj_name_is_empty(&entry->service))
			continue;
		if (*full != NULL && jj_name_equal(*full, &entry->service))
			continue;
		if (rank_of(gateway, entry, now) != rank)
			continue;
		server = choose_server(gateway, entry, now);
		if (server == NULL) {
			if (entry->software == 0 ||
			    jj_slots_choose_batch(gateway->slots,
				&entry->service, 0, now) == NULL)
				*full = &entry->service;
			continue;
		}
		jj_gateway_send(gateway, entry, server, now, out);
	}
}

/**
 * An item goes on at the software version that its output is from. When that is
 * gone, or has no slot for too long, the output is dropped and it begins anew.
 */
static jj_slot_server_t *
choose_server(jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now)
{
	const jj_name_t *service;
	jj_slot_server_t *server = jj_slots_choose_batch(
	    gateway->slots, &entry->service, entry->software, now);

	if (server != NULL || entry->software == 0)
		return server;
	service = jj_slots_service_of(gateway->slots, entry->software);
	if (service != NULL && jj_name_equal(service, &entry->service) &&
	    now - entry->left_ms < VERSION_WAIT_MS)
		return NULL;
	server = jj_slots_choose_batch(gateway->slots, &entry->service, 0, now);
	if (server == NULL || server->software == entry->software)
		return server;
	jj_actions_add_event(gateway->out, "item_begins_anew",
	    "request=%s software=%s waited_ms=%lld", entry->id,
	    server->info.version.text, (long long)(now - entry->left_ms));
	entry->software = 0;
	entry->restarts = true;
	entry->ran_ms = 0;
	return server;
}

/**
 * Sets the item's service by the configuration in force, which may have moved
 * or removed the route since the item began; empty while there is no route.
 */
static void
route_item(const jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_route_t *route)
{
	const jj_name_t *service =
	    route != NULL ? jj_route_pick(route, entry->route_random) : NULL;

	entry->routed_version = gateway->routes->version;
	memset(&entry->service, 0, sizeof(entry->service));
	if (service != NULL)
		entry->service = *service;
}

static rank_t
rank_of(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	if (is_overdue(gateway, entry, now))
		return RANK_OVERDUE;
	if (entry->ran_ms > 0)
		return RANK_BEGUN;
	return now + TIGHT_FACTOR * (jj_ms_t)gateway->mean_item_ms >
		entry->due_ms
	    ? RANK_TIGHT
	    : RANK_NEW;
}

/**
 * True when the item would end after its due time if it takes as long as items
 * do on average.
 */
static bool
is_overdue(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	jj_ms_t left =
	    (jj_ms_t)gateway->mean_item_ms - total_run_ms(entry, now);

	return now + (left > 0 ? left : 0) > entry->due_ms;
}

/** Total time that the item ran at servers, over all attempts, ms. */
static jj_ms_t
total_run_ms(const jj_gateway_entry_t *entry, jj_ms_t now)
{
	return entry->ran_ms + (entry->first_seen ? now - entry->sent_ms : 0);
}

void
jj_gateway_note_item_end(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	jj_ms_t took = total_run_ms(entry, now);

	if (gateway->mean_item_ms == 0)
		gateway->mean_item_ms = (double)took;
	gateway->mean_item_ms +=
	    ITEM_MEAN_WEIGHT * ((double)took - gateway->mean_item_ms);
}

bool
jj_gateway_preempt(jj_gateway_t *gateway, jj_slot_server_t *server,
    const char *why, jj_ms_t now, jj_actions_t *out)
{
	jj_gateway_entry_t *chosen = NULL;
	jj_gateway_entry_t *entry;

	TAILQ_FOREACH_REVERSE(entry, &gateway->sent, jj_gateway_entries, link)
	{
		if (entry->class_of != JJ_CLASS_BATCH ||
		    entry->server != server)
			continue;
		if (chosen == NULL || loses_less(gateway, entry, chosen, now))
			chosen = entry;
	}
	if (chosen == NULL)
		return false;
	jj_gateway_preempt_item(gateway, chosen, why, now, out);
	return true;
}

/** True when an item loses less than another one if it is preempted. */
static bool
loses_less(const jj_gateway_t *gateway, const jj_gateway_entry_t *entry,
    const jj_gateway_entry_t *other, jj_ms_t now)
{
	bool is_late = is_overdue(gateway, entry, now);

	if (is_late != is_overdue(gateway, other, now))
		return is_late;
	return total_run_ms(entry, now) < total_run_ms(other, now);
}

void
jj_gateway_preempt_item(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const char *why, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_BACKEND_CANCEL);

	action->body.cancel.request = entry->request;
	action->body.cancel.attempt = entry->attempt;
	jj_actions_add_event(out, "item_cut",
	    "request=%s server=%s for=%s ran_ms=%lld", entry->id,
	    entry->server->info.id.text, why,
	    (long long)(now - entry->sent_ms));
	jj_gateway_leave_server(gateway, entry);
	TAILQ_REMOVE(&gateway->waiting, entry, link);
	entry->not_before_ms = now + PREEMPTED_DELAY_MS;
	jj_gateway_add_waiting_item(gateway, entry);
}
