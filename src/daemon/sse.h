/**
 * @file sse.h
 * @brief Finds the ends of server-sent events in a stream being relayed.
 *
 * Only whole events are passed on, so that an error event of ours or a
 * resumed stream never starts in the middle of one. Tokens are counted and
 * the end mark is noticed: a stream without it was truncated, even when its
 * connection ended cleanly.
 */
#ifndef JJ_DAEMON_SSE_H
#define JJ_DAEMON_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest event kept while its end is awaited, bytes. */
#define JJ_SSE_EVENT_MAX 262144

/** State of one stream; zeroed at its begin. */
typedef struct {
	char *pending; /**< bytes not passed on yet */
	size_t size;
	size_t room;
	size_t whole; /**< of them, bytes of whole events */
	uint32_t tokens; /**< events with a token since the last take */
	uint32_t total; /**< events with a token of the whole stream */
	bool done; /**< the end mark was seen */
	bool too_long; /**< an event is longer than allowed */
} jj_sse_t;

/** Adds bytes and finds whole events in them. */
void jj_sse_feed(jj_sse_t *sse, const char *data, size_t size);
/** Forgets the whole events after they were passed on. */
void jj_sse_drop_whole(jj_sse_t *sse);
/** Tokens counted since the last call. */
uint32_t jj_sse_take_tokens(jj_sse_t *sse);
void jj_sse_clear(jj_sse_t *sse);

#endif
