/**
 * @file batch_record.h
 * @brief Objects of the batch worker as JSON: item results, chunk records and
 * out objects (the results of a chunk).
 *
 * A result is kept as JSON text, so that checkpoints and the out object are
 * assembled without decoding it again.
 */
#ifndef JJ_CORE_BATCH_RECORD_H
#define JJ_CORE_BATCH_RECORD_H

#include <jansson.h>

#include "core/operation.h"
#include "core/platform_call.h"
#include "core/types.h"

/** Size of a writer (VM name and incarnation), with the NUL. */
#define JJ_WRITER_TEXT (JJ_NAME_MAX + 20)

/** Kind of a result; index into jj_result_counts_t. */
typedef enum {
	JJ_RESULT_DONE,
	JJ_RESULT_FAILED,
	JJ_RESULT_CANCELLED,
} jj_result_kind_t;

/** An item's result. */
typedef struct {
	jj_bytes_t text; /**< JSON object; empty: no result yet */
	jj_result_kind_t kind;
} jj_item_result_t;

/** Number of results of each kind. */
typedef struct {
	uint32_t by_kind[JJ_RESULT_CANCELLED + 1];
} jj_result_counts_t;

typedef enum {
	JJ_CHUNK_RUNNING,
	JJ_CHUNK_RELEASED,
	JJ_CHUNK_DONE,
} jj_chunk_state_t;

/** A chunk's record `jobs/ID/chunk/N`. */
typedef struct {
	char holder[JJ_WRITER_TEXT];
	char operation[JJ_OPERATION_TEXT];
	uint64_t fence;
	uint64_t renewals; /**< by this holder so far */
	jj_ms_t lease_ms;
	jj_chunk_state_t state;
	jj_result_counts_t counts; /**< only in a done record */
	uint64_t version; /**< of the object */
	json_t *document; /**< owned; NULL in a record to be encoded */
} jj_chunk_record_t;

/** What a chunk record holds of one item. */
typedef struct {
	bool started; /**< non-idempotent and may have been sent */
	jj_item_result_t result;
} jj_item_record_t;

/** Encodes the result of an item that a backend server answered. */
jj_item_result_t jj_result_answered(const char *custom_id,
    const char *request_id, int status, const jj_bytes_t *body);
/**
 * Encodes the result of an item without an accepted answer.
 * @param code the error's code; "cancelled" makes it JJ_RESULT_CANCELLED.
 * @param run "not_run", "run" or "unknown".
 */
jj_item_result_t jj_result_error(const char *custom_id, const char *code,
    const char *message, const char *run);
void jj_result_clear(jj_item_result_t *result);
/** Counts the results of an out object; false on malformed JSON. */
bool jj_out_count(const jj_bytes_t *value, jj_result_counts_t *counts);
/**
 * Encodes an out object with all results in order. If the object would exceed
 * the platform's size limit, results are replaced by a failure, largest first;
 * otherwise one huge answer would keep its chunk from ever being published.
 */
jj_bytes_t jj_out_encode(jj_item_result_t *results, uint32_t count,
    const char *writer, const char *operation);
/** Counts results by kind; those without text are skipped. */
jj_result_counts_t
jj_results_count(const jj_item_result_t *results, uint32_t count);

/** Decodes a record; false on malformed JSON. */
bool jj_chunk_record_decode(
    jj_chunk_record_t *record, const jj_bytes_t *value, uint64_t version);
void jj_chunk_record_clear(jj_chunk_record_t *record);
/**
 * Reads `started` and `results` of a decoded record into @p items; numbers
 * past @p count are skipped.
 */
void jj_chunk_record_read_items(
    const jj_chunk_record_t *record, jj_item_record_t *items, uint32_t count);
/**
 * Encodes a record. @p results is NULL for a done record. Of the results, as
 * many as fit into @p limit bytes are included; those of started items first,
 * as these can't be run again.
 */
jj_bytes_t jj_chunk_record_encode(const jj_chunk_record_t *record,
    const jj_item_result_t *results, const bool *started, uint32_t count,
    size_t limit);

#endif
