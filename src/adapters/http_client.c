/**
 * @file http_client.c
 * @brief HTTP requests on libcurl: one thread and one multi handle each.
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
#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "adapters/runtime.h"

/** Longest wait of the loop without an event, milliseconds. */
#define POLL_MS 1000
/** Sockets that are looked at after one wait. */
#define EVENTS_MAX 64
/**
 * With many transfers open the next events are only tens of microseconds
 * away, so they are gathered for a moment: one wake then serves the tokens of
 * many streams.
 */
#define GATHER_TRANSFERS 64
#define GATHER_US 2000
/** Longest time to connect, milliseconds; VMs are a few ms apart. */
#define CONNECT_TIMEOUT_MS 1000L
/** Idle connections kept for reuse per client. */
#define IDLE_CONNECTIONS 512L
/** Seconds of silence before a probe, and between probes. */
#define KEEPALIVE_S 1L
/** Probes without an answer until a connection counts as broken. */
#define KEEPALIVE_PROBES 3
/** The same for bytes that were sent and never acknowledged, ms. */
#define SILENCE_MS 3000U

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
	jj_http_request_t request; /**< only ctx and callbacks stay valid */
	jj_http_head_t head;
	GString *lines; /**< of the head */
	bool head_told;
	TAILQ_ENTRY(transfer) link; /**< of those that end when silent */
	jj_ms_t silent_ms; /**< ends then if nothing comes before */
} transfer_t;

typedef struct command {
	STAILQ_ENTRY(command) link;
	command_kind_t kind;
	uint64_t number;
	transfer_t *transfer; /**< of a start */
} command_t;

struct jj_http_client {
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_thread_mutex_t *lock; /**< guards commands and stopping */
	STAILQ_HEAD(, command) commands;
	bool stopping;
	CURLM *multi;
	int poller; /**< of the sockets that libcurl waits for, and wakeup */
	int wakeup; /**< written to when a command is posted */
	jj_ms_t due_ms; /**< libcurl wants to be called; JJ_MS_NEVER: not */
	GHashTable *transfers; /**< by number; the thread's own */
	TAILQ_HEAD(, transfer) limited; /**< those that end when silent */
	jj_ms_t looked_ms; /**< what had come by then was read */
	atomic_uint_fast64_t last_number;
};

static void *APR_THREAD_FUNC run(apr_thread_t *, void *);
static bool set_up_multi(jj_http_client_t *);
static int on_poll(CURL *, curl_socket_t, int, void *, void *);
static int on_timer(CURLM *, long, void *);
static void wait_for_events(jj_http_client_t *);
static int wait_ms(const jj_http_client_t *);
static bool take_commands(jj_http_client_t *);
static void gather(const jj_http_client_t *);
static void release(jj_http_client_t *);
static void start_transfer(jj_http_client_t *, transfer_t *);
static void cancel_transfer(jj_http_client_t *, uint64_t);
static void resume_transfer(jj_http_client_t *, uint64_t);
static void finish_done(jj_http_client_t *);
static void end_silent(jj_http_client_t *);
static void note_piece(transfer_t *);
static void end_transfer(jj_http_client_t *, transfer_t *, jj_http_end_t);
static void free_transfer(transfer_t *);
static transfer_t *prepare_transfer(const jj_http_request_t *);
static void leave_out_defaults(transfer_t *);
static void set_silence(CURL *);
static int on_socket(void *, curl_socket_t, curlsocktype);
static void set_body(transfer_t *, const jj_http_request_t *);
static jj_http_end_t classify(CURL *, CURLcode);
static size_t on_header(char *, size_t, size_t, void *);
static size_t on_body(char *, size_t, size_t, void *);
static void append_line(GString *, const char *, size_t);
static void tell_head(transfer_t *);
static void
push_command(jj_http_client_t *, command_kind_t, uint64_t, transfer_t *);

jj_http_client_t *
jj_http_client_create(void)
{
	jj_http_client_t *client = jj_alloc(sizeof(*client));

	STAILQ_INIT(&client->commands);
	client->pool = jj_runtime_create_pool();
	client->lock = jj_runtime_create_mutex(client->pool);
	client->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&client->limited);
	client->poller = epoll_create1(EPOLL_CLOEXEC);
	client->wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	client->due_ms = JJ_MS_NEVER;
	client->multi = curl_multi_init();
	if (client->multi == NULL || !set_up_multi(client))
		goto out_multi;
	client->thread = jj_runtime_start_thread(client->pool, run, client);
	if (client->thread == NULL)
		goto out_multi;
	return client;

out_multi:
	release(client);
	return NULL;
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
	release(client);
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

/** All but the thread; descriptors that could not be had are none. */
static void
release(jj_http_client_t *client)
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
 * libcurl says which sockets it waits for. Asked to look for itself it looks
 * at every transfer after each wake, with a call of the system for each: on
 * VMs of 0.12 cores that was a tenth of their processor time.
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

/** @param known set while the socket is in the poller. */
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
	/* Its transfer ends by its time limit, the others go on. */
	jj_log(JJ_LOG_ERROR, "socket_not_watched", "socket=%d errno=%d",
	    (int)socket, errno);
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	jj_http_client_t *client = ctx;

	(void)multi;
	client->due_ms =
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
	while (take_commands(client)) {
		wait_for_events(client);
		finish_done(client);
		end_silent(client);
		gather(client);
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
		client->looked_ms = jj_monotonic_now();
	for (i = 0; i < count; i++) {
		if (events[i].data.fd == client->wakeup) {
			(void)eventfd_read(client->wakeup, &posted);
			continue;
		}
		flags = 0;
		/* A socket in error is looked at either way. */
		if (events[i].events & (EPOLLIN | EPOLLHUP | EPOLLERR))
			flags |= CURL_CSELECT_IN;
		if (events[i].events & (EPOLLOUT | EPOLLERR))
			flags |= CURL_CSELECT_OUT;
		(void)curl_multi_socket_action(
		    client->multi, events[i].data.fd, flags, &running);
	}
	if (jj_monotonic_now() < client->due_ms)
		return;
	client->due_ms = JJ_MS_NEVER;
	(void)curl_multi_socket_action(
	    client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static int
wait_ms(const jj_http_client_t *client)
{
	const transfer_t *transfer;
	jj_ms_t due = client->due_ms;
	jj_ms_t now;

	TAILQ_FOREACH(transfer, &client->limited, link)
	{
		if (due == JJ_MS_NEVER || transfer->silent_ms < due)
			due = transfer->silent_ms;
	}
	if (due == JJ_MS_NEVER)
		return POLL_MS;
	now = jj_monotonic_now();
	if (due <= now)
		return 0;
	return due - now < POLL_MS ? (int)(due - now) : POLL_MS;
}

static void
gather(const jj_http_client_t *client)
{
	if (g_hash_table_size(client->transfers) >= GATHER_TRANSFERS)
		apr_sleep(GATHER_US);
}

/** Carries out what was asked for; false when the client shall stop. */
static bool
take_commands(jj_http_client_t *client)
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
	(void)g_hash_table_insert(
	    client->transfers, &transfer->number, transfer);
	if (transfer->request.begin_ms > 0) {
		transfer->silent_ms =
		    jj_monotonic_now() + transfer->request.begin_ms;
		TAILQ_INSERT_TAIL(&client->limited, transfer, link);
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
finish_done(jj_http_client_t *client)
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
		end = classify(message->easy_handle, message->data.result);
		end_transfer(client, transfer, end);
	}
}

/** Time in which this process read nothing does not count as silence. */
static void
end_silent(jj_http_client_t *client)
{
	transfer_t *transfer;
	transfer_t *next;

	for (transfer = TAILQ_FIRST(&client->limited); transfer != NULL;
	     transfer = next) {
		next = TAILQ_NEXT(transfer, link);
		if (transfer->silent_ms <= client->looked_ms)
			end_transfer(client, transfer,
			    classify(transfer->easy, CURLE_OPERATION_TIMEDOUT));
	}
}

/** A head may come long before its body: it does not shorten the time left. */
static void
note_piece(transfer_t *transfer)
{
	jj_ms_t silent_ms;

	if (transfer->request.begin_ms == 0)
		return;
	silent_ms = jj_monotonic_now() + transfer->request.silence_ms;
	if (silent_ms > transfer->silent_ms)
		transfer->silent_ms = silent_ms;
}

/**
 * Tells whether bytes may have reached the server. "Not sent" is a promise
 * to the caller that nothing ran, so it is only said when there was no
 * connection at all.
 */
static jj_http_end_t
classify(CURL *easy, CURLcode result)
{
	curl_off_t ready_us = 0;
	long request_size = 0;

	if (result == CURLE_OK)
		return JJ_HTTP_COMPLETE;
	(void)curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &ready_us);
	(void)curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
	/*
	 * libcurl sends again by itself when a reused connection closes
	 * without an answer. A server that died of the request then refuses
	 * the new connection, yet the request had been sent.
	 */
	if (result == CURLE_COULDNT_CONNECT && request_size == 0)
		return JJ_HTTP_NOT_SENT;
	if (ready_us == 0 && request_size == 0)
		return JJ_HTTP_NOT_SENT;
	if (result == CURLE_OPERATION_TIMEDOUT)
		return JJ_HTTP_TIMEOUT;
	return JJ_HTTP_BROKEN;
}

static void
end_transfer(jj_http_client_t *client, transfer_t *transfer, jj_http_end_t end)
{
	(void)curl_multi_remove_handle(client->multi, transfer->easy);
	(void)g_hash_table_remove(client->transfers, &transfer->number);
	if (transfer->request.begin_ms > 0)
		TAILQ_REMOVE(&client->limited, transfer, link);
	if (end == JJ_HTTP_COMPLETE)
		tell_head(transfer);
	transfer->request.on_end(transfer->request.ctx, end, &transfer->head);
	free_transfer(transfer);
}

static void
free_transfer(transfer_t *transfer)
{
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
	set_silence(transfer->easy);
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
	/* Without this libcurl waits for "100 Continue" on larger bodies. */
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
	if (request->verbatim)
		leave_out_defaults(transfer);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
	set_body(transfer, request);
	return transfer;
}

/** libcurl's own headers go, but where the request has that header. */
static void
leave_out_defaults(transfer_t *transfer)
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
 * Guards against connections that fall silent for good without a reset: the
 * peer's machine lost power, or is behind a cut. Probes of the kernel end
 * them within some seconds, where else a watch would wait for its whole time.
 */
static void
set_silence(CURL *easy)
{
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	(void)curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
}

static int
on_socket(void *ctx, curl_socket_t socket, curlsocktype purpose)
{
	int count = KEEPALIVE_PROBES;
	unsigned int timeout = SILENCE_MS;

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
	bool has_body = strcmp(request->method, "POST") == 0 ||
	    strcmp(request->method, "PUT") == 0;

	if (!has_body)
		return;
	transfer->body = jj_alloc(request->body_size + 1);
	if (request->body_size > 0)
		memcpy(transfer->body, request->body, request->body_size);
	(void)curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
	    (curl_off_t)request->body_size);
	(void)curl_easy_setopt(
	    transfer->easy, CURLOPT_POSTFIELDS, transfer->body);
}

static void
copy_header(char *target, size_t room, const char *name, const char *line)
{
	size_t length = strlen(name);

	if (strncasecmp(line, name, length) != 0)
		return;
	line += length;
	while (*line == ' ')
		line++;
	(void)snprintf(target, room, "%s", line);
}

static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	transfer_t *transfer = ctx;
	jj_http_head_t *head = &transfer->head;
	size_t length = size * count;
	char line[256];
	char number[32] = "";

	note_piece(transfer);
	(void)snprintf(line, sizeof(line), "%.*s", (int)length, data);
	line[strcspn(line, "\r\n")] = '\0';
	if (strncmp(line, "HTTP/", 5) == 0) {
		long status = 0;

		(void)curl_easy_getinfo(
		    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
		memset(head, 0, sizeof(*head));
		head->status = (int)status;
		(void)g_string_truncate(transfer->lines, 0);
		return length;
	}
	if (!transfer->head_told)
		append_line(transfer->lines, data, length);
	copy_header(head->content_type, sizeof(head->content_type),
	    "Content-Type:", line);
	copy_header(head->etag, sizeof(head->etag), "ETag:", line);
	copy_header(head->stream, sizeof(head->stream), "Jujube-Stream:", line);
	copy_header(head->boot, sizeof(head->boot), "Jujube-Boot:", line);
	copy_header(number, sizeof(number), "Retry-After:", line);
	if (number[0] != '\0')
		head->retry_after_ms =
		    (jj_ms_t)(g_ascii_strtod(number, NULL) * 1000);
	if (strncasecmp(line, "Jujube-Leaving:", 15) == 0)
		head->leaving = true;
	return length;
}

static void
append_line(GString *lines, const char *data, size_t length)
{
	while (length > 0 &&
	    (data[length - 1] == '\n' || data[length - 1] == '\r'))
		length--;
	if (length == 0)
		return;
	(void)g_string_append_len(lines, data, (gssize)length);
	(void)g_string_append_c(lines, '\n');
}

static void
tell_head(transfer_t *transfer)
{
	long status = 0;

	if (transfer->head_told)
		return;
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	transfer->head.status = (int)status;
	transfer->head.lines = transfer->lines->str;
	transfer->head_told = true;
	if (transfer->request.on_head != NULL)
		transfer->request.on_head(
		    transfer->request.ctx, &transfer->head);
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	transfer_t *transfer = ctx;
	size_t length = size * count;

	note_piece(transfer);
	tell_head(transfer);
	if (transfer->request.on_data(transfer->request.ctx, data, length) ==
	    JJ_HTTP_PAUSE)
		return CURL_WRITEFUNC_PAUSE;
	return length;
}
