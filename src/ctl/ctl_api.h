/**
 * @file ctl_api.h
 * @brief Sends requests to a VM and prints an error message when they fail.
 */
#ifndef JJ_CTL_CTL_API_H
#define JJ_CTL_CTL_API_H

#include <jansson.h>

#include "ctl/ctl_http.h"

/** Size of a buffer for a generated idempotency key, bytes. */
#define JJ_CTL_KEY_SIZE 32

/** Address of the callers' interface; NULL with a message when not given. */
const char *jj_ctl_callers_address(const jj_ctl_t *ctl);
/** The same of the operators' interface; of several, the first. */
const char *jj_ctl_operators_address(const jj_ctl_t *ctl);

/**
 * Maps a response to an exit code. Unless it is a success, prints one line:
 * error code, run state, delay before a retry.
 * @param changes the request changes state, so a lost answer means an unknown
 * outcome.
 */
jj_ctl_exit_t
jj_ctl_check_response(const jj_ctl_response_t *response, bool changes);

/**
 * Prints one line about a problem document.
 * @param retry_after_ms used when the document has no retry delay; 0: none
 */
void
jj_ctl_warn_problem(long status, const json_t *problem, jj_ms_t retry_after_ms);

/**
 * Sends a request and parses its JSON answer.
 * @param answer NULL unless the outcome is OK; free it with json_decref.
 */
jj_ctl_exit_t jj_ctl_fetch_json(
    const jj_ctl_request_t *request, bool changes, json_t **answer);
/** Gets a path of an interface and parses the JSON answer. */
jj_ctl_exit_t jj_ctl_get(const jj_ctl_t *ctl, const char *address,
    const char *path, json_t **answer);

/** Generates a random idempotency key. */
void jj_ctl_generate_key(char key[JJ_CTL_KEY_SIZE]);
/** Reads a whole file ("-": standard input); NULL with a message. */
char *jj_ctl_read_file(const char *path, size_t *size);

#endif
