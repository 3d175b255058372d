/**
 * @file crash_parts.c
 * @brief Completed answers and crashes by part of a prompt, in bounded memory.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <glib.h>

#include "core/crash_parts.h"

/** Crashes until a part without a completed answer is refused. */
#define CRASHES_UNPROVEN 3
/** Crashes until a part that has had a completed answer is refused. */
#define CRASHES_PROVEN 5
/** An answer that was completed within this time clears a part, ms. */
#define PROVEN_RECENTLY_MS 30000
/** Time from the last crash of a part that was just refused to a probe, ms. */
#define PROBE_FIRST_MS 1000
/** Factor by which each probe prolongs that time. */
#define PROBE_GROWTH 30
/**
 * Requests that were on their way when a part was refused have ended this long
 * after its last crash, ms: a later crash is that of a probe, also where the VM
 * that sent it did not report it.
 */
#define STRAGGLER_MS 5000
/** A part is forgotten this many times the longest refusal after its crash. */
#define FORGET_REFUSALS 2
/** Maximum number of parts with crashes. */
#define SUSPECTS_MAX 1024
/** The table of completed parts: sets of places; powers of two. */
#define SETS 1024
#define PLACES 4

/** A part that completed. */
typedef struct {
	uint64_t id; /**< 0: the place is free */
	jj_ms_t last_ms;
} completed_t;

/** A part under which servers have crashed. */
typedef struct suspect {
	TAILQ_ENTRY(suspect) link;
	uint64_t id;
	uint32_t crash_count;
	uint64_t crashes[JJ_PART_CRASHES_MAX]; /**< server processes */
	jj_ms_t last_ms; /**< of the last crash */
	jj_ms_t probe_ms; /**< of the last probe; 0: none */
	jj_ms_t earlier_probe_ms; /**< of the one before it; 0: none */
	jj_ms_t not_before_ms; /**< no probe is due until then */
	uint32_t probes; /**< sent since it is refused */
} suspect_t;

TAILQ_HEAD(suspect_queue, suspect);

struct jj_crash_parts {
	jj_ms_t probe_most_ms;
	GHashTable *suspects; /**< suspect_t by id; owned */
	struct suspect_queue queue; /**< in the order of the last crashes */
	completed_t completed[SETS][PLACES];
};

static suspect_t *find_suspect(const jj_crash_parts_t *, uint64_t);
static suspect_t *add_suspect(jj_crash_parts_t *, uint64_t);
static void drop_suspect(jj_crash_parts_t *, suspect_t *);
static bool add_crash(suspect_t *, uint64_t);
static bool remove_crash(suspect_t *, uint64_t);
static jj_ms_t tried_since(const suspect_t *);
static bool is_refused(const jj_crash_parts_t *, const suspect_t *);
static jj_ms_t probe_due(const jj_crash_parts_t *, const suspect_t *);
static completed_t *find_completed(const jj_crash_parts_t *, uint64_t);
static void add_completed(jj_crash_parts_t *, uint64_t, jj_ms_t);
static bool is_recent(const completed_t *, jj_ms_t);

jj_crash_parts_t *
jj_crash_parts_create(jj_ms_t probe_most_ms)
{
	jj_crash_parts_t *parts = jj_alloc(sizeof(*parts));

	parts->probe_most_ms = probe_most_ms;
	parts->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	TAILQ_INIT(&parts->queue);
	return parts;
}

void
jj_crash_parts_destroy(jj_crash_parts_t *parts)
{
	if (parts == NULL)
		return;
	g_hash_table_destroy(parts->suspects);
	free(parts);
}

void
jj_crash_parts_complete(jj_crash_parts_t *parts, const jj_prompt_t *prompt,
    jj_ms_t now, jj_prompt_t *cleared)
{
	suspect_t *suspect;
	uint32_t i;

	cleared->count = 0;
	for (i = 0; i < prompt->count; i++) {
		add_completed(parts, prompt->ids[i], now);
		suspect = find_suspect(parts, prompt->ids[i]);
		if (suspect == NULL)
			continue;
		drop_suspect(parts, suspect);
		cleared->ids[cleared->count++] = prompt->ids[i];
	}
}

void
jj_crash_parts_select(const jj_crash_parts_t *parts, const jj_prompt_t *prompt,
    jj_ms_t now, jj_prompt_t *suspects)
{
	const suspect_t *suspect;
	uint32_t i;

	suspects->count = 0;
	for (i = 0; i < prompt->count; i++) {
		suspect = find_suspect(parts, prompt->ids[i]);
		if (suspect != NULL && is_refused(parts, suspect))
			suspects->ids[suspects->count++] = prompt->ids[i];
	}
	if (suspects->count > 0)
		return;
	for (i = 0; i < prompt->count; i++)
		if (find_completed(parts, prompt->ids[i]) == NULL)
			suspects->ids[suspects->count++] = prompt->ids[i];
	if (suspects->count > 0)
		return;
	for (i = 0; i < prompt->count; i++)
		if (!is_recent(find_completed(parts, prompt->ids[i]), now))
			suspects->ids[suspects->count++] = prompt->ids[i];
}

bool
jj_crash_parts_take(jj_crash_parts_t *parts, const jj_part_crashes_t *crashes,
    jj_ms_t now, jj_actions_t *out)
{
	const completed_t *completed = find_completed(parts, crashes->part);
	jj_ms_t at_ms = now - crashes->age_ms;
	suspect_t *suspect;
	bool was_refused;
	bool is_new = false;
	uint32_t i;

	if (completed != NULL &&
	    (is_recent(completed, now) || completed->last_ms > at_ms))
		return true;
	suspect = find_suspect(parts, crashes->part);
	if (suspect == NULL)
		suspect = add_suspect(parts, crashes->part);
	was_refused = is_refused(parts, suspect);
	for (i = 0; i < crashes->count; i++)
		is_new |= add_crash(suspect, crashes->servers[i]);
	if (crashes->probes > suspect->probes)
		suspect->probes = crashes->probes;
	else if (was_refused && is_new &&
	    at_ms - suspect->last_ms > STRAGGLER_MS &&
	    suspect->probe_ms < suspect->last_ms)
		suspect->probes++;
	if (!is_new)
		return false;
	if (at_ms > suspect->last_ms) {
		suspect->last_ms = at_ms;
		TAILQ_REMOVE(&parts->queue, suspect, link);
		TAILQ_INSERT_TAIL(&parts->queue, suspect, link);
	}
	jj_actions_add_event(out,
	    is_refused(parts, suspect) ? "part_refused" : "part_suspected",
	    "part=%016llx crashes=%u probes=%u server=%016llx",
	    (unsigned long long)suspect->id, suspect->crash_count,
	    suspect->probes,
	    (unsigned long long)suspect->crashes[suspect->crash_count - 1]);
	return false;
}

jj_parts_verdict_t
jj_crash_parts_check(const jj_crash_parts_t *parts, const jj_prompt_t *prompt,
    jj_ms_t now, jj_ms_t *wait_ms, uint64_t *probed)
{
	jj_parts_verdict_t verdict = JJ_PARTS_ALLOWED;
	const suspect_t *suspect;
	jj_ms_t due_ms;
	uint32_t i;

	*wait_ms = 0;
	*probed = 0;
	if (jj_crash_parts_count(parts) == 0)
		return verdict;
	for (i = 0; i < prompt->count; i++) {
		suspect = find_suspect(parts, prompt->ids[i]);
		if (suspect == NULL || !is_refused(parts, suspect))
			continue;
		due_ms = probe_due(parts, suspect);
		if (now < due_ms) {
			verdict = JJ_PARTS_REFUSED;
			if (due_ms - now > *wait_ms)
				*wait_ms = due_ms - now;
		} else if (verdict == JJ_PARTS_ALLOWED) {
			verdict = JJ_PARTS_PROBE;
			*probed = suspect->id;
		}
	}
	return verdict;
}

void
jj_crash_parts_note_probe(jj_crash_parts_t *parts, const jj_prompt_t *prompt,
    jj_ms_t now, jj_actions_t *out)
{
	suspect_t *suspect;
	uint32_t i;

	for (i = 0; i < prompt->count; i++) {
		suspect = find_suspect(parts, prompt->ids[i]);
		if (suspect == NULL || !is_refused(parts, suspect))
			continue;
		suspect->earlier_probe_ms = suspect->probe_ms;
		suspect->probe_ms = now;
		suspect->probes++;
		jj_actions_add_event(out, "part_probed",
		    "part=%016llx crashes=%u probes=%u",
		    (unsigned long long)suspect->id, suspect->crash_count,
		    suspect->probes);
	}
}

void
jj_crash_parts_withdraw_probe(jj_crash_parts_t *parts,
    const jj_prompt_t *prompt, jj_ms_t sent_ms, jj_actions_t *out)
{
	suspect_t *suspect;
	uint32_t i;

	for (i = 0; i < prompt->count; i++) {
		suspect = find_suspect(parts, prompt->ids[i]);
		if (suspect == NULL || suspect->probes == 0 ||
		    suspect->probe_ms != sent_ms)
			continue;
		suspect->probe_ms = suspect->earlier_probe_ms;
		suspect->not_before_ms = sent_ms + PROBE_FIRST_MS;
		suspect->probes--;
		jj_actions_add_event(out, "part_probe_withdrawn",
		    "part=%016llx probes=%u", (unsigned long long)suspect->id,
		    suspect->probes);
	}
}

uint32_t
jj_crash_parts_withdraw(
    jj_crash_parts_t *parts, uint64_t server, jj_actions_t *out)
{
	suspect_t *suspect;
	suspect_t *next;
	uint32_t count = 0;

	for (suspect = TAILQ_FIRST(&parts->queue); suspect != NULL;
	     suspect = next) {
		next = TAILQ_NEXT(suspect, link);
		if (!remove_crash(suspect, server))
			continue;
		count++;
		jj_actions_add_event(out, "part_crash_withdrawn",
		    "part=%016llx crashes=%u refused=%d server=%016llx",
		    (unsigned long long)suspect->id, suspect->crash_count,
		    is_refused(parts, suspect), (unsigned long long)server);
		if (suspect->crash_count == 0) {
			drop_suspect(parts, suspect);
		} else if (!is_refused(parts, suspect)) {
			suspect->probes = 0;
			suspect->probe_ms = 0;
			suspect->earlier_probe_ms = 0;
		}
	}
	return count;
}

uint32_t
jj_crash_parts_probes(const jj_crash_parts_t *parts, uint64_t part)
{
	const suspect_t *suspect = find_suspect(parts, part);

	return suspect != NULL ? suspect->probes : 0;
}

size_t
jj_crash_parts_list(const jj_crash_parts_t *parts, jj_ms_t now,
    jj_part_crashes_t *list, size_t max_count)
{
	const suspect_t *suspect;
	size_t count = 0;

	TAILQ_FOREACH_REVERSE(suspect, &parts->queue, suspect_queue, link)
	{
		if (count == max_count)
			break;
		list[count].part = suspect->id;
		list[count].age_ms = now - suspect->last_ms;
		list[count].probes = suspect->probes;
		list[count].count = suspect->crash_count;
		memcpy(list[count].servers, suspect->crashes,
		    sizeof(suspect->crashes));
		count++;
	}
	return count;
}

size_t
jj_crash_parts_count(const jj_crash_parts_t *parts)
{
	return g_hash_table_size(parts->suspects);
}

void
jj_crash_parts_tick(jj_crash_parts_t *parts, jj_ms_t now)
{
	suspect_t *suspect;

	while ((suspect = TAILQ_FIRST(&parts->queue)) != NULL &&
	    now - suspect->last_ms > FORGET_REFUSALS * parts->probe_most_ms)
		drop_suspect(parts, suspect);
}

static suspect_t *
find_suspect(const jj_crash_parts_t *parts, uint64_t id)
{
	return g_hash_table_lookup(parts->suspects, &id);
}

static suspect_t *
add_suspect(jj_crash_parts_t *parts, uint64_t id)
{
	suspect_t *suspect;

	if (jj_crash_parts_count(parts) >= SUSPECTS_MAX)
		drop_suspect(parts, TAILQ_FIRST(&parts->queue));
	suspect = jj_alloc(sizeof(*suspect));
	suspect->id = id;
	TAILQ_INSERT_TAIL(&parts->queue, suspect, link);
	(void)g_hash_table_insert(parts->suspects, &suspect->id, suspect);
	return suspect;
}

static void
drop_suspect(jj_crash_parts_t *parts, suspect_t *suspect)
{
	TAILQ_REMOVE(&parts->queue, suspect, link);
	(void)g_hash_table_remove(parts->suspects, &suspect->id);
}

/** False when the crash was counted, or when more would not matter. */
static bool
add_crash(suspect_t *suspect, uint64_t server)
{
	uint32_t i;

	for (i = 0; i < suspect->crash_count; i++)
		if (suspect->crashes[i] == server)
			return false;
	if (suspect->crash_count == JJ_PART_CRASHES_MAX) {
		memmove(suspect->crashes, suspect->crashes + 1,
		    sizeof(suspect->crashes) - sizeof(suspect->crashes[0]));
		suspect->crash_count--;
	}
	suspect->crashes[suspect->crash_count++] = server;
	return true;
}

/** False when the crash was not counted. */
static bool
remove_crash(suspect_t *suspect, uint64_t server)
{
	uint32_t i;

	for (i = 0; i < suspect->crash_count; i++)
		if (suspect->crashes[i] == server)
			break;
	if (i == suspect->crash_count)
		return false;
	suspect->crash_count--;
	memmove(suspect->crashes + i, suspect->crashes + i + 1,
	    (suspect->crash_count - i) * sizeof(suspect->crashes[0]));
	return true;
}

static jj_ms_t
tried_since(const suspect_t *suspect)
{
	return suspect->probe_ms > suspect->last_ms ? suspect->probe_ms
						    : suspect->last_ms;
}

static bool
is_refused(const jj_crash_parts_t *parts, const suspect_t *suspect)
{
	return suspect->crash_count >=
	    (find_completed(parts, suspect->id) != NULL ? CRASHES_PROVEN
							: CRASHES_UNPROVEN);
}

static jj_ms_t
probe_due(const jj_crash_parts_t *parts, const suspect_t *suspect)
{
	jj_ms_t wait_ms = PROBE_FIRST_MS;
	jj_ms_t due_ms;
	uint32_t i;

	for (i = 0; i < suspect->probes && wait_ms < parts->probe_most_ms; i++)
		wait_ms *= PROBE_GROWTH;
	due_ms = tried_since(suspect) +
	    (wait_ms < parts->probe_most_ms ? wait_ms : parts->probe_most_ms);
	return due_ms > suspect->not_before_ms ? due_ms
					       : suspect->not_before_ms;
}

static completed_t *
find_completed(const jj_crash_parts_t *parts, uint64_t id)
{
	const completed_t *set = parts->completed[id % SETS];
	uint32_t i;

	for (i = 0; i < PLACES; i++)
		if (set[i].id == id)
			return (completed_t *)&set[i];
	return NULL;
}

static void
add_completed(jj_crash_parts_t *parts, uint64_t id, jj_ms_t now)
{
	completed_t *set = parts->completed[id % SETS];
	completed_t *place = find_completed(parts, id);
	uint32_t i;

	if (place == NULL) {
		place = &set[0];
		for (i = 1; i < PLACES; i++)
			if (set[i].last_ms < place->last_ms)
				place = &set[i];
	}
	place->id = id;
	place->last_ms = now;
}

static bool
is_recent(const completed_t *completed, jj_ms_t now)
{
	return now - completed->last_ms < PROVEN_RECENTLY_MS;
}
