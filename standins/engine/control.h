/**
 * @file control.h
 * @brief The control port, through which tests set faults and read records.
 */
#ifndef STANDIN_ENGINE_CONTROL_H
#define STANDIN_ENGINE_CONTROL_H

#include "../common/web.h"

/** Handles a request of a test; a web_handler_t, @p ctx is the engine_t. */
void
control_serve(void *ctx, const web_request_t *request, web_answer_t *answer);

#endif
