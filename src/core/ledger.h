/**
 * @file ledger.h
 * @brief Runs non-idempotent calls at most once, without storage of its own.
 *
 * Idempotency keys are hashed into JJ_LEDGER_SLOTS key slots per failure
 * domain. The slot table, one platform object per domain changed only by
 * conditional update, gives each slot an epoch, a home and a witness (VM and
 * incarnation).
 *
 * Why a call runs at most once:
 *  - A home runs a call only after the witness of the same epoch recorded the
 *    intent (the home's message that it is about to run the call). A witness
 *    that has adopted a newer epoch refuses the older one, so a deposed home
 *    that resumes after a pause gets no acknowledgement.
 *  - Only a VM with the slot's complete history opens an epoch: the home, or a
 *    witness that was synced. So the next home has a record of each key that
 *    ran, and turns an unfinished intent into "unknown".
 *  - A home runs calls only after its witness was synced in this epoch. Until
 *    then the VM that was home or synced witness in the previous epoch still
 *    has the complete history, and may open the next epoch.
 *  - Running without a witness needs the platform's conditional update, so two
 *    homes that cannot reach each other cannot both run without one. A home
 *    without a witness cannot be deposed.
 *  - Where the history is lost (both processes replaced, or an operator
 *    declares it lost) the slot runs no key without a record until the
 *    retention time has passed.
 *
 * JJ_CALL_NOT_RUN is answered only when no VM can have run the key: by a home
 * whose attempt the witness has acknowledged, or by a home without a witness.
 * All other refusals are JJ_CALL_NO_HISTORY (this attempt was not run, the
 * outcome of earlier ones is unknown) with a time after which to retry: a home
 * without an acknowledgement cannot tell whether it was deposed and its
 * successor ran the key.
 */
#ifndef JJ_CORE_LEDGER_H
#define JJ_CORE_LEDGER_H

#include "core/action.h"
#include "core/member.h"

/** Key slots per failure domain. */
#define JJ_LEDGER_SLOTS 64
/** Maximum live VMs of a failure domain that key slots are assigned to. */
#define JJ_LEDGER_VMS_MAX 512

typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_incarnation_t incarnation;
	jj_ms_t retention_ms; /**< how long keys are kept; default 7200000 */
	/** timeout for the witness's acknowledgement; default 1000 */
	jj_ms_t ack_timeout_ms;
	/** time without a heartbeat before a takeover; default 3000 */
	jj_ms_t takeover_ms;
	/** maximum size of a stored answer, bytes; default 8192 */
	size_t answer_max;
	size_t record_max; /**< maximum number of records; default 200000 */
	uint64_t seed;
} jj_ledger_settings_t;

typedef struct jj_ledger jj_ledger_t;

/** Functions that the ledger calls. */
typedef struct {
	void *ctx;
	/**
	 * Runs the call: at most once per key, after the witness has
	 * acknowledged the intent. Must not call the ledger before it returns.
	 */
	void (*run)(void *ctx, uint64_t run, const jj_call_t *call);
	/** The entry of a VM, or NULL when it is unknown (jj_member_find). */
	const jj_member_info_t *(*find)(void *ctx, const jj_name_t *name);
	/**
	 * Lists up to @p max live VMs of the local domain that are not leaving,
	 * this one included unless it leaves; returns how many
	 * (jj_member_list).
	 */
	size_t (*list)(void *ctx, jj_member_info_t *infos, size_t max);
} jj_ledger_port_t;

/** The port is copied; its ctx must outlive the ledger. */
jj_ledger_t *jj_ledger_create(
    const jj_ledger_settings_t *settings, const jj_ledger_port_t *port);
void jj_ledger_destroy(jj_ledger_t *ledger);

/** The key slot of an idempotency key. */
uint32_t jj_ledger_slot(const jj_hash_t *key);
/** Version of the slot table that this VM has adopted. */
uint64_t jj_ledger_version(const jj_ledger_t *ledger);
/** The home of a key's slot in the local domain, by the adopted table. */
bool jj_ledger_home(
    const jj_ledger_t *ledger, const jj_hash_t *key, jj_name_t *home);
/**
 * True while this VM is the key's home, has no record of the key, and its
 * witness has not received all records since the epoch began. Lasts at most as
 * long as it takes to replace a witness that does not answer: takeover_ms until
 * it counts as lost, ack_timeout_ms for the new table and the next witness. A
 * call may wait for that.
 */
bool
jj_ledger_is_syncing(jj_ledger_t *ledger, const jj_hash_t *key, jj_ms_t now);
/** When this VM adopted the current epoch of the key's slot; 0: never. */
jj_ms_t
jj_ledger_epoch_adopted_ms(const jj_ledger_t *ledger, const jj_hash_t *key);

/**
 * Finds the stored answer of a call that has run, where this VM has it as home,
 * as witness or because it ran the call. @p answer is REPLAYED then; its body
 * belongs to the ledger.
 */
bool jj_ledger_find_answer(jj_ledger_t *ledger, const jj_call_t *call,
    jj_ms_t now, jj_call_answer_t *answer);
/**
 * Begins a call at this VM as its home (from a local caller, or forwarded).
 * Ends with one JJ_ACTION_CALL_ANSWER for @p operation or, for a call that VM
 * @p from forwarded, with a JJ_MESSAGE_CALL_ANSWER to it. The bytes of @p call
 * are copied.
 */
void
jj_ledger_begin(jj_ledger_t *ledger, uint64_t operation, const jj_name_t *from,
    const jj_call_t *call, jj_ms_t now, jj_actions_t *out);
/**
 * A run ended: @p outcome is DONE with status and body, NOT_RUN when it is
 * certain that no byte was sent (the key can then be used again), else UNKNOWN.
 */
void jj_ledger_end(jj_ledger_t *ledger, uint64_t run, jj_call_outcome_t outcome,
    int status, const jj_bytes_t *body, jj_ms_t retry_after_ms, jj_ms_t now,
    jj_actions_t *out);
/**
 * Handles a message of kind JJ_MESSAGE_INTENT, INTENT_ACK, RESOLVE, SYNC,
 * SYNC_ACK or SLOTS that jj_member_accept() has accepted.
 */
void jj_ledger_take_message(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** Handles the result of a platform call of owner JJ_OWNER_LEDGER. */
void jj_ledger_take_result(jj_ledger_t *ledger,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/**
 * The slot table may have changed: reads it from the platform when @p version
 * is newer than the adopted one.
 */
void jj_ledger_refresh(
    jj_ledger_t *ledger, uint64_t version, jj_ms_t now, jj_actions_t *out);
void jj_ledger_tick(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_ledger_next(const jj_ledger_t *ledger);
/** Hands all slots over to other VMs before a planned stop. */
void jj_ledger_leave(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);
/** True when no slot is left to hand over and no call is open. */
bool jj_ledger_is_idle(const jj_ledger_t *ledger);
/**
 * An operator confirms that the VMs that held a slot's history will not return:
 * the slot starts again with unknown history.
 */
void jj_ledger_release(
    jj_ledger_t *ledger, uint32_t slot, jj_ms_t now, jj_actions_t *out);
/** The state of the slots as JSON, for operators. */
jj_bytes_t jj_ledger_status(const jj_ledger_t *ledger);

#endif
