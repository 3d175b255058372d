/**
 * @file gateway_queue.c
 * @brief Which requests are served first when there are more than free slots.
 *
 * Requests that can still be in time have priority over those that can't. A new
 * request takes a free slot, or waits at a server whose queue is short enough
 * for its latency target. Otherwise it is refused at once with a retry delay:
 * it has nearly all its time left, so that its retry is served in time. A
 * retry, or a request that comes a second time because its VM failed, has used
 * up that time and often its attempts. It waits here, in the gateway's queue,
 * for a slot that no new request needs; the queue is served by priority, and
 * within one last in, first out,
 * and a request is refused when it finds no slot for long. Thus servers with
 * slots for 70 of 100 requests serve 70 of them in time; a single queue for
 * all requests served none in time.
 */
#include "core/gateway_state.h"

/**
 * In quarters of the latency target, how late the first event of a new request
 * may be expected: requests that other VMs have sent meanwhile are not known
 * yet. Of 480 requests that the slots left after the loss of a third of the
 * servers allowed, 322 were in time with four quarters, 341 with three, 304
 * with two (tests/core/load_world.h).
 */
#define TARGET_QUARTERS 3
/**
 * A caller that has used up more than its target divided by this is no longer
 * new.
 */
#define NEW_DIVISOR 4
/**
 * A retry waits in the queue at most for its remaining time divided by this.
 */
#define QUEUE_DIVISOR 3
/**
 * Upper bound of that wait, ms: two to three times as long as a request
 * occupies its slot, so that in a full fleet each slot has become free once.
 */
#define QUEUE_MAX_MS 1500

static void insert_by_priority(jj_gateway_t *, jj_gateway_entry_t *);
static bool goes_before(const jj_gateway_entry_t *, const jj_gateway_entry_t *);
static bool
may_find_slot(const jj_gateway_entry_t *, const jj_name_t *, jj_ms_t);

/**
 * Callers send how long they wait in all. One that sends less than others on
 * its route has waited before.
 */
bool
jj_gateway_is_client_retry(jj_gateway_t *gateway, const jj_route_t *route,
    const jj_gateway_request_t *request)
{
	jj_gateway_budget_t *seen =
	    &gateway->budgets[jj_dispatch_hash_server(&route->name) %
		JJ_GATEWAY_BUDGETS];

	if (request->budget_ms <= 0)
		return false;
	if (!jj_name_equal(&seen->route, &route->name)) {
		seen->route = route->name;
		seen->max_budget_ms = 0;
	}
	if (request->budget_ms > seen->max_budget_ms)
		seen->max_budget_ms = request->budget_ms;
	return route->target_ms > 0 &&
	    seen->max_budget_ms - request->budget_ms >
	    route->target_ms / NEW_DIVISOR;
}

jj_ms_t
jj_gateway_longest_budget(const jj_gateway_t *gateway, const jj_name_t *route)
{
	const jj_gateway_budget_t *seen =
	    &gateway
		 ->budgets[jj_dispatch_hash_server(route) % JJ_GATEWAY_BUDGETS];

	return jj_name_equal(&seen->route, route) ? seen->max_budget_ms : 0;
}

jj_ms_t
jj_gateway_queue_deadline(const jj_gateway_request_t *request, jj_ms_t now)
{
	jj_ms_t max_wait_ms = request->budget_ms / QUEUE_DIVISOR;

	return now + (max_wait_ms < QUEUE_MAX_MS ? max_wait_ms : QUEUE_MAX_MS);
}

jj_ms_t
jj_gateway_first_event_limit(const jj_gateway_entry_t *entry)
{
	/*
	 * A request that may have run, or a stream that has begun, is not
	 * abandoned because of a queue.
	 */
	if (entry->may_have_run || entry->software != 0)
		return JJ_MS_NEVER;
	/* Of a group that asks for too much, none waits at a server. */
	if (entry->share.limited)
		return 0;
	if (entry->target_ms <= 0)
		return JJ_MS_NEVER;
	return entry->client_retry ? 0 : entry->target_ms * TARGET_QUARTERS / 4;
}

bool
jj_gateway_enqueue(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out)
{
	if (!entry->client_retry || entry->may_have_run ||
	    now >= entry->queue_until_ms)
		return false;
	if (entry->queued)
		return true;
	entry->queued = true;
	insert_by_priority(gateway, entry);
	gateway->queued_count++;
	jj_actions_add_event(out, "request_in_line",
	    "request=%s until_ms=%lld in_line=%u", entry->id,
	    (long long)(entry->queue_until_ms - now), gateway->queued_count);
	return true;
}

/**
 * Puts an entry behind the queued ones that go before it, before those of the
 * same rank.
 */
static void
insert_by_priority(jj_gateway_t *gateway, jj_gateway_entry_t *entry)
{
	jj_gateway_entry_t *other;
	jj_gateway_entry_t *last = NULL;

	TAILQ_REMOVE(&gateway->waiting, entry, link);
	TAILQ_FOREACH(other, &gateway->waiting, link)
	{
		if (other->class_of != JJ_CLASS_ONLINE)
			break;
		if (other->queued && goes_before(other, entry))
			last = other;
	}
	if (last != NULL)
		TAILQ_INSERT_AFTER(&gateway->waiting, last, entry, link);
	else
		TAILQ_INSERT_HEAD(&gateway->waiting, entry, link);
}

/** Requests within their share go first, then those of higher priority. */
static bool
goes_before(const jj_gateway_entry_t *entry, const jj_gateway_entry_t *other)
{
	if (entry->over_share != other->over_share)
		return other->over_share;
	return entry->priority < other->priority;
}

void
jj_gateway_send_queued(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	const jj_name_t *full = NULL;
	jj_gateway_entry_t *entry;
	jj_gateway_entry_t *next;
	jj_failure_t reason;
	uint32_t before;

	/*
	 * Online requests are ahead of all items in the list, the last one
	 * first.
	 */
	for (entry = TAILQ_FIRST(&gateway->waiting);
	     entry != NULL && gateway->queued_count > 0; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (!entry->queued || !may_find_slot(entry, full, now))
			continue;
		reason = jj_gateway_check_request(
		    gateway, entry->fingerprint, &entry->prompt, false, now);
		if (reason != JJ_FAILURE_NONE) {
			jj_gateway_give_up(gateway, entry, reason, out);
			continue;
		}
		before = gateway->queued_count;
		jj_gateway_dispatch(gateway, entry, now, out);
		if (gateway->queued_count == before)
			full = &entry->service;
	}
}

/**
 * False when another request of that service has just found no slot. The choice
 * of a server goes through all servers, and it is made for the whole queue at
 * each event of each request.
 */
static bool
may_find_slot(
    const jj_gateway_entry_t *entry, const jj_name_t *full, jj_ms_t now)
{
	return full == NULL || !jj_name_equal(full, &entry->service) ||
	    now >= entry->queue_until_ms;
}

void
jj_gateway_dequeue(jj_gateway_t *gateway, jj_gateway_entry_t *entry)
{
	gateway->queued_count -= entry->queued;
	entry->queued = false;
}
