/**
 * @file gateway_crashes.c
 * @brief Servers that crash under a request, and servers that accept no
 * connections.
 *
 * An attempt that ends without an answer is evidence of a crash once its
 * server's process is known to have ended without having announced it
 * (crash_evidence.h). Connections that break at several servers at one moment
 * are more likely a fault of this VM's network, so they are only a suspicion; a
 * crash that proves wrong is withdrawn. Crashes are told to all VMs, attempts
 * whose server's fate is not known yet to a few, as the VM that made them may
 * end before.
 */
#include <stdlib.h>
#include <string.h>

#include "core/crash_history.h"
#include "core/gateway_state.h"

/**
 * Connections that break within this time belong to one event; what a server
 * sent before it crashed is read within it, ms.
 */
#define CRASH_WINDOW_MS 300
/**
 * Breaks at one server are a crash unless connections to other servers break
 * within this time, ms.
 */
#define SETTLE_MS 100
/**
 * Servers that may crash at one moment. If connections broke at more of them, a
 * refused connection may be the network's fault, and the list tells.
 */
#define CRASHES_AT_ONCE 2
/**
 * A server that accepts no connection this long after a connection broke there
 * has crashed, ms.
 */
#define UNREACHABLE_WINDOW_MS 3000
/** Time until it is known that a crashed server is no longer listed, ms. */
#define VERDICT_MS 2500
/**
 * The platform removes the entry of a server that is silent within this time,
 * ms.
 */
#define ENTRY_LAPSE_MS 8000
/** Evidence that was neither confirmed nor refuted is dropped after, ms. */
#define EVIDENCE_KEEP_MS 300000
/** Number of other VMs that are told of an unanswered attempt. */
#define HOLDERS 8
/** Servers at which a content may break before it is no longer retried. */
#define SUSPICIOUS_BREAKS 2

/**
 * Interval at which VMs that see a process live withdraw its crash, in the order
 * of their ranks, ms. After the first one the others send none.
 */
#define WITHDRAW_INTERVAL_MS 5
/** Rank after which VMs no longer wait for each other. */
#define WITHDRAW_RANKS_MAX 64

/** What is known of the process at which an attempt ended. */
typedef enum {
	FATE_OPEN,
	FATE_CRASHED,
	FATE_OBSERVED, /**< it crashed by what this VM alone has seen */
	/** it announced that it leaves, or is still listed long afterwards */
	FATE_NO_CRASH,
} fate_t;

static fate_t fate_of(const jj_gateway_t *, const jj_unanswered_t *, jj_ms_t);
static bool
has_broken_alone(const jj_gateway_t *, const jj_unanswered_t *, jj_ms_t);
static bool
is_refusal_of_crashed(const jj_gateway_t *, const jj_unanswered_t *, jj_ms_t);
static void tick_withdrawals(jj_gateway_t *, jj_ms_t, jj_actions_t *);
static void withdraw_crash(jj_gateway_t *, const jj_name_t *, uint64_t,
    const char *, jj_ms_t, jj_actions_t *);
static bool is_listed_since(const jj_gateway_t *, const jj_slot_server_t *,
    const jj_unanswered_t *, jj_ms_t);
static void report_crash(
    jj_gateway_t *, const jj_name_t *, uint64_t, bool, jj_ms_t, jj_actions_t *);
static void
tell_holders(jj_gateway_t *, const jj_unanswered_t *, jj_actions_t *);
static void
confirm_answers(jj_gateway_t *, uint64_t, jj_ms_t, jj_ms_t, jj_actions_t *);
static void select_parts(const jj_gateway_t *, const jj_gateway_entry_t *,
    jj_ms_t, jj_unanswered_t *);
static bool has_crashed(const jj_gateway_t *, uint64_t, jj_ms_t);
static uint32_t count_suspicions(jj_gateway_t *, uint64_t, jj_ms_t);
static uint32_t count_refused(jj_gateway_t *, const jj_crash_t *, jj_ms_t);

void
jj_gateway_notify_unreachable(
    jj_gateway_t *gateway, const jj_slot_server_t *server)
{
	jj_message_t message = {.kind = JJ_MESSAGE_SERVER_STATE};

	message.body.server.server = server->info.id;
	message.body.server.boot = server->hash;
	message.body.server.state = JJ_SERVER_DOWN;
	jj_gateway_send_to_others(gateway, &message, gateway->out);
}

void
jj_gateway_note_unanswered(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, bool silent, jj_ms_t now,
    jj_actions_t *out)
{
	const jj_slot_server_t *server = entry->server;
	jj_unanswered_t attempt = {.fingerprint = entry->fingerprint,
	    .server = server->info.id,
	    .server_hash = server->hash,
	    .ms = now,
	    .silent = silent};

	/*
	 * A server that leaves ends its last requests. Its entry may be removed
	 * without notice; after that only silence may be a crash.
	 */
	if (server->info.draining ||
	    (!silent && !server->listed && now >= server->unlisted_ms &&
		!server->replaced))
		return;
	select_parts(gateway, entry, now, &attempt);
	jj_crash_evidence_add(
	    &gateway->crash_evidence, &attempt, CRASH_WINDOW_MS);
	if (has_crashed(gateway, server->hash, now))
		report_crash(
		    gateway, &server->info.id, server->hash, true, now, out);
	else
		tell_holders(gateway, &attempt, out);
}

void
jj_gateway_note_unreachable(jj_gateway_t *gateway,
    const jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out)
{
	jj_crash_evidence_t *evidence = &gateway->crash_evidence;
	jj_ms_t since_ms = now - UNREACHABLE_WINDOW_MS;

	jj_crash_evidence_note_unreachable(evidence, server->hash, since_ms);
	if (jj_crash_evidence_has_break(evidence, server->hash, since_ms) &&
	    !jj_crash_evidence_is_correlated(evidence, server->hash, since_ms))
		report_crash(
		    gateway, &server->info.id, server->hash, true, now, out);
}

void
jj_gateway_note_alive(jj_gateway_t *gateway, const jj_slot_server_t *server,
    jj_ms_t now, jj_actions_t *out)
{
	jj_crash_evidence_forget_crash(
	    &gateway->crash_evidence, server->hash, now - CRASH_WINDOW_MS);
	if (gateway->crash_evidence.count == 0)
		return;
	confirm_answers(gateway, server->hash, now - CRASH_WINDOW_MS, now, out);
	jj_crash_evidence_drop_server(
	    &gateway->crash_evidence, server->hash, now - CRASH_WINDOW_MS);
}

/*
 * An event of an attempt from before the crash can only be by the same process.
 * A later attempt may have reached its successor under the same id, which the
 * list shows soon.
 */
void
jj_gateway_note_answered(jj_gateway_t *gateway, const jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out)
{
	jj_slot_server_t *server = entry->server;
	jj_reported_crash_t *crash = jj_crash_evidence_find_crash(
	    &gateway->crash_evidence, server->hash);

	server->alive_ms = now;
	gateway->answered_ms = now;
	if (crash == NULL || crash->due_ms != 0 || server->replaced ||
	    now - crash->ms <= CRASH_WINDOW_MS)
		return;
	if (entry->sent_ms > crash->ms) {
		if (crash->answered_ms == 0)
			crash->answered_ms = now;
		return;
	}
	crash->due_ms = now +
	    (jj_ms_t)jj_member_rank(
		gateway->member, server->hash, WITHDRAW_RANKS_MAX) *
		WITHDRAW_INTERVAL_MS;
	withdraw_crash(
	    gateway, &server->info.id, server->hash, "answered", now, out);
}

void
jj_gateway_take_server_up(jj_gateway_t *gateway,
    const jj_server_notice_t *notice, jj_ms_t now, jj_actions_t *out)
{
	const jj_slot_server_t *server =
	    jj_slots_find_hash(gateway->slots, notice->boot);
	jj_reported_crash_t *crash = jj_crash_evidence_find_crash(
	    &gateway->crash_evidence, notice->boot);

	/* What this VM knows of the end of the process may be newer. */
	if (server != NULL &&
	    (server->replaced || jj_gateway_is_server_gone(server, now)))
		return;
	if (crash != NULL)
		crash->server_hash = 0;
	withdraw_crash(
	    gateway, &notice->server, notice->boot, "told", now, out);
}

void
jj_gateway_note_reported_crashes(jj_gateway_t *gateway,
    const uint64_t *server_hashes, uint32_t count, jj_ms_t age_ms, jj_ms_t now)
{
	const jj_slot_server_t *server;
	jj_reported_crash_t *crash;
	uint32_t i;

	for (i = 0; i < count; i++) {
		crash = jj_crash_evidence_note_crash(
		    &gateway->crash_evidence, server_hashes[i], now - age_ms);
		server = jj_slots_find_hash(gateway->slots, server_hashes[i]);
		if (server != NULL && crash->answered_ms == 0 &&
		    server->alive_ms > crash->ms + CRASH_WINDOW_MS)
			crash->answered_ms = server->alive_ms;
	}
}

void
jj_gateway_take_crash_history(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	const jj_crash_record_t *entry;
	const jj_slot_server_t *server;
	uint64_t id;
	uint32_t i;
	uint32_t k;

	(void)jj_crash_history_take(gateway->quarantine, message, now, out);
	if (message->body.struck.count == 0)
		return;
	for (server = jj_slots_first(gateway->slots); server != NULL;
	     server = TAILQ_NEXT(server, link)) {
		id = jj_quarantine_crash_id(&server->info.id, server->hash);
		for (i = 0; i < message->body.struck.count; i++) {
			entry = &message->body.struck.entries[i];
			for (k = 0; k < entry->death_count; k++)
				if (entry->deaths[k] == id)
					jj_gateway_note_reported_crashes(
					    gateway, &server->hash, 1,
					    entry->age_ms, now);
		}
	}
}

void
jj_gateway_note_completed(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, bool unframed, jj_ms_t now,
    jj_actions_t *out)
{
	jj_unanswered_t attempt = {.fingerprint = entry->fingerprint,
	    .server = entry->server->info.id,
	    .server_hash = entry->server->hash,
	    .ms = now,
	    .complete = true};

	if (unframed && !entry->server->info.draining) {
		select_parts(gateway, entry, now, &attempt);
		jj_crash_evidence_add(
		    &gateway->crash_evidence, &attempt, CRASH_WINDOW_MS);
		if (has_crashed(gateway, attempt.server_hash, now))
			report_crash(gateway, &attempt.server,
			    attempt.server_hash, false, now, out);
		return;
	}
	jj_quarantine_clear(gateway->quarantine, entry->fingerprint);
	jj_crash_evidence_drop_request(
	    &gateway->crash_evidence, entry->fingerprint);
	jj_gateway_note_parts_completed(gateway, &entry->prompt, now, out);
}

void
jj_gateway_take_unanswered(
    jj_gateway_t *gateway, const jj_message_t *message, jj_ms_t now)
{
	jj_unanswered_t attempt = {
	    .fingerprint = message->body.unanswered.fingerprint,
	    .server = message->body.unanswered.server,
	    .server_hash = message->body.unanswered.boot,
	    .ms = now,
	    .silent = message->body.unanswered.silent,
	    .from_peer = true,
	    .peer = message->from,
	    .incarnation = message->incarnation};

	jj_crash_evidence_add(
	    &gateway->crash_evidence, &attempt, CRASH_WINDOW_MS);
}

void
jj_gateway_take_crash(jj_gateway_t *gateway, const jj_crash_t *crash,
    jj_ms_t now, jj_actions_t *out)
{
	jj_quarantine_take_crash(gateway->quarantine, crash, now, out);
	/* The attempts there that this VM knows of have ended with it. */
	report_crash(gateway, &crash->server, crash->boot, false, now, out);
}

void
jj_gateway_tick_crashes(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_crash_evidence_t *evidence = &gateway->crash_evidence;
	jj_unanswered_t attempt;
	fate_t fate;
	uint32_t i = 0;

	tick_withdrawals(gateway, now, out);
	jj_crash_evidence_expire(evidence, now - EVIDENCE_KEEP_MS);
	while (i < evidence->count) {
		attempt = evidence->attempts[i];
		fate = fate_of(gateway, &attempt, now);
		switch (fate) {
		case FATE_CRASHED:
		case FATE_OBSERVED:
			report_crash(gateway, &attempt.server,
			    attempt.server_hash, fate == FATE_OBSERVED, now,
			    out);
			i = 0;
			break;
		case FATE_NO_CRASH:
			confirm_answers(
			    gateway, attempt.server_hash, now, now, out);
			jj_crash_evidence_drop_server(
			    evidence, attempt.server_hash, now);
			i = 0;
			break;
		default:
			i++;
			break;
		}
	}
}

jj_failure_t
jj_gateway_check_request(jj_gateway_t *gateway, uint64_t fingerprint,
    const jj_prompt_t *prompt, bool is_retry, jj_ms_t now)
{
	uint32_t suspicions;

	jj_gateway_tick_crashes(gateway, now, gateway->out);
	if (jj_quarantine_check(gateway->quarantine, fingerprint, now) ==
	    JJ_QUARANTINE_REFUSED)
		return JJ_FAILURE_QUARANTINED;
	if (jj_gateway_parts_wait(gateway, prompt, now) > 0)
		return JJ_FAILURE_CRASHING_PART;
	if (gateway->crash_evidence.count == 0)
		return JJ_FAILURE_NONE;
	suspicions = count_suspicions(gateway, fingerprint, now);
	if (is_retry && suspicions >= SUSPICIOUS_BREAKS)
		return JJ_FAILURE_RETRIES;
	return suspicions >= gateway->settings.quarantine.strikes
	    ? JJ_FAILURE_SUSPECT
	    : JJ_FAILURE_NONE;
}

bool
jj_gateway_is_server_gone(const jj_slot_server_t *server, jj_ms_t now)
{
	return !server->info.draining && !server->listed &&
	    !server->has_old_start && now >= server->unlisted_ms;
}

jj_ms_t
jj_gateway_verdict_ms(void)
{
	return VERDICT_MS;
}

static fate_t
fate_of(
    const jj_gateway_t *gateway, const jj_unanswered_t *attempt, jj_ms_t now)
{
	const jj_slot_server_t *server =
	    jj_slots_find_hash(gateway->slots, attempt->server_hash);

	/* A server that was gone here before another VM's attempt had left. */
	if (server == NULL)
		return attempt->from_peer ? FATE_NO_CRASH : FATE_CRASHED;
	if (server->replaced)
		return FATE_CRASHED;
	if (server->info.draining ||
	    is_listed_since(gateway, server, attempt, now))
		return FATE_NO_CRASH;
	if (jj_gateway_is_server_gone(server, now))
		return FATE_CRASHED;
	return has_broken_alone(gateway, attempt, now) ||
		is_refusal_of_crashed(gateway, attempt, now)
	    ? FATE_OBSERVED
	    : FATE_OPEN;
}

/**
 * Several connections of this VM broke there, and none to another server. A
 * reset of this VM's connections breaks those to all servers.
 */
static bool
has_broken_alone(
    const jj_gateway_t *gateway, const jj_unanswered_t *attempt, jj_ms_t now)
{
	const jj_crash_evidence_t *evidence = &gateway->crash_evidence;
	jj_ms_t since_ms = attempt->ms - CRASH_WINDOW_MS;

	return now - attempt->ms >= SETTLE_MS &&
	    now - attempt->ms < UNREACHABLE_WINDOW_MS &&
	    jj_crash_evidence_count_breaks(
		evidence, attempt->server_hash, since_ms) > 1 &&
	    !jj_crash_evidence_is_correlated(
		evidence, attempt->server_hash, since_ms);
}

/**
 * A server whose connections broke together with those to others accepts no
 * connection, while the network works and nearly all of the others have
 * answered.
 */
static bool
is_refusal_of_crashed(
    const jj_gateway_t *gateway, const jj_unanswered_t *attempt, jj_ms_t now)
{
	return attempt->unreachable &&
	    now - attempt->ms < UNREACHABLE_WINDOW_MS &&
	    gateway->answered_ms > attempt->ms &&
	    jj_crash_evidence_count_broken(&gateway->crash_evidence,
		attempt->ms - CRASH_WINDOW_MS,
		attempt->ms + CRASH_WINDOW_MS) <= CRASHES_AT_ONCE;
}

/**
 * Withdraws crashes of processes that answered later requests and are still
 * listed with the same start; tells the other VMs of withdrawn crashes.
 */
static void
tick_withdrawals(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_crash_evidence_t *evidence = &gateway->crash_evidence;
	jj_message_t message = {.kind = JJ_MESSAGE_SERVER_STATE};
	const jj_slot_server_t *server;
	jj_reported_crash_t *crash;
	uint32_t i;

	for (i = 0; i < evidence->crash_count; i++) {
		crash = &evidence->crashes[i];
		if (crash->server_hash == 0 ||
		    (crash->due_ms == 0 && crash->answered_ms == 0))
			continue;
		server = jj_slots_find_hash(gateway->slots, crash->server_hash);
		if (server == NULL || server->replaced) {
			crash->answered_ms = 0;
			crash->due_ms = 0;
			continue;
		}
		/* An entry that has expired may come back. */
		if (!server->listed)
			continue;
		if (crash->due_ms == 0 &&
		    now - crash->answered_ms >= VERDICT_MS) {
			crash->due_ms = now +
			    (jj_ms_t)jj_member_rank(gateway->member,
				server->hash, WITHDRAW_RANKS_MAX) *
				WITHDRAW_INTERVAL_MS;
			withdraw_crash(gateway, &server->info.id, server->hash,
			    "answered", now, out);
		}
		if (crash->due_ms == 0 || now < crash->due_ms)
			continue;
		message.body.server.server = server->info.id;
		message.body.server.boot = server->hash;
		message.body.server.state = JJ_SERVER_UP;
		jj_gateway_send_to_others(gateway, &message, out);
		crash->server_hash = 0;
	}
}

/** The process lives: nothing that was counted for its crash stays. */
static void
withdraw_crash(jj_gateway_t *gateway, const jj_name_t *server,
    uint64_t server_hash, const char *why, jj_ms_t now, jj_actions_t *out)
{
	uint32_t parts =
	    jj_crash_parts_withdraw(gateway->crash_parts, server_hash, out);
	uint32_t contents = jj_quarantine_withdraw(
	    gateway->quarantine, server, server_hash, out);

	jj_crash_evidence_forget_crash(
	    &gateway->crash_evidence, server_hash, now);
	confirm_answers(gateway, server_hash, now - CRASH_WINDOW_MS, now, out);
	jj_crash_evidence_drop_server(
	    &gateway->crash_evidence, server_hash, now - CRASH_WINDOW_MS);
	if (parts + contents > 0)
		jj_actions_add_event(out, "crash_withdrawn",
		    "server=%s process=%016llx why=%s parts=%u contents=%u",
		    server->text, (unsigned long long)server_hash, why, parts,
		    contents);
}

/** The entry of a server that had crashed would have been removed by now. */
static bool
is_listed_since(const jj_gateway_t *gateway, const jj_slot_server_t *server,
    const jj_unanswered_t *attempt, jj_ms_t now)
{
	jj_ms_t since_ms = gateway->servers_since_ms;

	return server->listed && since_ms != JJ_MS_NEVER &&
	    now - since_ms > ENTRY_LAPSE_MS &&
	    now - attempt->ms > ENTRY_LAPSE_MS;
}

/**
 * Counts a crash against all contents that ended without an answer there.
 * @param is_witness only this VM may know yet that the server crashed.
 */
static void
report_crash(jj_gateway_t *gateway, const jj_name_t *server,
    uint64_t server_hash, bool is_witness, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t message = {.kind = JJ_MESSAGE_CRASH};
	/*
	 * The report names the process that crashed, which may have been
	 * replaced under the same id.
	 */
	jj_crash_t crash = {.server = *server, .boot = server_hash};
	bool is_own;
	uint32_t refused;

	jj_gateway_report_part_crashes(
	    gateway, server_hash, is_witness, now, out);
	if (!has_crashed(gateway, server_hash, now))
		jj_crash_evidence_note_crash(
		    &gateway->crash_evidence, server_hash, now);
	is_own = jj_crash_evidence_take(&gateway->crash_evidence, &crash);
	refused = count_refused(gateway, &crash, now);
	if (crash.suspect_count == 0)
		return;
	jj_actions_add_event(out, "server_crashed",
	    "server=%s suspects=%u own=%d", server->text, crash.suspect_count,
	    is_own);
	jj_quarantine_take_crash(gateway->quarantine, &crash, now, out);
	if (!is_own && !is_witness &&
	    count_refused(gateway, &crash, now) == refused)
		return;
	message.body.crash = crash;
	jj_gateway_send_to_others(gateway, &message, out);
}

/**
 * Tells a few other VMs, the same ones for all copies of a content while the
 * same VMs are live.
 */
static void
tell_holders(
    jj_gateway_t *gateway, const jj_unanswered_t *attempt, jj_actions_t *out)
{
	jj_member_info_t *infos;
	size_t count = jj_gateway_list_others(gateway, &infos);
	jj_message_t *message;
	size_t told;
	size_t best;

	for (told = 0; told < HOLDERS && count > 0; told++) {
		best =
		    jj_gateway_first_ranked(infos, count, attempt->fingerprint);
		message = jj_actions_add_message(
		    out, &infos[best].name, JJ_MESSAGE_UNANSWERED);
		message->body.unanswered.server = attempt->server;
		message->body.unanswered.boot = attempt->server_hash;
		message->body.unanswered.silent = attempt->silent;
		message->body.unanswered.fingerprint = attempt->fingerprint;
		if (attempt->part_count > 0) {
			message = jj_actions_add_message(out, &infos[best].name,
			    JJ_MESSAGE_UNANSWERED_PARTS);
			message->body.unanswered_parts.boot =
			    attempt->server_hash;
			message->body.unanswered_parts.fingerprint =
			    attempt->fingerprint;
			message->body.unanswered_parts.count =
			    attempt->part_count;
			memcpy(message->body.unanswered_parts.parts,
			    attempt->parts, sizeof(attempt->parts));
		}
		infos[best] = infos[--count];
	}
	free(infos);
}

/** The server lives: answers that ended there by then were complete. */
static void
confirm_answers(jj_gateway_t *gateway, uint64_t server_hash, jj_ms_t until_ms,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_unanswered_t *attempt;
	jj_prompt_t prompt;
	uint32_t i;

	for (i = 0; i < gateway->crash_evidence.count; i++) {
		attempt = &gateway->crash_evidence.attempts[i];
		if (!attempt->complete || attempt->server_hash != server_hash ||
		    attempt->ms > until_ms)
			continue;
		jj_quarantine_clear(gateway->quarantine, attempt->fingerprint);
		prompt = jj_unanswered_prompt(attempt);
		jj_gateway_note_parts_completed(gateway, &prompt, now, out);
	}
}

/**
 * Keeps those parts of a prompt that may have crashed the server. An item of a
 * job never crashes servers by itself, so none of its parts does.
 */
static void
select_parts(const jj_gateway_t *gateway, const jj_gateway_entry_t *entry,
    jj_ms_t now, jj_unanswered_t *attempt)
{
	jj_prompt_t suspects;

	if (entry->class_of == JJ_CLASS_BATCH)
		return;
	jj_crash_parts_select(
	    gateway->crash_parts, &entry->prompt, now, &suspects);
	attempt->part_count = suspects.count < JJ_UNANSWERED_PARTS_MAX
	    ? suspects.count
	    : JJ_UNANSWERED_PARTS_MAX;
	memcpy(attempt->parts, suspects.ids,
	    attempt->part_count * sizeof(attempt->parts[0]));
}

/** The process was reported to have crashed not long ago. */
static bool
has_crashed(const jj_gateway_t *gateway, uint64_t server_hash, jj_ms_t now)
{
	return jj_crash_evidence_has_crashed(
	    &gateway->crash_evidence, server_hash, now - UNREACHABLE_WINDOW_MS);
}

/** Crashes of a content, and servers at which it ended not long ago. */
static uint32_t
count_suspicions(jj_gateway_t *gateway, uint64_t fingerprint, jj_ms_t now)
{
	uint32_t open = jj_crash_evidence_count_servers(
	    &gateway->crash_evidence, fingerprint, now - VERDICT_MS);

	return open == 0 ? 0
			 : open +
		jj_quarantine_strikes(gateway->quarantine, fingerprint, now);
}

static uint32_t
count_refused(jj_gateway_t *gateway, const jj_crash_t *crash, jj_ms_t now)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < crash->suspect_count; i++)
		count += jj_quarantine_check(gateway->quarantine,
			     crash->suspects[i], now) == JJ_QUARANTINE_REFUSED;
	return count;
}
