/**
 * @file sse.c
 * @brief Fuzz target: a backend server's event stream, in pieces of
 * 1 to 32 bytes.
 */
#include <stdint.h>

#include "daemon/assembler.h"
#include "daemon/sse.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jj_assembler_t *assembler = jj_assembler_create();
	jj_sse_t sse = {0};
	jj_bytes_t whole;
	size_t piece = size > 0 ? data[0] % 32 + 1 : 1;
	size_t taken;

	while (size > 0) {
		taken = piece < size ? piece : size;
		jj_sse_feed(&sse, (const char *)data, taken);
		JJ_INVARIANT(sse.whole <= sse.size);
		jj_assembler_feed(assembler, sse.pending, sse.whole);
		jj_sse_drop_complete(&sse);
		data += taken;
		size -= taken;
	}
	whole = jj_assembler_finish(assembler);
	jj_bytes_free(&whole);
	jj_sse_clear(&sse);
	jj_assembler_destroy(assembler);
	return 0;
}
