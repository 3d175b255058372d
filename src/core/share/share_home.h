/**
 * @file share_home.h
 * @brief Fair shares of a service's request slots: the part of the home.
 *
 * The home keeps the last report of each VM, adds up the demand by group while
 * some VM sees a shortage, divides the slots and sends the result to all VMs.
 * It holds no other state, so that a VM that becomes the home knows as much as
 * the one before after one interval.
 */
#ifndef JJ_CORE_SHARE_SHARE_HOME_H
#define JJ_CORE_SHARE_SHARE_HOME_H

#include "core/message.h"

/** How a home learns about slots and the configuration. */
typedef struct {
	void *ctx;
	/** Weight of a group in its fair share, > 0. */
	double (*weight_of)(void *ctx, uint64_t group);
	/**
	 * Slots to divide among the VMs that report: without those that
	 * belong to other VMs.
	 */
	double (*slots_of)(void *ctx, const jj_name_t *service);
	/** Sends the shares to all live VMs, with this one. */
	void (*announce)(void *ctx, const jj_share_level_t *level);
	jj_ms_t interval_ms; /**< between reports of a VM */
} jj_share_home_port_t;

typedef struct jj_share_home jj_share_home_t;

jj_share_home_t *jj_share_home_create(void);
void jj_share_home_destroy(jj_share_home_t *home);

/** Takes the report of a VM. */
void jj_share_home_take(jj_share_home_t *home, const jj_name_t *vm,
    const jj_share_demand_t *demand, const jj_share_home_port_t *port,
    jj_ms_t now);
/** True when the last report of a VM is in force. */
bool jj_share_home_has_report(
    const jj_share_home_t *home, const jj_name_t *service, const jj_name_t *vm);
/** Sends shares that are due; forgets old reports. */
void jj_share_home_tick(
    jj_share_home_t *home, const jj_share_home_port_t *port, jj_ms_t now);

#endif
