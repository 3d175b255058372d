/**
 * @file metrics.c
 * @brief Registry of metric families and their series; values are atomic.
 */
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/queue.h>

#include "adapters/metrics.h"
#include "adapters/runtime.h"

/** Number of histogram bounds: 100 us * 2^(i/2), up to about 200 s. */
#define BUCKET_COUNT 43
/** Size of a metric name, label name or label value with its NUL, bytes. */
#define TEXT_MAX 128

typedef enum {
	FAMILY_COUNTER,
	FAMILY_GAUGE,
	FAMILY_HISTOGRAM,
	FAMILY_ROWS,
} family_type_t;

struct jj_counter {
	_Atomic uint64_t total;
};

struct jj_gauge {
	_Atomic int64_t value;
};

struct jj_histogram {
	_Atomic uint64_t buckets[BUCKET_COUNT + 1]; /**< the last one: +Inf */
	_Atomic uint64_t sum_us;
};

/** The metric's values for one label value. */
typedef struct series {
	STAILQ_ENTRY(series) link;
	char label[TEXT_MAX];
	union {
		jj_counter_t counter;
		jj_gauge_t gauge;
		jj_histogram_t histogram;
		double real; /**< of rows; guarded by the registry's lock */
	} value;
} series_t;

/** All series of one metric name. */
typedef struct family {
	STAILQ_ENTRY(family) link;
	family_type_t type;
	char name[TEXT_MAX];
	char label_name[TEXT_MAX]; /**< empty: one series without a label */
	char *help;
	size_t series_count;
	STAILQ_HEAD(, series) series;
} family_t;

static series_t *find_series(
    family_type_t, const char *, const char *, const char *, const char *);
static family_t *
find_family(family_type_t, const char *, const char *, const char *);
static series_t *add_series(family_t *, const char *);
static series_t *look_up_series(family_t *, const char *);
static void clear_series(family_t *);
static uint64_t bucket_bound_us(size_t);
static void print_family(FILE *, family_t *);
static void print_histogram(FILE *, const family_t *, series_t *);
static void print_name(
    FILE *, const family_t *, const series_t *, const char *, const char *);
static void print_escaped(FILE *, const char *, bool);

/** Guards the lists, and rows; other series are atomic and never removed. */
static jj_static_lock_t registry_lock;
static STAILQ_HEAD(, family) families = STAILQ_HEAD_INITIALIZER(families);

static const char *const type_names[] = {
    [FAMILY_COUNTER] = "counter",
    [FAMILY_GAUGE] = "gauge",
    [FAMILY_HISTOGRAM] = "histogram",
    [FAMILY_ROWS] = "gauge",
};

jj_counter_t *
jj_metrics_counter(const char *name, const char *help, const char *label_name,
    const char *label_value)
{
	return &find_series(FAMILY_COUNTER, name, help, label_name, label_value)
		    ->value.counter;
}

jj_gauge_t *
jj_metrics_gauge(const char *name, const char *help, const char *label_name,
    const char *label_value)
{
	return &find_series(FAMILY_GAUGE, name, help, label_name, label_value)
		    ->value.gauge;
}

jj_histogram_t *
jj_metrics_histogram(const char *name, const char *help, const char *label_name,
    const char *label_value)
{
	return &find_series(
	    FAMILY_HISTOGRAM, name, help, label_name, label_value)
		    ->value.histogram;
}

void
jj_metrics_set_rows(const char *name, const char *help, const char *label_name,
    const jj_metrics_row_t *rows, size_t count)
{
	family_t *family;
	size_t i;

	jj_runtime_lock_static(&registry_lock);
	family = find_family(FAMILY_ROWS, name, help, label_name);
	clear_series(family);
	for (i = 0; i < count && i < JJ_METRICS_SERIES_MAX; i++)
		add_series(family, rows[i].label)->value.real = rows[i].value;
	jj_runtime_unlock_static(&registry_lock);
}

void
jj_counter_add(jj_counter_t *counter, uint64_t amount)
{
	atomic_fetch_add_explicit(
	    &counter->total, amount, memory_order_relaxed);
}

void
jj_counter_set(jj_counter_t *counter, uint64_t total)
{
	uint64_t current =
	    atomic_load_explicit(&counter->total, memory_order_relaxed);

	/* Prometheus takes a decreasing counter for a process restart. */
	while (total > current &&
	    !atomic_compare_exchange_weak(&counter->total, &current, total))
		continue;
}

void
jj_metrics_set_total(const char *name, const char *help, uint64_t total)
{
	jj_counter_set(jj_metrics_counter(name, help, NULL, NULL), total);
}

uint64_t
jj_counter_value(const jj_counter_t *counter)
{
	return atomic_load_explicit(&counter->total, memory_order_relaxed);
}

void
jj_gauge_set(jj_gauge_t *gauge, int64_t value)
{
	atomic_store_explicit(&gauge->value, value, memory_order_relaxed);
}

void
jj_gauge_add(jj_gauge_t *gauge, int64_t amount)
{
	atomic_fetch_add_explicit(&gauge->value, amount, memory_order_relaxed);
}

int64_t
jj_gauge_value(const jj_gauge_t *gauge)
{
	return atomic_load_explicit(&gauge->value, memory_order_relaxed);
}

void
jj_histogram_observe(jj_histogram_t *histogram, uint64_t microseconds)
{
	size_t i = 0;

	while (i < BUCKET_COUNT && microseconds > bucket_bound_us(i))
		i++;
	atomic_fetch_add_explicit(
	    &histogram->buckets[i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &histogram->sum_us, microseconds, memory_order_relaxed);
}

uint64_t
jj_histogram_count(const jj_histogram_t *histogram)
{
	uint64_t count = 0;
	size_t i;

	for (i = 0; i <= BUCKET_COUNT; i++)
		count += atomic_load_explicit(
		    &histogram->buckets[i], memory_order_relaxed);
	return count;
}

jj_bytes_t
jj_metrics_text(void)
{
	jj_bytes_t text = {NULL, 0};
	FILE *stream = open_memstream(&text.data, &text.size);
	family_t *family;

	JJ_INVARIANT(stream != NULL);
	jj_runtime_lock_static(&registry_lock);
	STAILQ_FOREACH(family, &families, link)
	print_family(stream, family);
	jj_runtime_unlock_static(&registry_lock);
	JJ_INVARIANT(fclose(stream) == 0);
	return text;
}

static series_t *
find_series(family_type_t type, const char *name, const char *help,
    const char *label_name, const char *label_value)
{
	family_t *family;
	series_t *series;

	jj_runtime_lock_static(&registry_lock);
	family = find_family(type, name, help, label_name);
	series = add_series(family, label_value != NULL ? label_value : "");
	jj_runtime_unlock_static(&registry_lock);
	return series;
}

static family_t *
find_family(family_type_t type, const char *name, const char *help,
    const char *label_name)
{
	family_t *family;

	STAILQ_FOREACH(family, &families, link)
	{
		if (strcmp(family->name, name) != 0)
			continue;
		/* One name for metrics of two types is a programming error. */
		JJ_INVARIANT(family->type == type);
		return family;
	}
	family = jj_alloc(sizeof(*family));
	family->type = type;
	(void)snprintf(family->name, TEXT_MAX, "%s", name);
	(void)snprintf(family->label_name, TEXT_MAX, "%s",
	    label_name != NULL ? label_name : "");
	family->help = strdup(help);
	JJ_INVARIANT(family->help != NULL);
	STAILQ_INIT(&family->series);
	STAILQ_INSERT_TAIL(&families, family, link);
	return family;
}

/*
 * Finds or adds a series. Their number is limited because callers choose some
 * label values, such as team names, and each series takes memory permanently,
 * here and in the monitoring system.
 */
static series_t *
add_series(family_t *family, const char *label)
{
	series_t *series = look_up_series(family, label);

	if (series == NULL && family->series_count >= JJ_METRICS_SERIES_MAX) {
		label = "other";
		series = look_up_series(family, label);
	}
	if (series != NULL)
		return series;
	series = jj_alloc(sizeof(*series));
	(void)snprintf(series->label, TEXT_MAX, "%s", label);
	STAILQ_INSERT_TAIL(&family->series, series, link);
	family->series_count++;
	return series;
}

static series_t *
look_up_series(family_t *family, const char *label)
{
	series_t *series;

	STAILQ_FOREACH(series, &family->series, link)
	{
		if (strncmp(series->label, label, TEXT_MAX - 1) == 0)
			return series;
	}
	return NULL;
}

static void
clear_series(family_t *family)
{
	series_t *series;

	while ((series = STAILQ_FIRST(&family->series)) != NULL) {
		STAILQ_REMOVE_HEAD(&family->series, link);
		free(series);
	}
	family->series_count = 0;
}

/* Two buckets per doubling: 100, 150, 200, 300, 400, 600 … microseconds. */
static uint64_t
bucket_bound_us(size_t index)
{
	uint64_t base = index % 2 == 0 ? 100 : 150;

	return base << (index / 2);
}

static void
print_family(FILE *stream, family_t *family)
{
	series_t *series;

	(void)fprintf(stream, "# HELP %s ", family->name);
	print_escaped(stream, family->help, false);
	(void)fprintf(
	    stream, "\n# TYPE %s %s\n", family->name, type_names[family->type]);
	STAILQ_FOREACH(series, &family->series, link)
	{
		if (family->type == FAMILY_HISTOGRAM) {
			print_histogram(stream, family, series);
			continue;
		}
		print_name(stream, family, series, "", NULL);
		if (family->type == FAMILY_COUNTER)
			(void)fprintf(stream, " %" PRIu64 "\n",
			    jj_counter_value(&series->value.counter));
		else if (family->type == FAMILY_ROWS)
			(void)fprintf(stream, " %.6g\n", series->value.real);
		else
			(void)fprintf(stream, " %" PRId64 "\n",
			    jj_gauge_value(&series->value.gauge));
	}
}

/* Each bucket is read only once, so that `+Inf` and `_count` are equal. */
static void
print_histogram(FILE *stream, const family_t *family, series_t *series)
{
	jj_histogram_t *histogram = &series->value.histogram;
	uint64_t count = 0;
	uint64_t sum_us =
	    atomic_load_explicit(&histogram->sum_us, memory_order_relaxed);
	char bound[32];
	size_t i;

	for (i = 0; i <= BUCKET_COUNT; i++) {
		count += atomic_load_explicit(
		    &histogram->buckets[i], memory_order_relaxed);
		(void)snprintf(bound, sizeof(bound), "%.10g",
		    (double)bucket_bound_us(i) / 1e6);
		print_name(stream, family, series, "_bucket",
		    i < BUCKET_COUNT ? bound : "+Inf");
		(void)fprintf(stream, " %" PRIu64 "\n", count);
	}
	print_name(stream, family, series, "_sum", NULL);
	(void)fprintf(stream, " %.6f\n", (double)sum_us / 1e6);
	print_name(stream, family, series, "_count", NULL);
	(void)fprintf(stream, " %" PRIu64 "\n", count);
}

/* Prints a name with its labels; `bound` is the `le` of a bucket or NULL. */
static void
print_name(FILE *stream, const family_t *family, const series_t *series,
    const char *suffix, const char *bound)
{
	bool labelled = family->label_name[0] != '\0';

	(void)fprintf(stream, "%s%s", family->name, suffix);
	if (!labelled && bound == NULL)
		return;
	(void)fputc('{', stream);
	if (labelled) {
		(void)fprintf(stream, "%s=\"", family->label_name);
		print_escaped(stream, series->label, true);
		(void)fputc('"', stream);
	}
	if (bound != NULL)
		(void)fprintf(
		    stream, "%sle=\"%s\"", labelled ? "," : "", bound);
	(void)fputc('}', stream);
}

static void
print_escaped(FILE *stream, const char *text, bool quoted)
{
	for (; *text != '\0'; text++) {
		if (*text == '\n')
			(void)fputs("\\n", stream);
		else if (*text == '\\' || (quoted && *text == '"'))
			(void)fprintf(stream, "\\%c", *text);
		else
			(void)fputc(*text, stream);
	}
}
