/**
 * @file job_read.c
 * @brief Reads jobs: status, results of a chunk, list.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/job_operation.h"
#include "core/json_text.h"

/* Maximum of keys in one list call; the platform's limit. */
#define LIST_MAX 1000
#define JOBS_PREFIX "jobs/"

static bool
accept_id(jj_jobs_t *, jj_job_operation_t *, const char *, jj_actions_t *);
static void refuse_unknown(jj_jobs_t *, jj_job_operation_t *, jj_actions_t *);
static void take_status(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void begin_count(jj_jobs_t *, jj_job_operation_t *, jj_actions_t *);
static void count_chunks(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_actions_t *);
static void take_results(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void answer_missing(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_actions_t *);
static jj_bytes_t write_lines(const jj_job_operation_t *, const json_t *);
static char *write_line(const jj_job_operation_t *, const json_t *, size_t);
static void take_list(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_first_key(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_actions_t *);
static void list_next(jj_job_operation_t *, jj_actions_t *);
static void
answer_list(jj_jobs_t *, jj_job_operation_t *, bool, jj_actions_t *);

void
jj_jobs_status(jj_jobs_t *jobs, uint64_t number, const char *id, jj_ms_t now,
    jj_actions_t *out)
{
	jj_job_operation_t *operation =
	    jj_job_operation_begin(jobs, number, take_status, now);

	if (accept_id(jobs, operation, id, out))
		jj_job_operation_read(operation, out);
}

void
jj_jobs_results(jj_jobs_t *jobs, uint64_t number, const char *id,
    uint32_t chunk, jj_ms_t now, jj_actions_t *out)
{
	jj_job_operation_t *operation =
	    jj_job_operation_begin(jobs, number, take_results, now);
	char key[JJ_OBJECT_KEY_MAX + 1];

	if (!accept_id(jobs, operation, id, out))
		return;
	operation->chunk = chunk;
	snprintf(key, sizeof(key), JOBS_PREFIX "%s/out/%06" PRIu32,
	    operation->id, chunk);
	jj_job_operation_call(operation, JJ_PLATFORM_GET, key, out);
}

void
jj_jobs_list(jj_jobs_t *jobs, uint64_t number, const char *after, jj_ms_t now,
    jj_actions_t *out)
{
	jj_job_operation_t *operation =
	    jj_job_operation_begin(jobs, number, take_list, now);

	if (after != NULL && !accept_id(jobs, operation, after, out))
		return;
	operation->data = json_array();
	list_next(operation, out);
}

/*
 * An id becomes part of a key, so an id with a "/" would read another object.
 * Malformed ids are refused as unknown jobs.
 */
static bool
accept_id(jj_jobs_t *jobs, jj_job_operation_t *operation, const char *id,
    jj_actions_t *out)
{
	if (!jj_object_id_is_valid(id)) {
		refuse_unknown(jobs, operation, out);
		return false;
	}
	memcpy(operation->id, id, sizeof(operation->id));
	return true;
}

static void
refuse_unknown(
    jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	jj_job_operation_refuse(
	    jobs, operation, 404, "job_unknown", "no such job", out);
}

static void
take_status(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	(void)now;
	if (result->op == JJ_PLATFORM_LIST) {
		count_chunks(jobs, operation, result, out);
		return;
	}
	if (result->outcome == JJ_PLATFORM_ABSENT) {
		refuse_unknown(jobs, operation, out);
		return;
	}
	if (jj_job_operation_decode(jobs, operation, result, out))
		begin_count(jobs, operation, out);
}

/* A completed job's object has the counts; for others chunks are counted. */
static void
begin_count(jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	char prefix[JJ_OBJECT_KEY_MAX + 1];

	if (operation->job.state == JJ_JOB_COMPLETED) {
		jj_job_operation_answer_job(jobs, operation, out);
		return;
	}
	operation->job.done = 0;
	snprintf(prefix, sizeof(prefix), JOBS_PREFIX "%s/out/", operation->id);
	jj_job_operation_call_list(operation, prefix, "", LIST_MAX, out);
}

/*
 * Counts by keys only, as reading the values would transfer all results of the
 * job for each status request. So failed items in these chunks are shown as
 * completed until the job ends.
 */
static void
count_chunks(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_job_t *job = &operation->job;
	size_t prefix = strlen(operation->call.key);
	size_t at;

	for (at = 0; at < result->item_count; at++) {
		const char *number = result->items[at].key + prefix;
		unsigned long chunk = strtoul(number, NULL, 10);

		if (chunk < job->part_count)
			job->done += job->part_items[chunk];
	}
	if (result->more && result->item_count > 0)
		jj_job_operation_call_list(operation, operation->call.key,
		    result->items[result->item_count - 1].key, LIST_MAX, out);
	else
		jj_job_operation_answer_job(jobs, operation, out);
}

static void
take_results(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	bool is_chunk = strstr(operation->call.key, "/out/") != NULL;
	json_t *object;

	(void)now;
	if (!is_chunk) {
		answer_missing(jobs, operation, result, out);
		return;
	}
	if (result->outcome != JJ_PLATFORM_OK) {
		jj_job_operation_read(operation, out);
		return;
	}
	object = jj_json_load_stored(result->value.data, result->value.size);
	if (json_is_array(json_object_get(object, "results")))
		jj_job_operation_answer(jobs, operation, 200,
		    write_lines(operation, json_object_get(object, "results")),
		    out);
	else
		jj_job_operation_refuse(jobs, operation, 500,
		    "results_malformed", "the results cannot be read", out);
	json_decref(object);
}

/* The chunk has no results; the job's object shows why. */
static void
answer_missing(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_bytes_t none = {NULL, 0};

	if (result->outcome == JJ_PLATFORM_ABSENT) {
		refuse_unknown(jobs, operation, out);
		return;
	}
	if (!jj_job_operation_decode(jobs, operation, result, out))
		return;
	if (operation->chunk >= operation->job.part_count)
		jj_job_operation_refuse(jobs, operation, 410, "past_the_end",
		    "the job has no such chunk", out);
	else
		jj_job_operation_answer(jobs, operation, 204, none, out);
}

static jj_bytes_t
write_lines(const jj_job_operation_t *operation, const json_t *results)
{
	jj_bytes_t lines = {NULL, 0};
	size_t capacity = 0;
	size_t at;

	for (at = 0; at < json_array_size(results); at++) {
		char *line =
		    write_line(operation, json_array_get(results, at), at);
		size_t size = strlen(line);

		if (lines.size + size + 2 > capacity) {
			capacity = 2 * (lines.size + size + 2);
			lines.data = jj_realloc(lines.data, capacity);
		}
		memcpy(lines.data + lines.size, line, size);
		lines.size += size;
		lines.data[lines.size++] = '\n';
		lines.data[lines.size] = '\0';
		free(line);
	}
	return lines;
}

static char *
write_line(const jj_job_operation_t *operation, const json_t *result, size_t at)
{
	json_t *response = json_object_get(result, "response");
	json_t *error = json_object_get(result, "error");
	char id[64];
	json_t *line;
	char *text;

	snprintf(id, sizeof(id), "%s-%" PRIu32 "-%zu", operation->id,
	    operation->chunk, at);
	line = json_pack("{s:s,s:O?,s:O?,s:O?}", "id", id, "custom_id",
	    json_object_get(result, "custom_id"), "response", response, "error",
	    error);
	JJ_INVARIANT(line != NULL);
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	return text;
}

/*
 * Most keys below jobs/ are of chunks and results. So a list call with limit 1
 * finds the first key of the next job, and the next list call starts after all
 * keys of that job.
 */
static void
take_list(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_job_t job;
	jj_bytes_t text;

	(void)now;
	if (result->op == JJ_PLATFORM_LIST) {
		take_first_key(jobs, operation, result, out);
		return;
	}
	if (result->outcome == JJ_PLATFORM_OK &&
	    jj_job_decode(&job, &result->value, result->version)) {
		text = jj_job_describe(&job);
		json_array_append_new(
		    operation->data, json_loadb(text.data, text.size, 0, NULL));
		jj_bytes_free(&text);
		jj_job_clear(&job);
	}
	list_next(operation, out);
}

static void
take_first_key(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	bool page_full = json_array_size(operation->data) >= JJ_JOB_PAGE;
	char id[JJ_OBJECT_ID_TEXT];

	if (result->item_count == 0 || page_full) {
		answer_list(jobs, operation, result->item_count > 0, out);
		return;
	}
	snprintf(
	    id, sizeof(id), "%s", result->items[0].key + strlen(JOBS_PREFIX));
	if (!jj_object_id_is_valid(id)) {
		answer_list(jobs, operation, false, out);
		return;
	}
	memcpy(operation->id, id, sizeof(id));
	jj_job_operation_read(operation, out);
}

/* "0" is the character after "/", so all keys of the job sort before it. */
static void
list_next(jj_job_operation_t *operation, jj_actions_t *out)
{
	char after[JJ_OBJECT_KEY_MAX + 1] = "";

	if (operation->id[0] != '\0')
		snprintf(
		    after, sizeof(after), JOBS_PREFIX "%s0", operation->id);
	jj_job_operation_call_list(operation, JOBS_PREFIX, after, 1, out);
}

static void
answer_list(jj_jobs_t *jobs, jj_job_operation_t *operation, bool more,
    jj_actions_t *out)
{
	json_t *list = json_pack("{s:s,s:O,s:b}", "object", "list", "data",
	    operation->data, "has_more", (int)more);

	jj_job_operation_answer(
	    jobs, operation, 200, jj_json_take_bytes(list), out);
}
