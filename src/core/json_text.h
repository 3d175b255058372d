/**
 * @file json_text.h
 * @brief JSON values to bytes, and strings out of JSON values.
 */
#ifndef JJ_CORE_JSON_TEXT_H
#define JJ_CORE_JSON_TEXT_H

#include <jansson.h>

#include "core/types.h"

/** Compact text of an object, whose reference is taken over. */
jj_bytes_t jj_json_take_bytes(json_t *object);
/**
 * Copies a JSON string with its NUL.
 * @return false, and nothing is copied, when @p text is no string or is
 * longer than @p room allows.
 */
bool jj_json_copy_text(char *to, size_t room, const json_t *text);

#endif
