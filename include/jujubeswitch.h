/**
 * @file jujubeswitch.h
 * @brief Public interface of libjujubeswitch.
 *
 * Sections, in the order in which a program usually needs them:
 *
 * 1. text, bytes and hashes
 * 2. settings of a VM
 * 3. the numbered configuration
 * 4. the core: takes events and the time, returns actions
 * 5. actions: what the core asks the program to do
 *
 * The types are declared and documented in the headers of their modules. The
 * functions are declared here a second time with a one-line summary; the
 * compiler checks that both declarations agree.
 * These functions start no thread and read no clock: every time is a jj_ms_t
 * that the program passes in, in milliseconds of a monotonic clock. Calls on
 * one core must not run concurrently; cores in one process share no state.
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

/** Copies text into a name. Too long: false, and the name is empty. */
bool jj_name_set(jj_name_t *name, const char *text);
/** True when both names are the same. */
bool jj_name_equal(const jj_name_t *a, const jj_name_t *b);
/** Copies bytes to the heap; free them with jj_bytes_free. */
jj_bytes_t jj_bytes_copy(const void *data, size_t size);
/** Copies a NUL-terminated string to the heap. */
jj_bytes_t jj_bytes_from_text(const char *text);
/** Frees bytes and empties the struct. */
void jj_bytes_free(jj_bytes_t *bytes);
/** 64-bit hash of bytes, as used for request fingerprints. */
uint64_t jj_hash_bytes(const void *data, size_t size, uint64_t seed);
/** 128-bit hash of bytes, as used for idempotency keys. */
jj_hash_t jj_hash_wide(const void *data, size_t size);
/** Rendezvous hashing: the node with the greatest weight owns the item. */
uint64_t jj_rendezvous_weight(const char *node, uint64_t item);

/*
 * Settings of a VM
 */

/** Loads and checks a TOML file. Invalid: false, one line in @p why. */
bool jj_settings_load(
    jj_settings_t *settings, const char *path, char *why, size_t why_size);
/** The same from text; @p why gives @p name in place of a file name. */
bool jj_settings_parse(jj_settings_t *settings, const char *text, size_t size,
    const char *name, char *why, size_t why_size);
/** Frees what the settings own. */
void jj_settings_clear(jj_settings_t *settings);
/** All settings with bounds, default and reason, as a Markdown table. */
jj_bytes_t jj_settings_describe(void);

/*
 * The numbered configuration
 */

/** Checks a document. Invalid: false; @p why: field, value and bound. */
bool jj_config_check(const json_t *document, char *why, size_t why_size);
/** Version number of the configuration in force; 0: none yet. */
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

/** Creates the core of one VM; the settings are copied. */
jj_core_t *jj_core_create(const jj_core_settings_t *settings);
/** Frees a core. */
void jj_core_destroy(jj_core_t *core);
/** Adds a VM that is listed in the settings. */
void jj_core_add_vm(jj_core_t *core, const jj_name_t *name,
    const jj_name_t *domain, const char *address);
/** Adds a backend server that is listed in the settings. */
void jj_core_add_server(jj_core_t *core, const jj_server_t *server);
/** Handles one event; appends the resulting actions to @p out. */
void jj_core_handle(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out);
/** When the next JJ_EVENT_TICK is due; JJ_MS_NEVER: only after an event. */
jj_ms_t jj_core_next(const jj_core_t *core);
/** True when a planned stop has no work left to wait for. */
bool jj_core_is_idle(const jj_core_t *core);
/** Address of a VM to send a message to; NULL when unknown. */
const char *jj_core_address(const jj_core_t *core, const jj_name_t *name);
/** The configuration this core has adopted. */
const jj_config_t *jj_core_config(const jj_core_t *core);
/** Maximum number of batch items in flight from this VM at @p now. */
uint32_t jj_core_batch_limit(const jj_core_t *core, jj_ms_t now);

/*
 * Actions
 */

/** Frees one action that was removed from its list. */
void jj_action_free(jj_action_t *action);
/** Frees all actions of a list. */
void jj_actions_clear(jj_actions_t *actions);

#ifdef __cplusplus
}
#endif

#endif
