/**
 * @file orders.h
 * @brief Orders to load or unload a model or to change the role.
 */
#ifndef STANDIN_ENGINE_ORDERS_H
#define STANDIN_ENGINE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/** The state that results from the applied orders. */
typedef struct {
	bool check_fence; /**< refuse orders with an older fence */
	json_int_t highest_fence; /**< highest fence received */
	json_t *loaded; /**< array of model, version, adapter */
	json_t *role; /**< string or null */
	json_t *applied; /**< array of orders, oldest first */
	json_t *applied_by_id; /**< answers by order id */
} orders_t;

void orders_init(orders_t *orders, const char *model, bool check_fence);
void orders_destroy(orders_t *orders);
/**
 * Applies an order unless it was applied before or its fence is too old.
 * Locked.
 * @param answer set to a new reference, the body of the answer.
 * @return the HTTP status: 200, 409 for an older fence, 400 when malformed.
 */
int orders_apply(orders_t *orders, json_t *order, json_t **answer);
/** The state as returned by GET /orders. Locked. */
json_t *orders_describe(const orders_t *orders);

#endif
