/**
 * @file node_results.c
 * @brief Streams a job's results, chunk by chunk, while and after it runs.
 *
 * One chunk is requested at a time, and the next one only when the call's send
 * buffer has free space. A large job thus needs memory for about one chunk.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon/answers.h"
#include "daemon/node.h"

/** Retries of a chunk while the platform does not answer. */
#define CHUNK_RETRIES_MAX 5

/** A caller that reads results; freed when its call ends. */
typedef struct {
	jj_http_call_t *call;
	char id[JJ_NAME_MAX + 1];
	uint32_t chunk;
	uint32_t retries;
	bool begun;
	bool waiting; /**< for buffer space; guarded by results_lock */
} reader_t;

static void request_chunk(jj_node_t *, reader_t *);
static void
handle_answer(jj_node_t *, jj_pending_t *, int, jj_ms_t, const jj_bytes_t *);
static void write_chunk(jj_node_t *, reader_t *, const jj_bytes_t *);
static void end_reader(jj_node_t *, reader_t *, bool);
static void free_reader(jj_node_t *, reader_t *);

bool
jj_node_is_results_call(const jj_http_call_t *call)
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
	request_chunk(node, reader);
}

void
jj_node_resume_results(jj_node_t *node, jj_http_call_t *call)
{
	reader_t *reader;
	bool resume;

	(void)apr_thread_mutex_lock(node->results_lock);
	reader = jj_http_call_context(call);
	resume = reader != NULL && reader->waiting;
	if (resume)
		reader->waiting = false;
	(void)apr_thread_mutex_unlock(node->results_lock);
	if (resume)
		request_chunk(node, reader);
}

static void
request_chunk(jj_node_t *node, reader_t *reader)
{
	jj_pending_t *pending =
	    jj_node_add_pending(node, reader->call, handle_answer);

	pending->detail = reader;
	jj_node_post_job(node, JJ_JOB_RESULTS, pending->operation, reader->id,
	    NULL, NULL, NULL, reader->chunk);
}

static void
handle_answer(jj_node_t *node, jj_pending_t *pending, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body)
{
	reader_t *reader = pending->detail;
	jj_http_call_t *call;

	if (status == 200 || status == 204) {
		write_chunk(node, reader, body);
		return;
	}
	if (status == 410 && reader->begun) {
		end_reader(node, reader, false);
		return;
	}
	if (status == 503 && reader->begun &&
	    reader->retries < CHUNK_RETRIES_MAX) {
		reader->retries++;
		request_chunk(node, reader);
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
write_chunk(jj_node_t *node, reader_t *reader, const jj_bytes_t *body)
{
	jj_http_answer_t answer = {
	    200, "application/jsonl", {{NULL, NULL}}, NULL, 0};
	bool writable;

	if (!reader->begun) {
		reader->begun = true;
		jj_http_call_begin_stream(reader->call, &answer);
	}
	reader->chunk++;
	reader->retries = 0;
	if (body->size > 0)
		(void)jj_http_call_write(
		    reader->call, body->data, body->size, true);
	if (jj_http_call_is_disconnected(reader->call)) {
		end_reader(node, reader, true);
		return;
	}
	/* Under the lock: on_writable may run on another thread meanwhile. */
	(void)apr_thread_mutex_lock(node->results_lock);
	reader->waiting = true;
	writable = jj_http_call_is_writable(reader->call);
	if (writable)
		reader->waiting = false;
	(void)apr_thread_mutex_unlock(node->results_lock);
	if (writable)
		request_chunk(node, reader);
}

static void
end_reader(jj_node_t *node, reader_t *reader, bool broken)
{
	jj_http_call_t *call = reader->call;

	free_reader(node, reader);
	jj_http_call_end_stream(call, broken);
}

/** Locks: on_disconnect or on_writable may run on another thread meanwhile. */
static void
free_reader(jj_node_t *node, reader_t *reader)
{
	(void)apr_thread_mutex_lock(node->results_lock);
	jj_http_call_set_context(reader->call, NULL);
	(void)apr_thread_mutex_unlock(node->results_lock);
	free(reader);
}
