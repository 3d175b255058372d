/**
 * @file main.c
 * @brief jujube-hop: measures the cost of the hop through an entry VM.
 *
 * It starts no processes; scripts/bench-hop does. Prints one key=value line
 * for each target and one for the hop; exit status 1 when a request did not
 * get its correct answer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "load.h"

typedef struct {
	char *name;
	char *direct;
	char *hop;
	char *kind;
	char *model;
	double rate;
	int open;
	int count;
	int tokens;
	int pid;
} options_t;

static bool parse_options(options_t *, int, char **);
static bool make_plan(const options_t *, load_plan_t *);
static void
print_target(const options_t *, const load_target_t *, const load_outcome_t *);
static void
print_hop(const options_t *, const load_plan_t *, const load_result_t *);
static void
print_added(const char *, const int64_t *, uint32_t, const int64_t *, uint32_t);
static bool is_clean(const load_plan_t *, const load_result_t *);

int
main(int argc, char **argv)
{
	options_t options = {.open = 64, .count = 1000, .tokens = 1};
	load_plan_t plan;
	load_result_t result;
	uint32_t i;
	bool clean;

	if (!parse_options(&options, argc, argv) || !make_plan(&options, &plan))
		return 2;
	(void)curl_global_init(CURL_GLOBAL_ALL);
	if (!load_run(&plan, &result)) {
		(void)fprintf(stderr, "libcurl cannot be used\n");
		return 2;
	}
	for (i = 0; i < plan.target_count; i++)
		print_target(&options, &plan.targets[i], &result.outcomes[i]);
	print_hop(&options, &plan, &result);
	clean = is_clean(&plan, &result);
	load_clear(&result);
	return clean ? 0 : 1;
}

static bool
parse_options(options_t *options, int argc, char **argv)
{
	const GOptionEntry entries[] = {
	    {"name", 0, 0, G_OPTION_ARG_STRING, &options->name,
		"name of the run, printed", "NAME"},
	    {"direct", 0, 0, G_OPTION_ARG_STRING, &options->direct,
		"URL of the backend server", "URL"},
	    {"hop", 0, 0, G_OPTION_ARG_STRING, &options->hop,
		"URL of the same service through an entry VM", "URL"},
	    {"kind", 0, 0, G_OPTION_ARG_STRING, &options->kind,
		"kind of answer", "plain|whole|stream"},
	    {"model", 0, 0, G_OPTION_ARG_STRING, &options->model,
		"service of a completion", "NAME"},
	    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->rate,
		"requests per second and target; 0: no pacing", "N"},
	    {"open", 0, 0, G_OPTION_ARG_INT, &options->open,
		"maximum of requests open at once", "N"},
	    {"count", 0, 0, G_OPTION_ARG_INT, &options->count,
		"requests per target", "N"},
	    {"tokens", 0, 0, G_OPTION_ARG_INT, &options->tokens,
		"tokens of each completion", "N"},
	    {"pid", 0, 0, G_OPTION_ARG_INT, &options->pid,
		"process of the entry VM, to be measured", "PID"},
	    G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!parsed) {
		(void)fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return parsed;
}

static bool
make_plan(const options_t *options, load_plan_t *plan)
{
	memset(plan, 0, sizeof(*plan));
	if (options->direct != NULL)
		plan->targets[plan->target_count++] =
		    (load_target_t){"direct", options->direct};
	if (options->hop != NULL)
		plan->targets[plan->target_count++] =
		    (load_target_t){"hop", options->hop};
	if (plan->target_count == 0 || options->kind == NULL ||
	    options->open < 1 || options->count < 1 || options->tokens < 1) {
		(void)fprintf(stderr,
		    "--direct or --hop, --kind, and --open, --count, "
		    "--tokens of 1 or more are needed\n");
		return false;
	}
	plan->kind = strcmp(options->kind, "plain") == 0 ? ANSWER_PLAIN
	    : strcmp(options->kind, "stream") == 0	 ? ANSWER_STREAM
							 : ANSWER_WHOLE;
	plan->rate = options->rate;
	plan->open = (uint32_t)options->open;
	plan->count = (uint32_t)options->count;
	plan->tokens = (uint32_t)options->tokens;
	plan->model = options->model != NULL ? options->model : "model";
	plan->pid = options->pid;
	return true;
}

static void
print_target(const options_t *options, const load_target_t *target,
    const load_outcome_t *outcome)
{
	uint32_t n = outcome->answered;

	(void)printf("run=%s target=%s answered=%u refused=%u lost=%u mixed=%u "
		     "odd=%u first_p50_us=%lld first_p99_us=%lld "
		     "whole_p50_us=%lld whole_p99_us=%lld\n",
	    options->name != NULL ? options->name : "hop", target->name, n,
	    outcome->refused, outcome->lost, outcome->mixed, outcome->malformed,
	    (long long)load_quantile(outcome->first_us, n, 0.5),
	    (long long)load_quantile(outcome->first_us, n, 0.99),
	    (long long)load_quantile(outcome->whole_us, n, 0.5),
	    (long long)load_quantile(outcome->whole_us, n, 0.99));
}

static void
print_hop(const options_t *options, const load_plan_t *plan,
    const load_result_t *result)
{
	const load_outcome_t *direct = &result->outcomes[0];
	const load_outcome_t *hop = &result->outcomes[plan->target_count - 1];
	int64_t cpu_us = result->after.cpu_us - result->before.cpu_us;
	double seconds = (double)result->elapsed_us / 1e6;

	(void)printf("run=%s seconds=%.1f open_most=%u requests_per_s=%.0f "
		     "tokens_per_s=%.0f",
	    options->name != NULL ? options->name : "hop", seconds,
	    result->max_open, hop->answered / seconds,
	    (double)hop->tokens / seconds);
	if (plan->target_count == 2) {
		print_added("first", direct->first_us, direct->answered,
		    hop->first_us, hop->answered);
		print_added("whole", direct->whole_us, direct->answered,
		    hop->whole_us, hop->answered);
	}
	if (plan->pid != 0 && hop->answered > 0)
		(void)printf(" cpu_us_per_request=%.1f cpu_us_per_token=%.2f "
			     "cpu_share=%.3f rss_before_kb=%lld "
			     "rss_most_kb=%lld",
		    (double)cpu_us / hop->answered,
		    (double)cpu_us / (double)hop->tokens,
		    (double)cpu_us / (double)result->elapsed_us,
		    (long long)result->before.rss_kb,
		    (long long)result->max_rss_kb);
	if (plan->pid != 0 && result->full_us > 0)
		(void)printf(" full_s=%.1f full_tokens_per_s=%.0f "
			     "full_cpu_share=%.3f",
		    (double)result->full_us / 1e6,
		    (double)result->full_tokens * 1e6 / (double)result->full_us,
		    (double)result->full_cpu_us / (double)result->full_us);
	(void)printf("\n");
}

static void
print_added(const char *what, const int64_t *direct, uint32_t direct_count,
    const int64_t *hop, uint32_t hop_count)
{
	int64_t direct_p50 = load_quantile(direct, direct_count, 0.5);
	int64_t direct_p99 = load_quantile(direct, direct_count, 0.99);
	int64_t hop_p50 = load_quantile(hop, hop_count, 0.5);
	int64_t hop_p99 = load_quantile(hop, hop_count, 0.99);

	if (direct_p50 == 0 || direct_p99 == 0)
		return;
	(void)printf(" added_%s_p50_us=%lld added_%s_p99_us=%lld "
		     "ratio_%s_p50=%.2f ratio_%s_p99=%.2f",
	    what, (long long)(hop_p50 - direct_p50), what,
	    (long long)(hop_p99 - direct_p99), what,
	    (double)hop_p50 / (double)direct_p50, what,
	    (double)hop_p99 / (double)direct_p99);
}

static bool
is_clean(const load_plan_t *plan, const load_result_t *result)
{
	uint32_t i;

	for (i = 0; i < plan->target_count; i++) {
		const load_outcome_t *outcome = &result->outcomes[i];

		if (outcome->answered != plan->count)
			return false;
	}
	return true;
}
