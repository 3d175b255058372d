/**
 * @file toml.c
 * @brief Fuzz target: any text as a settings file; a refusal must give a
 * reason.
 */
#include "adapters/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char why[JJ_SETTINGS_ERROR_MAX] = "";
	jj_settings_t settings;

	if (jj_settings_parse(
		&settings, (const char *)data, size, "fuzz", why, sizeof(why)))
		jj_settings_clear(&settings);
	else
		JJ_INVARIANT(why[0] != '\0');
	return 0;
}
