/**
 * @file prompt.h
 * @brief The parts of a request's prompt that other requests share.
 */
#ifndef JJ_CORE_PROMPT_H
#define JJ_CORE_PROMPT_H

#include "core/types.h"

/** Maximum parts that are read; further ones are ignored. */
#define JJ_PROMPT_PARTS_MAX 32

/** Zero-initialized it has no parts. */
typedef struct {
	uint32_t count;
	uint64_t ids[JJ_PROMPT_PARTS_MAX]; /**< hashes of their ids, in order */
} jj_prompt_t;

#endif
