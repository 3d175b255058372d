#include <string.h>

#include "orders.h"

/* The kinds of orders. */
typedef enum {
	ORDER_LOAD,
	ORDER_UNLOAD,
	ORDER_ROLE,
	ORDER_UNKNOWN,
} order_kind_t;

static order_kind_t order_kind(const json_t *);
static bool order_is_complete(const json_t *, order_kind_t);
static json_t *order_target(json_t *);
static void execute(orders_t *, json_t *, order_kind_t);

void
orders_init(orders_t *orders, const char *model, bool check_fence)
{
	memset(orders, 0, sizeof(*orders));
	orders->check_fence = check_fence;
	orders->loaded =
	    json_pack("[{s:s,s:n,s:n}]", "model", model, "version", "adapter");
	orders->role = json_null();
	orders->applied = json_array();
	orders->applied_by_id = json_object();
}

void
orders_destroy(orders_t *orders)
{
	json_decref(orders->loaded);
	json_decref(orders->role);
	json_decref(orders->applied);
	json_decref(orders->applied_by_id);
}

int
orders_apply(orders_t *orders, json_t *order, json_t **answer)
{
	const char *id = json_string_value(json_object_get(order, "order_id"));
	json_int_t fence = json_integer_value(json_object_get(order, "fence"));
	order_kind_t kind = order_kind(order);
	json_t *earlier_answer;

	if (!order_is_complete(order, kind)) {
		*answer = json_pack("{s:s}", "code", "malformed_order");
		return 400;
	}
	/*
	 * An order whose answer was lost is sent again, possibly after an order
	 * with a newer fence. It has been applied, so the first answer is
	 * repeated instead of a fencing error.
	 */
	earlier_answer =
	    id == NULL ? NULL : json_object_get(orders->applied_by_id, id);
	if (earlier_answer != NULL) {
		*answer = json_incref(earlier_answer);
		return 200;
	}
	if (orders->check_fence && fence < orders->highest_fence) {
		*answer = json_pack("{s:I}", "fence", orders->highest_fence);
		return 409;
	}
	if (fence > orders->highest_fence)
		orders->highest_fence = fence;
	execute(orders, order, kind);
	json_array_append_new(orders->applied, json_deep_copy(order));
	*answer = json_pack("{s:b,s:I}", "applied", 1, "fence", fence);
	if (id != NULL)
		json_object_set(orders->applied_by_id, id, *answer);
	return 200;
}

json_t *
orders_describe(const orders_t *orders)
{
	json_t *json = json_object();

	json_object_set_new(json, "loaded", json_deep_copy(orders->loaded));
	json_object_set_new(json, "role", json_deep_copy(orders->role));
	json_object_set_new(json, "fence", json_integer(orders->highest_fence));
	json_object_set_new(json, "applied", json_deep_copy(orders->applied));
	return json;
}

static order_kind_t
order_kind(const json_t *order)
{
	const char *name = json_string_value(json_object_get(order, "order"));

	if (name == NULL)
		return ORDER_UNKNOWN;
	if (strcmp(name, "load") == 0)
		return ORDER_LOAD;
	if (strcmp(name, "unload") == 0)
		return ORDER_UNLOAD;
	return strcmp(name, "role") == 0 ? ORDER_ROLE : ORDER_UNKNOWN;
}

static bool
order_is_complete(const json_t *order, order_kind_t kind)
{
	if (!json_is_integer(json_object_get(order, "fence")))
		return false;
	switch (kind) {
	case ORDER_LOAD:
	case ORDER_UNLOAD:
		return json_is_string(json_object_get(order, "model"));
	case ORDER_ROLE:
		return json_is_string(json_object_get(order, "role"));
	case ORDER_UNKNOWN:
		break;
	}
	return false;
}

/* The model, version and adapter named in an order. */
static json_t *
order_target(json_t *order)
{
	return json_pack("{s:O?,s:O?,s:O?}", "model",
	    json_object_get(order, "model"), "version",
	    json_object_get(order, "version"), "adapter",
	    json_object_get(order, "adapter"));
}

static void
execute(orders_t *orders, json_t *order, order_kind_t kind)
{
	json_t *target;
	size_t i;

	if (kind == ORDER_ROLE) {
		json_decref(orders->role);
		orders->role = json_incref(json_object_get(order, "role"));
		return;
	}
	target = order_target(order);
	for (i = json_array_size(orders->loaded); i > 0; i--) {
		if (json_equal(json_array_get(orders->loaded, i - 1), target))
			json_array_remove(orders->loaded, i - 1);
	}
	if (kind == ORDER_LOAD)
		json_array_append(orders->loaded, target);
	json_decref(target);
}
