/**
 * @file check_settings.c
 * @brief Example: checks settings files as jujubed does when it starts.
 *
 *     build/example-check_settings examples/padana/verona-1.toml
 */
#include <stdio.h>

#include "jujubeswitch.h"

int
main(int argc, char **argv)
{
	char why[JJ_SETTINGS_ERROR_MAX];
	jj_settings_t settings;
	int invalid_count = 0;
	int i;

	for (i = 1; i < argc; i++) {
		if (!jj_settings_load(&settings, argv[i], why, sizeof(why))) {
			(void)printf("%s\n", why);
			invalid_count++;
			continue;
		}
		(void)printf("%s: VM %s of failure domain %s serves %s\n",
		    argv[i], settings.name.text, settings.domain.text,
		    settings.listen_callers);
		jj_settings_clear(&settings);
	}
	return invalid_count > 0 ? 1 : 0;
}
