#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include <glib.h>

#include "batcher.h"
#include "control.h"
#include "engine.h"
#include "routes.h"

#define LISTEN_DEFAULT "127.0.0.1:0"
/* Between looks at whether a leaving engine is idle, milliseconds. */
#define IDLE_POLL_MS 5

static bool options_parse(engine_options_t *, int, char **);
static void options_set_defaults(engine_options_t *);
static bool options_are_valid(const engine_options_t *);
static void options_clear(engine_options_t *);
static void engine_init(engine_t *);
static void engine_destroy(engine_t *);
static void serve(engine_t *, web_server_t *, web_server_t *);
static void leave(engine_t *);
static void *end_at_once(void *);

int
main(int argc, char **argv)
{
	static engine_t engine;
	web_server_t *control = NULL;
	web_server_t *data = NULL;
	int status = EXIT_FAILURE;

	web_block_signals();
	/* Or the first objects of two threads would seed the hash at once. */
	json_object_seed(1);
	if (!options_parse(&engine.options, argc, argv))
		goto out_options;
	engine_init(&engine);
	if (!batcher_start(&engine))
		goto out_engine;
	data = web_start(engine.options.listen, routes_serve, &engine);
	if (data == NULL) {
		fprintf(stderr, "event=listen_failed address=%s\n",
		    engine.options.listen);
		goto out_batcher;
	}
	control = web_start(engine.options.control, control_serve, &engine);
	if (control == NULL) {
		fprintf(stderr, "event=listen_failed address=%s\n",
		    engine.options.control);
		goto out_data;
	}
	serve(&engine, data, control);
	status = EXIT_SUCCESS;
	web_stop(control);
out_data:
	web_stop(data);
out_batcher:
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
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
		"address for callers", "IP:PORT"},
	    {"control", 0, 0, G_OPTION_ARG_STRING, &options->control,
		"address for tests", "IP:PORT"},
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
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool parsed;

	options_set_defaults(options);
	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!parsed) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return parsed && options_are_valid(options);
}

static void
options_set_defaults(engine_options_t *options)
{
	options->listen = g_strdup(LISTEN_DEFAULT);
	options->control = g_strdup(LISTEN_DEFAULT);
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
		int least;
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
		if (bounds[i].value < bounds[i].least) {
			fprintf(stderr, "--%s %d: at least %d\n",
			    bounds[i].name, bounds[i].value, bounds[i].least);
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
	g_free(options->listen);
	g_free(options->control);
	g_free(options->model);
	g_free(options->fencing);
}

static void
engine_init(engine_t *engine)
{
	const engine_options_t *options = &engine->options;
	uint64_t seed = (uint64_t)options->seed;
	uint64_t boot = 0;

	if (getrandom(&boot, sizeof(boot), 0) != (ssize_t)sizeof(boot))
		boot = (uint64_t)web_now_ms() ^ (uint64_t)getpid() << 32;
	snprintf(engine->boot, sizeof(engine->boot), "%016" PRIx64, boot);
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

static void
serve(engine_t *engine, web_server_t *data, web_server_t *control)
{
	char *ip = g_strdup(engine->options.listen);
	pthread_t ender;

	*strrchr(ip, ':') = '\0';
	web_announce(ip, web_port(data), web_port(control));
	g_free(ip);
	web_wait_for_signal();
	if (pthread_create(&ender, NULL, end_at_once, NULL) == 0)
		pthread_detach(ender);
	leave(engine);
}

/* Refuses new work and returns once what was accepted is answered. */
static void
leave(engine_t *engine)
{
	bool idle = false;

	pthread_mutex_lock(&engine->lock);
	engine->faults.leaving = true;
	pthread_mutex_unlock(&engine->lock);
	while (!idle) {
		web_sleep_ms(IDLE_POLL_MS);
		pthread_mutex_lock(&engine->lock);
		idle = batcher_is_idle(engine);
		pthread_mutex_unlock(&engine->lock);
	}
}

static void *
end_at_once(void *ctx)
{
	(void)ctx;
	web_wait_for_signal();
	_exit(EXIT_SUCCESS);
}
