/**
 * @file member.c
 * @brief Which VMs are live: whose messages are accepted, and who has become
 * unreachable.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/member_state.h"

/**
 * A gap between ticks of this many heartbeat intervals was a pause of this
 * process.
 */
#define PAUSE_ROUNDS 2
/** Interval between checks for VMs without heartbeats, ms. */
#define CHECK_INTERVAL_MS 50
/** Initial capacity of the table of VMs. */
#define PEERS_INITIAL 64

static jj_peer_t *find_peer(const jj_member_t *, const jj_name_t *);
static jj_peer_t *
add_peer(jj_member_t *, const jj_name_t *, const jj_name_t *, const char *);
static void remove_peer(jj_member_t *, jj_peer_t *);
static jj_peer_t *learn_sender(jj_member_t *, const jj_message_t *);
static bool accept_heartbeat(
    jj_member_t *, jj_peer_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void take_echo(
    jj_member_t *, jj_peer_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static bool
is_sign_of_life(const jj_member_t *, const jj_peer_t *, jj_ms_t, jj_ms_t);
static bool is_newer(const jj_peer_t *, jj_ms_t);
static void note_sign_of_life(
    jj_member_t *, jj_peer_t *, const char *, jj_ms_t, jj_ms_t, jj_actions_t *);
static void log_silence(const jj_peer_t *, jj_ms_t, jj_actions_t *);
static void reset_stats(jj_peer_t *);
static void note_tick_gap(jj_member_t *, jj_ms_t);
static void note_peer_gaps(jj_member_t *);
static void discount_pause(jj_member_t *, jj_ms_t);
static void check_silence(jj_member_t *, jj_ms_t, jj_actions_t *);

jj_member_t *
jj_member_create(const jj_member_settings_t *settings)
{
	jj_member_t *member = jj_alloc(sizeof(*member));

	JJ_INVARIANT(settings->suspect_ms > 0);
	member->settings = *settings;
	if (member->settings.lost_ms < settings->suspect_ms)
		member->settings.lost_ms = settings->suspect_ms;
	member->self.name = settings->name;
	member->self.domain = settings->domain;
	member->self.incarnation = settings->incarnation;
	member->self.live = true;
	member->self.state = JJ_VM_STARTING;
	(void)snprintf(member->self.address, sizeof(member->self.address), "%s",
	    settings->address);
	member->ticked_ms = JJ_MS_NEVER;
	member->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return member;
}

void
jj_member_destroy(jj_member_t *member)
{
	if (member == NULL)
		return;
	g_hash_table_destroy(member->by_name);
	while (member->peer_count > 0)
		free(member->peers[--member->peer_count]);
	free(member->peers);
	free(member->loads);
	free(member);
}

void
jj_member_add_vm(jj_member_t *member, const jj_name_t *name,
    const jj_name_t *domain, const char *address)
{
	jj_peer_t *peer;

	if (jj_name_equal(name, &member->self.name))
		return;
	peer = find_peer(member, name);
	/*
	 * The platform's list lags: what a live VM reports itself takes
	 * priority.
	 */
	if (peer != NULL && peer->info.live)
		return;
	if (peer != NULL && !jj_name_equal(&peer->info.domain, domain)) {
		remove_peer(member, peer);
		peer = NULL;
	}
	if (peer == NULL) {
		(void)add_peer(member, name, domain, address);
		return;
	}
	(void)snprintf(
	    peer->info.address, sizeof(peer->info.address), "%s", address);
}

bool
jj_member_accept(jj_member_t *member, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	jj_peer_t *peer = find_peer(member, &message->from);

	if (jj_name_equal(&message->from, &member->self.name))
		return false;
	if (message->kind == JJ_MESSAGE_HEARTBEAT)
		peer = learn_sender(member, message);
	if (peer == NULL)
		return false;
	if (message->kind == JJ_MESSAGE_PROBE) {
		jj_member_send_echo(message, out);
		return false;
	}
	if (message->kind == JJ_MESSAGE_PROBE_ECHO) {
		take_echo(member, peer, message, now, out);
		return false;
	}
	/*
	 * When a VM was replaced by one of the same name, late messages of the
	 * old process would count for the new one, such as a granted intent.
	 * Only the incarnation that answered a probe is accepted; an ended
	 * process cannot answer one.
	 */
	if (message->incarnation != peer->info.incarnation) {
		jj_member_send_probe(member, peer, now, out);
		return false;
	}
	/*
	 * A repeated or reordered message would restore outdated information,
	 * such as loads or a leaving state that ended. Each connection keeps
	 * the order, so a sequence that does not increase is stale.
	 */
	if (message->sequence <= peer->sequence)
		return false;
	peer->sequence = message->sequence;
	if (message->kind == JJ_MESSAGE_HEARTBEAT)
		return accept_heartbeat(member, peer, message, now, out);
	return true;
}

uint64_t
jj_member_last_sequence(const jj_member_t *member, const jj_name_t *name)
{
	const jj_peer_t *peer = find_peer(member, name);

	return peer != NULL ? peer->sequence : 0;
}

void
jj_member_stamp(jj_member_t *member, jj_message_t *message)
{
	message->from = member->self.name;
	message->incarnation = member->self.incarnation;
	message->sequence = ++member->sequence;
}

void
jj_member_tick(jj_member_t *member, jj_ms_t now, jj_actions_t *out)
{
	bool to_domain;

	note_tick_gap(member, now);
	discount_pause(member, now);
	member->ticked_ms = now;
	if (now >= member->next_check_ms) {
		note_peer_gaps(member);
		check_silence(member, now, out);
		member->next_check_ms = now + CHECK_INTERVAL_MS;
	}
	if (now < member->next_ms)
		return;
	member->next_ms = now + member->settings.heartbeat_ms;
	to_domain = now >= member->next_domain_ms;
	if (to_domain)
		member->next_domain_ms = now + jj_member_interval(member);
	jj_member_send_round(member, to_domain, now, out);
}

jj_ms_t
jj_member_interval(const jj_member_t *member)
{
	uint32_t vms = member->settings.heartbeat_vms;
	size_t factor = 0;

	if (vms > 0)
		factor = 2 * member->domain_peer_count / vms;
	return member->settings.heartbeat_ms *
	    (jj_ms_t)(factor > 1 ? factor : 1);
}

jj_ms_t
jj_member_suspect_ms(const jj_member_t *member, const jj_peer_t *peer)
{
	const jj_member_settings_t *settings = &member->settings;
	size_t factor = 1;

	if (settings->heartbeat_vms > 0 &&
	    jj_name_equal(&peer->info.domain, &member->self.domain))
		factor += member->domain_peer_count / settings->heartbeat_vms;
	return settings->suspect_ms * (jj_ms_t)factor;
}

jj_ms_t
jj_member_next(const jj_member_t *member)
{
	return member->next_ms;
}

void
jj_member_set_state(jj_member_t *member, jj_vm_state_t state)
{
	member->self.state = state;
	/* Notifies neighbours of a planned stop at once. */
	member->next_ms = 0;
	member->next_domain_ms = 0;
}

void
jj_member_set_versions(
    jj_member_t *member, uint64_t config_version, uint64_t slots_version)
{
	member->self.config_version = config_version;
	member->self.slots_version = slots_version;
}

void
jj_member_set_loads(jj_member_t *member, const jj_load_t *loads, uint32_t count)
{
	JJ_INVARIANT(count <= JJ_HEARTBEAT_LOADS_MAX);
	free(member->loads);
	member->loads = NULL;
	member->load_count = count;
	if (count == 0)
		return;
	member->loads = jj_alloc(count * sizeof(*loads));
	memcpy(member->loads, loads, count * sizeof(*loads));
}

uint64_t
jj_member_newest_config(const jj_member_t *member)
{
	uint64_t newest = 0;
	size_t i;

	for (i = 0; i < member->peer_count; i++)
		if (member->peers[i]->info.config_version > newest)
			newest = member->peers[i]->info.config_version;
	return newest;
}

void
jj_member_note_config(
    jj_member_t *member, const jj_name_t *name, uint64_t version)
{
	jj_peer_t *peer = find_peer(member, name);

	if (peer != NULL && peer->info.config_version < version)
		peer->info.config_version = version;
}

const jj_member_info_t *
jj_member_find(const jj_member_t *member, const jj_name_t *name)
{
	const jj_peer_t *peer;

	if (jj_name_equal(name, &member->self.name))
		return &member->self;
	peer = find_peer(member, name);
	return peer != NULL ? &peer->info : NULL;
}

bool
jj_member_is_live(const jj_member_t *member, const jj_name_t *name)
{
	const jj_peer_t *peer;

	if (jj_name_equal(name, &member->self.name))
		return true;
	peer = find_peer(member, name);
	return peer != NULL && jj_member_is_serving(&peer->info);
}

bool
jj_member_is_lost(const jj_member_t *member, const jj_name_t *name,
    jj_ms_t since, jj_ms_t now)
{
	const jj_member_info_t *info = jj_member_find(member, name);

	if (info == NULL)
		return true;
	if (info->live)
		return false;
	if (info->heard_ms != JJ_MS_NEVER && info->heard_ms > since)
		since = info->heard_ms;
	return since == 0 || now - since >= member->settings.lost_ms;
}

bool
jj_member_has_peer_in(const jj_member_t *member, const jj_name_t *domain)
{
	size_t i;

	for (i = 0; i < member->peer_count; i++)
		if (jj_name_equal(&member->peers[i]->info.domain, domain))
			return true;
	return false;
}

bool
jj_member_pop_arrival(jj_member_t *member, jj_name_t *name)
{
	size_t i;

	for (i = 0; member->has_arrivals && i < member->peer_count; i++) {
		jj_peer_t *peer = member->peers[i];

		if (!peer->arrival_pending)
			continue;
		peer->arrival_pending = false;
		*name = peer->info.name;
		return true;
	}
	member->has_arrivals = false;
	return false;
}

size_t
jj_member_list(const jj_member_t *member, const jj_name_t *domain,
    jj_member_info_t *infos, size_t most)
{
	bool own = jj_name_equal(domain, &member->self.domain) &&
	    jj_member_is_serving(&member->self);
	size_t count = 0;
	size_t i;

	for (i = 0; i < member->peer_count; i++) {
		const jj_member_info_t *info = &member->peers[i]->info;

		if (!jj_name_equal(&info->domain, domain) ||
		    !jj_member_is_serving(info))
			continue;
		if (own && count < most &&
		    strcmp(member->self.name.text, info->name.text) < 0) {
			infos[count++] = member->self;
			own = false;
		}
		if (count < most)
			infos[count++] = *info;
	}
	if (own && count < most)
		infos[count++] = member->self;
	return count;
}

size_t
jj_member_count(const jj_member_t *member)
{
	return member->peer_count;
}

size_t
jj_member_list_all(
    const jj_member_t *member, jj_member_info_t *infos, size_t most)
{
	size_t i;

	for (i = 0; i < member->peer_count && i < most; i++)
		infos[i] = member->peers[i]->info;
	return i;
}

bool
jj_member_choose(const jj_member_t *member, const jj_name_t *domain,
    uint64_t item, jj_name_t *chosen)
{
	uint64_t best = 0;
	bool found = false;
	size_t i;

	if (jj_name_equal(domain, &member->self.domain) &&
	    jj_member_is_serving(&member->self)) {
		best = jj_rendezvous_weight(member->self.name.text, item);
		*chosen = member->self.name;
		found = true;
	}
	for (i = 0; i < member->peer_count; i++) {
		const jj_member_info_t *info = &member->peers[i]->info;
		uint64_t weight;

		if (!jj_name_equal(&info->domain, domain) ||
		    !jj_member_is_serving(info))
			continue;
		weight = jj_rendezvous_weight(info->name.text, item);
		if (found && weight <= best)
			continue;
		best = weight;
		*chosen = info->name;
		found = true;
	}
	return found;
}

uint32_t
jj_member_rank(const jj_member_t *member, uint64_t item, uint32_t limit)
{
	uint64_t own = jj_rendezvous_weight(member->self.name.text, item);
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < member->peer_count && rank < limit; i++) {
		const jj_member_info_t *info = &member->peers[i]->info;

		rank += jj_rendezvous_weight(info->name.text, item) > own &&
		    jj_member_is_serving(info) &&
		    jj_name_equal(&info->domain, &member->self.domain);
	}
	return rank;
}

bool
jj_member_is_speaker(const jj_member_t *member)
{
	size_t i;

	if (!jj_member_is_serving(&member->self))
		return false;
	for (i = 0; i < member->peer_count; i++) {
		const jj_member_info_t *info = &member->peers[i]->info;

		if (jj_name_equal(&info->domain, &member->self.domain) &&
		    jj_member_is_serving(info) &&
		    strcmp(info->name.text, member->self.name.text) < 0)
			return false;
	}
	return true;
}

bool
jj_member_was_paused(const jj_member_t *member, jj_ms_t now, jj_ms_t limit)
{
	return member->ticked_ms != JJ_MS_NEVER &&
	    now - member->ticked_ms > limit;
}

bool
jj_member_is_serving(const jj_member_info_t *info)
{
	return info->live && info->state != JJ_VM_LEAVING;
}

static jj_peer_t *
find_peer(const jj_member_t *member, const jj_name_t *name)
{
	return g_hash_table_lookup(member->by_name, name->text);
}

static jj_peer_t *
add_peer(jj_member_t *member, const jj_name_t *name, const jj_name_t *domain,
    const char *address)
{
	jj_peer_t *peer;
	size_t at = 0;

	if (member->peer_count == member->peer_capacity) {
		member->peer_capacity =
		    2 * member->peer_capacity + PEERS_INITIAL;
		member->peers = jj_realloc(
		    member->peers, member->peer_capacity * sizeof(void *));
	}
	for (; at < member->peer_count; at++) {
		const jj_member_info_t *info = &member->peers[at]->info;
		int order = strcmp(info->domain.text, domain->text);

		if (order == 0)
			order = strcmp(info->name.text, name->text);
		if (order > 0)
			break;
	}
	peer = jj_alloc(sizeof(*peer));
	memmove(&member->peers[at + 1], &member->peers[at],
	    (member->peer_count - at) * sizeof(void *));
	member->peers[at] = peer;
	member->peer_count++;
	member->domain_peer_count +=
	    jj_name_equal(domain, &member->self.domain);
	peer->info.name = *name;
	peer->info.domain = *domain;
	peer->info.heard_ms = JJ_MS_NEVER;
	peer->probed_ms = JJ_MS_NEVER;
	peer->last_contact_ms = JJ_MS_NEVER;
	peer->acked_ms = JJ_MS_NEVER;
	reset_stats(peer);
	(void)snprintf(
	    peer->info.address, sizeof(peer->info.address), "%s", address);
	(void)g_hash_table_insert(member->by_name, peer->info.name.text, peer);
	return peer;
}

static void
remove_peer(jj_member_t *member, jj_peer_t *peer)
{
	size_t at = 0;

	while (member->peers[at] != peer)
		at++;
	(void)g_hash_table_remove(member->by_name, peer->info.name.text);
	member->domain_peer_count -=
	    jj_name_equal(&peer->info.domain, &member->self.domain);
	member->peer_count--;
	memmove(&member->peers[at], &member->peers[at + 1],
	    (member->peer_count - at) * sizeof(void *));
	free(peer);
}

/*
 * Heartbeats carry domain and address, so that a VM that the platform's list
 * does not contain yet (or no longer) can be probed.
 */
static jj_peer_t *
learn_sender(jj_member_t *member, const jj_message_t *message)
{
	jj_member_add_vm(member, &message->from,
	    &message->body.heartbeat.domain, message->body.heartbeat.address);
	return find_peer(member, &message->from);
}

static bool
accept_heartbeat(jj_member_t *member, jj_peer_t *peer,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	const jj_heartbeat_t *heartbeat = &message->body.heartbeat;
	jj_ms_t written = jj_member_ack_time(member, heartbeat->ack_sequence);

	peer->info.state = heartbeat->state;
	peer->info.config_version = heartbeat->config_version;
	peer->info.slots_version = heartbeat->slots_version;
	if (is_sign_of_life(member, peer, written, now)) {
		if (is_newer(peer, written))
			peer->acked_ms = written;
		note_sign_of_life(
		    member, peer, "heartbeat", peer->acked_ms, now, out);
	} else {
		peer->log_stats.ignored_heartbeats++;
		jj_member_send_probe(member, peer, now, out);
	}
	peer->log_stats.last_heartbeat_ms = now;
	return peer->info.live;
}

/*
 * True when a heartbeat counts as a sign of life.
 * @param written when the message that it acknowledges was sent, JJ_MS_NEVER:
 * not known.
 *
 * ZeroMQ delivers the queued heartbeats of a failed VM after a reconnect, all
 * with rising sequences: the failed VM would be taken as live and given work. A
 * queued heartbeat cannot acknowledge a message that was sent after it, so an
 * unreachable VM becomes live only by a fresh acknowledgement.
 *
 * For a live VM this rule is too strict: under load each round trip takes a
 * little longer than suspect_ms, and VMs that still send heartbeats would
 * suspect each other, take over each other's work and refuse each other's
 * calls. For a live VM an acknowledgement of something newer is enough: a
 * one-way cut stops it, and the queue of a failed VM ends.
 */
static bool
is_sign_of_life(const jj_member_t *member, const jj_peer_t *peer,
    jj_ms_t written, jj_ms_t now)
{
	jj_ms_t suspect_ms = jj_member_suspect_ms(member, peer);

	if (written == JJ_MS_NEVER)
		return false;
	if (now - written <= suspect_ms)
		return true;
	return peer->info.live && is_newer(peer, written) &&
	    now - written <= JJ_MEMBER_ACK_AGE_FACTOR * suspect_ms;
}

static bool
is_newer(const jj_peer_t *peer, jj_ms_t written)
{
	return peer->acked_ms == JJ_MS_NEVER || written > peer->acked_ms;
}

static void
take_echo(jj_member_t *member, jj_peer_t *peer, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	/* A late echo shows only that its sender was live at that time. */
	if (peer->nonce == 0 || message->body.nonce != peer->nonce ||
	    now - peer->probed_ms > member->settings.suspect_ms) {
		peer->log_stats.late_echoes++;
		return;
	}
	peer->nonce = 0;
	if (message->incarnation != peer->info.incarnation) {
		jj_actions_add_event(out, "vm_confirmed",
		    "peer=%s incarnation=%016llx replaced=%016llx",
		    peer->info.name.text,
		    (unsigned long long)message->incarnation,
		    (unsigned long long)peer->info.incarnation);
		peer->info.incarnation = message->incarnation;
		peer->arrival_pending = true;
		member->has_arrivals = true;
		peer->info.state = JJ_VM_STARTING;
		peer->info.config_version = 0;
		peer->info.slots_version = 0;
		peer->sequence = 0;
		peer->acked_ms = JJ_MS_NEVER;
	}
	if (message->sequence > peer->sequence)
		peer->sequence = message->sequence;
	note_sign_of_life(member, peer, "echo", peer->probed_ms, now, out);
}

/**
 * Notes a sign of life.
 * @param asked when this process sent the message that the sign of life
 * answers.
 */
static void
note_sign_of_life(jj_member_t *member, jj_peer_t *peer, const char *sign,
    jj_ms_t asked, jj_ms_t now, jj_actions_t *out)
{
	if (!peer->info.live)
		jj_actions_add_event(out, "vm_live",
		    "peer=%s domain=%s sign=%s round_trip_ms=%lld "
		    "heard_ms_ago=%lld uncounted=%u probes=%u late_echoes=%u",
		    peer->info.name.text, peer->info.domain.text, sign,
		    jj_ms_ago(asked, now), jj_ms_ago(peer->info.heard_ms, now),
		    peer->log_stats.ignored_heartbeats, peer->log_stats.probes,
		    peer->log_stats.late_echoes);
	peer->info.heard_ms = now;
	peer->last_contact_ms = now;
	reset_stats(peer);
	if (peer->info.live)
		return;
	peer->info.live = true;
	peer->arrival_pending = true;
	member->has_arrivals = true;
}

/*
 * The logged figures tell apart a VM that is gone (no heartbeat came), one
 * whose messages are delayed (heartbeats came that acknowledge old messages)
 * and a pause of this process.
 */
static void
log_silence(const jj_peer_t *peer, jj_ms_t now, jj_actions_t *out)
{
	jj_actions_add_event(out, "vm_silent",
	    "peer=%s domain=%s heard_ms_ago=%lld came_ms_ago=%lld "
	    "acked_ms_ago=%lld uncounted=%u probes=%u late_echoes=%u "
	    "own_gap_ms=%lld",
	    peer->info.name.text, peer->info.domain.text,
	    jj_ms_ago(peer->info.heard_ms, now),
	    jj_ms_ago(peer->log_stats.last_heartbeat_ms, now),
	    jj_ms_ago(peer->acked_ms, now), peer->log_stats.ignored_heartbeats,
	    peer->log_stats.probes, peer->log_stats.late_echoes,
	    (long long)peer->log_stats.gap_ms);
}

static void
reset_stats(jj_peer_t *peer)
{
	peer->log_stats = (jj_peer_stats_t){.last_heartbeat_ms = JJ_MS_NEVER};
}

static void
note_tick_gap(jj_member_t *member, jj_ms_t now)
{
	if (member->ticked_ms != JJ_MS_NEVER &&
	    now - member->ticked_ms > member->gap_ms)
		member->gap_ms = now - member->ticked_ms;
}

static void
note_peer_gaps(jj_member_t *member)
{
	size_t i;

	for (i = 0; i < member->peer_count; i++)
		if (member->peers[i]->log_stats.gap_ms < member->gap_ms)
			member->peers[i]->log_stats.gap_ms = member->gap_ms;
	member->gap_ms = 0;
}

/*
 * A process that was paused received nothing meanwhile. When it resumes, all
 * others would seem failed at once and their work would be taken over. So the
 * pause does not count against them: they have suspect_ms to send a sign of
 * life.
 */
static void
discount_pause(jj_member_t *member, jj_ms_t now)
{
	jj_ms_t usual = PAUSE_ROUNDS * member->settings.heartbeat_ms;
	jj_ms_t gap;
	size_t i;

	if (!jj_member_was_paused(member, now, usual))
		return;
	gap = now - member->ticked_ms;
	for (i = 0; i < member->peer_count; i++) {
		jj_peer_t *peer = member->peers[i];

		if (peer->info.live)
			peer->info.heard_ms += gap;
		if (peer->info.live && peer->info.heard_ms > now)
			peer->info.heard_ms = now;
	}
}

static void
check_silence(jj_member_t *member, jj_ms_t now, jj_actions_t *out)
{
	size_t i;

	for (i = member->peer_count; i-- > 0;) {
		jj_peer_t *peer = member->peers[i];

		if (peer->last_contact_ms == JJ_MS_NEVER)
			peer->last_contact_ms = now;
		if (peer->info.live &&
		    now - peer->info.heard_ms >=
			jj_member_suspect_ms(member, peer)) {
			peer->info.live = false;
			log_silence(peer, now, out);
		}
		if (!peer->info.live &&
		    now - peer->last_contact_ms >= member->settings.forget_ms)
			remove_peer(member, peer);
	}
}
