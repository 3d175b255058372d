/**
 * @file inline_peer_states.c
 * @brief Reports of other VMs about the jobs that they run.
 *
 * A VM that runs jobs reports a few times a second how many results of each are
 * published and how many tokens still wait. So readers at other VMs need no
 * platform call while nothing is new, and the token limit of a submission
 * counts what still waits, not all that was accepted.
 */
#include <stdlib.h>
#include <string.h>

#include "core/inline_state.h"

/** Reports are dropped after state_fresh_ms times this. */
#define KEEP_FACTOR 4
/** Reports count for the token limit for this many of their intervals. */
#define TOKENS_FACTOR 2

static jj_peer_state_t *find(const jj_inline_t *, uint64_t);
static void store_state(
    jj_inline_t *, const jj_name_t *, const jj_job_progress_t *, jj_ms_t);
static void drop_old(jj_inline_t *, jj_ms_t);
static jj_ms_t tokens_valid_ms(const jj_inline_t *);

uint64_t
jj_inline_hash(const char *text)
{
	return jj_hash_bytes(text, strlen(text), 0);
}

uint32_t
jj_inline_list_states(
    const jj_inline_t *jobs, jj_job_progress_t *states, uint32_t max_count)
{
	const jj_inline_run_t *run;
	uint32_t count = 0;

	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		if (!jj_inline_is_current(jobs, run) ||
		    (run->state != JJ_RUN_RUNNING &&
			run->state != JJ_RUN_CLOSING))
			continue;
		if (count >= max_count) {
			count++;
			continue;
		}
		states[count].job = jj_inline_hash(run->id);
		states[count].route = jj_inline_hash(run->route.text);
		states[count].tokens = jj_inline_run_tokens(run);
		states[count].total = run->segment.total;
		states[count].shown = run->published;
		count++;
	}
	return count;
}

void
jj_inline_take_states(jj_inline_t *jobs, const jj_name_t *vm,
    const jj_job_progress_t *states, uint32_t count, jj_ms_t written,
    jj_ms_t now, jj_actions_t *out)
{
	jj_inline_op_t *op;
	jj_inline_op_t *next;
	uint32_t i;

	for (i = 0; i < count; i++)
		store_state(jobs, vm, &states[i], written);
	drop_old(jobs, now);
	for (op = TAILQ_FIRST(&jobs->ops); op != NULL; op = next) {
		next = TAILQ_NEXT(op, link);
		if (op->kind == JJ_OP_READ)
			jj_inline_step_op(jobs, op, now, out);
	}
}

const jj_peer_state_t *
jj_inline_find_peer_state(const jj_inline_t *jobs, const char *id, jj_ms_t now)
{
	const jj_peer_state_t *peer_state = find(jobs, jj_inline_hash(id));

	if (peer_state == NULL ||
	    now - peer_state->reported_at_ms > jobs->settings.state_fresh_ms)
		return NULL;
	return peer_state;
}

const jj_peer_state_t *
jj_inline_find_old_peer_state(const jj_inline_t *jobs, const char *id)
{
	return find(jobs, jj_inline_hash(id));
}

bool
jj_inline_is_reported(const jj_inline_t *jobs, const char *id, jj_ms_t now)
{
	const jj_peer_state_t *peer_state = find(jobs, jj_inline_hash(id));

	return peer_state != NULL &&
	    now - peer_state->reported_at_ms <= tokens_valid_ms(jobs);
}

void
jj_inline_set_intervals(jj_inline_t *jobs, jj_ms_t report_ms, jj_ms_t skew_ms)
{
	jobs->report_interval_ms = report_ms;
	jobs->silence_skew_ms = skew_ms;
}

uint64_t
jj_inline_peer_tokens(
    const jj_inline_t *jobs, const jj_name_t *route, jj_ms_t now)
{
	uint64_t hash = jj_inline_hash(route->text);
	const jj_peer_state_t *peer_state;
	uint64_t tokens = 0;

	TAILQ_FOREACH(peer_state, &jobs->peer_states, link)
	{
		if (peer_state->state.route == hash &&
		    now - peer_state->reported_at_ms <= tokens_valid_ms(jobs))
			tokens += peer_state->state.tokens;
	}
	return tokens;
}

void
jj_inline_clear_peer_states(jj_inline_t *jobs)
{
	jj_peer_state_t *peer_state;

	while ((peer_state = TAILQ_FIRST(&jobs->peer_states)) != NULL) {
		TAILQ_REMOVE(&jobs->peer_states, peer_state, link);
		free(peer_state);
	}
}

static jj_peer_state_t *
find(const jj_inline_t *jobs, uint64_t job)
{
	jj_peer_state_t *peer_state;

	TAILQ_FOREACH(peer_state, &jobs->peer_states, link)
	{
		if (peer_state->state.job == job)
			return peer_state;
	}
	return NULL;
}

/**
 * A VM that has lost its job and does not know it yet still reports the number
 * of results published when it lost it. The larger number counts, as published
 * results only grow.
 */
static void
store_state(jj_inline_t *jobs, const jj_name_t *vm,
    const jj_job_progress_t *state, jj_ms_t written)
{
	jj_peer_state_t *peer_state = find(jobs, state->job);
	uint32_t published = 0;

	if (peer_state == NULL) {
		peer_state = jj_alloc(sizeof(*peer_state));
		TAILQ_INSERT_TAIL(&jobs->peer_states, peer_state, link);
	}
	published = peer_state->state.shown;
	peer_state->state = *state;
	if (published > state->shown)
		peer_state->state.shown = published;
	if (peer_state->reported_at_ms == 0 ||
	    written > peer_state->reported_at_ms) {
		peer_state->reported_at_ms = written;
		peer_state->vm = *vm;
	}
}

static jj_ms_t
tokens_valid_ms(const jj_inline_t *jobs)
{
	jj_ms_t valid_ms = TOKENS_FACTOR * jobs->report_interval_ms;

	return valid_ms > jobs->settings.state_fresh_ms
	    ? valid_ms
	    : jobs->settings.state_fresh_ms;
}

static void
drop_old(jj_inline_t *jobs, jj_ms_t now)
{
	jj_ms_t keep_ms = KEEP_FACTOR * jobs->settings.state_fresh_ms;
	jj_peer_state_t *peer_state;
	jj_peer_state_t *next;

	for (peer_state = TAILQ_FIRST(&jobs->peer_states); peer_state != NULL;
	     peer_state = next) {
		next = TAILQ_NEXT(peer_state, link);
		if (now - peer_state->reported_at_ms <= keep_ms ||
		    now - peer_state->reported_at_ms <= tokens_valid_ms(jobs))
			continue;
		TAILQ_REMOVE(&jobs->peer_states, peer_state, link);
		free(peer_state);
	}
}
