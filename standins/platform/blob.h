/**
 * @file blob.h
 * @brief An immutable value shared by the store, its journal and read calls.
 */
#ifndef STANDIN_BLOB_H
#define STANDIN_BLOB_H

#include <stdatomic.h>
#include <stddef.h>

/** Reference-counted bytes; releasing the last reference frees them. */
typedef struct {
	atomic_int references;
	size_t size; /**< bytes */
	char data[];
} blob_t;

/** Copies @p size bytes; the blob starts with one reference. */
blob_t *blob_create(const char *data, size_t size);
/** Adds a reference; returns @p blob. */
blob_t *blob_acquire(blob_t *blob);
/** Releases a reference; NULL is allowed. */
void blob_release(blob_t *blob);

#endif
