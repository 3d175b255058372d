/**
 * @file ledger_refusals.h
 * @brief Forwarded calls that were told "not run", kept for a while.
 *
 * The failure: a caller is told that its call was not run, then a late copy
 * of the forwarded CALL message arrives and runs it. It shows as an order
 * booked after a refusal. A copy finds its refusal here and gets the same
 * answer again.
 */
#ifndef JJ_CORE_LEDGER_REFUSALS_H
#define JJ_CORE_LEDGER_REFUSALS_H

#include "core/ledger_table.h"

typedef struct jj_ledger_refusals jj_ledger_refusals_t;

jj_ledger_refusals_t *jj_ledger_refusals_create(void);
void jj_ledger_refusals_destroy(jj_ledger_refusals_t *refusals);
/** Keeps a refusal until the point in time @p until. */
void jj_ledger_refusals_add(jj_ledger_refusals_t *refusals,
    const jj_ledger_vm_t *from, uint64_t call, jj_call_outcome_t outcome,
    jj_ms_t until);
/** @return true and the outcome when this very call was refused. */
bool jj_ledger_refusals_find(const jj_ledger_refusals_t *refusals,
    const jj_ledger_vm_t *from, uint64_t call, jj_call_outcome_t *outcome);
/** Drops what is past its time. */
void jj_ledger_refusals_sweep(jj_ledger_refusals_t *refusals, jj_ms_t now);

#endif
