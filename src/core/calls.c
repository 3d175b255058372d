/**
 * @file calls.c
 * @brief Non-idempotent calls on their way from the entry VM to their home.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "core/calls.h"

/**
 * Resends wait resend_ms, then twice, then four times as long. A call may be
 * a megabyte: sent at a steady pace to a home that is slow to answer, its
 * copies fill the link, the heartbeats behind them come late, and both VMs
 * take each other for silent.
 */
#define RESEND_DOUBLINGS 2
/**
 * Between looks at a slot of this VM that settles, ms: a witness is told all
 * within a few round trips of a millisecond; a caller does not notice 20.
 */
#define SETTLE_LOOK_MS 20

/** One call that waits for its home's word. */
typedef struct waiting {
	TAILQ_ENTRY(waiting) link;
	uint64_t number; /**< of this call in messages */
	uint64_t operation; /**< of the caller; 0 when relayed */
	jj_name_t asker; /**< VM it is relayed for, or empty */
	uint64_t asker_call;
	jj_name_t domain; /**< of the key */
	jj_name_t sent_to; /**< empty: never left this VM */
	jj_incarnation_t sent_to_incarnation;
	bool strayed; /**< another process was sent it before that one */
	jj_call_t call; /**< owned copy */
	jj_ms_t deadline_ms;
	jj_ms_t resend_ms;
	uint32_t sent; /**< times to the present target */
	jj_name_t held_for; /**< a suspect it waits for, or empty */
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
static void relay_abroad(jj_calls_t *, const jj_message_t *,
    const jj_member_info_t *, const jj_name_t *, jj_ms_t, jj_actions_t *);
static bool
choose_abroad(const jj_calls_t *, const waiting_t *, jj_ms_t, jj_name_t *);
static waiting_t *
add_waiting(jj_calls_t *, const jj_call_t *, const jj_name_t *, jj_ms_t);
static void forward(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static bool
choose_next_vm(const jj_calls_t *, const waiting_t *, jj_ms_t, jj_name_t *);
static bool is_home_doubted(
    const jj_calls_t *, const waiting_t *, const jj_name_t *, jj_ms_t);
static bool is_doubted(const jj_calls_t *, const jj_name_t *, jj_ms_t, jj_ms_t);
static bool is_home(const jj_calls_t *, const jj_name_t *, const jj_hash_t *);
static void begin_here(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static void
ask_earlier_home(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static jj_ms_t resend_wait(const jj_calls_t *, const waiting_t *);
static void send_call(waiting_t *, jj_ms_t, jj_actions_t *);
static void end_waiting(
    jj_calls_t *, waiting_t *, const jj_call_answer_t *, jj_actions_t *);
static void free_waiting(jj_calls_t *, waiting_t *);
static void refuse(jj_calls_t *, waiting_t *, jj_ms_t, jj_actions_t *);
static void
take_answer(jj_calls_t *, waiting_t *, const jj_message_t *, jj_actions_t *);
static bool target_is_gone(const jj_calls_t *, const waiting_t *, jj_ms_t);
static bool target_is_heard_again(const jj_calls_t *, const waiting_t *);
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
	    !jj_ledger_is_settling(calls->ledger, &call->key, now)) {
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
	bool begins;

	if (service == NULL ||
	    !jj_calls_domain(service, call->key_text, &domain))
		return;
	from = jj_member_find(calls->member, &message->from);
	if (!jj_name_equal(&domain, &calls->settings.domain)) {
		relay_abroad(calls, message, from, &domain, now, out);
		return;
	}
	/*
	 * Within the domain a call makes one hop only: two VMs with tables of
	 * different age must not pass it to and fro. The ledger answers for a
	 * slot that is not its own.
	 */
	if (is_home(calls, &domain, &call->key))
		begins = !jj_ledger_is_settling(calls->ledger, &call->key, now);
	else
		begins = from != NULL &&
		    jj_name_equal(&from->domain, &calls->settings.domain);
	if (begins)
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
		    target_is_gone(calls, waiting, now))
			refuse(calls, waiting, now, out);
		else if (now >= waiting->resend_ms ||
		    target_is_heard_again(calls, waiting))
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

	/* A repeat of a call that is on its way already. */
	if (find_relayed(calls, &message->from, call->call) != NULL)
		return;
	waiting = add_waiting(calls, call, domain, now);
	waiting->asker = message->from;
	waiting->asker_call = call->call;
	forward(calls, waiting, now, out);
}

/**
 * The speaker passes calls of its own domain's VMs on to other domains, of
 * which they know nobody. Nothing else is passed abroad, so that a call
 * cannot travel in a circle.
 */
static void
relay_abroad(jj_calls_t *calls, const jj_message_t *message,
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
		waiting->held_for = target;
		waiting->resend_ms = now + calls->settings.resend_ms;
		return;
	}
	waiting->held_for = (jj_name_t){""};
	info = jj_member_find(calls->member, &target);
	if (!jj_name_equal(&waiting->sent_to, &target) || info == NULL ||
	    info->incarnation != waiting->sent_to_incarnation) {
		waiting->strayed = !jj_name_is_empty(&waiting->sent_to);
		waiting->sent = 0;
	}
	waiting->sent_to = target;
	waiting->sent_to_incarnation = info != NULL ? info->incarnation : 0;
	waiting->resend_ms = now + resend_wait(calls, waiting);
	send_call(waiting, now, out);
}

static jj_ms_t
resend_wait(const jj_calls_t *calls, const waiting_t *waiting)
{
	uint32_t doublings =
	    waiting->sent < RESEND_DOUBLINGS ? waiting->sent : RESEND_DOUBLINGS;

	return calls->settings.resend_ms << doublings;
}

/** True when this VM is the home of a key of that domain, as known here. */
static bool
is_home(const jj_calls_t *calls, const jj_name_t *domain, const jj_hash_t *key)
{
	jj_name_t home;

	return jj_name_equal(domain, &calls->settings.domain) &&
	    jj_ledger_home(calls->ledger, key, &home) &&
	    jj_name_equal(&home, &calls->settings.name);
}

/** What was never sent begins at this VM, once its slot has settled. */
static void
begin_here(
    jj_calls_t *calls, waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	if (!jj_name_is_empty(&waiting->sent_to)) {
		ask_earlier_home(calls, waiting, now, out);
		return;
	}
	if (jj_ledger_is_settling(calls->ledger, &waiting->call.key, now)) {
		waiting->resend_ms = now + SETTLE_LOOK_MS;
		return;
	}
	waiting->call.budget_ms = waiting->deadline_ms - now;
	jj_ledger_begin(calls->ledger, waiting->operation,
	    jj_name_is_empty(&waiting->asker) ? NULL : &waiting->asker,
	    &waiting->call, now, out);
	free_waiting(calls, waiting);
}

/**
 * What was sent may be running at its earlier home, and this VM gets its word
 * as the successor. But the call may have been lost on its way: then nobody
 * says anything until the earlier home is asked once more.
 */
static void
ask_earlier_home(
    jj_calls_t *calls, waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	jj_call_answer_t answer;

	if (jj_ledger_recall(calls->ledger, &waiting->call, now, &answer)) {
		end_waiting(calls, waiting, &answer, out);
		return;
	}
	waiting->resend_ms = now + resend_wait(calls, waiting);
	send_call(waiting, now, out);
}

/** The home in the own domain, any live VM in another one. */
static bool
choose_next_vm(const jj_calls_t *calls, const waiting_t *waiting, jj_ms_t now,
    jj_name_t *target)
{
	if (jj_name_equal(&waiting->domain, &calls->settings.domain))
		return jj_ledger_home(
			   calls->ledger, &waiting->call.key, target) &&
		    !jj_name_equal(target, &calls->settings.name) &&
		    (jj_member_is_live(calls->member, target) ||
			is_home_doubted(calls, waiting, target, now));
	return choose_abroad(calls, waiting, now, target);
}

/**
 * A home that a new table names was alive when the table was written, though
 * no message of it came: it has lost_ms from there on to be heard.
 */
static bool
is_home_doubted(const jj_calls_t *calls, const waiting_t *waiting,
    const jj_name_t *home, jj_ms_t now)
{
	return is_doubted(calls, home,
	    jj_ledger_home_since(calls->ledger, &waiting->call.key), now);
}

/** Suspected, but not lost: it may live. */
static bool
is_doubted(
    const jj_calls_t *calls, const jj_name_t *name, jj_ms_t since, jj_ms_t now)
{
	const jj_member_info_t *info = jj_member_find(calls->member, name);

	return info != NULL && !info->live &&
	    !jj_member_is_lost(calls->member, name, since, now);
}

/** A VM of the key's domain, else our speaker, which knows one. */
static bool
choose_abroad(const jj_calls_t *calls, const waiting_t *waiting, jj_ms_t now,
    jj_name_t *target)
{
	jj_member_info_t first;

	if (!jj_name_is_empty(&waiting->sent_to) &&
	    (jj_member_is_live(calls->member, &waiting->sent_to) ||
		is_doubted(calls, &waiting->sent_to, 0, now))) {
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
	waiting->sent++;
}

/**
 * Ends a call that got no word from its home. Once it was sent to another
 * VM it may have run there: only "unknown" is true then, unless this VM knows
 * the run's end itself. The caller may resend under the same key; the home
 * knows what became of it.
 */
static void
refuse(jj_calls_t *calls, waiting_t *waiting, jj_ms_t now, jj_actions_t *out)
{
	jj_call_answer_t answer = {0};

	if (jj_ledger_recall(calls->ledger, &waiting->call, now, &answer)) {
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
 * Takes the word of the process that the call was last sent to, and of no
 * other: a late refusal of an earlier home, or of a dead process with the
 * same name, does not speak for it. When the slot moved while the call was
 * under way, its new home cannot say that the call was not run: the earlier
 * one may be running it.
 */
static void
take_answer(jj_calls_t *calls, waiting_t *waiting, const jj_message_t *message,
    jj_actions_t *out)
{
	jj_call_answer_t answer = message->body.call_answer;

	if (!jj_name_equal(&message->from, &waiting->sent_to) ||
	    message->incarnation != waiting->sent_to_incarnation)
		return;
	if (waiting->strayed && answer.outcome != JJ_CALL_DONE &&
	    answer.outcome != JJ_CALL_REPLAYED)
		answer.outcome = JJ_CALL_UNKNOWN;
	end_waiting(calls, waiting, &answer, out);
}

/**
 * True when the process that had the call is lost or was replaced. A suspect
 * is neither: its caller would be told "unknown" of a call that it runs and
 * answers a moment later, and never get that answer.
 */
static bool
target_is_gone(const jj_calls_t *calls, const waiting_t *waiting, jj_ms_t now)
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
target_is_heard_again(const jj_calls_t *calls, const waiting_t *waiting)
{
	return !jj_name_is_empty(&waiting->held_for) &&
	    jj_member_is_live(calls->member, &waiting->held_for);
}

static void
end_waiting(jj_calls_t *calls, waiting_t *waiting,
    const jj_call_answer_t *answer, jj_actions_t *out)
{
	jj_message_t *message;
	jj_action_t *action;

	if (jj_name_is_empty(&waiting->asker)) {
		action = jj_actions_add(out, JJ_ACTION_CALL_ANSWER);
		action->body.call.call = waiting->operation;
		action->body.call.answer = *answer;
		action->body.call.answer.body =
		    jj_bytes_copy(answer->body.data, answer->body.size);
	} else {
		message = jj_actions_add_message(
		    out, &waiting->asker, JJ_MESSAGE_CALL_ANSWER);
		message->body.call_answer = *answer;
		message->body.call_answer.call = waiting->asker_call;
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
find_relayed(jj_calls_t *calls, const jj_name_t *asker, uint64_t number)
{
	waiting_t *waiting;

	TAILQ_FOREACH(waiting, &calls->waiting, link)
	{
		if (waiting->asker_call == number &&
		    jj_name_equal(&waiting->asker, asker))
			return waiting;
	}
	return NULL;
}
