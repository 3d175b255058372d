/**
 * @file service.h
 * @brief What the modules of the plain service's stand-in share.
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
	int64_t seed; /**< of failures */
	gboolean no_crash; /**< a crashing call is run like any other */
} service_options_t;

/** The whole stand-in. */
typedef struct {
	service_options_t options;
	char boot[PROCESS_BOOT_SIZE];
	pthread_mutex_t lock; /**< guards everything below */
	runs_t runs;
	faults_t faults;
	long open; /**< calls being answered, hung ones left out */
} service_t;

/** Answers a caller; a web_handler_t, @p ctx is the service_t. */
void
service_serve(void *ctx, const web_request_t *request, web_answer_t *answer);
/** Answers a test; a web_handler_t, @p ctx is the service_t. */
void
service_control(void *ctx, const web_request_t *request, web_answer_t *answer);

#endif
