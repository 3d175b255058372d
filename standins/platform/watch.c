/**
 * @file watch.c
 * @brief The history of watch events; see watch.h.
 */
#include <glib.h>

#include "watch.h"

/* Maximum events of one answer; the next call returns the remaining ones. */
#define ANSWER_EVENTS_MAX 1000

static void drop_oldest(watch_history_t *);
static const watch_event_t *first_after(const watch_history_t *, uint64_t);
static json_t *event_dump(const watch_event_t *);

void
watch_create(watch_history_t *history, size_t limit)
{
	TAILQ_INIT(&history->events);
	history->count = 0;
	history->limit = limit;
	history->floor = 0;
	history->drop = 0;
}

void
watch_destroy(watch_history_t *history)
{
	while (!TAILQ_EMPTY(&history->events))
		drop_oldest(history);
}

void
watch_append(
    watch_history_t *history, const char *key, uint64_t revision, bool deleted)
{
	watch_event_t *event;

	if (history->drop > 0) {
		history->drop--;
		return;
	}
	event = g_new0(watch_event_t, 1);
	event->revision = revision;
	event->deleted = deleted;
	event->key = g_strdup(key);
	TAILQ_INSERT_TAIL(&history->events, event, link);
	history->count++;
	while (history->count > history->limit)
		drop_oldest(history);
}

void
watch_clear(watch_history_t *history, uint64_t revision)
{
	while (!TAILQ_EMPTY(&history->events))
		drop_oldest(history);
	history->floor = revision;
}

watch_outcome_t
watch_collect(const watch_history_t *history, const char *prefix,
    uint64_t since, json_t *events, uint64_t *reached)
{
	const watch_event_t *event;

	/* A revision above the current one is from before a store restart. */
	if (since < history->floor || since > *reached)
		return WATCH_GONE;
	event = first_after(history, since);
	for (; event != NULL; event = TAILQ_NEXT(event, link)) {
		if (!g_str_has_prefix(event->key, prefix))
			continue;
		json_array_append_new(events, event_dump(event));
		if (json_array_size(events) < ANSWER_EVENTS_MAX)
			continue;
		*reached = event->revision;
		break;
	}
	return json_array_size(events) > 0 ? WATCH_EVENTS : WATCH_NONE;
}

static void
drop_oldest(watch_history_t *history)
{
	watch_event_t *event = TAILQ_FIRST(&history->events);

	TAILQ_REMOVE(&history->events, event, link);
	history->count--;
	history->floor = event->revision;
	g_free(event->key);
	g_free(event);
}

/* Searches from the newest event, as most watchers are nearly up to date. */
static const watch_event_t *
first_after(const watch_history_t *history, uint64_t since)
{
	const watch_event_t *event;
	const watch_event_t *first = NULL;

	TAILQ_FOREACH_REVERSE(event, &history->events, watch_list, link)
	{
		if (event->revision <= since)
			break;
		first = event;
	}
	return first;
}

static json_t *
event_dump(const watch_event_t *event)
{
	return json_pack("{s:s, s:I, s:b}", "key", event->key, "version",
	    (json_int_t)event->revision, "deleted", event->deleted);
}
