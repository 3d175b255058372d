/**
 * @file sse.c
 * @brief Splits a relayed stream into server-sent events.
 */
#include <stdlib.h>
#include <string.h>

#include "core/types.h"
#include "daemon/sse.h"

static const char end_mark[] = "data: [DONE]";
static const char data_field[] = "data:";

static void find_events(jj_sse_t *, size_t);
static void count_event(jj_sse_t *, const char *, size_t);

void
jj_sse_feed(jj_sse_t *sse, const char *data, size_t size)
{
	size_t from = sse->size;

	if (sse->size - sse->whole + size > JJ_SSE_EVENT_MAX) {
		sse->too_long = true;
		return;
	}
	if (sse->size + size > sse->capacity) {
		sse->capacity = sse->capacity * 2 + size + 512;
		sse->pending = jj_realloc(sse->pending, sse->capacity);
	}
	memcpy(sse->pending + sse->size, data, size);
	sse->size += size;
	find_events(sse, from);
}

void
jj_sse_drop_complete(jj_sse_t *sse)
{
	sse->size -= sse->whole;
	memmove(sse->pending, sse->pending + sse->whole, sse->size);
	sse->whole = 0;
}

uint32_t
jj_sse_take_tokens(jj_sse_t *sse)
{
	uint32_t tokens = sse->tokens;

	sse->tokens = 0;
	return tokens;
}

void
jj_sse_clear(jj_sse_t *sse)
{
	free(sse->pending);
	memset(sse, 0, sizeof(*sse));
}

/** Searches for blank lines, which end events, starting at @p from. */
static void
find_events(jj_sse_t *sse, size_t from)
{
	size_t i;
	size_t end;

	for (i = from; i < sse->size; i++) {
		if (sse->pending[i] != '\n' || i == sse->whole)
			continue;
		end = i - 1;
		if (sse->pending[end] == '\r' && end > sse->whole)
			end--;
		if (sse->pending[end] != '\n')
			continue;
		count_event(sse, sse->pending + sse->whole, i + 1 - sse->whole);
		sse->whole = i + 1;
	}
}

static void
count_event(jj_sse_t *sse, const char *event, size_t size)
{
	if (size >= sizeof(end_mark) - 1 &&
	    memcmp(event, end_mark, sizeof(end_mark) - 1) == 0)
		sse->done = true;
	else if (size >= sizeof(data_field) - 1 &&
	    memcmp(event, data_field, sizeof(data_field) - 1) == 0) {
		sse->tokens++;
		sse->total++;
	}
}
