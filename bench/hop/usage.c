/**
 * @file usage.c
 * @brief Processor time and memory of another process, from /proc.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "usage.h"

static int64_t read_cpu_us(int);
static int64_t read_rss_kb(int);

usage_t
usage_read(int pid)
{
	usage_t usage = {0, 0};

	if (pid <= 0)
		return usage;
	usage.cpu_us = read_cpu_us(pid);
	usage.rss_kb = read_rss_kb(pid);
	return usage;
}

int64_t
usage_now_us(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static int64_t
read_cpu_us(int pid)
{
	char path[64];
	char line[1024];
	unsigned long long user;
	unsigned long long system;
	const char *rest;
	FILE *file;
	int64_t cpu_us = 0;

	(void)snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fgets(line, sizeof(line), file) == NULL)
		goto out;
	/* The name may hold spaces; fields are counted from the last ')'. */
	rest = strrchr(line, ')');
	if (rest == NULL)
		goto out;
	if (sscanf(rest + 1,
		" %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u"
		" %llu %llu",
		&user, &system) != 2)
		goto out;
	cpu_us = (int64_t)((user + system) * 1000000 / sysconf(_SC_CLK_TCK));
out:
	(void)fclose(file);
	return cpu_us;
}

static int64_t
read_rss_kb(int pid)
{
	char path[64];
	long long pages = 0;
	FILE *file;

	(void)snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fscanf(file, "%*s %lld", &pages) != 1)
		pages = 0;
	(void)fclose(file);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}
