/**
 * @file ctl_trace.c
 * @brief `trace`: the hops of one request as a tree with times.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl_api.h"
#include "ctl/ctl_print.h"

/** Nanoseconds per millisecond. */
#define NS_PER_MS 1e6
/** Spaces per level of the tree. */
#define INDENT 2
/** Deeper levels come from a corrupt or forged chain of parents only. */
#define DEPTH_MAX 32

static jj_ctl_exit_t show_trace(const jj_ctl_t *, char **);
static jj_ctl_exit_t collect_spans(const jj_ctl_t *, const char *, json_t *);
static void add_spans(json_t *, json_t *, const char *);
static bool has_span(const json_t *, const char *);
static void print_children(const json_t *, const char *, double, int);
static void print_span(const json_t *, double, int);
static double read_time(const json_t *, const char *);
static double find_start(const json_t *);
static const char *get_string(const json_t *, const char *);

const jj_ctl_command_t jj_ctl_trace_commands[] = {
    {NULL, "trace", "ID", "hops of a request; --operators may list several VMs",
	1, 1, NULL, show_trace},
    {NULL, NULL, NULL, NULL, 0, 0, NULL, NULL},
};

static jj_ctl_exit_t
show_trace(const jj_ctl_t *ctl, char **arguments)
{
	json_t *spans = json_array();
	jj_ctl_exit_t outcome = collect_spans(ctl, arguments[0], spans);

	if (outcome != JJ_CTL_OK) {
		json_decref(spans);
		return outcome;
	}
	if (json_array_size(spans) == 0) {
		warnx("none of the queried VMs has spans of this trace");
		outcome = JJ_CTL_FAILED;
	} else if (ctl->json) {
		jj_ctl_print_json(spans);
	} else {
		print_children(spans, NULL, find_start(spans), 0);
	}
	json_decref(spans);
	return outcome;
}

/** Queries all given VMs, as each one stores only spans of its own hops. */
static jj_ctl_exit_t
collect_spans(const jj_ctl_t *ctl, const char *id, json_t *spans)
{
	jj_ctl_exit_t outcome = JJ_CTL_OK;
	jj_ctl_exit_t last;
	char **addresses;
	char *path;
	json_t *found;
	size_t answers = 0;
	size_t i;

	if (jj_ctl_operators_address(ctl) == NULL)
		return JJ_CTL_USAGE;
	addresses = g_strsplit(ctl->operators, ",", -1);
	path = g_strdup_printf("/v1/traces/%s", id);
	for (i = 0; addresses[i] != NULL; i++) {
		last = jj_ctl_get(ctl, addresses[i], path, &found);
		if (last == JJ_CTL_OK) {
			answers++;
			add_spans(spans, found, addresses[i]);
		} else {
			outcome = last;
		}
		json_decref(found);
	}
	g_free(path);
	g_strfreev(addresses);
	return answers > 0 ? JJ_CTL_OK : outcome;
}

static void
add_spans(json_t *spans, json_t *found, const char *address)
{
	json_t *span;
	size_t i;

	json_array_foreach(found, i, span)
	{
		(void)json_object_set_new(span, "vm", json_string(address));
		(void)json_array_append(spans, span);
	}
}

static bool
has_span(const json_t *spans, const char *id)
{
	const json_t *span;
	size_t i;

	json_array_foreach(spans, i, span)
	{
		if (strcmp(get_string(span, "spanId"), id) == 0)
			return true;
	}
	return false;
}

/** Prints the children of @p parent; NULL: spans with no parent found. */
static void
print_children(const json_t *spans, const char *parent, double start, int depth)
{
	const json_t *span;
	const char *parent_id;
	bool is_child;
	size_t i;

	if (depth > DEPTH_MAX)
		return;
	json_array_foreach(spans, i, span)
	{
		parent_id = get_string(span, "parentSpanId");
		is_child = parent != NULL ? strcmp(parent_id, parent) == 0
					  : !has_span(spans, parent_id);
		if (!is_child)
			continue;
		print_span(span, start, depth);
		print_children(
		    spans, get_string(span, "spanId"), start, depth + 1);
	}
}

static void
print_span(const json_t *span, double start, int depth)
{
	double begin = read_time(span, "startTimeUnixNano");
	double end = read_time(span, "endTimeUnixNano");
	const json_t *attribute;
	char *value;
	size_t i;

	(void)printf("%9.3f ms %+10.3f ms  %*s%s", (begin - start) / NS_PER_MS,
	    (end - begin) / NS_PER_MS, depth * INDENT, "",
	    get_string(span, "name"));
	json_array_foreach(json_object_get(span, "attributes"), i, attribute)
	{
		value = jj_ctl_format_value(
		    jj_ctl_find_member(attribute, "value.stringValue"));
		(void)printf(" %s=%s", get_string(attribute, "key"), value);
		g_free(value);
	}
	if (json_integer_value(jj_ctl_find_member(span, "status.code")) != 0)
		(void)printf(" FAILED");
	(void)printf(" vm=%s\n", get_string(span, "vm"));
}

/** Nanoseconds since 1970, from a string of decimal digits. */
static double
read_time(const json_t *span, const char *key)
{
	return (double)strtoull(get_string(span, key), NULL, 10);
}

static double
find_start(const json_t *spans)
{
	const json_t *span;
	double start = 0;
	double time;
	size_t i;

	json_array_foreach(spans, i, span)
	{
		time = read_time(span, "startTimeUnixNano");
		if (i == 0 || time < start)
			start = time;
	}
	return start;
}

static const char *
get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}
