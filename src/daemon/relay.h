/**
 * @file relay.h
 * @brief Requests between callers and backend servers, in shards.
 *
 * A shard is a thread with an HTTP client, a table of exchanges and a lock.
 * Tokens pass from the server's connection to the caller's buffer within the
 * shard; the core hears only of what matters to its decisions.
 *
 * An exchange has one attempt at a time. What an older attempt still brings
 * (a late answer, the rest of a stream) is dropped by its number, and its
 * connection is closed, so it can never reach this or another caller.
 *
 * Lock order: a shard's lock, then a call's own (http_server.h).
 */
#ifndef JJ_DAEMON_RELAY_H
#define JJ_DAEMON_RELAY_H

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/trace.h"
#include "core/action.h"
#include "core/dispatch.h"

/** For whom a request is run. */
typedef enum {
	JJ_EXCHANGE_CALLER, /**< a caller waits on an HTTP call */
	JJ_EXCHANGE_ITEM, /**< the batch worker */
	JJ_EXCHANGE_RUN, /**< the ledger: a non-idempotent call */
} jj_exchange_kind_t;

/** What is known of a request when it comes in; plain. */
typedef struct {
	uint64_t request;
	jj_exchange_kind_t kind;
	jj_http_call_t *call; /**< of a caller, else NULL */
	bool is_model;
	bool streams; /**< the caller asked for a stream */
	bool idempotent; /**< known when it is started */
	jj_ms_t deadline_ms; /**< by the monotonic clock, 0: none */
	jj_name_t service;
	jj_bytes_t path; /**< at the backend server; owned */
	jj_bytes_t body; /**< owned */
	char key[JJ_IDEMPOTENCY_KEY_MAX + 1];
	char operation_id[JJ_NAME_MAX + 32]; /**< told to both sides */
	jj_span_t span; /**< the caller's hop */
} jj_exchange_t;

/** A whole answer of a backend server. */
typedef struct {
	int status;
	char content_type[96];
	jj_bytes_t body; /**< owned */
} jj_whole_t;

/** What the relay tells; called on a shard's thread. */
typedef struct {
	void *ctx;
	/**
	 * Something happened at a server. @p whole is the answer of DONE and
	 * REJECTED for all but streamed callers; the receiver takes its body
	 * over. @p server and @p suspect: a connection failed, the server's
	 * process may have died.
	 */
	void (*on_event)(void *ctx, const jj_backend_event_t *event,
	    jj_whole_t *whole, const jj_name_t *server, bool suspect);
	/** A server said that it is leaving. */
	void (*on_leaving)(void *ctx, const jj_name_t *server);
} jj_relay_port_t;

typedef struct jj_relay jj_relay_t;

/** @param shards how many threads, at least 1. */
jj_relay_t *jj_relay_create(uint32_t shards, const jj_relay_port_t *port);
void jj_relay_destroy(jj_relay_t *relay);

/** Adds an exchange; takes over what it owns. */
void jj_relay_add(jj_relay_t *relay, const jj_exchange_t *exchange);
/** Copies an exchange's plain part; false when it is gone. */
bool jj_relay_find(jj_relay_t *relay, uint64_t request, jj_exchange_t *copy);
/** Where the last attempt went; false when the exchange is gone. */
bool jj_relay_address(
    jj_relay_t *relay, uint64_t request, char *address, size_t room);
/** Sends an attempt to a server at IP:PORT. */
void jj_relay_start(jj_relay_t *relay, const jj_backend_start_t *start,
    const char *address, jj_ms_t timeout_ms, bool idempotent);
/** Abandons an attempt; nothing is heard of it any more. */
void jj_relay_cancel(jj_relay_t *relay, uint64_t request, uint32_t attempt);
/**
 * Takes an exchange off: the caller of this function answers it.
 * @param relayed set when part of a streamed answer is at the caller.
 * @return false when it is gone already.
 */
bool jj_relay_take(
    jj_relay_t *relay, uint64_t request, jj_exchange_t *taken, bool *relayed);
/** Frees what an exchange taken off owns, but not its call. */
void jj_exchange_clear(jj_exchange_t *exchange);
/** A caller's buffer has room again: paused bytes go on. */
void jj_relay_resume(jj_relay_t *relay, uint64_t request);
/** The exchange's request number of a call, 0: none. */
uint64_t jj_relay_request_of(const jj_http_call_t *call);

#endif
