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
/** Compact text of an object; releases its reference. */
jj_bytes_t jj_json_take_bytes(json_t *object);
/**
 * Copies a JSON string with its NUL into @p capacity bytes.
 * @return false, with nothing copied, when @p text is not a string or does not
 * fit.
 */
bool jj_json_copy_text(char *to, size_t capacity, const json_t *text);

#endif
