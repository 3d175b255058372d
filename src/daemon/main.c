/**
 * @file main.c
 * @brief jujubed: the daemon of an entry VM.
 *
 * Exit codes: 0 stopped on request, 1 could not start, 2 the command line or
 * the settings are wrong (nothing was started).
 */
#include <signal.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <apr_signal.h>
#include <curl/curl.h>
#include <glib.h>

#include "jujubeswitch.h"

#include "adapters/deployment.h"
#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "adapters/settings.h"
#include "adapters/trace.h"
#include "daemon/gateway_node.h"
#include "daemon/node.h"

#define EXIT_USAGE 2
/** Interval at which a drain checks whether all work has ended, ms. */
#define DRAIN_POLL_MS 20
/** Interval at which a running daemon checks for a stop request, ms. */
#define STOP_POLL_MS 200
/** A stop ends this long before the platform would kill the process, ms. */
#define STOP_MARGIN_MS 400
/** Time for the answers to requests that are in progress at its end, ms. */
#define LAST_ANSWERS_MS 100
#define LAST_ANSWERS_POLL_MS 5

static char *settings_path;
static gboolean check_only;
static gboolean show_version;

static const GOptionEntry options[] = {
    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_path,
	"TOML settings of this VM", "FILE"},
    {"check", 0, 0, G_OPTION_ARG_NONE, &check_only,
	"Check the settings and end", NULL},
    {"version", 0, 0, G_OPTION_ARG_NONE, &show_version,
	"Print the version and end", NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/**
 * Blocks of at least this size are returned to the system when freed, bytes.
 * Otherwise stream buffers of that size stay in the arenas of their threads:
 * 1,000 streams used 65,760, 63,760 and 67,476 KiB with malloc's default, and
 * 60,836, 60,012 and 60,280 KiB with this.
 */
#define MMAP_THRESHOLD (32 * 1024)

static int run(const jj_settings_t *);
static void wait_for_stop(jj_node_t *, const jj_settings_t *, sigset_t *);
static int run_node(const jj_settings_t *, sigset_t *);
static int
run_gateway(const jj_settings_t *, const jj_deployment_t *, sigset_t *);
static void
drain_gateway(jj_gateway_node_t *, const jj_settings_t *, sigset_t *, int);
static void log_start(const jj_settings_t *);
static int wait_for_signal(const sigset_t *, jj_ms_t);

int
main(int argc, char **argv)
{
	GOptionContext *context =
	    g_option_context_new("- daemon of an entry VM");
	jj_settings_t settings;
	char why[JJ_SETTINGS_ERROR_MAX];
	GError *error = NULL;
	int status;

	(void)mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
	g_option_context_add_main_entries(context, options, NULL);
	g_option_context_set_description(context,
	    "Exit codes: 0 stopped as asked; 1 could not start; 2 wrong "
	    "command line or settings.");
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		(void)fprintf(stderr, "jujubed: %s\n", error->message);
		return EXIT_USAGE;
	}
	g_option_context_free(context);
	if (show_version) {
		(void)printf("jujubed %s\n", JJ_VERSION);
		return 0;
	}
	if (settings_path == NULL) {
		(void)fprintf(stderr, "jujubed: --settings FILE is needed\n");
		return EXIT_USAGE;
	}
	if (!jj_settings_load(&settings, settings_path, why, sizeof(why))) {
		(void)fprintf(stderr, "%s\n", why);
		return EXIT_USAGE;
	}
	if (check_only) {
		(void)printf("%s: settings are valid\n", settings_path);
		jj_settings_clear(&settings);
		return 0;
	}
	status = run(&settings);
	jj_settings_clear(&settings);
	g_free(settings_path);
	return status;
}

static int
run(const jj_settings_t *settings)
{
	jj_trace_settings_t trace = {settings->name.text, settings->trace.file,
	    settings->trace.share, settings->trace.ring,
	    settings->trace.flush_ms};
	const char *form = settings->platform.form.text;
	const jj_deployment_t *deployment = NULL;
	sigset_t signals;
	int status = EXIT_FAILURE;

	(void)sigemptyset(&signals);
	(void)sigaddset(&signals, SIGTERM);
	(void)sigaddset(&signals, SIGINT);
	(void)sigaddset(&signals, SIGHUP);
	(void)apr_signal_block(SIGTERM);
	(void)apr_signal_block(SIGINT);
	(void)apr_signal_block(SIGHUP);
	(void)apr_signal(SIGPIPE, SIG_IGN);
	(void)curl_global_init(CURL_GLOBAL_DEFAULT);
	if (!jj_log_open(settings->log.level,
		settings->log.file[0] != '\0' ? settings->log.file : NULL))
		return EXIT_FAILURE;
	jj_log_set_name(settings->name.text);
	if (form[0] != '\0') {
		deployment = jj_deployment_find(form);
		if (deployment == NULL) {
			jj_log(JJ_LOG_ERROR, "start_failed",
			    "platform.form=%s is not a known form", form);
			goto out_log;
		}
	}
	if (!jj_trace_open(&trace))
		goto out_log;
	status = deployment != NULL
	    ? run_gateway(settings, deployment, &signals)
	    : run_node(settings, &signals);
	jj_trace_close();

out_log:
	jj_log_close();
	curl_global_cleanup();
	return status;
}

static int
run_node(const jj_settings_t *settings, sigset_t *signals)
{
	jj_node_t *node = jj_node_create(settings);

	if (node == NULL)
		return EXIT_FAILURE;
	log_start(settings);
	wait_for_stop(node, settings, signals);
	jj_node_destroy(node);
	jj_log(JJ_LOG_INFO, "stopped", "status=0");
	return 0;
}

static int
run_gateway(const jj_settings_t *settings, const jj_deployment_t *deployment,
    sigset_t *signals)
{
	jj_gateway_node_t *node = jj_gateway_node_create(settings, deployment);
	int signal;

	if (node == NULL)
		return EXIT_FAILURE;
	log_start(settings);
	/* No setting can change while a VM runs; SIGHUP is only logged. */
	while ((signal = wait_for_signal(signals, STOP_POLL_MS)) == 0 ||
	    signal == SIGHUP)
		if (signal == SIGHUP)
			jj_log(JJ_LOG_INFO, "reload", "changed=0");
	drain_gateway(node, settings, signals, signal);
	jj_gateway_node_destroy(node);
	return 0;
}

/** Finishes what is in progress within the time that a planned stop may take. */
static void
drain_gateway(jj_gateway_node_t *node, const jj_settings_t *settings,
    sigset_t *signals, int signal)
{
	jj_ms_t begin_ms = jj_monotonic_now();
	jj_ms_t deadline_ms = begin_ms + settings->stop.drain_ms;
	jj_ms_t least_ms = begin_ms + settings->stop.least_ms;
	jj_ms_t end_ms;

	if (settings->stop.grace_s > 0)
		deadline_ms = begin_ms +
		    (jj_ms_t)(settings->stop.grace_s * 1000) - STOP_MARGIN_MS;
	end_ms = deadline_ms - LAST_ANSWERS_MS;
	jj_log(JJ_LOG_INFO, "stopping", "signal=%d limit_ms=%lld", signal,
	    (long long)(deadline_ms - begin_ms));
	jj_gateway_node_leave(node, end_ms);
	while (jj_monotonic_now() < end_ms) {
		if (jj_monotonic_now() >= least_ms) {
			/* The balancer had time to remove this VM. */
			jj_gateway_node_reject_requests(node);
			if (jj_gateway_node_is_idle(node))
				break;
		}
		(void)wait_for_signal(signals, DRAIN_POLL_MS);
	}
	jj_gateway_node_end_requests(node);
	while (
	    jj_monotonic_now() < deadline_ms && !jj_gateway_node_is_idle(node))
		(void)wait_for_signal(signals, LAST_ANSWERS_POLL_MS);
	jj_log(JJ_LOG_INFO, "stopped", "status=0 idle=%d took_ms=%lld",
	    jj_gateway_node_is_idle(node),
	    (long long)(jj_monotonic_now() - begin_ms));
}

static void
log_start(const jj_settings_t *settings)
{
	jj_log(JJ_LOG_INFO, "started", "callers=%s operators=%s neighbours=%s",
	    settings->listen_callers, settings->listen_operators,
	    settings->listen_neighbours);
}

/**
 * Waits for a signal or an operator's drain, and then until no work is in
 * progress; a second signal or the drain time limit ends the wait.
 */
static void
wait_for_stop(jj_node_t *node, const jj_settings_t *settings, sigset_t *signals)
{
	jj_ms_t deadline_ms;
	int signal;

	while ((signal = wait_for_signal(signals, STOP_POLL_MS)) == 0 ||
	    signal == SIGHUP) {
		if (atomic_load(&node->leaving))
			break;
	}
	jj_node_leave(node);
	deadline_ms = jj_monotonic_now() + settings->stop.drain_ms;
	while (!jj_node_is_idle(node) && jj_monotonic_now() < deadline_ms) {
		signal = wait_for_signal(signals, DRAIN_POLL_MS);
		if (signal == SIGTERM || signal == SIGINT) {
			jj_log(JJ_LOG_WARN, "stop_forced", "by=signal");
			return;
		}
	}
	if (!jj_node_is_idle(node))
		jj_log(JJ_LOG_WARN, "stop_forced", "by=drain_limit");
}

/** Returns the signal received within @p wait_ms, or 0. */
static int
wait_for_signal(const sigset_t *signals, jj_ms_t wait_ms)
{
	struct timespec wait = {wait_ms / 1000, (wait_ms % 1000) * 1000000L};
	int signal = sigtimedwait(signals, NULL, &wait);

	return signal > 0 ? signal : 0;
}
