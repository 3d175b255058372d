/**
 * @file completion.h
 * @brief The calls that create, resume and cancel streams.
 */
#ifndef STANDIN_ENGINE_COMPLETION_H
#define STANDIN_ENGINE_COMPLETION_H

#include <stdbool.h>
#include <stdint.h>

#include "../common/web.h"
#include "engine.h"

/** Answers POST /v1/completions, or /v1/chat/completions with @p chat. */
void completion_create(engine_t *engine, const web_request_t *request,
    web_answer_t *answer, bool chat);
/** Answers POST /v1/streams/ID/resume. */
void completion_resume(engine_t *engine, const web_request_t *request,
    web_answer_t *answer, uint64_t id);
/** Answers POST /v1/streams/ID/cancel. */
void completion_cancel(engine_t *engine, web_answer_t *answer, uint64_t id);
/**
 * Refuses new work while the `leaving` or `refuse` fault is set. Locked.
 * @return true when it has filled in the answer.
 */
bool completion_refuse(engine_t *engine, web_answer_t *answer);

#endif
