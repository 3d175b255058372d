/**
 * @file suspects.h
 * @brief New requests that look like one that crashed a backend server.
 *
 * The caller of a request that kills servers sends it again at once, through
 * another VM, while the news of the second death is still on its way there.
 * A request with a strike therefore rests for a moment before it is begun:
 * long enough for crash reports to come from the other VMs and domains.
 */
#ifndef JJ_CORE_SUSPECTS_H
#define JJ_CORE_SUSPECTS_H

#include "core/dispatch.h"

typedef struct jj_suspects jj_suspects_t;

/** @param rest_ms how long a suspect rests. */
jj_suspects_t *jj_suspects_create(jj_ms_t rest_ms);
void jj_suspects_destroy(jj_suspects_t *suspects);
void jj_suspects_add(
    jj_suspects_t *suspects, const jj_request_t *request, jj_ms_t now);
/** Takes a request off; false when it does not rest here. */
bool jj_suspects_remove(jj_suspects_t *suspects, uint64_t request);
/** Begins those that have rested; the quarantine is asked again then. */
void jj_suspects_tick(jj_suspects_t *suspects, jj_dispatch_t *dispatch,
    jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_suspects_next(const jj_suspects_t *suspects);

#endif
