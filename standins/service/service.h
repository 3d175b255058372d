/**
 * @file service.h
 * @brief The state shared by the modules of the stand-in for a plain service.
 *
 * One mutex guards the state. Functions documented as "Locked." must be called
 * with it held.
 */
#ifndef STANDIN_SERVICE_H
#define STANDIN_SERVICE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../common/process.h"
#include "../common/web.h"
#include "faults.h"
#include "runs.h"

/** The command line. */
typedef struct {
	process_addresses_t addresses;
	int64_t seed; /**< selects failures */
	gboolean no_crash; /**< process a crashing call normally */
} service_options_t;

/** The state of the stand-in. */
typedef struct {
	service_options_t options;
	char boot[PROCESS_BOOT_SIZE];
	pthread_mutex_t lock; /**< guards everything below */
	runs_t runs;
	faults_t faults;
	long open; /**< calls being answered, without hung ones */
} service_t;

/** Handles a request of a caller; a web_handler_t, @p ctx is the service_t. */
void
service_serve(void *ctx, const web_request_t *request, web_answer_t *answer);
/** Handles a request of a test; a web_handler_t, @p ctx is the service_t. */
void
service_control(void *ctx, const web_request_t *request, web_answer_t *answer);

#endif
