/**
 * @file gateway_node.c
 * @brief Creates and destroys the daemon of a VM that serves routes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/monotonic.h"
#include "adapters/random.h"
#include "daemon/gateway_node.h"
#include "daemon/inlets.h"

/**
 * Time over which messages of other VMs are coalesced, ms. Dozens of VMs report
 * their loads hundreds of times a second, and each message would wake three
 * threads. The loads get older by up to half their interval (tell_near_ms).
 */
#define COALESCE_MS 5

static void fill_settings(const jj_gateway_node_t *, jj_gateway_settings_t *);
static void resolve_switches(jj_gateway_node_t *);
static void update_table_ages(jj_gateway_node_t *);
static void create_core(jj_gateway_node_t *);
static bool create_adapters(jj_gateway_node_t *);
static bool
read_routes(void *, const jj_bytes_t *, jj_routes_t *, char *, size_t);
static bool read_server(
    void *, const char *, const jj_bytes_t *, jj_slot_info_t *, char *, size_t);
static jj_bytes_t write_page(void *, const jj_inline_page_t *);
static int64_t unix_ms(void *);
static void read_prompt(void *, const jj_inline_item_t *, jj_prompt_t *);
static void on_routes(void *, const jj_routes_t *);

jj_gateway_node_t *
jj_gateway_node_create(
    const jj_settings_t *settings, const jj_deployment_t *deployment)
{
	jj_gateway_node_t *node = jj_alloc(sizeof(*node));

	node->settings = settings;
	node->deployment = deployment;
	node->incarnation = jj_random_u64() | 1;
	node->pool = jj_runtime_create_pool();
	node->lock = jj_runtime_create_mutex(node->pool);
	node->pending =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	node->guard = jj_inlets_create_guard(settings);
	create_core(node);
	node->loop =
	    jj_loop_create(jj_gateway_node_next, jj_gateway_node_tick, node);
	if (create_adapters(node) && jj_loop_start(node->loop) &&
	    jj_gateway_node_serve(node))
		return node;
	jj_log(JJ_LOG_ERROR, "start_failed",
	    "callers=%s ready=%s operators=%s neighbours=%s",
	    settings->listen_callers, settings->listen_ready,
	    settings->listen_operators, settings->listen_neighbours);
	jj_gateway_node_destroy(node);
	return NULL;
}

void
jj_gateway_node_leave(jj_gateway_node_t *node, jj_ms_t end_ms)
{
	atomic_store(&node->leaving, true);
	atomic_store(&node->idle, false);
	jj_stream_relay_close_connections(node->relay);
	jj_gateway_post_leave(node, end_ms);
}

void
jj_gateway_node_end_requests(jj_gateway_node_t *node)
{
	jj_gateway_node_reject_requests(node);
	jj_gateway_post_end_requests(node);
	jj_gateway_answer_pending(node);
}

void
jj_gateway_node_reject_requests(jj_gateway_node_t *node)
{
	atomic_store(&node->rejecting, true);
}

bool
jj_gateway_node_is_idle(jj_gateway_node_t *node)
{
	return atomic_load(&node->idle) &&
	    (node->callers == NULL ||
		jj_http_server_open_count(node->callers) == 0);
}

void
jj_gateway_node_destroy(jj_gateway_node_t *node)
{
	jj_http_server_t *callers = node->callers;

	/* The loop still takes configurations, which limit the callers. */
	(void)apr_thread_mutex_lock(node->lock);
	node->callers = NULL;
	(void)apr_thread_mutex_unlock(node->lock);
	jj_http_server_destroy(callers);
	jj_http_server_destroy(node->ready_server);
	jj_http_server_destroy(node->operators);
	jj_loop_stop(node->loop);
	jj_neighbours_destroy(node->neighbours);
	jj_stream_relay_destroy(node->relay);
	jj_platform_destroy(node->platform);
	jj_loop_destroy(node->loop);
	jj_gateway_destroy(node->core);
	jj_http_guard_release(node->guard);
	jj_routes_release(node->routes);
	free(node->views);
	g_hash_table_destroy(node->pending);
	apr_pool_destroy(node->pool);
	free(node);
}

uint64_t
jj_gateway_node_next_number(jj_gateway_node_t *node)
{
	return atomic_fetch_add(&node->last_number, 1) + 1;
}

void
jj_gateway_update_metrics(jj_gateway_node_t *node)
{
	guint pending;

	(void)apr_thread_mutex_lock(node->lock);
	pending = g_hash_table_size(node->pending);
	(void)apr_thread_mutex_unlock(node->lock);
	jj_gauge_set(jj_metrics_gauge("jujube_pending_calls",
			 "Calls for batch jobs that wait for their answers.",
			 NULL, NULL),
	    pending);
	update_table_ages(node);
	jj_gateway_set_view_metrics(node);
	jj_neighbours_update_metrics(node->neighbours);
	jj_inlets_update_metrics(node->guard);
	jj_metrics_set_total("jujube_platform_calls_total",
	    "Calls to the platform.", jj_platform_calls(node->platform));
	if (node->callers != NULL)
		jj_gauge_set(jj_metrics_gauge("jujube_open_requests",
				 "Calls not answered yet.", NULL, NULL),
		    jj_http_server_open_count(node->callers));
	jj_gauge_set(jj_metrics_gauge("jujube_stalled_jobs",
			 "Jobs of this VM without a step for 3 s.", NULL, NULL),
	    atomic_load(&node->stalled_jobs));
	jj_gauge_set(jj_metrics_gauge("jujube_ownerless_jobs",
			 "Open jobs without a live VM for 3 s.", NULL, NULL),
	    atomic_load(&node->ownerless_jobs));
}

static void
update_table_ages(jj_gateway_node_t *node)
{
	static const char *const tables[JJ_TABLE_COUNT] = {
	    "config", "servers", "jobs", "retire_orders"};
	jj_ms_t now = jj_monotonic_now();
	jj_ms_t confirmed;
	int i;

	for (i = 0; i < JJ_TABLE_COUNT; i++) {
		confirmed = atomic_load(&node->table_times[i]);
		if (confirmed != JJ_MS_NEVER)
			jj_gauge_set(
			    jj_metrics_gauge("jujube_table_age_ms",
				"Time since the platform last confirmed a "
				"table, ms.",
				"table", tables[i]),
			    now - confirmed);
	}
}

static void
create_core(jj_gateway_node_t *node)
{
	jj_gateway_settings_t settings;
	jj_gateway_port_t port = {node, read_routes, read_server, write_page,
	    unix_ms, read_prompt, on_routes};
	int table;

	resolve_switches(node);
	fill_settings(node, &settings);
	node->core = jj_gateway_create(&settings, &port);
	node->routes = jj_routes_retain(jj_gateway_routes(node->core));
	for (table = 0; table < JJ_TABLE_COUNT; table++)
		atomic_init(&node->table_times[table], JJ_MS_NEVER);
}

/** Times come from the settings file, the other values from this VM. */
static void
fill_settings(const jj_gateway_node_t *node, jj_gateway_settings_t *core)
{
	const jj_settings_t *settings = node->settings;
	const jj_deployment_t *deployment = node->deployment;

	*core = settings->gateway;
	core->name = settings->name;
	core->domain = settings->domain;
	core->incarnation = node->incarnation;
	core->seed = node->incarnation ^ 1;
	core->serves = !settings->gateway_idle;
	core->fair_shares = node->switches.fair_shares;
	core->avoid_failing = node->switches.avoid_failing;
	core->member = settings->core.member;
	core->member.incarnation = node->incarnation;
	core->member.seed = node->incarnation ^ 2;
	if (!jj_name_is_empty(&settings->region))
		core->member.domain = settings->region;
	core->quarantine = settings->core.quarantine;
	core->slots.name = settings->name;
	core->slots.domain = settings->domain;
	core->slots.seed = node->incarnation ^ 3;
	core->jobs.memory_bytes = jj_inlets_job_bytes(settings);
	jj_core_write_writer(&settings->name, node->incarnation,
	    core->jobs.writer, sizeof(core->jobs.writer));
	(void)snprintf(core->config_prefix, sizeof(core->config_prefix), "%s",
	    deployment->config_prefix);
	(void)snprintf(core->config_key, sizeof(core->config_key), "%s",
	    deployment->config_key);
	(void)snprintf(core->servers_prefix, sizeof(core->servers_prefix), "%s",
	    deployment->servers_prefix);
	/* Retirement orders concern VMs with a disk, which serve no routes. */
	if (!core->serves)
		(void)snprintf(core->retire_prefix, sizeof(core->retire_prefix),
		    "%s", deployment->retire_prefix);
}

static void
resolve_switches(jj_gateway_node_t *node)
{
	const jj_settings_t *settings = node->settings;
	const jj_contracts_t *contracts = &settings->platform.contracts;
	jj_gateway_switches_t *switches = &node->switches;
	const char *shares_origin, *avoid_origin;
	size_t i;

	for (i = 0; i < contracts->count; i++)
		node->deployment->read_contract(
		    contracts->names[i].text, switches);
	switches->fair_shares = jj_settings_resolve_switch(
	    settings->fair_shares, switches->fair_shares, &shares_origin);
	switches->avoid_failing = jj_settings_resolve_switch(
	    settings->avoid_failing, switches->avoid_failing, &avoid_origin);
	jj_log(JJ_LOG_INFO, "switches_resolved",
	    "fair_shares=%s fair_shares_by=%s avoid_failing=%s "
	    "avoid_failing_by=%s contracts=%zu",
	    switches->fair_shares ? "on" : "off", shares_origin,
	    switches->avoid_failing ? "on" : "off", avoid_origin,
	    contracts->count);
}

static bool
create_adapters(jj_gateway_node_t *node)
{
	const jj_settings_t *settings = node->settings;
	jj_stream_relay_port_t relay = {node, jj_gateway_post_backend};

	node->platform = jj_platform_create(node->deployment->store,
	    settings->platform.address, settings->platform.client.text,
	    settings->platform.timeout_ms, jj_gateway_post_platform, node);
	node->relay = jj_stream_relay_create(node->deployment, &relay);
	node->neighbours = jj_neighbours_create(settings->listen_neighbours,
	    COALESCE_MS, jj_gateway_post_message, node);
	if (node->platform == NULL || node->relay == NULL ||
	    node->neighbours == NULL)
		return false;
	jj_platform_set_guard(node->platform, node->guard);
	jj_stream_relay_set_guard(node->relay, node->guard);
	return true;
}

static bool
read_routes(void *ctx, const jj_bytes_t *object, jj_routes_t *routes, char *why,
    size_t why_size)
{
	const jj_gateway_node_t *node = ctx;

	return node->deployment->read_routes(object, routes, why, why_size);
}

static bool
read_server(void *ctx, const char *id, const jj_bytes_t *object,
    jj_slot_info_t *info, char *why, size_t why_size)
{
	const jj_gateway_node_t *node = ctx;

	return node->deployment->read_server(id, object, info, why, why_size);
}

static jj_bytes_t
write_page(void *ctx, const jj_inline_page_t *page)
{
	const jj_gateway_node_t *node = ctx;

	return node->deployment->write_page(page);
}

static int64_t
unix_ms(void *ctx)
{
	(void)ctx;
	return (int64_t)(jj_unix_now_ns() / 1000000);
}

static void
read_prompt(void *ctx, const jj_inline_item_t *item, jj_prompt_t *prompt)
{
	const jj_gateway_node_t *node = ctx;
	const char *name = node->deployment->headers.prompt;
	size_t length = strlen(name);
	size_t i;

	for (i = 0; i < item->header_count; i++) {
		if (strncasecmp(item->headers[i], name, length) != 0 ||
		    item->headers[i][length] != ':')
			continue;
		node->deployment->read_prompt(
		    item->headers[i] + length + 1, prompt);
		return;
	}
}

static void
on_routes(void *ctx, const jj_routes_t *routes)
{
	jj_gateway_node_t *node = ctx;
	const jj_routes_t *before;

	jj_gauge_set(jj_metrics_gauge("jujube_config_version",
			 "Version of the configuration in force.", NULL, NULL),
	    (int64_t)routes->version);
	(void)apr_thread_mutex_lock(node->lock);
	before = node->routes;
	node->routes = jj_routes_retain(routes);
	jj_gateway_limit_callers(node, routes);
	(void)apr_thread_mutex_unlock(node->lock);
	jj_routes_release(before);
}
