/**
 * @file outcome.c
 * @brief Sequential test of servers' answers.
 */
#include "core/outcome/outcome.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/** Failure rate that the test looks for; rates above it are found sooner. */
#define FAILING_RATE 0.45
/** Failure rate that is assumed of a service of which little is known. */
#define USUAL_RATE 0.003
/** Weight of that assumption, in answers. */
#define USUAL_WEIGHT 30.0
/** Log likelihood ratio above which a server is failing. */
#define FAILING_EVIDENCE 8.0
/**
 * A failing server's failures weigh less when others begin to fail, too. Below
 * this evidence it is not avoided any more.
 */
#define KEPT_EVIDENCE (FAILING_EVIDENCE / 3)
/** Different contents that must have failed at a failing server. */
#define CONTENTS_MIN 2
/** When the other servers fail so often, none of them is avoided. */
#define COMMON_RATE 0.2
/** Time constant of the failure rates, ms. */
#define RATE_MS 700
/** Evidence without a further failure is dropped after this time, ms. */
#define EVIDENCE_MS 5000
/** A server without a further failure is no longer avoided, ms. */
#define AVOID_MS 15000
/** Time from the last failure to the first probe, ms. */
#define PROBE_FIRST_MS 2500
/** Length of a VM's turn to probe, ms. */
#define PROBE_TURN_MS 1000
/** Successive answers after which a server is no longer avoided. */
#define PROBES_NEEDED 3
/** How often a recovery is reported, as reports may be lost. */
#define RECOVERED_REPORTS 3
/** Contents that failed lately and are kept. */
#define CONTENTS_MAX 256
/** Answers whose weight is below this are forgotten. */
#define WEIGHT_MIN 0.01

/** Answers weighted by age. */
typedef struct {
	double failures;
	double answers;
	jj_ms_t updated_ms;
} rate_t;

/** A content that failed. */
typedef struct {
	uint64_t content;
	uint64_t server; /**< where it failed first */
	bool elsewhere; /**< it failed at another server, too */
	jj_ms_t failed_ms;
} content_t;

/** A server process. */
typedef struct {
	uint64_t server;
	uint64_t service;
	rate_t rate; /**< of this VM's attempts */
	rate_t counted; /**< its part of the rate of the service */
	double evidence; /**< log likelihood ratio, at least 0 */
	uint32_t contents; /**< different contents in the evidence */
	jj_ms_t since_ms; /**< first failure of the evidence */
	jj_ms_t failed_ms; /**< last failure */
	bool failing;
	jj_ms_t failing_ms; /**< when that was found */
	uint32_t successes; /**< successive ones, while failing */
	jj_server_outcome_t unreported;
	bool is_urgent; /**< its changes are to be reported at once */
	uint32_t repeats; /**< of the report that it has recovered */
} server_t;

struct jj_outcomes {
	GHashTable *servers; /**< server_t by hash; owned */
	GHashTable *services; /**< rate_t by hash of the name; owned */
	content_t contents[CONTENTS_MAX];
	uint32_t next_content; /**< the oldest one */
	uint32_t suspects; /**< servers with evidence */
	uint32_t vms;
};

static server_t *find_server(jj_outcomes_t *, uint64_t, uint64_t, jj_ms_t);
static void count_answer(jj_outcomes_t *, server_t *, bool, jj_ms_t);
static void note_failure(jj_outcomes_t *, server_t *, uint64_t, jj_ms_t);
static bool note_successes(jj_outcomes_t *, server_t *, uint32_t, jj_ms_t);
static void withdraw(jj_outcomes_t *, uint64_t, jj_ms_t);
static bool is_own_fault(jj_outcomes_t *, const server_t *, uint64_t, jj_ms_t);
static double usual_rate(const jj_outcomes_t *, const server_t *, jj_ms_t);
static void clear_evidence(jj_outcomes_t *, server_t *);
static bool is_expired(const server_t *, jj_ms_t);
static bool has_changes(const server_t *);
static void age(rate_t *, jj_ms_t);
static void add(rate_t *, bool, uint32_t, jj_ms_t);

jj_outcomes_t *
jj_outcomes_create(void)
{
	jj_outcomes_t *outcomes = jj_alloc(sizeof(*outcomes));

	outcomes->servers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	outcomes->vms = 1;
	outcomes->services =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, free, free);
	return outcomes;
}

void
jj_outcomes_destroy(jj_outcomes_t *outcomes)
{
	if (outcomes == NULL)
		return;
	g_hash_table_destroy(outcomes->servers);
	g_hash_table_destroy(outcomes->services);
	free(outcomes);
}

void
jj_outcomes_set_vms(jj_outcomes_t *outcomes, uint32_t vms)
{
	outcomes->vms = vms > 0 ? vms : 1;
}

void
jj_outcomes_note(
    jj_outcomes_t *outcomes, const jj_outcome_t *outcome, jj_ms_t now)
{
	server_t *server =
	    find_server(outcomes, outcome->server, outcome->service, now);
	jj_server_outcome_t *unreported;

	unreported = &server->unreported;
	add(&server->rate, outcome->failed, 1, now);
	if (!outcome->avoided)
		count_answer(outcomes, server, outcome->failed, now);
	if (outcome->failed) {
		note_failure(outcomes, server, outcome->content, now);
		if (unreported->count < JJ_OUTCOME_CONTENTS_MAX)
			unreported->contents[unreported->count++] =
			    outcome->content;
		server->is_urgent = true;
		return;
	}
	/* Attempts that were sent before the first failure tell nothing. */
	if (server->evidence == 0 || outcome->sent_ms < server->since_ms ||
	    (server->failing && outcome->sent_ms < server->failing_ms))
		return;
	unreported->successes++;
	if (note_successes(outcomes, server, 1, now)) {
		server->repeats = RECOVERED_REPORTS;
		server->is_urgent = true;
	}
}

void
jj_outcomes_take_report(jj_outcomes_t *outcomes,
    const jj_server_outcome_t *report, uint64_t service, bool avoided,
    jj_ms_t now)
{
	server_t *server = find_server(outcomes, report->server, service, now);
	uint32_t i;

	for (i = 0; i < report->count && i < JJ_OUTCOME_CONTENTS_MAX; i++) {
		if (!avoided)
			count_answer(outcomes, server, true, now);
		note_failure(outcomes, server, report->contents[i], now);
	}
	if (server->evidence > 0)
		(void)note_successes(outcomes, server, report->successes, now);
	if (report->recovered) {
		clear_evidence(outcomes, server);
	} else if (report->failing && !server->failing &&
	    server->evidence > 0) {
		server->failing = true;
		server->failing_ms = now;
	}
}

bool
jj_outcomes_is_urgent(const jj_outcomes_t *outcomes)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, outcomes->servers);
	while (g_hash_table_iter_next(&at, NULL, &value))
		if (((const server_t *)value)->is_urgent)
			return true;
	return false;
}

bool
jj_outcomes_is_changed(const jj_outcomes_t *outcomes)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, outcomes->servers);
	while (g_hash_table_iter_next(&at, NULL, &value))
		if (has_changes(value))
			return true;
	return false;
}

uint32_t
jj_outcomes_take_changes(
    jj_outcomes_t *outcomes, jj_server_outcome_t *reports, uint32_t max_count)
{
	GHashTableIter at;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&at, outcomes->servers);
	while (count < max_count && g_hash_table_iter_next(&at, NULL, &value)) {
		server_t *server = value;

		if (!has_changes(server))
			continue;
		reports[count] = server->unreported;
		reports[count].server = server->server;
		reports[count].failing = server->failing;
		reports[count].recovered = server->repeats > 0;
		count++;
		memset(&server->unreported, 0, sizeof(server->unreported));
		server->is_urgent = false;
		if (server->repeats > 0)
			server->repeats--;
	}
	return count;
}

bool
jj_outcomes_is_failing(jj_outcomes_t *outcomes, uint64_t hash, jj_ms_t now)
{
	server_t *server = g_hash_table_lookup(outcomes->servers, &hash);
	double usual;

	if (server == NULL || !server->failing || is_expired(server, now))
		return false;
	usual = usual_rate(outcomes, server, now);
	if (usual < COMMON_RATE &&
	    server->contents * log(FAILING_RATE / usual) >= KEPT_EVIDENCE)
		return true;
	clear_evidence(outcomes, server);
	return false;
}

uint64_t
jj_outcomes_probe_key(const jj_outcomes_t *outcomes, uint64_t hash, jj_ms_t now)
{
	const server_t *server = g_hash_table_lookup(outcomes->servers, &hash);
	uint64_t turn;

	if (server == NULL || !server->failing ||
	    now - server->failed_ms < PROBE_FIRST_MS)
		return 0;
	turn = (uint64_t)((now - server->failed_ms - PROBE_FIRST_MS) /
	    PROBE_TURN_MS);
	return jj_hash_bytes(&turn, sizeof(turn), hash);
}

void
jj_outcomes_tick(jj_outcomes_t *outcomes, jj_ms_t now)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, outcomes->servers);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		server_t *server = value;

		if (is_expired(server, now))
			clear_evidence(outcomes, server);
		age(&server->rate, now);
		if (server->evidence == 0 &&
		    server->rate.answers < WEIGHT_MIN && !has_changes(server))
			g_hash_table_iter_remove(&at);
	}
	g_hash_table_iter_init(&at, outcomes->services);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		age(value, now);
		if (((rate_t *)value)->answers < WEIGHT_MIN)
			g_hash_table_iter_remove(&at);
	}
}

bool
jj_outcomes_is_empty(const jj_outcomes_t *outcomes)
{
	return outcomes->suspects == 0;
}

uint32_t
jj_outcomes_list(jj_outcomes_t *outcomes, jj_outcome_info_t *infos,
    uint32_t max_count, jj_ms_t now)
{
	GHashTableIter at;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&at, outcomes->servers);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		server_t *server = value;
		jj_outcome_info_t info = {.server = server->server};

		age(&server->rate, now);
		info.answers = server->rate.answers;
		if (server->rate.answers > 0)
			info.failure_rate =
			    server->rate.failures / server->rate.answers;
		info.avoided =
		    jj_outcomes_is_failing(outcomes, server->server, now);
		info.avoided_since_ms = server->failing_ms;
		if (count < max_count)
			infos[count] = info;
		count++;
	}
	return count;
}

/** The server, which is added if need be. */
static server_t *
find_server(
    jj_outcomes_t *outcomes, uint64_t hash, uint64_t service, jj_ms_t now)
{
	server_t *server = g_hash_table_lookup(outcomes->servers, &hash);

	if (server != NULL && is_expired(server, now))
		clear_evidence(outcomes, server);
	if (server != NULL)
		return server;
	server = jj_alloc(sizeof(*server));
	server->server = hash;
	server->service = service;
	(void)g_hash_table_insert(outcomes->servers, &server->server, server);
	return server;
}

/** Counts an answer in the rate of the service. */
static void
count_answer(
    jj_outcomes_t *outcomes, server_t *server, bool failed, jj_ms_t now)
{
	rate_t *service =
	    g_hash_table_lookup(outcomes->services, &server->service);
	uint32_t weight = failed ? 1 : outcomes->vms;
	uint64_t *key;

	if (service == NULL) {
		key = jj_alloc(sizeof(*key));
		*key = server->service;
		service = jj_alloc(sizeof(*service));
		(void)g_hash_table_insert(outcomes->services, key, service);
	}
	add(&server->counted, failed, weight, now);
	add(service, failed, weight, now);
}

static void
note_failure(
    jj_outcomes_t *outcomes, server_t *server, uint64_t content, jj_ms_t now)
{
	double usual = usual_rate(outcomes, server, now);

	if (server->failing)
		server->failed_ms = now;
	if (!is_own_fault(outcomes, server, content, now))
		return;
	server->failed_ms = now;
	server->successes = 0;
	server->repeats = 0;
	if (usual >= FAILING_RATE)
		return;
	if (server->evidence == 0) {
		if (outcomes->suspects == JJ_OUTCOMES_MAX)
			return;
		outcomes->suspects++;
		server->since_ms = now;
	}
	server->contents++;
	server->evidence += log(FAILING_RATE / usual);
	if (server->failing || server->contents < CONTENTS_MIN ||
	    server->evidence < FAILING_EVIDENCE)
		return;
	server->failing = true;
	server->failing_ms = now;
}

/** True when a failing server has recovered. */
static bool
note_successes(
    jj_outcomes_t *outcomes, server_t *server, uint32_t count, jj_ms_t now)
{
	double usual = usual_rate(outcomes, server, now);

	if (count == 0)
		return false;
	if (server->failing) {
		server->successes += count;
		if (server->successes < PROBES_NEEDED)
			return false;
		clear_evidence(outcomes, server);
		return true;
	}
	if (usual < FAILING_RATE)
		server->evidence -=
		    count * log((1 - usual) / (1 - FAILING_RATE));
	if (server->evidence <= 0)
		clear_evidence(outcomes, server);
	return false;
}

/**
 * False for a content that is counted already, or that failed at another
 * server: then its first failure is withdrawn, too.
 */
static bool
is_own_fault(jj_outcomes_t *outcomes, const server_t *server, uint64_t content,
    jj_ms_t now)
{
	content_t *known;
	uint32_t i;

	if (content == 0)
		return true;
	for (i = 0; i < CONTENTS_MAX; i++) {
		known = &outcomes->contents[i];
		if (known->content != content ||
		    now - known->failed_ms > EVIDENCE_MS)
			continue;
		known->failed_ms = now;
		if (known->server != server->server && !known->elsewhere) {
			known->elsewhere = true;
			withdraw(outcomes, known->server, now);
		}
		return false;
	}
	outcomes->contents[outcomes->next_content] =
	    (content_t){content, server->server, false, now};
	outcomes->next_content = (outcomes->next_content + 1) % CONTENTS_MAX;
	return true;
}

/** Withdraws one failure from the evidence, unless the server is failing. */
static void
withdraw(jj_outcomes_t *outcomes, uint64_t hash, jj_ms_t now)
{
	server_t *server = g_hash_table_lookup(outcomes->servers, &hash);
	double usual;

	if (server == NULL || server->failing || server->evidence == 0)
		return;
	usual = usual_rate(outcomes, server, now);
	server->contents--;
	if (usual < FAILING_RATE)
		server->evidence -= log(FAILING_RATE / usual);
	if (server->contents == 0 || server->evidence <= 0)
		clear_evidence(outcomes, server);
}

/** Failure rate of the other servers of the service. */
static double
usual_rate(const jj_outcomes_t *outcomes, const server_t *server, jj_ms_t now)
{
	const rate_t *known =
	    g_hash_table_lookup(outcomes->services, &server->service);
	rate_t service = {0};
	rate_t own = server->counted;

	if (known != NULL)
		service = *known;
	age(&service, now);
	age(&own, now);
	service.failures -= own.failures;
	service.answers -= own.answers;
	if (service.failures < 0)
		service.failures = 0;
	if (service.answers < service.failures)
		service.answers = service.failures;
	return (service.failures + USUAL_RATE * USUAL_WEIGHT) /
	    (service.answers + USUAL_WEIGHT);
}

static void
clear_evidence(jj_outcomes_t *outcomes, server_t *server)
{
	if (server->evidence != 0)
		outcomes->suspects--;
	server->evidence = 0;
	server->contents = 0;
	server->failing = false;
	server->successes = 0;
}

static bool
is_expired(const server_t *server, jj_ms_t now)
{
	return server->evidence != 0 &&
	    now - server->failed_ms >=
	    (server->failing ? AVOID_MS : EVIDENCE_MS);
}

static bool
has_changes(const server_t *server)
{
	return server->is_urgent || server->repeats > 0 ||
	    server->unreported.count > 0 || server->unreported.successes > 0;
}

static void
age(rate_t *rate, jj_ms_t now)
{
	double weight = exp(-(double)(now - rate->updated_ms) / RATE_MS);

	if (now <= rate->updated_ms)
		return;
	rate->failures *= weight;
	rate->answers *= weight;
	rate->updated_ms = now;
}

static void
add(rate_t *rate, bool failed, uint32_t weight, jj_ms_t now)
{
	age(rate, now);
	rate->failures += failed ? weight : 0;
	rate->answers += weight;
}
