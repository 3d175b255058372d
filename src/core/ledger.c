/**
 * @file ledger.c
 * @brief Begins and ends calls; life cycle, ticks and status of the ledger.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/ledger_state.h"

#define TICK_MS 250
/* How long a duplicate of a refused CALL may arrive after its deadline. */
#define REFUSAL_RETENTION_MS 60000

static void
send_answer(jj_ledger_t *, const jj_ledger_call_t *, jj_call_outcome_t, int,
    const jj_bytes_t *, jj_ms_t, jj_ms_t, jj_actions_t *);
static bool
is_duplicate_call(jj_ledger_t *, const jj_ledger_call_t *, jj_actions_t *);
static void answer_from_record(jj_ledger_t *, const jj_ledger_call_t *,
    const jj_ledger_entry_t *, jj_ms_t, jj_actions_t *);
static bool can_start(jj_ledger_t *, uint32_t, jj_ms_t);
static bool is_home_without_witness(const jj_ledger_t *, uint32_t);
static void
start_call(jj_ledger_t *, jj_ledger_call_t *, jj_ms_t, jj_actions_t *);
static void free_call(jj_ledger_call_t *);
static jj_ledger_call_t *find_run(jj_ledger_t *, uint64_t);
static void record_outcome(jj_ledger_t *, jj_ledger_entry_t *,
    jj_call_outcome_t, int, const jj_bytes_t *, jj_ms_t, jj_actions_t *);
static void expire_ack_waits(jj_ledger_t *, jj_ms_t, jj_actions_t *);
static void detect_pause(jj_ledger_t *, jj_ms_t);
static void run_periodic_work(jj_ledger_t *, jj_ms_t, jj_actions_t *);
static json_t *slot_status(const jj_ledger_t *, uint32_t);

jj_ledger_t *
jj_ledger_create(
    const jj_ledger_settings_t *settings, const jj_ledger_port_t *port)
{
	jj_ledger_t *ledger = jj_alloc(sizeof(*ledger));
	size_t i;

	ledger->settings = *settings;
	ledger->port = *port;
	ledger->self.name = settings->name;
	ledger->self.incarnation = settings->incarnation;
	ledger->records = jj_ledger_records_create(settings->retention_ms);
	ledger->refusals = jj_ledger_refusals_create();
	TAILQ_INIT(&ledger->calls);
	TAILQ_INIT(&ledger->resends);
	ledger->next_run = 1;
	ledger->next_attempt = 1;
	ledger->next_ack_deadline = JJ_MS_NEVER;
	ledger->started_ms = JJ_MS_NEVER;
	ledger->needs_read = true;
	/* Before the first epoch no key can have run. */
	for (i = 0; i < JJ_LEDGER_SLOTS; i++)
		ledger->slot_states[i].complete = true;
	return ledger;
}

void
jj_ledger_destroy(jj_ledger_t *ledger)
{
	jj_ledger_call_t *call;
	jj_ledger_resend_t *resend;
	size_t i;

	while ((call = TAILQ_FIRST(&ledger->calls)) != NULL) {
		TAILQ_REMOVE(&ledger->calls, call, link);
		free_call(call);
	}
	while ((resend = TAILQ_FIRST(&ledger->resends)) != NULL) {
		TAILQ_REMOVE(&ledger->resends, resend, link);
		free(resend);
	}
	for (i = 0; i < JJ_LEDGER_SLOTS; i++)
		jj_ledger_sync_end(&ledger->slot_states[i]);
	jj_ledger_records_destroy(ledger->records);
	jj_ledger_refusals_destroy(ledger->refusals);
	free(ledger);
}

uint32_t
jj_ledger_slot(const jj_hash_t *key)
{
	return (uint32_t)(key->low % JJ_LEDGER_SLOTS);
}

uint64_t
jj_ledger_version(const jj_ledger_t *ledger)
{
	return ledger->table.version;
}

bool
jj_ledger_home(const jj_ledger_t *ledger, const jj_hash_t *key, jj_name_t *home)
{
	if (ledger->table.version == 0)
		return false;
	*home = ledger->table.slots[jj_ledger_slot(key)].home.name;
	return true;
}

bool
jj_ledger_find_answer(jj_ledger_t *ledger, const jj_call_t *call, jj_ms_t now,
    jj_call_answer_t *answer)
{
	const jj_ledger_entry_t *entry =
	    jj_ledger_records_find(ledger->records, &call->key, now);

	if (entry == NULL || entry->state != JJ_RECORD_DONE ||
	    entry->fingerprint != call->fingerprint)
		return false;
	*answer = (jj_call_answer_t){.outcome = JJ_CALL_REPLAYED,
	    .status = entry->status,
	    .body = entry->answer};
	return true;
}

bool
jj_ledger_is_syncing(jj_ledger_t *ledger, const jj_hash_t *key, jj_ms_t now)
{
	uint32_t slot = jj_ledger_slot(key);
	const jj_ledger_slot_state_t *state = &ledger->slot_states[slot];
	jj_ms_t max_ms =
	    ledger->settings.takeover_ms + ledger->settings.ack_timeout_ms;

	return jj_ledger_is_home(ledger, slot) && state->complete &&
	    !state->synced && now - state->epoch_adopted_ms < max_ms &&
	    jj_ledger_records_find(ledger->records, key, now) == NULL;
}

jj_ms_t
jj_ledger_epoch_adopted_ms(const jj_ledger_t *ledger, const jj_hash_t *key)
{
	return ledger->slot_states[jj_ledger_slot(key)].epoch_adopted_ms;
}

void
jj_ledger_begin(jj_ledger_t *ledger, uint64_t operation, const jj_name_t *from,
    const jj_call_t *call, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_call_t *new_call = jj_alloc(sizeof(*new_call));
	const jj_member_info_t *info;
	jj_ledger_entry_t *entry;

	new_call->operation = operation;
	new_call->call = *call;
	new_call->call.path = jj_bytes_copy(call->path.data, call->path.size);
	new_call->call.body = jj_bytes_copy(call->body.data, call->body.size);
	new_call->slot = jj_ledger_slot(&call->key);
	new_call->deadline = now + call->budget_ms;
	if (from != NULL) {
		info = ledger->port.find(ledger->port.ctx, from);
		new_call->forwarded = true;
		new_call->from.name = *from;
		new_call->from.incarnation =
		    info != NULL ? info->incarnation : 0;
		if (is_duplicate_call(ledger, new_call, out))
			goto out;
	}
	entry = jj_ledger_records_find(ledger->records, &call->key, now);
	if (entry != NULL) {
		answer_from_record(ledger, new_call, entry, now, out);
		goto out;
	}
	if (call->budget_ms > 0 && can_start(ledger, new_call->slot, now)) {
		start_call(ledger, new_call, now, out);
		return;
	}
	send_answer(ledger, new_call,
	    is_home_without_witness(ledger, new_call->slot)
		? JJ_CALL_NOT_RUN
		: JJ_CALL_NO_HISTORY,
	    0, NULL, JJ_LEDGER_RETRY_AFTER_MS, now, out);
out:
	free_call(new_call);
}

void
jj_ledger_end(jj_ledger_t *ledger, uint64_t run, jj_call_outcome_t outcome,
    int status, const jj_bytes_t *body, jj_ms_t retry_after_ms, jj_ms_t now,
    jj_actions_t *out)
{
	jj_ledger_call_t *call = find_run(ledger, run);
	jj_ledger_entry_t *entry;

	if (call == NULL)
		return;
	entry = jj_ledger_records_find(ledger->records, &call->call.key, now);
	JJ_INVARIANT(entry != NULL && entry->run == run);
	record_outcome(ledger, entry, outcome, status, body, now, out);
	jj_ledger_finish(
	    ledger, call, outcome, status, body, retry_after_ms, now, out);
}

void
jj_ledger_take_message(jj_ledger_t *ledger, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	switch (message->kind) {
	case JJ_MESSAGE_INTENT:
		jj_ledger_take_intent(ledger, message, now, out);
		break;
	case JJ_MESSAGE_INTENT_ACK:
		jj_ledger_take_intent_ack(ledger, message, now, out);
		break;
	case JJ_MESSAGE_RESOLVE:
		jj_ledger_take_resolve(ledger, message, now);
		break;
	case JJ_MESSAGE_SYNC:
		jj_ledger_take_sync(ledger, message, now, out);
		break;
	case JJ_MESSAGE_SYNC_ACK:
		jj_ledger_take_sync_ack(ledger, message, now, out);
		break;
	case JJ_MESSAGE_SLOTS:
		jj_ledger_take_slots(ledger, message, now, out);
		break;
	default:
		break;
	}
}

void
jj_ledger_refresh(
    jj_ledger_t *ledger, uint64_t version, jj_ms_t now, jj_actions_t *out)
{
	if (version <= ledger->table.version)
		return;
	ledger->needs_read = true;
	jj_ledger_step_platform(ledger, now, out);
}

void
jj_ledger_tick(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	detect_pause(ledger, now);
	expire_ack_waits(ledger, now, out);
	if (now < ledger->next_tick)
		return;
	ledger->next_tick = now + TICK_MS;
	run_periodic_work(ledger, now, out);
}

jj_ms_t
jj_ledger_next(const jj_ledger_t *ledger)
{
	return ledger->next_ack_deadline < ledger->next_tick
	    ? ledger->next_ack_deadline
	    : ledger->next_tick;
}

void
jj_ledger_leave(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	ledger->leaving = true;
	jj_ledger_step_platform(ledger, now, out);
}

bool
jj_ledger_is_idle(const jj_ledger_t *ledger)
{
	jj_member_info_t infos[2];
	size_t live = ledger->port.list(ledger->port.ctx, infos, 2);
	bool others;
	uint32_t i;

	if (!TAILQ_EMPTY(&ledger->calls))
		return false;
	others = live > 1 ||
	    (live == 1 && !jj_name_equal(&infos[0].name, &ledger->self.name));
	if (!others)
		return true;
	for (i = 0; i < JJ_LEDGER_SLOTS; i++) {
		if (jj_ledger_is_home(ledger, i) ||
		    jj_ledger_is_witness(ledger, i))
			return false;
	}
	return true;
}

void
jj_ledger_release(
    jj_ledger_t *ledger, uint32_t slot, jj_ms_t now, jj_actions_t *out)
{
	if (slot >= JJ_LEDGER_SLOTS)
		return;
	ledger->slot_states[slot].released = true;
	jj_ledger_step_platform(ledger, now, out);
}

jj_bytes_t
jj_ledger_status(const jj_ledger_t *ledger)
{
	json_t *root = json_object();
	json_t *slots = json_array();
	jj_bytes_t status;
	char *text;
	uint32_t i;

	for (i = 0; i < JJ_LEDGER_SLOTS && ledger->table.version > 0; i++)
		json_array_append_new(slots, slot_status(ledger, i));
	json_object_set_new(
	    root, "version", json_integer((json_int_t)ledger->table.version));
	json_object_set_new(root, "records",
	    json_integer((json_int_t)jj_ledger_records_count(ledger->records)));
	json_object_set_new(root, "slots", slots);
	text = json_dumps(root, JSON_COMPACT);
	JJ_INVARIANT(text != NULL);
	status = jj_bytes_from_text(text);
	free(text);
	json_decref(root);
	return status;
}

bool
jj_ledger_is_self(const jj_ledger_t *ledger, const jj_ledger_vm_t *vm)
{
	return vm->incarnation == ledger->self.incarnation &&
	    jj_name_equal(&vm->name, &ledger->self.name);
}

bool
jj_ledger_is_home(const jj_ledger_t *ledger, uint32_t slot)
{
	return jj_ledger_is_self(ledger, &ledger->table.slots[slot].home);
}

bool
jj_ledger_is_witness(const jj_ledger_t *ledger, uint32_t slot)
{
	return jj_ledger_is_self(ledger, &ledger->table.slots[slot].witness);
}

bool
jj_ledger_is_from(const jj_ledger_vm_t *vm, const jj_message_t *message)
{
	return vm->incarnation == message->incarnation &&
	    jj_name_equal(&vm->name, &message->from);
}

bool
jj_ledger_is_active_home(const jj_ledger_t *ledger, uint32_t slot)
{
	const jj_ledger_slot_state_t *state = &ledger->slot_states[slot];

	return jj_ledger_is_home(ledger, slot) && state->complete &&
	    state->synced;
}

void
jj_ledger_finish(jj_ledger_t *ledger, jj_ledger_call_t *call,
    jj_call_outcome_t outcome, int status, const jj_bytes_t *body,
    jj_ms_t retry_after_ms, jj_ms_t now, jj_actions_t *out)
{
	send_answer(
	    ledger, call, outcome, status, body, retry_after_ms, now, out);
	TAILQ_REMOVE(&ledger->calls, call, link);
	free_call(call);
}

void
jj_ledger_abandon(jj_ledger_t *ledger, jj_ledger_call_t *call,
    jj_call_outcome_t outcome, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_entry_t *entry;

	JJ_INVARIANT(!call->running);
	entry = jj_ledger_records_find(ledger->records, &call->call.key, now);
	if (entry != NULL && entry->run == call->run)
		jj_ledger_records_remove(ledger->records, entry);
	/* The witness may have the intent although no acknowledgement came. */
	jj_ledger_send_resolve(
	    ledger, call->slot, &call->call.key, call->attempt, true, now, out);
	jj_ledger_finish(
	    ledger, call, outcome, 0, NULL, JJ_LEDGER_RETRY_AFTER_MS, now, out);
}

void
jj_ledger_run(
    jj_ledger_t *ledger, jj_ledger_call_t *call, jj_ms_t now, jj_actions_t *out)
{
	if (now >= call->deadline) {
		jj_ledger_abandon(ledger, call, JJ_CALL_NOT_RUN, now, out);
		return;
	}
	call->running = true;
	call->call.budget_ms = call->deadline - now;
	ledger->port.run(ledger->port.ctx, call->run, &call->call);
}

static void
send_answer(jj_ledger_t *ledger, const jj_ledger_call_t *call,
    jj_call_outcome_t outcome, int status, const jj_bytes_t *body,
    jj_ms_t retry_after_ms, jj_ms_t now, jj_actions_t *out)
{
	jj_call_answer_t *answer;
	jj_action_t *action;
	jj_ms_t until = call->deadline + REFUSAL_RETENTION_MS;

	if (call->forwarded) {
		answer = &jj_actions_add_message(
		    out, &call->from.name, JJ_MESSAGE_CALL_ANSWER)
			      ->body.call_answer;
	} else {
		action = jj_actions_add(out, JJ_ACTION_CALL_ANSWER);
		action->body.call.call = call->operation;
		answer = &action->body.call.answer;
	}
	answer->call = call->call.call;
	answer->outcome = outcome;
	answer->status = status;
	answer->retry_after_ms = retry_after_ms;
	if (body != NULL)
		answer->body = jj_bytes_copy(body->data, body->size);
	if (!call->forwarded)
		return;
	if (until < now + REFUSAL_RETENTION_MS)
		until = now + REFUSAL_RETENTION_MS;
	if (outcome == JJ_CALL_NOT_RUN || outcome == JJ_CALL_NO_HISTORY ||
	    outcome == JJ_CALL_MISMATCH)
		jj_ledger_refusals_add(ledger->refusals, &call->from,
		    call->call.call, outcome, until);
}

/*
 * Detects a duplicate CALL message: the entry VM sent it again, or the network
 * repeated it. While the call is open, its one answer is still to come; a
 * refused call is refused again, see ledger_refusals.h. A duplicate of a call
 * that ran finds its record.
 */
static bool
is_duplicate_call(
    jj_ledger_t *ledger, const jj_ledger_call_t *new_call, jj_actions_t *out)
{
	const jj_ledger_call_t *call;
	jj_message_t *message;
	jj_call_outcome_t outcome;

	TAILQ_FOREACH(call, &ledger->calls, link)
	{
		if (call->forwarded && call->call.call == new_call->call.call &&
		    call->from.incarnation == new_call->from.incarnation &&
		    jj_name_equal(&call->from.name, &new_call->from.name))
			return true;
	}
	if (!jj_ledger_refusals_find(ledger->refusals, &new_call->from,
		new_call->call.call, &outcome))
		return false;
	message = jj_actions_add_message(
	    out, &new_call->from.name, JJ_MESSAGE_CALL_ANSWER);
	message->body.call_answer.call = new_call->call.call;
	message->body.call_answer.outcome = outcome;
	message->body.call_answer.retry_after_ms = JJ_LEDGER_RETRY_AFTER_MS;
	return true;
}

static void
answer_from_record(jj_ledger_t *ledger, const jj_ledger_call_t *new_call,
    const jj_ledger_entry_t *entry, jj_ms_t now, jj_actions_t *out)
{
	bool own = entry->run != 0;

	if (entry->state == JJ_RECORD_INTENT && !own) {
		/*
		 * Only the home knows whether the call of an intent still runs.
		 */
		send_answer(ledger, new_call, JJ_CALL_NO_HISTORY, 0, NULL,
		    JJ_LEDGER_RETRY_AFTER_MS, now, out);
	} else if (entry->fingerprint != new_call->call.fingerprint) {
		send_answer(
		    ledger, new_call, JJ_CALL_MISMATCH, 0, NULL, 0, now, out);
	} else if (entry->state == JJ_RECORD_INTENT) {
		send_answer(ledger, new_call, JJ_CALL_IN_PROGRESS, 0, NULL,
		    JJ_LEDGER_RETRY_AFTER_MS, now, out);
	} else if (entry->state == JJ_RECORD_DONE) {
		send_answer(ledger, new_call, JJ_CALL_REPLAYED, entry->status,
		    &entry->answer, 0, now, out);
	} else {
		send_answer(
		    ledger, new_call, JJ_CALL_UNKNOWN, 0, NULL, 0, now, out);
	}
}

/*
 * True when a key without a record has certainly not run, and may start here.
 */
static bool
can_start(jj_ledger_t *ledger, uint32_t slot, jj_ms_t now)
{
	jj_ledger_slot_state_t *state = &ledger->slot_states[slot];

	if (!jj_ledger_is_active_home(ledger, slot))
		return false;
	if (state->unknown &&
	    now - state->unknown_since > ledger->settings.retention_ms)
		state->unknown = false;
	if (state->unknown)
		return false;
	return jj_ledger_records_count(ledger->records) <
	    ledger->settings.record_max;
}

/*
 * True for a home without a witness whose history is known: no other VM can
 * have deposed it.
 */
static bool
is_home_without_witness(const jj_ledger_t *ledger, uint32_t slot)
{
	return jj_ledger_is_active_home(ledger, slot) &&
	    !ledger->slot_states[slot].unknown &&
	    jj_name_is_empty(&ledger->table.slots[slot].witness.name);
}

static void
start_call(
    jj_ledger_t *ledger, jj_ledger_call_t *call, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_entry_t *entry;

	entry = jj_ledger_records_add(ledger->records, &call->call.key);
	call->run = ledger->next_run++;
	call->attempt = ledger->next_attempt++;
	entry->fingerprint = call->call.fingerprint;
	entry->attempt = call->attempt;
	entry->state = JJ_RECORD_INTENT;
	entry->since = now;
	entry->epoch = ledger->table.slots[call->slot].epoch;
	entry->run = call->run;
	TAILQ_INSERT_TAIL(&ledger->calls, call, link);
	if (is_home_without_witness(ledger, call->slot)) {
		jj_ledger_run(ledger, call, now, out);
		return;
	}
	call->ack_deadline = now + ledger->settings.ack_timeout_ms;
	if (call->ack_deadline > call->deadline)
		call->ack_deadline = call->deadline;
	if (ledger->next_ack_deadline > call->ack_deadline)
		ledger->next_ack_deadline = call->ack_deadline;
	jj_ledger_send_intent(ledger, entry, now, out);
}

static void
free_call(jj_ledger_call_t *call)
{
	jj_bytes_free(&call->call.path);
	jj_bytes_free(&call->call.body);
	free(call);
}

static jj_ledger_call_t *
find_run(jj_ledger_t *ledger, uint64_t run)
{
	jj_ledger_call_t *call;

	TAILQ_FOREACH(call, &ledger->calls, link)
	{
		if (call->run == run && call->running)
			return call;
	}
	return NULL;
}

static void
record_outcome(jj_ledger_t *ledger, jj_ledger_entry_t *entry,
    jj_call_outcome_t outcome, int status, const jj_bytes_t *body, jj_ms_t now,
    jj_actions_t *out)
{
	jj_hash_t key = entry->key;
	uint32_t attempt = entry->attempt;
	uint32_t slot = entry->slot;
	bool removed = outcome == JJ_CALL_NOT_RUN;

	entry->run = 0;
	entry->since = now;
	if (removed) {
		jj_ledger_records_remove(ledger->records, entry);
	} else if (outcome == JJ_CALL_DONE) {
		entry->state = JJ_RECORD_DONE;
		entry->status = status;
		if (body != NULL && body->size <= ledger->settings.answer_max)
			jj_ledger_records_keep_answer(
			    ledger->records, entry, body);
	} else {
		entry->state = JJ_RECORD_UNKNOWN;
	}
	if (jj_ledger_is_home(ledger, slot))
		jj_ledger_send_resolve(
		    ledger, slot, &key, attempt, removed, now, out);
	else if (outcome == JJ_CALL_DONE)
		jj_ledger_notify_home(ledger, entry, now, out);
}

/*
 * The witness did not acknowledge in time. Whether this home was deposed and
 * its successor ran the key is unknown: NO_HISTORY, never NOT_RUN.
 */
static void
expire_ack_waits(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_call_t *call;
	jj_ledger_call_t *next;

	if (now < ledger->next_ack_deadline)
		return;
	ledger->next_ack_deadline = JJ_MS_NEVER;
	for (call = TAILQ_FIRST(&ledger->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (call->running)
			continue;
		if (call->ack_deadline <= now)
			jj_ledger_abandon(
			    ledger, call, JJ_CALL_NO_HISTORY, now, out);
		else if (call->ack_deadline < ledger->next_ack_deadline)
			ledger->next_ack_deadline = call->ack_deadline;
	}
}

/*
 * After a pause of this process all neighbours seem unreachable, because their
 * heartbeats are not read yet. Restarts the measurement of silence, so that a
 * VM that resumes does not depose VMs that kept running.
 */
static void
detect_pause(jj_ledger_t *ledger, jj_ms_t now)
{
	jj_ms_t limit = ledger->settings.takeover_ms / 2;

	if (ledger->started_ms == JJ_MS_NEVER ||
	    now - ledger->last_tick > limit)
		ledger->started_ms = now;
	ledger->last_tick = now;
}

static void
run_periodic_work(jj_ledger_t *ledger, jj_ms_t now, jj_actions_t *out)
{
	jj_ledger_sync_tick(ledger, now, out);
	jj_ledger_resend(ledger, now, out);
	jj_ledger_refusals_sweep(ledger->refusals, now);
	jj_ledger_records_sweep(ledger->records, ledger->sweep_slot, now);
	ledger->sweep_slot = (ledger->sweep_slot + 1) % JJ_LEDGER_SLOTS;
	jj_ledger_step_platform(ledger, now, out);
	if (now >= ledger->next_gossip_ms)
		jj_ledger_spread_table(ledger, now, out);
}

static json_t *
slot_status(const jj_ledger_t *ledger, uint32_t index)
{
	const jj_ledger_slot_t *slot = &ledger->table.slots[index];
	const jj_ledger_slot_state_t *state = &ledger->slot_states[index];
	json_t *json = json_object();

	json_object_set_new(
	    json, "epoch", json_integer((json_int_t)slot->epoch));
	json_object_set_new(json, "home", json_string(slot->home.name.text));
	json_object_set_new(
	    json, "witness", json_string(slot->witness.name.text));
	json_object_set_new(json, "complete", json_boolean(state->complete));
	json_object_set_new(json, "synced", json_boolean(state->synced));
	json_object_set_new(
	    json, "history_unknown", json_boolean(state->unknown));
	return json;
}
