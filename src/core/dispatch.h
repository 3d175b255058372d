/**
 * @file dispatch.h
 * @brief Decides which request goes to which backend server, and when.
 *
 * Any VM sends online requests straight to the best server. Batch requests at a
 * server are started by one VM only, the server's steward, which rendezvous
 * hashing picks among the live VMs of the domain. The steward learns the
 * server's headroom from measured latencies and from the neighbours' in-flight
 * counts, keeps batch within it, and cancels batch items as soon as online load
 * rises.
 */
#ifndef JJ_CORE_DISPATCH_H
#define JJ_CORE_DISPATCH_H

#include "core/action.h"
#include "core/config.h"
#include "core/fleet.h"
#include "core/member.h"
#include "core/quarantine.h"

/** Maximum number of prefix block hashes per request used for routing. */
#define JJ_PREFIX_BLOCKS_MAX 64

typedef enum {
	JJ_CLASS_ONLINE,
	JJ_CLASS_BATCH,
} jj_class_t;

/** The properties of a request that routing uses. */
typedef struct {
	uint64_t request; /**< unique within this VM, never reused */
	jj_class_t class_of; /**< online or batch */
	jj_name_t service;
	jj_name_t team;
	uint64_t fingerprint;
	bool idempotent;
	jj_ms_t deadline_ms; /**< absolute time; for batch the job's due time */
	uint32_t prompt_tokens; /**< estimate */
	uint32_t output_tokens; /**< upper bound that the caller requested */
	uint32_t prefix_count;
	uint64_t prefix[JJ_PREFIX_BLOCKS_MAX]; /**< chained block hashes */
} jj_request_t;

/** What happened to a request at its server. */
typedef enum {
	JJ_BACKEND_NOT_SENT, /**< no byte can have reached the server */
	JJ_BACKEND_REFUSED, /**< 429 or 503: verifiably not started */
	JJ_BACKEND_LEAVING, /**< refused because the server is shutting down */
	/**
	 * gateway: refused because of what the request asks for; the server may
	 * take others
	 */
	JJ_BACKEND_MISMATCH,
	JJ_BACKEND_FIRST, /**< first token, or the head of an answer */
	JJ_BACKEND_TOKENS, /**< `tokens` more tokens */
	JJ_BACKEND_DONE,
	/**
	 * gateway: a stream ended between two events with its connection,
	 * without a length or chunks. It is resumed there: if nothing follows,
	 * it is done.
	 */
	JJ_BACKEND_UNCONFIRMED,
	/**
	 * A permanent refusal (4xx), or an error of the server (500 and the
	 * like), that is relayed to the caller. When it
	 * answers an attempt to resume a stream, the attempt has failed.
	 */
	JJ_BACKEND_REJECTED,
	JJ_BACKEND_FAILED, /**< an error after the request may have started */
	JJ_BACKEND_BROKEN, /**< the connection broke after sending */
	JJ_BACKEND_TIMEOUT,
	JJ_BACKEND_CANCELLED, /**< this VM cancelled the attempt */
} jj_backend_kind_t;

typedef struct {
	uint64_t request;
	uint32_t attempt; /**< events of older attempts are ignored */
	jj_backend_kind_t kind;
	uint32_t tokens;
	jj_ms_t retry_after_ms; /**< Retry-After that came with a refusal */
	bool relayed; /**< the caller has received part of the answer */
	/** gateway: software version of the events so far, 0: no event */
	uint64_t software;
	/** gateway: version of the server's weights, 0: not told */
	uint64_t weights;
	/**
	 * gateway: the answer had no length and ended with its connection, as
	 * it also does when the server crashes
	 */
	bool unframed;
	/** gateway, for logs: how the attempt's connection ended; static */
	const char *ended;
	/** gateway, for logs: how the end of its body is found; static */
	const char *framing;
	int status; /**< gateway, for logs: of the answer, 0: none */
	bool stamped; /**< gateway, for logs: it has the server's stamp */
	uint32_t events; /**< gateway: complete events of the attempt */
	int64_t after; /**< gateway: event after which it was resumed, or -1 */
	bool resumable; /**< the server can resume the stream */
	bool probe_cut; /**< the health probe of the server was cut off, too */
} jj_backend_event_t;

typedef struct {
	jj_name_t name; /**< this VM */
	jj_name_t domain;
	uint64_t seed;
	double retry_share; /**< retries per first attempt; default 0.1 */
	uint32_t retry_floor; /**< retries always allowed per window; default
				   10 */
	jj_ms_t withdraw_retry_ms; /**< Retry-After of batch items that are
					not accepted or are withdrawn;
					default 250 */
	uint32_t batch_start; /**< initial request limit of a server; default
				   2 */
	uint32_t batch_most; /**< maximum batch items per server; default 256 */
} jj_dispatch_settings_t;

typedef struct jj_dispatch jj_dispatch_t;

/**
 * Creates the dispatcher. It only reads the other modules, except that it
 * records in the fleet and the quarantine what it observes of servers.
 */
jj_dispatch_t *jj_dispatch_create(const jj_dispatch_settings_t *settings,
    const jj_config_t *config, jj_fleet_t *fleet, const jj_member_t *member,
    jj_quarantine_t *quarantine);
void jj_dispatch_destroy(jj_dispatch_t *dispatch);

/**
 * Accepts a request. The result is JJ_ACTION_BACKEND_START, now or later and
 * possibly several times, one attempt at a time, and JJ_ACTION_ANSWER when the
 * request is abandoned. An attempt with resume_from set continues the stream of
 * the previous attempt at the same server, behind the tokens that the relay
 * already has. A batch item that is withdrawn gets JJ_ACTION_BACKEND_CANCEL
 * and then JJ_ACTION_ANSWER with reason JJ_FAILURE_OVERLOADED.
 */
void jj_dispatch_begin(jj_dispatch_t *dispatch, const jj_request_t *request,
    jj_ms_t now, jj_actions_t *out);
/** Handles an event of an attempt; events of older attempts are ignored. */
void jj_dispatch_take_event(jj_dispatch_t *dispatch,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out);
/** Stops a request because its caller disconnected or its job was cancelled. */
void jj_dispatch_cancel(
    jj_dispatch_t *dispatch, uint64_t request, jj_ms_t now, jj_actions_t *out);
/**
 * Handles the crash of a server: fails its requests in flight as broken, marks
 * them as suspects and adds the crash report for the neighbours.
 */
void jj_dispatch_take_crash(jj_dispatch_t *dispatch, const jj_name_t *server,
    uint64_t boot, jj_ms_t now, jj_actions_t *out);
/** Notes that the server answered a health probe. */
void jj_dispatch_note_alive(jj_dispatch_t *dispatch, const jj_name_t *server,
    jj_ms_t now, jj_actions_t *out);
/** Handles the request counts that a neighbour reported. */
void jj_dispatch_take_loads(jj_dispatch_t *dispatch, const jj_name_t *from,
    const jj_load_t *loads, uint32_t count, jj_ms_t now);
/** Handles a server's own load report, which lags by @p age_ms. */
void jj_dispatch_take_report(jj_dispatch_t *dispatch, const jj_name_t *server,
    uint32_t running, uint32_t waiting, jj_ms_t age_ms, jj_ms_t now);
/**
 * Handles a cache event. Events arrive late and some are lost, so they only
 * serve as hints for routing.
 */
void jj_dispatch_take_cache_event(jj_dispatch_t *dispatch,
    const jj_name_t *server, uint64_t prefix, bool added);
/** Processes queues, deadlines and headroom and sends load messages. */
void jj_dispatch_tick(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_dispatch_next(const jj_dispatch_t *dispatch);
/** How many more batch items this VM can start now, over all its servers. */
uint32_t jj_dispatch_batch_capacity(const jj_dispatch_t *dispatch, jj_ms_t now);
/** Batch limit of this VM at the servers of one service. */
typedef struct {
	jj_name_t service;
	uint32_t limit; /**< items that may be in flight at the same time */
} jj_batch_share_t;

/** True when this VM is steward of a server of the service that is up. */
bool jj_dispatch_has_share(
    const jj_dispatch_t *dispatch, const jj_name_t *service, jj_ms_t now);
/**
 * Lists the services of whose servers this VM is steward; returns how many
 * entries were written, at most @p max_count.
 */
uint32_t jj_dispatch_shares(const jj_dispatch_t *dispatch,
    jj_batch_share_t *shares, uint32_t max_count, jj_ms_t now);
/** How many more batch items this VM can start at servers of one service. */
uint32_t jj_dispatch_service_capacity(
    const jj_dispatch_t *dispatch, const jj_name_t *service, jj_ms_t now);
/**
 * Writes this VM's loads for the next heartbeat: a few servers each time, in
 * rotation, so that a neighbour that missed a load message is corrected within
 * a few seconds. Called once for each round of heartbeats.
 * @return how many entries were written.
 */
uint32_t jj_dispatch_loads(
    jj_dispatch_t *dispatch, jj_load_t *loads, uint32_t max_count);
/** The hash that identifies a server in messages. */
uint64_t jj_dispatch_hash_server(const jj_name_t *server);
/**
 * Starts a planned stop: new requests are refused, those in flight run to their
 * end.
 */
void jj_dispatch_drain(jj_dispatch_t *dispatch);
/** Number of requests of a class that are queued or in flight. */
uint32_t
jj_dispatch_in_flight(const jj_dispatch_t *dispatch, jj_class_t class_of);

#endif
