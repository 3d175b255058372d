/**
 * @file attempt_end.c
 * @brief Maps the end of an HTTP request to the result of an attempt.
 */
#include "daemon/attempt_end.h"

jj_backend_kind_t
jj_attempt_kind_of_end(jj_http_end_t end)
{
	switch (end) {
	case JJ_HTTP_NOT_SENT:
		return JJ_BACKEND_NOT_SENT;
	case JJ_HTTP_TIMEOUT:
		return JJ_BACKEND_TIMEOUT;
	case JJ_HTTP_CANCELLED:
		return JJ_BACKEND_CANCELLED;
	case JJ_HTTP_BROKEN:
	case JJ_HTTP_COMPLETE:
		break;
	}
	return JJ_BACKEND_BROKEN;
}
