/**
 * @file sse.h
 * @brief Splits a relayed stream into server-sent events.
 *
 * Only complete events are forwarded, so that an error event that the relay
 * adds or a resumed stream never starts in the middle of one. Tokens are
 * counted, and the end mark is detected: a stream without it is truncated,
 * even if its connection ended cleanly.
 */
#ifndef JJ_DAEMON_SSE_H
#define JJ_DAEMON_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest event that is buffered until it is complete, bytes. */
#define JJ_SSE_EVENT_MAX 262144

/** State of one stream; starts zeroed. */
typedef struct {
	char *pending; /**< buffered bytes, not forwarded yet */
	size_t size; /**< bytes in `pending` */
	size_t capacity; /**< allocated size of `pending` */
	size_t whole; /**< of `size`, bytes of complete events */
	uint32_t tokens; /**< events with a token not yet taken */
	uint32_t total; /**< events with a token in all of the stream */
	bool done; /**< the end mark was received */
	bool too_long; /**< an event exceeds JJ_SSE_EVENT_MAX */
} jj_sse_t;

/** Adds received bytes and finds the complete events in them. */
void jj_sse_feed(jj_sse_t *sse, const char *data, size_t size);
/** Removes the complete events, after they were forwarded. */
void jj_sse_drop_complete(jj_sse_t *sse);
/** Returns the number of tokens counted since the last call. */
uint32_t jj_sse_take_tokens(jj_sse_t *sse);
void jj_sse_clear(jj_sse_t *sse);

#endif
