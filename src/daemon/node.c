/**
 * @file node.c
 * @brief Creates and destroys a VM's daemon and all its parts.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/random.h"
#include "daemon/inlets.h"
#include "daemon/node.h"

/** Boot number used for a server that crashed before its boot was known. */
#define UNKNOWN_BOOT 1

static void fill_core_settings(const jj_node_t *, jj_core_settings_t *);
static void create_locks(jj_node_t *);
static void create_core(jj_node_t *);
static void add_seeds(jj_node_t *);
static bool create_adapters(jj_node_t *);
static void create_batch(jj_node_t *);
static void take_message(void *, jj_message_t *);
static void take_control_result(void *, jj_platform_result_t *);
static void take_bulk_result(void *, jj_platform_result_t *);
static void take_backend(void *, const jj_backend_event_t *,
    jj_backend_answer_t *, const jj_name_t *, bool);
static void take_leaving(void *, const jj_name_t *);
static void take_health(void *, const jj_name_t *, jj_health_t, uint64_t);
static void take_report(void *, const jj_name_t *, uint32_t, uint32_t, jj_ms_t);

jj_node_t *
jj_node_create(const jj_settings_t *settings)
{
	jj_node_t *node = jj_alloc(sizeof(*node));

	node->settings = settings;
	node->incarnation = jj_random_u64() | 1;
	jj_core_write_writer(&settings->name, node->incarnation, node->writer,
	    sizeof(node->writer));
	create_locks(node);
	node->guard = jj_inlets_create_guard(settings);
	node->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->uploads = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->hops =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	create_core(node);
	create_batch(node);
	if (!create_adapters(node)) {
		jj_node_destroy(node);
		return NULL;
	}
	return node;
}

void
jj_node_leave(jj_node_t *node)
{
	if (atomic_exchange(&node->leaving, true))
		return;
	jj_log(JJ_LOG_INFO, "leaving", "drain_ms=%lld",
	    (long long)node->settings->stop.drain_ms);
	jj_node_post_simple(node, JJ_EVENT_LEAVE, 0, 0);
	jj_node_post_batch_leave(node);
}

bool
jj_node_is_idle(jj_node_t *node)
{
	return atomic_load(&node->leaving) && atomic_load(&node->core_idle) &&
	    atomic_load(&node->batch_idle) &&
	    jj_http_server_open_count(node->callers) == 0;
}

void
jj_node_destroy(jj_node_t *node)
{
	if (node == NULL)
		return;
	jj_http_server_destroy(node->callers);
	jj_http_server_destroy(node->operators);
	jj_loop_stop(node->control);
	jj_loop_stop(node->batch_loop);
	jj_neighbours_destroy(node->neighbours);
	jj_relay_destroy(node->relay);
	jj_health_watch_destroy(node->health);
	jj_http_client_destroy(node->order_client);
	jj_platform_destroy(node->platform_control);
	jj_platform_destroy(node->platform_bulk);
	jj_loop_destroy(node->control);
	jj_loop_destroy(node->batch_loop);
	jj_core_destroy(node->core);
	jj_batch_destroy(node->batch);
	jj_jobs_destroy(node->jobs);
	jj_http_guard_release(node->guard);
	g_hash_table_destroy(node->pending);
	g_hash_table_destroy(node->uploads);
	g_hash_table_destroy(node->hops);
	apr_pool_destroy(node->pool);
	free(node);
}

uint64_t
jj_node_next_number(jj_node_t *node)
{
	return atomic_fetch_add(&node->last_number, 1) + 1;
}

static void
create_locks(jj_node_t *node)
{
	size_t i;

	node->pool = jj_runtime_create_pool();
	node->pending_lock = jj_runtime_create_mutex(node->pool);
	node->upload_lock = jj_runtime_create_mutex(node->pool);
	node->results_lock = jj_runtime_create_mutex(node->pool);
	for (i = 0; i < JJ_NODE_UPLOAD_SHARDS; i++)
		node->upload_shards[i] = jj_runtime_create_mutex(node->pool);
}

static void
create_core(jj_node_t *node)
{
	jj_core_settings_t core = {0};

	fill_core_settings(node, &core);
	node->core = jj_core_create(&core);
	add_seeds(node);
}

static void
fill_core_settings(const jj_node_t *node, jj_core_settings_t *core)
{
	const jj_settings_t *settings = node->settings;
	uint64_t seed = node->incarnation;

	*core = settings->core;
	core->incarnation = node->incarnation;
	core->member.incarnation = node->incarnation;
	core->member.seed = seed ^ 1;
	(void)snprintf(core->config.writer, sizeof(core->config.writer), "%s",
	    node->writer);
	core->config.seed = seed ^ 2;
	(void)snprintf(core->lease.key, sizeof(core->lease.key),
	    "leases/%s/orders", settings->domain.text);
	(void)snprintf(
	    core->lease.writer, sizeof(core->lease.writer), "%s", node->writer);
	core->lease.seed = seed ^ 3;
	core->ledger.incarnation = node->incarnation;
	core->ledger.seed = seed ^ 4;
	core->dispatch.seed = seed ^ 5;
	core->orders.seed = seed ^ 6;
}

static void
add_seeds(jj_node_t *node)
{
	const jj_settings_t *settings = node->settings;
	jj_server_t server;
	size_t i;

	for (i = 0; i < settings->neighbour_count; i++)
		jj_core_add_vm(node->core, &settings->neighbours[i].name,
		    &settings->neighbours[i].domain,
		    settings->neighbours[i].address);
	for (i = 0; i < settings->server_count; i++) {
		memset(&server, 0, sizeof(server));
		server.name = settings->servers[i].name;
		server.domain = settings->servers[i].domain;
		server.service = settings->servers[i].service;
		memcpy(server.address, settings->servers[i].address,
		    sizeof(server.address));
		server.checks_fence = settings->servers[i].checks_fence;
		jj_core_add_server(node->core, &server);
	}
}

static void
create_batch(jj_node_t *node)
{
	jj_batch_settings_t batch = node->settings->batch;
	jj_jobs_settings_t jobs = node->settings->jobs;

	(void)snprintf(batch.writer, sizeof(batch.writer), "%s", node->writer);
	batch.seed = node->incarnation ^ 7;
	(void)snprintf(jobs.writer, sizeof(jobs.writer), "%s", node->writer);
	jobs.seed = node->incarnation ^ 8;
	node->batch = jj_batch_create(&batch);
	node->jobs = jj_jobs_create(&jobs);
	jj_batch_set_idempotent(node->batch, jj_node_is_idempotent, node);
	jj_batch_set_limits(node->batch, jj_node_service_limit, node);
}

static bool
create_adapters(jj_node_t *node)
{
	const jj_settings_t *settings = node->settings;
	jj_relay_port_t relay = {node, take_backend, take_leaving};
	jj_health_port_t health = {
	    node, take_health, take_report, jj_node_post_deferred_event};

	node->control =
	    jj_loop_create(jj_node_control_next, jj_node_control_tick, node);
	node->batch_loop =
	    jj_loop_create(jj_node_batch_next, jj_node_batch_tick, node);
	node->relay = jj_relay_create(settings->shards, &relay);
	node->health = jj_health_watch_create(&health);
	node->order_client = jj_http_client_create();
	node->platform_control = jj_platform_create(&jj_platform_native_codec,
	    settings->platform.address, settings->platform.client.text,
	    settings->platform.timeout_ms, take_control_result, node);
	node->platform_bulk = jj_platform_create(&jj_platform_native_codec,
	    settings->platform.address, settings->platform.client.text,
	    settings->platform.timeout_ms, take_bulk_result, node);
	jj_relay_set_guard(node->relay, node->guard);
	jj_health_watch_set_guard(node->health, node->guard);
	jj_http_client_set_guard(node->order_client, node->guard);
	jj_platform_set_guard(node->platform_control, node->guard);
	jj_platform_set_guard(node->platform_bulk, node->guard);
	node->neighbours = jj_neighbours_create(
	    settings->listen_neighbours, 0, take_message, node);
	if (node->neighbours == NULL) {
		jj_log(JJ_LOG_ERROR, "listen_failed", "address=%s",
		    settings->listen_neighbours);
		return false;
	}
	if (!jj_node_serve_callers(node)) {
		jj_log(JJ_LOG_ERROR, "listen_failed", "address=%s",
		    settings->listen_callers);
		return false;
	}
	if (!jj_node_serve_operators(node)) {
		jj_log(JJ_LOG_ERROR, "listen_failed", "address=%s",
		    settings->listen_operators);
		return false;
	}
	return jj_loop_start(node->control) && jj_loop_start(node->batch_loop);
}

static void
take_message(void *ctx, jj_message_t *message)
{
	jj_node_post_message(ctx, message);
}

static void
take_control_result(void *ctx, jj_platform_result_t *result)
{
	jj_node_post_platform(ctx, result);
}

static void
take_bulk_result(void *ctx, jj_platform_result_t *result)
{
	jj_node_t *node = ctx;

	if (result->owner == JJ_OWNER_INTAKE) {
		jj_node_take_upload_result(node, result);
	} else if (result->owner == JJ_OWNER_BATCH) {
		jj_node_post_bulk_result(node, result);
	} else {
		jj_node_answer_history(node, result);
		jj_platform_result_clear(result);
	}
}

static void
take_backend(void *ctx, const jj_backend_event_t *event,
    jj_backend_answer_t *response, const jj_name_t *server, bool suspect)
{
	jj_node_post_backend(ctx, event, response, server, suspect);
}

static void
take_leaving(void *ctx, const jj_name_t *server)
{
	jj_node_post_server(ctx, server, JJ_SERVER_LEAVING, 0, false);
}

static void
take_health(
    void *ctx, const jj_name_t *server, jj_health_t health, uint64_t boot)
{
	if (health == JJ_HEALTH_UNKNOWN)
		return;
	/*
	 * A server in another failure domain may crash before its boot number
	 * is known. The crash still counts once against the requests that the
	 * server ran.
	 */
	if (health != JJ_HEALTH_UP)
		jj_node_post_server(ctx, server, JJ_SERVER_DOWN,
		    boot != 0 ? boot : UNKNOWN_BOOT, true);
	jj_node_post_server(ctx, server,
	    health == JJ_HEALTH_DOWN ? JJ_SERVER_DOWN : JJ_SERVER_UP,
	    health == JJ_HEALTH_UP ? boot : 0, false);
}

static void
take_report(void *ctx, const jj_name_t *server, uint32_t running,
    uint32_t waiting, jj_ms_t age_ms)
{
	jj_node_post_report(ctx, server, running, waiting, age_ms);
}
