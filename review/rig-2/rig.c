/* See rig.h. */
#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define VMS_MAX 16
#define OBJECTS_MAX 65536
#define KINDS_TEXT 64

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static rig_vm_t *vms[VMS_MAX];
static int vm_count;
static char folder[200];

/* ---- general ---- */

static int64_t
steady_ms(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

int64_t
rig_now_ms(void)
{
	static int64_t begin;

	if (begin == 0)
		begin = steady_ms();
	return steady_ms() - begin;
}

void
rig_sleep_ms(int64_t ms)
{
	struct timespec wait = {ms / 1000, (ms % 1000) * 1000000};

	if (ms > 0)
		nanosleep(&wait, NULL);
}

void
rig_open_record(const char *path)
{
	signal(SIGPIPE, SIG_IGN);
	(void)rig_now_ms();
	record = fopen(path, "w");
	if (record == NULL)
		exit(2);
	snprintf(
	    folder, sizeof(folder), "/tmp/jujube-review-%d", (int)getpid());
	if (getenv("RIG_TMP") != NULL)
		snprintf(folder, sizeof(folder), "%s", getenv("RIG_TMP"));
}

static void
note(const char *format, va_list list)
{
	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)rig_now_ms() / 1000);
	vfprintf(record, format, list);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void
rig_note(const char *format, ...)
{
	va_list list;

	va_start(list, format);
	note(format, list);
	va_end(list);
}

static void
end_processes(void)
{
	int i;

	for (i = 0; i < vm_count; i++) {
		if (vms[i]->pid <= 0)
			continue;
		kill(vms[i]->pid, SIGCONT);
		kill(vms[i]->pid, SIGKILL);
		waitpid(vms[i]->pid, NULL, 0);
	}
}

void
rig_fail(const char *format, ...)
{
	va_list list;

	va_start(list, format);
	note(format, list);
	va_end(list);
	rig_note("the case could not run");
	end_processes();
	_exit(2);
}

void
rig_finish(bool broken, const char *format, ...)
{
	va_list list;

	va_start(list, format);
	note(format, list);
	va_end(list);
	rig_note(broken ? "the rule is broken" : "the rule was kept");
	end_processes();
	_exit(broken ? 1 : 0);
}

bool
rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

typedef struct {
	rig_thread_t run;
	void *ctx;
} start_t;

static void *
run_thread(void *argument)
{
	start_t start = *(start_t *)argument;

	free(argument);
	start.run(start.ctx);
	return NULL;
}

void
rig_thread(rig_thread_t run, void *ctx)
{
	start_t *start = malloc(sizeof(*start));
	pthread_t thread;

	start->run = run;
	start->ctx = ctx;
	if (pthread_create(&thread, NULL, run_thread, start) != 0)
		rig_fail("no thread");
	pthread_detach(thread);
}

const char *
rig_ip(int number)
{
	static __thread char text[8][32];
	static __thread int next;
	char *at = text[next++ % 8];
	int pid = (int)getpid();

	snprintf(at, 32, "127.%d.%d.%d", 30 + pid / 200 % 200, 10 + pid % 200,
	    number);
	return at;
}

/* ---- HTTP ---- */

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
	char host[64];
	const char *colon = strrchr(text, ':');

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	address->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

typedef struct {
	int fd;
	char data[65536];
	size_t start, end;
	int64_t gap_ms; /* longest wait for the next byte; 0: any */
} reader_t;

/* False at the end, an error or the time limit (0: none; errno EAGAIN). */
static bool
fill(reader_t *reader, int64_t until_ms)
{
	struct pollfd wait = {reader->fd, POLLIN, 0};
	int64_t left = until_ms == 0 ? 1 << 30 : until_ms - rig_now_ms();
	ssize_t got;

	if (reader->gap_ms > 0 && left > reader->gap_ms)
		left = reader->gap_ms;
	if (reader->start == reader->end)
		reader->start = reader->end = 0;
	if (reader->end == sizeof(reader->data)) {
		memmove(reader->data, reader->data + reader->start,
		    reader->end - reader->start);
		reader->end -= reader->start;
		reader->start = 0;
		if (reader->end == sizeof(reader->data)) {
			errno = EMSGSIZE;
			return false;
		}
	}
	if (left <= 0 || poll(&wait, 1, (int)left) <= 0) {
		errno = EAGAIN;
		return false;
	}
	got = recv(reader->fd, reader->data + reader->end,
	    sizeof(reader->data) - reader->end, 0);
	if (got > 0) {
		reader->end += (size_t)got;
		return true;
	}
	if (got == 0)
		errno = 0;
	return false;
}

static bool
read_line(reader_t *reader, char *line, size_t size, int64_t until_ms)
{
	size_t used = 0;

	for (;;) {
		while (reader->start < reader->end) {
			char c = reader->data[reader->start++];

			if (c == '\n') {
				if (used > 0 && line[used - 1] == '\r')
					used--;
				line[used] = '\0';
				return true;
			}
			if (used + 1 < size)
				line[used++] = c;
		}
		if (!fill(reader, until_ms))
			return false;
	}
}

static bool
read_bytes(reader_t *reader, char **body, size_t *size, size_t count,
    int64_t until_ms, int64_t *last_ms)
{
	*body = realloc(*body, *size + count + 1);
	while (count > 0) {
		size_t have = reader->end - reader->start;

		if (have == 0) {
			if (!fill(reader, until_ms))
				return false;
			if (last_ms != NULL)
				*last_ms = rig_now_ms();
			continue;
		}
		if (have > count)
			have = count;
		memcpy(*body + *size, reader->data + reader->start, have);
		reader->start += have;
		*size += have;
		(*body)[*size] = '\0';
		count -= have;
	}
	return true;
}

static bool
read_head(reader_t *reader, char *head, size_t head_size, int64_t until_ms)
{
	char line[8192];
	size_t used = 0;

	head[0] = '\0';
	for (;;) {
		if (!read_line(reader, line, sizeof(line), until_ms))
			return false;
		if (line[0] == '\0')
			return true;
		used += (size_t)snprintf(
		    head + used, head_size - used, "%s\n", line);
		if (used >= head_size)
			return false;
	}
}

/* Reads chunks; false when they end early. */
static bool
read_chunks(reader_t *reader, char **body, size_t *size, int64_t until_ms,
    int64_t *last_ms)
{
	char line[256];
	size_t count;

	for (;;) {
		if (!read_line(reader, line, sizeof(line), until_ms))
			return false;
		if (last_ms != NULL)
			*last_ms = rig_now_ms();
		count = strtoul(line, NULL, 16);
		if (count > 0 &&
		    !read_bytes(reader, body, size, count, until_ms, last_ms))
			return false;
		if (!read_line(reader, line, sizeof(line), until_ms))
			return false;
		if (count == 0)
			return true;
	}
}

bool
rig_header(const char *head, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);
	const char *line = head;

	while (line != NULL && *line != '\0') {
		if (strncasecmp(line, name, length) == 0 &&
		    line[length] == ':') {
			line += length + 1;
			line += strspn(line, " \t");
			snprintf(value, size, "%.*s", (int)strcspn(line, "\n"),
			    line);
			return true;
		}
		line = strchr(line, '\n');
		line = line != NULL ? line + 1 : NULL;
	}
	return false;
}

bool
rig_send(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size > 0) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		size -= (size_t)sent;
	}
	return true;
}

bool
rig_sendf(int fd, const char *format, ...)
{
	va_list list;
	char *text;
	int size;
	bool sent;

	va_start(list, format);
	size = vasprintf(&text, format, list);
	va_end(list);
	sent = rig_send(fd, text, (size_t)size);
	free(text);
	return sent;
}

void
rig_reset(int fd)
{
	struct linger linger = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

typedef struct {
	volatile int fd;
	rig_handler_t handle;
	void *ctx;
} service_t;

static void
run_connection(void *argument)
{
	service_t *service = argument;
	reader_t *reader = calloc(1, sizeof(*reader));
	rig_request_t *request = calloc(1, sizeof(*request));
	char line[4096], text[64];
	bool goes_on = true;

	reader->fd = service->fd;
	while (goes_on) {
		free(request->body);
		memset(request, 0, sizeof(*request));
		if (!read_line(reader, line, sizeof(line), 0) ||
		    sscanf(line, "%15s %2047s", request->method,
			request->target) != 2 ||
		    !read_head(reader, request->head, sizeof(request->head), 0))
			break;
		if (rig_header(request->head, "Transfer-Encoding", text,
			sizeof(text))) {
			if (!read_chunks(reader, &request->body,
				&request->body_size, 0, NULL))
				break;
		} else if (rig_header(request->head, "Content-Length", text,
			       sizeof(text)) &&
		    !read_bytes(reader, &request->body, &request->body_size,
			strtoul(text, NULL, 10), 0, NULL))
			break;
		goes_on = service->handle(service->ctx, service->fd, request);
	}
	close(service->fd);
	free(request->body);
	free(request);
	free(reader);
	free(service);
}

static void
run_accept(void *argument)
{
	service_t *service = argument;
	int one = 1;

	for (;;) {
		service_t *connection = malloc(sizeof(*connection));

		*connection = *service;
		connection->fd = accept4(service->fd, NULL, NULL, SOCK_CLOEXEC);
		if (connection->fd < 0) {
			free(connection);
			rig_sleep_ms(5);
			continue;
		}
		setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &one,
		    sizeof(one));
		rig_thread(run_connection, connection);
	}
}

static int
listen_at(const char *address)
{
	struct sockaddr_in at;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!parse_address(address, &at) ||
	    bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 512) != 0)
		rig_fail("can't listen at %s: %s", address, strerror(errno));
	return fd;
}

static service_t *
serve(const char *address, rig_handler_t handle, void *ctx)
{
	service_t *service = malloc(sizeof(*service));

	service->handle = handle;
	service->ctx = ctx;
	service->fd = listen_at(address);
	rig_thread(run_accept, service);
	return service;
}

void
rig_serve(const char *address, rig_handler_t handle, void *ctx)
{
	(void)serve(address, handle, ctx);
}

/* ---- the store ---- */

typedef struct {
	char kind[64];
	char name[200];
	uint64_t revision;
	uint64_t made;
	json_t *spec;
	json_t *status;
} object_t;

typedef struct {
	uint64_t revision;
	char kind[64];
	char *event; /* JSON */
} event_t;

rig_store_hook_t rig_store_hook;
int rig_store_delay_ms = 4;
char rig_store_address[64];
static object_t *objects[OBJECTS_MAX];
static int object_count;
static event_t *events;
static size_t event_count;
static uint64_t store_revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static int
compare_objects(const void *a, const void *b)
{
	return strcmp(
	    (*(object_t *const *)a)->name, (*(object_t *const *)b)->name);
}

static object_t *
find_object(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < object_count; i++)
		if (strcmp(objects[i]->kind, kind) == 0 &&
		    strcmp(objects[i]->name, name) == 0)
			return objects[i];
	return NULL;
}

static json_t *
encode_object(const object_t *object)
{
	return json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O?,s:O?}", "metadata",
	    "name", object->name, "revision", (json_int_t)object->revision,
	    "made", (json_int_t)object->made, "finalizers", "deleting", 0,
	    "spec", object->spec, "status", object->status);
}

static void
add_event(const object_t *object, bool gone)
{
	json_t *event = json_pack(
	    "{s:b,s:o}", "gone", gone, "object", encode_object(object));
	event_t *at;

	events = realloc(events, (event_count + 1) * sizeof(*events));
	at = &events[event_count++];
	at->revision = store_revision;
	snprintf(at->kind, sizeof(at->kind), "%s", object->kind);
	at->event = json_dumps(event, JSON_COMPACT);
	json_decref(event);
	pthread_cond_broadcast(&store_changed);
}

static object_t *
put_object(const char *kind, const char *name, json_t *spec)
{
	object_t *object = find_object(kind, name);

	if (object != NULL && json_equal(object->spec, spec))
		return object;
	store_revision++;
	if (object == NULL) {
		object = calloc(1, sizeof(*object));
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
		object->made = store_revision;
		objects[object_count++] = object;
	}
	json_decref(object->spec);
	object->spec = json_incref(spec);
	object->revision = store_revision;
	add_event(object, false);
	return object;
}

static void
remove_object(object_t *object)
{
	int i;

	store_revision++;
	add_event(object, true);
	for (i = 0; i < object_count; i++)
		if (objects[i] == object)
			objects[i] = objects[--object_count];
	json_decref(object->spec);
	json_decref(object->status);
	free(object);
}

void
rig_store_put(const char *kind, const char *name, json_t *spec)
{
	pthread_mutex_lock(&store_lock);
	(void)put_object(kind, name, spec);
	pthread_mutex_unlock(&store_lock);
	json_decref(spec);
}

void
rig_store_remove(const char *kind, const char *name)
{
	object_t *object;

	pthread_mutex_lock(&store_lock);
	object = find_object(kind, name);
	if (object != NULL)
		remove_object(object);
	pthread_mutex_unlock(&store_lock);
}

json_t *
rig_store_get(const char *kind, const char *name)
{
	object_t *object;
	json_t *spec = NULL;

	pthread_mutex_lock(&store_lock);
	object = find_object(kind, name);
	if (object != NULL)
		spec = json_deep_copy(object->spec);
	pthread_mutex_unlock(&store_lock);
	return spec;
}

int
rig_store_count(const char *kind)
{
	int count = 0, i;

	pthread_mutex_lock(&store_lock);
	for (i = 0; i < object_count; i++)
		count += strcmp(objects[i]->kind, kind) == 0;
	pthread_mutex_unlock(&store_lock);
	return count;
}

static bool
query(const char *target, const char *name, char *value, size_t size)
{
	const char *at = strchr(target, '?');
	size_t length = strlen(name);

	for (; at != NULL; at = strchr(at, '&')) {
		at++;
		if (strncmp(at, name, length) == 0 && at[length] == '=') {
			at += length + 1;
			snprintf(
			    value, size, "%.*s", (int)strcspn(at, "&"), at);
			return true;
		}
	}
	return false;
}

static char *
list_objects(const char *kind, const char *after)
{
	static object_t *sorted[OBJECTS_MAX];
	json_t *items = json_array(), *answer;
	int count = 0, i, used = 0;
	size_t bytes = 0;
	bool more = false;
	char *text;

	for (i = 0; i < object_count; i++)
		if (strcmp(objects[i]->kind, kind) == 0 &&
		    strcmp(objects[i]->name, after) > 0)
			sorted[count++] = objects[i];
	qsort(sorted, (size_t)count, sizeof(*sorted), compare_objects);
	for (i = 0; i < count; i++) {
		json_t *object = encode_object(sorted[i]);
		char *encoded = json_dumps(object, JSON_COMPACT);

		bytes += strlen(encoded);
		free(encoded);
		if (used > 0 && (used >= 500 || bytes > 1000000)) {
			json_decref(object);
			more = true;
			break;
		}
		json_array_append_new(items, object);
		used++;
	}
	answer = json_pack("{s:o,s:b,s:I}", "items", items, "more", more, "at",
	    (json_int_t)store_revision);
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	return text;
}

static char *
watch_objects(const char *kind, uint64_t since, int64_t wait_ms)
{
	int64_t until = rig_now_ms() + wait_ms;
	size_t size, i, count;
	char *text = NULL;
	FILE *out;

	for (;;) {
		count = 0;
		for (i = 0; i < event_count; i++)
			count += events[i].revision > since &&
			    strcmp(events[i].kind, kind) == 0;
		if (count > 0 || rig_now_ms() >= until)
			break;
		struct timespec at;
		clock_gettime(CLOCK_REALTIME, &at);
		at.tv_nsec += 5000000;
		if (at.tv_nsec >= 1000000000) {
			at.tv_nsec -= 1000000000;
			at.tv_sec++;
		}
		pthread_cond_timedwait(&store_changed, &store_lock, &at);
	}
	out = open_memstream(&text, &size);
	fprintf(out, "{\"events\":[");
	count = 0;
	for (i = 0; i < event_count; i++)
		if (events[i].revision > since &&
		    strcmp(events[i].kind, kind) == 0)
			fprintf(out, "%s%s", count++ > 0 ? "," : "",
			    events[i].event);
	fprintf(out, "],\"at\":%llu}", (unsigned long long)store_revision);
	fclose(out);
	return text;
}

static char *
object_text(const object_t *object)
{
	json_t *json = encode_object(object);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

/* Carries a call out; returns the status, and its body in text. */
static int
run_store_call(const rig_request_t *request, char **text)
{
	char kind[64] = "", name[200] = "", value[256] = "", path[600];
	json_t *body = NULL, *meta;
	object_t *object;
	uint64_t revision = 0;
	bool is_status;
	int status = 200;

	*text = NULL;
	snprintf(path, sizeof(path), "%.*s", (int)strcspn(request->target, "?"),
	    request->target);
	if (strncmp(path, "/api/objects/", 13) != 0)
		return 404;
	sscanf(path + 13, "%63[^/]/%199[^/]", kind, name);
	is_status = strlen(path) > 7 &&
	    strcmp(path + strlen(path) - 7, "/status") == 0 && name[0] != '\0';
	if (request->body_size > 0) {
		body = json_loadb(
		    request->body, request->body_size, JSON_DECODE_ANY, NULL);
		if (body == NULL)
			return 400;
	}
	meta = json_object_get(body, "metadata");
	revision =
	    (uint64_t)json_integer_value(json_object_get(meta, "revision"));
	if (query(request->target, "revision", value, sizeof(value)))
		revision = strtoull(value, NULL, 10);
	if (strcmp(request->method, "POST") == 0)
		snprintf(name, sizeof(name), "%s",
		    json_string_value(json_object_get(meta, "name")));
	pthread_mutex_lock(&store_lock);
	object = name[0] != '\0' ? find_object(kind, name) : NULL;
	if (strcmp(request->method, "GET") == 0 && name[0] == '\0') {
		if (query(request->target, "watch", value, sizeof(value))) {
			uint64_t since = strtoull(value, NULL, 10);
			int64_t wait_ms = 0;

			if (query(request->target, "waitMs", value,
				sizeof(value)))
				wait_ms = atoll(value);
			*text = watch_objects(kind, since, wait_ms);
		} else {
			value[0] = '\0';
			(void)query(
			    request->target, "after", value, sizeof(value));
			*text = list_objects(kind, value);
		}
	} else if (strcmp(request->method, "POST") == 0) {
		if (object != NULL)
			status = 409;
		else
			object = put_object(
			    kind, name, json_object_get(body, "spec"));
		*text = object_text(object);
	} else if (object == NULL) {
		status = 404;
	} else if (revision != 0 && revision != object->revision &&
	    strcmp(request->method, "GET") != 0) {
		status = 409;
		*text = object_text(object);
	} else if (strcmp(request->method, "PUT") == 0 && is_status) {
		store_revision++;
		json_decref(object->status);
		object->status = json_incref(json_object_get(body, "status"));
		object->revision = store_revision;
		add_event(object, false);
		*text = object_text(object);
	} else if (strcmp(request->method, "PUT") == 0) {
		object = put_object(kind, name, json_object_get(body, "spec"));
		*text = object_text(object);
	} else if (strcmp(request->method, "DELETE") == 0) {
		*text = object_text(object);
		remove_object(object);
	} else {
		*text = object_text(object);
	}
	pthread_mutex_unlock(&store_lock);
	json_decref(body);
	return status;
}

static bool
handle_store(void *ctx, int fd, rig_request_t *request)
{
	rig_store_do_t what = RIG_SERVE;
	int64_t delay_ms = rig_store_delay_ms;
	char *text = NULL;
	bool sent;
	int status;

	(void)ctx;
	if (rig_store_hook != NULL)
		what = rig_store_hook(request, &delay_ms);
	if (what == RIG_BUSY) {
		rig_sleep_ms(delay_ms);
		return rig_sendf(
		    fd, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
	}
	if (what == RIG_SILENT || what == RIG_HOLD || what == RIG_LOSE) {
		if (what == RIG_HOLD)
			rig_sleep_ms(delay_ms);
		if (what != RIG_SILENT)
			(void)run_store_call(request, &text);
		free(text);
		rig_sleep_ms(40000);
		return false;
	}
	if (strstr(request->target, "watch=") == NULL)
		rig_sleep_ms(delay_ms);
	status = run_store_call(request, &text);
	sent = rig_sendf(fd,
	    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, text != NULL ? strlen(text) : 0, text != NULL ? text : "");
	free(text);
	return sent;
}

void
rig_store_start(void)
{
	snprintf(rig_store_address, sizeof(rig_store_address), "%s:8169",
	    rig_ip(200));
	rig_serve(rig_store_address, handle_store, NULL);
}

/* ---- model servers ---- */

static bool
handle_server(void *ctx, int fd, rig_request_t *request)
{
	rig_server_t *server = ctx;
	char target[128] = "", id[128] = "-", last[32] = "-";

	if (strcmp(request->target, "/health") == 0)
		return rig_sendf(fd,
		    "HTTP/1.1 %d X\r\nX-Jujubeswitch-Instance-Id: %s\r\n"
		    "Content-Length: 0\r\n\r\n",
		    server->draining ? 503 : 200, server->id);
	(void)rig_header(
	    request->head, "X-Jujubeswitch-Request-Id", id, sizeof(id));
	(void)rig_header(request->head, "Last-Event-Id", last, sizeof(last));
	if (rig_header(request->head, "X-Jujubeswitch-Target-Instance", target,
		sizeof(target)) &&
	    strcmp(target, server->id) != 0)
		return rig_sendf(fd,
		    "HTTP/1.1 421 X\r\nX-Jujubeswitch-Instance-Id: %s\r\n"
		    "Content-Length: 0\r\n\r\n",
		    server->id);
	rig_note("server %s gets %s %s id=%s last-event-id=%s", server->id,
	    request->method, request->target, id, last);
	return server->run(server, fd, request);
}

int rig_weights = 1;

void
rig_server_register(rig_server_t *server, bool draining)
{
	static int seq;

	server->draining = draining;
	rig_store_put("servers", server->id,
	    json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:[{s:s,s:i,s:[]}],s:i}",
		"service", server->service, "address", server->address, "zone",
		server->zone, "version", server->version, "slots",
		server->slots, "state", draining ? "draining" : "ready",
		"coldRemainingMs", 0, "stage", "both", "models", "name", "m",
		"version", server->weights, "adapters", "seq", ++seq));
}

rig_server_t *
rig_server_start(
    int number, const char *service, const char *zone, rig_run_t run)
{
	rig_server_t *server = calloc(1, sizeof(*server));

	server->number = number;
	snprintf(
	    server->id, sizeof(server->id), "i-%06x", 0x5a0000 + number * 257);
	snprintf(server->address, sizeof(server->address), "%s:8080",
	    rig_ip(100 + number));
	snprintf(server->service, sizeof(server->service), "%s", service);
	snprintf(server->zone, sizeof(server->zone), "%s", zone);
	snprintf(server->version, sizeof(server->version), "v1");
	server->slots = 8;
	server->weights = rig_weights;
	server->run = run;
	server->service_at = serve(server->address, handle_server, server);
	rig_server_register(server, false);
	return server;
}

void
rig_server_crash(rig_server_t *server)
{
	service_t *service = server->service_at;
	int fd = service->fd;

	rig_note("server %s crashes", server->id);
	server->life++;
	service->fd = -1;
	shutdown(fd, SHUT_RDWR);
	close(fd);
}

void
rig_server_restart(rig_server_t *server)
{
	service_t *service = server->service_at;

	snprintf(server->id, sizeof(server->id), "i-%06x",
	    0x5a0000 + server->number * 257 + server->life);
	service->fd = listen_at(server->address);
	rig_note(
	    "server %s starts at the address of the one before", server->id);
	rig_server_register(server, false);
}

bool
rig_stream_head(rig_server_t *server, int fd, const rig_request_t *request)
{
	char id[128] = "";

	(void)rig_header(
	    request->head, "X-Jujubeswitch-Request-Id", id, sizeof(id));
	return rig_sendf(fd,
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "X-Jujubeswitch-Request-Id: %s\r\n"
	    "X-Jujubeswitch-Response-Stamp: %s.%s\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, server->id, id);
}

bool
rig_chunk(int fd, const char *text)
{
	return rig_sendf(fd, "%zx\r\n%s\r\n", strlen(text), text);
}

bool
rig_chunk_end(int fd)
{
	return rig_sendf(fd, "0\r\n\r\n");
}

bool
rig_events(rig_server_t *server, int fd, const rig_request_t *request, int from,
    int to, int64_t gap_ms)
{
	char id[128] = "", text[512];
	int life = server->life;
	int i;

	(void)rig_header(
	    request->head, "X-Jujubeswitch-Request-Id", id, sizeof(id));
	for (i = from; i <= to; i++) {
		if (server->life != life) {
			rig_reset(fd);
			return false;
		}
		snprintf(
		    text, sizeof(text), "id: %d\ndata: %s-%d\n\n", i, id, i);
		if (!rig_chunk(fd, text))
			return false;
		rig_sleep_ms(gap_ms);
	}
	return true;
}

int
rig_resumes_after(const rig_request_t *request)
{
	char text[32];

	return rig_header(request->head, "Last-Event-Id", text, sizeof(text))
	    ? atoi(text)
	    : -1;
}

bool
rig_answer(rig_server_t *server, int fd, const rig_request_t *request,
    int status, const char *more_headers, const char *body)
{
	char id[128] = "";

	(void)rig_header(
	    request->head, "X-Jujubeswitch-Request-Id", id, sizeof(id));
	return rig_sendf(fd,
	    "HTTP/1.1 %d X\r\nX-Jujubeswitch-Request-Id: %s\r\n"
	    "X-Jujubeswitch-Response-Stamp: %s.%s\r\n%sContent-Length: "
	    "%zu\r\n\r\n%s",
	    status, id, server->id, id, more_headers, strlen(body), body);
}

bool
rig_not_run(int fd, int status)
{
	return rig_sendf(fd,
	    "HTTP/1.1 %d X\r\nX-Jujubeswitch-Not-Executed: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    status);
}

/* ---- clients ---- */

const char *
rig_end_name(rig_end_t end)
{
	static const char *const names[] = {
	    "complete", "cut", "closed", "no-connection", "given-up"};

	return names[end];
}

void
rig_call(const char *address, const char *method, const char *target,
    const char *headers, const void *body, size_t body_size, int64_t timeout_ms,
    rig_answer_t *answer)
{
	rig_call_stream(address, method, target, headers, body, body_size,
	    timeout_ms, 0, answer);
}

void
rig_call_stream(const char *address, const char *method, const char *target,
    const char *headers, const void *body, size_t body_size, int64_t timeout_ms,
    int64_t gap_ms, rig_answer_t *answer)
{
	reader_t *reader = calloc(1, sizeof(*reader));
	int64_t begin = rig_now_ms(), until = begin + timeout_ms, last = begin;
	struct sockaddr_in at;
	char line[512], text[64];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	bool whole = false;

	memset(answer, 0, sizeof(*answer));
	answer->end = RIG_NO_CONNECTION;
	reader->fd = fd;
	reader->gap_ms = gap_ms;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!parse_address(address, &at) ||
	    connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0)
		goto out;
	answer->end = RIG_CLOSED;
	if (body_size > 0 || strcmp(method, "POST") == 0)
		(void)rig_sendf(fd,
		    "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n", method,
		    target, headers, body_size);
	else
		(void)rig_sendf(
		    fd, "%s %s HTTP/1.1\r\n%s\r\n", method, target, headers);
	(void)rig_send(fd, body != NULL ? body : "", body_size);
	do {
		if (!read_line(reader, line, sizeof(line), until) ||
		    sscanf(line, "HTTP/1.1 %d", &answer->status) != 1 ||
		    !read_head(
			reader, answer->head, sizeof(answer->head), until)) {
			answer->status = 0;
			if (errno == EAGAIN)
				answer->end = RIG_TIMEOUT;
			goto out;
		}
	} while (answer->status < 200);
	last = rig_now_ms();
	errno = 0;
	if (rig_header(answer->head, "Transfer-Encoding", text, sizeof(text))) {
		whole = read_chunks(
		    reader, &answer->body, &answer->body_size, until, &last);
	} else if (rig_header(
		       answer->head, "Content-Length", text, sizeof(text))) {
		whole = read_bytes(reader, &answer->body, &answer->body_size,
		    strtoul(text, NULL, 10), until, &last);
	} else {
		answer->close_framed = true;
		do {
			if (reader->end > reader->start)
				(void)read_bytes(reader, &answer->body,
				    &answer->body_size,
				    reader->end - reader->start, until, &last);
			errno = 0;
		} while (fill(reader, until));
		whole = errno == 0;
	}
	answer->end = whole   ? RIG_COMPLETE
	    : errno == EAGAIN ? RIG_TIMEOUT
			      : RIG_CUT;
out:
	answer->took_ms = rig_now_ms() - begin;
	answer->last_byte_ms = last - begin;
	close(fd);
	free(reader);
}

void
rig_clear(rig_answer_t *answer)
{
	free(answer->body);
	answer->body = NULL;
}

/* ---- the project's processes ---- */

static char *
read_file(const char *path)
{
	FILE *file = fopen(path, "r");
	char *text = calloc(1, 65536);

	if (file == NULL)
		rig_fail("no %s: %s", path, strerror(errno));
	(void)!fread(text, 1, 65535, file);
	fclose(file);
	return text;
}

static char *
replace(char *text, const char *what, const char *with)
{
	char *at;

	while ((at = strstr(text, what)) != NULL) {
		char *joined = NULL;

		if (asprintf(&joined, "%.*s%s%s", (int)(at - text), text, with,
			at + strlen(what)) < 0)
			exit(2);
		free(text);
		text = joined;
	}
	return text;
}

static char *
replace_quoted(char *text, const char *what, const char *value)
{
	char quoted[128];

	snprintf(quoted, sizeof(quoted), "\"%s\"", value);
	return replace(text, what, quoted);
}

/* Fills deploy/entry.toml in, as the platform does. */
static void
write_settings(const rig_vm_t *vm)
{
	char *text = read_file("deploy/entry.toml");
	FILE *file;

	text = replace_quoted(text, "{{nodeName|json}}", vm->name);
	text = replace_quoted(text, "{{zone|json}}", vm->zone);
	text = replace_quoted(text, "{{region|json}}", "centro");
	text = replace_quoted(text, "{{listen.front|json}}", vm->front);
	text = replace_quoted(text, "{{listen.readinessAddr|json}}", vm->ready);
	text = replace_quoted(text, "{{provider.form|json}}", "objects");
	text = replace_quoted(
	    text, "{{provider.address|json}}", rig_store_address);
	text = replace(text, "{{ip}}", vm->ip);
	text = replace(text, "{{internalPorts.0}}", "7720");
	text = replace(text, "{{internalPorts.1}}", "7735");
	text = replace(text, "{{bounds.configApplyMs}}", "2000");
	text = replace(text, "{{bounds.graceS}}", "8");
	text = replace(text, "{{#contracts}}{{.|json}}{{,}}{{/contracts}}",
	    "\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\","
	    "\"stream\",\"engine\",\"platform\"");
	if (strstr(text, "{{") != NULL)
		rig_fail("deploy/entry.toml has a field that the rig doesn't "
			 "know: %.60s",
		    strstr(text, "{{"));
	file = fopen(vm->settings, "w");
	if (file == NULL)
		rig_fail("can't write %s", vm->settings);
	fputs(text, file);
	fclose(file);
	free(text);
}

void
rig_vm_launch(rig_vm_t *vm)
{
	const char *program = getenv("RIG_JUJUBED") != NULL
	    ? getenv("RIG_JUJUBED")
	    : "target/jujubed";

	write_settings(vm);
	vm->pid = fork();
	if (vm->pid == 0) {
		FILE *log = freopen(vm->log, "a", stdout);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (log != NULL)
			dup2(fileno(log), 2);
		setenv("JUJUBESWITCH_SETTINGS", vm->settings, 1);
		execl(
		    program, program, "--settings", vm->settings, (char *)NULL);
		_exit(127);
	}
	rig_note("%s starts at %s", vm->name, vm->front);
}

rig_vm_t *
rig_vm_start(int number, const char *zone)
{
	rig_vm_t *vm = calloc(1, sizeof(*vm));

	snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
	snprintf(vm->name, sizeof(vm->name), "front-%s-%d", zone, number);
	snprintf(vm->ip, sizeof(vm->ip), "%s", rig_ip(10 + number));
	snprintf(vm->front, sizeof(vm->front), "%s:8161", vm->ip);
	snprintf(vm->ready, sizeof(vm->ready), "%s:8167", vm->ip);
	snprintf(
	    vm->settings, sizeof(vm->settings), "%s/%s.toml", folder, vm->name);
	snprintf(vm->log, sizeof(vm->log), "%s/%s.log", folder, vm->name);
	vms[vm_count++] = vm;
	rig_vm_launch(vm);
	return vm;
}

void
rig_vm_signal(rig_vm_t *vm, int signal)
{
	rig_note("%s gets SIG%s", vm->name, sigabbrev_np(signal));
	kill(vm->pid, signal);
}

void
rig_vm_wait(rig_vm_t *vm)
{
	int status = 0;

	waitpid(vm->pid, &status, 0);
	rig_note("%s has ended: %s %d", vm->name,
	    WIFSIGNALED(status) ? "signal" : "status",
	    WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	vm->pid = 0;
}

bool
rig_vm_is_ready(const rig_vm_t *vm)
{
	rig_answer_t answer;
	bool ready;

	rig_call(vm->ready, "GET", "/api/ready", "Host: x\r\n", NULL, 0, 1000,
	    &answer);
	ready = answer.status == 200;
	rig_clear(&answer);
	return ready;
}

void
rig_vm_await_ready(const rig_vm_t *vm, int64_t within_ms)
{
	int64_t until = rig_now_ms() + within_ms;

	while (!rig_vm_is_ready(vm)) {
		if (rig_now_ms() > until)
			rig_fail("%s is not ready", vm->name);
		rig_sleep_ms(50);
	}
}

/* ---- configuration ---- */

json_t *
rig_route(const char *name, const char *host, const char *prefix,
    const char *kind, const char *service)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name", name,
	    "host", host, "pathPrefix", prefix, "kind", kind, "timeoutMs", 5000,
	    "targetLatencyMs", 300, "priority", 0, "service", service,
	    "maxAttempts", 2);
}

void
rig_put_config(int version, json_t *routes, const char *service)
{
	json_t *config = json_pack(
	    "{s:i,s:o,s:[{s:s,s:s,s:i,s:s,s:b}],s:{s:i,s:i,s:i,s:i}}",
	    "version", version, "routes", routes, "services", "name", service,
	    "healthPath", "/health", "maxConns", 250, "protocol", "h1", "tls",
	    0, "limits", "maxHeaderBytes", 16384, "maxBodyBytes", 4194304,
	    "headerTimeoutMs", 5000, "idleTimeoutMs", 15000);

	if (config == NULL)
		rig_fail("bad configuration");
	rig_store_put("config", "main", config);
	rig_note("configuration %d is confirmed", version);
}
