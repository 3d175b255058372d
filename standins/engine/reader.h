/**
 * @file reader.h
 * @brief Writes the answer to a caller while its stream is generated.
 *
 * A stream has one current reader. A resume creates a new one, and the previous
 * reader aborts its connection. A reader that ends before its stream means that
 * the caller disconnected: the slot of the stream is freed immediately, and the
 * stream can be resumed later.
 */
#ifndef STANDIN_ENGINE_READER_H
#define STANDIN_ENGINE_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "../common/web.h"
#include "engine.h"

/** The reader of a stream. */
typedef struct {
	engine_t *engine;
	stream_t *stream;
	const web_request_t *caller;
	char *head; /**< common beginning of all events, up to the text */
	uint64_t number; /**< current reader while stream->reader equals it */
	long sent; /**< tokens written */
	bool finished; /**< the last event and [DONE] were written */
	bool breaks; /**< aborts the connection once admitted */
	int64_t not_before; /**< monotonic ms; nothing is sent earlier */
} reader_t;

/**
 * Makes a new reader the current one of the stream; takes over the reference
 * to the stream. Tokens from index @p from on are written. Locked.
 */
reader_t *reader_create(
    engine_t *engine, stream_t *stream, const web_request_t *caller, long from);
/** Releases the stream, ending it if this reader is current. Not locked. */
void reader_destroy(void *reader);
/** Writes the next events; a web_producer_t. Not locked. */
web_stream_status_t
reader_produce(void *reader, char *buffer, size_t capacity, size_t *size);
/**
 * Waits until the text is complete and the answer may be sent. Locked.
 * @return false when the stream ended otherwise or the caller hung up.
 */
bool reader_wait_done(reader_t *reader);
/** Waits until the stream has ended or the caller hung up. Locked. */
void reader_wait_ended(reader_t *reader);
/** The token counts, in the common completions format. Locked. */
json_t *reader_usage(const stream_t *stream);

#endif
