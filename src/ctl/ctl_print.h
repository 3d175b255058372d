/**
 * @file ctl_print.h
 * @brief Prints JSON values as JSON or as aligned tables.
 */
#ifndef JJ_CTL_CTL_PRINT_H
#define JJ_CTL_CTL_PRINT_H

#include <jansson.h>

#include "ctl/ctl.h"

/** A column: heading and path of its value, such as `counts.total`. */
typedef struct {
	const char *heading;
	const char *path;
} jj_ctl_column_t;

/** The member of an object at a path of keys, or NULL. */
const json_t *jj_ctl_find_member(const json_t *object, const char *path);
/** A value as one line without control characters; free it with g_free. */
char *jj_ctl_format_value(const json_t *value);

/** Prints indented JSON. */
void jj_ctl_print_json(const json_t *json);
/**
 * Prints an array of objects: a table, or the array itself with --json.
 * @param columns end with a NULL heading
 */
void jj_ctl_print_rows(
    const jj_ctl_t *ctl, const json_t *rows, const jj_ctl_column_t *columns);
/** Prints one object, one heading and value a line, or as JSON. */
void jj_ctl_print_fields(
    const jj_ctl_t *ctl, const json_t *object, const jj_ctl_column_t *columns);

#endif
