/**
 * @file callers.h
 * @brief Online requests as their callers send them and see them end.
 */
#ifndef BENCH_CALLERS_H
#define BENCH_CALLERS_H

#include "world_state.h"

/** Makes all arrivals at the start, so that all policies meet the same. */
void callers_make(world_t *world);
/** A request reaches a VM; event: the index of its call. */
void callers_take_arrival(world_t *world, const event_t *event);
/** A backend's news of an online request, void when of an older attempt. */
void callers_take_event(world_t *world, const event_t *event);
/** A VM gives up on an online request. */
void callers_take_answer(world_t *world, const jj_answer_t *answer);
/**
 * Hashes the blocks of a prompt.
 * @param prompt its length in tokens.
 * @param own the request: its last block is its own, the others are shared.
 * @param hashes room for JJ_PREFIX_BLOCKS_MAX.
 */
void callers_fill_prefixes(uint64_t prefix, uint32_t prompt, uint64_t own,
    uint32_t *count, uint64_t *hashes);

#endif
