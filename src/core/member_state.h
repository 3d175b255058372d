/**
 * @file member_state.h
 * @brief Private state and functions that member.c and member_signal.c share.
 */
#ifndef JJ_CORE_MEMBER_STATE_H
#define JJ_CORE_MEMBER_STATE_H

#include <glib.h>

#include "core/member.h"

/** Number of heartbeat rounds whose sequence and time are kept. */
#define JJ_MEMBER_ROUNDS_MAX 128

/** First sequence of a heartbeat round, and when it was sent. */
typedef struct {
	uint64_t sequence;
	jj_ms_t sent_ms;
} jj_round_t;

/** Counts since a VM's last sign of life, for log lines. */
typedef struct {
	/** heartbeats that did not count as a sign of life */
	uint32_t ignored_heartbeats;
	/** time of the last heartbeat, JJ_MS_NEVER: none */
	jj_ms_t last_heartbeat_ms;
	uint32_t probes; /**< probes sent to it */
	uint32_t late_echoes; /**< echoes of probes that had timed out */
	jj_ms_t gap_ms; /**< longest gap between two ticks of this process */
} jj_peer_stats_t;

/** A VM with the private state of this module. */
typedef struct {
	jj_member_info_t info;
	/** highest sequence accepted from its incarnation */
	uint64_t sequence;
	uint64_t nonce; /**< nonce of the current probe, 0: none */
	jj_ms_t probed_ms; /**< when that nonce was first sent */
	jj_ms_t next_probe_ms; /**< no probe is sent before */
	/**
	 * last sign of life, or first tick since it was added; for forget_ms
	 */
	jj_ms_t last_contact_ms;
	/**
	 * When the message that it acknowledged last was sent; JJ_MS_NEVER:
	 * none.
	 */
	jj_ms_t acked_ms;
	jj_peer_stats_t log_stats;
	/**
	 * became live or restarted, and not yet returned by
	 * jj_member_pop_arrival()
	 */
	bool arrival_pending;
} jj_peer_t;

struct jj_member {
	jj_member_settings_t settings;
	jj_member_info_t self;
	uint64_t sequence;
	uint64_t nonce_count;
	jj_ms_t ticked_ms; /**< JJ_MS_NEVER before the first tick */
	jj_ms_t gap_ms; /**< longest gap between ticks since the last check */
	jj_ms_t next_check_ms; /**< next check for VMs without heartbeats */
	jj_ms_t next_ms;
	jj_ms_t next_domain_ms; /**< next round to the own domain */
	jj_round_t rounds[JJ_MEMBER_ROUNDS_MAX];
	uint64_t round_count;
	uint32_t load_count;
	jj_load_t *loads; /**< owned */
	size_t peer_count;
	size_t peer_capacity; /**< that fit into the array */
	size_t domain_peer_count; /**< of them, in the own domain */
	jj_peer_t **peers; /**< owned; ordered by domain and name */
	GHashTable *by_name; /**< index of the peers */
	bool has_arrivals; /**< some peer may have arrival_pending set */
};

/** Time without heartbeat until that VM is suspected. */
jj_ms_t jj_member_suspect_ms(const jj_member_t *member, const jj_peer_t *peer);

/** True when the VM may be given work: live and not leaving. */
bool jj_member_is_serving(const jj_member_info_t *info);

/**
 * Sends a round of heartbeats: to the own domain when @p to_domain is set, and
 * to other domains when this VM is the speaker.
 */
void jj_member_send_round(
    jj_member_t *member, bool to_domain, jj_ms_t now, jj_actions_t *out);
/**
 * Probes a VM, at most once per heartbeat_ms. The same nonce is sent again
 * while an echo may still come in time.
 */
void jj_member_send_probe(
    jj_member_t *member, jj_peer_t *peer, jj_ms_t now, jj_actions_t *out);
/** Echoes the nonce of a probe. */
void jj_member_send_echo(const jj_message_t *probe, jj_actions_t *out);

#endif
