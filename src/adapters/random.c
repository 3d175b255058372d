/**
 * @file random.c
 * @brief Random numbers by getrandom(2).
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
	ssize_t got;

	while (size > 0) {
		got = getrandom(next, size, 0);
		/*
		 * Without random incarnations a replaced VM's late messages
		 * would pass for the new one's: no start without them.
		 */
		JJ_INVARIANT(got > 0 || errno == EINTR);
		if (got > 0) {
			next += got;
			size -= (size_t)got;
		}
	}
}
