/**
 * @file drive_core.c
 * @brief Example: drives the core of one VM in virtual time.
 *
 * Uses no socket, thread or clock: the program simulates the platform (which
 * stores one configuration), one backend server and one caller, and prints
 * the actions of the core. Exits with 0 when the caller received its answer.
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
/** Maximum duration of the simulation, ms of virtual time. */
#define END_MS 5000
/** Service time of the backend server, ms of virtual time. */
#define SERVICE_TIME_MS 40
/** When the caller sends its request, ms of virtual time. */
#define REQUEST_TIME_MS 2000

/** The core and the state of the simulation around it. */
typedef struct {
	jj_core_t *core;
	jj_ms_t now;
	bool answered;
} simulation_t;

static jj_core_t *create_core(void);
static void add_server(jj_core_t *);
static void run(simulation_t *);
static void handle_event(simulation_t *, const jj_event_t *);
static void handle_action(simulation_t *, const jj_action_t *);
static void simulate_platform(simulation_t *, const jj_platform_call_t *);
static void simulate_server(simulation_t *, const jj_backend_start_t *);
static void send_request(simulation_t *);

int
main(void)
{
	simulation_t sim = {create_core(), 0, false};

	if (sim.core == NULL)
		return 2;
	add_server(sim.core);
	run(&sim);
	jj_core_destroy(sim.core);
	return sim.answered ? 0 : 1;
}

static jj_core_t *
create_core(void)
{
	char why[JJ_SETTINGS_ERROR_MAX];
	jj_settings_t settings;
	jj_core_t *core;

	if (!jj_settings_parse(&settings, SETTINGS, strlen(SETTINGS), "example",
		why, sizeof(why))) {
		(void)printf("%s\n", why);
		return NULL;
	}
	/* Values of this run, which no settings file gives. */
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
add_server(jj_core_t *core)
{
	jj_server_t server;

	memset(&server, 0, sizeof(server));
	(void)jj_name_set(&server.name, "engine-1");
	(void)jj_name_set(&server.domain, "sala-a");
	(void)jj_name_set(&server.service, "narrador");
	(void)snprintf(
	    server.address, sizeof(server.address), "127.0.0.1:9100");
	jj_core_add_server(core, &server);
}

/** Sends ticks when the core needs them, and the request in between. */
static void
run(simulation_t *sim)
{
	jj_event_t tick = {.kind = JJ_EVENT_TICK};
	bool sent = false;

	while (sim->now < END_MS && !sim->answered) {
		handle_event(sim, &tick);
		if (!sent && sim->now >= REQUEST_TIME_MS) {
			send_request(sim);
			sent = true;
		}
		sim->now = jj_core_next(sim->core) > sim->now
		    ? jj_core_next(sim->core)
		    : sim->now + 1;
	}
}

static void
handle_event(simulation_t *sim, const jj_event_t *event)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	jj_action_t *action;

	jj_core_handle(sim->core, event, sim->now, &actions);
	while ((action = TAILQ_FIRST(&actions)) != NULL) {
		TAILQ_REMOVE(&actions, action, link);
		handle_action(sim, action);
		jj_action_free(action);
	}
}

static void
handle_action(simulation_t *sim, const jj_action_t *action)
{
	switch (action->kind) {
	case JJ_ACTION_PLATFORM:
		simulate_platform(sim, &action->body.platform);
		break;
	case JJ_ACTION_CONFIG_ADOPTED:
		(void)printf("%5lld ms  configuration %llu is in force\n",
		    (long long)sim->now,
		    (unsigned long long)action->body.adopted.version);
		break;
	case JJ_ACTION_BACKEND_START:
		(void)printf("%5lld ms  request %llu is sent to %s\n",
		    (long long)sim->now,
		    (unsigned long long)action->body.start.request,
		    action->body.start.server.text);
		simulate_server(sim, &action->body.start);
		break;
	case JJ_ACTION_ANSWER:
		(void)printf(
		    "%5lld ms  request %llu is abandoned (reason %d)\n",
		    (long long)sim->now,
		    (unsigned long long)action->body.answer.request,
		    (int)action->body.answer.reason);
		break;
	default:
		break;
	}
}

/** Simulates a platform with one object; lists fail, watches get no answer. */
static void
simulate_platform(simulation_t *sim, const jj_platform_call_t *call)
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
	handle_event(sim, &event);
	jj_bytes_free(&result.value);
}

/** Simulates a server that sends its answer in one piece. */
static void
simulate_server(simulation_t *sim, const jj_backend_start_t *start)
{
	jj_event_t event = {.kind = JJ_EVENT_BACKEND};

	event.body.backend.event.request = start->request;
	event.body.backend.event.attempt = start->attempt;
	event.body.backend.event.kind = JJ_BACKEND_FIRST;
	handle_event(sim, &event);
	sim->now += SERVICE_TIME_MS;
	event.body.backend.event.kind = JJ_BACKEND_DONE;
	event.body.backend.event.tokens = 4;
	event.body.backend.status = 200;
	handle_event(sim, &event);
	(void)printf(
	    "%5lld ms  the caller receives its answer\n", (long long)sim->now);
	sim->answered = true;
}

static void
send_request(simulation_t *sim)
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
	(void)printf("%5lld ms  request 1 arrives\n", (long long)sim->now);
	handle_event(sim, &event);
}
