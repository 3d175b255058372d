/**
 * @file inline_watchdog.c
 * @brief Reports open jobs that make no progress, and what each waits for.
 *
 * Diagnostics only: no decision depends on the state kept here. Logs at most
 * two lines a second, one for a job of this VM and one for an entry without a
 * live owner, each time the one that was reported longest ago. The gauges count
 * all of them.
 */
#include <stdio.h>
#include <string.h>

#include "core/inline_state.h"

/**
 * Interval of the watchdog, ms; each run logs at most one line of each kind.
 */
#define REPORT_MS 1000
/**
 * A job without progress, or an entry without a live owner, is reported after
 * this, ms.
 */
#define STALL_MS 3000

/** Items of a run by state. */
typedef struct {
	uint32_t idle;
	/** Of the idle ones, those that wait for a retry. */
	uint32_t backing_off;
	uint32_t started;
	uint32_t sent; /**< of the started ones, those at a server */
	uint32_t finished;
	uint64_t mark; /**< hash that changes with each step of an item */
} item_counts_t;

static void watch_runs(jj_inline_t *, jj_ms_t, jj_actions_t *);
static void watch_entries(jj_inline_t *, jj_ms_t, jj_actions_t *);
static bool
has_stalled(jj_inline_t *, jj_inline_run_t *, jj_ms_t, item_counts_t *);
static bool is_ownerless(jj_inline_t *, jj_open_entry_t *, jj_ms_t);
static void count_items(
    const jj_inline_t *, const jj_inline_run_t *, jj_ms_t, item_counts_t *);
static void hash_progress(item_counts_t *, uint64_t);
static void
report_run(jj_inline_t *, jj_inline_run_t *, jj_ms_t, jj_actions_t *);
static void
report_entry(jj_inline_t *, jj_open_entry_t *, jj_ms_t, jj_actions_t *);
static const char *
name_wait(const jj_inline_t *, const jj_inline_run_t *, const item_counts_t *);
static const char *name_write(const jj_inline_t *, const jj_inline_run_t *);
static const char *
name_obstacle(jj_inline_t *, const jj_open_entry_t *, jj_ms_t);

void
jj_inline_step_watchdog(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	if (now < jobs->next_report_ms)
		return;
	jobs->next_report_ms = now + REPORT_MS;
	watch_runs(jobs, now, out);
	watch_entries(jobs, now, out);
}

jj_inline_health_t
jj_inline_health(const jj_inline_t *jobs)
{
	return jobs->health;
}

void
jj_inline_note_route(jj_inline_run_t *run, const jj_route_t *route, jj_ms_t now,
    jj_actions_t *out)
{
	bool waits = run->no_route_ms != JJ_MS_NEVER;

	if (waits == (route == NULL))
		return;
	jj_actions_add_event(out,
	    route == NULL ? "job_lacks_route" : "job_found_route",
	    "job=%s host=%s path=%.60s items=%zu shown=%u waited_ms=%lld",
	    run->id, run->job.host, run->job.path, run->job.item_count,
	    run->published, waits ? (long long)(now - run->no_route_ms) : 0LL);
	run->no_route_ms = route == NULL ? now : JJ_MS_NEVER;
}

static void
watch_runs(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_run_t *chosen = NULL;
	jj_inline_run_t *run;
	item_counts_t counts;

	jobs->health.stalled = 0;
	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		if (!has_stalled(jobs, run, now, &counts))
			continue;
		jobs->health.stalled++;
		if (chosen == NULL || run->reported_ms < chosen->reported_ms)
			chosen = run;
	}
	if (chosen != NULL)
		report_run(jobs, chosen, now, out);
}

static void
watch_entries(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jj_open_entry_t *chosen = NULL;
	jj_open_entry_t *entry;

	jobs->health.ownerless = 0;
	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		if (!is_ownerless(jobs, entry, now))
			continue;
		jobs->health.ownerless++;
		if (chosen == NULL || entry->reported_ms < chosen->reported_ms)
			chosen = entry;
	}
	if (chosen != NULL)
		report_entry(jobs, chosen, now, out);
}

static bool
has_stalled(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now, item_counts_t *counts)
{
	count_items(jobs, run, now, counts);
	if (run->progress_ms == 0 || counts->mark != run->progress_mark ||
	    counts->sent > 0 || run->state == JJ_RUN_CLOSED) {
		run->progress_mark = counts->mark;
		run->progress_ms = now;
	}
	return now - run->progress_ms >= STALL_MS;
}

static bool
is_ownerless(jj_inline_t *jobs, jj_open_entry_t *entry, jj_ms_t now)
{
	if (strcmp(entry->owner, jobs->settings.writer) == 0 ||
	    (entry->owner[0] != '\0' &&
		jobs->port.is_live(jobs->port.ctx, entry->owner))) {
		entry->ownerless_ms = 0;
		return false;
	}
	if (entry->ownerless_ms == 0)
		entry->ownerless_ms = now;
	return now - entry->ownerless_ms >= STALL_MS;
}

static void
count_items(const jj_inline_t *jobs, const jj_inline_run_t *run, jj_ms_t now,
    item_counts_t *counts)
{
	uint32_t attempts;
	size_t i;

	memset(counts, 0, sizeof(*counts));
	hash_progress(counts, (uint64_t)run->state);
	hash_progress(counts, run->load.next_part);
	hash_progress(counts, run->published);
	for (i = 0; run->items != NULL && i < run->job.item_count; i++) {
		const jj_inline_item_run_t *item = &run->items[i];

		hash_progress(counts, (uint64_t)item->state);
		hash_progress(counts, item->failures);
		counts->idle += item->state == JJ_ITEM_IDLE;
		counts->backing_off +=
		    item->state == JJ_ITEM_IDLE && now < item->retry_at_ms;
		counts->finished += item->state == JJ_ITEM_FINISHED;
		if (item->state != JJ_ITEM_STARTED)
			continue;
		counts->started++;
		attempts = 0;
		counts->sent += jobs->port.is_item_sent(
		    jobs->port.ctx, item->request, &attempts);
		hash_progress(counts, attempts);
	}
}

static void
hash_progress(item_counts_t *counts, uint64_t value)
{
	counts->mark = jj_hash_bytes(&value, sizeof(value), counts->mark);
}

static void
report_run(
    jj_inline_t *jobs, jj_inline_run_t *run, jj_ms_t now, jj_actions_t *out)
{
	static const char *const states[] = {
	    "loading", "catching_up", "running", "closing", "closed"};
	item_counts_t counts;

	count_items(jobs, run, now, &counts);
	run->reported_ms = now;
	jj_actions_add_event(out, "job_stalled",
	    "job=%s state=%s awaits=%s idle=%u begun=%u finished=%u shown=%u "
	    "ended=%d leaves=%d failures=%u for_ms=%lld stalled=%u",
	    run->id, states[run->state], name_wait(jobs, run, &counts),
	    counts.idle, counts.started, counts.finished, run->published,
	    run->ended, run->handing_over,
	    run->load.call.failures + run->write.failures + run->close.failures,
	    (long long)(now - run->progress_ms), jobs->health.stalled);
}

static void
report_entry(
    jj_inline_t *jobs, jj_open_entry_t *entry, jj_ms_t now, jj_actions_t *out)
{
	entry->reported_ms = now;
	jj_actions_add_event(out, "job_ownerless",
	    "job=%s owner=%s blocked_by=%s lost_for_ms=%lld for_ms=%lld "
	    "ownerless=%u",
	    entry->id, entry->owner, name_obstacle(jobs, entry, now),
	    entry->lost_ms == JJ_MS_NEVER ? -1LL
					  : (long long)(now - entry->lost_ms),
	    (long long)(now - entry->ownerless_ms), jobs->health.ownerless);
}

/** Names what the run's next step waits for. */
static const char *
name_wait(const jj_inline_t *jobs, const jj_inline_run_t *run,
    const item_counts_t *counts)
{
	switch (run->state) {
	case JJ_RUN_LOADING:
		return run->absent_ms != JJ_MS_NEVER ? "absent_job"
						     : "job_read";
	case JJ_RUN_CLOSING:
		return run->handing_over ? "entry_release" : "entry_delete";
	case JJ_RUN_REOPENING:
		return "entry_create";
	case JJ_RUN_CATCHING_UP:
		return name_write(jobs, run);
	default:
		break;
	}
	if (run->write.token != 0 || run->write.failures > 0 ||
	    run->reads_back || run->entry_missing || run->ended ||
	    counts->finished > 0)
		return name_write(jobs, run);
	if (jobs->port.find_route(
		jobs->port.ctx, run->job.host, run->job.path) == NULL)
		return "route";
	if (counts->started > 0)
		return "server";
	return counts->backing_off > 0 ? "rest" : "begin";
}

static const char *
name_write(const jj_inline_t *jobs, const jj_inline_run_t *run)
{
	if (run->reads_back || run->entry_missing)
		return "results_read";
	if (run->write.token == 0 && !jj_inline_is_verified(jobs))
		return "certainty";
	return run->needs_fence ? "fence_write" : "results_write";
}

/**
 * Names why this VM does not take the entry over; checks in the order of
 * check_entry().
 */
static const char *
name_obstacle(jj_inline_t *jobs, const jj_open_entry_t *entry, jj_ms_t now)
{
	if (jobs->leaving)
		return "leaving";
	if (!jobs->mirror.listed)
		return "list_not_read";
	if (!jj_mirror_is_current(&jobs->mirror))
		return "list_not_current";
	if (entry->token != 0)
		return "write_under_way";
	if (now < entry->retry_ms)
		return "write_failed";
	if (jobs->port.rank(jobs->port.ctx, entry->id, 1) > 0)
		return "not_chosen";
	return entry->owner[0] == '\0' ? "look" : "owner_not_lost_yet";
}
