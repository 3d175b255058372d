/**
 * @file routes.h
 * @brief Dispatches the calls of the engine's HTTP interface.
 */
#ifndef STANDIN_ENGINE_ROUTES_H
#define STANDIN_ENGINE_ROUTES_H

#include "../common/web.h"

/** Handles a request of a caller; a web_handler_t, @p ctx is the engine_t. */
void
routes_serve(void *ctx, const web_request_t *request, web_answer_t *answer);

#endif
