/**
 * @file batch_room.h
 * @brief How many items of each service the batch worker may have out.
 *
 * A VM has a batch share only of the backend servers that it is steward of.
 * Room is therefore counted by service: an item of a service in which this VM
 * has no share must not hold the room of others, nor wait here for ever.
 */
#ifndef JJ_CORE_BATCH_ROOM_H
#define JJ_CORE_BATCH_ROOM_H

#include "core/types.h"

/** Most services told apart; items of further ones share the last place. */
#define JJ_BATCH_SERVICES_MAX 256

/** One service that items of held chunks belong to. */
typedef struct {
	jj_name_t name;
	uint32_t running; /**< items out, as of this round */
	int32_t limit; /**< items that may be out, -1: no share here */
} jj_batch_service_t;

typedef struct {
	int32_t (*limit)(void *ctx, const char *service);
	void *ctx;
	uint32_t count;
	jj_batch_service_t services[JJ_BATCH_SERVICES_MAX];
} jj_batch_room_t;

/** The service's place in the table, which stays the same. */
uint32_t jj_batch_room_place(jj_batch_room_t *room, const char *service);
/** Begins a round: asks for limits, forgets counts. */
void jj_batch_room_begin(jj_batch_room_t *room);
/** Counts an item that is out. */
void jj_batch_room_count(jj_batch_room_t *room, uint32_t place);
/** True when one more item may go out. */
bool jj_batch_room_has(const jj_batch_room_t *room, uint32_t place);
/** True when this VM has a share of the service's servers. */
bool jj_batch_room_has_share(const jj_batch_room_t *room, uint32_t place);

#endif
