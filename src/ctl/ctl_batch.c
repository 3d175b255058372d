/**
 * @file ctl_batch.c
 * @brief Commands on batch jobs: status, wait, cancel, list.
 */
#include <err.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "adapters/monotonic.h"
#include "ctl/ctl_batch.h"
#include "ctl/ctl_print.h"

/** Between two queries of a job's status, ms. */
#define POLL_INTERVAL_MS 500
/**
 * Consecutive failed queries before a wait ends; the VM may be replaced
 * meanwhile.
 */
#define POLL_FAILURES_MAX 60
/** Maximum number of pages of a list; each has at most 20 jobs. */
#define PAGES_MAX 500

static gint wait_limit;

static const GOptionEntry wait_options[] = {
    {"limit", 0, 0, G_OPTION_ARG_INT, &wait_limit,
	"Maximum time to wait; the job continues (default: no limit)",
	"SECONDS"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const jj_ctl_column_t job_columns[] = {
    {"ID", "id"},
    {"STATUS", "status"},
    {"TOTAL", "request_counts.total"},
    {"COMPLETED", "request_counts.completed"},
    {"FAILED", "request_counts.failed"},
    {"ENDPOINT", "endpoint"},
    {"INPUT_FILE", "input_file_id"},
    {NULL, NULL},
};

static jj_ctl_exit_t show_job(const jj_ctl_t *, char **);
static jj_ctl_exit_t wait_for_job(const jj_ctl_t *, char **);
static jj_ctl_exit_t cancel_job(const jj_ctl_t *, char **);
static jj_ctl_exit_t list_jobs(const jj_ctl_t *, char **);
static bool should_poll_again(jj_ctl_exit_t, int);
static void show_progress(const jj_ctl_job_t *);
static jj_ctl_exit_t list_page(const jj_ctl_t *, json_t *, bool *);

const jj_ctl_command_t jj_ctl_batch_commands[] = {
    {"batch", "submit", "[FILE]", "upload a file and submit it as a job", 0, 1,
	jj_ctl_submit_options, jj_ctl_job_submit},
    {"batch", "status", "ID", "a job's state and counts", 1, 1, NULL, show_job},
    {"batch", "wait", "ID", "wait until a job has ended", 1, 1, wait_options,
	wait_for_job},
    {"batch", "results", "ID",
	"results as JSON lines, checked for completeness", 1, 1,
	jj_ctl_results_options, jj_ctl_job_results},
    {"batch", "cancel", "ID", "cancel a job; its results are kept", 1, 1, NULL,
	cancel_job},
    {"batch", "list", "", "all jobs", 0, 0, NULL, list_jobs},
    {NULL, NULL, NULL, NULL, 0, 0, NULL, NULL},
};

jj_ctl_job_t
jj_ctl_job_parse(const json_t *object)
{
	jj_ctl_job_t job = {false, false, 0, 0, 0};
	const char *status =
	    json_string_value(json_object_get(object, "status"));

	if (status != NULL) {
		job.completed = strcmp(status, "completed") == 0;
		job.ended = job.completed || strcmp(status, "cancelled") == 0;
	}
	job.total = json_integer_value(
	    jj_ctl_find_member(object, "request_counts.total"));
	job.done = json_integer_value(
	    jj_ctl_find_member(object, "request_counts.completed"));
	job.failed = json_integer_value(
	    jj_ctl_find_member(object, "request_counts.failed"));
	return job;
}

jj_ctl_exit_t
jj_ctl_job_request(const jj_ctl_t *ctl, const char *method, const char *id,
    const char *suffix, json_t **object)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *path = g_strdup_printf("/v1/batches/%s%s", escaped, suffix);
	jj_ctl_request_t request = {.method = method,
	    .address = jj_ctl_callers_address(ctl),
	    .path = path,
	    .timeout_ms = ctl->timeout_ms};
	jj_ctl_exit_t outcome = JJ_CTL_USAGE;

	*object = NULL;
	if (request.address != NULL)
		outcome = jj_ctl_fetch_json(
		    &request, strcmp(method, "POST") == 0, object);
	g_free(path);
	g_free(escaped);
	return outcome;
}

void
jj_ctl_job_print(const jj_ctl_t *ctl, const json_t *object)
{
	jj_ctl_print_fields(ctl, object, job_columns);
}

static jj_ctl_exit_t
show_job(const jj_ctl_t *ctl, char **arguments)
{
	json_t *object;
	jj_ctl_exit_t outcome =
	    jj_ctl_job_request(ctl, "GET", arguments[0], "", &object);

	if (outcome == JJ_CTL_OK)
		jj_ctl_job_print(ctl, object);
	json_decref(object);
	return outcome;
}

static jj_ctl_exit_t
wait_for_job(const jj_ctl_t *ctl, char **arguments)
{
	jj_ctl_job_t job = {false, false, 0, 0, 0};
	json_t *object = NULL;
	jj_ms_t start_ms = jj_monotonic_now();
	jj_ctl_exit_t outcome;
	int failures = 0;

	for (;;) {
		outcome =
		    jj_ctl_job_request(ctl, "GET", arguments[0], "", &object);
		if (outcome == JJ_CTL_OK) {
			failures = 0;
			job = jj_ctl_job_parse(object);
			show_progress(&job);
		} else if (!should_poll_again(outcome, failures++)) {
			return outcome;
		}
		if (job.ended)
			break;
		json_decref(object);
		if (wait_limit > 0 &&
		    jj_monotonic_now() - start_ms >=
			(jj_ms_t)wait_limit * 1000) {
			warnx("the job has not ended: %lld of %lld items",
			    job.done + job.failed, job.total);
			return JJ_CTL_FAILED;
		}
		g_usleep(POLL_INTERVAL_MS * 1000);
	}
	if (isatty(STDERR_FILENO))
		(void)fputc('\n', stderr);
	jj_ctl_job_print(ctl, object);
	json_decref(object);
	return job.completed ? JJ_CTL_OK : JJ_CTL_FAILED;
}

static jj_ctl_exit_t
cancel_job(const jj_ctl_t *ctl, char **arguments)
{
	json_t *object;
	jj_ctl_exit_t outcome =
	    jj_ctl_job_request(ctl, "POST", arguments[0], "/cancel", &object);

	if (outcome == JJ_CTL_OK)
		jj_ctl_job_print(ctl, object);
	json_decref(object);
	return outcome;
}

static jj_ctl_exit_t
list_jobs(const jj_ctl_t *ctl, char **arguments)
{
	json_t *jobs = json_array();
	jj_ctl_exit_t outcome = JJ_CTL_OK;
	bool more = true;
	int page;

	(void)arguments;
	for (page = 0; more && outcome == JJ_CTL_OK && page < PAGES_MAX; page++)
		outcome = list_page(ctl, jobs, &more);
	if (outcome == JJ_CTL_OK)
		jj_ctl_print_rows(ctl, jobs, job_columns);
	if (outcome == JJ_CTL_OK && more)
		warnx("there are more jobs than the %zu shown",
		    json_array_size(jobs));
	json_decref(jobs);
	return outcome;
}

/**
 * A job continues while the VM is replaced or the platform is down, so the
 * status of an unreachable VM is queried again. An error answer, such as for
 * an unknown job, ends the wait immediately.
 */
static bool
should_poll_again(jj_ctl_exit_t outcome, int failures)
{
	return outcome == JJ_CTL_UNREACHABLE && failures < POLL_FAILURES_MAX;
}

static void
show_progress(const jj_ctl_job_t *job)
{
	if (isatty(STDERR_FILENO))
		(void)fprintf(stderr, "\r%lld of %lld items",
		    job->done + job->failed, job->total);
}

/** Fetches the page after the last job of @p jobs and appends it. */
static jj_ctl_exit_t
list_page(const jj_ctl_t *ctl, json_t *jobs, bool *more)
{
	const json_t *last = json_array_get(jobs, json_array_size(jobs) - 1);
	const char *after = json_string_value(json_object_get(last, "id"));
	char path[96] = "/v1/batches";
	json_t *page;
	jj_ctl_exit_t outcome;

	if (after != NULL)
		(void)snprintf(
		    path, sizeof(path), "/v1/batches?after=%s", after);
	outcome = jj_ctl_get(ctl, jj_ctl_callers_address(ctl), path, &page);
	if (outcome == JJ_CTL_OK) {
		(void)json_array_extend(jobs, json_object_get(page, "data"));
		*more = json_is_true(json_object_get(page, "has_more"));
	}
	json_decref(page);
	return outcome;
}
