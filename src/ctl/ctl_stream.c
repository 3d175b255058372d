/**
 * @file ctl_stream.c
 * @brief Prints a streamed completion while it comes.
 */
#include <err.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_api.h"
#include "ctl/ctl_stream.h"

#define DATA_PREFIX "data: "
#define LAST_EVENT "[DONE]"

/** The server-sent events read so far. */
typedef struct {
	GString *line; /**< the line that has begun */
	bool done; /**< the stream said that it is whole */
	bool failed; /**< it said that it failed */
} events_t;

static bool take_data(void *, const char *, size_t);
static void take_line(events_t *);
static void print_token(const json_t *);

jj_ctl_exit_t
jj_ctl_stream(jj_ctl_request_t *request)
{
	events_t events = {g_string_new(""), false, false};
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome;

	request->on_data = take_data;
	request->ctx = &events;
	jj_ctl_http_send(request, &response);
	if (response.status == 200) {
		(void)putchar('\n');
		/* A connection may end cleanly in mid answer; only the last
		 * event says that nothing is missing. */
		outcome = events.done ? JJ_CTL_OK : JJ_CTL_FAILED;
		if (!events.done && !events.failed)
			warnx("the answer was cut off: %s", response.why);
	} else {
		outcome = jj_ctl_judge(&response, false);
	}
	jj_ctl_http_clear(&response);
	(void)g_string_free(events.line, TRUE);
	return outcome;
}

static bool
take_data(void *ctx, const char *data, size_t size)
{
	events_t *events = ctx;
	size_t i;

	for (i = 0; i < size; i++) {
		if (data[i] == '\n') {
			take_line(events);
			(void)g_string_truncate(events->line, 0);
		} else if (data[i] != '\r') {
			(void)g_string_append_c(events->line, data[i]);
		}
	}
	return fflush(stdout) == 0;
}

static void
take_line(events_t *events)
{
	const char *text = events->line->str;
	const json_t *problem;
	json_t *event;

	if (strncmp(text, DATA_PREFIX, strlen(DATA_PREFIX)) != 0)
		return;
	text += strlen(DATA_PREFIX);
	if (strcmp(text, LAST_EVENT) == 0) {
		events->done = true;
		return;
	}
	event = json_loads(text, 0, NULL);
	problem = json_object_get(event, "error");
	if (problem != NULL) {
		events->failed = true;
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
