/**
 * @file core_status.h
 * @brief The state of a VM's control as JSON, for operators.
 */
#ifndef JJ_CORE_CORE_STATUS_H
#define JJ_CORE_CORE_STATUS_H

#include "core/core.h"

/** Ends with one JJ_ACTION_JOB_ANSWER for @p operation, status 200. */
void jj_core_answer_status(
    jj_core_t *core, uint64_t operation, jj_ms_t now, jj_actions_t *out);

#endif
