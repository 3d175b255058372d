#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "completion.h"
#include "engine.h"
#include "kv.h"
#include "routes.h"

#define STREAMS_PATH "/v1/streams/"
/* Maximum wait for cache events, and polling interval, milliseconds. */
#define EVENTS_WAIT_MAX_MS 60000
#define EVENTS_POLL_MS 20

static bool request_matches(const web_request_t *, const char *, const char *);
static void serve_stream(engine_t *, const web_request_t *, web_answer_t *);
static void serve_health(engine_t *, web_answer_t *);
static void serve_load(engine_t *, web_answer_t *);
static void serve_events(engine_t *, const web_request_t *, web_answer_t *);
static void serve_order(engine_t *, const web_request_t *, web_answer_t *);
static void serve_orders(engine_t *, web_answer_t *);

void
routes_serve(void *ctx, const web_request_t *request, web_answer_t *answer)
{
	engine_t *engine = ctx;
	const char *request_id = web_header(request, "Jujube-Request");
	bool cut;
	bool leaving;

	pthread_mutex_lock(&engine->lock);
	cut = faults_is_cut(
	    &engine->faults, web_header(request, "Jujube-Client"));
	leaving = engine->faults.leaving;
	pthread_mutex_unlock(&engine->lock);
	if (cut)
		return;
	web_add_header(answer, "Jujube-Boot", engine->boot);
	if (request_id != NULL)
		web_add_header(answer, "Jujube-Request", request_id);
	if (leaving)
		web_add_header(answer, "Jujube-Leaving", "1");
	if (request_matches(request, "POST", "/v1/completions"))
		completion_create(engine, request, answer, false);
	else if (request_matches(request, "POST", "/v1/chat/completions"))
		completion_create(engine, request, answer, true);
	else if (request_matches(request, "GET", "/health"))
		serve_health(engine, answer);
	else if (request_matches(request, "GET", "/load"))
		serve_load(engine, answer);
	else if (request_matches(request, "GET", "/cache/events"))
		serve_events(engine, request, answer);
	else if (request_matches(request, "PUT", "/v1/kv"))
		kv_import(engine, request, answer);
	else if (request_matches(request, "POST", "/orders"))
		serve_order(engine, request, answer);
	else if (request_matches(request, "GET", "/orders"))
		serve_orders(engine, answer);
	else
		serve_stream(engine, request, answer);
}

static bool
request_matches(
    const web_request_t *request, const char *method, const char *path)
{
	return strcmp(request->method, method) == 0 &&
	    strcmp(request->path, path) == 0;
}

/* Serves the calls below /v1/streams/ID/. */
static void
serve_stream(
    engine_t *engine, const web_request_t *request, web_answer_t *answer)
{
	const char *id_text = request->path + strlen(STREAMS_PATH);
	bool post = strcmp(request->method, "POST") == 0;
	char *verb = NULL;
	uint64_t id = 0;

	if (strncmp(request->path, STREAMS_PATH, strlen(STREAMS_PATH)) == 0)
		id = strtoull(id_text, &verb, 10);
	if (verb == NULL || verb == id_text)
		web_answer_problem(answer, 404, "unknown", "no such call");
	else if (post && strcmp(verb, "/cancel") == 0)
		completion_cancel(engine, answer, id);
	else if (post && strcmp(verb, "/resume") == 0)
		completion_resume(engine, request, answer, id);
	else if (!post && strcmp(verb, "/kv") == 0)
		kv_export(engine, answer, id);
	else
		web_answer_problem(answer, 404, "unknown", "no such call");
}

static void
serve_health(engine_t *engine, web_answer_t *answer)
{
	web_answer_json(answer, 200,
	    json_pack("{s:s,s:s}", "status", "ok", "boot", engine->boot));
}

static void
serve_load(engine_t *engine, web_answer_t *answer)
{
	engine_load_t load;

	pthread_mutex_lock(&engine->lock);
	load = engine->load;
	pthread_mutex_unlock(&engine->lock);
	web_answer_json(answer, 200,
	    json_pack("{s:s,s:I,s:I,s:f,s:f,s:I}", "boot", engine->boot,
		"running", (json_int_t)load.running, "waiting",
		(json_int_t)load.waiting, "kv_used", load.kv_used,
		"tokens_per_second", load.tokens_per_second, "age_ms",
		(json_int_t)(web_now_ms() - load.taken_ms)));
}

static void
serve_events(
    engine_t *engine, const web_request_t *request, web_answer_t *answer)
{
	long since = web_query_number(request, "since", 0);
	long wait_ms = web_query_number(request, "wait", 0);
	int64_t until_ms = web_now_ms();
	json_t *events = json_array();
	uint64_t next = 0;

	if (since < 0)
		since = 0;
	until_ms += wait_ms < EVENTS_WAIT_MAX_MS ? wait_ms : EVENTS_WAIT_MAX_MS;
	for (;;) {
		pthread_mutex_lock(&engine->lock);
		cache_list_events(&engine->cache, (uint64_t)since, web_now_ms(),
		    events, &next);
		pthread_mutex_unlock(&engine->lock);
		if (json_array_size(events) > 0 || web_now_ms() >= until_ms ||
		    web_is_abandoned(request))
			break;
		web_sleep_ms(EVENTS_POLL_MS);
	}
	web_answer_json(answer, 200,
	    json_pack("{s:s,s:I,s:o}", "boot", engine->boot, "next",
		(json_int_t)next, "events", events));
}

static void
serve_order(
    engine_t *engine, const web_request_t *request, web_answer_t *answer)
{
	json_t *order = json_loadb(request->body, request->body_size, 0, NULL);
	json_t *body = NULL;
	int status;

	pthread_mutex_lock(&engine->lock);
	status = orders_apply(&engine->orders, order, &body);
	pthread_mutex_unlock(&engine->lock);
	web_answer_json(answer, status, body);
	json_decref(order);
}

static void
serve_orders(engine_t *engine, web_answer_t *answer)
{
	json_t *body;

	pthread_mutex_lock(&engine->lock);
	body = orders_describe(&engine->orders);
	pthread_mutex_unlock(&engine->lock);
	web_answer_json(answer, 200, body);
}
