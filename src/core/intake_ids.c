/**
 * @file intake_ids.c
 * @brief An open-addressing hash set of the custom_ids of one upload.
 */
#include "core/intake_ids.h"

#include <stdlib.h>

/* Slots of the first table; it doubles when half full. */
#define FIRST_SIZE 1024

static jj_intake_id_t *find(const jj_intake_ids_t *, uint64_t);
static void grow(jj_intake_ids_t *);

uint32_t
jj_intake_ids_add(
    jj_intake_ids_t *ids, const char *id, size_t size, uint32_t line)
{
	uint64_t hash = jj_hash_bytes(id, size, ids->seed);
	jj_intake_id_t *slot;

	if (2 * ids->count >= ids->size)
		grow(ids);
	slot = find(ids, hash);
	if (slot->line != 0)
		return slot->line;
	slot->hash = hash;
	slot->line = line;
	ids->count++;
	return 0;
}

void
jj_intake_ids_clear(jj_intake_ids_t *ids)
{
	free(ids->slots);
	ids->slots = NULL;
	ids->size = 0;
	ids->count = 0;
}

static jj_intake_id_t *
find(const jj_intake_ids_t *ids, uint64_t hash)
{
	size_t at = hash & (ids->size - 1);

	while (ids->slots[at].line != 0 && ids->slots[at].hash != hash)
		at = (at + 1) & (ids->size - 1);
	return &ids->slots[at];
}

static void
grow(jj_intake_ids_t *ids)
{
	jj_intake_ids_t larger = *ids;
	size_t at;

	larger.size = ids->size == 0 ? FIRST_SIZE : 2 * ids->size;
	larger.slots = jj_alloc(larger.size * sizeof(*larger.slots));
	for (at = 0; at < ids->size; at++) {
		if (ids->slots[at].line != 0)
			*find(&larger, ids->slots[at].hash) = ids->slots[at];
	}
	free(ids->slots);
	*ids = larger;
}
