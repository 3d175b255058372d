/**
 * @file node_pending.c
 * @brief HTTP calls that wait for an answer from a loop or the platform.
 */
#include <stdlib.h>

#include "daemon/answers.h"
#include "daemon/node.h"

jj_pending_t *
jj_node_add_pending(jj_node_t *node, jj_http_call_t *call,
    void (*answer)(
	jj_node_t *, jj_pending_t *, int, jj_ms_t, const jj_bytes_t *))
{
	jj_pending_t *pending = jj_alloc(sizeof(*pending));

	pending->operation = jj_node_next_number(node);
	pending->call = call;
	pending->answer = answer;
	(void)apr_thread_mutex_lock(node->pending_lock);
	(void)g_hash_table_insert(node->pending, &pending->operation, pending);
	(void)apr_thread_mutex_unlock(node->pending_lock);
	return pending;
}

void
jj_node_answer_pending(jj_node_t *node, uint64_t operation, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body)
{
	jj_pending_t *pending;

	(void)apr_thread_mutex_lock(node->pending_lock);
	pending = g_hash_table_lookup(node->pending, &operation);
	if (pending != NULL)
		(void)g_hash_table_remove(node->pending, &operation);
	(void)apr_thread_mutex_unlock(node->pending_lock);
	if (pending == NULL)
		return;
	pending->answer(node, pending, status, retry_after_ms, body);
	free(pending);
}

void
jj_node_answer_json(jj_node_t *node, jj_pending_t *pending, int status,
    jj_ms_t retry_after_ms, const jj_bytes_t *body)
{
	(void)node;
	jj_answer_json(pending->call, status, body, retry_after_ms);
}
