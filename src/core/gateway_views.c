/**
 * @file gateway_views.c
 * @brief Views of shares and of servers' outcomes, for metrics and operators.
 */
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

static bool name_group(const jj_gateway_t *, uint64_t, jj_name_t *);
static void add_group(jj_gateway_share_t *, const jj_share_info_t *);
static int compare_outcomes(const void *, const void *);

size_t
jj_gateway_list_shares(const jj_gateway_t *gateway, jj_gateway_share_t *rows,
    size_t max_count, jj_ms_t now)
{
	const jj_shares_t *shares = jj_gateway_shares(gateway);
	jj_gateway_share_t rest = {0};
	jj_share_info_t *infos;
	bool has_rest = false;
	size_t listed;
	size_t count = 0;
	size_t i;

	if (shares == NULL || max_count == 0)
		return 0;
	infos = jj_alloc(JJ_SHARE_GROUPS_MAX * sizeof(*infos));
	listed = jj_shares_list(shares, infos, JJ_SHARE_GROUPS_MAX, now);
	for (i = 0; i < listed && i < JJ_SHARE_GROUPS_MAX; i++) {
		if (count + 1 < max_count &&
		    name_group(gateway, infos[i].group, &rows[count].name)) {
			rows[count].share = 0;
			rows[count].demand = 0;
			rows[count].served = 0;
			add_group(&rows[count++], &infos[i]);
			continue;
		}
		has_rest = true;
		add_group(&rest, &infos[i]);
	}
	free(infos);
	if (has_rest)
		rows[count++] = rest;
	return count;
}

size_t
jj_gateway_list_outcomes(const jj_gateway_t *gateway,
    jj_gateway_outcome_t *rows, size_t max_count, jj_ms_t now)
{
	jj_outcomes_t *outcomes = jj_gateway_outcomes(gateway);
	const jj_slot_server_t *server;
	jj_outcome_info_t *infos;
	uint32_t listed;
	size_t count = 0;
	uint32_t i;

	if (outcomes == NULL)
		return 0;
	infos = jj_alloc(JJ_OUTCOMES_MAX * sizeof(*infos));
	listed = jj_outcomes_list(outcomes, infos, JJ_OUTCOMES_MAX, now);
	for (i = 0; i < listed && i < JJ_OUTCOMES_MAX && count < max_count;
	     i++) {
		server = jj_slots_find_hash(gateway->slots, infos[i].server);
		/* An earlier process of a server has no row of its own. */
		if (server == NULL)
			continue;
		rows[count].server = server->info.id;
		rows[count].failure_rate = infos[i].failure_rate;
		rows[count].answers = infos[i].answers;
		rows[count].failing = infos[i].avoided;
		rows[count].avoided = server->avoided;
		rows[count].since_ms =
		    infos[i].avoided ? now - infos[i].avoided_since_ms : 0;
		count++;
	}
	free(infos);
	qsort(rows, count, sizeof(*rows), compare_outcomes);
	return count;
}

/** False for a group that the configuration does not name any more. */
static bool
name_group(const jj_gateway_t *gateway, uint64_t group, jj_name_t *name)
{
	const jj_team_entry_t *team =
	    jj_teams_find_hash(gateway->routes->teams, group);
	size_t i;

	if (team != NULL) {
		*name = team->name;
		return true;
	}
	for (i = 0; i < gateway->routes->route_count; i++) {
		*name = gateway->routes->routes[i].name;
		if (jj_team_hash(name->text) == group)
			return true;
	}
	return false;
}

static void
add_group(jj_gateway_share_t *row, const jj_share_info_t *info)
{
	row->share += info->share;
	row->demand += info->demand;
	row->served += info->served;
}

/** Avoided servers first, then those that fail most. */
static int
compare_outcomes(const void *left, const void *right)
{
	const jj_gateway_outcome_t *one = left;
	const jj_gateway_outcome_t *other = right;

	if (one->avoided != other->avoided)
		return one->avoided ? -1 : 1;
	if (one->failure_rate != other->failure_rate)
		return one->failure_rate > other->failure_rate ? -1 : 1;
	return strcmp(one->server.text, other->server.text);
}
