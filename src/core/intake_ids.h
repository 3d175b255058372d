/**
 * @file intake_ids.h
 * @brief The custom_ids of one upload, to detect duplicates.
 *
 * Stores a seeded 64-bit hash and a line number for each id: 16 bytes per
 * slot, whatever the length of the ids. The table doubles when half full. Two
 * ids with the same hash would refuse a valid file; with the default of 400000
 * items the probability is below one in a hundred million.
 */
#ifndef JJ_CORE_INTAKE_IDS_H
#define JJ_CORE_INTAKE_IDS_H

#include "core/types.h"

/** A slot of the table; line 0: unused. */
typedef struct {
	uint64_t hash;
	uint32_t line;
} jj_intake_id_t;

/** The table; initially all zero but the seed. */
typedef struct {
	jj_intake_id_t *slots; /**< owned */
	size_t size; /**< a power of two, or 0 */
	size_t count;
	uint64_t seed; /**< random, so that callers can't provoke collisions */
} jj_intake_ids_t;

/**
 * Adds the id of a line; @p line counts from 1.
 * @return 0 when the id is new, else the number of the line that has it.
 */
uint32_t jj_intake_ids_add(
    jj_intake_ids_t *ids, const char *id, size_t size, uint32_t line);
/** Frees the table. */
void jj_intake_ids_clear(jj_intake_ids_t *ids);

#endif
