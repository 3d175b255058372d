/**
 * @file http_framing.c
 * @brief How the end of an HTTP/1 message's body is found, by its headers.
 */
#include <string.h>
#include <strings.h>

#include <glib.h>

#include "adapters/http_framing.h"

static bool is_name(const char *, size_t);
static bool is_value(const char *, size_t);
static bool equals(const char *, size_t, const char *);
static void take_lengths(jj_http_framing_t *, const char *, size_t);
static void take_length(jj_http_framing_t *, const char *, size_t);
static void trim(const char **, size_t *);

void
jj_http_framing_take(jj_http_framing_t *framing, const char *name,
    size_t name_size, const char *value, size_t value_size)
{
	if (!is_name(name, name_size) || !is_value(value, value_size)) {
		framing->invalid = true;
	} else if (equals(name, name_size, "Content-Length")) {
		take_lengths(framing, value, value_size);
	} else if (equals(name, name_size, "Transfer-Encoding")) {
		/* No other coding is offered by this process, nor read. */
		if (framing->has_chunks ||
		    !equals(value, value_size, "chunked"))
			framing->invalid = true;
		framing->has_chunks = true;
	}
}

void
jj_http_framing_take_line(
    jj_http_framing_t *framing, const char *line, size_t size)
{
	const char *colon = memchr(line, ':', size);
	const char *value;
	size_t value_size;

	if (colon == NULL) {
		framing->invalid = true;
		return;
	}
	value = colon + 1;
	value_size = size - (size_t)(value - line);
	trim(&value, &value_size);
	jj_http_framing_take(
	    framing, line, (size_t)(colon - line), value, value_size);
}

bool
jj_http_framing_is_valid(const jj_http_framing_t *framing)
{
	return !framing->invalid &&
	    !(framing->has_length && framing->has_chunks);
}

/** True for a token (RFC 9110, 5.6.2). */
static bool
is_name(const char *text, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (text[i] == '\0' ||
			strchr("!#$%&'*+-.^_`|~", text[i]) == NULL))
			return false;
	return size > 0;
}

static bool
is_value(const char *text, size_t size)
{
	return memchr(text, '\0', size) == NULL &&
	    memchr(text, '\r', size) == NULL &&
	    memchr(text, '\n', size) == NULL;
}

static bool
equals(const char *text, size_t size, const char *word)
{
	return size == strlen(word) && strncasecmp(text, word, size) == 0;
}

/** Equal lengths, in several headers or in a list, count as one. */
static void
take_lengths(jj_http_framing_t *framing, const char *value, size_t size)
{
	const char *comma;
	const char *next;

	while ((comma = memchr(value, ',', size)) != NULL) {
		take_length(framing, value, (size_t)(comma - value));
		next = comma + 1;
		size -= (size_t)(next - value);
		value = next;
	}
	take_length(framing, value, size);
}

static void
take_length(jj_http_framing_t *framing, const char *digits, size_t size)
{
	int64_t length = 0;
	size_t i;

	trim(&digits, &size);
	if (size == 0)
		framing->invalid = true;
	for (i = 0; i < size; i++) {
		if (!g_ascii_isdigit(digits[i]) ||
		    __builtin_mul_overflow(length, 10, &length) ||
		    __builtin_add_overflow(
			length, g_ascii_digit_value(digits[i]), &length)) {
			framing->invalid = true;
			return;
		}
	}
	if (framing->has_length && framing->length != length)
		framing->invalid = true;
	framing->has_length = true;
	framing->length = length;
}

/** Removes spaces and tabs at both ends. */
static void
trim(const char **text, size_t *size)
{
	while (*size > 0 && (**text == ' ' || **text == '\t')) {
		(*text)++;
		(*size)--;
	}
	while (*size > 0 &&
	    ((*text)[*size - 1] == ' ' || (*text)[*size - 1] == '\t'))
		(*size)--;
}
