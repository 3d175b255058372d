/**
 * @file node_results.c
 * @brief Streams a job's results, chunk by chunk, while and after it runs.
 *
 * One chunk is asked for at a time, and the next only when the reader has
 * room, so a dump of a large job holds about one chunk in memory.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon/answers.h"
#include "daemon/node.h"

/** Tries of a chunk while the platform does not answer. */
#define CHUNK_TRIES 5

/** One reader; freed with its call's end. */
typedef struct {
	jj_http_call_t *call;
	char id[JJ_NAME_MAX + 1];
	uint32_t chunk;
	uint32_t tries;
	bool begun;
	bool waiting; /**< for room; guarded by the node's results_lock */
} reader_t;

static void ask(jj_node_t *, reader_t *);
static void
take_answer(jj_node_t *, jj_pending_t *, int, jj_ms_t, const jj_bytes_t *);
static void take_chunk(jj_node_t *, reader_t *, const jj_bytes_t *);
static void end_reader(jj_node_t *, reader_t *, bool);
static void free_reader(jj_node_t *, reader_t *);

bool
jj_node_is_results(const jj_http_call_t *call)
{
	const char *path = jj_http_call_path(call);
	size_t length = strlen(path);

	return strncmp(path, "/v1/batches/", 12) == 0 && length > 8 &&
	    strcmp(path + length - 8, "/results") == 0;
}

void
jj_node_begin_results(jj_node_t *node, jj_http_call_t *call, const char *id)
{
	reader_t *reader = jj_alloc(sizeof(*reader));

	reader->call = call;
	(void)strncpy(reader->id, id, sizeof(reader->id) - 1);
	jj_http_call_set_context(call, reader);
	ask(node, reader);
}

void
jj_node_resume_results(jj_node_t *node, jj_http_call_t *call)
{
	reader_t *reader;
	bool go_on;

	(void)apr_thread_mutex_lock(node->results_lock);
	reader = jj_http_call_context(call);
	go_on = reader != NULL && reader->waiting;
	if (go_on)
		reader->waiting = false;
	(void)apr_thread_mutex_unlock(node->results_lock);
	if (go_on)
		ask(node, reader);
}

static void
ask(jj_node_t *node, reader_t *reader)
{
	jj_pending_t *pending =
	    jj_node_add_pending(node, reader->call, take_answer);

	pending->detail = reader;
	jj_node_post_job(node, JJ_JOB_RESULTS, pending->operation, reader->id,
	    NULL, NULL, NULL, reader->chunk);
}

static void
take_answer(jj_node_t *node, jj_pending_t *pending, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body)
{
	reader_t *reader = pending->detail;
	jj_http_call_t *call;

	if (status == 200 || status == 204) {
		take_chunk(node, reader, body);
		return;
	}
	if (status == 410 && reader->begun) {
		end_reader(node, reader, false);
		return;
	}
	if (status == 503 && reader->begun && reader->tries < CHUNK_TRIES) {
		reader->tries++;
		ask(node, reader);
		return;
	}
	if (reader->begun) {
		end_reader(node, reader, true);
		return;
	}
	call = reader->call;
	free_reader(node, reader);
	jj_answer_json(call, status, body, retry_after_ms);
}

static void
take_chunk(jj_node_t *node, reader_t *reader, const jj_bytes_t *body)
{
	jj_http_answer_t answer = {
	    200, "application/jsonl", {{NULL, NULL}}, NULL, 0};
	bool room;

	if (!reader->begun) {
		reader->begun = true;
		jj_http_call_begin(reader->call, &answer);
	}
	reader->chunk++;
	reader->tries = 0;
	if (body->size > 0)
		(void)jj_http_call_write(
		    reader->call, body->data, body->size, true);
	if (jj_http_call_is_gone(reader->call)) {
		end_reader(node, reader, true);
		return;
	}
	/* Asked before the wait is declared: on_room may come in between. */
	(void)apr_thread_mutex_lock(node->results_lock);
	reader->waiting = true;
	room = jj_http_call_has_room(reader->call);
	if (room)
		reader->waiting = false;
	(void)apr_thread_mutex_unlock(node->results_lock);
	if (room)
		ask(node, reader);
}

static void
end_reader(jj_node_t *node, reader_t *reader, bool broken)
{
	jj_http_call_t *call = reader->call;

	free_reader(node, reader);
	jj_http_call_end(call, broken);
}

/** The caller may go away, or read on, on another thread meanwhile. */
static void
free_reader(jj_node_t *node, reader_t *reader)
{
	(void)apr_thread_mutex_lock(node->results_lock);
	jj_http_call_set_context(reader->call, NULL);
	(void)apr_thread_mutex_unlock(node->results_lock);
	free(reader);
}
