/**
 * @file gateway_parts.c
 * @brief Parts of prompts that crash servers: the messages between VMs, and
 * which requests are refused.
 *
 * Requests with such a part come through any VM, so crashes are reported to all
 * VMs, by those that had attempts at the server. A VM that knows an answer with a
 * part to have completed reports that when it receives a crash of the part, and
 * when an answer completes after crashes. Nothing is sent while no server
 * crashes.
 */
#include <string.h>

#include "core/gateway_state.h"

/**
 * VMs that know that a part is sound report it one after the other, in the order
 * of their ranks at this interval, ms. After the first report the others send
 * none.
 */
#define SOUND_INTERVAL_MS 5
/** Rank after which VMs no longer wait for each other. */
#define SOUND_RANKS_MAX 64
/** Retry delay of requests while another VM may send a probe, ms. */
#define PROBE_RETRY_MS 1000
/** Maximum entries of one VM's history. */
#define HISTORY_MAX ((size_t)2 * JJ_MESSAGE_PARTS_MAX)

static bool
is_reported_by_sender(const jj_gateway_t *, const jj_unanswered_t *);
static void
take_crash(jj_gateway_t *, const jj_part_crashes_t *, jj_ms_t, jj_actions_t *);
static void
count_crash(jj_gateway_t *, const jj_part_crashes_t *, jj_ms_t, jj_actions_t *);
static void add_sound(jj_gateway_t *, uint64_t, jj_ms_t);
static void remove_sound(jj_gateway_t *, const jj_prompt_t *);
static void send_completed(jj_gateway_t *, const jj_prompt_t *, jj_actions_t *);

void
jj_gateway_note_parts_completed(jj_gateway_t *gateway,
    const jj_prompt_t *prompt, jj_ms_t now, jj_actions_t *out)
{
	jj_prompt_t cleared;

	jj_crash_parts_complete(gateway->crash_parts, prompt, now, &cleared);
	if (cleared.count > 0)
		send_completed(gateway, &cleared, out);
}

void
jj_gateway_report_part_crashes(jj_gateway_t *gateway, uint64_t server_hash,
    bool is_witness, jj_ms_t now, jj_actions_t *out)
{
	const jj_crash_evidence_t *evidence = &gateway->crash_evidence;
	jj_message_t message = {.kind = JJ_MESSAGE_PART_CRASHES};
	jj_part_crashes_t *reports = message.body.part_crashes.entries;
	const jj_unanswered_t *attempt;
	jj_prompt_t prompt;
	jj_prompt_t suspects;
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < evidence->count; i++) {
		attempt = &evidence->attempts[i];
		if (attempt->server_hash != server_hash ||
		    attempt->part_count == 0)
			continue;
		prompt = jj_unanswered_prompt(attempt);
		jj_crash_parts_select(
		    gateway->crash_parts, &prompt, now, &suspects);
		for (k = 0; k < suspects.count; k++) {
			jj_part_crashes_t crash = {suspects.ids[k],
			    now - attempt->ms,
			    jj_crash_parts_probes(
				gateway->crash_parts, suspects.ids[k]),
			    1, {server_hash}};

			count_crash(gateway, &crash, now, out);
			if ((is_witness ||
				!is_reported_by_sender(gateway, attempt)) &&
			    count < JJ_MESSAGE_PARTS_MAX)
				reports[count++] = crash;
		}
	}
	message.body.part_crashes.count = count;
	if (count > 0)
		jj_gateway_send_to_others(gateway, &message, out);
}

void
jj_gateway_send_part_history(
    jj_gateway_t *gateway, const jj_name_t *to, jj_ms_t now, jj_actions_t *out)
{
	jj_part_crashes_t list[HISTORY_MAX];
	size_t count =
	    jj_crash_parts_list(gateway->crash_parts, now, list, HISTORY_MAX);
	jj_message_t *message;
	size_t sent;
	size_t part;

	for (sent = 0; sent < count; sent += part) {
		part = count - sent < JJ_MESSAGE_PARTS_MAX
		    ? count - sent
		    : JJ_MESSAGE_PARTS_MAX;
		message =
		    jj_actions_add_message(out, to, JJ_MESSAGE_PART_CRASHES);
		message->body.part_crashes.count = (uint32_t)part;
		memcpy(message->body.part_crashes.entries, list + sent,
		    part * sizeof(list[0]));
	}
}

void
jj_gateway_take_parts_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	jj_prompt_t prompt;
	jj_prompt_t cleared;
	uint32_t i;

	switch (message->kind) {
	case JJ_MESSAGE_UNANSWERED_PARTS:
		jj_crash_evidence_add_parts(&gateway->crash_evidence,
		    message->body.unanswered_parts.boot,
		    message->body.unanswered_parts.fingerprint,
		    message->body.unanswered_parts.parts,
		    message->body.unanswered_parts.count);
		break;
	case JJ_MESSAGE_PART_CRASHES:
		for (i = 0; i < message->body.part_crashes.count; i++)
			take_crash(gateway,
			    &message->body.part_crashes.entries[i], now, out);
		break;
	case JJ_MESSAGE_PARTS_COMPLETED:
		prompt.count = message->body.parts_completed.count;
		memcpy(prompt.ids, message->body.parts_completed.parts,
		    prompt.count * sizeof(prompt.ids[0]));
		jj_crash_parts_complete(
		    gateway->crash_parts, &prompt, now, &cleared);
		remove_sound(gateway, &prompt);
		break;
	default:
		break;
	}
}

void
jj_gateway_tick_parts(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_prompt_t due = {0};
	uint32_t kept = 0;
	uint32_t i;

	jj_crash_parts_tick(gateway->crash_parts, now);
	for (i = 0; i < gateway->sound_count; i++) {
		if (gateway->sound_parts[i].due_ms <= now)
			due.ids[due.count++] = gateway->sound_parts[i].part;
		else
			gateway->sound_parts[kept++] = gateway->sound_parts[i];
	}
	gateway->sound_count = kept;
	if (due.count > 0)
		send_completed(gateway, &due, out);
}

jj_ms_t
jj_gateway_parts_wait(
    const jj_gateway_t *gateway, const jj_prompt_t *prompt, jj_ms_t now)
{
	uint64_t probed;
	jj_ms_t wait_ms;

	switch (jj_crash_parts_check(
	    gateway->crash_parts, prompt, now, &wait_ms, &probed)) {
	case JJ_PARTS_REFUSED:
		return wait_ms;
	case JJ_PARTS_PROBE:
		return jj_member_rank(gateway->member, probed, 1) == 0
		    ? 0
		    : PROBE_RETRY_MS;
	case JJ_PARTS_ALLOWED:
		break;
	}
	return 0;
}

/** The VM that made the attempt still runs, and reports its crashes itself. */
static bool
is_reported_by_sender(
    const jj_gateway_t *gateway, const jj_unanswered_t *attempt)
{
	const jj_member_info_t *info;

	if (!attempt->from_peer)
		return false;
	info = jj_member_find(gateway->member, &attempt->peer);
	return info != NULL && info->live &&
	    info->incarnation == attempt->incarnation;
}

/** Another VM's report. */
static void
take_crash(jj_gateway_t *gateway, const jj_part_crashes_t *crash, jj_ms_t now,
    jj_actions_t *out)
{
	jj_gateway_note_reported_crashes(
	    gateway, crash->servers, crash->count, crash->age_ms, now);
	count_crash(gateway, crash, now, out);
}

static void
count_crash(jj_gateway_t *gateway, const jj_part_crashes_t *crash, jj_ms_t now,
    jj_actions_t *out)
{
	if (jj_crash_parts_take(gateway->crash_parts, crash, now, out))
		add_sound(gateway, crash->part, now);
}

/** Other VMs have to know that a part is sound. */
static void
add_sound(jj_gateway_t *gateway, uint64_t part, jj_ms_t now)
{
	uint32_t i;

	for (i = 0; i < gateway->sound_count; i++)
		if (gateway->sound_parts[i].part == part)
			return;
	if (gateway->sound_count == JJ_MESSAGE_PARTS_MAX)
		return;
	gateway->sound_parts[gateway->sound_count].part = part;
	gateway->sound_parts[gateway->sound_count++].due_ms = now +
	    (jj_ms_t)jj_member_rank(gateway->member, part, SOUND_RANKS_MAX) *
		SOUND_INTERVAL_MS;
}

static void
remove_sound(jj_gateway_t *gateway, const jj_prompt_t *prompt)
{
	uint32_t kept = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < gateway->sound_count; i++) {
		for (k = 0; k < prompt->count; k++)
			if (prompt->ids[k] == gateway->sound_parts[i].part)
				break;
		if (k == prompt->count)
			gateway->sound_parts[kept++] = gateway->sound_parts[i];
	}
	gateway->sound_count = kept;
}

static void
send_completed(
    jj_gateway_t *gateway, const jj_prompt_t *prompt, jj_actions_t *out)
{
	jj_message_t message = {.kind = JJ_MESSAGE_PARTS_COMPLETED};

	message.body.parts_completed.count = prompt->count;
	memcpy(message.body.parts_completed.parts, prompt->ids,
	    prompt->count * sizeof(prompt->ids[0]));
	jj_gateway_send_to_others(gateway, &message, out);
}
