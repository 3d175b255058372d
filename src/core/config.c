/**
 * @file config.c
 * @brief Adopts configurations and looks up services and teams.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/config_state.h"

/*
 * Defaults of a service's optional fields: enough time for a long generation to
 * end, two attempts for a caller that sets no deadline, two more attempts after
 * a failed one, and equal weight for batch and online.
 */
#define TIMEOUT_DEFAULT_MS 30000
#define DEADLINE_DEFAULT_MS 60000
#define ATTEMPTS_DEFAULT 3
#define TRADE_DEFAULT 0.5
#define QUEUE_DEFAULT 1000
#define SLOTS_DEFAULT 16
#define WEIGHT_DEFAULT 1.0

static void read_services(jj_config_t *, const json_t *);
static void read_service(jj_service_t *, const char *, const json_t *);
static void read_teams(jj_config_t *, const json_t *);
static json_int_t read_integer(const json_t *, const char *, json_int_t);
static double read_number(const json_t *, const char *, double);
static void read_text(char *, size_t, const json_t *, const char *);
static int compare_services(const void *, const void *);
static int compare_teams(const void *, const void *);
static void refuse_object(jj_actions_t *, uint64_t, const char *);

jj_config_t *
jj_config_create(const jj_config_settings_t *settings)
{
	jj_config_t *config = jj_alloc(sizeof(*config));

	config->settings = *settings;
	TAILQ_INIT(&config->patches);
	return config;
}

void
jj_config_destroy(jj_config_t *config)
{
	if (config == NULL)
		return;
	jj_config_patches_clear(config);
	jj_bytes_free(&config->object);
	free(config->services);
	free(config->teams);
	free(config);
}

uint64_t
jj_config_version(const jj_config_t *config)
{
	return config->version;
}

const jj_bytes_t *
jj_config_object(const jj_config_t *config)
{
	return config->version > 0 ? &config->object : NULL;
}

const jj_service_t *
jj_config_service(const jj_config_t *config, const char *name)
{
	jj_service_t wanted;

	if (config->service_count == 0 || !jj_name_set(&wanted.name, name))
		return NULL;
	return bsearch(&wanted, config->services, config->service_count,
	    sizeof(wanted), compare_services);
}

const jj_service_t *
jj_config_services(const jj_config_t *config, size_t *count)
{
	*count = config->service_count;
	return config->services;
}

jj_team_t
jj_config_team(const jj_config_t *config, const char *name)
{
	jj_team_t wanted = {{""}, WEIGHT_DEFAULT, 0};
	const jj_team_t *found = NULL;

	if (!jj_name_set(&wanted.name, name))
		return wanted;
	if (config->team_count > 0)
		found = bsearch(&wanted, config->teams, config->team_count,
		    sizeof(wanted), compare_teams);
	return found != NULL ? *found : wanted;
}

bool
jj_config_take(jj_config_t *config, const jj_bytes_t *object, jj_actions_t *out)
{
	char why[256];
	json_t *stored = json_loadb(
	    object->data, object->size, JSON_REJECT_DUPLICATES, NULL);
	const json_t *document = json_object_get(stored, "document");
	json_int_t number =
	    json_integer_value(json_object_get(stored, "version"));
	bool adopted = false;

	/*
	 * Watch events and copies of neighbours arrive late, twice and out of
	 * order, and a VM that was paused still sends its old version: adopting
	 * each as it comes would revert an accepted patch for a while. Only a
	 * greater number is adopted; the numbers come from one chain of
	 * conditional updates at the platform.
	 */
	if (number <= 0 || (uint64_t)number <= config->version)
		goto out;
	if (!jj_config_check(document, why, sizeof(why))) {
		refuse_object(out, (uint64_t)number, why);
		goto out;
	}
	jj_bytes_free(&config->object);
	config->object = jj_bytes_copy(object->data, object->size);
	config->version = (uint64_t)number;
	read_services(config, json_object_get(document, "services"));
	read_teams(config, json_object_get(document, "teams"));
	jj_actions_add(out, JJ_ACTION_CONFIG_ADOPTED)->body.adopted.version =
	    config->version;
	adopted = true;
out:
	json_decref(stored);
	return adopted;
}

void
jj_config_refresh(jj_config_t *config, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call = jj_actions_add_platform(
	    out, JJ_OWNER_CONFIG, JJ_PLATFORM_GET, JJ_CONFIG_REFRESH);

	(void)config;
	(void)now;
	(void)snprintf(call->key, sizeof(call->key), "%s", JJ_CONFIG_KEY);
}

void
jj_config_take_result(jj_config_t *config, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out)
{
	if (result->token != JJ_CONFIG_REFRESH)
		jj_config_patches_take_result(config, result, now, out);
	else if (result->outcome == JJ_PLATFORM_OK)
		(void)jj_config_take(config, &result->value, out);
}

static void
read_services(jj_config_t *config, const json_t *services)
{
	const char *name;
	json_t *value;
	size_t count = 0;

	free(config->services);
	config->services =
	    jj_alloc(json_object_size(services) * sizeof(jj_service_t));
	json_object_foreach((json_t *)services, name, value)
	{
		read_service(&config->services[count++], name, value);
	}
	config->service_count = count;
	qsort(config->services, count, sizeof(jj_service_t), compare_services);
}

static void
read_service(jj_service_t *service, const char *name, const json_t *json)
{
	const json_t *wish = json_object_get(json, "model_wish");
	const json_t *domains = json_object_get(json, "key_domains");
	char kind[JJ_NAME_MAX + 1];
	size_t i;

	(void)jj_name_set(&service->name, name);
	read_text(kind, sizeof(kind), json, "kind");
	service->kind =
	    strcmp(kind, "plain") == 0 ? JJ_SERVICE_PLAIN : JJ_SERVICE_MODEL;
	service->idempotent = json_is_true(json_object_get(json, "idempotent"));
	service->timeout_ms =
	    read_integer(json, "timeout_ms", TIMEOUT_DEFAULT_MS);
	service->deadline_ms =
	    read_integer(json, "deadline_ms", DEADLINE_DEFAULT_MS);
	service->attempts =
	    (uint32_t)read_integer(json, "attempts", ATTEMPTS_DEFAULT);
	service->trade = read_number(json, "trade", TRADE_DEFAULT);
	service->queue_limit =
	    (uint32_t)read_integer(json, "queue_limit", QUEUE_DEFAULT);
	service->server_slots =
	    (uint32_t)read_integer(json, "server_slots", SLOTS_DEFAULT);
	for (i = 0; i < json_array_size(domains); i++)
		(void)snprintf(service->key_domains[i],
		    sizeof(service->key_domains[i]), "%s",
		    json_string_value(json_array_get(domains, i)));
	service->key_domain_count = (uint32_t)i;
	read_text(service->model_wish.model, sizeof(service->model_wish.model),
	    wish, "model");
	read_text(service->model_wish.version,
	    sizeof(service->model_wish.version), wish, "version");
	read_text(service->model_wish.role, sizeof(service->model_wish.role),
	    wish, "role");
}

static void
read_teams(jj_config_t *config, const json_t *teams)
{
	const char *name;
	json_t *value;
	size_t count = 0;

	free(config->teams);
	config->teams = jj_alloc(json_object_size(teams) * sizeof(jj_team_t));
	json_object_foreach((json_t *)teams, name, value)
	{
		jj_team_t *team = &config->teams[count++];

		(void)jj_name_set(&team->name, name);
		team->weight = read_number(value, "weight", WEIGHT_DEFAULT);
		team->in_flight = (uint32_t)read_integer(value, "in_flight", 0);
	}
	config->team_count = count;
	qsort(config->teams, count, sizeof(jj_team_t), compare_teams);
}

static json_int_t
read_integer(const json_t *json, const char *field, json_int_t default_value)
{
	const json_t *value = json_object_get(json, field);

	return value != NULL ? json_integer_value(value) : default_value;
}

static double
read_number(const json_t *json, const char *field, double default_value)
{
	const json_t *value = json_object_get(json, field);

	return value != NULL ? json_number_value(value) : default_value;
}

static void
read_text(char *text, size_t size, const json_t *json, const char *field)
{
	const char *value = json_string_value(json_object_get(json, field));

	(void)snprintf(text, size, "%s", value != NULL ? value : "");
}

static int
compare_services(const void *a, const void *b)
{
	const jj_service_t *left = a;
	const jj_service_t *right = b;

	return strcmp(left->name.text, right->name.text);
}

static int
compare_teams(const void *a, const void *b)
{
	const jj_team_t *left = a;
	const jj_team_t *right = b;

	return strcmp(left->name.text, right->name.text);
}

static void
refuse_object(jj_actions_t *out, uint64_t version, const char *why)
{
	jj_actions_add_event(out, "config_invalid", "version=%llu why=\"%s\"",
	    (unsigned long long)version, why);
}
