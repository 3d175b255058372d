/**
 * @file slots_loads.c
 * @brief Exchange of request counts between VMs.
 */
#include "core/slots_state.h"

static jj_slot_vm_t *find_vm(jj_slots_t *, const jj_name_t *, bool);
static void set_load(jj_slot_server_t *, jj_slot_vm_t *, uint32_t, uint32_t);
static void clear_loads(jj_slot_vm_t *);
static void remove_server(jj_slot_vm_t *, const jj_slot_server_t *);
static jj_load_t load_of(const jj_slot_server_t *);

void
jj_slots_take_loads(jj_slots_t *slots, const jj_name_t *from,
    const jj_load_t *loads, uint32_t count, bool whole)
{
	jj_slot_vm_t *vm = find_vm(slots, from, count > 0);
	jj_slot_server_t *server;
	uint32_t i;

	if (vm == NULL)
		return;
	if (whole)
		clear_loads(vm);
	for (i = 0; i < count; i++) {
		server = jj_slots_find_hash(slots, loads[i].server);
		if (server != NULL)
			set_load(server, vm, loads[i].online, loads[i].batch);
	}
	if (vm->server_count == 0)
		(void)g_hash_table_remove(slots->neighbours, vm->name.text);
}

void
jj_slots_forget_neighbours(
    jj_slots_t *slots, bool (*is_gone)(void *, const jj_name_t *), void *ctx)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, slots->neighbours);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		jj_slot_vm_t *vm = value;

		if (!is_gone(ctx, &vm->name))
			continue;
		clear_loads(vm);
		g_hash_table_iter_remove(&at);
	}
}

void
jj_slots_clear_neighbours(jj_slots_t *slots, jj_slot_server_t *server)
{
	jj_slot_vm_t *vm;

	while (server->neighbour_count > 0) {
		vm = server->neighbours[0].vm;
		set_load(server, vm, 0, 0);
		if (vm->server_count == 0)
			(void)g_hash_table_remove(
			    slots->neighbours, vm->name.text);
	}
	free(server->neighbours);
	server->neighbours = NULL;
}

void
jj_slots_free_vm(void *memory)
{
	jj_slot_vm_t *vm = memory;

	free(vm->servers);
	free(vm);
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
	return &busiest->vm->name;
}

/** The VM with that name, created if @p create is set, else NULL. */
static jj_slot_vm_t *
find_vm(jj_slots_t *slots, const jj_name_t *name, bool create)
{
	jj_slot_vm_t *vm = g_hash_table_lookup(slots->neighbours, name->text);

	if (vm != NULL || !create)
		return vm;
	vm = jj_alloc(sizeof(*vm));
	vm->name = *name;
	(void)g_hash_table_insert(slots->neighbours, vm->name.text, vm);
	return vm;
}

static void
set_load(
    jj_slot_server_t *server, jj_slot_vm_t *vm, uint32_t online, uint32_t batch)
{
	jj_slot_neighbour_t *neighbour;
	size_t i = 0;

	while (i < server->neighbour_count && server->neighbours[i].vm != vm)
		i++;
	if (i == server->neighbour_count) {
		if (online + batch == 0)
			return;
		server->neighbours = jj_realloc(
		    server->neighbours, (i + 1) * sizeof(*server->neighbours));
		server->neighbour_count++;
		server->neighbours[i] = (jj_slot_neighbour_t){vm, 0, 0};
		vm->servers = jj_realloc(
		    vm->servers, (vm->server_count + 1) * sizeof(void *));
		vm->servers[vm->server_count++] = server;
	}
	neighbour = &server->neighbours[i];
	server->others_online += online - neighbour->online;
	server->others_batch += batch - neighbour->batch;
	neighbour->online = online;
	neighbour->batch = batch;
	if (online + batch > 0)
		return;
	*neighbour = server->neighbours[--server->neighbour_count];
	remove_server(vm, server);
}

static void
clear_loads(jj_slot_vm_t *vm)
{
	while (vm->server_count > 0)
		set_load(vm->servers[vm->server_count - 1], vm, 0, 0);
}

static void
remove_server(jj_slot_vm_t *vm, const jj_slot_server_t *server)
{
	size_t i = vm->server_count;

	while (vm->servers[--i] != server)
		continue;
	vm->servers[i] = vm->servers[--vm->server_count];
}

static jj_load_t
load_of(const jj_slot_server_t *server)
{
	jj_load_t load = {server->hash, server->online, server->batch, 0};

	return load;
}
