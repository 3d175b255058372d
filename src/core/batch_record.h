/**
 * @file batch_record.h
 * @brief The batch worker's objects as JSON: results, chunk records, outs.
 *
 * A result is kept as its JSON text, so that a checkpoint and the final
 * object are put together without decoding it again.
 */
#ifndef JJ_CORE_BATCH_RECORD_H
#define JJ_CORE_BATCH_RECORD_H

#include <jansson.h>

#include "core/operation.h"
#include "core/platform_call.h"
#include "core/types.h"

/** Longest writer (VM name and incarnation), with the NUL. */
#define JJ_WRITER_TEXT (JJ_NAME_MAX + 20)

/** What a result says of its item; the order is that of the counts. */
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

/** How many results of each kind. */
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
	uint64_t beat; /**< rises with each renewal of one holder */
	jj_ms_t lease_ms;
	jj_chunk_state_t state;
	jj_result_counts_t counts; /**< of a done record */
	uint64_t version; /**< of the object */
	json_t *document; /**< owned; NULL for one to be written */
} jj_chunk_record_t;

/** An item's parts of a chunk record. */
typedef struct {
	bool started; /**< non-idempotent and maybe sent */
	jj_item_result_t result;
} jj_item_record_t;

/** Result of an item that a backend server answered. */
jj_item_result_t jj_result_answered(const char *custom_id,
    const char *request_id, int status, const jj_bytes_t *body);
/**
 * Result of an item without a good answer.
 * @param code the error's code; "cancelled" is counted apart.
 * @param run "not_run", "run" or "unknown".
 */
jj_item_result_t jj_result_error(const char *custom_id, const char *code,
    const char *message, const char *run);
void jj_result_clear(jj_item_result_t *result);
/** Counts the results of an out object; false on malformed JSON. */
bool jj_out_count(const jj_bytes_t *value, jj_result_counts_t *counts);
/**
 * An out object with all results in order. Results that would make the
 * object larger than the platform takes are replaced by a failure, largest
 * first, so that one huge answer cannot hold its chunk up for ever.
 */
jj_bytes_t jj_out_encode(jj_item_result_t *results, uint32_t count,
    const char *writer, const char *operation);
/** Counts results by kind; those without text are left out. */
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
 * Encodes a record. @p results may be NULL (a done record). Results of
 * started items go first into @p limit bytes: these cannot be run again.
 */
jj_bytes_t jj_chunk_record_encode(const jj_chunk_record_t *record,
    const jj_item_result_t *results, const bool *started, uint32_t count,
    size_t limit);

#endif
