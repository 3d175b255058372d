/**
 * @file answer.h
 * @brief Checks that an answer is complete and belongs to its request.
 *
 * The stand-in engine's text is a pure function of the prompt (ENGINE.md), and
 * a plain service echoes its request: lost, swapped and truncated answers are
 * detected.
 */
#ifndef BENCH_HOP_ANSWER_H
#define BENCH_HOP_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

typedef enum {
	ANSWER_PLAIN, /**< answer of a plain service */
	ANSWER_WHOLE, /**< a completion in one body */
	ANSWER_STREAM, /**< a completion in server-sent events */
} answer_kind_t;

typedef enum {
	ANSWER_CORRECT,
	ANSWER_TRUNCATED, /**< tokens or the end marker are missing */
	ANSWER_MIXED, /**< answer or tokens of another request */
	ANSWER_MALFORMED, /**< not of the expected form */
} answer_verdict_t;

/** Checks a 200 answer to @p prompt; it must have @p tokens tokens. */
answer_verdict_t answer_check(answer_kind_t kind, const jj_bytes_t *body,
    const char *prompt, uint32_t tokens);

#endif
