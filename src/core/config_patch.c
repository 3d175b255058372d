/**
 * @file config_patch.c
 * @brief Applies patches: read, record, commit, and detection of repeats.
 *
 * Each patch reads `config/current`, creates its history record and commits by
 * one conditional write. Its operation id is a hash of the caller's key, the
 * base version and the patch, and is kept in the stored object's `recent`, so
 * that a resend through any VM finds that it was applied already.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/config_state.h"
#include "core/json_merge.h"
#include "core/operation.h"

/** Maximum operations kept in the stored object. */
#define RECENT_MAX 16
/** Delay between retries of a failed call; doubles up to the maximum. */
#define RETRY_DELAY_MIN_MS 100
#define RETRY_DELAY_MAX_MS 1000
/** Retry-after time sent when a patch is abandoned. */
#define RETRY_AFTER_MS 2000
/**
 * Bytes reserved for operations, writer and other fields beside the document.
 */
#define OVERHEAD_BYTES 8192

typedef enum {
	STEP_READ,
	STEP_RECORD,
	STEP_COMMIT,
} step_t;

struct jj_config_patch {
	TAILQ_ENTRY(jj_config_patch) link;
	uint64_t number; /**< token of its platform calls */
	uint64_t operation;
	char operation_text[JJ_OPERATION_TEXT];
	char operator_name[JJ_NAME_MAX + 1];
	uint64_t base_version;
	jj_bytes_t patch;
	step_t step;
	bool in_flight; /**< a platform call has no result yet */
	bool unknown; /**< a commit got no answer: it may have been applied */
	jj_ms_t started_ms;
	jj_ms_t retry_ms; /**< when the step is retried */
	jj_ms_t retry_delay_ms; /**< delay before the next retry */
	bool exists; /**< `config/current` exists */
	uint64_t expected; /**< its platform version */
	jj_bytes_t object; /**< to be committed */
	jj_bytes_t record; /**< its history record */
};

static void copy_printable(char *, size_t, const char *);
static void send_step(jj_config_patch_t *, jj_actions_t *);
static void set_step(jj_config_patch_t *, step_t, jj_actions_t *);
static void
schedule_retry(jj_config_patch_t *, const jj_platform_result_t *, jj_ms_t);
static void take_read(jj_config_t *, jj_config_patch_t *,
    const jj_platform_result_t *, jj_actions_t *);
static void take_record(
    jj_config_patch_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void take_commit(jj_config_t *, jj_config_patch_t *,
    const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static json_t *newest_stored(const jj_config_t *, const jj_bytes_t *);
static uint64_t stored_version(const json_t *);
static uint64_t find_operation(const json_t *, const char *);
static bool
build(jj_config_t *, jj_config_patch_t *, const json_t *, char *, size_t);
static json_t *build_recent(const json_t *, const char *, uint64_t);
static jj_bytes_t dump(json_t *);
static void finish(jj_config_t *, jj_config_patch_t *, int, uint64_t,
    const char *, jj_actions_t *);
static void free_patch(jj_config_t *, jj_config_patch_t *);
static jj_config_patch_t *find_patch(const jj_config_t *, uint64_t);
static void abandon(jj_config_t *, jj_config_patch_t *, jj_actions_t *);

void
jj_config_patch(jj_config_t *config, uint64_t operation, uint64_t operation_key,
    const char *operator_name, uint64_t base_version, const jj_bytes_t *patch,
    jj_ms_t now, jj_actions_t *out)
{
	jj_config_patch_t *pending = jj_alloc(sizeof(*pending));
	uint64_t id;

	/*
	 * The same key with another patch or base is a different operation: it
	 * must not be answered as already applied.
	 */
	id = jj_hash_bytes(patch->data, patch->size, operation_key);
	id = jj_hash_bytes(&base_version, sizeof(base_version), id);
	jj_operation_write(pending->operation_text, id);
	pending->number = ++config->patch_count;
	pending->operation = operation;
	copy_printable(pending->operator_name, sizeof(pending->operator_name),
	    operator_name);
	pending->base_version = base_version;
	pending->patch = jj_bytes_copy(patch->data, patch->size);
	pending->started_ms = now;
	pending->retry_delay_ms = RETRY_DELAY_MIN_MS;
	TAILQ_INSERT_TAIL(&config->patches, pending, link);
	set_step(pending, STEP_READ, out);
}

void
jj_config_tick(jj_config_t *config, jj_ms_t now, jj_actions_t *out)
{
	jj_config_patch_t *patch;
	jj_config_patch_t *next;

	for (patch = TAILQ_FIRST(&config->patches); patch != NULL;
	     patch = next) {
		next = TAILQ_NEXT(patch, link);
		if (now - patch->started_ms >= config->settings.call_timeout_ms)
			abandon(config, patch, out);
		else if (!patch->in_flight && now >= patch->retry_ms)
			send_step(patch, out);
	}
}

jj_ms_t
jj_config_next(const jj_config_t *config)
{
	const jj_config_patch_t *patch;
	jj_ms_t next = JJ_MS_NEVER;

	TAILQ_FOREACH(patch, &config->patches, link)
	{
		jj_ms_t due =
		    patch->started_ms + config->settings.call_timeout_ms;

		if (!patch->in_flight && patch->retry_ms < due)
			due = patch->retry_ms;
		if (due < next)
			next = due;
	}
	return next;
}

void
jj_config_patches_clear(jj_config_t *config)
{
	jj_config_patch_t *patch;
	jj_config_patch_t *next;

	for (patch = TAILQ_FIRST(&config->patches); patch != NULL;
	     patch = next) {
		next = TAILQ_NEXT(patch, link);
		free_patch(config, patch);
	}
}

void
jj_config_patches_take_result(jj_config_t *config,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	jj_config_patch_t *patch = find_patch(config, result->token);

	if (patch == NULL) {
		/* A commit of an abandoned patch was applied. */
		if (result->op != JJ_PLATFORM_GET &&
		    result->outcome == JJ_PLATFORM_OK)
			jj_config_refresh(config, now, out);
		return;
	}
	patch->in_flight = false;
	switch (patch->step) {
	case STEP_READ:
		if (result->outcome == JJ_PLATFORM_OK ||
		    result->outcome == JJ_PLATFORM_ABSENT)
			take_read(config, patch, result, out);
		else
			schedule_retry(patch, result, now);
		break;
	case STEP_RECORD:
		take_record(patch, result, now, out);
		break;
	case STEP_COMMIT:
		take_commit(config, patch, result, now, out);
		break;
	}
}

/*
 * The name comes from the caller; bytes that are not valid UTF-8 cannot be
 * stored.
 */
static void
copy_printable(char *to, size_t size, const char *from)
{
	size_t i;

	for (i = 0; i + 1 < size && from[i] != '\0'; i++)
		to[i] = from[i] >= ' ' && from[i] <= '~' ? from[i] : '?';
	to[i] = '\0';
}

static void
set_step(jj_config_patch_t *patch, step_t step, jj_actions_t *out)
{
	patch->step = step;
	send_step(patch, out);
}

static void
send_step(jj_config_patch_t *patch, jj_actions_t *out)
{
	jj_platform_op_t commit =
	    patch->exists ? JJ_PLATFORM_UPDATE : JJ_PLATFORM_CREATE;
	jj_platform_call_t *call = jj_actions_add_platform(
	    out, JJ_OWNER_CONFIG, JJ_PLATFORM_GET, patch->number);

	(void)snprintf(call->key, sizeof(call->key), "%s", JJ_CONFIG_KEY);
	patch->in_flight = true;
	switch (patch->step) {
	case STEP_READ:
		break;
	case STEP_RECORD:
		call->op = JJ_PLATFORM_CREATE;
		(void)snprintf(call->key, sizeof(call->key),
		    "config/history/%010llu-%s",
		    (unsigned long long)patch->base_version + 1,
		    patch->operation_text);
		call->value =
		    jj_bytes_copy(patch->record.data, patch->record.size);
		break;
	case STEP_COMMIT:
		call->op = commit;
		call->version = patch->exists ? patch->expected : 0;
		call->value =
		    jj_bytes_copy(patch->object.data, patch->object.size);
		break;
	}
}

static void
schedule_retry(
    jj_config_patch_t *patch, const jj_platform_result_t *result, jj_ms_t now)
{
	jj_ms_t wait = patch->retry_delay_ms;

	if (wait < result->retry_after_ms)
		wait = result->retry_after_ms;
	patch->retry_ms = now + wait;
	patch->retry_delay_ms *= 2;
	if (patch->retry_delay_ms > RETRY_DELAY_MAX_MS)
		patch->retry_delay_ms = RETRY_DELAY_MAX_MS;
}

static void
take_read(jj_config_t *config, jj_config_patch_t *patch,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	bool found = result->outcome == JJ_PLATFORM_OK;
	jj_bytes_t none = {NULL, 0};
	char why[256];
	json_t *stored;
	uint64_t current;
	uint64_t applied;

	if (found)
		(void)jj_config_take(config, &result->value, out);
	patch->exists = found;
	patch->expected = result->version;
	stored = newest_stored(config, found ? &result->value : &none);
	current = stored_version(stored);
	applied = find_operation(stored, patch->operation_text);
	/*
	 * The commit took effect but its answer was lost, here or at another
	 * VM: the operator would get a conflict with the own patch and might
	 * apply it twice. The operation id in the object shows that it was
	 * applied.
	 */
	if (applied > 0)
		finish(config, patch, 200, applied, "applied", out);
	else if (current != patch->base_version)
		finish(config, patch, 412, current,
		    "another version is current", out);
	else if (!build(config, patch, stored, why, sizeof(why)))
		finish(config, patch, 422, current, why, out);
	else
		set_step(patch, STEP_RECORD, out);
	json_decref(stored);
}

static void
take_record(jj_config_patch_t *patch, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	/*
	 * The key contains this operation id, so a conflict means that an
	 * earlier attempt of the same patch wrote the record.
	 */
	if (result->outcome == JJ_PLATFORM_OK ||
	    result->outcome == JJ_PLATFORM_CONFLICT)
		set_step(patch, STEP_COMMIT, out);
	else
		schedule_retry(patch, result, now);
}

static void
take_commit(jj_config_t *config, jj_config_patch_t *patch,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	switch (result->outcome) {
	case JJ_PLATFORM_OK:
		(void)jj_config_take(config, &patch->object, out);
		finish(config, patch, 200, patch->base_version + 1, "applied",
		    out);
		break;
	case JJ_PLATFORM_CONFLICT:
	case JJ_PLATFORM_ABSENT:
		set_step(patch, STEP_READ, out);
		break;
	case JJ_PLATFORM_UNKNOWN:
		/*
		 * A delayed commit and its repeat have the same condition, so
		 * at most one of them takes effect.
		 */
		patch->unknown = true;
		patch->step = STEP_READ;
		schedule_retry(patch, result, now);
		break;
	default:
		schedule_retry(patch, result, now);
		break;
	}
}

/*
 * The platform's object, or this VM's when that is newer: the platform may have
 * been restored from an older copy, and versions never decrease.
 */
static json_t *
newest_stored(const jj_config_t *config, const jj_bytes_t *value)
{
	json_t *stored = value->size > 0
	    ? json_loadb(value->data, value->size, 0, NULL)
	    : NULL;

	if (stored_version(stored) >= config->version)
		return stored;
	json_decref(stored);
	return json_loadb(config->object.data, config->object.size, 0, NULL);
}

static uint64_t
stored_version(const json_t *stored)
{
	json_int_t version =
	    json_integer_value(json_object_get(stored, "version"));

	return version > 0 ? (uint64_t)version : 0;
}

/* The version that an operation created; 0: not among the recent ones. */
static uint64_t
find_operation(const json_t *stored, const char *operation)
{
	const json_t *recent = json_object_get(stored, "recent");
	size_t i;

	for (i = 0; i < json_array_size(recent); i++) {
		const json_t *entry = json_array_get(recent, i);
		const char *text =
		    json_string_value(json_object_get(entry, "operation"));

		if (text != NULL && strcmp(text, operation) == 0)
			return stored_version(entry);
	}
	return 0;
}

static bool
build(jj_config_t *config, jj_config_patch_t *patch, const json_t *stored,
    char *why, size_t why_size)
{
	json_error_t error;
	json_t *change =
	    json_loadb(patch->patch.data != NULL ? patch->patch.data : "",
		patch->patch.size, JSON_REJECT_DUPLICATES, &error);
	json_t *document = NULL;
	json_int_t version = (json_int_t)patch->base_version + 1;
	bool valid = false;

	if (!json_is_object(change)) {
		(void)snprintf(why, why_size, "patch must be a JSON object: %s",
		    change == NULL ? error.text : "it is not one");
		goto out;
	}
	document = jj_json_merge(json_object_get(stored, "document"), change);
	if (!jj_config_check(document, why, why_size) ||
	    !jj_config_check_change(
		json_object_get(stored, "document"), document, why, why_size))
		goto out;
	jj_bytes_free(&patch->object);
	jj_bytes_free(&patch->record);
	patch->object = dump(json_pack("{s:I,s:O,s:I,s:s,s:s,s:s,s:o}",
	    "version", version, "document", document, "previous",
	    (json_int_t)patch->base_version, "operator", patch->operator_name,
	    "writer", config->settings.writer, "operation",
	    patch->operation_text, "recent",
	    build_recent(stored, patch->operation_text, (uint64_t)version)));
	patch->record = dump(json_pack("{s:I,s:O,s:O,s:s,s:s}", "version",
	    version, "patch", change, "document", document, "operator",
	    patch->operator_name, "operation", patch->operation_text));
	valid = patch->object.size <= JJ_OBJECT_VALUE_MAX - OVERHEAD_BYTES &&
	    patch->record.size <= JJ_OBJECT_VALUE_MAX;
	if (!valid)
		(void)snprintf(why, why_size,
		    "document = %zu bytes must be at most %d with its patch",
		    patch->object.size, JJ_OBJECT_VALUE_MAX - OVERHEAD_BYTES);
out:
	json_decref(document);
	json_decref(change);
	return valid;
}

static json_t *
build_recent(const json_t *stored, const char *operation, uint64_t version)
{
	const json_t *before = json_object_get(stored, "recent");
	json_t *recent = json_array();
	size_t i;

	(void)json_array_append_new(recent,
	    json_pack("{s:s,s:I}", "operation", operation, "version",
		(json_int_t)version));
	for (i = 0; i < json_array_size(before) && i < RECENT_MAX - 1; i++)
		(void)json_array_append(recent, json_array_get(before, i));
	return recent;
}

/* Serializes the value and releases its reference. */
static jj_bytes_t
dump(json_t *json)
{
	jj_bytes_t bytes;
	char *text;

	JJ_INVARIANT(json != NULL);
	text = json_dumps(json, JSON_COMPACT);
	JJ_INVARIANT(text != NULL);
	bytes = jj_bytes_from_text(text);
	free(text);
	json_decref(json);
	return bytes;
}

static void
finish(jj_config_t *config, jj_config_patch_t *patch, int status,
    uint64_t version, const char *detail, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_CONFIG_ANSWER);

	action->body.config.operation = patch->operation;
	action->body.config.status = status;
	action->body.config.version = version;
	action->body.config.detail = jj_bytes_from_text(detail);
	if (status == 503)
		action->body.config.retry_after_ms = RETRY_AFTER_MS;
	free_patch(config, patch);
}

static void
free_patch(jj_config_t *config, jj_config_patch_t *patch)
{
	TAILQ_REMOVE(&config->patches, patch, link);
	jj_bytes_free(&patch->patch);
	jj_bytes_free(&patch->object);
	jj_bytes_free(&patch->record);
	free(patch);
}

static jj_config_patch_t *
find_patch(const jj_config_t *config, uint64_t number)
{
	jj_config_patch_t *patch;

	TAILQ_FOREACH(patch, &config->patches, link)
	{
		if (patch->number == number)
			return patch;
	}
	return NULL;
}

static void
abandon(jj_config_t *config, jj_config_patch_t *patch, jj_actions_t *out)
{
	bool unknown =
	    patch->unknown || (patch->step == STEP_COMMIT && patch->in_flight);
	const char *detail = unknown
	    ? "the platform does not answer; whether the patch was applied "
	      "is unknown; sending it again with the same key is safe"
	    : "the platform does not answer; the patch was not applied; "
	      "sending it again with the same key is safe";

	finish(config, patch, 503, config->version, detail, out);
}
