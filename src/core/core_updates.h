/**
 * @file core_updates.h
 * @brief Updates between VMs: configuration, VM lists, job changes, crashes.
 *
 * Private to the core. Updates that cannot be parsed are ignored: none of these
 * functions fails.
 */
#ifndef JJ_CORE_CORE_UPDATES_H
#define JJ_CORE_CORE_UPDATES_H

#include "core/core.h"

/**
 * Handles an accepted message that belongs neither to a call nor to the ledger.
 */
void jj_core_take_update(jj_core_t *core, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** Handles a JJ_EVENT_SERVER; sends it to other VMs when it is new. */
void jj_core_take_server_state(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/**
 * Handles the result of reading the VM list, and sends the list to the domain.
 */
void jj_core_take_vms(jj_core_t *core, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
/** Handles events of the watch on `jobs/` and sends them to the domain. */
void jj_core_take_job_changes(
    jj_core_t *core, const jj_platform_result_t *result, jj_actions_t *out);
/** Events were lost: each VM of the domain checks the active jobs. */
void jj_core_notify_job_events_lost(
    jj_core_t *core, uint64_t revision, jj_actions_t *out);
/**
 * Sends the configuration to the VMs that need it. Each VM gets the document
 * once or twice, whatever the number of VMs: a VM that got it from the
 * platform, an operator or a remote domain sends it to its domain; one received
 * from the local domain is sent only to remote domains, by the speaker. A VM
 * that was left out requests it when a heartbeat shows the newer version.
 */
void jj_core_spread_config(jj_core_t *core, jj_actions_t *out);
/**
 * True from a start or a long pause until a VM of the local domain has sent its
 * crash history (which requests crash servers), or would have if it were alive.
 * Guards against a resend of such a request that reaches this VM first and
 * crashes two more servers: requests are deferred meanwhile, as suspects are,
 * at most for suspect_ms.
 */
bool jj_core_awaits_crash_history(const jj_core_t *core, jj_ms_t now);
/**
 * Reports VM processes that are lost (member.h): their batch claims may be
 * taken over.
 */
void jj_core_notice_lost_vms(jj_core_t *core, jj_ms_t now, jj_actions_t *out);

#endif
