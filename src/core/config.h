/**
 * @file config.h
 * @brief The versioned configuration: patches and adoption of newer versions.
 *
 * The platform object `config/current` is authoritative: a patch is a JSON
 * Merge Patch against one version, applied by one conditional update. A VM
 * adopts any newer version from any source (watch, neighbour, its own patch)
 * and never an older one.
 */
#ifndef JJ_CORE_CONFIG_H
#define JJ_CORE_CONFIG_H

#include <jansson.h>

#include "core/action.h"

typedef struct {
	char writer[JJ_NAME_MAX + 20]; /**< this process as NAME/HEX16 */
	uint64_t seed; /**< seed of operation numbers */
	/** time after which a patch is abandoned; 4000 */
	jj_ms_t call_timeout_ms;
} jj_config_settings_t;

typedef enum {
	JJ_SERVICE_MODEL,
	JJ_SERVICE_PLAIN,
} jj_service_kind_t;

/** The model that engines of a service should have loaded; empty: any. */
typedef struct {
	char model[JJ_NAME_MAX + 1];
	char version[JJ_NAME_MAX + 1];
	char role[JJ_NAME_MAX + 1];
} jj_model_wish_t;

/** One service of the configuration; read-only. */
typedef struct {
	jj_name_t name;
	jj_service_kind_t kind;
	bool idempotent; /**< false: runs at most once per key */
	jj_ms_t timeout_ms; /**< timeout of one attempt at a backend server */
	jj_ms_t deadline_ms; /**< for requests that do not set one */
	uint32_t attempts; /**< maximum attempts of one request */
	/**
	 * weight of batch throughput (1) against harm to online requests (0)
	 */
	double trade;
	uint32_t queue_limit; /**< maximum online requests queued per VM */
	uint32_t server_slots; /**< estimated concurrent requests of a server */
	/** home domains of keys, in order */
	char key_domains[8][JJ_NAME_MAX + 1];
	uint32_t key_domain_count;
	jj_model_wish_t model_wish;
} jj_service_t;

/** Limits of one team. */
typedef struct {
	jj_name_t name;
	double weight; /**< weight of the fair share; default 1 */
	/** maximum concurrent online requests, 0: no limit */
	uint32_t in_flight;
} jj_team_t;

typedef struct jj_config jj_config_t;

jj_config_t *jj_config_create(const jj_config_settings_t *settings);
void jj_config_destroy(jj_config_t *config);

/** The adopted version; 0: none yet. */
uint64_t jj_config_version(const jj_config_t *config);
/** The adopted stored object (JSON text as in OBJECTS.md), or NULL. */
const jj_bytes_t *jj_config_object(const jj_config_t *config);
/** The service or NULL; valid until the next adoption. */
const jj_service_t *
jj_config_service(const jj_config_t *config, const char *name);
const jj_service_t *
jj_config_services(const jj_config_t *config, size_t *count);
/** The team's limits; the defaults when it has none of its own. */
jj_team_t jj_config_team(const jj_config_t *config, const char *name);

/**
 * Adopts a stored object from a neighbour or the platform when it is newer and
 * valid; then adds JJ_ACTION_CONFIG_ADOPTED.
 * @return true when adopted.
 */
bool jj_config_take(
    jj_config_t *config, const jj_bytes_t *object, jj_actions_t *out);
/**
 * Begins a patch: @p patch is a JSON Merge Patch, @p base_version the version
 * that the operator saw (0: none exists). Ends with one JJ_ACTION_CONFIG_ANSWER
 * for @p operation: 200 applied (also when an earlier attempt with the same @p
 * operation_key was applied: then with that version), 412 another version is
 * current, 422 invalid (states field, value, bound; nothing changed), 503 the
 * platform does not answer (states whether the outcome is unknown, and that a
 * resend with the same operation key is safe).
 */
void jj_config_patch(jj_config_t *config, uint64_t operation,
    uint64_t operation_key, const char *operator_name, uint64_t base_version,
    const jj_bytes_t *patch, jj_ms_t now, jj_actions_t *out);
/** Reads the newest configuration from the platform. */
void jj_config_refresh(jj_config_t *config, jj_ms_t now, jj_actions_t *out);
/** A platform result with owner JJ_OWNER_CONFIG. */
void jj_config_take_result(jj_config_t *config,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Retries failed calls of patches; abandons patches that time out. */
void jj_config_tick(jj_config_t *config, jj_ms_t now, jj_actions_t *out);
/** When the next tick is due. */
jj_ms_t jj_config_next(const jj_config_t *config);

/**
 * Checks a configuration document.
 * @return true when valid; else @p why states field, value and bound.
 */
bool jj_config_check(const json_t *document, char *why, size_t why_size);

/**
 * Checks that a change does not move the keys of a non-idempotent service to
 * other failure domains. While VMs differ in version, or after a key was used,
 * two domains would each run it. A new service under a new name may have other
 * domains.
 */
bool jj_config_check_change(
    const json_t *before, const json_t *after, char *why, size_t why_size);

#endif
