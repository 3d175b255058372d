/**
 * @file main.c
 * @brief jujube-slopes: cost that each part of the fleet adds to a VM.
 *
 * Drives the real core in virtual time at four or more sizes of each part and
 * prints the line through the points, from which docs/CAPACITY.md calculates.
 * Counted slopes (bytes, messages) are the same in each run and can be
 * bounded; processor times vary and are never checked.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "slopes.h"

static const struct {
	const char *name;
	void (*measure)(fit_bounds_t *);
} PARTS[] = {
    {"neighbours", slopes_of_neighbours},
    {"servers", slopes_of_servers},
    {"domains", slopes_of_domains},
    {"list", slopes_of_list},
    {"config", slopes_of_config},
    {"requests", slopes_of_requests},
    {"teams", slopes_of_teams},
    {"keys", slopes_of_keys},
    {"quarantine", slopes_of_quarantine},
    {"batch", slopes_of_batch},
    {"loss", slopes_of_loss},
    {"target", slopes_at_target},
};

int
main(int argc, char **argv)
{
	char *check = NULL;
	char *only = NULL;
	const GOptionEntry entries[] = {
	    {"check", 0, 0, G_OPTION_ARG_FILENAME, &check,
		"file of bounds on counted slopes", "FILE"},
	    {"only", 0, 0, G_OPTION_ARG_STRING, &only, "measure only this part",
		"NAME"},
	    G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	fit_bounds_t *bounds = NULL;
	size_t broken = 0;
	bool parsed;
	size_t i;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (check != NULL)
		bounds = fit_bounds_load(check);
	if (!parsed || (check != NULL && bounds == NULL)) {
		(void)fprintf(stderr,
		    "usage: jujube-slopes [--only NAME] "
		    "[--check FILE]\n");
		return 2;
	}
	/* A fixed seed of JSON hash tables gives the same bytes in each run. */
	json_object_seed(1);
	for (i = 0; i < sizeof(PARTS) / sizeof(PARTS[0]); i++) {
		if (only == NULL || strcmp(only, PARTS[i].name) == 0)
			PARTS[i].measure(bounds);
	}
	if (bounds != NULL)
		broken = fit_bounds_report(bounds);
	fit_bounds_destroy(bounds);
	return broken > 0 ? 1 : 0;
}
