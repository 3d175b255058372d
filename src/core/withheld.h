/**
 * @file withheld.h
 * @brief Batch requests that wait until a server of their service has room.
 *
 * Room for batch comes and goes within milliseconds. Items wait here, next
 * to the decision, so that idle capacity of seconds is used at once and an
 * item that finds no room is not sent back to the batch half each time.
 */
#ifndef JJ_CORE_WITHHELD_H
#define JJ_CORE_WITHHELD_H

#include "core/dispatch.h"

typedef struct jj_withheld jj_withheld_t;

jj_withheld_t *jj_withheld_create(void);
void jj_withheld_destroy(jj_withheld_t *withheld);
/** Adds a batch request behind the others of its service. */
void jj_withheld_add(
    jj_withheld_t *withheld, const jj_request_t *request, jj_ms_t now);
/** Takes a request off; false when it does not wait here. */
bool jj_withheld_remove(jj_withheld_t *withheld, uint64_t request);
/**
 * Begins requests, in order, while their services have room; sends those
 * back whose servers this VM has no share of any more.
 */
void jj_withheld_pump(jj_withheld_t *withheld, jj_dispatch_t *dispatch,
    jj_ms_t now, jj_actions_t *out);
/** Refuses all that wait, as not run: this VM is leaving. */
void jj_withheld_leave(jj_withheld_t *withheld, jj_actions_t *out);
uint32_t jj_withheld_count(const jj_withheld_t *withheld);

#endif
