/**
 * @file blob.h
 * @brief An immutable value shared by the store, its journal and readers.
 */
#ifndef STANDIN_BLOB_H
#define STANDIN_BLOB_H

#include <stdatomic.h>
#include <stddef.h>

/** Bytes with a count of their holders; the last one frees them. */
typedef struct {
	atomic_int holders;
	size_t size; /**< bytes */
	char data[];
} blob_t;

/** Copies @p size bytes; one holder. */
blob_t *blob_create(const char *data, size_t size);
/** Adds a holder; returns @p blob. */
blob_t *blob_hold(blob_t *blob);
/** Drops a holder; NULL is allowed. */
void blob_release(blob_t *blob);

#endif
