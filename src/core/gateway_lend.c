/**
 * @file gateway_lend.c
 * @brief Platform calls of jobs through a VM that reaches the platform.
 *
 * A VM may be cut off from the platform alone, while it hears the others, runs
 * items and is sent jobs. It could accept none, and would show no result until
 * the cut is over. So calls of jobs go to another VM, which makes them and
 * tells the outcome. All writes are conditional on a version, so one that was
 * made although its word was lost is met like any write whose answer was lost.
 * A platform that answers "too many" is reached: its limits are not passed by.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

/** No word of the other VM for so long: as good as no answer, ms. About what
 * a call of one's own may take. */
#define LOAN_WAIT_MS 800
/** Without an answer for so long this VM was cut off; less is a lost answer,
 * ms. About two heartbeats. */
#define CUT_LEAST_MS 1000
/** After a VM that could not help none is asked for so long, ms. */
#define LEND_REST_MS 500
/** Calls that one VM makes for others at a time. */
#define LOANS_MOST 256

static void drop_all(struct jj_gateway_loans *);
static bool is_answer(jj_platform_outcome_t);
static bool may_ask(const jj_gateway_t *, jj_ms_t);
static bool choose_lender(jj_gateway_t *);
static bool is_lendable(const jj_action_t *);
static void
send_loan(jj_gateway_t *, jj_platform_call_t *, jj_ms_t, jj_actions_t *);
static jj_gateway_loan_t *
add_loan(struct jj_gateway_loans *, const jj_name_t *, uint64_t, jj_ms_t);
static void end_loan(jj_gateway_t *, jj_gateway_loan_t *,
    jj_platform_result_t *, jj_ms_t, jj_actions_t *);
static void answer(
    jj_actions_t *, const jj_name_t *, uint64_t, const jj_platform_result_t *);

void
jj_gateway_note_reach(
    jj_gateway_t *gateway, const jj_platform_result_t *result, jj_ms_t now)
{
	bool reached = is_answer(result->outcome);

	if (reached && gateway->unreached_ms != 0)
		jj_actions_add_event(gateway->out, "platform_reached",
		    "unreached_ms=%lld borrowed=%llu",
		    (long long)(now - gateway->unreached_ms),
		    (unsigned long long)gateway->loans);
	if (reached && gateway->unreached_ms != 0 &&
	    now - gateway->unreached_ms >= CUT_LEAST_MS)
		gateway->reached_ms = now;
	if (reached)
		gateway->unreached_ms = 0;
	else if (gateway->unreached_ms == 0) {
		gateway->unreached_ms = now;
		jj_actions_add_event(gateway->out, "platform_unreached",
		    "op=%d outcome=%d", (int)result->op, (int)result->outcome);
	}
}

void
jj_gateway_borrow(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action;
	jj_action_t *next;

	if (gateway->unreached_ms == 0)
		return;
	for (action = TAILQ_FIRST(out); action != NULL; action = next) {
		next = TAILQ_NEXT(action, link);
		if (!is_lendable(action) || !may_ask(gateway, now) ||
		    !choose_lender(gateway))
			continue;
		send_loan(gateway, &action->body.platform, now, out);
		TAILQ_REMOVE(out, action, link);
		jj_action_free(action);
	}
}

void
jj_gateway_lend(jj_gateway_t *gateway, const jj_message_t *message, jj_ms_t now,
    jj_actions_t *out)
{
	jj_platform_result_t refused = {.outcome = JJ_PLATFORM_DOWN};
	const jj_gateway_loan_t *other;
	jj_platform_call_t *call;
	jj_gateway_loan_t *loan;
	size_t count = 0;

	TAILQ_FOREACH(other, &gateway->lent, link)
	{
		count++;
	}
	if (gateway->unreached_ms != 0 || gateway->leaving ||
	    count >= LOANS_MOST) {
		answer(
		    out, &message->from, message->body.lend.number, &refused);
		return;
	}
	loan = add_loan(
	    &gateway->lent, &message->from, message->body.lend.number, now);
	loan->token = ++gateway->loans;
	call = jj_actions_add_platform(
	    out, JJ_OWNER_LENT, message->body.lend.op, loan->token);
	(void)snprintf(
	    call->key, sizeof(call->key), "%s", message->body.lend.key);
	call->version = message->body.lend.version;
	call->value = jj_bytes_copy(
	    message->body.lend.value.data, message->body.lend.value.size);
}

void
jj_gateway_take_lent_result(jj_gateway_t *gateway,
    const jj_platform_result_t *result, jj_actions_t *out)
{
	jj_gateway_loan_t *loan;

	TAILQ_FOREACH(loan, &gateway->lent, link)
	{
		if (loan->token == result->token)
			break;
	}
	if (loan == NULL)
		return;
	answer(out, &loan->vm, loan->number, result);
	TAILQ_REMOVE(&gateway->lent, loan, link);
	free(loan);
}

void
jj_gateway_take_lent(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	jj_platform_result_t result = {0};
	jj_gateway_loan_t *loan;

	TAILQ_FOREACH(loan, &gateway->borrowed, link)
	{
		if (loan->number == message->body.lent.number &&
		    jj_name_equal(&loan->vm, &message->from))
			break;
	}
	if (loan == NULL)
		return;
	result.outcome = message->body.lent.outcome;
	result.version = message->body.lent.version;
	result.retry_after_ms = message->body.lent.retry_after_ms;
	result.value = jj_bytes_copy(
	    message->body.lent.value.data, message->body.lent.value.size);
	end_loan(gateway, loan, &result, now, out);
	jj_platform_result_clear(&result);
}

void
jj_gateway_tick_loans(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_platform_result_t unknown = {.outcome = JJ_PLATFORM_UNKNOWN};
	jj_gateway_loan_t *loan;

	while ((loan = TAILQ_FIRST(&gateway->borrowed)) != NULL &&
	    now - loan->asked_ms >= LOAN_WAIT_MS)
		end_loan(gateway, loan, &unknown, now, out);
}

void
jj_gateway_drop_loans(jj_gateway_t *gateway)
{
	drop_all(&gateway->borrowed);
	drop_all(&gateway->lent);
}

static void
drop_all(struct jj_gateway_loans *loans)
{
	jj_gateway_loan_t *loan;

	while ((loan = TAILQ_FIRST(loans)) != NULL) {
		TAILQ_REMOVE(loans, loan, link);
		free(loan);
	}
}

/** False when the call was not done, or its answer did not come. */
static bool
is_answer(jj_platform_outcome_t outcome)
{
	return outcome != JJ_PLATFORM_DOWN && outcome != JJ_PLATFORM_UNKNOWN;
}

/**
 * Guards against a storm while nobody reaches the platform: jobs of 0.1 MB
 * went from VM to VM, each refused and sent to the next one, 1.7 GB in a
 * minute. Until one has helped, one call is asked for at a time, and none for
 * a while after a refusal; the others go to the platform as always.
 */
static bool
may_ask(const jj_gateway_t *gateway, jj_ms_t now)
{
	return now >= gateway->lend_rest_ms &&
	    (gateway->lender_helped || TAILQ_EMPTY(&gateway->borrowed));
}

/** The one asked last; after a failure the next one by name, in a circle. */
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
		if (order > 0 || (order == 0 && !gateway->lender_failed)) {
			chosen = i;
			break;
		}
	}
	if (count > 0) {
		gateway->lender = infos[chosen].name;
		gateway->lender_failed = false;
	}
	free(infos);
	return count > 0;
}

/** Reads and writes of one object of jobs; lists and watches go on trying. */
static bool
is_lendable(const jj_action_t *action)
{
	return action->kind == JJ_ACTION_PLATFORM &&
	    action->body.platform.owner == JJ_OWNER_INLINE &&
	    action->body.platform.op <= JJ_PLATFORM_DELETE;
}

static void
send_loan(jj_gateway_t *gateway, jj_platform_call_t *call, jj_ms_t now,
    jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, &gateway->lender, JJ_MESSAGE_LEND);
	jj_gateway_loan_t *loan = add_loan(
	    &gateway->borrowed, &gateway->lender, ++gateway->loans, now);

	loan->token = call->token;
	loan->op = call->op;
	message->body.lend.number = loan->number;
	message->body.lend.op = call->op;
	memcpy(message->body.lend.key, call->key, sizeof(call->key));
	message->body.lend.version = call->version;
	message->body.lend.value = call->value;
	memset(&call->value, 0, sizeof(call->value));
	jj_actions_add_event(out, "platform_call_lent",
	    "peer=%s key=%.100s op=%d unreached_ms=%lld", gateway->lender.text,
	    call->key, (int)call->op, (long long)(now - gateway->unreached_ms));
}

static jj_gateway_loan_t *
add_loan(struct jj_gateway_loans *loans, const jj_name_t *vm, uint64_t number,
    jj_ms_t now)
{
	jj_gateway_loan_t *loan = jj_alloc(sizeof(*loan));

	loan->vm = *vm;
	loan->number = number;
	loan->asked_ms = now;
	TAILQ_INSERT_TAIL(loans, loan, link);
	return loan;
}

/** The module that asked gets the result; the next VM is asked after none. */
static void
end_loan(jj_gateway_t *gateway, jj_gateway_loan_t *loan,
    jj_platform_result_t *result, jj_ms_t now, jj_actions_t *out)
{
	result->owner = JJ_OWNER_INLINE;
	result->token = loan->token;
	result->op = loan->op;
	if (is_answer(result->outcome))
		gateway->lender_helped = true;
	else if (jj_name_equal(&gateway->lender, &loan->vm)) {
		gateway->lender_failed = true;
		gateway->lender_helped = false;
		gateway->lend_rest_ms = now + LEND_REST_MS;
	}
	TAILQ_REMOVE(&gateway->borrowed, loan, link);
	free(loan);
	jj_inline_take_result(gateway->jobs, result, now, out);
}

static void
answer(jj_actions_t *out, const jj_name_t *to, uint64_t number,
    const jj_platform_result_t *result)
{
	jj_message_t *message =
	    jj_actions_add_message(out, to, JJ_MESSAGE_LENT);

	message->body.lent.number = number;
	message->body.lent.outcome = result->outcome;
	message->body.lent.version = result->version;
	message->body.lent.retry_after_ms = result->retry_after_ms;
	message->body.lent.value =
	    jj_bytes_copy(result->value.data, result->value.size);
}
