/**
 * @file assembler.h
 * @brief Puts a streamed completion together into one whole answer.
 *
 * Batch items are asked for as streams, though their result is whole: the
 * time between a stream's tokens shows an engine's load without lag, which
 * is what keeps batch out of the way of online requests.
 */
#ifndef JJ_DAEMON_ASSEMBLER_H
#define JJ_DAEMON_ASSEMBLER_H

#include "core/types.h"

typedef struct jj_assembler jj_assembler_t;

jj_assembler_t *jj_assembler_create(void);
void jj_assembler_destroy(jj_assembler_t *assembler);
/** Forgets all: the request starts anew. */
void jj_assembler_reset(jj_assembler_t *assembler);
/** Takes whole server-sent events. */
void
jj_assembler_feed(jj_assembler_t *assembler, const char *events, size_t size);
/**
 * The answer as a request without "stream" would have got it.
 * @return empty when an event was malformed or no choice was seen.
 */
jj_bytes_t jj_assembler_finish(jj_assembler_t *assembler);

/** The request body with "stream" set; empty when it is not JSON. */
jj_bytes_t jj_assembler_ask(const jj_bytes_t *body);

#endif
