/**
 * @file operation.h
 * @brief Operation ids, by which a writer recognises its own write.
 *
 * The platform's answer to a write may be lost after the write took effect; the
 * repeat then conflicts with the writer's own value. So each conditional write
 * carries the writer's name and an operation id, which is new for each write
 * and the same for its repeats.
 */
#ifndef JJ_CORE_OPERATION_H
#define JJ_CORE_OPERATION_H

#include "core/types.h"

/** Bytes of an operation id as text: 16 hex digits and the NUL. */
#define JJ_OPERATION_TEXT 17
/** Bytes of an object id as text: 24 hex digits and the NUL. */
#define JJ_OBJECT_ID_TEXT 25

/** A seeded generator of operation ids (splitmix64). */
typedef struct {
	uint64_t state;
} jj_operations_t;

/** Seeds the generator; equal seeds give equal ids. */
void jj_operations_seed(jj_operations_t *operations, uint64_t seed);
/** The next id, a 64-bit number. */
uint64_t jj_operations_next(jj_operations_t *operations);
/** Writes the next id as 16 hex digits. */
void jj_operations_next_text(
    jj_operations_t *operations, char text[JJ_OPERATION_TEXT]);

/** Writes an id as 16 hex digits. */
void jj_operation_write(char text[JJ_OPERATION_TEXT], uint64_t operation);
/**
 * True when a value read from the platform is the given write.
 * @param value JSON object with "writer" and "operation".
 * @return false for another process's write and for malformed JSON.
 */
bool jj_operation_is_own(
    const jj_bytes_t *value, const char *writer, const char *operation);

/** Writes an object id: the first 24 hex digits of the hash. */
void jj_object_id_write(char id[JJ_OBJECT_ID_TEXT], const jj_hash_t *hash);
/** True for 24 lower-case hex digits and nothing else. */
bool jj_object_id_is_valid(const char *id);

#endif
