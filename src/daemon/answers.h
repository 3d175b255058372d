/**
 * @file answers.h
 * @brief Final answers to callers: problem documents (RFC 9457).
 *
 * Each has a stable code, a text for people that describes the failure,
 * whether the request was run ("not_run", "run" or "unknown") and when to
 * retry.
 */
#ifndef JJ_DAEMON_ANSWERS_H
#define JJ_DAEMON_ANSWERS_H

#include "adapters/http_server.h"
#include "core/action.h"

/** Content of a problem document. */
typedef struct {
	int status;
	const char *code; /**< stable, for programs */
	const char *title;
	const char *detail; /**< NULL: nothing to add to the title */
	const char *run; /**< "not_run", "run", "unknown" or NULL */
	jj_ms_t retry_after_ms; /**< 0: the caller should not retry */
} jj_problem_t;

/** Writes the problem document as JSON text. */
jj_bytes_t jj_problem_write(const jj_problem_t *problem);
/** Answers a call with a problem. */
void jj_answer_problem(jj_http_call_t *call, const jj_problem_t *problem);
/** Answers a call with JSON text and a Retry-After when one is given. */
void jj_answer_json(jj_http_call_t *call, int status, const jj_bytes_t *json,
    jj_ms_t retry_after_ms);
/** The problem of a request that the core abandoned. */
jj_problem_t jj_problem_of_failure(const jj_answer_t *answer);
/** The problem of a non-idempotent call that has no server's answer. */
jj_problem_t jj_problem_of_call(const jj_call_answer_t *answer);

#endif
