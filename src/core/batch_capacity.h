/**
 * @file batch_capacity.h
 * @brief How many items of each service the batch worker may run.
 *
 * A VM has a batch share only of the backend servers that it is the steward
 * of. Capacity is therefore counted by service: an item of a service in which
 * this VM has no share must not use the capacity of others, nor wait here
 * forever.
 */
#ifndef JJ_CORE_BATCH_CAPACITY_H
#define JJ_CORE_BATCH_CAPACITY_H

#include "core/types.h"

/** Maximum of services counted apart; further ones share the last entry. */
#define JJ_BATCH_SERVICES_MAX 256

/** One service that items of held chunks belong to. */
typedef struct {
	jj_name_t name;
	uint32_t running; /**< items running, counted in this round */
	int32_t limit; /**< maximum of running items; -1: no share here */
} jj_batch_service_t;

typedef struct {
	int32_t (*limit)(void *ctx, const char *service);
	void *ctx;
	uint32_t count;
	jj_batch_service_t services[JJ_BATCH_SERVICES_MAX];
} jj_batch_capacity_t;

/** Index of the service in the table, added if missing; it never changes. */
uint32_t
jj_batch_capacity_index(jj_batch_capacity_t *capacity, const char *service);
/** Begins a round: queries the limits and resets the counts. */
void jj_batch_capacity_begin_round(jj_batch_capacity_t *capacity);
/** Counts a running item. */
void
jj_batch_capacity_add_running(jj_batch_capacity_t *capacity, uint32_t index);
/** True when one more item of the service may run. */
bool
jj_batch_capacity_has_free(const jj_batch_capacity_t *capacity, uint32_t index);
/** True when this VM has a share of the service's backend servers. */
bool jj_batch_capacity_has_share(
    const jj_batch_capacity_t *capacity, uint32_t index);

#endif
