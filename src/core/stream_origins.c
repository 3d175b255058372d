/**
 * @file stream_origins.c
 * @brief Software versions of streams, by request and by content, in bounded
 * memory.
 */
#include <stdlib.h>
#include <sys/queue.h>

#include <glib.h>

#include "core/stream_origins.h"

/** Maximum number of streams; the oldest ones are dropped. */
#define STREAMS_MAX 16384
/** Longest time for which another VM's stream is kept, ms. */
#define KEEP_MAX_MS 120000

typedef struct stream {
	TAILQ_ENTRY(stream) link;
	jj_stream_origin_t origin;
	jj_ms_t until_ms;
	/** next older stream with the same content */
	struct stream *older;
} stream_t;

struct jj_stream_origins {
	size_t count;
	TAILQ_HEAD(, stream) streams; /**< oldest first */
	GHashTable *by_id;
	GHashTable *by_content; /**< the newest one */
};

static void drop_stream(jj_stream_origins_t *, stream_t *);
static void unlink_content(jj_stream_origins_t *, stream_t *);

jj_stream_origins_t *
jj_stream_origins_create(void)
{
	jj_stream_origins_t *origins = jj_alloc(sizeof(*origins));

	TAILQ_INIT(&origins->streams);
	origins->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	origins->by_content = g_hash_table_new(g_int64_hash, g_int64_equal);
	return origins;
}

void
jj_stream_origins_destroy(jj_stream_origins_t *origins)
{
	if (origins == NULL)
		return;
	while (!TAILQ_EMPTY(&origins->streams))
		drop_stream(origins, TAILQ_FIRST(&origins->streams));
	g_hash_table_destroy(origins->by_id);
	g_hash_table_destroy(origins->by_content);
	free(origins);
}

void
jj_stream_origins_add(
    jj_stream_origins_t *origins, const jj_stream_origin_t *origin, jj_ms_t now)
{
	jj_ms_t keep_ms =
	    origin->keep_ms < KEEP_MAX_MS ? origin->keep_ms : KEEP_MAX_MS;
	stream_t *stream = g_hash_table_lookup(origins->by_id, &origin->id);

	if (stream != NULL)
		drop_stream(origins, stream);
	if (origins->count == STREAMS_MAX)
		drop_stream(origins, TAILQ_FIRST(&origins->streams));
	stream = jj_alloc(sizeof(*stream));
	stream->origin = *origin;
	stream->until_ms = now + keep_ms;
	stream->older =
	    g_hash_table_lookup(origins->by_content, &origin->content);
	TAILQ_INSERT_TAIL(&origins->streams, stream, link);
	origins->count++;
	if (origin->id != 0)
		(void)g_hash_table_replace(
		    origins->by_id, &stream->origin.id, stream);
	(void)g_hash_table_replace(
	    origins->by_content, &stream->origin.content, stream);
}

uint64_t
jj_stream_origins_find(const jj_stream_origins_t *origins, uint64_t id,
    uint64_t content, jj_ms_t now)
{
	const stream_t *stream;
	uint64_t software = 0;

	if (id != 0) {
		stream = g_hash_table_lookup(origins->by_id, &id);
		return stream != NULL && now < stream->until_ms
		    ? stream->origin.software
		    : 0;
	}
	for (stream = g_hash_table_lookup(origins->by_content, &content);
	     stream != NULL; stream = stream->older) {
		if (now >= stream->until_ms)
			continue;
		if (software != 0 && software != stream->origin.software)
			return JJ_SOFTWARE_MIXED;
		software = stream->origin.software;
	}
	return software;
}

void
jj_stream_origins_tick(jj_stream_origins_t *origins, jj_ms_t now)
{
	stream_t *stream;

	/* One with a longer time keeps the later ones a little longer. */
	while ((stream = TAILQ_FIRST(&origins->streams)) != NULL &&
	    now >= stream->until_ms)
		drop_stream(origins, stream);
}

jj_ms_t
jj_stream_origins_keep_ms(void)
{
	return KEEP_MAX_MS;
}

size_t
jj_stream_origins_count(const jj_stream_origins_t *origins)
{
	return origins->count;
}

static void
drop_stream(jj_stream_origins_t *origins, stream_t *stream)
{
	if (g_hash_table_lookup(origins->by_id, &stream->origin.id) == stream)
		(void)g_hash_table_remove(origins->by_id, &stream->origin.id);
	unlink_content(origins, stream);
	TAILQ_REMOVE(&origins->streams, stream, link);
	origins->count--;
	free(stream);
}

/** The key of a table's entry is in its stream, so that it is replaced too. */
static void
unlink_content(jj_stream_origins_t *origins, stream_t *stream)
{
	stream_t *other =
	    g_hash_table_lookup(origins->by_content, &stream->origin.content);

	if (other == stream) {
		if (stream->older != NULL)
			(void)g_hash_table_replace(origins->by_content,
			    &stream->older->origin.content, stream->older);
		else
			(void)g_hash_table_remove(
			    origins->by_content, &stream->origin.content);
		return;
	}
	while (other != NULL && other->older != stream)
		other = other->older;
	if (other != NULL)
		other->older = stream->older;
}
