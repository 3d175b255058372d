/**
 * @file stream_relay.h
 * @brief Forwards answers of backend servers to callers, byte for byte.
 *
 * An exchange is one request with its answer, and has one attempt at a time;
 * late data of an older attempt is dropped by its attempt number. Of a stream,
 * only complete events are forwarded, and only those whose ids follow the last
 * one that the caller has (core/event_stream.h). An answer is therefore the
 * output of one run, whatever is decided elsewhere. An answer that is no
 * stream is forwarded once it is complete.
 */
#ifndef JJ_DAEMON_STREAM_RELAY_H
#define JJ_DAEMON_STREAM_RELAY_H

#include "adapters/deployment.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "core/gateway.h"

/** A request for a server; the relay takes ownership of its memory. */
typedef struct {
	uint64_t request;
	jj_http_call_t *call; /**< the caller's, NULL for a batch item */
	char *id; /**< request id, which the server must echo */
	char *method;
	char *uri;
	char **headers; /**< "Name: value", to be forwarded */
	size_t header_count;
	jj_bytes_t body;
	int64_t last_id; /**< event to resume after, or JJ_EVENT_NO_ID */
} jj_stream_exchange_t;

/** Events of the relay; called on its HTTP client's thread. */
typedef struct {
	void *ctx;
	/**
	 * An attempt started to answer, made progress or ended.
	 * @param text output of a completed batch item; the receiver takes
	 * ownership of it.
	 */
	void (*on_event)(void *ctx, const jj_backend_event_t *event, int status,
	    jj_bytes_t *text);
} jj_stream_relay_port_t;

typedef struct jj_stream_relay jj_stream_relay_t;

jj_stream_relay_t *jj_stream_relay_create(
    const jj_deployment_t *deployment, const jj_stream_relay_port_t *port);
void jj_stream_relay_destroy(jj_stream_relay_t *relay);

/**
 * From now on answers of servers count in the guard's sum; one that does not
 * fit ends as broken. To be called before the first attempt.
 */
void
jj_stream_relay_set_guard(jj_stream_relay_t *relay, jj_http_guard_t *guard);
/** From now on answers close their callers' connections. */
void jj_stream_relay_close_connections(jj_stream_relay_t *relay);

void jj_stream_relay_add(
    jj_stream_relay_t *relay, const jj_stream_exchange_t *exchange);
/** Adds a header to an exchange before it is added to the relay. */
void jj_stream_exchange_add_header(
    jj_stream_exchange_t *exchange, const char *name, const char *value);
/** True while the relay has the exchange of that request. */
bool jj_stream_relay_has(jj_stream_relay_t *relay, uint64_t request);
/** Sends an attempt to a server. */
void jj_stream_relay_start(jj_stream_relay_t *relay, uint64_t request,
    uint32_t attempt, const jj_gateway_attempt_t *start);
/** Cancels an attempt; no more events of it are reported. */
void jj_stream_relay_cancel(
    jj_stream_relay_t *relay, uint64_t request, uint32_t attempt);
/**
 * Removes an exchange and cancels its attempt.
 * @param call the caller's, NULL for a batch item; to be answered by the
 * receiver.
 * @param relayed true when part of a streamed answer was sent to the caller.
 * @return false when it is gone already.
 */
bool jj_stream_relay_take(jj_stream_relay_t *relay, uint64_t request,
    jj_http_call_t **call, bool *relayed);
/**
 * Forwards the last server's error that was kept while the request was sent
 * again; false when there is none.
 * @param not_run the request has certainly not run: only then is a refusal
 * true that promises this.
 */
bool jj_stream_relay_forward_error(
    jj_stream_relay_t *relay, uint64_t request, bool not_run);
/** Resumes a paused answer once the caller's buffer has free space. */
void jj_stream_relay_resume(jj_stream_relay_t *relay, uint64_t request);
/** True for hop-by-hop headers, which must not be forwarded. */
bool jj_stream_relay_is_hop_header(const char *name);

#endif
