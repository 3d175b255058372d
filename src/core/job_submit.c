/**
 * @file job_submit.c
 * @brief Submits a job: reads the file's manifest, enters the job into the
 * index of active jobs, creates the job's object.
 *
 * A new submission with an idempotency key takes two reads and two writes; one
 * without a key takes one read less. A resend after the job has ended takes no
 * write.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/job_operation.h"
#include "core/json_text.h"

/* Maximum and default of a completion window. */
#define WINDOW_MAX_MS ((jj_ms_t)30 * 24 * 3600 * 1000)
#define WINDOW_DEFAULT "24h"
/* Maximum size of a job's metadata as JSON, bytes. */
#define METADATA_MAX 16384

static const char *check_team_and_key(const char *, const char *);
static const char *take_request(jj_job_operation_t *, const json_t *);
static const char *take_metadata(jj_job_t *, const json_t *);
static bool take_window(jj_job_t *, const json_t *);
static bool is_visible(const char *, size_t);
static uint64_t hash_request(const char *, const json_t *);
static void
set_id(jj_jobs_t *, jj_job_operation_t *, const char *, const char *);
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
static void finish_submit(jj_jobs_t *, jj_job_operation_t *, jj_actions_t *);
static bool is_this_submission(const jj_job_operation_t *, const jj_job_t *);

void
jj_jobs_submit(jj_jobs_t *jobs, uint64_t number, const char *team,
    const char *key, const jj_bytes_t *request, int64_t unix_seconds,
    jj_ms_t now, jj_actions_t *out)
{
	jj_job_operation_t *operation =
	    jj_job_operation_begin(jobs, number, take_result, now);
	const char *fault = check_team_and_key(team, key);
	char file[JJ_OBJECT_KEY_MAX + 1];
	json_t *object = NULL;

	if (request->size > 0)
		object = jj_json_load_limited(request->data, request->size,
		    JSON_REJECT_DUPLICATES, JJ_JSON_VALUES_MAX);
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
	set_id(jobs, operation, team, key);
	jj_operations_next_text(&jobs->operations, operation->job.operation);
	snprintf(
	    file, sizeof(file), "files/%s/file", operation->job.input_file);
	jj_job_operation_call(operation, JJ_PLATFORM_GET, file, out);
out:
	json_decref(object);
}

static const char *
check_team_and_key(const char *team, const char *key)
{
	if (team[0] == '\0' || !is_visible(team, JJ_NAME_MAX))
		return "the team's name is not valid";
	if (key != NULL &&
	    (key[0] == '\0' || !is_visible(key, JJ_IDEMPOTENCY_KEY_MAX)))
		return "the idempotency key must be 1 to 255 visible "
		       "characters of ASCII";
	return NULL;
}

/* Reads the request into the job. Returns what is wrong with it, or NULL. */
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

/* Visible ASCII and spaces only; so the text is also valid in JSON. */
static bool
is_visible(const char *text, size_t max_size)
{
	size_t at;

	for (at = 0; text[at] != '\0'; at++) {
		if (at == max_size || text[at] < ' ' || text[at] > '~')
			return false;
	}
	return true;
}

/* A resend may differ in the order of fields and in white space. */
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
 * Two VMs may receive the same submission at the same time. As the id is the
 * hash of team and key, both try to create the same object, and the platform
 * accepts only one. Without a key the id is random.
 */
static void
set_id(jj_jobs_t *jobs, jj_job_operation_t *operation, const char *team,
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
	else if (jj_job_operation_is_for_entry(operation))
		take_entry(jobs, operation, result, out);
	else if (result->op == JJ_PLATFORM_GET)
		take_job(jobs, operation, result, out);
	else if (result->outcome == JJ_PLATFORM_OK)
		/*
		 * The job is answered only now that its object is durable, so
		 * that it is not lost if this VM fails.
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
	/* Another team's file is refused as unknown: knowing an id gives no
	 * permission. */
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
 * With a key the job is read first: a resend of an ended job must not add it
 * to the index again, where each worker would read it.
 */
static void
begin_job(jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	if (operation->has_key)
		jj_job_operation_read(operation, out);
	else
		jj_job_operation_call_entry(
		    jobs, operation, JJ_PLATFORM_CREATE, 0, out);
}

/*
 * The entry is written before the job's object. In the other order a job would
 * never run if its VM failed between the two writes. An entry without a job is
 * deleted by the workers after a grace period.
 *
 * An entry that exists already may be about to be deleted in this way. The
 * deletion is conditional on the version that was listed. The entry is
 * therefore updated, so that either the deletion or this update fails.
 */
static void
take_entry(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	bool read = result->op == JJ_PLATFORM_GET;
	bool exists = result->outcome == JJ_PLATFORM_OK;

	if (exists && read &&
	    !jj_operation_is_own(&result->value, jobs->settings.writer,
		operation->entry_operation)) {
		jj_job_operation_call_entry(
		    jobs, operation, JJ_PLATFORM_UPDATE, result->version, out);
	} else if (exists) {
		operation->entry_confirmed = true;
		finish_submit(jobs, operation, out);
	} else if (result->outcome == JJ_PLATFORM_CONFLICT) {
		jj_job_operation_call_entry(
		    jobs, operation, JJ_PLATFORM_GET, 0, out);
	} else {
		jj_job_operation_call_entry(
		    jobs, operation, JJ_PLATFORM_CREATE, 0, out);
	}
}

static void
finish_submit(jj_jobs_t *jobs, jj_job_operation_t *operation, jj_actions_t *out)
{
	if (operation->job_exists)
		jj_job_operation_answer_job(jobs, operation, out);
	else
		jj_job_operation_write(
		    jobs, operation, JJ_PLATFORM_CREATE, out);
}

/*
 * Handles a read of the job's object, before or after its creation was tried.
 * If the job exists and has not ended, its entry is confirmed before it is
 * acknowledged: the submission that created it may have been abandoned, and
 * its entry deleted.
 */
static void
take_job(jj_jobs_t *jobs, jj_job_operation_t *operation,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_job_t found;
	bool same;

	if (result->outcome != JJ_PLATFORM_OK && operation->entry_confirmed) {
		finish_submit(jobs, operation, out);
		return;
	}
	if (result->outcome != JJ_PLATFORM_OK) {
		jj_job_operation_call_entry(
		    jobs, operation, JJ_PLATFORM_CREATE, 0, out);
		return;
	}
	same = jj_job_decode(&found, &result->value, result->version) &&
	    is_this_submission(operation, &found);
	if (same) {
		jj_job_clear(&operation->job);
		operation->job = found;
		operation->job_exists = true;
		if (operation->entry_confirmed ||
		    jj_job_has_ended(&operation->job))
			jj_job_operation_answer_job(jobs, operation, out);
		else
			jj_job_operation_call_entry(
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
 * With a key, the object may come from this operation or from an earlier
 * submission with the same content; both are answered with the job. Without a
 * key only this operation's write counts.
 */
static bool
is_this_submission(const jj_job_operation_t *operation, const jj_job_t *found)
{
	const jj_job_t *job = &operation->job;

	if (!operation->has_key)
		return strcmp(found->operation, job->operation) == 0;
	return found->fingerprint == job->fingerprint &&
	    strcmp(found->key, job->key) == 0 &&
	    jj_name_equal(&found->team, &job->team);
}
