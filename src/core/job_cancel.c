/**
 * @file job_cancel.c
 * @brief Cancels a job by a compare-and-swap update of its object.
 */
#include <string.h>

#include "core/job_operation.h"

static void take_result(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_job(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_actions_t *);

void
jj_jobs_cancel(jj_jobs_t *jobs, uint64_t number, const char *id, jj_ms_t now,
    jj_actions_t *out)
{
	jj_job_operation_t *operation =
	    jj_job_operation_begin(jobs, number, take_result, now);

	if (!jj_object_id_is_valid(id)) {
		jj_job_operation_refuse(
		    jobs, operation, 404, "job_unknown", "no such job", out);
		return;
	}
	memcpy(operation->id, id, sizeof(operation->id));
	jj_job_operation_read(operation, out);
}

/*
 * The cancel is answered once it is durable. From then on any worker that
 * claims or takes over a chunk reads the job as cancelled before it starts an
 * item.
 */
static void
take_result(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	(void)now;
	if (result->op == JJ_PLATFORM_GET)
		take_job(jobs, operation, result, out);
	else if (result->outcome == JJ_PLATFORM_OK)
		jj_job_operation_answer_job(jobs, operation, out);
	else
		jj_job_operation_read(operation, out);
}

/*
 * A cancelled or completed job is answered unchanged. That covers a repeated
 * cancel, a cancel whose answer was lost, and a completion that came first.
 * The update is conditional on the version that was read as running, so that
 * a completed job never becomes cancelled, nor a cancelled one completed.
 */
static void
take_job(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_job_t *job = &operation->job;

	if (result->outcome == JJ_PLATFORM_ABSENT) {
		jj_job_operation_refuse(
		    jobs, operation, 404, "job_unknown", "no such job", out);
		return;
	}
	if (!jj_job_operation_decode(jobs, operation, result, out))
		return;
	if (job->state == JJ_JOB_CANCELLED || job->state == JJ_JOB_COMPLETED) {
		jj_job_operation_answer_job(jobs, operation, out);
		return;
	}
	job->state = JJ_JOB_CANCELLED;
	jj_operations_next_text(&jobs->operations, job->operation);
	jj_job_operation_write(jobs, operation, JJ_PLATFORM_UPDATE, out);
}
