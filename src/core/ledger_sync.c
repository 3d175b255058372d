/**
 * @file ledger_sync.c
 * @brief A home sends the slot's records to its new witness, part by part.
 *
 * The list of keys is fixed when the transfer begins; the home starts no calls
 * until it has ended, so no key is missed. Each part is resent until it is
 * confirmed; a repeated part changes nothing.
 */
#include <stdlib.h>

#include "core/ledger_state.h"

#define SYNC_RETRY_MS 500

static void send_part(jj_ledger_t *, uint32_t, jj_ms_t, jj_actions_t *);
static uint32_t part_count(const jj_ledger_slot_state_t *);
static void take_record(jj_ledger_t *, uint32_t, const jj_record_t *, jj_ms_t);
static void end_transfer(jj_ledger_t *, const jj_sync_t *, jj_ms_t);

void
jj_ledger_sync_begin(jj_ledger_t *ledger, uint32_t slot, jj_ms_t now)
{
	jj_ledger_slot_state_t *state = &ledger->slot_states[slot];
	jj_ledger_entries_t *entries;
	const jj_ledger_entry_t *entry;
	size_t count = 0;

	jj_ledger_sync_end(state);
	entries = jj_ledger_records_slot(ledger->records, slot);
	TAILQ_FOREACH(entry, entries, slot_link)
	count++;
	state->sync_keys = jj_alloc(count * sizeof(jj_hash_t));
	TAILQ_FOREACH(entry, entries, slot_link)
	state->sync_keys[state->sync_count++] = entry->key;
	state->sync_part = 0;
	state->sync_due = now;
}

void
jj_ledger_sync_end(jj_ledger_slot_state_t *state)
{
	free(state->sync_keys);
	state->sync_keys = NULL;
	state->sync_count = 0;
}

void
jj_ledger_sync_tick(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	uint32_t i;

	for (i = 0; i < JJ_LEDGER_SLOTS; i++) {
		if (ledger->slot_states[i].sync_keys != NULL &&
		    now >= ledger->slot_states[i].sync_due)
			send_part(ledger, i, now, out);
	}
}

void
jj_ledger_take_sync(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_sync_t *sync = &message->body.sync;
	const jj_ledger_slot_t *slot;
	jj_ledger_slot_state_t *state;
	jj_message_t *reply;
	uint32_t i;

	if (sync->slot >= JJ_LEDGER_SLOTS)
		return;
	slot = &ledger->table.slots[sync->slot];
	state = &ledger->slot_states[sync->slot];
	if (sync->epoch > slot->epoch)
		ledger->needs_read = true;
	if (sync->epoch != slot->epoch ||
	    !jj_ledger_is_witness(ledger, sync->slot) ||
	    !jj_ledger_is_from(&slot->home, message))
		return;
	if (sync->part > state->sync_part)
		return;
	if (sync->part == state->sync_part && !state->synced) {
		for (i = 0; i < sync->record_count; i++)
			take_record(ledger, sync->slot, &sync->records[i], now);
		state->sync_part++;
		if (sync->last)
			end_transfer(ledger, sync, now);
	}
	reply =
	    jj_actions_add_message(out, &message->from, JJ_MESSAGE_SYNC_ACK);
	reply->body.sync_ack.slot = sync->slot;
	reply->body.sync_ack.epoch = sync->epoch;
	reply->body.sync_ack.part = sync->part;
}

void
jj_ledger_take_sync_ack(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_sync_ack_t *ack = &message->body.sync_ack;
	const jj_ledger_slot_t *slot;
	jj_ledger_slot_state_t *state;

	if (ack->slot >= JJ_LEDGER_SLOTS)
		return;
	slot = &ledger->table.slots[ack->slot];
	state = &ledger->slot_states[ack->slot];
	if (ack->epoch != slot->epoch ||
	    !jj_ledger_is_home(ledger, ack->slot) ||
	    !jj_ledger_is_from(&slot->witness, message) ||
	    state->sync_keys == NULL || ack->part != state->sync_part)
		return;
	state->sync_part++;
	if (state->sync_part < part_count(state)) {
		send_part(ledger, ack->slot, now, out);
		return;
	}
	jj_ledger_sync_end(state);
	state->synced = true;
}

static void
send_part(jj_ledger_t *ledger, uint32_t slot, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_slot_state_t *state = &ledger->slot_states[slot];
	const jj_ledger_entry_t *entry;
	jj_sync_t *sync;
	size_t first = (size_t)state->sync_part * JJ_MESSAGE_RECORDS_MAX;
	size_t i;

	sync = &jj_actions_add_message(
	    out, &ledger->table.slots[slot].witness.name, JJ_MESSAGE_SYNC)
		    ->body.sync;
	sync->slot = slot;
	sync->epoch = ledger->table.slots[slot].epoch;
	sync->part = state->sync_part;
	sync->last = state->sync_part + 1 == part_count(state);
	sync->history_unknown = state->unknown;
	sync->unknown_age_ms = state->unknown ? now - state->unknown_since : 0;
	sync->records = jj_alloc(JJ_MESSAGE_RECORDS_MAX * sizeof(jj_record_t));
	for (i = first; i < state->sync_count; i++) {
		if (i == first + JJ_MESSAGE_RECORDS_MAX)
			break;
		entry = jj_ledger_records_find(
		    ledger->records, &state->sync_keys[i], now);
		if (entry != NULL)
			jj_ledger_records_export(
			    entry, now, &sync->records[sync->record_count++]);
	}
	state->sync_due = now + SYNC_RETRY_MS;
}

static uint32_t
part_count(const jj_ledger_slot_state_t *state)
{
	size_t count = (state->sync_count + JJ_MESSAGE_RECORDS_MAX - 1) /
	    JJ_MESSAGE_RECORDS_MAX;

	return count == 0 ? 1 : (uint32_t)count;
}

/*
 * A late part may be older than the records here: it never overwrites the
 * outcome of a call, nor a call that still runs on this VM.
 */
static void
take_record(
    jj_ledger_t *ledger, uint32_t slot, const jj_record_t *record, jj_ms_t now)
{
	jj_ledger_entry_t *entry;

	if (jj_ledger_slot(&record->key) != slot)
		return;
	entry = jj_ledger_records_find(ledger->records, &record->key, now);
	if (entry == NULL)
		entry = jj_ledger_records_add(ledger->records, &record->key);
	else if (entry->run != 0 || entry->state == JJ_RECORD_DONE)
		goto out;
	jj_ledger_records_import(ledger->records, entry, record, now);
out:
	entry->epoch = ledger->table.slots[slot].epoch;
}

/*
 * The home has sent all its records: an intent that was not among them never
 * ran, an "unknown" has expired. This does not hold when the home's own history
 * was lost.
 */
static void
end_transfer(jj_ledger_t *ledger, const jj_sync_t *sync, jj_ms_t now)
{
	jj_ledger_slot_state_t *state = &ledger->slot_states[sync->slot];
	jj_ledger_entries_t *entries;
	jj_ledger_entry_t *entry;
	jj_ledger_entry_t *next;

	entries = jj_ledger_records_slot(ledger->records, sync->slot);
	entry = sync->history_unknown ? NULL : TAILQ_FIRST(entries);
	for (; entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, slot_link);
		if (entry->epoch != sync->epoch && entry->run == 0 &&
		    entry->state != JJ_RECORD_DONE)
			jj_ledger_records_remove(ledger->records, entry);
	}
	state->synced = true;
	state->complete = true;
	state->unknown = sync->history_unknown;
	state->unknown_since = now - sync->unknown_age_ms;
}
