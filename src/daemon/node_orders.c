/**
 * @file node_orders.c
 * @brief Sends orders to model engines as POST /orders.
 */
#include <stdio.h>
#include <stdlib.h>

#include "daemon/node.h"

/** Timeout of an order, ms; after it the order may be repeated. */
#define ORDER_TIMEOUT_MS 2000

/** An order whose answer is awaited. */
typedef struct {
	jj_node_t *node;
	jj_name_t server;
	uint64_t order;
} order_t;

static jj_http_flow_t on_data(void *, const char *, size_t);
static void on_end(void *, jj_http_end_t, const jj_http_head_t *);

void
jj_node_send_order(jj_node_t *node, const jj_action_t *action)
{
	const jj_server_t *server = jj_fleet_find(
	    jj_core_fleet(node->core), &action->body.order.server);
	jj_http_request_t request = {0};
	order_t *order;

	if (server == NULL)
		return;
	order = jj_alloc(sizeof(*order));
	order->node = node;
	order->server = action->body.order.server;
	order->order = action->body.order.order;
	request.method = "POST";
	request.address = server->address;
	request.path = "/orders";
	request.headers[0] = "Content-Type: application/json";
	request.body = action->body.order.body.data;
	request.body_size = action->body.order.body.size;
	request.timeout_ms = ORDER_TIMEOUT_MS;
	request.once = true;
	request.ctx = order;
	request.on_data = on_data;
	request.on_end = on_end;
	(void)jj_http_client_start(node->order_client, &request);
}

static jj_http_flow_t
on_data(void *ctx, const char *data, size_t size)
{
	(void)ctx;
	(void)data;
	(void)size;
	return JJ_HTTP_CONSUMED;
}

static void
on_end(void *ctx, jj_http_end_t end, const jj_http_head_t *head)
{
	order_t *order = ctx;

	jj_node_post_order_answer(order->node, &order->server, order->order,
	    end == JJ_HTTP_COMPLETE ? head->status : 0, head->retry_after_ms);
	free(order);
}
