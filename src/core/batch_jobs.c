/**
 * @file batch_jobs.c
 * @brief Table of known jobs, views of their chunks, choice of the next chunk.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/batch_worker.h"

/** Minimum time between reads of records that have changed. */
#define PROBE_MIN_MS 250
/** The time doubles up to 5 times (8 s) while reads find no takeover. */
#define PROBE_DOUBLINGS_MAX 5
/** For so long, each listing reads the missing job of an entry again. */
#define ORPHAN_READ_MS 60000

static uint64_t id_hash(const char *);
static jj_known_job_t *add_job(jj_job_table_t *, const char *);
static jj_orphan_t *find_orphan(jj_job_table_t *, const char *);
static bool is_waiting(const jj_orphan_t *, jj_ms_t);
static jj_orphan_t *find_orphan_slot(jj_job_table_t *);
static void known_job_destroy(jj_job_table_t *, jj_known_job_t *);
static void insert_in_due_order(jj_job_table_t *, jj_known_job_t *);
static bool is_due_before(const jj_known_job_t *, const jj_known_job_t *);
static void load_views(jj_known_job_t *);
static void remove_claim(jj_known_job_t *, uint32_t);
static bool choose_open(jj_batch_t *, jj_known_job_t *, jj_chunk_choice_t *);
static bool
choose_claimed(jj_batch_t *, jj_known_job_t *, jj_ms_t, jj_chunk_choice_t *);
static void notify_chunks(jj_batch_t *, jj_known_job_t *, jj_actions_t *);

void
jj_job_table_create(jj_job_table_t *table)
{
	memset(table, 0, sizeof(*table));
	TAILQ_INIT(&table->list);
}

void
jj_job_table_destroy(jj_job_table_t *table)
{
	jj_known_job_t *known;

	while ((known = TAILQ_FIRST(&table->list)) != NULL)
		known_job_destroy(table, known);
}

jj_known_job_t *
jj_job_table_find(jj_job_table_t *table, const char *id)
{
	jj_known_job_t *known;

	TAILQ_FOREACH(known, &table->list, link)
	{
		if (strcmp(known->job.id, id) == 0)
			return known;
	}
	return NULL;
}

void
jj_job_table_add_job(jj_job_table_t *table, const char *id, bool created)
{
	uint64_t hash = id_hash(id);
	jj_known_job_t *known;

	if (table->ended[hash % JJ_ENDED_JOBS] == hash)
		return;
	known = add_job(table, id);
	if (known != NULL)
		known->created = created;
}

/*
 * A job that is remembered as ended and still has an entry is read again. The
 * VM that closed it failed before it deleted the entry, so any VM that lists
 * the entry deletes it. An orphan is read at each listing for as long as its
 * job may still be created, and again after the grace period.
 */
void
jj_job_table_take_entry(
    jj_job_table_t *table, const char *id, uint64_t version, jj_ms_t now)
{
	jj_known_job_t *known = jj_job_table_find(table, id);
	jj_orphan_t *orphan = find_orphan(table, id);

	if (orphan != NULL)
		orphan->listed_ms = now;
	if (known == NULL && orphan != NULL && orphan->version == version &&
	    is_waiting(orphan, now))
		return;
	if (known == NULL)
		known = add_job(table, id);
	if (known != NULL)
		known->entry_version = version;
}

/*
 * A VM may fail after it wrote an index entry and before it created the job;
 * each worker would read the entry forever. It can't be deleted at once: a
 * submission may still be creating the job, which no worker would find
 * without its entry. So the entry must be unchanged for the grace period by
 * this VM's clock, and the deletion is conditional on its version. A
 * submission that finds an older entry writes it again, as a new version.
 */
bool
jj_job_table_is_orphan(
    jj_job_table_t *table, const jj_known_job_t *known, jj_ms_t now)
{
	jj_orphan_t *orphan = find_orphan(table, known->job.id);

	if (known->entry_version == 0)
		return false;
	if (orphan == NULL)
		orphan = find_orphan_slot(table);
	if (strcmp(orphan->id, known->job.id) != 0 ||
	    orphan->version != known->entry_version) {
		memcpy(orphan->id, known->job.id, sizeof(orphan->id));
		orphan->version = known->entry_version;
		orphan->first_seen_ms = now;
	}
	orphan->listed_ms = now > 0 ? now : 1;
	return now - orphan->first_seen_ms >= JJ_ORPHAN_GRACE_MS;
}

void
jj_job_table_sweep(jj_job_table_t *table)
{
	jj_known_job_t *known;
	jj_known_job_t *next;

	for (known = TAILQ_FIRST(&table->list); known != NULL; known = next) {
		next = TAILQ_NEXT(known, link);
		if (known->held_count > 0 ||
		    known->step == JJ_STEP_DELETE_ENTRY)
			continue;
		/* A job that was absent or malformed is found again by a
		 * listing. */
		if (known->loaded ? !jj_job_has_ended(&known->job)
				  : known->step != JJ_STEP_IDLE)
			continue;
		known_job_destroy(table, known);
	}
}

void
jj_job_table_mark_failed(jj_job_table_t *table, const char *writer)
{
	char *slot = table->failed_writers[table->failed_writers_next %
	    JJ_FAILED_WRITERS];

	if (jj_job_table_has_failed(table, writer))
		return;
	(void)snprintf(slot, JJ_WRITER_TEXT, "%s", writer);
	table->failed_writers_next++;
}

bool
jj_job_table_has_failed(const jj_job_table_t *table, const char *writer)
{
	int i;

	for (i = 0; i < JJ_FAILED_WRITERS; i++) {
		if (writer[0] != '\0' &&
		    strcmp(table->failed_writers[i], writer) == 0)
			return true;
	}
	return false;
}

jj_chunk_choice_t
jj_job_table_choose(jj_batch_t *batch, jj_ms_t now)
{
	jj_chunk_choice_t choice = {0};
	jj_known_job_t *known;

	TAILQ_FOREACH(known, &batch->jobs.list, link)
	{
		if (!known->loaded)
			continue;
		if (known->refreshed_ms == 0) {
			known->wants_refresh = known->step == JJ_STEP_IDLE;
			break;
		}
		if (known->views_stale) {
			known->wants_refresh |= known->step == JJ_STEP_IDLE;
			continue;
		}
		if (choose_open(batch, known, &choice))
			break;
		if (choose_claimed(batch, known, now, &choice))
			break;
	}
	return choice;
}

void
jj_known_job_note_own_out(jj_known_job_t *known, uint64_t version)
{
	if (known->own_out_version < version)
		known->own_out_version = version;
}

bool
jj_known_job_is_cancelled(const jj_known_job_t *known)
{
	return known->job.state == JJ_JOB_CANCELLING ||
	    known->job.state == JJ_JOB_CANCELLED;
}

bool
jj_known_job_update(jj_batch_t *batch, jj_known_job_t *known,
    const jj_bytes_t *value, uint64_t version, jj_ms_t now, jj_actions_t *out)
{
	jj_job_t job = {0};

	if (known->loaded && version <= known->job.version)
		return true;
	if (!jj_job_decode(&job, value, version))
		return false;
	if (strcmp(job.id, known->job.id) != 0) {
		jj_job_clear(&job);
		return false;
	}
	jj_job_clear(&known->job);
	known->job = job;
	if (!known->loaded) {
		known->loaded = true;
		known->due_at_ms = now + job.due_after_ms;
		load_views(known);
		insert_in_due_order(&batch->jobs, known);
	}
	if (known->job.state != JJ_JOB_RUNNING)
		notify_chunks(batch, known, out);
	return true;
}

void
jj_known_job_set_view(
    jj_known_job_t *known, uint32_t chunk, jj_chunk_view_t view)
{
	uint32_t *counts[] = {&known->open_count, &known->claimed_count,
	    &known->held_count, NULL};
	uint32_t *before;

	if (chunk >= known->job.part_count)
		return;
	before = counts[known->views[chunk]];
	if (before != NULL)
		(*before)--;
	known->views[chunk] = (uint8_t)view;
	if (counts[view] != NULL)
		(*counts[view])++;
	if (view != JJ_VIEW_CLAIMED && view != JJ_VIEW_HELD)
		remove_claim(known, chunk);
}

void
jj_job_table_count_probe(jj_job_table_t *table, bool found)
{
	if (found)
		table->probe_misses = 0;
	else if (table->probe_misses < PROBE_DOUBLINGS_MAX)
		table->probe_misses++;
}

jj_seen_claim_t *
jj_known_job_find_claim(jj_known_job_t *known, uint32_t chunk)
{
	jj_seen_claim_t *claim;

	LIST_FOREACH(claim, &known->claims, link)
	{
		if (claim->chunk == chunk)
			return claim;
	}
	return NULL;
}

jj_seen_claim_t *
jj_known_job_note_claim(
    jj_known_job_t *known, uint32_t chunk, uint64_t version, jj_ms_t now)
{
	jj_seen_claim_t *claim = jj_known_job_find_claim(known, chunk);

	if (claim == NULL) {
		claim = jj_alloc(sizeof(*claim));
		claim->chunk = chunk;
		LIST_INSERT_HEAD(&known->claims, claim, link);
	}
	if (version <= claim->version)
		return claim;
	claim->version = version;
	claim->first_seen_ms = now;
	claim->changed = true;
	claim->released = false;
	return claim;
}

/*
 * A VM that is cut off from this one seems to have failed, but may still run.
 * Two VMs that consider each other failed would take a chunk from each other
 * without end. So a process that has written a new version of the record
 * since it was found failed is considered alive again.
 */
static void
clear_wrong_failure(jj_job_table_t *table, jj_seen_claim_t *claim)
{
	int i;

	if (!jj_job_table_has_failed(table, claim->holder))
		return;
	if (strcmp(claim->failed_holder, claim->holder) != 0) {
		memcpy(claim->failed_holder, claim->holder,
		    sizeof(claim->failed_holder));
		claim->failed_version = claim->version;
		return;
	}
	if (claim->version == claim->failed_version)
		return;
	for (i = 0; i < JJ_FAILED_WRITERS; i++) {
		if (strcmp(table->failed_writers[i], claim->holder) == 0)
			table->failed_writers[i][0] = '\0';
	}
	claim->failed_holder[0] = '\0';
}

/*
 * The version that was read replaces that of a hint, even if it is lower.
 * Otherwise a hint of a version that never existed would keep the claim from
 * lapsing.
 */
jj_seen_claim_t *
jj_known_job_note_record(jj_job_table_t *table, jj_known_job_t *known,
    uint32_t chunk, const jj_chunk_record_t *record, jj_ms_t now)
{
	jj_seen_claim_t *claim =
	    jj_known_job_note_claim(known, chunk, record->version, now);

	if (claim->version != record->version)
		claim->first_seen_ms = now;
	claim->version = record->version;
	claim->changed = false;
	claim->released = record->state == JJ_CHUNK_RELEASED;
	claim->lease_ms = record->lease_ms;
	memcpy(claim->holder, record->holder, sizeof(claim->holder));
	clear_wrong_failure(table, claim);
	return claim;
}

bool
jj_seen_claim_has_lapsed(
    const jj_batch_t *batch, const jj_seen_claim_t *claim, jj_ms_t now)
{
	jj_ms_t lease_ms = claim->lease_ms;

	if (claim->released ||
	    jj_job_table_has_failed(&batch->jobs, claim->holder))
		return true;
	if (lease_ms == 0)
		lease_ms = batch->settings.lease_ms;
	return now - claim->first_seen_ms >=
	    lease_ms + batch->settings.margin_ms;
}

static uint64_t
id_hash(const char *id)
{
	return jj_hash_bytes(id, strlen(id), 1);
}

/* NULL when the job is known already, or the table is full. */
static jj_known_job_t *
add_job(jj_job_table_t *table, const char *id)
{
	jj_known_job_t *known;

	if (table->count >= JJ_KNOWN_JOBS_MAX ||
	    jj_job_table_find(table, id) != NULL)
		return NULL;
	known = jj_alloc(sizeof(*known));
	(void)snprintf(known->job.id, sizeof(known->job.id), "%s", id);
	LIST_INIT(&known->claims);
	known->step = JJ_STEP_READ;
	TAILQ_INSERT_TAIL(&table->list, known, link);
	table->count++;
	return known;
}

static jj_orphan_t *
find_orphan(jj_job_table_t *table, const char *id)
{
	int i;

	for (i = 0; i < JJ_ORPHANS; i++) {
		if (strcmp(table->orphans[i].id, id) == 0)
			return &table->orphans[i];
	}
	return NULL;
}

/* True after the time of the repeated reads and before the end of the grace. */
static bool
is_waiting(const jj_orphan_t *orphan, jj_ms_t now)
{
	jj_ms_t age_ms = now - orphan->first_seen_ms;

	return age_ms >= ORPHAN_READ_MS && age_ms < JJ_ORPHAN_GRACE_MS;
}

/* An unused slot, or that of the orphan listed longest ago. */
static jj_orphan_t *
find_orphan_slot(jj_job_table_t *table)
{
	jj_orphan_t *oldest = &table->orphans[0];
	int i;

	for (i = 1; i < JJ_ORPHANS; i++) {
		if (table->orphans[i].listed_ms < oldest->listed_ms)
			oldest = &table->orphans[i];
	}
	return oldest;
}

static void
known_job_destroy(jj_job_table_t *table, jj_known_job_t *known)
{
	jj_seen_claim_t *claim;
	uint64_t hash = id_hash(known->job.id);

	if (known->loaded)
		table->ended[hash % JJ_ENDED_JOBS] = hash;
	while ((claim = LIST_FIRST(&known->claims)) != NULL) {
		LIST_REMOVE(claim, link);
		free(claim);
	}
	TAILQ_REMOVE(&table->list, known, link);
	table->count--;
	jj_job_clear(&known->job);
	free(known->views);
	free(known->summed);
	free(known);
}

static void
insert_in_due_order(jj_job_table_t *table, jj_known_job_t *known)
{
	jj_known_job_t *other;

	TAILQ_REMOVE(&table->list, known, link);
	TAILQ_FOREACH(other, &table->list, link)
	{
		if (!other->loaded || is_due_before(known, other))
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, known, link);
	else
		TAILQ_INSERT_TAIL(&table->list, known, link);
}

static bool
is_due_before(const jj_known_job_t *a, const jj_known_job_t *b)
{
	int64_t due_a = a->job.submitted_at * 1000 + a->job.due_after_ms;
	int64_t due_b = b->job.submitted_at * 1000 + b->job.due_after_ms;

	if (due_a != due_b)
		return due_a < due_b;
	return strcmp(a->job.id, b->job.id) < 0;
}

static void
load_views(jj_known_job_t *known)
{
	known->views = jj_alloc(known->job.part_count + 1);
	known->summed =
	    jj_alloc((known->job.part_count + 1) * sizeof(*known->summed));
	known->open_count = known->job.part_count;
}

static void
remove_claim(jj_known_job_t *known, uint32_t chunk)
{
	jj_seen_claim_t *claim = jj_known_job_find_claim(known, chunk);

	if (claim == NULL)
		return;
	LIST_REMOVE(claim, link);
	free(claim);
}

/*
 * Each worker takes the open chunk with the highest rendezvous weight for its
 * own name, so that many idle VMs don't race for the same claim.
 */
static bool
choose_open(jj_batch_t *batch, jj_known_job_t *known, jj_chunk_choice_t *choice)
{
	uint64_t job = id_hash(known->job.id);
	uint64_t best = 0;
	uint32_t i;

	if (known->open_count == 0 || known->job.state != JJ_JOB_RUNNING)
		return false;
	for (i = 0; i < known->job.part_count; i++) {
		uint64_t weight;

		if (known->views[i] != JJ_VIEW_OPEN)
			continue;
		weight =
		    jj_rendezvous_weight(batch->settings.name.text, job + i);
		if (choice->job != NULL && weight <= best)
			continue;
		choice->job = known;
		choice->chunk = i;
		best = weight;
	}
	return choice->job != NULL;
}

/*
 * Chooses claims that have lapsed and, one per PROBE_MIN_MS, claims whose
 * record was never read or has changed: only the record names its holder, which
 * may have failed or released it. Most changes are renewals, and each idle VM
 * gets the events of all of them, so reads become rarer while they find
 * nothing to take over.
 */
static bool
choose_claimed(jj_batch_t *batch, jj_known_job_t *known, jj_ms_t now,
    jj_chunk_choice_t *choice)
{
	jj_seen_claim_t *claim;

	LIST_FOREACH(claim, &known->claims, link)
	{
		bool lapsed;

		if (known->views[claim->chunk] != JJ_VIEW_CLAIMED ||
		    now < claim->no_claim_until_ms)
			continue;
		lapsed = jj_seen_claim_has_lapsed(batch, claim, now);
		if (!lapsed &&
		    (!claim->changed || now < batch->jobs.probe_at_ms))
			continue;
		if (!lapsed)
			batch->jobs.probe_at_ms =
			    now + (PROBE_MIN_MS << batch->jobs.probe_misses);
		choice->job = known;
		choice->chunk = claim->chunk;
		choice->has_record = true;
		return true;
	}
	return false;
}

/* Stops the items of chunks held here, as their job no longer runs. */
static void
notify_chunks(jj_batch_t *batch, jj_known_job_t *known, jj_actions_t *out)
{
	jj_held_chunk_t *chunk;

	TAILQ_FOREACH(chunk, &batch->chunks, link)
	{
		if (chunk->job != known)
			continue;
		if (known->job.state == JJ_JOB_COMPLETED)
			jj_held_chunk_lose(batch, chunk, out);
		else
			jj_held_chunk_cancel(batch, chunk, out);
	}
}
