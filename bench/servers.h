/**
 * @file servers.h
 * @brief Servers: their streams, steps and reports, and what befalls them.
 */
#ifndef BENCH_SERVERS_H
#define BENCH_SERVERS_H

#include "world_state.h"

/** Sends a request's stream to a server, which has it after the net's time. */
void servers_submit(world_t *world, uint32_t vm, uint32_t server,
    uint64_t request, uint32_t attempt);
/** A stream arrives, which the server owns or refuses. */
void servers_take_submit(world_t *world, const event_t *event);
/** A cancellation arrives, at whichever server has the attempt. */
void servers_take_cancel(world_t *world, const event_t *event);
/** A step ends, or a server killed by a request is started again. */
void servers_take_step(world_t *world, const event_t *event);
/** A server's load report reaches all VMs. */
void servers_take_report(world_t *world, const event_t *event);
/** A fault of the scenario, of a server or a VM. */
void servers_take_fault(world_t *world, const event_t *event);

#endif
