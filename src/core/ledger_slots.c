/**
 * @file ledger_slots.c
 * @brief Reads, writes and adopts the slot table.
 *
 * A VM acts only on the table that it has adopted. Whether its own write took
 * effect also shows in the table: after a conflict or a lost answer it reads
 * the table again and looks for its epoch.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/ledger_state.h"

#define PLATFORM_RETRY_MS 500
#define PLATFORM_TIMEOUT_MS 15000
#define GOSSIP_MS 2000

static void enter_epoch(
    jj_ledger_t *, uint32_t, const jj_ledger_slot_t *, jj_ms_t, jj_actions_t *);
static void leave_epoch(jj_ledger_t *, uint32_t, jj_ms_t, jj_actions_t *);
static void become_home(jj_ledger_t *, uint32_t, jj_ms_t);
static void adopt_and_send(
    jj_ledger_t *, const jj_ledger_table_t *, jj_ms_t, jj_actions_t *);
static void remove_records(jj_ledger_t *, uint32_t);
static void send_read(jj_ledger_t *, jj_ms_t, jj_actions_t *);
static void
send_write(jj_ledger_t *, jj_platform_op_t, jj_ms_t, jj_actions_t *);
static void
take_read(jj_ledger_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_write(
    jj_ledger_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
delay_platform(jj_ledger_t *, const jj_platform_result_t *, jj_ms_t);

bool
jj_ledger_adopt(jj_ledger_t *ledger, const jj_ledger_table_t *table,
    jj_ms_t now, jj_actions_t *out)
{
	uint32_t i;

	/* Late or reordered copies must not replace a newer table. */
	if (table->version <= ledger->table.version)
		return false;
	for (i = 0; i < JJ_LEDGER_SLOTS; i++) {
		if (table->slots[i].epoch < ledger->table.slots[i].epoch) {
			jj_actions_add_event(out, "slot_table_went_back",
			    "version=%" PRIu64 " slot=%" PRIu32, table->version,
			    i);
			return false;
		}
	}
	ledger->table.version = table->version;
	ledger->table.writer = table->writer;
	ledger->table.operation = table->operation;
	for (i = 0; i < JJ_LEDGER_SLOTS; i++) {
		if (table->slots[i].epoch > ledger->table.slots[i].epoch)
			enter_epoch(ledger, i, &table->slots[i], now, out);
	}
	jj_actions_add_event(out, "slot_table_adopted",
	    "version=%" PRIu64 " writer=%s", table->version,
	    table->writer.text);
	return true;
}

void
jj_ledger_take_slots(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_table_t table;

	if (message->body.slots.version <= ledger->table.version)
		return;
	if (!jj_ledger_table_parse(&message->body.slots.table, &table)) {
		jj_actions_add_event(
		    out, "slot_table_invalid", "from=%s", message->from.text);
		return;
	}
	table.version = message->body.slots.version;
	if (jj_ledger_adopt(ledger, &table, now, out))
		jj_ledger_sync_tick(ledger, now, out);
}

void
jj_ledger_step_platform(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	if (ledger->in_flight && now - ledger->sent_ms > PLATFORM_TIMEOUT_MS) {
		ledger->in_flight = false;
		ledger->needs_read = true;
	}
	if (ledger->in_flight || now < ledger->next_platform_ms ||
	    ledger->started_ms == JJ_MS_NEVER)
		return;
	if (ledger->needs_read) {
		send_read(ledger, now, out);
	} else if (ledger->table.version > 0) {
		if (jj_ledger_plan(ledger, &ledger->proposed, now))
			send_write(ledger, JJ_PLATFORM_UPDATE, now, out);
	} else if (jj_ledger_plan_first(ledger, &ledger->proposed, now)) {
		send_write(ledger, JJ_PLATFORM_CREATE, now, out);
	}
}

void
jj_ledger_take_result(jj_ledger_t *ledger, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	if (!ledger->in_flight || result->token != ledger->token)
		return;
	ledger->in_flight = false;
	if (ledger->op == JJ_PLATFORM_GET)
		take_read(ledger, result, now, out);
	else
		take_write(ledger, result, now, out);
	jj_ledger_step_platform(ledger, now, out);
}

void
jj_ledger_spread_table(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	jj_member_info_t *infos;
	jj_message_t *message;
	jj_bytes_t stored = {NULL, 0};
	size_t count;
	size_t i;

	ledger->next_gossip_ms = now + GOSSIP_MS;
	if (ledger->table.version == 0)
		return;
	infos = jj_alloc(JJ_LEDGER_VMS_MAX * sizeof(*infos));
	count = ledger->port.list(ledger->port.ctx, infos, JJ_LEDGER_VMS_MAX);
	for (i = 0; i < count; i++) {
		if (jj_name_equal(&infos[i].name, &ledger->self.name) ||
		    infos[i].slots_version >= ledger->table.version)
			continue;
		if (stored.data == NULL)
			stored = jj_ledger_table_print(&ledger->table);
		message = jj_actions_add_message(
		    out, &infos[i].name, JJ_MESSAGE_SLOTS);
		message->body.slots.version = ledger->table.version;
		message->body.slots.table =
		    jj_bytes_copy(stored.data, stored.size);
	}
	jj_bytes_free(&stored);
	free(infos);
}

/*
 * Guards against a key that runs a second time, because a VM believes that it
 * has a slot's complete history after an epoch in which others ran calls
 * without it. A complete history stays complete only from one epoch to the very
 * next one: a home runs calls only after the witness of that epoch was synced,
 * which makes the witness's history complete again.
 */
static void
enter_epoch(jj_ledger_t *ledger, uint32_t index, const jj_ledger_slot_t *slot,
    jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_slot_state_t *state = &ledger->slot_states[index];
	bool next = slot->epoch == ledger->table.slots[index].epoch + 1;

	leave_epoch(ledger, index, now, out);
	ledger->table.slots[index] = *slot;
	state->complete = state->complete && next && !slot->unknown;
	state->synced = false;
	state->released = false;
	state->sync_part = 0;
	state->epoch_adopted_ms = now;
	if (jj_ledger_is_home(ledger, index))
		become_home(ledger, index, now);
	else if (!jj_ledger_is_witness(ledger, index))
		remove_records(ledger, index);
}

/* The witness of the old epoch no longer acknowledges the waiting calls. */
static void
leave_epoch(jj_ledger_t *ledger, uint32_t index, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_call_t *call;
	jj_ledger_call_t *next;

	for (call = TAILQ_FIRST(&ledger->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (call->slot == index && !call->running)
			jj_ledger_abandon(
			    ledger, call, JJ_CALL_NO_HISTORY, now, out);
	}
	jj_ledger_sync_end(&ledger->slot_states[index]);
}

/*
 * An intent of an earlier home may have run, and its outcome cannot be learned
 * any more: it becomes "unknown" and is never run here. A slot whose history
 * was lost is opened by its new home only, which then runs no key without a
 * record.
 */
static void
become_home(jj_ledger_t *ledger, uint32_t index, jj_ms_t now)
{
	const jj_ledger_slot_t *slot = &ledger->table.slots[index];
	jj_ledger_slot_state_t *state = &ledger->slot_states[index];
	jj_ledger_entry_t *entry;

	if (slot->unknown) {
		state->unknown = true;
		state->complete = true;
	}
	state->unknown_since = now;
	TAILQ_FOREACH(
	    entry, jj_ledger_records_slot(ledger->records, index), slot_link)
	{
		if (entry->state != JJ_RECORD_INTENT || entry->run != 0)
			continue;
		entry->state = JJ_RECORD_UNKNOWN;
		entry->since = now;
	}
	if (jj_name_is_empty(&slot->witness.name))
		state->synced = true;
	else
		jj_ledger_sync_begin(ledger, index, now);
}

static void
remove_records(jj_ledger_t *ledger, uint32_t index)
{
	jj_ledger_entries_t *entries;
	jj_ledger_entry_t *entry;
	jj_ledger_entry_t *next;

	ledger->slot_states[index].complete = false;
	ledger->slot_states[index].unknown = false;
	entries = jj_ledger_records_slot(ledger->records, index);
	for (entry = TAILQ_FIRST(entries); entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, slot_link);
		if (entry->run == 0)
			jj_ledger_records_remove(ledger->records, entry);
	}
}

static void
send_read(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call;

	ledger->op = JJ_PLATFORM_GET;
	ledger->in_flight = true;
	ledger->sent_ms = now;
	call = jj_actions_add_platform(
	    out, JJ_OWNER_LEDGER, JJ_PLATFORM_GET, ++ledger->token);
	(void)snprintf(call->key, sizeof(call->key), "ledger/%s",
	    ledger->settings.domain.text);
}

static void
send_write(
    jj_ledger_t *ledger, jj_platform_op_t op, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call;

	ledger->op = op;
	ledger->in_flight = true;
	ledger->sent_ms = now;
	call =
	    jj_actions_add_platform(out, JJ_OWNER_LEDGER, op, ++ledger->token);
	ledger->proposed.writer = ledger->self.name;
	ledger->proposed.operation = ledger->self.incarnation ^ ledger->token;
	(void)snprintf(call->key, sizeof(call->key), "ledger/%s",
	    ledger->settings.domain.text);
	call->version = ledger->table.version;
	call->value = jj_ledger_table_print(&ledger->proposed);
}

static void
take_read(jj_ledger_t *ledger, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	jj_ledger_table_t table;

	if (result->outcome == JJ_PLATFORM_ABSENT) {
		ledger->needs_read = false;
		return;
	}
	if (result->outcome != JJ_PLATFORM_OK) {
		delay_platform(ledger, result, now);
		return;
	}
	if (result->version <= ledger->table.version) {
		ledger->needs_read = false;
		return;
	}
	if (!jj_ledger_table_parse(&result->value, &table)) {
		jj_actions_add_event(out, "slot_table_invalid",
		    "version=%" PRIu64, result->version);
		delay_platform(ledger, result, now);
		return;
	}
	ledger->needs_read = false;
	table.version = result->version;
	adopt_and_send(ledger, &table, now, out);
}

/*
 * Guards against two homes of one slot, because a write whose answer was lost
 * is assumed to have failed or to have succeeded. Only a successful answer or
 * the table itself shows that it took effect.
 */
static void
take_write(jj_ledger_t *ledger, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	switch (result->outcome) {
	case JJ_PLATFORM_OK:
		ledger->proposed.version = result->version;
		adopt_and_send(ledger, &ledger->proposed, now, out);
		break;
	case JJ_PLATFORM_LIMITED:
	case JJ_PLATFORM_DOWN:
		delay_platform(ledger, result, now);
		break;
	default:
		ledger->needs_read = true;
		break;
	}
}

static void
adopt_and_send(jj_ledger_t *ledger, const jj_ledger_table_t *table, jj_ms_t now,
    jj_actions_t *out)
{
	if (!jj_ledger_adopt(ledger, table, now, out))
		return;
	jj_ledger_spread_table(ledger, now, out);
	jj_ledger_sync_tick(ledger, now, out);
}

static void
delay_platform(
    jj_ledger_t *ledger, const jj_platform_result_t *result, jj_ms_t now)
{
	jj_ms_t wait = result->retry_after_ms;

	if (wait < PLATFORM_RETRY_MS)
		wait = PLATFORM_RETRY_MS;
	ledger->next_platform_ms = now + wait;
}
