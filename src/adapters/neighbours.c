/**
 * @file neighbours.c
 * @brief Messages between the VMs of a deployment, over ZeroMQ.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <unistd.h>

#include <glib.h>
#include <zmq.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/monotonic.h"
#include "adapters/neighbours.h"
#include "adapters/runtime.h"
#include "adapters/wire.h"

/*
 * High-water marks, in messages, to bound memory. Further messages to a slow
 * neighbour are dropped; later heartbeats and resends replace them.
 */
#define SEND_HIGH_WATER 2000
#define RECEIVE_HIGH_WATER 20000
/** First and longest interval of connection attempts, milliseconds. */
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 200
/**
 * Connect timeout before the next attempt, ms. Connecting usually takes a few
 * ms; the kernel retransmits the first SYN only after a second.
 */
#define CONNECT_TIMEOUT_MS 300
/**
 * A connection without a TCP acknowledgement or without the ZeroMQ handshake
 * for this long is reopened, ms; two heartbeat intervals. Guards against a
 * partition that drops packets silently: TCP retransmits at growing intervals,
 * so VMs would stay unreachable for seconds after it has ended, take over each
 * other's jobs and load servers twice.
 */
#define UNACKNOWLEDGED_MAX_MS 1000
/** Longest wait of the thread, ms. */
#define POLL_MS 1000
/**
 * Maximum number of open connections. libzmq allows 1,023 sockets, and a closed
 * one still counts for some time.
 */
#define CONNECTIONS_MAX 900
/** Minimum interval of log lines about too large messages, ms. */
#define TOO_LARGE_LOG_MS 10000
/** Messages received per round, so that sending is not starved. */
#define RECEIVE_BATCH_MAX 256
/** The pause between reads grows by itself once for each so many VMs. */
#define PAUSE_VMS 80

typedef struct outgoing {
	STAILQ_ENTRY(outgoing) link;
	char name[JJ_NAME_MAX + 1];
	char address[JJ_NAME_MAX + 1];
	jj_message_kind_t kind;
	jj_bytes_t bytes;
} outgoing_t;

typedef struct {
	void *socket;
	char address[JJ_NAME_MAX + 1];
	uint64_t last_use; /**< value of uses at the last message to it */
} connection_t;

struct jj_neighbours {
	void *context;
	void *pull;
	int wakeup;
	apr_pool_t *pool;
	apr_thread_t *thread;
	/**
	 * Guards outgoing, partitioned, counts, too_large_logged_ms and
	 * stopping.
	 */
	apr_thread_mutex_t *lock;
	STAILQ_HEAD(, outgoing) outgoing;
	GHashTable *partitioned; /**< names of VMs, for failure tests */
	jj_neighbours_counts_t counts;
	jj_ms_t too_large_logged_ms; /**< time of the last such log line */
	bool stopping;
	GHashTable *connections; /**< by name; used by the thread only */
	uint64_t uses; /**< counts uses of connections, for LRU eviction */
	int receive_pause_ms;
	jj_neighbours_receive_t take;
	void *ctx;
};

static void set_kind_totals(jj_message_kind_t, const jj_neighbours_counts_t *);
static void drop_too_large(jj_neighbours_t *, const char *, jj_message_kind_t);
static void *APR_THREAD_FUNC run(apr_thread_t *, void *);
static jj_ms_t receive_pause(const jj_neighbours_t *);
static bool wait_for_messages(jj_neighbours_t *, bool, long);
static bool send_queued(jj_neighbours_t *);
static void send_one(jj_neighbours_t *, const outgoing_t *);
static void *find_connection(jj_neighbours_t *, const outgoing_t *);
static void close_least_recent(jj_neighbours_t *);
static void receive_batch(jj_neighbours_t *);
static void receive_one(jj_neighbours_t *, zmq_msg_t *);
static void close_connection(void *);
static bool is_partitioned(jj_neighbours_t *, const char *);
static void set_option(void *, int, int);

jj_neighbours_t *
jj_neighbours_create(const char *address, int receive_pause_ms,
    jj_neighbours_receive_t take, void *ctx)
{
	jj_neighbours_t *neighbours = jj_alloc(sizeof(*neighbours));
	char endpoint[JJ_NAME_MAX + 16];
	/* libzmq closes the connection on a larger message: senders check. */
	int64_t max_bytes = JJ_WIRE_BYTES_MAX;

	neighbours->receive_pause_ms = receive_pause_ms;
	neighbours->take = take;
	neighbours->ctx = ctx;
	STAILQ_INIT(&neighbours->outgoing);
	neighbours->pool = jj_runtime_create_pool();
	neighbours->lock = jj_runtime_create_mutex(neighbours->pool);
	neighbours->partitioned =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	neighbours->connections = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, close_connection);
	neighbours->wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	neighbours->context = zmq_ctx_new();
	neighbours->pull = zmq_socket(neighbours->context, ZMQ_PULL);
	set_option(neighbours->pull, ZMQ_RCVHWM, RECEIVE_HIGH_WATER);
	set_option(neighbours->pull, ZMQ_LINGER, 0);
	(void)zmq_setsockopt(
	    neighbours->pull, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
	(void)snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_bind(neighbours->pull, endpoint) != 0)
		goto out;
	neighbours->thread =
	    jj_runtime_start_thread(neighbours->pool, run, neighbours);
	if (neighbours->thread == NULL)
		goto out;
	return neighbours;

out:
	(void)zmq_close(neighbours->pull);
	(void)zmq_ctx_term(neighbours->context);
	(void)close(neighbours->wakeup);
	g_hash_table_destroy(neighbours->connections);
	g_hash_table_destroy(neighbours->partitioned);
	apr_pool_destroy(neighbours->pool);
	free(neighbours);
	return NULL;
}

void
jj_neighbours_destroy(jj_neighbours_t *neighbours)
{
	outgoing_t *outgoing;

	if (neighbours == NULL)
		return;
	(void)apr_thread_mutex_lock(neighbours->lock);
	neighbours->stopping = true;
	(void)apr_thread_mutex_unlock(neighbours->lock);
	(void)eventfd_write(neighbours->wakeup, 1);
	jj_runtime_join_thread(neighbours->thread);
	g_hash_table_destroy(neighbours->connections);
	(void)zmq_close(neighbours->pull);
	(void)zmq_ctx_term(neighbours->context);
	(void)close(neighbours->wakeup);
	while ((outgoing = STAILQ_FIRST(&neighbours->outgoing)) != NULL) {
		STAILQ_REMOVE_HEAD(&neighbours->outgoing, link);
		jj_bytes_free(&outgoing->bytes);
		free(outgoing);
	}
	g_hash_table_destroy(neighbours->partitioned);
	apr_pool_destroy(neighbours->pool);
	free(neighbours);
}

void
jj_neighbours_send(jj_neighbours_t *neighbours, const char *name,
    const char *address, const jj_message_t *message)
{
	jj_bytes_t bytes = jj_wire_encode(message);
	outgoing_t *outgoing;
	bool was_empty;

	if (bytes.size == 0) {
		drop_too_large(neighbours, name, message->kind);
		return;
	}
	outgoing = jj_alloc(sizeof(*outgoing));
	(void)snprintf(outgoing->name, sizeof(outgoing->name), "%s", name);
	(void)snprintf(
	    outgoing->address, sizeof(outgoing->address), "%s", address);
	outgoing->kind = message->kind;
	outgoing->bytes = bytes;
	(void)apr_thread_mutex_lock(neighbours->lock);
	was_empty = STAILQ_EMPTY(&neighbours->outgoing);
	STAILQ_INSERT_TAIL(&neighbours->outgoing, outgoing, link);
	(void)apr_thread_mutex_unlock(neighbours->lock);
	/*
	 * Messages to dozens of VMs are posted in a row: wake the thread once.
	 */
	if (was_empty)
		(void)eventfd_write(neighbours->wakeup, 1);
}

void
jj_neighbours_set_partitioned(
    jj_neighbours_t *neighbours, const char *name, bool partitioned)
{
	(void)apr_thread_mutex_lock(neighbours->lock);
	if (partitioned)
		(void)g_hash_table_add(neighbours->partitioned, g_strdup(name));
	else
		(void)g_hash_table_remove(neighbours->partitioned, name);
	(void)apr_thread_mutex_unlock(neighbours->lock);
}

jj_neighbours_counts_t
jj_neighbours_counts(jj_neighbours_t *neighbours)
{
	jj_neighbours_counts_t counts;

	(void)apr_thread_mutex_lock(neighbours->lock);
	counts = neighbours->counts;
	(void)apr_thread_mutex_unlock(neighbours->lock);
	return counts;
}

void
jj_neighbours_update_metrics(jj_neighbours_t *neighbours)
{
	jj_neighbours_counts_t counts = jj_neighbours_counts(neighbours);
	int kind;

	jj_metrics_set_total("jujube_messages_sent_total",
	    "Messages to other VMs.", counts.sent);
	jj_metrics_set_total("jujube_message_bytes_sent_total",
	    "Bytes of messages to other VMs.", counts.sent_bytes);
	jj_metrics_set_total("jujube_messages_dropped_total",
	    "Messages not sent: no connection, or a full queue.",
	    counts.dropped);
	jj_metrics_set_total("jujube_messages_received_total",
	    "Messages from other VMs.", counts.received);
	jj_metrics_set_total("jujube_message_bytes_received_total",
	    "Bytes of messages from other VMs.", counts.received_bytes);
	jj_metrics_set_total("jujube_messages_malformed_total",
	    "Bytes on the neighbours' port that are no message.",
	    counts.malformed);
	jj_metrics_set_total("jujube_messages_other_version_total",
	    "Messages of VMs of another version.", counts.other_version);
	for (kind = 1; kind < JJ_MESSAGE_KIND_END; kind++)
		set_kind_totals((jj_message_kind_t)kind, &counts);
}

/** Only for kinds that were sent: most VMs send few of them. */
static void
set_kind_totals(jj_message_kind_t kind, const jj_neighbours_counts_t *counts)
{
	const char *name = jj_message_kind_name(kind);

	if (counts->sent_by_kind[kind] == 0)
		return;
	jj_counter_set(jj_metrics_counter("jujube_messages_by_kind_total",
			   "Messages to other VMs, by kind.", "kind", name),
	    counts->sent_by_kind[kind]);
	jj_counter_set(
	    jj_metrics_counter("jujube_message_bytes_by_kind_total",
		"Bytes of messages to other VMs, by kind.", "kind", name),
	    counts->sent_bytes_by_kind[kind]);
}

/**
 * Counts a message that could not be encoded as dropped; it would arrive as an
 * empty message and be counted as sent.
 */
static void
drop_too_large(
    jj_neighbours_t *neighbours, const char *name, jj_message_kind_t kind)
{
	jj_ms_t now = jj_monotonic_now();
	bool logged;

	(void)apr_thread_mutex_lock(neighbours->lock);
	neighbours->counts.dropped++;
	logged = neighbours->too_large_logged_ms == 0 ||
	    now - neighbours->too_large_logged_ms >= TOO_LARGE_LOG_MS;
	if (logged)
		neighbours->too_large_logged_ms = now;
	(void)apr_thread_mutex_unlock(neighbours->lock);
	if (logged)
		jj_log(JJ_LOG_WARN, "message_too_large",
		    "peer=%s kind=%s most_bytes=%d", name,
		    jj_message_kind_name(kind), JJ_WIRE_BYTES_MAX);
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *argument)
{
	jj_neighbours_t *neighbours = argument;
	jj_ms_t receive_from_ms = 0;
	jj_ms_t now;

	(void)thread;
	while (send_queued(neighbours)) {
		now = jj_monotonic_now();
		if (now < receive_from_ms) {
			(void)wait_for_messages(
			    neighbours, false, (long)(receive_from_ms - now));
			continue;
		}
		if (wait_for_messages(neighbours, true, POLL_MS)) {
			receive_batch(neighbours);
			receive_from_ms =
			    jj_monotonic_now() + receive_pause(neighbours);
		}
	}
	return NULL;
}

/**
 * Time until received messages are read again. It grows with the number of
 * VMs: each wake-up costs the same, however many messages it reads.
 */
static jj_ms_t
receive_pause(const jj_neighbours_t *neighbours)
{
	guint vms = g_hash_table_size(neighbours->connections);

	return neighbours->receive_pause_ms * (jj_ms_t)(1 + vms / PAUSE_VMS);
}

/**
 * Waits for messages to send, and with @p receiving for received ones.
 * @return true if there are received messages.
 */
static bool
wait_for_messages(jj_neighbours_t *neighbours, bool receiving, long timeout_ms)
{
	zmq_pollitem_t items[2] = {
	    {NULL, neighbours->wakeup, ZMQ_POLLIN, 0},
	    {neighbours->pull, 0, ZMQ_POLLIN, 0},
	};
	eventfd_t count;

	if (zmq_poll(items, receiving ? 2 : 1, timeout_ms) < 0)
		return false;
	if (items[0].revents & ZMQ_POLLIN)
		(void)eventfd_read(neighbours->wakeup, &count);
	return receiving && (items[1].revents & ZMQ_POLLIN) != 0;
}

/** Sends all queued messages; false when the thread shall stop. */
static bool
send_queued(jj_neighbours_t *neighbours)
{
	outgoing_t *outgoing;
	bool stopping;

	for (;;) {
		(void)apr_thread_mutex_lock(neighbours->lock);
		outgoing = STAILQ_FIRST(&neighbours->outgoing);
		if (outgoing != NULL)
			STAILQ_REMOVE_HEAD(&neighbours->outgoing, link);
		stopping = neighbours->stopping;
		(void)apr_thread_mutex_unlock(neighbours->lock);
		if (outgoing == NULL)
			return !stopping;
		send_one(neighbours, outgoing);
		jj_bytes_free(&outgoing->bytes);
		free(outgoing);
	}
}

static void
send_one(jj_neighbours_t *neighbours, const outgoing_t *outgoing)
{
	bool sent = false;
	void *socket;

	if (!is_partitioned(neighbours, outgoing->name)) {
		socket = find_connection(neighbours, outgoing);
		sent = socket != NULL &&
		    zmq_send(socket, outgoing->bytes.data, outgoing->bytes.size,
			ZMQ_DONTWAIT) >= 0;
	}
	(void)apr_thread_mutex_lock(neighbours->lock);
	if (sent) {
		neighbours->counts.sent++;
		neighbours->counts.sent_bytes += outgoing->bytes.size;
		neighbours->counts.sent_by_kind[outgoing->kind]++;
		neighbours->counts.sent_bytes_by_kind[outgoing->kind] +=
		    outgoing->bytes.size;
	} else {
		neighbours->counts.dropped++;
	}
	(void)apr_thread_mutex_unlock(neighbours->lock);
}

/** The socket to a VM; a new one if its address has changed. */
static void *
find_connection(jj_neighbours_t *neighbours, const outgoing_t *outgoing)
{
	connection_t *connection =
	    g_hash_table_lookup(neighbours->connections, outgoing->name);
	char endpoint[JJ_NAME_MAX + 16];

	if (connection != NULL &&
	    strcmp(connection->address, outgoing->address) == 0) {
		connection->last_use = ++neighbours->uses;
		return connection->socket;
	}
	if (connection == NULL &&
	    g_hash_table_size(neighbours->connections) >= CONNECTIONS_MAX)
		close_least_recent(neighbours);
	connection = jj_alloc(sizeof(*connection));
	(void)snprintf(connection->address, sizeof(connection->address), "%s",
	    outgoing->address);
	connection->last_use = ++neighbours->uses;
	connection->socket = zmq_socket(neighbours->context, ZMQ_PUSH);
	set_option(connection->socket, ZMQ_SNDHWM, SEND_HIGH_WATER);
	/* Stopping must not wait for an unreachable neighbour. */
	set_option(connection->socket, ZMQ_LINGER, 0);
	/* Queue only on an open connection: old messages would pile up. */
	set_option(connection->socket, ZMQ_IMMEDIATE, 1);
	set_option(connection->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_option(connection->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_option(connection->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_option(
	    connection->socket, ZMQ_HANDSHAKE_IVL, UNACKNOWLEDGED_MAX_MS);
	set_option(connection->socket, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_MAX_MS);
	(void)snprintf(
	    endpoint, sizeof(endpoint), "tcp://%s", outgoing->address);
	if (zmq_connect(connection->socket, endpoint) != 0) {
		close_connection(connection);
		return NULL;
	}
	(void)g_hash_table_replace(
	    neighbours->connections, g_strdup(outgoing->name), connection);
	return connection->socket;
}

/** Closes the least recently used connection: its VM has probably left. */
static void
close_least_recent(jj_neighbours_t *neighbours)
{
	const connection_t *oldest = NULL;
	const char *name = NULL;
	GHashTableIter at;
	gpointer value;
	gpointer key;

	g_hash_table_iter_init(&at, neighbours->connections);
	while (g_hash_table_iter_next(&at, &key, &value)) {
		const connection_t *connection = value;

		if (oldest != NULL && connection->last_use >= oldest->last_use)
			continue;
		oldest = connection;
		name = key;
	}
	(void)g_hash_table_remove(neighbours->connections, name);
}

static void
receive_batch(jj_neighbours_t *neighbours)
{
	zmq_msg_t part;
	int i;

	for (i = 0; i < RECEIVE_BATCH_MAX; i++) {
		(void)zmq_msg_init(&part);
		if (zmq_msg_recv(&part, neighbours->pull, ZMQ_DONTWAIT) < 0) {
			(void)zmq_msg_close(&part);
			return;
		}
		receive_one(neighbours, &part);
		(void)zmq_msg_close(&part);
	}
}

static void
receive_one(jj_neighbours_t *neighbours, zmq_msg_t *part)
{
	jj_message_t *message = jj_alloc(sizeof(*message));
	jj_wire_outcome_t outcome =
	    jj_wire_decode(zmq_msg_data(part), zmq_msg_size(part), message);

	(void)apr_thread_mutex_lock(neighbours->lock);
	neighbours->counts.received++;
	neighbours->counts.received_bytes += zmq_msg_size(part);
	if (outcome == JJ_WIRE_OTHER_VERSION || outcome == JJ_WIRE_OTHER_KIND)
		neighbours->counts.other_version++;
	else if (outcome != JJ_WIRE_OK)
		neighbours->counts.malformed++;
	(void)apr_thread_mutex_unlock(neighbours->lock);
	if (outcome != JJ_WIRE_OK) {
		free(message);
		return;
	}
	if (is_partitioned(neighbours, message->from.text)) {
		jj_message_clear(message);
		free(message);
		return;
	}
	neighbours->take(neighbours->ctx, message);
}

static bool
is_partitioned(jj_neighbours_t *neighbours, const char *name)
{
	bool partitioned;

	(void)apr_thread_mutex_lock(neighbours->lock);
	partitioned = g_hash_table_contains(neighbours->partitioned, name);
	(void)apr_thread_mutex_unlock(neighbours->lock);
	return partitioned;
}

static void
close_connection(void *memory)
{
	connection_t *connection = memory;

	(void)zmq_close(connection->socket);
	free(connection);
}

static void
set_option(void *socket, int option, int value)
{
	(void)zmq_setsockopt(socket, option, &value, sizeof(value));
}
