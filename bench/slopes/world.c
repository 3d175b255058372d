/**
 * @file world.c
 * @brief Runs many cores in virtual time and counts their messages and calls.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "adapters/settings.h"
#include "adapters/wire.h"
#include "world.h"

/** One-way delay between VMs, ms: about that within a domain. */
#define NETWORK_MS 1
/** Time until the platform answers, ms. */
#define PLATFORM_MS 3
#define CONFIG_KEY "config/current"

/** An encoded message in transit. */
typedef struct delivery {
	STAILQ_ENTRY(delivery) link;
	jj_ms_t due_ms;
	size_t to;
	jj_bytes_t bytes;
} delivery_t;

/** An open platform call. */
typedef struct call {
	TAILQ_ENTRY(call) link;
	size_t from;
	jj_ms_t due_ms; /**< time of the answer; for a watch, the latest one */
	uint64_t tried_revision; /**< of the last try of a watch */
	jj_platform_call_t call;
} call_t;

/** A scheduled event of a server on a request. */
typedef struct scheduled {
	STAILQ_ENTRY(scheduled) link;
	jj_ms_t due_ms;
	size_t vm;
	jj_backend_event_t event;
} scheduled_t;

STAILQ_HEAD(scheduled_list, scheduled);

typedef struct {
	jj_core_t *core;
	jj_name_t name;
	jj_name_t domain;
	char address[JJ_NAME_MAX + 1];
	jj_ms_t next_request_ms;
	world_counts_t counts;
} vm_t;

struct world {
	world_plan_t plan;
	jj_ms_t now;
	size_t vm_count;
	vm_t *vms;
	store_t *store;
	uint64_t request;
	STAILQ_HEAD(, delivery) deliveries;
	TAILQ_HEAD(, call) calls;
	struct scheduled_list firsts; /**< each list is ordered by time */
	struct scheduled_list tokens;
	struct scheduled_list ends;
};

static void create_vm(world_t *, size_t);
static void add_servers(world_t *, jj_core_t *);
static void fill_server(jj_server_t *, const world_plan_t *, uint32_t);
static void put_vm_list(world_t *);
static jj_ms_t next_time(const world_t *);
static void tick_all(world_t *);
static void send_requests(world_t *);
static void deliver_messages(world_t *);
static void answer_calls(world_t *);
static bool answer_call(world_t *, call_t *);
static void run_scheduled(world_t *, struct scheduled_list *);
static void handle_scheduled(world_t *, const scheduled_t *);
static void schedule_event(world_t *, struct scheduled_list *, size_t,
    const jj_backend_event_t *, jj_backend_kind_t, jj_ms_t);
static void step(world_t *, size_t, const jj_event_t *, bool);
static void carry_out(world_t *, size_t, const jj_action_t *);
static void send(world_t *, size_t, const jj_action_t *);
static void call_platform(world_t *, size_t, const jj_platform_call_t *);
static void start_request(world_t *, size_t, const jj_backend_start_t *);
static size_t find_vm(const world_t *, const jj_name_t *);
static jj_ms_t earlier(jj_ms_t, jj_ms_t);

world_t *
world_create(const world_plan_t *plan)
{
	world_t *world = jj_alloc(sizeof(*world));
	size_t i;

	world->plan = *plan;
	world->now = 1000;
	STAILQ_INIT(&world->deliveries);
	TAILQ_INIT(&world->calls);
	STAILQ_INIT(&world->firsts);
	STAILQ_INIT(&world->tokens);
	STAILQ_INIT(&world->ends);
	world->store = store_create();
	world->vm_count = plan->vms;
	if (plan->domains > 1)
		world->vm_count +=
		    (size_t)(plan->domains - 1) * plan->vms_elsewhere;
	world->vms = jj_alloc(world->vm_count * sizeof(*world->vms));
	for (i = 0; i < world->vm_count; i++)
		create_vm(world, i);
	put_vm_list(world);
	world_put_config(world, 1, plan->teams);
	return world;
}

void
world_destroy(world_t *world)
{
	struct scheduled_list *lists[] = {
	    &world->firsts, &world->tokens, &world->ends};
	scheduled_t *scheduled;
	delivery_t *delivery;
	call_t *call;
	size_t i;

	for (i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
		while ((scheduled = STAILQ_FIRST(lists[i])) != NULL) {
			STAILQ_REMOVE_HEAD(lists[i], link);
			free(scheduled);
		}
	}
	while ((delivery = STAILQ_FIRST(&world->deliveries)) != NULL) {
		STAILQ_REMOVE_HEAD(&world->deliveries, link);
		jj_bytes_free(&delivery->bytes);
		free(delivery);
	}
	while ((call = TAILQ_FIRST(&world->calls)) != NULL) {
		TAILQ_REMOVE(&world->calls, call, link);
		jj_platform_call_clear(&call->call);
		free(call);
	}
	for (i = 0; i < world->vm_count; i++)
		jj_core_destroy(world->vms[i].core);
	free(world->vms);
	store_destroy(world->store);
	free(world);
}

void
world_run(world_t *world, jj_ms_t ms)
{
	jj_ms_t end = world->now + ms;

	while (world->now < end) {
		deliver_messages(world);
		answer_calls(world);
		run_scheduled(world, &world->firsts);
		run_scheduled(world, &world->tokens);
		run_scheduled(world, &world->ends);
		send_requests(world);
		tick_all(world);
		world->now = earlier(next_time(world), end);
	}
}

void
world_reset(world_t *world)
{
	size_t i;

	for (i = 0; i < world->vm_count; i++)
		memset(&world->vms[i].counts, 0, sizeof(world->vms[i].counts));
}

const world_counts_t *
world_counts(const world_t *world, size_t vm)
{
	return &world->vms[vm].counts;
}

size_t
world_speaker(const world_t *world)
{
	size_t i;

	for (i = 0; i < world->plan.vms; i++) {
		if (world->vms[i].core != NULL &&
		    jj_member_is_speaker(jj_core_member(world->vms[i].core)))
			return i;
	}
	return 0;
}

store_t *
world_store(world_t *world)
{
	return world->store;
}

jj_ms_t
world_now(const world_t *world)
{
	return world->now;
}

jj_core_t *
world_core(world_t *world, size_t vm)
{
	return world->vms[vm].core;
}

void
world_request(world_t *world, size_t vm, uint32_t service, const char *team,
    const char *key, const jj_bytes_t *body)
{
	jj_event_t event = {.kind = JJ_EVENT_REQUEST};
	jj_request_t *request = &event.body.request.request;
	char name[JJ_NAME_MAX + 1];

	request->request = ++world->request;
	request->class_of = JJ_CLASS_ONLINE;
	(void)snprintf(name, sizeof(name), "service-%02u", service);
	(void)jj_name_set(&request->service, name);
	(void)jj_name_set(&request->team, team);
	request->fingerprint = world->request;
	request->prompt_tokens = 500;
	request->output_tokens = 425;
	event.body.request.key = key;
	event.body.request.path = "/v1/completions";
	event.body.request.trace = "";
	if (body != NULL)
		event.body.request.body = *body;
	step(world, vm, &event, true);
}

void
world_put_config(world_t *world, uint64_t version, uint32_t teams)
{
	json_t *services = json_object();
	json_t *shares = json_object();
	char name[JJ_NAME_MAX + 1];
	jj_bytes_t object;
	json_t *stored;
	uint32_t i;

	for (i = 0; i < world->plan.services; i++) {
		(void)snprintf(name, sizeof(name), "service-%02u", i);
		json_object_set_new(services, name,
		    json_pack("{s:s,s:b,s:i,s:i,s:i}", "kind", "model",
			"idempotent", 1, "server_slots", 256, "timeout_ms",
			60000, "deadline_ms", 60000));
	}
	json_object_set_new(services, "service-99",
	    json_pack("{s:s,s:b,s:[s],s:i}", "kind", "plain", "idempotent", 0,
		"key_domains", "domain-00", "server_slots", 256));
	for (i = 0; i < teams; i++) {
		(void)snprintf(name, sizeof(name), "team-%05u", i);
		json_object_set_new(
		    shares, name, json_pack("{s:f}", "weight", 1.0 + i % 7));
	}
	stored = json_pack("{s:I,s:I,s:s,s:s,s:s,s:[],s:{s:o,s:o}}", "version",
	    (json_int_t)version, "previous", (json_int_t)version - 1,
	    "operator", "bench", "writer", "bench/0", "operation",
	    "0000000000000001", "recent", "document", "services", services,
	    "teams", shares);
	object.data = json_dumps(stored, JSON_COMPACT);
	object.size = strlen(object.data);
	store_put(world->store, CONFIG_KEY, &object);
	json_decref(stored);
	jj_bytes_free(&object);
}

size_t
world_free_core(world_t *world, size_t vm)
{
	size_t before = world_heap_bytes();

	jj_core_destroy(world->vms[vm].core);
	world->vms[vm].core = NULL;
	return before - world_heap_bytes();
}

size_t
world_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

int64_t
world_cpu_ns(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
create_vm(world_t *world, size_t number)
{
	const world_plan_t *plan = &world->plan;
	vm_t *vm = &world->vms[number];
	char error[JJ_SETTINGS_ERROR_MAX];
	char text[1024];
	jj_settings_t settings;
	uint32_t domain = 0;

	if (number >= plan->vms)
		domain =
		    1 + (uint32_t)(number - plan->vms) / plan->vms_elsewhere;
	(void)snprintf(vm->name.text, sizeof(vm->name.text),
	    "entry-vm-%02u-%02u", domain, (unsigned)number);
	(void)snprintf(
	    vm->domain.text, sizeof(vm->domain.text), "domain-%02u", domain);
	(void)snprintf(vm->address, sizeof(vm->address), "10.%u.%u.10:7400",
	    domain, (unsigned)number);
	(void)snprintf(text, sizeof(text),
	    "name = \"%s\"\ndomain = \"%s\"\n[listen]\n"
	    "callers = \"10.0.0.1:1\"\noperators = \"10.0.0.1:2\"\n"
	    "neighbours = \"%s\"\n[platform]\naddress = \"10.0.0.2:9000\"\n",
	    vm->name.text, vm->domain.text, vm->address);
	if (!jj_settings_parse(
		&settings, text, strlen(text), "bench", error, sizeof(error))) {
		(void)fprintf(stderr, "%s\n", error);
		exit(EXIT_FAILURE);
	}
	settings.core.incarnation = 1000 + number;
	settings.core.member.incarnation = 1000 + number;
	settings.core.member.seed = number;
	settings.core.ledger.incarnation = 1000 + number;
	settings.core.ledger.seed = number;
	settings.core.dispatch.seed = number;
	settings.core.config.seed = number;
	settings.core.lease.seed = number;
	settings.core.orders.seed = number;
	jj_core_write_writer(&vm->name, 1000 + number,
	    settings.core.config.writer, sizeof(settings.core.config.writer));
	jj_core_write_writer(&vm->name, 1000 + number,
	    settings.core.lease.writer, sizeof(settings.core.lease.writer));
	vm->core = jj_core_create(&settings.core);
	jj_settings_clear(&settings);
	if (domain == 0)
		add_servers(world, vm->core);
	/* Spread the VMs' first requests over 100 ms. */
	vm->next_request_ms = world->now + (jj_ms_t)(number * 7 % 100);
}

static void
add_servers(world_t *world, jj_core_t *core)
{
	jj_server_t server;
	uint32_t i;

	for (i = 0; i < world->plan.servers; i++) {
		fill_server(&server, &world->plan, i);
		jj_core_add_server(core, &server);
	}
	/* The server of the plain service, for calls with idempotency keys. */
	fill_server(&server, &world->plan, 0);
	(void)jj_name_set(&server.name, "server-plain");
	(void)jj_name_set(&server.service, "service-99");
	jj_core_add_server(core, &server);
}

/** Servers after those of domain-00 are assigned to 22 others round-robin. */
static void
fill_server(jj_server_t *server, const world_plan_t *plan, uint32_t number)
{
	uint32_t domain = 0;
	char text[JJ_NAME_MAX + 1];

	memset(server, 0, sizeof(*server));
	if (number >= plan->servers)
		domain = 1 + (number - plan->servers) % 22;
	(void)snprintf(text, sizeof(text), "server-%05u", number);
	(void)jj_name_set(&server->name, text);
	(void)snprintf(text, sizeof(text), "domain-%02u", domain);
	(void)jj_name_set(&server->domain, text);
	(void)snprintf(
	    text, sizeof(text), "service-%02u", number % plan->services);
	(void)jj_name_set(&server->service, text);
	(void)snprintf(server->address, sizeof(server->address),
	    "10.%u.%u.%u:8000", domain, number / 250, number % 250);
}

static void
put_vm_list(world_t *world)
{
	const world_plan_t *plan = &world->plan;
	json_t *vms = json_array();
	jj_server_t server;
	json_t *document;
	char *text;
	uint32_t i;

	for (i = 0; i < world->vm_count; i++)
		json_array_append_new(vms,
		    json_pack("{s:s,s:s,s:s,s:s,s:s}", "id",
			world->vms[i].name.text, "kind", "entry", "domain",
			world->vms[i].domain.text, "address",
			world->vms[i].address, "state", "live"));
	for (i = 0; i < plan->servers + plan->listed_elsewhere; i++) {
		fill_server(&server, plan, i);
		json_array_append_new(vms,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "id",
			server.name.text, "kind", "server", "domain",
			server.domain.text, "address", server.address,
			"service", server.service.text, "state", "live"));
	}
	json_array_append_new(vms,
	    json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "id", "server-plain", "kind",
		"server", "domain", "domain-00", "address", "10.0.0.9:8000",
		"service", "service-99", "state", "live"));
	document = json_pack("{s:i,s:o}", "revision", 1, "vms", vms);
	text = json_dumps(document, JSON_COMPACT);
	store_set_vms(world->store, text);
	json_decref(document);
	free(text);
}

static jj_ms_t
next_time(const world_t *world)
{
	const struct scheduled_list *lists[] = {
	    &world->firsts, &world->tokens, &world->ends};
	jj_ms_t next = world->now + 1000;
	const call_t *call;
	size_t i;

	for (i = 0; i < world->vm_count; i++) {
		if (world->vms[i].core != NULL)
			next = earlier(next, jj_core_next(world->vms[i].core));
		if (world->plan.rate > 0 && i < world->plan.vms)
			next = earlier(next, world->vms[i].next_request_ms);
	}
	if (!STAILQ_EMPTY(&world->deliveries))
		next = earlier(next, STAILQ_FIRST(&world->deliveries)->due_ms);
	for (i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
		if (!STAILQ_EMPTY(lists[i]))
			next = earlier(next, STAILQ_FIRST(lists[i])->due_ms);
	}
	TAILQ_FOREACH(call, &world->calls, link)
	{
		next = earlier(next, call->due_ms);
		if (call->tried_revision != store_revision(world->store))
			next = earlier(next, world->now + PLATFORM_MS);
	}
	return next > world->now ? next : world->now + 1;
}

static void
tick_all(world_t *world)
{
	jj_event_t tick = {.kind = JJ_EVENT_TICK};
	size_t i;

	for (i = 0; i < world->vm_count; i++) {
		if (world->vms[i].core != NULL &&
		    jj_core_next(world->vms[i].core) <= world->now)
			step(world, i, &tick, false);
	}
}

static void
send_requests(world_t *world)
{
	char team[JJ_NAME_MAX + 1];
	vm_t *vm;
	size_t i;

	if (world->plan.rate <= 0)
		return;
	for (i = 0; i < world->plan.vms; i++) {
		vm = &world->vms[i];
		if (vm->core == NULL || vm->next_request_ms > world->now)
			continue;
		vm->next_request_ms += (jj_ms_t)(1000 / world->plan.rate);
		(void)snprintf(team, sizeof(team), "team-%05u",
		    (unsigned)(world->request * 7919 % 1000));
		world_request(world, i,
		    (uint32_t)(world->request % world->plan.services), team,
		    NULL, NULL);
	}
}

static void
deliver_messages(world_t *world)
{
	jj_event_t event = {.kind = JJ_EVENT_MESSAGE};
	jj_message_t message;
	int64_t begin_ns;
	delivery_t *delivery;
	vm_t *vm;

	while ((delivery = STAILQ_FIRST(&world->deliveries)) != NULL &&
	    delivery->due_ms <= world->now) {
		STAILQ_REMOVE_HEAD(&world->deliveries, link);
		vm = &world->vms[delivery->to];
		begin_ns = world_cpu_ns();
		if (vm->core != NULL &&
		    jj_wire_decode(delivery->bytes.data, delivery->bytes.size,
			&message) == JJ_WIRE_OK) {
			vm->counts.control_ns += world_cpu_ns() - begin_ns;
			vm->counts.received++;
			vm->counts.received_bytes += delivery->bytes.size;
			event.body.message = &message;
			step(world, delivery->to, &event, false);
			jj_message_clear(&message);
		}
		jj_bytes_free(&delivery->bytes);
		free(delivery);
	}
}

static void
answer_calls(world_t *world)
{
	call_t *call;
	call_t *next;

	for (call = TAILQ_FIRST(&world->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (!answer_call(world, call))
			continue;
		TAILQ_REMOVE(&world->calls, call, link);
		jj_platform_call_clear(&call->call);
		free(call);
	}
}

static bool
answer_call(world_t *world, call_t *call)
{
	jj_event_t event = {.kind = JJ_EVENT_PLATFORM};
	vm_t *vm = &world->vms[call->from];
	bool is_due = call->due_ms <= world->now;
	bool is_watch = call->call.op == JJ_PLATFORM_WATCH;
	jj_platform_result_t result;

	if (!is_due &&
	    (!is_watch || call->tried_revision == store_revision(world->store)))
		return false;
	call->tried_revision = store_revision(world->store);
	if (!store_answer(world->store, &call->call, is_due, &result))
		return false;
	if (vm->core != NULL) {
		vm->counts.platform_bytes +=
		    call->call.value.size + result.value.size;
		event.body.platform = &result;
		step(world, call->from, &event, false);
	}
	jj_platform_result_clear(&result);
	return true;
}

static void
run_scheduled(world_t *world, struct scheduled_list *list)
{
	scheduled_t *scheduled;

	while ((scheduled = STAILQ_FIRST(list)) != NULL &&
	    scheduled->due_ms <= world->now) {
		STAILQ_REMOVE_HEAD(list, link);
		handle_scheduled(world, scheduled);
		free(scheduled);
	}
}

static void
handle_scheduled(world_t *world, const scheduled_t *scheduled)
{
	static char answer[] = "{\"run\":1}";
	jj_event_t event = {.kind = JJ_EVENT_BACKEND};
	jj_ms_t left = world->plan.serve_ms - world->plan.first_ms;
	vm_t *vm = &world->vms[scheduled->vm];

	if (vm->core == NULL)
		return;
	event.body.backend.event = scheduled->event;
	event.body.backend.status = 200;
	if (scheduled->event.kind == JJ_BACKEND_DONE) {
		event.body.backend.body.data = answer;
		event.body.backend.body.size = sizeof(answer) - 1;
		vm->counts.ended++;
	}
	step(world, scheduled->vm, &event, true);
	if (scheduled->event.kind == JJ_BACKEND_FIRST)
		schedule_event(world, &world->ends, scheduled->vm,
		    &scheduled->event, JJ_BACKEND_DONE, left);
	if (world->plan.tokens_ms > 0 &&
	    scheduled->event.kind != JJ_BACKEND_DONE &&
	    scheduled->event.tokens < left / world->plan.tokens_ms)
		schedule_event(world, &world->tokens, scheduled->vm,
		    &scheduled->event, JJ_BACKEND_TOKENS,
		    world->plan.tokens_ms);
}

/** Schedules a server's event; it reports one token more than @p event. */
static void
schedule_event(world_t *world, struct scheduled_list *list, size_t vm,
    const jj_backend_event_t *event, jj_backend_kind_t kind, jj_ms_t after_ms)
{
	scheduled_t *scheduled = jj_alloc(sizeof(*scheduled));

	scheduled->due_ms = world->now + after_ms;
	scheduled->vm = vm;
	scheduled->event = *event;
	scheduled->event.kind = kind;
	scheduled->event.tokens++;
	STAILQ_INSERT_TAIL(list, scheduled, link);
}

static void
step(world_t *world, size_t vm, const jj_event_t *event, bool is_request)
{
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	world_counts_t *counts = &world->vms[vm].counts;
	jj_action_t *action;
	int64_t used_ns;

	used_ns = -world_cpu_ns();
	jj_core_handle(world->vms[vm].core, event, world->now, &actions);
	used_ns += world_cpu_ns();
	if (is_request)
		counts->request_ns += used_ns;
	else
		counts->control_ns += used_ns;
	while ((action = TAILQ_FIRST(&actions)) != NULL) {
		TAILQ_REMOVE(&actions, action, link);
		carry_out(world, vm, action);
		jj_action_free(action);
	}
}

static void
carry_out(world_t *world, size_t vm, const jj_action_t *action)
{
	world_counts_t *counts = &world->vms[vm].counts;

	switch (action->kind) {
	case JJ_ACTION_SEND:
		send(world, vm, action);
		break;
	case JJ_ACTION_PLATFORM:
		call_platform(world, vm, &action->body.platform);
		break;
	case JJ_ACTION_BACKEND_START:
		start_request(world, vm, &action->body.start);
		break;
	case JJ_ACTION_ANSWER:
		counts->ended++;
		counts->refused++;
		break;
	case JJ_ACTION_CONFIG_ADOPTED:
		counts->adopted++;
		counts->adopted_ms = world->now;
		break;
	default:
		break;
	}
}

static void
send(world_t *world, size_t vm, const jj_action_t *action)
{
	world_counts_t *counts = &world->vms[vm].counts;
	const jj_message_t *message = action->body.send.message;
	size_t to = find_vm(world, &action->body.send.to);
	int64_t begin_ns = world_cpu_ns();
	delivery_t *delivery;

	if (to == world->vm_count)
		return;
	delivery = jj_alloc(sizeof(*delivery));
	delivery->bytes = jj_wire_encode(message);
	counts->control_ns += world_cpu_ns() - begin_ns;
	delivery->due_ms = world->now + NETWORK_MS;
	delivery->to = to;
	counts->sent++;
	counts->sent_bytes += delivery->bytes.size;
	counts->sent_of[message->kind]++;
	counts->bytes_of[message->kind] += delivery->bytes.size;
	STAILQ_INSERT_TAIL(&world->deliveries, delivery, link);
}

static void
call_platform(world_t *world, size_t vm, const jj_platform_call_t *call)
{
	world_counts_t *counts = &world->vms[vm].counts;
	call_t *kept = jj_alloc(sizeof(*kept));

	kept->from = vm;
	kept->call = *call;
	kept->call.value = jj_bytes_copy(call->value.data, call->value.size);
	kept->due_ms = world->now + PLATFORM_MS;
	kept->tried_revision = store_revision(world->store);
	if (call->op == JJ_PLATFORM_WATCH) {
		kept->due_ms = world->now + call->wait_ms;
		kept->tried_revision = 0;
	}
	if (call->op == JJ_PLATFORM_CREATE || call->op == JJ_PLATFORM_UPDATE ||
	    call->op == JJ_PLATFORM_DELETE)
		counts->writes++;
	else
		counts->reads++;
	TAILQ_INSERT_TAIL(&world->calls, kept, link);
}

static void
start_request(world_t *world, size_t vm, const jj_backend_start_t *start)
{
	jj_backend_event_t event = {0};

	event.request = start->request;
	event.attempt = start->attempt;
	schedule_event(world, &world->firsts, vm, &event, JJ_BACKEND_FIRST,
	    world->plan.first_ms);
}

static size_t
find_vm(const world_t *world, const jj_name_t *name)
{
	size_t i;

	for (i = 0; i < world->vm_count; i++) {
		if (jj_name_equal(&world->vms[i].name, name))
			break;
	}
	return i;
}

static jj_ms_t
earlier(jj_ms_t a, jj_ms_t b)
{
	return a < b ? a : b;
}
