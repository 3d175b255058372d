/**
 * @file ctl_print.h
 * @brief Prints JSON as it is, or as an aligned table.
 */
#ifndef JJ_CTL_CTL_PRINT_H
#define JJ_CTL_CTL_PRINT_H

#include <jansson.h>

#include "ctl/ctl.h"

/** A column: its heading, and where its value is, such as `counts.total`. */
typedef struct {
	const char *heading;
	const char *path;
} jj_ctl_column_t;

/** A member of an object by its path of keys, or NULL. */
const json_t *jj_ctl_find(const json_t *object, const char *path);
/** A value as one line of text without control characters; g_free it. */
char *jj_ctl_text(const json_t *value);

/** Prints JSON, indented. */
void jj_ctl_print_json(const json_t *json);
/**
 * Prints an array of objects: a table, or the array itself with --json.
 * @param columns end with a NULL heading
 */
void jj_ctl_print_rows(
    const jj_ctl_t *ctl, const json_t *rows, const jj_ctl_column_t *columns);
/** Prints one object as lines of heading and value, or as JSON. */
void jj_ctl_print_fields(
    const jj_ctl_t *ctl, const json_t *object, const jj_ctl_column_t *columns);

#endif
