/**
 * @file allowance.c
 * @brief Admits requests of teams with a limit, from credits of their homes.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/team/allowance.h"

/** Least time between two reports of a team, ms. */
#define REPORT_MIN_MS 50
/** The same while the team is metered and requests are refused, ms. */
#define REPORT_METERED_MS 200
/** Requests that were admitted are reported after this time at most, ms. */
#define REPORT_MAX_MS 1000
/** A home that leaves a report unanswered for so long is unreachable, ms. */
#define HOME_TIMEOUT_MS 500
/** Without a grant a team counts as metered no longer than this, ms. */
#define METERED_MAX_MS 4000
/** Requests that all VMs together admit beyond their shares. */
#define SHARE_EXTRA 8.0
/** Part of an equal share for a VM that the home has never answered. */
#define UNKNOWN_SHARE 0.5
/** How many requests a share allows is rounded anew after this time, ms. */
#define SHARE_ROUND_MS JJ_USAGE_WINDOW_MS
/** A team without requests for so long is forgotten, ms. */
#define FORGET_MS 60000
/** Requests that a VM may admit before its home has answered. */
#define TRUST_MIN 2
/** The same, as a part of what the limit allows each VM. */
#define TRUST_DIVISOR 4

/** What this VM knows of one team. */
typedef struct {
	uint64_t team;
	uint64_t total; /**< requests admitted */
	uint64_t reported; /**< of these, in the last report */
	uint32_t asked; /**< requests since the last report */
	jj_usage_window_t window; /**< admitted requests */
	jj_ms_t asked_ms; /**< last request */
	jj_ms_t report_ms; /**< last report; JJ_MS_NEVER: none */
	/** first report that is not answered yet; JJ_MS_NEVER: none */
	jj_ms_t unanswered_ms;
	jj_name_t home; /**< that the last report was sent to */
	bool reports_soon; /**< the credit runs out, or there is none */

	uint64_t credit_end; /**< may admit while `total` is below */
	jj_ms_t credit_until_ms;
	uint32_t credit; /**< at the last grant */
	uint64_t trust_end; /**< as credit_end, without a credit; 0: not set */
	jj_ms_t metered_until_ms;
	uint32_t admit_ppm; /**< of a metered team */
	double rounding; /**< 0 to 1, added to what the share allows */
	jj_ms_t rounding_until_ms;
	jj_ms_t granted_ms; /**< last grant; JJ_MS_NEVER: none */
	double share; /**< of the limit, 0 to 1; at share_ms */
	jj_ms_t share_ms; /**< JJ_MS_NEVER: not known, or frozen */
	uint32_t used; /**< requests of all VMs, by the last grant */
	uint32_t retry_ms;
} team_t;

struct jj_allowance {
	GHashTable *teams; /**< team_t by hash */
	uint64_t random;
	jj_ms_t next_scan_ms;
};

static team_t *find_team(jj_allowance_t *, uint64_t, jj_ms_t);
static bool decide(jj_allowance_t *, team_t *, const jj_allowance_limit_t *,
    uint32_t, bool, jj_ms_t, const char **);
static bool admits_share(jj_allowance_t *, team_t *,
    const jj_allowance_limit_t *, uint32_t, jj_ms_t);
static double share_at(const team_t *, jj_ms_t);
static bool is_home_lost(const team_t *, jj_ms_t);
static uint64_t next_random(jj_allowance_t *);
static jj_ms_t spread(jj_allowance_t *, jj_ms_t);
static bool is_report_due(const team_t *, jj_ms_t);
static void fill_report(team_t *, const jj_name_t *, jj_ms_t, jj_team_use_t *);

jj_allowance_t *
jj_allowance_create(uint64_t seed)
{
	jj_allowance_t *allowance = jj_alloc(sizeof(*allowance));

	allowance->random = seed;
	allowance->teams =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return allowance;
}

void
jj_allowance_destroy(jj_allowance_t *allowance)
{
	if (allowance == NULL)
		return;
	g_hash_table_destroy(allowance->teams);
	free(allowance);
}

jj_allowance_decision_t
jj_allowance_admit(jj_allowance_t *allowance, uint64_t team,
    const jj_allowance_limit_t *limit, uint32_t vms, bool home_reachable,
    jj_ms_t now)
{
	jj_allowance_decision_t decision = {0};
	team_t *entry = find_team(allowance, team, now);

	entry->asked++;
	entry->asked_ms = now;
	decision.admitted = decide(
	    allowance, entry, limit, vms, home_reachable, now, &decision.basis);
	decision.known_used = entry->used;
	decision.known_age_ms = entry->granted_ms == JJ_MS_NEVER
	    ? JJ_MS_NEVER
	    : now - entry->granted_ms;
	if (decision.admitted) {
		entry->total++;
		jj_usage_window_add(&entry->window, 1, now);
	} else {
		decision.retry_after_ms = spread(allowance, entry->retry_ms);
	}
	if (entry->total + entry->credit / 2 >= entry->credit_end)
		entry->reports_soon = true;
	return decision;
}

void
jj_allowance_refund(jj_allowance_t *allowance, uint64_t team)
{
	team_t *entry = g_hash_table_lookup(allowance->teams, &team);

	/* A request that was reported already stays counted at the home. */
	if (entry == NULL || entry->total <= entry->reported)
		return;
	entry->total--;
	jj_usage_window_undo(&entry->window);
}

void
jj_allowance_report(
    jj_allowance_t *allowance, const jj_allowance_port_t *port, jj_ms_t now)
{
	GHashTableIter iterator;
	jj_team_use_t use;
	jj_name_t home;
	gpointer value;

	g_hash_table_iter_init(&iterator, allowance->teams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		team_t *entry = value;

		if (!is_report_due(entry, now))
			continue;
		port->home_of(port->ctx, entry->team, &home);
		fill_report(entry, &home, now, &use);
		port->send(port->ctx, &home, &use);
	}
}

void
jj_allowance_take_grant(jj_allowance_t *allowance, const jj_name_t *home,
    const jj_team_grant_t *grant, jj_ms_t now)
{
	team_t *entry = g_hash_table_lookup(allowance->teams, &grant->team);

	/* Of a team without requests here, only a notice matters. */
	if (entry == NULL) {
		if (!grant->notice)
			return;
		entry = find_team(allowance, grant->team, now);
		entry->asked_ms = now;
	}
	if (grant->metered) {
		entry->metered_until_ms = now + METERED_MAX_MS;
		entry->admit_ppm = grant->admit_ppm;
	}
	entry->used = grant->used;
	entry->granted_ms = now;
	entry->retry_ms = grant->retry_ms;
	if (grant->notice || !jj_name_equal(home, &entry->home))
		return;
	if (!grant->metered)
		entry->metered_until_ms = 0;
	entry->unanswered_ms = JJ_MS_NEVER;
	entry->credit = grant->credit;
	entry->credit_end = grant->total + grant->credit;
	entry->credit_until_ms = now + grant->valid_ms;
	entry->trust_end = 0;
	entry->share = (double)grant->share / JJ_TEAM_SHARE_UNIT;
	entry->share_ms = now;
}

void
jj_allowance_tick(jj_allowance_t *allowance, jj_ms_t now)
{
	GHashTableIter iterator;
	gpointer value;

	if (now < allowance->next_scan_ms)
		return;
	allowance->next_scan_ms = now + FORGET_MS / 10;
	g_hash_table_iter_init(&iterator, allowance->teams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const team_t *entry = value;

		if (now - entry->asked_ms >= FORGET_MS)
			g_hash_table_iter_remove(&iterator);
	}
}

double
jj_allowance_window_limit(const jj_allowance_limit_t *limit)
{
	return limit->rate_per_s * JJ_USAGE_WINDOW_MS / 1000 + limit->burst;
}

static team_t *
find_team(jj_allowance_t *allowance, uint64_t team, jj_ms_t now)
{
	team_t *entry = g_hash_table_lookup(allowance->teams, &team);

	if (entry != NULL)
		return entry;
	entry = jj_alloc(sizeof(*entry));
	entry->team = team;
	entry->report_ms = JJ_MS_NEVER;
	entry->unanswered_ms = JJ_MS_NEVER;
	entry->granted_ms = JJ_MS_NEVER;
	entry->share_ms = JJ_MS_NEVER;
	entry->asked_ms = now;
	(void)g_hash_table_insert(allowance->teams, &entry->team, entry);
	return entry;
}

/** @param basis set to what the decision rests on. */
static bool
decide(jj_allowance_t *allowance, team_t *entry,
    const jj_allowance_limit_t *limit, uint32_t vms, bool home_reachable,
    jj_ms_t now, const char **basis)
{
	if (now < entry->credit_until_ms && entry->total < entry->credit_end) {
		*basis = "credit";
		return true;
	}
	if (!home_reachable || is_home_lost(entry, now)) {
		*basis = "share";
		return admits_share(allowance, entry, limit, vms, now);
	}
	if (now < entry->metered_until_ms) {
		*basis = "metered";
		return next_random(allowance) % JJ_TEAM_SHARE_UNIT <
		    entry->admit_ppm;
	}
	*basis = "trust";
	if (entry->trust_end == 0)
		entry->trust_end = entry->total + TRUST_MIN +
		    (uint64_t)(jj_allowance_window_limit(limit) /
			(TRUST_DIVISOR * (double)(vms > 0 ? vms : 1)));
	return entry->total < entry->trust_end;
}

/**
 * True while this VM's requests of the window are within its share, as it was
 * when the home was last reached. A part of a request is rounded at random, so
 * that the VMs together admit what the limit allows.
 */
static bool
admits_share(jj_allowance_t *allowance, team_t *entry,
    const jj_allowance_limit_t *limit, uint32_t vms, jj_ms_t now)
{
	double most;

	if (entry->granted_ms == JJ_MS_NEVER)
		entry->share = UNKNOWN_SHARE / (vms > 0 ? vms : 1);
	entry->share = share_at(entry, now);
	entry->share_ms = JJ_MS_NEVER;
	most = jj_allowance_window_limit(limit) * entry->share *
		JJ_ALLOWANCE_DIVIDED_FACTOR +
	    SHARE_EXTRA / (vms > 0 ? vms : 1);
	if (now >= entry->rounding_until_ms) {
		entry->rounding_until_ms = now + SHARE_ROUND_MS;
		entry->rounding =
		    (double)(next_random(allowance) % JJ_TEAM_SHARE_UNIT) /
		    JJ_TEAM_SHARE_UNIT;
	}
	return jj_usage_window_sum(&entry->window, now) <
	    (uint32_t)(most + entry->rounding);
}

/**
 * A share is that of a VM which has just had a request. It decays, as the use
 * that the home counts does; so the shares of all VMs add up to one.
 */
static double
share_at(const team_t *entry, jj_ms_t now)
{
	/* It does not decay while the home leaves reports unanswered. */
	if (now > entry->unanswered_ms)
		now = entry->unanswered_ms;
	if (entry->share_ms == JJ_MS_NEVER)
		return entry->share;
	return entry->share *
	    exp(-(double)(now - entry->share_ms) / JJ_ALLOWANCE_SHARE_MS);
}

static bool
is_home_lost(const team_t *entry, jj_ms_t now)
{
	return entry->unanswered_ms != JJ_MS_NEVER &&
	    now - entry->unanswered_ms >= HOME_TIMEOUT_MS;
}

/**
 * Between once and twice the time, so that callers don't return together; at
 * least the time until the next credit.
 */
static jj_ms_t
spread(jj_allowance_t *allowance, jj_ms_t ms)
{
	if (ms < REPORT_METERED_MS)
		ms = REPORT_METERED_MS;
	return ms + (jj_ms_t)(next_random(allowance) % (uint64_t)ms);
}

static uint64_t
next_random(jj_allowance_t *allowance)
{
	allowance->random = jj_hash_bytes(
	    &allowance->random, sizeof(allowance->random), allowance->random);
	return allowance->random;
}

static bool
is_report_due(const team_t *entry, jj_ms_t now)
{
	jj_ms_t age = entry->report_ms == JJ_MS_NEVER ? REPORT_MAX_MS
						      : now - entry->report_ms;

	if (entry->asked == 0)
		return false;
	if (age >= REPORT_MAX_MS)
		return true;
	if (now < entry->metered_until_ms ||
	    entry->unanswered_ms != JJ_MS_NEVER)
		return age >= REPORT_METERED_MS;
	return entry->reports_soon && age >= REPORT_MIN_MS;
}

static void
fill_report(
    team_t *entry, const jj_name_t *home, jj_ms_t now, jj_team_use_t *use)
{
	memset(use, 0, sizeof(*use));
	use->team = entry->team;
	use->total = entry->total;
	use->recent = jj_usage_window_sum(&entry->window, now);
	use->asked = entry->asked;
	use->elapsed_ms = entry->report_ms == JJ_MS_NEVER
	    ? REPORT_MAX_MS
	    : (uint32_t)(now - entry->report_ms);
	use->share = (uint32_t)(share_at(entry, now) * JJ_TEAM_SHARE_UNIT);
	use->moved = !jj_name_is_empty(&entry->home) &&
	    !jj_name_equal(&entry->home, home);
	if (use->moved)
		entry->unanswered_ms = JJ_MS_NEVER;
	entry->home = *home;
	entry->reported = entry->total;
	entry->asked = 0;
	entry->report_ms = now;
	entry->reports_soon = false;
	if (entry->unanswered_ms == JJ_MS_NEVER)
		entry->unanswered_ms = now;
}
