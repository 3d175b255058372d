/**
 * @file reader.h
 * @brief A caller's answer that is written while its stream is generated.
 *
 * A stream has one reader; a resume takes it over, and the reader before
 * breaks off. A reader that ends before its stream does has lost its caller:
 * the stream's slot is freed at once, and the stream can be resumed later.
 */
#ifndef STANDIN_ENGINE_READER_H
#define STANDIN_ENGINE_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "../common/web.h"
#include "engine.h"

/** A reader. */
typedef struct {
	engine_t *engine;
	stream_t *stream;
	const web_request_t *caller;
	char *head; /**< each event's beginning, up to the text */
	uint64_t number; /**< the stream's reader must still be this */
	long sent; /**< tokens written */
	bool finished; /**< the last event and [DONE] were written */
	bool breaks; /**< breaks off once the stream is admitted */
	int64_t not_before; /**< monotonic ms before which nothing is sent */
} reader_t;

/**
 * Makes the reader of a stream that its caller has acquired; takes over the
 * reference. Locked.
 */
reader_t *reader_create(
    engine_t *engine, stream_t *stream, const web_request_t *caller, long from);
/** Gives up the stream, ending it if it still runs. Not locked. */
void reader_destroy(void *reader);
/** Writes the next events; a web_producer_t. Not locked. */
web_stream_t
reader_produce(void *reader, char *buffer, size_t room, size_t *size);
/**
 * Waits until the whole text is there and the answer may be sent. Locked.
 * @return false when the stream ended otherwise or the caller hung up.
 */
bool reader_wait_done(reader_t *reader);
/** Waits until the stream has ended or the caller hung up. Locked. */
void reader_wait_ended(reader_t *reader);
/** The numbers of tokens, in the widely used shape. Locked. */
json_t *reader_usage(const stream_t *stream);

#endif
