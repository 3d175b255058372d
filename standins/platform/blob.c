/**
 * @file blob.c
 * @brief Shared immutable values; see blob.h.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "blob.h"

blob_t *
blob_create(const char *data, size_t size)
{
	blob_t *blob = g_malloc(sizeof(*blob) + size);

	atomic_init(&blob->references, 1);
	blob->size = size;
	if (size > 0)
		memcpy(blob->data, data, size);
	return blob;
}

blob_t *
blob_acquire(blob_t *blob)
{
	atomic_fetch_add(&blob->references, 1);
	return blob;
}

void
blob_release(blob_t *blob)
{
	if (blob == NULL)
		return;
	if (atomic_fetch_sub(&blob->references, 1) == 1)
		g_free(blob);
}
