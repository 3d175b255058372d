/**
 * @file core_status.c
 * @brief The state of a VM's control as JSON, for operators.
 */
#include <stdlib.h>
#include <string.h>

#include "core/core_state.h"
#include "core/core_status.h"

static json_t *describe_vms(const jj_core_t *, jj_ms_t);
static json_t *describe_servers(const jj_core_t *, jj_ms_t);
static json_t *describe_ledger(const jj_core_t *);
static const char *name_server_state(const jj_server_t *);

void
jj_core_answer_status(
    jj_core_t *core, uint64_t operation, jj_ms_t now, jj_actions_t *out)
{
	jj_action_t *action = jj_actions_add(out, JJ_ACTION_JOB_ANSWER);
	json_t *root = json_pack(
	    "{s:s,s:s,s:b,s:b,s:I,s:i,s:i,s:i,s:b,s:I,s:I}", "vm",
	    core->settings.name.text, "domain", core->settings.domain.text,
	    "leaving", core->leaving, "speaker",
	    jj_member_is_speaker(core->member), "config_version",
	    (json_int_t)jj_config_version(core->config), "online_in_flight",
	    (int)jj_dispatch_in_flight(core->dispatch, JJ_CLASS_ONLINE),
	    "batch_in_flight",
	    (int)jj_dispatch_in_flight(core->dispatch, JJ_CLASS_BATCH),
	    "batch_room", (int)jj_dispatch_batch_capacity(core->dispatch, now),
	    "holds_order_lease", jj_lease_is_held(core->lease, now), "fence",
	    (json_int_t)jj_lease_fence(core->lease), "quarantined",
	    (json_int_t)jj_quarantine_count(core->quarantine, now));

	(void)json_object_set_new(root, "vms", describe_vms(core, now));
	(void)json_object_set_new(root, "servers", describe_servers(core, now));
	(void)json_object_set_new(root, "ledger", describe_ledger(core));
	action->body.job.operation = operation;
	action->body.job.status = 200;
	action->body.job.body.data = json_dumps(root, JSON_COMPACT);
	action->body.job.body.size = strlen(action->body.job.body.data);
	json_decref(root);
}

static json_t *
describe_vms(const jj_core_t *core, jj_ms_t now)
{
	static const char *const states[] = {"starting", "serving", "leaving"};
	size_t max = jj_member_count(core->member) + 1;
	jj_member_info_t *infos = jj_alloc(max * sizeof(*infos));
	size_t count = jj_member_list_all(core->member, infos, max);
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		(void)json_array_append_new(array,
		    json_pack("{s:s,s:s,s:s,s:b,s:s,s:I,s:I}", "name",
			infos[i].name.text, "domain", infos[i].domain.text,
			"address", infos[i].address, "live", (int)infos[i].live,
			"state", states[infos[i].state], "config_version",
			(json_int_t)infos[i].config_version, "silent_ms",
			(json_int_t)(infos[i].heard_ms == JJ_MS_NEVER
				? -1
				: now - infos[i].heard_ms)));
	free(infos);
	return array;
}

static json_t *
describe_servers(const jj_core_t *core, jj_ms_t now)
{
	size_t count;
	const jj_server_t *servers = jj_fleet_list(core->fleet, &count);
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		(void)json_array_append_new(array,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:b}", "name",
			servers[i].name.text, "domain", servers[i].domain.text,
			"service", servers[i].service.text, "address",
			servers[i].address, "state",
			name_server_state(&servers[i]), "takes_work",
			(int)jj_fleet_takes_work(
			    core->fleet, &servers[i].name, now)));
	return array;
}

static json_t *
describe_ledger(const jj_core_t *core)
{
	jj_bytes_t text = jj_ledger_status(core->ledger);
	json_t *json =
	    text.size > 0 ? json_loadb(text.data, text.size, 0, NULL) : NULL;

	jj_bytes_free(&text);
	return json != NULL ? json : json_null();
}

static const char *
name_server_state(const jj_server_t *server)
{
	if (server->state == JJ_SERVER_DOWN)
		return "down";
	if (server->state == JJ_SERVER_LEAVING || server->listed_leaving)
		return "leaving";
	return "up";
}
