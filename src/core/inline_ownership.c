/**
 * @file inline_ownership.c
 * @brief Verifies that the jobs that this VM runs are still its own.
 *
 * Other VMs take a job over when they receive no heartbeat from its VM for a
 * while. Heartbeats acknowledge each other, so a VM that receives those of all
 * others knows that they received its own. Only while heartbeats of some VM are
 * missing, and until the list of open entries was checked after that, another
 * VM may run its jobs and publish results that this one does not know.
 * Meanwhile this VM checks the list periodically, and what it knows is valid
 * for a short time after each check.
 */
#include <stdio.h>

#include "core/inline_state.h"

/**
 * A check of the list is valid for this long while heartbeats are missing, ms.
 */
#define CHECK_VALID_MS 800
/**
 * A write that is pending for longer may have taken effect unseen, ms; it
 * usually takes a few ms. Reports are valid for state_fresh_ms, and both
 * together must stay within the second in which positions that were read at one
 * VM have to be known at all.
 */
#define WRITE_PENDING_MAX_MS 100
/** Interval of checks meanwhile, ms. */
#define CHECK_INTERVAL_MS 400

bool
jj_inline_is_verified(const jj_inline_t *jobs)
{
	return jobs->checked_ms >= jobs->foreign_write_ms &&
	    jobs->checked_ms + CHECK_VALID_MS >= jobs->heartbeat_missing_ms;
}

/**
 * A write that takes long may have taken effect while its answer is delayed or
 * lost: readers at the platform then see more than this VM knows. A job that a
 * stopping VM released before it was loaded has total 0: it must not be
 * reported as one without items.
 */
bool
jj_inline_is_current(const jj_inline_t *jobs, const jj_inline_run_t *run)
{
	bool is_write_late = run->write.token != 0 &&
	    jobs->now_ms - run->write_sent_ms > WRITE_PENDING_MAX_MS;

	return run->segment.total > 0 && !is_write_late && !run->reads_back &&
	    !run->needs_fence && !run->entry_missing &&
	    jj_inline_is_verified(jobs);
}

void
jj_inline_require_check(jj_inline_t *jobs)
{
	jobs->foreign_write_ms = jobs->now_ms;
}

void
jj_inline_step_check(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call;

	if (TAILQ_EMPTY(&jobs->runs))
		return;
	if (jobs->port.misses_any_heartbeat(jobs->port.ctx))
		jobs->heartbeat_missing_ms = now;
	if (jobs->check.token != 0 || !jobs->mirror.listed ||
	    now - jobs->check_ms < CHECK_INTERVAL_MS ||
	    (jobs->checked_ms >= jobs->heartbeat_missing_ms &&
		jobs->checked_ms >= jobs->foreign_write_ms))
		return;
	/* A watch without a wait: returns all changes up to now. */
	call = jj_inline_start_call(jobs, &jobs->check, JJ_PLATFORM_WATCH, out);
	jobs->check_ms = now;
	call->version = jobs->mirror.since;
	(void)snprintf(call->key, sizeof(call->key), "%s", JJ_INLINE_OPEN);
}

bool
jj_inline_take_check(jj_inline_t *jobs, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	if (result->token == 0 || result->token != jobs->check.token)
		return false;
	jj_inline_end_call(&jobs->check);
	if (!jj_mirror_take_check(&jobs->mirror, result, now))
		return true;
	jobs->checked_ms = jobs->check_ms;
	jobs->next_scan_ms = now;
	jj_inline_scan_open(jobs, now, out);
	return true;
}
