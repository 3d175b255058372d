/**
 * @file job.c
 * @brief The job operations under way: results of their calls, timers.
 */
#include "core/job.h"

#include <stdlib.h>

#include "core/job_operation.h"

jj_jobs_t *
jj_jobs_create(const jj_jobs_settings_t *settings)
{
	jj_jobs_t *jobs = jj_alloc(sizeof(*jobs));

	jobs->settings = *settings;
	jj_operations_seed(&jobs->operations, settings->seed);
	TAILQ_INIT(&jobs->under_way);
	return jobs;
}

void
jj_jobs_destroy(jj_jobs_t *jobs)
{
	if (jobs == NULL)
		return;
	while (!TAILQ_EMPTY(&jobs->under_way))
		jj_job_operation_free(jobs, TAILQ_FIRST(&jobs->under_way));
	free(jobs);
}

/*
 * A result may come after its operation has ended. Tokens are never reused, so
 * it is ignored and can't reach a later operation.
 */
void
jj_jobs_take_result(jj_jobs_t *jobs, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	jj_job_operation_t *operation;

	TAILQ_FOREACH(operation, &jobs->under_way, link)
	{
		if (operation->token == result->token) {
			jj_job_operation_take_result(
			    jobs, operation, result, now, out);
			return;
		}
	}
}

void
jj_jobs_tick(jj_jobs_t *jobs, jj_ms_t now, jj_actions_t *out)
{
	jj_job_operation_t *operation;
	jj_job_operation_t *next;

	for (operation = TAILQ_FIRST(&jobs->under_way); operation != NULL;
	     operation = next) {
		next = TAILQ_NEXT(operation, link);
		jj_job_operation_tick(jobs, operation, now, out);
	}
}

jj_ms_t
jj_jobs_next(const jj_jobs_t *jobs)
{
	const jj_job_operation_t *operation;
	jj_ms_t next = JJ_MS_NEVER;

	TAILQ_FOREACH(operation, &jobs->under_way, link)
	{
		jj_ms_t at = operation->deadline;

		if (!operation->in_flight && operation->retry.at < at)
			at = operation->retry.at;
		if (at < next)
			next = at;
	}
	return next;
}
