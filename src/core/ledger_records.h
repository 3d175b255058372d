/**
 * @file ledger_records.h
 * @brief The records of idempotency keys that a VM holds, by key and slot.
 */
#ifndef JJ_CORE_LEDGER_RECORDS_H
#define JJ_CORE_LEDGER_RECORDS_H

#include <sys/queue.h>

#include "core/ledger.h"

/**
 * Maximum total bytes of stored answers; the memory budget of a jujubed process
 * is 32 MB in total. An answer that does not fit is not stored, its record is.
 */
#define JJ_LEDGER_ANSWER_BYTES_MAX ((size_t)8 << 20)

/** Record of one key; only the ledger may change it. */
typedef struct jj_ledger_entry {
	LIST_ENTRY(jj_ledger_entry) bucket_link;
	TAILQ_ENTRY(jj_ledger_entry) slot_link;
	jj_hash_t key;
	uint64_t fingerprint;
	uint32_t slot;
	uint32_t attempt;
	jj_record_state_t state;
	int32_t status;
	jj_bytes_t answer;
	jj_ms_t since; /**< when the record was made, or when the call ended */
	uint64_t epoch; /**< last epoch in which the home sent this record */
	uint64_t run; /**< run on this VM that has not ended; 0: none */
} jj_ledger_entry_t;

typedef TAILQ_HEAD(jj_ledger_entries, jj_ledger_entry) jj_ledger_entries_t;
typedef struct jj_ledger_records jj_ledger_records_t;

/** @param retention_ms how long a record is kept after its end */
jj_ledger_records_t *jj_ledger_records_create(jj_ms_t retention_ms);
void jj_ledger_records_destroy(jj_ledger_records_t *records);

size_t jj_ledger_records_count(const jj_ledger_records_t *records);
/** The records of one slot, oldest first. */
jj_ledger_entries_t *
jj_ledger_records_slot(jj_ledger_records_t *records, uint32_t slot);
/** The key's record or NULL; an expired one is removed first. */
jj_ledger_entry_t *jj_ledger_records_find(
    jj_ledger_records_t *records, const jj_hash_t *key, jj_ms_t now);
/** Adds a key that has no record. */
jj_ledger_entry_t *
jj_ledger_records_add(jj_ledger_records_t *records, const jj_hash_t *key);
void jj_ledger_records_remove(
    jj_ledger_records_t *records, jj_ledger_entry_t *entry);
/** Removes the expired records of one slot. */
void jj_ledger_records_sweep(
    jj_ledger_records_t *records, uint32_t slot, jj_ms_t now);
/** Writes the record into a message; the answer is copied. */
void jj_ledger_records_export(
    const jj_ledger_entry_t *entry, jj_ms_t now, jj_record_t *record);
/**
 * Stores a copy of the answer; none when JJ_LEDGER_ANSWER_BYTES_MAX is reached.
 */
void jj_ledger_records_keep_answer(jj_ledger_records_t *records,
    jj_ledger_entry_t *entry, const jj_bytes_t *answer);
/** Overwrites the record with one from a message; the answer is copied. */
void jj_ledger_records_import(jj_ledger_records_t *records,
    jj_ledger_entry_t *entry, const jj_record_t *record, jj_ms_t now);

#endif
