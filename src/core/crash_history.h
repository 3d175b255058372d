/**
 * @file crash_history.h
 * @brief VMs exchange which requests crash servers when they connect again.
 *
 * A crash is reported once, to the VMs that are live at that moment. A VM that
 * was down, disconnected or stalled at that time would run the same request
 * again and lose two more servers to it. So when a VM becomes live to another
 * one, or is a new process, each sends the other what it knows and requests the
 * other's list. The request is needed because one of the two confirms the
 * other's process last, and only from then on accepts its messages.
 */
#ifndef JJ_CORE_CRASH_HISTORY_H
#define JJ_CORE_CRASH_HISTORY_H

#include "core/member.h"
#include "core/quarantine.h"

/**
 * Sends the list to a VM that has become live, see jj_member_pop_arrival(), and
 * requests its list.
 */
void jj_crash_history_send_to_arrival(const jj_quarantine_t *quarantine,
    const jj_name_t *name, jj_ms_t now, jj_actions_t *out);
/**
 * Handles a message of kind JJ_MESSAGE_CRASH_HISTORY and answers it when
 * requested, also with an empty list: the other VM may wait for it.
 * @return true when it contained a crash that was not known here.
 */
bool jj_crash_history_take(jj_quarantine_t *quarantine,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);

#endif
