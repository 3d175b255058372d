/**
 * @file faults.h
 * @brief The faults that a test has asked the engine for.
 */
#ifndef STANDIN_ENGINE_FAULTS_H
#define STANDIN_ENGINE_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "../common/process.h"

/** All faults; zero is none, but for slow, which is 1. */
typedef struct {
	bool leaving;
	bool refuse;
	bool load_frozen;
	double slow; /**< factor on the length of a step */
	double fail_share; /**< 0 to 1 */
	long truncate_next;
	long break_next;
	long late_next;
	int64_t late_ms;
	json_t *cut; /**< array of clients' names, or NULL */
	process_draw_t failures; /**< draws of fail_share */
} faults_t;

void faults_init(faults_t *faults, uint64_t seed);
void faults_destroy(faults_t *faults);
/**
 * Sets the fields that are in @p json. Locked.
 * @return NULL, or the name of a field with a value of the wrong type, and
 * then nothing is changed.
 */
const char *faults_set(faults_t *faults, const json_t *json);
/** Whether a client is cut off; NULL is nobody. Locked. */
bool faults_is_cut(const faults_t *faults, const char *client);
/** Draws whether the next request fails. Locked. */
bool faults_draw_failure(faults_t *faults);
/** Uses up one of a number of faults; false when none is left. Locked. */
bool faults_take(long *count);

#endif
