/**
 * @file batch_record.c
 * @brief Encodes and decodes results, chunk records and out objects.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/batch_record.h"
#include "core/json_text.h"

/** Bytes reserved in an object for all but its results. */
#define OBJECT_SLACK 1024
/**
 * Maximum depth of a body that is stored as JSON. A record adds a few levels,
 * and a reader refuses more than JSON_PARSER_MAX_DEPTH (2048).
 */
#define BODY_DEPTH_MAX 1024

static const char *const state_names[] = {"running", "released", "done"};

static void text_format(jj_buffer_t *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
static json_t *body_decode(const jj_bytes_t *);
static bool is_deeper_than(json_t *, uint32_t);
static json_t *body_repair(const jj_bytes_t *);
static jj_item_result_t result_encode(json_t *, jj_result_kind_t);
static jj_result_kind_t result_kind(const json_t *);
static const char *string_of(const json_t *, const char *);
static uint32_t count_of(const json_t *, const char *);
static void shrink_results(jj_item_result_t *, uint32_t);
static void replace_result(jj_item_result_t *);
static void head_write(jj_buffer_t *, const jj_chunk_record_t *);
static void started_write(jj_buffer_t *, const bool *, uint32_t);
static size_t results_write(jj_buffer_t *, const jj_item_result_t *,
    const bool *, uint32_t, size_t, bool, bool *);
static void read_result(json_t *, jj_item_record_t *, uint32_t);

jj_item_result_t
jj_result_answered(const char *custom_id, const char *request_id, int status,
    const jj_bytes_t *body)
{
	json_t *response = json_object();
	json_t *result = json_object();

	json_object_set_new(response, "status_code", json_integer(status));
	json_object_set_new(response, "request_id", json_string(request_id));
	json_object_set_new(response, "body", body_decode(body));
	json_object_set_new(result, "custom_id", json_string(custom_id));
	json_object_set_new(result, "response", response);
	json_object_set_new(result, "error", json_null());
	return result_encode(result, JJ_RESULT_DONE);
}

jj_item_result_t
jj_result_error(const char *custom_id, const char *code, const char *message,
    const char *run)
{
	json_t *error = json_object();
	json_t *result = json_object();
	bool cancelled = strcmp(code, "cancelled") == 0;

	json_object_set_new(error, "code", json_string(code));
	json_object_set_new(error, "message", json_string(message));
	json_object_set_new(error, "run", json_string(run));
	json_object_set_new(result, "custom_id", json_string(custom_id));
	json_object_set_new(result, "response", json_null());
	json_object_set_new(result, "error", error);
	return result_encode(
	    result, cancelled ? JJ_RESULT_CANCELLED : JJ_RESULT_FAILED);
}

void
jj_result_clear(jj_item_result_t *result)
{
	jj_bytes_free(&result->text);
}

bool
jj_out_count(const jj_bytes_t *value, jj_result_counts_t *counts)
{
	json_t *document = jj_json_load_stored(value->data, value->size);
	json_t *results = json_object_get(document, "results");
	bool known = json_is_array(results);
	json_t *result;
	size_t i;

	memset(counts, 0, sizeof(*counts));
	json_array_foreach(results, i, result)
	    counts->by_kind[result_kind(result)]++;
	json_decref(document);
	return known;
}

jj_bytes_t
jj_out_encode(jj_item_result_t *results, uint32_t count, const char *writer,
    const char *operation)
{
	jj_buffer_t text = {0};
	uint32_t i;

	shrink_results(results, count);
	text_format(&text, "{\"writer\":\"%s\",\"operation\":\"%s\"", writer,
	    operation);
	text_format(&text, ",\"results\":[");
	for (i = 0; i < count; i++) {
		if (i > 0)
			jj_buffer_append(&text, ",", 1);
		jj_buffer_append(
		    &text, results[i].text.data, results[i].text.size);
	}
	text_format(&text, "]}");
	return jj_buffer_take(&text);
}

jj_result_counts_t
jj_results_count(const jj_item_result_t *results, uint32_t count)
{
	jj_result_counts_t counts = {0};
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (results[i].text.data != NULL)
			counts.by_kind[results[i].kind]++;
	}
	return counts;
}

bool
jj_chunk_record_decode(
    jj_chunk_record_t *record, const jj_bytes_t *value, uint64_t version)
{
	json_t *document = jj_json_load_stored(value->data, value->size);
	const char *state = string_of(document, "state");
	int i;

	memset(record, 0, sizeof(*record));
	if (!json_is_object(document)) {
		json_decref(document);
		return false;
	}
	record->document = document;
	record->version = version;
	(void)snprintf(record->holder, sizeof(record->holder), "%s",
	    string_of(document, "holder"));
	(void)snprintf(record->operation, sizeof(record->operation), "%s",
	    string_of(document, "operation"));
	record->fence =
	    (uint64_t)json_integer_value(json_object_get(document, "fence"));
	record->renewals =
	    (uint64_t)json_integer_value(json_object_get(document, "beat"));
	record->lease_ms =
	    json_integer_value(json_object_get(document, "lease_ms"));
	for (i = JJ_CHUNK_RUNNING; i <= JJ_CHUNK_DONE; i++) {
		if (strcmp(state, state_names[i]) == 0)
			record->state = (jj_chunk_state_t)i;
	}
	record->counts.by_kind[JJ_RESULT_DONE] = count_of(document, "done");
	record->counts.by_kind[JJ_RESULT_FAILED] = count_of(document, "failed");
	record->counts.by_kind[JJ_RESULT_CANCELLED] =
	    count_of(document, "cancelled");
	return true;
}

void
jj_chunk_record_clear(jj_chunk_record_t *record)
{
	json_decref(record->document);
	record->document = NULL;
}

void
jj_chunk_record_read_items(
    const jj_chunk_record_t *record, jj_item_record_t *items, uint32_t count)
{
	json_t *started = json_object_get(record->document, "started");
	json_t *results = json_object_get(record->document, "results");
	json_t *entry;
	size_t i;

	json_array_foreach(started, i, entry)
	{
		json_int_t item = json_integer_value(entry);

		if (json_is_integer(entry) && item >= 0 && item < count)
			items[item].started = true;
	}
	json_array_foreach(results, i, entry) read_result(entry, items, count);
}

jj_bytes_t
jj_chunk_record_encode(const jj_chunk_record_t *record,
    const jj_item_result_t *results, const bool *started, uint32_t count,
    size_t limit)
{
	jj_buffer_t text = {0};
	bool first = true;
	size_t left = limit;

	head_write(&text, record);
	if (results != NULL) {
		started_write(&text, started, count);
		text_format(&text, ",\"results\":[");
		left = results_write(
		    &text, results, started, count, left, true, &first);
		(void)results_write(
		    &text, results, started, count, left, false, &first);
		text_format(&text, "]");
	}
	text_format(&text, "}");
	return jj_buffer_take(&text);
}

static void
text_format(jj_buffer_t *text, const char *format, ...)
{
	char piece[512];
	va_list arguments;

	va_start(arguments, format);
	(void)vsnprintf(piece, sizeof(piece), format, arguments);
	va_end(arguments);
	jj_buffer_append(text, piece, strlen(piece));
}

static json_t *
body_decode(const jj_bytes_t *body)
{
	json_t *decoded;

	if (body == NULL || body->data == NULL)
		return json_null();
	decoded = json_loadb(body->data, body->size, JSON_DECODE_ANY, NULL);
	if (decoded != NULL && is_deeper_than(decoded, BODY_DEPTH_MAX)) {
		json_decref(decoded);
		decoded = NULL;
	}
	if (decoded == NULL)
		decoded = json_stringn(body->data, body->size);
	if (decoded == NULL)
		decoded = body_repair(body);
	return decoded;
}

static bool
is_deeper_than(json_t *value, uint32_t depth)
{
	const char *key;
	json_t *inner;
	size_t i;

	if (!json_is_array(value) && !json_is_object(value))
		return false;
	if (depth == 0)
		return true;
	json_array_foreach(value, i, inner)
	{
		if (is_deeper_than(inner, depth - 1))
			return true;
	}
	json_object_foreach(value, key, inner)
	{
		if (is_deeper_than(inner, depth - 1))
			return true;
	}
	return false;
}

/* Replaces each byte that is not ASCII by '?', as the body is not UTF-8. */
static json_t *
body_repair(const jj_bytes_t *body)
{
	jj_bytes_t copy = jj_bytes_copy(body->data, body->size);
	json_t *repaired;
	size_t i;

	for (i = 0; i < copy.size; i++) {
		if ((unsigned char)copy.data[i] >= 0x80)
			copy.data[i] = '?';
	}
	repaired = json_stringn(copy.data, copy.size);
	jj_bytes_free(&copy);
	return repaired;
}

static jj_item_result_t
result_encode(json_t *object, jj_result_kind_t kind)
{
	jj_item_result_t result = {.kind = kind};

	result.text.data = json_dumps(object, JSON_COMPACT);
	JJ_INVARIANT(result.text.data != NULL);
	result.text.size = strlen(result.text.data);
	json_decref(object);
	return result;
}

static jj_result_kind_t
result_kind(const json_t *result)
{
	const json_t *error = json_object_get(result, "error");

	if (!json_is_object(error))
		return JJ_RESULT_DONE;
	if (strcmp(string_of(error, "code"), "cancelled") == 0)
		return JJ_RESULT_CANCELLED;
	return JJ_RESULT_FAILED;
}

static const char *
string_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : "";
}

static uint32_t
count_of(const json_t *object, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(object, name));
}

static void
shrink_results(jj_item_result_t *results, uint32_t count)
{
	size_t total = OBJECT_SLACK;
	size_t before;
	uint32_t i;
	uint32_t largest;

	for (i = 0; i < count; i++)
		total += results[i].text.size + 1;
	while (total > JJ_OBJECT_VALUE_MAX) {
		largest = 0;
		for (i = 1; i < count; i++) {
			if (results[i].text.size > results[largest].text.size)
				largest = i;
		}
		before = results[largest].text.size;
		replace_result(&results[largest]);
		if (results[largest].text.size >= before)
			break;
		total -= before - results[largest].text.size;
	}
}

static void
replace_result(jj_item_result_t *result)
{
	json_t *document =
	    jj_json_load_stored(result->text.data, result->text.size);
	jj_item_result_t replacement = jj_result_error(
	    string_of(document, "custom_id"), "result_too_large",
	    "the chunk's results exceed what the platform stores", "run");

	json_decref(document);
	jj_result_clear(result);
	*result = replacement;
}

/* Writes the record's scalar fields, without the closing brace. */
static void
head_write(jj_buffer_t *text, const jj_chunk_record_t *record)
{
	const uint32_t *counts = record->counts.by_kind;

	text_format(text,
	    "{\"holder\":\"%s\",\"fence\":%llu,\"lease_ms\":%lld,"
	    "\"beat\":%llu,\"state\":\"%s\"",
	    record->holder, (unsigned long long)record->fence,
	    (long long)record->lease_ms, (unsigned long long)record->renewals,
	    state_names[record->state]);
	text_format(text,
	    ",\"done\":%u,\"failed\":%u,\"cancelled\":%u,"
	    "\"writer\":\"%s\",\"operation\":\"%s\"",
	    counts[JJ_RESULT_DONE], counts[JJ_RESULT_FAILED],
	    counts[JJ_RESULT_CANCELLED], record->holder, record->operation);
}

static void
started_write(jj_buffer_t *text, const bool *started, uint32_t count)
{
	const char *comma = "";
	uint32_t i;

	text_format(text, ",\"started\":[");
	for (i = 0; i < count; i++) {
		if (!started[i])
			continue;
		text_format(text, "%s%u", comma, i);
		comma = ",";
	}
	text_format(text, "]");
}

/*
 * Writes the results that fit, of items whose start mark equals `of_started`.
 * Returns the bytes left.
 */
static size_t
results_write(jj_buffer_t *text, const jj_item_result_t *results,
    const bool *started, uint32_t count, size_t left, bool of_started,
    bool *first)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		size_t size = results[i].text.size + OBJECT_SLACK / 32;

		if (results[i].text.data == NULL || started[i] != of_started)
			continue;
		if (size > left)
			continue;
		text_format(text, "%s{\"item\":%u,", *first ? "" : ",", i);
		jj_buffer_append(
		    text, results[i].text.data + 1, results[i].text.size - 1);
		*first = false;
		left -= size;
	}
	return left;
}

static void
read_result(json_t *entry, jj_item_record_t *items, uint32_t count)
{
	json_t *number = json_object_get(entry, "item");
	json_int_t item = json_integer_value(number);

	if (!json_is_integer(number) || item < 0 || item >= count)
		return;
	if (items[item].result.text.data != NULL)
		return;
	(void)json_object_del(entry, "item");
	items[item].result =
	    result_encode(json_incref(entry), result_kind(entry));
}
