/**
 * @file events.h
 * @brief Priority queue of events in order of virtual time.
 */
#ifndef BENCH_EVENTS_H
#define BENCH_EVENTS_H

#include "core/dispatch.h"

typedef enum {
	EVENT_ARRIVAL, /**< request: index of the call */
	EVENT_SUBMIT, /**< pointer: the stream; target: server */
	EVENT_CANCEL, /**< request, attempt; target: server */
	EVENT_STEP, /**< target: server; attempt: the engine's epoch */
	EVENT_BACKEND, /**< backend, request, attempt; target: VM */
	EVENT_TIMEOUT, /**< request, attempt; target: VM */
	EVENT_MESSAGE, /**< pointer: the message; target: VM */
	EVENT_TICK, /**< target: VM */
	EVENT_REPORT, /**< a load report; target: server */
	EVENT_FAULT, /**< request: index of the scenario's fault */
	EVENT_CRASH, /**< a VM's probe finds a server down; target: VM */
	EVENT_UP, /**< a VM's probe finds a server up; target: VM */
} event_kind_t;

typedef struct {
	int64_t at_us;
	uint64_t order; /**< order of insertion, for events of the same time */
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
/** Removes the earliest event; false when there is none. */
bool events_pop(events_t *events, event_t *event);

#endif
