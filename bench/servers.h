/**
 * @file servers.h
 * @brief Simulated servers: streams, steps, load reports and faults.
 */
#ifndef BENCH_SERVERS_H
#define BENCH_SERVERS_H

#include "world_state.h"

/** Sends a request to a server; it arrives after the network delay. */
void servers_submit(world_t *world, uint32_t vm, uint32_t server,
    uint64_t request, uint32_t attempt);
/** A stream arrives at a server, which queues or refuses it. */
void servers_handle_submit(world_t *world, const event_t *event);
/** Cancels an attempt at the server that has it. */
void servers_handle_cancel(world_t *world, const event_t *event);
/** Ends a step, or restarts a server that a request has killed. */
void servers_handle_step(world_t *world, const event_t *event);
/** Delivers a server's load report to all VMs. */
void servers_handle_report(world_t *world, const event_t *event);
/** Applies a fault of the scenario to a server or a VM. */
void servers_handle_fault(world_t *world, const event_t *event);

#endif
