/**
 * @file toml.h
 * @brief TOML documents for C: tomlplusplus behind plain functions.
 *
 * No C++ exception leaves this module. Nodes belong to their document.
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

/** Parses a file; NULL and @p why (`FILE:LINE: …`) when it cannot. */
jj_toml_t *jj_toml_load(const char *path, char *why, size_t why_size);
/** Parses @p size bytes of text; @p name stands for the file in @p why. */
jj_toml_t *jj_toml_parse(const char *text, size_t size, const char *name,
    char *why, size_t why_size);
void jj_toml_destroy(jj_toml_t *toml);

/** The document's root table. */
const jj_toml_node_t *jj_toml_root(const jj_toml_t *toml);
jj_toml_type_t jj_toml_type(const jj_toml_node_t *node);
/** The line a node begins in, from 1. */
int jj_toml_line(const jj_toml_node_t *node);
/** The type in words, with its article, as in `a table`. */
const char *jj_toml_type_name(jj_toml_type_t type);
/** Writes a value as it would stand in a file, cut to @p size. */
void jj_toml_print(const jj_toml_node_t *node, char *text, size_t size);

/** A table's value under one key (no dotted path), or NULL. */
const jj_toml_node_t *
jj_toml_find(const jj_toml_node_t *table, const char *key);
/** How many entries a table or an array has; 0 for values. */
size_t jj_toml_count(const jj_toml_node_t *node);
/** The entry at @p index of a table (ordered by key) or an array, or NULL. */
const jj_toml_node_t *jj_toml_at(const jj_toml_node_t *node, size_t index);
/** The key at @p index of a table, or NULL. */
const char *jj_toml_key_at(const jj_toml_node_t *table, size_t index);

/** Typed values: false, and nothing written, when of another type. */
bool jj_toml_get_integer(const jj_toml_node_t *node, int64_t *value);
/** Takes integers as well. */
bool jj_toml_get_real(const jj_toml_node_t *node, double *value);
bool jj_toml_get_boolean(const jj_toml_node_t *node, bool *value);
/** The text is valid as long as the document. */
bool
jj_toml_get_text(const jj_toml_node_t *node, const char **text, size_t *size);

#endif
