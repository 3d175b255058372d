/**
 * @file slots_state.h
 * @brief State shared by the slots sources; private to them.
 */
#ifndef JJ_CORE_SLOTS_STATE_H
#define JJ_CORE_SLOTS_STATE_H

#include <glib.h>

#include "core/slots.h"

TAILQ_HEAD(jj_slot_list, jj_slot_server);

/** The servers of all services, as this VM knows them. */
struct jj_slots {
	jj_slots_settings_t settings;
	struct jj_slot_list servers;
	GHashTable *by_hash; /**< index by hash, to look up loads of other
				  VMs */
	uint64_t sequence; /**< sequence number of the choice; varies equal
				costs */
	uint32_t near_vms; /**< VMs that choose among this domain's servers */
	uint32_t far_vms; /**< VMs of other domains */
};

#endif
