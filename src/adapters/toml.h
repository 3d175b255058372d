/**
 * @file toml.h
 * @brief TOML documents: C interface to the tomlplusplus parser.
 *
 * No C++ exception leaves this module. Nodes are valid as long as their
 * document.
 */
#ifndef JJ_ADAPTERS_TOML_H
#define JJ_ADAPTERS_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A parsed document. */
typedef struct jj_toml jj_toml_t;
/** A table, an array or a value in a document. */
typedef struct jj_toml_node jj_toml_node_t;

typedef enum {
	JJ_TOML_TABLE,
	JJ_TOML_ARRAY,
	JJ_TOML_TEXT,
	JJ_TOML_INTEGER,
	JJ_TOML_REAL,
	JJ_TOML_BOOLEAN,
	JJ_TOML_DATE, /**< a date, a time or both */
} jj_toml_type_t;

/** Parses a file; on error NULL, and @p error_text is `FILE:LINE: …`. */
jj_toml_t *
jj_toml_load(const char *path, char *error_text, size_t error_text_size);
/** Parses @p size bytes; @p name is used as the file name in @p error_text. */
jj_toml_t *jj_toml_parse(const char *text, size_t size, const char *name,
    char *error_text, size_t error_text_size);
void jj_toml_destroy(jj_toml_t *toml);

/** The document's root table. */
const jj_toml_node_t *jj_toml_root(const jj_toml_t *toml);
jj_toml_type_t jj_toml_type(const jj_toml_node_t *node);
/** The line in which a node begins, from 1. */
int jj_toml_line(const jj_toml_node_t *node);
/** The name of a type with its article, such as `a table`. */
const char *jj_toml_type_name(jj_toml_type_t type);
/** Writes a value in TOML syntax, truncated to @p size bytes. */
void jj_toml_print(const jj_toml_node_t *node, char *text, size_t size);

/** A table's value under one key (no dotted path), or NULL. */
const jj_toml_node_t *
jj_toml_find(const jj_toml_node_t *table, const char *key);
/** Number of entries of a table or an array; 0 for values. */
size_t jj_toml_count(const jj_toml_node_t *node);
/** The entry at @p index of a table (ordered by key) or an array, or NULL. */
const jj_toml_node_t *jj_toml_at(const jj_toml_node_t *node, size_t index);
/** The key at @p index of a table, or NULL. */
const char *jj_toml_key_at(const jj_toml_node_t *table, size_t index);

/** Typed values: on another type, false and @p value is unchanged. */
bool jj_toml_get_integer(const jj_toml_node_t *node, int64_t *value);
/** Also accepts integers. */
bool jj_toml_get_real(const jj_toml_node_t *node, double *value);
bool jj_toml_get_boolean(const jj_toml_node_t *node, bool *value);
/** @p text points into the document and is valid as long as it. */
bool
jj_toml_get_text(const jj_toml_node_t *node, const char **text, size_t *size);

#endif
