/**
 * @file call.h
 * @brief The body and headers of a call that asks for a completion.
 */
#ifndef STANDIN_ENGINE_CALL_H
#define STANDIN_ENGINE_CALL_H

#include <stdbool.h>

#include <jansson.h>

#include "../common/web.h"
#include "stream.h"

/** Most tokens that a call may ask for. */
#define CALL_TOKENS_LIMIT 1000000

/** A parsed call, with what the ask points into. */
typedef struct {
	json_t *json;
	char *prompt;
	char *model; /**< may be NULL */
	stream_ask_t ask;
} call_t;

/**
 * Reads a call, which is zeroed before; call_clear() is due in any case.
 * @return NULL, or what is wrong with the body.
 */
const char *call_parse(call_t *call, const web_request_t *request, bool chat);
/** Frees what a call holds. */
void call_clear(call_t *call);

#endif
