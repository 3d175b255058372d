/**
 * @file attempt_end.h
 * @brief Maps the end of an HTTP request to the result of an attempt.
 */
#ifndef JJ_DAEMON_ATTEMPT_END_H
#define JJ_DAEMON_ATTEMPT_END_H

#include "adapters/http_client.h"
#include "core/dispatch.h"

/** Result of an attempt whose answer is not complete. */
jj_backend_kind_t jj_attempt_kind_of_end(jj_http_end_t end);

#endif
