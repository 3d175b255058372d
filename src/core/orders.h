/**
 * @file orders.h
 * @brief Orders to model engines: load a model or adapter, change role.
 *
 * One VM of a domain gives orders, while it holds the domain's order lease.
 * Engines that check fencing numbers refuse an older holder; for engines
 * that ignore them the new holder waits for lapse plus the longest order,
 * and orders are idempotent (an order has its own number). Load orders are
 * paced to the weight store's rate and do not flap: a wish must stand for a
 * while before it is acted on.
 */
#ifndef JJ_CORE_ORDERS_H
#define JJ_CORE_ORDERS_H

#include "core/action.h"
#include "core/fleet.h"
#include "core/lease.h"

typedef struct {
	jj_ms_t settle_ms; /**< a wish stands before an order; 2000 */
	jj_ms_t retry_ms; /**< an unanswered order again; default 3000 */
	uint32_t at_once; /**< load orders under way; default 2 */
	jj_ms_t spacing_ms; /**< between load orders; default 500 */
	uint64_t seed;
} jj_orders_settings_t;

typedef struct jj_orders jj_orders_t;

jj_orders_t *jj_orders_create(const jj_orders_settings_t *settings,
    const jj_lease_t *lease, const jj_fleet_t *fleet);
void jj_orders_destroy(jj_orders_t *orders);
/** What a server shall have loaded; the newest wish counts. */
void jj_orders_wish(jj_orders_t *orders, const jj_name_t *server,
    const char *model, const char *version, const char *role, jj_ms_t now);
/**
 * An order's end: @p status 200 applied, 409 refused for its fence, 429 the
 * weight store's limit, 0 no answer.
 */
void jj_orders_take_answer(jj_orders_t *orders, const jj_name_t *server,
    uint64_t order, int status, jj_ms_t retry_after_ms, jj_ms_t now,
    jj_actions_t *out);
void jj_orders_tick(jj_orders_t *orders, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_orders_next(const jj_orders_t *orders);

#endif
