/**
 * @file job_codec.c
 * @brief Encodes and decodes a job's object; encodes the job for callers.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/job.h"
#include "core/json_text.h"
#include "core/operation.h"

/* Base of hexadecimal text. */
#define HEX 16

static bool decode_texts(jj_job_t *, const json_t *);
static bool decode_numbers(jj_job_t *, const json_t *);
static bool decode_parts(jj_job_t *, const json_t *);
static bool decode_state(jj_job_t *, const json_t *);
static void decode_metadata(jj_job_t *, const json_t *);
static bool copy_text(char *, size_t, const json_t *, const char *);
static bool copy_name(jj_name_t *, const json_t *, const char *);
static bool copy_count(uint32_t *, const json_t *, const char *);
static json_t *encode_parts(const jj_job_t *);
static void add_metadata(json_t *, const jj_job_t *);

/* By jj_job_state_t. */
static const char *const state_names[] = {
    "running", "cancelling", "cancelled", "completed"};
static const char *const shown_names[] = {
    "in_progress", "cancelling", "cancelled", "completed"};

bool
jj_job_decode(jj_job_t *job, const jj_bytes_t *value, uint64_t version)
{
	json_t *object = NULL;
	bool valid;

	memset(job, 0, sizeof(*job));
	if (value->size > 0)
		object = json_loadb(value->data, value->size, 0, NULL);
	valid = decode_texts(job, object) && decode_numbers(job, object) &&
	    decode_parts(job, object) && decode_state(job, object);
	if (valid) {
		decode_metadata(job, object);
		job->version = version;
	} else {
		jj_job_clear(job);
	}
	json_decref(object);
	return valid;
}

jj_bytes_t
jj_job_encode(const jj_job_t *job, const char *writer)
{
	char fingerprint[JJ_OPERATION_TEXT];
	json_t *object;

	jj_operation_write(fingerprint, job->fingerprint);
	object = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "id", job->id,
	    "key", job->key, "fingerprint", fingerprint, "team", job->team.text,
	    "service", job->service.text, "endpoint", job->endpoint,
	    "input_file", job->input_file);
	JJ_INVARIANT(object != NULL);
	json_object_set_new(object, "items", json_integer(job->items));
	json_object_set_new(object, "parts", encode_parts(job));
	json_object_set_new(object, "due_ms_after_submit",
	    json_integer((json_int_t)job->due_after_ms));
	json_object_set_new(object, "submitted_at",
	    json_integer((json_int_t)job->submitted_at));
	json_object_set_new(
	    object, "state", json_string(jj_job_state_name(job->state)));
	json_object_set_new(object, "done", json_integer(job->done));
	json_object_set_new(object, "failed", json_integer(job->failed));
	json_object_set_new(
	    object, "cancelled_items", json_integer(job->cancelled_items));
	add_metadata(object, job);
	json_object_set_new(object, "writer", json_string(writer));
	json_object_set_new(object, "operation", json_string(job->operation));
	return jj_json_take_bytes(object);
}

bool
jj_job_has_ended(const jj_job_t *job)
{
	if (job->state == JJ_JOB_CANCELLED)
		return job->done + job->failed + job->cancelled_items ==
		    job->items;
	return job->state == JJ_JOB_COMPLETED;
}

void
jj_job_clear(jj_job_t *job)
{
	free(job->part_items);
	jj_bytes_free(&job->metadata);
	memset(job, 0, sizeof(*job));
}

bool
jj_job_finish(jj_job_t *job, uint32_t done, uint32_t failed)
{
	if (job->state != JJ_JOB_RUNNING)
		return false;
	job->state = JJ_JOB_COMPLETED;
	job->done = done;
	job->failed = failed;
	job->cancelled_items = 0;
	return true;
}

const char *
jj_job_state_name(jj_job_state_t state)
{
	return state_names[state];
}

jj_bytes_t
jj_job_describe(const jj_job_t *job)
{
	json_t *counts = json_pack("{s:I,s:I,s:I}", "total",
	    (json_int_t)job->items, "completed", (json_int_t)job->done,
	    "failed", (json_int_t)job->failed);
	json_t *object = json_pack("{s:s,s:s,s:s,s:s,s:s,s:o,s:I}", "id",
	    job->id, "object", "batch", "endpoint", job->endpoint,
	    "input_file_id", job->input_file, "status", shown_names[job->state],
	    "request_counts", counts, "created_at",
	    (json_int_t)job->submitted_at);

	JJ_INVARIANT(object != NULL);
	add_metadata(object, job);
	return jj_json_take_bytes(object);
}

static bool
decode_texts(jj_job_t *job, const json_t *object)
{
	char fingerprint[JJ_OPERATION_TEXT];

	if (!copy_text(fingerprint, sizeof(fingerprint), object, "fingerprint"))
		return false;
	job->fingerprint = strtoull(fingerprint, NULL, HEX);
	/* Optional, as it is only shown to callers. */
	(void)copy_text(
	    job->endpoint, sizeof(job->endpoint), object, "endpoint");
	return copy_text(job->id, sizeof(job->id), object, "id") &&
	    copy_text(job->key, sizeof(job->key), object, "key") &&
	    copy_name(&job->team, object, "team") &&
	    copy_name(&job->service, object, "service") &&
	    copy_text(job->input_file, sizeof(job->input_file), object,
		"input_file") &&
	    copy_text(
		job->operation, sizeof(job->operation), object, "operation");
}

static bool
decode_numbers(jj_job_t *job, const json_t *object)
{
	const json_t *due = json_object_get(object, "due_ms_after_submit");
	const json_t *submitted = json_object_get(object, "submitted_at");

	if (!json_is_integer(due) || !json_is_integer(submitted))
		return false;
	job->due_after_ms = json_integer_value(due);
	job->submitted_at = json_integer_value(submitted);
	return copy_count(&job->items, object, "items") &&
	    copy_count(&job->done, object, "done") &&
	    copy_count(&job->failed, object, "failed") &&
	    copy_count(&job->cancelled_items, object, "cancelled_items");
}

static bool
decode_parts(jj_job_t *job, const json_t *object)
{
	const json_t *parts = json_object_get(object, "parts");
	uint64_t total = 0;
	size_t at;

	if (json_array_size(parts) == 0 || json_array_size(parts) > job->items)
		return false;
	job->part_count = (uint32_t)json_array_size(parts);
	job->part_items = jj_alloc(job->part_count * sizeof(*job->part_items));
	for (at = 0; at < job->part_count; at++) {
		json_int_t items =
		    json_integer_value(json_array_get(parts, at));

		if (items <= 0 || items > job->items)
			return false;
		job->part_items[at] = (uint32_t)items;
		total += (uint64_t)items;
	}
	return total == job->items;
}

static bool
decode_state(jj_job_t *job, const json_t *object)
{
	const char *name = json_string_value(json_object_get(object, "state"));
	int state;

	for (state = JJ_JOB_RUNNING; state <= JJ_JOB_COMPLETED; state++) {
		if (name != NULL && strcmp(name, state_names[state]) == 0) {
			job->state = (jj_job_state_t)state;
			return true;
		}
	}
	return false;
}

static void
decode_metadata(jj_job_t *job, const json_t *object)
{
	const json_t *metadata = json_object_get(object, "metadata");
	char *text;

	if (!json_is_object(metadata))
		return;
	text = json_dumps(metadata, JSON_COMPACT);
	job->metadata = jj_bytes_from_text(text);
	free(text);
}

static bool
copy_text(char *to, size_t to_size, const json_t *object, const char *field)
{
	return jj_json_copy_text(to, to_size, json_object_get(object, field));
}

static bool
copy_name(jj_name_t *name, const json_t *object, const char *field)
{
	return copy_text(name->text, sizeof(name->text), object, field);
}

static bool
copy_count(uint32_t *count, const json_t *object, const char *field)
{
	const json_t *number = json_object_get(object, field);
	json_int_t value = json_integer_value(number);

	if (!json_is_integer(number) || value < 0 || value > UINT32_MAX)
		return false;
	*count = (uint32_t)value;
	return true;
}

static json_t *
encode_parts(const jj_job_t *job)
{
	json_t *parts = json_array();
	uint32_t at;

	for (at = 0; at < job->part_count; at++)
		json_array_append_new(parts, json_integer(job->part_items[at]));
	return parts;
}

static void
add_metadata(json_t *object, const jj_job_t *job)
{
	json_t *metadata = NULL;

	if (job->metadata.size > 0)
		metadata =
		    json_loadb(job->metadata.data, job->metadata.size, 0, NULL);
	if (metadata != NULL)
		json_object_set_new(object, "metadata", metadata);
}
