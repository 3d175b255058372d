/**
 * @file node_metrics.c
 * @brief Metrics of the daemon; gauges and totals are updated on each scrape.
 */
#include "daemon/node.h"

void
jj_node_count_event(const char *name)
{
	jj_counter_t *counter = jj_metrics_counter("jujube_events_total",
	    "Events by name, as in the log.", "event", name);

	jj_counter_add(counter, 1);
}

void
jj_node_update_metrics(jj_node_t *node)
{
	jj_neighbours_update_metrics(node->neighbours);
	jj_metrics_set_total("jujube_platform_control_calls_total",
	    "Calls to the platform for control.",
	    jj_platform_calls(node->platform_control));
	jj_metrics_set_total("jujube_platform_bulk_calls_total",
	    "Calls to the platform for batch data.",
	    jj_platform_calls(node->platform_bulk));
	jj_gauge_set(jj_metrics_gauge("jujube_open_requests",
			 "Requests of callers not answered yet.", NULL, NULL),
	    jj_http_server_open_count(node->callers));
}
