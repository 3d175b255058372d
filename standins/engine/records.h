/**
 * @file records.h
 * @brief Records of the admitted streams in order, which tests can read.
 */
#ifndef STANDIN_ENGINE_RECORDS_H
#define STANDIN_ENGINE_RECORDS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "stream.h"

/** One admission. */
typedef struct {
	char *request; /**< may be NULL */
	uint64_t stream;
	uint32_t prompt_hash;
	bool batch;
	int64_t started_ms;
	int64_t ended_ms;
	outcome_t outcome;
	long tokens;
} record_t;

/** All admissions and their totals. */
typedef struct {
	GArray *list;
	uint64_t done;
	uint64_t cancelled;
	uint64_t tokens;
	long peak_running;
} records_t;

void records_init(records_t *records);
void records_destroy(records_t *records);
/** Adds a record for a stream that got a slot. Locked. */
void records_begin(records_t *records, stream_t *stream, int64_t now_ms);
/** Completes the record of a running stream with its outcome. Locked. */
void records_end(records_t *records, const stream_t *stream, int64_t now_ms);
/** The records as returned by GET /control/records. Locked. */
json_t *records_list(const records_t *records);
/** The totals as returned by GET /control/counts. Locked. */
json_t *records_count(const records_t *records);

#endif
