/**
 * @file watch.h
 * @brief The events that watchers may still ask for.
 *
 * Not locked: the store calls it under its own mutex.
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
	size_t limit; /**< events kept */
	uint64_t floor; /**< newest revision that has been forgotten */
	long drop; /**< next events to lose */
} watch_history_t;

typedef enum {
	WATCH_NONE, /**< nothing below the prefix since then */
	WATCH_EVENTS, /**< some events */
	WATCH_GONE, /**< since is not in the history: list again */
} watch_outcome_t;

void watch_create(watch_history_t *history, size_t limit);
void watch_destroy(watch_history_t *history);
/** Adds an event, or loses it when a drop was ordered. */
void watch_append(
    watch_history_t *history, const char *key, uint64_t revision, bool deleted);
/** Forgets everything up to @p revision. */
void watch_forget(watch_history_t *history, uint64_t revision);
/**
 * Adds to @p events what is newer than @p since below @p prefix, oldest
 * first; @p *reached (in: the store's revision) is what the answer covers.
 */
watch_outcome_t watch_collect(const watch_history_t *history,
    const char *prefix, uint64_t since, json_t *events, uint64_t *reached);

#endif
