/**
 * @file core_news.h
 * @brief What VMs tell each other: configuration, lists, jobs and deaths.
 *
 * Private to the core. News that can't be read is left aside: none of these
 * functions fails.
 */
#ifndef JJ_CORE_CORE_NEWS_H
#define JJ_CORE_CORE_NEWS_H

#include "core/core.h"

/** Takes an accepted message that is neither a call's nor the ledger's. */
void jj_core_take_news(jj_core_t *core, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** Takes a JJ_EVENT_SERVER; tells it to others if it is new. */
void jj_core_take_server_state(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/** Takes the platform's VM list, if it came, and tells the domain. */
void jj_core_take_vms(jj_core_t *core, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
/** Takes events of the watch on `jobs/` and tells the domain. */
void jj_core_take_job_changes(
    jj_core_t *core, const jj_platform_result_t *result, jj_actions_t *out);
/** Events were lost: each VM of the domain looks at the active jobs. */
void jj_core_tell_lost_job_events(
    jj_core_t *core, uint64_t revision, jj_actions_t *out);
/**
 * Each VM gets the document once or twice, however many there are: who takes
 * it from the platform, an operator or abroad tells its domain; what comes
 * from the own domain is only passed abroad, by the speaker. A VM that was
 * left out asks when it hears of the version in a heartbeat.
 */
void jj_core_spread_config(jj_core_t *core, jj_actions_t *out);
/**
 * True from a start or a long pause until a VM of the own domain has told
 * which requests crash servers, or would have if it lived. Guards against a
 * resend of such a request that reaches this VM first and crashes two more
 * servers here: requests rest meanwhile, as suspects do, at most as long as
 * silence is suspected after.
 */
bool jj_core_is_unheard(const jj_core_t *core, jj_ms_t now);
/** Processes that are lost (member.h): their batch claims may be taken over. */
void jj_core_notice_lost_vms(jj_core_t *core, jj_ms_t now, jj_actions_t *out);

#endif
