/**
 * @file main.c
 * @brief jujube-bench: the dispatch policy in virtual time.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "adapters/toml.h"
#include "messages.h"
#include "plot.h"
#include "report.h"

#define ERROR_SIZE 256
/* Fixed caps of batch streams that the baseline search tries. */
static const uint32_t CAPS[] = {1, 2, 3, 4, 6, 8, 10, 12, 14, 16};

typedef struct {
	char *scenario;
	char *policy;
	char *all;
	char *check;
	gint64 seed;
	gint runs;
	gboolean json;
	gboolean messages;
	gboolean line;
	gboolean series;
	gdouble trade; /* NAN: use the scenario's value */
} options_t;

static bool parse_options(options_t *, int *, char ***);
static bool parse_policy(const char *, const bench_scenario_t *, policy_t *);
static void run_seeds(const bench_scenario_t *, const policy_t *, run_t *);
static void
run_figures(const bench_scenario_t *, const policy_t *, figures_t *);
static void set_seeds(bench_scenario_t *, const options_t *);
static bool set_trade(bench_scenario_t *, const options_t *);
static int run_one(const options_t *);
static void print_series(const bench_scenario_t *, const policy_t *);
static void
print_comparison(const options_t *, const bench_scenario_t *, const policy_t *);
static int run_all(const options_t *);
static void run_table(const bench_scenario_t *);
static void run_baselines(const bench_scenario_t *, const figures_t *);
static int check_bounds(const options_t *);
static bool check_scenario(
    const options_t *, const char *, const char *, const jj_toml_node_t *);
static bool check_bound(const char *, const char *, double, double, bool);
static double bound_or_fallback(const jj_toml_node_t *, const char *, double);
static int compare_names(gconstpointer, gconstpointer);

int
main(int argc, char **argv)
{
	options_t options = {.trade = NAN};
	int status;

	if (!parse_options(&options, &argc, &argv))
		return 2;
	if (options.messages)
		status = messages_measure();
	else if (options.check != NULL)
		status = check_bounds(&options);
	else if (options.all != NULL)
		status = run_all(&options);
	else
		status = run_one(&options);
	g_free(options.scenario);
	g_free(options.policy);
	g_free(options.all);
	g_free(options.check);
	return status;
}

static bool
parse_options(options_t *options, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
	    {"scenario", 0, 0, G_OPTION_ARG_FILENAME, &options->scenario,
		"the scenario to run", "FILE"},
	    {"policy", 0, 0, G_OPTION_ARG_STRING, &options->policy,
		"jujube (default), none, fcfs or cap=N", "POLICY"},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed,
		"replaces the scenario's seed", "N"},
	    {"runs", 0, 0, G_OPTION_ARG_INT, &options->runs,
		"consecutive seeds whose calls are merged (default 1)", "N"},
	    {"json", 0, 0, G_OPTION_ARG_NONE, &options->json, "print JSON",
		NULL},
	    {"line", 0, 0, G_OPTION_ARG_NONE, &options->line,
		"print a line of the table of --all", NULL},
	    {"series", 0, 0, G_OPTION_ARG_NONE, &options->series,
		"print a line for each second of the scenario", NULL},
	    {"trade", 0, 0, G_OPTION_ARG_DOUBLE, &options->trade,
		"replaces the scenario's trade, 0 to 1", "X"},
	    {"all", 0, 0, G_OPTION_ARG_FILENAME, &options->all,
		"run all scenarios of a folder against the baselines", "DIR"},
	    {"check", 0, 0, G_OPTION_ARG_FILENAME, &options->check,
		"run the scenarios of a bounds file; status 1 on a breach",
		"FILE"},
	    {"messages", 0, 0, G_OPTION_ARG_NONE, &options->messages,
		"measure messages between VMs; status 1 over the budget", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL}};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool valid;

	g_option_context_add_main_entries(context, entries, NULL);
	valid = g_option_context_parse(context, argc, argv, &error);
	if (valid && options->scenario == NULL && options->all == NULL &&
	    options->check == NULL && !options->messages) {
		fprintf(stderr,
		    "one of --scenario, --all, --check, --messages is "
		    "needed\n");
		valid = false;
	}
	if (error != NULL) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return valid;
}

static bool
parse_policy(
    const char *text, const bench_scenario_t *scenario, policy_t *policy)
{
	*policy = (policy_t){POLICY_JUJUBE, 0};
	if (text == NULL || strcmp(text, "jujube") == 0)
		return true;
	policy->kind = POLICY_NONE;
	if (strcmp(text, "none") == 0)
		return true;
	policy->kind = POLICY_CAP;
	policy->cap = scenario->slots;
	if (strcmp(text, "fcfs") == 0)
		return true;
	if (strncmp(text, "cap=", 4) != 0)
		return false;
	policy->cap = (uint32_t)strtoul(text + 4, NULL, 10);
	return true;
}

/* A seed has few calls in its tail, so calls of several seeds are merged. */
static void
run_seeds(const bench_scenario_t *scenario, const policy_t *policy, run_t *sum)
{
	bench_scenario_t seeded = *scenario;
	run_t run;
	uint32_t i;

	world_run(&seeded, policy, sum);
	for (i = 1; i < scenario->runs; i++) {
		seeded.seed++;
		world_run(&seeded, policy, &run);
		run_merge(sum, &run);
		run_destroy(&run);
	}
}

static void
run_figures(const bench_scenario_t *scenario, const policy_t *policy,
    figures_t *figures)
{
	run_t sum;

	run_seeds(scenario, policy, &sum);
	report_figures(scenario, &sum, figures);
	run_destroy(&sum);
}

static void
set_seeds(bench_scenario_t *scenario, const options_t *options)
{
	if (options->seed != 0)
		scenario->seed = (uint64_t)options->seed;
	if (options->runs > 0)
		scenario->runs = (uint32_t)options->runs;
}

static bool
set_trade(bench_scenario_t *scenario, const options_t *options)
{
	if (isnan(options->trade))
		return true;
	if (options->trade < 0 || options->trade > 1)
		return false;
	scenario->trade = options->trade;
	return true;
}

static int
run_one(const options_t *options)
{
	bench_scenario_t scenario;
	char error[ERROR_SIZE];
	policy_t policy;

	if (!scenario_load(
		&scenario, options->scenario, error, sizeof(error))) {
		fprintf(stderr, "%s\n", error);
		return 2;
	}
	if (!parse_policy(options->policy, &scenario, &policy)) {
		fprintf(stderr, "policy %s is unknown\n", options->policy);
		return 2;
	}
	set_seeds(&scenario, options);
	if (!set_trade(&scenario, options)) {
		fprintf(
		    stderr, "trade is %g, it must be 0 to 1\n", options->trade);
		return 2;
	}
	if (options->series)
		print_series(&scenario, &policy);
	else
		print_comparison(options, &scenario, &policy);
	return 0;
}

static void
print_series(const bench_scenario_t *scenario, const policy_t *policy)
{
	bench_scenario_t measured = *scenario;
	run_t run;

	measured.measures_seconds = true;
	run_seeds(&measured, policy, &run);
	plot_print_series(&measured, &run);
	run_destroy(&run);
}

static void
print_comparison(const options_t *options, const bench_scenario_t *scenario,
    const policy_t *policy)
{
	const policy_t none = {POLICY_NONE, 0};
	const char *name = options->policy ? options->policy : "jujube";
	figures_t measured;
	figures_t reference;
	comparison_t comparison;
	json_t *json;

	run_figures(scenario, &none, &reference);
	run_figures(scenario, policy, &measured);
	report_compare(scenario, &measured, &reference, &comparison);
	if (options->line) {
		report_print_line(scenario->name, name, &comparison);
		return;
	}
	if (!options->json) {
		report_print(scenario->name, name, &comparison);
		return;
	}
	json = report_json(scenario->name, name, &comparison);
	(void)json_dumpf(json, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(json);
}

static int
run_all(const options_t *options)
{
	GDir *dir = g_dir_open(options->all, 0, NULL);
	GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
	bench_scenario_t scenario;
	const char *entry;
	char error[ERROR_SIZE];
	int status = 0;
	guint i;

	while (dir != NULL && (entry = g_dir_read_name(dir)) != NULL)
		if (g_str_has_suffix(entry, ".toml") &&
		    strcmp(entry, "bounds.toml") != 0)
			g_ptr_array_add(
			    paths, g_build_filename(options->all, entry, NULL));
	g_ptr_array_sort(paths, compare_names);
	report_print_line(NULL, NULL, NULL);
	for (i = 0; i < paths->len; i++) {
		if (scenario_load(
			&scenario, paths->pdata[i], error, sizeof(error))) {
			set_seeds(&scenario, options);
			run_table(&scenario);
			continue;
		}
		fprintf(stderr, "%s\n", error);
		status = 2;
	}
	g_ptr_array_free(paths, TRUE);
	if (dir != NULL)
		g_dir_close(dir);
	return status;
}

static void
run_table(const bench_scenario_t *scenario)
{
	const policy_t none = {POLICY_NONE, 0};
	const policy_t jujube = {POLICY_JUJUBE, 0};
	figures_t reference;
	figures_t measured;
	comparison_t comparison;

	run_figures(scenario, &none, &reference);
	report_compare(scenario, &reference, &reference, &comparison);
	report_print_line(scenario->name, "none", &comparison);
	run_figures(scenario, &jujube, &measured);
	report_compare(scenario, &measured, &reference, &comparison);
	report_print_line(scenario->name, "jujube", &comparison);
	run_baselines(scenario, &reference);
	(void)fflush(stdout);
}

static void
run_baselines(const bench_scenario_t *scenario, const figures_t *reference)
{
	policy_t policy = {POLICY_CAP, scenario->slots};
	comparison_t comparison;
	comparison_t best = {0};
	figures_t measured;
	char name[16];
	size_t i;

	run_figures(scenario, &policy, &measured);
	report_compare(scenario, &measured, reference, &comparison);
	report_print_line(scenario->name, "fcfs", &comparison);
	for (i = 0; i < sizeof(CAPS) / sizeof(CAPS[0]); i++) {
		policy.cap = CAPS[i];
		run_figures(scenario, &policy, &measured);
		report_compare(scenario, &measured, reference, &comparison);
		if (i > 0 && comparison.score <= best.score)
			continue;
		best = comparison;
		(void)snprintf(name, sizeof(name), "cap=%u", CAPS[i]);
	}
	report_print_line(scenario->name, name, &best);
}

/* The bounds file has one table per scenario, named as its file
 * without .toml. */
static int
check_bounds(const options_t *options)
{
	char error[ERROR_SIZE];
	jj_toml_t *toml = jj_toml_load(options->check, error, sizeof(error));
	char *folder = g_path_get_dirname(options->check);
	const jj_toml_node_t *root;
	char *path;
	char *file;
	bool within_bound = true;
	size_t i;

	if (toml == NULL) {
		fprintf(stderr, "%s\n", error);
		g_free(folder);
		return 2;
	}
	root = jj_toml_root(toml);
	for (i = 0; i < jj_toml_count(root); i++) {
		file = g_strconcat(jj_toml_key_at(root, i), ".toml", NULL);
		path = g_build_filename(folder, file, NULL);
		within_bound &= check_scenario(options, jj_toml_key_at(root, i),
		    path, jj_toml_at(root, i));
		g_free(path);
		g_free(file);
	}
	g_free(folder);
	jj_toml_destroy(toml);
	return within_bound ? 0 : 1;
}

static bool
check_scenario(const options_t *options, const char *name, const char *path,
    const jj_toml_node_t *bounds)
{
	const policy_t none = {POLICY_NONE, 0};
	const policy_t jujube = {POLICY_JUJUBE, 0};
	bench_scenario_t scenario;
	figures_t reference;
	figures_t measured;
	comparison_t comparison;
	char error[ERROR_SIZE];
	bool within_bound = true;

	if (!scenario_load(&scenario, path, error, sizeof(error))) {
		fprintf(stderr, "%s\n", error);
		return false;
	}
	set_seeds(&scenario, options);
	run_figures(&scenario, &none, &reference);
	run_figures(&scenario, &jujube, &measured);
	report_compare(&scenario, &measured, &reference, &comparison);
	within_bound &=
	    check_bound(name, "first_p99_ratio", comparison.first_ratio[2],
		bound_or_fallback(bounds, "first_p99_ratio", HUGE_VAL), true);
	within_bound &=
	    check_bound(name, "whole_p99_ratio", comparison.whole_ratio[2],
		bound_or_fallback(bounds, "whole_p99_ratio", HUGE_VAL), true);
	within_bound &= check_bound(name, "others_first_p99_ms",
	    measured.others_first.ms[2],
	    bound_or_fallback(bounds, "others_first_p99_ms", HUGE_VAL), true);
	within_bound &= check_bound(name, "refused", measured.refused,
	    bound_or_fallback(bounds, "refused", HUGE_VAL), true);
	within_bound &= check_bound(name, "retried", measured.retried,
	    bound_or_fallback(bounds, "retried", HUGE_VAL), true);
	within_bound &=
	    check_bound(name, "unanswered", measured.unanswered, 0, true);
	within_bound &= check_bound(name, "used", comparison.used,
	    bound_or_fallback(bounds, "used", 0), false);
	return within_bound;
}

static bool
check_bound(const char *name, const char *what, double value, double bound,
    bool at_most)
{
	bool within_bound = at_most ? value <= bound : value >= bound;

	printf("scenario=%s figure=%s value=%.4f bound=%.4f held=%s\n", name,
	    what, value, bound, within_bound ? "yes" : "no");
	return within_bound;
}

static double
bound_or_fallback(
    const jj_toml_node_t *bounds, const char *key, double fallback)
{
	const jj_toml_node_t *node = jj_toml_find(bounds, key);
	double value = fallback;

	if (node != NULL)
		(void)jj_toml_get_real(node, &value);
	return value;
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}
