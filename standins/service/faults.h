/**
 * @file faults.h
 * @brief The faults that a test has asked the service for.
 */
#ifndef STANDIN_SERVICE_FAULTS_H
#define STANDIN_SERVICE_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "../common/process.h"

/** All faults; zero is none. */
typedef struct {
	int64_t delay_ms; /**< between a run and its answer */
	bool leaving;
	bool refuse;
	double fail_share; /**< 0 to 1 */
	long run_then_503;
	long run_then_break;
	long run_then_hang;
	process_draw_t failures; /**< draws of fail_share */
} faults_t;

/** What becomes of a call that was run. */
typedef enum {
	AFTER_ANSWER,
	AFTER_503,
	AFTER_BREAK,
	AFTER_HANG,
	AFTER_500,
} after_run_t;

/**
 * Sets the fields that are in @p json. Locked.
 * @return NULL, or the name of a field with a value of the wrong type, and
 * then nothing is changed.
 */
const char *faults_set(faults_t *faults, const json_t *json);
/** Draws what becomes of the next run. Locked. */
after_run_t faults_take(faults_t *faults);

#endif
