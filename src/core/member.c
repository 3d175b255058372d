/**
 * @file member.c
 * @brief Heartbeats, probes and the view of live VMs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/member.h"

/** Rounds of heartbeats whose sequence and time are kept. */
#define ROUNDS_MAX 128
/** A remote speaker silent for so many rounds is probed. */
#define PROBE_AFTER_ROUNDS 2
/** A gap between ticks this many heartbeats long was a pause of ours. */
#define PAUSE_ROUNDS 2

/** First sequence of a round of heartbeats, and when it was sent. */
typedef struct {
	uint64_t sequence;
	jj_ms_t sent_ms;
} round_t;

/** A VM with what only this module needs. */
typedef struct {
	jj_member_info_t info;
	uint64_t sequence; /**< highest accepted of that incarnation */
	uint64_t nonce; /**< of the probe under way, 0: none */
	jj_ms_t probed_ms;
	jj_ms_t known_ms; /**< last sign of any kind; for forget_ms */
} peer_t;

struct jj_member {
	jj_member_settings_t settings;
	jj_member_info_t self;
	uint64_t sequence;
	uint64_t nonce_count;
	jj_ms_t ticked_ms; /**< JJ_MS_NEVER before the first tick */
	jj_ms_t next_ms;
	round_t rounds[ROUNDS_MAX];
	uint64_t round_count;
	uint32_t load_count;
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	size_t peer_count;
	peer_t peers[JJ_MEMBERS_MAX]; /**< ordered by domain and name */
};

static peer_t *find_peer(const jj_member_t *, const jj_name_t *);
static peer_t *
add_peer(jj_member_t *, const jj_name_t *, const jj_name_t *, const char *);
static void remove_peer(jj_member_t *, size_t);
static peer_t *learn_sender(jj_member_t *, const jj_message_t *);
static bool accept_heartbeat(
    jj_member_t *, peer_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void take_echo(
    jj_member_t *, peer_t *, const jj_message_t *, jj_ms_t, jj_actions_t *);
static void send_probe(jj_member_t *, peer_t *, jj_ms_t, jj_actions_t *);
static void send_echo(const jj_message_t *, jj_actions_t *);
static void send_heartbeat(const jj_member_t *, const peer_t *, jj_actions_t *);
static void send_round(jj_member_t *, jj_ms_t, jj_actions_t *);
static void send_to_speakers(jj_member_t *, jj_ms_t, jj_actions_t *);
static void
send_to_domain(jj_member_t *, size_t, size_t, jj_ms_t, jj_actions_t *);
static bool is_ack_fresh(const jj_member_t *, uint64_t, jj_ms_t);
static void note_heard(jj_member_t *, peer_t *, jj_ms_t, jj_actions_t *);
static void excuse_pause(jj_member_t *, jj_ms_t);
static void judge_silence(jj_member_t *, jj_ms_t, jj_actions_t *);
static bool is_serving(const jj_member_info_t *);

jj_member_t *
jj_member_create(const jj_member_settings_t *settings)
{
	jj_member_t *member = jj_alloc(sizeof(*member));

	member->settings = *settings;
	member->self.name = settings->name;
	member->self.domain = settings->domain;
	member->self.incarnation = settings->incarnation;
	member->self.live = true;
	member->self.state = JJ_VM_STARTING;
	(void)snprintf(member->self.address, sizeof(member->self.address), "%s",
	    settings->address);
	member->ticked_ms = JJ_MS_NEVER;
	return member;
}

void
jj_member_destroy(jj_member_t *member)
{
	free(member);
}

void
jj_member_learn(jj_member_t *member, const jj_name_t *name,
    const jj_name_t *domain, const char *address)
{
	peer_t *peer;

	if (jj_name_equal(name, &member->self.name))
		return;
	peer = find_peer(member, name);
	/* The platform's list lags: what a live VM says of itself goes first.
	 */
	if (peer != NULL && peer->info.live)
		return;
	if (peer != NULL && !jj_name_equal(&peer->info.domain, domain)) {
		remove_peer(member, (size_t)(peer - member->peers));
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
	peer_t *peer = find_peer(member, &message->from);

	if (jj_name_equal(&message->from, &member->self.name))
		return false;
	if (message->kind == JJ_MESSAGE_HEARTBEAT)
		peer = learn_sender(member, message);
	if (peer == NULL)
		return false;
	if (message->kind == JJ_MESSAGE_PROBE) {
		send_echo(message, out);
		return false;
	}
	if (message->kind == JJ_MESSAGE_PROBE_ECHO) {
		take_echo(member, peer, message, now, out);
		return false;
	}
	/* A VM was replaced by one of the same name: late messages of the old
	 * process would count for the new one, a granted intent for instance.
	 * Only the incarnation that answered a probe is listened to; a dead
	 * process cannot answer one. */
	if (message->incarnation != peer->info.incarnation) {
		send_probe(member, peer, now, out);
		return false;
	}
	/* A repeated or reordered message brings back old news, such as loads
	 * or a leaving state that ended. Each connection keeps the order, so
	 * what does not rise is stale. */
	if (message->sequence <= peer->sequence)
		return false;
	peer->sequence = message->sequence;
	if (message->kind == JJ_MESSAGE_HEARTBEAT)
		return accept_heartbeat(member, peer, message, now, out);
	return true;
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
	excuse_pause(member, now);
	member->ticked_ms = now;
	judge_silence(member, now, out);
	if (now < member->next_ms)
		return;
	member->next_ms = now + member->settings.heartbeat_ms;
	send_round(member, now, out);
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
	/* Neighbours shall hear of a planned stop at once. */
	member->next_ms = 0;
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
	if (count > JJ_MESSAGE_LOADS_MAX)
		count = JJ_MESSAGE_LOADS_MAX;
	member->load_count = count;
	if (count > 0)
		memcpy(member->loads, loads, count * sizeof(*loads));
}

const jj_member_info_t *
jj_member_find(const jj_member_t *member, const jj_name_t *name)
{
	const peer_t *peer;

	if (jj_name_equal(name, &member->self.name))
		return &member->self;
	peer = find_peer(member, name);
	return peer != NULL ? &peer->info : NULL;
}

bool
jj_member_is_live(const jj_member_t *member, const jj_name_t *name)
{
	const peer_t *peer;

	if (jj_name_equal(name, &member->self.name))
		return true;
	peer = find_peer(member, name);
	return peer != NULL && is_serving(&peer->info);
}

size_t
jj_member_list(const jj_member_t *member, const jj_name_t *domain,
    jj_member_info_t *infos, size_t most)
{
	bool own = jj_name_equal(domain, &member->self.domain) &&
	    is_serving(&member->self);
	size_t count = 0;
	size_t i;

	for (i = 0; i < member->peer_count; i++) {
		const jj_member_info_t *info = &member->peers[i].info;

		if (!jj_name_equal(&info->domain, domain) || !is_serving(info))
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
jj_member_list_all(
    const jj_member_t *member, jj_member_info_t *infos, size_t most)
{
	size_t i;

	for (i = 0; i < member->peer_count && i < most; i++)
		infos[i] = member->peers[i].info;
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
	    is_serving(&member->self)) {
		best = jj_rendezvous_weight(member->self.name.text, item);
		*chosen = member->self.name;
		found = true;
	}
	for (i = 0; i < member->peer_count; i++) {
		const jj_member_info_t *info = &member->peers[i].info;
		uint64_t weight;

		if (!jj_name_equal(&info->domain, domain) || !is_serving(info))
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

bool
jj_member_is_speaker(const jj_member_t *member)
{
	size_t i;

	if (!is_serving(&member->self))
		return false;
	for (i = 0; i < member->peer_count; i++) {
		const jj_member_info_t *info = &member->peers[i].info;

		if (jj_name_equal(&info->domain, &member->self.domain) &&
		    is_serving(info) &&
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

static bool
is_serving(const jj_member_info_t *info)
{
	return info->live && info->state != JJ_VM_LEAVING;
}

static peer_t *
find_peer(const jj_member_t *member, const jj_name_t *name)
{
	size_t i;

	for (i = 0; i < member->peer_count; i++)
		if (jj_name_equal(&member->peers[i].info.name, name))
			return (peer_t *)&member->peers[i];
	return NULL;
}

static peer_t *
add_peer(jj_member_t *member, const jj_name_t *name, const jj_name_t *domain,
    const char *address)
{
	peer_t *peer;
	size_t at = 0;

	if (member->peer_count == JJ_MEMBERS_MAX)
		return NULL;
	for (; at < member->peer_count; at++) {
		const jj_member_info_t *info = &member->peers[at].info;
		int order = strcmp(info->domain.text, domain->text);

		if (order == 0)
			order = strcmp(info->name.text, name->text);
		if (order > 0)
			break;
	}
	peer = &member->peers[at];
	memmove(peer + 1, peer, (member->peer_count - at) * sizeof(*peer));
	member->peer_count++;
	memset(peer, 0, sizeof(*peer));
	peer->info.name = *name;
	peer->info.domain = *domain;
	peer->info.heard_ms = JJ_MS_NEVER;
	peer->probed_ms = JJ_MS_NEVER;
	peer->known_ms = JJ_MS_NEVER;
	(void)snprintf(
	    peer->info.address, sizeof(peer->info.address), "%s", address);
	return peer;
}

static void
remove_peer(jj_member_t *member, size_t at)
{
	peer_t *peer = &member->peers[at];

	member->peer_count--;
	memmove(peer, peer + 1, (member->peer_count - at) * sizeof(*peer));
}

/* Heartbeats carry domain and address, so that a VM the platform's list does
 * not show yet (or no longer) can be probed. */
static peer_t *
learn_sender(jj_member_t *member, const jj_message_t *message)
{
	jj_member_learn(member, &message->from, &message->body.heartbeat.domain,
	    message->body.heartbeat.address);
	return find_peer(member, &message->from);
}

static bool
accept_heartbeat(jj_member_t *member, peer_t *peer, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_heartbeat_t *heartbeat = &message->body.heartbeat;

	peer->info.state = heartbeat->state;
	peer->info.config_version = heartbeat->config_version;
	peer->info.slots_version = heartbeat->slots_version;
	/* ZeroMQ delivers a dead VM's queued heartbeats after a reconnect,
	 * all with rising sequences: the dead would be taken for live and
	 * given work. A queued heartbeat cannot acknowledge what was sent
	 * after it, so only a fresh acknowledgement is a sign of life. */
	if (is_ack_fresh(member, heartbeat->ack_sequence, now))
		note_heard(member, peer, now, out);
	else
		send_probe(member, peer, now, out);
	return peer->info.live;
}

static void
take_echo(jj_member_t *member, peer_t *peer, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	/* An echo that comes late shows only that its sender lived then. */
	if (peer->nonce == 0 || message->body.nonce != peer->nonce ||
	    now - peer->probed_ms > member->settings.suspect_ms)
		return;
	peer->nonce = 0;
	if (message->incarnation != peer->info.incarnation) {
		jj_actions_add_event(out, "vm_confirmed",
		    "vm=%s incarnation=%016llx replaced=%016llx",
		    peer->info.name.text,
		    (unsigned long long)message->incarnation,
		    (unsigned long long)peer->info.incarnation);
		peer->info.incarnation = message->incarnation;
		peer->info.state = JJ_VM_STARTING;
		peer->info.config_version = 0;
		peer->info.slots_version = 0;
		peer->sequence = 0;
	}
	if (message->sequence > peer->sequence)
		peer->sequence = message->sequence;
	note_heard(member, peer, now, out);
}

static void
send_probe(jj_member_t *member, peer_t *peer, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t *message;

	if (peer->probed_ms != JJ_MS_NEVER &&
	    now - peer->probed_ms < member->settings.heartbeat_ms)
		return;
	member->nonce_count++;
	peer->nonce = jj_hash_bytes(&member->nonce_count,
	    sizeof(member->nonce_count), member->settings.seed);
	if (peer->nonce == 0)
		peer->nonce = 1;
	peer->probed_ms = now;
	message =
	    jj_actions_add_message(out, &peer->info.name, JJ_MESSAGE_PROBE);
	message->body.nonce = peer->nonce;
}

static void
send_echo(const jj_message_t *probe, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, &probe->from, JJ_MESSAGE_PROBE_ECHO);

	message->body.nonce = probe->body.nonce;
}

static void
send_heartbeat(const jj_member_t *member, const peer_t *peer, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, &peer->info.name, JJ_MESSAGE_HEARTBEAT);
	jj_heartbeat_t *heartbeat = &message->body.heartbeat;

	heartbeat->state = member->self.state;
	heartbeat->domain = member->self.domain;
	memcpy(heartbeat->address, member->self.address,
	    sizeof(heartbeat->address));
	heartbeat->config_version = member->self.config_version;
	heartbeat->slots_version = member->self.slots_version;
	heartbeat->ack_sequence = peer->sequence;
	/* Loads decide about the own domain's servers only. */
	if (!jj_name_equal(&peer->info.domain, &member->self.domain))
		return;
	heartbeat->load_count = member->load_count;
	memcpy(heartbeat->loads, member->loads,
	    member->load_count * sizeof(*member->loads));
}

static void
send_round(jj_member_t *member, jj_ms_t now, jj_actions_t *out)
{
	round_t *round = &member->rounds[member->round_count % ROUNDS_MAX];
	size_t i;

	round->sequence = member->sequence + 1;
	round->sent_ms = now;
	member->round_count++;
	for (i = 0; i < member->peer_count; i++) {
		const peer_t *peer = &member->peers[i];

		if (jj_name_equal(&peer->info.domain, &member->self.domain))
			send_heartbeat(member, peer, out);
	}
	if (jj_member_is_speaker(member))
		send_to_speakers(member, now, out);
}

static void
send_to_speakers(jj_member_t *member, jj_ms_t now, jj_actions_t *out)
{
	size_t start;
	size_t end;

	for (start = 0; start < member->peer_count; start = end) {
		const jj_name_t *domain = &member->peers[start].info.domain;

		end = start;
		while (end < member->peer_count &&
		    jj_name_equal(&member->peers[end].info.domain, domain))
			end++;
		if (!jj_name_equal(domain, &member->self.domain))
			send_to_domain(member, start, end, now, out);
	}
}

/* One VM of another domain is sent heartbeats: its live VM with the smallest
 * name; while none is live its VMs are tried in turn, each for suspect_ms, so
 * that a dead speaker does not cut its whole domain off. */
static void
send_to_domain(jj_member_t *member, size_t start, size_t end, jj_ms_t now,
    jj_actions_t *out)
{
	size_t turn = (size_t)(now / member->settings.suspect_ms);
	jj_ms_t quiet = PROBE_AFTER_ROUNDS * member->settings.heartbeat_ms;
	size_t speaker = start;
	const jj_member_info_t *info;

	while (speaker < end && !is_serving(&member->peers[speaker].info))
		speaker++;
	/* The two domains must not settle on pairs that differ: their true
	 * speaker is perhaps one before, not heard of yet. */
	if (speaker > start && speaker < end)
		send_probe(member,
		    &member->peers[start + turn % (speaker - start)], now, out);
	if (speaker == end)
		speaker = start + turn % (end - start);
	send_heartbeat(member, &member->peers[speaker], out);
	/* It may not take us for our domain's speaker and then sends no
	 * heartbeats; a probe shows that it lives all the same. */
	info = &member->peers[speaker].info;
	if (info->heard_ms == JJ_MS_NEVER || now - info->heard_ms >= quiet)
		send_probe(member, &member->peers[speaker], now, out);
}

/* True when the acknowledged message was sent within suspect_ms. */
static bool
is_ack_fresh(const jj_member_t *member, uint64_t ack, jj_ms_t now)
{
	uint64_t i;

	/* An acknowledgement of what an earlier process of this VM sent. */
	if (ack > member->sequence)
		return false;
	for (i = 0; i < ROUNDS_MAX && i < member->round_count; i++) {
		const round_t *round =
		    &member->rounds[(member->round_count - 1 - i) % ROUNDS_MAX];

		if (now - round->sent_ms > member->settings.suspect_ms)
			return false;
		if (ack >= round->sequence)
			return true;
	}
	return false;
}

static void
note_heard(jj_member_t *member, peer_t *peer, jj_ms_t now, jj_actions_t *out)
{
	(void)member;
	peer->info.heard_ms = now;
	peer->known_ms = now;
	if (peer->info.live)
		return;
	peer->info.live = true;
	jj_actions_add_event(out, "vm_live", "vm=%s domain=%s",
	    peer->info.name.text, peer->info.domain.text);
}

/* A process that was frozen heard nobody meanwhile. When it wakes all others
 * would look dead at once and their work would be taken over. The pause is
 * not counted as their silence: they have suspect_ms to be heard again. */
static void
excuse_pause(jj_member_t *member, jj_ms_t now)
{
	jj_ms_t usual = PAUSE_ROUNDS * member->settings.heartbeat_ms;
	jj_ms_t gap;
	size_t i;

	if (!jj_member_was_paused(member, now, usual))
		return;
	gap = now - member->ticked_ms;
	for (i = 0; i < member->peer_count; i++) {
		peer_t *peer = &member->peers[i];

		if (peer->info.live)
			peer->info.heard_ms += gap;
		if (peer->info.live && peer->info.heard_ms > now)
			peer->info.heard_ms = now;
	}
}

static void
judge_silence(jj_member_t *member, jj_ms_t now, jj_actions_t *out)
{
	size_t i;

	for (i = member->peer_count; i-- > 0;) {
		peer_t *peer = &member->peers[i];

		if (peer->known_ms == JJ_MS_NEVER)
			peer->known_ms = now;
		if (peer->info.live &&
		    now - peer->info.heard_ms >= member->settings.suspect_ms) {
			peer->info.live = false;
			jj_actions_add_event(out, "vm_silent",
			    "vm=%s domain=%s", peer->info.name.text,
			    peer->info.domain.text);
		}
		if (!peer->info.live &&
		    now - peer->known_ms >= member->settings.forget_ms)
			remove_peer(member, i);
	}
}
