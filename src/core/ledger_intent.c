/**
 * @file ledger_intent.c
 * @brief Messages between home and witness: intents, acknowledgements,
 * outcomes.
 */
#include <stdlib.h>

#include "core/ledger_state.h"

static bool store_intent(jj_ledger_t *, const jj_record_t *, jj_ms_t, bool *);
static void send_resolve(
    jj_ledger_t *, const jj_ledger_resend_t *, jj_ms_t, jj_actions_t *);

void
jj_ledger_send_intent(jj_ledger_t *ledger, const jj_ledger_entry_t *entry,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_ledger_slot_t *slot = &ledger->table.slots[entry->slot];
	jj_message_t *message;

	message =
	    jj_actions_add_message(out, &slot->witness.name, JJ_MESSAGE_INTENT);
	message->body.intent.slot = entry->slot;
	message->body.intent.epoch = slot->epoch;
	jj_ledger_records_export(entry, now, &message->body.intent.record);
}

void
jj_ledger_send_resolve(jj_ledger_t *ledger, uint32_t slot, const jj_hash_t *key,
    uint32_t attempt, bool removed, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_resend_t *resend;

	if (jj_name_is_empty(&ledger->table.slots[slot].witness.name))
		return;
	resend = jj_alloc(sizeof(*resend));
	resend->due = now + ledger->settings.ack_timeout_ms;
	resend->slot = slot;
	resend->epoch = ledger->table.slots[slot].epoch;
	resend->key = *key;
	resend->attempt = attempt;
	resend->removed = removed;
	TAILQ_INSERT_TAIL(&ledger->resends, resend, link);
	send_resolve(ledger, resend, now, out);
}

void
jj_ledger_notify_home(jj_ledger_t *ledger, const jj_ledger_entry_t *entry,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_ledger_slot_t *slot = &ledger->table.slots[entry->slot];
	jj_message_t *message;

	message =
	    jj_actions_add_message(out, &slot->home.name, JJ_MESSAGE_RESOLVE);
	message->body.resolve.slot = entry->slot;
	message->body.resolve.epoch = slot->epoch;
	jj_ledger_records_export(entry, now, &message->body.resolve.record);
}

/*
 * Guards against a call that runs twice: a deposed home that was paused or cut
 * off sends its intent after its successor may have run the key. A witness
 * refuses any epoch but its own, any process but that epoch's home, and any key
 * whose outcome it knows.
 */
void
jj_ledger_take_intent(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_intent_t *intent = &message->body.intent;
	const jj_ledger_slot_t *slot;
	jj_message_t *reply;
	bool accepted = false;

	if (intent->slot >= JJ_LEDGER_SLOTS ||
	    jj_ledger_slot(&intent->record.key) != intent->slot)
		return;
	slot = &ledger->table.slots[intent->slot];
	if (intent->epoch > slot->epoch) {
		ledger->needs_read = true;
		return;
	}
	if (intent->epoch == slot->epoch &&
	    jj_ledger_is_witness(ledger, intent->slot) &&
	    jj_ledger_is_from(&slot->home, message) &&
	    ledger->slot_states[intent->slot].synced) {
		if (!store_intent(ledger, &intent->record, now, &accepted))
			return;
	}
	reply =
	    jj_actions_add_message(out, &message->from, JJ_MESSAGE_INTENT_ACK);
	reply->body.intent_ack.slot = intent->slot;
	reply->body.intent_ack.epoch = intent->epoch;
	reply->body.intent_ack.key = intent->record.key;
	reply->body.intent_ack.attempt = intent->record.attempt;
	reply->body.intent_ack.accepted = accepted;
}

void
jj_ledger_take_intent_ack(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_intent_ack_t *ack = &message->body.intent_ack;
	const jj_ledger_slot_t *slot;
	jj_ledger_call_t *call;

	if (ack->slot >= JJ_LEDGER_SLOTS)
		return;
	slot = &ledger->table.slots[ack->slot];
	if (ack->epoch != slot->epoch ||
	    !jj_ledger_is_home(ledger, ack->slot) ||
	    !jj_ledger_is_from(&slot->witness, message))
		return;
	/*
	 * The attempt number tells apart acknowledgements of abandoned
	 * attempts.
	 */
	TAILQ_FOREACH(call, &ledger->calls, link)
	{
		if (!call->running && call->attempt == ack->attempt &&
		    jj_hash_equal(&call->call.key, &ack->key))
			break;
	}
	if (call == NULL)
		return;
	if (ack->accepted) {
		jj_ledger_run(ledger, call, now, out);
		return;
	}
	ledger->needs_read = true;
	jj_ledger_abandon(ledger, call, JJ_CALL_NO_HISTORY, now, out);
}

/*
 * A key runs at most once, so a DONE record for the same content describes the
 * only run: it replaces "unknown" at any VM that has the key. A key is removed
 * only by the witness, for this attempt and by order of the home.
 */
void
jj_ledger_take_resolve(
    jj_ledger_t *ledger, const jj_message_t *message, jj_ms_t now)
{
	const jj_resolve_t *resolve = &message->body.resolve;
	const jj_record_t *record = &resolve->record;
	const jj_ledger_slot_t *slot;
	jj_ledger_entry_t *entry;

	if (resolve->slot >= JJ_LEDGER_SLOTS)
		return;
	slot = &ledger->table.slots[resolve->slot];
	entry = jj_ledger_records_find(ledger->records, &record->key, now);
	if (entry == NULL || entry->run != 0 || entry->state == JJ_RECORD_DONE)
		return;
	if (!resolve->removed && record->state == JJ_RECORD_DONE) {
		if (entry->fingerprint == record->fingerprint)
			jj_ledger_records_import(
			    ledger->records, entry, record, now);
		return;
	}
	if (resolve->epoch != slot->epoch ||
	    !jj_ledger_is_from(&slot->home, message) ||
	    entry->state != JJ_RECORD_INTENT ||
	    entry->attempt != record->attempt)
		return;
	if (resolve->removed)
		jj_ledger_records_remove(ledger->records, entry);
	else
		jj_ledger_records_import(ledger->records, entry, record, now);
}

void
jj_ledger_resend(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_resend_t *resend;

	while ((resend = TAILQ_FIRST(&ledger->resends)) != NULL) {
		if (resend->due > now)
			return;
		TAILQ_REMOVE(&ledger->resends, resend, link);
		if (resend->epoch == ledger->table.slots[resend->slot].epoch &&
		    jj_ledger_is_home(ledger, resend->slot))
			send_resolve(ledger, resend, now, out);
		free(resend);
	}
}

/*
 * Records an intent as the witness.
 * @return false for an attempt older than the recorded one: no reply is sent.
 */
static bool
store_intent(
    jj_ledger_t *ledger, const jj_record_t *record, jj_ms_t now, bool *accepted)
{
	uint64_t epoch =
	    ledger->table.slots[jj_ledger_slot(&record->key)].epoch;
	jj_ledger_entry_t *entry;

	*accepted = false;
	entry = jj_ledger_records_find(ledger->records, &record->key, now);
	if (entry == NULL) {
		if (jj_ledger_records_count(ledger->records) >=
		    2 * ledger->settings.record_max)
			return true;
		entry = jj_ledger_records_add(ledger->records, &record->key);
	} else if (entry->state != JJ_RECORD_INTENT || entry->run != 0) {
		return true;
	} else if (entry->epoch == epoch && entry->attempt > record->attempt) {
		return false;
	}
	jj_ledger_records_import(ledger->records, entry, record, now);
	entry->state = JJ_RECORD_INTENT;
	entry->epoch = epoch;
	*accepted = true;
	return true;
}

static void
send_resolve(jj_ledger_t *ledger, const jj_ledger_resend_t *resend, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_ledger_slot_t *slot = &ledger->table.slots[resend->slot];
	const jj_ledger_entry_t *entry = NULL;
	jj_message_t *message;

	if (!resend->removed) {
		entry =
		    jj_ledger_records_find(ledger->records, &resend->key, now);
		if (entry == NULL || entry->attempt != resend->attempt)
			return;
	}
	message = jj_actions_add_message(
	    out, &slot->witness.name, JJ_MESSAGE_RESOLVE);
	message->body.resolve.slot = resend->slot;
	message->body.resolve.epoch = slot->epoch;
	message->body.resolve.removed = resend->removed;
	message->body.resolve.record.key = resend->key;
	message->body.resolve.record.attempt = resend->attempt;
	if (entry != NULL)
		jj_ledger_records_export(
		    entry, now, &message->body.resolve.record);
}
