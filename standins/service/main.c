#include <stdlib.h>

#include <glib.h>

#include "service.h"

static bool options_parse(service_options_t *, int, char **);
static void options_clear(service_options_t *);
static void service_init(service_t *);
static void service_destroy(service_t *);
static bool is_idle(void *);

int
main(int argc, char **argv)
{
	static service_t service;
	const process_t process = {
	    .addresses = &service.options.addresses,
	    .serve = service_serve,
	    .control = service_control,
	    .is_idle = is_idle,
	    .ctx = &service,
	    .lock = &service.lock,
	    .leaving = &service.faults.leaving,
	};
	int status = EXIT_FAILURE;

	process_init();
	if (!options_parse(&service.options, argc, argv))
		goto out_options;
	service_init(&service);
	if (process_run(&process))
		status = EXIT_SUCCESS;
	service_destroy(&service);
out_options:
	options_clear(&service.options);
	return status;
}

static bool
options_parse(service_options_t *options, int argc, char **argv)
{
	GOptionEntry entries[] = {
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed, "of failures",
		"N"},
	    {"no-crash", 0, 0, G_OPTION_ARG_NONE, &options->no_crash,
		"run a crashing call like any other", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	options->seed = 1;
	return process_parse_options(&options->addresses, entries, argc, argv);
}

static void
options_clear(service_options_t *options)
{
	process_clear_addresses(&options->addresses);
}

static void
service_init(service_t *service)
{
	process_make_boot_id(service->boot);
	pthread_mutex_init(&service->lock, NULL);
	runs_init(&service->runs);
	service->faults.failures.seed = (uint64_t)service->options.seed;
}

static void
service_destroy(service_t *service)
{
	runs_destroy(&service->runs);
	pthread_mutex_destroy(&service->lock);
}

static bool
is_idle(void *ctx)
{
	const service_t *service = ctx;

	return service->open == 0;
}
