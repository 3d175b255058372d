/**
 * @file metrics.h
 * @brief Counters, gauges and histograms in the Prometheus text format.
 *
 * A series is registered once and then updated without a lock. Registering
 * the same name and label again returns the same series. Series exist until
 * the process ends, except those of jj_metrics_set_rows(). All functions may
 * be called from any thread.
 */
#ifndef JJ_ADAPTERS_METRICS_H
#define JJ_ADAPTERS_METRICS_H

#include "core/types.h"

/** Maximum label values of one name; further ones are counted as "other". */
#define JJ_METRICS_SERIES_MAX 256

typedef struct jj_counter jj_counter_t;
typedef struct jj_gauge jj_gauge_t;
typedef struct jj_histogram jj_histogram_t;

/**
 * Finds a counter, or registers it. @p label_name and @p label_value may be
 * NULL. Type, help and label name are set by the first use of a name.
 */
jj_counter_t *jj_metrics_counter(const char *name, const char *help,
    const char *label_name, const char *label_value);
/** Finds a gauge, or registers it. */
jj_gauge_t *jj_metrics_gauge(const char *name, const char *help,
    const char *label_name, const char *label_value);
/** A value of jj_metrics_set_rows(). */
typedef struct {
	const char *label; /**< each only once */
	double value;
} jj_metrics_row_t;

/**
 * Replaces all series of a gauge, for labels that come and go. Rows beyond
 * JJ_METRICS_SERIES_MAX are left out.
 */
void jj_metrics_set_rows(const char *name, const char *help,
    const char *label_name, const jj_metrics_row_t *rows, size_t count);
/** Finds a histogram of durations, or registers it; printed in seconds. */
jj_histogram_t *jj_metrics_histogram(const char *name, const char *help,
    const char *label_name, const char *label_value);

void jj_counter_add(jj_counter_t *counter, uint64_t amount);
/** Sets a total that is counted elsewhere; a smaller total is ignored. */
void jj_counter_set(jj_counter_t *counter, uint64_t total);
/** The same by name, for a counter without labels. */
void jj_metrics_set_total(const char *name, const char *help, uint64_t total);
uint64_t jj_counter_value(const jj_counter_t *counter);
void jj_gauge_set(jj_gauge_t *gauge, int64_t value);
void jj_gauge_add(jj_gauge_t *gauge, int64_t amount);
int64_t jj_gauge_value(const jj_gauge_t *gauge);
/** Counts one duration in its bucket; two buckets per doubling. */
void jj_histogram_observe(jj_histogram_t *histogram, uint64_t microseconds);
/** Number of observed durations. */
uint64_t jj_histogram_count(const jj_histogram_t *histogram);

/** All series in the Prometheus text format 0.0.4; freed by the caller. */
jj_bytes_t jj_metrics_text(void);

#endif
