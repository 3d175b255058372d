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

typedef struct jj_batch_backlog jj_batch_backlog_t;

jj_batch_backlog_t *jj_batch_backlog_create(void);
void jj_batch_backlog_destroy(jj_batch_backlog_t *batch_backlog);
/** Adds a batch request behind the others of its service. */
void jj_batch_backlog_add(jj_batch_backlog_t *batch_backlog,
    const jj_request_t *request, jj_ms_t now);
/** Removes a request; false when it does not wait here. */
bool
jj_batch_backlog_remove(jj_batch_backlog_t *batch_backlog, uint64_t request);
/**
 * Begins requests, in order, while their services have capacity. Refuses those
 * of services of whose servers this VM is no longer steward.
 */
void jj_batch_backlog_pump(jj_batch_backlog_t *batch_backlog,
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
/** Refuses all waiting requests as not run, as this VM is stopping. */
void
jj_batch_backlog_stop(jj_batch_backlog_t *batch_backlog, jj_actions_t *out);
uint32_t jj_batch_backlog_count(const jj_batch_backlog_t *batch_backlog);

#endif
