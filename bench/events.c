/**
 * @file events.c
 * @brief A binary heap.
 */
#include <stdlib.h>

#include "events.h"

static bool comes_before(const event_t *, const event_t *);
static void swap(event_t *, event_t *);
static void sink(events_t *, size_t);

void
events_destroy(events_t *events)
{
	free(events->heap);
	*events = (events_t){0};
}

void
events_push(events_t *events, const event_t *event)
{
	size_t place = events->count;
	size_t parent;

	if (events->count == events->size) {
		events->size = events->size * 2 + 64;
		events->heap =
		    jj_realloc(events->heap, events->size * sizeof(event_t));
	}
	events->heap[place] = *event;
	events->heap[place].order = events->order++;
	events->count++;
	for (; place > 0; place = parent) {
		parent = (place - 1) / 2;
		if (!comes_before(&events->heap[place], &events->heap[parent]))
			break;
		swap(&events->heap[place], &events->heap[parent]);
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
	sink(events, 0);
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
	event_t held = *a;

	*a = *b;
	*b = held;
}

static void
sink(events_t *events, size_t place)
{
	size_t child;

	while ((child = 2 * place + 1) < events->count) {
		if (child + 1 < events->count &&
		    comes_before(
			&events->heap[child + 1], &events->heap[child]))
			child++;
		if (!comes_before(&events->heap[child], &events->heap[place]))
			return;
		swap(&events->heap[place], &events->heap[child]);
		place = child;
	}
}
