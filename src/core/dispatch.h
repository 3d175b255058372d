/**
 * @file dispatch.h
 * @brief Which request goes to which backend server, and when.
 *
 * Online requests go straight to the best server from any VM. Each server's
 * batch share is decided by one VM, its steward (rendezvous over the live
 * VMs of the domain), which keeps batch within the headroom it learns from
 * latencies seen and from the neighbours' in-flight counts, and cancels
 * batch streams as soon as a burst shows.
 */
#ifndef JJ_CORE_DISPATCH_H
#define JJ_CORE_DISPATCH_H

#include "core/action.h"
#include "core/config.h"
#include "core/fleet.h"
#include "core/member.h"
#include "core/quarantine.h"

/** Most prefix block hashes of one request that routing looks at. */
#define JJ_PREFIX_BLOCKS_MAX 64

typedef enum {
	JJ_CLASS_ONLINE,
	JJ_CLASS_BATCH,
} jj_class_t;

/** A request as routing sees it. */
typedef struct {
	uint64_t request; /**< unique within this VM, never reused */
	jj_class_t class_of; /**< online or batch */
	jj_name_t service;
	jj_name_t team;
	uint64_t fingerprint;
	bool idempotent;
	jj_ms_t deadline_ms; /**< point in time; batch: the job's due time */
	uint32_t prompt_tokens; /**< estimate */
	uint32_t output_tokens; /**< most, as asked */
	uint32_t prefix_count;
	uint64_t prefix[JJ_PREFIX_BLOCKS_MAX]; /**< chained block hashes */
} jj_request_t;

/** What happened to a request at its server. */
typedef enum {
	JJ_BACKEND_NOT_SENT, /**< no byte can have reached the server */
	JJ_BACKEND_REFUSED, /**< 429/503 that proves it was not begun */
	JJ_BACKEND_LEAVING, /**< refused as the server is leaving */
	JJ_BACKEND_FIRST, /**< first token, or an answer's head */
	JJ_BACKEND_TOKENS, /**< `tokens` more of them */
	JJ_BACKEND_DONE,
	/** a permanent refusal (4xx), answer relayed; of a resume: FAILED */
	JJ_BACKEND_REJECTED,
	JJ_BACKEND_FAILED, /**< an error after it may have begun */
	JJ_BACKEND_BROKEN, /**< the connection broke after sending */
	JJ_BACKEND_TIMEOUT,
	JJ_BACKEND_CANCELLED, /**< a cancel of ours took effect */
} jj_backend_kind_t;

typedef struct {
	uint64_t request;
	uint32_t attempt; /**< events of an older attempt are stale */
	jj_backend_kind_t kind;
	uint32_t tokens;
	jj_ms_t retry_after_ms; /**< the server's, of a refusal */
	bool relayed; /**< part of the answer is at the caller already */
	bool resumable; /**< its server can go on with the stream */
	bool look_cut; /**< the look at its server was cut off, too */
} jj_backend_event_t;

typedef struct {
	jj_name_t name; /**< this VM */
	jj_name_t domain;
	uint64_t seed;
	double retry_share; /**< retries per first attempt; default 0.1 */
	uint32_t retry_floor; /**< retries allowed in any case; default 10 */
	jj_ms_t withdraw_retry_ms; /**< batch rests after a withdrawal; 250 */
	uint32_t batch_start; /**< first batch limit of a server; default 2 */
	uint32_t batch_most; /**< greatest batch limit of a server; 256 */
} jj_dispatch_settings_t;

typedef struct jj_dispatch jj_dispatch_t;

/** The other modules are read, but for noting what servers showed. */
jj_dispatch_t *jj_dispatch_create(const jj_dispatch_settings_t *settings,
    const jj_config_t *config, jj_fleet_t *fleet, const jj_member_t *member,
    jj_quarantine_t *quarantine);
void jj_dispatch_destroy(jj_dispatch_t *dispatch);

/**
 * Takes a request: ends at once or later with JJ_ACTION_BACKEND_START (maybe
 * several, one attempt at a time) and, when given up on, JJ_ACTION_ANSWER.
 * An attempt with resume_from set goes on with the stream of the one before,
 * at the same server, behind the tokens that the relay has of it.
 * A batch request that is withdrawn gets JJ_ACTION_BACKEND_CANCEL and then
 * JJ_ACTION_ANSWER with reason JJ_GIVE_UP_OVERLOADED.
 */
void jj_dispatch_begin(jj_dispatch_t *dispatch, const jj_request_t *request,
    jj_ms_t now, jj_actions_t *out);
/** What happened at the server; stale attempts are ignored. */
void jj_dispatch_take_event(jj_dispatch_t *dispatch,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out);
/** The caller went away, or the job was cancelled: stop it at its server. */
void jj_dispatch_cancel(
    jj_dispatch_t *dispatch, uint64_t request, jj_ms_t now, jj_actions_t *out);
/** A server is seen dead: its requests in flight are told broken and are
 * suspects; adds the crash report for the neighbours. */
void jj_dispatch_take_crash(jj_dispatch_t *dispatch, const jj_name_t *server,
    uint64_t boot, jj_ms_t now, jj_actions_t *out);
/** A look was answered by the server. */
void jj_dispatch_note_alive(jj_dispatch_t *dispatch, const jj_name_t *server,
    jj_ms_t now, jj_actions_t *out);
/** A neighbour's loads. */
void jj_dispatch_take_loads(jj_dispatch_t *dispatch, const jj_name_t *from,
    const jj_load_t *loads, uint32_t count, jj_ms_t now);
/** A server's own, lagging load report. */
void jj_dispatch_take_report(jj_dispatch_t *dispatch, const jj_name_t *server,
    uint32_t running, uint32_t waiting, jj_ms_t age_ms, jj_ms_t now);
/** A late, gappy cache event: a hint. */
void jj_dispatch_take_cache_event(jj_dispatch_t *dispatch,
    const jj_name_t *server, uint64_t prefix, bool added);
/** Queues, deadlines, headroom, load messages to the neighbours. */
void jj_dispatch_tick(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_dispatch_next(const jj_dispatch_t *dispatch);
/** How many more batch items this VM could send now, all its servers. */
uint32_t jj_dispatch_batch_room(const jj_dispatch_t *dispatch, jj_ms_t now);
/** This VM's share of one service's servers. */
typedef struct {
	jj_name_t service;
	uint32_t limit; /**< items that may be out at once */
} jj_batch_share_t;

/** True when this VM has a share of the service's servers. */
bool jj_dispatch_has_share(
    const jj_dispatch_t *dispatch, const jj_name_t *service, jj_ms_t now);
/** Services of whose servers this VM is steward; how many were written. */
uint32_t jj_dispatch_shares(const jj_dispatch_t *dispatch,
    jj_batch_share_t *shares, uint32_t most, jj_ms_t now);
/** The same for the servers of one service. */
uint32_t jj_dispatch_service_room(
    const jj_dispatch_t *dispatch, const jj_name_t *service, jj_ms_t now);
/**
 * Loads of this VM for the next heartbeat: a few servers in turn, so that
 * what a lost message left wrong at a neighbour is put right in a few
 * seconds. Called once for each round of heartbeats.
 * @return how many were written.
 */
uint32_t
jj_dispatch_loads(jj_dispatch_t *dispatch, jj_load_t *loads, uint32_t most);
/** The number by which messages name a server. */
uint64_t jj_dispatch_hash_server(const jj_name_t *server);
/** Planned stop: new requests are refused, those in flight go on. */
void jj_dispatch_leave(jj_dispatch_t *dispatch);
/** Requests queued or in flight, of a class. */
uint32_t
jj_dispatch_in_flight(const jj_dispatch_t *dispatch, jj_class_t class_of);

#endif
