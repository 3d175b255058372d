/**
 * @file core_state.h
 * @brief The composed core's state, shared by the core*.c files only.
 */
#ifndef JJ_CORE_CORE_STATE_H
#define JJ_CORE_CORE_STATE_H

#include "core/calls.h"
#include "core/core.h"
#include "core/suspects.h"
#include "core/watch.h"
#include "core/batch_backlog.h"

/** A process seen alive at the last tick. */
typedef struct {
	jj_name_t name;
	jj_incarnation_t incarnation;
} jj_seen_t;

/** Where a configuration came from in the step under way. */
typedef enum {
	JJ_CONFIG_FROM_PLATFORM, /**< or an operator's patch here */
	JJ_CONFIG_FROM_DOMAIN, /**< a VM of the own domain */
	JJ_CONFIG_FROM_ABROAD,
} jj_config_source_t;

struct jj_core {
	jj_core_settings_t settings;
	jj_member_t *member;
	jj_fleet_t *fleet;
	jj_quarantine_t *quarantine;
	jj_config_t *config;
	jj_dispatch_t *dispatch;
	jj_withheld_t *withheld;
	jj_suspects_t *suspects;
	jj_ledger_t *ledger;
	jj_calls_t *calls;
	jj_lease_t *lease;
	jj_orders_t *orders;
	jj_watch_t config_watch;
	jj_watch_t jobs_watch;
	bool leaving;
	bool list_known; /**< a VM list was taken once */
	jj_ms_t last_tick;
	uint64_t list_hash; /**< of the list told last */
	jj_ms_t next_tell; /**< an unchanged list is told again then */
	jj_config_source_t config_source;
	jj_ms_t next_vms;
	jj_ms_t next_refresh;
	jj_ms_t next_ask;
	jj_ms_t unheard_until_ms; /**< see jj_core_is_unheard */
	size_t seen_count;
	jj_seen_t seen[JJ_LEDGER_SLOTS];
	jj_actions_t *out; /**< of the step under way, for callbacks */
	jj_ms_t now; /**< likewise */
};

#endif
