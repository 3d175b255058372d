/**
 * @file intake.h
 * @brief Upload of a batch file: JSON lines cut into parts at the platform.
 *
 * The upload is paced: at most a few parts wait for the platform, so a file
 * of hundreds of megabytes takes bounded memory here, and online requests
 * keep the process's bandwidth. The file exists once its manifest does.
 */
#ifndef JJ_CORE_INTAKE_H
#define JJ_CORE_INTAKE_H

#include "core/action.h"

/** Longest custom_id of a line, bytes. */
#define JJ_CUSTOM_ID_MAX 255

typedef struct {
	uint32_t part_items; /**< most items of a part; default 500 */
	size_t part_bytes; /**< most bytes of a part's lines; 700000 */
	size_t line_bytes; /**< longest line; default 262144 */
	uint32_t file_items; /**< most items of a file; default 400000 */
	uint32_t parts_pending; /**< most parts under way; default 2 */
	uint32_t tries; /**< of one write; default 6 */
	jj_ms_t retry_ms; /**< first wait, doubles; default 200 */
	char writer[JJ_NAME_MAX + 20];
	uint64_t seed;
} jj_intake_settings_t;

/** One upload. */
typedef struct jj_intake jj_intake_t;

/** @p token: number its platform calls carry (owner JJ_OWNER_INTAKE). */
jj_intake_t *jj_intake_create(
    const jj_intake_settings_t *settings, uint64_t token, const char *team);
void jj_intake_destroy(jj_intake_t *intake);

/** The file's id, 24 hex digits. */
const char *jj_intake_id(const jj_intake_t *intake);
/**
 * Takes the next bytes of the upload; takes fewer when parts are pending.
 * @return how many bytes were taken.
 */
size_t jj_intake_feed(jj_intake_t *intake, const char *data, size_t size,
    jj_ms_t now, jj_actions_t *out);
/** The upload is complete: the last part and the manifest follow. */
void jj_intake_finish(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out);
/** A platform result with owner JJ_OWNER_INTAKE and this token. */
void jj_intake_take_result(jj_intake_t *intake,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Repeats writes whose wait is over. */
void jj_intake_tick(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_intake_next(const jj_intake_t *intake);
/** True when jj_intake_feed would take bytes. */
bool jj_intake_wants_more(const jj_intake_t *intake);

typedef enum {
	JJ_INTAKE_OPEN,
	JJ_INTAKE_DONE, /**< durable: the manifest is written */
	JJ_INTAKE_INVALID, /**< a line is bad; see jj_intake_detail */
	JJ_INTAKE_FAILED, /**< the platform did not take it: 503, try again */
} jj_intake_state_t;

jj_intake_state_t jj_intake_state(const jj_intake_t *intake);
/** Plain words on what is wrong, with the line's number. */
const char *jj_intake_detail(const jj_intake_t *intake);
/** The file as JSON for the caller (id, bytes, items) once DONE. */
jj_bytes_t jj_intake_describe(const jj_intake_t *intake);

/**
 * Checks one line of a batch file: {"custom_id","method","url","body"}.
 * Whether the custom_id is unique is the upload's to check, not the line's.
 * @return true when valid; else @p why says what is wrong.
 */
bool
jj_intake_check_line(const char *line, size_t size, char *why, size_t why_size);

#endif
