/**
 * @file member_signal.c
 * @brief The signs of life that a VM sends: heartbeats, probes and echoes.
 */
#include <string.h>

#include "core/member_state.h"

/**
 * The speaker of another domain is probed after so many intervals without a
 * heartbeat.
 */
#define PROBE_AFTER_ROUNDS 2

static void begin_probe(jj_member_t *, jj_peer_t *, jj_ms_t);
static void
send_heartbeat(const jj_member_t *, const jj_peer_t *, jj_actions_t *);
static void send_to_speakers(jj_member_t *, jj_ms_t, jj_actions_t *);
static void
send_to_domain(jj_member_t *, size_t, size_t, jj_ms_t, jj_actions_t *);

void
jj_member_send_probe(
    jj_member_t *member, jj_peer_t *peer, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t *message;

	if (now < peer->next_probe_ms)
		return;
	peer->next_probe_ms = now + member->settings.heartbeat_ms;
	if (peer->nonce == 0 ||
	    now - peer->probed_ms > member->settings.suspect_ms)
		begin_probe(member, peer, now);
	peer->log_stats.probes++;
	message =
	    jj_actions_add_message(out, &peer->info.name, JJ_MESSAGE_PROBE);
	message->body.nonce = peer->nonce;
}

void
jj_member_send_echo(const jj_message_t *probe, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, &probe->from, JJ_MESSAGE_PROBE_ECHO);

	message->body.nonce = probe->body.nonce;
}

void
jj_member_send_round(
    jj_member_t *member, bool to_domain, jj_ms_t now, jj_actions_t *out)
{
	jj_round_t *round =
	    &member->rounds[member->round_count % JJ_MEMBER_ROUNDS_MAX];
	size_t i;

	round->sequence = member->sequence + 1;
	round->sent_ms = now;
	member->round_count++;
	for (i = 0; to_domain && i < member->peer_count; i++) {
		const jj_peer_t *peer = member->peers[i];

		if (jj_name_equal(&peer->info.domain, &member->self.domain))
			send_heartbeat(member, peer, out);
	}
	if (jj_member_is_speaker(member))
		send_to_speakers(member, now, out);
}

jj_ms_t
jj_member_ack_time(const jj_member_t *member, uint64_t ack)
{
	uint64_t i;

	/* It acknowledges a message of an earlier process of this VM. */
	if (ack > member->sequence)
		return JJ_MS_NEVER;
	for (i = 0; i < JJ_MEMBER_ROUNDS_MAX && i < member->round_count; i++) {
		const jj_round_t *round =
		    &member->rounds[(member->round_count - 1 - i) %
			JJ_MEMBER_ROUNDS_MAX];

		if (ack >= round->sequence)
			return round->sent_ms;
	}
	return JJ_MS_NEVER;
}

/*
 * Guards against a new nonce with each probe: an echo in transit for longer
 * than heartbeat_ms would always answer the probe before, and a VM behind a
 * slow link would never become live again. The time of the first probe with a
 * nonce counts, as the echo proves no later sign of life.
 */
static void
begin_probe(jj_member_t *member, jj_peer_t *peer, jj_ms_t now)
{
	member->nonce_count++;
	peer->nonce = jj_hash_bytes(&member->nonce_count,
	    sizeof(member->nonce_count), member->settings.seed);
	if (peer->nonce == 0)
		peer->nonce = 1;
	peer->probed_ms = now;
}

static void
send_heartbeat(
    const jj_member_t *member, const jj_peer_t *peer, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, &peer->info.name, JJ_MESSAGE_HEARTBEAT);
	jj_heartbeat_t *heartbeat = &message->body.heartbeat;

	heartbeat->state = member->self.state;
	heartbeat->domain = member->self.domain;
	heartbeat->failure_domain = member->settings.failure_domain;
	memcpy(heartbeat->address, member->self.address,
	    sizeof(heartbeat->address));
	heartbeat->config_version = member->self.config_version;
	heartbeat->slots_version = member->self.slots_version;
	heartbeat->ack_sequence = peer->sequence;
	/*
	 * Loads only influence the choice among servers of the VM's own domain.
	 */
	if (member->load_count == 0 ||
	    !jj_name_equal(&peer->info.domain, &member->self.domain))
		return;
	heartbeat->load_count = member->load_count;
	heartbeat->loads =
	    jj_alloc(member->load_count * sizeof(*member->loads));
	memcpy(heartbeat->loads, member->loads,
	    member->load_count * sizeof(*member->loads));
}

static void
send_to_speakers(jj_member_t *member, jj_ms_t now, jj_actions_t *out)
{
	size_t start;
	size_t end;

	for (start = 0; start < member->peer_count; start = end) {
		const jj_name_t *domain = &member->peers[start]->info.domain;

		end = start;
		while (end < member->peer_count &&
		    jj_name_equal(&member->peers[end]->info.domain, domain))
			end++;
		if (!jj_name_equal(domain, &member->self.domain))
			send_to_domain(member, start, end, now, out);
	}
}

/*
 * Sends heartbeats to one VM of another domain: its live VM with the smallest
 * name. While none is live its VMs are tried in rotation, each for suspect_ms,
 * so that a failed speaker does not cut off its whole domain.
 */
static void
send_to_domain(jj_member_t *member, size_t start, size_t end, jj_ms_t now,
    jj_actions_t *out)
{
	size_t rotation = (size_t)(now / member->settings.suspect_ms);
	jj_ms_t probe_after_ms =
	    PROBE_AFTER_ROUNDS * member->settings.heartbeat_ms;
	size_t speaker = start;
	const jj_member_info_t *info;

	JJ_INVARIANT(start < end);
	while (speaker < end &&
	    !jj_member_is_serving(&member->peers[speaker]->info))
		speaker++;
	/*
	 * The two domains must not settle on different pairs of speakers: the
	 * true speaker of the other domain may be a VM with a smaller name that
	 * is not known as live yet.
	 */
	if (speaker > start && speaker < end)
		jj_member_send_probe(member,
		    member->peers[start + rotation % (speaker - start)], now,
		    out);
	if (speaker == end)
		speaker = start + rotation % (end - start);
	send_heartbeat(member, member->peers[speaker], out);
	/*
	 * That VM may not know this one as its domain's speaker and then sends
	 * no heartbeats; a probe shows that it is live all the same.
	 */
	info = &member->peers[speaker]->info;
	if (info->heard_ms == JJ_MS_NEVER ||
	    now - info->heard_ms >= probe_after_ms)
		jj_member_send_probe(member, member->peers[speaker], now, out);
}
