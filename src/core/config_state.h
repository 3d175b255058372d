/**
 * @file config_state.h
 * @brief State shared by config.c and config_patch.c; private to them.
 */
#ifndef JJ_CORE_CONFIG_STATE_H
#define JJ_CORE_CONFIG_STATE_H

#include <sys/queue.h>

#include "core/config.h"

/** Platform key of the current configuration. */
#define JJ_CONFIG_KEY "config/current"
/** Token of a refresh; tokens of patches count from 1. */
#define JJ_CONFIG_REFRESH 0

/** One patch in progress. */
typedef struct jj_config_patch jj_config_patch_t;
TAILQ_HEAD(jj_config_patches, jj_config_patch);

struct jj_config {
	jj_config_settings_t settings;
	uint64_t version;
	jj_bytes_t object;
	jj_service_t *services; /**< ordered by name */
	size_t service_count;
	jj_team_t *teams; /**< ordered by name */
	size_t team_count;
	uint64_t patch_count;
	struct jj_config_patches patches;
};

/** Frees all patches without an answer. */
void jj_config_patches_clear(jj_config_t *config);
/** Handles a platform result whose token belongs to a patch. */
void jj_config_patches_take_result(jj_config_t *config,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);

#endif
