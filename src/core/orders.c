/**
 * @file orders.c
 * @brief Orders to model engines: paced, fenced, and safe to repeat.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <jansson.h>

#include "core/operation.h"
#include "core/orders.h"

/** Maximum delay between repeats of an unanswered order. */
#define RETRY_MAX_MS 60000
/** Interval of ticks while orders wait for the lease, or for others to end. */
#define POLL_MS 100

typedef struct {
	char model[JJ_NAME_MAX + 1];
	char version[JJ_NAME_MAX + 1];
	char role[JJ_NAME_MAX + 1];
} engine_state_t;

typedef enum {
	ORDER_NONE,
	ORDER_LOAD,
	ORDER_ROLE,
} order_kind_t;

/** One server: its desired state, its last known state, its open order. */
typedef struct target {
	TAILQ_ENTRY(target) link;
	jj_name_t server;
	engine_state_t desired;
	jj_ms_t desired_ms; /**< when the desired state was set */
	engine_state_t applied; /**< by the orders of this lease holder */
	engine_state_t ordered; /**< state that the open order sets */
	order_kind_t order;
	uint64_t order_id;
	uint64_t order_fence;
	jj_ms_t due_ms; /**< next send of the open order */
	jj_ms_t wait_ms; /**< delay before the next repeat */
	bool running; /**< awaits an answer */
	/** This and older fencing numbers are refused. */
	uint64_t refused_fence;
	bool refused; /**< permanently, until the desired state changes */
} target_t;

TAILQ_HEAD(target_list, target);

struct jj_orders {
	jj_orders_settings_t settings;
	const jj_lease_t *lease;
	const jj_fleet_t *fleet;
	jj_operations_t operations;
	struct target_list targets;
	uint64_t fence; /**< fencing number under which `applied` was learned */
	jj_ms_t load_ms; /**< no load order before this */
	jj_ms_t limited_ms; /**< current delay after consecutive 429s */
	jj_ms_t next_ms;
};

static target_t *find_target(const jj_orders_t *, const jj_name_t *);
static target_t *add_target(jj_orders_t *, const jj_name_t *);
static void reset_applied(jj_orders_t *);
static void expire_orders(jj_orders_t *, jj_ms_t);
static void decide_order(jj_orders_t *, target_t *, jj_ms_t);
static bool may_send(const jj_orders_t *, const target_t *, jj_ms_t);
static void send_order(jj_orders_t *, target_t *, jj_ms_t, jj_actions_t *);
static jj_bytes_t encode(const target_t *);
static uint32_t count_running(const jj_orders_t *);
static void close_applied(jj_orders_t *, target_t *, jj_actions_t *);
static void close_limited(jj_orders_t *, target_t *, jj_ms_t, jj_ms_t);
static void plan_next(jj_orders_t *, jj_ms_t);

jj_orders_t *
jj_orders_create(const jj_orders_settings_t *settings, const jj_lease_t *lease,
    const jj_fleet_t *fleet)
{
	jj_orders_t *orders = jj_alloc(sizeof(*orders));

	orders->settings = *settings;
	orders->lease = lease;
	orders->fleet = fleet;
	orders->next_ms = JJ_MS_NEVER;
	jj_operations_seed(&orders->operations, settings->seed);
	TAILQ_INIT(&orders->targets);
	return orders;
}

void
jj_orders_destroy(jj_orders_t *orders)
{
	target_t *target;

	if (orders == NULL)
		return;
	while ((target = TAILQ_FIRST(&orders->targets)) != NULL) {
		TAILQ_REMOVE(&orders->targets, target, link);
		free(target);
	}
	free(orders);
}

void
jj_orders_set_desired(jj_orders_t *orders, const jj_name_t *server,
    const char *model, const char *version, const char *role, jj_ms_t now)
{
	target_t *target = find_target(orders, server);
	engine_state_t desired;

	memset(&desired, 0, sizeof(desired));
	(void)snprintf(desired.model, sizeof(desired.model), "%s", model);
	(void)snprintf(desired.version, sizeof(desired.version), "%s", version);
	(void)snprintf(desired.role, sizeof(desired.role), "%s", role);
	if (target == NULL)
		target = add_target(orders, server);
	if (memcmp(&target->desired, &desired, sizeof(desired)) == 0)
		return;
	target->desired = desired;
	target->desired_ms = now;
	target->refused = false;
	plan_next(orders, now);
}

void
jj_orders_take_answer(jj_orders_t *orders, const jj_name_t *server,
    uint64_t order, int status, jj_ms_t retry_after_ms, jj_ms_t now,
    jj_actions_t *out)
{
	target_t *target = find_target(orders, server);

	if (target == NULL || target->order == ORDER_NONE ||
	    target->order_id != order)
		return;
	target->running = false;
	switch (status) {
	case 200:
		close_applied(orders, target, out);
		break;
	case 409:
		target->refused_fence = target->order_fence;
		target->order = ORDER_NONE;
		jj_actions_add_event(out, "order_fenced",
		    "server=%s fence=%llu", server->text,
		    (unsigned long long)target->order_fence);
		break;
	case 429:
		close_limited(orders, target, retry_after_ms, now);
		break;
	default:
		if (status < 400 || status >= 500)
			break;
		target->refused = true;
		target->order = ORDER_NONE;
		jj_actions_add_event(out, "order_refused",
		    "server=%s status=%d", server->text, status);
		break;
	}
	plan_next(orders, now);
}

void
jj_orders_tick(jj_orders_t *orders, jj_ms_t now, jj_actions_t *out)
{
	size_t target_count = 0;
	size_t i = 0;
	target_t *target;

	reset_applied(orders);
	expire_orders(orders, now);
	TAILQ_FOREACH(target, &orders->targets, link)
	{
		target_count++;
	}
	/*
	 * A target that was handled moves to the end, so that servers that
	 * never answer cannot occupy the few concurrent orders for ever.
	 */
	for (; i < target_count; i++) {
		target = TAILQ_FIRST(&orders->targets);
		TAILQ_REMOVE(&orders->targets, target, link);
		TAILQ_INSERT_TAIL(&orders->targets, target, link);
		decide_order(orders, target, now);
		if (!may_send(orders, target, now))
			continue;
		send_order(orders, target, now, out);
		if (target->order == ORDER_LOAD)
			break;
	}
	plan_next(orders, now);
}

jj_ms_t
jj_orders_next(const jj_orders_t *orders)
{
	return orders->next_ms;
}

static target_t *
find_target(const jj_orders_t *orders, const jj_name_t *server)
{
	target_t *target;

	TAILQ_FOREACH(target, &orders->targets, link)
	{
		if (jj_name_equal(&target->server, server))
			return target;
	}
	return NULL;
}

static target_t *
add_target(jj_orders_t *orders, const jj_name_t *server)
{
	target_t *target = jj_alloc(sizeof(*target));

	target->server = *server;
	TAILQ_INSERT_TAIL(&orders->targets, target, link);
	return target;
}

/*
 * Another VM may have sent orders between two leases of this one: the applied
 * state is not reliable any more, and open orders carry an old fencing number.
 */
static void
reset_applied(jj_orders_t *orders)
{
	target_t *target;

	if (orders->fence == jj_lease_fence(orders->lease))
		return;
	orders->fence = jj_lease_fence(orders->lease);
	TAILQ_FOREACH(target, &orders->targets, link)
	{
		memset(&target->applied, 0, sizeof(target->applied));
		target->order = ORDER_NONE;
		target->running = false;
	}
}

static void
expire_orders(jj_orders_t *orders, jj_ms_t now)
{
	target_t *target;

	TAILQ_FOREACH(target, &orders->targets, link)
	{
		if (target->running && now >= target->due_ms)
			target->running = false;
	}
}

static void
decide_order(jj_orders_t *orders, target_t *target, jj_ms_t now)
{
	const engine_state_t *desired = &target->desired;
	const engine_state_t *applied = &target->applied;

	/*
	 * A desired state that flaps would load and unload models all the time,
	 * so only a stable one is acted on. An open order is completed first,
	 * as its effect is not known before.
	 */
	if (target->order != ORDER_NONE || target->refused ||
	    now - target->desired_ms < orders->settings.settle_ms)
		return;
	if (desired->model[0] != '\0' &&
	    (strcmp(desired->model, applied->model) != 0 ||
		strcmp(desired->version, applied->version) != 0))
		target->order = ORDER_LOAD;
	else if (desired->role[0] != '\0' &&
	    strcmp(desired->role, applied->role) != 0)
		target->order = ORDER_ROLE;
	else
		return;
	target->ordered = *desired;
	target->order_id = jj_operations_next(&orders->operations);
	target->order_fence = jj_lease_fence(orders->lease);
	target->due_ms = now;
	target->wait_ms = orders->settings.retry_ms;
}

/*
 * Two VMs may both believe that they hold the lease: one was paused past its
 * end. So the lease is checked right before each order. A server that checks
 * fencing numbers refuses the older holder; for one that does not, this VM
 * waits until no order of the former holder can still arrive.
 */
static bool
may_send(const jj_orders_t *orders, const target_t *target, jj_ms_t now)
{
	const jj_server_t *server =
	    jj_fleet_find(orders->fleet, &target->server);
	uint64_t fence = jj_lease_fence(orders->lease);

	if (target->order == ORDER_NONE || target->running ||
	    now < target->due_ms || server == NULL ||
	    server->state == JJ_SERVER_DOWN)
		return false;
	if (!jj_lease_is_held(orders->lease, now) ||
	    fence <= target->refused_fence)
		return false;
	if (!server->checks_fence &&
	    !jj_lease_is_safe_unfenced(orders->lease, now))
		return false;
	/*
	 * Servers that start at the same time would all load from the weight
	 * store at the same time, and it would refuse most; so load orders are
	 * sent a few at a time.
	 */
	return target->order != ORDER_LOAD ||
	    (now >= orders->load_ms &&
		count_running(orders) < orders->settings.at_once);
}

static void
send_order(
    jj_orders_t *orders, target_t *target, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ORDER);

	action->body.order.server = target->server;
	action->body.order.fence = target->order_fence;
	/*
	 * A repeat after a lost or late answer has the same number, and the
	 * engine does not run it again.
	 */
	action->body.order.order = target->order_id;
	action->body.order.body = encode(target);
	target->running = true;
	target->due_ms = now + target->wait_ms;
	target->wait_ms *= 2;
	if (target->wait_ms > RETRY_MAX_MS)
		target->wait_ms = RETRY_MAX_MS;
	if (target->order == ORDER_LOAD)
		orders->load_ms = now + orders->settings.spacing_ms;
}

static jj_bytes_t
encode(const target_t *target)
{
	char id[JJ_OPERATION_TEXT];
	json_t *json;
	char *text;
	jj_bytes_t bytes;

	jj_operation_write(id, target->order_id);
	if (target->order == ORDER_LOAD)
		json = json_pack("{s:I,s:s,s:s,s:s,s:s}", "fence",
		    (json_int_t)target->order_fence, "order", "load", "model",
		    target->ordered.model, "version", target->ordered.version,
		    "order_id", id);
	else
		json = json_pack("{s:I,s:s,s:s,s:s}", "fence",
		    (json_int_t)target->order_fence, "order", "role", "role",
		    target->ordered.role, "order_id", id);
	text = json_dumps(json, JSON_COMPACT);
	JJ_INVARIANT(text != NULL);
	bytes = jj_bytes_from_text(text);
	free(text);
	json_decref(json);
	return bytes;
}

static uint32_t
count_running(const jj_orders_t *orders)
{
	const target_t *target;
	uint32_t count = 0;

	TAILQ_FOREACH(target, &orders->targets, link)
	{
		count += target->running && target->order == ORDER_LOAD;
	}
	return count;
}

static void
close_applied(jj_orders_t *orders, target_t *target, jj_actions_t *out)
{
	engine_state_t *applied = &target->applied;
	const engine_state_t *ordered = &target->ordered;

	if (target->order == ORDER_LOAD) {
		memcpy(applied->model, ordered->model, sizeof(applied->model));
		memcpy(applied->version, ordered->version,
		    sizeof(applied->version));
		orders->limited_ms = 0;
	} else {
		memcpy(applied->role, ordered->role, sizeof(applied->role));
	}
	target->order = ORDER_NONE;
	jj_actions_add_event(out, "order_applied",
	    "server=%s fence=%llu order=%016llx", target->server.text,
	    (unsigned long long)target->order_fence,
	    (unsigned long long)target->order_id);
}

/*
 * The weight store's quota is used up for all servers: all loads wait, twice as
 * long each time. The order was not run; the next one gets a new number.
 */
static void
close_limited(
    jj_orders_t *orders, target_t *target, jj_ms_t retry_after_ms, jj_ms_t now)
{
	jj_ms_t wait = orders->limited_ms * 2;

	if (wait < orders->settings.spacing_ms)
		wait = orders->settings.spacing_ms;
	if (wait > RETRY_MAX_MS)
		wait = RETRY_MAX_MS;
	orders->limited_ms = wait;
	if (wait < retry_after_ms)
		wait = retry_after_ms;
	orders->load_ms = now + wait;
	target->order = ORDER_NONE;
}

static void
plan_next(jj_orders_t *orders, jj_ms_t now)
{
	jj_ms_t next = JJ_MS_NEVER;
	const target_t *target;

	TAILQ_FOREACH(target, &orders->targets, link)
	{
		jj_ms_t due = target->desired_ms + orders->settings.settle_ms;

		if (target->order != ORDER_NONE)
			due = target->due_ms;
		else if (target->refused ||
		    memcmp(&target->desired, &target->applied,
			sizeof(target->desired)) == 0)
			continue;
		if (due < next)
			next = due;
	}
	if (next < now + POLL_MS)
		next = now + POLL_MS;
	orders->next_ms = next;
}
