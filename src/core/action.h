/**
 * @file action.h
 * @brief Actions that the core returns for its adapters to carry out.
 *
 * The core turns each event into a list of actions. The caller carries them out
 * in order and frees the list.
 */
#ifndef JJ_CORE_ACTION_H
#define JJ_CORE_ACTION_H

#include <sys/queue.h>

#include "core/message.h"
#include "core/platform_call.h"
#include "core/types.h"

typedef enum {
	JJ_ACTION_SEND, /**< a message to a VM */
	JJ_ACTION_PLATFORM, /**< a call to the platform */
	JJ_ACTION_BACKEND_START, /**< send a request to a backend server */
	JJ_ACTION_BACKEND_CANCEL, /**< stop a request at its server */
	JJ_ACTION_ANSWER, /**< a caller's final answer */
	JJ_ACTION_CALL_ANSWER, /**< the outcome of a non-idempotent call */
	JJ_ACTION_CONFIG_ANSWER, /**< the outcome of a patch */
	JJ_ACTION_CONFIG_ADOPTED, /**< a newer configuration is in force */
	/** a batch item is ready to be sent to a server */
	JJ_ACTION_ITEM_READY,
	/** a non-idempotent call is ready to run, at most once */
	JJ_ACTION_CALL_READY,
	JJ_ACTION_ITEM_CANCEL, /**< stop a batch item */
	JJ_ACTION_JOB_ANSWER, /**< the outcome of a job operation */
	JJ_ACTION_ORDER, /**< an order to a model engine */
	JJ_ACTION_JOB_CHANGED, /**< an object below `jobs/` changed */
	JJ_ACTION_VM_LOST, /**< a VM's process counts as lost */
	JJ_ACTION_EVENT, /**< an event to log and count */
} jj_action_kind_t;

/** The backend server that a request is sent to. */
typedef struct {
	uint64_t request;
	/** number of this attempt; increases with each one */
	uint32_t attempt;
	jj_name_t server;
	uint32_t resume_from; /**< not 0: resume its stream from this event */
} jj_backend_start_t;

/** Why a request ends without a backend server's answer. */
typedef enum {
	JJ_FAILURE_NONE,
	JJ_FAILURE_NO_SERVER, /**< no server for the service is up here */
	JJ_FAILURE_OVERLOADED, /**< queue full, or waited too long */
	JJ_FAILURE_DEADLINE, /**< cannot be met, or has passed */
	JJ_FAILURE_RETRIES, /**< attempts or retry budget exhausted */
	JJ_FAILURE_QUARANTINED, /**< it crashes backend servers */
	JJ_FAILURE_BROKEN, /**< the server failed in the middle of its answer */
	JJ_FAILURE_STOPPING, /**< this VM is leaving */
	/** no configuration yet, or a newer one exists */
	JJ_FAILURE_NO_CONFIG,
	JJ_FAILURE_CANCELLED,
	JJ_FAILURE_NO_SERVICE, /**< the configuration has no such service */
	JJ_FAILURE_TEAM_LIMIT, /**< the team has used up its rate */
	/** it may have crashed several servers; known within seconds */
	JJ_FAILURE_SUSPECT,
	/** a part of its prompt crashes servers */
	JJ_FAILURE_CRASHING_PART,
	/** nobody knows which software version began the stream */
	JJ_FAILURE_NO_ORIGIN,
	/** no slot is free, and its group has more than its fair share */
	JJ_FAILURE_OVER_SHARE,
} jj_failure_t;

/** Whether a request was run, as its final answer states it. */
typedef enum {
	JJ_RUN_NOT_RUN, /**< no byte can have reached a backend server */
	JJ_RUN_UNKNOWN,
	JJ_RUN_RAN,
} jj_run_t;

typedef struct {
	uint64_t request;
	jj_failure_t reason;
	jj_run_t run;
	jj_ms_t retry_after_ms; /**< 0: do not retry */
} jj_answer_t;

/** One action; `body` by kind. */
typedef struct jj_action {
	TAILQ_ENTRY(jj_action) link;
	jj_action_kind_t kind;
	union {
		struct {
			jj_name_t to;
			jj_message_t *message; /**< owned */
		} send;
		jj_platform_call_t platform;
		jj_backend_start_t start;
		struct {
			uint64_t request;
			uint32_t attempt;
		} cancel;
		jj_answer_t answer;
		struct {
			/** operation number passed to the begin */
			uint64_t call;
			jj_call_answer_t answer;
		} call;
		struct {
			uint64_t operation;
			int status; /**< HTTP: 200, 409, 412, 422, 503 */
			/** adopted version, or the current one */
			uint64_t version;
			jj_bytes_t detail; /**< explanation for the operator */
			jj_ms_t retry_after_ms;
		} config;
		struct {
			uint64_t version;
		} adopted;
		struct {
			/** number of this run, unique on this VM */
			uint64_t item;
			jj_name_t service;
			jj_name_t team;
			uint64_t fingerprint;
			bool idempotent;
			/** due time of the job on this VM's clock */
			jj_ms_t due_ms;
			jj_bytes_t body; /**< request body */
			jj_bytes_t path;
			/** for a call: the caller's key and traceparent */
			char key[JJ_IDEMPOTENCY_KEY_MAX + 1];
			char trace[56];
		} item;
		struct {
			uint64_t operation;
			int status;
			jj_ms_t retry_after_ms;
			jj_bytes_t body; /**< JSON */
		} job;
		struct {
			jj_name_t server;
			uint64_t fence;
			uint64_t order;
			jj_bytes_t body; /**< JSON */
		} order;
		struct {
			char key[JJ_OBJECT_KEY_MAX + 1];
			uint64_t version;
		} job_change;
		struct {
			jj_name_t name;
			jj_incarnation_t incarnation;
		} lost;
		struct {
			const char *name; /**< static, as in `event=NAME` */
			char detail[256]; /**< more key=value pairs */
		} event;
	} body;
} jj_action_t;

typedef TAILQ_HEAD(jj_action_list, jj_action) jj_actions_t;

/** Short name of the reason, for log lines. */
const char *jj_failure_name(jj_failure_t reason);
/** Appends an action of a kind, zeroed, to be filled in. */
jj_action_t *jj_actions_add(jj_actions_t *actions, jj_action_kind_t kind);
/** Appends a message of a kind to a VM and returns it to be filled in. */
jj_message_t *jj_actions_add_message(
    jj_actions_t *actions, const jj_name_t *to, jj_message_kind_t kind);
/** Appends a platform call of an owner and returns it to be filled in. */
jj_platform_call_t *jj_actions_add_platform(jj_actions_t *actions,
    jj_owner_t owner, jj_platform_op_t op, uint64_t token);
/** Appends a log event; the format makes further key=value pairs. */
void jj_actions_add_event(jj_actions_t *actions, const char *name,
    const char *format, ...) __attribute__((format(printf, 3, 4)));
/** Frees one action that was taken off its list. */
void jj_action_free(jj_action_t *action);
/** Frees all actions of a list. */
void jj_actions_clear(jj_actions_t *actions);

#endif
