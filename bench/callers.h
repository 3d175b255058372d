/**
 * @file callers.h
 * @brief Online requests as seen by their callers: arrival and outcome.
 */
#ifndef BENCH_CALLERS_H
#define BENCH_CALLERS_H

#include "world_state.h"

/** Draws all arrivals before the run, so that each policy has the same. */
void callers_make(world_t *world);
/** A request arrives at a VM; event->request: the index of its call. */
void callers_handle_arrival(world_t *world, const event_t *event);
/** Handles a server's event on a request; ignored for older attempts. */
void callers_handle_event(world_t *world, const event_t *event);
/** A VM refuses an online request without a server's answer. */
void callers_handle_answer(world_t *world, const jj_answer_t *answer);
/**
 * Hashes the blocks of a prompt.
 * @param prompt its length in tokens.
 * @param request_id mixed into the last block's hash; all other blocks are
 * shared by the prompts with this prefix.
 * @param hashes array of JJ_PREFIX_BLOCKS_MAX entries.
 */
void callers_fill_prefixes(uint64_t prefix, uint32_t prompt,
    uint64_t request_id, uint32_t *count, uint64_t *hashes);

#endif
