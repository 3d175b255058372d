/**
 * @file answer.h
 * @brief Checks that an answer is whole and belongs to its own request.
 *
 * The engine's text is a pure function of the prompt (ENGINE.md), and a plain
 * service echoes what it was sent: a lost, mixed or cut answer shows.
 */
#ifndef BENCH_HOP_ANSWER_H
#define BENCH_HOP_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

typedef enum {
	ANSWER_PLAIN, /**< of a plain service */
	ANSWER_WHOLE, /**< a completion in one body */
	ANSWER_STREAM, /**< a completion in server-sent events */
} answer_kind_t;

typedef enum {
	ANSWER_RIGHT,
	ANSWER_CUT, /**< not all of its tokens, or no end mark */
	ANSWER_MIXED, /**< tokens of another request */
	ANSWER_ODD, /**< not of the expected form */
} answer_verdict_t;

/** Judges a 200 answer to @p prompt that was to have @p tokens tokens. */
answer_verdict_t answer_judge(answer_kind_t kind, const jj_bytes_t *body,
    const char *prompt, uint32_t tokens);

#endif
