/**
 * @file ctl_request.c
 * @brief Commands that send one request to a service or a model.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/monotonic.h"
#include "adapters/trace.h"
#include "ctl/ctl_api.h"
#include "ctl/ctl_print.h"
#include "ctl/ctl_stream.h"

static char *call_key;
static char *call_data;
static char *call_team;
static gint64 call_deadline;
static gboolean complete_streams;
static gint64 complete_tokens;
static char *complete_team;

static const GOptionEntry call_options[] = {
    {"key", 0, 0, G_OPTION_ARG_STRING, &call_key,
	"Idempotency key: the call runs at most once under it", "KEY"},
    {"data", 0, 0, G_OPTION_ARG_STRING, &call_data,
	"JSON body, or @FILE (default {})", "JSON"},
    {"team", 0, 0, G_OPTION_ARG_STRING, &call_team,
	"Team the request is counted for", "NAME"},
    {"deadline", 0, 0, G_OPTION_ARG_INT64, &call_deadline,
	"Deadline for the answer, from now", "MS"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const GOptionEntry complete_options[] = {
    {"stream", 0, 0, G_OPTION_ARG_NONE, &complete_streams,
	"Print the answer as it arrives", NULL},
    {"max-tokens", 0, 0, G_OPTION_ARG_INT64, &complete_tokens,
	"Maximum number of tokens of the answer", "N"},
    {"team", 0, 0, G_OPTION_ARG_STRING, &complete_team,
	"Team the request is counted for", "NAME"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static jj_ctl_exit_t call_service(const jj_ctl_t *, char **);
static jj_ctl_exit_t complete(const jj_ctl_t *, char **);
static jj_ctl_exit_t
send_call(const jj_ctl_t *, char **, const char *, const char *, size_t);
static char *read_data(size_t *);
static char *write_prompt(const char *, const char *);
static jj_ctl_exit_t print_answer(const jj_ctl_t *, const json_t *);
static void begin_trace(const jj_ctl_t *, char *);

const jj_ctl_command_t jj_ctl_request_commands[] = {
    {NULL, "call", "SERVICE PATH", "call a plain service once", 2, 2,
	call_options, call_service},
    {NULL, "complete", "MODEL PROMPT", "request a completion from a model", 2,
	2, complete_options, complete},
    {NULL, NULL, NULL, NULL, 0, 0, NULL, NULL},
};

static jj_ctl_exit_t
call_service(const jj_ctl_t *ctl, char **arguments)
{
	char generated_key[JJ_CTL_KEY_SIZE];
	const char *key = call_key;
	jj_ctl_exit_t outcome;
	size_t size;
	char *body = read_data(&size);

	if (body == NULL)
		return JJ_CTL_USAGE;
	if (key == NULL) {
		jj_ctl_generate_key(generated_key);
		key = generated_key;
	}
	outcome = send_call(ctl, arguments, key, body, size);
	if (outcome == JJ_CTL_UNKNOWN)
		warnx("to retry without a second run: --key %s", key);
	g_free(body);
	return outcome;
}

static jj_ctl_exit_t
complete(const jj_ctl_t *ctl, char **arguments)
{
	char trace[JJ_TRACE_PARENT_SIZE];
	char *body = write_prompt(arguments[0], arguments[1]);
	jj_ctl_request_t request = {.method = "POST",
	    .address = jj_ctl_callers_address(ctl),
	    .path = "/v1/completions",
	    .headers = {{"Content-Type", "application/json"},
		{"Jujube-Team", complete_team}, {"traceparent", trace}},
	    .body = body,
	    .body_size = strlen(body)};
	json_t *answer = NULL;
	jj_ctl_exit_t outcome = JJ_CTL_USAGE;

	if (request.address == NULL)
		goto out;
	begin_trace(ctl, trace);
	if (complete_streams) {
		outcome = jj_ctl_stream(&request);
		goto out;
	}
	outcome = jj_ctl_fetch_json(&request, false, &answer);
	if (outcome == JJ_CTL_OK)
		outcome = print_answer(ctl, answer);
	json_decref(answer);
out:
	free(body);
	return outcome;
}

static jj_ctl_exit_t
send_call(const jj_ctl_t *ctl, char **arguments, const char *key,
    const char *body, size_t size)
{
	const char *slash = arguments[1][0] == '/' ? "" : "/";
	char *path = g_strdup_printf(
	    "/services/%s%s%s", arguments[0], slash, arguments[1]);
	char *deadline_ms = call_deadline > 0
	    ? g_strdup_printf("%" G_GINT64_FORMAT, call_deadline)
	    : NULL;
	char trace[JJ_TRACE_PARENT_SIZE];
	jj_ctl_request_t request = {.method = "POST",
	    .address = jj_ctl_callers_address(ctl),
	    .path = path,
	    .headers = {{"Idempotency-Key", key}, {"Jujube-Team", call_team},
		{"Jujube-Deadline-Ms", deadline_ms}, {"traceparent", trace},
		{"Content-Type", "application/json"}},
	    .body = body,
	    .body_size = size};
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome = JJ_CTL_USAGE;

	if (request.address != NULL) {
		begin_trace(ctl, trace);
		jj_ctl_http_send(&request, &response);
		outcome = jj_ctl_check_response(&response, true);
		if (outcome == JJ_CTL_OK)
			(void)printf("%s\n", response.body->str);
		jj_ctl_http_clear(&response);
	}
	g_free(deadline_ms);
	g_free(path);
	return outcome;
}

static char *
read_data(size_t *size)
{
	const char *text = call_data != NULL ? call_data : "{}";

	if (text[0] == '@')
		return jj_ctl_read_file(text + 1, size);
	*size = strlen(text);
	return g_strdup(text);
}

static char *
write_prompt(const char *model, const char *prompt)
{
	json_t *root = json_pack("{s:s,s:s,s:b}", "model", model, "prompt",
	    prompt, "stream", (int)complete_streams);
	char *text;

	if (root == NULL)
		errx(JJ_CTL_USAGE, "the prompt is not UTF-8");
	if (complete_tokens > 0)
		(void)json_object_set_new(
		    root, "max_tokens", json_integer(complete_tokens));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static jj_ctl_exit_t
print_answer(const jj_ctl_t *ctl, const json_t *answer)
{
	const json_t *choice =
	    json_array_get(json_object_get(answer, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (ctl->json) {
		jj_ctl_print_json(answer);
		return JJ_CTL_OK;
	}
	if (text == NULL) {
		warnx("the answer contains no text");
		return JJ_CTL_FAILED;
	}
	(void)printf("%s\n", text);
	return JJ_CTL_OK;
}

/** Starts the trace in the client: its id is known before the answer. */
static void
begin_trace(const jj_ctl_t *ctl, char *text)
{
	jj_span_t span;

	jj_trace_begin(
	    &span, NULL, JJ_HOP_CALLER, "jujubectl", jj_unix_now_ns());
	span.sampled = true;
	jj_trace_format_parent(&span, text);
	if (ctl->show_trace)
		(void)fprintf(stderr, "trace %.32s\n", text + 3);
}
