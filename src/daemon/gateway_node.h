/**
 * @file gateway_node.h
 * @brief The daemon of a VM that serves routes of a deployment.
 *
 * One loop owns the gateway's core. The threads that serve callers and backend
 * servers post events to it, and it executes the actions that the core returns.
 * Response bytes don't pass through the loop (daemon/stream_relay.h).
 */
#ifndef JJ_DAEMON_GATEWAY_NODE_H
#define JJ_DAEMON_GATEWAY_NODE_H

#include <stdatomic.h>

#include <glib.h>

#include "adapters/deployment.h"
#include "adapters/loop.h"
#include "adapters/neighbours.h"
#include "adapters/platform.h"
#include "adapters/runtime.h"
#include "adapters/settings.h"
#include "core/gateway.h"
#include "daemon/stream_relay.h"

/** Operations on jobs that a call may wait for. */
typedef enum {
	JJ_GATEWAY_SUBMIT,
	JJ_GATEWAY_READ_RESULTS,
	JJ_GATEWAY_READ_ITEM,
	JJ_GATEWAY_END_JOB,
} jj_gateway_operation_t;

/** What operators can look at besides metrics. */
typedef enum {
	JJ_GATEWAY_VIEW_SHARES,
	JJ_GATEWAY_VIEW_OUTCOMES,
} jj_gateway_view_t;

typedef struct jj_gateway_views jj_gateway_views_t;

typedef struct {
	const jj_settings_t *settings;
	const jj_deployment_t *deployment;
	jj_incarnation_t incarnation;
	jj_gateway_t *core; /**< only for the loop */
	jj_loop_t *loop;
	jj_platform_t *platform;
	jj_neighbours_t *neighbours;
	jj_stream_relay_t *relay;
	jj_http_guard_t *guard; /**< of all three servers */
	jj_http_server_t *callers; /**< set under the lock */
	/** NULL: readiness is served at the callers' address. */
	jj_http_server_t *ready_server;
	jj_http_server_t *operators;

	apr_pool_t *pool; /**< owns the lock below */
	apr_thread_mutex_t *lock; /**< guards pending, routes and views */
	GHashTable *pending; /**< calls that wait, by operation */
	const jj_routes_t *routes; /**< in force; a reference */
	jj_gateway_views_t *views; /**< for operators; NULL: none taken yet */
	jj_ms_t next_views_ms; /**< only for the loop */
	jj_gateway_switches_t switches;
	atomic_uint_fast64_t last_number;
	atomic_bool ready;
	atomic_bool leaving;
	atomic_bool rejecting; /**< new requests could not complete in time */
	atomic_bool idle;
	atomic_bool may_be_behind; /**< jj_gateway_may_be_behind() */
	atomic_uint stalled_jobs; /**< see jj_inline_health_t */
	atomic_uint ownerless_jobs;
	/** see jj_gateway_table_time() */
	atomic_int_fast64_t table_times[JJ_TABLE_COUNT];
} jj_gateway_node_t;

/** Creates and starts all parts; logs and returns NULL on failure. */
jj_gateway_node_t *jj_gateway_node_create(
    const jj_settings_t *settings, const jj_deployment_t *deployment);
/**
 * Begins a planned stop; the readiness check fails for the balancer.
 * @param end_ms when requests end that are still in progress; one that may last
 * longer is refused.
 */
void jj_gateway_node_leave(jj_gateway_node_t *node, jj_ms_t end_ms);
/** Rejects new requests; called later in a planned stop. */
void jj_gateway_node_reject_requests(jj_gateway_node_t *node);
/** Answers all that is in progress, at the end of a planned stop. */
void jj_gateway_node_end_requests(jj_gateway_node_t *node);
/** True when a planned stop has drained all work. */
bool jj_gateway_node_is_idle(jj_gateway_node_t *node);
void jj_gateway_node_destroy(jj_gateway_node_t *node);

uint64_t jj_gateway_node_next_number(jj_gateway_node_t *node);

/* Posting to the loop (gateway_events.c). */
/** @param request its strings are copied, its routes retained. */
void jj_gateway_post_request(
    jj_gateway_node_t *node, const jj_gateway_request_t *request);
void
jj_gateway_post_caller_disconnect(jj_gateway_node_t *node, uint64_t request);
void jj_gateway_post_backend(
    void *node, const jj_backend_event_t *event, int status, jj_bytes_t *text);
void jj_gateway_post_message(void *node, jj_message_t *message);
void jj_gateway_post_platform(void *node, jj_platform_result_t *result);
/** Posts a submission; the ownership of @p job moves, @p routes is retained. */
void jj_gateway_post_submission(jj_gateway_node_t *node, uint64_t operation,
    jj_inline_job_t *job, const jj_routes_t *routes);
/** Posts another operation; the ownership of what @p call holds moves. */
void
jj_gateway_post_operation(jj_gateway_node_t *node, jj_gateway_operation_t kind,
    uint64_t operation, const jj_front_call_t *call);
/** The caller that waits for an operation disconnected. */
void jj_gateway_post_abandon(jj_gateway_node_t *node, uint64_t operation);
void jj_gateway_post_leave(jj_gateway_node_t *node, jj_ms_t end_ms);
void jj_gateway_post_end_requests(jj_gateway_node_t *node);
jj_ms_t jj_gateway_node_next(void *node);
void jj_gateway_node_tick(void *node, jj_ms_t now);

/* Callers (gateway_front.c). */
bool jj_gateway_node_serve(jj_gateway_node_t *node);
/** Puts the limits of a configuration in force; the lock is held. */
void
jj_gateway_limit_callers(jj_gateway_node_t *node, const jj_routes_t *routes);
/** Ends a request with an answer made by this VM. */
void
jj_gateway_answer_request(jj_gateway_node_t *node, const jj_answer_t *answer);
/** Answers the call that waits for an operation. */
void jj_gateway_answer_operation(jj_gateway_node_t *node, uint64_t operation,
    int status, jj_ms_t retry_after_ms, const jj_bytes_t *body);
/** Ends the call that waits for an operation, as its caller has left. */
void jj_gateway_drop_pending(jj_gateway_node_t *node, uint64_t operation);
/** Answers all calls that wait for operations; what becomes of them is open. */
void jj_gateway_answer_pending(jj_gateway_node_t *node);
/** Adds the exchange of an item that is sent for the first time. */
void jj_gateway_add_item(jj_gateway_node_t *node, uint64_t request,
    const jj_inline_job_t *job, const jj_inline_item_t *item);
/* Views for operators (gateway_views.c). */
/** Takes a snapshot when one is due; only for the loop. */
void jj_gateway_take_views(jj_gateway_node_t *node, jj_ms_t now);
/** Sets the metrics of the latest snapshot. */
void jj_gateway_set_view_metrics(jj_gateway_node_t *node);
/** Writes a view of the latest snapshot as JSON, with its age. */
jj_bytes_t
jj_gateway_write_view(jj_gateway_node_t *node, jj_gateway_view_t kind);

/** Updates gauges and totals before a scrape. */
void jj_gateway_update_metrics(jj_gateway_node_t *node);

#endif
