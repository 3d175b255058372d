/**
 * @file gateway_views.c
 * @brief Snapshots of shares and servers' outcomes, for metrics and operators.
 *
 * The loop takes a snapshot each VIEWS_INTERVAL_MS. Operators read it without
 * the loop, so that metrics are served while the loop stands still.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "adapters/metrics.h"
#include "adapters/monotonic.h"
#include "daemon/gateway_node.h"

/** Interval between snapshots, ms. */
#define VIEWS_INTERVAL_MS 1000
/** Groups that are shown by name; the others are added up in one more row. */
#define SHARES_SHOWN 16

struct jj_gateway_views {
	jj_ms_t taken_ms;
	size_t share_count;
	jj_gateway_share_t shares[SHARES_SHOWN + 1];
	size_t outcome_count;
	jj_gateway_outcome_t outcomes[JJ_OUTCOMES_MAX];
};

static void set_share_metrics(const jj_gateway_views_t *);
static void set_outcome_metrics(const jj_gateway_views_t *);
static json_t *shares_json(const jj_gateway_views_t *);
static json_t *outcomes_json(const jj_gateway_views_t *);

void
jj_gateway_take_views(jj_gateway_node_t *node, jj_ms_t now)
{
	jj_gateway_views_t *views;
	jj_gateway_views_t *old;

	if (!node->switches.fair_shares && !node->switches.avoid_failing)
		return;
	if (now < node->next_views_ms)
		return;
	node->next_views_ms = now + VIEWS_INTERVAL_MS;
	views = jj_alloc(sizeof(*views));
	views->taken_ms = now;
	views->share_count = jj_gateway_list_shares(
	    node->core, views->shares, SHARES_SHOWN + 1, now);
	views->outcome_count = jj_gateway_list_outcomes(
	    node->core, views->outcomes, JJ_OUTCOMES_MAX, now);
	(void)apr_thread_mutex_lock(node->lock);
	old = node->views;
	node->views = views;
	(void)apr_thread_mutex_unlock(node->lock);
	free(old);
}

void
jj_gateway_set_view_metrics(jj_gateway_node_t *node)
{
	(void)apr_thread_mutex_lock(node->lock);
	if (node->views != NULL) {
		set_share_metrics(node->views);
		set_outcome_metrics(node->views);
	}
	(void)apr_thread_mutex_unlock(node->lock);
}

jj_bytes_t
jj_gateway_write_view(jj_gateway_node_t *node, jj_gateway_view_t kind)
{
	json_t *rows = NULL;
	jj_ms_t taken_ms = 0;
	json_t *root;
	jj_bytes_t text;

	(void)apr_thread_mutex_lock(node->lock);
	if (node->views != NULL) {
		taken_ms = node->views->taken_ms;
		rows = kind == JJ_GATEWAY_VIEW_SHARES
		    ? shares_json(node->views)
		    : outcomes_json(node->views);
	}
	(void)apr_thread_mutex_unlock(node->lock);
	root = json_pack("{s:s, s:b, s:I, s:o}", "vm",
	    node->settings->name.text, "enabled",
	    kind == JJ_GATEWAY_VIEW_SHARES ? node->switches.fair_shares
					   : node->switches.avoid_failing,
	    "age_ms",
	    rows != NULL ? (json_int_t)(jj_monotonic_now() - taken_ms) : -1,
	    "rows", rows != NULL ? rows : json_array());
	text.data = json_dumps(root, JSON_COMPACT);
	text.size = strlen(text.data);
	json_decref(root);
	return text;
}

static void
set_share_metrics(const jj_gateway_views_t *views)
{
	jj_metrics_row_t share[SHARES_SHOWN + 1];
	jj_metrics_row_t demand[SHARES_SHOWN + 1];
	jj_metrics_row_t served[SHARES_SHOWN + 1];
	size_t count = views->share_count;
	size_t i;

	for (i = 0; i < count; i++) {
		const jj_gateway_share_t *row = &views->shares[i];

		share[i] = (jj_metrics_row_t){row->name.text, row->share};
		demand[i] = (jj_metrics_row_t){row->name.text, row->demand};
		served[i] = (jj_metrics_row_t){row->name.text, row->served};
	}
	jj_metrics_set_rows("jujube_share_per_s",
	    "Requests per second of a team within its share at this VM.",
	    "team", share, count);
	jj_metrics_set_rows("jujube_share_demand_per_s",
	    "Requests per second of a team that arrive at this VM.", "team",
	    demand, count);
	jj_metrics_set_rows("jujube_share_served_per_s",
	    "Requests per second of a team that this VM sends to servers.",
	    "team", served, count);
}

static void
set_outcome_metrics(const jj_gateway_views_t *views)
{
	jj_metrics_row_t *rate = jj_alloc(JJ_OUTCOMES_MAX * sizeof(*rate));
	jj_metrics_row_t *avoided =
	    jj_alloc(JJ_OUTCOMES_MAX * sizeof(*avoided));
	size_t count = views->outcome_count;
	size_t i;

	for (i = 0; i < count; i++) {
		const jj_gateway_outcome_t *row = &views->outcomes[i];

		rate[i] =
		    (jj_metrics_row_t){row->server.text, row->failure_rate};
		avoided[i] = (jj_metrics_row_t){row->server.text, row->avoided};
	}
	jj_metrics_set_rows("jujube_server_failure_rate",
	    "Part of this VM's recent attempts at a server that failed.",
	    "server", rate, count);
	jj_metrics_set_rows("jujube_server_avoided",
	    "1 while this VM avoids a server.", "server", avoided, count);
	free(rate);
	free(avoided);
}

static json_t *
shares_json(const jj_gateway_views_t *views)
{
	json_t *rows = json_array();
	size_t i;

	for (i = 0; i < views->share_count; i++) {
		const jj_gateway_share_t *row = &views->shares[i];

		(void)json_array_append_new(rows,
		    json_pack("{s:s, s:f, s:f, s:f}", "team", row->name.text,
			"share_per_s", row->share, "demand_per_s", row->demand,
			"served_per_s", row->served));
	}
	return rows;
}

static json_t *
outcomes_json(const jj_gateway_views_t *views)
{
	json_t *rows = json_array();
	size_t i;

	for (i = 0; i < views->outcome_count; i++) {
		const jj_gateway_outcome_t *row = &views->outcomes[i];

		(void)json_array_append_new(rows,
		    json_pack("{s:s, s:f, s:f, s:b, s:b, s:I}", "server",
			row->server.text, "failure_rate", row->failure_rate,
			"answers", row->answers, "failing", row->failing,
			"avoided", row->avoided, "since_ms",
			(json_int_t)row->since_ms));
	}
	return rows;
}
