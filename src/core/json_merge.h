/**
 * @file json_merge.h
 * @brief JSON Merge Patch (RFC 7396).
 */
#ifndef JJ_CORE_JSON_MERGE_H
#define JJ_CORE_JSON_MERGE_H

#include <jansson.h>

/**
 * Applies a merge patch; neither argument is changed.
 * @param target the document, or NULL for none.
 * @return a new document that the caller owns.
 */
json_t *jj_json_merge(const json_t *target, const json_t *patch);

#endif
