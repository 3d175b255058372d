/**
 * @file scenario.c
 * @brief Reads scenarios from TOML files.
 */
#include <stdio.h>
#include <string.h>

#include "adapters/toml.h"
#include "scenario.h"

static const char *const FAULT_NAMES[BENCH_FAULT_KINDS] = {"slow", "fail",
    "kill", "restart", "leave", "freeze", "thaw", "reports", "poison"};

static double number_of(const jj_toml_node_t *, const char *, double);
static void text_of(const jj_toml_node_t *, const char *, char *, size_t);
static void read_numbers(bench_scenario_t *, const jj_toml_node_t *);
static void read_phase(bench_phase_t *, const jj_toml_node_t *, double);
static bool read_fault(bench_fault_t *, const jj_toml_node_t *);
static bool
read_lists(bench_scenario_t *, const jj_toml_node_t *, char *, size_t);

void
scenario_set_defaults(bench_scenario_t *scenario)
{
	memset(scenario, 0, sizeof(*scenario));
	scenario->seconds = 60;
	scenario->seed = 1;
	scenario->runs = 1;
	scenario->vms = 3;
	scenario->servers = 4;
	scenario->slots = 32;
	scenario->soft = 16;
	scenario->step_ms = 10;
	scenario->prefill_us = 20;
	scenario->cache_blocks = 4096;
	scenario->prefixes = 20;
	scenario->net_us = 1000;
	scenario->deadline_ms = 10000;
	scenario->timeout_ms = 5000;
	scenario->queue_limit = 64;
	scenario->harm_weight = 8;
	scenario->batch_tokens = 120;
	scenario->batch_prompt = 256;
	scenario->batch_most = 256;
}

bool
scenario_load(bench_scenario_t *scenario, const char *path, char *error,
    size_t error_size)
{
	jj_toml_t *toml = jj_toml_load(path, error, error_size);
	const jj_toml_node_t *root;
	bool valid;

	if (toml == NULL)
		return false;
	root = jj_toml_root(toml);
	scenario_set_defaults(scenario);
	text_of(root, "name", scenario->name, sizeof(scenario->name));
	read_numbers(scenario, root);
	valid = read_lists(scenario, root, error, error_size);
	if (scenario->vms < 1 || scenario->vms > BENCH_VMS_MAX ||
	    scenario->servers < 1 || scenario->servers > BENCH_SERVERS_MAX) {
		(void)snprintf(error, error_size,
		    "%s: vms must be 1 to %d, servers "
		    "must be 1 to %d",
		    path, BENCH_VMS_MAX, BENCH_SERVERS_MAX);
		valid = false;
	}
	jj_toml_destroy(toml);
	return valid;
}

static void
read_numbers(bench_scenario_t *scenario, const jj_toml_node_t *root)
{
	const struct {
		const char *key;
		uint32_t *value;
	} fields[] = {{"vms", &scenario->vms}, {"servers", &scenario->servers},
	    {"slots", &scenario->slots}, {"soft", &scenario->soft},
	    {"step_ms", &scenario->step_ms},
	    {"prefill_us", &scenario->prefill_us},
	    {"cache_blocks", &scenario->cache_blocks},
	    {"prefixes", &scenario->prefixes}, {"net_us", &scenario->net_us},
	    {"deadline_ms", &scenario->deadline_ms},
	    {"timeout_ms", &scenario->timeout_ms},
	    {"queue_limit", &scenario->queue_limit},
	    {"batch_tokens", &scenario->batch_tokens},
	    {"batch_prompt", &scenario->batch_prompt},
	    {"batch_most", &scenario->batch_most}};
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		*fields[i].value =
		    (uint32_t)number_of(root, fields[i].key, *fields[i].value);
	scenario->seconds = number_of(root, "seconds", scenario->seconds);
	scenario->seed =
	    (uint64_t)number_of(root, "seed", (double)scenario->seed);
	scenario->trade = number_of(root, "trade", scenario->trade);
	scenario->harm_weight =
	    number_of(root, "harm_weight", scenario->harm_weight);
	scenario->batch_from_s =
	    number_of(root, "batch_from_s", scenario->batch_from_s);
}

static bool
read_lists(bench_scenario_t *scenario, const jj_toml_node_t *root, char *error,
    size_t error_size)
{
	const jj_toml_node_t *phases = jj_toml_find(root, "arrivals");
	const jj_toml_node_t *faults = jj_toml_find(root, "fault");
	size_t count = phases != NULL ? jj_toml_count(phases) : 0;
	size_t i;

	for (i = 0; i < count && i < BENCH_PHASES_MAX; i++)
		read_phase(&scenario->phases[scenario->phase_count++],
		    jj_toml_at(phases, i), scenario->seconds);
	count = faults != NULL ? jj_toml_count(faults) : 0;
	for (i = 0; i < count && i < BENCH_FAULTS_MAX; i++)
		if (!read_fault(&scenario->faults[scenario->fault_count++],
			jj_toml_at(faults, i))) {
			(void)snprintf(
			    error, error_size, "fault %zu: kind is unknown", i);
			return false;
		}
	return true;
}

static void
read_phase(bench_phase_t *phase, const jj_toml_node_t *node, double seconds)
{
	char team[JJ_NAME_MAX + 1] = "shops";

	text_of(node, "team", team, sizeof(team));
	(void)jj_name_set(&phase->team, team);
	phase->from_s = number_of(node, "from_s", 0);
	phase->to_s = number_of(node, "to_s", seconds);
	phase->rate = number_of(node, "rate", 0);
	phase->rate_end = number_of(node, "rate_end", phase->rate);
	phase->tokens = (uint32_t)number_of(node, "tokens", 60);
	phase->prompt = (uint32_t)number_of(node, "prompt", 320);
}

static bool
read_fault(bench_fault_t *fault, const jj_toml_node_t *node)
{
	char kind[JJ_NAME_MAX + 1] = "";
	int i;

	text_of(node, "kind", kind, sizeof(kind));
	fault->at_s = number_of(node, "at_s", 0);
	fault->target = (uint32_t)number_of(node, "target", 0);
	fault->value = number_of(node, "value", 0);
	for (i = 0; i < BENCH_FAULT_KINDS; i++) {
		if (strcmp(kind, FAULT_NAMES[i]) != 0)
			continue;
		fault->kind = (bench_fault_kind_t)i;
		return true;
	}
	return false;
}

static double
number_of(const jj_toml_node_t *table, const char *key, double fallback)
{
	const jj_toml_node_t *node = jj_toml_find(table, key);
	double value = fallback;

	if (node != NULL)
		(void)jj_toml_get_real(node, &value);
	return value;
}

static void
text_of(const jj_toml_node_t *table, const char *key, char *text, size_t size)
{
	const jj_toml_node_t *node = jj_toml_find(table, key);
	const char *value;
	size_t length;

	if (node != NULL && jj_toml_get_text(node, &value, &length))
		(void)snprintf(text, size, "%s", value);
}
