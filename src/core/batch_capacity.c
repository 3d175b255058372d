/**
 * @file batch_capacity.c
 * @brief How many items of each service the batch worker may run.
 */
#include <string.h>

#include "core/batch_capacity.h"

uint32_t
jj_batch_capacity_index(jj_batch_capacity_t *capacity, const char *service)
{
	jj_batch_service_t *added;
	uint32_t i;

	for (i = 0; i < capacity->count; i++) {
		if (strcmp(capacity->services[i].name.text, service) == 0)
			return i;
	}
	if (capacity->count == JJ_BATCH_SERVICES_MAX)
		return capacity->count - 1;
	added = &capacity->services[capacity->count];
	(void)jj_name_set(&added->name, service);
	added->limit = capacity->limit != NULL
	    ? capacity->limit(capacity->ctx, service)
	    : INT32_MAX;
	return capacity->count++;
}

void
jj_batch_capacity_begin_round(jj_batch_capacity_t *capacity)
{
	uint32_t i;

	for (i = 0; i < capacity->count; i++) {
		capacity->services[i].running = 0;
		if (capacity->limit != NULL)
			capacity->services[i].limit = capacity->limit(
			    capacity->ctx, capacity->services[i].name.text);
	}
}

void
jj_batch_capacity_add_running(jj_batch_capacity_t *capacity, uint32_t index)
{
	capacity->services[index].running++;
}

bool
jj_batch_capacity_has_free(const jj_batch_capacity_t *capacity, uint32_t index)
{
	const jj_batch_service_t *service = &capacity->services[index];

	return service->limit > 0 &&
	    service->running < (uint32_t)service->limit;
}

bool
jj_batch_capacity_has_share(const jj_batch_capacity_t *capacity, uint32_t index)
{
	return capacity->services[index].limit >= 0;
}
