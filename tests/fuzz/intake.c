/**
 * @file intake.c
 * @brief Fuzz target: intake of an uploaded batch file, in pieces of
 * 1 to 64 bytes.
 */
#include <stdint.h>

#include "core/intake.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jj_intake_settings_t settings = {
	    4, 2000, 500, 50, 100, 2, 10, "fuzz/0000000000000001", 1};
	jj_intake_t *intake = jj_intake_create(&settings, 1, "team");
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	size_t piece = size > 0 ? data[0] % 64 + 1 : 1;
	size_t taken;

	while (size > 0 && jj_intake_state(intake) == JJ_INTAKE_OPEN) {
		taken = jj_intake_feed(intake, (const char *)data,
		    piece < size ? piece : size, 1, &actions);
		if (taken == 0)
			break;
		data += taken;
		size -= taken;
	}
	if (jj_intake_state(intake) == JJ_INTAKE_OPEN)
		jj_intake_finish(intake, 1, &actions);
	jj_actions_clear(&actions);
	jj_intake_destroy(intake);
	return 0;
}
