/**
 * @file faults.h
 * @brief The faults that a test has ordered.
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct faults faults_t;

/** What happens to a client's call now. */
typedef enum {
	FAULT_PASS,
	FAULT_REFUSE, /**< 503 */
	FAULT_HANG, /**< no answer until the client gives up */
	FAULT_CUT, /**< closed without an answer */
} fault_gate_t;

/** What the VM list does now. */
typedef enum {
	FAULT_VMS_NONE,
	FAULT_VMS_REFUSE,
	FAULT_VMS_EMPTY,
} fault_vms_t;

/** Orders to the store that come with a change of faults. */
typedef struct {
	bool watch_gap;
	long watch_drop; /**< -1: not ordered */
} fault_orders_t;

faults_t *fault_create(void);
void fault_destroy(faults_t *faults);
/**
 * Applies a `POST /control/fault` body whole, or not at all: then returns
 * false with the reason in @p why.
 */
bool fault_set(faults_t *faults, json_t *change, fault_orders_t *orders,
    char *why, size_t why_size);
/** The gate for calls of @p client. */
fault_gate_t fault_gate(faults_t *faults, const char *client);
/** Delay of each answer, ms. */
int64_t fault_delay_ms(faults_t *faults);
/** Lag of the VM list, ms. */
int64_t fault_vms_lag_ms(faults_t *faults);
fault_vms_t fault_vms(faults_t *faults);
/** True when the answer to an effective write of @p key is to be lost. */
bool fault_take_lost_answer(faults_t *faults, const char *key);

#endif
