/**
 * @file retry_budget.c
 * @brief Sliding-window counts of first attempts and retries, and their ratio.
 */
#include "core/retry_budget.h"

#define BUDGET_WINDOW_MS 10000

void
jj_retry_budget_reset(jj_retry_budget_t *budget, double share, uint32_t floor)
{
	budget->share = share;
	budget->floor = floor;
	jj_window_reset(&budget->firsts, BUDGET_WINDOW_MS);
	jj_window_reset(&budget->retries, BUDGET_WINDOW_MS);
}

void
jj_retry_budget_note_first(jj_retry_budget_t *budget, jj_ms_t now)
{
	jj_window_add(&budget->firsts, 1, now);
}

bool
jj_retry_budget_take(jj_retry_budget_t *budget, jj_ms_t now)
{
	double allowed = budget->floor +
	    budget->share * jj_window_count(&budget->firsts, now);

	if (jj_window_count(&budget->retries, now) + 1 > allowed)
		return false;
	jj_window_add(&budget->retries, 1, now);
	return true;
}
