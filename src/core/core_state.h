/**
 * @file core_state.h
 * @brief State of the core, shared by the core*.c files only.
 */
#ifndef JJ_CORE_CORE_STATE_H
#define JJ_CORE_CORE_STATE_H

#include "core/calls.h"
#include "core/core.h"
#include "core/suspects.h"
#include "core/watch.h"
#include "core/batch_backlog.h"

/** A process of another VM that was alive at the last tick. */
typedef struct {
	jj_name_t name;
	jj_incarnation_t incarnation;
} jj_seen_process_t;

/** Source of the configuration in the event being handled. */
typedef enum {
	JJ_CONFIG_FROM_PLATFORM, /**< or an operator's patch to this VM */
	JJ_CONFIG_FROM_LOCAL_DOMAIN, /**< a VM of the local domain */
	JJ_CONFIG_FROM_REMOTE_DOMAIN,
} jj_config_source_t;

struct jj_core {
	jj_core_settings_t settings;
	jj_member_t *member;
	jj_fleet_t *fleet;
	jj_quarantine_t *quarantine;
	jj_config_t *config;
	jj_dispatch_t *dispatch;
	jj_batch_backlog_t *batch_backlog;
	jj_suspects_t *suspects;
	jj_ledger_t *ledger;
	jj_calls_t *calls;
	jj_lease_t *lease;
	jj_orders_t *orders;
	jj_watch_t config_watch;
	jj_watch_t jobs_watch;
	bool leaving;
	bool list_known; /**< a VM list was read at least once */
	jj_ms_t last_tick;
	uint64_t list_hash; /**< hash of the VM list sent last */
	jj_ms_t next_list_send_ms; /**< when an unchanged list is sent again */
	jj_config_source_t config_source;
	jj_ms_t next_vms_poll_ms;
	jj_ms_t next_config_refresh_ms;
	jj_ms_t next_config_request_ms;
	jj_ms_t crash_history_due_ms; /**< see jj_core_awaits_crash_history */
	size_t seen_count;
	jj_seen_process_t seen[JJ_LEDGER_SLOTS];
	jj_actions_t *out; /**< of the event being handled, for callbacks */
	jj_ms_t now; /**< likewise */
};

#endif
