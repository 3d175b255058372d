/**
 * @file ctl_print.c
 * @brief Prints JSON as it is, or as an aligned table.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl_print.h"

/** Most columns of a table. */
#define COLUMNS_MAX 16
/** Blanks between columns. */
#define GAP 2

static size_t count_columns(const jj_ctl_column_t *);
static void widen(glong *, const char *);
static void print_cell(const char *, glong);

const json_t *
jj_ctl_find(const json_t *object, const char *path)
{
	char **keys = g_strsplit(path, ".", -1);
	size_t i;

	for (i = 0; keys[i] != NULL; i++)
		object = json_object_get(object, keys[i]);
	g_strfreev(keys);
	return object;
}

char *
jj_ctl_text(const json_t *value)
{
	char *text;
	char *at;

	if (value == NULL || json_is_null(value) ||
	    (json_is_string(value) && json_string_length(value) == 0))
		return g_strdup("-");
	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (json_is_string(value))
		text = g_strdup(json_string_value(value));
	else if (json_is_real(value))
		text = g_strdup_printf("%g", json_real_value(value));
	else
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	/* A name from outside could hold a terminal's control sequences. */
	for (at = text; *at != '\0'; at++) {
		if (g_ascii_iscntrl(*at))
			*at = '?';
	}
	return text;
}

void
jj_ctl_print_json(const json_t *json)
{
	(void)json_dumpf(json, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	(void)putchar('\n');
}

void
jj_ctl_print_rows(
    const jj_ctl_t *ctl, const json_t *rows, const jj_ctl_column_t *columns)
{
	size_t count = count_columns(columns);
	size_t row_count = json_array_size(rows);
	char **cells = g_new0(char *, (row_count + 1) * count);
	glong widths[COLUMNS_MAX] = {0};
	size_t i;

	if (ctl->json) {
		jj_ctl_print_json(rows);
		g_free(cells);
		return;
	}
	for (i = 0; i < (row_count + 1) * count; i++) {
		cells[i] = i < count ? g_strdup(columns[i].heading)
				     : jj_ctl_text(jj_ctl_find(
					   json_array_get(rows, i / count - 1),
					   columns[i % count].path));
		widen(&widths[i % count], cells[i]);
	}
	for (i = 0; i < (row_count + 1) * count; i++) {
		bool last = i % count == count - 1;

		print_cell(cells[i], last ? 0 : widths[i % count] + GAP);
		if (last)
			(void)putchar('\n');
		g_free(cells[i]);
	}
	g_free(cells);
}

void
jj_ctl_print_fields(
    const jj_ctl_t *ctl, const json_t *object, const jj_ctl_column_t *columns)
{
	const jj_ctl_column_t *column;
	glong width = 0;
	char *text;

	if (ctl->json) {
		jj_ctl_print_json(object);
		return;
	}
	for (column = columns; column->heading != NULL; column++)
		widen(&width, column->heading);
	for (column = columns; column->heading != NULL; column++) {
		text = jj_ctl_text(jj_ctl_find(object, column->path));
		print_cell(column->heading, width + GAP);
		(void)printf("%s\n", text);
		g_free(text);
	}
}

static size_t
count_columns(const jj_ctl_column_t *columns)
{
	size_t count = 0;

	while (columns[count].heading != NULL && count < COLUMNS_MAX)
		count++;
	return count;
}

static void
widen(glong *width, const char *text)
{
	glong length = g_utf8_strlen(text, -1);

	if (length > *width)
		*width = length;
}

/** Counts characters, not bytes: names may hold letters beyond ASCII. */
static void
print_cell(const char *text, glong width)
{
	glong length = g_utf8_strlen(text, -1);

	(void)printf(
	    "%s%*s", text, length < width ? (int)(width - length) : 0, "");
}
