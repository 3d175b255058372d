/**
 * @file batch_line.h
 * @brief One line of a batch input file: which service, path and body.
 */
#ifndef JJ_CORE_BATCH_LINE_H
#define JJ_CORE_BATCH_LINE_H

#include "core/types.h"

typedef struct {
	jj_bytes_t custom_id; /**< empty when the line has none */
	jj_name_t service;
	jj_bytes_t path;
	jj_bytes_t body; /**< JSON */
	uint64_t fingerprint; /**< of service, path and body */
} jj_batch_line_t;

/**
 * Decodes a line.
 * @param job_service service of the job; if empty, the line's url and model
 * name the service.
 * @return false when the line names no service or has no body; custom_id is
 * set even then, if the line has one.
 */
bool jj_batch_line_decode(
    jj_batch_line_t *line, const char *text, const jj_name_t *job_service);
void jj_batch_line_clear(jj_batch_line_t *line);

#endif
