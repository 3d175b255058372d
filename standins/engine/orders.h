/**
 * @file orders.h
 * @brief Orders to load, to unload and to change role.
 */
#ifndef STANDIN_ENGINE_ORDERS_H
#define STANDIN_ENGINE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/** What the orders so far have brought about. */
typedef struct {
	bool check_fence; /**< refuse an older fence */
	json_int_t highest; /**< fence seen so far */
	json_t *loaded; /**< array of model, version, adapter */
	json_t *role; /**< string or null */
	json_t *applied; /**< array of orders, oldest first */
	json_t *applied_by_id; /**< answers by order id */
} orders_t;

void orders_init(orders_t *orders, const char *model, bool check_fence);
void orders_destroy(orders_t *orders);
/**
 * Runs an order unless it ran before or its fence is refused. Locked.
 * @param answer set to a new reference, the body of the answer.
 * @return the HTTP status: 200, 409 for an older fence, 400 when malformed.
 */
int orders_apply(orders_t *orders, json_t *order, json_t **answer);
/** The state as GET /orders shows it. Locked. */
json_t *orders_describe(const orders_t *orders);

#endif
