/**
 * @file slots_state.h
 * @brief State shared by the slots sources; private to them.
 */
#ifndef JJ_CORE_SLOTS_STATE_H
#define JJ_CORE_SLOTS_STATE_H

#include <glib.h>

#include "core/slots.h"

TAILQ_HEAD(jj_slot_list, jj_slot_server);

/** Mean online requests at the servers of a service that this VM uses. */
typedef struct {
	double value; /**< smoothed */
	jj_ms_t updated_ms;
} jj_mean_load_t;

/** A software version of which a server was removed. */
typedef struct {
	jj_name_t service;
	uint64_t software;
	jj_ms_t removed_ms; /**< of the last one */
} jj_removed_software_t;

#define JJ_REMOVED_SOFTWARE_MAX 64

/** The servers of all services, as this VM knows them. */
struct jj_slots {
	jj_slots_settings_t settings;
	struct jj_slot_list servers;
	GHashTable *by_hash; /**< index by hash, to look up loads of other
				  VMs */
	GHashTable *neighbours; /**< VMs with requests, by name; owned */
	size_t user_count;
	jj_slot_user_t *users; /**< owned; by domain and hash of the name */
	bool has_unlisted; /**< some server may not be listed */
	bool has_old_starts; /**< some server may have has_old_start set */
	uint64_t sequence; /**< sequence number of the choice; varies equal
				costs */
	GHashTable *mean_loads; /**< jj_mean_load_t by service; owned */
	uint32_t removed_count;
	jj_removed_software_t removed[JJ_REMOVED_SOFTWARE_MAX];
	uint32_t near_vms; /**< VMs that choose among this domain's servers */
	uint32_t far_vms; /**< VMs of other domains */
};

/** Removes the load of all neighbours at a server. */
void jj_slots_clear_neighbours(jj_slots_t *slots, jj_slot_server_t *server);
/** Frees a jj_slot_vm_t. */
void jj_slots_free_vm(void *memory);

#endif
