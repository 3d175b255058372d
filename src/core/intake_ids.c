/**
 * @file intake_ids.c
 * @brief An open-addressing hash set of the custom_ids of one upload.
 */
#include "core/intake_ids.h"

#include <stdlib.h>

/* Places of the first table; it doubles when half full. */
#define FIRST_SIZE 1024

static jj_intake_id_t *find(const jj_intake_ids_t *, uint64_t);
static void grow(jj_intake_ids_t *);

uint32_t
jj_intake_ids_add(
    jj_intake_ids_t *ids, const char *id, size_t size, uint32_t line)
{
	uint64_t hash = jj_hash_bytes(id, size, ids->seed);
	jj_intake_id_t *place;

	if (2 * ids->count >= ids->size)
		grow(ids);
	place = find(ids, hash);
	if (place->line != 0)
		return place->line;
	place->hash = hash;
	place->line = line;
	ids->count++;
	return 0;
}

void
jj_intake_ids_clear(jj_intake_ids_t *ids)
{
	free(ids->places);
	ids->places = NULL;
	ids->size = 0;
	ids->count = 0;
}

static jj_intake_id_t *
find(const jj_intake_ids_t *ids, uint64_t hash)
{
	size_t at = hash & (ids->size - 1);

	while (ids->places[at].line != 0 && ids->places[at].hash != hash)
		at = (at + 1) & (ids->size - 1);
	return &ids->places[at];
}

static void
grow(jj_intake_ids_t *ids)
{
	jj_intake_ids_t larger = *ids;
	size_t at;

	larger.size = ids->size == 0 ? FIRST_SIZE : 2 * ids->size;
	larger.places = jj_alloc(larger.size * sizeof(*larger.places));
	for (at = 0; at < ids->size; at++) {
		if (ids->places[at].line != 0)
			*find(&larger, ids->places[at].hash) = ids->places[at];
	}
	free(ids->places);
	*ids = larger;
}
