/**
 * @file routes.c
 * @brief The HTTP API of the platform; see routes.h.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "routes.h"

#define OBJECTS "/v1/objects/"
#define WATCH_WAIT_MAX_MS 60000
/* Interval between checks of a waiting call for faults and disconnects. */
#define CHECK_INTERVAL_MS 20

/* One call while it is being answered. */
typedef struct {
	platform_t *platform;
	const web_request_t *request;
	web_answer_t *answer;
	const char *client;
	const char *key; /* key or prefix, NULL when neither */
	bool drop_answer; /* the write took effect, but its answer is dropped */
} call_t;

typedef struct {
	const char *method;
	const char *path;
	bool has_key; /* the remainder of the path is a key */
	bool write;
	count_kind_t kind;
	void (*run)(call_t *);
} route_t;

static const route_t *route_find(const web_request_t *);
static bool route_matches(const route_t *, const char *);
static const char *route_key(const route_t *, const web_request_t *);
static bool is_valid(const call_t *, const route_t *);
static bool admit(call_t *, const route_t *);
static bool passes_faults(call_t *);
static void hang(call_t *);
static void delay(call_t *);
static void answer_rate_limited(call_t *, int64_t);
static void answer_conflict(call_t *, uint64_t);
static void answer_absent(call_t *);
static void add_etag(call_t *, uint64_t);
static bool read_condition(call_t *, store_write_t *);
static bool parse_etag(const char *, uint64_t *);
static void apply_lost_answer(call_t *);
static void run_get(call_t *);
static void run_put(call_t *);
static void run_delete(call_t *);
static void run_list(call_t *);
static void run_watch(call_t *);
static void run_vms(call_t *);
static void run_weights(call_t *);
static bool parse_since(call_t *, uint64_t *);
static bool keep_watching(call_t *, int64_t *, int64_t);

static const route_t routes[] = {
    {"GET", OBJECTS, true, false, COUNT_GET, run_get},
    {"PUT", OBJECTS, true, true, COUNT_PUT, run_put},
    {"DELETE", OBJECTS, true, true, COUNT_DELETE, run_delete},
    {"GET", "/v1/list", false, false, COUNT_LIST, run_list},
    {"GET", "/v1/watch", false, false, COUNT_WATCH, run_watch},
    {"GET", "/v1/vms", false, false, COUNT_VMS, run_vms},
    {"POST", "/v1/weights/reserve", false, false, COUNT_WEIGHTS, run_weights},
};

void
route_api(void *ctx, const web_request_t *request, web_answer_t *answer)
{
	call_t call = {ctx, request, answer, "", NULL, false};
	const route_t *route = route_find(request);
	bool valid;

	call.client = web_header(request, "Jujube-Client");
	if (call.client == NULL)
		call.client = "";
	/* Calls of a cut client never arrive, so they are not counted. */
	if (fault_treatment(call.platform->faults, call.client) == FAULT_CUT)
		return;
	if (route == NULL) {
		web_answer_problem(
		    answer, 404, "no-such-call", "unknown method or path");
		return;
	}
	call.key = route_key(route, request);
	valid = is_valid(&call, route);
	count_add(call.platform->counts, route->kind, valid ? call.key : NULL);
	if (!passes_faults(&call))
		return;
	if (!valid) {
		web_answer_problem(answer, 400, "bad-request",
		    "keys are 1 to 512 bytes of [A-Za-z0-9._/-], "
		    "Jujube-Client is UTF-8");
		return;
	}
	if (!admit(&call, route))
		return;
	route->run(&call);
	delay(&call);
	if (call.drop_answer ||
	    fault_treatment(call.platform->faults, call.client) == FAULT_CUT)
		answer->status = 0;
}

static const route_t *
route_find(const web_request_t *request)
{
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].method, request->method) == 0 &&
		    route_matches(&routes[i], request->path))
			return &routes[i];
	}
	return NULL;
}

static bool
route_matches(const route_t *route, const char *path)
{
	if (route->has_key)
		return strncmp(path, route->path, strlen(route->path)) == 0;
	return strcmp(path, route->path) == 0;
}

static const char *
route_key(const route_t *route, const web_request_t *request)
{
	const char *prefix;

	if (route->has_key)
		return request->path + strlen(route->path);
	if (route->kind != COUNT_LIST && route->kind != COUNT_WATCH)
		return NULL;
	prefix = web_query(request, "prefix");
	return prefix != NULL ? prefix : "";
}

/* The client and key appear in JSON answers, so they must be UTF-8. */
static bool
is_valid(const call_t *call, const route_t *route)
{
	if (!g_utf8_validate(call->client, -1, NULL))
		return false;
	if (route->has_key)
		return store_is_key(call->key);
	return call->key == NULL || store_is_prefix(call->key);
}

/* Answers 429 and returns false when the call exceeds the rate limit. */
static bool
admit(call_t *call, const route_t *route)
{
	platform_t *platform = call->platform;
	rate_t *rate = route->write ? &platform->writes : &platform->reads;
	int64_t wait_ms;

	if (route->kind == COUNT_WEIGHTS)
		return true;
	wait_ms = rate_take(rate, 1, web_now_ms());
	if (wait_ms == 0)
		return true;
	answer_rate_limited(call, wait_ms);
	return false;
}

static bool
passes_faults(call_t *call)
{
	switch (fault_treatment(call->platform->faults, call->client)) {
	case FAULT_PASS:
		return true;
	case FAULT_REFUSE:
		web_answer_problem(
		    call->answer, 503, "outage", "the platform is down");
		return false;
	case FAULT_HANG:
		hang(call);
		return false;
	case FAULT_CUT:
		break;
	}
	return false;
}

/* Waits without an answer until the fault ends or the client disconnects. */
static void
hang(call_t *call)
{
	faults_t *faults = call->platform->faults;

	while (fault_treatment(faults, call->client) == FAULT_HANG &&
	    !web_is_abandoned(call->request))
		web_sleep_ms(CHECK_INTERVAL_MS);
}

static void
delay(call_t *call)
{
	int64_t delay_ms = fault_delay_ms(call->platform->faults);
	int64_t until_ms;
	int64_t left_ms;

	if (delay_ms == 0)
		return;
	/* Plus 1 ms: the clock rounds down, and the delay is a minimum. */
	until_ms = web_now_ms() + delay_ms + 1;
	while ((left_ms = until_ms - web_now_ms()) > 0) {
		if (web_is_abandoned(call->request))
			return;
		web_sleep_ms(
		    left_ms < CHECK_INTERVAL_MS ? left_ms : CHECK_INTERVAL_MS);
	}
}

static void
answer_rate_limited(call_t *call, int64_t wait_ms)
{
	char seconds[24];

	count_add(call->platform->counts, COUNT_LIMITED, NULL);
	snprintf(seconds, sizeof(seconds), "%lld",
	    (long long)((wait_ms + 999) / 1000));
	web_add_header(call->answer, "Retry-After", seconds);
	web_answer_problem(call->answer, 429, "rate-limited",
	    "over the rate; come back later");
}

static void
answer_conflict(call_t *call, uint64_t version)
{
	count_add(call->platform->counts, COUNT_CONFLICTS, NULL);
	add_etag(call, version);
	web_answer_problem(
	    call->answer, 412, "conflict", "the object has another version");
}

static void
answer_absent(call_t *call)
{
	web_answer_problem(call->answer, 404, "absent", "no such object");
}

static void
add_etag(call_t *call, uint64_t version)
{
	char etag[32];

	snprintf(etag, sizeof(etag), "\"%llu\"", (unsigned long long)version);
	web_add_header(call->answer, "ETag", etag);
}

/* Answers 400 and returns false when the condition is malformed. */
static bool
read_condition(call_t *call, store_write_t *write)
{
	const char *match = web_header(call->request, "If-Match");
	const char *none = web_header(call->request, "If-None-Match");
	bool valid = true;

	write->condition = STORE_ANY;
	if (match != NULL && none != NULL) {
		valid = false;
	} else if (match != NULL) {
		write->condition = STORE_IF_VERSION;
		valid = parse_etag(match, &write->version);
	} else if (none != NULL) {
		write->condition = STORE_IF_ABSENT;
		valid = strcmp(none, "*") == 0;
	}
	if (!valid)
		web_answer_problem(call->answer, 400, "bad-condition",
		    "one of If-None-Match: * and If-Match: \"VERSION\"");
	return valid;
}

static bool
parse_etag(const char *text, uint64_t *version)
{
	char *end;

	if (text[0] != '"' || text[1] < '0' || text[1] > '9')
		return false;
	errno = 0;
	*version = strtoull(text + 1, &end, 10);
	return errno == 0 && strcmp(end, "\"") == 0;
}

static void
apply_lost_answer(call_t *call)
{
	call->drop_answer =
	    fault_consume_lost_answer(call->platform->faults, call->key);
}

static void
run_get(call_t *call)
{
	uint64_t version;
	blob_t *value;

	if (store_get(call->platform->store, call->key, &value, &version) !=
	    STORE_OK) {
		answer_absent(call);
		return;
	}
	add_etag(call, version);
	web_add_header(
	    call->answer, "Content-Type", "application/octet-stream");
	call->answer->body = malloc(value->size + 1);
	if (call->answer->body != NULL) {
		memcpy(call->answer->body, value->data, value->size);
		call->answer->body_size = value->size;
		call->answer->status = 200;
	}
	blob_release(value);
}

static void
run_put(call_t *call)
{
	store_write_t write = {.key = call->key,
	    .client = call->client,
	    .value = call->request->body,
	    .size = call->request->body_size};
	uint64_t version = 0;

	if (!read_condition(call, &write))
		return;
	if (write.size > STORE_VALUE_MAX) {
		web_answer_problem(call->answer, 413, "value-too-large",
		    "a value is at most 1048576 bytes");
		return;
	}
	switch (store_put(call->platform->store, &write, &version)) {
	case STORE_OK:
		call->answer->status = 200;
		break;
	case STORE_CREATED:
		call->answer->status = 201;
		break;
	case STORE_ABSENT:
		answer_absent(call);
		return;
	case STORE_CONFLICT:
		answer_conflict(call, version);
		return;
	}
	add_etag(call, version);
	apply_lost_answer(call);
}

static void
run_delete(call_t *call)
{
	store_write_t write = {.key = call->key, .client = call->client};
	uint64_t version = 0;

	if (!read_condition(call, &write))
		return;
	switch (store_delete(call->platform->store, &write, &version)) {
	case STORE_ABSENT:
		answer_absent(call);
		return;
	case STORE_CONFLICT:
		answer_conflict(call, version);
		return;
	case STORE_OK:
	case STORE_CREATED:
		break;
	}
	call->answer->status = 204;
	apply_lost_answer(call);
}

static void
run_list(call_t *call)
{
	const char *after = web_query(call->request, "after");
	long limit = web_query_number(call->request, "limit", STORE_LIST_MAX);
	store_list_t list = {.prefix = call->key};

	list.after = after != NULL ? after : "";
	list.values = web_query_number(call->request, "values", 0) != 0;
	if (limit < 1 || limit > STORE_LIST_MAX) {
		web_answer_problem(
		    call->answer, 400, "bad-limit", "limit is 1 to 1000");
		return;
	}
	list.limit = (size_t)limit;
	web_answer_json(
	    call->answer, 200, store_list(call->platform->store, &list));
}

static void
run_watch(call_t *call)
{
	long wait = web_query_number(call->request, "wait", 0);
	int64_t until_ms = web_now_ms() + wait;
	watch_outcome_t outcome;
	json_t *events = json_array();
	uint64_t reached = 0;
	int64_t slice_ms = 0;
	uint64_t since;

	if (wait < 0 || wait > WATCH_WAIT_MAX_MS ||
	    !parse_since(call, &since)) {
		json_decref(events);
		web_answer_problem(call->answer, 400, "bad-watch",
		    "since is a revision, wait is 0 to 60000");
		return;
	}
	do {
		outcome = store_watch(call->platform->store, call->key, since,
		    slice_ms, events, &reached);
		if (outcome == WATCH_NONE)
			since = reached;
	} while (
	    outcome == WATCH_NONE && keep_watching(call, &slice_ms, until_ms));
	/* A fault set during the wait replaces the answer. */
	if (!passes_faults(call) || web_is_abandoned(call->request)) {
		json_decref(events);
		return;
	}
	if (outcome == WATCH_GONE) {
		json_decref(events);
		web_answer_json(call->answer, 410,
		    json_pack("{s:I}", "revision", (json_int_t)reached));
		return;
	}
	web_answer_json(call->answer, 200,
	    json_pack("{s:I, s:o}", "revision", (json_int_t)reached, "events",
		events));
}

static void
run_vms(call_t *call)
{
	platform_t *platform = call->platform;
	json_t *dump;

	switch (fault_vms(platform->faults)) {
	case FAULT_VMS_REFUSE:
		web_answer_problem(
		    call->answer, 503, "outage", "the VM list is down");
		return;
	case FAULT_VMS_EMPTY:
		dump = vms_dump(platform->vms, web_now_ms());
		json_object_set_new(dump, "vms", json_array());
		break;
	case FAULT_VMS_NONE:
	default:
		dump = vms_dump(platform->vms, web_now_ms());
		break;
	}
	web_answer_json(call->answer, 200, dump);
}

static void
run_weights(call_t *call)
{
	json_t *body = json_loads(call->request->body, 0, NULL);
	json_int_t bytes = json_integer_value(json_object_get(body, "bytes"));
	int64_t wait_ms;

	json_decref(body);
	if (bytes <= 0) {
		web_answer_problem(call->answer, 400, "bad-bytes",
		    "bytes is a number above 0");
		return;
	}
	wait_ms =
	    rate_take(&call->platform->weights, (double)bytes, web_now_ms());
	if (wait_ms > 0) {
		answer_rate_limited(call, wait_ms);
		return;
	}
	web_answer_json(call->answer, 200, json_pack("{s:b}", "granted", 1));
}

static bool
parse_since(call_t *call, uint64_t *since)
{
	long number = web_query_number(call->request, "since", -1);

	*since = (uint64_t)number;
	return number >= 0;
}

/* Sets the length of the next wait in ms; false when the watch must end. */
static bool
keep_watching(call_t *call, int64_t *slice_ms, int64_t until_ms)
{
	int64_t left_ms = until_ms - web_now_ms();

	if (left_ms <= 0 || web_is_abandoned(call->request))
		return false;
	*slice_ms = left_ms < CHECK_INTERVAL_MS ? left_ms : CHECK_INTERVAL_MS;
	return fault_treatment(call->platform->faults, call->client) ==
	    FAULT_PASS;
}
