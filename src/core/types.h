/**
 * @file types.h
 * @brief Names, bytes, hashes and limits that all modules of the core use.
 */
#ifndef JJ_CORE_TYPES_H
#define JJ_CORE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clock.h"

/** Longest name of a VM, backend server, failure domain, service or team. */
#define JJ_NAME_MAX 63
/** Longest key of a platform object, bytes. */
#define JJ_OBJECT_KEY_MAX 255
/** Largest value of a platform object, bytes (the platform's own limit). */
#define JJ_OBJECT_VALUE_MAX 1048576
/** Longest idempotency key a caller may send, bytes. */
#define JJ_IDEMPOTENCY_KEY_MAX 255

/** A NUL-terminated name, copied by assignment. */
typedef struct {
	char text[JJ_NAME_MAX + 1];
} jj_name_t;

/** Bytes on the heap, owned by the struct that holds them. */
typedef struct {
	char *data; /**< NULL when empty; NUL-terminated */
	size_t size; /**< bytes, without that NUL */
} jj_bytes_t;

/** Identifies one run of a jujubed process: a random number, never 0. */
typedef uint64_t jj_incarnation_t;

/** A 128-bit hash. */
typedef struct {
	uint64_t low;
	uint64_t high;
} jj_hash_t;

/** Copies @p text into a name; false (and an empty name) when too long. */
bool jj_name_set(jj_name_t *name, const char *text);
/** Like jj_name_set; a text that is too long is cut and ends in its hash. */
void jj_name_set_truncated(jj_name_t *name, const char *text);
/**
 * Copies @p text into @p size bytes; a text that is too long is cut and ends in
 * its hash. @p size must exceed the hash suffix.
 */
void jj_text_copy_truncated(char *fitted, size_t size, const char *text);
/** True when both names are the same. */
bool jj_name_equal(const jj_name_t *a, const jj_name_t *b);
/** True for the empty name. */
bool jj_name_is_empty(const jj_name_t *name);

/** Copies @p size bytes; an empty result for size 0. */
jj_bytes_t jj_bytes_copy(const void *data, size_t size);
/** Copies a NUL-terminated string. */
jj_bytes_t jj_bytes_from_text(const char *text);
/** Appends @p size bytes. */
void jj_bytes_append(jj_bytes_t *bytes, const void *data, size_t size);
/** Frees the bytes and empties the struct. */
void jj_bytes_free(jj_bytes_t *bytes);

/** A growing buffer; zeroed it is empty. */
typedef struct {
	jj_bytes_t bytes; /**< contents, NUL-terminated */
	size_t capacity; /**< allocated bytes */
} jj_buffer_t;

/**
 * Appends @p size bytes; the capacity doubles, so that appending copies little.
 */
void jj_buffer_append(jj_buffer_t *buffer, const void *data, size_t size);
/** Returns the bytes to the caller and empties the buffer. */
jj_bytes_t jj_buffer_take(jj_buffer_t *buffer);
/** Frees the bytes and empties the buffer. */
void jj_buffer_clear(jj_buffer_t *buffer);

/** XXH3 of @p size bytes. */
uint64_t jj_hash_bytes(const void *data, size_t size, uint64_t seed);
/** 128-bit XXH3 of @p size bytes. */
jj_hash_t jj_hash_wide(const void *data, size_t size);
/** True when both hashes are the same. */
bool jj_hash_equal(const jj_hash_t *a, const jj_hash_t *b);

/**
 * Splits the name of a process, NAME/HEX16.
 * @return the text of its incarnation; NULL when it is no such name.
 */
const char *jj_writer_split(const char *writer, jj_name_t *name);
/**
 * Weight of @p node for @p item in rendezvous (highest random weight) hashing:
 * the node with the greatest weight is chosen, so that only the items of a node
 * that joins or leaves move.
 */
uint64_t jj_rendezvous_weight(const char *node, uint64_t item);

/** Allocates zeroed memory; aborts the process when memory is exhausted. */
void *jj_alloc(size_t size);
/** Like realloc; aborts the process when memory is exhausted. */
void *jj_realloc(void *memory, size_t size);

/** Aborts the process with a message: an invariant of the core is violated. */
__attribute__((noreturn)) void
jj_invariant_broken(const char *file, int line, const char *what);
/**
 * Checks an invariant. For programming errors only; all other faults are
 * returned as outcomes.
 */
#define JJ_INVARIANT(condition) \
	((condition) ? (void)0  \
		     : jj_invariant_broken(__FILE__, __LINE__, #condition))

#endif
