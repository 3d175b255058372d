/**
 * @file engine.h
 * @brief The state shared by the modules of the stand-in for a model engine.
 *
 * One mutex guards the state. Functions documented as "Locked." must be called
 * with it held; apart from waits that release the mutex, they don't block.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "../common/process.h"
#include "cache.h"
#include "faults.h"
#include "orders.h"
#include "records.h"
#include "stream.h"

/** The command line. */
typedef struct {
	process_addresses_t addresses;
	char *model; /**< loaded from the start */
	int step_ms; /**< length of an unloaded step, milliseconds */
	int soft; /**< running streams above which steps get longer */
	int slots; /**< maximum of running streams */
	int prefill_us; /**< microseconds per uncached prompt token */
	int cache_blocks; /**< capacity of the prefix cache */
	int load_lag_ms; /**< age at which the load snapshot is renewed */
	int event_lag_ms; /**< delay before a cache event is visible */
	int event_gap; /**< one event in this many is lost; 0: none */
	char *fencing; /**< "check" or "ignore" */
	int64_t seed; /**< selects lost events and failures */
	gboolean no_crash; /**< process a crashing prompt normally */
} engine_options_t;

/** A snapshot of the load, as returned by GET /load. */
typedef struct {
	int64_t taken_ms;
	long running;
	long waiting;
	double kv_used; /**< share of the cache used by running streams */
	double tokens_per_second;
} engine_load_t;

/** The state of the stand-in. */
typedef struct engine {
	engine_options_t options;
	char boot[PROCESS_BOOT_SIZE];
	pthread_mutex_t lock; /**< guards everything below */
	pthread_cond_t wake; /**< signalled on new work and on stop */
	pthread_t step_thread;
	bool stopping; /**< ends the step thread */
	long readers; /**< answers being written */
	stream_table_t streams;
	cache_t cache;
	faults_t faults;
	orders_t orders;
	records_t records;
	engine_load_t load;
	uint64_t load_tokens; /**< tokens generated up to the snapshot */
} engine_t;

#endif
