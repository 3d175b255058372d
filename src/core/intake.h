/**
 * @file intake.h
 * @brief Upload of a batch file: JSON lines, stored in parts at the platform.
 *
 * Input is accepted only while few parts wait for the platform. So a file of
 * hundreds of megabytes takes bounded memory and leaves bandwidth to online
 * requests. The file exists once its manifest is written, after all parts.
 */
#ifndef JJ_CORE_INTAKE_H
#define JJ_CORE_INTAKE_H

#include "core/action.h"

/** Maximum length of a line's custom_id, bytes. */
#define JJ_CUSTOM_ID_MAX 255

typedef struct {
	uint32_t part_items; /**< maximum items of a part; default 500 */
	size_t part_bytes; /**< maximum bytes of a part's lines; 700000 */
	size_t line_bytes; /**< maximum length of a line; default 262144 */
	uint32_t file_items; /**< maximum items of a file; default 400000 */
	uint32_t parts_pending; /**< maximum unwritten parts; default 2 */
	uint32_t tries; /**< of one write; default 6 */
	jj_ms_t retry_ms; /**< wait before the first retry, doubles; default
			       200 */
	char writer[JJ_NAME_MAX + 20];
	uint64_t seed;
} jj_intake_settings_t;

/** One upload. */
typedef struct jj_intake jj_intake_t;

/** @p token: of all its platform calls (owner JJ_OWNER_INTAKE). */
jj_intake_t *jj_intake_create(
    const jj_intake_settings_t *settings, uint64_t token, const char *team);
void jj_intake_destroy(jj_intake_t *intake);

/** The file's id, 24 hex digits. */
const char *jj_intake_id(const jj_intake_t *intake);
/**
 * Reads the next bytes of the upload, until `parts_pending` parts wait.
 * @return how many bytes were consumed.
 */
size_t jj_intake_feed(jj_intake_t *intake, const char *data, size_t size,
    jj_ms_t now, jj_actions_t *out);
/** Ends the input: the last part and then the manifest are written. */
void jj_intake_finish(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out);
/** Handles a platform result with owner JJ_OWNER_INTAKE and this token. */
void jj_intake_take_result(jj_intake_t *intake,
    const jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out);
/** Retries a write that is due. */
void jj_intake_tick(jj_intake_t *intake, jj_ms_t now, jj_actions_t *out);
/** Time at which jj_intake_tick is due next; JJ_MS_NEVER for nothing. */
jj_ms_t jj_intake_next(const jj_intake_t *intake);
/** True when jj_intake_feed would consume bytes. */
bool jj_intake_accepts_input(const jj_intake_t *intake);

typedef enum {
	JJ_INTAKE_OPEN, /**< under way */
	JJ_INTAKE_DONE, /**< durable: the manifest is written */
	JJ_INTAKE_INVALID, /**< invalid file; see jj_intake_detail */
	JJ_INTAKE_FAILED, /**< platform can't store it: 503, retry */
} jj_intake_state_t;

jj_intake_state_t jj_intake_state(const jj_intake_t *intake);
/** Text for the caller on what is wrong, with the number of a bad line. */
const char *jj_intake_detail(const jj_intake_t *intake);
/** The file as JSON for the caller (id, bytes, items) once DONE. */
jj_bytes_t jj_intake_describe(const jj_intake_t *intake);

/**
 * Checks one line of a batch file: {"custom_id","method","url","body"}.
 * Doesn't check whether the custom_id is unique in the file.
 * @return true when valid; else @p why is set to what is wrong.
 */
bool
jj_intake_check_line(const char *line, size_t size, char *why, size_t why_size);

#endif
