/**
 * @file gateway_outcomes.c
 * @brief Servers that fail the requests that they get: avoided, and probed.
 */
#include <stdlib.h>

#include "core/gateway_state.h"

/** At most one in so many servers of a service is avoided. */
#define AVOIDED_PART 3
/** Reports that may be sent at once after a time without failures. */
#define REPORT_BURST 4
/** Interval between further reports, ms, for each VMS_PER_INTERVAL VMs. */
#define REPORT_INTERVAL_MS 100
#define VMS_PER_INTERVAL 12
/** Interval between counts of the live VMs, ms. */
#define COUNT_VMS_MS 1000
/** Interval between log lines of reports, ms. */
#define LOG_INTERVAL_MS 1000

static uint64_t service_of(const jj_slot_server_t *);
static void
set_avoided(jj_gateway_t *, jj_slot_server_t *, bool, jj_ms_t, jj_actions_t *);
static bool may_avoid(const jj_gateway_t *, const jj_slot_server_t *, jj_ms_t);
static bool
is_own_turn(const jj_gateway_t *, const jj_slot_server_t *, jj_ms_t);
static bool is_probed(const jj_gateway_t *, const jj_slot_server_t *);

void
jj_gateway_note_outcome(jj_gateway_t *gateway, const jj_gateway_entry_t *entry,
    bool failed, jj_ms_t now, jj_actions_t *out)
{
	const jj_slot_server_t *server = entry->server;
	jj_outcome_t outcome = {server->hash, service_of(server),
	    entry->fingerprint, failed, server->avoided, entry->sent_ms};

	if (gateway->outcomes == NULL)
		return;
	jj_outcomes_note(gateway->outcomes, &outcome, now);
	if (!jj_outcomes_is_empty(gateway->outcomes) || server->avoided)
		jj_gateway_tick_outcomes(gateway, now, out);
}

void
jj_gateway_take_outcomes(jj_gateway_t *gateway, const jj_message_t *message,
    jj_ms_t now, jj_actions_t *out)
{
	const jj_server_outcome_t *report;
	const jj_slot_server_t *server;
	uint32_t i;

	if (gateway->outcomes == NULL)
		return;
	for (i = 0; i < message->body.outcomes.count; i++) {
		report = &message->body.outcomes.servers[i];
		server = jj_slots_find_hash(gateway->slots, report->server);
		if (server != NULL)
			jj_outcomes_take_report(gateway->outcomes, report,
			    service_of(server), server->avoided, now);
	}
	jj_gateway_tick_outcomes(gateway, now, out);
}

void
jj_gateway_tick_outcomes(jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_slot_server_t *server;
	jj_member_info_t *infos;
	size_t count;
	bool failing;

	if (gateway->outcomes == NULL)
		return;
	if (now >= gateway->next_outcome_vms_ms) {
		gateway->next_outcome_vms_ms = now + COUNT_VMS_MS;
		count = jj_gateway_list_others(gateway, &infos);
		free(infos);
		jj_outcomes_set_vms(gateway->outcomes, (uint32_t)count + 1);
	}
	jj_outcomes_tick(gateway->outcomes, now);
	for (server = jj_slots_first(gateway->slots); server != NULL;
	     server = TAILQ_NEXT(server, link)) {
		failing = jj_outcomes_is_failing(
		    gateway->outcomes, server->hash, now);
		if (failing && !server->avoided)
			failing = may_avoid(gateway, server, now);
		if (failing != server->avoided)
			set_avoided(gateway, server, failing, now, out);
		server->probe_due = server->avoided &&
		    is_own_turn(gateway, server, now) &&
		    !is_probed(gateway, server);
	}
}

void
jj_gateway_report_outcomes(
    jj_gateway_t *gateway, jj_ms_t now, jj_actions_t *out)
{
	jj_message_t message = {.kind = JJ_MESSAGE_SERVER_OUTCOMES};
	bool is_regular = now >= gateway->next_outcomes_ms;

	if (gateway->outcomes == NULL ||
	    !jj_outcomes_is_changed(gateway->outcomes))
		return;
	if (is_regular && now - gateway->next_outcomes_ms >= LOG_INTERVAL_MS)
		gateway->outcome_burst = REPORT_BURST;
	if (!is_regular) {
		if (gateway->outcome_burst == 0 ||
		    !jj_outcomes_is_urgent(gateway->outcomes))
			return;
		gateway->outcome_burst--;
	}
	message.body.outcomes.count =
	    jj_outcomes_take_changes(gateway->outcomes,
		message.body.outcomes.servers, JJ_MESSAGE_OUTCOMES_MAX);
	jj_gateway_send_to_others(gateway, &message, out);
	gateway->next_outcomes_ms = now +
	    REPORT_INTERVAL_MS *
		(jj_ms_t)(1 + gateway->vm_count / VMS_PER_INTERVAL);
	if (now < gateway->next_outcomes_log_ms)
		return;
	gateway->next_outcomes_log_ms = now + LOG_INTERVAL_MS;
	jj_actions_add_event(out, "outcomes_reported",
	    "servers=%u failures=%u successes=%u failing=%d recovered=%d",
	    message.body.outcomes.count, message.body.outcomes.servers[0].count,
	    message.body.outcomes.servers[0].successes,
	    message.body.outcomes.servers[0].failing,
	    message.body.outcomes.servers[0].recovered);
}

jj_outcomes_t *
jj_gateway_outcomes(const jj_gateway_t *gateway)
{
	return gateway->outcomes;
}

static uint64_t
service_of(const jj_slot_server_t *server)
{
	return jj_dispatch_hash_server(&server->info.service);
}

static void
set_avoided(jj_gateway_t *gateway, jj_slot_server_t *server, bool avoided,
    jj_ms_t now, jj_actions_t *out)
{
	jj_outcome_info_t infos[JJ_OUTCOMES_MAX];
	jj_outcome_info_t info = {0};
	uint32_t count =
	    jj_outcomes_list(gateway->outcomes, infos, JJ_OUTCOMES_MAX, now);
	uint32_t i;

	for (i = 0; i < count && i < JJ_OUTCOMES_MAX; i++)
		if (infos[i].server == server->hash)
			info = infos[i];
	server->avoided = avoided;
	jj_actions_add_event(out,
	    avoided ? "server_avoided" : "server_readmitted",
	    "server=%s failure_rate=%.2f answers=%.1f since_ms=%lld",
	    server->info.id.text, info.failure_rate, info.answers,
	    (long long)(now - info.avoided_since_ms));
}

/** False when too many servers of the service would be avoided. */
static bool
may_avoid(
    const jj_gateway_t *gateway, const jj_slot_server_t *server, jj_ms_t now)
{
	const jj_slot_server_t *other;
	uint32_t avoided = 1;
	uint32_t up = 0;

	for (other = jj_slots_first(gateway->slots); other != NULL;
	     other = TAILQ_NEXT(other, link)) {
		if (!jj_slot_server_is_up(other, now) ||
		    !jj_name_equal(&other->info.service, &server->info.service))
			continue;
		up++;
		avoided += other->avoided && other != server;
	}
	return up > 1 && (avoided == 1 || avoided * AVOIDED_PART <= up);
}

/** True when this VM is the one to probe a server. */
static bool
is_own_turn(
    const jj_gateway_t *gateway, const jj_slot_server_t *server, jj_ms_t now)
{
	uint64_t key =
	    jj_outcomes_probe_key(gateway->outcomes, server->hash, now);
	jj_member_info_t *infos;
	size_t count;
	size_t first;
	bool is_own;

	if (key == 0)
		return false;
	count = jj_gateway_list_others(gateway, &infos);
	infos[count].name = gateway->settings.name;
	first = jj_gateway_first_ranked(infos, count + 1, key);
	is_own = first == count;
	free(infos);
	return is_own;
}

/** True while an attempt of this VM there is not answered. */
static bool
is_probed(const jj_gateway_t *gateway, const jj_slot_server_t *server)
{
	const jj_gateway_entry_t *entry;

	TAILQ_FOREACH(entry, &gateway->sent, link)
	{
		if (entry->server == server && !entry->first_seen)
			return true;
	}
	return false;
}
