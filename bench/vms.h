/**
 * @file vms.h
 * @brief Simulated VMs: delivers events to their cores, carries out actions.
 */
#ifndef BENCH_VMS_H
#define BENCH_VMS_H

#include "world_state.h"

/** Creates all VMs, each with the list of the others and the servers. */
void vms_create(world_t *world);
void vms_destroy(world_t *world);
/** Defers an event if its VM is paused; false when it is to be handled now. */
bool vms_defer_event(world_t *world, const event_t *event);
/** Resumes a paused VM and schedules its deferred events. */
void vms_resume(world_t *world, uint32_t vm);
/** A VM's probe finds a server down or up. */
void vms_handle_probe(world_t *world, const event_t *event);
/** Handles a server's event on a request. */
void vms_handle_backend(world_t *world, const event_t *event);
/** Times out an attempt, unless it has ended. */
void vms_handle_timeout(world_t *world, const event_t *event);
/** Handles and frees a message from another VM. */
void vms_handle_message(world_t *world, const event_t *event);
void vms_handle_tick(world_t *world, const event_t *event);
/** Carries out a VM's actions, ticks its dispatch if due, offers batch. */
void
vms_do_actions_and_tick(world_t *world, uint32_t vm, jj_actions_t *actions);
/** Carries out a VM's actions only. */
void vms_do_actions(world_t *world, uint32_t vm, jj_actions_t *actions);

#endif
