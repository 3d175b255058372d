/**
 * @file orders.h
 * @brief Orders to model engines: load a model or adapter, change role.
 *
 * The VM that holds the domain's order lease sends the orders. Engines that
 * check fencing numbers refuse those of an older holder; for engines that
 * ignore them, a new holder waits until the old lease has lapsed and the
 * longest order has ended. Orders are idempotent: each has its own number. Load
 * orders are paced to the weight store's rate, and a desired state must be
 * stable for a while before it is acted on, so that models do not flap.
 */
#ifndef JJ_CORE_ORDERS_H
#define JJ_CORE_ORDERS_H

#include "core/action.h"
#include "core/fleet.h"
#include "core/lease.h"

typedef struct {
	/** The desired state must be stable this long; default 2000. */
	jj_ms_t settle_ms;
	/** Delay before an unanswered order is repeated; default 3000. */
	jj_ms_t retry_ms;
	uint32_t at_once; /**< maximum of concurrent load orders; default 2 */
	jj_ms_t spacing_ms; /**< minimum between load orders; default 500 */
	uint64_t seed;
} jj_orders_settings_t;

typedef struct jj_orders jj_orders_t;

jj_orders_t *jj_orders_create(const jj_orders_settings_t *settings,
    const jj_lease_t *lease, const jj_fleet_t *fleet);
void jj_orders_destroy(jj_orders_t *orders);
/**
 * Sets what a server is to have loaded, and its role; replaces the last one.
 */
void jj_orders_set_desired(jj_orders_t *orders, const jj_name_t *server,
    const char *model, const char *version, const char *role, jj_ms_t now);
/**
 * Handles the answer to an order: @p status 200 applied, 409 refused for its
 * fencing number, 429 the weight store's limit, 0 no answer.
 */
void jj_orders_take_answer(jj_orders_t *orders, const jj_name_t *server,
    uint64_t order, int status, jj_ms_t retry_after_ms, jj_ms_t now,
    jj_actions_t *out);
void jj_orders_tick(jj_orders_t *orders, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_orders_next(const jj_orders_t *orders);

#endif
