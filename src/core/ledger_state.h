/**
 * @file ledger_state.h
 * @brief State shared by the ledger*.c files; private to them.
 *
 * ledger.c begins and ends calls, ledger_intent.c exchanges intents and
 * outcomes between home and witness, ledger_sync.c transfers a slot's records
 * to a new witness, ledger_slots.c reads, writes and adopts the slot table,
 * ledger_plan.c decides on changes to it.
 */
#ifndef JJ_CORE_LEDGER_STATE_H
#define JJ_CORE_LEDGER_STATE_H

#include "core/ledger_records.h"
#include "core/ledger_refusals.h"
#include "core/ledger_table.h"

/** Retry-after time sent with refusals. */
#define JJ_LEDGER_RETRY_AFTER_MS 1000

/** A call whose home this VM is or was. */
typedef struct jj_ledger_call {
	TAILQ_ENTRY(jj_ledger_call) link;
	uint64_t run; /**< number of this run on this VM */
	uint64_t operation;
	bool forwarded;
	jj_ledger_vm_t from;
	jj_call_t call;
	uint32_t slot;
	uint32_t attempt;
	bool running; /**< passed to port.run */
	jj_ms_t deadline;
	jj_ms_t ack_deadline; /**< when the wait for the witness times out */
} jj_ledger_call_t;

typedef TAILQ_HEAD(jj_ledger_calls, jj_ledger_call) jj_ledger_calls_t;

/** The outcome of a call, to be sent to the witness a second time. */
typedef struct jj_ledger_resend {
	TAILQ_ENTRY(jj_ledger_resend) link;
	jj_ms_t due;
	uint32_t slot;
	uint64_t epoch;
	jj_hash_t key;
	uint32_t attempt;
	bool removed;
} jj_ledger_resend_t;

/** This VM's state of one slot in the epoch of the adopted table. */
typedef struct {
	/** this VM has every record of the slot that has not expired */
	bool complete;
	/** home: the witness has all records; witness: this VM has */
	bool synced;
	bool released; /**< an operator declared the history lost */
	bool unknown; /**< history lost: keys without a record may have run */
	jj_ms_t unknown_since;
	jj_ms_t epoch_adopted_ms; /**< 0: no epoch adopted yet */
	/** home: part to be confirmed; witness: part expected next */
	uint32_t sync_part;
	jj_ms_t sync_due; /**< home: when to resend the part */
	/** home: keys to send; NULL: no sync in progress */
	jj_hash_t *sync_keys;
	size_t sync_count;
} jj_ledger_slot_state_t;

struct jj_ledger {
	jj_ledger_settings_t settings;
	jj_ledger_port_t port;
	jj_ledger_vm_t self;
	jj_ledger_table_t table;
	jj_ledger_slot_state_t slot_states[JJ_LEDGER_SLOTS];
	jj_ledger_records_t *records;
	jj_ledger_refusals_t *refusals;
	jj_ledger_calls_t calls;
	TAILQ_HEAD(, jj_ledger_resend) resends;
	uint64_t next_run;
	uint32_t next_attempt;
	bool leaving;

	uint64_t token; /**< token of the platform call in flight */
	jj_platform_op_t op;
	bool in_flight;
	jj_ms_t sent_ms;
	bool needs_read;
	jj_ms_t next_platform_ms; /**< not before */
	jj_ledger_table_t proposed;

	/**
	 * silence of other VMs counts from here; JJ_MS_NEVER before the first
	 * tick
	 */
	jj_ms_t started_ms;
	jj_ms_t last_tick;
	jj_ms_t next_tick;
	jj_ms_t next_ack_deadline; /**< earliest ack_deadline of all calls */
	jj_ms_t next_rebalance_ms;
	jj_ms_t next_gossip_ms;
	uint32_t sweep_slot;
};

/** True when @p vm is this process (name and incarnation). */
bool jj_ledger_is_self(const jj_ledger_t *ledger, const jj_ledger_vm_t *vm);
/** True when this VM is the slot's home in the adopted table. */
bool jj_ledger_is_home(const jj_ledger_t *ledger, uint32_t slot);
bool jj_ledger_is_witness(const jj_ledger_t *ledger, uint32_t slot);
/** True when @p vm, by name and incarnation, sent the message. */
bool jj_ledger_is_from(const jj_ledger_vm_t *vm, const jj_message_t *message);
/**
 * True when this VM is the home, has the complete history, and its witness, if
 * any, is synced.
 */
bool jj_ledger_is_active_home(const jj_ledger_t *ledger, uint32_t slot);
/** Ends a call: sends its answer and frees it. */
void jj_ledger_finish(jj_ledger_t *ledger, jj_ledger_call_t *call,
    jj_call_outcome_t outcome, int status, const jj_bytes_t *body,
    jj_ms_t retry_after_ms, jj_ms_t now, jj_actions_t *out);
/** Abandons a call that is not running, removes its record and answers it. */
void jj_ledger_abandon(jj_ledger_t *ledger, jj_ledger_call_t *call,
    jj_call_outcome_t outcome, jj_ms_t now, jj_actions_t *out);
/** Runs the call; the witness has the intent, or there is no witness. */
void jj_ledger_run(jj_ledger_t *ledger, jj_ledger_call_t *call, jj_ms_t now,
    jj_actions_t *out);

void jj_ledger_send_intent(jj_ledger_t *ledger, const jj_ledger_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
/** Sends the outcome of a call to the witness now and once more later. */
void
jj_ledger_send_resolve(jj_ledger_t *ledger, uint32_t slot, const jj_hash_t *key,
    uint32_t attempt, bool removed, jj_ms_t now, jj_actions_t *out);
/** Sends a DONE record to the VM that became home while the call ran here. */
void jj_ledger_notify_home(jj_ledger_t *ledger, const jj_ledger_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_intent(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_intent_ack(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_resolve(
    jj_ledger_t *ledger, const jj_message_t *message, jj_ms_t now);
void jj_ledger_resend(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);

/**
 * Fixes the list of keys to send to the witness; the next sync tick sends them.
 */
void jj_ledger_sync_begin(jj_ledger_t *ledger, uint32_t slot, jj_ms_t now);
void jj_ledger_sync_end(jj_ledger_slot_state_t *state);
void jj_ledger_sync_tick(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_sync(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_sync_ack(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);

/**
 * Adopts a table with a newer platform version. The caller then sends it to the
 * other VMs, and calls jj_ledger_sync_tick after that: a witness drops sync
 * messages of an epoch that it does not know yet.
 */
bool jj_ledger_adopt(jj_ledger_t *ledger, const jj_ledger_table_t *table,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_slots(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** Reads or writes the table at the platform when that is due. */
void
jj_ledger_step_platform(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);
/** Sends the table to VMs that have an older one. */
void
jj_ledger_spread_table(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);

/**
 * Plans changes to the slot table.
 * @return true when @p table, a copy of the adopted one, was changed.
 */
bool jj_ledger_plan(jj_ledger_t *ledger, jj_ledger_table_t *table, jj_ms_t now);
/** Fills the first table; false while it is too early for that. */
bool jj_ledger_plan_first(
    jj_ledger_t *ledger, jj_ledger_table_t *table, jj_ms_t now);

#endif
