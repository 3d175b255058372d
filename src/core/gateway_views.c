/**
 * @file gateway_views.c
 * @brief Views of servers' outcomes, for metrics and operators.
 */
#include <stdlib.h>
#include <string.h>

#include "core/gateway_state.h"

static int compare_outcomes(const void *, const void *);

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
