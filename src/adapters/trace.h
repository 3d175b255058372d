/**
 * @file trace.h
 * @brief A span for each hop of a request, with W3C trace context.
 *
 * A span is a plain struct owned by the code that handles the hop. When it
 * ends, it is copied into a ring of the newest spans and, if its trace is
 * sampled, written to a file as OTLP JSON lines. All functions may be called
 * from any thread, but only one thread at a time may use a given span.
 */
#ifndef JJ_ADAPTERS_TRACE_H
#define JJ_ADAPTERS_TRACE_H

#include "core/types.h"

/** Size of a traceparent header's value with its NUL, bytes. */
#define JJ_TRACE_PARENT_SIZE 56
/** Maximum attributes of one span. */
#define JJ_TRACE_ATTRIBUTES_MAX 8

/** The hop that a span represents. */
typedef enum {
	JJ_HOP_CALLER, /**< a caller's request at its entry VM */
	JJ_HOP_QUEUE, /**< waiting for a backend server */
	JJ_HOP_NEIGHBOUR, /**< a request sent to another VM */
	JJ_HOP_HOME, /**< a forwarded call at its home VM */
	JJ_HOP_BACKEND, /**< one attempt at a backend server */
	JJ_HOP_PLATFORM, /**< one call to the platform */
	JJ_HOP_BATCH, /**< one run of a batch item */
} jj_hop_t;

/** The parent of a span: a parsed traceparent. */
typedef struct {
	uint8_t trace[16];
	uint8_t span[8];
	bool sampled;
} jj_trace_parent_t;

typedef struct {
	char key[32];
	char value[96]; /**< truncated when longer */
} jj_attribute_t;

typedef struct {
	uint8_t trace[16];
	uint8_t id[8];
	uint8_t parent[8]; /**< zero: root span of the trace */
	bool sampled;
	bool failed;
	jj_hop_t hop;
	char name[48]; /**< truncated when longer */
	uint64_t start_ns; /**< Unix time */
	uint64_t end_ns;
	uint32_t attribute_count;
	jj_attribute_t attributes[JJ_TRACE_ATTRIBUTES_MAX];
} jj_span_t;

typedef struct {
	const char *vm; /**< `service.instance.id` of all spans */
	const char *file; /**< NULL or empty: spans are not exported */
	double share; /**< sampled share of the traces started here, 0 to 1 */
	size_t ring; /**< spans kept for jj_trace_find; 0: 2048 */
	jj_ms_t flush_ms; /**< interval of writes; 0: only jj_trace_flush */
} jj_trace_settings_t;

/**
 * Opens the tracer and starts the thread that writes its file.
 * @return false when the file cannot be opened (errno holds the error).
 */
bool jj_trace_open(const jj_trace_settings_t *settings);
/** Writes the pending spans and closes; later spans are discarded. */
void jj_trace_close(void);

/**
 * Parses a traceparent header according to W3C Trace Context level 1.
 * @return false when the header is invalid and must be ignored.
 */
bool jj_trace_parse_parent(const char *text, jj_trace_parent_t *parent);
/** Writes the traceparent that makes @p span the parent of the next hop. */
void
jj_trace_format_parent(const jj_span_t *span, char text[JJ_TRACE_PARENT_SIZE]);
/** The parent for spans that are children of @p span. */
jj_trace_parent_t jj_trace_as_parent(const jj_span_t *span);

/** Starts a span; @p parent NULL: starts a trace and decides its sampling. */
void jj_trace_begin(jj_span_t *span, const jj_trace_parent_t *parent,
    jj_hop_t hop, const char *name, uint64_t unix_ns);
/** Adds an attribute; more than JJ_TRACE_ATTRIBUTES_MAX are ignored. */
void jj_trace_set(jj_span_t *span, const char *key, const char *value);
/** Ends a span, and stores it in the ring and for export. */
void jj_trace_end(jj_span_t *span, bool failed, uint64_t unix_ns);

/** Writes the pending spans now. */
void jj_trace_flush(void);
/** Number of spans not exported because the writer was too slow. */
uint64_t jj_trace_dropped(void);
/**
 * Returns the spans of a trace that are still in the ring as a JSON array,
 * oldest first.
 * @param trace_hex 32 hex digits; anything else gives an empty array ("[]").
 */
jj_bytes_t jj_trace_find(const char *trace_hex);

#endif
