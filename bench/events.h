/**
 * @file events.h
 * @brief What will happen, ordered by virtual time.
 */
#ifndef BENCH_EVENTS_H
#define BENCH_EVENTS_H

#include "core/dispatch.h"

typedef enum {
	EVENT_ARRIVAL, /**< index: of the caller's request */
	EVENT_SUBMIT, /**< pointer: stream; target: server */
	EVENT_CANCEL, /**< request, attempt; target: server */
	EVENT_STEP, /**< target: server; attempt: its epoch */
	EVENT_BACKEND, /**< kind, request, attempt; target: VM */
	EVENT_TIMEOUT, /**< request, attempt; target: VM */
	EVENT_MESSAGE, /**< pointer: message; target: VM */
	EVENT_TICK, /**< target: VM */
	EVENT_REPORT, /**< a load report; target: server */
	EVENT_FAULT, /**< index: of the scenario's fault */
	EVENT_CRASH, /**< a VM's probe sees a death; target: VM */
	EVENT_UP, /**< a VM's probe sees a start; target: VM */
} event_kind_t;

typedef struct {
	int64_t at_us;
	uint64_t order; /**< events of the same time keep their order */
	event_kind_t kind;
	uint32_t target;
	uint32_t server;
	uint32_t attempt;
	jj_backend_kind_t backend;
	uint64_t request;
	uint64_t boot;
	void *pointer;
} event_t;

typedef struct {
	event_t *heap;
	size_t count;
	size_t size;
	uint64_t order;
} events_t;

void events_destroy(events_t *events);
void events_push(events_t *events, const event_t *event);
/** Takes the earliest; false when there is none. */
bool events_pop(events_t *events, event_t *event);

#endif
