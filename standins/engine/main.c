#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "batcher.h"
#include "control.h"
#include "engine.h"
#include "routes.h"

static bool options_parse(engine_options_t *, int, char **);
static void options_set_defaults(engine_options_t *);
static bool options_are_valid(const engine_options_t *);
static void options_clear(engine_options_t *);
static void engine_init(engine_t *);
static void engine_destroy(engine_t *);
static bool is_idle(void *);

int
main(int argc, char **argv)
{
	static engine_t engine;
	const process_t process = {
	    .addresses = &engine.options.addresses,
	    .serve = routes_serve,
	    .control = control_serve,
	    .is_idle = is_idle,
	    .ctx = &engine,
	    .lock = &engine.lock,
	    .leaving = &engine.faults.leaving,
	};
	int status = EXIT_FAILURE;

	process_init();
	if (!options_parse(&engine.options, argc, argv))
		goto out_options;
	engine_init(&engine);
	if (!batcher_start(&engine))
		goto out_engine;
	if (process_run(&process))
		status = EXIT_SUCCESS;
	batcher_stop(&engine);
out_engine:
	engine_destroy(&engine);
out_options:
	options_clear(&engine.options);
	return status;
}

static bool
options_parse(engine_options_t *options, int argc, char **argv)
{
	GOptionEntry entries[] = {
	    {"model", 0, 0, G_OPTION_ARG_STRING, &options->model,
		"model loaded from the start", "NAME"},
	    {"step-ms", 0, 0, G_OPTION_ARG_INT, &options->step_ms,
		"length of a step", "MS"},
	    {"soft", 0, 0, G_OPTION_ARG_INT, &options->soft,
		"streams that do not slow a step", "N"},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &options->slots,
		"streams that run at once", "N"},
	    {"prefill-us", 0, 0, G_OPTION_ARG_INT, &options->prefill_us,
		"time per uncached prompt token", "US"},
	    {"cache-blocks", 0, 0, G_OPTION_ARG_INT, &options->cache_blocks,
		"capacity of the prefix cache", "N"},
	    {"load-lag-ms", 0, 0, G_OPTION_ARG_INT, &options->load_lag_ms,
		"age of the load report", "MS"},
	    {"event-lag-ms", 0, 0, G_OPTION_ARG_INT, &options->event_lag_ms,
		"lateness of cache events", "MS"},
	    {"event-gap", 0, 0, G_OPTION_ARG_INT, &options->event_gap,
		"one event in N is lost, 0: none", "N"},
	    {"fencing", 0, 0, G_OPTION_ARG_STRING, &options->fencing,
		"what happens to an older fence", "check|ignore"},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed,
		"of lost events and failures", "N"},
	    {"no-crash", 0, 0, G_OPTION_ARG_NONE, &options->no_crash,
		"run a crashing prompt like any other", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	options_set_defaults(options);
	return process_parse_options(
		   &options->addresses, entries, argc, argv) &&
	    options_are_valid(options);
}

static void
options_set_defaults(engine_options_t *options)
{
	options->model = g_strdup("model");
	options->fencing = g_strdup("check");
	options->step_ms = 10;
	options->soft = 16;
	options->slots = 32;
	options->prefill_us = 20;
	options->cache_blocks = 4096;
	options->load_lag_ms = 500;
	options->event_lag_ms = 200;
	options->event_gap = 32;
	options->seed = 1;
}

static bool
options_are_valid(const engine_options_t *options)
{
	const struct {
		const char *name;
		int value;
		int min;
	} bounds[] = {
	    {"step-ms", options->step_ms, 1},
	    {"soft", options->soft, 1},
	    {"slots", options->slots, 1},
	    {"prefill-us", options->prefill_us, 0},
	    {"cache-blocks", options->cache_blocks, 1},
	    {"load-lag-ms", options->load_lag_ms, 0},
	    {"event-lag-ms", options->event_lag_ms, 0},
	    {"event-gap", options->event_gap, 0},
	};
	size_t i;

	for (i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		if (bounds[i].value < bounds[i].min) {
			fprintf(stderr, "--%s %d: at least %d\n",
			    bounds[i].name, bounds[i].value, bounds[i].min);
			return false;
		}
	}
	if (strcmp(options->fencing, "check") != 0 &&
	    strcmp(options->fencing, "ignore") != 0) {
		fprintf(stderr, "--fencing %s: check or ignore\n",
		    options->fencing);
		return false;
	}
	return true;
}

static void
options_clear(engine_options_t *options)
{
	process_clear_addresses(&options->addresses);
	g_free(options->model);
	g_free(options->fencing);
}

static void
engine_init(engine_t *engine)
{
	const engine_options_t *options = &engine->options;
	uint64_t seed = (uint64_t)options->seed;

	process_make_boot_id(engine->boot);
	pthread_mutex_init(&engine->lock, NULL);
	stream_cond_init(&engine->wake);
	stream_table_init(&engine->streams);
	cache_init(&engine->cache, (size_t)options->cache_blocks,
	    options->event_lag_ms, options->event_gap, seed);
	faults_init(&engine->faults, seed);
	orders_init(&engine->orders, options->model,
	    strcmp(options->fencing, "check") == 0);
	records_init(&engine->records);
}

static void
engine_destroy(engine_t *engine)
{
	records_destroy(&engine->records);
	orders_destroy(&engine->orders);
	faults_destroy(&engine->faults);
	cache_destroy(&engine->cache);
	stream_table_destroy(&engine->streams);
	pthread_cond_destroy(&engine->wake);
	pthread_mutex_destroy(&engine->lock);
}

static bool
is_idle(void *ctx)
{
	const engine_t *engine = ctx;

	return batcher_is_idle(engine);
}
