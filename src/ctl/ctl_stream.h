/**
 * @file ctl_stream.h
 * @brief Prints a streamed completion as it arrives.
 */
#ifndef JJ_CTL_CTL_STREAM_H
#define JJ_CTL_CTL_STREAM_H

#include "ctl/ctl_http.h"

/**
 * Sends a request with "stream":true and prints the tokens. OK only when
 * the final event (`data: [DONE]`) was received.
 */
jj_ctl_exit_t jj_ctl_stream(jj_ctl_request_t *request);

#endif
