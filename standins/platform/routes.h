/**
 * @file routes.h
 * @brief The API of the platform and the control port of the stand-in.
 */
#ifndef STANDIN_ROUTES_H
#define STANDIN_ROUTES_H

#include "../common/web.h"
#include "counts.h"
#include "faults.h"
#include "rates.h"
#include "store.h"
#include "vms.h"

/** The state shared by the handlers; each member has its own lock. */
typedef struct {
	store_t *store;
	counts_t *counts;
	faults_t *faults;
	vms_t *vms;
	rate_t writes; /**< calls */
	rate_t reads; /**< calls */
	rate_t weights; /**< bytes */
} platform_t;

/** Serves the API of the platform; @p ctx is a platform_t. */
void route_api(void *ctx, const web_request_t *request, web_answer_t *answer);
/** Serves the control port; @p ctx is a platform_t. */
void
route_control(void *ctx, const web_request_t *request, web_answer_t *answer);

#endif
