/**
 * @file drive_core.c
 * @brief Example: drives the core of one VM by hand, in virtual time.
 *
 * No socket, thread or clock: the program plays the platform (which has one
 * configuration), one backend server and one caller, and prints each action
 * the core asks for. Ends with 0 when the caller got its answer.
 */
#include <stdio.h>
#include <string.h>

#include "jujubeswitch.h"

#define SETTINGS                            \
	"name = \"vm-a\"\n"                 \
	"domain = \"sala-a\"\n"             \
	"[listen]\n"                        \
	"callers = \"127.0.0.1:8080\"\n"    \
	"operators = \"127.0.0.1:8081\"\n"  \
	"neighbours = \"127.0.0.1:8082\"\n" \
	"[platform]\n"                      \
	"address = \"127.0.0.1:9000\"\n"
#define CONFIG                                                        \
	"{\"version\":1,\"previous\":0,\"operator\":\"example\","     \
	"\"writer\":\"example/0\",\"operation\":\"1\",\"recent\":[]," \
	"\"document\":{\"services\":{\"narrador\":"                   \
	"{\"kind\":\"model\",\"idempotent\":true}}}}"
#define CONFIG_KEY "config/current"
/** How long the example runs, ms of virtual time. */
#define END_MS 5000
/** How long the server takes, ms of virtual time. */
#define SERVE_MS 40
/** When the caller's request comes, ms. */
#define REQUEST_MS 2000

/** The world around the core. */
typedef struct {
	jj_core_t *core;
	jj_ms_t now;
	bool answered;
} world_t;

static jj_core_t *create_core(void);
static void learn_server(jj_core_t *);
static void run(world_t *);
static void step(world_t *, const jj_event_t *);
static void carry_out(world_t *, const jj_action_t *);
static void answer_platform(world_t *, const jj_platform_call_t *);
static void serve(world_t *, const jj_backend_start_t *);
static void send_request(world_t *);

int
main(void)
{
	world_t world = {create_core(), 0, false};

	if (world.core == NULL)
		return 2;
	learn_server(world.core);
	run(&world);
	jj_core_destroy(world.core);
	return world.answered ? 0 : 1;
}

static jj_core_t *
create_core(void)
{
	char why[JJ_SETTINGS_WHY_MAX];
	jj_settings_t settings;
	jj_core_t *core;

	if (!jj_settings_parse(&settings, SETTINGS, strlen(SETTINGS), "example",
		why, sizeof(why))) {
		(void)printf("%s\n", why);
		return NULL;
	}
	/* What belongs to the run and not to the file. */
	settings.core.incarnation = 1;
	settings.core.member.incarnation = 1;
	settings.core.ledger.incarnation = 1;
	(void)snprintf(settings.core.config.writer,
	    sizeof(settings.core.config.writer), "vm-a/1");
	core = jj_core_create(&settings.core);
	jj_settings_clear(&settings);
	return core;
}

static void
learn_server(jj_core_t *core)
{
	jj_server_t server;

	memset(&server, 0, sizeof(server));
	(void)jj_name_set(&server.name, "engine-1");
	(void)jj_name_set(&server.domain, "sala-a");
	(void)jj_name_set(&server.service, "narrador");
	(void)snprintf(
	    server.address, sizeof(server.address), "127.0.0.1:9100");
	jj_core_learn_server(core, &server);
}

/** Ticks when the core asks for it; the request comes in between. */
static void
run(world_t *world)
{
	jj_event_t tick = {.kind = JJ_EVENT_TICK};
	bool sent = false;

	while (world->now < END_MS && !world->answered) {
		step(world, &tick);
		if (!sent && world->now >= REQUEST_MS) {
			send_request(world);
			sent = true;
		}
		world->now = jj_core_next(world->core) > world->now
		    ? jj_core_next(world->core)
		    : world->now + 1;
	}
}

static void
step(world_t *world, const jj_event_t *event)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_action_t *action;

	jj_core_handle(world->core, event, world->now, &actions);
	while ((action = TAILQ_FIRST(&actions)) != NULL) {
		TAILQ_REMOVE(&actions, action, link);
		carry_out(world, action);
		jj_action_free(action);
	}
}

static void
carry_out(world_t *world, const jj_action_t *action)
{
	switch (action->kind) {
	case JJ_ACTION_PLATFORM:
		answer_platform(world, &action->body.platform);
		break;
	case JJ_ACTION_CONFIG_ADOPTED:
		(void)printf("%5lld ms  configuration %llu is in force\n",
		    (long long)world->now,
		    (unsigned long long)action->body.adopted.version);
		break;
	case JJ_ACTION_BACKEND_START:
		(void)printf("%5lld ms  request %llu goes to %s\n",
		    (long long)world->now,
		    (unsigned long long)action->body.start.request,
		    action->body.start.server.text);
		serve(world, &action->body.start);
		break;
	case JJ_ACTION_ANSWER:
		(void)printf("%5lld ms  request %llu is given up on (%d)\n",
		    (long long)world->now,
		    (unsigned long long)action->body.answer.request,
		    (int)action->body.answer.reason);
		break;
	default:
		break;
	}
}

/** A platform that holds one object; lists and watches bring nothing. */
static void
answer_platform(world_t *world, const jj_platform_call_t *call)
{
	jj_platform_result_t result;
	jj_event_t event = {.kind = JJ_EVENT_PLATFORM};

	if (call->op == JJ_PLATFORM_WATCH)
		return;
	memset(&result, 0, sizeof(result));
	result.owner = call->owner;
	result.token = call->token;
	result.op = call->op;
	result.outcome = JJ_PLATFORM_DOWN;
	if (call->op == JJ_PLATFORM_GET && strcmp(call->key, CONFIG_KEY) == 0) {
		result.outcome = JJ_PLATFORM_OK;
		result.version = 1;
		result.value = jj_bytes_from_text(CONFIG);
	}
	event.body.platform = &result;
	step(world, &event);
	jj_bytes_free(&result.value);
}

/** The server answers with one whole body. */
static void
serve(world_t *world, const jj_backend_start_t *start)
{
	jj_event_t event = {.kind = JJ_EVENT_BACKEND};

	event.body.backend.event.request = start->request;
	event.body.backend.event.attempt = start->attempt;
	event.body.backend.event.kind = JJ_BACKEND_FIRST;
	step(world, &event);
	world->now += SERVE_MS;
	event.body.backend.event.kind = JJ_BACKEND_DONE;
	event.body.backend.event.tokens = 4;
	event.body.backend.status = 200;
	step(world, &event);
	(void)printf(
	    "%5lld ms  the caller has its answer\n", (long long)world->now);
	world->answered = true;
}

static void
send_request(world_t *world)
{
	jj_event_t event = {.kind = JJ_EVENT_REQUEST};
	jj_request_t *request = &event.body.request.request;

	request->request = 1;
	request->class_of = JJ_CLASS_ONLINE;
	(void)jj_name_set(&request->service, "narrador");
	(void)jj_name_set(&request->team, "secretaries");
	request->output_tokens = 4;
	event.body.request.path = "/v1/completions";
	event.body.request.trace = "";
	(void)printf("%5lld ms  request 1 comes in\n", (long long)world->now);
	step(world, &event);
}
