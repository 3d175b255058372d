/**
 * @file faults.h
 * @brief The faults that a test has set on the engine.
 */
#ifndef STANDIN_ENGINE_FAULTS_H
#define STANDIN_ENGINE_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "../common/process.h"

/** All faults; zero means no fault, except that slow is 1 by default. */
typedef struct {
	bool leaving; /**< refuse new work as a leaving engine */
	bool refuse; /**< refuse new work as overloaded */
	bool load_frozen; /**< stop renewing the load snapshot */
	double slow; /**< factor on the step length */
	double fail_share; /**< share of requests that fail, 0 to 1 */
	long truncate_next; /**< next streamed answers to truncate */
	long break_next; /**< next answers to break off on admission */
	long late_next; /**< next answers to delay by late_ms */
	int64_t late_ms;
	json_t *cut; /**< names of clients whose calls are closed, or NULL */
	process_random_t failures; /**< random sequence for fail_share */
} faults_t;

void faults_init(faults_t *faults, uint64_t seed);
void faults_destroy(faults_t *faults);
/**
 * Sets the fields that are in @p json. Locked.
 * @return NULL, or the name of a field with an invalid value, in which case
 * nothing is changed.
 */
const char *faults_set(faults_t *faults, const json_t *json);
/** True when the client is in the `cut` fault; NULL is no client. Locked. */
bool faults_is_cut(const faults_t *faults, const char *client);
/** Decides at random whether the next request fails. Locked. */
bool faults_draw_failure(faults_t *faults);
/** Decrements a fault counter; false if it is zero. Locked. */
bool faults_consume(long *count);

#endif
