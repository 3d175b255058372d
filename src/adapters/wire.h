/**
 * @file wire.h
 * @brief Strict msgpack encoding and decoding of messages between VMs.
 *
 * A message is the array [version, kind, from, incarnation, sequence, body];
 * the body is an array of the kind's fields in a fixed order. A newer build may
 * append fields and add kinds: both are ignored here, so that the VMs of two
 * builds in a row understand each other during an upgrade.
 */
#ifndef JJ_ADAPTERS_WIRE_H
#define JJ_ADAPTERS_WIRE_H

#include "core/message.h"

/** Maximum size of an encoded message, bytes: payload plus other fields. */
#define JJ_WIRE_BYTES_MAX (JJ_MESSAGE_BYTES_MAX + 65536)

typedef enum {
	JJ_WIRE_OK,
	JJ_WIRE_MALFORMED, /**< not a message, or a field out of bounds */
	JJ_WIRE_OTHER_VERSION, /**< from another JJ_MESSAGE_VERSION */
	JJ_WIRE_OTHER_KIND, /**< of a kind that this build does not know */
	JJ_WIRE_TOO_LARGE, /**< more than JJ_WIRE_BYTES_MAX bytes */
} jj_wire_outcome_t;

/**
 * Encodes a message.
 * @return its bytes, owned by the calling function; empty if they would exceed
 * JJ_WIRE_BYTES_MAX or the message exceeds a bound of message.h.
 */
jj_bytes_t jj_wire_encode(const jj_message_t *message);
/**
 * Decodes one message of @p size bytes. Allocates at most a fixed multiple of
 * @p size, whatever counts the bytes declare. On JJ_WIRE_OK free @p out with
 * jj_message_clear; otherwise it is zeroed.
 */
jj_wire_outcome_t
jj_wire_decode(const void *data, size_t size, jj_message_t *out);
/** Name of an outcome, for log lines. */
const char *jj_wire_outcome_name(jj_wire_outcome_t outcome);

#endif
