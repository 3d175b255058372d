/**
 * @file watch.h
 * @brief The history of events that watchers can request.
 *
 * Has no lock of its own: the store calls it with its mutex held.
 */
#ifndef STANDIN_WATCH_H
#define STANDIN_WATCH_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct watch_event {
	TAILQ_ENTRY(watch_event) link;
	uint64_t revision;
	bool deleted;
	char *key;
} watch_event_t;

typedef struct {
	TAILQ_HEAD(watch_list, watch_event) events;
	size_t count;
	size_t limit; /**< maximum events kept */
	uint64_t floor; /**< newest revision no longer in the history */
	long drop; /**< number of next events to omit */
} watch_history_t;

typedef enum {
	WATCH_NONE, /**< no newer event below the prefix */
	WATCH_EVENTS, /**< one or more events */
	WATCH_GONE, /**< since is not in the history: list again */
} watch_outcome_t;

void watch_create(watch_history_t *history, size_t limit);
void watch_destroy(watch_history_t *history);
/** Adds an event, or omits it while drop is above 0. */
void watch_append(
    watch_history_t *history, const char *key, uint64_t revision, bool deleted);
/** Removes all events; @p revision becomes the floor. */
void watch_clear(watch_history_t *history, uint64_t revision);
/**
 * Appends the events newer than @p since below @p prefix to @p events, oldest
 * first. @p *reached is the current revision on input, and on output the
 * revision up to which the answer is complete.
 */
watch_outcome_t watch_collect(const watch_history_t *history,
    const char *prefix, uint64_t since, json_t *events, uint64_t *reached);

#endif
