/**
 * @file runs.h
 * @brief Records of the calls that the service ran, which tests can read.
 */
#ifndef STANDIN_SERVICE_RUNS_H
#define STANDIN_SERVICE_RUNS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** The record of one run; key and request may be NULL. */
typedef struct {
	uint64_t number; /**< from 1 */
	char *name;
	char *key;
	char *request;
	uint64_t body_hash; /**< XXH3-64 */
	int64_t at_ms;
} run_t;

/** All runs. */
typedef struct {
	GPtrArray *list;
	GHashTable *per_key; /**< number of runs by key */
	long doubled; /**< keys with more than one run */
} runs_t;

void runs_init(runs_t *runs);
void runs_destroy(runs_t *runs);
/** Adds a copy of a run and assigns its number. Locked. */
const run_t *runs_add(runs_t *runs, const run_t *run);
/** The runs as returned by GET /control/runs. Locked. */
json_t *runs_list(const runs_t *runs);
/** The totals as returned by GET /control/counts. Locked. */
json_t *runs_count(const runs_t *runs);

#endif
