/**
 * @file inline_job.c
 * @brief A batch job submitted whole in one request, and its results.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "core/inline_job.h"
#include "core/json_text.h"

/** Bytes of a stored result in addition to its id and text. */
#define RESULT_OVERHEAD 40
/** Rough memory of a header of an item. */
#define HEADER_BYTES 64
/** Additional bytes of an escaped control character ("\\u0001"). */
#define ESCAPE_EXTRA 5

static void append_header(jj_inline_item_t *, char *);
static void clear_item(jj_inline_item_t *);
static json_t *encode_item(const jj_inline_item_t *);
static bool decode_item(jj_inline_item_t *, const json_t *);
static char *copy_text(const json_t *);
static bool decode_results(jj_inline_segment_t *, const json_t *);

void
jj_inline_job_clear(jj_inline_job_t *job)
{
	size_t i;

	for (i = 0; i < job->item_count; i++)
		clear_item(&job->items[i]);
	free(job->items);
	free(job->host);
	free(job->path);
	memset(job, 0, sizeof(*job));
}

size_t
jj_inline_job_bytes(const jj_inline_job_t *job)
{
	size_t bytes = sizeof(*job) + job->item_count * sizeof(*job->items);
	size_t i;

	for (i = 0; i < job->item_count; i++)
		bytes += job->items[i].body.size +
		    job->items[i].header_count * HEADER_BYTES;
	return bytes;
}

jj_inline_item_t *
jj_inline_job_add(jj_inline_job_t *job)
{
	jj_inline_item_t *item;

	job->items =
	    jj_realloc(job->items, (job->item_count + 1) * sizeof(*job->items));
	item = &job->items[job->item_count++];
	memset(item, 0, sizeof(*item));
	return item;
}

void
jj_inline_item_add_header(
    jj_inline_item_t *item, const char *name, const char *value)
{
	size_t line_size = strlen(name) + strlen(value) + 3;
	char *line = jj_alloc(line_size);

	(void)snprintf(line, line_size, "%s: %s", name, value);
	append_header(item, line);
}

const jj_inline_item_t *
jj_inline_job_find(const jj_inline_job_t *job, const char *id)
{
	size_t i;

	for (i = 0; i < job->item_count; i++)
		if (strcmp(job->items[i].id, id) == 0)
			return &job->items[i];
	return NULL;
}

jj_bytes_t
jj_inline_job_encode(const jj_inline_job_t *job)
{
	json_t *items = json_array();
	json_t *root;
	size_t i;

	for (i = 0; i < job->item_count; i++)
		(void)json_array_append_new(items, encode_item(&job->items[i]));
	root = json_pack("{s:s,s:s,s:s,s:I,s:o}", "id", job->id, "host",
	    job->host, "path", job->path, "submitted_unix_ms",
	    (json_int_t)job->submitted_unix_ms, "items", items);
	if (!jj_name_is_empty(&job->team))
		(void)json_object_set_new(
		    root, "team", json_string(job->team.text));
	return jj_json_take_bytes(root);
}

bool
jj_inline_job_decode(jj_inline_job_t *job, const char *text, size_t size)
{
	json_t *root = json_loadb(text, size, 0, NULL);
	const json_t *items = json_object_get(root, "items");
	const char *team = json_string_value(json_object_get(root, "team"));
	const json_t *entry;
	bool valid;
	size_t i;

	memset(job, 0, sizeof(*job));
	valid = jj_json_copy_text(
	    job->id, sizeof(job->id), json_object_get(root, "id"));
	job->host = copy_text(json_object_get(root, "host"));
	job->path = copy_text(json_object_get(root, "path"));
	job->submitted_unix_ms = (int64_t)json_integer_value(
	    json_object_get(root, "submitted_unix_ms"));
	valid = valid && (team == NULL || jj_name_set(&job->team, team));
	valid = valid && job->host != NULL && job->path != NULL &&
	    json_array_size(items) > 0 &&
	    json_array_size(items) <= JJ_INLINE_ITEMS_MAX;
	json_array_foreach(items, i, entry)
	{
		if (!valid)
			break;
		valid = decode_item(jj_inline_job_add(job), entry);
		job->tokens += job->items[i].tokens;
	}
	json_decref(root);
	if (!valid)
		jj_inline_job_clear(job);
	return valid;
}

uint32_t
jj_inline_count_parts(size_t size)
{
	if (size <= JJ_INLINE_PART_BYTES)
		return 0;
	return (
	    uint32_t)((size + JJ_INLINE_PART_BYTES - 1) / JJ_INLINE_PART_BYTES);
}

jj_bytes_t
jj_inline_encode_part(const jj_bytes_t *text, uint32_t part)
{
	size_t at = (size_t)part * JJ_INLINE_PART_BYTES;
	size_t size = text->size - at;
	gchar *encoded;
	json_t *object;

	if (size > JJ_INLINE_PART_BYTES)
		size = JJ_INLINE_PART_BYTES;
	/* Base64, as the split may fall within a multi-byte character. */
	encoded = g_base64_encode((const guchar *)text->data + at, size);
	object = json_pack("{s:s}", "text", encoded);
	g_free(encoded);
	return jj_json_take_bytes(object);
}

jj_bytes_t
jj_inline_encode_split(uint32_t parts)
{
	return jj_json_take_bytes(
	    json_pack("{s:I}", "parts", (json_int_t)parts));
}

uint32_t
jj_inline_decode_split(const jj_bytes_t *object)
{
	json_t *root;
	json_int_t parts;

	/*
	 * The object of a split job is tiny; avoids parsing a whole job twice.
	 */
	if (object->size > 64)
		return 0;
	root = json_loadb(object->data, object->size, 0, NULL);
	parts = json_integer_value(json_object_get(root, "parts"));
	json_decref(root);
	return parts > 0 && parts < 1000 ? (uint32_t)parts : 0;
}

bool
jj_inline_append_part(jj_bytes_t *text, const jj_bytes_t *object)
{
	json_t *root = json_loadb(object->data, object->size, 0, NULL);
	const char *encoded = json_string_value(json_object_get(root, "text"));
	guchar *decoded = NULL;
	gsize size = 0;

	if (encoded != NULL)
		decoded = g_base64_decode(encoded, &size);
	json_decref(root);
	if (decoded == NULL)
		return false;
	jj_bytes_append(text, decoded, size);
	g_free(decoded);
	return true;
}

jj_bytes_t
jj_inline_segment_encode(const jj_inline_segment_t *segment)
{
	json_t *results = json_array();
	uint32_t i;

	for (i = 0; i < segment->count; i++) {
		const jj_inline_result_t *result = &segment->results[i];
		json_t *entry = json_pack(
		    "{s:s,s:b}", "id", result->id, "done", result->done);

		if (result->done)
			(void)json_object_set_new(entry, "text",
			    json_stringn_nocheck(result->text.data != NULL
				    ? result->text.data
				    : "",
				result->text.size));
		(void)json_array_append_new(results, entry);
	}
	return jj_json_take_bytes(json_pack("{s:I,s:I,s:b,s:b,s:s,s:o}",
	    "total", (json_int_t)segment->total, "first",
	    (json_int_t)segment->first, "sealed", segment->sealed, "ended",
	    segment->ended, "writer", segment->writer, "results", results));
}

bool
jj_inline_segment_decode(jj_inline_segment_t *segment, const jj_bytes_t *text)
{
	json_t *root = jj_json_load_stored(text->data, text->size);
	bool valid;

	memset(segment, 0, sizeof(*segment));
	segment->total =
	    (uint32_t)json_integer_value(json_object_get(root, "total"));
	segment->first =
	    (uint32_t)json_integer_value(json_object_get(root, "first"));
	segment->sealed = json_is_true(json_object_get(root, "sealed"));
	segment->ended = json_is_true(json_object_get(root, "ended"));
	valid = root != NULL &&
	    decode_results(segment, json_object_get(root, "results"));
	json_decref(root);
	if (!valid)
		jj_inline_segment_clear(segment);
	return valid;
}

void
jj_inline_segment_clear(jj_inline_segment_t *segment)
{
	uint32_t i;

	for (i = 0; i < segment->count; i++) {
		free(segment->results[i].id);
		jj_bytes_free(&segment->results[i].text);
	}
	free(segment->results);
	memset(segment, 0, sizeof(*segment));
}

void
jj_inline_segment_add(jj_inline_segment_t *segment, const char *id, bool done,
    const jj_bytes_t *text)
{
	jj_inline_result_t *result;

	segment->results = jj_realloc(
	    segment->results, (segment->count + 1) * sizeof(*segment->results));
	result = &segment->results[segment->count++];
	memset(result, 0, sizeof(*result));
	result->id = strdup(id);
	result->done = done;
	if (done && text != NULL)
		result->text = jj_bytes_copy(text->data, text->size);
}

size_t
jj_inline_segment_size(const jj_inline_segment_t *segment)
{
	size_t size = 0;
	uint32_t i;

	for (i = 0; i < segment->count; i++)
		size += jj_inline_result_size(
		    segment->results[i].id, &segment->results[i].text);
	return size;
}

size_t
jj_inline_result_size(const char *id, const jj_bytes_t *text)
{
	size_t size = RESULT_OVERHEAD + strlen(id) + text->size;
	size_t i;

	for (i = 0; i < text->size; i++) {
		unsigned char byte = (unsigned char)text->data[i];

		if (byte == '"' || byte == '\\' || byte == '\n')
			size++;
		else if (byte < ' ')
			size += ESCAPE_EXTRA;
	}
	return size;
}

/** Takes ownership of @p line. */
static void
append_header(jj_inline_item_t *item, char *line)
{
	item->headers = jj_realloc(
	    item->headers, (item->header_count + 1) * sizeof(*item->headers));
	item->headers[item->header_count++] = line;
}

static void
clear_item(jj_inline_item_t *item)
{
	size_t i;

	for (i = 0; i < item->header_count; i++)
		free(item->headers[i]);
	free(item->headers);
	free(item->id);
	free(item->path);
	jj_bytes_free(&item->body);
}

static json_t *
encode_item(const jj_inline_item_t *item)
{
	json_t *headers = json_array();
	gchar *body = g_base64_encode(
	    (const guchar *)(item->body.data != NULL ? item->body.data : ""),
	    item->body.size);
	json_t *entry;
	size_t i;

	for (i = 0; i < item->header_count; i++)
		(void)json_array_append_new(
		    headers, json_string(item->headers[i]));
	entry = json_pack("{s:s,s:s,s:o,s:s,s:I}", "id", item->id, "path",
	    item->path, "headers", headers, "body", body, "tokens",
	    (json_int_t)item->tokens);
	g_free(body);
	return entry;
}

static bool
decode_item(jj_inline_item_t *item, const json_t *entry)
{
	const json_t *headers = json_object_get(entry, "headers");
	const char *body = json_string_value(json_object_get(entry, "body"));
	const json_t *line;
	gsize size = 0;
	guchar *decoded;
	size_t i;

	item->id = copy_text(json_object_get(entry, "id"));
	item->path = copy_text(json_object_get(entry, "path"));
	item->tokens =
	    (uint64_t)json_integer_value(json_object_get(entry, "tokens"));
	json_array_foreach(headers, i, line)
	{
		char *text = copy_text(line);

		if (text == NULL)
			return false;
		append_header(item, text);
	}
	if (item->id == NULL || item->path == NULL || body == NULL)
		return false;
	decoded = g_base64_decode(body, &size);
	item->body = jj_bytes_copy(decoded, size);
	g_free(decoded);
	return true;
}

static char *
copy_text(const json_t *text)
{
	const char *value = json_string_value(text);

	return value != NULL ? strdup(value) : NULL;
}

static bool
decode_results(jj_inline_segment_t *segment, const json_t *results)
{
	const json_t *entry;
	size_t i;

	if (!json_is_array(results))
		return false;
	json_array_foreach(results, i, entry)
	{
		const char *id =
		    json_string_value(json_object_get(entry, "id"));
		const json_t *text = json_object_get(entry, "text");
		bool done = json_is_true(json_object_get(entry, "done"));
		jj_bytes_t bytes = {
		    (char *)json_string_value(text), json_string_length(text)};

		if (id == NULL || (done && !json_is_string(text)))
			return false;
		jj_inline_segment_add(segment, id, done, &bytes);
	}
	return true;
}
