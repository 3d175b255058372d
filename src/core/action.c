/**
 * @file action.c
 * @brief Lists of actions; frees the data of actions and messages.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/action.h"

const char *
jj_failure_name(jj_failure_t reason)
{
	static const char *const names[] = {"none", "no_server", "overloaded",
	    "deadline", "retries", "quarantined", "broken", "stopping",
	    "no_config", "cancelled", "no_service", "team_limit", "suspect",
	    "crashing_part", "no_origin", "over_share"};

	return names[reason];
}

jj_action_t *
jj_actions_add(jj_actions_t *actions, jj_action_kind_t kind)
{
	jj_action_t *action = jj_alloc(sizeof(*action));

	action->kind = kind;
	TAILQ_INSERT_TAIL(actions, action, link);
	return action;
}

jj_message_t *
jj_actions_add_message(
    jj_actions_t *actions, const jj_name_t *to, jj_message_kind_t kind)
{
	jj_action_t *action = jj_actions_add(actions, JJ_ACTION_SEND);
	jj_message_t *message = jj_alloc(sizeof(*message));

	message->kind = kind;
	action->body.send.to = *to;
	action->body.send.message = message;
	return message;
}

jj_platform_call_t *
jj_actions_add_platform(jj_actions_t *actions, jj_owner_t owner,
    jj_platform_op_t op, uint64_t token)
{
	jj_action_t *action = jj_actions_add(actions, JJ_ACTION_PLATFORM);

	action->body.platform.owner = owner;
	action->body.platform.op = op;
	action->body.platform.token = token;
	return &action->body.platform;
}

void
jj_actions_add_event(
    jj_actions_t *actions, const char *name, const char *format, ...)
{
	jj_action_t *action = jj_actions_add(actions, JJ_ACTION_EVENT);
	va_list arguments;

	action->body.event.name = name;
	va_start(arguments, format);
	(void)vsnprintf(action->body.event.detail,
	    sizeof(action->body.event.detail), format, arguments);
	va_end(arguments);
}

void
jj_action_free(jj_action_t *action)
{
	switch (action->kind) {
	case JJ_ACTION_SEND:
		jj_message_clear(action->body.send.message);
		free(action->body.send.message);
		break;
	case JJ_ACTION_PLATFORM:
		jj_platform_call_clear(&action->body.platform);
		break;
	case JJ_ACTION_CALL_ANSWER:
		jj_bytes_free(&action->body.call.answer.body);
		break;
	case JJ_ACTION_CONFIG_ANSWER:
		jj_bytes_free(&action->body.config.detail);
		break;
	case JJ_ACTION_ITEM_READY:
	case JJ_ACTION_CALL_READY:
		jj_bytes_free(&action->body.item.body);
		jj_bytes_free(&action->body.item.path);
		break;
	case JJ_ACTION_JOB_ANSWER:
		jj_bytes_free(&action->body.job.body);
		break;
	case JJ_ACTION_ORDER:
		jj_bytes_free(&action->body.order.body);
		break;
	default:
		break;
	}
	free(action);
}

void
jj_actions_clear(jj_actions_t *actions)
{
	jj_action_t *action;

	while ((action = TAILQ_FIRST(actions)) != NULL) {
		TAILQ_REMOVE(actions, action, link);
		jj_action_free(action);
	}
}

void
jj_message_clear(jj_message_t *message)
{
	uint32_t i;

	switch (message->kind) {
	case JJ_MESSAGE_HEARTBEAT:
		free(message->body.heartbeat.loads);
		message->body.heartbeat.loads = NULL;
		break;
	case JJ_MESSAGE_CONFIG:
	case JJ_MESSAGE_CONFIG_REQUEST:
		jj_bytes_free(&message->body.config.document);
		break;
	case JJ_MESSAGE_CALL:
		jj_bytes_free(&message->body.call.path);
		jj_bytes_free(&message->body.call.body);
		break;
	case JJ_MESSAGE_CALL_ANSWER:
		jj_bytes_free(&message->body.call_answer.body);
		break;
	case JJ_MESSAGE_INTENT:
		jj_bytes_free(&message->body.intent.record.answer);
		break;
	case JJ_MESSAGE_RESOLVE:
		jj_bytes_free(&message->body.resolve.record.answer);
		break;
	case JJ_MESSAGE_SYNC:
		for (i = 0; i < message->body.sync.record_count; i++)
			jj_bytes_free(&message->body.sync.records[i].answer);
		free(message->body.sync.records);
		message->body.sync.records = NULL;
		break;
	case JJ_MESSAGE_SLOTS:
		jj_bytes_free(&message->body.slots.table);
		break;
	case JJ_MESSAGE_RELAY:
		jj_bytes_free(&message->body.relay.events);
		break;
	case JJ_MESSAGE_BORROW:
		jj_bytes_free(&message->body.lend.value);
		break;
	case JJ_MESSAGE_JOB_READ:
	case JJ_MESSAGE_JOB_PAGE:
		jj_bytes_free(&message->body.job_page.page);
		break;
	case JJ_MESSAGE_BORROW_RESULT:
		jj_bytes_free(&message->body.lent.value);
		break;
	case JJ_MESSAGE_JOBS:
	case JJ_MESSAGE_VMS:
		jj_bytes_free(&message->body.jobs.events);
		break;
	default:
		break;
	}
}

const char *
jj_message_kind_name(jj_message_kind_t kind)
{
	static const char *const names[JJ_MESSAGE_KIND_END] = {
	    [JJ_MESSAGE_HEARTBEAT] = "heartbeat",
	    [JJ_MESSAGE_PROBE] = "probe",
	    [JJ_MESSAGE_PROBE_ECHO] = "probe_echo",
	    [JJ_MESSAGE_CONFIG_REQUEST] = "config_ask",
	    [JJ_MESSAGE_CONFIG] = "config",
	    [JJ_MESSAGE_LOAD] = "load",
	    [JJ_MESSAGE_CALL] = "call",
	    [JJ_MESSAGE_CALL_ANSWER] = "call_answer",
	    [JJ_MESSAGE_INTENT] = "intent",
	    [JJ_MESSAGE_INTENT_ACK] = "intent_ack",
	    [JJ_MESSAGE_RESOLVE] = "resolve",
	    [JJ_MESSAGE_SYNC] = "sync",
	    [JJ_MESSAGE_SYNC_ACK] = "sync_ack",
	    [JJ_MESSAGE_SLOTS] = "slots",
	    [JJ_MESSAGE_CRASH] = "crash",
	    [JJ_MESSAGE_SERVER_STATE] = "server_state",
	    [JJ_MESSAGE_JOBS] = "jobs",
	    [JJ_MESSAGE_VMS] = "vms",
	    [JJ_MESSAGE_YIELD] = "yield",
	    [JJ_MESSAGE_JOB_ENDED] = "job_ended",
	    [JJ_MESSAGE_RELAY] = "relay",
	    [JJ_MESSAGE_JOB_STATES] = "job_states",
	    [JJ_MESSAGE_CRASH_HISTORY] = "struck",
	    [JJ_MESSAGE_BORROW] = "lend",
	    [JJ_MESSAGE_BORROW_RESULT] = "lent",
	    [JJ_MESSAGE_JOB_READ] = "job_read",
	    [JJ_MESSAGE_JOB_PAGE] = "job_page",
	    [JJ_MESSAGE_TEAM_USE] = "team_use",
	    [JJ_MESSAGE_TEAM_GRANT] = "team_grant",
	    [JJ_MESSAGE_STREAM_ORIGINS] = "stream_origins",
	    [JJ_MESSAGE_ORIGIN_QUERY] = "origin_query",
	    [JJ_MESSAGE_ORIGIN_REPLY] = "origin_reply",
	    [JJ_MESSAGE_UNANSWERED] = "unanswered",
	    [JJ_MESSAGE_UNANSWERED_PARTS] = "unanswered_parts",
	    [JJ_MESSAGE_PART_CRASHES] = "part_crashes",
	    [JJ_MESSAGE_PARTS_COMPLETED] = "parts_completed",
	    [JJ_MESSAGE_SERVER_OUTCOMES] = "server_outcomes",
	    [JJ_MESSAGE_SHARE_DEMAND] = "share_demand",
	    [JJ_MESSAGE_SHARE_LEVEL] = "share_level",
	};

	return kind < JJ_MESSAGE_KIND_END && names[kind] != NULL ? names[kind]
								 : "none";
}

const char *
jj_platform_op_name(jj_platform_op_t op)
{
	static const char *const names[] = {"get", "create", "update", "delete",
	    "list", "watch", "vms", "set_status"};

	return names[op];
}

const char *
jj_object_name(const char *key)
{
	size_t kind = strcspn(key, "/");

	return &key[key[kind] == '/' ? kind + 1 : 0];
}

void
jj_platform_call_clear(jj_platform_call_t *call)
{
	jj_bytes_free(&call->value);
}

void
jj_platform_result_clear(jj_platform_result_t *result)
{
	size_t i;

	for (i = 0; i < result->item_count; i++)
		jj_bytes_free(&result->items[i].value);
	free(result->items);
	result->items = NULL;
	result->item_count = 0;
	jj_bytes_free(&result->value);
}
