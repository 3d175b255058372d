/**
 * @file web.c
 * @brief The stand-ins' HTTP server; see web.h.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <microhttpd.h>

#include "web.h"

/*
 * Bytes of a request body. Four times the largest object, so that the handler
 * can enforce the object limit itself.
 */
#define BODY_MAX (4U * 1024 * 1024)
#define BODY_INITIAL_SIZE 4096U
#define BACKLOG 512
#define CONNECTIONS_MAX 4096U
/* Bytes per connection; enough for headers with a key of 512 escaped bytes. */
#define CONNECTION_MEMORY (64U * 1024)
#define THREAD_STACK (512U * 1024)
#define STREAM_BLOCK (16U * 1024)
#define STOP_WAIT_S 10

struct web_server {
	struct MHD_Daemon *daemon;
	web_handler_t handler;
	void *ctx;
	uint16_t port;
	atomic_bool stopping;
	pthread_mutex_t lock;
	pthread_cond_t idle; /* signalled when open drops to zero */
	unsigned open; /* responses started but not completed */
};

/* One HTTP exchange, from its first header to its last byte. */
typedef struct {
	web_server_t *server;
	struct MHD_Connection *connection;
	web_request_t request;
	char *body;
	size_t size;
	size_t capacity;
	bool too_large;
	bool open; /* counted in server->open */
} web_call_t;

/* The producer of a streamed answer, and its context. */
typedef struct {
	web_call_t *call;
	web_producer_t producer;
	void *ctx;
	void (*free_ctx)(void *);
	web_stream_status_t status; /* returned by the last producer call */
} web_stream_context_t;

static bool parse_address(const char *, struct sockaddr_in *);
static int listen_on(const struct sockaddr_in *, uint16_t *);
static struct MHD_Daemon *start_daemon(web_server_t *, int);
static enum MHD_Result on_access(void *, struct MHD_Connection *, const char *,
    const char *, const char *, const char *, size_t *, void **);
static void on_completed(
    void *, struct MHD_Connection *, void **, enum MHD_RequestTerminationCode);
static web_call_t *
call_begin(web_server_t *, struct MHD_Connection *, const char *, const char *);
static bool call_append(web_call_t *, const char *, size_t);
static void call_set_open(web_call_t *, bool);
static enum MHD_Result call_answer(web_call_t *);
static enum MHD_Result answer_send(web_call_t *, web_answer_t *);
static void answer_discard(web_answer_t *);
static struct MHD_Response *answer_stream(web_call_t *, web_answer_t *);
static ssize_t stream_read(void *, uint64_t, char *, size_t);
static void stream_free(void *);
static void wait_idle(web_server_t *);

web_server_t *
web_start(const char *address, web_handler_t handler, void *ctx)
{
	struct sockaddr_in parsed;
	web_server_t *server;
	int fd;

	if (!parse_address(address, &parsed))
		return NULL;
	server = calloc(1, sizeof(*server));
	if (server == NULL)
		return NULL;
	server->handler = handler;
	server->ctx = ctx;
	pthread_mutex_init(&server->lock, NULL);
	pthread_cond_init(&server->idle, NULL);
	fd = listen_on(&parsed, &server->port);
	if (fd < 0)
		goto out;
	server->daemon = start_daemon(server, fd);
	if (server->daemon != NULL)
		return server;
	close(fd);
out:
	pthread_cond_destroy(&server->idle);
	pthread_mutex_destroy(&server->lock);
	free(server);
	return NULL;
}

uint16_t
web_port(const web_server_t *server)
{
	return server->port;
}

void
web_stop(web_server_t *server)
{
	MHD_socket fd;

	atomic_store(&server->stopping, true);
	fd = MHD_quiesce_daemon(server->daemon);
	wait_idle(server);
	MHD_stop_daemon(server->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	pthread_cond_destroy(&server->idle);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

bool
web_is_abandoned(const web_request_t *request)
{
	const web_call_t *call = request->impl;
	const union MHD_ConnectionInfo *info;
	struct pollfd probe = {.events = POLLRDHUP};

	if (atomic_load(&call->server->stopping))
		return true;
	info = MHD_get_connection_info(
	    call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return true;
	probe.fd = info->connect_fd;
	if (poll(&probe, 1, 0) <= 0)
		return false;
	return (probe.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

const char *
web_header(const web_request_t *request, const char *name)
{
	const web_call_t *call = request->impl;

	return MHD_lookup_connection_value(
	    call->connection, MHD_HEADER_KIND, name);
}

const char *
web_query(const web_request_t *request, const char *name)
{
	const web_call_t *call = request->impl;

	return MHD_lookup_connection_value(
	    call->connection, MHD_GET_ARGUMENT_KIND, name);
}

long
web_query_number(const web_request_t *request, const char *name, long fallback)
{
	const char *text = web_query(request, name);
	char *end;
	long number;

	if (text == NULL || *text == '\0')
		return fallback;
	errno = 0;
	number = strtol(text, &end, 10);
	if (errno != 0 || *end != '\0')
		return fallback;
	return number;
}

void
web_add_header(web_answer_t *answer, const char *name, const char *value)
{
	size_t count = sizeof(answer->headers) / sizeof(answer->headers[0]);
	size_t text_size = sizeof(answer->headers[0][0]);
	size_t i;

	for (i = 0; i < count; i++) {
		if (answer->headers[i][0][0] != '\0')
			continue;
		snprintf(answer->headers[i][0], text_size, "%s", name);
		snprintf(answer->headers[i][1], text_size, "%s", value);
		return;
	}
}

void
web_answer_json(web_answer_t *answer, int status, json_t *json)
{
	answer->status = status;
	answer->body = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);
	answer->body_size = answer->body != NULL ? strlen(answer->body) : 0;
	web_add_header(answer, "Content-Type", "application/json");
	json_decref(json);
}

void
web_answer_problem(
    web_answer_t *answer, int status, const char *code, const char *detail)
{
	json_t *json;

	json = json_pack("{s:s, s:i, s:s, s:s}", "type", "about:blank",
	    "status", status, "code", code, "detail", detail);
	web_add_header(answer, "Content-Type", "application/problem+json");
	answer->status = status;
	answer->body = json_dumps(json, JSON_COMPACT);
	answer->body_size = answer->body != NULL ? strlen(answer->body) : 0;
	json_decref(json);
}

int64_t
web_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
web_sleep_ms(int64_t ms)
{
	struct timespec left = {
	    .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};

	if (ms <= 0)
		return;
	while (nanosleep(&left, &left) != 0 && errno == EINTR)
		continue;
}

void
web_announce(const char *ip, uint16_t port, uint16_t control_port)
{
	printf("event=listening address=%s:%u", ip, port);
	if (control_port != 0)
		printf(" control=%s:%u", ip, control_port);
	printf("\n");
	fflush(stdout);
}

void
web_block_signals(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

void
web_wait_for_signal(void)
{
	sigset_t set;
	int number;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	while (sigwait(&set, &number) != 0)
		continue;
}

static bool
parse_address(const char *address, struct sockaddr_in *parsed)
{
	const char *colon = strrchr(address, ':');
	char ip[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (colon == NULL || (size_t)(colon - address) >= sizeof(ip))
		return false;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end != '\0' || port < 0 || port > UINT16_MAX)
		return false;
	memset(parsed, 0, sizeof(*parsed));
	parsed->sin_family = AF_INET;
	parsed->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &parsed->sin_addr) == 1;
}

/*
 * Listens with SO_REUSEADDR only: a restarted process can bind its port again,
 * while a second process on the same port fails immediately. The option of
 * libmicrohttpd would set SO_REUSEPORT, with which two processes silently share
 * the connections.
 * Accepted sockets inherit TCP_NODELAY.
 */
static int
listen_on(const struct sockaddr_in *address, uint16_t *port)
{
	struct sockaddr_in bound = {0};
	socklen_t size = sizeof(bound);
	int one = 1;
	int fd;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0)
		goto out;
	if (listen(fd, BACKLOG) != 0)
		goto out;
	if (getsockname(fd, (struct sockaddr *)&bound, &size) != 0)
		goto out;
	*port = ntohs(bound.sin_port);
	return fd;
out:
	close(fd);
	return -1;
}

static struct MHD_Daemon *
start_daemon(web_server_t *server, int fd)
{
	unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
	    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;

	return MHD_start_daemon(flags, 0, NULL, NULL, on_access, server,
	    MHD_OPTION_LISTEN_SOCKET, (MHD_socket)fd,
	    MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
	    MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	web_call_t *call = *state;

	(void)version;
	if (call == NULL) {
		*state = call_begin(ctx, connection, url, method);
		return *state != NULL ? MHD_YES : MHD_NO;
	}
	if (*size == 0)
		return call_answer(call);
	if (!call_append(call, data, *size))
		return MHD_NO;
	*size = 0;
	return MHD_YES;
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode reason)
{
	web_call_t *call = *state;

	(void)ctx;
	(void)connection;
	(void)reason;
	if (call == NULL)
		return;
	call_set_open(call, false);
	free(call->body);
	free(call);
	*state = NULL;
}

static web_call_t *
call_begin(web_server_t *server, struct MHD_Connection *connection,
    const char *url, const char *method)
{
	web_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return NULL;
	call->server = server;
	call->connection = connection;
	call->request.method = method;
	call->request.path = url;
	call->request.body = "";
	call->request.impl = call;
	return call;
}

/*
 * Appends a piece of the body. Data beyond the limit is read and discarded, so
 * that the client receives a 413 instead of a broken connection.
 */
static bool
call_append(web_call_t *call, const char *data, size_t size)
{
	size_t capacity = call->capacity;
	char *grown;

	if (call->too_large || size > BODY_MAX - call->size) {
		call->too_large = true;
		return true;
	}
	if (capacity == 0)
		capacity = BODY_INITIAL_SIZE;
	while (capacity < call->size + size + 1)
		capacity *= 2;
	if (capacity != call->capacity) {
		grown = realloc(call->body, capacity);
		if (grown == NULL)
			return false;
		call->body = grown;
		call->capacity = capacity;
	}
	memcpy(call->body + call->size, data, size);
	call->size += size;
	call->body[call->size] = '\0';
	call->request.body = call->body;
	call->request.body_size = call->size;
	return true;
}

static void
call_set_open(web_call_t *call, bool open)
{
	web_server_t *server = call->server;

	if (call->open == open)
		return;
	call->open = open;
	pthread_mutex_lock(&server->lock);
	if (open)
		server->open++;
	else
		server->open--;
	if (server->open == 0)
		pthread_cond_broadcast(&server->idle);
	pthread_mutex_unlock(&server->lock);
}

static enum MHD_Result
call_answer(web_call_t *call)
{
	web_server_t *server = call->server;
	web_answer_t answer = {0};

	call_set_open(call, true);
	if (call->too_large)
		web_answer_problem(&answer, MHD_HTTP_CONTENT_TOO_LARGE,
		    "body-too-large", "the body is over 4194304 bytes");
	else
		server->handler(server->ctx, &call->request, &answer);
	if (answer.status != 0)
		return answer_send(call, &answer);
	answer_discard(&answer);
	return MHD_NO;
}

static enum MHD_Result
answer_send(web_call_t *call, web_answer_t *answer)
{
	size_t count = sizeof(answer->headers) / sizeof(answer->headers[0]);
	struct MHD_Response *response;
	enum MHD_Result queued;
	size_t i;

	if (answer->producer != NULL) {
		response = answer_stream(call, answer);
	} else {
		response = MHD_create_response_from_buffer(
		    answer->body_size, answer->body, MHD_RESPMEM_MUST_FREE);
		if (response == NULL)
			answer_discard(answer);
	}
	if (response == NULL)
		return MHD_NO;
	for (i = 0; i < count && answer->headers[i][0][0] != '\0'; i++)
		MHD_add_response_header(
		    response, answer->headers[i][0], answer->headers[i][1]);
	queued = MHD_queue_response(
	    call->connection, (unsigned)answer->status, response);
	MHD_destroy_response(response);
	return queued;
}

static void
answer_discard(web_answer_t *answer)
{
	free(answer->body);
	if (answer->producer_free != NULL)
		answer->producer_free(answer->producer_ctx);
}

static struct MHD_Response *
answer_stream(web_call_t *call, web_answer_t *answer)
{
	web_stream_context_t *stream = calloc(1, sizeof(*stream));
	struct MHD_Response *response = NULL;

	if (stream != NULL) {
		stream->call = call;
		stream->producer = answer->producer;
		stream->ctx = answer->producer_ctx;
		stream->free_ctx = answer->producer_free;
		response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
		    STREAM_BLOCK, stream_read, stream, stream_free);
	}
	if (response != NULL) {
		free(answer->body);
		return response;
	}
	free(stream);
	answer_discard(answer);
	return NULL;
}

/*
 * Calls the producer until it returns bytes, as libmicrohttpd would busy-loop
 * on empty pieces. Ends the stream when the client has disconnected; otherwise
 * a producer without output would block its thread forever.
 */
static ssize_t
stream_read(void *ctx, uint64_t position, char *buffer, size_t capacity)
{
	web_stream_context_t *stream = ctx;
	size_t size = 0;

	(void)position;
	while (stream->status == WEB_STREAM_MORE) {
		stream->status =
		    stream->producer(stream->ctx, buffer, capacity, &size);
		if (size > 0)
			return (ssize_t)size;
		if (stream->status != WEB_STREAM_MORE)
			break;
		if (web_is_abandoned(&stream->call->request))
			return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (stream->status == WEB_STREAM_END)
		return MHD_CONTENT_READER_END_OF_STREAM;
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

static void
stream_free(void *ctx)
{
	web_stream_context_t *stream = ctx;

	if (stream->free_ctx != NULL)
		stream->free_ctx(stream->ctx);
	free(stream);
}

/* Has a timeout, as a client that never reads would block web_stop(). */
static void
wait_idle(web_server_t *server)
{
	struct timespec limit;
	int result = 0;

	clock_gettime(CLOCK_REALTIME, &limit);
	limit.tv_sec += STOP_WAIT_S;
	pthread_mutex_lock(&server->lock);
	while (server->open > 0 && result == 0)
		result = pthread_cond_timedwait(
		    &server->idle, &server->lock, &limit);
	pthread_mutex_unlock(&server->lock);
}
