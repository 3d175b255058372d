/**
 * @file event_stream.h
 * @brief Splits a byte stream into complete server-sent events, in order.
 *
 * A stream may end in the middle of an event, resume at another server, or
 * contain foreign bytes. Only complete events of UTF-8 text with consecutive ids
 * are returned, so a caller gets the output of one run without a gap, a repeat
 * or foreign data, whichever server sent it.
 */
#ifndef JJ_CORE_EVENT_STREAM_H
#define JJ_CORE_EVENT_STREAM_H

#include "core/types.h"

/**
 * Maximum size of an event, and of all events without data between two with
 * data, bytes.
 */
#define JJ_EVENT_SIZE_MAX 262144
/** Id of an event without an id; as last_id: no event yet. */
#define JJ_EVENT_NO_ID INT64_C(-1)

/** A complete event; its pointers are valid until the next call. */
typedef struct {
	const char *raw; /**< as received, with the empty line */
	size_t raw_size;
	int64_t id; /**< or JJ_EVENT_NO_ID */
	bool has_data;
} jj_stream_event_t;

/** What the buffered bytes contain. */
typedef enum {
	JJ_EVENT_INCOMPLETE, /**< no complete event yet: feed more bytes */
	JJ_EVENT_COMPLETE,
	/** not the next event, or not text: stop here */
	JJ_EVENT_OUT_OF_SEQUENCE,
} jj_event_result_t;

/** State of one stream; to be zeroed, then begun. */
typedef struct {
	char *pending; /**< buffered bytes */
	size_t size;
	size_t capacity; /**< allocated bytes */
	size_t start; /**< leading bytes that were returned already */
	int64_t last_id; /**< id of the last event returned */
	size_t idle_size; /**< bytes of events without data since then */
	bool ended; /**< an event out of sequence was found */
} jj_event_stream_t;

/**
 * Begins a stream that continues after event @p last_id; JJ_EVENT_NO_ID: from
 * the start.
 */
void jj_event_stream_begin(jj_event_stream_t *stream, int64_t last_id);
void
jj_event_stream_feed(jj_event_stream_t *stream, const char *data, size_t size);
/** Returns the next complete event. */
jj_event_result_t
jj_event_stream_next(jj_event_stream_t *stream, jj_stream_event_t *piece);
/** True when bytes of an incomplete event are left. */
bool jj_event_stream_has_incomplete(const jj_event_stream_t *stream);
void jj_event_stream_clear(jj_event_stream_t *stream);
/**
 * Appends the event's data (its `data` lines joined by line feeds) to @p text,
 * after a line feed unless @p first is set.
 */
void jj_stream_event_append_data(
    const jj_stream_event_t *piece, bool first, jj_bytes_t *text);

#endif
