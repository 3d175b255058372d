/**
 * @file json_text.c
 * @brief Serializes JSON values, and copies strings out of them.
 */
#include "core/json_text.h"

#include <stdlib.h>
#include <string.h>

json_t *
jj_json_load_stored(const char *text, size_t size)
{
	return json_loadb(text, size, JSON_ALLOW_NUL, NULL);
}

jj_bytes_t
jj_json_take_bytes(json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);
	jj_bytes_t bytes;

	JJ_INVARIANT(text != NULL);
	bytes = jj_bytes_from_text(text);
	free(text);
	json_decref(object);
	return bytes;
}

bool
jj_json_copy_text(char *to, size_t capacity, const json_t *text)
{
	size_t size = json_string_length(text);

	if (!json_is_string(text) || size >= capacity)
		return false;
	memcpy(to, json_string_value(text), size + 1);
	return true;
}
