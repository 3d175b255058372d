/**
 * @file random.c
 * @brief Random numbers from getrandom(2).
 */
#include <errno.h>

#include <sys/random.h>

#include "adapters/random.h"
#include "core/types.h"

uint64_t
jj_random_u64(void)
{
	uint64_t number;

	jj_random_fill(&number, sizeof(number));
	return number;
}

void
jj_random_fill(void *bytes, size_t size)
{
	char *next = bytes;
	ssize_t filled;

	while (size > 0) {
		filled = getrandom(next, size, 0);
		/*
		 * Abort without random numbers: without random incarnations,
		 * delayed messages of a replaced VM would be accepted as
		 * messages of the new one.
		 */
		JJ_INVARIANT(filled > 0 || errno == EINTR);
		if (filled > 0) {
			next += filled;
			size -= (size_t)filled;
		}
	}
}
