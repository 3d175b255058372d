/**
 * @file batch_backlog.h
 * @brief Batch requests that wait until a server of their service has capacity.
 *
 * Capacity for batch appears and vanishes within milliseconds. Items wait here,
 * next to the dispatcher, so that short idle capacity is used at once and an
 * item without a free server is not returned to the batch module each time.
 */
#ifndef JJ_CORE_BATCH_BACKLOG_H
#define JJ_CORE_BATCH_BACKLOG_H

#include "core/dispatch.h"

typedef struct jj_withheld jj_withheld_t;

jj_withheld_t *jj_withheld_create(void);
void jj_withheld_destroy(jj_withheld_t *withheld);
/** Adds a batch request behind the others of its service. */
void jj_withheld_add(
    jj_withheld_t *withheld, const jj_request_t *request, jj_ms_t now);
/** Removes a request; false when it does not wait here. */
bool jj_withheld_remove(jj_withheld_t *withheld, uint64_t request);
/**
 * Begins requests, in order, while their services have capacity. Refuses those
 * of services of whose servers this VM is no longer steward.
 */
void jj_withheld_pump(jj_withheld_t *withheld, jj_dispatch_t *dispatch,
    jj_ms_t now, jj_actions_t *out);
/** Refuses all waiting requests as not run, as this VM is stopping. */
void jj_withheld_leave(jj_withheld_t *withheld, jj_actions_t *out);
uint32_t jj_withheld_count(const jj_withheld_t *withheld);

#endif
