/**
 * @file batch_side.h
 * @brief Batch items: offered, under way, ended; and the baselines.
 */
#ifndef BENCH_BATCH_SIDE_H
#define BENCH_BATCH_SIDE_H

#include "world_state.h"

/** Gives a VM as many items as its dispatch has room for. */
void batch_offer(world_t *world, uint32_t vm, jj_actions_t *actions);
/** Fills each server up to the cap of POLICY_CAP. */
void batch_offer_capped(world_t *world);
/** A backend's news of an item under POLICY_CAP. */
void batch_take_cap_event(world_t *world, const event_t *event);
/** Ends an item if it is under way; done: its tokens count. */
void batch_end(world_t *world, uint64_t request, bool done);
/** The item under way with this request; NULL when there is none. */
item_t *batch_find(world_t *world, uint64_t request);
/** Frees what is still under way. */
void batch_destroy(world_t *world);

#endif
