/**
 * @file engine.h
 * @brief What the modules of the model engine's stand-in share.
 *
 * One lock guards all of it. Functions that say "locked" are called with
 * that lock held; none of them blocks.
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
	int soft; /**< streams that a step carries without slowing */
	int slots; /**< streams that run at once, at most */
	int prefill_us; /**< microseconds per uncached prompt token */
	int cache_blocks; /**< capacity of the prefix cache */
	int load_lag_ms; /**< age at which the load snapshot is renewed */
	int event_lag_ms; /**< how late cache events show */
	int event_gap; /**< one event in so many is lost; 0: none */
	char *fencing; /**< "check" or "ignore" */
	int64_t seed; /**< of lost events and of failures */
	gboolean no_crash; /**< a crashing prompt is run like any other */
} engine_options_t;

/** A snapshot of the load, as GET /load shows it. */
typedef struct {
	int64_t taken_ms;
	long running;
	long waiting;
	double kv_used; /**< share of the cache that running streams fill */
	double tokens_per_second;
} engine_load_t;

/** The whole stand-in. */
typedef struct engine {
	engine_options_t options;
	char boot[PROCESS_BOOT_SIZE];
	pthread_mutex_t lock; /**< guards everything below */
	pthread_cond_t wake; /**< work arrived, or the end has come */
	pthread_t ticker;
	bool stopping; /**< long polls answer at once, the ticker ends */
	long readers; /**< answers that are being written */
	stream_table_t streams;
	cache_t cache;
	faults_t faults;
	orders_t orders;
	records_t records;
	engine_load_t load;
	uint64_t load_tokens; /**< tokens given out up to the snapshot */
} engine_t;

#endif
