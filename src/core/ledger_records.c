/**
 * @file ledger_records.c
 * @brief Hash table of records, with a list for each slot.
 */
#include <stdlib.h>
#include <string.h>

#include "core/ledger_records.h"

#define INITIAL_BUCKETS 1024

LIST_HEAD(bucket, jj_ledger_entry);

struct jj_ledger_records {
	jj_ms_t retention_ms;
	size_t count;
	size_t answer_bytes; /* sum over all records */
	size_t bucket_count; /* a power of two */
	struct bucket *buckets;
	jj_ledger_entries_t slots[JJ_LEDGER_SLOTS];
};

static void drop_answer(jj_ledger_records_t *, jj_ledger_entry_t *);
static struct bucket *find_bucket(jj_ledger_records_t *, const jj_hash_t *);
static void double_buckets(jj_ledger_records_t *);
static bool
is_expired(const jj_ledger_records_t *, const jj_ledger_entry_t *, jj_ms_t);

jj_ledger_records_t *
jj_ledger_records_create(jj_ms_t retention_ms)
{
	jj_ledger_records_t *records = jj_alloc(sizeof(*records));
	size_t i;

	records->retention_ms = retention_ms;
	records->bucket_count = INITIAL_BUCKETS;
	records->buckets = jj_alloc(INITIAL_BUCKETS * sizeof(struct bucket));
	for (i = 0; i < JJ_LEDGER_SLOTS; i++)
		TAILQ_INIT(&records->slots[i]);
	return records;
}

void
jj_ledger_records_destroy(jj_ledger_records_t *records)
{
	jj_ledger_entry_t *entry;
	size_t i;

	for (i = 0; i < JJ_LEDGER_SLOTS; i++) {
		while ((entry = TAILQ_FIRST(&records->slots[i])) != NULL)
			jj_ledger_records_remove(records, entry);
	}
	free(records->buckets);
	free(records);
}

size_t
jj_ledger_records_count(const jj_ledger_records_t *records)
{
	return records->count;
}

jj_ledger_entries_t *
jj_ledger_records_slot(jj_ledger_records_t *records, uint32_t slot)
{
	return &records->slots[slot];
}

jj_ledger_entry_t *
jj_ledger_records_find(
    jj_ledger_records_t *records, const jj_hash_t *key, jj_ms_t now)
{
	jj_ledger_entry_t *entry;

	LIST_FOREACH(entry, find_bucket(records, key), bucket_link)
	{
		if (jj_hash_equal(&entry->key, key))
			break;
	}
	if (entry != NULL && is_expired(records, entry, now)) {
		jj_ledger_records_remove(records, entry);
		return NULL;
	}
	return entry;
}

jj_ledger_entry_t *
jj_ledger_records_add(jj_ledger_records_t *records, const jj_hash_t *key)
{
	jj_ledger_entry_t *entry = jj_alloc(sizeof(*entry));

	if (records->count >= records->bucket_count)
		double_buckets(records);
	entry->key = *key;
	entry->slot = jj_ledger_slot(key);
	LIST_INSERT_HEAD(find_bucket(records, key), entry, bucket_link);
	TAILQ_INSERT_TAIL(&records->slots[entry->slot], entry, slot_link);
	records->count++;
	return entry;
}

void
jj_ledger_records_remove(jj_ledger_records_t *records, jj_ledger_entry_t *entry)
{
	LIST_REMOVE(entry, bucket_link);
	TAILQ_REMOVE(&records->slots[entry->slot], entry, slot_link);
	records->count--;
	drop_answer(records, entry);
	free(entry);
}

void
jj_ledger_records_sweep(
    jj_ledger_records_t *records, uint32_t slot, jj_ms_t now)
{
	jj_ledger_entry_t *entry;
	jj_ledger_entry_t *next;

	entry = TAILQ_FIRST(&records->slots[slot]);
	for (; entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, slot_link);
		if (is_expired(records, entry, now))
			jj_ledger_records_remove(records, entry);
	}
}

void
jj_ledger_records_export(
    const jj_ledger_entry_t *entry, jj_ms_t now, jj_record_t *record)
{
	memset(record, 0, sizeof(*record));
	record->key = entry->key;
	record->fingerprint = entry->fingerprint;
	record->attempt = entry->attempt;
	record->state = entry->state;
	record->age_ms = now - entry->since;
	record->status = entry->status;
	record->answer = jj_bytes_copy(entry->answer.data, entry->answer.size);
}

void
jj_ledger_records_keep_answer(jj_ledger_records_t *records,
    jj_ledger_entry_t *entry, const jj_bytes_t *answer)
{
	drop_answer(records, entry);
	if (records->answer_bytes + answer->size > JJ_LEDGER_ANSWER_BYTES_MAX)
		return;
	entry->answer = jj_bytes_copy(answer->data, answer->size);
	records->answer_bytes += entry->answer.size;
}

void
jj_ledger_records_import(jj_ledger_records_t *records, jj_ledger_entry_t *entry,
    const jj_record_t *record, jj_ms_t now)
{
	entry->fingerprint = record->fingerprint;
	entry->attempt = record->attempt;
	entry->state = record->state;
	entry->since = now - record->age_ms;
	entry->status = record->status;
	jj_ledger_records_keep_answer(records, entry, &record->answer);
}

static void
drop_answer(jj_ledger_records_t *records, jj_ledger_entry_t *entry)
{
	records->answer_bytes -= entry->answer.size;
	jj_bytes_free(&entry->answer);
}

static struct bucket *
find_bucket(jj_ledger_records_t *records, const jj_hash_t *key)
{
	return &records->buckets[key->high & (records->bucket_count - 1)];
}

static void
double_buckets(jj_ledger_records_t *records)
{
	jj_ledger_entry_t *entry;
	size_t i;

	free(records->buckets);
	records->bucket_count *= 2;
	records->buckets =
	    jj_alloc(records->bucket_count * sizeof(struct bucket));
	for (i = 0; i < JJ_LEDGER_SLOTS; i++) {
		TAILQ_FOREACH(entry, &records->slots[i], slot_link)
		{
			LIST_INSERT_HEAD(find_bucket(records, &entry->key),
			    entry, bucket_link);
		}
	}
}

/*
 * An intent is kept for twice the retention time: a witness that did not
 * receive the outcome must not remove the key before the home does, or a
 * takeover would run it a second time. A call that still runs on this VM never
 * expires.
 */
static bool
is_expired(const jj_ledger_records_t *records, const jj_ledger_entry_t *entry,
    jj_ms_t now)
{
	jj_ms_t keep_ms = records->retention_ms;

	if (entry->run != 0)
		return false;
	if (entry->state == JJ_RECORD_INTENT)
		keep_ms *= 2;
	return now - entry->since > keep_ms;
}
