/**
 * @file wire.c
 * @brief Fuzz target: any bytes into the decoder; what decodes must encode
 * and decode again to the same bytes.
 */
#include <string.h>

#include "adapters/wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jj_message_t message, again;
	jj_bytes_t bytes, bytes_again;

	if (jj_wire_decode(data, size, &message) != JJ_WIRE_OK)
		return 0;
	/* Shortest forms only: at most as long as what came in. */
	bytes = jj_wire_encode(&message);
	JJ_INVARIANT(bytes.size > 0 && bytes.size <= size);
	JJ_INVARIANT(
	    jj_wire_decode(bytes.data, bytes.size, &again) == JJ_WIRE_OK);
	bytes_again = jj_wire_encode(&again);
	JJ_INVARIANT(bytes_again.size == bytes.size &&
	    memcmp(bytes.data, bytes_again.data, bytes.size) == 0);
	jj_bytes_free(&bytes);
	jj_bytes_free(&bytes_again);
	jj_message_clear(&message);
	jj_message_clear(&again);
	return 0;
}
