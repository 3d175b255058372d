/**
 * @file crash_evidence.c
 * @brief Attempts that ended without an answer, in the order of their ends.
 */
#include <string.h>

#include "core/crash_evidence.h"

/** Selects attempts; fields that are 0 select all. */
typedef struct {
	uint64_t fingerprint;
	uint64_t server_hash;
	jj_ms_t until_ms; /**< ended no later than this */
} selection_t;

static void drop_selected(jj_crash_evidence_t *, const selection_t *);
static bool is_selected(const jj_unanswered_t *, const selection_t *);
static bool is_break(const jj_unanswered_t *, uint64_t, jj_ms_t);
static bool is_unanswered(const jj_unanswered_t *, uint64_t, jj_ms_t);
static void add_suspect(jj_crash_t *, uint64_t);

jj_prompt_t
jj_unanswered_prompt(const jj_unanswered_t *attempt)
{
	jj_prompt_t prompt = {.count = attempt->part_count};

	memcpy(prompt.ids, attempt->parts, sizeof(attempt->parts));
	return prompt;
}

void
jj_crash_evidence_add(jj_crash_evidence_t *evidence,
    const jj_unanswered_t *attempt, jj_ms_t moment_ms)
{
	jj_unanswered_t *added;
	jj_unanswered_t *other;
	uint32_t i;

	if (evidence->count == JJ_CRASH_EVIDENCE_MAX) {
		evidence->count--;
		memmove(evidence->attempts, evidence->attempts + 1,
		    evidence->count * sizeof(evidence->attempts[0]));
	}
	added = &evidence->attempts[evidence->count++];
	*added = *attempt;
	if (!is_break(added, added->server_hash, 0))
		return;
	for (i = 0; i + 1 < evidence->count; i++) {
		other = &evidence->attempts[i];
		if (other->server_hash == added->server_hash ||
		    !is_break(other, other->server_hash, added->ms - moment_ms))
			continue;
		other->correlated = true;
		added->correlated = true;
	}
}

uint32_t
jj_crash_evidence_count_breaks(
    const jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t since_ms)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < evidence->count; i++)
		count += !evidence->attempts[i].from_peer &&
		    is_break(&evidence->attempts[i], server_hash, since_ms);
	return count;
}

bool
jj_crash_evidence_has_break(
    const jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t since_ms)
{
	uint32_t i;

	for (i = 0; i < evidence->count; i++)
		if (is_break(&evidence->attempts[i], server_hash, since_ms))
			return true;
	return false;
}

bool
jj_crash_evidence_is_correlated(
    const jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t since_ms)
{
	uint32_t i;

	for (i = 0; i < evidence->count; i++)
		if (evidence->attempts[i].correlated &&
		    is_break(&evidence->attempts[i], server_hash, since_ms))
			return true;
	return false;
}

uint32_t
jj_crash_evidence_count_broken(
    const jj_crash_evidence_t *evidence, jj_ms_t since_ms, jj_ms_t until_ms)
{
	const jj_unanswered_t *attempts = evidence->attempts;
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < evidence->count; i++) {
		if (attempts[i].ms > until_ms ||
		    !is_break(&attempts[i], attempts[i].server_hash, since_ms))
			continue;
		for (k = 0; k < i; k++)
			if (attempts[k].ms <= until_ms &&
			    is_break(&attempts[k], attempts[i].server_hash,
				since_ms))
				break;
		count += k == i;
	}
	return count;
}

void
jj_crash_evidence_note_unreachable(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t since_ms)
{
	uint32_t i;

	for (i = 0; i < evidence->count; i++)
		if (is_break(&evidence->attempts[i], server_hash, since_ms))
			evidence->attempts[i].unreachable = true;
}

uint32_t
jj_crash_evidence_count_servers(
    const jj_crash_evidence_t *evidence, uint64_t fingerprint, jj_ms_t since_ms)
{
	const jj_unanswered_t *attempts = evidence->attempts;
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < evidence->count; i++) {
		if (!is_unanswered(&attempts[i], fingerprint, since_ms))
			continue;
		for (k = 0; k < i; k++)
			if (attempts[k].server_hash ==
				attempts[i].server_hash &&
			    is_unanswered(&attempts[k], fingerprint, since_ms))
				break;
		count += k == i;
	}
	return count;
}

void
jj_crash_evidence_add_parts(jj_crash_evidence_t *evidence, uint64_t server_hash,
    uint64_t fingerprint, const uint64_t *parts, uint32_t count)
{
	jj_unanswered_t *attempt;
	uint32_t i;

	for (i = evidence->count; i > 0; i--) {
		attempt = &evidence->attempts[i - 1];
		if (!attempt->from_peer ||
		    attempt->server_hash != server_hash ||
		    attempt->fingerprint != fingerprint)
			continue;
		attempt->part_count = count;
		memcpy(attempt->parts, parts, count * sizeof(parts[0]));
		return;
	}
}

void
jj_crash_evidence_drop_request(
    jj_crash_evidence_t *evidence, uint64_t fingerprint)
{
	selection_t selection = {fingerprint, 0, 0};

	drop_selected(evidence, &selection);
}

void
jj_crash_evidence_drop_server(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t alive_ms)
{
	selection_t selection = {0, server_hash, alive_ms};

	drop_selected(evidence, &selection);
}

void
jj_crash_evidence_expire(jj_crash_evidence_t *evidence, jj_ms_t before_ms)
{
	selection_t selection = {0, 0, before_ms - 1};

	/* They are in the order of their ends, but for those of other VMs. */
	if (evidence->count > 0 && evidence->attempts[0].ms < before_ms)
		drop_selected(evidence, &selection);
}

jj_reported_crash_t *
jj_crash_evidence_note_crash(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t ms)
{
	jj_reported_crash_t *crash =
	    jj_crash_evidence_find_crash(evidence, server_hash);

	if (crash == NULL) {
		crash = &evidence->crashes[evidence->next_crash];
		evidence->next_crash =
		    (evidence->next_crash + 1) % JJ_CRASH_EVIDENCE_CRASHES;
		if (evidence->crash_count < JJ_CRASH_EVIDENCE_CRASHES)
			evidence->crash_count++;
	} else if (crash->due_ms == 0 && crash->ms >= ms) {
		return crash;
	}
	*crash = (jj_reported_crash_t){.server_hash = server_hash, .ms = ms};
	return crash;
}

jj_reported_crash_t *
jj_crash_evidence_find_crash(
    jj_crash_evidence_t *evidence, uint64_t server_hash)
{
	uint32_t i;

	for (i = 0; i < evidence->crash_count; i++)
		if (evidence->crashes[i].server_hash == server_hash)
			return &evidence->crashes[i];
	return NULL;
}

void
jj_crash_evidence_forget_crash(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t until_ms)
{
	uint32_t i;

	for (i = 0; i < evidence->crash_count; i++)
		if (evidence->crashes[i].server_hash == server_hash &&
		    evidence->crashes[i].ms <= until_ms)
			evidence->crashes[i].lived = true;
}

bool
jj_crash_evidence_has_crashed(
    const jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t since_ms)
{
	uint32_t i;

	for (i = 0; i < evidence->crash_count; i++)
		if (evidence->crashes[i].server_hash == server_hash)
			return !evidence->crashes[i].lived &&
			    evidence->crashes[i].ms > since_ms;
	return false;
}

bool
jj_crash_evidence_take(jj_crash_evidence_t *evidence, jj_crash_t *crash)
{
	selection_t selection = {0, crash->boot, 0};
	bool is_own = false;
	uint32_t i;

	for (i = 0; i < evidence->count; i++) {
		if (!is_selected(&evidence->attempts[i], &selection))
			continue;
		add_suspect(crash, evidence->attempts[i].fingerprint);
		is_own = is_own || !evidence->attempts[i].from_peer;
	}
	drop_selected(evidence, &selection);
	return is_own;
}

static void
drop_selected(jj_crash_evidence_t *evidence, const selection_t *selection)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < evidence->count; i++)
		if (!is_selected(&evidence->attempts[i], selection))
			evidence->attempts[kept++] = evidence->attempts[i];
	evidence->count = kept;
}

static bool
is_selected(const jj_unanswered_t *attempt, const selection_t *selection)
{
	return (selection->fingerprint == 0 ||
		   attempt->fingerprint == selection->fingerprint) &&
	    (selection->server_hash == 0 ||
		attempt->server_hash == selection->server_hash) &&
	    (selection->until_ms == 0 || attempt->ms <= selection->until_ms);
}

/** The attempt's connection to that process broke. */
static bool
is_break(const jj_unanswered_t *attempt, uint64_t server_hash, jj_ms_t since_ms)
{
	return attempt->server_hash == server_hash && attempt->ms >= since_ms &&
	    !attempt->silent && !attempt->complete;
}

/** The attempt was of that content and had no answer. */
static bool
is_unanswered(
    const jj_unanswered_t *attempt, uint64_t fingerprint, jj_ms_t since_ms)
{
	return attempt->fingerprint == fingerprint && attempt->ms >= since_ms &&
	    !attempt->complete;
}

/** Copies of one content may have run at the server at the same time. */
static void
add_suspect(jj_crash_t *crash, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < crash->suspect_count; i++)
		if (crash->suspects[i] == fingerprint)
			return;
	if (crash->suspect_count < JJ_MESSAGE_SUSPECTS_MAX)
		crash->suspects[crash->suspect_count++] = fingerprint;
}
