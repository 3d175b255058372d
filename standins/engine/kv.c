#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "call.h"
#include "completion.h"
#include "kv.h"

#define ID_SIZE 24

static stream_t *import_stream(engine_t *, const json_t *);

void
kv_export(engine_t *engine, web_answer_t *answer, uint64_t id)
{
	json_t *blob = NULL;
	stream_t *stream;

	pthread_mutex_lock(&engine->lock);
	stream = stream_acquire(&engine->streams, id);
	if (stream != NULL) {
		blob = json_pack("{s:s,s:s,s:I,s:I,s:b}", "model",
		    engine->options.model, "prompt", stream->prompt,
		    "max_tokens", (json_int_t)stream->max_tokens, "position",
		    (json_int_t)stream->generated, "chat", stream->chat);
		stream_release(&engine->streams, stream);
	}
	pthread_mutex_unlock(&engine->lock);
	if (blob == NULL) {
		web_answer_problem(answer, 404, "unknown", "no such stream");
		return;
	}
	web_add_header(answer, "Content-Type", "application/octet-stream");
	answer->status = 200;
	answer->body = json_dumps(blob, JSON_COMPACT);
	answer->body_size = strlen(answer->body);
	json_decref(blob);
}

void
kv_import(engine_t *engine, const web_request_t *request, web_answer_t *answer)
{
	json_t *blob = json_loadb(request->body, request->body_size, 0, NULL);
	const char *model = json_string_value(json_object_get(blob, "model"));
	char id[ID_SIZE];
	stream_t *stream;

	if (model != NULL && strcmp(model, engine->options.model) != 0) {
		web_answer_problem(
		    answer, 409, "other_model", "exported from another model");
		goto out;
	}
	pthread_mutex_lock(&engine->lock);
	if (model == NULL || completion_refuse(engine, answer))
		stream = NULL;
	else
		stream = import_stream(engine, blob);
	if (stream != NULL) {
		snprintf(id, sizeof(id), "%" PRIu64, stream->id);
		web_answer_json(answer, 200,
		    json_pack("{s:s,s:s,s:I}", "stream", id, "boot",
			engine->boot, "position",
			(json_int_t)stream->generated));
		stream_release(&engine->streams, stream);
	}
	pthread_mutex_unlock(&engine->lock);
	if (answer->status == 0)
		web_answer_problem(answer, 400, "malformed", "not an export");
out:
	json_decref(blob);
}

/* Creates a resumable stream from an export; NULL if malformed. Locked. */
static stream_t *
import_stream(engine_t *engine, const json_t *blob)
{
	const json_t *position = json_object_get(blob, "position");
	const json_t *max_tokens = json_object_get(blob, "max_tokens");
	stream_params_t params = {0};
	stream_t *stream;

	params.prompt = json_string_value(json_object_get(blob, "prompt"));
	params.max_tokens = (long)json_integer_value(max_tokens);
	params.chat = json_is_true(json_object_get(blob, "chat"));
	if (params.prompt == NULL || !json_is_integer(position) ||
	    params.max_tokens < 1 || params.max_tokens > CALL_TOKENS_MAX ||
	    json_integer_value(position) < 0 ||
	    json_integer_value(position) > params.max_tokens)
		return NULL;
	stream = stream_create(&engine->streams, &params);
	stream->generated = (long)json_integer_value(position);
	if (stream->generated > stream->length)
		stream->generated = stream->length;
	stream->outcome = OUTCOME_GONE;
	stream_move(&engine->streams, stream, STREAM_ENDED);
	cache_use(&engine->cache, stream->prompt, web_now_ms());
	return stream;
}
