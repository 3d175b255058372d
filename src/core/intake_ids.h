/**
 * @file intake_ids.h
 * @brief The custom_ids seen in one upload, to find a repeated one.
 *
 * Keeps a seeded 64-bit hash and a line number for each id: 16 bytes each
 * and at most twice that in the table, whatever the ids' length. With the
 * default of 400000 items the chance of two ids sharing a hash, which would
 * refuse a good file, is below one in a hundred million.
 */
#ifndef JJ_CORE_INTAKE_IDS_H
#define JJ_CORE_INTAKE_IDS_H

#include "core/types.h"

/** One place of the table; line 0 is a free place. */
typedef struct {
	uint64_t hash;
	uint32_t line;
} jj_intake_id_t;

/** The table; zeroed at the start but for the seed. */
typedef struct {
	jj_intake_id_t *places; /**< owned */
	size_t size; /**< a power of two, or 0 */
	size_t count;
	uint64_t seed; /**< of the hash, so that callers cannot collide ids */
} jj_intake_ids_t;

/**
 * Adds an id first seen on @p line (from 1).
 * @return 0 when the id is new, else the line that has it already.
 */
uint32_t jj_intake_ids_add(
    jj_intake_ids_t *ids, const char *id, size_t size, uint32_t line);
/** Frees the table. */
void jj_intake_ids_clear(jj_intake_ids_t *ids);

#endif
