/**
 * @file http_client.c
 * @brief HTTP client on libcurl; each client has a thread and a multi handle.
 */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_time.h>
#include <curl/curl.h>
#include <glib.h>

#include "adapters/http_client.h"
#include "adapters/http_framing.h"
#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "adapters/runtime.h"

/** Longest wait of the event loop, milliseconds. */
#define POLL_MS 1000
/** Socket events handled per epoll_wait. */
#define EVENTS_MAX 64
/**
 * With this many transfers open, events arrive tens of microseconds apart. The
 * thread pauses between rounds to collect them, so that one wake-up handles
 * the tokens of many streams.
 */
#define BATCHING_TRANSFERS_MIN 64
#define BATCHING_PAUSE_US 2000
/** Default connect timeout, milliseconds; VMs are a few ms apart. */
#define CONNECT_TIMEOUT_MS 1000L
/**
 * Maximum bytes of all header lines of an answer, with those of informational
 * answers and of a trailer.
 */
#define HEAD_BYTES_MAX 262144
/** Maximum number of these lines: libcurl keeps each in blocks of its own. */
#define HEAD_LINES_MAX 1000
/** Copies of the header lines, and memory of each line beside its text. */
#define HEAD_COPIES 3
#define HEAD_LINE_BYTES 128
/** Buffers of libcurl for a transfer. */
#define TRANSFER_BYTES 24576
/** The memory of a head is counted in such steps, bytes. */
#define HEAD_STEP_BYTES 8192
/** Idle connections that a client keeps for reuse. */
#define IDLE_CONNECTIONS 512L
/** Largest status of an answer. */
#define STATUS_MAX 599
/** Upper bound of a Retry-After, seconds. */
#define RETRY_AFTER_MAX_S 86400
/** TCP keep-alive: idle time before a probe and between probes, seconds. */
#define KEEPALIVE_S 1L
/** Unanswered keep-alive probes after which a connection is broken. */
#define KEEPALIVE_PROBES 3
/** TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged, ms. */
#define TCP_ACK_TIMEOUT_MS 3000U

typedef enum {
	COMMAND_START,
	COMMAND_CANCEL,
	COMMAND_RESUME,
} command_kind_t;

typedef struct transfer {
	uint64_t number;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t body_size; /**< bytes to be sent; 0: none */
	jj_http_request_t request; /**< only ctx and callbacks stay valid */
	jj_http_head_t head;
	GString *lines; /**< header lines of the response */
	jj_http_guard_t *guard; /**< or NULL */
	size_t held; /**< in the guard's sum */
	size_t head_bytes; /**< of all header lines so far */
	size_t head_lines;
	bool head_delivered;
	jj_http_framing_t framing; /**< of the current head */
	bool is_http10;
	bool in_head; /**< between a status line and the empty line */
	TAILQ_ENTRY(transfer) link; /**< in the client's idle_limited */
	jj_ms_t idle_deadline_ms; /**< timed out then, unless data arrives */
} transfer_t;

typedef struct command {
	STAILQ_ENTRY(command) link;
	command_kind_t kind;
	uint64_t number;
	transfer_t *transfer; /**< COMMAND_START only */
} command_t;

struct jj_http_client {
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_thread_mutex_t *lock; /**< guards commands and stopping */
	STAILQ_HEAD(, command) commands;
	bool stopping;
	CURLM *multi;
	int poller; /**< epoll of libcurl's sockets and wakeup */
	int wakeup; /**< eventfd, written when a command is posted */
	jj_ms_t timer_due_ms; /**< of libcurl's timer, or JJ_MS_NEVER */
	GHashTable *transfers; /**< by number; used by the thread only */
	TAILQ_HEAD(, transfer) idle_limited; /**< begin_ms is set */
	jj_ms_t last_read_ms; /**< all data that arrived before was read */
	atomic_uint_fast64_t last_number;
	jj_http_guard_t *guard; /**< or NULL */
};

static void *APR_THREAD_FUNC run(apr_thread_t *, void *);
static bool set_up_multi(jj_http_client_t *);
static int on_poll(CURL *, curl_socket_t, int, void *, void *);
static int on_timer(CURLM *, long, void *);
static void wait_for_events(jj_http_client_t *);
static int wait_ms(const jj_http_client_t *);
static bool run_commands(jj_http_client_t *);
static void pause_to_batch_events(const jj_http_client_t *);
static void free_client(jj_http_client_t *);
static void start_transfer(jj_http_client_t *, transfer_t *);
static void cancel_transfer(jj_http_client_t *, uint64_t);
static void resume_transfer(jj_http_client_t *, uint64_t);
static void end_completed_transfers(jj_http_client_t *);
static void time_out_idle_transfers(jj_http_client_t *);
static void extend_idle_deadline(transfer_t *);
static void end_transfer(jj_http_client_t *, transfer_t *, jj_http_end_t);
static void free_transfer(transfer_t *);
static transfer_t *prepare_transfer(const jj_http_request_t *);
static void remove_default_headers(transfer_t *);
static void set_keepalive(CURL *);
static int on_socket_created(void *, curl_socket_t, curlsocktype);
static void set_body(transfer_t *, const jj_http_request_t *);
static jj_http_end_t classify_result(const transfer_t *, CURLcode);
static bool has_end(const transfer_t *);
static const char *name_result(const jj_http_head_t *, CURLcode);
static jj_ms_t read_seconds(const char *);
static bool hold_head(transfer_t *, size_t);
static void begin_head(transfer_t *, const char *);
static void end_head(transfer_t *);
static void take_header(transfer_t *, const char *);
static size_t on_header(char *, size_t, size_t, void *);
static size_t on_body(char *, size_t, size_t, void *);
static void append_line(GString *, const char *, size_t);
static void deliver_head(transfer_t *);
static void
push_command(jj_http_client_t *, command_kind_t, uint64_t, transfer_t *);

const char *
jj_http_body_name(jj_http_body_t body)
{
	static const char *const names[] = {
	    "unknown", "length", "chunks", "close", "invalid"};

	return names[body];
}

jj_http_client_t *
jj_http_client_create(void)
{
	jj_http_client_t *client = jj_alloc(sizeof(*client));

	STAILQ_INIT(&client->commands);
	client->pool = jj_runtime_create_pool();
	client->lock = jj_runtime_create_mutex(client->pool);
	client->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&client->idle_limited);
	client->poller = epoll_create1(EPOLL_CLOEXEC);
	client->wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	client->timer_due_ms = JJ_MS_NEVER;
	client->multi = curl_multi_init();
	if (client->multi == NULL || !set_up_multi(client))
		goto out_multi;
	client->thread = jj_runtime_start_thread(client->pool, run, client);
	if (client->thread == NULL)
		goto out_multi;
	return client;

out_multi:
	free_client(client);
	return NULL;
}

void
jj_http_client_set_guard(jj_http_client_t *client, jj_http_guard_t *guard)
{
	client->guard = guard;
}

void
jj_http_client_destroy(jj_http_client_t *client)
{
	if (client == NULL)
		return;
	(void)apr_thread_mutex_lock(client->lock);
	client->stopping = true;
	(void)apr_thread_mutex_unlock(client->lock);
	(void)eventfd_write(client->wakeup, 1);
	jj_runtime_join_thread(client->thread);
	free_client(client);
}

uint64_t
jj_http_client_start(jj_http_client_t *client, const jj_http_request_t *request)
{
	transfer_t *transfer = prepare_transfer(request);
	uint64_t number = atomic_fetch_add(&client->last_number, 1) + 1;

	transfer->number = number;
	push_command(client, COMMAND_START, number, transfer);
	return number;
}

void
jj_http_client_cancel(jj_http_client_t *client, uint64_t number)
{
	push_command(client, COMMAND_CANCEL, number, NULL);
}

void
jj_http_client_resume(jj_http_client_t *client, uint64_t number)
{
	push_command(client, COMMAND_RESUME, number, NULL);
}

static void
push_command(jj_http_client_t *client, command_kind_t kind, uint64_t number,
    transfer_t *transfer)
{
	command_t *command = jj_alloc(sizeof(*command));
	bool was_empty;

	command->kind = kind;
	command->number = number;
	command->transfer = transfer;
	(void)apr_thread_mutex_lock(client->lock);
	was_empty = STAILQ_EMPTY(&client->commands);
	STAILQ_INSERT_TAIL(&client->commands, command, link);
	(void)apr_thread_mutex_unlock(client->lock);
	if (was_empty)
		(void)eventfd_write(client->wakeup, 1);
}

/** Frees all but the thread. Descriptors are -1 if opening them failed. */
static void
free_client(jj_http_client_t *client)
{
	if (client->multi != NULL)
		(void)curl_multi_cleanup(client->multi);
	if (client->poller >= 0)
		(void)close(client->poller);
	if (client->wakeup >= 0)
		(void)close(client->wakeup);
	g_hash_table_destroy(client->transfers);
	apr_pool_destroy(client->pool);
	free(client);
}

/**
 * Makes libcurl report the sockets to wait for. If libcurl polls them itself,
 * it checks every transfer after each wake-up, with a system call for each; on
 * VMs with 0.12 cores that took a tenth of the CPU time.
 */
static bool
set_up_multi(jj_http_client_t *client)
{
	struct epoll_event event = {.events = EPOLLIN};

	event.data.fd = client->wakeup;
	(void)curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS);
	(void)curl_multi_setopt(
	    client->multi, CURLMOPT_SOCKETFUNCTION, on_poll);
	(void)curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	(void)curl_multi_setopt(
	    client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	(void)curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	return client->poller >= 0 && client->wakeup >= 0 &&
	    epoll_ctl(client->poller, EPOLL_CTL_ADD, client->wakeup, &event) ==
	    0;
}

/** @param known not NULL if the socket is registered with epoll. */
static int
on_poll(CURL *easy, curl_socket_t socket, int what, void *ctx, void *known)
{
	jj_http_client_t *client = ctx;
	struct epoll_event event = {0};
	int change = known == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;

	(void)easy;
	event.data.fd = socket;
	if (what == CURL_POLL_REMOVE) {
		(void)epoll_ctl(client->poller, EPOLL_CTL_DEL, socket, &event);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	(void)curl_multi_assign(client->multi, socket, client);
	if (epoll_ctl(client->poller, change, socket, &event) == 0)
		return 0;
	/* This transfer will time out; the others are not affected. */
	jj_log(JJ_LOG_ERROR, "socket_not_watched", "socket=%d errno=%d",
	    (int)socket, errno);
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	jj_http_client_t *client = ctx;

	(void)multi;
	client->timer_due_ms =
	    timeout_ms < 0 ? JJ_MS_NEVER : jj_monotonic_now() + timeout_ms;
	return 0;
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *argument)
{
	jj_http_client_t *client = argument;
	GHashTableIter iterator;
	gpointer value;

	(void)thread;
	while (run_commands(client)) {
		wait_for_events(client);
		end_completed_transfers(client);
		time_out_idle_transfers(client);
		pause_to_batch_events(client);
	}
	for (;;) {
		g_hash_table_iter_init(&iterator, client->transfers);
		if (!g_hash_table_iter_next(&iterator, NULL, &value))
			break;
		end_transfer(client, value, JJ_HTTP_CANCELLED);
	}
	return NULL;
}

static void
wait_for_events(jj_http_client_t *client)
{
	struct epoll_event events[EVENTS_MAX];
	int count =
	    epoll_wait(client->poller, events, EVENTS_MAX, wait_ms(client));
	eventfd_t posted;
	int running;
	int flags;
	int i;

	if (count < EVENTS_MAX)
		client->last_read_ms = jj_monotonic_now();
	for (i = 0; i < count; i++) {
		if (events[i].data.fd == client->wakeup) {
			(void)eventfd_read(client->wakeup, &posted);
			continue;
		}
		flags = 0;
		/* An error sets both flags: libcurl handles it in any case. */
		if (events[i].events & (EPOLLIN | EPOLLHUP | EPOLLERR))
			flags |= CURL_CSELECT_IN;
		if (events[i].events & (EPOLLOUT | EPOLLERR))
			flags |= CURL_CSELECT_OUT;
		(void)curl_multi_socket_action(
		    client->multi, events[i].data.fd, flags, &running);
	}
	if (jj_monotonic_now() < client->timer_due_ms)
		return;
	client->timer_due_ms = JJ_MS_NEVER;
	(void)curl_multi_socket_action(
	    client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static int
wait_ms(const jj_http_client_t *client)
{
	const transfer_t *transfer;
	jj_ms_t due = client->timer_due_ms;
	jj_ms_t now;

	TAILQ_FOREACH(transfer, &client->idle_limited, link)
	{
		if (due == JJ_MS_NEVER || transfer->idle_deadline_ms < due)
			due = transfer->idle_deadline_ms;
	}
	if (due == JJ_MS_NEVER)
		return POLL_MS;
	now = jj_monotonic_now();
	if (due <= now)
		return 0;
	return due - now < POLL_MS ? (int)(due - now) : POLL_MS;
}

static void
pause_to_batch_events(const jj_http_client_t *client)
{
	if (g_hash_table_size(client->transfers) >= BATCHING_TRANSFERS_MIN)
		apr_sleep(BATCHING_PAUSE_US);
}

/** Runs the posted commands; false when the client shall stop. */
static bool
run_commands(jj_http_client_t *client)
{
	command_t *command;
	bool stopping;

	for (;;) {
		(void)apr_thread_mutex_lock(client->lock);
		stopping = client->stopping;
		command = STAILQ_FIRST(&client->commands);
		if (command != NULL)
			STAILQ_REMOVE_HEAD(&client->commands, link);
		(void)apr_thread_mutex_unlock(client->lock);
		if (command == NULL)
			return !stopping;
		if (command->kind == COMMAND_START)
			start_transfer(client, command->transfer);
		else if (command->kind == COMMAND_CANCEL)
			cancel_transfer(client, command->number);
		else
			resume_transfer(client, command->number);
		free(command);
	}
}

static void
start_transfer(jj_http_client_t *client, transfer_t *transfer)
{
	transfer->guard = client->guard;
	(void)jj_http_guard_hold_answer(transfer->guard, &transfer->held,
	    TRANSFER_BYTES + HEAD_STEP_BYTES, true);
	(void)g_hash_table_insert(
	    client->transfers, &transfer->number, transfer);
	if (transfer->request.begin_ms > 0) {
		transfer->idle_deadline_ms =
		    jj_monotonic_now() + transfer->request.begin_ms;
		TAILQ_INSERT_TAIL(&client->idle_limited, transfer, link);
	}
	if (curl_multi_add_handle(client->multi, transfer->easy) != CURLM_OK)
		end_transfer(client, transfer, JJ_HTTP_NOT_SENT);
}

static void
cancel_transfer(jj_http_client_t *client, uint64_t number)
{
	transfer_t *transfer = g_hash_table_lookup(client->transfers, &number);

	if (transfer != NULL)
		end_transfer(client, transfer, JJ_HTTP_CANCELLED);
}

static void
resume_transfer(jj_http_client_t *client, uint64_t number)
{
	transfer_t *transfer = g_hash_table_lookup(client->transfers, &number);

	if (transfer != NULL)
		(void)curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
}

static void
end_completed_transfers(jj_http_client_t *client)
{
	transfer_t *transfer;
	CURLMsg *message;
	jj_http_end_t end;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		(void)curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &transfer);
		end = classify_result(transfer, message->data.result);
		transfer->head.ended =
		    name_result(&transfer->head, message->data.result);
		end_transfer(client, transfer, end);
	}
}

/**
 * Times out transfers that receive no data. Time in which this process itself
 * did not read (it was paused) does not count.
 */
static void
time_out_idle_transfers(jj_http_client_t *client)
{
	transfer_t *transfer;
	transfer_t *next;

	for (transfer = TAILQ_FIRST(&client->idle_limited); transfer != NULL;
	     transfer = next) {
		next = TAILQ_NEXT(transfer, link);
		if (transfer->idle_deadline_ms <= client->last_read_ms)
			end_transfer(client, transfer,
			    classify_result(
				transfer, CURLE_OPERATION_TIMEDOUT));
	}
}

/**
 * Extends a transfer's deadline as data arrived. It never shortens it: the
 * headers may arrive long before the body, within begin_ms.
 */
static void
extend_idle_deadline(transfer_t *transfer)
{
	jj_ms_t idle_deadline_ms;

	if (transfer->request.begin_ms == 0)
		return;
	idle_deadline_ms =
	    jj_monotonic_now() + transfer->request.read_timeout_ms;
	if (idle_deadline_ms > transfer->idle_deadline_ms)
		transfer->idle_deadline_ms = idle_deadline_ms;
}

/**
 * Determines whether bytes may have reached the server. JJ_HTTP_NOT_SENT
 * promises the caller that the request did not run, so it is returned only if
 * no connection was established.
 */
static jj_http_end_t
classify_result(const transfer_t *transfer, CURLcode result)
{
	CURL *easy = transfer->easy;
	curl_off_t ready_us = 0;
	long request_size = 0;

	if (result == CURLE_OK)
		return has_end(transfer) ? JJ_HTTP_COMPLETE : JJ_HTTP_BROKEN;
	(void)curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &ready_us);
	(void)curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
	/*
	 * libcurl retries when a reused connection closes without a response.
	 * If the request crashed the server, the retry's connection is
	 * refused, although the request was sent on the first one.
	 */
	if (result == CURLE_COULDNT_CONNECT && request_size == 0)
		return JJ_HTTP_NOT_SENT;
	if (ready_us == 0 && request_size == 0)
		return JJ_HTTP_NOT_SENT;
	if (result == CURLE_OPERATION_TIMEDOUT)
		return JJ_HTTP_TIMEOUT;
	return JJ_HTTP_BROKEN;
}

/**
 * libcurl takes an answer for complete that ends inside its head, or with its
 * connection while the request is being sent: that may be a reset, which was
 * reported to the write.
 */
static bool
has_end(const transfer_t *transfer)
{
	curl_off_t sent = 0;

	if (transfer->head.body != JJ_HTTP_BODY_CLOSE)
		return transfer->head.body != JJ_HTTP_BODY_UNKNOWN;
	(void)curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return (size_t)sent >= transfer->body_size;
}

static const char *
name_result(const jj_http_head_t *head, CURLcode result)
{
	switch (result) {
	case CURLE_OK:
		return head->body == JJ_HTTP_BODY_UNKNOWN ||
			head->body == JJ_HTTP_BODY_CLOSE
		    ? "closed"
		    : "complete";
	case CURLE_GOT_NOTHING:
	case CURLE_PARTIAL_FILE:
		return "closed";
	case CURLE_RECV_ERROR:
	case CURLE_SEND_ERROR:
		return "reset";
	case CURLE_COULDNT_CONNECT:
		return "not_connected";
	case CURLE_OPERATION_TIMEDOUT:
		return "timeout";
	case CURLE_WRITE_ERROR:
		return "aborted";
	default:
		return "invalid";
	}
}

static void
end_transfer(jj_http_client_t *client, transfer_t *transfer, jj_http_end_t end)
{
	if (transfer->head.ended == NULL)
		transfer->head.ended =
		    end == JJ_HTTP_TIMEOUT ? "timeout" : "cancelled";
	(void)curl_multi_remove_handle(client->multi, transfer->easy);
	(void)g_hash_table_remove(client->transfers, &transfer->number);
	if (transfer->request.begin_ms > 0)
		TAILQ_REMOVE(&client->idle_limited, transfer, link);
	if (end == JJ_HTTP_COMPLETE)
		deliver_head(transfer);
	transfer->request.on_end(transfer->request.ctx, end, &transfer->head);
	free_transfer(transfer);
}

static void
free_transfer(transfer_t *transfer)
{
	(void)jj_http_guard_hold_answer(
	    transfer->guard, &transfer->held, 0, true);
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	(void)g_string_free(transfer->lines, TRUE);
	free(transfer->body);
	free(transfer);
}

static transfer_t *
prepare_transfer(const jj_http_request_t *request)
{
	transfer_t *transfer = jj_alloc(sizeof(*transfer));
	gchar *url =
	    g_strdup_printf("http://%s%s", request->address, request->path);
	jj_ms_t connect_ms =
	    request->connect_ms > 0 ? request->connect_ms : CONNECT_TIMEOUT_MS;
	size_t i;

	transfer->request = *request;
	transfer->lines = g_string_new("");
	transfer->easy = curl_easy_init();
	JJ_INVARIANT(transfer->easy != NULL);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
	g_free(url);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_PATH_AS_IS, 1L);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_CUSTOMREQUEST, request->method);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
	set_keepalive(transfer->easy);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_HEADERFUNCTION, on_header);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_HEADERDATA, transfer);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, on_body);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, transfer);
	if (request->once) {
		(void)curl_easy_setopt(
		    transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
		(void)curl_easy_setopt(
		    transfer->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	/* Otherwise libcurl waits for "100 Continue" on larger bodies. */
	transfer->headers = curl_slist_append(transfer->headers, "Expect:");
	for (i = 0; i < JJ_HTTP_HEADERS_MAX; i++) {
		if (request->headers[i] == NULL)
			break;
		transfer->headers =
		    curl_slist_append(transfer->headers, request->headers[i]);
	}
	for (i = 0; i < request->more_header_count; i++)
		transfer->headers = curl_slist_append(
		    transfer->headers, request->more_headers[i]);
	if (request->no_default_headers)
		remove_default_headers(transfer);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
	set_body(transfer, request);
	return transfer;
}

/** Removes libcurl's default headers, except those that the request sets. */
static void
remove_default_headers(transfer_t *transfer)
{
	static const char *const names[] = {"Accept:", "Content-Type:"};
	const struct curl_slist *line;
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		for (line = transfer->headers; line != NULL; line = line->next)
			if (strncasecmp(
				line->data, names[i], strlen(names[i])) == 0)
				break;
		if (line == NULL)
			transfer->headers =
			    curl_slist_append(transfer->headers, names[i]);
	}
}

/**
 * Guards against dead connections that were never reset: the peer's machine
 * lost power, or a network partition separates it. TCP keep-alive closes them
 * within seconds; otherwise a watch would wait for its whole timeout.
 */
static void
set_keepalive(CURL *easy)
{
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	(void)curl_easy_setopt(
	    easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
}

static int
on_socket_created(void *ctx, curl_socket_t socket, curlsocktype purpose)
{
	int count = KEEPALIVE_PROBES;
	unsigned int timeout = TCP_ACK_TIMEOUT_MS;

	(void)ctx;
	(void)purpose;
	(void)setsockopt(
	    socket, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	(void)setsockopt(
	    socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	return CURL_SOCKOPT_OK;
}

static void
set_body(transfer_t *transfer, const jj_http_request_t *request)
{
	bool has_body = request->body_size > 0 ||
	    strcmp(request->method, "POST") == 0 ||
	    strcmp(request->method, "PUT") == 0 ||
	    strcmp(request->method, "PATCH") == 0;

	/* Otherwise libcurl waits for a body that such an answer lacks. */
	if (strcmp(request->method, "HEAD") == 0) {
		(void)curl_easy_setopt(transfer->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (!has_body)
		return;
	transfer->body = jj_alloc(request->body_size + 1);
	transfer->body_size = request->body_size;
	if (request->body_size > 0)
		memcpy(transfer->body, request->body, request->body_size);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
	    (curl_off_t)request->body_size);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_POSTFIELDS, transfer->body);
}

static void
copy_header(
    char *target, size_t target_size, const char *name, const char *line)
{
	size_t length = strlen(name);

	if (strncasecmp(line, name, length) != 0)
		return;
	line += length;
	while (*line == ' ')
		line++;
	(void)snprintf(target, target_size, "%s", line);
}

/** Seconds with an optional fraction, as ms; 0 for what is no such number. */
static jj_ms_t
read_seconds(const char *text)
{
	double seconds = g_ascii_strtod(text, NULL);

	if (!(seconds > 0))
		return 0;
	return seconds < RETRY_AFTER_MAX_S ? (jj_ms_t)(seconds * 1000)
					   : (jj_ms_t)RETRY_AFTER_MAX_S * 1000;
}

static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	transfer_t *transfer = ctx;
	size_t length = size * count;
	size_t text = length;
	char line[256];

	/* Any other value than the length ends the transfer. */
	if (!hold_head(transfer, length))
		return 0;
	extend_idle_deadline(transfer);
	(void)snprintf(line, sizeof(line), "%.*s", (int)length, data);
	line[strcspn(line, "\r\n")] = '\0';
	while (text > 0 && (data[text - 1] == '\n' || data[text - 1] == '\r'))
		text--;
	if (transfer->head.body != JJ_HTTP_BODY_UNKNOWN)
		return length; /* of the trailer */
	if (!transfer->in_head) {
		begin_head(transfer, line);
	} else if (text == 0) {
		transfer->in_head = false;
		end_head(transfer);
		/* Nobody knows where such an answer ends. */
		if (transfer->head.body == JJ_HTTP_BODY_INVALID)
			return 0;
	} else {
		jj_http_framing_take_line(&transfer->framing, data, text);
		append_line(transfer->lines, data, text);
		take_header(transfer, line);
	}
	return length;
}

/** False when a head has too many lines or bytes, or there is no memory. */
static bool
hold_head(transfer_t *transfer, size_t length)
{
	size_t bytes;

	transfer->head_bytes += length;
	transfer->head_lines++;
	if (transfer->head_bytes > HEAD_BYTES_MAX ||
	    transfer->head_lines > HEAD_LINES_MAX)
		return false;
	bytes = TRANSFER_BYTES + transfer->head_bytes * HEAD_COPIES +
	    transfer->head_lines * HEAD_LINE_BYTES;
	return bytes <= transfer->held ||
	    jj_http_guard_hold_answer(transfer->guard, &transfer->held,
		bytes + HEAD_STEP_BYTES, false);
}

static void
begin_head(transfer_t *transfer, const char *line)
{
	long status = 0;

	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	memset(&transfer->head, 0, sizeof(transfer->head));
	memset(&transfer->framing, 0, sizeof(transfer->framing));
	transfer->head.status = (int)status;
	transfer->in_head = true;
	transfer->is_http10 = strncmp(line, "HTTP/1.0", 8) == 0;
	(void)g_string_truncate(transfer->lines, 0);
}

static void
end_head(transfer_t *transfer)
{
	const jj_http_framing_t *framing = &transfer->framing;
	jj_http_head_t *head = &transfer->head;

	if (head->status < 200)
		return;
	if (head->status > STATUS_MAX || !jj_http_framing_is_valid(framing) ||
	    (framing->has_chunks && transfer->is_http10))
		head->body = JJ_HTTP_BODY_INVALID;
	else if (framing->has_chunks)
		head->body = JJ_HTTP_BODY_CHUNKS;
	else if (framing->has_length || head->status == 204 ||
	    head->status == 304)
		head->body = JJ_HTTP_BODY_LENGTH;
	else
		head->body = JJ_HTTP_BODY_CLOSE;
}

static void
take_header(transfer_t *transfer, const char *line)
{
	jj_http_head_t *head = &transfer->head;
	char retry_after[32] = "";

	copy_header(head->content_type, sizeof(head->content_type),
	    "Content-Type:", line);
	copy_header(head->etag, sizeof(head->etag), "ETag:", line);
	copy_header(head->stream, sizeof(head->stream), "Jujube-Stream:", line);
	copy_header(head->boot, sizeof(head->boot), "Jujube-Boot:", line);
	copy_header(retry_after, sizeof(retry_after), "Retry-After:", line);
	if (retry_after[0] != '\0')
		head->retry_after_ms = read_seconds(retry_after);
	if (strncasecmp(line, "Jujube-Leaving:", 15) == 0)
		head->leaving = true;
}

static void
append_line(GString *lines, const char *data, size_t length)
{
	(void)g_string_append_len(lines, data, (gssize)length);
	(void)g_string_append_c(lines, '\n');
}

static void
deliver_head(transfer_t *transfer)
{
	long status = 0;

	if (transfer->head_delivered)
		return;
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	transfer->head.status = (int)status;
	transfer->head.lines = transfer->lines->str;
	transfer->head_delivered = true;
	if (transfer->request.on_head != NULL)
		transfer->request.on_head(
		    transfer->request.ctx, &transfer->head);
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	transfer_t *transfer = ctx;
	size_t length = size * count;

	extend_idle_deadline(transfer);
	deliver_head(transfer);
	switch (
	    transfer->request.on_data(transfer->request.ctx, data, length)) {
	case JJ_HTTP_PAUSE:
		return CURL_WRITEFUNC_PAUSE;
	case JJ_HTTP_ABORT:
		return 0;
	default:
		return length;
	}
}
