/**
 * @file jujubeswitch.h
 * @brief libjujubeswitch: what a program that uses the library may call.
 *
 * In the order a user meets the modules:
 *
 * 1. text, bytes and hashes
 * 2. settings of a VM
 * 3. the numbered configuration
 * 4. the core: events and time in, actions out
 * 5. actions: what the core asks for
 *
 * The types are declared and described where their modules are; the functions
 * stand here again, one plain line each, and the compiler holds both alike.
 * The library starts no thread and reads no clock in these functions: every
 * time is a jj_ms_t that the caller passes in, in milliseconds of a clock
 * that never steps back. Functions of one core must not run at the same time;
 * several cores in one process share nothing.
 */
#ifndef JUJUBESWITCH_H
#define JUJUBESWITCH_H

#ifdef __cplusplus
extern "C" {
#endif

#include "adapters/settings.h"
#include "core/config.h"
#include "core/core.h"
#include "core/types.h"

/** Version of the library, its daemon and its client. */
#define JJ_VERSION "0.1.0"

/*
 * Text, bytes and hashes
 */

/** Copies text into a name; false and an empty name when it is too long. */
bool jj_name_set(jj_name_t *name, const char *text);
/** True when both names are the same. */
bool jj_name_equal(const jj_name_t *a, const jj_name_t *b);
/** Copies bytes to the heap; free them by jj_bytes_free. */
jj_bytes_t jj_bytes_copy(const void *data, size_t size);
/** Copies a NUL-terminated string to the heap. */
jj_bytes_t jj_bytes_from_text(const char *text);
/** Frees bytes and empties the struct. */
void jj_bytes_free(jj_bytes_t *bytes);
/** 64-bit hash of bytes, the one that request fingerprints use. */
uint64_t jj_hash_bytes(const void *data, size_t size, uint64_t seed);
/** 128-bit hash of bytes, the one that idempotency keys use. */
jj_hash_t jj_hash_wide(const void *data, size_t size);
/** Rendezvous hashing: the node with the greatest weight has the item. */
uint64_t jj_rendezvous_weight(const char *node, uint64_t item);

/*
 * Settings of a VM
 */

/** Loads and checks a TOML file; false and a line in @p why when wrong. */
bool jj_settings_load(
    jj_settings_t *settings, const char *path, char *why, size_t why_size);
/** The same from text; @p name stands for the file in @p why. */
bool jj_settings_parse(jj_settings_t *settings, const char *text, size_t size,
    const char *name, char *why, size_t why_size);
/** Frees what the settings own. */
void jj_settings_clear(jj_settings_t *settings);
/** All keys with bounds, default and reason, as a Markdown table. */
jj_bytes_t jj_settings_describe(void);

/*
 * The numbered configuration
 */

/** Checks a document; false and field, value and bound in @p why. */
bool jj_config_check(const json_t *document, char *why, size_t why_size);
/** Number of the configuration in force; 0: none is known yet. */
uint64_t jj_config_version(const jj_config_t *config);
/** One service of the configuration in force, or NULL. */
const jj_service_t *
jj_config_service(const jj_config_t *config, const char *name);
/** All services of the configuration in force. */
const jj_service_t *
jj_config_services(const jj_config_t *config, size_t *count);

/*
 * The core
 */

/** Creates the control of one VM; settings are copied. */
jj_core_t *jj_core_create(const jj_core_settings_t *settings);
/** Frees a core. */
void jj_core_destroy(jj_core_t *core);
/** Tells a VM known from the settings. */
void jj_core_learn_vm(jj_core_t *core, const jj_name_t *name,
    const jj_name_t *domain, const char *address);
/** Tells a backend server known from the settings. */
void jj_core_learn_server(jj_core_t *core, const jj_server_t *server);
/** Takes one event at a time; appends what is to be done. */
void jj_core_handle(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/** When the next JJ_EVENT_TICK is due; JJ_MS_NEVER: not before an event. */
jj_ms_t jj_core_next(const jj_core_t *core);
/** True when nothing is left to do before a planned stop. */
bool jj_core_is_idle(const jj_core_t *core);
/** Address of a VM to send a message to; NULL when unknown. */
const char *jj_core_address(const jj_core_t *core, const jj_name_t *name);
/** The configuration this core has adopted. */
const jj_config_t *jj_core_config(const jj_core_t *core);
/** How many batch items this VM may have at its servers at once. */
uint32_t jj_core_batch_limit(const jj_core_t *core, jj_ms_t now);

/*
 * Actions
 */

/** Frees one action that was taken off its list. */
void jj_action_free(jj_action_t *action);
/** Frees all actions of a list. */
void jj_actions_clear(jj_actions_t *actions);

#ifdef __cplusplus
}
#endif

#endif
