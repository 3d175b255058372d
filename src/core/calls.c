/**
 * @file calls.c
 * @brief Forwards non-idempotent calls from the entry VM to their home.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "core/calls.h"

/**
 * The time between resends grows from resend_ms to four times that. A call may
 * be a megabyte: resent at a steady rate to a home that is slow to answer, its
 * copies fill the link, the heartbeats behind them arrive late, and both VMs
 * suspect each other.
 */
#define RESEND_DOUBLINGS 2
/**
 * Time between checks whether a slot of this VM is still being synced, ms: the
 * witness has all records after a few round trips of a millisecond; a caller
 * does not notice 20.
 */
#define SYNC_POLL_MS 20

/** A call that waits for the answer of its home. */
typedef struct waiting {
	TAILQ_ENTRY(waiting) link;
	uint64_t number; /**< number of this call in messages */
	uint64_t operation; /**< operation of the caller; 0 when relayed */
	jj_name_t requester; /**< VM that it is relayed for, or empty */
	uint64_t requester_call;
	jj_name_t domain; /**< of the key */
	jj_name_t sent_to; /**< empty: not sent to another VM */
	jj_incarnation_t sent_to_incarnation;
	bool was_rerouted; /**< it was sent to another process earlier */
	jj_call_t call; /**< owned copy */
	jj_ms_t deadline_ms;
	jj_ms_t resend_ms;
	uint32_t send_count; /**< how often it was sent to sent_to */
	jj_name_t deferred_for; /**< suspected home waited for */
} waiting_t;

struct jj_calls {
	jj_calls_settings_t settings;
	jj_ledger_t *ledger;
	const jj_member_t *member;
	uint64_t last_number;
	TAILQ_HEAD(, waiting) waiting;
};

static void copy_call(jj_call_t *, const jj_call_t *);
static void relay(jj_calls_t *, const jj_message_t *, const jj_name_t *,
    jj_ms_t, jj_actions_t *);
static void relay_to_remote_domain(jj_calls_t *, const jj_message_t *,
    const jj_member_info_t *, const jj_name_t *, jj_ms_t, jj_actions_t *);
static bool
choose_remote_vm(const jj_calls_t *, const waiting_t *, jj_ms_t, jj_name_t *);
static waiting_t *
add_waiting(jj_calls_t *, const jj_call_t *, const jj_name_t *, jj_ms_t);
static void forward(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static bool
choose_next_vm(const jj_calls_t *, const waiting_t *, jj_ms_t, jj_name_t *);
static bool is_home_suspected(
    const jj_calls_t *, const waiting_t *, const jj_name_t *, jj_ms_t);
static bool
is_suspected(const jj_calls_t *, const jj_name_t *, jj_ms_t, jj_ms_t);
static bool is_home(const jj_calls_t *, const jj_name_t *, const jj_hash_t *);
static void begin_here(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static void
query_earlier_home(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static jj_ms_t resend_delay(const jj_calls_t *, const waiting_t *);
static void send_call(waiting_t *, jj_ms_t, jj_actions_t *);
static void end_waiting(
    jj_calls_t *, waiting_t *, const jj_call_answer_t *, jj_actions_t *);
static void free_waiting(jj_calls_t *, waiting_t *);
static void refuse(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static void
take_answer(jj_calls_t *, waiting_t *, const jj_message_t *, jj_actions_t *);
static bool is_target_lost(const jj_calls_t *, const waiting_t *, jj_ms_t);
static bool is_deferred_target_live(const jj_calls_t *, const waiting_t *);
static waiting_t *find_relayed(jj_calls_t *, const jj_name_t *, uint64_t);

jj_calls_t *
jj_calls_create(const jj_calls_settings_t *settings, jj_ledger_t *ledger,
    const jj_member_t *member)
{
	jj_calls_t *calls = jj_alloc(sizeof(*calls));

	calls->settings = *settings;
	calls->ledger = ledger;
	calls->member = member;
	TAILQ_INIT(&calls->waiting);
	return calls;
}

void
jj_calls_destroy(jj_calls_t *calls)
{
	waiting_t *waiting;

	if (calls == NULL)
		return;
	while ((waiting = TAILQ_FIRST(&calls->waiting)) != NULL) {
		TAILQ_REMOVE(&calls->waiting, waiting, link);
		jj_bytes_free(&waiting->call.path);
		jj_bytes_free(&waiting->call.body);
		free(waiting);
	}
	free(calls);
}

bool
jj_calls_domain(const jj_service_t *service, const char *key, jj_name_t *domain)
{
	uint64_t item = jj_hash_bytes(key, strlen(key), 0);
	uint64_t best = 0;
	uint64_t weight;
	size_t length;
	uint32_t i;

	for (i = 0; i < service->key_domain_count; i++) {
		length = strlen(service->key_domains[i]);
		if (strncmp(key, service->key_domains[i], length) == 0 &&
		    key[length] == '/')
			return jj_name_set(domain, service->key_domains[i]);
	}
	for (i = 0; i < service->key_domain_count; i++) {
		weight = jj_rendezvous_weight(service->key_domains[i], item);
		if (i > 0 && weight <= best)
			continue;
		best = weight;
		(void)jj_name_set(domain, service->key_domains[i]);
	}
	return service->key_domain_count > 0;
}

void
jj_calls_begin(jj_calls_t *calls, uint64_t operation,
    const jj_service_t *service, const jj_call_t *call, jj_ms_t now,
    jj_actions_t *out)
{
	waiting_t *waiting;
	jj_name_t domain;

	if (!jj_calls_domain(service, call->key_text, &domain))
		domain = calls->settings.domain;
	if (is_home(calls, &domain, &call->key) &&
	    !jj_ledger_is_syncing(calls->ledger, &call->key, now)) {
		jj_ledger_begin(calls->ledger, operation, NULL, call, now, out);
		return;
	}
	waiting = add_waiting(calls, call, &domain, now);
	waiting->operation = operation;
	forward(calls, waiting, now, out);
}

void
jj_calls_take_call(jj_calls_t *calls, const jj_message_t *message,
    const jj_service_t *service, jj_ms_t now, jj_actions_t *out)
{
	const jj_call_t *call = &message->body.call;
	const jj_member_info_t *from;
	jj_name_t domain;
	bool starts_here;

	if (service == NULL ||
	    !jj_calls_domain(service, call->key_text, &domain))
		return;
	from = jj_member_find(calls->member, &message->from);
	if (!jj_name_equal(&domain, &calls->settings.domain)) {
		relay_to_remote_domain(calls, message, from, &domain, now, out);
		return;
	}
	/*
	 * Within the domain a call is forwarded once only: two VMs with slot
	 * tables of different age must not pass it back and forth. The ledger
	 * refuses a call of a slot that is not its own.
	 */
	if (is_home(calls, &domain, &call->key))
		starts_here =
		    !jj_ledger_is_syncing(calls->ledger, &call->key, now);
	else
		starts_here = from != NULL &&
		    jj_name_equal(&from->domain, &calls->settings.domain);
	if (starts_here)
		jj_ledger_begin(
		    calls->ledger, call->call, &message->from, call, now, out);
	else
		relay(calls, message, &domain, now, out);
}

void
jj_calls_take_answer(
    jj_calls_t *calls, const jj_message_t *message, jj_actions_t *out)
{
	const jj_call_answer_t *answer = &message->body.call_answer;
	waiting_t *waiting;

	TAILQ_FOREACH(waiting, &calls->waiting, link)
	{
		if (waiting->number == answer->call) {
			take_answer(calls, waiting, message, out);
			return;
		}
	}
}

void
jj_calls_tick(jj_calls_t *calls, jj_ms_t now, jj_actions_t *out)
{
	waiting_t *waiting;
	waiting_t *next;

	for (waiting = TAILQ_FIRST(&calls->waiting); waiting != NULL;
	     waiting = next) {
		next = TAILQ_NEXT(waiting, link);
		if (now >= waiting->deadline_ms ||
		    is_target_lost(calls, waiting, now))
			refuse(calls, waiting, now, out);
		else if (now >= waiting->resend_ms ||
		    is_deferred_target_live(calls, waiting))
			forward(calls, waiting, now, out);
	}
}

jj_ms_t
jj_calls_next(const jj_calls_t *calls)
{
	const waiting_t *waiting;
	jj_ms_t next = JJ_MS_NEVER;

	TAILQ_FOREACH(waiting, &calls->waiting, link)
	{
		if (waiting->deadline_ms < next)
			next = waiting->deadline_ms;
		if (waiting->resend_ms < next)
			next = waiting->resend_ms;
	}
	return next;
}

bool
jj_calls_is_idle(const jj_calls_t *calls)
{
	return TAILQ_EMPTY(&calls->waiting);
}

static void
copy_call(jj_call_t *copy, const jj_call_t *call)
{
	*copy = *call;
	copy->path = jj_bytes_copy(call->path.data, call->path.size);
	copy->body = jj_bytes_copy(call->body.data, call->body.size);
}

static void
relay(jj_calls_t *calls, const jj_message_t *message, const jj_name_t *domain,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_call_t *call = &message->body.call;
	waiting_t *waiting;

	/* A repeat of a call that is being relayed already. */
	if (find_relayed(calls, &message->from, call->call) != NULL)
		return;
	waiting = add_waiting(calls, call, domain, now);
	waiting->requester = message->from;
	waiting->requester_call = call->call;
	forward(calls, waiting, now, out);
}

/**
 * The speaker relays calls of its domain's VMs to other domains, as those VMs
 * know no VM there. Nothing else is relayed to a remote domain, so a call
 * cannot travel in a loop.
 */
static void
relay_to_remote_domain(jj_calls_t *calls, const jj_message_t *message,
    const jj_member_info_t *from, const jj_name_t *domain, jj_ms_t now,
    jj_actions_t *out)
{
	if (from != NULL &&
	    jj_name_equal(&from->domain, &calls->settings.domain) &&
	    jj_member_is_speaker(calls->member))
		relay(calls, message, domain, now, out);
}

static waiting_t *
add_waiting(jj_calls_t *calls, const jj_call_t *call, const jj_name_t *domain,
    jj_ms_t now)
{
	waiting_t *waiting = jj_alloc(sizeof(*waiting));

	copy_call(&waiting->call, call);
	waiting->number = ++calls->last_number;
	waiting->domain = *domain;
	waiting->deadline_ms = now + call->budget_ms;
	TAILQ_INSERT_TAIL(&calls->waiting, waiting, link);
	return waiting;
}

static void
forward(jj_calls_t *calls, waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	jj_name_t target;
	const jj_member_info_t *info;

	if (is_home(calls, &waiting->domain, &waiting->call.key)) {
		begin_here(calls, waiting, now, out);
		return;
	}
	if (!choose_next_vm(calls, waiting, now, &target)) {
		refuse(calls, waiting, now, out);
		return;
	}
	if (!jj_member_is_live(calls->member, &target)) {
		waiting->deferred_for = target;
		waiting->resend_ms = now + calls->settings.resend_ms;
		return;
	}
	waiting->deferred_for = (jj_name_t){""};
	info = jj_member_find(calls->member, &target);
	if (!jj_name_equal(&waiting->sent_to, &target) || info == NULL ||
	    info->incarnation != waiting->sent_to_incarnation) {
		waiting->was_rerouted = !jj_name_is_empty(&waiting->sent_to);
		waiting->send_count = 0;
	}
	waiting->sent_to = target;
	waiting->sent_to_incarnation = info != NULL ? info->incarnation : 0;
	waiting->resend_ms = now + resend_delay(calls, waiting);
	send_call(waiting, now, out);
}

static jj_ms_t
resend_delay(const jj_calls_t *calls, const waiting_t *waiting)
{
	uint32_t doublings = waiting->send_count < RESEND_DOUBLINGS
	    ? waiting->send_count
	    : RESEND_DOUBLINGS;

	return calls->settings.resend_ms << doublings;
}

/** True when this VM is the home of a key of that domain, by its slot table. */
static bool
is_home(const jj_calls_t *calls, const jj_name_t *domain, const jj_hash_t *key)
{
	jj_name_t home;

	return jj_name_equal(domain, &calls->settings.domain) &&
	    jj_ledger_home(calls->ledger, key, &home) &&
	    jj_name_equal(&home, &calls->settings.name);
}

/** Begins a call that was never sent at this VM, once its slot is synced. */
static void
begin_here(
    jj_calls_t *calls, waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	if (!jj_name_is_empty(&waiting->sent_to)) {
		query_earlier_home(calls, waiting, now, out);
		return;
	}
	if (jj_ledger_is_syncing(calls->ledger, &waiting->call.key, now)) {
		waiting->resend_ms = now + SYNC_POLL_MS;
		return;
	}
	waiting->call.budget_ms = waiting->deadline_ms - now;
	jj_ledger_begin(calls->ledger, waiting->operation,
	    jj_name_is_empty(&waiting->requester) ? NULL : &waiting->requester,
	    &waiting->call, now, out);
	free_waiting(calls, waiting);
}

/**
 * A call that was sent may be running at its earlier home, which sends its
 * outcome to this VM as the new home. But if the call itself was lost on its
 * way, nobody answers until it is resent to the earlier home.
 */
static void
query_earlier_home(
    jj_calls_t *calls, waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	jj_call_answer_t answer;

	if (jj_ledger_find_answer(
		calls->ledger, &waiting->call, now, &answer)) {
		end_waiting(calls, waiting, &answer, out);
		return;
	}
	waiting->resend_ms = now + resend_delay(calls, waiting);
	send_call(waiting, now, out);
}

/** The home in the local domain, or any live VM in a remote one. */
static bool
choose_next_vm(const jj_calls_t *calls, const waiting_t *waiting, jj_ms_t now,
    jj_name_t *target)
{
	if (jj_name_equal(&waiting->domain, &calls->settings.domain))
		return jj_ledger_home(
			   calls->ledger, &waiting->call.key, target) &&
		    !jj_name_equal(target, &calls->settings.name) &&
		    (jj_member_is_live(calls->member, target) ||
			is_home_suspected(calls, waiting, target, now));
	return choose_remote_vm(calls, waiting, now, target);
}

/**
 * A home named by a new table was alive when the table was written, even if no
 * message of it has arrived: it gets lost_ms from then on to send a heartbeat.
 */
static bool
is_home_suspected(const jj_calls_t *calls, const waiting_t *waiting,
    const jj_name_t *home, jj_ms_t now)
{
	return is_suspected(calls, home,
	    jj_ledger_epoch_adopted_ms(calls->ledger, &waiting->call.key), now);
}

/** Suspected but not lost: the VM may be alive. */
static bool
is_suspected(
    const jj_calls_t *calls, const jj_name_t *name, jj_ms_t since, jj_ms_t now)
{
	const jj_member_info_t *info = jj_member_find(calls->member, name);

	return info != NULL && !info->live &&
	    !jj_member_is_lost(calls->member, name, since, now);
}

/** A VM of the key's domain, else the local speaker, which knows one. */
static bool
choose_remote_vm(const jj_calls_t *calls, const waiting_t *waiting, jj_ms_t now,
    jj_name_t *target)
{
	jj_member_info_t first;

	if (!jj_name_is_empty(&waiting->sent_to) &&
	    (jj_member_is_live(calls->member, &waiting->sent_to) ||
		is_suspected(calls, &waiting->sent_to, 0, now))) {
		*target = waiting->sent_to;
		return true;
	}
	if (jj_member_choose(
		calls->member, &waiting->domain, waiting->call.key.low, target))
		return true;
	if (jj_member_list(calls->member, &calls->settings.domain, &first, 1) ==
		0 ||
	    jj_name_equal(&first.name, &calls->settings.name))
		return false;
	*target = first.name;
	return true;
}

static void
send_call(waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, &waiting->sent_to, JJ_MESSAGE_CALL);

	copy_call(&message->body.call, &waiting->call);
	message->body.call.call = waiting->number;
	message->body.call.budget_ms = waiting->deadline_ms - now;
	waiting->send_count++;
}

/**
 * Ends a call without an answer of its home. Once it was sent to another VM it
 * may have run there: the outcome is UNKNOWN then, unless this VM has the
 * answer itself. The caller may resend it under the same key; the home knows
 * its outcome.
 */
static void
refuse(jj_calls_t *calls, waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	jj_call_answer_t answer = {0};

	if (jj_ledger_find_answer(
		calls->ledger, &waiting->call, now, &answer)) {
		end_waiting(calls, waiting, &answer, out);
		return;
	}
	answer.outcome = jj_name_is_empty(&waiting->sent_to)
	    ? JJ_CALL_NO_HISTORY
	    : JJ_CALL_UNKNOWN;
	answer.retry_after_ms = calls->settings.retry_after_ms;
	end_waiting(calls, waiting, &answer, out);
}

/**
 * Accepts the answer only of the process that the call was last sent to: a late
 * refusal of an earlier home, or of an ended process with the same name, says
 * nothing about that one. When the slot moved while the call was being
 * forwarded, its new home cannot know that the call was not run: the earlier
 * home may be running it.
 */
static void
take_answer(jj_calls_t *calls, waiting_t *waiting, const jj_message_t *message,
    jj_actions_t *out)
{
	jj_call_answer_t answer = message->body.call_answer;

	if (!jj_name_equal(&message->from, &waiting->sent_to) ||
	    message->incarnation != waiting->sent_to_incarnation)
		return;
	if (waiting->was_rerouted && answer.outcome != JJ_CALL_DONE &&
	    answer.outcome != JJ_CALL_REPLAYED)
		answer.outcome = JJ_CALL_UNKNOWN;
	end_waiting(calls, waiting, &answer, out);
}

/**
 * True when the process that the call was sent to is lost or was replaced. A
 * suspected one is neither: its caller would get "unknown" for a call that the
 * process runs and answers a moment later, and never get that answer.
 */
static bool
is_target_lost(const jj_calls_t *calls, const waiting_t *waiting, jj_ms_t now)
{
	const jj_member_info_t *info;

	if (jj_name_is_empty(&waiting->sent_to))
		return false;
	info = jj_member_find(calls->member, &waiting->sent_to);
	return info == NULL ||
	    info->incarnation != waiting->sent_to_incarnation ||
	    jj_member_is_lost(calls->member, &waiting->sent_to, 0, now);
}

static bool
is_deferred_target_live(const jj_calls_t *calls, const waiting_t *waiting)
{
	return !jj_name_is_empty(&waiting->deferred_for) &&
	    jj_member_is_live(calls->member, &waiting->deferred_for);
}

static void
end_waiting(jj_calls_t *calls, waiting_t *waiting,
    const jj_call_answer_t *answer, jj_actions_t *out)
{
	jj_message_t *message;
	jj_action_t *action;

	if (jj_name_is_empty(&waiting->requester)) {
		action = jj_actions_add(out, JJ_ACTION_CALL_ANSWER);
		action->body.call.call = waiting->operation;
		action->body.call.answer = *answer;
		action->body.call.answer.body =
		    jj_bytes_copy(answer->body.data, answer->body.size);
	} else {
		message = jj_actions_add_message(
		    out, &waiting->requester, JJ_MESSAGE_CALL_ANSWER);
		message->body.call_answer = *answer;
		message->body.call_answer.call = waiting->requester_call;
		message->body.call_answer.body =
		    jj_bytes_copy(answer->body.data, answer->body.size);
	}
	free_waiting(calls, waiting);
}

static void
free_waiting(jj_calls_t *calls, waiting_t *waiting)
{
	TAILQ_REMOVE(&calls->waiting, waiting, link);
	jj_bytes_free(&waiting->call.path);
	jj_bytes_free(&waiting->call.body);
	free(waiting);
}

static waiting_t *
find_relayed(jj_calls_t *calls, const jj_name_t *requester, uint64_t number)
{
	waiting_t *waiting;

	TAILQ_FOREACH(waiting, &calls->waiting, link)
	{
		if (waiting->requester_call == number &&
		    jj_name_equal(&waiting->requester, requester))
			return waiting;
	}
	return NULL;
}
