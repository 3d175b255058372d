/**
 * @file gateway_borrow.c
 * @brief Platform calls of jobs that are made through another VM ("borrowed"
 * calls).
 *
 * A VM may lose its connection to the platform alone, while it still exchanges
 * heartbeats, runs items and receives jobs. It could accept no job and publish
 * no result until the connection is back. So the borrower sends the platform
 * calls of its jobs to another VM, the lender, which makes them and returns the
 * result. All writes are conditional on a version, so a write that was made
 * although its result was lost is handled like any write whose answer was lost.
 * A platform that answers "too many requests" is reachable: its rate limits are
 * not bypassed this way.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

/**
 * A borrowed call without a result for so long counts as unanswered, ms; about
 * as long as a call of this VM's own may take.
 */
#define BORROW_TIMEOUT_MS 800
/**
 * The platform counts as unreachable after so long without an answer; a shorter
 * time is a lost answer, ms. About two heartbeats.
 */
#define OUTAGE_MIN_MS 1000
/** After a lender failed, no call is borrowed for so long, ms. */
#define BORROW_PAUSE_MS 500
/** Maximum number of calls that one VM makes for others at a time. */
#define PEER_CALLS_MAX 256

static void free_calls(struct jj_gateway_peer_calls *);
static bool is_answered(jj_platform_outcome_t);
static bool may_borrow(const jj_gateway_t *, jj_ms_t);
static bool choose_lender(jj_gateway_t *);
static bool is_borrowable(const jj_action_t *);
static void send_borrow_request(
    jj_gateway_t *, jj_platform_call_t *, jj_ms_t, jj_actions_t *);
static jj_gateway_peer_call_t *add_peer_call(
    struct jj_gateway_peer_calls *, const jj_name_t *, uint64_t, jj_ms_t);
static void finish_borrowed_call(jj_gateway_t *, jj_gateway_peer_call_t *,
    jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void send_borrow_result(
    jj_actions_t *, const jj_name_t *, uint64_t, const jj_platform_result_t *);

void
jj_gateway_note_platform_reach(
    jj_gateway_t *gateway, const jj_platform_result_t *result, jj_ms_t now)
{
	bool reached = is_answered(result->outcome);

	if (reached && gateway->platform_unreachable_ms != 0)
		jj_actions_add_event(gateway->out, "platform_reached",
		    "unreached_ms=%lld borrowed=%llu",
		    (long long)(now - gateway->platform_unreachable_ms),
		    (unsigned long long)gateway->peer_call_count);
	if (reached && gateway->platform_unreachable_ms != 0 &&
	    now - gateway->platform_unreachable_ms >= OUTAGE_MIN_MS)
		gateway->platform_regained_ms = now;
	if (reached)
		gateway->platform_unreachable_ms = 0;
	else if (gateway->platform_unreachable_ms == 0) {
		gateway->platform_unreachable_ms = now;
		jj_actions_add_event(gateway->out, "platform_unreached",
		    "op=%d outcome=%d", (int)result->op, (int)result->outcome);
	}
}

void
jj_gateway_borrow_calls(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action;
	jj_action_t *next;

	if (gateway->platform_unreachable_ms == 0)
		return;
	for (action = TAILQ_FIRST(out); action != NULL; action = next) {
		next = TAILQ_NEXT(action, link);
		if (!is_borrowable(action) || !may_borrow(gateway, now) ||
		    !choose_lender(gateway))
			continue;
		send_borrow_request(gateway, &action->body.platform, now, out);
		TAILQ_REMOVE(out, action, link);
		jj_action_free(action);
	}
}

void
jj_gateway_take_borrow_request(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_result_t unavailable = {.outcome = JJ_PLATFORM_DOWN};
	const jj_gateway_peer_call_t *other;
	jj_platform_call_t *call;
	jj_gateway_peer_call_t *peer_call;
	size_t count = 0;

	TAILQ_FOREACH(other, &gateway->calls_for_peers, link)
	{
		count++;
	}
	if (gateway->platform_unreachable_ms != 0 || gateway->leaving ||
	    count >= PEER_CALLS_MAX) {
		send_borrow_result(out, &message->from,
		    message->body.lend.number, &unavailable);
		return;
	}
	peer_call = add_peer_call(&gateway->calls_for_peers, &message->from,
	    message->body.lend.number, now);
	peer_call->token = ++gateway->peer_call_count;
	call = jj_actions_add_platform(
	    out, JJ_OWNER_BORROWED, message->body.lend.op, peer_call->token);
	(void)snprintf(
	    call->key, sizeof(call->key), "%s", message->body.lend.key);
	call->version = message->body.lend.version;
	call->value = jj_bytes_copy(
	    message->body.lend.value.data, message->body.lend.value.size);
}

void
jj_gateway_answer_borrower(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_gateway_peer_call_t *peer_call;

	TAILQ_FOREACH(peer_call, &gateway->calls_for_peers, link)
	{
		if (peer_call->token == result->token)
			break;
	}
	if (peer_call == NULL)
		return;
	send_borrow_result(out, &peer_call->vm, peer_call->number, result);
	TAILQ_REMOVE(&gateway->calls_for_peers, peer_call, link);
	free(peer_call);
}

void
jj_gateway_take_borrow_result(jj_gateway_t *gateway,
    const jj_message_t *message, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_result_t result = {0};
	jj_gateway_peer_call_t *peer_call;

	TAILQ_FOREACH(peer_call, &gateway->borrowed, link)
	{
		if (peer_call->number == message->body.lent.number &&
		    jj_name_equal(&peer_call->vm, &message->from))
			break;
	}
	if (peer_call == NULL)
		return;
	result.outcome = message->body.lent.outcome;
	result.version = message->body.lent.version;
	result.retry_after_ms = message->body.lent.retry_after_ms;
	result.value = jj_bytes_copy(
	    message->body.lent.value.data, message->body.lent.value.size);
	finish_borrowed_call(gateway, peer_call, &result, now, out);
	jj_platform_result_clear(&result);
}

void
jj_gateway_expire_borrowed(
    jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_result_t unanswered = {.outcome = JJ_PLATFORM_UNKNOWN};
	jj_gateway_peer_call_t *peer_call;

	while ((peer_call = TAILQ_FIRST(&gateway->borrowed)) != NULL &&
	    now - peer_call->sent_ms >= BORROW_TIMEOUT_MS)
		finish_borrowed_call(gateway, peer_call, &unanswered, now, out);
}

void
jj_gateway_free_peer_calls(jj_gateway_t *gateway)
{
	free_calls(&gateway->borrowed);
	free_calls(&gateway->calls_for_peers);
}

static void
free_calls(struct jj_gateway_peer_calls *peer_calls)
{
	jj_gateway_peer_call_t *peer_call;

	while ((peer_call = TAILQ_FIRST(peer_calls)) != NULL) {
		TAILQ_REMOVE(peer_calls, peer_call, link);
		free(peer_call);
	}
}

/**
 * True when the platform answered; false when the call was not made or its
 * answer was lost.
 */
static bool
is_answered(jj_platform_outcome_t outcome)
{
	return outcome != JJ_PLATFORM_DOWN && outcome != JJ_PLATFORM_UNKNOWN;
}

/**
 * Limits the calls that are borrowed while no VM reaches the platform: jobs of
 * 0.1 MB were sent from VM to VM, each refused and sent to the next one, 1.7 GB
 * in a minute. Until a lender has answered, only one call is borrowed at a
 * time, and none for a while after a failure; the other calls go to the
 * platform as usual.
 */
static bool
may_borrow(const jj_gateway_t *gateway, jj_ms_t now)
{
	return now >= gateway->borrow_pause_until_ms &&
	    (gateway->lender_answered || TAILQ_EMPTY(&gateway->borrowed));
}

/**
 * Chooses the lender used last; after a failure the next VM in the order of
 * names, cyclically.
 */
static bool
choose_lender(jj_gateway_t *gateway)
{
	jj_member_info_t *infos;
	size_t count = jj_gateway_list_others(gateway, &infos);
	size_t chosen = 0;
	size_t i;
	int order;

	for (i = 0; i < count; i++) {
		order = strcmp(infos[i].name.text, gateway->lender.text);
		if (order > 0 || (order == 0 && !gateway->lender_unavailable)) {
			chosen = i;
			break;
		}
	}
	if (count > 0) {
		gateway->lender = infos[chosen].name;
		gateway->lender_unavailable = false;
	}
	free(infos);
	return count > 0;
}

/**
 * True for reads and writes of a single object by jobs; lists and watches are
 * retried at the platform.
 */
static bool
is_borrowable(const jj_action_t *action)
{
	return action->kind == JJ_ACTION_PLATFORM &&
	    action->body.platform.owner == JJ_OWNER_INLINE &&
	    action->body.platform.op <= JJ_PLATFORM_DELETE;
}

static void
send_borrow_request(jj_gateway_t *gateway, jj_platform_call_t *call,
    jj_ms_t now, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, &gateway->lender, JJ_MESSAGE_BORROW);
	jj_gateway_peer_call_t *peer_call = add_peer_call(&gateway->borrowed,
	    &gateway->lender, ++gateway->peer_call_count, now);

	peer_call->token = call->token;
	peer_call->op = call->op;
	message->body.lend.number = peer_call->number;
	message->body.lend.op = call->op;
	memcpy(message->body.lend.key, call->key, sizeof(call->key));
	message->body.lend.version = call->version;
	message->body.lend.value = call->value;
	memset(&call->value, 0, sizeof(call->value));
	jj_actions_add_event(out, "platform_call_lent",
	    "peer=%s key=%.100s op=%d unreached_ms=%lld", gateway->lender.text,
	    call->key, (int)call->op,
	    (long long)(now - gateway->platform_unreachable_ms));
}

static jj_gateway_peer_call_t *
add_peer_call(struct jj_gateway_peer_calls *peer_calls, const jj_name_t *vm,
    uint64_t number, jj_ms_t now)
{
	jj_gateway_peer_call_t *peer_call = jj_alloc(sizeof(*peer_call));

	peer_call->vm = *vm;
	peer_call->number = number;
	peer_call->sent_ms = now;
	TAILQ_INSERT_TAIL(peer_calls, peer_call, link);
	return peer_call;
}

/**
 * Passes the result to the jobs module; after a failure the next call goes to
 * another lender.
 */
static void
finish_borrowed_call(jj_gateway_t *gateway, jj_gateway_peer_call_t *peer_call,
    jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	result->owner = JJ_OWNER_INLINE;
	result->token = peer_call->token;
	result->op = peer_call->op;
	if (is_answered(result->outcome))
		gateway->lender_answered = true;
	else if (jj_name_equal(&gateway->lender, &peer_call->vm)) {
		gateway->lender_unavailable = true;
		gateway->lender_answered = false;
		gateway->borrow_pause_until_ms = now + BORROW_PAUSE_MS;
	}
	TAILQ_REMOVE(&gateway->borrowed, peer_call, link);
	free(peer_call);
	jj_inline_take_result(gateway->jobs, result, now, out);
}

static void
send_borrow_result(jj_actions_t *out, const jj_name_t *to, uint64_t number,
    const jj_platform_result_t *result)
{
	jj_message_t *message =
	    jj_actions_add_message(out, to, JJ_MESSAGE_BORROW_RESULT);

	message->body.lent.number = number;
	message->body.lent.outcome = result->outcome;
	message->body.lent.version = result->version;
	message->body.lent.retry_after_ms = result->retry_after_ms;
	message->body.lent.value =
	    jj_bytes_copy(result->value.data, result->value.size);
}
