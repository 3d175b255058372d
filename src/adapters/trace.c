/**
 * @file trace.c
 * @brief Keeps the newest spans in a ring and exports them as OTLP JSON.
 *
 * Lock order: write_lock, then trace_lock. Ending a span takes only
 * trace_lock, to copy the span. The file is written without trace_lock, so
 * that a slow disk does not delay requests.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "adapters/random.h"
#include "adapters/runtime.h"
#include "adapters/trace.h"

/** Ring size if the settings give none, spans. */
#define RING_DEFAULT 2048
/** Maximum spans waiting to be written; further spans are dropped. */
#define PENDING_MAX 4096
/** Maximum spans in one line of the file. */
#define LINE_SPANS_MAX 512
/** Length of a traceparent of version 00. */
#define PARENT_LENGTH 55

/* SpanKind of OTLP. */
#define OTLP_INTERNAL 1
#define OTLP_SERVER 2
#define OTLP_CLIENT 3
/* Status code of OTLP: error. */
#define OTLP_ERROR 2

typedef struct {
	const char *name;
	int kind;
} hop_t;

static const hop_t hops[] = {
    [JJ_HOP_CALLER] = {"caller", OTLP_SERVER},
    [JJ_HOP_QUEUE] = {"queue", OTLP_INTERNAL},
    [JJ_HOP_NEIGHBOUR] = {"neighbour", OTLP_CLIENT},
    [JJ_HOP_HOME] = {"home", OTLP_SERVER},
    [JJ_HOP_BACKEND] = {"backend", OTLP_CLIENT},
    [JJ_HOP_PLATFORM] = {"platform", OTLP_CLIENT},
    [JJ_HOP_BATCH] = {"batch", OTLP_INTERNAL},
};

static size_t copy_trace(const uint8_t[16], jj_span_t **);
static bool read_hex(const char *, size_t, uint8_t *);
static int hex_digit(char);
static void write_hex(const uint8_t *, size_t, char *);
static bool is_zero(const uint8_t *, size_t);
static void copy_truncated(char *, size_t, const char *);
static bool choose_sampled(const uint8_t[16]);
static void start_writer(void);
static void *APR_THREAD_FUNC run_writer(apr_thread_t *, void *);
static bool is_writer_running(void);
static void write_spans(const jj_span_t *, size_t);
static json_t *encode_request(const jj_span_t *, size_t);
static json_t *encode_span(const jj_span_t *);
static json_t *encode_attribute(const char *, const char *);
static json_t *encode_text(const char *);

/** Guards the variables below, except the file. */
static jj_static_lock_t trace_lock;
static jj_name_t trace_vm;
static double trace_share;
static jj_ms_t trace_flush_ms;
static jj_span_t *ring; /**< NULL: tracer closed */
static size_t ring_size;
static uint64_t ring_count; /**< spans added since opening */
static jj_span_t *pending; /**< to be written; NULL: no file */
static size_t pending_count;
static uint64_t dropped;
static bool writer_stopping;
static apr_pool_t *writer_pool; /**< owns writer and writer_waker */
static apr_thread_t *writer; /**< NULL: not running */
static apr_pollset_t *writer_waker;

/** Guards the file. */
static jj_static_lock_t write_lock;
static FILE *trace_file;

bool
jj_trace_open(const jj_trace_settings_t *settings)
{
	FILE *file = NULL;

	if (settings->file != NULL && settings->file[0] != '\0') {
		file = fopen(settings->file, "ae");
		if (file == NULL)
			return false;
	}
	jj_trace_close();
	jj_runtime_lock_static(&write_lock);
	jj_runtime_lock_static(&trace_lock);
	trace_file = file;
	(void)jj_name_set(&trace_vm, settings->vm);
	trace_share = settings->share;
	trace_flush_ms = settings->flush_ms;
	ring_size = settings->ring > 0 ? settings->ring : RING_DEFAULT;
	ring = jj_alloc(ring_size * sizeof(*ring));
	ring_count = 0;
	dropped = 0;
	if (file != NULL)
		pending = jj_alloc(PENDING_MAX * sizeof(*pending));
	if (file != NULL && trace_flush_ms > 0)
		start_writer();
	jj_runtime_unlock_static(&trace_lock);
	jj_runtime_unlock_static(&write_lock);
	return true;
}

void
jj_trace_close(void)
{
	apr_thread_t *stopping;

	jj_runtime_lock_static(&trace_lock);
	stopping = writer;
	writer_stopping = true;
	writer = NULL;
	jj_runtime_unlock_static(&trace_lock);
	if (stopping != NULL) {
		(void)apr_pollset_wakeup(writer_waker);
		jj_runtime_join_thread(stopping);
		apr_pool_destroy(writer_pool);
	}
	jj_trace_flush();
	jj_runtime_lock_static(&write_lock);
	if (trace_file != NULL)
		(void)fclose(trace_file);
	trace_file = NULL;
	jj_runtime_unlock_static(&write_lock);
	jj_runtime_lock_static(&trace_lock);
	free(ring);
	free(pending);
	ring = NULL;
	pending = NULL;
	pending_count = 0;
	jj_runtime_unlock_static(&trace_lock);
}

bool
jj_trace_parse_parent(const char *text, jj_trace_parent_t *parent)
{
	size_t length = strnlen(text, PARENT_LENGTH + 1);
	uint8_t version, flags;

	memset(parent, 0, sizeof(*parent));
	if (length < PARENT_LENGTH || text[2] != '-' || text[35] != '-' ||
	    text[52] != '-')
		return false;
	if (!read_hex(text, 1, &version) || version == 0xff)
		return false;
	/* Later versions may have more fields, each preceded by a dash. */
	if (length > PARENT_LENGTH &&
	    (version == 0 || text[PARENT_LENGTH] != '-'))
		return false;
	if (!read_hex(text + 3, sizeof(parent->trace), parent->trace) ||
	    !read_hex(text + 36, sizeof(parent->span), parent->span) ||
	    !read_hex(text + 53, 1, &flags))
		return false;
	parent->sampled = (flags & 1) != 0;
	return !is_zero(parent->trace, sizeof(parent->trace)) &&
	    !is_zero(parent->span, sizeof(parent->span));
}

void
jj_trace_format_parent(const jj_span_t *span, char text[JJ_TRACE_PARENT_SIZE])
{
	char trace[33], id[17];

	write_hex(span->trace, sizeof(span->trace), trace);
	write_hex(span->id, sizeof(span->id), id);
	(void)snprintf(text, JJ_TRACE_PARENT_SIZE, "00-%s-%s-%02x", trace, id,
	    span->sampled ? 1U : 0U);
}

jj_trace_parent_t
jj_trace_as_parent(const jj_span_t *span)
{
	jj_trace_parent_t parent;

	memcpy(parent.trace, span->trace, sizeof(parent.trace));
	memcpy(parent.span, span->id, sizeof(parent.span));
	parent.sampled = span->sampled;
	return parent;
}

void
jj_trace_begin(jj_span_t *span, const jj_trace_parent_t *parent, jj_hop_t hop,
    const char *name, uint64_t unix_ns)
{
	memset(span, 0, sizeof(*span));
	if (parent != NULL) {
		memcpy(span->trace, parent->trace, sizeof(span->trace));
		memcpy(span->parent, parent->span, sizeof(span->parent));
		span->sampled = parent->sampled;
	} else {
		jj_random_fill(span->trace, sizeof(span->trace));
		span->trace[0] |= 1; /* all zero is invalid */
		span->sampled = choose_sampled(span->trace);
	}
	jj_random_fill(span->id, sizeof(span->id));
	span->id[0] |= 1;
	span->hop = hop;
	span->start_ns = unix_ns;
	copy_truncated(span->name, sizeof(span->name), name);
}

void
jj_trace_set(jj_span_t *span, const char *key, const char *value)
{
	jj_attribute_t *attribute;

	if (span->attribute_count >= JJ_TRACE_ATTRIBUTES_MAX)
		return;
	attribute = &span->attributes[span->attribute_count++];
	copy_truncated(attribute->key, sizeof(attribute->key), key);
	copy_truncated(attribute->value, sizeof(attribute->value), value);
}

void
jj_trace_end(jj_span_t *span, bool failed, uint64_t unix_ns)
{
	span->failed = failed;
	/* The wall clock may have been set back since the start. */
	span->end_ns = unix_ns > span->start_ns ? unix_ns : span->start_ns;
	jj_runtime_lock_static(&trace_lock);
	if (ring == NULL)
		goto out;
	ring[ring_count++ % ring_size] = *span;
	if (!span->sampled || pending == NULL)
		goto out;
	if (pending_count < PENDING_MAX)
		pending[pending_count++] = *span;
	else
		dropped++;
out:
	jj_runtime_unlock_static(&trace_lock);
}

void
jj_trace_flush(void)
{
	jj_span_t *spans = NULL;
	size_t count, at, part;

	/* Locked first, so that two flushes write their lines in order. */
	jj_runtime_lock_static(&write_lock);
	jj_runtime_lock_static(&trace_lock);
	count = pending_count;
	if (count > 0) {
		spans = pending;
		pending = jj_alloc(PENDING_MAX * sizeof(*pending));
		pending_count = 0;
	}
	jj_runtime_unlock_static(&trace_lock);
	for (at = 0; at < count && trace_file != NULL; at += part) {
		part = count - at;
		if (part > LINE_SPANS_MAX)
			part = LINE_SPANS_MAX;
		write_spans(spans + at, part);
	}
	if (count > 0 && trace_file != NULL)
		(void)fflush(trace_file);
	jj_runtime_unlock_static(&write_lock);
	free(spans);
}

uint64_t
jj_trace_dropped(void)
{
	uint64_t count;

	jj_runtime_lock_static(&trace_lock);
	count = dropped;
	jj_runtime_unlock_static(&trace_lock);
	return count;
}

jj_bytes_t
jj_trace_find(const char *trace_hex)
{
	uint8_t trace[16];
	json_t *found = json_array();
	jj_span_t *spans = NULL;
	jj_bytes_t text = {NULL, 0};
	size_t count = 0, i;

	JJ_INVARIANT(found != NULL);
	if (strlen(trace_hex) == 2 * sizeof(trace) &&
	    read_hex(trace_hex, sizeof(trace), trace))
		count = copy_trace(trace, &spans);
	for (i = 0; i < count; i++)
		(void)json_array_append_new(found, encode_span(&spans[i]));
	text.data = json_dumps(found, JSON_COMPACT);
	JJ_INVARIANT(text.data != NULL);
	text.size = strlen(text.data);
	json_decref(found);
	free(spans);
	return text;
}

/*
 * Copies a trace's spans out of the ring, so that requests that end meanwhile
 * wait only for the copy, not for its encoding as JSON.
 */
static size_t
copy_trace(const uint8_t trace[16], jj_span_t **spans)
{
	const jj_span_t *span;
	size_t count = 0;
	uint64_t i;

	jj_runtime_lock_static(&trace_lock);
	i = ring_count > ring_size ? ring_count - ring_size : 0;
	for (; ring != NULL && i < ring_count; i++) {
		span = &ring[i % ring_size];
		if (memcmp(span->trace, trace, sizeof(span->trace)) != 0)
			continue;
		*spans = jj_realloc(*spans, (count + 1) * sizeof(**spans));
		(*spans)[count++] = *span;
	}
	jj_runtime_unlock_static(&trace_lock);
	return count;
}

/* Accepts only lower-case digits, as W3C Trace Context requires. */
static bool
read_hex(const char *text, size_t size, uint8_t *bytes)
{
	size_t i;
	int high, low;

	for (i = 0; i < size; i++) {
		high = hex_digit(text[2 * i]);
		low = hex_digit(text[2 * i + 1]);
		if (high < 0 || low < 0)
			return false;
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static int
hex_digit(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	return -1;
}

static void
write_hex(const uint8_t *bytes, size_t size, char *text)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < size; i++) {
		text[2 * i] = digits[bytes[i] >> 4];
		text[2 * i + 1] = digits[bytes[i] & 0x0f];
	}
	text[2 * size] = '\0';
}

static bool
is_zero(const uint8_t *bytes, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++) {
		if (bytes[i] != 0)
			return false;
	}
	return true;
}

/* Truncates between UTF-8 characters, never inside one. */
static void
copy_truncated(char *to, size_t size, const char *from)
{
	size_t length = strnlen(from, size);

	if (length == size) {
		length--;
		while (
		    length > 0 && ((unsigned char)from[length] & 0xc0) == 0x80)
			length--;
	}
	memcpy(to, from, length);
	to[length] = '\0';
}

/* Decided from bits of the trace id, so that all VMs decide alike. */
static bool
choose_sampled(const uint8_t trace[16])
{
	uint32_t bits;
	double share;

	memcpy(&bits, trace + 12, sizeof(bits));
	jj_runtime_lock_static(&trace_lock);
	share = trace_share;
	jj_runtime_unlock_static(&trace_lock);
	return (double)bits < share * 4294967296.0;
}

/* Without this thread, only jj_trace_flush and jj_trace_close write spans. */
static void
start_writer(void)
{
	writer_stopping = false;
	writer_pool = jj_runtime_create_pool();
	writer_waker = jj_runtime_create_waker(writer_pool);
	if (writer_waker != NULL)
		writer = jj_runtime_start_thread(writer_pool, run_writer, NULL);
	if (writer == NULL)
		apr_pool_destroy(writer_pool);
}

static void *APR_THREAD_FUNC
run_writer(apr_thread_t *thread, void *unused)
{
	(void)thread;
	(void)unused;
	while (is_writer_running()) {
		jj_runtime_wait(writer_waker, trace_flush_ms);
		jj_trace_flush();
	}
	return NULL;
}

static bool
is_writer_running(void)
{
	bool running;

	jj_runtime_lock_static(&trace_lock);
	running = !writer_stopping;
	jj_runtime_unlock_static(&trace_lock);
	return running;
}

/* Writes one OTLP ExportTraceServiceRequest as one line. */
static void
write_spans(const jj_span_t *spans, size_t count)
{
	json_t *request = encode_request(spans, count);

	(void)json_dumpf(request, trace_file, JSON_COMPACT);
	(void)fputc('\n', trace_file);
	json_decref(request);
}

static json_t *
encode_request(const jj_span_t *spans, size_t count)
{
	json_t *list = json_array();
	json_t *request;
	size_t i;

	for (i = 0; i < count; i++)
		(void)json_array_append_new(list, encode_span(&spans[i]));
	request = json_pack("{s:[{s:{s:[o,o]},s:[{s:{s:s},s:o}]}]}",
	    "resourceSpans", "resource", "attributes",
	    encode_attribute("service.name", "jujubed"),
	    encode_attribute("service.instance.id", trace_vm.text),
	    "scopeSpans", "scope", "name", "jujubeswitch", "spans", list);
	JJ_INVARIANT(request != NULL);
	return request;
}

static json_t *
encode_span(const jj_span_t *span)
{
	json_t *attributes = json_array();
	char trace[33], id[17], parent[17], start[24], end[24];
	json_t *object;
	uint32_t i;

	write_hex(span->trace, sizeof(span->trace), trace);
	write_hex(span->id, sizeof(span->id), id);
	write_hex(span->parent, sizeof(span->parent), parent);
	if (is_zero(span->parent, sizeof(span->parent)))
		parent[0] = '\0';
	(void)snprintf(start, sizeof(start), "%" PRIu64, span->start_ns);
	(void)snprintf(end, sizeof(end), "%" PRIu64, span->end_ns);
	(void)json_array_append_new(
	    attributes, encode_attribute("jujube.hop", hops[span->hop].name));
	for (i = 0; i < span->attribute_count; i++)
		(void)json_array_append_new(attributes,
		    encode_attribute(
			span->attributes[i].key, span->attributes[i].value));
	object = json_pack("{s:s,s:s,s:s,s:o,s:i,s:s,s:s,s:o,s:{s:i}}",
	    "traceId", trace, "spanId", id, "parentSpanId", parent, "name",
	    encode_text(span->name), "kind", hops[span->hop].kind,
	    "startTimeUnixNano", start, "endTimeUnixNano", end, "attributes",
	    attributes, "status", "code", span->failed ? OTLP_ERROR : 0);
	JJ_INVARIANT(object != NULL);
	return object;
}

static json_t *
encode_attribute(const char *key, const char *value)
{
	return json_pack("{s:s,s:{s:o}}", "key", key, "value", "stringValue",
	    encode_text(value));
}

/* JSON cannot represent text that is not UTF-8, such as some headers. */
static json_t *
encode_text(const char *text)
{
	json_t *string = json_string(text);

	return string != NULL ? string : json_string("(not UTF-8)");
}
