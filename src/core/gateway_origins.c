/**
 * @file gateway_origins.c
 * @brief At which software version a stream that a caller takes up began.
 *
 * The VM that began a stream tells two others, one of them of its own failure
 * domain, so that the caller can take it up elsewhere when that VM is lost. A
 * VM that does not know a stream asks the others. Only if nobody knows it, and
 * one version alone has served for longer than a stream lasts by the lists of
 * servers of at least two VMs, and all VMs that may know better have answered,
 * is it of that one; otherwise it is refused.
 *
 * A caller that does not name the request that began the stream is recognised by
 * the content. Another stream may have the same content, so that counts only
 * while no VM that may know of streams is missing, silent or started recently.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/gateway_state.h"

/** A caller may take a stream up this long after its deadline, ms. */
#define KEEP_AFTER_MS 5000
/** How long the answers of other VMs are waited for, ms. */
#define REPLY_WAIT_MS 150
/** Up to so many other VMs are asked all, else half of it in each part. */
#define ASKED_MAX 8
/** Other VMs that are told of a stream: in this failure domain, and outside. */
#define TOLD_NEAR 1
#define TOLD_FAR 1
/**
 * A stream may last this long, ms; longer where its route's time limit or a
 * caller's wait is longer.
 */
#define STREAM_MIN_MS 20000
/** Longest time that the query of another VM may ask for, ms. */
#define STREAM_MAX_MS 86400000
/** A list of servers that was confirmed within this time is complete, ms. */
#define LIST_FRESH_MS 3000
/** A server that came and went in a longer gap may have been missed, ms. */
#define LIST_GAP_MS 4000

static void
ask_others(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t, jj_actions_t *);
static size_t
pick_vms(const jj_gateway_t *, uint64_t, size_t, size_t, jj_member_info_t *);
static void
take_query(jj_gateway_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void
take_reply(jj_gateway_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void
decide(jj_gateway_t *, jj_gateway_entry_t *, jj_ms_t, jj_actions_t *);
static void resume_at(
    jj_gateway_t *, jj_gateway_entry_t *, uint64_t, jj_ms_t, jj_actions_t *);
static bool has_one_service(const jj_route_t *);
static uint64_t
seen_software(const jj_gateway_t *, const jj_name_t *, jj_ms_t, jj_ms_t);
static bool has_seen_all(const jj_gateway_t *, jj_ms_t, jj_ms_t);
static uint64_t
choose_software(const jj_gateway_t *, const jj_gateway_entry_t *);
static bool remembers_all(const jj_gateway_t *, jj_ms_t, jj_ms_t);
static bool is_any_vm_missing(const jj_gateway_t *, jj_ms_t, jj_ms_t);
static jj_ms_t longest_stream(
    const jj_gateway_t *, const jj_gateway_entry_t *, const jj_route_t *);
static uint64_t merge(uint64_t, uint64_t);
static const char *count_of(uint64_t);
static uint64_t sole_software(const jj_gateway_t *, const jj_gateway_entry_t *);
static void flush(jj_gateway_t *, jj_actions_t *);
static void add_origin(GHashTable *, const jj_name_t *,
    const jj_stream_origin_t *, jj_actions_t *);

uint64_t
jj_gateway_origin_id(const char *request)
{
	return request[0] != '\0' ? jj_hash_bytes(request, strlen(request), 0)
				  : 0;
}

void
jj_gateway_note_stream_begun(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now)
{
	jj_stream_origin_t origin = {entry->origin_id, entry->fingerprint,
	    entry->software, entry->deadline_ms - now + KEEP_AFTER_MS};

	if (!entry->streams || !entry->repeatable)
		return;
	jj_stream_origins_add(gateway->origins, &origin, now);
	if (gateway->new_origin_count == JJ_MESSAGE_ORIGINS_MAX)
		flush(gateway, gateway->out);
	gateway->new_origins[gateway->new_origin_count++] = origin;
}

void
jj_gateway_resume(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_route_t *route, jj_ms_t now, jj_actions_t *out)
{
	entry->stream_ms = longest_stream(gateway, entry, route);
	entry->known_software = jj_stream_origins_find(
	    gateway->origins, entry->origin_id, entry->fingerprint, now);
	entry->sole_software = has_one_service(route)
	    ? seen_software(gateway, &entry->service, entry->stream_ms, now)
	    : JJ_SOFTWARE_MIXED;
	entry->sole_is_sure = has_seen_all(gateway, entry->stream_ms, now);
	entry->is_vm_missing =
	    is_any_vm_missing(gateway, entry->stream_ms, now);
	entry->is_memory_whole =
	    remembers_all(gateway, entry->stream_ms, now) &&
	    !entry->is_vm_missing;
	/* Another stream with the same content may be known elsewhere. */
	if (entry->known_software == 0 || entry->origin_id == 0)
		ask_others(gateway, entry, now, out);
	if (entry->replies_due == 0)
		decide(gateway, entry, now, out);
}

void
jj_gateway_take_origin_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	uint32_t i;

	switch (message->kind) {
	case JJ_MESSAGE_STREAM_ORIGINS:
		for (i = 0; i < message->body.origins.count; i++)
			jj_stream_origins_add(gateway->origins,
			    &message->body.origins.origins[i], now);
		break;
	case JJ_MESSAGE_ORIGIN_QUERY:
		take_query(gateway, message, now, out);
		break;
	default:
		take_reply(gateway, message, now, out);
		break;
	}
}

void
jj_gateway_tick_origins(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_ms_t confirmed_ms = gateway->servers_mirror.confirmed_ms;
	jj_gateway_entry_t *entry;
	jj_gateway_entry_t *next;

	flush(gateway, out);
	if (gateway->origins_since_ms == JJ_MS_NEVER)
		gateway->origins_since_ms = now;
	jj_stream_origins_tick(gateway->origins, now);
	if (confirmed_ms == JJ_MS_NEVER || now - confirmed_ms > LIST_GAP_MS)
		gateway->servers_since_ms = JJ_MS_NEVER;
	else if (gateway->servers_since_ms == JJ_MS_NEVER)
		gateway->servers_since_ms = now;
	/* Online requests are ahead of all items in the list. */
	for (entry = TAILQ_FIRST(&gateway->waiting);
	     gateway->asking_count > 0 && entry != NULL &&
	     entry->class_of == JJ_CLASS_ONLINE;
	     entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->replies_due > 0 && now >= entry->reply_until_ms)
			decide(gateway, entry, now, out);
	}
}

/** Asks the VMs that may have been told, all of them in a small fleet. */
static void
ask_others(jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now,
    jj_actions_t *out)
{
	jj_member_info_t asked[ASKED_MAX];
	jj_message_t *message;
	size_t count = pick_vms(
	    gateway, entry->fingerprint, ASKED_MAX / 2, ASKED_MAX / 2, asked);
	size_t i;

	for (i = 0; i < count; i++) {
		message = jj_actions_add_message(
		    out, &asked[i].name, JJ_MESSAGE_ORIGIN_QUERY);
		message->body.origin_query.request = entry->request;
		message->body.origin_query.id = entry->origin_id;
		message->body.origin_query.content = entry->fingerprint;
		message->body.origin_query.service = entry->service;
		message->body.origin_query.stream_ms = entry->stream_ms;
	}
	entry->replies_due = (uint32_t)count;
	entry->reply_until_ms = now + REPLY_WAIT_MS;
	gateway->asking_count += count > 0;
	entry->was_asked = count > 0;
}

/**
 * Chooses live VMs by rendezvous hashing of the content: up to @p near of this
 * failure domain and @p far of others; all others if they are no more than
 * that in sum.
 */
static size_t
pick_vms(const jj_gateway_t *gateway, uint64_t content, size_t near, size_t far,
    jj_member_info_t *picked)
{
	jj_member_info_t *infos;
	size_t left = jj_gateway_list_others(gateway, &infos);
	size_t wanted[2] = {far, near};
	bool takes_all = left <= near + far;
	size_t count = 0;
	size_t best;
	bool is_near;

	while (left > 0 && count < near + far) {
		best = jj_gateway_first_ranked(infos, left, content);
		is_near = jj_gateway_is_in_domain(gateway, &infos[best].name);
		if (takes_all || wanted[is_near] > 0) {
			picked[count++] = infos[best];
			wanted[is_near] -= wanted[is_near] > 0;
		}
		infos[best] = infos[--left];
	}
	free(infos);
	return count;
}

static void
take_query(jj_gateway_t *gateway, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	jj_message_t *reply = jj_actions_add_message(
	    out, &message->from, JJ_MESSAGE_ORIGIN_REPLY);
	jj_ms_t stream_ms = message->body.origin_query.stream_ms;

	if (stream_ms < STREAM_MIN_MS || stream_ms > STREAM_MAX_MS)
		stream_ms = STREAM_MAX_MS;
	reply->body.origin_reply.request = message->body.origin_query.request;
	reply->body.origin_reply.software = jj_stream_origins_find(
	    gateway->origins, message->body.origin_query.id,
	    message->body.origin_query.content, now);
	reply->body.origin_reply.sole = seen_software(
	    gateway, &message->body.origin_query.service, stream_ms, now);
	reply->body.origin_reply.sole_is_sure =
	    has_seen_all(gateway, stream_ms, now);
	reply->body.origin_reply.remembers_all =
	    remembers_all(gateway, stream_ms, now);
}

static void
take_reply(jj_gateway_t *gateway, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	jj_gateway_entry_t *entry =
	    jj_gateway_find_entry(gateway, message->body.origin_reply.request);

	if (entry == NULL || entry->replies_due == 0)
		return;
	entry->known_software =
	    merge(entry->known_software, message->body.origin_reply.software);
	entry->sole_software =
	    merge(entry->sole_software, message->body.origin_reply.sole);
	entry->sole_is_sure =
	    entry->sole_is_sure || message->body.origin_reply.sole_is_sure;
	entry->is_memory_whole =
	    entry->is_memory_whole && message->body.origin_reply.remembers_all;
	entry->was_answered = true;
	entry->has_other_list =
	    entry->has_other_list || message->body.origin_reply.sole != 0;
	entry->replies_due--;
	if (entry->replies_due == 0 ||
	    (entry->origin_id != 0 && entry->known_software != 0))
		decide(gateway, entry, now, out);
}

/** Sends the request on, or refuses it, with what is known now. */
static void
decide(jj_gateway_t *gateway, jj_gateway_entry_t *entry, jj_ms_t now,
    jj_actions_t *out)
{
	uint64_t software = choose_software(gateway, entry);

	gateway->asking_count -= entry->was_asked;
	entry->was_asked = false;
	entry->replies_due = 0;
	jj_actions_add_event(out, "stream_taken_up",
	    "request=%s resumes=%s known=%s sole=%s answered=%d", entry->id,
	    entry->resumes, count_of(entry->known_software),
	    count_of(sole_software(gateway, entry)), entry->was_answered);
	if (software == 0 || software == JJ_SOFTWARE_MIXED) {
		jj_gateway_give_up(gateway, entry, JJ_FAILURE_NO_ORIGIN, out);
		return;
	}
	resume_at(gateway, entry, software, now, out);
}

/** The software version to go on at; 0 or JJ_SOFTWARE_MIXED: not known. */
static uint64_t
choose_software(const jj_gateway_t *gateway, const jj_gateway_entry_t *entry)
{
	uint64_t known = entry->known_software;
	uint64_t sole = sole_software(gateway, entry);

	if (known == 0 || known == sole)
		return sole;
	if (entry->origin_id != 0 ||
	    (entry->is_memory_whole && entry->replies_due == 0))
		return known;
	return 0;
}

static void
resume_at(jj_gateway_t *gateway, jj_gateway_entry_t *entry, uint64_t software,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_name_t *service =
	    jj_slots_service_of(gateway->slots, software);
	const jj_route_t *route =
	    jj_routes_find(entry->routes, entry->route.text);

	if (service == NULL || route == NULL ||
	    !jj_route_allows(route, service)) {
		jj_gateway_give_up(gateway, entry, JJ_FAILURE_NO_SERVER, out);
		return;
	}
	entry->service = *service;
	entry->software = software;
	jj_gateway_dispatch(gateway, entry, now, out);
}

static bool
has_one_service(const jj_route_t *route)
{
	uint32_t i;

	for (i = 1; i < route->backend_count; i++)
		if (!jj_name_equal(&route->backends[i].service,
			&route->backends[0].service))
			return false;
	return true;
}

/**
 * The only software version that the stream's service had for longer than a
 * stream lasts, 0 when that is not known, or JJ_SOFTWARE_MIXED. A VM whose list
 * is some seconds old may have missed the newest version, so another VM has to
 * have read the list, too, and no VM may be left that knows better.
 */
static uint64_t
sole_software(const jj_gateway_t *gateway, const jj_gateway_entry_t *entry)
{
	if (entry->sole_software == JJ_SOFTWARE_MIXED)
		return JJ_SOFTWARE_MIXED;
	return entry->sole_is_sure && entry->replies_due == 0 &&
		!entry->is_vm_missing &&
		(entry->has_other_list || jj_member_count(gateway->member) == 0)
	    ? entry->sole_software
	    : 0;
}

/**
 * The only software version of a service that this VM saw in the last
 * @p stream_ms, 0 when it saw none, or JJ_SOFTWARE_MIXED.
 */
static uint64_t
seen_software(const jj_gateway_t *gateway, const jj_name_t *service,
    jj_ms_t stream_ms, jj_ms_t now)
{
	jj_ms_t confirmed_ms = gateway->servers_mirror.confirmed_ms;

	if (confirmed_ms == JJ_MS_NEVER || now - confirmed_ms >= stream_ms)
		return 0;
	return jj_slots_sole_software(gateway->slots, service, now - stream_ms);
}

/** True when this VM missed no server in the last @p stream_ms. */
static bool
has_seen_all(const jj_gateway_t *gateway, jj_ms_t stream_ms, jj_ms_t now)
{
	jj_ms_t confirmed_ms = gateway->servers_mirror.confirmed_ms;

	return confirmed_ms != JJ_MS_NEVER &&
	    now - confirmed_ms <= LIST_FRESH_MS &&
	    gateway->servers_since_ms != JJ_MS_NEVER &&
	    now - gateway->servers_since_ms >= stream_ms;
}

/** True when this VM has forgotten no stream of the last @p stream_ms. */
static bool
remembers_all(const jj_gateway_t *gateway, jj_ms_t stream_ms, jj_ms_t now)
{
	return stream_ms <= jj_stream_origins_keep_ms() &&
	    gateway->origins_since_ms != JJ_MS_NEVER &&
	    now - gateway->origins_since_ms >= stream_ms;
}

/**
 * True when a VM of the region that may know a stream can't be asked. One that
 * is cut off still begins streams; one that has left does not.
 */
static bool
is_any_vm_missing(const jj_gateway_t *gateway, jj_ms_t stream_ms, jj_ms_t now)
{
	const jj_name_t *region = &gateway->settings.member.domain;
	size_t count = jj_member_count(gateway->member);
	jj_member_info_t *infos = jj_alloc((count + 1) * sizeof(*infos));
	bool is_missing = false;
	size_t i;

	count = jj_member_list_all(gateway->member, infos, count);
	for (i = 0; i < count && !is_missing; i++)
		is_missing = jj_name_equal(&infos[i].domain, region) &&
		    !jj_member_is_live(gateway->member, &infos[i].name) &&
		    !(infos[i].state == JJ_VM_LEAVING &&
			now - infos[i].heard_ms >= stream_ms);
	free(infos);
	return is_missing;
}

/**
 * How long ago a stream that is taken up may have begun, ms. Its caller has
 * used up part of its wait, and other callers of the route have sent theirs.
 */
static jj_ms_t
longest_stream(const jj_gateway_t *gateway, const jj_gateway_entry_t *entry,
    const jj_route_t *route)
{
	jj_ms_t longest_ms = STREAM_MIN_MS;
	jj_ms_t budget_ms = jj_gateway_longest_budget(gateway, &route->name);

	if (route->timeout_ms > longest_ms)
		longest_ms = route->timeout_ms;
	if (budget_ms > longest_ms)
		longest_ms = budget_ms;
	if (entry->deadline_ms - entry->begun_ms > longest_ms)
		longest_ms = entry->deadline_ms - entry->begun_ms;
	return longest_ms;
}

/** What two VMs know together. */
static uint64_t
merge(uint64_t a, uint64_t b)
{
	if (a == 0 || b == 0)
		return a | b;
	return a == b ? a : JJ_SOFTWARE_MIXED;
}

/** How many software versions that is, for the log. */
static const char *
count_of(uint64_t software)
{
	if (software == 0)
		return "none";
	return software == JJ_SOFTWARE_MIXED ? "mixed" : "one";
}

/** Tells other VMs of the streams that began since the last time. */
static void
flush(jj_gateway_t *gateway, jj_actions_t *out)
{
	jj_member_info_t told[TOLD_NEAR + TOLD_FAR];
	GHashTable *messages;
	size_t count;
	uint32_t i;
	size_t k;

	if (gateway->new_origin_count == 0)
		return;
	messages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < gateway->new_origin_count; i++) {
		count = pick_vms(gateway, gateway->new_origins[i].content,
		    TOLD_NEAR, TOLD_FAR, told);
		for (k = 0; k < count; k++)
			add_origin(messages, &told[k].name,
			    &gateway->new_origins[i], out);
	}
	g_hash_table_destroy(messages);
	gateway->new_origin_count = 0;
}

/** Adds a stream to the message to that VM, which is created if need be. */
static void
add_origin(GHashTable *messages, const jj_name_t *to,
    const jj_stream_origin_t *origin, jj_actions_t *out)
{
	jj_message_t *message = g_hash_table_lookup(messages, to->text);

	if (message == NULL) {
		message =
		    jj_actions_add_message(out, to, JJ_MESSAGE_STREAM_ORIGINS);
		(void)g_hash_table_insert(
		    messages, g_strdup(to->text), message);
	}
	message->body.origins.origins[message->body.origins.count++] = *origin;
}
