/**
 * @file wire.c
 * @brief Fuzz target: any bytes as a message. A decoded message, encoded,
 * decoded and encoded again, must give the same bytes.
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
	/* The encoder uses the shortest forms: never longer than the input. */
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
