/**
 * @file batch_room.c
 * @brief How many items of each service the batch worker may have out.
 */
#include <string.h>

#include "core/batch_room.h"

uint32_t
jj_batch_room_place(jj_batch_room_t *room, const char *service)
{
	jj_batch_service_t *added;
	uint32_t i;

	for (i = 0; i < room->count; i++) {
		if (strcmp(room->services[i].name.text, service) == 0)
			return i;
	}
	if (room->count == JJ_BATCH_SERVICES_MAX)
		return room->count - 1;
	added = &room->services[room->count];
	(void)jj_name_set(&added->name, service);
	added->limit =
	    room->limit != NULL ? room->limit(room->ctx, service) : INT32_MAX;
	return room->count++;
}

void
jj_batch_room_begin(jj_batch_room_t *room)
{
	uint32_t i;

	for (i = 0; i < room->count; i++) {
		room->services[i].running = 0;
		if (room->limit != NULL)
			room->services[i].limit =
			    room->limit(room->ctx, room->services[i].name.text);
	}
}

void
jj_batch_room_count(jj_batch_room_t *room, uint32_t place)
{
	room->services[place].running++;
}

bool
jj_batch_room_has(const jj_batch_room_t *room, uint32_t place)
{
	const jj_batch_service_t *service = &room->services[place];

	return service->limit > 0 &&
	    service->running < (uint32_t)service->limit;
}

bool
jj_batch_room_has_share(const jj_batch_room_t *room, uint32_t place)
{
	return room->services[place].limit >= 0;
}
