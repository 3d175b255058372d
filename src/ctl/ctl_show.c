/**
 * @file ctl_show.c
 * @brief Commands that show one VM's view of the system, and operator actions:
 * release a ledger slot, drain the VM.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>

#include "ctl/ctl_api.h"
#include "ctl/ctl_print.h"

static const jj_ctl_column_t status_columns[] = {
    {"VM", "vm"},
    {"failure domain", "domain"},
    {"leaving", "leaving"},
    {"configuration", "config_version"},
    {"online in flight", "online_in_flight"},
    {"batch in flight", "batch_in_flight"},
    {"batch room", "batch_room"},
    {"speaker", "speaker"},
    {"order lease", "holds_order_lease"},
    {"fence", "fence"},
    {"quarantined", "quarantined"},
    {"ledger table", "ledger.version"},
    {"ledger records", "ledger.records"},
    {NULL, NULL},
};

static const jj_ctl_column_t vm_columns[] = {
    {"NAME", "name"},
    {"DOMAIN", "domain"},
    {"ADDRESS", "address"},
    {"LIVE", "live"},
    {"STATE", "state"},
    {"CONFIG", "config_version"},
    {"SILENT_MS", "silent_ms"},
    {NULL, NULL},
};

static const jj_ctl_column_t server_columns[] = {
    {"NAME", "name"},
    {"DOMAIN", "domain"},
    {"SERVICE", "service"},
    {"ADDRESS", "address"},
    {"STATE", "state"},
    {"TAKES_WORK", "takes_work"},
    {NULL, NULL},
};

static const jj_ctl_column_t share_columns[] = {
    {"TEAM", "team"},
    {"SHARE_PER_S", "share_per_s"},
    {"DEMAND_PER_S", "demand_per_s"},
    {"SERVED_PER_S", "served_per_s"},
    {NULL, NULL},
};

static const jj_ctl_column_t outcome_columns[] = {
    {"SERVER", "server"},
    {"FAILURE_RATE", "failure_rate"},
    {"ANSWERS", "answers"},
    {"FAILING", "failing"},
    {"AVOIDED", "avoided"},
    {"SINCE_MS", "since_ms"},
    {NULL, NULL},
};

static const jj_ctl_column_t slot_columns[] = {
    {"SLOT", "slot"},
    {"EPOCH", "epoch"},
    {"HOME", "home"},
    {"WITNESS", "witness"},
    {"COMPLETE", "complete"},
    {"SYNCED", "synced"},
    {"HISTORY_UNKNOWN", "history_unknown"},
    {NULL, NULL},
};

static jj_ctl_exit_t show_status(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_vms(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_servers(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_shares(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_outcomes(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_view(
    const jj_ctl_t *, const char *, const char *, const jj_ctl_column_t *);
static jj_ctl_exit_t show_ledger(const jj_ctl_t *, char **);
static jj_ctl_exit_t release_slot(const jj_ctl_t *, char **);
static jj_ctl_exit_t drain(const jj_ctl_t *, char **);
static jj_ctl_exit_t show_metrics(const jj_ctl_t *, char **);
static jj_ctl_exit_t
show_part(const jj_ctl_t *, const char *, const jj_ctl_column_t *);
static jj_ctl_exit_t post(const jj_ctl_t *, const char *, json_t **);

const jj_ctl_command_t jj_ctl_show_commands[] = {
    {NULL, "status", "", "summary of the VM's state", 0, 0, NULL, show_status},
    {NULL, "vms", "", "VMs of the system as known to this VM", 0, 0, NULL,
	show_vms},
    {NULL, "servers", "", "backend servers as known to this VM", 0, 0, NULL,
	show_servers},
    {NULL, "shares", "", "teams' shares of scarce slots at this VM", 0, 0, NULL,
	show_shares},
    {NULL, "outcomes", "", "how often servers fail this VM's requests", 0, 0,
	NULL, show_outcomes},
    {"ledger", "status", "", "homes and witnesses of idempotency keys", 0, 0,
	NULL, show_ledger},
    {"ledger", "release", "SLOT",
	"confirm that the VMs that held a slot never return", 1, 1, NULL,
	release_slot},
    {NULL, "drain", "", "planned stop of the VM: finish, hand over, exit", 0, 0,
	NULL, drain},
    {NULL, "metrics", "", "the VM's counters as text", 0, 0, NULL,
	show_metrics},
    {NULL, NULL, NULL, NULL, 0, 0, NULL, NULL},
};

static jj_ctl_exit_t
show_status(const jj_ctl_t *ctl, char **arguments)
{
	json_t *status;
	jj_ctl_exit_t outcome = jj_ctl_get(
	    ctl, jj_ctl_operators_address(ctl), "/v1/status", &status);

	(void)arguments;
	if (outcome == JJ_CTL_OK)
		jj_ctl_print_fields(ctl, status, status_columns);
	json_decref(status);
	return outcome;
}

static jj_ctl_exit_t
show_vms(const jj_ctl_t *ctl, char **arguments)
{
	(void)arguments;
	return show_part(ctl, "vms", vm_columns);
}

static jj_ctl_exit_t
show_servers(const jj_ctl_t *ctl, char **arguments)
{
	(void)arguments;
	return show_part(ctl, "servers", server_columns);
}

static jj_ctl_exit_t
show_shares(const jj_ctl_t *ctl, char **arguments)
{
	(void)arguments;
	return show_view(
	    ctl, "/v1/shares", "gateway.fair_shares", share_columns);
}

static jj_ctl_exit_t
show_outcomes(const jj_ctl_t *ctl, char **arguments)
{
	(void)arguments;
	return show_view(
	    ctl, "/v1/outcomes", "gateway.avoid_failing", outcome_columns);
}

/** Prints a view of a VM that serves routes. */
static jj_ctl_exit_t
show_view(const jj_ctl_t *ctl, const char *path, const char *name,
    const jj_ctl_column_t *columns)
{
	json_t *view;
	jj_ctl_exit_t outcome =
	    jj_ctl_get(ctl, jj_ctl_operators_address(ctl), path, &view);

	if (outcome == JJ_CTL_OK) {
		if (!json_is_true(json_object_get(view, "enabled")))
			warnx("%s is off at this VM", name);
		jj_ctl_print_rows(ctl, json_object_get(view, "rows"), columns);
	}
	json_decref(view);
	return outcome;
}

static jj_ctl_exit_t
show_ledger(const jj_ctl_t *ctl, char **arguments)
{
	json_t *status;
	json_t *slots;
	json_t *slot;
	size_t i;
	jj_ctl_exit_t outcome = jj_ctl_get(
	    ctl, jj_ctl_operators_address(ctl), "/v1/status", &status);

	(void)arguments;
	slots = json_object_get(json_object_get(status, "ledger"), "slots");
	json_array_foreach(slots, i, slot)
	{
		(void)json_object_set_new(
		    slot, "slot", json_integer((json_int_t)i));
	}
	if (outcome == JJ_CTL_OK)
		jj_ctl_print_rows(ctl, slots, slot_columns);
	json_decref(status);
	return outcome;
}

static jj_ctl_exit_t
release_slot(const jj_ctl_t *ctl, char **arguments)
{
	char path[64];
	char *end;
	unsigned long slot = strtoul(arguments[0], &end, 10);
	json_t *answer;
	jj_ctl_exit_t outcome;

	if (end == arguments[0] || *end != '\0') {
		warnx("SLOT must be a slot number from `ledger status`");
		return JJ_CTL_USAGE;
	}
	(void)snprintf(path, sizeof(path), "/v1/ledger/%lu/release", slot);
	outcome = post(ctl, path, &answer);
	if (outcome == JJ_CTL_OK)
		(void)printf("slot %lu is being released; its earlier keys are "
			     "refused until their retention is over; see "
			     "`ledger status`\n",
		    slot);
	json_decref(answer);
	return outcome;
}

static jj_ctl_exit_t
drain(const jj_ctl_t *ctl, char **arguments)
{
	json_t *answer;
	jj_ctl_exit_t outcome = post(ctl, "/v1/drain", &answer);

	(void)arguments;
	if (outcome == JJ_CTL_OK)
		(void)printf("the VM is leaving\n");
	json_decref(answer);
	return outcome;
}

static jj_ctl_exit_t
show_metrics(const jj_ctl_t *ctl, char **arguments)
{
	jj_ctl_request_t request = {.method = "GET",
	    .address = jj_ctl_operators_address(ctl),
	    .path = "/metrics",
	    .timeout_ms = ctl->timeout_ms};
	jj_ctl_response_t response;
	jj_ctl_exit_t outcome;

	(void)arguments;
	if (request.address == NULL)
		return JJ_CTL_USAGE;
	jj_ctl_http_send(&request, &response);
	outcome = jj_ctl_check_response(&response, false);
	if (outcome == JJ_CTL_OK)
		(void)fwrite(response.body->str, 1, response.body->len, stdout);
	jj_ctl_http_clear(&response);
	return outcome;
}

/** Prints one array of the VM's status as a table. */
static jj_ctl_exit_t
show_part(const jj_ctl_t *ctl, const char *part, const jj_ctl_column_t *columns)
{
	json_t *status;
	jj_ctl_exit_t outcome = jj_ctl_get(
	    ctl, jj_ctl_operators_address(ctl), "/v1/status", &status);

	if (outcome == JJ_CTL_OK)
		jj_ctl_print_rows(ctl, json_object_get(status, part), columns);
	json_decref(status);
	return outcome;
}

static jj_ctl_exit_t
post(const jj_ctl_t *ctl, const char *path, json_t **answer)
{
	jj_ctl_request_t request = {.method = "POST",
	    .address = jj_ctl_operators_address(ctl),
	    .path = path,
	    .timeout_ms = ctl->timeout_ms};

	*answer = NULL;
	if (request.address == NULL)
		return JJ_CTL_USAGE;
	return jj_ctl_fetch_json(&request, true, answer);
}
