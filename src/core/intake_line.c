/**
 * @file intake_line.c
 * @brief Checks one line of a batch file.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "core/intake.h"

/* Maximum length of a line's url, bytes. */
#define URL_MAX 255

static const char *find_fault(const json_t *);
static bool is_text(const json_t *, size_t);
static bool is_path(const char *);

bool
jj_intake_check_line(const char *line, size_t size, char *why, size_t why_size)
{
	json_error_t error;
	json_t *object = json_loadb(line, size, JSON_REJECT_DUPLICATES, &error);
	const char *fault;

	if (object == NULL) {
		snprintf(why, why_size, "not valid JSON: %s", error.text);
		return false;
	}
	fault = find_fault(object);
	json_decref(object);
	if (fault == NULL)
		return true;
	snprintf(why, why_size, "%s", fault);
	return false;
}

static const char *
find_fault(const json_t *object)
{
	const json_t *url = json_object_get(object, "url");
	const char *method;

	if (!json_is_object(object))
		return "not a JSON object";
	if (!is_text(json_object_get(object, "custom_id"), JJ_CUSTOM_ID_MAX))
		return "custom_id must be a string of 1 to 255 bytes";
	method = json_string_value(json_object_get(object, "method"));
	if (method == NULL || strcmp(method, "POST") != 0)
		return "method must be \"POST\"";
	if (!is_text(url, URL_MAX) || !is_path(json_string_value(url)))
		return "url must be a path such as \"/v1/chat/completions\"";
	if (!json_is_object(json_object_get(object, "body")))
		return "body must be an object";
	return NULL;
}

static bool
is_text(const json_t *text, size_t max_size)
{
	size_t size = json_string_length(text);

	return json_is_string(text) && size >= 1 && size <= max_size;
}

/*
 * Only visible ASCII is allowed: with a line end or a space in the url, a
 * caller could inject headers into the request to the backend server. "//" at
 * the start would name another host.
 */
static bool
is_path(const char *url)
{
	const char *at;

	if (url[0] != '/' || url[1] == '/')
		return false;
	for (at = url; *at != '\0'; at++) {
		if (*at <= ' ' || *at > '~')
			return false;
	}
	return true;
}
