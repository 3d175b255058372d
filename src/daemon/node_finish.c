/**
 * @file node_finish.c
 * @brief Ends exchanges: each is removed from the relay and answered once.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/monotonic.h"
#include "daemon/answers.h"
#include "daemon/node.h"

static void end_with_problem(jj_exchange_t *, bool, const jj_problem_t *);
static jj_item_outcome_t outcome_of(const jj_answer_t *);
static void send_response(jj_exchange_t *, bool, const jj_backend_answer_t *);
static void log_answer(const jj_exchange_t *, int, const char *, const char *);

void
jj_node_finish_failed(jj_node_t *node, const jj_answer_t *answer)
{
	jj_problem_t problem = jj_problem_of_failure(answer);
	jj_exchange_t exchange;
	bool relayed;

	if (!jj_relay_take(node->relay, answer->request, &exchange, &relayed))
		return;
	if (exchange.kind == JJ_EXCHANGE_ITEM)
		jj_node_post_item_end(node, answer->request & ~JJ_REQUEST_ITEM,
		    outcome_of(answer), 0, NULL);
	else if (exchange.kind == JJ_EXCHANGE_CALLER)
		end_with_problem(&exchange, relayed, &problem);
	if (exchange.kind != JJ_EXCHANGE_CALLER)
		jj_trace_end(&exchange.span, true, jj_unix_now_ns());
	jj_exchange_clear(&exchange);
}

void
jj_node_finish_call(
    jj_node_t *node, uint64_t request, const jj_call_answer_t *answer)
{
	jj_problem_t problem = jj_problem_of_call(answer);
	jj_backend_answer_t response = {
	    answer->status, "application/json", answer->body};
	jj_exchange_t exchange;
	bool relayed;

	if (!jj_relay_take(node->relay, request, &exchange, &relayed))
		return;
	/* An empty body would be taken for the complete answer. */
	if (answer->outcome == JJ_CALL_DONE ||
	    (answer->outcome == JJ_CALL_REPLAYED && answer->body.size > 0))
		send_response(
		    &exchange, answer->outcome == JJ_CALL_REPLAYED, &response);
	else
		end_with_problem(&exchange, relayed, &problem);
	jj_exchange_clear(&exchange);
}

void
jj_node_finish_response(jj_node_t *node, uint64_t request, bool rejected,
    jj_backend_answer_t *response)
{
	jj_exchange_t exchange;
	bool relayed;

	if (!jj_relay_take(node->relay, request, &exchange, &relayed))
		return;
	if (exchange.kind == JJ_EXCHANGE_ITEM) {
		jj_node_post_item_end(node, request & ~JJ_REQUEST_ITEM,
		    rejected ? JJ_ITEM_REFUSED : JJ_ITEM_DONE, response->status,
		    &response->body);
	} else if (exchange.kind == JJ_EXCHANGE_CALLER) {
		if (relayed) {
			log_answer(&exchange, 200, "streamed", "run");
			jj_trace_end(&exchange.span, false, jj_unix_now_ns());
			jj_http_call_end_stream(exchange.call, false);
		} else {
			send_response(&exchange, false, response);
		}
	}
	if (exchange.kind != JJ_EXCHANGE_CALLER)
		jj_trace_end(&exchange.span, rejected, jj_unix_now_ns());
	jj_exchange_clear(&exchange);
}

void
jj_node_drop_exchange(jj_node_t *node, uint64_t request)
{
	jj_exchange_t exchange;
	bool relayed;

	if (!jj_relay_take(node->relay, request, &exchange, &relayed))
		return;
	if (exchange.kind == JJ_EXCHANGE_CALLER) {
		log_answer(&exchange, 499, "caller_gone", "unknown");
		jj_trace_end(&exchange.span, true, jj_unix_now_ns());
		jj_http_call_end_stream(exchange.call, true);
	}
	jj_exchange_clear(&exchange);
}

/**
 * Answers a caller with a problem. A stream that has begun ends with an error
 * event and a broken connection, so that it can't be taken for complete.
 */
static void
end_with_problem(
    jj_exchange_t *exchange, bool relayed, const jj_problem_t *problem)
{
	jj_bytes_t text;
	char *event;
	int size;

	log_answer(exchange, problem->status, problem->code, problem->run);
	jj_trace_set(&exchange->span, "code", problem->code);
	jj_trace_end(&exchange->span, true, jj_unix_now_ns());
	if (!relayed) {
		jj_answer_problem(exchange->call, problem);
		return;
	}
	text = jj_problem_write(problem);
	event = jj_alloc(text.size + 64);
	size = snprintf(event, text.size + 64,
	    "event: error\ndata: {\"error\":%s}\n\n", text.data);
	(void)jj_http_call_write(exchange->call, event, (size_t)size, true);
	jj_http_call_end_stream(exchange->call, true);
	free(event);
	jj_bytes_free(&text);
}

static void
send_response(
    jj_exchange_t *exchange, bool replayed, const jj_backend_answer_t *response)
{
	jj_http_answer_t answer = {response->status,
	    response->content_type[0] != '\0' ? response->content_type
					      : "application/json",
	    {{"X-Request-Id", exchange->operation_id},
		{replayed ? "Jujube-Replayed" : NULL, "true"}, {NULL, NULL}},
	    NULL, 0};

	log_answer(exchange, response->status,
	    replayed ? "replayed" : "answered", "run");
	jj_trace_end(
	    &exchange->span, response->status >= 400, jj_unix_now_ns());
	jj_http_call_answer(
	    exchange->call, &answer, response->body.data, response->body.size);
}

static jj_item_outcome_t
outcome_of(const jj_answer_t *answer)
{
	/* An unsent item may be retried, even if it is non-idempotent. */
	if (answer->run == JJ_RUN_NOT_RUN)
		return JJ_ITEM_NOT_RUN;
	return answer->reason == JJ_FAILURE_OVERLOADED
	    ? JJ_ITEM_WITHDRAWN
	    : JJ_ITEM_OUTCOME_UNKNOWN;
}

static void
log_answer(const jj_exchange_t *exchange, int status, const char *code,
    const char *run)
{
	uint64_t took_ns = jj_unix_now_ns() - exchange->span.start_ns;

	jj_counter_add(
	    jj_metrics_counter("jujube_requests_total",
		"Callers' requests by how they ended.", "code", code),
	    1);
	jj_histogram_observe(
	    jj_metrics_histogram("jujube_request_seconds",
		"Time from a request's head to its end.", NULL, NULL),
	    took_ns / 1000);
	jj_log(JJ_LOG_INFO, "request_ended",
	    "request=%s service=%s status=%d code=%s run=%s",
	    exchange->operation_id, exchange->service.text, status, code,
	    run != NULL ? run : "none");
}
