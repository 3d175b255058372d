/**
 * @file inlets.h
 * @brief What a process holds for all its callers and operators together.
 */
#ifndef JJ_DAEMON_INLETS_H
#define JJ_DAEMON_INLETS_H

#include "adapters/http_server.h"
#include "adapters/settings.h"

/** The bound of a process by its settings. */
jj_http_guard_t *jj_inlets_create_guard(const jj_settings_t *settings);
/** Limit of the jobs that the process keeps in memory, bytes. */
size_t jj_inlets_job_bytes(const jj_settings_t *settings);
/** Limits of a server at @p address; of its size, the settings' for callers. */
jj_http_limits_t
jj_inlets_limits(const jj_settings_t *settings, const char *address);
/** Sets the metrics of the guard. */
void jj_inlets_update_metrics(jj_http_guard_t *guard);

#endif
