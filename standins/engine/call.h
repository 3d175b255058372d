/**
 * @file call.h
 * @brief Parses the body and headers of a completion request.
 */
#ifndef STANDIN_ENGINE_CALL_H
#define STANDIN_ENGINE_CALL_H

#include <stdbool.h>

#include <jansson.h>

#include "../common/web.h"
#include "stream.h"

/** Maximum of max_tokens in a request. */
#define CALL_TOKENS_MAX 1000000

/** A parsed request; params points into the other fields. */
typedef struct {
	json_t *json;
	char *prompt;
	char *model; /**< may be NULL */
	stream_params_t params;
} call_t;

/**
 * Parses a request into a zeroed @p call. Call call_clear() in any case.
 * @return NULL, or the error in the body.
 */
const char *call_parse(call_t *call, const web_request_t *request, bool chat);
/** Frees the contents of a call. */
void call_clear(call_t *call);

#endif
