/**
 * @file job_submit.c
 * @brief Submits a job: reads the file's manifest, enters the job into the
 * index of active jobs, creates the job's object.
 *
 * A fresh submission with a key costs two reads and two writes, one without
 * a key one read less; a resend costs no write once the job has ended.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/job_operation.h"
#include "core/json_text.h"

/* Bounds of a completion window. */
#define WINDOW_MAX_MS ((jj_ms_t)30 * 24 * 3600 * 1000)
#define WINDOW_DEFAULT "24h"
/* Most bytes of a job's metadata as JSON. */
#define METADATA_MAX 16384

static const char *check_caller(const char *, const char *);
static const char *take_request(jj_job_operation_t *, const json_t *);
static const char *take_metadata(jj_job_t *, const json_t *);
static bool take_window(jj_job_t *, const json_t *);
static bool is_visible(const char *, size_t);
static uint64_t hash_request(const char *, const json_t *);
static void
write_id(jj_jobs_t *, jj_job_operation_t *, const char *, const char *);
static void take_result(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_file(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_actions_t *);
static bool take_manifest(jj_job_operation_t *, const json_t *);
static void take_job(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_actions_t *);
static void begin_job(jj_jobs_t *, jj_job_operation_t *, jj_actions_t *);
static void take_entry(jj_jobs_t *, jj_job_operation_t *,
    const jj_platform_result_t *, jj_actions_t *);
static void go_on(jj_jobs_t *, jj_job_operation_t *, jj_actions_t *);
static bool is_same(const jj_job_operation_t *, const jj_job_t *);

void
jj_jobs_submit(jj_jobs_t *jobs, uint64_t number, const char *team,
    const char *key, const jj_bytes_t *request, int64_t unix_seconds,
    jj_ms_t now, jj_actions_t *out)
{
	jj_job_operation_t *operation =
	    jj_job_operation_begin(jobs, number, take_result, now);
	const char *fault = check_caller(team, key);
	char file[JJ_OBJECT_KEY_MAX + 1];
	json_t *object = NULL;

	if (request->size > 0)
		object = json_loadb(
		    request->data, request->size, JSON_REJECT_DUPLICATES, NULL);
	if (fault == NULL)
		fault = take_request(operation, object);
	if (fault != NULL) {
		jj_job_operation_refuse(
		    jobs, operation, 422, "invalid_request", fault, out);
		goto out;
	}
	(void)jj_name_set(&operation->job.team, team);
	operation->job.submitted_at = unix_seconds;
	operation->job.fingerprint = hash_request(team, object);
	write_id(jobs, operation, team, key);
	jj_operations_next_text(&jobs->operations, operation->job.operation);
	snprintf(
	    file, sizeof(file), "files/%s/file", operation->job.input_file);
	jj_job_operation_call(operation, JJ_PLATFORM_GET, file, out);
out:
	json_decref(object);
}

static const char *
check_caller(const char *team, const char *key)
{
	if (team[0] == '\0' || !is_visible(team, JJ_NAME_MAX))
		return "the team's name is not valid";
	if (key != NULL &&
	    (key[0] == '\0' || !is_visible(key, JJ_IDEMPOTENCY_KEY_MAX)))
		return "the idempotency key must be 1 to 255 visible "
		       "characters of ASCII";
	return NULL;
}

/* Returns what is wrong, or NULL. */
static const char *
take_request(jj_job_operation_t *operation, const json_t *object)
{
	jj_job_t *job = &operation->job;
	const json_t *service = json_object_get(object, "service");

	if (!json_is_object(object))
		return "the request is not a JSON object";
	if (!jj_json_copy_text(job->input_file, sizeof(job->input_file),
		json_object_get(object, "input_file_id")) ||
	    !jj_object_id_is_valid(job->input_file))
		return "input_file_id must be the id of an uploaded file";
	if (!jj_json_copy_text(job->endpoint, sizeof(job->endpoint),
		json_object_get(object, "endpoint")) ||
	    job->endpoint[0] != '/')
		return "endpoint must be a path of at most 127 bytes";
	if (service != NULL &&
	    !jj_json_copy_text(
		job->service.text, sizeof(job->service.text), service))
		return "service must be a name of at most 63 bytes";
	if (!take_window(job, json_object_get(object, "completion_window")))
		return "completion_window must be a number with s, m, h or d, "
		       "from 1s to 30d";
	return take_metadata(job, json_object_get(object, "metadata"));
}

static const char *
take_metadata(jj_job_t *job, const json_t *metadata)
{
	char *text;

	if (metadata == NULL || json_is_null(metadata))
		return NULL;
	if (!json_is_object(metadata))
		return "metadata must be an object";
	text = json_dumps(metadata, JSON_COMPACT);
	job->metadata = jj_bytes_from_text(text);
	free(text);
	if (job->metadata.size > METADATA_MAX)
		return "metadata must be at most 16384 bytes";
	return NULL;
}

static bool
take_window(jj_job_t *job, const json_t *window)
{
	const char *text =
	    window == NULL ? WINDOW_DEFAULT : json_string_value(window);
	static const struct {
		const char *unit;
		jj_ms_t ms;
	} units[] = {
	    {"s", 1000}, {"m", 60000}, {"h", 3600000}, {"d", 86400000}};
	jj_ms_t number;
	char *end;
	size_t at;

	if (text == NULL || text[0] < '0' || text[0] > '9')
		return false;
	number = strtoll(text, &end, 10);
	if (number < 1 || number > WINDOW_MAX_MS / 1000)
		return false;
	for (at = 0; at < sizeof(units) / sizeof(units[0]); at++) {
		if (strcmp(end, units[at].unit) == 0) {
			job->due_after_ms = number * units[at].ms;
			return job->due_after_ms <= WINDOW_MAX_MS;
		}
	}
	return false;
}

/* Also keeps out what JSON could not hold. */
static bool
is_visible(const char *text, size_t most)
{
	size_t at;

	for (at = 0; text[at] != '\0'; at++) {
		if (at == most || text[at] < ' ' || text[at] > '~')
			return false;
	}
	return true;
}

/* The order of fields and the white space of a resend do not matter. */
static uint64_t
hash_request(const char *team, const json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t team_hash = jj_hash_bytes(team, strlen(team), 0);
	uint64_t hash = jj_hash_bytes(text, strlen(text), team_hash);

	free(text);
	return hash;
}

/*
 * Two VMs that take the same submission at once know nothing of each other.
 * As the id follows from team and key, both create the same object, and the
 * platform lets only one of them: one job, never two.
 */
static void
write_id(jj_jobs_t *jobs, jj_job_operation_t *operation, const char *team,
    const char *key)
{
	char text[JJ_NAME_MAX + 1 + JJ_IDEMPOTENCY_KEY_MAX + 1];
	jj_hash_t hash;
	int size;

	if (key != NULL) {
		operation->has_key = true;
		snprintf(
		    operation->job.key, sizeof(operation->job.key), "%s", key);
		size = snprintf(text, sizeof(text), "%s%c%s", team, '\0', key);
		hash = jj_hash_wide(text, (size_t)size);
	} else {
		hash.high = jj_operations_next(&jobs->operations);
		hash.low = jj_operations_next(&jobs->operations);
	}
	jj_object_id_write(operation->id, &hash);
	memcpy(operation->job.id, operation->id, sizeof(operation->id));
}

static void
take_result(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	(void)now;
	if (operation->job.part_count == 0)
		take_file(jobs, operation, result, out);
	else if (jj_job_operation_is_index(operation))
		take_entry(jobs, operation, result, out);
	else if (result->op == JJ_PLATFORM_GET)
		take_job(jobs, operation, result, out);
	else if (result->outcome == JJ_PLATFORM_OK)
		/*
		 * Only now: a VM lost right after its answer must not take
		 * an acknowledged job with it.
		 */
		jj_job_operation_answer_job(jobs, operation, out);
	else
		jj_job_operation_read(operation, out);
}

static void
take_file(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	json_t *manifest = NULL;
	bool usable;

	if (result->value.size > 0)
		manifest =
		    json_loadb(result->value.data, result->value.size, 0, NULL);
	/* Another team's file is as good as none: ids are no permission. */
	usable = result->outcome == JJ_PLATFORM_OK &&
	    take_manifest(operation, manifest);
	json_decref(manifest);
	if (usable)
		begin_job(jobs, operation, out);
	else
		jj_job_operation_refuse(jobs, operation, 404, "file_unknown",
		    "no such input file; upload it first", out);
}

static bool
take_manifest(jj_job_operation_t *operation, const json_t *manifest)
{
	jj_job_t *job = &operation->job;
	const json_t *parts = json_object_get(manifest, "parts");
	const char *team = json_string_value(json_object_get(manifest, "team"));
	size_t count = json_array_size(parts);
	size_t at;

	if (count == 0 || team == NULL || strcmp(team, job->team.text) != 0)
		return false;
	job->part_items = jj_alloc(count * sizeof(*job->part_items));
	for (at = 0; at < count; at++) {
		json_int_t items =
		    json_integer_value(json_array_get(parts, at));

		if (items < 1 || items > UINT32_MAX - job->items)
			return false;
		job->part_items[at] = (uint32_t)items;
		job->items += (uint32_t)items;
	}
	job->part_count = (uint32_t)count;
	return true;
}

/*
 * With a key the job is looked for first: a resend of a job that has ended
 * must not enter it into the index, where each worker would read it.
 */
static void
begin_job(jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	if (operation->has_key)
		jj_job_operation_read(operation, out);
	else
		jj_job_operation_call_index(
		    jobs, operation, JJ_PLATFORM_CREATE, 0, out);
}

/*
 * The job would be acknowledged and never run: its VM was lost between the
 * job's object and its index entry. So the entry comes first; an entry
 * without a job is deleted by the workers after a long time.
 *
 * An entry that stands already may be about to be deleted that way. The
 * deletion names the version that was seen without a job, so the entry is
 * written anew, and either the deletion fails or this update does.
 */
static void
take_entry(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	bool read = result->op == JJ_PLATFORM_GET;
	bool stands = result->outcome == JJ_PLATFORM_OK;

	if (stands && read &&
	    !jj_operation_is_own(&result->value, jobs->settings.writer,
		operation->index_operation)) {
		jj_job_operation_call_index(
		    jobs, operation, JJ_PLATFORM_UPDATE, result->version, out);
	} else if (stands) {
		operation->indexed = true;
		go_on(jobs, operation, out);
	} else if (result->outcome == JJ_PLATFORM_CONFLICT) {
		jj_job_operation_call_index(
		    jobs, operation, JJ_PLATFORM_GET, 0, out);
	} else {
		jj_job_operation_call_index(
		    jobs, operation, JJ_PLATFORM_CREATE, 0, out);
	}
}

static void
go_on(jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	if (operation->found)
		jj_job_operation_answer_job(jobs, operation, out);
	else
		jj_job_operation_write(
		    jobs, operation, JJ_PLATFORM_CREATE, out);
}

/*
 * The job's object was there already, or a write's answer was lost. One that
 * has not ended is acknowledged again only with its entry confirmed: the
 * submission that created it may have given up, with its entry deleted.
 */
static void
take_job(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_job_t found;
	bool same;

	if (result->outcome != JJ_PLATFORM_OK && operation->indexed) {
		go_on(jobs, operation, out);
		return;
	}
	if (result->outcome != JJ_PLATFORM_OK) {
		jj_job_operation_call_index(
		    jobs, operation, JJ_PLATFORM_CREATE, 0, out);
		return;
	}
	same = jj_job_decode(&found, &result->value, result->version) &&
	    is_same(operation, &found);
	if (same) {
		jj_job_clear(&operation->job);
		operation->job = found;
		operation->found = true;
		if (operation->indexed || jj_job_has_ended(&operation->job))
			jj_job_operation_answer_job(jobs, operation, out);
		else
			jj_job_operation_call_index(
			    jobs, operation, JJ_PLATFORM_CREATE, 0, out);
		return;
	}
	jj_job_clear(&found);
	jj_job_operation_refuse(jobs, operation, 409, "idempotency_conflict",
	    "a job with this idempotency key exists with other content; a "
	    "file that was uploaded again has another id and so is other "
	    "content: send the first input_file_id, or use another key",
	    out);
}

/*
 * With a key, a resend and the lost answer of one's own write look alike and
 * get the same answer: the job. Without one only the own write is the job.
 */
static bool
is_same(const jj_job_operation_t *operation, const jj_job_t *found)
{
	const jj_job_t *job = &operation->job;

	if (!operation->has_key)
		return strcmp(found->operation, job->operation) == 0;
	return found->fingerprint == job->fingerprint &&
	    strcmp(found->key, job->key) == 0 &&
	    jj_name_equal(&found->team, &job->team);
}
