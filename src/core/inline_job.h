/**
 * @file inline_job.h
 * @brief A batch job submitted whole in one request, and its results.
 *
 * A job has at most a few hundred items, so it is stored as one object that is
 * created once and never changed; a larger one is split into parts that are
 * created before it. Results are stored in segments that form an append-only
 * list. Each append is a conditional update, so that a published position never
 * changes, whichever VM writes.
 */
#ifndef JJ_CORE_INLINE_JOB_H
#define JJ_CORE_INLINE_JOB_H

#include "core/types.h"

/** Longest job id, bytes. */
#define JJ_INLINE_ID_MAX 127
/** Maximum number of items of a job. */
#define JJ_INLINE_ITEMS_MAX 1000
/**
 * Maximum bytes of a job's text in one object. A part's text is base64, which
 * needs no escapes when quoted in JSON, so the part stays far below the 1 MB
 * limit.
 */
#define JJ_INLINE_PART_BYTES 640000
/** A segment with this many bytes of results is sealed. */
#define JJ_INLINE_SEGMENT_BYTES 600000
/**
 * No result is added that makes a segment larger; the platform's limit of an
 * object is 1 MiB.
 */
#define JJ_INLINE_SEGMENT_SIZE_MAX 1000000

/** One item; owned by its job. */
typedef struct {
	char *id;
	char *path; /**< path at the server, with the query */
	char **headers; /**< "Name: value" */
	size_t header_count;
	jj_bytes_t body;
	uint64_t tokens; /**< prompt tokens plus the maximum of output tokens */
} jj_inline_item_t;

typedef struct {
	char id[JJ_INLINE_ID_MAX + 1];
	jj_name_t team; /**< that submitted it; empty: none */
	char *host; /**< of the submission; selects the route */
	char *path; /**< selects the route, too */
	int64_t submitted_unix_ms;
	uint64_t tokens; /**< of all items */
	size_t item_count;
	jj_inline_item_t *items;
} jj_inline_job_t;

/** One result. */
typedef struct {
	char *id; /**< id of the item; owned */
	bool done; /**< false: the item was abandoned */
	jj_bytes_t text; /**< output, if done; owned */
} jj_inline_result_t;

/** A segment: results at positions from `first` on. */
typedef struct {
	uint32_t total; /**< items of the job */
	uint32_t first;
	uint32_t count;
	jj_inline_result_t *results; /**< owned */
	bool sealed; /**< later results are in the next segment */
	/** The client ended the job: no item of it runs any more. */
	bool ended;
	char writer[JJ_NAME_MAX + 20]; /**< last writer, NAME/HEX16 */
} jj_inline_segment_t;

void jj_inline_job_clear(jj_inline_job_t *job);
/** Memory of a job, roughly, bytes. */
size_t jj_inline_job_bytes(const jj_inline_job_t *job);
/** Adds an empty item. */
jj_inline_item_t *jj_inline_job_add(jj_inline_job_t *job);
/** Adds a header line to an item. */
void jj_inline_item_add_header(
    jj_inline_item_t *item, const char *name, const char *value);
/** The item with that id, or NULL. */
const jj_inline_item_t *
jj_inline_job_find(const jj_inline_job_t *job, const char *id);

/** Encodes the job as JSON. */
jj_bytes_t jj_inline_job_encode(const jj_inline_job_t *job);
/** False when malformed; then @p job is empty. */
bool jj_inline_job_decode(jj_inline_job_t *job, const char *text, size_t size);
/** Number of parts for a job of @p size bytes; 0: stored whole. */
uint32_t jj_inline_count_parts(size_t size);
/** Encodes part @p part of a job's text as JSON. */
jj_bytes_t jj_inline_encode_part(const jj_bytes_t *text, uint32_t part);
/** Encodes the object stored in place of a job that is split into parts. */
jj_bytes_t jj_inline_encode_split(uint32_t parts);
/** Number of parts that the object names; 0: it is the job itself. */
uint32_t jj_inline_decode_split(const jj_bytes_t *object);
/** Appends a part's text; false when malformed. */
bool jj_inline_append_part(jj_bytes_t *text, const jj_bytes_t *object);

jj_bytes_t jj_inline_segment_encode(const jj_inline_segment_t *segment);
bool
jj_inline_segment_decode(jj_inline_segment_t *segment, const jj_bytes_t *text);
void jj_inline_segment_clear(jj_inline_segment_t *segment);
/** Appends a result; its id and text are copied. */
void jj_inline_segment_add(jj_inline_segment_t *segment, const char *id,
    bool done, const jj_bytes_t *text);
/** Stored size of its results in bytes, without the few bytes of the frame. */
size_t jj_inline_segment_size(const jj_inline_segment_t *segment);
/** Stored size of one result in bytes, with its text escaped. */
size_t jj_inline_result_size(const char *id, const jj_bytes_t *text);

#endif
