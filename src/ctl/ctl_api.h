/**
 * @file ctl_api.h
 * @brief Requests to a VM with their outcome in plain words.
 */
#ifndef JJ_CTL_CTL_API_H
#define JJ_CTL_CTL_API_H

#include <jansson.h>

#include "ctl/ctl_http.h"

/** Room for a key that jujubectl makes up. */
#define JJ_CTL_KEY_SIZE 32

/** The callers' interface; NULL, and a message, when none was named. */
const char *jj_ctl_callers(const jj_ctl_t *ctl);
/** The operators' interface of the first VM named; NULL with a message. */
const char *jj_ctl_operators(const jj_ctl_t *ctl);

/**
 * Judges a response and, unless it is a success, prints one line about it:
 * code, run state, when to come back.
 * @param changes the request changes something, so that a lost answer means
 * an unknown outcome.
 */
jj_ctl_exit_t jj_ctl_judge(const jj_ctl_response_t *response, bool changes);

/** Prints one line about a problem document; @p retry_after_ms 0: none. */
void
jj_ctl_warn_problem(long status, const json_t *problem, jj_ms_t retry_after_ms);

/**
 * Sends a request and parses its JSON answer.
 * @param answer NULL unless the outcome is OK; freed by json_decref.
 */
jj_ctl_exit_t
jj_ctl_ask(const jj_ctl_request_t *request, bool changes, json_t **answer);
/** GET of a path of an interface, parsed. */
jj_ctl_exit_t jj_ctl_get(const jj_ctl_t *ctl, const char *address,
    const char *path, json_t **answer);

/** Writes a new idempotency key. */
void jj_ctl_write_key(char key[JJ_CTL_KEY_SIZE]);
/** Reads a whole file, "-" for standard input; NULL with a message. */
char *jj_ctl_read_file(const char *path, size_t *size);

#endif
