/**
 * @file http_framing.h
 * @brief How the end of an HTTP/1 message's body is found, by its headers.
 *
 * Guards against messages that are read in two ways: RFC 9112, 5.1 and 6.3,
 * call a message invalid that has two lengths, a length beside chunks, or a
 * name that ends with a space. The HTTP libraries accept some of them.
 */
#ifndef JJ_ADAPTERS_HTTP_FRAMING_H
#define JJ_ADAPTERS_HTTP_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What the headers of a message so far state; zero-initialized: nothing. */
typedef struct {
	bool has_length;
	int64_t length; /**< bytes, if has_length */
	bool has_chunks;
	bool invalid; /**< a header is malformed or contradicts another one */
} jj_http_framing_t;

/** Takes a header; sizes in bytes, the value without surrounding spaces. */
void jj_http_framing_take(jj_http_framing_t *framing, const char *name,
    size_t name_size, const char *value, size_t value_size);
/** Takes a header line without its line break. */
void jj_http_framing_take_line(
    jj_http_framing_t *framing, const char *line, size_t size);
/** False if a recipient could find another end of the body than the sender. */
bool jj_http_framing_is_valid(const jj_http_framing_t *framing);

#endif
