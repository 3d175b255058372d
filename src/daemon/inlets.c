/**
 * @file inlets.c
 * @brief What a process holds for all its callers and operators together.
 */
#include <sys/resource.h>
#include <unistd.h>

#include "adapters/metrics.h"
#include "daemon/inlets.h"

/** Share of the process's memory that may be held for callers. */
#define MEMORY_DIVISOR 2
/** Share of the process's memory for accepted jobs. */
#define JOBS_DIVISOR 8
/** Share of that memory that connections may use by themselves. */
#define CONNECTIONS_DIVISOR 2
/** Descriptors of files, the loops and the platform. */
#define OWN_DESCRIPTORS 200
/** Share of the other descriptors for callers; servers use the rest. */
#define DESCRIPTORS_DIVISOR 2

static size_t find_memory(const jj_settings_t *);
static size_t find_descriptors(const jj_settings_t *);
static uint32_t find_connections(const jj_settings_t *, size_t);

jj_http_guard_t *
jj_inlets_create_guard(const jj_settings_t *settings)
{
	size_t memory = find_memory(settings) / MEMORY_DIVISOR;
	jj_http_guard_limits_t limits = {memory, settings->callers.header_bytes,
	    find_connections(settings, memory)};
	jj_http_guard_times_t times = {settings->callers.head_ms,
	    settings->callers.body_ms, settings->callers.idle_ms};
	jj_http_guard_t *guard = jj_http_guard_create(&limits);

	jj_http_guard_set_times(guard, &times);
	return guard;
}

size_t
jj_inlets_job_bytes(const jj_settings_t *settings)
{
	return find_memory(settings) / JOBS_DIVISOR;
}

jj_http_limits_t
jj_inlets_limits(const jj_settings_t *settings, const char *address)
{
	/*
	 * The guard closes the slowest beyond its limit. libmicrohttpd, which
	 * then accepts none, must not come to a limit of its own before.
	 */
	jj_http_limits_t limits = {address, 1,
	    2 * settings->callers.connections, settings->callers.header_bytes,
	    settings->callers.body_bytes, settings->callers.stream_bytes,
	    settings->callers.idle_ms};

	return limits;
}

void
jj_inlets_update_metrics(jj_http_guard_t *guard)
{
	static const char *const reasons[JJ_CALLER_REASONS] = {
	    "time", "memory", "connections"};
	jj_http_guard_stats_t stats;
	int reason;

	jj_http_guard_read_stats(guard, &stats);
	for (reason = 0; reason < JJ_CALLER_REASONS; reason++)
		jj_counter_set(
		    jj_metrics_counter("jujube_callers_closed_total",
			"Connections closed by this process, by what they "
			"exceeded.",
			"over", reasons[reason]),
		    stats.closed[reason]);
	jj_metrics_set_total("jujube_callers_over_memory_total",
	    "Requests refused for want of memory.", stats.refused);
	jj_gauge_set(jj_metrics_gauge("jujube_callers_held_bytes",
			 "Memory held for callers.", NULL, NULL),
	    (int64_t)stats.held);
	jj_metrics_set_total("jujube_answers_over_memory_total",
	    "Answers of servers ended for want of memory.",
	    stats.answers_refused);
	jj_gauge_set(
	    jj_metrics_gauge("jujube_answers_held_bytes",
		"Memory held for unfinished answers of servers; part of "
		"jujube_callers_held_bytes.",
		NULL, NULL),
	    (int64_t)stats.answers);
	jj_gauge_set(jj_metrics_gauge("jujube_callers_limit_bytes",
			 "Limit of the memory held for callers.", NULL, NULL),
	    (int64_t)stats.limit);
	jj_gauge_set(
	    jj_metrics_gauge("jujube_callers_connections",
		"Open connections of callers and operators.", NULL, NULL),
	    stats.connections);
}

/** The memory of the settings, at most the machine's. */
static size_t
find_memory(const jj_settings_t *settings)
{
	size_t memory = (size_t)settings->machine.memory_mb << 20;
	long pages = sysconf(_SC_PHYS_PAGES);
	long page_bytes = sysconf(_SC_PAGESIZE);

	if (pages > 0 && page_bytes > 0 &&
	    memory / (size_t)page_bytes > (size_t)pages)
		memory = (size_t)pages * (size_t)page_bytes;
	return memory;
}

/** The descriptors of the settings, at most those that may be opened. */
static size_t
find_descriptors(const jj_settings_t *settings)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < settings->machine.descriptors)
		return limit.rlim_cur;
	return settings->machine.descriptors;
}

/** As many as memory and descriptors allow, at most those of the settings. */
static uint32_t
find_connections(const jj_settings_t *settings, size_t memory)
{
	size_t connections = settings->callers.connections;
	size_t by_memory =
	    memory / CONNECTIONS_DIVISOR / settings->callers.header_bytes;
	size_t descriptors = find_descriptors(settings);
	size_t by_descriptors = descriptors > OWN_DESCRIPTORS
	    ? (descriptors - OWN_DESCRIPTORS) / DESCRIPTORS_DIVISOR
	    : 0;

	if (connections > by_memory)
		connections = by_memory;
	if (connections > by_descriptors)
		connections = by_descriptors;
	return connections > 0 ? (uint32_t)connections : 1;
}
