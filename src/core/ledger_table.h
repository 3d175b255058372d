/**
 * @file ledger_table.h
 * @brief The slot table of one failure domain and its stored form.
 */
#ifndef JJ_CORE_LEDGER_TABLE_H
#define JJ_CORE_LEDGER_TABLE_H

#include "core/ledger.h"

/** One process on a VM. */
typedef struct {
	jj_name_t name; /**< empty: no VM */
	jj_incarnation_t incarnation;
} jj_ledger_vm_t;

typedef struct {
	uint64_t epoch; /**< rises by one with each change of the slot */
	jj_ledger_vm_t home;
	jj_ledger_vm_t witness; /**< empty name: the home has no witness */
	bool unknown; /**< this epoch was opened without the earlier history */
} jj_ledger_slot_t;

typedef struct {
	/** platform version of the object; 0: no table known */
	uint64_t version;
	jj_name_t writer; /**< VM that wrote this version */
	uint64_t operation; /**< operation number of that write */
	jj_ledger_slot_t slots[JJ_LEDGER_SLOTS];
} jj_ledger_table_t;

/**
 * Reads the stored form (JSON).
 * @return false unless it is a complete and valid table; then @p table is
 * undefined. The version is not part of the stored form.
 */
bool jj_ledger_table_parse(const jj_bytes_t *stored, jj_ledger_table_t *table);
/** The stored form (JSON), to be freed by the caller. */
jj_bytes_t jj_ledger_table_print(const jj_ledger_table_t *table);

#endif
