/**
 * @file assembler.h
 * @brief Assembles a streamed completion into one answer.
 *
 * Batch items are requested as streams, though their result is one document:
 * the time between a stream's tokens shows the server's load without lag,
 * which lets batch yield to online requests in time.
 */
#ifndef JJ_DAEMON_ASSEMBLER_H
#define JJ_DAEMON_ASSEMBLER_H

#include "core/types.h"

typedef struct jj_assembler jj_assembler_t;

jj_assembler_t *jj_assembler_create(void);
void jj_assembler_destroy(jj_assembler_t *assembler);
/** Clears the state, before the request is sent again. */
void jj_assembler_reset(jj_assembler_t *assembler);
/** Adds complete server-sent events. */
void
jj_assembler_feed(jj_assembler_t *assembler, const char *events, size_t size);
/**
 * Builds the answer that a request without "stream" would have got.
 * @return empty when an event was malformed or none had a choice.
 */
jj_bytes_t jj_assembler_finish(jj_assembler_t *assembler);

/** Copies a request body with "stream" set; empty if it is no JSON object. */
jj_bytes_t jj_assembler_make_stream_request(const jj_bytes_t *body);

#endif
