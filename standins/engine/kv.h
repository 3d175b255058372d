/**
 * @file kv.h
 * @brief Export and import of the KV cache of a stream between engines.
 */
#ifndef STANDIN_ENGINE_KV_H
#define STANDIN_ENGINE_KV_H

#include <stdint.h>

#include "../common/web.h"
#include "engine.h"

/** Answers GET /v1/streams/ID/kv. */
void kv_export(engine_t *engine, web_answer_t *answer, uint64_t id);
/** Answers PUT /v1/kv; the imported stream runs once it is resumed. */
void
kv_import(engine_t *engine, const web_request_t *request, web_answer_t *answer);

#endif
