#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batcher.h"
#include "reader.h"

/* Interval between checks whether the caller hung up, milliseconds. */
#define CALLER_CHECK_MS 20
/* Maximum size of an event after its head: text, end and usage; bytes. */
#define EVENT_TAIL_MAX 512
#define DONE_EVENT "data: [DONE]\n\n"

static bool is_current(const reader_t *);
static bool wait_for_progress(reader_t *);
static bool wait_until_due(reader_t *);
static web_stream_status_t idle_status(const reader_t *);
static size_t write_event(reader_t *, char *);
static size_t write_usage(const stream_t *, char *, size_t);
static char *event_head(const reader_t *);

reader_t *
reader_create(
    engine_t *engine, stream_t *stream, const web_request_t *caller, long from)
{
	reader_t *reader = g_new0(reader_t, 1);

	reader->engine = engine;
	reader->stream = stream;
	reader->caller = caller;
	reader->sent = from;
	reader->number = ++engine->streams.last_reader;
	reader->head = event_head(reader);
	stream->reader = reader->number;
	pthread_cond_broadcast(&stream->changed);
	engine->readers++;
	return reader;
}

void
reader_destroy(void *ctx)
{
	reader_t *reader = ctx;
	engine_t *engine = reader->engine;

	pthread_mutex_lock(&engine->lock);
	if (is_current(reader))
		batcher_end(engine, reader->stream, OUTCOME_GONE);
	stream_release(&engine->streams, reader->stream);
	engine->readers--;
	pthread_mutex_unlock(&engine->lock);
	g_free(reader->head);
	g_free(reader);
}

web_stream_status_t
reader_produce(void *ctx, char *buffer, size_t capacity, size_t *size)
{
	reader_t *reader = ctx;
	stream_t *stream = reader->stream;
	size_t event_max = strlen(reader->head) + EVENT_TAIL_MAX;
	web_stream_status_t next;

	*size = 0;
	if (reader->finished)
		return WEB_STREAM_END;
	if (capacity < event_max)
		return WEB_STREAM_BREAK;
	pthread_mutex_lock(&reader->engine->lock);
	if (!wait_until_due(reader) || !wait_for_progress(reader)) {
		next = WEB_STREAM_MORE;
		goto out;
	}
	if (is_current(reader) && reader->sent == stream->length) {
		/* Resumed after the last token: only [DONE] is missing. */
		*size = strlen(DONE_EVENT);
		memcpy(buffer, DONE_EVENT, *size);
		reader->finished = true;
	}
	while (is_current(reader) && !reader->breaks &&
	    reader->sent < stream->generated && capacity - *size >= event_max)
		*size += write_event(reader, buffer + *size);
	next = *size > 0 ? WEB_STREAM_MORE : idle_status(reader);
out:
	pthread_mutex_unlock(&reader->engine->lock);
	return next;
}

bool
reader_wait_done(reader_t *reader)
{
	reader_wait_ended(reader);
	while (!wait_until_due(reader)) {
		if (web_is_abandoned(reader->caller))
			return false;
	}
	return is_current(reader) && reader->stream->outcome == OUTCOME_DONE;
}

void
reader_wait_ended(reader_t *reader)
{
	stream_t *stream = reader->stream;

	while (is_current(reader) && stream->state != STREAM_ENDED) {
		if (web_is_abandoned(reader->caller))
			return;
		stream_cond_wait(
		    &stream->changed, &reader->engine->lock, CALLER_CHECK_MS);
	}
}

json_t *
reader_usage(const stream_t *stream)
{
	return json_pack("{s:I,s:I,s:I,s:I}", "prompt_tokens",
	    (json_int_t)stream->prompt_tokens, "completion_tokens",
	    (json_int_t)stream->generated, "total_tokens",
	    (json_int_t)stream->prompt_tokens + stream->generated,
	    "cached_tokens", (json_int_t)stream->cached_tokens);
}

static bool
is_current(const reader_t *reader)
{
	return reader->stream->reader == reader->number;
}

/*
 * Waits up to CALLER_CHECK_MS for new tokens or the end of the stream. Returns
 * false on timeout, so that the server checks whether the caller hung up.
 */
static bool
wait_for_progress(reader_t *reader)
{
	stream_t *stream = reader->stream;

	if (is_current(reader) && stream->state != STREAM_ENDED &&
	    (reader->sent >= stream->generated || reader->breaks))
		stream_cond_wait(
		    &stream->changed, &reader->engine->lock, CALLER_CHECK_MS);
	if (!is_current(reader) || stream->state == STREAM_ENDED)
		return true;
	if (reader->breaks)
		return stream->state == STREAM_RUNNING;
	return reader->sent < stream->generated;
}

/* Waits up to CALLER_CHECK_MS for not_before; false when it is not reached. */
static bool
wait_until_due(reader_t *reader)
{
	engine_t *engine = reader->engine;
	int64_t left_ms = reader->not_before - web_now_ms();

	if (left_ms <= 0)
		return true;
	pthread_mutex_unlock(&engine->lock);
	web_sleep_ms(left_ms < CALLER_CHECK_MS ? left_ms : CALLER_CHECK_MS);
	pthread_mutex_lock(&engine->lock);
	return reader->not_before <= web_now_ms();
}

/* The status of an answer that has nothing to write at present. */
static web_stream_status_t
idle_status(const reader_t *reader)
{
	const stream_t *stream = reader->stream;

	if (!is_current(reader) || reader->breaks ||
	    stream->outcome == OUTCOME_GONE)
		return WEB_STREAM_BREAK;
	/* Cancelled or truncated: ends normally, but without [DONE]. */
	return stream->state == STREAM_ENDED ? WEB_STREAM_END : WEB_STREAM_MORE;
}

/* Writes the event of one token; after the last token also [DONE]. */
static size_t
write_event(reader_t *reader, char *buffer)
{
	const stream_t *stream = reader->stream;
	size_t limit = strlen(reader->head) + EVENT_TAIL_MAX;
	bool last = reader->sent + 1 == stream->length;
	char text[STREAM_TEXT_SIZE];
	size_t size;

	stream_token(stream, reader->sent, text);
	size = (size_t)snprintf(buffer, limit,
	    "%s%s%s,\"finish_reason\":", reader->head, text,
	    stream->chat ? "\"}" : "\"");
	reader->sent++;
	if (!last) {
		size += (size_t)snprintf(
		    buffer + size, limit - size, "null}]}\n\n");
		return size;
	}
	size += (size_t)snprintf(buffer + size, limit - size, "\"%s\"}]",
	    stream_finish_reason(stream));
	size += write_usage(stream, buffer + size, limit - size);
	size +=
	    (size_t)snprintf(buffer + size, limit - size, "}\n\n" DONE_EVENT);
	reader->finished = true;
	return size;
}

static size_t
write_usage(const stream_t *stream, char *buffer, size_t capacity)
{
	json_t *usage = reader_usage(stream);
	char *text = json_dumps(usage, JSON_COMPACT);
	size_t size = (size_t)snprintf(buffer, capacity, ",\"usage\":%s", text);

	free(text);
	json_decref(usage);
	return size;
}

/* The common beginning of all events of an answer, up to the token's text. */
static char *
event_head(const reader_t *reader)
{
	const stream_t *stream = reader->stream;
	json_t *request = stream->request[0] != '\0'
	    ? json_string(stream->request)
	    : json_null();
	char *quoted = json_dumps(request, JSON_ENCODE_ANY);
	char *head;

	head = g_strdup_printf("data: {\"id\":\"cmpl-%" PRIu64
			       "\",\"object\":\"%s\",\"request\":%s,"
			       "\"choices\":[{\"index\":0,%s\"",
	    stream->id,
	    stream->chat ? "chat.completion.chunk" : "text_completion",
	    quoted != NULL ? quoted : "null",
	    stream->chat ? "\"delta\":{\"content\":" : "\"text\":");
	free(quoted);
	json_decref(request);
	return head;
}
