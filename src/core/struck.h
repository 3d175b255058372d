/**
 * @file struck.h
 * @brief VMs that meet again tell each other which requests crash servers.
 *
 * A crash is told once, to the VMs that are live at that moment. One that was
 * down, cut off or frozen then would run the same request again and lose two
 * more servers to it. So whenever a VM becomes live to another, or is a new
 * process, each tells what it knows and asks for what the other knows: of the
 * two, one has confirmed the other's process last, and only from then on are
 * its messages heard.
 */
#ifndef JJ_CORE_STRUCK_H
#define JJ_CORE_STRUCK_H

#include "core/member.h"
#include "core/quarantine.h"

/** Tells and asks the VMs that have arrived; call after each message. */
void jj_struck_greet(const jj_quarantine_t *quarantine, jj_member_t *member,
    jj_ms_t now, jj_actions_t *out);
/**
 * Takes a message of kind JJ_MESSAGE_STRUCK and answers it when asked, also
 * when there is nothing to tell: the other may wait for it.
 * @return true when it said something that was not known here.
 */
bool jj_struck_take(jj_quarantine_t *quarantine, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);

#endif
