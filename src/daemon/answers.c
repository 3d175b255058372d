/**
 * @file answers.c
 * @brief Final answers to callers: problem documents (RFC 9457).
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "daemon/answers.h"

/** Status, code and title for a reason to abandon a request. */
typedef struct {
	jj_failure_t reason;
	int status;
	const char *code;
	const char *title;
} failure_row_t;

static const failure_row_t failure_rows[] = {
    {JJ_FAILURE_NO_SERVER, 503, "no_server",
	"No backend server of this service can take the request."},
    {JJ_FAILURE_OVERLOADED, 429, "overloaded",
	"Too many requests wait for this service."},
    {JJ_FAILURE_DEADLINE, 504, "deadline",
	"The request's deadline cannot be met."},
    {JJ_FAILURE_RETRIES, 502, "attempts_used_up",
	"Backend servers failed the request and it is not tried again."},
    {JJ_FAILURE_QUARANTINED, 422, "quarantined",
	"This request crashed backend servers and is refused for a time."},
    {JJ_FAILURE_NO_ORIGIN, 503, "unknown_stream",
	"It is not known which software version began this stream."},
    {JJ_FAILURE_CRASHING_PART, 503, "crashing_part",
	"A part of this request's prompt crashed backend servers and is refused "
	"for a time."},
    {JJ_FAILURE_SUSPECT, 503, "suspect",
	"Several servers broke off this request; whether it crashes them will "
	"be known shortly."},
    {JJ_FAILURE_BROKEN, 502, "answer_broken",
	"The backend server failed in the middle of the answer."},
    {JJ_FAILURE_STOPPING, 503, "stopping",
	"This VM is stopping and takes no new requests."},
    {JJ_FAILURE_NO_CONFIG, 503, "no_configuration",
	"No configuration is known here yet."},
    {JJ_FAILURE_CANCELLED, 409, "cancelled", "The request was cancelled."},
    {JJ_FAILURE_NO_SERVICE, 404, "unknown_service",
	"The configuration has no such service."},
};

static void write_retry_after(jj_ms_t, char *, size_t);

jj_bytes_t
jj_problem_write(const jj_problem_t *problem)
{
	json_t *root = json_pack("{s:s,s:s,s:i,s:s}", "type", "about:blank",
	    "title", problem->title, "status", problem->status, "code",
	    problem->code);
	jj_bytes_t bytes;

	if (problem->detail != NULL)
		(void)json_object_set_new(
		    root, "detail", json_string(problem->detail));
	if (problem->run != NULL)
		(void)json_object_set_new(
		    root, "run", json_string(problem->run));
	if (problem->retry_after_ms > 0)
		(void)json_object_set_new(root, "retry_after_ms",
		    json_integer(problem->retry_after_ms));
	bytes.data = json_dumps(root, JSON_COMPACT);
	JJ_INVARIANT(bytes.data != NULL);
	bytes.size = strlen(bytes.data);
	json_decref(root);
	return bytes;
}

void
jj_answer_problem(jj_http_call_t *call, const jj_problem_t *problem)
{
	jj_bytes_t body = jj_problem_write(problem);
	jj_http_answer_t answer = {problem->status, "application/problem+json",
	    {{NULL, NULL}}, NULL, 0};
	char seconds[24];

	if (problem->retry_after_ms > 0) {
		write_retry_after(
		    problem->retry_after_ms, seconds, sizeof(seconds));
		answer.fields[0].name = "Retry-After";
		answer.fields[0].value = seconds;
	}
	jj_http_call_answer(call, &answer, body.data, body.size);
	jj_bytes_free(&body);
}

void
jj_answer_json(jj_http_call_t *call, int status, const jj_bytes_t *json,
    jj_ms_t retry_after_ms)
{
	jj_http_answer_t answer = {status,
	    status >= 400 ? "application/problem+json" : "application/json",
	    {{NULL, NULL}}, NULL, 0};
	char seconds[24];

	if (retry_after_ms > 0) {
		write_retry_after(retry_after_ms, seconds, sizeof(seconds));
		answer.fields[0].name = "Retry-After";
		answer.fields[0].value = seconds;
	}
	jj_http_call_answer(call, &answer, json->data, json->size);
}

jj_problem_t
jj_problem_of_failure(const jj_answer_t *answer)
{
	static const char *const runs[] = {"not_run", "unknown", "run"};
	jj_problem_t problem = {500, "internal", "Unexpected end.", NULL,
	    runs[answer->run], answer->retry_after_ms};
	size_t i;

	for (i = 0; i < sizeof(failure_rows) / sizeof(failure_rows[0]); i++) {
		if (failure_rows[i].reason != answer->reason)
			continue;
		problem.status = failure_rows[i].status;
		problem.code = failure_rows[i].code;
		problem.title = failure_rows[i].title;
	}
	return problem;
}

jj_problem_t
jj_problem_of_call(const jj_call_answer_t *answer)
{
	jj_problem_t problem = {503, "not_run", "The call was not run.", NULL,
	    "not_run", answer->retry_after_ms};

	switch (answer->outcome) {
	case JJ_CALL_IN_PROGRESS:
		problem.status = 409;
		problem.code = "in_progress";
		problem.title =
		    "An earlier request with this key has not ended yet.";
		problem.run = "unknown";
		break;
	case JJ_CALL_MISMATCH:
		problem.status = 422;
		problem.code = "key_reused";
		problem.title = "This key was used before with other content; "
				"this request was not run.";
		problem.retry_after_ms = 0;
		break;
	case JJ_CALL_REPLAYED:
		problem.status = 410;
		problem.code = "answer_not_kept";
		problem.title =
		    "The call was run before; its answer was not kept.";
		problem.run = "run";
		problem.retry_after_ms = 0;
		break;
	case JJ_CALL_UNKNOWN:
		problem.status = 502;
		problem.code = "outcome_unknown";
		problem.title =
		    "The call may have been run; it will not be sent again.";
		problem.run = "unknown";
		break;
	case JJ_CALL_NO_HISTORY:
		problem.code = "history_unknown";
		problem.title =
		    "This attempt was not run; whether an earlier one with "
		    "this key was run cannot be told now.";
		problem.run = "unknown";
		break;
	default:
		break;
	}
	return problem;
}

/** Seconds, rounded up so that no caller retries too early. */
static void
write_retry_after(jj_ms_t wait_ms, char *text, size_t size)
{
	(void)snprintf(text, size, "%lld", (long long)((wait_ms + 999) / 1000));
}
