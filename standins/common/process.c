#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include <xxhash.h>

#include "process.h"

#define LISTEN_DEFAULT "127.0.0.1:0"
/* Interval between idle checks of a leaving process, milliseconds. */
#define IDLE_POLL_MS 5
/* Random numbers are drawn modulo this, which bounds the resolution. */
#define RANDOM_RANGE 1000000

static web_server_t *start_listening(const char *, web_handler_t, void *);
static void announce(const char *, web_server_t *, web_server_t *);
static void drain(const process_t *);
static void *exit_on_second_signal(void *);

void
process_init(void)
{
	web_block_signals();
	/* Otherwise two threads could seed the hash tables concurrently. */
	json_object_seed(1);
}

bool
process_parse_options(process_addresses_t *addresses,
    const GOptionEntry *entries, int argc, char **argv)
{
	const GOptionEntry common[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &addresses->listen,
		"address for callers", "IP:PORT"},
	    {"control", 0, 0, G_OPTION_ARG_STRING, &addresses->control,
		"address for tests", "IP:PORT"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool parsed;

	addresses->listen = g_strdup(LISTEN_DEFAULT);
	addresses->control = g_strdup(LISTEN_DEFAULT);
	g_option_context_add_main_entries(context, common, NULL);
	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!parsed) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return parsed;
}

void
process_clear_addresses(process_addresses_t *addresses)
{
	g_free(addresses->listen);
	g_free(addresses->control);
}

void
process_make_boot_id(char boot[PROCESS_BOOT_SIZE])
{
	uint64_t drawn = 0;

	if (getrandom(&drawn, sizeof(drawn), 0) != (ssize_t)sizeof(drawn))
		drawn = (uint64_t)web_now_ms() ^ (uint64_t)getpid() << 32;
	snprintf(boot, PROCESS_BOOT_SIZE, "%016" PRIx64, drawn);
}

bool
process_run(const process_t *process)
{
	const process_addresses_t *addresses = process->addresses;
	web_server_t *control = NULL;
	web_server_t *data = NULL;
	pthread_t exit_thread;
	bool served = false;

	data = start_listening(addresses->listen, process->serve, process->ctx);
	if (data == NULL)
		goto out;
	control =
	    start_listening(addresses->control, process->control, process->ctx);
	if (control == NULL)
		goto out_data;
	announce(addresses->listen, data, control);
	web_wait_for_signal();
	if (pthread_create(&exit_thread, NULL, exit_on_second_signal, NULL) ==
	    0)
		pthread_detach(exit_thread);
	drain(process);
	served = true;
	web_stop(control);
out_data:
	web_stop(data);
out:
	return served;
}

bool
process_random_bool(process_random_t *sequence, double probability)
{
	uint64_t drawn;

	if (probability <= 0)
		return false;
	sequence->draws++;
	drawn = XXH3_64bits_withSeed(
	    &sequence->draws, sizeof(sequence->draws), sequence->seed);
	return (double)(drawn % RANDOM_RANGE) < probability * RANDOM_RANGE;
}

static web_server_t *
start_listening(const char *address, web_handler_t handler, void *ctx)
{
	web_server_t *server = web_start(address, handler, ctx);

	if (server == NULL)
		fprintf(stderr, "event=listen_failed address=%s\n", address);
	return server;
}

static void
announce(const char *address, web_server_t *data, web_server_t *control)
{
	char *ip = g_strdup(address);

	*strrchr(ip, ':') = '\0';
	web_announce(ip, web_port(data), web_port(control));
	g_free(ip);
}

/* Refuses new work and returns once all accepted work is answered. */
static void
drain(const process_t *process)
{
	bool idle = false;

	pthread_mutex_lock(process->lock);
	*process->leaving = true;
	pthread_mutex_unlock(process->lock);
	while (!idle) {
		web_sleep_ms(IDLE_POLL_MS);
		pthread_mutex_lock(process->lock);
		idle = process->is_idle(process->ctx);
		pthread_mutex_unlock(process->lock);
	}
}

static void *
exit_on_second_signal(void *ctx)
{
	(void)ctx;
	web_wait_for_signal();
	_exit(EXIT_SUCCESS);
}
