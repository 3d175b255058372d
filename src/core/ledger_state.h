/**
 * @file ledger_state.h
 * @brief What the files of the ledger share; private to them.
 *
 * ledger.c begins and ends calls, ledger_intent.c speaks with the witness,
 * ledger_sync.c fills a new witness, ledger_slots.c reads, writes and adopts
 * the slot table, ledger_plan.c decides what to change in it.
 */
#ifndef JJ_CORE_LEDGER_STATE_H
#define JJ_CORE_LEDGER_STATE_H

#include "core/ledger_records.h"
#include "core/ledger_refusals.h"
#include "core/ledger_table.h"

/** Time to come back that a refused caller is told. */
#define JJ_LEDGER_RETRY_MS 1000

/** A call of which this VM is or was the home. */
typedef struct jj_ledger_call {
	TAILQ_ENTRY(jj_ledger_call) link;
	uint64_t run; /**< this VM's number for it */
	uint64_t operation;
	bool forwarded;
	jj_ledger_vm_t from;
	jj_call_t call;
	uint32_t slot;
	uint32_t attempt;
	bool running; /**< handed to the port */
	jj_ms_t deadline;
	jj_ms_t ack_due; /**< give up waiting for the witness */
} jj_ledger_call_t;

typedef TAILQ_HEAD(jj_ledger_calls, jj_ledger_call) jj_ledger_calls_t;

/** The word of an end, to be said to the witness a second time. */
typedef struct jj_ledger_resend {
	TAILQ_ENTRY(jj_ledger_resend) link;
	jj_ms_t due;
	uint32_t slot;
	uint64_t epoch;
	jj_hash_t key;
	uint32_t attempt;
	bool removed;
} jj_ledger_resend_t;

/** This VM's part in one slot at the epoch of the adopted table. */
typedef struct {
	bool complete; /**< holds each record that can matter */
	bool synced; /**< home: the witness has all; witness: has all */
	bool released; /**< an operator said: the history is lost */
	bool unknown; /**< keys without a record may have run earlier */
	jj_ms_t unknown_since;
	jj_ms_t entered_ms; /**< the epoch was learned; 0: none yet */
	uint32_t part; /**< home: next to confirm; witness: next due */
	jj_ms_t sync_due; /**< home: send the part again */
	jj_hash_t *sync_keys; /**< home: what is to be sent */
	size_t sync_count;
} jj_ledger_part_t;

struct jj_ledger {
	jj_ledger_settings_t settings;
	jj_ledger_port_t port;
	jj_ledger_vm_t self;
	jj_ledger_table_t table;
	jj_ledger_part_t parts[JJ_LEDGER_SLOTS];
	jj_ledger_records_t *records;
	jj_ledger_refusals_t *refusals;
	jj_ledger_calls_t calls;
	TAILQ_HEAD(, jj_ledger_resend) resends;
	uint64_t next_run;
	uint32_t next_attempt;
	bool leaving;

	uint64_t token; /**< of the platform call in flight */
	jj_platform_op_t op;
	bool in_flight;
	jj_ms_t sent_ms;
	bool read_wanted;
	jj_ms_t platform_after; /**< no call before */
	jj_ledger_table_t proposed;

	jj_ms_t started_ms; /**< silence counts from here; JJ_MS_NEVER: new */
	jj_ms_t last_tick;
	jj_ms_t next_tick;
	jj_ms_t next_ack; /**< earliest end of a wait for a witness */
	jj_ms_t rebalance_after;
	jj_ms_t gossip_after;
	uint32_t sweep_slot;
};

/** True for this very process. */
bool jj_ledger_is_self(const jj_ledger_t *ledger, const jj_ledger_vm_t *vm);
/** True when this VM is the slot's home in the adopted table. */
bool jj_ledger_is_home(const jj_ledger_t *ledger, uint32_t slot);
bool jj_ledger_is_witness(const jj_ledger_t *ledger, uint32_t slot);
/** True when a VM of the slot sent the message, by name and incarnation. */
bool jj_ledger_is_from(const jj_ledger_vm_t *vm, const jj_message_t *message);
/** Home with whole history whose witness, if any, is synced. */
bool jj_ledger_is_acting(const jj_ledger_t *ledger, uint32_t slot);
/** Ends a call: tells its asker, forgets it. */
void jj_ledger_finish(jj_ledger_t *ledger, jj_ledger_call_t *call,
    jj_call_outcome_t outcome, int status, const jj_bytes_t *body,
    jj_ms_t retry_after_ms, jj_ms_t now, jj_actions_t *out);
/** Drops a call that is not running, with its record: not run here. */
void jj_ledger_give_up(jj_ledger_t *ledger, jj_ledger_call_t *call,
    jj_call_outcome_t outcome, jj_ms_t now, jj_actions_t *out);
/** The witness has the intent (or there is none): runs the call. */
void jj_ledger_run(jj_ledger_t *ledger, jj_ledger_call_t *call, jj_ms_t now,
    jj_actions_t *out);

void jj_ledger_send_intent(jj_ledger_t *ledger, const jj_ledger_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
/** Tells the witness how a key ended, now and once more later. */
void
jj_ledger_send_resolve(jj_ledger_t *ledger, uint32_t slot, const jj_hash_t *key,
    uint32_t attempt, bool removed, jj_ms_t now, jj_actions_t *out);
/** Tells a DONE to the VM that became home while the call ran here. */
void jj_ledger_tell_home(jj_ledger_t *ledger, const jj_ledger_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_intent(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_intent_ack(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_resolve(
    jj_ledger_t *ledger, const jj_message_t *message, jj_ms_t now);
void jj_ledger_resend(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);

/** Fixes what the home will send to its witness, at the next sync tick. */
void jj_ledger_sync_begin(jj_ledger_t *ledger, uint32_t slot, jj_ms_t now);
void jj_ledger_sync_end(jj_ledger_part_t *part);
void jj_ledger_sync_tick(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_sync(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_sync_ack(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);

/**
 * Adopts a table of a higher platform version. The caller spreads it, then
 * calls jj_ledger_sync_tick: a witness must know its epoch before the parts
 * come, else they are lost on it.
 */
bool jj_ledger_adopt(jj_ledger_t *ledger, const jj_ledger_table_t *table,
    jj_ms_t now, jj_actions_t *out);
void jj_ledger_take_slots(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** Reads or writes the table when that is due. */
void
jj_ledger_step_platform(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);
/** Sends the table to VMs that know an older one. */
void
jj_ledger_spread_table(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out);

/**
 * Decides what to change in the slot table.
 * @return true when @p table, a copy of the adopted one, was changed.
 */
bool jj_ledger_plan(jj_ledger_t *ledger, jj_ledger_table_t *table, jj_ms_t now);
/** Fills the first table; false while it is too early for that. */
bool jj_ledger_plan_first(
    jj_ledger_t *ledger, jj_ledger_table_t *table, jj_ms_t now);

#endif
