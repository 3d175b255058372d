/**
 * @file batch_side.h
 * @brief Batch items: submission, completion, and the baseline policies.
 */
#ifndef BENCH_BATCH_SIDE_H
#define BENCH_BATCH_SIDE_H

#include "world_state.h"

/** Submits as many items to a VM as its dispatch has free capacity for. */
void batch_offer(world_t *world, uint32_t vm, jj_actions_t *actions);
/** Submits items until each server runs as many as POLICY_CAP allows. */
void batch_offer_capped(world_t *world);
/** Handles a server's event on an item under POLICY_CAP. */
void batch_handle_cap_event(world_t *world, const event_t *event);
/** Ends a running item, if any; @p done: its tokens are counted. */
void batch_end(world_t *world, uint64_t request, bool done);
/** Finds the running item of a request; NULL when there is none. */
item_t *batch_find(world_t *world, uint64_t request);
/** Frees the items that are still running. */
void batch_destroy(world_t *world);

#endif
