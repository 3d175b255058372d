/**
 * @file gateway_state.h
 * @brief Private state and functions that the gateway's source files share.
 */
#ifndef JJ_CORE_GATEWAY_STATE_H
#define JJ_CORE_GATEWAY_STATE_H

#include <glib.h>

#include "core/crash_evidence.h"
#include "core/crash_parts.h"
#include "core/gateway.h"
#include "core/mirror.h"
#include "core/share/share.h"
#include "core/share/share_home.h"
#include "core/stream_origins.h"
#include "core/team/allowance_home.h"

#define JJ_GATEWAY_BUCKETS 1024

/** A caller's request, or an item of a job, that has not ended. */
typedef struct jj_gateway_entry {
	LIST_ENTRY(jj_gateway_entry) bucket;
	TAILQ_ENTRY(jj_gateway_entry) link; /**< in `sent` or `waiting` */
	uint64_t request;
	char id[JJ_GATEWAY_ID_MAX + 1];
	bool resumed; /**< the caller has the events of an earlier attempt */
	/** id of the attempt that brought the first of them; empty: not given
	 */
	char resumes[JJ_GATEWAY_ID_MAX + 1];
	jj_class_t class_of;
	jj_name_t route; /**< of a caller's request */
	jj_name_t team; /**< of the caller, or of an item's job; empty: none */
	/** of a caller's request: the version that decides it; retained */
	const jj_routes_t *routes;
	/** software version that its events are from; 0: no event yet */
	uint64_t software;
	uint64_t weights; /**< version of the weights it asks for; 0: any */
	/** an item's output so far is dropped when it is sent again */
	bool restarts;
	uint64_t origin_id; /**< see jj_stream_origin_t.id */
	/** of a resumed stream: how long ago it may have begun, ms */
	jj_ms_t stream_ms;
	/** of a resumed stream: what is known of its beginning */
	uint64_t known_software;
	uint64_t sole_software; /**< the only one that VMs have seen, or 0 */
	/** one of these VMs missed no version for as long as a stream lasts */
	bool sole_is_sure;
	bool is_vm_missing; /**< a VM that may know it can't be asked */
	bool has_other_list; /**< another VM has seen it in its list */
	/** no VM that may know of streams of this age is missing or new */
	bool is_memory_whole;
	bool was_asked; /**< other VMs were asked, not decided yet */
	bool was_answered; /**< at least one of them answered */
	uint32_t replies_due; /**< waits for so many answers of other VMs */
	jj_ms_t reply_until_ms;
	jj_name_t service; /**< empty: an item that has no route now */
	bool streams;
	bool repeatable;
	uint32_t max_attempts; /**< maximum number of attempts that are sent */
	uint32_t sent_attempts; /**< attempts that may have sent a byte */
	uint32_t tries; /**< all attempts, also those that sent nothing */
	jj_ms_t begun_ms;
	jj_ms_t give_up_ms; /**< answered by then at the latest */
	jj_ms_t deadline_ms; /**< until when the caller waits */
	jj_ms_t target_ms; /**< latency target of the first event; 0: none */
	bool client_retry; /**< retry of a caller, here or at another VM */
	jj_ms_t queue_until_ms; /**< a retry waits for a free slot until then */
	bool queued; /**< waits in the queue */
	uint32_t priority; /**< 0 is the highest */
	/** job of an item; lives longer than the entry */
	const jj_inline_job_t *job;
	/**
	 * of an item: random number that selects one of its route's services
	 */
	uint64_t route_random;
	uint64_t routed_version; /**< version that its service is from */
	jj_ms_t due_ms; /**< of an item: due time of its job */
	jj_ms_t not_before_ms; /**< of an item: not sent before this time */
	/** of an item: attempts that stalled before a first event */
	uint32_t stalls;
	uint64_t fingerprint;
	jj_prompt_t prompt;
	/** team whose allowance it was taken from, 0: none */
	uint64_t charged_team;
	/** group that shares the service's slots; 0: not counted */
	uint64_t share_group;
	bool over_share; /**< takes only a slot that others do not need */
	jj_share_decision_t share;

	uint32_t attempt; /**< number of the current attempt */
	jj_slot_server_t *server; /**< server of the current attempt, or NULL */
	jj_ms_t left_ms; /**< when the last attempt ended */
	jj_name_t last_server; /**< server of the last attempt */
	uint64_t last_server_hash; /**< hash of that server's process */
	jj_ms_t sent_ms;
	jj_ms_t ran_ms; /**< run time at servers in earlier attempts */
	jj_ms_t last_event_ms; /**< time of the server's last event */
	jj_ms_t first_ms; /**< first event of all attempts; 0: none yet */
	/** time of the first event of this attempt */
	jj_ms_t attempt_first_ms;
	bool first_seen; /**< this attempt had its first event */
	bool silence_noted; /**< this attempt is evidence of a crash */
	/** its first event takes longer than one takes in a free slot */
	bool crowded;
	jj_ms_t crowded_check_ms; /**< when that is checked next */
	uint32_t crowded_tries; /**< attempts that were crowded */
	bool relayed; /**< part of the answer was relayed to the caller */
	bool may_have_run; /**< true if any attempt may have run */
} jj_gateway_entry_t;

TAILQ_HEAD(jj_gateway_entries, jj_gateway_entry);

/** Longest wait that callers of a route have sent. */
typedef struct {
	jj_name_t route;
	jj_ms_t max_budget_ms;
} jj_gateway_budget_t;

/**
 * Size of the hash table of budgets; routes that collide replace each other.
 */
#define JJ_GATEWAY_BUDGETS 256

/**
 * A platform call that one VM (the lender) makes for another (the borrower).
 */
typedef struct jj_gateway_peer_call {
	TAILQ_ENTRY(jj_gateway_peer_call) link;
	uint64_t number; /**< number that the borrower gave */
	jj_name_t vm; /**< the other VM */
	uint64_t token; /**< token of the platform call at this VM */
	jj_platform_op_t op;
	jj_ms_t sent_ms;
} jj_gateway_peer_call_t;

TAILQ_HEAD(jj_gateway_peer_calls, jj_gateway_peer_call);

/** A VM of this system in the platform's list. */
typedef struct {
	jj_name_t name;
	jj_name_t domain; /**< failure domain */
	uint64_t version; /**< version of its entry */
	bool listed; /**< in the list that is being read, or in the last one */
	/** no heartbeat since; JJ_MS_NEVER: live */
	jj_ms_t unreachable_since_ms;
} jj_gateway_vm_t;

/** A part that other VMs suspect and this VM knows to be sound. */
typedef struct {
	uint64_t part;
	jj_ms_t due_ms; /**< reported then, unless another VM has */
} jj_gateway_sound_part_t;

/** What is known of other VMs' configurations (gateway_config.c). */
typedef struct {
	uint64_t newest_version; /**< newest version that another VM has */
	/** requested if it is above the version in force */
	uint64_t awaited_version;
	/** a newer version than the one in force can't be read */
	bool unreadable;
	/** the version in force, if any, is not the newest known */
	bool stale;
	jj_ms_t stale_since_ms; /**< since when it is stale */
	jj_ms_t next_log_ms; /**< config_behind is not logged before */
	/** the document is not requested before */
	jj_ms_t next_document_request_ms;
	jj_ms_t request_interval_ms; /**< from one request to the next */
	/** start of the window in which `window_sends` counts documents */
	jj_ms_t window_start_ms;
	uint32_t window_sends;
} jj_gateway_config_t;

struct jj_gateway {
	jj_gateway_settings_t settings;
	jj_gateway_port_t port;
	jj_member_t *member;
	jj_quarantine_t *quarantine;
	jj_slots_t *slots;
	jj_inline_t *jobs;
	const jj_routes_t *routes; /**< in force; version 0: none yet */
	/** the configuration as stored, for neighbours */
	jj_bytes_t config_object;
	jj_mirror_t config_mirror;
	jj_mirror_t servers_mirror;
	jj_mirror_t retire_mirror;
	uint64_t random;
	double mean_service_ms; /**< mean service time of online requests */
	/** mean run time of items over all attempts; 0: unknown */
	double mean_item_ms;

	LIST_HEAD(, jj_gateway_entry) buckets[JJ_GATEWAY_BUCKETS];
	struct jj_gateway_entries sent; /**< at a server, oldest first */
	/** online requests, then items in the order of their due times */
	struct jj_gateway_entries waiting;
	uint32_t counts[2]; /**< requests and items in progress, by class */
	uint32_t queued_count; /**< online requests that wait for a free slot */
	jj_gateway_budget_t budgets[JJ_GATEWAY_BUDGETS];
	uint64_t last_item; /**< number of the last item's request */

	jj_allowance_t *allowance;
	/** this VM as the home of some teams; NULL until the first tick */
	jj_allowance_home_t *allowance_home;
	uint32_t live_vms; /**< of the region, with this one */
	jj_ms_t next_live_vms_ms; /**< next count */
	jj_ms_t next_team_log_ms; /**< no refusal is logged before */
	jj_ms_t next_usage_log_ms; /**< next log of metered teams */
	uint32_t unlogged_refusals;

	/** fair shares of scarce slots; NULL: each request is served alike */
	jj_shares_t *shares;
	jj_share_home_t *share_home; /**< NULL with `shares` */
	uint32_t share_vms; /**< live VMs of the region, with this one */
	double
	    share_reach; /**< part of the region's VMs that are not cut off */
	jj_ms_t next_share_vms_ms; /**< next count */
	jj_ms_t next_share_log_ms; /**< no refusal is logged before */
	uint32_t unlogged_share_refusals;

	bool leaving;
	jj_ms_t stop_ms; /**< if leaving: end of the planned stop */
	jj_ms_t last_tick_ms;
	/** next load report to this failure domain */
	jj_ms_t next_local_loads_ms;
	jj_ms_t next_remote_loads_ms;
	/** loads have changed since the last report to this failure domain */
	bool local_loads_changed;
	bool remote_loads_changed;
	jj_ms_t next_stale_check_ms;
	bool has_unreachable; /**< some VM was unreachable at the last check */
	jj_ms_t next_unreachable_ms; /**< next check */
	/** next choice of the VM that relays watches */
	jj_ms_t next_duty_check_ms;
	jj_ms_t next_job_states_ms; /**< next report of job states */
	/** jobs accepted and taken over at the last report */
	uint64_t reported_jobs;
	jj_gateway_config_t config;
	jj_ms_t next_vms_ms;
	bool vms_polling;
	bool registered; /**< this VM's entry is written */
	bool registering;
	/** version of an entry that an earlier process wrote */
	uint64_t register_version;
	jj_ms_t next_register_ms;
	jj_ms_t registered_ms; /**< when it was written */
	jj_list_cursor_t vms_cursor; /**< of the list that is being read */
	/** the list that is being read has this VM's entry */
	bool vms_have_self;
	/** the list is read only after this VM's entry was written */
	bool vms_fresh;
	bool vms_reading_fresh; /**< the list that is being read was begun so */
	size_t vm_count;
	jj_gateway_vm_t *vms; /**< owned */
	/** places in `vms` by name, counted from 1 */
	GHashTable *vm_places;
	bool retired; /**< the order to retire this VM was answered */
	/** calls that other VMs make for this VM */
	struct jj_gateway_peer_calls borrowed;
	/** calls that this VM makes for other VMs */
	struct jj_gateway_peer_calls calls_for_peers;
	uint64_t peer_call_count; /**< numbers of calls given so far */
	/**
	 * since when the platform leaves calls of this VM unanswered; 0: it
	 * answers
	 */
	jj_ms_t platform_unreachable_ms;
	/** when it last answered again after an outage, 0: no outage yet */
	jj_ms_t platform_regained_ms;
	jj_name_t lender; /**< VM requested to make this VM's calls */
	bool lender_unavailable; /**< its last result was a failure */
	bool lender_answered; /**< its last result was an answer */
	jj_ms_t borrow_pause_until_ms; /**< no call is borrowed before */
	jj_crash_evidence_t crash_evidence;
	jj_ms_t answered_ms; /**< time of the last event of any server */
	jj_crash_parts_t *crash_parts;
	uint32_t sound_count;
	jj_gateway_sound_part_t sound_parts[JJ_MESSAGE_PARTS_MAX];

	jj_stream_origins_t *origins;
	jj_ms_t origins_since_ms; /**< first tick; JJ_MS_NEVER: none yet */
	/** streams that began here, of which no other VM was told yet */
	uint32_t new_origin_count;
	jj_stream_origin_t new_origins[JJ_MESSAGE_ORIGINS_MAX];
	uint32_t asking_count; /**< streams that wait for other VMs' answers */
	/**
	 * the list of servers was confirmed all the time since then;
	 * JJ_MS_NEVER: not known
	 */
	jj_ms_t servers_since_ms;

	/** NULL: failing servers are not avoided */
	jj_outcomes_t *outcomes;
	/** reports of outcomes that may be sent before the interval is over */
	uint32_t outcome_burst;
	jj_ms_t next_outcomes_ms; /**< next regular report of outcomes */
	jj_ms_t next_outcome_vms_ms; /**< next count of the live VMs */
	jj_ms_t next_outcomes_log_ms; /**< no report is logged before */

	jj_actions_t *out; /**< actions of the current step, for callbacks */
	jj_ms_t now; /**< time of the current step, for callbacks */
};

/** Bit that marks the request numbers of items. */
#define JJ_GATEWAY_ITEM (UINT64_C(1) << 62)

/* Requests (gateway_requests.c). */
jj_gateway_entry_t *
jj_gateway_find_entry(const jj_gateway_t *gateway, uint64_t request);
void jj_gateway_free_entry(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/** Sends a request to a server, queues it or abandons it. */
void jj_gateway_dispatch(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
/** Abandons a request with an answer of the gateway's own. */
void jj_gateway_give_up(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_failure_t reason, jj_actions_t *out);
/** Ends the current attempt; the entry then waits for another server. */
void jj_gateway_leave_server(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/** Abandons requests whose time is over and moves those that have stalled. */
void
jj_gateway_check_times(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* The list of servers (gateway_servers.c): callbacks of its mirror. */
void jj_gateway_begin_servers(void *gateway);
void jj_gateway_take_server(void *gateway, const jj_platform_item_t *item);
void jj_gateway_drop_server(void *gateway, const char *key);
void jj_gateway_end_servers(void *gateway, bool is_complete, jj_ms_t now);
void
jj_gateway_tick_servers(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* The queue of online requests when slots are short (gateway_queue.c). */
/** True for a request whose caller has used up part of its time before. */
bool jj_gateway_is_client_retry(jj_gateway_t *gateway, const jj_route_t *route,
    const jj_gateway_request_t *request);
/** The longest wait that callers of a route have sent; 0: not known. */
jj_ms_t
jj_gateway_longest_budget(const jj_gateway_t *gateway, const jj_name_t *route);
/** Until when a retry waits in the queue at most. */
jj_ms_t
jj_gateway_queue_deadline(const jj_gateway_request_t *request, jj_ms_t now);
/** Longest acceptable wait for the first event when a server is chosen, ms. */
jj_ms_t jj_gateway_first_event_limit(const jj_gateway_entry_t *entry);
/** Adds a request to the queue; false when it may not wait there. */
bool jj_gateway_enqueue(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
void jj_gateway_dequeue(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/**
 * Sends queued requests that find a slot, refuses those that waited too long.
 */
void
jj_gateway_send_queued(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* Servers that crash or accept no connections (gateway_crashes.c). */
/**
 * Notifies the other VMs of a server that accepts no connections: each request
 * that tries it waits for the connection time-out, which alone makes an online
 * request late.
 */
void jj_gateway_notify_unreachable(
    jj_gateway_t *gateway, const jj_slot_server_t *server);
/**
 * Records that the current attempt ends without an answer. Several connections
 * that break at one server alone at one moment mean that it crashed; otherwise
 * what becomes of the server tells.
 * @param silent no event came, and the connection did not break.
 */
void jj_gateway_note_unanswered(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, bool silent, jj_ms_t now,
    jj_actions_t *out);
/**
 * Records a server that accepts no connection: if a request broke off there
 * shortly before, it crashed.
 */
void jj_gateway_note_unreachable(jj_gateway_t *gateway,
    const jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out);
/** Records a sign of life of a server. */
void jj_gateway_note_alive(jj_gateway_t *gateway,
    const jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out);
/**
 * Records an event that the server wrote for the current attempt, or the end of
 * its answer. A crash of that process that was reported before is withdrawn.
 */
void jj_gateway_note_answered(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, jj_ms_t now, jj_actions_t *out);
/** Another VM says that the process lived after its crash was reported. */
void jj_gateway_take_server_up(jj_gateway_t *gateway,
    const jj_server_notice_t *notice, jj_ms_t now, jj_actions_t *out);
/**
 * Records crashes that another VM reports, as the processes may answer
 * afterwards.
 * @param age_ms time since the last of them.
 */
void jj_gateway_note_reported_crashes(jj_gateway_t *gateway,
    const uint64_t *server_hashes, uint32_t count, jj_ms_t age_ms, jj_ms_t now);
/** The same for crashes of contents; takes another VM's list. */
void jj_gateway_take_crash_history(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/**
 * Records that the current attempt was answered, which shows that neither its
 * content nor the parts of its prompt crash servers.
 * @param unframed the server may as well have crashed: what becomes of it tells.
 */
void jj_gateway_note_completed(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, bool unframed, jj_ms_t now,
    jj_actions_t *out);
/** Takes an unanswered attempt of another VM. */
void jj_gateway_take_unanswered(
    jj_gateway_t *gateway, const jj_message_t *message, jj_ms_t now);
/** Takes another VM's report of a crash. */
void jj_gateway_take_crash(jj_gateway_t *gateway, const jj_crash_t *crash,
    jj_ms_t now, jj_actions_t *out);
/** Decides which of the servers with unanswered attempts have crashed. */
void
jj_gateway_tick_crashes(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/**
 * Why a request with that content and prompt may not be sent, or
 * JJ_FAILURE_NONE.
 * @param is_retry a server has failed it in the same answer.
 */
jj_failure_t
jj_gateway_check_request(jj_gateway_t *gateway, uint64_t fingerprint,
    const jj_prompt_t *prompt, bool is_retry, jj_ms_t now);
/** True when the server ended without notice: its entry was removed. */
bool jj_gateway_is_server_gone(const jj_slot_server_t *server, jj_ms_t now);
/** Time after which a suspect request may be sent again, ms. */
jj_ms_t jj_gateway_verdict_ms(void);

/* Parts of prompts that crash servers (gateway_parts.c). */
/** Records that an answer with these parts was completed. */
void jj_gateway_note_parts_completed(jj_gateway_t *gateway,
    const jj_prompt_t *prompt, jj_ms_t now, jj_actions_t *out);
/**
 * Counts a crash against the parts of all attempts known to have ended there.
 * @param is_witness only this VM may know yet that the server crashed.
 */
void jj_gateway_report_part_crashes(jj_gateway_t *gateway, uint64_t server_hash,
    bool is_witness, jj_ms_t now, jj_actions_t *out);
/** Sends a VM that became live the crashes that it may not know. */
void jj_gateway_send_part_history(
    jj_gateway_t *gateway, const jj_name_t *to, jj_ms_t now, jj_actions_t *out);
/** Takes what another VM knows of parts. */
void jj_gateway_take_parts_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Reports sound parts to the other VMs; drops expired entries. */
void
jj_gateway_tick_parts(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Time until a request with these parts may be sent; 0: now. */
jj_ms_t jj_gateway_parts_wait(
    const jj_gateway_t *gateway, const jj_prompt_t *prompt, jj_ms_t now);

/* Servers that fail their requests (gateway_outcomes.c). */
/** Records whether the server of the current attempt answered or failed. */
void
jj_gateway_note_outcome(jj_gateway_t *gateway, const jj_gateway_entry_t *entry,
    bool failed, jj_ms_t now, jj_actions_t *out);
/** Takes another VM's observations. */
void jj_gateway_take_outcomes(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Decides which servers are avoided and probed. */
void
jj_gateway_tick_outcomes(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Reports outcomes to the other VMs, when that is due. */
void jj_gateway_report_outcomes(
    jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* Software versions of streams (gateway_origins.c). */
/** Hash of the id of a request that began a stream; 0: no id. */
uint64_t jj_gateway_origin_id(const char *request);
/** Remembers, here and at other VMs, where a stream began. */
void jj_gateway_note_stream_begun(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now);
/**
 * Sends a stream that its caller takes up to a server of the software version
 * that began it, perhaps after other VMs were asked, or refuses it.
 */
void jj_gateway_resume(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_route_t *route, jj_ms_t now, jj_actions_t *out);
/** Takes what another VM knows or asks of a stream. */
void jj_gateway_take_origin_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Tells other VMs of new streams; ends the wait for their answers. */
void
jj_gateway_tick_origins(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* Items (gateway_items.c). */
/**
 * The route of a job by the version in force. NULL while that has no batch
 * route there, or none whose service is known: the items wait for a later
 * version.
 */
const jj_route_t *
jj_gateway_job_route(void *gateway, const char *host, const char *path);
uint64_t jj_gateway_begin_item(void *gateway, const jj_inline_job_t *job,
    const jj_inline_item_t *item, const jj_route_t *route, jj_ms_t due_ms,
    jj_ms_t retention_ms);
void jj_gateway_cancel_item(void *gateway, uint64_t request);
bool
jj_gateway_is_item_sent(void *gateway, uint64_t request, uint32_t *attempts);
/** An item whose server sends no event for so long is moved, ms. */
jj_ms_t jj_gateway_stall_limit(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry);
/** Adds an item to the waiting list, in the order of due times. */
void
jj_gateway_add_waiting_item(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/** Sends waiting items while servers have free slots for them. */
void jj_gateway_send_waiting_items(
    jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Cancels an item's attempt; the item resumes elsewhere a little later. */
void jj_gateway_preempt_item(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const char *why, jj_ms_t now, jj_actions_t *out);
/** Adds the run time of an item that is done to the mean. */
void jj_gateway_note_item_end(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now);
/**
 * Preempts an item of this VM at that server, an overdue one if there is one,
 * else the one that has run least; false when there is none.
 */
bool jj_gateway_preempt(jj_gateway_t *gateway, jj_slot_server_t *server,
    const char *why, jj_ms_t now, jj_actions_t *out);
/** Starts an attempt at a server. */
void jj_gateway_send(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out);

/** A pseudo-random number, to spread load. */
uint64_t jj_gateway_random(jj_gateway_t *gateway);

/* Rate limits of teams (gateway_teams.c). */
/**
 * Takes a request from its team's allowance; false when it is over the limit.
 * @param charged the team, 0: it has no limit.
 */
bool
jj_gateway_admit(jj_gateway_t *gateway, const jj_gateway_request_t *request,
    jj_ms_t now, uint64_t *charged, jj_ms_t *retry_after_ms, jj_actions_t *out);
void
jj_gateway_tick_teams(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Reports admitted requests to the homes of their teams. */
void
jj_gateway_report_teams(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Takes a report or a grant of another VM. */
void jj_gateway_take_team_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);

/** VMs of the region whose heartbeats are late, but not by @p gone_ms. */
uint32_t
jj_gateway_count_missing_vms(const jj_gateway_t *gateway, jj_ms_t gone_ms);

/* Fair shares of scarce slots (gateway_shares.c). */
/** Counts a caller's request and decides whether it is within its share. */
void jj_gateway_count_share(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const jj_name_t *team, jj_ms_t now);
/** Part of a server's slots that a request leaves to others, 0 to 1. */
double jj_gateway_spare_part(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry);
/** A request is sent to a server for the first time. */
void jj_gateway_note_share_sent(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now);
/** A request has ended that occupied its slot for so long. */
void jj_gateway_note_share_end(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, jj_ms_t slot_ms, jj_ms_t now);
/** A request of that service found no slot. */
void jj_gateway_note_shortage(
    jj_gateway_t *gateway, const jj_name_t *service, jj_ms_t now);
/** Logs a request that is refused because it is beyond its share. */
void jj_gateway_log_over_share(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_actions_t *out);
void
jj_gateway_tick_shares(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Takes a report, or the shares that a home sends. */
void jj_gateway_take_share_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);

/* Configuration (gateway_config.c). */
/**
 * Puts a newer configuration in force and announces its version to neighbours;
 * false when it is malformed or not newer.
 */
bool jj_gateway_take_config(
    jj_gateway_t *gateway, const jj_bytes_t *object, const char *from);
/**
 * True while a newer version than the one in force is known, or none is in
 * force.
 */
bool jj_gateway_is_config_stale(const jj_gateway_t *gateway);
/** True when a newer version than @p routes is in force or known. */
bool
jj_gateway_is_outdated(const jj_gateway_t *gateway, const jj_routes_t *routes);
/** Notes that another VM has that version. */
void jj_gateway_note_peer_config(jj_gateway_t *gateway, const jj_name_t *from,
    uint64_t version, jj_ms_t now);
/**
 * Handles a request of another VM for the document, its version or a document.
 */
void jj_gateway_take_config_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Requests a newer configuration that did not come in time. */
void
jj_gateway_tick_config(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* Messages of other VMs (gateway_updates.c). */
void jj_gateway_take_peer_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Reports changed loads to the other VMs, when the interval is over. */
void
jj_gateway_report_loads(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** The loads of this VM have changed. */
void jj_gateway_mark_loads_changed(jj_gateway_t *gateway);
/** Drops the loads that unreachable VMs reported. */
void jj_gateway_drop_stale_loads(jj_gateway_t *gateway, jj_ms_t now);
void
jj_gateway_notify_job_ended(void *gateway, const char *writer, const char *id);

/* Relay of watches within a failure domain (gateway_relay.c). */
/**
 * Chooses whether this VM relays; reports job states when the interval is over.
 */
void
jj_gateway_tick_relay(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Forwards the result of a poll to the other VMs of the failure domain. */
void jj_gateway_relay_objects(void *gateway, uint64_t token, uint64_t from,
    uint64_t to, const jj_platform_item_t *items, size_t count);
void jj_gateway_relay_jobs(void *gateway, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count);
void jj_gateway_take_relay(jj_gateway_t *gateway, const jj_relay_update_t *news,
    jj_ms_t now, jj_actions_t *out);

/* Platform calls through another VM (gateway_borrow.c). */
/**
 * Notes by the result of one of its calls whether this VM reaches the platform.
 */
void jj_gateway_note_platform_reach(
    jj_gateway_t *gateway, const jj_platform_result_t *result, jj_ms_t now);
/**
 * Sends platform calls of jobs to another VM while this one does not reach the
 * platform.
 */
void
jj_gateway_borrow_calls(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Makes a platform call for another VM. */
void jj_gateway_take_borrow_request(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Sends the result of a call back to the VM that it was made for. */
void jj_gateway_answer_borrower(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_actions_t *out);
/** Takes the result of a call that another VM made. */
void jj_gateway_take_borrow_result(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Ends borrowed calls without a result as unanswered. */
void jj_gateway_expire_borrowed(
    jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
void jj_gateway_free_peer_calls(jj_gateway_t *gateway);

/* VMs and retirement orders at the platform (gateway_vms.c). */
void jj_gateway_tick_vms(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/**
 * Takes a result of the list of VMs or of this VM's entry; false when the
 * result is for another module.
 */
bool jj_gateway_take_vms(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_gateway_next_vms(const jj_gateway_t *gateway);
/**
 * Lists the other VMs of the region that are live and not leaving.
 * @param infos the VMs, as many as returned; to be freed.
 */
size_t
jj_gateway_list_others(const jj_gateway_t *gateway, jj_member_info_t **infos);
/**
 * Sends a message to these VMs.
 * @param message its kind and a body that owns no memory.
 */
void jj_gateway_send_to_others(const jj_gateway_t *gateway,
    const jj_message_t *message, jj_actions_t *out);
/** The VM that ranks first for @p key by rendezvous hashing; @p count > 0. */
size_t jj_gateway_first_ranked(
    const jj_member_info_t *infos, size_t count, uint64_t key);
/**
 * Adds a VM or updates its failure domain.
 * @param version of its entry; 0: known by a heartbeat.
 */
void jj_gateway_note_vm(jj_gateway_t *gateway, const jj_name_t *name,
    const jj_name_t *domain, uint64_t version);
/** True for a live VM of this VM's failure domain, other than itself. */
bool
jj_gateway_is_local(const jj_gateway_t *gateway, const jj_gateway_vm_t *vm);
/**
 * How many live VMs of the region rank before this one for an item, by
 * rendezvous hashing; counted up to @p limit.
 */
uint32_t jj_gateway_rank(void *gateway, const char *item, uint32_t limit);
/** True when no other VM of the region is live. */
bool jj_gateway_is_alone(const jj_gateway_t *gateway);
/** True when that VM is in this one's failure domain. */
bool
jj_gateway_is_in_domain(const jj_gateway_t *gateway, const jj_name_t *name);
/**
 * Answers an order to retire this VM: it stores nothing that has to be moved.
 */
void jj_gateway_take_retirement(
    jj_gateway_t *gateway, const jj_platform_item_t *item);

#endif
