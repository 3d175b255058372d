/**
 * @file relay.h
 * @brief Relays requests to backend servers and answers to callers, in shards.
 *
 * A shard is a thread with an HTTP client, a table of exchanges and a lock.
 * Tokens are copied from the server's connection to the caller's buffer within
 * the shard; the core receives only the events that its decisions depend on.
 *
 * An exchange is one request with its answer, and has one attempt at a time.
 * Late data of an older attempt (an answer, the rest of a stream) is dropped
 * by its attempt number, and its connection is closed, so that it can never
 * reach this or another caller.
 *
 * Lock order: the shard's lock, then the lock of a call (http_server.h).
 */
#ifndef JJ_DAEMON_RELAY_H
#define JJ_DAEMON_RELAY_H

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/trace.h"
#include "core/action.h"
#include "core/dispatch.h"

/** Who receives the answer to a request. */
typedef enum {
	JJ_EXCHANGE_CALLER, /**< a caller, on its HTTP call */
	JJ_EXCHANGE_ITEM, /**< the batch worker */
	JJ_EXCHANGE_LEDGER_CALL, /**< the ledger: a non-idempotent call */
} jj_exchange_kind_t;

/** A request and where its answer goes; copied by value. */
typedef struct {
	uint64_t request;
	jj_exchange_kind_t kind;
	jj_http_call_t *call; /**< the caller's, NULL for other kinds */
	bool is_model;
	bool streams; /**< the caller requested a stream */
	bool idempotent; /**< set when an attempt is started */
	jj_ms_t deadline_ms; /**< by the monotonic clock, 0: none */
	jj_name_t service;
	jj_bytes_t path; /**< at the backend server; owned */
	jj_bytes_t body; /**< owned */
	char key[JJ_IDEMPOTENCY_KEY_MAX + 1];
	char operation_id[JJ_NAME_MAX + 32]; /**< sent to both sides */
	jj_span_t span; /**< trace span of the hop from the caller */
} jj_exchange_t;

/** A complete answer of a backend server. */
typedef struct {
	int status;
	char content_type[96];
	jj_bytes_t body; /**< owned */
} jj_backend_answer_t;

/** Events of the relay; called on a shard's thread. */
typedef struct {
	void *ctx;
	/**
	 * An attempt started to answer, made progress or ended.
	 * @param answer the answer of DONE and REJECTED, except for streamed
	 * callers; the receiver takes ownership of its body.
	 * @param server the server of the attempt.
	 * @param suspect a connection to the server failed, so its process may
	 * have crashed.
	 */
	void (*on_event)(void *ctx, const jj_backend_event_t *event,
	    jj_backend_answer_t *answer, const jj_name_t *server, bool suspect);
	/** A server reported that it is leaving. */
	void (*on_leaving)(void *ctx, const jj_name_t *server);
} jj_relay_port_t;

typedef struct jj_relay jj_relay_t;

/** @param shards number of threads, at least 1. */
jj_relay_t *jj_relay_create(uint32_t shards, const jj_relay_port_t *port);
/**
 * From now on answers of servers count in the guard's sum. To be called before
 * the first attempt.
 */
void jj_relay_set_guard(jj_relay_t *relay, jj_http_guard_t *guard);
void jj_relay_destroy(jj_relay_t *relay);

/** Adds an exchange; takes ownership of its path, body and call. */
void jj_relay_add(jj_relay_t *relay, const jj_exchange_t *exchange);
/** Copies an exchange, which stays the owner; false when it is gone. */
bool jj_relay_find(jj_relay_t *relay, uint64_t request, jj_exchange_t *copy);
/** Address of the last attempt; false when the exchange is gone. */
bool jj_relay_address(
    jj_relay_t *relay, uint64_t request, char *address, size_t size);
/** Sends an attempt to a server at IP:PORT. */
void jj_relay_start(jj_relay_t *relay, const jj_backend_start_t *start,
    const char *address, jj_ms_t timeout_ms, bool idempotent);
/** Cancels an attempt; no more events of it are reported. */
void jj_relay_cancel(jj_relay_t *relay, uint64_t request, uint32_t attempt);
/**
 * Removes an exchange, which its receiver now owns and has to answer.
 * @param relayed true when part of a streamed answer was sent to the caller.
 * @return false when it is gone already.
 */
bool jj_relay_take(
    jj_relay_t *relay, uint64_t request, jj_exchange_t *taken, bool *relayed);
/** Frees the path and body of a removed exchange, but not its call. */
void jj_exchange_clear(jj_exchange_t *exchange);
/** Resumes a paused answer once the caller's buffer has free space. */
void jj_relay_resume(jj_relay_t *relay, uint64_t request);
/** Request number of a call's exchange, 0: none. */
uint64_t jj_relay_request_of(const jj_http_call_t *call);

#endif
