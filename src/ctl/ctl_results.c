/**
 * @file ctl_results.c
 * @brief `batch results`: downloads a job's results and checks that they
 * are complete.
 */
#include <err.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_batch.h"

static char *results_output;

const GOptionEntry jj_ctl_results_options[] = {
    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &results_output,
	"Write to FILE, created once the download has succeeded", "FILE"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/** A download in progress. */
typedef struct {
	FILE *out;
	long long lines; /**< complete lines received */
	char last; /**< last byte received */
} download_t;

static bool write_data(void *, const char *, size_t);
static jj_ctl_exit_t
download_results(const jj_ctl_t *, const char *, download_t *);
static jj_ctl_exit_t
check_complete(const jj_ctl_t *, const char *, const download_t *);
static jj_ctl_exit_t
finish_file(FILE *, const char *, const char *, jj_ctl_exit_t);

jj_ctl_exit_t
jj_ctl_job_results(const jj_ctl_t *ctl, char **arguments)
{
	download_t download = {stdout, 0, '\n'};
	char *partial = NULL;
	jj_ctl_exit_t outcome;

	if (results_output != NULL) {
		partial = g_strconcat(results_output, ".partial", NULL);
		download.out = fopen(partial, "wbe");
		if (download.out == NULL) {
			warn("%s", partial);
			g_free(partial);
			return JJ_CTL_USAGE;
		}
	}
	outcome = download_results(ctl, arguments[0], &download);
	if (outcome == JJ_CTL_OK)
		outcome = check_complete(ctl, arguments[0], &download);
	if (partial != NULL)
		outcome =
		    finish_file(download.out, partial, results_output, outcome);
	else if (fflush(stdout) != 0)
		outcome = JJ_CTL_FAILED;
	g_free(partial);
	return outcome;
}

static bool
write_data(void *ctx, const char *data, size_t size)
{
	download_t *download = ctx;
	size_t i;

	for (i = 0; i < size; i++)
		download->lines += data[i] == '\n';
	if (size > 0)
		download->last = data[size - 1];
	return fwrite(data, 1, size, download->out) == size;
}

static jj_ctl_exit_t
download_results(const jj_ctl_t *ctl, const char *id, download_t *download)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *path = g_strdup_printf("/v1/batches/%s/results", escaped);
	jj_ctl_request_t request = {.method = "GET",
	    .address = jj_ctl_callers_address(ctl),
	    .path = path,
	    .on_data = write_data,
	    .ctx = download};
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome = JJ_CTL_USAGE;

	if (request.address != NULL) {
		jj_ctl_http_send(&request, &response);
		outcome = jj_ctl_check_response(&response, false);
		/* The status line arrived, so the VM was reachable. */
		if (outcome == JJ_CTL_UNREACHABLE && response.status == 200)
			outcome = JJ_CTL_FAILED;
		jj_ctl_http_clear(&response);
	}
	g_free(path);
	g_free(escaped);
	return outcome;
}

/**
 * A stream may end without an error and still lack lines: while a job runs,
 * chunks without results are skipped. The results are complete only when the
 * completed job has as many items as there are lines; without this check
 * entries would be lost.
 */
static jj_ctl_exit_t
check_complete(const jj_ctl_t *ctl, const char *id, const download_t *download)
{
	json_t *object;
	jj_ctl_job_t job;
	jj_ctl_exit_t outcome = jj_ctl_job_request(ctl, "GET", id, "", &object);

	if (outcome != JJ_CTL_OK)
		return outcome;
	job = jj_ctl_job_parse(object);
	json_decref(object);
	if (download->last != '\n') {
		warnx("the last line is truncated");
		return JJ_CTL_FAILED;
	}
	if (job.completed && download->lines != job.total) {
		warnx("%lld results, but the job has %lld items",
		    download->lines, job.total);
		return JJ_CTL_FAILED;
	}
	(void)fprintf(stderr, "%lld results of %lld items%s\n", download->lines,
	    job.total,
	    job.completed   ? ", whole"
		: job.ended ? "; the job was cancelled"
			    : "; the job still runs");
	return JJ_CTL_OK;
}

static jj_ctl_exit_t
finish_file(
    FILE *file, const char *partial, const char *path, jj_ctl_exit_t outcome)
{
	if (fclose(file) != 0) {
		warn("%s", partial);
		return JJ_CTL_FAILED;
	}
	if (outcome != JJ_CTL_OK) {
		warnx("the partial results are in %s", partial);
		return outcome;
	}
	if (rename(partial, path) != 0) {
		warn("%s", path);
		return JJ_CTL_FAILED;
	}
	return JJ_CTL_OK;
}
