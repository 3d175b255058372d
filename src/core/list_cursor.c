/**
 * @file list_cursor.c
 * @brief Where the next page of a list begins, whatever its objects are named.
 */
#include <stdio.h>
#include <string.h>

#include "core/list_cursor.h"

/** Failures after which a page is read from another place. */
#define FAILURES_MAX 2

/** The unreserved characters, in the order of their bytes. */
static const char UNRESERVED[] = "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_"
				 "abcdefghijklmnopqrstuvwxyz~";

static const char *choose_next(const jj_list_cursor_t *,
    const jj_platform_result_t *, char[JJ_OBJECT_KEY_MAX + 1]);
static const char *last_unreserved(const jj_platform_result_t *);
static const char *last_name(const jj_platform_result_t *);
static bool skip_names(const char *, char[JJ_OBJECT_KEY_MAX + 1]);
static bool is_cut(const char *);
static bool is_unreserved_key(const char *);
static bool is_unreserved(unsigned char);
static char next_unreserved(unsigned char);

void
jj_list_cursor_reset(jj_list_cursor_t *cursor)
{
	memset(cursor, 0, sizeof(*cursor));
}

jj_list_step_t
jj_list_cursor_take_page(
    jj_list_cursor_t *cursor, const jj_platform_result_t *page)
{
	char skipped[JJ_OBJECT_KEY_MAX + 1];
	const char *next = NULL;
	jj_list_step_t end =
	    cursor->has_gap ? JJ_LIST_INCOMPLETE : JJ_LIST_COMPLETE;

	if (!page->more) {
		jj_list_cursor_reset(cursor);
		return end;
	}
	next = choose_next(cursor, page, skipped);
	if (next != NULL && strcmp(next, cursor->checkpoint) == 0) {
		if (cursor->only_unreserved)
			next = NULL;
		cursor->only_unreserved = true;
	}
	if (next == NULL) {
		jj_list_cursor_reset(cursor);
		return JJ_LIST_INCOMPLETE;
	}
	cursor->skips_after = next == skipped;
	cursor->has_gap = cursor->has_gap || cursor->skips_after;
	cursor->failures = 0;
	memmove(cursor->after, next, strlen(next) + 1);
	cursor->pages++;
	/* At powers of two, so that a cycle of any length is found. */
	if ((cursor->pages & (cursor->pages - 1)) == 0)
		memcpy(cursor->checkpoint, cursor->after,
		    sizeof(cursor->checkpoint));
	return JJ_LIST_CONTINUES;
}

jj_list_step_t
jj_list_cursor_take_failure(
    jj_list_cursor_t *cursor, jj_platform_outcome_t outcome)
{
	char skipped[JJ_OBJECT_KEY_MAX + 1];

	/* Neither answer depends on the call's arguments. */
	if (outcome == JJ_PLATFORM_LIMITED || outcome == JJ_PLATFORM_DOWN ||
	    cursor->after[0] == '\0' || is_unreserved_key(cursor->after) ||
	    ++cursor->failures < FAILURES_MAX)
		return JJ_LIST_REPEATS;
	if (!skip_names(cursor->after, skipped)) {
		jj_list_cursor_reset(cursor);
		return JJ_LIST_INCOMPLETE;
	}
	memcpy(cursor->after, skipped, sizeof(cursor->after));
	cursor->failures = 0;
	cursor->only_unreserved = true;
	cursor->has_gap = true;
	cursor->skips_after = true;
	return JJ_LIST_CONTINUES;
}

/**
 * Chooses the place of the next page: the last name on this one that every
 * platform reads alike, else the last name, else the first place behind all
 * names like it.
 * @return NULL if there is none; @p skipped if names may be missing between.
 */
static const char *
choose_next(const jj_list_cursor_t *cursor, const jj_platform_result_t *page,
    char skipped[JJ_OBJECT_KEY_MAX + 1])
{
	const char *last = last_unreserved(page);

	if (last != NULL && strcmp(last, cursor->after) != 0)
		return last;
	last = last_name(page);
	if (last == NULL)
		return NULL;
	if (!cursor->only_unreserved && !is_cut(last) &&
	    strcmp(last, cursor->after) != 0)
		return last;
	return skip_names(last, skipped) ? skipped : NULL;
}

static const char *
last_unreserved(const jj_platform_result_t *page)
{
	size_t i;

	for (i = page->item_count; i > 0; i--)
		if (is_unreserved_key(page->items[i - 1].key))
			return page->items[i - 1].key;
	return NULL;
}

static const char *
last_name(const jj_platform_result_t *page)
{
	if (page->last_key[0] != '\0')
		return page->last_key;
	return page->item_count > 0 ? page->items[page->item_count - 1].key
				    : NULL;
}

/**
 * Writes the first key of unreserved characters behind @p key and all keys that
 * share its beginning up to its first reserved character. What lies between
 * has a reserved character there, or is that key itself.
 */
static bool
skip_names(const char *key, char skipped[JJ_OBJECT_KEY_MAX + 1])
{
	size_t begin = (size_t)(jj_object_name(key) - key);
	size_t i = begin;
	char next = '\0';

	(void)snprintf(skipped, JJ_OBJECT_KEY_MAX + 1, "%s", key);
	while (is_unreserved((unsigned char)skipped[i]))
		i++;
	if (i < JJ_OBJECT_KEY_MAX)
		next = next_unreserved((unsigned char)skipped[i]);
	while (next == '\0' && i > begin)
		next = next_unreserved((unsigned char)skipped[--i]);
	if (next == '\0')
		return false;
	skipped[i] = next;
	skipped[i + 1] = '\0';
	return true;
}

/** True for the beginning of a name, see jj_platform_result_t.last_key. */
static bool
is_cut(const char *last)
{
	return strlen(last) == JJ_OBJECT_KEY_MAX || is_unreserved_key(last);
}

static bool
is_unreserved_key(const char *key)
{
	const char *name = jj_object_name(key);

	while (is_unreserved((unsigned char)*name))
		name++;
	return *name == '\0';
}

static bool
is_unreserved(unsigned char c)
{
	return c != '\0' && strchr(UNRESERVED, c) != NULL;
}

/** The next unreserved character in the order of bytes; NUL if none. */
static char
next_unreserved(unsigned char c)
{
	const char *next = UNRESERVED;

	while (*next != '\0' && (unsigned char)*next <= c)
		next++;
	return *next;
}
