/**
 * @file answer.c
 * @brief Checks that an answer is complete and belongs to its request.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "answer.h"

/** Buffer size for the stand-in engine's longest token with its number. */
#define TOKEN_SIZE 32

/** Progress of the check of an answer's text. */
typedef struct {
	char hash[9]; /**< of the prompt, as in each token */
	uint32_t tokens; /**< correct ones so far, in order */
	bool mixed;
	bool malformed;
} check_t;

static answer_verdict_t check_plain(const jj_bytes_t *, const char *);
static void check_whole(check_t *, const jj_bytes_t *);
static bool check_stream(check_t *, const jj_bytes_t *);
static void check_choice(check_t *, const json_t *);
static void check_text(check_t *, const char *);

answer_verdict_t
answer_check(answer_kind_t kind, const jj_bytes_t *body, const char *prompt,
    uint32_t tokens)
{
	check_t check = {{0}, 0, false, false};
	bool ended = true;

	if (body->size == 0)
		return ANSWER_TRUNCATED;
	if (kind == ANSWER_PLAIN)
		return check_plain(body, prompt);
	(void)snprintf(check.hash, sizeof(check.hash), "%08" PRIx32,
	    (uint32_t)jj_hash_bytes(prompt, strlen(prompt), 0));
	if (kind == ANSWER_WHOLE)
		check_whole(&check, body);
	else
		ended = check_stream(&check, body);
	if (check.mixed)
		return ANSWER_MIXED;
	if (check.malformed)
		return ANSWER_MALFORMED;
	return ended && check.tokens == tokens ? ANSWER_CORRECT
					       : ANSWER_TRUNCATED;
}

static answer_verdict_t
check_plain(const jj_bytes_t *body, const char *prompt)
{
	json_t *answer = json_loadb(body->data, body->size, 0, NULL);
	const char *echo = json_string_value(
	    json_object_get(json_object_get(answer, "echo"), "prompt"));
	answer_verdict_t verdict = ANSWER_MALFORMED;

	if (echo != NULL)
		verdict =
		    strcmp(echo, prompt) == 0 ? ANSWER_CORRECT : ANSWER_MIXED;
	json_decref(answer);
	return verdict;
}

static void
check_whole(check_t *check, const jj_bytes_t *body)
{
	json_t *answer = json_loadb(body->data, body->size, 0, NULL);

	check_choice(check, answer);
	json_decref(answer);
}

/** Returns true when the end marker was found. */
static bool
check_stream(check_t *check, const jj_bytes_t *body)
{
	static const char mark[] = "data: ";
	const char *at = body->data;
	const char *end;
	json_t *event;

	while ((at = strstr(at, mark)) != NULL) {
		at += strlen(mark);
		if (strncmp(at, "[DONE]", 6) == 0)
			return true;
		end = strchr(at, '\n');
		if (end == NULL)
			return false;
		event = json_loadb(at, (size_t)(end - at), 0, NULL);
		check_choice(check, event);
		json_decref(event);
		at = end;
	}
	return false;
}

static void
check_choice(check_t *check, const json_t *object)
{
	const json_t *choices = json_object_get(object, "choices");
	const char *text;

	if (object == NULL || choices == NULL) {
		check->malformed = true;
		return;
	}
	text = json_string_value(
	    json_object_get(json_array_get(choices, 0), "text"));
	if (text != NULL)
		check_text(check, text);
}

static void
check_text(check_t *check, const char *text)
{
	char expected[TOKEN_SIZE];
	size_t length;

	while (*text != '\0') {
		length = (size_t)snprintf(expected, sizeof(expected),
		    "w%" PRIu32 "-%s ", check->tokens, check->hash);
		if (strncmp(text, expected, length) != 0) {
			check->mixed = true;
			return;
		}
		check->tokens++;
		text += length;
	}
}
