/**
 * @file allowance_home.h
 * @brief Keeps a team's rate limit over all VMs: the part of the team's home.
 *
 * The home counts what the VMs report and grants credits such that the
 * requests of the window and the credits that are out stay within the limit.
 * Near the limit the team is metered: there are no credits, and all VMs admit
 * each request with the same probability, which follows the team's use. A VM
 * with few requests of the team then refuses no more than one with many.
 *
 * While some VMs are unreachable, they are taken to use up their share of the
 * limit, as they do (allowance.h).
 */
#ifndef JJ_CORE_TEAM_ALLOWANCE_HOME_H
#define JJ_CORE_TEAM_ALLOWANCE_HOME_H

#include "core/team/allowance.h"

/** How a home learns about VMs and the configuration. */
typedef struct {
	void *ctx;
	/** The limit of a team; false when it has none. */
	bool (*limit_of)(void *ctx, uint64_t team, jj_allowance_limit_t *limit);
	/** True while heartbeats of that VM come on time. */
	bool (*is_reachable)(void *ctx, const jj_name_t *vm);
	/** True while those of some VM do not, and it may still be running. */
	bool (*misses_vms)(void *ctx);
	/** Sends a notice to all live VMs, with this one. */
	void (*announce)(void *ctx, const jj_team_grant_t *notice);
} jj_allowance_home_port_t;

typedef struct jj_allowance_home jj_allowance_home_t;

/** @param started_ms when the process started: it knows nothing before that. */
jj_allowance_home_t *jj_allowance_home_create(
    const jj_allowance_home_port_t *port, jj_ms_t started_ms);
void jj_allowance_home_destroy(jj_allowance_home_t *home);

/** Takes the report of a VM; true when @p grant is to be sent to it. */
bool jj_allowance_home_take(jj_allowance_home_t *home, const jj_name_t *vm,
    const jj_team_use_t *use, jj_ms_t now, jj_team_grant_t *grant);
/** Forgets VMs and teams without reports for long. */
void jj_allowance_home_tick(jj_allowance_home_t *home, jj_ms_t now);

/** What the home knows of one team. */
typedef struct {
	uint64_t team;
	uint32_t used; /**< requests of all reporting VMs in the window */
	uint32_t credits; /**< that VMs still hold */
	uint32_t vms; /**< that have reported about it lately */
	bool metered;
} jj_team_usage_t;

/** Calls @p take for each team of this home. */
void jj_allowance_home_each(jj_allowance_home_t *home, jj_ms_t now,
    void (*take)(void *ctx, const jj_team_usage_t *usage), void *ctx);

#endif
