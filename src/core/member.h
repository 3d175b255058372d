/**
 * @file member.h
 * @brief Which VMs of this system are live, as seen from this one.
 *
 * Heartbeats go to every VM of this VM's domain. For another domain only the
 * speakers (the live VM with the smallest name of each) exchange heartbeats, so
 * that the number of messages grows with the VMs of a domain and the number of
 * domains, never with all VMs. A VM that receives nothing from the speaker of a
 * domain tries that domain's next VM.
 *
 * A process is identified by its name and its incarnation. Messages of an
 * unknown incarnation are dropped until it has echoed the nonce of a probe:
 * late messages of an ended process cannot answer a probe. A heartbeat makes an
 * unreachable VM live again only when it acknowledges a message that this
 * process sent recently (by its own clock); otherwise a queue of old
 * heartbeats, delivered after a reconnect, would make a failed VM live again. A
 * heartbeat without such an acknowledgement is answered by a probe instead; its
 * echo counts. A heartbeat or an echo that counts is called a sign of life. A
 * VM that is live stays live while its heartbeats acknowledge newer and newer
 * messages, however long they are in transit (JJ_MEMBER_ACK_AGE_FACTOR).
 *
 * In a domain of more than heartbeat_vms VMs the interval of heartbeats, and the
 * time until a VM is suspected, grow with the number of VMs, so that a VM sends
 * and receives about the same number of heartbeats a second.
 *
 * Missing heartbeats make a VM a suspect: it gets no new work. They do not
 * prove that it failed: its work is taken over only after lost_ms without a
 * heartbeat, or when its process was replaced.
 */
#ifndef JJ_CORE_MEMBER_H
#define JJ_CORE_MEMBER_H

#include "core/action.h"

/**
 * A heartbeat of a live VM counts while the message that it newly acknowledges
 * was sent at most this many times suspect_ms ago: one suspect_ms each for the
 * way there, the way back and the processing time of a loaded VM. A VM that
 * answers later than that is too slow to be given work, and is suspected.
 */
#define JJ_MEMBER_ACK_AGE_FACTOR 3

typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_incarnation_t incarnation;
	/** address under which neighbours reach this VM */
	char address[JJ_NAME_MAX + 1];
	jj_name_t failure_domain; /**< reported in heartbeats */
	jj_ms_t heartbeat_ms; /**< interval between heartbeats; default 500 */
	/**
	 * From so many other VMs in the domain on, the interval between
	 * heartbeats is twice heartbeat_ms for each so many of them, and the
	 * time until a VM is suspected is longer by suspect_ms for each; 0:
	 * they stay as they are.
	 */
	uint32_t heartbeat_vms;
	/** time without heartbeat until a VM is suspected; default 2000 */
	jj_ms_t suspect_ms;
	/**
	 * Time without heartbeat until a VM is taken as failed, so that its
	 * work may be taken over; raised to suspect_ms when it is less. 0:
	 * suspect_ms.
	 */
	jj_ms_t lost_ms;
	/** time without heartbeat until a VM is dropped; default 3600000 */
	jj_ms_t forget_ms;
	uint64_t seed; /**< seed of the nonces of probes */
} jj_member_settings_t;

/** What is known of one VM; read-only for callers. */
typedef struct {
	jj_name_t name;
	jj_name_t domain;
	char address[JJ_NAME_MAX + 1];
	jj_incarnation_t incarnation; /**< 0: not verified by a probe yet */
	bool live; /**< sent a sign of life within suspect_ms */
	jj_vm_state_t state;
	uint64_t config_version;
	uint64_t slots_version;
	/** time of the last sign of life; JJ_MS_NEVER: none */
	jj_ms_t heard_ms;
} jj_member_info_t;

typedef struct jj_member jj_member_t;

jj_member_t *jj_member_create(const jj_member_settings_t *settings);
void jj_member_destroy(jj_member_t *member);

/** Adds or updates a VM from settings or the platform's list (a hint only). */
void jj_member_add_vm(jj_member_t *member, const jj_name_t *name,
    const jj_name_t *domain, const char *address);
/**
 * Checks a message's sender, handles heartbeats and probes.
 * @return true when the message is from the verified incarnation, is newer than
 * the ones before (repeated and reordered messages are dropped by their
 * sequence) and may be handled by the other modules.
 */
bool jj_member_accept(jj_member_t *member, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/**
 * Fills in a message's sender, incarnation and sequence. Called once for each
 * JJ_ACTION_SEND, in the order in which the messages are sent.
 */
void jj_member_stamp(jj_member_t *member, jj_message_t *message);
/**
 * Highest sequence accepted from a VM's process, for acknowledgements; 0: none.
 */
uint64_t
jj_member_last_sequence(const jj_member_t *member, const jj_name_t *name);
/**
 * Earliest time at which a message that acknowledges this sequence can have
 * been written: when the round of heartbeats that it answers was sent.
 * JJ_MS_NEVER when that is no longer known.
 */
jj_ms_t jj_member_ack_time(const jj_member_t *member, uint64_t ack);
/** The newest configuration version that another VM has; 0: none. */
uint64_t jj_member_newest_config(const jj_member_t *member);
/**
 * Notes the configuration version that a VM reported other than by heartbeat.
 */
void jj_member_note_config(
    jj_member_t *member, const jj_name_t *name, uint64_t version);
/**
 * Sends heartbeats that are due (with the loads of jj_member_set_loads()) and
 * checks for VMs that sent none.
 */
void jj_member_tick(jj_member_t *member, jj_ms_t now, jj_actions_t *out);
/** Interval between heartbeats to the own domain, by its size. */
jj_ms_t jj_member_interval(const jj_member_t *member);
/** Time of the next tick. */
jj_ms_t jj_member_next(const jj_member_t *member);
/** Sets the state that the next heartbeats report. */
void jj_member_set_state(jj_member_t *member, jj_vm_state_t state);
void jj_member_set_versions(
    jj_member_t *member, uint64_t config_version, uint64_t slots_version);
void jj_member_set_loads(
    jj_member_t *member, const jj_load_t *loads, uint32_t count);

/**
 * The VM's entry or NULL; valid until the next call that changes the entries.
 */
const jj_member_info_t *
jj_member_find(const jj_member_t *member, const jj_name_t *name);
/** True for this VM itself and for live VMs that are not leaving. */
bool jj_member_is_live(const jj_member_t *member, const jj_name_t *name);
/**
 * True when a VM is taken as failed: not known, or no sign of life for lost_ms.
 * @param since when another source last showed it live, 0: no such source. The
 * time without a sign of life counts from this or from the last sign of life,
 * whichever is later.
 */
bool jj_member_is_lost(const jj_member_t *member, const jj_name_t *name,
    jj_ms_t since, jj_ms_t now);
/** True when another VM of that domain is known, live or not. */
bool jj_member_has_peer_in(const jj_member_t *member, const jj_name_t *domain);
/**
 * Returns, one at a time, the VMs that became live or restarted since they were
 * last returned: they may have missed notifications meanwhile. False when none
 * is left.
 */
bool jj_member_pop_arrival(jj_member_t *member, jj_name_t *name);
/**
 * Lists the live VMs of a domain, ordered by name, with this VM if it belongs
 * there.
 * @return how many; at most @p most are written.
 */
size_t jj_member_list(const jj_member_t *member, const jj_name_t *domain,
    jj_member_info_t *infos, size_t most);
/** How many other VMs are known, live or not. */
size_t jj_member_count(const jj_member_t *member);
/** All VMs known, live or not. */
size_t jj_member_list_all(
    const jj_member_t *member, jj_member_info_t *infos, size_t most);
/**
 * Chooses the domain's live VM with the greatest rendezvous weight for an item.
 */
bool jj_member_choose(const jj_member_t *member, const jj_name_t *domain,
    uint64_t item, jj_name_t *chosen);
/**
 * How many live VMs of this VM's domain have a greater rendezvous weight for an
 * item than it has; counted up to @p limit.
 */
uint32_t
jj_member_rank(const jj_member_t *member, uint64_t item, uint32_t limit);
/** True when this VM is the speaker of its domain. */
bool jj_member_is_speaker(const jj_member_t *member);
/**
 * True when this process was paused: more than @p limit has passed since the
 * last tick (a VM that resumes after a pause, story 31). Messages that were
 * queued meanwhile can't make it act on outdated information: heartbeats count
 * only with a fresh acknowledgement, leases are checked before each operation,
 * ledger messages carry epochs. The caller logs the pause.
 */
bool
jj_member_was_paused(const jj_member_t *member, jj_ms_t now, jj_ms_t limit);

#endif
