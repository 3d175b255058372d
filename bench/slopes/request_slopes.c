/**
 * @file request_slopes.c
 * @brief Cost of requests, teams, keys and suspects at a VM.
 */
#include <stdio.h>

#include "slopes.h"
#include "world.h"

/** Time until VMs know each other and the ledger has its witnesses, ms. */
#define SETTLE_MS 15000
/** Size of a call's body, bytes. */
#define CALL_BYTES 200
/** Number of the plain service; see world_put_config(). */
#define PLAIN_SERVICE 99

static void add_requests(fit_t *, uint32_t);
static void add_server_choice(fit_t *, uint32_t);
static void add_teams(fit_t[], uint32_t);
static void add_keys(fit_t[], uint32_t);
static void add_suspects(fit_t[], uint32_t);
static size_t measure_open_bytes(uint32_t, uint32_t);

void
slopes_of_requests(fit_bounds_t *bounds)
{
	static const uint32_t open[] = {100, 200, 400, 800};
	static const uint32_t servers[] = {10, 25, 50, 100};
	fit_t state = {
	    .name = "request_state_bytes", .unit = "B", .counted = true};
	fit_t choice = {.name = "request_server_cpu", .unit = "us"};
	size_t i;

	for (i = 0; i < sizeof(open) / sizeof(open[0]); i++)
		add_requests(&state, open[i]);
	fit_print(&state, bounds);
	for (i = 0; i < sizeof(servers) / sizeof(servers[0]); i++)
		add_server_choice(&choice, servers[i]);
	fit_print(&choice, bounds);
}

void
slopes_of_teams(fit_bounds_t *bounds)
{
	static const uint32_t teams[] = {500, 1000, 2000, 4000};
	fit_t fits[] = {
	    {.name = "team_open_state_bytes", .unit = "B", .counted = true},
	    {.name = "team_seen_state_bytes", .unit = "B", .counted = true},
	    {.name = "team_cpu", .unit = "us"},
	};
	size_t i;

	for (i = 0; i < sizeof(teams) / sizeof(teams[0]); i++)
		add_teams(fits, teams[i]);
	for (i = 0; i < sizeof(fits) / sizeof(fits[0]); i++)
		fit_print(&fits[i], bounds);
}

void
slopes_of_keys(fit_bounds_t *bounds)
{
	static const uint32_t keys[] = {1000, 2000, 4000, 8000};
	fit_t fits[] = {
	    {.name = "key_state_bytes", .unit = "B", .counted = true},
	    {.name = "key_messages", .unit = "messages", .counted = true},
	    {.name = "key_bytes", .unit = "B", .counted = true},
	    {.name = "key_cpu", .unit = "us"},
	};
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		add_keys(fits, keys[i]);
	for (i = 0; i < sizeof(fits) / sizeof(fits[0]); i++)
		fit_print(&fits[i], bounds);
}

void
slopes_of_quarantine(fit_bounds_t *bounds)
{
	static const uint32_t sizes[] = {2000, 4000, 8000, 16000};
	fit_t fits[] = {
	    {.name = "suspect_state_bytes", .unit = "B", .counted = true},
	    {.name = "suspect_check_cpu", .unit = "us"},
	};
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		add_suspects(fits, sizes[i]);
	for (i = 0; i < sizeof(fits) / sizeof(fits[0]); i++)
		fit_print(&fits[i], bounds);
}

/** State of a VM with open requests. */
static void
add_requests(fit_t *fit, uint32_t open)
{
	fit_add(fit, open, (double)measure_open_bytes(open, 1));
}

static size_t
measure_open_bytes(uint32_t open, uint32_t teams)
{
	world_plan_t plan = {.domains = 1,
	    .vms = 1,
	    .servers = 100,
	    .services = 20,
	    .first_ms = 100000,
	    .serve_ms = 200000};
	world_t *world = world_create(&plan);
	char team[JJ_NAME_MAX + 1];
	uint32_t i;
	size_t bytes;

	world_run(world, SETTLE_MS);
	for (i = 0; i < open; i++) {
		(void)snprintf(team, sizeof(team), "team-%05u", i % teams);
		world_request(world, 0, i % plan.services, team, NULL, NULL);
	}
	bytes = world_free_core(world, 0);
	world_destroy(world);
	return bytes;
}

/** Processor time of a request, by the number of servers to choose from. */
static void
add_server_choice(fit_t *fit, uint32_t servers)
{
	static const uint32_t count = 4000;
	world_plan_t plan = {.domains = 1,
	    .vms = 1,
	    .servers = servers,
	    .services = 1,
	    .first_ms = 5,
	    .serve_ms = 20};
	world_t *world = world_create(&plan);
	uint32_t i;

	world_run(world, SETTLE_MS);
	world_reset(world);
	for (i = 0; i < count; i++) {
		world_request(world, 0, 0, "team", NULL, NULL);
		world_run(world, 2);
	}
	world_run(world, 1000);
	JJ_INVARIANT(world_counts(world, 0)->ended == count);
	fit_add(fit, servers,
	    (double)world_counts(world, 0)->request_ns / 1e3 / count);
	world_destroy(world);
}

/** One request of each team: state while all are open, and long after all
 * have ended. */
static void
add_teams(fit_t fits[], uint32_t teams)
{
	world_plan_t plan = {.domains = 1,
	    .vms = 1,
	    .servers = 100,
	    .services = 20,
	    .first_ms = 5,
	    .serve_ms = 2000};
	world_t *world = world_create(&plan);
	char team[JJ_NAME_MAX + 1];
	uint32_t i;

	world_run(world, SETTLE_MS);
	world_reset(world);
	for (i = 0; i < teams; i++) {
		(void)snprintf(team, sizeof(team), "team-%05u", i);
		world_request(world, 0, 0, team, NULL, NULL);
	}
	fit_add(&fits[2], teams,
	    (double)world_counts(world, 0)->request_ns / 1e3 / teams);
	world_run(world, 120000);
	fit_add(&fits[1], teams, (double)world_free_core(world, 0));
	world_destroy(world);
	fit_add(&fits[0], teams, (double)measure_open_bytes(teams, teams));
}

/** Calls with keys in a domain of two VMs, each of which stores all records. */
static void
add_keys(fit_t fits[], uint32_t keys)
{
	world_plan_t plan = {.domains = 1,
	    .vms = 2,
	    .servers = 20,
	    .services = 20,
	    .first_ms = 2,
	    .serve_ms = 4};
	char text[CALL_BYTES + 1];
	char key[JJ_IDEMPOTENCY_KEY_MAX + 1];
	jj_bytes_t body = {text, CALL_BYTES};
	world_t *world = world_create(&plan);
	const world_counts_t *counts;
	int64_t idle_ns;
	uint32_t i;

	for (i = 0; i < CALL_BYTES; i++)
		text[i] = 'x';
	text[CALL_BYTES] = '\0';
	world_run(world, SETTLE_MS);
	world_reset(world);
	world_run(world, (jj_ms_t)keys);
	counts = world_counts(world, 0);
	idle_ns = counts->control_ns + counts->request_ns;
	world_reset(world);
	for (i = 0; i < keys; i++) {
		(void)snprintf(key, sizeof(key), "order-2026-12-02-%08u", i);
		world_request(world, i % 2, PLAIN_SERVICE, "team", key, &body);
		world_run(world, 1);
	}
	JJ_INVARIANT(counts->refused == 0);
	fit_add(&fits[1], keys,
	    (double)(counts->sent_of[JJ_MESSAGE_CALL] +
		counts->sent_of[JJ_MESSAGE_CALL_ANSWER] +
		counts->sent_of[JJ_MESSAGE_INTENT] +
		counts->sent_of[JJ_MESSAGE_INTENT_ACK] +
		counts->sent_of[JJ_MESSAGE_RESOLVE]) *
		2);
	fit_add(&fits[2], keys,
	    (double)(counts->bytes_of[JJ_MESSAGE_CALL] +
		counts->bytes_of[JJ_MESSAGE_CALL_ANSWER] +
		counts->bytes_of[JJ_MESSAGE_INTENT] +
		counts->bytes_of[JJ_MESSAGE_INTENT_ACK] +
		counts->bytes_of[JJ_MESSAGE_RESOLVE]) *
		2);
	fit_add(&fits[3], keys,
	    (double)(counts->control_ns + counts->request_ns - idle_ns) / 1e3);
	world_run(world, 2000);
	fit_add(&fits[0], keys, (double)world_free_core(world, 0));
	world_destroy(world);
}

static void
add_suspects(fit_t fits[], uint32_t count)
{
	static const uint32_t checks = 200000;
	jj_quarantine_settings_t settings = {2, 600000, 3600000, 65536};
	jj_actions_t actions = TAILQ_HEAD_INITIALIZER(actions);
	size_t before = world_heap_bytes();
	jj_quarantine_t *quarantine = jj_quarantine_create(&settings);
	jj_crash_t crash = {.suspect_count = 1};
	int64_t begin_ns;
	uint64_t refused = 0;
	uint32_t i;

	(void)jj_name_set(&crash.server, "server-00001");
	for (i = 0; i < 2 * count; i++) {
		crash.boot = i + 1;
		crash.suspects[0] = i / 2 * UINT64_C(0x9E3779B97F4A7C15);
		jj_quarantine_take_crash(quarantine, &crash, 1000, &actions);
		jj_actions_clear(&actions);
	}
	fit_add(&fits[0], count, (double)(world_heap_bytes() - before));
	begin_ns = world_cpu_ns();
	for (i = 0; i < checks; i++)
		refused += jj_quarantine_check(quarantine,
			       i % (2 * count) * UINT64_C(0x9E3779B97F4A7C15),
			       2000) == JJ_QUARANTINE_REFUSED;
	fit_add(&fits[1], count,
	    (double)(world_cpu_ns() - begin_ns) / 1e3 / checks);
	JJ_INVARIANT(refused > 0);
	jj_quarantine_destroy(quarantine);
}
