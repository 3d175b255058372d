/**
 * @file json_text.c
 * @brief Serializes JSON values, and copies strings out of them.
 */
#include "core/json_text.h"

#include <stdlib.h>
#include <string.h>

#include <yajl/yajl_parse.h>

static bool has_more_values(const char *, size_t, size_t);
static int count_value(void *);
static int count_boolean(void *, int);
static int count_text(void *, const unsigned char *, size_t);
static int count_number(void *, const char *, size_t);

json_t *
jj_json_load_stored(const char *text, size_t size)
{
	return json_loadb(text, size, JSON_ALLOW_NUL, NULL);
}

json_t *
jj_json_load_limited(
    const char *text, size_t size, size_t flags, size_t values_max)
{
	return has_more_values(text, size, values_max)
	    ? NULL
	    : json_loadb(text, size, flags, NULL);
}

jj_bytes_t
jj_json_take_bytes(json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);
	jj_bytes_t bytes;

	JJ_INVARIANT(text != NULL);
	bytes = jj_bytes_from_text(text);
	free(text);
	json_decref(object);
	return bytes;
}

bool
jj_json_copy_text(char *to, size_t capacity, const json_t *text)
{
	size_t size = json_string_length(text);

	if (!json_is_string(text) || size >= capacity)
		return false;
	memcpy(to, json_string_value(text), size + 1);
	return true;
}

/** True when a text, valid or not, begins with more values than that. */
static bool
has_more_values(const char *text, size_t size, size_t values_max)
{
	static const yajl_callbacks callbacks = {.yajl_null = count_value,
	    .yajl_boolean = count_boolean,
	    .yajl_number = count_number,
	    .yajl_string = count_text,
	    .yajl_start_map = count_value,
	    .yajl_start_array = count_value};
	size_t left = values_max;
	yajl_handle parser = yajl_alloc(&callbacks, NULL, &left);
	yajl_status status;

	JJ_INVARIANT(parser != NULL);
	status = yajl_parse(parser, (const unsigned char *)text, size);
	yajl_free(parser);
	return status == yajl_status_client_canceled;
}

/** Takes one of the values that are left; 0 ends the parser. */
static int
count_value(void *ctx)
{
	size_t *left = ctx;

	if (*left == 0)
		return 0;
	(*left)--;
	return 1;
}

static int
count_boolean(void *ctx, int value)
{
	(void)value;
	return count_value(ctx);
}

static int
count_text(void *ctx, const unsigned char *text, size_t size)
{
	(void)text;
	(void)size;
	return count_value(ctx);
}

static int
count_number(void *ctx, const char *digits, size_t size)
{
	(void)digits;
	(void)size;
	return count_value(ctx);
}
