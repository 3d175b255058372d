/**
 * @file event_stream.h
 * @brief Whole server-sent events out of a stream's bytes, in their order.
 *
 * A stream may end in the middle of an event, go on at another server, or be
 * spoilt by bytes that are none of its own. Only whole events whose ids count
 * up by one are handed out, so that what a caller gets is one run's output
 * without a gap, a repeat or a foreign piece, whoever sent it.
 */
#ifndef JJ_CORE_EVENT_STREAM_H
#define JJ_CORE_EVENT_STREAM_H

#include "core/types.h"

/** Longest event kept while its end is awaited, bytes. */
#define JJ_EVENT_SIZE_MAX 262144
/** The id of an event that has none, and "no event yet". */
#define JJ_EVENT_NO_ID INT64_C(-1)

/** A whole event; its pointers are valid until the next call. */
typedef struct {
	const char *raw; /**< as it came, with the empty line */
	size_t raw_size;
	int64_t id; /**< or JJ_EVENT_NO_ID */
	bool has_data;
} jj_event_piece_t;

/** What the bytes held so far. */
typedef enum {
	JJ_EVENT_MORE, /**< no whole event is left */
	JJ_EVENT_WHOLE,
	JJ_EVENT_FOREIGN, /**< not the event that is next: stop here */
} jj_event_found_t;

/** State of one stream; zeroed, then begun. */
typedef struct {
	char *pending; /**< bytes that are not handed out yet */
	size_t size;
	size_t room;
	size_t start; /**< of them, bytes that were handed out */
	int64_t last_id; /**< of the last event handed out */
	bool ended; /**< an event that was not the next one was seen */
} jj_event_stream_t;

/** Begins a run behind event @p last_id, JJ_EVENT_NO_ID: from the start. */
void jj_event_stream_begin(jj_event_stream_t *stream, int64_t last_id);
void
jj_event_stream_feed(jj_event_stream_t *stream, const char *data, size_t size);
/** The next whole event. */
jj_event_found_t
jj_event_stream_next(jj_event_stream_t *stream, jj_event_piece_t *piece);
/** True when bytes of an event that has no end are left. */
bool jj_event_stream_has_rest(const jj_event_stream_t *stream);
void jj_event_stream_clear(jj_event_stream_t *stream);
/**
 * Appends the event's data (its `data` lines joined by line feeds) to @p text;
 * a line feed goes before it unless @p text is empty and @p first is set.
 */
void jj_event_piece_append_data(
    const jj_event_piece_t *piece, bool first, jj_bytes_t *text);

#endif
