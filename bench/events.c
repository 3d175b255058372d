/**
 * @file events.c
 * @brief Priority queue of events as a binary heap.
 */
#include <stdlib.h>

#include "events.h"

static bool comes_before(const event_t *, const event_t *);
static void swap(event_t *, event_t *);
static void sift_down(events_t *, size_t);

void
events_destroy(events_t *events)
{
	free(events->heap);
	*events = (events_t){0};
}

void
events_push(events_t *events, const event_t *event)
{
	size_t index = events->count;
	size_t parent;

	if (events->count == events->size) {
		events->size = events->size * 2 + 64;
		events->heap =
		    jj_realloc(events->heap, events->size * sizeof(event_t));
	}
	events->heap[index] = *event;
	events->heap[index].order = events->order++;
	events->count++;
	for (; index > 0; index = parent) {
		parent = (index - 1) / 2;
		if (!comes_before(&events->heap[index], &events->heap[parent]))
			break;
		swap(&events->heap[index], &events->heap[parent]);
	}
}

bool
events_pop(events_t *events, event_t *event)
{
	if (events->count == 0)
		return false;
	*event = events->heap[0];
	events->count--;
	events->heap[0] = events->heap[events->count];
	sift_down(events, 0);
	return true;
}

static bool
comes_before(const event_t *a, const event_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void
swap(event_t *a, event_t *b)
{
	event_t saved = *a;

	*a = *b;
	*b = saved;
}

static void
sift_down(events_t *events, size_t index)
{
	size_t child;

	while ((child = 2 * index + 1) < events->count) {
		if (child + 1 < events->count &&
		    comes_before(
			&events->heap[child + 1], &events->heap[child]))
			child++;
		if (!comes_before(&events->heap[child], &events->heap[index]))
			return;
		swap(&events->heap[index], &events->heap[child]);
		index = child;
	}
}
