/**
 * @file faults.h
 * @brief The faults that a test has set on the service.
 */
#ifndef STANDIN_SERVICE_FAULTS_H
#define STANDIN_SERVICE_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "../common/process.h"

/** All faults; zero means no fault. */
typedef struct {
	int64_t delay_ms; /**< delay between the run and its answer */
	bool leaving; /**< refuse calls as a leaving service */
	bool refuse; /**< refuse calls as overloaded */
	double fail_share; /**< share of runs answered 500, 0 to 1 */
	long run_then_503; /**< next runs to answer 503 */
	long run_then_break; /**< next runs to close unanswered */
	long run_then_hang; /**< next runs to leave unanswered */
	process_random_t failures; /**< random sequence for fail_share */
} faults_t;

/** How a call is answered after it was run. */
typedef enum {
	RESPONSE_NORMAL,
	RESPONSE_503,
	RESPONSE_BREAK,
	RESPONSE_HANG,
	RESPONSE_500,
} run_response_t;

/**
 * Sets the fields that are in @p json. Locked.
 * @return NULL, or the name of a field with an invalid value, in which case
 * nothing is changed.
 */
const char *faults_set(faults_t *faults, const json_t *json);
/** Chooses how the next run is answered. Locked. */
run_response_t faults_next_response(faults_t *faults);

#endif
