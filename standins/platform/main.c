/**
 * @file main.c
 * @brief standin-platform: an in-memory stand-in for the platform, for tests.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "routes.h"

#define REASON_SIZE 160

typedef struct {
	char *listen;
	char *control;
	char *vms_file;
	double write_rate;
	double read_rate;
	double weights_rate;
	gint64 watch_history;
	gint64 log_bytes;
} options_t;

static void parse_options(int, char **, options_t *);
static void check_options(const options_t *);
static size_t ip_size(const char *);
static void free_options(options_t *);
static void platform_create(platform_t *, const options_t *);
static void platform_destroy(platform_t *);
static void load_vms(vms_t *, const char *);
static void serve(platform_t *, const options_t *);

int
main(int argc, char **argv)
{
	options_t options = {.listen = g_strdup("127.0.0.1:0"),
	    .control = g_strdup("127.0.0.1:0"),
	    .write_rate = 400,
	    .read_rate = 2000,
	    .watch_history = 10000,
	    .log_bytes = 256 * 1024 * 1024};
	platform_t platform;

	web_block_signals();
	parse_options(argc, argv, &options);
	check_options(&options);
	platform_create(&platform, &options);
	serve(&platform, &options);
	platform_destroy(&platform);
	free_options(&options);
	return EXIT_SUCCESS;
}

static void
parse_options(int argc, char **argv, options_t *options)
{
	const GOptionEntry entries[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
		"address of the platform's interface", "IP:PORT"},
	    {"control", 0, 0, G_OPTION_ARG_STRING, &options->control,
		"address of the control port, same IP", "IP:PORT"},
	    {"write-rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->write_rate,
		"writes per second, 0: no limit (400)", "N"},
	    {"read-rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->read_rate,
		"reads per second, 0: no limit (2000)", "N"},
	    {"watch-history", 0, 0, G_OPTION_ARG_INT64, &options->watch_history,
		"events kept (10000)", "N"},
	    {"log-bytes", 0, 0, G_OPTION_ARG_INT64, &options->log_bytes,
		"bytes of the write log kept (268435456)", "N"},
	    {"vms", 0, 0, G_OPTION_ARG_FILENAME, &options->vms_file,
		"the first VM list", "FILE"},
	    {"weights-bytes-per-second", 0, 0, G_OPTION_ARG_DOUBLE,
		&options->weights_rate, "weight store's quota, 0: no limit (0)",
		"N"},
	    G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error))
		errx(EXIT_FAILURE, "%s", error->message);
	if (argc > 1)
		errx(EXIT_FAILURE, "unexpected argument %s", argv[1]);
	g_option_context_free(context);
}

static void
check_options(const options_t *options)
{
	size_t size = ip_size(options->listen);

	if (size == 0 || size != ip_size(options->control) ||
	    strncmp(options->listen, options->control, size) != 0)
		errx(EXIT_FAILURE,
		    "--listen and --control are IP:PORT with the same IP");
	if (options->write_rate < 0 || options->read_rate < 0 ||
	    options->weights_rate < 0)
		errx(EXIT_FAILURE, "a rate is 0 or more");
	if (options->watch_history < 1 || options->log_bytes < 0)
		errx(EXIT_FAILURE,
		    "--watch-history is 1 or more, --log-bytes 0 or more");
}

static size_t
ip_size(const char *address)
{
	const char *colon = strrchr(address, ':');

	return colon != NULL ? (size_t)(colon - address) : 0;
}

static void
free_options(options_t *options)
{
	g_free(options->listen);
	g_free(options->control);
	g_free(options->vms_file);
}

static void
platform_create(platform_t *platform, const options_t *options)
{
	int64_t now_ms = web_now_ms();

	platform->store = store_create(
	    (size_t)options->watch_history, (size_t)options->log_bytes);
	platform->counts = count_create();
	platform->faults = fault_create();
	platform->vms = vms_create();
	rate_create(&platform->writes, options->write_rate, now_ms);
	rate_create(&platform->reads, options->read_rate, now_ms);
	rate_create(&platform->weights, options->weights_rate, now_ms);
	if (options->vms_file != NULL)
		load_vms(platform->vms, options->vms_file);
}

static void
platform_destroy(platform_t *platform)
{
	store_destroy(platform->store);
	count_destroy(platform->counts);
	fault_destroy(platform->faults);
	vms_destroy(platform->vms);
	rate_destroy(&platform->writes);
	rate_destroy(&platform->reads);
	rate_destroy(&platform->weights);
}

static void
load_vms(vms_t *vms, const char *file)
{
	char reason[REASON_SIZE];
	json_error_t error;
	json_t *document;

	document = json_load_file(file, 0, &error);
	if (document == NULL)
		errx(EXIT_FAILURE, "%s:%d: %s", file, error.line, error.text);
	if (!vms_replace(vms, document, web_now_ms(), reason, sizeof(reason)))
		errx(EXIT_FAILURE, "%s: %s", file, reason);
	json_decref(document);
}

static void
serve(platform_t *platform, const options_t *options)
{
	web_server_t *control;
	web_server_t *api;
	char *ip;

	/* jansson must seed its hash tables before threads start. */
	json_object_seed(0);
	api = web_start(options->listen, route_api, platform);
	if (api == NULL)
		err(EXIT_FAILURE, "--listen %s", options->listen);
	control = web_start(options->control, route_control, platform);
	if (control == NULL)
		err(EXIT_FAILURE, "--control %s", options->control);
	ip = g_strndup(options->listen, ip_size(options->listen));
	web_announce(ip, web_port(api), web_port(control));
	g_free(ip);
	web_wait_for_signal();
	web_stop(api);
	web_stop(control);
}
