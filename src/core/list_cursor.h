/**
 * @file list_cursor.h
 * @brief Where the next page of a list begins, whatever its objects are named.
 *
 * A page continues after the name of an object. Other programs write objects
 * too, under names that a platform may read otherwise once they are in a query,
 * or that are too long for one: such a page would be sent again and again, or
 * not at all. So pages continue after names of unreserved characters (RFC 3986,
 * 2.3) wherever there is one.
 */
#ifndef JJ_CORE_LIST_CURSOR_H
#define JJ_CORE_LIST_CURSOR_H

#include "core/platform_call.h"

/** How a list goes on after a call. */
typedef enum {
	JJ_LIST_CONTINUES, /**< read the page after `after` */
	JJ_LIST_REPEATS, /**< the same, as its call has failed */
	JJ_LIST_COMPLETE, /**< the last page was read */
	/** no further page can be read; objects may be missing */
	JJ_LIST_INCOMPLETE,
} jj_list_step_t;

/** The position in a list; zeroed before the first list. */
typedef struct {
	/** Key after which the next page begins; "": the first page. */
	char after[JJ_OBJECT_KEY_MAX + 1];
	/** An earlier `after`: a list that returns to it is in a cycle. */
	char checkpoint[JJ_OBJECT_KEY_MAX + 1];
	uint32_t pages; /**< read so far */
	uint32_t failures; /**< of the page after `after`, in a row */
	/** Reserved characters in `after` don't work on this platform. */
	bool only_unreserved;
	/** Names between two pages were skipped. */
	bool has_gap;
	/** `after` is the last of them: its object, if any, is not read yet. */
	bool skips_after;
} jj_list_cursor_t;

/** Starts the list again from its first page. */
void jj_list_cursor_reset(jj_list_cursor_t *cursor);
/** Handles a page; the cursor is reset when no further page is to be read. */
jj_list_step_t jj_list_cursor_take_page(
    jj_list_cursor_t *cursor, const jj_platform_result_t *page);
/** Handles the failure of a page's call. */
jj_list_step_t jj_list_cursor_take_failure(
    jj_list_cursor_t *cursor, jj_platform_outcome_t outcome);

#endif
