/**
 * @file node_hops.c
 * @brief Spans of non-idempotent calls that are sent to other VMs.
 */
#include <stdlib.h>

#include "adapters/monotonic.h"
#include "daemon/node.h"

/** Maximum number of open hops; bounds those of calls that never end. */
#define HOPS_MAX 4096

/** The open span of a call to another VM. */
typedef struct {
	uint64_t call;
	jj_span_t span;
} hop_t;

void
jj_node_begin_hop(jj_node_t *node, const jj_name_t *to, jj_call_t *call)
{
	hop_t *hop = g_hash_table_lookup(node->hops, &call->call);
	jj_trace_parent_t parent;

	if (hop == NULL) {
		if (!jj_trace_parse_parent(call->trace, &parent))
			return;
		if (g_hash_table_size(node->hops) >= HOPS_MAX)
			g_hash_table_remove_all(node->hops);
		hop = jj_alloc(sizeof(*hop));
		hop->call = call->call;
		jj_trace_begin(&hop->span, &parent, JJ_HOP_NEIGHBOUR, to->text,
		    jj_unix_now_ns());
		(void)g_hash_table_insert(node->hops, &hop->call, hop);
	}
	jj_trace_format_parent(&hop->span, call->trace);
}

void
jj_node_end_hop(jj_node_t *node, const jj_call_answer_t *answer)
{
	hop_t *hop = g_hash_table_lookup(node->hops, &answer->call);

	if (hop == NULL)
		return;
	jj_trace_end(&hop->span,
	    answer->outcome != JJ_CALL_DONE &&
		answer->outcome != JJ_CALL_REPLAYED,
	    jj_unix_now_ns());
	(void)g_hash_table_remove(node->hops, &answer->call);
}
