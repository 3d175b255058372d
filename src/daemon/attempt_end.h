/**
 * @file attempt_end.h
 * @brief What the end of an HTTP exchange with a server means for its attempt.
 */
#ifndef JJ_DAEMON_ATTEMPT_END_H
#define JJ_DAEMON_ATTEMPT_END_H

#include "adapters/http_client.h"
#include "core/dispatch.h"

/** How an attempt ended whose answer is not whole. */
jj_backend_kind_t jj_attempt_kind_of_end(jj_http_end_t end);

#endif
