/**
 * @file action.h
 * @brief What the core asks its adapters to do.
 *
 * A step of the core turns one event into a list of actions. The caller
 * carries them out in order and frees the list.
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
	JJ_ACTION_ITEM_READY, /**< a batch item wants a server */
	JJ_ACTION_CALL_READY, /**< a non-idempotent call to be run once */
	JJ_ACTION_ITEM_CANCEL, /**< a batch item shall stop */
	JJ_ACTION_JOB_ANSWER, /**< the outcome of a job operation */
	JJ_ACTION_ORDER, /**< an order to a model engine */
	JJ_ACTION_JOB_CHANGED, /**< an object below `jobs/` changed */
	JJ_ACTION_VM_LOST, /**< a VM's process is held for dead */
	JJ_ACTION_EVENT, /**< something worth a log line and a count */
} jj_action_kind_t;

/** Where a request goes. */
typedef struct {
	uint64_t request;
	uint32_t attempt; /**< rises by one each time it is sent */
	jj_name_t server;
	uint32_t resume_from; /**< not 0: goes on with its stream there */
} jj_backend_start_t;

/** Why a request ends without a backend server's answer. */
typedef enum {
	JJ_GIVE_UP_NONE,
	JJ_GIVE_UP_NO_SERVER, /**< none up for this service here */
	JJ_GIVE_UP_OVERLOADED, /**< queue full or wait too long */
	JJ_GIVE_UP_DEADLINE, /**< cannot be met, or has passed */
	JJ_GIVE_UP_RETRIES, /**< attempts or retry budget used up */
	JJ_GIVE_UP_QUARANTINED, /**< it crashes backend servers */
	JJ_GIVE_UP_BROKEN, /**< the server failed in mid answer */
	JJ_GIVE_UP_STOPPING, /**< this VM is leaving */
	JJ_GIVE_UP_NO_CONFIG, /**< none known yet, or not the newest one */
	JJ_GIVE_UP_CANCELLED,
	JJ_GIVE_UP_NO_SERVICE, /**< the configuration has no such service */
} jj_give_up_t;

/** What a final answer says about the run. */
typedef enum {
	JJ_RUN_NOT_RUN, /**< no byte can have reached a backend server */
	JJ_RUN_UNKNOWN,
	JJ_RUN_RUN,
} jj_run_t;

typedef struct {
	uint64_t request;
	jj_give_up_t reason;
	jj_run_t run;
	jj_ms_t retry_after_ms; /**< 0: do not ask again */
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
			uint64_t call; /**< number given at the begin */
			jj_call_answer_t answer;
		} call;
		struct {
			uint64_t operation;
			int status; /**< HTTP: 200, 409, 412, 422, 503 */
			uint64_t version; /**< in force, or current */
			jj_bytes_t detail; /**< plain words for the operator */
			jj_ms_t retry_after_ms;
		} config;
		struct {
			uint64_t version;
		} adopted;
		struct {
			uint64_t item; /**< node-wide number of this run */
			jj_name_t service;
			jj_name_t team;
			uint64_t fingerprint;
			bool idempotent;
			jj_ms_t due_ms; /**< the job's due time, own clock */
			jj_bytes_t body; /**< request body */
			jj_bytes_t path;
			/** of a call: the caller's key and traceparent */
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
			char detail[200]; /**< more key=value pairs */
		} event;
	} body;
} jj_action_t;

typedef TAILQ_HEAD(jj_action_list, jj_action) jj_actions_t;

/** The reason in one word, for log lines. */
const char *jj_give_up_name(jj_give_up_t reason);
/** Appends an action of a kind, zeroed, to be filled in. */
jj_action_t *jj_actions_add(jj_actions_t *actions, jj_action_kind_t kind);
/** Appends a message of a kind to a VM and returns it to be filled in. */
jj_message_t *jj_actions_add_message(
    jj_actions_t *actions, const jj_name_t *to, jj_message_kind_t kind);
/** Appends a platform call of an owner and returns it to be filled in. */
jj_platform_call_t *jj_actions_add_platform(jj_actions_t *actions,
    jj_owner_t owner, jj_platform_op_t op, uint64_t token);
/** Appends a log event with printf-like further pairs. */
void jj_actions_add_event(jj_actions_t *actions, const char *name,
    const char *format, ...) __attribute__((format(printf, 3, 4)));
/** Frees one action that was taken off its list. */
void jj_action_free(jj_action_t *action);
/** Frees all actions of a list. */
void jj_actions_clear(jj_actions_t *actions);

#endif
