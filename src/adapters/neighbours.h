/**
 * @file neighbours.h
 * @brief Messages between VMs of ours over ZeroMQ.
 *
 * One thread owns all sockets, since they are not thread-safe: a PULL socket
 * that every neighbour connects to, and a PUSH socket per neighbour. ZeroMQ
 * promises nothing here: messages may be lost, late or repeated after a
 * reconnect, and the core does not rely on it.
 */
#ifndef JJ_ADAPTERS_NEIGHBOURS_H
#define JJ_ADAPTERS_NEIGHBOURS_H

#include "core/message.h"

/** A message that decoded; the receiver takes over what it owns. */
typedef void (*jj_neighbours_take_t)(void *ctx, jj_message_t *message);

/** Counts for metrics; they only rise. */
typedef struct {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t dropped; /**< full or not connected: not queued for later */
	uint64_t received;
	uint64_t received_bytes;
	uint64_t malformed;
	uint64_t other_version;
	uint64_t kind_sent[JJ_MESSAGE_KIND_END];
	uint64_t kind_sent_bytes[JJ_MESSAGE_KIND_END];
} jj_neighbours_counts_t;

typedef struct jj_neighbours jj_neighbours_t;

/**
 * Binds @p address (IP:PORT) and starts the thread; NULL on failure.
 * @param gather_ms after some messages were taken the next ones wait so long,
 * so that one wake of the threads serves many; 0: each is taken at once.
 */
jj_neighbours_t *jj_neighbours_create(
    const char *address, int gather_ms, jj_neighbours_take_t take, void *ctx);
void jj_neighbours_destroy(jj_neighbours_t *neighbours);
/** Sends to a VM at @p address; encodes before it returns. */
void jj_neighbours_send(jj_neighbours_t *neighbours, const char *name,
    const char *address, const jj_message_t *message);
/** Drops all traffic with a VM, for failure tests. */
void jj_neighbours_cut(jj_neighbours_t *neighbours, const char *name, bool cut);
jj_neighbours_counts_t jj_neighbours_counts(jj_neighbours_t *neighbours);
/** Puts the counts into the metrics, in all and by kind of message. */
void jj_neighbours_update_metrics(jj_neighbours_t *neighbours);

#endif
