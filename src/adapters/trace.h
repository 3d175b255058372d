/**
 * @file trace.h
 * @brief A span for each hop of a request, with W3C trace context.
 *
 * Spans are plain structs in the hands of whoever handles the hop. An ended
 * span goes into a ring of the newest ones and, when its trace is sampled,
 * to a file as OTLP JSON lines. All functions may be called from any thread;
 * one span belongs to one thread at a time.
 */
#ifndef JJ_ADAPTERS_TRACE_H
#define JJ_ADAPTERS_TRACE_H

#include "core/types.h"

/** A traceparent header's text with its NUL. */
#define JJ_TRACE_PARENT_SIZE 56
/** Most attributes of one span. */
#define JJ_TRACE_ATTRIBUTES_MAX 8

/** Which hop a span stands for. */
typedef enum {
	JJ_HOP_CALLER, /**< a caller's request at its entry VM */
	JJ_HOP_QUEUE, /**< waiting for a backend server */
	JJ_HOP_NEIGHBOUR, /**< asked of another VM */
	JJ_HOP_HOME, /**< a forwarded call at its home */
	JJ_HOP_BACKEND, /**< one attempt at a backend server */
	JJ_HOP_PLATFORM, /**< one call to the platform */
	JJ_HOP_BATCH, /**< one run of a batch item */
} jj_hop_t;

/** Where a trace comes from: a parsed traceparent. */
typedef struct {
	uint8_t trace[16];
	uint8_t span[8];
	bool sampled;
} jj_trace_parent_t;

typedef struct {
	char key[32];
	char value[96]; /**< cut when longer */
} jj_attribute_t;

typedef struct {
	uint8_t trace[16];
	uint8_t id[8];
	uint8_t parent[8]; /**< zero: the trace's first span */
	bool sampled;
	bool failed;
	jj_hop_t hop;
	char name[48]; /**< cut when longer */
	uint64_t start_ns; /**< Unix time */
	uint64_t end_ns;
	uint32_t attribute_count;
	jj_attribute_t attributes[JJ_TRACE_ATTRIBUTES_MAX];
} jj_span_t;

typedef struct {
	const char *vm; /**< `service.instance.id` of all spans */
	const char *file; /**< NULL or empty: spans are not exported */
	double share; /**< of traces begun here that are sampled, 0 to 1 */
	size_t ring; /**< spans kept for jj_trace_find; 0: 2048 */
	jj_ms_t flush_ms; /**< between writes; 0: only by jj_trace_flush */
} jj_trace_settings_t;

/**
 * Opens the tracer and starts its writing thread.
 * @return false when the file cannot be opened (errno says why).
 */
bool jj_trace_open(const jj_trace_settings_t *settings);
/** Writes what is pending and closes; later spans are dropped. */
void jj_trace_close(void);

/**
 * Parses a traceparent header as W3C Trace Context level 1 says.
 * @return false when it must be ignored.
 */
bool jj_trace_parse_parent(const char *text, jj_trace_parent_t *parent);
/** Writes the traceparent that makes @p span the parent of the next hop. */
void
jj_trace_format_parent(const jj_span_t *span, char text[JJ_TRACE_PARENT_SIZE]);
/** What a child of @p span needs. */
jj_trace_parent_t jj_trace_as_parent(const jj_span_t *span);

/** Begins a span; @p parent NULL begins a trace and decides its sampling. */
void jj_trace_begin(jj_span_t *span, const jj_trace_parent_t *parent,
    jj_hop_t hop, const char *name, uint64_t unix_ns);
/** Adds an attribute; what is beyond JJ_TRACE_ATTRIBUTES_MAX is left out. */
void jj_trace_set(jj_span_t *span, const char *key, const char *value);
/** Ends a span and records it. */
void jj_trace_end(jj_span_t *span, bool failed, uint64_t unix_ns);

/** Writes the pending spans now. */
void jj_trace_flush(void);
/** Spans left out as the writer could not keep up. */
uint64_t jj_trace_dropped(void);
/**
 * Spans of a trace that are still in the ring, oldest first, as a JSON array.
 * @param trace_hex 32 hex digits; anything else finds nothing ("[]").
 */
jj_bytes_t jj_trace_find(const char *trace_hex);

#endif
