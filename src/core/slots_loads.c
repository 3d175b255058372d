/**
 * @file slots_loads.c
 * @brief Exchange of request counts between VMs.
 */
#include "core/slots_state.h"

static void
set_neighbour(jj_slot_server_t *, const jj_name_t *, uint32_t, uint32_t);
static void sum_neighbours(jj_slot_server_t *);
static jj_load_t load_of(const jj_slot_server_t *);

void
jj_slots_take_loads(jj_slots_t *slots, const jj_name_t *from,
    const jj_load_t *loads, uint32_t count, bool whole)
{
	jj_slot_server_t *server;
	uint32_t i;

	if (whole)
		jj_slots_forget_neighbour(slots, from);
	for (i = 0; i < count; i++) {
		server = jj_slots_find_hash(slots, loads[i].server);
		if (server != NULL)
			set_neighbour(
			    server, from, loads[i].online, loads[i].batch);
	}
}

void
jj_slots_forget_neighbour(jj_slots_t *slots, const jj_name_t *vm)
{
	jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		set_neighbour(server, vm, 0, 0);
	}
}

uint32_t
jj_slots_take_changes(jj_slots_t *slots, jj_slots_scope_t scope,
    jj_load_t *loads, uint32_t max_count)
{
	jj_slot_server_t *server;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		jj_slot_reported_t *reported = &server->reported[scope];

		if (count == max_count)
			break;
		if (server->online == reported->online &&
		    server->batch == reported->batch)
			continue;
		loads[count++] = load_of(server);
		reported->online = server->online;
		reported->batch = server->batch;
		/* A report to all VMs includes those of this domain. */
		server->reported[JJ_SLOTS_SCOPE_DOMAIN] = *reported;
	}
	return count;
}

uint32_t
jj_slots_list_loads(
    const jj_slots_t *slots, jj_load_t *loads, uint32_t max_count)
{
	const jj_slot_server_t *server;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (server->online + server->batch == 0)
			continue;
		if (count < max_count)
			loads[count] = load_of(server);
		count++;
	}
	return count;
}

const jj_name_t *
jj_slots_choose_vm_to_yield(jj_slot_server_t *server)
{
	jj_slot_neighbour_t *busiest = NULL;
	size_t i;

	for (i = 0; i < server->neighbour_count; i++)
		if (server->neighbours[i].batch > 0 &&
		    (busiest == NULL ||
			server->neighbours[i].batch > busiest->batch))
			busiest = &server->neighbours[i];
	if (busiest == NULL)
		return NULL;
	busiest->batch--;
	server->others_batch--;
	return &busiest->vm;
}

static void
set_neighbour(jj_slot_server_t *server, const jj_name_t *vm, uint32_t online,
    uint32_t batch)
{
	size_t i;

	for (i = 0; i < server->neighbour_count; i++)
		if (jj_name_equal(&server->neighbours[i].vm, vm))
			break;
	if (i == server->neighbour_count) {
		if (online + batch == 0)
			return;
		server->neighbours = jj_realloc(
		    server->neighbours, (i + 1) * sizeof(*server->neighbours));
		server->neighbours[i].vm = *vm;
		server->neighbour_count++;
	}
	server->neighbours[i].online = online;
	server->neighbours[i].batch = batch;
	if (online + batch == 0)
		server->neighbours[i] =
		    server->neighbours[--server->neighbour_count];
	sum_neighbours(server);
}

static void
sum_neighbours(jj_slot_server_t *server)
{
	size_t i;

	server->others_online = 0;
	server->others_batch = 0;
	for (i = 0; i < server->neighbour_count; i++) {
		server->others_online += server->neighbours[i].online;
		server->others_batch += server->neighbours[i].batch;
	}
}

static jj_load_t
load_of(const jj_slot_server_t *server)
{
	jj_load_t load = {server->hash, server->online, server->batch, 0};

	return load;
}
