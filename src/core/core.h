/**
 * @file core.h
 * @brief The complete core of a VM's control: takes events and time, returns
 * actions.
 *
 * It has no thread, socket or clock. The daemon, a benchmark in the same
 * process or a program that reads events from standard input drive it in the
 * same way: call jj_core_handle for each event, carry out the actions in order,
 * and call it with JJ_EVENT_TICK at jj_core_next.
 *
 * Batch jobs have a core of their own (core/batch.h, core/job.h,
 * core/intake.h), driven by another thread, so that a megabyte of batch input
 * never delays an online request. Batch items enter this core as requests like
 * others.
 */
#ifndef JJ_CORE_CORE_H
#define JJ_CORE_CORE_H

#include "core/action.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "core/fleet.h"
#include "core/lease.h"
#include "core/ledger.h"
#include "core/member.h"
#include "core/orders.h"
#include "core/quarantine.h"

/** Flag in the request numbers that the core itself assigns. */
#define JJ_REQUEST_INTERNAL (UINT64_C(1) << 63)

typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_incarnation_t incarnation;
	jj_member_settings_t member;
	jj_quarantine_settings_t quarantine;
	jj_config_settings_t config;
	jj_lease_settings_t lease;
	jj_ledger_settings_t ledger;
	jj_dispatch_settings_t dispatch;
	jj_orders_settings_t orders;
	jj_ms_t vms_poll_ms; /**< time between reads of the VM list */
	/** gap between ticks from which on it counts as a pause */
	jj_ms_t pause_ms;
	jj_ms_t resend_ms; /**< time until a forwarded call is resent */
} jj_core_settings_t;

typedef enum {
	JJ_EVENT_TICK,
	JJ_EVENT_MESSAGE, /**< from another VM */
	JJ_EVENT_PLATFORM, /**< the result of a platform call of this core */
	JJ_EVENT_REQUEST, /**< from a caller, or a batch item */
	JJ_EVENT_BACKEND, /**< progress of a request at a backend server */
	JJ_EVENT_CALLER_DISCONNECTED, /**< of a request */
	JJ_EVENT_CRASH, /**< the process of a backend server crashed */
	JJ_EVENT_SERVER, /**< a backend server reported its state */
	JJ_EVENT_REPORT, /**< a backend server's load report */
	JJ_EVENT_ORDER_ANSWER, /**< the answer to an order */
	JJ_EVENT_PATCH, /**< an operator's patch of the configuration */
	/** an operator declares a ledger slot's history lost */
	JJ_EVENT_RELEASE,
	JJ_EVENT_STATUS, /**< an operator requests the state */
	JJ_EVENT_LEAVE, /**< planned stop */
} jj_event_kind_t;

/** One event; its pointers belong to the caller of jj_core_handle. */
typedef struct {
	jj_event_kind_t kind;
	union {
		const jj_message_t *message;
		const jj_platform_result_t *platform;
		struct {
			jj_request_t request;
			const char *key; /**< idempotency key or NULL */
			const char *path;
			jj_bytes_t body; /**< only read */
			const char *trace;
		} request;
		struct {
			jj_backend_event_t event;
			int status; /**< of a complete answer */
			jj_bytes_t body; /**< of a complete answer; only read */
		} backend;
		uint64_t disconnected_request;
		struct {
			jj_name_t server;
			uint64_t boot;
			/** for JJ_EVENT_SERVER only */
			jj_server_state_t state;
		} server;
		struct {
			jj_name_t server;
			uint32_t running;
			uint32_t waiting;
			jj_ms_t age_ms;
		} report;
		struct {
			jj_name_t server;
			uint64_t order;
			int status;
			jj_ms_t retry_after_ms;
		} ordered;
		struct {
			uint64_t operation;
			uint64_t operation_key;
			const char *operator_name;
			uint64_t base_version;
			jj_bytes_t patch; /**< only read */
		} patch;
		struct {
			uint64_t operation;
			uint32_t slot;
		} release;
		uint64_t operation; /**< for JJ_EVENT_STATUS */
	} body;
} jj_event_t;

typedef struct jj_core jj_core_t;

jj_core_t *jj_core_create(const jj_core_settings_t *settings);
void jj_core_destroy(jj_core_t *core);
/** Adds a VM or server from the settings. */
void jj_core_add_vm(jj_core_t *core, const jj_name_t *name,
    const jj_name_t *domain, const char *address);
void jj_core_add_server(jj_core_t *core, const jj_server_t *server);
/** Handles one event; appends the resulting actions. */
void jj_core_handle(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/** When the next tick is due. */
jj_ms_t jj_core_next(const jj_core_t *core);
/** True when no work is left that a planned stop must wait for. */
bool jj_core_is_idle(const jj_core_t *core);
/** Address of a VM, for the adapter that sends to it; NULL when unknown. */
const char *jj_core_address(const jj_core_t *core, const jj_name_t *name);

/* Read access for adapters and tests. */
const jj_config_t *jj_core_config(const jj_core_t *core);
const jj_fleet_t *jj_core_fleet(const jj_core_t *core);
const jj_member_t *jj_core_member(const jj_core_t *core);
/**
 * Maximum batch items of each service that this VM may have handed out at once;
 * a few more than servers have capacity for, so that the next ones are ready
 * when capacity frees up.
 */
uint32_t jj_core_batch_shares(
    const jj_core_t *core, jj_batch_share_t *shares, uint32_t max, jj_ms_t now);

/** Writes NAME/HEX16, which names a process in platform objects. */
void jj_core_write_writer(const jj_name_t *name, jj_incarnation_t incarnation,
    char *text, size_t size);

#endif
