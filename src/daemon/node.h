/**
 * @file node.h
 * @brief A VM's daemon: the two halves of the core, joined to the world.
 *
 * Two loops, each the only thread that touches its half of the core: the
 * control loop (routing, ledger, configuration, membership) and the batch
 * loop (chunks, jobs). All else runs on adapters' threads and posts to them.
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

/** Bit that marks request numbers of batch items. */
#define JJ_REQUEST_ITEM (UINT64_C(1) << 62)
/** Most services the batch half knows at once. */
#define JJ_NODE_SERVICES_MAX 64
/** Locks that uploads share; more uploads than this rarely run at once. */
#define JJ_NODE_UPLOAD_SHARDS 16

typedef struct jj_node jj_node_t;

/** An operation that waits for its answer from a loop or the platform. */
typedef struct jj_pending {
	uint64_t operation;
	jj_http_call_t *call;
	/** Answers the call; on a loop's or the platform client's thread. */
	void (*answer)(jj_node_t *node, struct jj_pending *pending, int status,
	    jj_ms_t retry_after_ms, const jj_bytes_t *body);
	void *detail; /**< the answer function's own */
	char id[JJ_NAME_MAX + 1];
	uint32_t chunk;
} jj_pending_t;

/** What the batch half knows of a service. */
typedef struct {
	jj_name_t name;
	bool idempotent;
} jj_node_service_t;

struct jj_node {
	const jj_settings_t *settings;
	jj_incarnation_t incarnation;
	char writer[JJ_NAME_MAX + 20];

	jj_core_t *core; /**< the control loop's own */
	jj_loop_t *control;
	jj_batch_t *batch; /**< the batch loop's own */
	jj_jobs_t *jobs; /**< likewise */
	jj_loop_t *batch_loop;
	jj_node_service_t services[JJ_NODE_SERVICES_MAX]; /**< likewise */
	size_t service_count;

	jj_platform_t *platform_control;
	jj_platform_t *platform_bulk;
	jj_neighbours_t *neighbours;
	jj_relay_t *relay;
	jj_health_watch_t *health;
	jj_http_client_t *order_client;
	jj_http_server_t *callers;
	jj_http_server_t *operators;

	apr_pool_t *pool; /**< owns the locks that follow */
	apr_thread_mutex_t *pending_lock; /**< guards pending */
	GHashTable *pending; /**< jj_pending_t by operation */
	apr_thread_mutex_t *upload_lock; /**< guards uploads */
	GHashTable *uploads; /**< by token */
	/** Each guards the uploads whose token falls to it. */
	apr_thread_mutex_t *upload_shards[JJ_NODE_UPLOAD_SHARDS];
	apr_thread_mutex_t *results_lock; /**< guards readers' waiting */

	atomic_uint_fast64_t last_number; /**< requests and operations */
	atomic_bool leaving;
	atomic_bool core_idle;
	atomic_bool batch_idle;
	atomic_bool ready; /**< a configuration is known */
	GHashTable *hops; /**< spans by call; the control loop's own */
	/** Batch shares told last; the control loop's own. */
	jj_batch_share_t shares_told[JJ_NODE_SERVICES_MAX];
	uint32_t share_told;
	jj_batch_share_t shares[JJ_NODE_SERVICES_MAX]; /**< the batch loop's */
	uint32_t share_count;
	jj_ms_t next_look; /**< at servers' health; the control loop's own */
	jj_ms_t again_look; /**< at those whose last one was cut off */
	jj_ms_t next_upload_tick; /**< the batch loop's own */
};

/** Builds and starts everything; NULL (after a log line) on failure. */
jj_node_t *jj_node_create(const jj_settings_t *settings);
/** Begins a planned stop. */
void jj_node_leave(jj_node_t *node);
/** True when a planned stop has nothing left to wait for. */
bool jj_node_is_idle(jj_node_t *node);
void jj_node_destroy(jj_node_t *node);

/** A number for a request or operation of this process, from 1. */
uint64_t jj_node_next_number(jj_node_t *node);

/* Posting to the control loop (node_control.c). */
void jj_node_post_request(jj_node_t *node, const jj_request_t *request,
    const char *key, const char *path, const jj_bytes_t *body,
    const char *trace);
void jj_node_post_gone(jj_node_t *node, uint64_t request);
void jj_node_post_message(jj_node_t *node, jj_message_t *message);
void jj_node_post_platform(jj_node_t *node, jj_platform_result_t *result);
void jj_node_post_backend(jj_node_t *node, const jj_backend_event_t *event,
    jj_whole_t *whole, const jj_name_t *server, bool suspect);
void jj_node_post_server(jj_node_t *node, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, bool crashed);
void jj_node_post_report(jj_node_t *node, const jj_name_t *server,
    uint32_t running, uint32_t waiting, jj_ms_t age_ms);
void
jj_node_post_patch(jj_node_t *node, uint64_t operation, uint64_t operation_key,
    const char *operator_name, uint64_t base_version, const jj_bytes_t *patch);
void jj_node_post_simple(
    jj_node_t *node, jj_event_kind_t kind, uint64_t operation, uint32_t slot);
/** Answers the operation with the configuration in force. */
void jj_node_post_show_config(jj_node_t *node, uint64_t operation);
/** Tells events held back by the health watch. */
void jj_node_release_held(void *node, void *held);
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
/** Items of a service that may be out, -1: no share of its servers. */
int32_t jj_node_service_limit(void *node, const char *service);
/** What the batch worker asks of a service. */
bool jj_node_is_idempotent(void *node, const char *service);

/* Operations that wait (node_pending.c). */
jj_pending_t *jj_node_add_pending(jj_node_t *node, jj_http_call_t *call,
    void (*answer)(
	jj_node_t *, jj_pending_t *, int, jj_ms_t, const jj_bytes_t *));
/** Answers the operation's call and frees it; nothing when unknown. */
void jj_node_answer_pending(jj_node_t *node, uint64_t operation, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body);
/** The usual answer: status and JSON as they are. */
void jj_node_answer_plainly(jj_node_t *node, jj_pending_t *pending, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body);

/* Spans of calls sent to other VMs (node_hops.c); the control loop's own. */
/** Begins the hop, once per call; the call carries it as its parent. */
void jj_node_begin_hop(jj_node_t *node, const jj_name_t *to, jj_call_t *call);
void jj_node_end_hop(jj_node_t *node, const jj_call_answer_t *answer);

/* Finishing exchanges (node_finish.c). */
void jj_node_finish_given_up(jj_node_t *node, const jj_answer_t *answer);
void jj_node_finish_call(
    jj_node_t *node, uint64_t request, const jj_call_answer_t *answer);
void jj_node_finish_whole(
    jj_node_t *node, uint64_t request, bool rejected, jj_whole_t *whole);
void jj_node_drop_exchange(jj_node_t *node, uint64_t request);

/* Uploads (node_uploads.c). */
size_t jj_node_take_upload(
    void *node, jj_http_call_t *call, const char *data, size_t size);
void jj_node_finish_upload(jj_node_t *node, jj_http_call_t *call);
void jj_node_drop_upload(jj_node_t *node, jj_http_call_t *call);
void jj_node_take_upload_result(jj_node_t *node, jj_platform_result_t *result);
void jj_node_tick_uploads(jj_node_t *node, jj_ms_t now);
bool jj_node_is_upload(const jj_http_call_t *call);

/* Servers (node_callers.c, node_operators.c). */
/** Whether this VM takes requests: 200 or 503. */
void jj_node_answer_ready(jj_node_t *node, jj_http_call_t *call);
/** A list of the configuration's history, for the operator who asked. */
void jj_node_take_history(jj_node_t *node, const jj_platform_result_t *result);
bool jj_node_serve_callers(jj_node_t *node);
bool jj_node_serve_operators(jj_node_t *node);
/** Streams a job's results, chunk by chunk (node_results.c). */
void
jj_node_begin_results(jj_node_t *node, jj_http_call_t *call, const char *id);
/** A results reader has room again. */
void jj_node_resume_results(jj_node_t *node, jj_http_call_t *call);
bool jj_node_is_results(const jj_http_call_t *call);

/* Orders to model engines (node_orders.c). */
void jj_node_send_order(jj_node_t *node, const jj_action_t *action);
void jj_node_post_ordered(jj_node_t *node, const jj_name_t *server,
    uint64_t order, int status, jj_ms_t retry_after_ms);

/* Metrics (node_metrics.c). */
void jj_node_count_event(const char *name);
void jj_node_update_metrics(jj_node_t *node);

#endif
