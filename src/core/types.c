/**
 * @file types.c
 * @brief Names, bytes, hashes and allocation for all modules.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/types.h"

/** Minimum bytes by which a buffer grows. */
#define BUFFER_GROWTH_MIN 1024
/** Length of the hash suffix of a shortened name, with its separator. */
#define HASH_SUFFIX_LENGTH 17

bool
jj_name_set(jj_name_t *name, const char *text)
{
	size_t length = strlen(text);

	memset(name, 0, sizeof(*name));
	if (length > JJ_NAME_MAX)
		return false;
	memcpy(name->text, text, length);
	return true;
}

void
jj_name_set_truncated(jj_name_t *name, const char *text)
{
	if (!jj_name_set(name, text))
		jj_text_copy_truncated(name->text, sizeof(name->text), text);
}

void
jj_text_copy_truncated(char *fitted, size_t size, const char *text)
{
	size_t length = strlen(text);
	const char *end;

	if (length < size) {
		memcpy(fitted, text, length + 1);
		return;
	}
	end = text + size - 1 - HASH_SUFFIX_LENGTH;
	/* Skips back over UTF-8 continuation bytes. */
	while (end > text && (*end & 0xc0) == 0x80)
		end--;
	(void)snprintf(fitted, size, "%.*s~%016llx", (int)(end - text), text,
	    (unsigned long long)jj_hash_bytes(text, length, 0));
}

bool
jj_name_equal(const jj_name_t *a, const jj_name_t *b)
{
	return strcmp(a->text, b->text) == 0;
}

bool
jj_name_is_empty(const jj_name_t *name)
{
	return name->text[0] == '\0';
}

jj_bytes_t
jj_bytes_copy(const void *data, size_t size)
{
	jj_bytes_t bytes = {NULL, 0};

	if (size == 0)
		return bytes;
	bytes.data = jj_alloc(size + 1);
	memcpy(bytes.data, data, size);
	bytes.size = size;
	return bytes;
}

jj_bytes_t
jj_bytes_from_text(const char *text)
{
	return jj_bytes_copy(text, strlen(text));
}

void
jj_bytes_append(jj_bytes_t *bytes, const void *data, size_t size)
{
	bytes->data = jj_realloc(bytes->data, bytes->size + size + 1);
	memcpy(bytes->data + bytes->size, data, size);
	bytes->size += size;
	bytes->data[bytes->size] = '\0';
}

void
jj_bytes_free(jj_bytes_t *bytes)
{
	free(bytes->data);
	bytes->data = NULL;
	bytes->size = 0;
}

void
jj_buffer_append(jj_buffer_t *buffer, const void *data, size_t size)
{
	jj_bytes_t *bytes = &buffer->bytes;

	if (bytes->size + size + 1 > buffer->capacity) {
		buffer->capacity =
		    buffer->capacity * 2 + size + BUFFER_GROWTH_MIN;
		bytes->data = jj_realloc(bytes->data, buffer->capacity);
	}
	memcpy(bytes->data + bytes->size, data, size);
	bytes->size += size;
	bytes->data[bytes->size] = '\0';
}

jj_bytes_t
jj_buffer_take(jj_buffer_t *buffer)
{
	jj_bytes_t bytes = buffer->bytes;

	memset(buffer, 0, sizeof(*buffer));
	return bytes;
}

void
jj_buffer_clear(jj_buffer_t *buffer)
{
	jj_bytes_free(&buffer->bytes);
	buffer->capacity = 0;
}

uint64_t
jj_hash_bytes(const void *data, size_t size, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, size, seed);
}

jj_hash_t
jj_hash_wide(const void *data, size_t size)
{
	XXH128_hash_t wide = XXH3_128bits(data, size);
	jj_hash_t hash = {wide.low64, wide.high64};

	return hash;
}

bool
jj_hash_equal(const jj_hash_t *a, const jj_hash_t *b)
{
	return a->low == b->low && a->high == b->high;
}

const char *
jj_writer_split(const char *writer, jj_name_t *name)
{
	const char *slash = strrchr(writer, '/');

	memset(name, 0, sizeof(*name));
	if (slash == NULL || (size_t)(slash - writer) > JJ_NAME_MAX)
		return NULL;
	memcpy(name->text, writer, (size_t)(slash - writer));
	return slash + 1;
}

uint64_t
jj_rendezvous_weight(const char *node, uint64_t item)
{
	return XXH3_64bits_withSeed(node, strlen(node), item);
}

void *
jj_alloc(size_t size)
{
	void *memory = calloc(1, size > 0 ? size : 1);

	JJ_INVARIANT(memory != NULL);
	return memory;
}

void *
jj_realloc(void *memory, size_t size)
{
	void *grown = realloc(memory, size > 0 ? size : 1);

	JJ_INVARIANT(grown != NULL);
	return grown;
}

void
jj_invariant_broken(const char *file, int line, const char *what)
{
	(void)fprintf(stderr,
	    "event=invariant_broken file=%s line=%d what=\"%s\"\n", file, line,
	    what);
	abort();
}
