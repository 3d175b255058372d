/**
 * @file ctl_settings.c
 * @brief `check-settings`: checks a VM's settings file without starting it.
 */
#include <err.h>
#include <stdio.h>

#include "adapters/settings.h"
#include "ctl/ctl.h"

static gboolean show_table;

static const GOptionEntry settings_options[] = {
    {"table", 0, 0, G_OPTION_ARG_NONE, &show_table,
	"Print all settings with bounds, default and reason", NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static jj_ctl_exit_t check_settings(const jj_ctl_t *, char **);

const jj_ctl_command_t jj_ctl_settings_commands[] = {
    {NULL, "check-settings", "[FILE]", "check a VM's settings file", 0, 1,
	settings_options, check_settings},
    {NULL, NULL, NULL, NULL, 0, 0, NULL, NULL},
};

static jj_ctl_exit_t
check_settings(const jj_ctl_t *ctl, char **arguments)
{
	char why[JJ_SETTINGS_ERROR_MAX];
	jj_settings_t settings;
	jj_bytes_t table;

	(void)ctl;
	if (show_table) {
		table = jj_settings_describe();
		(void)fwrite(table.data, 1, table.size, stdout);
		jj_bytes_free(&table);
		return JJ_CTL_OK;
	}
	if (arguments[0] == NULL) {
		warnx("no FILE given; use --table for the list of settings");
		return JJ_CTL_USAGE;
	}
	if (!jj_settings_load(&settings, arguments[0], why, sizeof(why))) {
		(void)fprintf(stderr, "%s\n", why);
		return JJ_CTL_USAGE;
	}
	(void)printf("%s: settings are valid\n", arguments[0]);
	jj_settings_clear(&settings);
	return JJ_CTL_OK;
}
