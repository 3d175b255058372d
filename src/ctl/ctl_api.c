/**
 * @file ctl_api.c
 * @brief Sends requests to a VM and prints an error message when they fail.
 */
#include <err.h>
#include <stdio.h>
#include <string.h>

#include "adapters/random.h"
#include "ctl/ctl_api.h"

/** Size of a buffer for one IP:PORT, bytes. */
#define ADDRESS_SIZE 64

static jj_ctl_exit_t report_no_response(const jj_ctl_response_t *, bool);
static jj_ctl_exit_t report_problem(const jj_ctl_response_t *, bool);
static const char *get_string(const json_t *, const char *);

const char *
jj_ctl_callers_address(const jj_ctl_t *ctl)
{
	if (ctl->callers == NULL)
		warnx("no VM given: use --callers IP:PORT or "
		      "JUJUBE_CALLERS");
	return ctl->callers;
}

const char *
jj_ctl_operators_address(const jj_ctl_t *ctl)
{
	static char first[ADDRESS_SIZE];

	if (ctl->operators == NULL) {
		warnx("no VM given: use --operators IP:PORT or "
		      "JUJUBE_OPERATORS");
		return NULL;
	}
	(void)g_strlcpy(first, ctl->operators, sizeof(first));
	first[strcspn(first, ",")] = '\0';
	return first;
}

jj_ctl_exit_t
jj_ctl_check_response(const jj_ctl_response_t *response, bool changes)
{
	if (response->result != JJ_CTL_HTTP_COMPLETE)
		return report_no_response(response, changes);
	if (response->status >= 400)
		return report_problem(response, changes);
	return JJ_CTL_OK;
}

jj_ctl_exit_t
jj_ctl_fetch_json(
    const jj_ctl_request_t *request, bool changes, json_t **answer)
{
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome;
	json_error_t error;

	*answer = NULL;
	jj_ctl_http_send(request, &response);
	outcome = jj_ctl_check_response(&response, changes);
	if (outcome == JJ_CTL_OK && response.body->len == 0) {
		*answer = json_null();
	} else if (outcome == JJ_CTL_OK) {
		*answer = json_loadb(response.body->str, response.body->len,
		    JSON_DECODE_ANY, &error);
		if (*answer == NULL) {
			warnx("the answer is not JSON: %s", error.text);
			outcome = changes ? JJ_CTL_UNKNOWN : JJ_CTL_FAILED;
		}
	}
	jj_ctl_http_clear(&response);
	return outcome;
}

jj_ctl_exit_t
jj_ctl_get(
    const jj_ctl_t *ctl, const char *address, const char *path, json_t **answer)
{
	jj_ctl_request_t request = {.method = "GET",
	    .address = address,
	    .path = path,
	    .timeout_ms = ctl->timeout_ms};

	*answer = NULL;
	if (address == NULL)
		return JJ_CTL_USAGE;
	return jj_ctl_fetch_json(&request, false, answer);
}

void
jj_ctl_generate_key(char key[JJ_CTL_KEY_SIZE])
{
	(void)snprintf(key, JJ_CTL_KEY_SIZE, "jujubectl-%016llx",
	    (unsigned long long)jj_random_u64());
}

char *
jj_ctl_read_file(const char *path, size_t *size)
{
	GError *error = NULL;
	GString *text;
	char *contents = NULL;
	char buffer[4096];
	size_t length;

	if (strcmp(path, "-") != 0) {
		if (!g_file_get_contents(path, &contents, size, &error)) {
			warnx("%s", error->message);
			g_error_free(error);
		}
		return contents;
	}
	text = g_string_new("");
	while ((length = fread(buffer, 1, sizeof(buffer), stdin)) > 0)
		(void)g_string_append_len(text, buffer, (gssize)length);
	*size = text->len;
	return g_string_free(text, FALSE);
}

void
jj_ctl_warn_problem(long status, const json_t *problem, jj_ms_t retry_after_ms)
{
	GString *line = g_string_new("");
	const char *code = get_string(problem, "code");
	const char *run_state = get_string(problem, "run");
	const char *title = get_string(problem, "title");
	const char *detail = get_string(problem, "detail");
	jj_ms_t wait_ms = (jj_ms_t)json_integer_value(
	    json_object_get(problem, "retry_after_ms"));
	json_int_t version =
	    json_integer_value(json_object_get(problem, "version"));

	if (wait_ms == 0)
		wait_ms = retry_after_ms;
	g_string_append_printf(line, "HTTP %ld", status);
	if (code != NULL)
		g_string_append_printf(line, " %s", code);
	if (title != NULL)
		g_string_append_printf(line, ": %s", title);
	if (detail != NULL)
		g_string_append_printf(line, ": %s", detail);
	if (version > 0)
		g_string_append_printf(
		    line, "; version %lld is current", (long long)version);
	if (run_state != NULL)
		g_string_append_printf(line, "; run state: %s", run_state);
	if (wait_ms > 0)
		g_string_append_printf(
		    line, "; retry after %lld ms", (long long)wait_ms);
	warnx("%s", line->str);
	(void)g_string_free(line, TRUE);
}

/**
 * A request that was sent may have been executed although its answer was lost.
 * Reporting a failure would invite a second request under another key, so the
 * outcome of a change without a complete answer is reported as unknown.
 */
static jj_ctl_exit_t
report_no_response(const jj_ctl_response_t *response, bool changes)
{
	if (response->result == JJ_CTL_HTTP_NOT_SENT || !changes) {
		warnx("cannot reach the VM: %s", response->why);
		return JJ_CTL_UNREACHABLE;
	}
	warnx("outcome unknown: the request was sent, but the answer is "
	      "missing or incomplete: %s",
	    response->why);
	return JJ_CTL_UNKNOWN;
}

/** A 5xx without a run state does not show whether a change ran: unknown. */
static jj_ctl_exit_t
report_problem(const jj_ctl_response_t *response, bool changes)
{
	json_t *problem =
	    json_loadb(response->body->str, response->body->len, 0, NULL);
	const char *run_state = get_string(problem, "run");
	bool unknown = changes && response->status >= 500 && run_state == NULL;

	if (run_state != NULL)
		unknown = strcmp(run_state, "unknown") == 0;
	jj_ctl_warn_problem(
	    response->status, problem, response->retry_after_ms);
	json_decref(problem);
	return unknown ? JJ_CTL_UNKNOWN : JJ_CTL_FAILED;
}

static const char *
get_string(const json_t *object, const char *key)
{
	return json_string_value(json_object_get(object, key));
}
