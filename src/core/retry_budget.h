/**
 * @file retry_budget.h
 * @brief Limits how many retries a service may send.
 *
 * When a server fails many requests, unlimited retries multiply its load and
 * keep it overloaded (a retry storm, story 16). Retries are limited to a share
 * of the first attempts of the last ten seconds, plus a fixed number so that a
 * service with little traffic can still retry.
 */
#ifndef JJ_CORE_RETRY_BUDGET_H
#define JJ_CORE_RETRY_BUDGET_H

#include "core/window.h"

typedef struct {
	double share; /**< retries per first attempt */
	uint32_t floor; /**< retries always allowed per window */
	jj_window_t firsts;
	jj_window_t retries;
} jj_retry_budget_t;

/** Sets the limits and clears the counts. */
void
jj_retry_budget_reset(jj_retry_budget_t *budget, double share, uint32_t floor);
/** Counts a first attempt. */
void jj_retry_budget_note_first(jj_retry_budget_t *budget, jj_ms_t now);
/** Takes one retry from the budget; false when it is used up. */
bool jj_retry_budget_take(jj_retry_budget_t *budget, jj_ms_t now);

#endif
