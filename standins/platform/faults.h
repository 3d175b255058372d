/**
 * @file faults.h
 * @brief The faults that a test has set.
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct faults faults_t;

/** How the calls of a client are treated. */
typedef enum {
	FAULT_PASS,
	FAULT_REFUSE, /**< 503 */
	FAULT_HANG, /**< no answer until the client disconnects */
	FAULT_CUT, /**< closed without an answer */
} fault_treatment_t;

/** How requests for the VM list are treated. */
typedef enum {
	FAULT_VMS_NONE,
	FAULT_VMS_REFUSE,
	FAULT_VMS_EMPTY,
} fault_vms_t;

/** Actions on the store that a change of faults requests. */
typedef struct {
	bool watch_gap; /**< clear the watch history */
	long watch_drop; /**< events to drop; -1: no change */
} fault_actions_t;

faults_t *fault_create(void);
void fault_destroy(faults_t *faults);
/**
 * Applies a `POST /control/fault` body. If any field is invalid, changes
 * nothing and returns false with the reason in @p reason.
 */
bool fault_set(faults_t *faults, json_t *change, fault_actions_t *actions,
    char *reason, size_t reason_size);
/** How to treat the calls of @p client. */
fault_treatment_t fault_treatment(faults_t *faults, const char *client);
/** Delay of each answer, ms. */
int64_t fault_delay_ms(faults_t *faults);
/** Lag of the VM list, ms. */
int64_t fault_vms_lag_ms(faults_t *faults);
fault_vms_t fault_vms(faults_t *faults);
/**
 * True when the answer to an effective write of @p key must be dropped;
 * decrements the counter of such answers.
 */
bool fault_consume_lost_answer(faults_t *faults, const char *key);

#endif
