#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include <glib.h>

#include "service.h"

#define LISTEN_DEFAULT "127.0.0.1:0"
/* Between looks at whether a leaving service is idle, milliseconds. */
#define IDLE_POLL_MS 5

static bool options_parse(service_options_t *, int, char **);
static void options_clear(service_options_t *);
static void service_init(service_t *);
static void service_destroy(service_t *);
static void serve(service_t *, web_server_t *, web_server_t *);
static void leave(service_t *);
static void *end_at_once(void *);

int
main(int argc, char **argv)
{
	static service_t service;
	web_server_t *control = NULL;
	web_server_t *data = NULL;
	int status = EXIT_FAILURE;

	web_block_signals();
	/* Or the first objects of two threads would seed the hash at once. */
	json_object_seed(1);
	if (!options_parse(&service.options, argc, argv))
		goto out_options;
	service_init(&service);
	data = web_start(service.options.listen, service_serve, &service);
	if (data == NULL) {
		fprintf(stderr, "event=listen_failed address=%s\n",
		    service.options.listen);
		goto out_service;
	}
	control = web_start(service.options.control, service_control, &service);
	if (control == NULL) {
		fprintf(stderr, "event=listen_failed address=%s\n",
		    service.options.control);
		goto out_data;
	}
	serve(&service, data, control);
	status = EXIT_SUCCESS;
	web_stop(control);
out_data:
	web_stop(data);
out_service:
	service_destroy(&service);
out_options:
	options_clear(&service.options);
	return status;
}

static bool
options_parse(service_options_t *options, int argc, char **argv)
{
	GOptionEntry entries[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
		"address for callers", "IP:PORT"},
	    {"control", 0, 0, G_OPTION_ARG_STRING, &options->control,
		"address for tests", "IP:PORT"},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed, "of failures",
		"N"},
	    {"no-crash", 0, 0, G_OPTION_ARG_NONE, &options->no_crash,
		"run a crashing call like any other", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool parsed;

	options->listen = g_strdup(LISTEN_DEFAULT);
	options->control = g_strdup(LISTEN_DEFAULT);
	options->seed = 1;
	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!parsed) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return parsed;
}

static void
options_clear(service_options_t *options)
{
	g_free(options->listen);
	g_free(options->control);
}

static void
service_init(service_t *service)
{
	uint64_t boot = 0;

	if (getrandom(&boot, sizeof(boot), 0) != (ssize_t)sizeof(boot))
		boot = (uint64_t)web_now_ms() ^ (uint64_t)getpid() << 32;
	snprintf(service->boot, sizeof(service->boot), "%016" PRIx64, boot);
	pthread_mutex_init(&service->lock, NULL);
	runs_init(&service->runs);
	service->faults.seed = (uint64_t)service->options.seed;
}

static void
service_destroy(service_t *service)
{
	runs_destroy(&service->runs);
	pthread_mutex_destroy(&service->lock);
}

static void
serve(service_t *service, web_server_t *data, web_server_t *control)
{
	char *ip = g_strdup(service->options.listen);
	pthread_t ender;

	*strrchr(ip, ':') = '\0';
	web_announce(ip, web_port(data), web_port(control));
	g_free(ip);
	web_wait_for_signal();
	if (pthread_create(&ender, NULL, end_at_once, NULL) == 0)
		pthread_detach(ender);
	leave(service);
}

/* Refuses new work and returns once what was accepted is answered. */
static void
leave(service_t *service)
{
	bool idle = false;

	pthread_mutex_lock(&service->lock);
	service->faults.leaving = true;
	pthread_mutex_unlock(&service->lock);
	while (!idle) {
		web_sleep_ms(IDLE_POLL_MS);
		pthread_mutex_lock(&service->lock);
		idle = service->open == 0;
		pthread_mutex_unlock(&service->lock);
	}
}

static void *
end_at_once(void *ctx)
{
	(void)ctx;
	web_wait_for_signal();
	_exit(EXIT_SUCCESS);
}
