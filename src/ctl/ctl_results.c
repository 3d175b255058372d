/**
 * @file ctl_results.c
 * @brief `batch results`: streams a job's results and checks them.
 */
#include <err.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_batch.h"

static char *results_output;

const GOptionEntry jj_ctl_results_options[] = {
    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &results_output,
	"Write to FILE, which appears once the stream has ended whole", "FILE"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/** A reading under way. */
typedef struct {
	FILE *out;
	long long lines;
	char last; /**< byte written last */
} reading_t;

static bool take_data(void *, const char *, size_t);
static jj_ctl_exit_t read_results(const jj_ctl_t *, const char *, reading_t *);
static jj_ctl_exit_t
check_whole(const jj_ctl_t *, const char *, const reading_t *);
static jj_ctl_exit_t
finish_file(FILE *, const char *, const char *, jj_ctl_exit_t);

jj_ctl_exit_t
jj_ctl_job_results(const jj_ctl_t *ctl, char **arguments)
{
	reading_t reading = {stdout, 0, '\n'};
	char *partial = NULL;
	jj_ctl_exit_t outcome;

	if (results_output != NULL) {
		partial = g_strconcat(results_output, ".partial", NULL);
		reading.out = fopen(partial, "wbe");
		if (reading.out == NULL) {
			warn("%s", partial);
			g_free(partial);
			return JJ_CTL_USAGE;
		}
	}
	outcome = read_results(ctl, arguments[0], &reading);
	if (outcome == JJ_CTL_OK)
		outcome = check_whole(ctl, arguments[0], &reading);
	if (partial != NULL)
		outcome =
		    finish_file(reading.out, partial, results_output, outcome);
	else if (fflush(stdout) != 0)
		outcome = JJ_CTL_FAILED;
	g_free(partial);
	return outcome;
}

static bool
take_data(void *ctx, const char *data, size_t size)
{
	reading_t *reading = ctx;
	size_t i;

	for (i = 0; i < size; i++)
		reading->lines += data[i] == '\n';
	if (size > 0)
		reading->last = data[size - 1];
	return fwrite(data, 1, size, reading->out) == size;
}

static jj_ctl_exit_t
read_results(const jj_ctl_t *ctl, const char *id, reading_t *reading)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *path = g_strdup_printf("/v1/batches/%s/results", escaped);
	jj_ctl_request_t request = {.method = "GET",
	    .address = jj_ctl_callers(ctl),
	    .path = path,
	    .on_data = take_data,
	    .ctx = reading};
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome = JJ_CTL_USAGE;

	if (request.address != NULL) {
		jj_ctl_http_send(&request, &response);
		outcome = jj_ctl_judge(&response, false);
		/* The head came, so this VM was reached. */
		if (outcome == JJ_CTL_UNREACHABLE && response.status == 200)
			outcome = JJ_CTL_FAILED;
		jj_ctl_http_clear(&response);
	}
	g_free(path);
	g_free(escaped);
	return outcome;
}

/**
 * A stream may end cleanly and still lack lines: chunks without results are
 * left out while a job runs. Only as many lines as the ended job has items
 * are the whole results; anything less taken for them would lose entries.
 */
static jj_ctl_exit_t
check_whole(const jj_ctl_t *ctl, const char *id, const reading_t *reading)
{
	json_t *object;
	jj_ctl_job_t job;
	jj_ctl_exit_t outcome = jj_ctl_job_ask(ctl, "GET", id, "", &object);

	if (outcome != JJ_CTL_OK)
		return outcome;
	job = jj_ctl_job_read(object);
	json_decref(object);
	if (reading->last != '\n') {
		warnx("the last line is cut off");
		return JJ_CTL_FAILED;
	}
	if (job.completed && reading->lines != job.total) {
		warnx("%lld results, but the job has %lld items",
		    reading->lines, job.total);
		return JJ_CTL_FAILED;
	}
	(void)fprintf(stderr, "%lld results of %lld items%s\n", reading->lines,
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
		warnx("what came is in %s", partial);
		return outcome;
	}
	if (rename(partial, path) != 0) {
		warn("%s", path);
		return JJ_CTL_FAILED;
	}
	return JJ_CTL_OK;
}
