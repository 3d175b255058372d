/**
 * @file gateway_vms.c
 * @brief How VMs find each other, and orders to retire one.
 *
 * Each VM writes one entry at the platform when it starts and reads the list at
 * intervals; heartbeats show which VMs are live. Reads of the list may return
 * data that is seconds old, which makes them cheap: a new VM sends the first
 * heartbeat.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/gateway_state.h"
#include "core/json_text.h"

#define VMS_PREFIX "vms/"
#define TOKEN_LIST 10
#define TOKEN_REGISTER 11
#define TOKEN_RETIRE_STATUS 12
#define TOKEN_REMOVE 13
/** Interval between reads of the list while no other VM is live, ms. */
#define ALONE_POLL_MS 1000
/** The list may lag: it may lack a new entry for so long, ms. */
#define LIST_LAG_MS 30000

static void start_register(jj_gateway_t *, jj_actions_t *);
static void start_list(jj_gateway_t *, jj_actions_t *);
static void take_list(jj_gateway_t *, const jj_platform_result_t *, jj_ms_t);
static void
take_registered(jj_gateway_t *, const jj_platform_result_t *, jj_ms_t);
static void take_vm(jj_gateway_t *, const jj_platform_item_t *);
static jj_gateway_vm_t *find_vm(const jj_gateway_t *, const jj_name_t *);
static jj_gateway_vm_t *add_vm(jj_gateway_t *, const jj_name_t *);
static void index_vms(jj_gateway_t *);
static jj_ms_t poll_interval(const jj_gateway_t *);
static void begin_list(jj_gateway_t *);
static void end_list(jj_gateway_t *, bool, jj_ms_t);
static void register_again(jj_gateway_t *, jj_ms_t);
static void remove_gone(jj_gateway_t *, jj_ms_t);
static bool is_of_region(const jj_gateway_t *, const jj_name_t *);
static void remove_entry(jj_gateway_t *, const jj_gateway_vm_t *, jj_ms_t);

void
jj_gateway_tick_vms(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	/* The first list waits for the entry, but not for long. */
	if (!gateway->registered && !gateway->registering &&
	    now >= gateway->next_register_ms) {
		if (gateway->next_register_ms == 0)
			gateway->next_vms_ms = now + ALONE_POLL_MS;
		start_register(gateway, out);
	}
	if (!gateway->vms_polling && now >= gateway->next_vms_ms)
		start_list(gateway, out);
}

bool
jj_gateway_take_vms(jj_gateway_t *gateway, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	switch (result->token) {
	case TOKEN_LIST:
		take_list(gateway, result, now);
		return true;
	case TOKEN_REGISTER:
		take_registered(gateway, result, now);
		return true;
	case TOKEN_RETIRE_STATUS:
		gateway->retired = result->outcome == JJ_PLATFORM_OK;
		jj_actions_add_event(out, "retirement_answered", "outcome=%d",
		    (int)result->outcome);
		if (!gateway->retired)
			jj_mirror_set_active(
			    &gateway->retire_mirror, false, now);
		/* The order is listed and answered again. */
		if (!gateway->retired)
			gateway->retire_mirror.listed = false;
		return true;
	default:
		return false;
	}
}

jj_ms_t
jj_gateway_next_vms(const jj_gateway_t *gateway)
{
	jj_ms_t next = JJ_MS_NEVER;

	if (!gateway->vms_polling)
		next = gateway->next_vms_ms;
	if (!gateway->registered && !gateway->registering &&
	    gateway->next_register_ms < next)
		next = gateway->next_register_ms;
	return next;
}

uint32_t
jj_gateway_rank(void *ctx, const char *item, uint32_t limit)
{
	const jj_gateway_t *gateway = ctx;

	return jj_member_rank(
	    gateway->member, jj_hash_bytes(item, strlen(item), 0), limit);
}

size_t
jj_gateway_list_others(const jj_gateway_t *gateway, jj_member_info_t **infos)
{
	const jj_gateway_settings_t *settings = &gateway->settings;
	size_t max_count = jj_member_count(gateway->member) + 1;
	jj_member_info_t *list = jj_alloc(max_count * sizeof(*list));
	size_t count = jj_member_list(
	    gateway->member, &settings->member.domain, list, max_count);
	size_t kept = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (!jj_name_equal(&list[i].name, &settings->name))
			list[kept++] = list[i];
	*infos = list;
	return kept;
}

void
jj_gateway_send_to_others(
    const jj_gateway_t *gateway, const jj_message_t *message, jj_actions_t *out)
{
	jj_member_info_t *infos;
	size_t count = jj_gateway_list_others(gateway, &infos);
	size_t i;

	for (i = 0; i < count; i++)
		jj_actions_add_message(out, &infos[i].name, message->kind)
		    ->body = message->body;
	free(infos);
}

size_t
jj_gateway_first_ranked(
    const jj_member_info_t *infos, size_t count, uint64_t key)
{
	uint64_t best_weight = 0;
	uint64_t weight;
	size_t best = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		weight = jj_rendezvous_weight(infos[i].name.text, key);
		if (weight < best_weight)
			continue;
		best = i;
		best_weight = weight;
	}
	return best;
}

bool
jj_gateway_is_local(const jj_gateway_t *gateway, const jj_gateway_vm_t *vm)
{
	return jj_name_equal(&vm->domain, &gateway->settings.domain) &&
	    jj_member_is_live(gateway->member, &vm->name);
}

bool
jj_gateway_is_alone(const jj_gateway_t *gateway)
{
	jj_member_info_t infos[2];

	return jj_member_list(gateway->member, &gateway->settings.member.domain,
		   infos, 2) <= 1;
}

bool
jj_gateway_is_in_domain(const jj_gateway_t *gateway, const jj_name_t *name)
{
	const jj_gateway_vm_t *vm = find_vm(gateway, name);

	return vm != NULL &&
	    jj_name_equal(&vm->domain, &gateway->settings.domain);
}

void
jj_gateway_take_retirement(
    jj_gateway_t *gateway, const jj_platform_item_t *item)
{
	const char *slash = strchr(item->key, '/');
	jj_platform_call_t *call;

	if (slash == NULL ||
	    strcmp(slash + 1, gateway->settings.name.text) != 0 ||
	    gateway->retired)
		return;
	jj_actions_add_event(gateway->out, "retirement_ordered",
	    "version=%" PRIu64 " lasting_state=none", item->version);
	call = jj_actions_add_platform(gateway->out, JJ_OWNER_GATEWAY,
	    JJ_PLATFORM_SET_STATUS, TOKEN_RETIRE_STATUS);
	(void)snprintf(call->key, sizeof(call->key), "%s", item->key);
	call->value = jj_bytes_from_text("{\"state\":\"done\"}");
}

static void
start_register(jj_gateway_t *gateway, jj_actions_t *out)
{
	jj_platform_call_t *call;
	json_t *entry;

	gateway->registering = true;
	call = jj_actions_add_platform(out, JJ_OWNER_GATEWAY,
	    gateway->register_version == 0 ? JJ_PLATFORM_CREATE
					   : JJ_PLATFORM_UPDATE,
	    TOKEN_REGISTER);
	(void)snprintf(call->key, sizeof(call->key), "%s%s", VMS_PREFIX,
	    gateway->settings.name.text);
	call->version = gateway->register_version;
	entry =
	    json_pack("{s:s,s:s,s:s}", "domain", gateway->settings.domain.text,
		"region", gateway->settings.member.domain.text, "address",
		gateway->settings.member.address);
	call->value = jj_json_take_bytes(entry);
}

static void
take_registered(
    jj_gateway_t *gateway, const jj_platform_result_t *result, jj_ms_t now)
{
	gateway->registering = false;
	if (result->outcome == JJ_PLATFORM_OK) {
		gateway->registered = true;
		gateway->registered_ms = now;
		gateway->register_version = result->version;
		gateway->vms_fresh = false;
		if (gateway->vms_cursor.after[0] == '\0')
			gateway->next_vms_ms = now;
		return;
	}
	gateway->next_register_ms = now + gateway->settings.backoff_most_ms;
	/* An earlier process of this name wrote the entry: overwrite it. */
	if (result->outcome == JJ_PLATFORM_CONFLICT &&
	    result->version != gateway->register_version) {
		gateway->register_version = result->version;
		gateway->next_register_ms = now;
	}
	if (result->outcome == JJ_PLATFORM_ABSENT)
		gateway->register_version = 0;
}

static void
start_list(jj_gateway_t *gateway, jj_actions_t *out)
{
	jj_platform_call_t *call = jj_actions_add_platform(
	    out, JJ_OWNER_GATEWAY, JJ_PLATFORM_LIST, TOKEN_LIST);

	gateway->vms_polling = true;
	(void)snprintf(call->key, sizeof(call->key), "%s", VMS_PREFIX);
	memcpy(call->after, gateway->vms_cursor.after, sizeof(call->after));
	call->values = true;
	if (gateway->vms_cursor.after[0] == '\0')
		gateway->vms_reading_fresh =
		    gateway->registered && !gateway->vms_fresh;
	call->stale = !gateway->vms_reading_fresh;
}

static void
take_list(
    jj_gateway_t *gateway, const jj_platform_result_t *result, jj_ms_t now)
{
	jj_list_step_t step;
	size_t i;

	gateway->vms_polling = false;
	if (result->outcome != JJ_PLATFORM_OK) {
		gateway->next_vms_ms = now + gateway->settings.vms_poll_ms;
		if (jj_list_cursor_take_failure(&gateway->vms_cursor,
			result->outcome) == JJ_LIST_INCOMPLETE)
			end_list(gateway, false, now);
		return;
	}
	if (gateway->vms_cursor.after[0] == '\0')
		begin_list(gateway);
	for (i = 0; i < result->item_count; i++)
		take_vm(gateway, &result->items[i]);
	step = jj_list_cursor_take_page(&gateway->vms_cursor, result);
	if (step != JJ_LIST_CONTINUES) {
		gateway->vms_fresh =
		    gateway->vms_fresh || gateway->vms_reading_fresh;
		end_list(gateway, step == JJ_LIST_COMPLETE, now);
		gateway->next_vms_ms = now;
		if (gateway->vms_fresh || !gateway->registered)
			gateway->next_vms_ms += poll_interval(gateway);
		return;
	}
	gateway->next_vms_ms = now;
}

static void
take_vm(jj_gateway_t *gateway, const jj_platform_item_t *item)
{
	json_t *entry = json_loadb(item->value.data, item->value.size, 0, NULL);
	char address[JJ_NAME_MAX + 1];
	char domain[JJ_NAME_MAX + 1];
	char region[JJ_NAME_MAX + 1];
	jj_name_t name;
	jj_name_t group;
	jj_name_t zone;
	const char *slash = strchr(item->key, '/');
	bool valid = slash != NULL && jj_name_set(&name, slash + 1) &&
	    jj_json_copy_text(
		address, sizeof(address), json_object_get(entry, "address")) &&
	    jj_json_copy_text(
		domain, sizeof(domain), json_object_get(entry, "domain")) &&
	    jj_json_copy_text(
		region, sizeof(region), json_object_get(entry, "region"));

	json_decref(entry);
	if (!valid)
		return;
	if (jj_name_equal(&name, &gateway->settings.name)) {
		gateway->vms_have_self = true;
		return;
	}
	(void)jj_name_set(&group, region);
	(void)jj_name_set(&zone, domain);
	jj_member_add_vm(gateway->member, &name, &group, address);
	jj_gateway_note_vm(gateway, &name, &zone, item->version);
}

/**
 * Heartbeats show new VMs to all that they know, and a new VM reads the list
 * after it has written its entry: of two VMs that start at once, at least one
 * finds the other. So only the speaker reads the list often, to remove entries
 * of VMs that are gone, and the others take turns.
 */
static jj_ms_t
poll_interval(const jj_gateway_t *gateway)
{
	jj_ms_t poll_ms = gateway->settings.vms_poll_ms;

	if (jj_gateway_is_alone(gateway))
		return ALONE_POLL_MS;
	if (jj_member_is_speaker(gateway->member))
		return poll_ms;
	return poll_ms * (jj_ms_t)(1 + gateway->vm_count);
}

static jj_gateway_vm_t *
find_vm(const jj_gateway_t *gateway, const jj_name_t *name)
{
	size_t place = GPOINTER_TO_SIZE(
	    g_hash_table_lookup(gateway->vm_places, name->text));

	return place > 0 ? &gateway->vms[place - 1] : NULL;
}

static jj_gateway_vm_t *
add_vm(jj_gateway_t *gateway, const jj_name_t *name)
{
	jj_gateway_vm_t *vm;

	gateway->vms = jj_realloc(
	    gateway->vms, (gateway->vm_count + 1) * sizeof(*gateway->vms));
	vm = &gateway->vms[gateway->vm_count++];
	memset(vm, 0, sizeof(*vm));
	vm->name = *name;
	vm->unreachable_since_ms = JJ_MS_NEVER;
	(void)g_hash_table_replace(gateway->vm_places, g_strdup(name->text),
	    GSIZE_TO_POINTER(gateway->vm_count));
	return vm;
}

static void
index_vms(jj_gateway_t *gateway)
{
	size_t i;

	g_hash_table_remove_all(gateway->vm_places);
	for (i = 0; i < gateway->vm_count; i++)
		(void)g_hash_table_replace(gateway->vm_places,
		    g_strdup(gateway->vms[i].name.text),
		    GSIZE_TO_POINTER(i + 1));
}

void
jj_gateway_note_vm(jj_gateway_t *gateway, const jj_name_t *name,
    const jj_name_t *domain, uint64_t version)
{
	jj_gateway_vm_t *vm = find_vm(gateway, name);

	if (vm == NULL)
		vm = add_vm(gateway, name);
	vm->domain = *domain;
	if (version == 0)
		return;
	vm->listed = true;
	/* A new process of that name wrote the entry. */
	if (vm->version != version)
		vm->unreachable_since_ms = JJ_MS_NEVER;
	vm->version = version;
}

static void
begin_list(jj_gateway_t *gateway)
{
	size_t i;

	gateway->vms_have_self = false;
	for (i = 0; i < gateway->vm_count; i++)
		gateway->vms[i].listed = false;
}

static void
end_list(jj_gateway_t *gateway, bool is_complete, jj_ms_t now)
{
	jj_gateway_vm_t *vm;
	size_t kept = 0;
	size_t i;

	if (is_complete)
		register_again(gateway, now);
	for (i = 0; i < gateway->vm_count; i++) {
		vm = &gateway->vms[i];
		if (is_complete && !vm->listed &&
		    jj_member_find(gateway->member, &vm->name) == NULL)
			continue;
		if (jj_member_is_live(gateway->member, &vm->name))
			vm->unreachable_since_ms = JJ_MS_NEVER;
		else if (vm->unreachable_since_ms == JJ_MS_NEVER)
			vm->unreachable_since_ms = now;
		gateway->vms[kept++] = *vm;
	}
	gateway->vm_count = kept;
	index_vms(gateway);
	remove_gone(gateway, now);
}

/** Other VMs removed the entry: this VM was cut off from them for long. */
static void
register_again(jj_gateway_t *gateway, jj_ms_t now)
{
	if (!gateway->registered || gateway->vms_have_self ||
	    now - gateway->registered_ms < LIST_LAG_MS)
		return;
	gateway->registered = false;
	gateway->register_version = 0;
	gateway->next_register_ms = now;
}

/**
 * Guards against a list that keeps the entries of all VMs that ever existed.
 * The speaker of the region removes one at a time, on the condition that its
 * version is unchanged: a VM that restarts writes a new one.
 */
static void
remove_gone(jj_gateway_t *gateway, jj_ms_t now)
{
	size_t i;

	if (!jj_member_is_speaker(gateway->member) ||
	    jj_gateway_is_alone(gateway))
		return;
	for (i = 0; i < gateway->vm_count; i++) {
		const jj_gateway_vm_t *vm = &gateway->vms[i];

		if (!vm->listed || vm->unreachable_since_ms == JJ_MS_NEVER ||
		    now - vm->unreachable_since_ms <
			gateway->settings.member.forget_ms ||
		    !is_of_region(gateway, &vm->name))
			continue;
		remove_entry(gateway, vm, now);
		return;
	}
}

/**
 * True for a VM of this region; of other regions only the speakers send
 * heartbeats.
 */
static bool
is_of_region(const jj_gateway_t *gateway, const jj_name_t *name)
{
	const jj_member_info_t *info = jj_member_find(gateway->member, name);

	return info != NULL &&
	    jj_name_equal(&info->domain, &gateway->settings.member.domain);
}

static void
remove_entry(jj_gateway_t *gateway, const jj_gateway_vm_t *vm, jj_ms_t now)
{
	jj_platform_call_t *call;

	jj_actions_add_event(gateway->out, "vm_entry_removed",
	    "peer=%s version=%" PRIu64 " silent_ms=%lld", vm->name.text,
	    vm->version, (long long)(now - vm->unreachable_since_ms));
	call = jj_actions_add_platform(
	    gateway->out, JJ_OWNER_GATEWAY, JJ_PLATFORM_DELETE, TOKEN_REMOVE);
	(void)snprintf(
	    call->key, sizeof(call->key), "%s%s", VMS_PREFIX, vm->name.text);
	call->version = vm->version;
}
