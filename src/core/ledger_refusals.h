/**
 * @file ledger_refusals.h
 * @brief Refusals of forwarded calls, kept to answer duplicates of the call.
 *
 * Guards against this failure: a caller gets the answer "not run", then a late
 * duplicate of the forwarded CALL message arrives and runs the call, such as an
 * order that is booked after its refusal. The duplicate finds the refusal here
 * and gets the same answer.
 */
#ifndef JJ_CORE_LEDGER_REFUSALS_H
#define JJ_CORE_LEDGER_REFUSALS_H

#include "core/ledger_table.h"

typedef struct jj_ledger_refusals jj_ledger_refusals_t;

jj_ledger_refusals_t *jj_ledger_refusals_create(void);
void jj_ledger_refusals_destroy(jj_ledger_refusals_t *refusals);
/** Keeps a refusal until the time @p until. */
void jj_ledger_refusals_add(jj_ledger_refusals_t *refusals,
    const jj_ledger_vm_t *from, uint64_t call, jj_call_outcome_t outcome,
    jj_ms_t until);
/** @return true and the outcome when this call was refused. */
bool jj_ledger_refusals_find(const jj_ledger_refusals_t *refusals,
    const jj_ledger_vm_t *from, uint64_t call, jj_call_outcome_t *outcome);
/** Removes expired refusals. */
void jj_ledger_refusals_sweep(jj_ledger_refusals_t *refusals, jj_ms_t now);

#endif
