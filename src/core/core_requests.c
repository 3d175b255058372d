/**
 * @file core_requests.c
 * @brief Handles requests and non-idempotent calls in the core.
 */
#include <stdio.h>
#include <string.h>

#include "core/core_updates.h"
#include "core/core_requests.h"
#include "core/core_state.h"

static void begin_call(jj_core_t *, const jj_event_t *, const jj_service_t *,
    jj_ms_t, jj_actions_t *);
static void end_call(jj_core_t *, uint64_t, jj_call_outcome_t, int,
    const jj_bytes_t *, jj_ms_t, jj_ms_t, jj_actions_t *);
static void refuse_request(jj_actions_t *, const jj_event_t *, jj_failure_t);
static void refuse_unknown_key(jj_actions_t *, uint64_t);

void
jj_core_take_request(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	const jj_service_t *service;
	jj_request_t request = event->body.request.request;

	if (jj_config_version(core->config) == 0) {
		refuse_request(out, event, JJ_FAILURE_NO_CONFIG);
		return;
	}
	service = jj_config_service(core->config, request.service.text);
	if (service == NULL) {
		/* A newer configuration than ours may have it. */
		refuse_request(out, event,
		    jj_member_newest_config(core->member) >
			    jj_config_version(core->config)
			? JJ_FAILURE_NO_CONFIG
			: JJ_FAILURE_NO_SERVICE);
		return;
	}
	request.idempotent = service->idempotent;
	if (request.deadline_ms == 0)
		request.deadline_ms = now + service->deadline_ms;
	if (!service->idempotent && event->body.request.key != NULL &&
	    request.class_of == JJ_CLASS_ONLINE) {
		begin_call(core, event, service, now, out);
		return;
	}
	if (request.class_of == JJ_CLASS_BATCH && !core->leaving)
		jj_batch_backlog_add(core->batch_backlog, &request, now);
	else if (jj_core_awaits_crash_history(core, now) ||
	    jj_quarantine_check(core->quarantine, request.fingerprint, now) ==
		JJ_QUARANTINE_SUSPECT)
		jj_suspects_add(core->suspects, &request, now);
	else
		jj_dispatch_begin(core->dispatch, &request, now, out);
}

void
jj_core_cancel_request(
    jj_core_t *core, uint64_t request, jj_ms_t now, jj_actions_t *out)
{
	if (jj_batch_backlog_remove(core->batch_backlog, request))
		return;
	if (jj_suspects_remove(core->suspects, request))
		return;
	jj_dispatch_cancel(core->dispatch, request, now, out);
}

void
jj_core_start_waiting(jj_core_t *core, jj_ms_t now, jj_actions_t *out)
{
	if (!jj_core_awaits_crash_history(core, now))
		jj_suspects_tick(core->suspects, core->dispatch, now, out);
	jj_batch_backlog_pump(core->batch_backlog, core->dispatch, now, out);
}

void
jj_core_run_call(void *ctx, uint64_t run, const jj_call_t *call)
{
	jj_core_t *core = ctx;
	jj_request_t request = {0};
	jj_action_t *action;

	request.request = JJ_REQUEST_INTERNAL | run;
	request.class_of = JJ_CLASS_ONLINE;
	request.service = call->service;
	(void)jj_name_set(&request.team, "");
	request.fingerprint = call->fingerprint;
	request.idempotent = false;
	request.deadline_ms = core->now + call->budget_ms;
	action = jj_actions_add(core->out, JJ_ACTION_CALL_READY);
	action->body.item.item = request.request;
	action->body.item.service = call->service;
	action->body.item.fingerprint = call->fingerprint;
	action->body.item.due_ms = request.deadline_ms;
	action->body.item.path =
	    jj_bytes_copy(call->path.data, call->path.size);
	action->body.item.body =
	    jj_bytes_copy(call->body.data, call->body.size);
	(void)snprintf(action->body.item.key, sizeof(action->body.item.key),
	    "%s", call->key_text);
	(void)snprintf(action->body.item.trace, sizeof(action->body.item.trace),
	    "%s", call->trace);
	jj_dispatch_begin(core->dispatch, &request, core->now, core->out);
}

void
jj_core_take_backend(
    jj_core_t *core, const jj_event_t *event, jj_ms_t now, jj_actions_t *out)
{
	const jj_backend_event_t *backend = &event->body.backend.event;
	bool is_complete = backend->kind == JJ_BACKEND_DONE ||
	    backend->kind == JJ_BACKEND_REJECTED;
	bool is_call = (backend->request & JJ_REQUEST_INTERNAL) != 0;

	jj_dispatch_take_event(core->dispatch, backend, now, out);
	if (is_complete && is_call)
		end_call(core, backend->request, JJ_CALL_DONE,
		    event->body.backend.status, &event->body.backend.body, 0,
		    now, out);
}

void
jj_core_end_refused_call(
    jj_core_t *core, const jj_answer_t *answer, jj_ms_t now, jj_actions_t *out)
{
	end_call(core, answer->request,
	    answer->run == JJ_RUN_NOT_RUN ? JJ_CALL_NOT_RUN : JJ_CALL_UNKNOWN,
	    0, NULL, answer->retry_after_ms, now, out);
}

static void
begin_call(jj_core_t *core, const jj_event_t *event,
    const jj_service_t *service, jj_ms_t now, jj_actions_t *out)
{
	const jj_request_t *request = &event->body.request.request;
	const char *key = event->body.request.key;
	jj_call_t call = {0};

	if (core->leaving) {
		refuse_request(out, event, JJ_FAILURE_STOPPING);
		return;
	}
	if (service->key_domain_count == 0) {
		refuse_unknown_key(out, request->request);
		return;
	}
	(void)snprintf(call.key_text, sizeof(call.key_text), "%s", key);
	call.call = request->request;
	call.key = jj_hash_wide(key, strlen(key));
	call.fingerprint = request->fingerprint;
	call.service = request->service;
	call.budget_ms = (request->deadline_ms != 0 ? request->deadline_ms - now
						    : service->deadline_ms);
	(void)snprintf(call.trace, sizeof(call.trace), "%s",
	    event->body.request.trace != NULL ? event->body.request.trace : "");
	call.path = jj_bytes_from_text(event->body.request.path);
	call.body = event->body.request.body;
	jj_calls_begin(core->calls, request->request, service, &call, now, out);
	jj_bytes_free(&call.path);
}

static void
end_call(jj_core_t *core, uint64_t request, jj_call_outcome_t outcome,
    int status, const jj_bytes_t *body, jj_ms_t retry_after_ms, jj_ms_t now,
    jj_actions_t *out)
{
	jj_bytes_t empty = {NULL, 0};

	jj_ledger_end(core->ledger, request & ~JJ_REQUEST_INTERNAL, outcome,
	    status, body != NULL ? body : &empty, retry_after_ms, now, out);
}

/**
 * Refuses a caller's request before it is started. If it has an idempotency
 * key, an earlier attempt may have run: only the key's home could answer "not
 * run".
 */
static void
refuse_request(jj_actions_t *out, const jj_event_t *event, jj_failure_t reason)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_ANSWER);

	action->body.answer.request = event->body.request.request.request;
	action->body.answer.reason = reason;
	action->body.answer.run =
	    event->body.request.key != NULL ? JJ_RUN_UNKNOWN : JJ_RUN_NOT_RUN;
	if (reason != JJ_FAILURE_NO_SERVICE)
		action->body.answer.retry_after_ms = JJ_CALL_RETRY_AFTER_MS;
}

/**
 * Refuses a call of a non-idempotent service without home domains: two domains
 * could each run the key. No VM can ever have run it.
 */
static void
refuse_unknown_key(jj_actions_t *out, uint64_t request)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_CALL_ANSWER);

	action->body.call.call = request;
	action->body.call.answer.outcome = JJ_CALL_NOT_RUN;
}
