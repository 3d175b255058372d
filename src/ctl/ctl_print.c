/**
 * @file ctl_print.c
 * @brief Prints JSON values as JSON or as aligned tables.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl_print.h"

/** Maximum number of columns of a table. */
#define COLUMNS_MAX 16
/** Spaces between columns. */
#define COLUMN_GAP 2

static size_t count_columns(const jj_ctl_column_t *);
static void widen(glong *, const char *);
static void print_cell(const char *, glong);
static void print_column(const char *, size_t, size_t, glong);

const json_t *
jj_ctl_find_member(const json_t *object, const char *path)
{
	char **keys = g_strsplit(path, ".", -1);
	size_t i;

	for (i = 0; keys[i] != NULL; i++)
		object = json_object_get(object, keys[i]);
	g_strfreev(keys);
	return object;
}

char *
jj_ctl_format_value(const json_t *value)
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
	/* Names come from outside and may hold terminal control sequences. */
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
	glong widths[COLUMNS_MAX] = {0};
	const json_t *row;
	char *text;
	size_t i, column;

	if (ctl->json) {
		jj_ctl_print_json(rows);
		return;
	}
	for (column = 0; column < count; column++) {
		widen(&widths[column], columns[column].heading);
		json_array_foreach(rows, i, row)
		{
			text = jj_ctl_format_value(
			    jj_ctl_find_member(row, columns[column].path));
			widen(&widths[column], text);
			g_free(text);
		}
	}
	for (column = 0; column < count; column++)
		print_column(
		    columns[column].heading, column, count, widths[column]);
	json_array_foreach(rows, i, row)
	{
		for (column = 0; column < count; column++) {
			text = jj_ctl_format_value(
			    jj_ctl_find_member(row, columns[column].path));
			print_column(text, column, count, widths[column]);
			g_free(text);
		}
	}
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
		text = jj_ctl_format_value(
		    jj_ctl_find_member(object, column->path));
		print_cell(column->heading, width + COLUMN_GAP);
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

/** Pads by characters, not bytes: names may hold non-ASCII letters. */
static void
print_cell(const char *text, glong width)
{
	glong length = g_utf8_strlen(text, -1);

	(void)printf(
	    "%s%*s", text, length < width ? (int)(width - length) : 0, "");
}

/** Prints one cell of a row; the last is not padded and ends the line. */
static void
print_column(const char *text, size_t column, size_t count, glong width)
{
	bool last = column == count - 1;

	print_cell(text, last ? 0 : width + COLUMN_GAP);
	if (last)
		(void)putchar('\n');
}
