/**
 * @file allowance.h
 * @brief Keeps a team's rate limit over all VMs: the part of the VM that admits
 * requests.
 *
 * One VM, the team's home (allowance_home.h), counts the requests that all VMs
 * admit. The others report to it and receive credits: how many requests they
 * may admit until the credit expires. While the team is far below its limit a
 * request never waits for the home and is never refused.
 *
 * While the home does not answer, a VM admits its last known share of the
 * limit. So the sides of a network cut together admit about the limit.
 *
 * Pure: takes requests, grants and the time, and returns reports.
 */
#ifndef JJ_CORE_TEAM_ALLOWANCE_H
#define JJ_CORE_TEAM_ALLOWANCE_H

#include "core/message.h"
#include "core/team/usage_window.h"

/** Time constant with which earlier requests count for shares, ms. */
#define JJ_ALLOWANCE_SHARE_MS 8000

/** Shares are estimates: VMs that can't reach each other keep this reserve. */
#define JJ_ALLOWANCE_DIVIDED_FACTOR 0.75

/** Limits of a team in one version of the configuration. */
typedef struct {
	double rate_per_s;
	double burst;
} jj_allowance_limit_t;

/** Decision about one request. */
typedef struct {
	bool admitted;
	/** of a refused request: when the team is likely to have room, ms */
	jj_ms_t retry_after_ms;
	const char *basis; /**< what the decision rests on, for the log */
	uint32_t known_used; /**< requests of all VMs in the window, as known */
	jj_ms_t known_age_ms; /**< age of that figure; JJ_MS_NEVER: none */
} jj_allowance_decision_t;

typedef struct jj_allowance jj_allowance_t;

jj_allowance_t *jj_allowance_create(uint64_t seed);
void jj_allowance_destroy(jj_allowance_t *allowance);

/**
 * Decides about a request of a team with a limit.
 * @param vms number of live VMs, with this one.
 * @param home_reachable the team's home sent something a moment ago.
 */
jj_allowance_decision_t jj_allowance_admit(jj_allowance_t *allowance,
    uint64_t team, const jj_allowance_limit_t *limit, uint32_t vms,
    bool home_reachable, jj_ms_t now);
/** An admitted request ended without having reached a server. */
void jj_allowance_refund(jj_allowance_t *allowance, uint64_t team);
/** Where reports go. */
typedef struct {
	void *ctx;
	/** Names the home of a team. */
	void (*home_of)(void *ctx, uint64_t team, jj_name_t *home);
	void (*send)(
	    void *ctx, const jj_name_t *home, const jj_team_use_t *use);
} jj_allowance_port_t;

/** Sends the reports that are due to the homes of their teams. */
void jj_allowance_report(
    jj_allowance_t *allowance, const jj_allowance_port_t *port, jj_ms_t now);
/** Takes a grant of a team's home. */
void jj_allowance_take_grant(jj_allowance_t *allowance, const jj_name_t *home,
    const jj_team_grant_t *grant, jj_ms_t now);
/** Forgets teams without requests for long. */
void jj_allowance_tick(jj_allowance_t *allowance, jj_ms_t now);

/** Most requests that the limit allows in one window. */
double jj_allowance_window_limit(const jj_allowance_limit_t *limit);

#endif
