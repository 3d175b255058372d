/**
 * @file orders.c
 * @brief Paced, fenced and repeatable orders to model engines.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <jansson.h>

#include "core/operation.h"
#include "core/orders.h"

/** Longest wait between repeats of an unanswered order. */
#define RETRY_MOST_MS 60000
/** The next look at orders that wait for the lease or a free place. */
#define POLL_MS 100

typedef struct {
	char model[JJ_NAME_MAX + 1];
	char version[JJ_NAME_MAX + 1];
	char role[JJ_NAME_MAX + 1];
} wish_t;

typedef enum {
	ORDER_NONE,
	ORDER_LOAD,
	ORDER_ROLE,
} order_kind_t;

/** One server: what it shall have, what it has, the order in between. */
typedef struct target {
	TAILQ_ENTRY(target) link;
	jj_name_t server;
	wish_t wish;
	jj_ms_t wished_ms; /**< since when the wish stands */
	wish_t applied; /**< as far as this holder's orders tell */
	wish_t ordered; /**< what the open order says */
	order_kind_t order;
	uint64_t order_id;
	uint64_t order_fence;
	jj_ms_t due_ms; /**< the open order is sent (again) then */
	jj_ms_t wait_ms; /**< before the next repeat */
	bool running; /**< sent, and neither answered nor overdue */
	uint64_t refused_fence; /**< this and older ones are refused */
	bool refused; /**< permanently, until the wish changes */
} target_t;

TAILQ_HEAD(target_list, target);

struct jj_orders {
	jj_orders_settings_t settings;
	const jj_lease_t *lease;
	const jj_fleet_t *fleet;
	jj_operations_t operations;
	struct target_list targets;
	uint64_t fence; /**< the one `applied` was learned under */
	jj_ms_t load_ms; /**< no load order before */
	jj_ms_t limited_ms; /**< wait after the last 429 in a row */
	jj_ms_t next_ms;
};

static target_t *find_target(const jj_orders_t *, const jj_name_t *);
static target_t *add_target(jj_orders_t *, const jj_name_t *);
static void forget_applied(jj_orders_t *);
static void expire(jj_orders_t *, jj_ms_t);
static void open_order(jj_orders_t *, target_t *, jj_ms_t);
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
jj_orders_wish(jj_orders_t *orders, const jj_name_t *server, const char *model,
    const char *version, const char *role, jj_ms_t now)
{
	target_t *target = find_target(orders, server);
	wish_t wish;

	memset(&wish, 0, sizeof(wish));
	(void)snprintf(wish.model, sizeof(wish.model), "%s", model);
	(void)snprintf(wish.version, sizeof(wish.version), "%s", version);
	(void)snprintf(wish.role, sizeof(wish.role), "%s", role);
	if (target == NULL)
		target = add_target(orders, server);
	if (memcmp(&target->wish, &wish, sizeof(wish)) == 0)
		return;
	target->wish = wish;
	target->wished_ms = now;
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
	size_t places = 0;
	size_t i = 0;
	target_t *target;

	forget_applied(orders);
	expire(orders, now);
	TAILQ_FOREACH(target, &orders->targets, link)
	{
		places++;
	}
	/* A target that was served goes to the end, so that servers that
	 * never answer cannot hold the few places for ever. */
	for (; i < places; i++) {
		target = TAILQ_FIRST(&orders->targets);
		TAILQ_REMOVE(&orders->targets, target, link);
		TAILQ_INSERT_TAIL(&orders->targets, target, link);
		open_order(orders, target, now);
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

/* Another VM may have given orders between two leases of ours: what we knew
 * to be applied is no longer sure, and open orders carry an old number. */
static void
forget_applied(jj_orders_t *orders)
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
expire(jj_orders_t *orders, jj_ms_t now)
{
	target_t *target;

	TAILQ_FOREACH(target, &orders->targets, link)
	{
		if (target->running && now >= target->due_ms)
			target->running = false;
	}
}

static void
open_order(jj_orders_t *orders, target_t *target, jj_ms_t now)
{
	const wish_t *wish = &target->wish;
	const wish_t *applied = &target->applied;

	/* A wish that changes back and forth would load and unload models
	 * all the time; only one that stands is acted on. An open order is
	 * brought to its end first: its effect is not known before. */
	if (target->order != ORDER_NONE || target->refused ||
	    now - target->wished_ms < orders->settings.settle_ms)
		return;
	if (wish->model[0] != '\0' &&
	    (strcmp(wish->model, applied->model) != 0 ||
		strcmp(wish->version, applied->version) != 0))
		target->order = ORDER_LOAD;
	else if (wish->role[0] != '\0' &&
	    strcmp(wish->role, applied->role) != 0)
		target->order = ORDER_ROLE;
	else
		return;
	target->ordered = *wish;
	target->order_id = jj_operations_next(&orders->operations);
	target->order_fence = jj_lease_fence(orders->lease);
	target->due_ms = now;
	target->wait_ms = orders->settings.retry_ms;
}

/* Two VMs may both believe they direct a server: one was frozen past its
 * lease. The lease is asked right before each order. A server that checks
 * fencing numbers refuses the older one; for one that does not, we wait
 * until no order of the former holder can still be under way. */
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
	/* All servers that start at once would ask the weight store at once
	 * and most be refused; load orders go out a few at a time. */
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
	/* A lost or late answer: the repeat has the same number, and the
	 * engine does not run it again. */
	action->body.order.order = target->order_id;
	action->body.order.body = encode(target);
	target->running = true;
	target->due_ms = now + target->wait_ms;
	target->wait_ms *= 2;
	if (target->wait_ms > RETRY_MOST_MS)
		target->wait_ms = RETRY_MOST_MS;
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
	wish_t *applied = &target->applied;
	const wish_t *ordered = &target->ordered;

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

/* The weight store's quota is used up, for all servers alike: all loads wait,
 * twice as long each time. The order was not run; it gets a new number. */
static void
close_limited(
    jj_orders_t *orders, target_t *target, jj_ms_t retry_after_ms, jj_ms_t now)
{
	jj_ms_t wait = orders->limited_ms * 2;

	if (wait < orders->settings.spacing_ms)
		wait = orders->settings.spacing_ms;
	if (wait > RETRY_MOST_MS)
		wait = RETRY_MOST_MS;
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
		jj_ms_t due = target->wished_ms + orders->settings.settle_ms;

		if (target->order != ORDER_NONE)
			due = target->due_ms;
		else if (target->refused ||
		    memcmp(&target->wish, &target->applied,
			sizeof(target->wish)) == 0)
			continue;
		if (due < next)
			next = due;
	}
	if (next < now + POLL_MS)
		next = now + POLL_MS;
	orders->next_ms = next;
}
