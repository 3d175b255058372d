/**
 * @file core_requests.h
 * @brief Requests and calls on their way through the composed core.
 *
 * Private to the core. Outcomes reach callers as actions: none of these
 * functions fails.
 */
#ifndef JJ_CORE_CORE_REQUESTS_H
#define JJ_CORE_CORE_REQUESTS_H

#include "core/core.h"

/** Told with refusals of calls, ms. */
#define JJ_CALL_RETRY_AFTER_MS 1000

/** Takes a JJ_EVENT_REQUEST: begins it, lets it wait or refuses it. */
void jj_core_take_request(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/** The caller of @p request went away: drops it wherever it is. */
void jj_core_cancel_request(
    jj_core_t *core, uint64_t request, jj_ms_t now, jj_actions_t *out);
/** Begins what waited, suspects and batch items, where it may run now. */
void jj_core_begin_waiting(jj_core_t *core, jj_ms_t now, jj_actions_t *out);
/**
 * Callback of the ledger: @p call may run now, once, as @p run. @p ctx is the
 * core, within jj_core_handle.
 */
void jj_core_run_call(void *ctx, uint64_t run, const jj_call_t *call);
/** Takes a JJ_EVENT_BACKEND; a whole answer to a call ends it. */
void jj_core_take_backend(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/** A run that dispatch gave up goes back to the ledger, which ends its call. */
void jj_core_end_refused_call(
    jj_core_t *core, const jj_answer_t *answer, jj_ms_t now, jj_actions_t *out);

#endif
