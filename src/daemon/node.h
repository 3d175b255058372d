/**
 * @file node.h
 * @brief A VM's daemon: connects the core to sockets, servers and storage.
 *
 * There are two loops, each on its own thread: the control loop runs routing,
 * ledger, configuration and membership, and the batch loop runs chunks and
 * jobs. Each part of the core is used only by the thread of its loop. All other
 * code runs on threads of the adapters and posts events to the loops.
 */
#ifndef JJ_DAEMON_NODE_H
#define JJ_DAEMON_NODE_H

#include <stdatomic.h>

#include <glib.h>

#include "adapters/http_server.h"
#include "adapters/loop.h"
#include "adapters/metrics.h"
#include "adapters/neighbours.h"
#include "adapters/platform.h"
#include "adapters/runtime.h"
#include "adapters/settings.h"
#include "core/batch.h"
#include "core/core.h"
#include "core/job.h"
#include "daemon/health.h"
#include "daemon/relay.h"

/** Bit that is set in the request numbers of batch items. */
#define JJ_REQUEST_ITEM (UINT64_C(1) << 62)
/** Maximum number of services that the batch loop knows at once. */
#define JJ_NODE_SERVICES_MAX 64
/** Locks shared by uploads; more uploads than this rarely run at once. */
#define JJ_NODE_UPLOAD_SHARDS 16

typedef struct jj_node jj_node_t;

/** An HTTP call that waits for an answer from a loop or the platform. */
typedef struct jj_pending {
	uint64_t operation;
	jj_http_call_t *call;
	/**
	 * Answers the call; runs on a loop's or the platform client's thread.
	 */
	void (*answer)(jj_node_t *node, struct jj_pending *pending, int status,
	    jj_ms_t retry_after_ms, const jj_bytes_t *body);
	void *detail; /**< data of the answer function */
	char id[JJ_NAME_MAX + 1];
	uint32_t chunk;
} jj_pending_t;

/** What the batch loop knows of a service. */
typedef struct {
	jj_name_t name;
	bool idempotent;
} jj_node_service_t;

struct jj_node {
	const jj_settings_t *settings;
	jj_incarnation_t incarnation;
	char writer[JJ_NAME_MAX + 20];

	jj_core_t *core; /**< only for the control loop */
	jj_loop_t *control;
	jj_batch_t *batch; /**< only for the batch loop */
	jj_jobs_t *jobs; /**< only for the batch loop */
	jj_loop_t *batch_loop;
	/** Only for the batch loop. */
	jj_node_service_t services[JJ_NODE_SERVICES_MAX];
	size_t service_count;

	jj_platform_t *platform_control;
	jj_platform_t *platform_bulk;
	jj_neighbours_t *neighbours;
	jj_relay_t *relay;
	jj_health_watch_t *health;
	jj_http_client_t *order_client;
	jj_http_guard_t *guard; /**< of both servers */
	jj_http_server_t *callers;
	jj_http_server_t *operators;

	apr_pool_t *pool; /**< owns the locks below */
	apr_thread_mutex_t *pending_lock; /**< guards pending */
	GHashTable *pending; /**< jj_pending_t by operation */
	apr_thread_mutex_t *upload_lock; /**< guards uploads */
	GHashTable *uploads; /**< upload_t of node_uploads.c by token */
	/** Each guards the uploads whose token modulo the size is its index. */
	apr_thread_mutex_t *upload_shards[JJ_NODE_UPLOAD_SHARDS];
	apr_thread_mutex_t *results_lock; /**< guards reader_t.waiting */

	atomic_uint_fast64_t last_number; /**< of requests and operations */
	atomic_bool leaving;
	atomic_bool core_idle;
	atomic_bool batch_idle;
	atomic_bool ready; /**< a configuration was received */
	GHashTable *hops; /**< spans by call; only for the control loop */
	/**
	 * Batch shares last sent to the batch loop; only for the control loop.
	 */
	jj_batch_share_t reported_shares[JJ_NODE_SERVICES_MAX];
	uint32_t reported_share_count;
	/** Batch shares last received; only for the batch loop. */
	jj_batch_share_t shares[JJ_NODE_SERVICES_MAX];
	uint32_t share_count;
	/** Time of the next health checks; only for the control loop. */
	jj_ms_t next_health_check_ms;
	/** Likewise, of servers whose last health check was cut off. */
	jj_ms_t next_recheck_ms;
	jj_ms_t next_upload_tick; /**< only for the batch loop */
};

/** Creates and starts all parts; logs and returns NULL on failure. */
jj_node_t *jj_node_create(const jj_settings_t *settings);
/** Begins a planned stop of this VM. */
void jj_node_leave(jj_node_t *node);
/** True when a planned stop has drained all work. */
bool jj_node_is_idle(jj_node_t *node);
void jj_node_destroy(jj_node_t *node);

/** Returns the next request or operation number of this process, from 1. */
uint64_t jj_node_next_number(jj_node_t *node);

/* Posting to the control loop (node_control.c). */
void jj_node_post_request(jj_node_t *node, const jj_request_t *request,
    const char *key, const char *path, const jj_bytes_t *body,
    const char *trace);
/** The caller of a request disconnected, or a batch item was cancelled. */
void jj_node_post_caller_disconnect(jj_node_t *node, uint64_t request);
void jj_node_post_message(jj_node_t *node, jj_message_t *message);
void jj_node_post_platform(jj_node_t *node, jj_platform_result_t *result);
void jj_node_post_backend(jj_node_t *node, const jj_backend_event_t *event,
    jj_backend_answer_t *response, const jj_name_t *server, bool suspect);
void jj_node_post_server(jj_node_t *node, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, bool crashed);
void jj_node_post_report(jj_node_t *node, const jj_name_t *server,
    uint32_t running, uint32_t waiting, jj_ms_t age_ms);
void
jj_node_post_patch(jj_node_t *node, uint64_t operation, uint64_t operation_key,
    const char *operator_name, uint64_t base_version, const jj_bytes_t *patch);
/** Posts an event that carries only numbers; @p slot for JJ_EVENT_RELEASE. */
void jj_node_post_simple(
    jj_node_t *node, jj_event_kind_t kind, uint64_t operation, uint32_t slot);
/** Answers the operation with the configuration in force. */
void jj_node_post_show_config(jj_node_t *node, uint64_t operation);
/** Posts a backend event that waited for a health check of its server. */
void jj_node_post_deferred_event(void *node, void *deferred);
jj_ms_t jj_node_control_next(void *node);
void jj_node_control_tick(void *node, jj_ms_t now);

/* Posting to the batch loop (node_batch.c). */
typedef enum {
	JJ_JOB_SUBMIT,
	JJ_JOB_STATUS,
	JJ_JOB_CANCEL,
	JJ_JOB_RESULTS,
	JJ_JOB_LIST,
} jj_job_operation_t;

void jj_node_post_job(jj_node_t *node, jj_job_operation_t kind,
    uint64_t operation, const char *id, const char *team, const char *key,
    const jj_bytes_t *body, uint32_t chunk);
void jj_node_post_item_end(jj_node_t *node, uint64_t item,
    jj_item_outcome_t outcome, int status, const jj_bytes_t *body);
void
jj_node_post_job_change(jj_node_t *node, const char *key, uint64_t version);
void jj_node_post_vm_lost(jj_node_t *node, const char *writer);
void jj_node_post_shares(
    jj_node_t *node, const jj_batch_share_t *shares, uint32_t count);
void jj_node_post_services(
    jj_node_t *node, const jj_node_service_t *services, size_t count);
void jj_node_post_batch_leave(jj_node_t *node);
void jj_node_post_bulk_result(jj_node_t *node, jj_platform_result_t *result);
jj_ms_t jj_node_batch_next(void *node);
void jj_node_batch_tick(void *node, jj_ms_t now);
/** Items of a service that may run at once; -1: no share of its servers. */
int32_t jj_node_service_limit(void *node, const char *service);
/** True when requests of the service are idempotent; false if unknown. */
bool jj_node_is_idempotent(void *node, const char *service);

/* Calls that wait for an answer (node_pending.c). */
jj_pending_t *jj_node_add_pending(jj_node_t *node, jj_http_call_t *call,
    void (*answer)(
	jj_node_t *, jj_pending_t *, int, jj_ms_t, const jj_bytes_t *));
/** Answers the operation's call and frees it; ignores unknown ones. */
void jj_node_answer_pending(jj_node_t *node, uint64_t operation, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body);
/** An answer function that sends status and JSON body unchanged. */
void jj_node_answer_json(jj_node_t *node, jj_pending_t *pending, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body);

/* Spans of calls to other VMs (node_hops.c); only for the control loop. */
/** Begins a span once per call and sets it as the call's trace parent. */
void jj_node_begin_hop(jj_node_t *node, const jj_name_t *to, jj_call_t *call);
void jj_node_end_hop(jj_node_t *node, const jj_call_answer_t *answer);

/* Ending exchanges (node_finish.c). */
void jj_node_finish_failed(jj_node_t *node, const jj_answer_t *answer);
void jj_node_finish_call(
    jj_node_t *node, uint64_t request, const jj_call_answer_t *answer);
void jj_node_finish_response(jj_node_t *node, uint64_t request, bool rejected,
    jj_backend_answer_t *response);
void jj_node_drop_exchange(jj_node_t *node, uint64_t request);

/* Uploads (node_uploads.c). */
size_t jj_node_feed_upload(
    void *node, jj_http_call_t *call, const char *data, size_t size);
void jj_node_finish_upload(jj_node_t *node, jj_http_call_t *call);
void jj_node_abort_upload(jj_node_t *node, jj_http_call_t *call);
void jj_node_take_upload_result(jj_node_t *node, jj_platform_result_t *result);
void jj_node_tick_uploads(jj_node_t *node, jj_ms_t now);
bool jj_node_is_upload(const jj_http_call_t *call);

/* Servers (node_callers.c, node_operators.c). */
/** Answers 200 when this VM accepts requests, else 503. */
void jj_node_answer_ready(jj_node_t *node, jj_http_call_t *call);
/** Answers an operator's request for the configuration's history. */
void
jj_node_answer_history(jj_node_t *node, const jj_platform_result_t *result);
bool jj_node_serve_callers(jj_node_t *node);
bool jj_node_serve_operators(jj_node_t *node);
/** Streams a job's results chunk by chunk (node_results.c). */
void
jj_node_begin_results(jj_node_t *node, jj_http_call_t *call, const char *id);
/** The send buffer of a results stream can be written again. */
void jj_node_resume_results(jj_node_t *node, jj_http_call_t *call);
bool jj_node_is_results_call(const jj_http_call_t *call);

/* Orders to model engines (node_orders.c). */
void jj_node_send_order(jj_node_t *node, const jj_action_t *action);
void jj_node_post_order_answer(jj_node_t *node, const jj_name_t *server,
    uint64_t order, int status, jj_ms_t retry_after_ms);

/* Metrics (node_metrics.c). */
void jj_node_count_event(const char *name);
void jj_node_update_metrics(jj_node_t *node);

#endif
