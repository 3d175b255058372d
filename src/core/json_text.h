/**
 * @file json_text.h
 * @brief Serializes JSON values, and copies strings out of them.
 */
#ifndef JJ_CORE_JSON_TEXT_H
#define JJ_CORE_JSON_TEXT_H

#include <jansson.h>

#include "core/types.h"

/**
 * Parses JSON that this system or its store wrote; NULL when malformed. Strings
 * may contain NUL, as the output of a backend server may.
 */
json_t *jj_json_load_stored(const char *text, size_t size);
/** Values in the JSON of a request, as of a chat with 16,000 messages. */
#define JJ_JSON_VALUES_MAX 65536

/**
 * Parses JSON from outside; NULL when malformed or when it has more than
 * @p values_max values. A tree of many small values takes a hundred times the
 * memory of their text.
 * @param flags of json_loadb().
 */
json_t *jj_json_load_limited(
    const char *text, size_t size, size_t flags, size_t values_max);
/** Compact text of an object; releases its reference. */
jj_bytes_t jj_json_take_bytes(json_t *object);
/**
 * Copies a JSON string with its NUL into @p capacity bytes.
 * @return false, with nothing copied, when @p text is not a string or does not
 * fit.
 */
bool jj_json_copy_text(char *to, size_t capacity, const json_t *text);

#endif
