/**
 * @file gateway_state.h
 * @brief What the parts of the gateway share; private to them.
 */
#ifndef JJ_CORE_GATEWAY_STATE_H
#define JJ_CORE_GATEWAY_STATE_H

#include "core/gateway.h"
#include "core/mirror.h"

#define JJ_GATEWAY_BUCKETS 1024

/** A request, or an item of a job, in hand. */
typedef struct jj_gateway_entry {
	LIST_ENTRY(jj_gateway_entry) bucket;
	TAILQ_ENTRY(jj_gateway_entry) link; /**< in one of the lists below */
	uint64_t request;
	char id[JJ_GATEWAY_ID_MAX + 1];
	jj_class_t class_of;
	jj_name_t service; /**< empty: none now, of an item */
	bool streams;
	bool repeatable;
	uint32_t attempts_most; /**< servers it may be sent to */
	uint32_t sent; /**< attempts of which a byte may have been sent */
	uint32_t tries; /**< attempts of any kind */
	jj_ms_t begun_ms;
	jj_ms_t give_up_ms; /**< answered by then in any case */
	jj_ms_t deadline_ms; /**< the caller waits until then */
	jj_ms_t target_ms; /**< its first event is aimed at within; 0: none */
	bool returned; /**< its caller was here, or at another VM, before */
	jj_ms_t line_until_ms; /**< a returned one waits for a free place */
	bool in_line; /**< it does */
	const jj_inline_job_t *job; /**< of an item; outlives it */
	uint64_t draw; /**< of an item: picks among its route's services */
	uint64_t routed; /**< of an item: configuration of its service */
	jj_ms_t due_ms; /**< of an item: its job's due time */
	jj_ms_t rest_until_ms; /**< of an item: not sent before */
	uint32_t stalls; /**< of an item: without a first event */
	uint64_t fingerprint;

	uint32_t attempt; /**< number of the one under way */
	jj_slot_server_t *server; /**< where it is, or NULL */
	jj_name_t last_server; /**< of the attempt before */
	uint64_t last_hash; /**< of that server's process */
	jj_ms_t sent_ms;
	jj_ms_t ran_ms; /**< at servers, in the attempts before this one */
	jj_ms_t sign_ms; /**< the server was last heard then */
	jj_ms_t first_ms; /**< first event of all attempts; 0: none yet */
	jj_ms_t began_ms; /**< first event of this attempt */
	bool first_seen; /**< an event of this attempt was seen */
	bool crowded; /**< this attempt waits longer than a free place takes */
	uint32_t crowded_tries; /**< attempts that did */
	bool relayed; /**< part of the answer is at the caller */
	bool may_have_run; /**< in any attempt */
} jj_gateway_entry_t;

TAILQ_HEAD(jj_gateway_entries, jj_gateway_entry);

/** What callers of a route wait at most, as seen. */
typedef struct {
	jj_name_t route;
	jj_ms_t most_ms;
} jj_gateway_budget_t;

/** Routes whose budgets are kept; two that meet forget each other. */
#define JJ_GATEWAY_BUDGETS 256

/** A request that broke off before its first event, for crash reports. */
typedef struct {
	uint64_t fingerprint;
	uint64_t server; /**< hash */
	jj_ms_t ms;
} jj_gateway_broken_t;

#define JJ_GATEWAY_BROKEN_MAX 64

/** A call of this VM that another one carries out, or the other way round. */
typedef struct jj_gateway_loan {
	TAILQ_ENTRY(jj_gateway_loan) link;
	uint64_t number; /**< of the VM that asks */
	jj_name_t vm; /**< the other one */
	uint64_t token; /**< of the call, here */
	jj_platform_op_t op;
	jj_ms_t asked_ms;
} jj_gateway_loan_t;

TAILQ_HEAD(jj_gateway_loans, jj_gateway_loan);

/** A VM of ours by the platform's list. */
typedef struct {
	jj_name_t name;
	jj_name_t domain; /**< failure domain */
	uint64_t version; /**< of its entry */
	bool listed; /**< by the list under way, or the last one */
	jj_ms_t silent_ms; /**< not live since; JJ_MS_NEVER: it lives */
} jj_gateway_vm_t;

/** What other VMs know of configurations (gateway_config.c). */
typedef struct {
	uint64_t heard; /**< newest version that another VM has */
	uint64_t awaited; /**< not here yet if it is above that in force */
	bool unreadable; /**< a newer one than that in force can't be read */
	bool behind; /**< the one in force, if any, is not the newest known */
	jj_ms_t behind_ms; /**< since when */
	jj_ms_t log_ms; /**< config_behind is logged; not before */
	jj_ms_t ask_ms; /**< for it; not before */
	jj_ms_t ask_again_ms; /**< from one ask to the next */
	jj_ms_t sends_ms; /**< documents are counted from then */
	uint32_t sends;
} jj_gateway_config_t;

struct jj_gateway {
	jj_gateway_settings_t settings;
	jj_gateway_port_t port;
	jj_member_t *member;
	jj_quarantine_t *quarantine;
	jj_slots_t *slots;
	jj_inline_t *jobs;
	jj_routes_t routes;
	jj_bytes_t config_object; /**< as stored, for neighbours */
	jj_mirror_t config_mirror;
	jj_mirror_t servers_mirror;
	jj_mirror_t retire_mirror;
	uint64_t random;
	double mean_ms; /**< how long online requests hold their places */
	double
	    item_mean_ms; /**< how long items do, in all attempts; 0: unknown */

	LIST_HEAD(, jj_gateway_entry) buckets[JJ_GATEWAY_BUCKETS];
	struct jj_gateway_entries sent; /**< at a server, oldest first */
	struct jj_gateway_entries waiting; /**< items, the first due first */
	uint32_t counts[2]; /**< in hand, by class */
	uint32_t in_line; /**< online requests that wait for a free place */
	jj_gateway_budget_t budgets[JJ_GATEWAY_BUDGETS];
	uint64_t last_item; /**< number of the last item's request */

	bool leaving;
	jj_ms_t last_tick_ms;
	jj_ms_t next_near_ms; /**< loads to the own domain */
	jj_ms_t next_far_ms;
	bool news_near; /**< loads that the own domain does not know */
	bool news_far;
	jj_ms_t next_forget_ms;
	jj_ms_t next_duty_ms; /**< who watches is looked at again */
	jj_ms_t next_states_ms; /**< the others are told of jobs */
	jj_gateway_config_t config;
	jj_ms_t next_vms_ms;
	bool vms_polling;
	bool registered; /**< this VM's entry is written */
	bool registering;
	uint64_t register_version; /**< of an entry of an earlier process */
	jj_ms_t next_register_ms;
	jj_ms_t registered_ms; /**< when it was written */
	char vms_after[JJ_OBJECT_KEY_MAX + 1];
	bool vms_have_self; /**< this VM's entry, in the list under way */
	size_t vm_count;
	jj_gateway_vm_t *vms; /**< owned */
	bool retired; /**< the order to empty this VM was answered */
	struct jj_gateway_loans borrowed; /**< calls others make for this VM */
	struct jj_gateway_loans lent; /**< calls this VM makes for others */
	uint64_t loans; /**< numbers given so far */
	jj_ms_t unreached_ms; /**< the platform last left a call of this VM
				 unanswered; 0 once it has answered one */
	jj_ms_t reached_ms; /**< when it answered again, 0: always did */
	jj_name_t lender; /**< who is asked */
	bool lender_failed; /**< its last word was that it cannot either */
	bool lender_helped; /**< its last word was an answer */
	jj_ms_t lend_rest_ms; /**< nobody is asked before */
	uint32_t broken_count;
	jj_gateway_broken_t broken[JJ_GATEWAY_BROKEN_MAX];

	jj_actions_t *out; /**< of the step under way, for callbacks */
	jj_ms_t now; /**< likewise */
};

/** Bit that marks numbers of items' requests. */
#define JJ_GATEWAY_ITEM (UINT64_C(1) << 62)

/* Requests (gateway_requests.c). */
jj_gateway_entry_t *
jj_gateway_find_entry(const jj_gateway_t *gateway, uint64_t request);
void jj_gateway_free_entry(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/** Sends it to a server, or gives it up. */
void jj_gateway_place(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
/** Ends it with an answer of our own. */
void jj_gateway_give_up(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_give_up_t reason, jj_actions_t *out);
/** Takes it off its server. */
void jj_gateway_leave_server(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/** Gives up what has run out of time, moves what has stalled. */
void
jj_gateway_check_times(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* The list of servers (gateway_servers.c): the port of its mirror. */
void jj_gateway_begin_servers(void *gateway);
void jj_gateway_take_server(void *gateway, const jj_platform_item_t *item);
void jj_gateway_drop_server(void *gateway, const char *key);
void jj_gateway_end_servers(void *gateway, jj_ms_t now);
void
jj_gateway_tick_servers(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* Who is served first when places are short (gateway_line.c). */
/** True for a request whose caller has used up some of its time before. */
bool jj_gateway_has_returned(jj_gateway_t *gateway, const jj_route_t *route,
    const jj_gateway_request_t *request);
/** A returned request waits in line until then at most. */
jj_ms_t jj_gateway_line_until(const jj_gateway_request_t *request, jj_ms_t now);
/** How soon its first event has to come for a place to be taken, ms. */
jj_ms_t jj_gateway_first_within(const jj_gateway_entry_t *entry);
/** Puts it in line when it may wait there; false: it may not. */
bool jj_gateway_enter_line(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_ms_t now, jj_actions_t *out);
void jj_gateway_leave_line(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/** Sends those in line that find a place, refuses those that waited long. */
void
jj_gateway_pump_line(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* Servers that die or are dark (gateway_deaths.c). */
/**
 * A dark server costs each request that tries it the time of a connection,
 * which alone makes an online one late; so the others need not find out.
 */
void jj_gateway_tell_unreachable(
    jj_gateway_t *gateway, const jj_slot_server_t *server);
/**
 * Several requests that break off at one moment at one server, or one at a
 * server that then takes no connection: it crashed. Those without a first
 * event had just begun to run, and one of them may be why; each gets a strike
 * (core/quarantine.h). A lone break on a server that lives is a lost answer.
 */
void jj_gateway_note_broken(jj_gateway_t *gateway,
    const jj_gateway_entry_t *entry, jj_ms_t now, jj_actions_t *out);
/** A server that takes no connection: what broke off there last is why. */
void jj_gateway_note_unreachable(jj_gateway_t *gateway,
    const jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out);

/* Items (gateway_items.c). */
uint64_t jj_gateway_begin_item(void *gateway, const jj_inline_job_t *job,
    const jj_inline_item_t *item, const jj_route_t *route, jj_ms_t due_ms,
    jj_ms_t retention_ms);
void jj_gateway_cancel_item(void *gateway, uint64_t request);
bool
jj_gateway_is_item_sent(void *gateway, uint64_t request, uint32_t *attempts);
/** An item that is silent at its server for so long is moved, ms. */
jj_ms_t jj_gateway_stall_limit(
    const jj_gateway_t *gateway, const jj_gateway_entry_t *entry);
/** An item waits for a place, the first due first. */
void jj_gateway_wait(jj_gateway_t *gateway, jj_gateway_entry_t *entry);
/** Sends items while servers have room for them. */
void jj_gateway_pump(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Takes an item off its server; it goes on elsewhere a little later. */
void jj_gateway_cut_item(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    const char *why, jj_ms_t now, jj_actions_t *out);
/** An item is done: how long it was at servers. */
void jj_gateway_note_item_end(
    jj_gateway_t *gateway, const jj_gateway_entry_t *entry, jj_ms_t now);
/**
 * Cuts an item of this VM there, a late one if there is one, else the newest;
 * false when there is none.
 */
bool jj_gateway_cut(jj_gateway_t *gateway, jj_slot_server_t *server,
    const char *why, jj_ms_t now, jj_actions_t *out);
/** Starts an attempt at a server. */
void jj_gateway_send(jj_gateway_t *gateway, jj_gateway_entry_t *entry,
    jj_slot_server_t *server, jj_ms_t now, jj_actions_t *out);

/** A number that does not repeat, for spreading. */
uint64_t jj_gateway_random(jj_gateway_t *gateway);

/* Configuration (gateway_config.c). */
/** Takes a newer configuration; tells the neighbours when it is one. */
bool jj_gateway_take_config(
    jj_gateway_t *gateway, const jj_bytes_t *object, const char *from);
/** True while a newer one than that in force is known of, or none is. */
bool jj_gateway_is_behind(const jj_gateway_t *gateway);
/** Another VM has that version. */
void jj_gateway_hear_config(jj_gateway_t *gateway, const jj_name_t *from,
    uint64_t version, jj_ms_t now);
/** Another VM asks, says what it has, or sends it. */
void jj_gateway_take_config_message(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out);
/** Asks for a newer one that did not come in time. */
void
jj_gateway_tick_config(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);

/* News (gateway_news.c). */
void jj_gateway_take_news(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** Tells loads that the neighbours do not know, when it is time. */
void
jj_gateway_tell_loads(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** What this VM runs has changed. */
void jj_gateway_note_loads(jj_gateway_t *gateway);
/** Neighbours that are gone run nothing. */
void
jj_gateway_forget_lost(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
void jj_gateway_tell_ended(void *gateway, const char *writer, const char *id);

/* Watching for others (gateway_relay.c). */
/** Chooses this VM's duty; tells what it runs when it is time. */
void
jj_gateway_tick_relay(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** A poll of this VM's is done: for the others of its domain. */
void jj_gateway_relay_objects(void *gateway, uint64_t token, uint64_t from,
    uint64_t to, const jj_platform_item_t *items, size_t count);
void jj_gateway_relay_jobs(void *gateway, uint64_t from, uint64_t to,
    const jj_platform_item_t *items, size_t count);
void jj_gateway_take_relay(jj_gateway_t *gateway, const jj_relay_news_t *news,
    jj_ms_t now, jj_actions_t *out);

/* Platform calls through another VM (gateway_lend.c). */
/** A result of a call of this VM's own: does the platform answer it? */
void jj_gateway_note_reach(
    jj_gateway_t *gateway, const jj_platform_result_t *result, jj_ms_t now);
/** Sends calls of jobs to another VM while this one does not reach. */
void jj_gateway_borrow(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Another VM asks: makes its call. */
void jj_gateway_lend(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** What came of a call made for another VM. */
void jj_gateway_take_lent_result(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_actions_t *out);
/** What came of a call that another VM made. */
void jj_gateway_take_lent(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out);
/** Calls that no word has come of count as not answered. */
void
jj_gateway_tick_loans(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
void jj_gateway_drop_loans(jj_gateway_t *gateway);

/* VMs and orders at the platform (gateway_vms.c). */
void jj_gateway_tick_vms(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out);
/** Takes a result of the list of VMs or of the own entry; false: not ours. */
bool jj_gateway_take_vms(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_gateway_next_vms(const jj_gateway_t *gateway);
/**
 * The other VMs of the region that serve.
 * @param infos their number of entries, to be freed.
 */
size_t
jj_gateway_list_others(const jj_gateway_t *gateway, jj_member_info_t **infos);
/** True for a live VM of this VM's failure domain, other than itself. */
bool jj_gateway_is_near(const jj_gateway_t *gateway, const jj_gateway_vm_t *vm);
/** Of them those of this VM's failure domain; @p infos likewise. */
size_t
jj_gateway_list_near(const jj_gateway_t *gateway, jj_member_info_t **infos);
/** How many of them come before this VM for an item, by rendezvous hashing. */
uint32_t jj_gateway_rank(void *gateway, const char *item);
/** True when no other VM of the region is heard. */
bool jj_gateway_is_alone(const jj_gateway_t *gateway);
/** True when that VM is in this one's failure domain. */
bool
jj_gateway_is_in_domain(const jj_gateway_t *gateway, const jj_name_t *name);
/** Answers an order to empty this VM: it holds nothing that lasts. */
void jj_gateway_take_retirement(
    jj_gateway_t *gateway, const jj_platform_item_t *item);

#endif
