/**
 * @file slots.h
 * @brief Which backend server gets the next request, by occupied request slots.
 *
 * Each server of a service runs a known number of requests at once and queues
 * the others in order of arrival, without priorities. So the choice depends on
 * how many slots are occupied, by this VM and by its neighbours, and how many
 * of these by batch: a batch item can be cancelled and resumed at another
 * server, an online request cannot wait. Online takes a free slot, else a slot
 * that a batch item has to release, else it waits at the server with the
 * shortest queue. Batch takes only slots that leave some free for the next
 * online request.
 *
 * The neighbours' loads arrive by messages and are slightly out of date. They
 * only order servers and never make one eligible. Many VMs that know the same
 * loads would all choose the same server at once, so each considers only some
 * of the servers: of its own domain a few chosen at random for each request, of
 * other domains a fixed few, so that a remote server is assigned to two VMs of
 * other domains. In a large failure domain each VM uses a subset of the domain's
 * servers (slots_subset.c), and changes of its loads go only to the VMs that use
 * the same server.
 */
#ifndef JJ_CORE_SLOTS_H
#define JJ_CORE_SLOTS_H

#include <sys/queue.h>

#include "core/action.h"
#include "core/dispatch.h"

/**
 * A server as the platform lists it. A server that restarts may keep its id, so
 * a process is identified by its id and its start time. Requests and state of
 * the previous process are lost.
 */
typedef struct {
	jj_name_t id;
	/** Unix time of the start of its process, ms; 0: not known. */
	int64_t started_ms;
	jj_name_t service;
	jj_name_t version; /**< of its software; empty: not known */
	jj_name_t domain;
	char address[JJ_NAME_MAX + 1]; /**< IP:PORT */
	uint32_t slots; /**< number of requests it runs at once */
	bool draining; /**< accepts no new requests */
} jj_slot_info_t;

struct jj_slot_server;

/** Another VM that has requests at servers. */
typedef struct {
	jj_name_t name;
	size_t server_count;
	struct jj_slot_server **servers; /**< owned; where it has requests */
} jj_slot_vm_t;

/** Load of one neighbour at a server. */
typedef struct {
	jj_slot_vm_t *vm;
	uint32_t online;
	uint32_t batch;
} jj_slot_neighbour_t;

/** A live VM and its failure domain. */
typedef struct {
	jj_name_t name;
	jj_name_t domain;
} jj_slot_user_t;

/** Which VMs of its failure domain use a server. */
typedef struct {
	size_t first_vm; /**< index of the domain's first VM */
	uint32_t vms; /**< VMs of the domain; 0: not known */
	uint32_t position; /**< of the server among those of its service */
	uint32_t servers; /**< of the same service and domain */
	uint32_t size; /**< how many of them each VM uses */
} jj_slot_subset_t;

/**
 * The VMs that a load report goes to. Those of this failure domain get reports
 * more often.
 */
typedef enum {
	JJ_SLOTS_SCOPE_DOMAIN,
	JJ_SLOTS_SCOPE_ALL, /**< all VMs */
} jj_slots_scope_t;

typedef struct {
	uint32_t online;
	uint32_t batch;
} jj_slot_reported_t;

/** A server and its state as this VM knows it. */
typedef struct jj_slot_server {
	TAILQ_ENTRY(jj_slot_server) link;
	jj_slot_info_t info;
	uint64_t hash; /**< hash of its id and its start time */
	uint64_t software; /**< hash of its service and software version */
	uint64_t weights; /**< version of its weights; 0: not known */
	bool local; /**< in this VM's failure domain */
	bool used; /**< of a local server: in this VM's subset */
	jj_slot_subset_t subset;
	bool listed; /**< the platform's list contains it */
	jj_ms_t unlisted_ms; /**< when not listed: no new requests from this
				  time */
	/**
	 * If its entry expired in a platform outage, it can be listed again
	 * until this time.
	 */
	jj_ms_t relist_until_ms;
	bool replaced; /**< a process with a later start has its id */
	jj_ms_t replaced_ms; /**< when that was found */
	bool has_old_start; /**< its entry has an earlier start, see
				 old_start_info */
	jj_ms_t old_start_ms; /**< time when that was first seen */
	jj_slot_info_t old_start_info; /**< contents of that entry */
	uint32_t online; /**< requests of this VM in flight */
	uint32_t batch; /**< batch items of this VM in flight */
	uint32_t others_online; /**< of the neighbours, as last reported */
	uint32_t others_batch;
	jj_slot_reported_t reported[2]; /**< counts last reported to the VMs
					     of each scope */
	size_t neighbour_count;
	jj_slot_neighbour_t *neighbours; /**< owned */
	/** fails most requests that it answers (gateway_outcomes.c) */
	bool avoided;
	bool probe_due; /**< while avoided: gets one request of this VM */
	uint32_t failures; /**< consecutive failures */
	jj_ms_t answered_ms; /**< time of the last first event or answer */
	jj_ms_t alive_ms; /**< time of the last event of its own; 0: none */
	jj_ms_t rest_until_ms; /**< cool-down: no new requests before this
				    time */
	jj_ms_t crowded_until_ms; /**< no batch items before: it is fuller
				       than reported */
	double first_ms; /**< mean wait for a first event; 0: none seen */
	double service_ms; /**< mean service time of an online request there;
				0: unknown */
	double open_connects; /**< connections opened, not answered yet */
} jj_slot_server_t;

typedef struct {
	jj_name_t name; /**< this VM */
	jj_name_t domain;
	uint32_t reserve; /**< slots per server that batch leaves free */
	uint32_t queue_most; /**< maximum online requests that wait at a
				  server */
	uint64_t seed;
} jj_slots_settings_t;

typedef struct jj_slots jj_slots_t;

jj_slots_t *jj_slots_create(const jj_slots_settings_t *settings);
void jj_slots_destroy(jj_slots_t *slots);

/** How an entry of the list relates to the known servers. */
typedef enum {
	JJ_SLOTS_KNOWN, /**< the known process; its data was updated */
	JJ_SLOTS_NEW,
	JJ_SLOTS_RESTARTED, /**< a later start under a known id */
	/**
	 * An earlier start than the known one: a late write of a process that
	 * is gone, or the entry of another writer. The server must not be used.
	 */
	JJ_SLOTS_OLD_START,
} jj_slots_update_t;

/** Takes a server's entry from the list. */
jj_slots_update_t
jj_slots_update(jj_slots_t *slots, const jj_slot_info_t *info, jj_ms_t now);
/**
 * Accepts an earlier start that a server's entry has shown for long enough.
 * @return the server, or NULL when there is none.
 */
jj_slot_server_t *jj_slots_accept_old_start(jj_slots_t *slots, jj_ms_t now);
/** Called before a list is taken; servers not in it are missing. */
void jj_slots_begin_list(jj_slots_t *slots);
/** Called when the list is incomplete: none that it does not have is missing. */
void jj_slots_keep_unlisted(jj_slots_t *slots);
/**
 * Called after a list was taken. Missing servers are handled as in
 * jj_slots_note_unlisted().
 */
void jj_slots_end_list(jj_slots_t *slots, jj_ms_t now, jj_ms_t until);
/**
 * The list no longer has the server. When many servers are missing, their
 * entries expired because they could not be renewed, and they will be listed
 * again by @p until: they get requests until then. A single missing server has
 * left.
 */
void jj_slots_note_unlisted(
    jj_slots_t *slots, const char *id, jj_ms_t now, jj_ms_t until);
/** Removes servers that are gone and run no requests of this VM. */
void jj_slots_tick(jj_slots_t *slots, jj_ms_t now);

/**
 * Longest wait for a first event that can be explained without a queue at the
 * server. JJ_MS_NEVER while no server of the service has answered yet.
 */
jj_ms_t jj_slots_wait_limit(
    const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now);
/** A request found no free slot there: batch avoids the server for a while. */
void jj_slots_note_crowded(jj_slot_server_t *server, jj_ms_t now);
/** The current process with that id, or NULL. */
jj_slot_server_t *jj_slots_find(const jj_slots_t *slots, const char *id);
/** The server with this hash, which identifies it in messages, or NULL. */
jj_slot_server_t *jj_slots_find_hash(const jj_slots_t *slots, uint64_t hash);
/**
 * Sets how many VMs choose among the same servers: @p near in this failure
 * domain, this VM included, and @p far in others.
 */
void jj_slots_set_vms(jj_slots_t *slots, uint32_t near, uint32_t far);
/**
 * Chooses which servers of its failure domain each VM uses.
 * @param users the live VMs of all failure domains, this VM included.
 */
void jj_slots_set_users(
    jj_slots_t *slots, const jj_slot_user_t *users, size_t count);
/**
 * Lists the other VMs that use a server of their failure domain.
 * @return how many; the names are valid until the next jj_slots_set_users().
 */
size_t jj_slots_list_users(const jj_slots_t *slots,
    const jj_slot_server_t *server, const jj_name_t **names, size_t max_count);
/** The first server; iterate with TAILQ_NEXT. */
jj_slot_server_t *jj_slots_first(const jj_slots_t *slots);

/** Criteria for the choice of a server for an online request. */
typedef struct {
	const jj_name_t *service;
	/**
	 * Server where it failed before, or NULL; used only as a last resort.
	 */
	const jj_name_t *avoid;
	/**
	 * The first event has to arrive within this many ms, queueing included;
	 * JJ_MS_NEVER: no limit. A free slot always qualifies.
	 */
	jj_ms_t first_within_ms;
	uint64_t software; /**< only this software version; 0: any */
	/** part of a server's slots that is left to other requests, 0 to 1 */
	double spare_part;
	/** servers known to have other weights are a last resort; 0: any */
	uint64_t weights;
} jj_slots_criteria_t;

/**
 * The server for an online request, or NULL when none accepts one.
 * @param full set when servers are up but the queue of each is too long.
 */
jj_slot_server_t *jj_slots_choose_online(jj_slots_t *slots,
    const jj_slots_criteria_t *criteria, jj_ms_t now, bool *full);
/**
 * The server for a batch item, or NULL when none has capacity.
 * @param software only this software version; 0: any.
 */
jj_slot_server_t *jj_slots_choose_batch(jj_slots_t *slots,
    const jj_name_t *service, uint64_t software, jj_ms_t now);
/**
 * The service of a software version that has a server for new requests, be it
 * full or in a cool-down; NULL when it has none.
 */
const jj_name_t *
jj_slots_service_of(const jj_slots_t *slots, uint64_t software);
/**
 * The software version that all servers of a service had since @p since_ms;
 * 0 when there is no server, JJ_SOFTWARE_MIXED when there were several.
 */
uint64_t jj_slots_sole_software(
    const jj_slots_t *slots, const jj_name_t *service, jj_ms_t since_ms);
/** Number of requests there, of all VMs and classes. */
uint32_t jj_slot_server_taken(const jj_slot_server_t *server);
/** True when new requests may be sent there. */
bool jj_slot_server_is_up(const jj_slot_server_t *server, jj_ms_t now);
/** Slots of a service's servers that are up, and how many are taken. */
void jj_slots_sum(const jj_slots_t *slots, const jj_name_t *service,
    jj_ms_t now, uint32_t *total, uint32_t *taken);

/** Counts a request that is sent there, and removes it when it ends. */
void jj_slots_add(jj_slot_server_t *server, jj_class_t class_of);
void jj_slots_remove(jj_slot_server_t *server, jj_class_t class_of);
/** Records a first event that came after @p wait_ms. */
void
jj_slots_note_first(jj_slot_server_t *server, jj_ms_t wait_ms, jj_ms_t now);
/**
 * Records an answer with an error of the server: its connection works, and
 * nothing else is known.
 */
void jj_slots_note_error(jj_slot_server_t *server);
/** Records the service time of an online request that has ended. */
void jj_slots_note_service_time(jj_slot_server_t *server, jj_ms_t service_ms);
/**
 * Records a failure: the server gets a cool-down, longer with each consecutive
 * failure.
 * @return false during a cool-down: the failure belongs to a known one.
 */
bool jj_slots_note_failure(jj_slot_server_t *server, jj_ms_t now);
/**
 * Records that another VM could not connect; ignored when the server answered
 * recently.
 */
void jj_slots_note_remote_failure(jj_slot_server_t *server, jj_ms_t now);
/**
 * Records a refusal with its Retry-After (0: it had none), while the refused
 * request still counts. Of a server that is idle otherwise it is a failure.
 */
void jj_slots_note_refusal(
    jj_slot_server_t *server, jj_ms_t cooldown_ms, jj_ms_t now);

/**
 * Takes a neighbour's loads.
 * @param whole the neighbour runs nothing at servers that are not listed.
 */
void jj_slots_take_loads(jj_slots_t *slots, const jj_name_t *from,
    const jj_load_t *loads, uint32_t count, bool whole);
/** Removes the loads of the neighbours for which @p is_gone is true. */
void jj_slots_forget_neighbours(jj_slots_t *slots,
    bool (*is_gone)(void *ctx, const jj_name_t *vm), void *ctx);
/**
 * Loads of this VM that changed since the last report to this scope; marks them
 * as reported.
 */
uint32_t jj_slots_take_changes(jj_slots_t *slots, jj_slots_scope_t scope,
    jj_load_t *loads, uint32_t max_count);
/**
 * All loads of this VM, for a heartbeat.
 * @return how many there are; the first @p max_count of them are filled in.
 */
uint32_t jj_slots_list_loads(
    const jj_slots_t *slots, jj_load_t *loads, uint32_t max_count);
/**
 * Chooses the neighbour with most batch items there, which the caller requests
 * to cancel one, and counts one item less for it; NULL when no neighbour has
 * any.
 */
const jj_name_t *jj_slots_choose_vm_to_yield(jj_slot_server_t *server);

#endif
