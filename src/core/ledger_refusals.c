/**
 * @file ledger_refusals.c
 * @brief Small hash table of refused calls.
 */
#include <stdlib.h>

#include <sys/queue.h>

#include "core/ledger_refusals.h"

#define BUCKETS 256

struct refusal {
	LIST_ENTRY(refusal) link;
	jj_ledger_vm_t from;
	uint64_t call;
	jj_call_outcome_t outcome;
	jj_ms_t until;
};

LIST_HEAD(refusal_list, refusal);

struct jj_ledger_refusals {
	struct refusal_list buckets[BUCKETS];
};

jj_ledger_refusals_t *
jj_ledger_refusals_create(void)
{
	return jj_alloc(sizeof(jj_ledger_refusals_t));
}

void
jj_ledger_refusals_destroy(jj_ledger_refusals_t *refusals)
{
	jj_ledger_refusals_sweep(refusals, JJ_MS_NEVER);
	free(refusals);
}

void
jj_ledger_refusals_add(jj_ledger_refusals_t *refusals,
    const jj_ledger_vm_t *from, uint64_t call, jj_call_outcome_t outcome,
    jj_ms_t until)
{
	struct refusal *refusal = jj_alloc(sizeof(*refusal));

	refusal->from = *from;
	refusal->call = call;
	refusal->outcome = outcome;
	refusal->until = until;
	LIST_INSERT_HEAD(&refusals->buckets[call % BUCKETS], refusal, link);
}

bool
jj_ledger_refusals_find(const jj_ledger_refusals_t *refusals,
    const jj_ledger_vm_t *from, uint64_t call, jj_call_outcome_t *outcome)
{
	const struct refusal *refusal;

	LIST_FOREACH(refusal, &refusals->buckets[call % BUCKETS], link)
	{
		if (refusal->call != call ||
		    refusal->from.incarnation != from->incarnation ||
		    !jj_name_equal(&refusal->from.name, &from->name))
			continue;
		*outcome = refusal->outcome;
		return true;
	}
	return false;
}

void
jj_ledger_refusals_sweep(jj_ledger_refusals_t *refusals, jj_ms_t now)
{
	struct refusal *refusal;
	struct refusal *next;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		refusal = LIST_FIRST(&refusals->buckets[i]);
		for (; refusal != NULL; refusal = next) {
			next = LIST_NEXT(refusal, link);
			if (refusal->until > now)
				continue;
			LIST_REMOVE(refusal, link);
			free(refusal);
		}
	}
}
