/**
 * @file stream_origins.h
 * @brief Remembers at which software version streams began.
 *
 * What two versions of a server's software write does not fit together, so a
 * stream goes on only at the version that began it. A caller that takes a
 * stream up names the request that began it; one that does not is recognised by
 * the content of its request.
 */
#ifndef JJ_CORE_STREAM_ORIGINS_H
#define JJ_CORE_STREAM_ORIGINS_H

#include "core/message.h"

typedef struct jj_stream_origins jj_stream_origins_t;

jj_stream_origins_t *jj_stream_origins_create(void);
void jj_stream_origins_destroy(jj_stream_origins_t *origins);

/** Adds a stream, which is forgotten after its keep_ms. */
void jj_stream_origins_add(jj_stream_origins_t *origins,
    const jj_stream_origin_t *origin, jj_ms_t now);
/**
 * The software version that began a stream.
 * @param id of the request that began it; 0: not given, @p content is used.
 * @return 0 when it is not known, JJ_SOFTWARE_MIXED when streams with that
 * content began at several versions.
 */
uint64_t jj_stream_origins_find(const jj_stream_origins_t *origins, uint64_t id,
    uint64_t content, jj_ms_t now);
/** Drops expired streams; cheap, call it regularly. */
void jj_stream_origins_tick(jj_stream_origins_t *origins, jj_ms_t now);
/** Longest time for which another VM's stream is kept, ms. */
jj_ms_t jj_stream_origins_keep_ms(void);
size_t jj_stream_origins_count(const jj_stream_origins_t *origins);

#endif
