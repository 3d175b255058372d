/**
 * @file ctl_stream.c
 * @brief Prints a streamed completion as it arrives.
 */
#include <err.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_api.h"
#include "ctl/ctl_stream.h"

#define DATA_PREFIX "data: "
#define FINAL_EVENT "[DONE]"

/** Parser of a stream of server-sent events. */
typedef struct {
	GString *line; /**< current line, incomplete */
	bool done; /**< the final event was received */
	bool failed; /**< an error event was received */
} event_parser_t;

static bool parse_data(void *, const char *, size_t);
static void parse_line(event_parser_t *);
static void print_token(const json_t *);

jj_ctl_exit_t
jj_ctl_stream(jj_ctl_request_t *request)
{
	event_parser_t parser = {g_string_new(""), false, false};
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome;

	request->on_data = parse_data;
	request->ctx = &parser;
	jj_ctl_http_send(request, &response);
	if (response.status == 200) {
		(void)putchar('\n');
		/* A connection may close cleanly in the middle of an answer;
		 * only the final event shows that nothing is missing. */
		outcome = parser.done ? JJ_CTL_OK : JJ_CTL_FAILED;
		if (!parser.done && !parser.failed)
			warnx("the answer was truncated: %s", response.why);
	} else {
		outcome = jj_ctl_check_response(&response, false);
	}
	jj_ctl_http_clear(&response);
	(void)g_string_free(parser.line, TRUE);
	return outcome;
}

static bool
parse_data(void *ctx, const char *data, size_t size)
{
	event_parser_t *parser = ctx;
	size_t i;

	for (i = 0; i < size; i++) {
		if (data[i] == '\n') {
			parse_line(parser);
			(void)g_string_truncate(parser->line, 0);
		} else if (data[i] != '\r') {
			(void)g_string_append_c(parser->line, data[i]);
		}
	}
	return fflush(stdout) == 0;
}

static void
parse_line(event_parser_t *parser)
{
	const char *text = parser->line->str;
	const json_t *problem;
	json_t *event;

	if (strncmp(text, DATA_PREFIX, strlen(DATA_PREFIX)) != 0)
		return;
	text += strlen(DATA_PREFIX);
	if (strcmp(text, FINAL_EVENT) == 0) {
		parser->done = true;
		return;
	}
	event = json_loads(text, 0, NULL);
	problem = json_object_get(event, "error");
	if (problem != NULL) {
		parser->failed = true;
		(void)putchar('\n');
		(void)fflush(stdout);
		jj_ctl_warn_problem(200, problem, 0);
	} else {
		print_token(event);
	}
	json_decref(event);
}

static void
print_token(const json_t *event)
{
	const json_t *choice =
	    json_array_get(json_object_get(event, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (text != NULL)
		(void)fputs(text, stdout);
}
