/**
 * @file core_requests.h
 * @brief Handles requests and non-idempotent calls in the core.
 *
 * Private to the core. Outcomes reach callers as actions: none of these
 * functions fails.
 */
#ifndef JJ_CORE_CORE_REQUESTS_H
#define JJ_CORE_CORE_REQUESTS_H

#include "core/core.h"

/** Retry-after time sent with refusals, ms. */
#define JJ_CALL_RETRY_AFTER_MS 1000

/** Handles a JJ_EVENT_REQUEST: starts, queues or refuses the request. */
void jj_core_take_request(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/** Drops @p request wherever it is; its caller has disconnected. */
void jj_core_cancel_request(
    jj_core_t *core, uint64_t request, jj_ms_t now, jj_actions_t *out);
/** Starts waiting suspects and batch items where they may run now. */
void jj_core_start_waiting(jj_core_t *core, jj_ms_t now, jj_actions_t *out);
/**
 * Callback of the ledger: runs @p call once, as number @p run. @p ctx is the
 * core, within jj_core_handle.
 */
void jj_core_run_call(void *ctx, uint64_t run, const jj_call_t *call);
/** Handles a JJ_EVENT_BACKEND; a complete answer to a call ends the call. */
void jj_core_take_backend(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/**
 * Passes a run that dispatch has abandoned to the ledger, which ends its call.
 */
void jj_core_end_refused_call(
    jj_core_t *core, const jj_answer_t *answer, jj_ms_t now, jj_actions_t *out);

#endif
