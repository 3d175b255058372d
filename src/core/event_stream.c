/**
 * @file event_stream.c
 * @brief Splits a byte stream into complete server-sent events, in order.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/event_stream.h"

/** One line of an event. */
typedef struct {
	const char *text;
	size_t size; /**< without its line end */
	size_t size_with_end; /**< 0: the line has no end yet */
} line_t;

static line_t read_line(const char *, size_t);
static size_t find_event_end(const char *, size_t);
static void read_fields(jj_stream_event_t *);
static bool is_field(const line_t *, const char *, const char **, size_t *);
static bool is_text(const jj_stream_event_t *);
static bool
is_in_sequence(const jj_event_stream_t *, const jj_stream_event_t *);

void
jj_event_stream_begin(jj_event_stream_t *stream, int64_t last_id)
{
	stream->size = 0;
	stream->start = 0;
	stream->last_id = last_id;
	stream->idle_size = 0;
	stream->ended = false;
}

void
jj_event_stream_feed(jj_event_stream_t *stream, const char *data, size_t size)
{
	if (stream->start > 0) {
		stream->size -= stream->start;
		memmove(stream->pending, stream->pending + stream->start,
		    stream->size);
		stream->start = 0;
	}
	if (stream->size + size > stream->capacity) {
		stream->capacity = stream->size + size + 512;
		stream->pending = jj_realloc(stream->pending, stream->capacity);
	}
	memcpy(stream->pending + stream->size, data, size);
	stream->size += size;
}

jj_event_result_t
jj_event_stream_next(jj_event_stream_t *stream, jj_stream_event_t *piece)
{
	const char *next_byte = stream->pending + stream->start;
	size_t remaining = stream->size - stream->start;
	size_t end;

	if (stream->ended)
		return JJ_EVENT_OUT_OF_SEQUENCE;
	end = remaining > 0 ? find_event_end(next_byte, remaining) : 0;
	if (end == 0) {
		stream->ended = remaining > JJ_EVENT_SIZE_MAX;
		return stream->ended ? JJ_EVENT_OUT_OF_SEQUENCE
				     : JJ_EVENT_INCOMPLETE;
	}
	memset(piece, 0, sizeof(*piece));
	piece->raw = next_byte;
	piece->raw_size = end;
	read_fields(piece);
	stream->idle_size = piece->has_data ? 0 : stream->idle_size + end;
	if (!is_text(piece) || !is_in_sequence(stream, piece) ||
	    end > JJ_EVENT_SIZE_MAX || stream->idle_size > JJ_EVENT_SIZE_MAX) {
		stream->ended = true;
		return JJ_EVENT_OUT_OF_SEQUENCE;
	}
	if (piece->id != JJ_EVENT_NO_ID)
		stream->last_id = piece->id;
	stream->start += end;
	return JJ_EVENT_COMPLETE;
}

bool
jj_event_stream_has_incomplete(const jj_event_stream_t *stream)
{
	return stream->size > stream->start;
}

void
jj_event_stream_clear(jj_event_stream_t *stream)
{
	free(stream->pending);
	memset(stream, 0, sizeof(*stream));
}

void
jj_stream_event_append_data(
    const jj_stream_event_t *piece, bool first, jj_bytes_t *text)
{
	size_t offset = 0;
	bool has_line = false;

	if (!piece->has_data)
		return;
	if (!first)
		jj_bytes_append(text, "\n", 1);
	while (offset < piece->raw_size) {
		line_t line =
		    read_line(piece->raw + offset, piece->raw_size - offset);
		const char *value;
		size_t size;

		if (line.size_with_end == 0)
			return;
		offset += line.size_with_end;
		if (!is_field(&line, "data", &value, &size))
			continue;
		if (has_line)
			jj_bytes_append(text, "\n", 1);
		jj_bytes_append(text, value, size);
		has_line = true;
	}
}

static line_t
read_line(const char *text, size_t size)
{
	line_t line = {text, 0, 0};
	const char *end = memchr(text, '\n', size);

	if (end == NULL)
		return line;
	line.size = (size_t)(end - text);
	line.size_with_end = line.size + 1;
	if (line.size > 0 && text[line.size - 1] == '\r')
		line.size--;
	return line;
}

/** Size up to the end of the first empty line; 0: there is none. */
static size_t
find_event_end(const char *text, size_t size)
{
	size_t offset = 0;

	while (offset < size) {
		line_t line = read_line(text + offset, size - offset);

		if (line.size_with_end == 0)
			return 0;
		offset += line.size_with_end;
		if (line.size == 0)
			return offset;
	}
	return 0;
}

static void
read_fields(jj_stream_event_t *piece)
{
	size_t offset = 0;

	piece->id = JJ_EVENT_NO_ID;
	while (offset < piece->raw_size) {
		line_t line =
		    read_line(piece->raw + offset, piece->raw_size - offset);
		const char *value;
		char number[24] = "";
		size_t size;

		if (line.size_with_end == 0)
			return;
		offset += line.size_with_end;
		if (is_field(&line, "data", &value, &size))
			piece->has_data = true;
		if (!is_field(&line, "id", &value, &size) || size == 0 ||
		    size >= sizeof(number))
			continue;
		memcpy(number, value, size);
		if (strspn(number, "0123456789") == size)
			piece->id = strtoll(number, NULL, 10);
	}
}

static bool
is_field(const line_t *line, const char *name, const char **value, size_t *size)
{
	size_t length = strlen(name);

	if (line->size <= length || memcmp(line->text, name, length) != 0 ||
	    line->text[length] != ':')
		return false;
	*value = line->text + length + 1;
	*size = line->size - length - 1;
	if (*size > 0 && **value == ' ') {
		(*value)++;
		(*size)--;
	}
	return true;
}

/**
 * An event stream is UTF-8 (WHATWG HTML, Server-sent events), and a model's
 * output has no NUL. Other bytes are not the server's answer, and a job's
 * results, which are stored as JSON, can't hold them.
 */
static bool
is_text(const jj_stream_event_t *piece)
{
	return g_utf8_validate(piece->raw, (gssize)piece->raw_size, NULL);
}

/**
 * Guards against joining a run with another one's events: a server that
 * restarted the run instead of resuming it, a second run after the first, or
 * foreign bytes. Each shows as an id that does not follow the last one. The
 * first event of a stream sets the first id (0 or 1).
 */
static bool
is_in_sequence(const jj_event_stream_t *stream, const jj_stream_event_t *piece)
{
	if (!piece->has_data)
		return piece->id == JJ_EVENT_NO_ID;
	if (piece->id == JJ_EVENT_NO_ID)
		return false;
	if (stream->last_id == JJ_EVENT_NO_ID)
		return piece->id <= 1;
	return piece->id - 1 == stream->last_id;
}
