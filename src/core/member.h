/**
 * @file member.h
 * @brief Which VMs of ours are alive, as seen from this one.
 *
 * Heartbeats go to every VM of the own failure domain; of the VMs of another
 * domain only the speaker (its live VM with the smallest name) exchanges
 * heartbeats with our speaker, so that messages grow with a domain's VMs and
 * with the number of domains, never with all VMs. A VM that hears nothing
 * from a domain's speaker tries that domain's next one.
 *
 * A process is its name plus its incarnation. A message of an unknown
 * incarnation is held to be nothing until a probe's nonce has come back from
 * it: late messages of a dead process cannot answer a probe. A heartbeat
 * revives a silent VM only when it acknowledges a message that this process
 * sent lately (on its own clock); otherwise a queue of old heartbeats,
 * delivered after a reconnect, would revive a dead VM. A heartbeat without
 * such an acknowledgement is answered by a probe instead, whose echo is one.
 * A VM that is live stays so while its heartbeats go on to acknowledge newer
 * messages, however long they are under way (JJ_MEMBER_LATE_TIMES).
 *
 * Silence is a suspicion: a suspect is given nothing new. It is no proof of
 * death: what a suspect has is taken from it when it was silent for lost_ms,
 * or when its process was replaced.
 */
#ifndef JJ_CORE_MEMBER_H
#define JJ_CORE_MEMBER_H

#include "core/action.h"

/**
 * A live VM's heartbeat counts while what it newly acknowledges was sent at
 * most this many times suspect_ms ago: the way there, the way back, and what
 * a loaded VM takes between them, a suspicion's time each. Beyond that a VM
 * answers too late to be of use, and is suspected.
 */
#define JJ_MEMBER_LATE_TIMES 3

typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_incarnation_t incarnation;
	char address[JJ_NAME_MAX + 1]; /**< where neighbours reach this VM */
	jj_ms_t heartbeat_ms; /**< between heartbeats; default 500 */
	jj_ms_t suspect_ms; /**< silence until suspected; default 2000 */
	/**
	 * Silence until taken for dead, so that what it had may be given to
	 * others; raised to suspect_ms when it is less. 0: suspect_ms.
	 */
	jj_ms_t lost_ms;
	jj_ms_t forget_ms; /**< silence until dropped; default 3600000 */
	uint64_t seed; /**< for the nonces of probes */
} jj_member_settings_t;

/** What is known of one VM; plain to read. */
typedef struct {
	jj_name_t name;
	jj_name_t domain;
	char address[JJ_NAME_MAX + 1];
	jj_incarnation_t incarnation; /**< 0: not confirmed yet */
	bool live; /**< heard within suspect_ms */
	jj_vm_state_t state;
	uint64_t config_version;
	uint64_t slots_version;
	jj_ms_t heard_ms; /**< when, JJ_MS_NEVER: never */
} jj_member_info_t;

typedef struct jj_member jj_member_t;

jj_member_t *jj_member_create(const jj_member_settings_t *settings);
void jj_member_destroy(jj_member_t *member);

/** Adds or updates a VM from settings or the platform's list (a hint only). */
void jj_member_learn(jj_member_t *member, const jj_name_t *name,
    const jj_name_t *domain, const char *address);
/**
 * Checks a message's sender, handles heartbeats and probes.
 * @return true when the message is from the confirmed incarnation, is newer
 * than the ones before (by sequence, repeats and reordered heartbeats are
 * stale) and may be handled by the other modules.
 */
bool jj_member_accept(jj_member_t *member, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/**
 * Fills in a message's sender, incarnation and sequence. Called once for each
 * JJ_ACTION_SEND, in the order in which the messages go out.
 */
void jj_member_stamp(jj_member_t *member, jj_message_t *message);
/** Highest sequence accepted from a VM's process, 0: none; for an ack. */
uint64_t jj_member_accepted(const jj_member_t *member, const jj_name_t *name);
/**
 * A message that acknowledges this sequence was written after this point in
 * time: when the round of heartbeats that it answers went out. JJ_MS_NEVER
 * when that is not known any more.
 */
jj_ms_t jj_member_ack_time(const jj_member_t *member, uint64_t ack);
/** The newest version of a configuration that another VM has; 0: none. */
uint64_t jj_member_newest_config(const jj_member_t *member);
/** A VM said by other means than a heartbeat which configuration it has. */
void jj_member_note_config(
    jj_member_t *member, const jj_name_t *name, uint64_t version);
/** Sends due heartbeats (the caller fills loads in by the callback below). */
void jj_member_tick(jj_member_t *member, jj_ms_t now, jj_actions_t *out);
/** When the next tick is due. */
jj_ms_t jj_member_next(const jj_member_t *member);
/** Sets what the next heartbeats say. */
void jj_member_set_state(jj_member_t *member, jj_vm_state_t state);
void jj_member_set_versions(
    jj_member_t *member, uint64_t config_version, uint64_t slots_version);
void jj_member_set_loads(
    jj_member_t *member, const jj_load_t *loads, uint32_t count);

/** The VM's entry or NULL; valid until the next call that changes it. */
const jj_member_info_t *
jj_member_find(const jj_member_t *member, const jj_name_t *name);
/** True for this VM itself and for VMs heard lately that are not leaving. */
bool jj_member_is_live(const jj_member_t *member, const jj_name_t *name);
/**
 * True when a VM is to be taken for dead: not known, or silent for lost_ms.
 * @param since other news show that it lived then, 0: there are none; the
 * silence counts from the later of this and of what was heard.
 */
bool jj_member_is_lost(const jj_member_t *member, const jj_name_t *name,
    jj_ms_t since, jj_ms_t now);
/** True when another VM of that domain is known, live or not. */
bool jj_member_knows_other(const jj_member_t *member, const jj_name_t *domain);
/**
 * The next VM that became live, or whose process is another one, since this
 * was asked: it may have missed what was told meanwhile. False when none is
 * left.
 */
bool jj_member_take_arrival(jj_member_t *member, jj_name_t *name);
/**
 * Live VMs of a domain, ordered by name, with this VM when it belongs there.
 * @return how many; at most @p most are written.
 */
size_t jj_member_list(const jj_member_t *member, const jj_name_t *domain,
    jj_member_info_t *infos, size_t most);
/** How many other VMs are known, live or not. */
size_t jj_member_count(const jj_member_t *member);
/** All VMs known, live or not. */
size_t jj_member_list_all(
    const jj_member_t *member, jj_member_info_t *infos, size_t most);
/** The domain's live VM with the greatest rendezvous weight for an item. */
bool jj_member_choose(const jj_member_t *member, const jj_name_t *domain,
    uint64_t item, jj_name_t *chosen);
/** True when this VM is the speaker of its domain (watch relay duty). */
bool jj_member_is_speaker(const jj_member_t *member);
/**
 * Notices that this process was paused: true when more than @p limit has
 * passed since the last tick (a frozen VM that wakes, story 31). Nothing that
 * was queued meanwhile can make it act on old news: heartbeats count only
 * with a fresh acknowledgement, leases are checked before each act, ledger
 * messages carry epochs. The caller says in its log that it was paused.
 */
bool
jj_member_was_paused(const jj_member_t *member, jj_ms_t now, jj_ms_t limit);

#endif
