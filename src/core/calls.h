/**
 * @file calls.h
 * @brief Forwards non-idempotent calls from the entry VM to their home.
 *
 * The entry VM of a call is the one that accepted it from the caller.
 *
 * A key has one home failure domain, fixed by the key or by the service's list
 * of domains, never by which VMs are alive: two domains that cannot reach each
 * other must not both run it. Within that domain the ledger names the home VM.
 * A call is resent to its home until it answers; the home recognises the key,
 * so a repeat is harmless.
 *
 * A home that is only suspected (member.h) may be alive and running the call. A
 * call already sent to it waits for the answer until the home is lost or the
 * deadline has passed. A call not yet sent to it waits, unsent, until a
 * heartbeat of it is received, its slot moves, or it is lost: a call that was
 * never sent can still be refused as not run. A call whose home is this VM
 * waits while the slot's witness is being synced (jj_ledger_is_syncing).
 */
#ifndef JJ_CORE_CALLS_H
#define JJ_CORE_CALLS_H

#include "core/action.h"
#include "core/config.h"
#include "core/ledger.h"
#include "core/member.h"

typedef struct {
	jj_name_t name;
	jj_name_t domain;
	/** Time until a forwarded call is resent; doubles. */
	jj_ms_t resend_ms;
	jj_ms_t retry_after_ms; /**< retry-after time sent with refusals */
} jj_calls_settings_t;

typedef struct jj_calls jj_calls_t;

jj_calls_t *jj_calls_create(const jj_calls_settings_t *settings,
    jj_ledger_t *ledger, const jj_member_t *member);
void jj_calls_destroy(jj_calls_t *calls);

/** The home domain of a key; false when the service names none. */
bool jj_calls_domain(
    const jj_service_t *service, const char *key, jj_name_t *domain);
/**
 * Begins a caller's call; ends with one JJ_ACTION_CALL_ANSWER for
 * @p operation. The bytes of @p call are copied.
 */
void jj_calls_begin(jj_calls_t *calls, uint64_t operation,
    const jj_service_t *service, const jj_call_t *call, jj_ms_t now,
    jj_actions_t *out);
/** Handles a neighbour's JJ_MESSAGE_CALL. */
void jj_calls_take_call(jj_calls_t *calls, const jj_message_t *message,
    const jj_service_t *service, jj_ms_t now, jj_actions_t *out);
/** Handles a neighbour's JJ_MESSAGE_CALL_ANSWER. */
void jj_calls_take_answer(
    jj_calls_t *calls, const jj_message_t *message, jj_actions_t *out);
/**
 * Resends calls; ends those whose deadline has passed or whose home is lost.
 */
void jj_calls_tick(jj_calls_t *calls, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_calls_next(const jj_calls_t *calls);
/** True when no call waits. */
bool jj_calls_is_idle(const jj_calls_t *calls);

#endif
