/**
 * @file operation.c
 * @brief Operation and object ids; recognises a write that is read back.
 */
#include "core/operation.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "core/json_text.h"

/* Constants of splitmix64. */
#define SPLITMIX_STEP 0x9e3779b97f4a7c15u
#define SPLITMIX_FIRST 0xbf58476d1ce4e5b9u
#define SPLITMIX_SECOND 0x94d049bb133111ebu

static bool text_is(const json_t *, const char *, const char *);

void
jj_operations_seed(jj_operations_t *operations, uint64_t seed)
{
	operations->state = seed;
}

uint64_t
jj_operations_next(jj_operations_t *operations)
{
	uint64_t mixed;

	operations->state += SPLITMIX_STEP;
	mixed = operations->state;
	mixed = (mixed ^ (mixed >> 30)) * SPLITMIX_FIRST;
	mixed = (mixed ^ (mixed >> 27)) * SPLITMIX_SECOND;
	return mixed ^ (mixed >> 31);
}

void
jj_operations_next_text(
    jj_operations_t *operations, char text[JJ_OPERATION_TEXT])
{
	jj_operation_write(text, jj_operations_next(operations));
}

void
jj_operation_write(char text[JJ_OPERATION_TEXT], uint64_t operation)
{
	snprintf(text, JJ_OPERATION_TEXT, "%016" PRIx64, operation);
}

bool
jj_operation_is_own(
    const jj_bytes_t *value, const char *writer, const char *operation)
{
	json_t *object;
	bool own;

	if (value->size == 0)
		return false;
	object = jj_json_load_stored(value->data, value->size);
	own = text_is(object, "writer", writer) &&
	    text_is(object, "operation", operation);
	json_decref(object);
	return own;
}

void
jj_object_id_write(char id[JJ_OBJECT_ID_TEXT], const jj_hash_t *hash)
{
	snprintf(id, JJ_OBJECT_ID_TEXT, "%016" PRIx64 "%08" PRIx32, hash->high,
	    (uint32_t)(hash->low >> 32));
}

bool
jj_object_id_is_valid(const char *id)
{
	return strlen(id) == JJ_OBJECT_ID_TEXT - 1 &&
	    strspn(id, "0123456789abcdef") == JJ_OBJECT_ID_TEXT - 1;
}

static bool
text_is(const json_t *object, const char *field, const char *expected)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text != NULL && strcmp(text, expected) == 0;
}
