/**
 * @file config.h
 * @brief The numbered configuration: patches, spread, no way back.
 *
 * `config/current` at the platform is the truth: a patch is a JSON Merge
 * Patch against one version, applied by one conditional update. A VM adopts
 * any newer version from wherever it comes (watch, neighbour, own patch) and
 * never an older one.
 */
#ifndef JJ_CORE_CONFIG_H
#define JJ_CORE_CONFIG_H

#include <jansson.h>

#include "core/action.h"

typedef struct {
	char writer[JJ_NAME_MAX + 20]; /**< NAME/HEX16 of this process */
	uint64_t seed; /**< for operation numbers */
	jj_ms_t call_timeout_ms; /**< give a patch up after; 4000 */
} jj_config_settings_t;

typedef enum {
	JJ_SERVICE_MODEL,
	JJ_SERVICE_PLAIN,
} jj_service_kind_t;

/** What a service's model engines shall have loaded; empty: no wish. */
typedef struct {
	char model[JJ_NAME_MAX + 1];
	char version[JJ_NAME_MAX + 1];
	char role[JJ_NAME_MAX + 1];
} jj_model_wish_t;

/** One service as the configuration decides it; plain to read. */
typedef struct {
	jj_name_t name;
	jj_service_kind_t kind;
	bool idempotent; /**< false: runs at most once per key */
	jj_ms_t timeout_ms; /**< one attempt at a backend server */
	jj_ms_t deadline_ms; /**< of a request that names none */
	uint32_t attempts; /**< most attempts of one request */
	double trade; /**< batch throughput (1) against harm (0) */
	uint32_t queue_limit; /**< online requests that may wait per VM */
	uint32_t server_slots; /**< requests a server runs at once, hint */
	char key_domains[8][JJ_NAME_MAX + 1]; /**< homes of keys, in order */
	uint32_t key_domain_count;
	jj_model_wish_t model_wish;
} jj_service_t;

/** One team's share. */
typedef struct {
	jj_name_t name;
	double weight; /**< of the fair share; 1 by default */
	uint32_t in_flight; /**< most online requests at once, 0: no limit */
} jj_team_t;

typedef struct jj_config jj_config_t;

jj_config_t *jj_config_create(const jj_config_settings_t *settings);
void jj_config_destroy(jj_config_t *config);

/** The version in force; 0: none known yet. */
uint64_t jj_config_version(const jj_config_t *config);
/** The stored object in force (JSON text as in OBJECTS.md), or NULL. */
const jj_bytes_t *jj_config_object(const jj_config_t *config);
/** The service or NULL; valid until the next adoption. */
const jj_service_t *
jj_config_service(const jj_config_t *config, const char *name);
const jj_service_t *
jj_config_services(const jj_config_t *config, size_t *count);
/** The team's share, the default's when it has none of its own. */
jj_team_t jj_config_team(const jj_config_t *config, const char *name);

/**
 * Takes a stored object from a neighbour or the platform. Adopts it only
 * when it is newer and valid; then adds JJ_ACTION_CONFIG_ADOPTED.
 * @return true when adopted.
 */
bool jj_config_take(
    jj_config_t *config, const jj_bytes_t *object, jj_actions_t *out);
/**
 * Begins a patch: @p patch is a JSON Merge Patch, @p base_version what the
 * operator saw (0: there is none yet). Ends with one JJ_ACTION_CONFIG_ANSWER
 * for @p operation: 200 applied (also when an earlier try with the same
 * @p operation_key was applied: then that version), 412 another version is
 * current, 422 invalid (names field, value, bound; nothing changed), 503 the
 * platform does not answer (says that the outcome is unknown, and that a
 * resend with the same operation key is safe).
 */
void jj_config_patch(jj_config_t *config, uint64_t operation,
    uint64_t operation_key, const char *operator_name, uint64_t base_version,
    const jj_bytes_t *patch, jj_ms_t now, jj_actions_t *out);
/** Asks the platform for the newest configuration. */
void jj_config_refresh(jj_config_t *config, jj_ms_t now, jj_actions_t *out);
/** A platform result with owner JJ_OWNER_CONFIG. */
void jj_config_take_result(jj_config_t *config,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Repeats calls of patches that failed, gives up those that wait too long. */
void jj_config_tick(jj_config_t *config, jj_ms_t now, jj_actions_t *out);
/** When the next tick is due. */
jj_ms_t jj_config_next(const jj_config_t *config);

/**
 * Checks a configuration document.
 * @return true when valid; else @p why names field, value and bound.
 */
bool jj_config_check(const json_t *document, char *why, size_t why_size);

/**
 * Checks what a change may not do: move the keys of a non-idempotent service
 * to other failure domains. While VMs differ in version, or after a key was
 * used, two domains would each run it. A new service under a new name can.
 */
bool jj_config_check_change(
    const json_t *before, const json_t *after, char *why, size_t why_size);

#endif
