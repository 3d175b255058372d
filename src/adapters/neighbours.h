/**
 * @file neighbours.h
 * @brief Messages between the VMs of a deployment, over ZeroMQ.
 *
 * One thread owns all sockets, as they are not thread-safe: a PULL socket that
 * every neighbour connects to, and a PUSH socket per neighbour. Delivery is not
 * guaranteed: messages may be lost, delayed, or repeated after a reconnect, and
 * the core allows for that.
 */
#ifndef JJ_ADAPTERS_NEIGHBOURS_H
#define JJ_ADAPTERS_NEIGHBOURS_H

#include "core/message.h"

/** Receives a decoded message; ownership passes to the callee. */
typedef void (*jj_neighbours_receive_t)(void *ctx, jj_message_t *message);

/** Monotonic counters for metrics. */
typedef struct {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t dropped; /**< queue full, not connected, or too large */
	uint64_t received;
	uint64_t received_bytes;
	uint64_t malformed;
	uint64_t other_version;
	uint64_t sent_by_kind[JJ_MESSAGE_KIND_END];
	uint64_t sent_bytes_by_kind[JJ_MESSAGE_KIND_END];
} jj_neighbours_counts_t;

typedef struct jj_neighbours jj_neighbours_t;

/**
 * Binds @p address (IP:PORT) and starts the thread; NULL on failure.
 * @param receive_pause_ms pause after receiving messages, so that one wake-up
 * handles all that arrive meanwhile; 0: receive each message at once.
 */
jj_neighbours_t *jj_neighbours_create(const char *address, int receive_pause_ms,
    jj_neighbours_receive_t take, void *ctx);
void jj_neighbours_destroy(jj_neighbours_t *neighbours);
/** Sends to a VM at @p address; @p message is encoded before return. */
void jj_neighbours_send(jj_neighbours_t *neighbours, const char *name,
    const char *address, const jj_message_t *message);
/** Drops all messages to and from a VM, for failure tests. */
void jj_neighbours_set_partitioned(
    jj_neighbours_t *neighbours, const char *name, bool partitioned);
jj_neighbours_counts_t jj_neighbours_counts(jj_neighbours_t *neighbours);
/** Writes the counts to the metrics, in total and by kind of message. */
void jj_neighbours_update_metrics(jj_neighbours_t *neighbours);

#endif
