/**
 * @file vms.h
 * @brief VMs with their cores: what they hear and what they do.
 */
#ifndef BENCH_VMS_H
#define BENCH_VMS_H

#include "world_state.h"

/** Creates all VMs, each of which knows the others and the servers. */
void vms_create(world_t *world);
void vms_destroy(world_t *world);
/** Keeps an event of a frozen VM for later; false when it goes on now. */
bool vms_hold(world_t *world, const event_t *event);
/** A frozen VM goes on, with what was held for it. */
void vms_thaw(world_t *world, uint32_t vm);
/** A VM's probe sees the death or the start of a server. */
void vms_take_probe(world_t *world, const event_t *event);
/** A server's news of a request. */
void vms_take_backend(world_t *world, const event_t *event);
/** An attempt's time is over; void when it has ended. */
void vms_take_timeout(world_t *world, const event_t *event);
/** A message of another VM, which this frees. */
void vms_take_message(world_t *world, const event_t *event);
void vms_take_tick(world_t *world, const event_t *event);
/** Carries out what the VM decided, and what it decides on top of that. */
void vms_settle(world_t *world, uint32_t vm, jj_actions_t *actions);
/** Carries out what the VM decided, and nothing more. */
void vms_do_actions(world_t *world, uint32_t vm, jj_actions_t *actions);

#endif
