/**
 * @file counts.h
 * @brief Counts the calls by kind.
 */
#ifndef STANDIN_COUNTS_H
#define STANDIN_COUNTS_H

#include <jansson.h>

typedef enum {
	COUNT_GET,
	COUNT_PUT,
	COUNT_DELETE,
	COUNT_LIST,
	COUNT_WATCH,
	COUNT_VMS,
	COUNT_WEIGHTS,
	COUNT_LIMITED, /**< answered 429 */
	COUNT_CONFLICTS, /**< answered 412 */
	COUNT_KINDS,
} count_kind_t;

typedef struct counts counts_t;

counts_t *count_create(void);
void count_destroy(counts_t *counts);
/** Counts one call; @p key (NULL: none) is a key or prefix of keys. */
void count_add(counts_t *counts, count_kind_t kind, const char *key);
void count_reset(counts_t *counts);
json_t *count_dump(counts_t *counts);

#endif
