#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batcher.h"
#include "call.h"
#include "completion.h"
#include "reader.h"

#define REFUSE_MARK "<<refuse>>"
/* Retry-After of a leaving engine, seconds. */
#define LEAVING_RETRY_AFTER_S "1"
#define ID_SIZE 24

static void answer_streaming(reader_t *, web_answer_t *);
static void answer_buffered(reader_t *, const char *, web_answer_t *);
static json_t *response_json(const stream_t *, const char *);
static json_t *response_choice(const stream_t *);
static void add_stream_headers(const stream_t *, web_answer_t *);
static void
check_resume(engine_t *, const stream_t *, const json_t *, web_answer_t *);

void
completion_create(engine_t *engine, const web_request_t *request,
    web_answer_t *answer, bool chat)
{
	call_t call = {0};
	const char *error = call_parse(&call, request, chat);
	faults_t *faults = &engine->faults;
	reader_t *reader;
	bool fails;

	if (error != NULL) {
		web_answer_problem(answer, 400, "malformed", error);
		goto out;
	}
	if (strstr(call.prompt, REFUSE_MARK) != NULL) {
		web_answer_problem(answer, 400, "refused",
		    "this prompt can never be completed");
		goto out;
	}
	pthread_mutex_lock(&engine->lock);
	if (completion_refuse(engine, answer)) {
		pthread_mutex_unlock(&engine->lock);
		goto out;
	}
	reader = reader_create(
	    engine, batcher_submit(engine, &call.params), request, 0);
	reader->breaks = faults_consume(&faults->break_next);
	if (faults_consume(&faults->late_next))
		reader->not_before = web_now_ms() + faults->late_ms;
	add_stream_headers(reader->stream, answer);
	fails = reader->stream->fails;
	pthread_mutex_unlock(&engine->lock);
	if (reader->breaks || (call.params.streaming && !fails))
		answer_streaming(reader, answer);
	else
		answer_buffered(reader, call.model, answer);
out:
	call_clear(&call);
}

void
completion_resume(engine_t *engine, const web_request_t *request,
    web_answer_t *answer, uint64_t id)
{
	json_t *body = json_loadb(request->body, request->body_size, 0, NULL);
	const char *request_id = web_header(request, "Jujube-Request");
	reader_t *reader = NULL;
	stream_t *stream;
	long from;

	from = (long)json_integer_value(json_object_get(body, "from"));
	pthread_mutex_lock(&engine->lock);
	stream = stream_acquire(&engine->streams, id);
	check_resume(engine, stream, body, answer);
	if (answer->status != 0) {
		if (stream != NULL)
			stream_release(&engine->streams, stream);
		goto out;
	}
	if (request_id != NULL)
		g_strlcpy(stream->request, request_id, STREAM_NAME_SIZE);
	if (stream->state == STREAM_ENDED && stream->generated < stream->length)
		batcher_requeue(engine, stream);
	add_stream_headers(stream, answer);
	reader = reader_create(engine, stream, request, from);
out:
	pthread_mutex_unlock(&engine->lock);
	json_decref(body);
	if (reader != NULL)
		answer_streaming(reader, answer);
}

void
completion_cancel(engine_t *engine, web_answer_t *answer, uint64_t id)
{
	bool cancelled = false;
	stream_t *stream;

	pthread_mutex_lock(&engine->lock);
	stream = stream_acquire(&engine->streams, id);
	if (stream != NULL) {
		cancelled = batcher_end(engine, stream, OUTCOME_CANCELLED);
		if (cancelled)
			stream_remove(&engine->streams, stream);
		stream_release(&engine->streams, stream);
	}
	pthread_mutex_unlock(&engine->lock);
	web_answer_json(
	    answer, 200, json_pack("{s:b}", "cancelled", cancelled));
}

bool
completion_refuse(engine_t *engine, web_answer_t *answer)
{
	if (engine->faults.leaving) {
		web_add_header(answer, "Retry-After", LEAVING_RETRY_AFTER_S);
		web_answer_problem(
		    answer, 503, "leaving", "this server is leaving");
		return true;
	}
	if (engine->faults.refuse) {
		web_answer_problem(
		    answer, 503, "overloaded", "this server refuses work");
		return true;
	}
	return false;
}

static void
answer_streaming(reader_t *reader, web_answer_t *answer)
{
	web_add_header(answer, "Content-Type", "text/event-stream");
	answer->status = 200;
	answer->producer = reader_produce;
	answer->producer_ctx = reader;
	answer->producer_free = reader_destroy;
}

static void
answer_buffered(reader_t *reader, const char *model, web_answer_t *answer)
{
	engine_t *engine = reader->engine;
	json_t *json = NULL;
	outcome_t outcome;

	pthread_mutex_lock(&engine->lock);
	if (reader_wait_done(reader))
		json = response_json(reader->stream, model);
	outcome = reader->stream->outcome;
	pthread_mutex_unlock(&engine->lock);
	if (json != NULL)
		web_answer_json(answer, 200, json);
	else if (outcome == OUTCOME_FAILED)
		web_answer_problem(
		    answer, 500, "failed", "failed after admission");
	else if (outcome == OUTCOME_CANCELLED)
		web_answer_problem(
		    answer, 409, "cancelled", "the stream was cancelled");
	reader_destroy(reader);
}

/* A non-streamed answer in the common completions format. Locked. */
static json_t *
response_json(const stream_t *stream, const char *model)
{
	char id[ID_SIZE];

	snprintf(id, sizeof(id), "cmpl-%" PRIu64, stream->id);
	return json_pack("{s:s,s:s,s:s?,s:s?,s:[o],s:o}", "id", id, "object",
	    stream->chat ? "chat.completion" : "text_completion", "request",
	    stream->request[0] != '\0' ? stream->request : NULL, "model", model,
	    "choices", response_choice(stream), "usage", reader_usage(stream));
}

static json_t *
response_choice(const stream_t *stream)
{
	GString *text = g_string_new(NULL);
	const char *reason = stream_finish_reason(stream);
	char token[STREAM_TEXT_SIZE];
	json_t *choice;
	long i;

	for (i = 0; i < stream->length; i++) {
		stream_token(stream, i, token);
		g_string_append(text, token);
	}
	if (stream->chat)
		choice = json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0,
		    "message", "role", "assistant", "content", text->str,
		    "finish_reason", reason);
	else
		choice = json_pack("{s:i,s:s,s:s}", "index", 0, "text",
		    text->str, "finish_reason", reason);
	g_string_free(text, TRUE);
	return choice;
}

static void
add_stream_headers(const stream_t *stream, web_answer_t *answer)
{
	char id[ID_SIZE];

	snprintf(id, sizeof(id), "%" PRIu64, stream->id);
	web_add_header(answer, "Jujube-Stream", id);
}

/* Fills in the error answer if the resume must be refused. Locked. */
static void
check_resume(engine_t *engine, const stream_t *stream, const json_t *body,
    web_answer_t *answer)
{
	const char *boot = json_string_value(json_object_get(body, "boot"));
	const json_t *from = json_object_get(body, "from");

	if (boot == NULL || !json_is_integer(from)) {
		web_answer_problem(
		    answer, 400, "malformed", "boot and from are due");
		return;
	}
	/*
	 * Ids restart from 1 on each start: after a restart this id may be the
	 * stream of another caller, whose text must not be sent to this one.
	 */
	if (strcmp(boot, engine->boot) != 0) {
		web_answer_problem(
		    answer, 409, "other_boot", "the engine was restarted");
		return;
	}
	if (stream == NULL) {
		web_answer_problem(answer, 404, "unknown", "no such stream");
		return;
	}
	if (json_integer_value(from) < 0 ||
	    json_integer_value(from) > stream->generated) {
		web_answer_problem(
		    answer, 400, "malformed", "from: beyond the stream");
		return;
	}
	if (stream->state == STREAM_ENDED && stream->generated < stream->length)
		completion_refuse(engine, answer);
}
