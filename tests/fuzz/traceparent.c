/**
 * @file traceparent.c
 * @brief Fuzz target: any text as a traceparent header. If it is accepted, the
 * header sent to the next hop must be accepted too.
 */
#include <stdlib.h>
#include <string.h>

#include "adapters/trace.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = jj_alloc(size + 1);
	char next[JJ_TRACE_PARENT_SIZE];
	jj_trace_parent_t parent;
	jj_span_t span;

	if (size > 0)
		memcpy(text, data, size);
	if (jj_trace_parse_parent(text, &parent)) {
		jj_trace_begin(&span, &parent, JJ_HOP_CALLER, text, 1);
		jj_trace_format_parent(&span, next);
		JJ_INVARIANT(jj_trace_parse_parent(next, &parent));
	}
	free(text);
	return 0;
}
