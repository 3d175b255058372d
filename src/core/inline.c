/**
 * @file inline.c
 * @brief Batch jobs submitted whole in one request: entry points and ticks.
 */
#include <stdlib.h>
#include <string.h>

#include "core/inline_state.h"

static void step_runs(jj_inline_t *, jj_ms_t, jj_actions_t *);
static void step_ops(jj_inline_t *, jj_ms_t, jj_actions_t *);

jj_inline_t *
jj_inline_create(
    const jj_inline_settings_t *settings, const jj_inline_port_t *port)
{
	jj_inline_t *jobs = jj_alloc(sizeof(*jobs));

	jobs->settings = *settings;
	jobs->port = *port;
	TAILQ_INIT(&jobs->runs);
	TAILQ_INIT(&jobs->ops);
	TAILQ_INIT(&jobs->peer_states);
	jj_inline_end_call(&jobs->check);
	jj_inline_init_open(jobs);
	return jobs;
}

void
jj_inline_destroy(jj_inline_t *jobs)
{
	jj_inline_run_t *run;
	jj_inline_op_t *op;

	if (jobs == NULL)
		return;
	while ((run = TAILQ_FIRST(&jobs->runs)) != NULL)
		jj_inline_drop_run(jobs, run);
	while ((op = TAILQ_FIRST(&jobs->ops)) != NULL)
		jj_inline_free_op(jobs, op);
	jj_inline_clear_open(jobs);
	jj_inline_clear_peer_states(jobs);
	free(jobs);
}

void
jj_inline_abandon(jj_inline_t *jobs, uint64_t operation)
{
	jj_inline_op_t *op;

	TAILQ_FOREACH(op, &jobs->ops, link)
	{
		if (op->operation == operation)
			op->abandoned = true;
	}
}

void
jj_inline_take_ended(
    jj_inline_t *jobs, const char *id, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_run_t *run = jj_inline_find_run(jobs, id);

	if (run == NULL || run->state == JJ_RUN_CLOSED)
		return;
	jj_inline_end_run(run, jobs, now);
	jj_inline_step_run(jobs, run, now, out);
}

void
jj_inline_take_result(jj_inline_t *jobs, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_inline_run_t *run;
	jj_inline_run_t *next_run;
	jj_inline_op_t *op;
	jj_inline_op_t *next_op;
	bool was_listed = jj_inline_is_listed(jobs);

	jobs->now_ms = now;
	if (jj_mirror_take_result(&jobs->mirror, result, now, out)) {
		jobs->next_scan_ms = now;
		jj_inline_scan_open(jobs, now, out);
		/* Jobs that waited for the list can be decided now. */
		if (!was_listed && jj_inline_is_listed(jobs))
			step_ops(jobs, now, out);
		return;
	}
	if (jj_inline_take_check(jobs, result, now, out) ||
	    jj_inline_take_takeover(jobs, result, now, out))
		return;
	for (run = TAILQ_FIRST(&jobs->runs); run != NULL; run = next_run) {
		next_run = TAILQ_NEXT(run, link);
		if (jj_inline_take_run_result(jobs, run, result, now, out))
			return;
	}
	for (op = TAILQ_FIRST(&jobs->ops); op != NULL; op = next_op) {
		next_op = TAILQ_NEXT(op, link);
		if (jj_inline_take_op_result(jobs, op, result, now, out))
			return;
	}
}

void
jj_inline_tick(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jobs->now_ms = now;
	jj_mirror_set_active(&jobs->mirror, true, now);
	jj_inline_step_check(jobs, now, out);
	jj_mirror_tick(&jobs->mirror, now, out);
	jj_inline_scan_open(jobs, now, out);
	step_runs(jobs, now, out);
	step_ops(jobs, now, out);
	jj_inline_step_watchdog(jobs, now, out);
}

jj_ms_t
jj_inline_next(const jj_inline_t *jobs)
{
	jj_ms_t next = jj_mirror_next(&jobs->mirror);
	const jj_inline_run_t *run;
	const jj_inline_op_t *op;
	jj_ms_t at;

	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		at = jj_inline_run_next(run);
		next = at < next ? at : next;
	}
	TAILQ_FOREACH(op, &jobs->ops, link)
	{
		at = jj_inline_op_next(op);
		next = at < next ? at : next;
	}
	return next;
}

void
jj_inline_leave(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jobs->leaving = true;
	step_runs(jobs, now, out);
}

bool
jj_inline_is_idle(const jj_inline_t *jobs)
{
	const jj_open_entry_t *entry;
	const jj_inline_run_t *run;

	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		if (run->state != JJ_RUN_CLOSED)
			return false;
	}
	/* A pending takeover may make this VM the owner of a job. */
	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		if (entry->token != 0)
			return false;
	}
	return TAILQ_EMPTY(&jobs->ops);
}

jj_inline_counts_t
jj_inline_counts(const jj_inline_t *jobs)
{
	jj_inline_counts_t counts = jobs->counts;
	const jj_open_entry_t *entry;
	const jj_inline_run_t *run;
	const jj_inline_op_t *op;

	TAILQ_FOREACH(run, &jobs->runs, link)
	{
		counts.running += run->state != JJ_RUN_CLOSED;
	}
	TAILQ_FOREACH(entry, &jobs->open, link)
	{
		counts.open++;
	}
	TAILQ_FOREACH(op, &jobs->ops, link)
	{
		counts.operations++;
	}
	return counts;
}

static void
step_runs(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_run_t *run;
	jj_inline_run_t *next;

	for (run = TAILQ_FIRST(&jobs->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, link);
		if (jobs->leaving && !run->handing_over)
			jj_inline_hand_over_run(jobs, run, now);
		jj_inline_step_run(jobs, run, now, out);
	}
}

static void
step_ops(jj_inline_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_op_t *op;
	jj_inline_op_t *next;

	for (op = TAILQ_FIRST(&jobs->ops); op != NULL; op = next) {
		next = TAILQ_NEXT(op, link);
		jj_inline_step_op(jobs, op, now, out);
	}
}
