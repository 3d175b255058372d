/**
 * @file metrics.h
 * @brief Counters, gauges and histograms, and their Prometheus text.
 *
 * A series is registered once and then changed without a lock. Registering
 * the same name and label again gives the same series. Series live as long
 * as the process. All functions may be called from any thread.
 */
#ifndef JJ_ADAPTERS_METRICS_H
#define JJ_ADAPTERS_METRICS_H

#include "core/types.h"

/** Most label values of one name; later ones share the value "other". */
#define JJ_METRICS_SERIES_MAX 256

typedef struct jj_counter jj_counter_t;
typedef struct jj_gauge jj_gauge_t;
typedef struct jj_histogram jj_histogram_t;

/**
 * Registers a counter, or finds it. @p label_name and @p label_value may be
 * NULL. A name stays of the type, help and label name of its first use.
 */
jj_counter_t *jj_metrics_counter(const char *name, const char *help,
    const char *label_name, const char *label_value);
/** Registers a gauge, or finds it. */
jj_gauge_t *jj_metrics_gauge(const char *name, const char *help,
    const char *label_name, const char *label_value);
/** Registers a histogram of durations, or finds it; text is in seconds. */
jj_histogram_t *jj_metrics_histogram(const char *name, const char *help,
    const char *label_name, const char *label_value);

void jj_counter_add(jj_counter_t *counter, uint64_t more);
/** Takes over a total kept elsewhere; a smaller one than before is kept out. */
void jj_counter_set(jj_counter_t *counter, uint64_t total);
/** The same by name, for a counter without labels. */
void jj_metrics_set_total(const char *name, const char *help, uint64_t total);
uint64_t jj_counter_value(const jj_counter_t *counter);
void jj_gauge_set(jj_gauge_t *gauge, int64_t value);
void jj_gauge_add(jj_gauge_t *gauge, int64_t more);
int64_t jj_gauge_value(const jj_gauge_t *gauge);
/** Counts one duration in its bucket; two buckets per doubling. */
void jj_histogram_observe(jj_histogram_t *histogram, uint64_t microseconds);
/** How many durations were observed. */
uint64_t jj_histogram_count(const jj_histogram_t *histogram);

/** All series in the Prometheus text format 0.0.4; freed by the caller. */
jj_bytes_t jj_metrics_text(void);

#endif
