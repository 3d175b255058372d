/**
 * @file suspects.h
 * @brief Delays new requests whose fingerprint has been reported as crashing.
 *
 * The caller of a request that crashes servers sends it again at once, through
 * another VM, before the report of the second crash has arrived there. So a
 * request that was in flight at a crash is delayed before it begins, long
 * enough for crash reports to arrive from the other VMs and domains.
 */
#ifndef JJ_CORE_SUSPECTS_H
#define JJ_CORE_SUSPECTS_H

#include "core/dispatch.h"

typedef struct jj_suspects jj_suspects_t;

/** @param delay_ms how long a suspect is delayed. */
jj_suspects_t *jj_suspects_create(jj_ms_t delay_ms);
void jj_suspects_destroy(jj_suspects_t *suspects);
void jj_suspects_add(
    jj_suspects_t *suspects, const jj_request_t *request, jj_ms_t now);
/** Removes a request; false when it is not delayed here. */
bool jj_suspects_remove(jj_suspects_t *suspects, uint64_t request);
/**
 * Begins the requests whose delay has passed; the quarantine is checked again
 * then.
 */
void jj_suspects_tick(jj_suspects_t *suspects, jj_dispatch_t *dispatch,
    jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_suspects_next(const jj_suspects_t *suspects);

#endif
