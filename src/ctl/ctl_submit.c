/**
 * @file ctl_submit.c
 * @brief `batch submit`: uploads a file of items and submits it as a job.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "ctl/ctl_batch.h"
#include "ctl/ctl_print.h"

static char *submit_key;
static char *submit_window;
static char *submit_team;
static char *submit_service;
static char *submit_endpoint;
static char *submit_file_id;

const GOptionEntry jj_ctl_submit_options[] = {
    {"key", 0, 0, G_OPTION_ARG_STRING, &submit_key,
	"Idempotency key: the same key gives the same job", "KEY"},
    {"window", 0, 0, G_OPTION_ARG_STRING, &submit_window,
	"Time until the job is due (default 24h)", "24h"},
    {"team", 0, 0, G_OPTION_ARG_STRING, &submit_team,
	"Team the job is counted for", "NAME"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &submit_service,
	"Service of all items (default: given in each line)", "NAME"},
    {"endpoint", 0, 0, G_OPTION_ARG_STRING, &submit_endpoint,
	"Path of all items (default /v1/completions)", "PATH"},
    {"file-id", 0, 0, G_OPTION_ARG_STRING, &submit_file_id,
	"Submit a file that was uploaded before, instead of FILE", "ID"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static char *upload(const jj_ctl_t *, const char *, jj_ctl_exit_t *);
static FILE *open_file(const char *, size_t *);
static jj_ctl_exit_t submit(const jj_ctl_t *, const char *, const char *);
static char *write_request(const char *);

jj_ctl_exit_t
jj_ctl_job_submit(const jj_ctl_t *ctl, char **arguments)
{
	char generated_key[JJ_CTL_KEY_SIZE];
	const char *key = submit_key;
	char *file = NULL;
	jj_ctl_exit_t outcome = JJ_CTL_OK;

	if ((arguments[0] == NULL) == (submit_file_id == NULL)) {
		warnx("give either FILE or --file-id ID");
		return JJ_CTL_USAGE;
	}
	if (submit_file_id != NULL)
		file = g_strdup(submit_file_id);
	else
		file = upload(ctl, arguments[0], &outcome);
	if (file == NULL)
		return outcome;
	if (key == NULL) {
		jj_ctl_generate_key(generated_key);
		key = generated_key;
	}
	outcome = submit(ctl, key, file);
	/* A second upload gets another file id, which would be different
	 * content under the same key: a retry must use the first file id. */
	if (outcome == JJ_CTL_UNKNOWN || outcome == JJ_CTL_UNREACHABLE)
		warnx(
		    "to retry: batch submit --file-id %s --key %s", file, key);
	else if (outcome == JJ_CTL_FAILED)
		warnx("the file was uploaded as %s", file);
	g_free(file);
	return outcome;
}

/** @return the file's id; NULL when the upload failed, see @p outcome. */
static char *
upload(const jj_ctl_t *ctl, const char *path, jj_ctl_exit_t *outcome)
{
	jj_ctl_request_t request = {.method = "POST",
	    .address = jj_ctl_callers_address(ctl),
	    .path = "/v1/files",
	    .headers = {{"Jujube-Team", submit_team},
		{"Content-Type", "application/jsonl"}}};
	json_t *answer;
	char *id;

	*outcome = JJ_CTL_USAGE;
	if (request.address == NULL)
		return NULL;
	request.upload = open_file(path, &request.body_size);
	if (request.upload == NULL)
		return NULL;
	/* An upload alone starts no job, so its outcome is never unknown:
	 * also after a lost answer no job exists. */
	*outcome = jj_ctl_fetch_json(&request, false, &answer);
	(void)fclose(request.upload);
	id = g_strdup(json_string_value(json_object_get(answer, "id")));
	json_decref(answer);
	if (id == NULL) {
		warnx("nothing was submitted");
		if (*outcome == JJ_CTL_OK)
			*outcome = JJ_CTL_FAILED;
	}
	return id;
}

static FILE *
open_file(const char *path, size_t *size)
{
	FILE *file = fopen(path, "rbe");
	struct stat status;

	if (file == NULL) {
		warn("%s", path);
		return NULL;
	}
	if (fstat(fileno(file), &status) != 0 || !S_ISREG(status.st_mode)) {
		warnx("%s: not a regular file", path);
		(void)fclose(file);
		return NULL;
	}
	*size = (size_t)status.st_size;
	return file;
}

static jj_ctl_exit_t
submit(const jj_ctl_t *ctl, const char *key, const char *file)
{
	char *body = write_request(file);
	jj_ctl_request_t request = {.method = "POST",
	    .address = jj_ctl_callers_address(ctl),
	    .path = "/v1/batches",
	    .headers = {{"Idempotency-Key", key}, {"Jujube-Team", submit_team},
		{"Content-Type", "application/json"}},
	    .body = body,
	    .body_size = strlen(body),
	    .timeout_ms = ctl->timeout_ms};
	json_t *answer = NULL;
	jj_ctl_exit_t outcome = JJ_CTL_USAGE;

	if (request.address != NULL)
		outcome = jj_ctl_fetch_json(&request, true, &answer);
	if (outcome == JJ_CTL_OK)
		jj_ctl_job_print(ctl, answer);
	json_decref(answer);
	free(body);
	return outcome;
}

static char *
write_request(const char *file)
{
	json_t *root = json_pack("{s:s,s:s,s:s}", "input_file_id", file,
	    "endpoint",
	    submit_endpoint != NULL ? submit_endpoint : "/v1/completions",
	    "completion_window", submit_window != NULL ? submit_window : "24h");
	char *text;

	if (submit_service != NULL)
		(void)json_object_set_new(
		    root, "service", json_string(submit_service));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (text == NULL)
		errx(JJ_CTL_USAGE, "an option is not UTF-8");
	return text;
}
