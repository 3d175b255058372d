/**
 * @file slots_subset.c
 * @brief Which servers of its failure domain each VM uses.
 *
 * In a large failure domain every VM could use every server, but then each
 * change of a load would concern all of them, and the loads that a VM knows
 * would change between its choice and the arrival of the request. So the VMs
 * and the servers of a service are placed on a ring, and each VM uses the same
 * number of servers that follow its place: every server is used by about
 * SERVER_VMS VMs. All VMs compute this from the same lists. While their lists
 * differ, some load reports are missing until the next heartbeat, and nothing
 * else.
 */
#include <stdlib.h>
#include <string.h>

#include "core/slots_state.h"

/** Number of VMs of its failure domain that use a server, when there are more. */
#define SERVER_VMS 8
/** Least number of servers in a subset, so that several may be down. */
#define SUBSET_MIN 4

static int compare_users(const void *, const void *);
static int compare_servers(const void *, const void *);
static bool is_same_group(const jj_slot_server_t *, const jj_slot_server_t *);
static jj_slot_subset_t domain_of(const jj_slots_t *, const jj_name_t *);
static bool is_user(const jj_slot_subset_t *, uint32_t);
static bool is_used(const jj_slots_t *, const jj_slot_server_t *);

void
jj_slots_set_users(jj_slots_t *slots, const jj_slot_user_t *users, size_t count)
{
	jj_slot_server_t **servers;
	jj_slot_server_t *server;
	jj_slot_subset_t subset;
	size_t server_count = 0;
	size_t start;
	size_t end;
	size_t i;

	slots->users =
	    jj_realloc(slots->users, (count + 1) * sizeof(*slots->users));
	memcpy(slots->users, users, count * sizeof(*users));
	slots->user_count = count;
	qsort(slots->users, count, sizeof(*users), compare_users);
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		server_count++;
	}
	servers = jj_alloc((server_count + 1) * sizeof(void *));
	server_count = 0;
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		memset(&server->subset, 0, sizeof(server->subset));
		if (server->listed)
			servers[server_count++] = server;
	}
	qsort(servers, server_count, sizeof(void *), compare_servers);
	for (start = 0; start < server_count; start = end) {
		end = start + 1;
		while (end < server_count &&
		    is_same_group(servers[start], servers[end]))
			end++;
		subset = domain_of(slots, &servers[start]->info.domain);
		subset.servers = (uint32_t)(end - start);
		subset.size = subset.servers;
		if (subset.vms > SERVER_VMS)
			subset.size =
			    (subset.servers * SERVER_VMS + subset.vms - 1) /
			    subset.vms;
		if (subset.size < SUBSET_MIN)
			subset.size = SUBSET_MIN;
		for (i = start; i < end; i++) {
			subset.position = (uint32_t)(i - start);
			servers[i]->subset = subset;
			if (servers[i]->local)
				servers[i]->used = is_used(slots, servers[i]);
		}
	}
	free(servers);
}

size_t
jj_slots_list_users(const jj_slots_t *slots, const jj_slot_server_t *server,
    const jj_name_t **names, size_t max_count)
{
	const jj_slot_subset_t *subset = &server->subset;
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < subset->vms && count < max_count; i++) {
		const jj_name_t *name =
		    &slots->users[subset->first_vm + i].name;

		if (is_user(subset, i) &&
		    !jj_name_equal(name, &slots->settings.name))
			names[count++] = name;
	}
	return count;
}

static int
compare_users(const void *a, const void *b)
{
	const jj_slot_user_t *left = a;
	const jj_slot_user_t *right = b;
	uint64_t left_hash = jj_dispatch_hash_server(&left->name);
	uint64_t right_hash = jj_dispatch_hash_server(&right->name);
	int order = strcmp(left->domain.text, right->domain.text);

	if (order != 0)
		return order;
	if (left_hash != right_hash)
		return left_hash < right_hash ? -1 : 1;
	return strcmp(left->name.text, right->name.text);
}

static int
compare_servers(const void *a, const void *b)
{
	const jj_slot_server_t *left = *(jj_slot_server_t *const *)a;
	const jj_slot_server_t *right = *(jj_slot_server_t *const *)b;
	int order = strcmp(left->info.domain.text, right->info.domain.text);

	if (order == 0)
		order =
		    strcmp(left->info.service.text, right->info.service.text);
	if (order != 0)
		return order;
	if (left->hash != right->hash)
		return left->hash < right->hash ? -1 : 1;
	return 0;
}

static bool
is_same_group(const jj_slot_server_t *a, const jj_slot_server_t *b)
{
	return jj_name_equal(&a->info.domain, &b->info.domain) &&
	    jj_name_equal(&a->info.service, &b->info.service);
}

/** The VMs of a failure domain. */
static jj_slot_subset_t
domain_of(const jj_slots_t *slots, const jj_name_t *domain)
{
	jj_slot_subset_t subset = {0};
	size_t i;

	for (i = 0; i < slots->user_count; i++) {
		if (!jj_name_equal(&slots->users[i].domain, domain))
			continue;
		if (subset.vms == 0)
			subset.first_vm = i;
		subset.vms++;
	}
	return subset;
}

/** True when the VM at that place of its domain uses the server. */
static bool
is_user(const jj_slot_subset_t *subset, uint32_t vm)
{
	uint32_t first =
	    (uint32_t)((uint64_t)vm * subset->servers / subset->vms);

	return (subset->position + subset->servers - first) % subset->servers <
	    subset->size;
}

/** True for a local server in this VM's subset, and while that is unknown. */
static bool
is_used(const jj_slots_t *slots, const jj_slot_server_t *server)
{
	const jj_slot_subset_t *subset = &server->subset;
	uint32_t i;

	for (i = 0; i < subset->vms; i++)
		if (jj_name_equal(&slots->users[subset->first_vm + i].name,
			&slots->settings.name))
			return is_user(subset, i);
	return true;
}
