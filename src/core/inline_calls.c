/**
 * @file inline_calls.c
 * @brief Platform calls of inline jobs: retries, backoff, reads in parts.
 */
#include <stdio.h>
#include <string.h>

#include "core/inline_state.h"

jj_platform_call_t *
jj_inline_start_call(jj_inline_t *jobs, jj_inline_call_t *call,
    jj_platform_op_t op, jj_actions_t *out)
{
	call->token = ++jobs->last_token;
	call->due_ms = JJ_MS_NEVER;
	return jj_actions_add_platform(out, JJ_OWNER_INLINE, op, call->token);
}

void
jj_inline_schedule_call(jj_inline_call_t *call, jj_ms_t now)
{
	call->token = 0;
	call->failures = 0;
	call->due_ms = now;
}

void
jj_inline_back_off(const jj_inline_t *jobs, jj_inline_call_t *call, jj_ms_t now)
{
	jj_ms_t wait = jobs->settings.retry_ms;
	uint32_t i;

	for (i = 0; i < call->failures && wait < jobs->settings.retry_most_ms;
	     i++)
		wait *= 2;
	if (wait > jobs->settings.retry_most_ms)
		wait = jobs->settings.retry_most_ms;
	call->token = 0;
	call->failures++;
	call->due_ms = now + wait;
}

void
jj_inline_end_call(jj_inline_call_t *call)
{
	call->token = 0;
	call->failures = 0;
	call->due_ms = JJ_MS_NEVER;
}

bool
jj_inline_is_due(const jj_inline_call_t *call, jj_ms_t now)
{
	return call->token == 0 && now >= call->due_ms;
}

void
jj_inline_step_load(
    jj_inline_t *jobs, jj_inline_load_t *load, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_call_t *call;

	if (!jj_inline_is_due(&load->call, now))
		return;
	call = jj_inline_start_call(jobs, &load->call, JJ_PLATFORM_GET, out);
	if (load->parts == 0)
		(void)snprintf(call->key, sizeof(call->key), "%s%s",
		    JJ_INLINE_JOBS, load->id);
	else
		(void)snprintf(call->key, sizeof(call->key), "%s%s.%u",
		    JJ_INLINE_PARTS, load->id, load->next_part);
}

jj_inline_load_result_t
jj_inline_take_load(jj_inline_t *jobs, jj_inline_load_t *load,
    const jj_platform_result_t *result, jj_ms_t now)
{
	if (result->outcome == JJ_PLATFORM_ABSENT) {
		jj_inline_end_call(&load->call);
		return load->parts == 0 ? JJ_LOAD_ABSENT : JJ_LOAD_MALFORMED;
	}
	if (result->outcome != JJ_PLATFORM_OK) {
		jj_inline_back_off(jobs, &load->call, now);
		return JJ_LOAD_MORE;
	}
	if (load->parts == 0) {
		load->parts = jj_inline_decode_split(&result->value);
		if (load->parts == 0) {
			jj_inline_end_call(&load->call);
			load->text = jj_bytes_copy(
			    result->value.data, result->value.size);
			return JJ_LOAD_DONE;
		}
	} else if (!jj_inline_append_part(&load->text, &result->value)) {
		jj_inline_end_call(&load->call);
		return JJ_LOAD_MALFORMED;
	} else if (++load->next_part == load->parts) {
		jj_inline_end_call(&load->call);
		return JJ_LOAD_DONE;
	}
	jj_inline_schedule_call(&load->call, now);
	return JJ_LOAD_MORE;
}

void
jj_inline_clear_load(jj_inline_load_t *load)
{
	jj_bytes_free(&load->text);
	load->parts = 0;
	load->next_part = 0;
	jj_inline_end_call(&load->call);
}

bool
jj_inline_had_no_effect(jj_platform_outcome_t outcome)
{
	return outcome == JJ_PLATFORM_DOWN || outcome == JJ_PLATFORM_LIMITED;
}
