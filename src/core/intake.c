/**
 * @file intake.c
 * @brief Cuts an upload into parts and writes them, the manifest last.
 *
 * One platform call is under way at a time, as all calls of an upload have the
 * same token. Further parts wait in a queue; no input is read while the queue
 * has `parts_pending` parts.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/intake.h"
#include "core/intake_ids.h"
#include "core/json_text.h"
#include "core/operation.h"
#include "core/retry.h"

/* Upper bound of the bytes of a part's object besides its lines. */
#define PART_OVERHEAD 4096
/* Escaping a line as a JSON string at most doubles it; quotes are added. */
#define LINE_MAX_BYTES ((JJ_OBJECT_VALUE_MAX - PART_OVERHEAD) / 2 - 3)

/** An object to be written to the platform. */
typedef struct jj_intake_write {
	STAILQ_ENTRY(jj_intake_write) link;
	char key[JJ_OBJECT_KEY_MAX + 1];
	char operation[JJ_OPERATION_TEXT];
	jj_bytes_t value;
	/** After a conflict: read whose object is stored. */
	bool checking_owner;
	jj_retry_t retry;
} jj_intake_write_t;

struct jj_intake {
	jj_intake_settings_t settings;
	uint64_t token;
	char team[JJ_NAME_MAX + 1];
	char id[JJ_OBJECT_ID_TEXT];
	jj_operations_t operations;
	jj_intake_state_t state;
	char detail[256];

	char *line; /**< start of an incomplete line */
	size_t line_size;
	size_t line_capacity; /**< bytes allocated */
	uint32_t line_number;
	uint32_t blank_line; /**< number of the first blank line; 0: none */
	jj_intake_ids_t ids;

	json_t *part; /**< lines of the part being filled */
	size_t part_bytes; /**< size of its lines */
	size_t part_encoded_bytes; /**< size of its lines as JSON strings */
	json_t *part_counts; /**< items of each complete part */
	uint32_t items;
	uint64_t bytes;

	STAILQ_HEAD(, jj_intake_write) writes; /**< the first is under way */
	uint32_t write_count;
	bool in_flight; /**< the first write waits for an answer */
	bool finishing;
	bool manifest_queued;
};

static void check_team(jj_intake_t *, const char *);
static void append_line(jj_intake_t *, const char *, size_t);
static void take_line(jj_intake_t *);
static void take_item(jj_intake_t *, const char *, size_t);
static bool is_new_id(jj_intake_t *, const char *, size_t);
static size_t encoded_size(const char *, size_t);
static void cut_part(jj_intake_t *);
static void queue_manifest(jj_intake_t *);
static void queue_write(jj_intake_t *, const char *, json_t *);
static void send_write(jj_intake_t *, jj_ms_t, jj_actions_t *);
static void end_write(jj_intake_t *, jj_ms_t, jj_actions_t *);
static void take_create(
    jj_intake_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
take_read(jj_intake_t *, const jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void
schedule_retry(jj_intake_t *, const jj_platform_result_t *, jj_ms_t);
static void drop_writes(jj_intake_t *);
static void fail(jj_intake_t *, const char *);
static void
refuse(jj_intake_t *, const char *, ...) __attribute__((format(printf, 2, 3)));

jj_intake_t *
jj_intake_create(
    const jj_intake_settings_t *settings, uint64_t token, const char *team)
{
	jj_intake_t *intake = jj_alloc(sizeof(*intake));
	jj_hash_t id;

	intake->settings = *settings;
	if (intake->settings.line_bytes > LINE_MAX_BYTES)
		intake->settings.line_bytes = LINE_MAX_BYTES;
	intake->token = token;
	snprintf(intake->team, sizeof(intake->team), "%s", team);
	jj_operations_seed(&intake->operations, settings->seed);
	id.high = jj_operations_next(&intake->operations);
	id.low = jj_operations_next(&intake->operations);
	jj_object_id_write(intake->id, &id);
	intake->ids.seed = jj_operations_next(&intake->operations);
	intake->part = json_array();
	intake->part_counts = json_array();
	STAILQ_INIT(&intake->writes);
	check_team(intake, team);
	return intake;
}

void
jj_intake_destroy(jj_intake_t *intake)
{
	if (intake == NULL)
		return;
	drop_writes(intake);
	jj_intake_ids_clear(&intake->ids);
	json_decref(intake->part);
	json_decref(intake->part_counts);
	free(intake->line);
	free(intake);
}

const char *
jj_intake_id(const jj_intake_t *intake)
{
	return intake->id;
}

size_t
jj_intake_feed(jj_intake_t *intake, const char *data, size_t size, jj_ms_t now,
    jj_actions_t *out)
{
	size_t taken = 0;

	while (taken < size && jj_intake_accepts_input(intake)) {
		const char *start = data + taken;
		const char *end = memchr(start, '\n', size - taken);
		size_t run = end == NULL ? size - taken : (size_t)(end - start);

		append_line(intake, start, run);
		taken += run;
		if (end != NULL) {
			taken++;
			take_line(intake);
		}
	}
	intake->bytes += taken;
	send_write(intake, now, out);
	return taken;
}

void
jj_intake_finish(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out)
{
	if (intake->state != JJ_INTAKE_OPEN || intake->finishing)
		return;
	if (intake->line_size > 0)
		take_line(intake);
	if (intake->state == JJ_INTAKE_OPEN && intake->items == 0)
		refuse(intake, "the file has no items");
	if (intake->state != JJ_INTAKE_OPEN)
		return;
	intake->finishing = true;
	cut_part(intake);
	queue_manifest(intake);
	send_write(intake, now, out);
}

void
jj_intake_take_result(jj_intake_t *intake, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	intake->in_flight = false;
	/*
	 * An invalid line may be found while a part is being written. Its
	 * result must not continue the upload: if the manifest were written, a
	 * file truncated at the invalid line would seem complete.
	 */
	if (intake->state != JJ_INTAKE_OPEN || STAILQ_EMPTY(&intake->writes))
		return;
	if (result->op == JJ_PLATFORM_GET)
		take_read(intake, result, now, out);
	else
		take_create(intake, result, now, out);
}

void
jj_intake_tick(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out)
{
	send_write(intake, now, out);
}

jj_ms_t
jj_intake_next(const jj_intake_t *intake)
{
	const jj_intake_write_t *write = STAILQ_FIRST(&intake->writes);

	if (write == NULL || intake->in_flight)
		return JJ_MS_NEVER;
	return write->retry.at;
}

bool
jj_intake_accepts_input(const jj_intake_t *intake)
{
	return intake->state == JJ_INTAKE_OPEN && !intake->finishing &&
	    intake->write_count < intake->settings.parts_pending;
}

jj_intake_state_t
jj_intake_state(const jj_intake_t *intake)
{
	return intake->state;
}

const char *
jj_intake_detail(const jj_intake_t *intake)
{
	return intake->detail;
}

jj_bytes_t
jj_intake_describe(const jj_intake_t *intake)
{
	json_t *object = json_pack("{s:s,s:s,s:s,s:I,s:I}", "id", intake->id,
	    "object", "file", "purpose", "batch", "bytes",
	    (json_int_t)intake->bytes, "items", (json_int_t)intake->items);

	return jj_json_take_bytes(object);
}

/* Truncated, or changed to fit JSON, the name would be another team's. */
static void
check_team(jj_intake_t *intake, const char *team)
{
	json_t *text = json_string(team);

	if (text == NULL || strlen(team) > JJ_NAME_MAX)
		refuse(intake, "the team's name is not valid");
	json_decref(text);
}

/*
 * Refuses a line as soon as it is too long, before its end: a file without
 * line ends would otherwise grow the buffer without bound.
 */
static void
append_line(jj_intake_t *intake, const char *data, size_t size)
{
	/* One more byte for a CR before the line's end. */
	size_t max_size = intake->settings.line_bytes + 1;

	if (size > max_size - intake->line_size) {
		intake->line_number++;
		refuse(intake, "line %" PRIu32 ": longer than %zu bytes",
		    intake->line_number, intake->settings.line_bytes);
		return;
	}
	if (intake->line_size + size > intake->line_capacity) {
		intake->line_capacity = 2 * (intake->line_size + size);
		intake->line = jj_realloc(intake->line, intake->line_capacity);
	}
	if (size > 0)
		memcpy(intake->line + intake->line_size, data, size);
	intake->line_size += size;
}

static void
take_line(jj_intake_t *intake)
{
	size_t size = intake->line_size;

	if (intake->state != JJ_INTAKE_OPEN)
		return;
	intake->line_number++;
	intake->line_size = 0;
	if (size > 0 && intake->line[size - 1] == '\r')
		size--;
	if (size == 0) {
		if (intake->blank_line == 0)
			intake->blank_line = intake->line_number;
		return;
	}
	if (intake->blank_line != 0) {
		refuse(intake, "line %" PRIu32 ": blank before the last line",
		    intake->blank_line);
		return;
	}
	if (size > intake->settings.line_bytes) {
		refuse(intake, "line %" PRIu32 ": longer than %zu bytes",
		    intake->line_number, intake->settings.line_bytes);
		return;
	}
	take_item(intake, intake->line, size);
}

static void
take_item(jj_intake_t *intake, const char *line, size_t size)
{
	size_t encoded = encoded_size(line, size);
	char why[160];

	if (!jj_intake_check_line(line, size, why, sizeof(why))) {
		refuse(
		    intake, "line %" PRIu32 ": %s", intake->line_number, why);
		return;
	}
	if (intake->items >= intake->settings.file_items) {
		refuse(intake, "line %" PRIu32 ": more than %" PRIu32 " items",
		    intake->line_number, intake->settings.file_items);
		return;
	}
	if (!is_new_id(intake, line, size))
		return;
	if (intake->part_bytes + size > intake->settings.part_bytes ||
	    intake->part_encoded_bytes + encoded >
		JJ_OBJECT_VALUE_MAX - PART_OVERHEAD)
		cut_part(intake);
	json_array_append_new(intake->part, json_stringn(line, size));
	intake->part_bytes += size;
	intake->part_encoded_bytes += encoded;
	intake->items++;
	if (json_array_size(intake->part) >= intake->settings.part_items)
		cut_part(intake);
}

/*
 * The caller could not tell apart the results of two items with the same
 * custom_id: one item would seem answered twice, the other never.
 */
static bool
is_new_id(jj_intake_t *intake, const char *line, size_t size)
{
	json_t *object = json_loadb(line, size, 0, NULL);
	const json_t *id = json_object_get(object, "custom_id");
	uint32_t first = jj_intake_ids_add(&intake->ids, json_string_value(id),
	    json_string_length(id), intake->line_number);

	if (first != 0) {
		refuse(intake,
		    "line %" PRIu32 ": custom_id \"%.100s\" is already on "
		    "line %" PRIu32,
		    intake->line_number, json_string_value(id), first);
	}
	json_decref(object);
	return first == 0;
}

/* Size of a valid JSON line encoded as a JSON string, with a comma. */
static size_t
encoded_size(const char *line, size_t size)
{
	size_t encoded = size + 3;
	size_t at;

	for (at = 0; at < size; at++) {
		if (line[at] == '"' || line[at] == '\\' || line[at] == '\t' ||
		    line[at] == '\r')
			encoded++;
	}
	return encoded;
}

static void
cut_part(jj_intake_t *intake)
{
	size_t items = json_array_size(intake->part);
	char key[JJ_OBJECT_KEY_MAX + 1];

	if (items == 0)
		return;
	snprintf(key, sizeof(key), "files/%s/part/%06zu", intake->id,
	    json_array_size(intake->part_counts));
	queue_write(intake, key, json_pack("{s:o}", "items", intake->part));
	json_array_append_new(
	    intake->part_counts, json_integer((json_int_t)items));
	intake->part = json_array();
	intake->part_bytes = 0;
	intake->part_encoded_bytes = 0;
}

/*
 * The manifest is the last write in the queue, and a write leaves the queue
 * only when it is known to be durable. A VM that fails during an upload leaves
 * parts without a manifest, which no job can use.
 */
static void
queue_manifest(jj_intake_t *intake)
{
	char key[JJ_OBJECT_KEY_MAX + 1];

	snprintf(key, sizeof(key), "files/%s/file", intake->id);
	queue_write(intake, key,
	    json_pack("{s:s,s:I,s:I,s:O,s:s}", "id", intake->id, "bytes",
		(json_int_t)intake->bytes, "items", (json_int_t)intake->items,
		"parts", intake->part_counts, "team", intake->team));
	intake->manifest_queued = true;
}

/* Takes ownership of the object. */
static void
queue_write(jj_intake_t *intake, const char *key, json_t *object)
{
	jj_intake_write_t *write = jj_alloc(sizeof(*write));

	snprintf(write->key, sizeof(write->key), "%s", key);
	jj_operations_next_text(&intake->operations, write->operation);
	json_object_set_new(
	    object, "writer", json_string(intake->settings.writer));
	json_object_set_new(object, "operation", json_string(write->operation));
	write->value = jj_json_take_bytes(object);
	STAILQ_INSERT_TAIL(&intake->writes, write, link);
	intake->write_count++;
}

static void
send_write(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out)
{
	jj_intake_write_t *write = STAILQ_FIRST(&intake->writes);
	jj_platform_call_t *call;

	if (intake->state != JJ_INTAKE_OPEN || write == NULL ||
	    intake->in_flight || now < write->retry.at)
		return;
	call = jj_actions_add_platform(out, JJ_OWNER_INTAKE,
	    write->checking_owner ? JJ_PLATFORM_GET : JJ_PLATFORM_CREATE,
	    intake->token);
	snprintf(call->key, sizeof(call->key), "%s", write->key);
	if (!write->checking_owner)
		call->value =
		    jj_bytes_copy(write->value.data, write->value.size);
	intake->in_flight = true;
}

static void
end_write(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out)
{
	jj_intake_write_t *write = STAILQ_FIRST(&intake->writes);

	STAILQ_REMOVE_HEAD(&intake->writes, link);
	intake->write_count--;
	jj_bytes_free(&write->value);
	free(write);
	if (intake->manifest_queued && STAILQ_EMPTY(&intake->writes))
		intake->state = JJ_INTAKE_DONE;
	send_write(intake, now, out);
}

static void
take_create(jj_intake_t *intake, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	switch (result->outcome) {
	case JJ_PLATFORM_OK:
		end_write(intake, now, out);
		return;
	case JJ_PLATFORM_CONFLICT:
		/*
		 * The object may be this upload's own: an earlier try was
		 * applied and its answer lost. Without a check, the caller
		 * would see a failed upload that is in fact durable. Only the
		 * stored value shows whose object it is. Even a first try is
		 * checked, as the HTTP client may have resent the request on a
		 * new connection.
		 */
		STAILQ_FIRST(&intake->writes)->checking_owner = true;
		send_write(intake, now, out);
		return;
	default:
		schedule_retry(intake, result, now);
		return;
	}
}

static void
take_read(jj_intake_t *intake, const jj_platform_result_t *result, jj_ms_t now,
    jj_actions_t *out)
{
	jj_intake_write_t *write = STAILQ_FIRST(&intake->writes);

	if (result->outcome == JJ_PLATFORM_ABSENT)
		write->checking_owner = false;
	if (result->outcome != JJ_PLATFORM_OK) {
		schedule_retry(intake, result, now);
		return;
	}
	if (jj_operation_is_own(
		&result->value, intake->settings.writer, write->operation))
		end_write(intake, now, out);
	else
		fail(intake, "another upload has this file's id");
}

static void
schedule_retry(
    jj_intake_t *intake, const jj_platform_result_t *result, jj_ms_t now)
{
	jj_retry_limits_t limits = {
	    intake->settings.tries, intake->settings.retry_ms};
	jj_intake_write_t *write = STAILQ_FIRST(&intake->writes);

	if (!jj_retry_plan(&write->retry, &limits, result->retry_after_ms, now))
		fail(intake, "the platform does not take the file now");
}

static void
drop_writes(jj_intake_t *intake)
{
	jj_intake_write_t *write;

	while ((write = STAILQ_FIRST(&intake->writes)) != NULL) {
		STAILQ_REMOVE_HEAD(&intake->writes, link);
		jj_bytes_free(&write->value);
		free(write);
	}
	intake->write_count = 0;
}

static void
fail(jj_intake_t *intake, const char *why)
{
	snprintf(intake->detail, sizeof(intake->detail),
	    "%s; the file was not accepted, upload it again", why);
	intake->state = JJ_INTAKE_FAILED;
	drop_writes(intake);
}

static void
refuse(jj_intake_t *intake, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	(void)vsnprintf(
	    intake->detail, sizeof(intake->detail), format, arguments);
	va_end(arguments);
	intake->state = JJ_INTAKE_INVALID;
	drop_writes(intake);
}
