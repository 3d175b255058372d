/**
 * @file gateway_relay.c
 * @brief One VM of a failure domain watches the platform and relays the
 * updates.
 *
 * Each watch costs a platform call for each update that it returns. In a
 * failure domain with many VMs, the live VM with the smallest name watches for
 * all of them, in short polls, and forwards the result of each poll. The other
 * VMs rely on it for a limited time (core/mirror.h). In a domain with few VMs
 * each watches for itself: one call that waits long costs less than many short
 * ones.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "core/gateway_state.h"
#include "core/json_text.h"

/**
 * Number of VMs in a domain from which on one of them relays. Three watches,
 * polled by one VM twice per news_ms, cost as many calls as the watches of
 * about five VMs on a day with some hundred changes.
 */
#define RELAY_MIN_VMS 5
/**
 * Interval between choices of the relay, which changes as VMs join and leave,
 * ms.
 */
#define DUTY_CHECK_MS 400
/**
 * Interval between reports of the jobs that this VM runs, ms; VMs that serve
 * readers rely on it.
 */
#define STATES_INTERVAL_MS 400
/**
 * Interval in a large region, ms. There readers' VMs query the VM that runs the
 * job, and reports only count tokens and show who runs a new job.
 */
#define RARE_STATES_INTERVAL_MS 5000

/** Numbers of the watches in messages between VMs. */
enum {
	WATCH_CONFIG = 1,
	WATCH_SERVERS,
	WATCH_JOBS
};

static void report_states(jj_gateway_t *, jj_ms_t, jj_actions_t *);
static bool is_region_large(const jj_gateway_t *);
static jj_ms_t states_interval(const jj_gateway_t *);
static void send_states(jj_gateway_t *, const jj_name_t *,
    const jj_job_progress_t *, uint32_t, jj_actions_t *);
static jj_mirror_duty_t choose_duty(const jj_gateway_t *);
static void assign_servers(jj_gateway_t *);
static void relay_events(jj_gateway_t *, uint32_t, uint64_t, uint64_t,
    const jj_platform_item_t *, size_t);
static json_t *encode(const jj_platform_item_t *, size_t);
static jj_platform_item_t *decode(const jj_bytes_t *, size_t *);
static void free_items(jj_platform_item_t *, size_t);

void
jj_gateway_tick_relay(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_mirror_duty_t duty;

	report_states(gateway, now, out);
	if (now < gateway->next_duty_check_ms)
		return;
	gateway->next_duty_check_ms = now + DUTY_CHECK_MS;
	assign_servers(gateway);
	jj_inline_set_intervals(gateway->jobs, states_interval(gateway),
	    jj_member_interval(gateway->member) -
		gateway->settings.member.heartbeat_ms);
	duty = choose_duty(gateway);
	if (duty != gateway->config_mirror.duty)
		jj_actions_add_event(out, "watch_duty", "duty=%s",
		    duty == JJ_MIRROR_STANDALONE  ? "alone"
			: duty == JJ_MIRROR_RELAY ? "relays"
						  : "listens");
	jj_mirror_set_duty(&gateway->config_mirror, duty, now);
	jj_mirror_set_duty(&gateway->servers_mirror, duty, now);
	jj_inline_set_duty(gateway->jobs, duty, now);
}

void
jj_gateway_relay_objects(void *ctx, uint64_t token, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count)
{
	jj_gateway_t *gateway = ctx;

	relay_events(gateway,
	    token == gateway->config_mirror.settings.token ? WATCH_CONFIG
							   : WATCH_SERVERS,
	    from, to, items, count);
}

void
jj_gateway_relay_jobs(void *ctx, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count)
{
	relay_events(ctx, WATCH_JOBS, from, to, items, count);
}

void
jj_gateway_take_relay(jj_gateway_t *gateway, const jj_relay_update_t *news,
    jj_ms_t now, jj_actions_t *out)
{
	size_t count = 0;
	jj_platform_item_t *items = decode(&news->events, &count);

	if (items == NULL && count > 0)
		return;
	if (news->watch == WATCH_CONFIG)
		jj_mirror_take_relay(&gateway->config_mirror, news->from,
		    news->to, items, count, now);
	else if (news->watch == WATCH_SERVERS)
		jj_mirror_take_relay(&gateway->servers_mirror, news->from,
		    news->to, items, count, now);
	else
		jj_inline_take_relay(gateway->jobs, news->from, news->to, items,
		    count, now, out);
	free_items(items, count);
}

/** Reports to all live VMs of the region: a reader may query any of them. */
static void
report_states(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_inline_counts_t counts = jj_inline_counts(gateway->jobs);
	uint64_t begun = counts.accepted + counts.takeovers;
	jj_job_progress_t *states;
	jj_member_info_t *infos;
	uint32_t count;
	uint32_t offset;
	size_t vms;
	size_t i;

	if (now < gateway->next_job_states_ms &&
	    (!is_region_large(gateway) || begun == gateway->reported_jobs))
		return;
	gateway->reported_jobs = begun;
	gateway->next_job_states_ms = now + states_interval(gateway);
	count = jj_inline_list_states(gateway->jobs, NULL, 0);
	if (count == 0)
		return;
	states = jj_alloc(count * sizeof(*states));
	(void)jj_inline_list_states(gateway->jobs, states, count);
	vms = jj_gateway_list_others(gateway, &infos);
	for (offset = 0; offset < count; offset += JJ_MESSAGE_JOB_STATES_MAX)
		for (i = 0; i < vms; i++)
			send_states(gateway, &infos[i].name, states + offset,
			    count - offset, out);
	free(infos);
	free(states);
}

/** True when heartbeats are so rare that reports can't be relied on. */
static bool
is_region_large(const jj_gateway_t *gateway)
{
	return jj_member_interval(gateway->member) >
	    gateway->settings.member.heartbeat_ms;
}

static jj_ms_t
states_interval(const jj_gateway_t *gateway)
{
	return is_region_large(gateway) ? RARE_STATES_INTERVAL_MS
					: STATES_INTERVAL_MS;
}

/** Sends as many states as one message holds. */
static void
send_states(jj_gateway_t *gateway, const jj_name_t *to,
    const jj_job_progress_t *states, uint32_t count, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, to, JJ_MESSAGE_JOB_STATES);

	if (count > JJ_MESSAGE_JOB_STATES_MAX)
		count = JJ_MESSAGE_JOB_STATES_MAX;
	message->body.job_states.ack =
	    jj_member_last_sequence(gateway->member, to);
	message->body.job_states.count = count;
	memcpy(
	    message->body.job_states.states, states, count * sizeof(states[0]));
}

/**
 * Counts the live VMs of this failure domain and those of all others, and
 * chooses which servers each of them uses.
 */
static void
assign_servers(jj_gateway_t *gateway)
{
	jj_slot_user_t *users =
	    jj_alloc((gateway->vm_count + 1) * sizeof(*users));
	size_t count = 0;
	uint32_t local = 1;
	size_t i;

	users[count].name = gateway->settings.name;
	users[count++].domain = gateway->settings.domain;
	for (i = 0; i < gateway->vm_count; i++) {
		const jj_gateway_vm_t *vm = &gateway->vms[i];

		if (!jj_member_is_live(gateway->member, &vm->name))
			continue;
		local += jj_gateway_is_local(gateway, vm);
		users[count].name = vm->name;
		users[count++].domain = vm->domain;
	}
	jj_slots_set_vms(gateway->slots, local, (uint32_t)count - local);
	jj_slots_set_users(gateway->slots, users, count);
	free(users);
}

static jj_mirror_duty_t
choose_duty(const jj_gateway_t *gateway)
{
	const jj_name_t *self = &gateway->settings.name;
	size_t local_count = 1;
	bool is_first = true;
	size_t i;

	for (i = 0; i < gateway->vm_count; i++) {
		const jj_gateway_vm_t *vm = &gateway->vms[i];

		if (!jj_gateway_is_local(gateway, vm))
			continue;
		local_count++;
		if (strcmp(vm->name.text, self->text) < 0)
			is_first = false;
	}
	if (local_count < RELAY_MIN_VMS)
		return JJ_MIRROR_STANDALONE;
	return is_first ? JJ_MIRROR_RELAY : JJ_MIRROR_LISTENER;
}

static void
relay_events(jj_gateway_t *gateway, uint32_t watch, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count)
{
	jj_bytes_t events = jj_json_take_bytes(encode(items, count));
	jj_message_t *message;
	size_t i;

	/*
	 * Too large for one message: an empty update shows listeners that they
	 * lack versions, and they query the platform at once.
	 */
	if (events.size > JJ_MESSAGE_BYTES_MAX) {
		jj_actions_add_event(gateway->out, "relay_too_large",
		    "watch=%u objects=%zu bytes=%zu most=%d", watch, count,
		    events.size, JJ_MESSAGE_BYTES_MAX);
		jj_bytes_free(&events);
		events = jj_bytes_from_text("[]");
		from = to;
	}
	for (i = 0; i < gateway->vm_count; i++) {
		const jj_gateway_vm_t *vm = &gateway->vms[i];

		if (!jj_gateway_is_local(gateway, vm))
			continue;
		message = jj_actions_add_message(
		    gateway->out, &vm->name, JJ_MESSAGE_RELAY);
		message->body.relay.watch = watch;
		message->body.relay.from = from;
		message->body.relay.to = to;
		message->body.relay.events =
		    jj_bytes_copy(events.data, events.size);
	}
	jj_bytes_free(&events);
}

/**
 * Encodes the items as JSON without versions of an object that the same poll
 * replaced. Versions after a deletion are kept: they show a listener that the
 * deletion is outdated.
 */
static json_t *
encode(const jj_platform_item_t *items, size_t count)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *gone = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		(void)g_hash_table_replace(
		    last, (gpointer)items[i].key, (gpointer)&items[i]);
	for (i = 0; i < count; i++) {
		json_t *event;

		if (items[i].deleted)
			(void)g_hash_table_add(gone, (gpointer)items[i].key);
		else if (g_hash_table_lookup(last, items[i].key) != &items[i] &&
		    !g_hash_table_contains(gone, items[i].key))
			continue;
		event =
		    json_pack("{s:s,s:I,s:b}", "key", items[i].key, "version",
			(json_int_t)items[i].version, "gone", items[i].deleted);

		if (!items[i].deleted && items[i].value.data != NULL)
			(void)json_object_set_new(event, "value",
			    json_stringn(
				items[i].value.data, items[i].value.size));
		(void)json_array_append_new(array, event);
	}
	g_hash_table_destroy(gone);
	g_hash_table_destroy(last);
	return array;
}

/**
 * Decodes a JSON array of items. NULL with a count above 0 when it is
 * malformed.
 */
static jj_platform_item_t *
decode(const jj_bytes_t *events, size_t *count)
{
	json_t *array = json_loadb(events->data, events->size, 0, NULL);
	jj_platform_item_t *items = NULL;
	const json_t *event;
	size_t i;

	*count = array != NULL ? json_array_size(array) : 1;
	if (array == NULL || *count == 0)
		goto out;
	items = jj_alloc(*count * sizeof(*items));
	json_array_foreach(array, i, event)
	{
		const json_t *value = json_object_get(event, "value");

		(void)jj_json_copy_text(items[i].key, sizeof(items[i].key),
		    json_object_get(event, "key"));
		items[i].version = (uint64_t)json_integer_value(
		    json_object_get(event, "version"));
		items[i].deleted = json_is_true(json_object_get(event, "gone"));
		if (json_is_string(value))
			items[i].value = jj_bytes_copy(json_string_value(value),
			    json_string_length(value));
	}
out:
	json_decref(array);
	return items;
}

static void
free_items(jj_platform_item_t *items, size_t count)
{
	size_t i;

	for (i = 0; items != NULL && i < count; i++)
		jj_bytes_free(&items[i].value);
	free(items);
}
