/**
 * @file node_uploads.c
 * @brief Uploads of batch files, guarded by a fixed number of locks.
 *
 * An upload runs on its connection's thread and on the thread of the bulk
 * platform client, never on the loops, so large uploads don't delay routing.
 *
 * Lock order: the node's upload_lock, the upload's lock, its call's lock. No
 * thread holds the locks of two uploads.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/monotonic.h"
#include "daemon/answers.h"
#include "daemon/node.h"

/** Retry-After sent when the platform could not store an upload, ms. */
#define UPLOAD_RETRY_AFTER_MS 5000

typedef struct {
	uint64_t token;
	apr_thread_mutex_t *lock; /**< one of upload_shards; guards all below */
	int references;
	jj_intake_t *intake;
	jj_http_call_t *call;
	bool complete; /**< the caller has sent the whole body */
	bool answered;
} upload_t;

static upload_t *create_upload(jj_node_t *, jj_http_call_t *);
static upload_t *acquire_upload(jj_node_t *, uint64_t);
static upload_t *acquire_upload_of(jj_node_t *, const jj_http_call_t *);
static void release_upload(upload_t *);
static void execute_actions(jj_node_t *, jj_actions_t *);
static void answer_if_ended(jj_node_t *, upload_t *);
static void remove_upload(jj_node_t *, upload_t *);

bool
jj_node_is_upload(const jj_http_call_t *call)
{
	return strcmp(jj_http_call_path(call), "/v1/files") == 0 &&
	    strcmp(jj_http_call_method(call), "POST") == 0;
}

size_t
jj_node_feed_upload(
    void *ctx, jj_http_call_t *call, const char *data, size_t size)
{
	jj_node_t *node = ctx;
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	upload_t *upload = acquire_upload_of(node, call);
	size_t taken;

	if (upload == NULL)
		upload = create_upload(node, call);
	(void)apr_thread_mutex_lock(upload->lock);
	if (jj_intake_state(upload->intake) == JJ_INTAKE_OPEN)
		taken = jj_intake_feed(
		    upload->intake, data, size, jj_monotonic_now(), &actions);
	else
		taken = size; /* discarded: the answer is decided */
	(void)apr_thread_mutex_unlock(upload->lock);
	execute_actions(node, &actions);
	release_upload(upload);
	return taken;
}

void
jj_node_finish_upload(jj_node_t *node, jj_http_call_t *call)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	upload_t *upload = acquire_upload_of(node, call);

	if (upload == NULL)
		upload = create_upload(node, call);
	(void)apr_thread_mutex_lock(upload->lock);
	upload->complete = true;
	if (jj_intake_state(upload->intake) == JJ_INTAKE_OPEN)
		jj_intake_finish(upload->intake, jj_monotonic_now(), &actions);
	(void)apr_thread_mutex_unlock(upload->lock);
	execute_actions(node, &actions);
	answer_if_ended(node, upload);
	release_upload(upload);
}

void
jj_node_abort_upload(jj_node_t *node, jj_http_call_t *call)
{
	upload_t *upload = acquire_upload_of(node, call);
	bool answered;

	if (upload == NULL)
		return;
	(void)apr_thread_mutex_lock(upload->lock);
	answered = upload->answered;
	upload->answered = true;
	(void)apr_thread_mutex_unlock(upload->lock);
	if (!answered) {
		jj_http_call_end_stream(call, true);
		remove_upload(node, upload);
	}
	release_upload(upload);
}

void
jj_node_take_upload_result(jj_node_t *node, jj_platform_result_t *result)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	upload_t *upload = acquire_upload(node, result->token);

	if (upload == NULL) {
		jj_platform_result_clear(result);
		return;
	}
	(void)apr_thread_mutex_lock(upload->lock);
	jj_intake_take_result(
	    upload->intake, result, jj_monotonic_now(), &actions);
	if (!upload->answered && !upload->complete &&
	    (jj_intake_accepts_input(upload->intake) ||
		jj_intake_state(upload->intake) != JJ_INTAKE_OPEN))
		jj_http_call_resume_upload(upload->call);
	(void)apr_thread_mutex_unlock(upload->lock);
	execute_actions(node, &actions);
	answer_if_ended(node, upload);
	jj_platform_result_clear(result);
	release_upload(upload);
}

void
jj_node_tick_uploads(jj_node_t *node, jj_ms_t now)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	GHashTableIter iterator;
	GPtrArray *all = g_ptr_array_new();
	gpointer value;
	upload_t *upload;
	guint i;

	(void)apr_thread_mutex_lock(node->upload_lock);
	g_hash_table_iter_init(&iterator, node->uploads);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		upload = value;
		(void)apr_thread_mutex_lock(upload->lock);
		upload->references++;
		(void)apr_thread_mutex_unlock(upload->lock);
		g_ptr_array_add(all, upload);
	}
	(void)apr_thread_mutex_unlock(node->upload_lock);
	for (i = 0; i < all->len; i++) {
		upload = g_ptr_array_index(all, i);
		(void)apr_thread_mutex_lock(upload->lock);
		if (now >= jj_intake_next(upload->intake))
			jj_intake_tick(upload->intake, now, &actions);
		(void)apr_thread_mutex_unlock(upload->lock);
		execute_actions(node, &actions);
		answer_if_ended(node, upload);
		release_upload(upload);
	}
	g_ptr_array_free(all, TRUE);
}

/** Creates an upload; the caller of this function holds a reference. */
static upload_t *
create_upload(jj_node_t *node, jj_http_call_t *call)
{
	jj_intake_settings_t settings = node->settings->intake;
	const char *team = jj_http_call_header(call, "Jujube-Team");
	upload_t *upload = jj_alloc(sizeof(*upload));

	(void)snprintf(
	    settings.writer, sizeof(settings.writer), "%s", node->writer);
	settings.seed = node->incarnation ^ jj_node_next_number(node);
	upload->token = jj_node_next_number(node);
	upload->lock =
	    node->upload_shards[upload->token % JJ_NODE_UPLOAD_SHARDS];
	upload->references = 2; /* the table's and the caller's */
	upload->call = call;
	upload->intake = jj_intake_create(
	    &settings, upload->token, team != NULL ? team : "default");
	jj_http_call_set_context(call, (void *)(uintptr_t)upload->token);
	(void)apr_thread_mutex_lock(node->upload_lock);
	(void)g_hash_table_insert(node->uploads, &upload->token, upload);
	(void)apr_thread_mutex_unlock(node->upload_lock);
	return upload;
}

/** Finds an upload and takes a reference to it; NULL if unknown. */
static upload_t *
acquire_upload(jj_node_t *node, uint64_t token)
{
	upload_t *upload;

	(void)apr_thread_mutex_lock(node->upload_lock);
	upload = g_hash_table_lookup(node->uploads, &token);
	if (upload != NULL) {
		(void)apr_thread_mutex_lock(upload->lock);
		upload->references++;
		(void)apr_thread_mutex_unlock(upload->lock);
	}
	(void)apr_thread_mutex_unlock(node->upload_lock);
	return upload;
}

/** Takes a reference; NULL if the call has no upload or was answered. */
static upload_t *
acquire_upload_of(jj_node_t *node, const jj_http_call_t *call)
{
	return acquire_upload(
	    node, (uint64_t)(uintptr_t)jj_http_call_context(call));
}

static void
release_upload(upload_t *upload)
{
	int left;

	(void)apr_thread_mutex_lock(upload->lock);
	left = --upload->references;
	(void)apr_thread_mutex_unlock(upload->lock);
	if (left > 0)
		return;
	jj_intake_destroy(upload->intake);
	free(upload);
}

static void
execute_actions(jj_node_t *node, jj_actions_t *actions)
{
	jj_action_t *action;

	while ((action = TAILQ_FIRST(actions)) != NULL) {
		TAILQ_REMOVE(actions, action, link);
		if (action->kind == JJ_ACTION_PLATFORM)
			jj_platform_start(
			    node->platform_bulk, &action->body.platform);
		jj_action_free(action);
	}
}

/** Answers an upload once its file is durable, invalid or rejected. */
static void
answer_if_ended(jj_node_t *node, upload_t *upload)
{
	jj_problem_t problem = {400, "invalid_file",
	    "The file is not valid JSON lines of a batch.", NULL, "not_run", 0};
	jj_intake_state_t state;
	jj_bytes_t body;
	bool answer;

	(void)apr_thread_mutex_lock(upload->lock);
	state = jj_intake_state(upload->intake);
	answer =
	    state != JJ_INTAKE_OPEN && upload->complete && !upload->answered;
	if (answer)
		upload->answered = true;
	(void)apr_thread_mutex_unlock(upload->lock);
	if (!answer)
		return;
	problem.detail = jj_intake_detail(upload->intake);
	if (state == JJ_INTAKE_DONE) {
		body = jj_intake_describe(upload->intake);
		jj_answer_json(upload->call, 200, &body, 0);
		jj_bytes_free(&body);
	} else {
		if (state == JJ_INTAKE_FAILED) {
			problem.status = 503;
			problem.code = "platform_unavailable";
			problem.title = "The file could not be stored.";
			problem.retry_after_ms = UPLOAD_RETRY_AFTER_MS;
		}
		jj_answer_problem(upload->call, &problem);
	}
	remove_upload(node, upload);
}

/** Removes the upload from the table and releases the table's reference. */
static void
remove_upload(jj_node_t *node, upload_t *upload)
{
	(void)apr_thread_mutex_lock(node->upload_lock);
	(void)g_hash_table_remove(node->uploads, &upload->token);
	(void)apr_thread_mutex_unlock(node->upload_lock);
	release_upload(upload);
}
