/**
 * @file allowance_home.c
 * @brief Counts a team's requests over all VMs and grants credits.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/team/allowance_home.h"

/**
 * The limit that the home keeps is a little above the team's, as counts are
 * rounded up to whole slices of the window.
 */
#define LIMIT_FACTOR 1.05
/** Requests beyond that: a small team's few requests come unevenly. */
#define LIMIT_EXTRA 6
/** The same for each side of a network cut. */
#define SIDE_EXTRA 4
/** The same for a process that has just started. */
#define START_EXTRA 4
/** A credit covers the requests of this time, ms. */
#define CREDIT_MS 1000
/**
 * A team is metered from this part of its limit on, gets its rate at the
 * target, and twice its rate where metering begins.
 */
#define METERED_PART 0.8
#define METERED_TARGET 0.92
/** The same while requests of some VMs, or before the start, are unknown. */
#define CAREFUL_PART 0.65
#define CAREFUL_TARGET 0.8
/** A credit is at most the remaining limit divided by this. */
#define CREDIT_DIVISOR 4
/** Requests a second are counted over so many slices of the window. */
#define DEMAND_SLICES 5
/** After a start or a cut, a home is careful for this time, ms. */
#define CAREFUL_MS (2 * JJ_USAGE_WINDOW_MS)
/** Reports of all VMs have come within this time, ms. */
#define REPORTS_MS 1200
/** Notices that a team is metered are repeated after this time, ms. */
#define NOTICE_MS 1000
/** The same when the probability has dropped to half, ms. */
#define NOTICE_DROP_MS 100
/** VMs and teams without reports for so long are forgotten, ms. */
#define FORGET_MS 60000

/** A VM that reports about a team. */
typedef struct {
	jj_name_t name;
	uint64_t total;
	uint64_t granted_end; /**< its credit ends at this total */
	jj_ms_t granted_until_ms;
	double demand; /**< requests a second that it is asked for */
	jj_usage_window_t window; /**< requests that it admitted */
	double use; /**< its requests, decaying with JJ_ALLOWANCE_SHARE_MS */
	uint32_t share;
	/** its share when VMs became unreachable, or at its first report */
	double kept_share;
	jj_ms_t report_ms;
} vm_t;

typedef struct {
	uint64_t team;
	jj_usage_window_t window; /**< admitted requests of all VMs */
	jj_usage_window_t asked; /**< also refused ones */
	GHashTable *vms; /**< vm_t by name */
	jj_ms_t since_ms;
	jj_ms_t report_ms;
	jj_ms_t notice_ms; /**< last notice; JJ_MS_NEVER: none */
	uint32_t notice_ppm; /**< probability in it */
	bool metered;
	bool moved; /**< another VM was its home before */
	bool divided; /**< some VMs are unreachable */
	/** not all requests of the window are known before */
	jj_ms_t careful_until_ms;
	/** part of the limit that the reachable VMs have while divided */
	double part;
} team_t;

struct jj_allowance_home {
	jj_allowance_home_port_t port;
	jj_ms_t started_ms;
	GHashTable *teams; /**< team_t by hash */
	jj_ms_t next_scan_ms;
};

static team_t *find_team(jj_allowance_home_t *, const jj_team_use_t *, jj_ms_t);
static void free_team(void *);
static vm_t *
find_vm(team_t *, const jj_name_t *, const jj_team_use_t *, jj_ms_t);
static void count_report(team_t *, vm_t *, const jj_team_use_t *, jj_ms_t);
static void update_division(jj_allowance_home_t *, team_t *, jj_ms_t);
static double share_at(const vm_t *, jj_ms_t);
static uint32_t count_credits(team_t *, const vm_t *, jj_ms_t);
static uint32_t count_used(const jj_allowance_home_t *, team_t *, jj_ms_t);
static double window_limit(const jj_allowance_home_t *, const team_t *,
    const jj_allowance_limit_t *, jj_ms_t);
static double available(team_t *, const vm_t *, double, double, jj_ms_t);
static uint32_t choose_credit(const vm_t *, double);
static void update_share(team_t *, vm_t *);
static uint32_t
admit_ppm(team_t *, const jj_allowance_limit_t *, double, bool, jj_ms_t);
static uint32_t retry_ms(const jj_allowance_limit_t *, double, double);
static void
notify(jj_allowance_home_t *, team_t *, const jj_team_grant_t *, jj_ms_t);

jj_allowance_home_t *
jj_allowance_home_create(
    const jj_allowance_home_port_t *port, jj_ms_t started_ms)
{
	jj_allowance_home_t *home = jj_alloc(sizeof(*home));

	home->port = *port;
	home->started_ms = started_ms;
	home->teams =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_team);
	return home;
}

void
jj_allowance_home_destroy(jj_allowance_home_t *home)
{
	if (home == NULL)
		return;
	g_hash_table_destroy(home->teams);
	free(home);
}

bool
jj_allowance_home_take(jj_allowance_home_t *home, const jj_name_t *name,
    const jj_team_use_t *use, jj_ms_t now, jj_team_grant_t *grant)
{
	jj_allowance_limit_t limit;
	team_t *team;
	vm_t *vm;
	double most;
	double used;
	double left;
	bool is_careful;

	if (!home->port.limit_of(home->port.ctx, use->team, &limit))
		return false;
	team = find_team(home, use, now);
	vm = find_vm(team, name, use, now);
	count_report(team, vm, use, now);
	update_division(home, team, now);
	most = window_limit(home, team, &limit, now);
	used = count_used(home, team, now);
	left = available(team, vm, most, used, now);
	is_careful = now < team->careful_until_ms;
	/* Shares are estimates, so a divided team gets no credits. */
	team->metered = team->divided ||
	    used >= (is_careful ? CAREFUL_PART : METERED_PART) * most;
	update_share(team, vm);
	memset(grant, 0, sizeof(*grant));
	grant->team = use->team;
	grant->total = use->total;
	grant->credit = team->metered ? 0 : choose_credit(vm, left);
	grant->valid_ms = CREDIT_MS;
	grant->share = vm->share;
	grant->used = (uint32_t)used;
	grant->retry_ms = retry_ms(&limit, most, used);
	grant->metered = team->metered;
	grant->admit_ppm =
	    admit_ppm(team, &limit, used / most, is_careful, now);
	vm->granted_end = use->total + grant->credit;
	vm->granted_until_ms = now + grant->valid_ms;
	if (team->metered && grant->admit_ppm < JJ_TEAM_SHARE_UNIT)
		notify(home, team, grant, now);
	return true;
}

void
jj_allowance_home_tick(jj_allowance_home_t *home, jj_ms_t now)
{
	GHashTableIter teams;
	GHashTableIter vms;
	gpointer value;

	if (now < home->next_scan_ms)
		return;
	home->next_scan_ms = now + FORGET_MS / 10;
	g_hash_table_iter_init(&teams, home->teams);
	while (g_hash_table_iter_next(&teams, NULL, &value)) {
		team_t *team = value;

		if (now - team->report_ms >= FORGET_MS) {
			g_hash_table_iter_remove(&teams);
			continue;
		}
		g_hash_table_iter_init(&vms, team->vms);
		while (g_hash_table_iter_next(&vms, NULL, &value)) {
			const vm_t *vm = value;

			if (now - vm->report_ms >= FORGET_MS)
				g_hash_table_iter_remove(&vms);
		}
	}
}

void
jj_allowance_home_each(jj_allowance_home_t *home, jj_ms_t now,
    void (*take)(void *ctx, const jj_team_usage_t *usage), void *ctx)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, home->teams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		team_t *team = value;
		jj_team_usage_t usage = {team->team,
		    count_used(home, team, now), count_credits(team, NULL, now),
		    g_hash_table_size(team->vms), team->metered};

		take(ctx, &usage);
	}
}

static team_t *
find_team(jj_allowance_home_t *home, const jj_team_use_t *use, jj_ms_t now)
{
	team_t *team = g_hash_table_lookup(home->teams, &use->team);

	if (team == NULL) {
		team = jj_alloc(sizeof(*team));
		team->team = use->team;
		team->vms =
		    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
		team->since_ms = now;
		team->notice_ms = JJ_MS_NEVER;
		team->careful_until_ms = home->started_ms + CAREFUL_MS;
		(void)g_hash_table_insert(home->teams, &team->team, team);
	}
	if (use->moved && now - team->since_ms < REPORTS_MS)
		team->moved = true;
	team->report_ms = now;
	return team;
}

static void
free_team(void *data)
{
	team_t *team = data;

	g_hash_table_destroy(team->vms);
	free(team);
}

static vm_t *
find_vm(
    team_t *team, const jj_name_t *name, const jj_team_use_t *use, jj_ms_t now)
{
	vm_t *vm = g_hash_table_lookup(team->vms, name->text);

	if (vm != NULL)
		return vm;
	vm = jj_alloc(sizeof(*vm));
	vm->name = *name;
	vm->total = use->total - use->recent;
	vm->share = use->share;
	vm->kept_share = (double)use->share / JJ_TEAM_SHARE_UNIT;
	vm->report_ms = now;
	(void)g_hash_table_insert(team->vms, vm->name.text, vm);
	return vm;
}

static void
count_report(team_t *team, vm_t *vm, const jj_team_use_t *use, jj_ms_t now)
{
	double elapsed = use->elapsed_ms > 0 ? use->elapsed_ms : 1;
	/* A smaller total is of a new process. */
	bool is_same = use->total >= vm->total;
	uint64_t count = is_same ? use->total - vm->total : use->recent;

	/* Requests reported to other homes meanwhile are not all recent. */
	if (count > use->recent)
		count = use->recent;
	if (use->moved) {
		jj_usage_window_add_spread(&team->window, (uint32_t)count, now);
		jj_usage_window_add_spread(&vm->window, (uint32_t)count, now);
	} else {
		jj_usage_window_add(&team->window, (uint32_t)count, now);
		jj_usage_window_add(&vm->window, (uint32_t)count, now);
	}
	jj_usage_window_add(&team->asked, use->asked, now);
	vm->total = use->total;
	vm->granted_until_ms = 0;
	vm->use = vm->use *
		exp(-(double)(now - vm->report_ms) / JJ_ALLOWANCE_SHARE_MS) +
	    (double)use->asked;
	vm->demand = 1000 * use->asked / elapsed;
	vm->report_ms = now;
}

/** Sets the part of the limit that the VMs on this side of a cut have. */
static void
update_division(jj_allowance_home_t *home, team_t *team, jj_ms_t now)
{
	GHashTableIter iterator;
	gpointer value;
	bool begins;

	if (!home->port.misses_vms(home->port.ctx)) {
		team->divided = false;
		return;
	}
	team->careful_until_ms = now + CAREFUL_MS;
	begins = !team->divided;
	team->divided = true;
	team->part = 0;
	g_hash_table_iter_init(&iterator, team->vms);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		vm_t *vm = value;

		if (begins)
			vm->kept_share = share_at(vm, now);
		if (home->port.is_reachable(home->port.ctx, &vm->name))
			team->part += vm->kept_share;
	}
}

static double
share_at(const vm_t *vm, jj_ms_t now)
{
	return (double)vm->share / JJ_TEAM_SHARE_UNIT *
	    exp(-(double)(now - vm->report_ms) / JJ_ALLOWANCE_SHARE_MS);
}

/** Credits that VMs hold and have not reported as used. */
static uint32_t
count_credits(team_t *team, const vm_t *except, jj_ms_t now)
{
	GHashTableIter iterator;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iterator, team->vms);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const vm_t *vm = value;

		if (vm != except && now < vm->granted_until_ms &&
		    vm->granted_end > vm->total)
			count += (uint32_t)(vm->granted_end - vm->total);
	}
	return count;
}

/** Requests of the window; while divided, only those of reachable VMs. */
static uint32_t
count_used(const jj_allowance_home_t *home, team_t *team, jj_ms_t now)
{
	GHashTableIter iterator;
	gpointer value;
	uint32_t sum = 0;

	if (!team->divided)
		return jj_usage_window_sum(&team->window, now);
	g_hash_table_iter_init(&iterator, team->vms);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		vm_t *vm = value;

		if (home->port.is_reachable(home->port.ctx, &vm->name))
			sum += jj_usage_window_sum(&vm->window, now);
	}
	return sum;
}

/** Requests that the VMs of this home may admit in one window. */
static double
window_limit(const jj_allowance_home_t *home, const team_t *team,
    const jj_allowance_limit_t *limit, jj_ms_t now)
{
	double window = jj_allowance_window_limit(limit);
	double most = window * LIMIT_FACTOR + LIMIT_EXTRA;
	double part =
	    window * team->part * JJ_ALLOWANCE_DIVIDED_FACTOR + SIDE_EXTRA;
	jj_ms_t age = now - home->started_ms;
	double since_start;

	if (team->divided && team->part < 1 && part < most)
		most = part;
	/*
	 * What was admitted before this process started is not known: the team
	 * gets its rate from the start on, and no more.
	 */
	since_start = limit->rate_per_s * (double)age / 1000 +
	    limit->burst / 4 + START_EXTRA;
	if (age < JJ_USAGE_WINDOW_MS && since_start < most)
		most = since_start;
	return most;
}

/** How many more requests that VM may admit. */
static double
available(team_t *team, const vm_t *vm, double most, double used, jj_ms_t now)
{
	/* Until all VMs have reported here, each has only its share. */
	if (team->moved && now - team->since_ms < REPORTS_MS)
		return most * (double)vm->share / JJ_TEAM_SHARE_UNIT + 1 - used;
	return most - used - count_credits(team, vm, now);
}

static uint32_t
choose_credit(const vm_t *vm, double left)
{
	double want = 1.5 * vm->demand * CREDIT_MS / 1000 + 2;
	double credit = left / CREDIT_DIVISOR;

	if (credit < 1)
		return 0;
	return (uint32_t)(want < credit ? want : credit);
}

/**
 * Probability with which a request of a metered team is admitted: its rate over
 * the requests that come, corrected by how far its use is from the target.
 * @param part of the limit that is used.
 */
static uint32_t
admit_ppm(team_t *team, const jj_allowance_limit_t *limit, double part,
    bool is_careful, jj_ms_t now)
{
	double seconds = (double)(DEMAND_SLICES * JJ_USAGE_SLICE_MS +
			     now % JJ_USAGE_SLICE_MS) /
	    1000;
	double asked_per_s =
	    jj_usage_window_recent(&team->asked, DEMAND_SLICES, now) / seconds;
	double rate = limit->rate_per_s;
	double target = is_careful ? CAREFUL_TARGET : METERED_TARGET;
	double begin = is_careful ? CAREFUL_PART : METERED_PART;
	double admit = 1 + (target - part) / (target - begin);

	if (part >= 1 || admit <= 0)
		return 0;
	if (team->divided && team->part < 1)
		rate = rate * team->part +
		    1000.0 * SIDE_EXTRA / JJ_USAGE_WINDOW_MS;
	if (asked_per_s > 0)
		admit *= rate / asked_per_s;
	return admit < 1 ? (uint32_t)(admit * JJ_TEAM_SHARE_UNIT)
			 : JJ_TEAM_SHARE_UNIT;
}

static void
update_share(team_t *team, vm_t *vm)
{
	GHashTableIter iterator;
	gpointer value;
	double sum = 0;
	double part = team->divided && team->part < 1 ? team->part : 1;

	g_hash_table_iter_init(&iterator, team->vms);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const vm_t *other = value;

		sum += other->use *
		    exp(-(double)(vm->report_ms - other->report_ms) /
			JJ_ALLOWANCE_SHARE_MS);
	}
	if (sum > 0)
		vm->share =
		    (uint32_t)(JJ_TEAM_SHARE_UNIT * part * vm->use / sum);
}

/** When the team's rate has made room again. */
static uint32_t
retry_ms(const jj_allowance_limit_t *limit, double most, double used)
{
	double over = used - METERED_PART * most;
	double ms = over > 0 && limit->rate_per_s > 0
	    ? 1000 * over / limit->rate_per_s
	    : 0;

	return (uint32_t)(ms < JJ_USAGE_WINDOW_MS ? ms : JJ_USAGE_WINDOW_MS);
}

/**
 * Announces to all VMs that not all requests are admitted. Those without a request of it so far
 * would admit the first ones on trust.
 */
static void
notify(jj_allowance_home_t *home, team_t *team, const jj_team_grant_t *grant,
    jj_ms_t now)
{
	jj_team_grant_t notice = *grant;
	jj_ms_t spacing = grant->admit_ppm < team->notice_ppm / 2
	    ? NOTICE_DROP_MS
	    : NOTICE_MS;

	if (team->notice_ms != JJ_MS_NEVER && now - team->notice_ms < spacing)
		return;
	team->notice_ms = now;
	team->notice_ppm = grant->admit_ppm;
	notice.notice = true;
	notice.credit = 0;
	home->port.announce(home->port.ctx, &notice);
}
