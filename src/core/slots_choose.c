/**
 * @file slots_choose.c
 * @brief Which server a request or a batch item goes to.
 */
#include "core/slots_state.h"

/*
 * Cost of each alternative to a free slot, in units of requests that wait
 * ahead: cancelling a batch item of this VM (its slot is free within a step of
 * the engine), cancelling one of a neighbour (one message later), and leaving
 * the failure domain (a few ms of network delay, and the loads there are less
 * known).
 */
#define COST_CANCEL_OWN 0.2
#define COST_CANCEL_OTHER 0.4
#define COST_REMOTE 0.9

/* Random part of a cost, so that equal costs differ. */
#define COST_SPREAD 0.003

/*
 * A server whose last attempt failed: cancelling a batch item is better than to
 * wait for a connection that may not come, waiting behind a request is worse.
 */
#define COST_FAILED 0.8

/*
 * The server where the request failed before is used only if there is no other.
 */
#define COST_AVOIDED 1000.0

/* A connection that is not answered yet may go to an unreachable server. */
#define COST_OPEN_CONNECT 0.3

/* Upper bound of the slowness factor; a slower server counts as fuller. */
#define SLOWNESS_MAX 20.0

/*
 * A first event that takes this many times the fastest server's mean, and at
 * least this long, has waited behind requests that were not reported. Batch
 * items then use other servers.
 */
#define CROWDED_TIMES 3.0
#define CROWDED_MIN_MS 100.0

/* Number of VMs of other domains that may use a server, when there are many. */
#define REMOTE_VMS 2

/*
 * With fewer VMs of other domains, each may use every server: collisions are
 * rare.
 */
#define REMOTE_VMS_UNASSIGNED_MAX 8

/*
 * A request considers this many times its VM's share of the domain's servers,
 * and at least this many of them.
 */
#define SAMPLE_SHARES 2
#define SAMPLE_MIN 3

/*
 * When the servers that this VM uses are full, a request considers this many of
 * the others, chosen at random. Their loads are known only from heartbeats: the
 * one that seems emptiest would be chosen by all VMs.
 */
#define OTHERS_SAMPLE 3

/*
 * Time over which the mean load of the servers that this VM uses is smoothed,
 * ms; about the age of what it knows of the others.
 */
#define LOAD_SMOOTHING_MS 2000

/** What one choice considers. */
typedef struct {
	double assigned_share; /**< of the servers that this VM uses, 0 to 1 */
	double others_share; /**< of the others */
	/**
	 * Online requests that each of the others probably has beyond those
	 * known. Their loads come with heartbeats: at the start of a peak they
	 * seem free, and all VMs would send there what finds no slot at their
	 * own servers.
	 */
	uint32_t others_unreported;
} sample_t;

static jj_slot_server_t *choose_server(
    jj_slots_t *, const jj_slots_criteria_t *, jj_ms_t, sample_t, bool *);
static uint32_t load_rise(jj_slots_t *, const jj_name_t *, jj_ms_t);
static bool is_full(const jj_slots_t *, const jj_slot_server_t *, uint32_t);
static bool is_soon_enough(const jj_slot_server_t *, uint32_t,
    const jj_slots_criteria_t *, double, double);
static double mean_service_time(const jj_slots_t *, const jj_name_t *, jj_ms_t);
static double sample_share(const jj_slots_t *, const jj_name_t *);
static double others_share(const jj_slots_t *, const jj_name_t *, jj_ms_t);
static double random_value(const jj_slots_t *, const jj_slot_server_t *);
static bool is_assigned(const jj_slots_t *, const jj_slot_server_t *);
static bool
has_assigned(const jj_slots_t *, const jj_name_t *, uint64_t, jj_ms_t);
static bool has_free_slot(const jj_slots_t *, const jj_slot_server_t *);
static double cost_of(const jj_slot_server_t *, uint32_t, double);
static double fastest(const jj_slots_t *, const jj_name_t *, jj_ms_t);
static double slowness(const jj_slot_server_t *, double);
static bool is_candidate(const jj_slot_server_t *, const jj_name_t *, jj_ms_t);
static bool is_of_software(const jj_slot_server_t *, uint64_t);
static bool has_weights(const jj_slot_server_t *, uint64_t);

jj_slot_server_t *
jj_slots_choose_online(jj_slots_t *slots, const jj_slots_criteria_t *criteria,
    jj_ms_t now, bool *full)
{
	sample_t sample = {sample_share(slots, criteria->service), 0,
	    load_rise(slots, criteria->service, now)};
	jj_slot_server_t *best;

	slots->sequence++;
	best = choose_server(slots, criteria, now, sample, full);
	if (best != NULL && jj_slot_server_taken(best) < best->info.slots &&
	    has_weights(best, criteria->weights))
		return best;
	sample.assigned_share = 1;
	sample.others_share = others_share(slots, criteria->service, now);
	best = choose_server(slots, criteria, now, sample, full);
	if (best != NULL || sample.others_share >= 1)
		return best;
	sample.others_share = 1;
	return choose_server(slots, criteria, now, sample, full);
}

jj_slot_server_t *
jj_slots_choose_batch(
    jj_slots_t *slots, const jj_name_t *service, uint64_t software, jj_ms_t now)
{
	jj_slot_server_t *best = NULL;
	jj_slot_server_t *server;
	double best_free = 0;
	double best_ms = fastest(slots, service, now);
	bool all = !has_assigned(slots, service, software, now);

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		double free_slots;

		if (!is_candidate(server, service, now) ||
		    !is_of_software(server, software) ||
		    !(all || is_assigned(slots, server)) || server->avoided ||
		    server->open_connects > 1 ||
		    now < server->crowded_until_ms ||
		    !has_free_slot(slots, server))
			continue;
		free_slots =
		    (double)(server->info.slots - jj_slot_server_taken(server));
		if (!server->local)
			free_slots /= 2;
		free_slots /= slowness(server, best_ms);
		if (free_slots <= best_free)
			continue;
		best = server;
		best_free = free_slots;
	}
	return best;
}

jj_ms_t
jj_slots_wait_limit(
    const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now)
{
	double usual = fastest(slots, service, now);
	double limit = CROWDED_TIMES * usual;

	if (usual == 0)
		return JJ_MS_NEVER;
	return (jj_ms_t)(limit > CROWDED_MIN_MS ? limit : CROWDED_MIN_MS);
}

void
jj_slots_sum(const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now,
    uint32_t *total, uint32_t *taken)
{
	const jj_slot_server_t *server;

	*total = 0;
	*taken = 0;
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!is_candidate(server, service, now))
			continue;
		*total += server->info.slots;
		*taken += jj_slot_server_taken(server);
	}
}

/**
 * The cheapest of the sampled servers, each of which is in the sample with the
 * probability that @p sample gives.
 */
static jj_slot_server_t *
choose_server(jj_slots_t *slots, const jj_slots_criteria_t *criteria,
    jj_ms_t now, sample_t sample, bool *full)
{
	double best_ms = fastest(slots, criteria->service, now);
	double service_ms = mean_service_time(slots, criteria->service, now);
	jj_slot_server_t *best = NULL;
	jj_slot_server_t *server;
	double best_cost = 0;
	bool is_fitting_full = false;

	*full = false;
	TAILQ_FOREACH(server, &slots->servers, link)
	{
		double value = random_value(slots, server);
		uint32_t extra;
		bool assigned;
		double cost;

		if (!is_candidate(server, criteria->service, now) ||
		    !is_of_software(server, criteria->software))
			continue;
		if (server->avoided) {
			/* A probe. */
			*full = false;
			return server;
		}
		assigned = is_assigned(slots, server);
		extra = assigned ? 0 : sample.others_unreported;
		if (value >=
		    (assigned ? sample.assigned_share : sample.others_share))
			continue;
		if (is_full(slots, server, extra) ||
		    !is_soon_enough(
			server, extra, criteria, best_ms, service_ms)) {
			*full = true;
			is_fitting_full = is_fitting_full ||
			    has_weights(server, criteria->weights);
			continue;
		}
		cost = cost_of(server, extra, best_ms);
		if (criteria->avoid != NULL &&
		    jj_name_equal(&server->info.id, criteria->avoid))
			cost += COST_AVOIDED;
		if (!has_weights(server, criteria->weights))
			cost += COST_AVOIDED;
		if (!assigned)
			cost += COST_REMOTE;
		/*
		 * Equal costs get a random difference, so that VMs choose
		 * differently.
		 */
		cost += value * COST_SPREAD;
		if (best != NULL && cost >= best_cost)
			continue;
		best = server;
		best_cost = cost;
	}
	/* A server that would refuse it is no better than a queue. */
	if (best != NULL && is_fitting_full &&
	    !has_weights(best, criteria->weights))
		best = NULL;
	if (best != NULL)
		*full = false;
	return best;
}

static bool
is_full(const jj_slots_t *slots, const jj_slot_server_t *server, uint32_t extra)
{
	return server->online + server->others_online + extra >=
	    server->info.slots + slots->settings.queue_most;
}

/**
 * By how much the mean number of online requests at the servers that this VM
 * uses has risen lately.
 */
static uint32_t
load_rise(jj_slots_t *slots, const jj_name_t *service, jj_ms_t now)
{
	const jj_slot_server_t *server;
	jj_mean_load_t *smoothed;
	double weight;
	double mean = 0;
	double rise;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!is_candidate(server, service, now) ||
		    !is_assigned(slots, server))
			continue;
		mean += server->online + server->others_online;
		count++;
	}
	if (count == 0)
		return 0;
	mean /= count;
	smoothed = g_hash_table_lookup(slots->mean_loads, service->text);
	if (smoothed == NULL) {
		smoothed = jj_alloc(sizeof(*smoothed));
		*smoothed = (jj_mean_load_t){mean, now};
		(void)g_hash_table_insert(
		    slots->mean_loads, g_strdup(service->text), smoothed);
	}
	rise = mean - smoothed->value;
	weight = (double)(now - smoothed->updated_ms);
	smoothed->value += rise * weight / (weight + LOAD_SMOOTHING_MS);
	smoothed->updated_ms = now;
	return rise > 0 ? (uint32_t)rise : 0;
}

/**
 * Guards against a queue in which all requests are late: a server works in
 * order of arrival, so with more requests than slots each would wait behind
 * others that are late already, and none would be in time. Each request in the
 * queue of a full server adds its service time divided by the number of slots.
 * When even a free slot is too slow for the target, the queue is not the reason
 * for a late answer, and no request is refused for it.
 */
static bool
is_soon_enough(const jj_slot_server_t *server, uint32_t extra,
    const jj_slots_criteria_t *criteria, double best_ms, double service_ms)
{
	uint32_t online = server->online + server->others_online + extra;
	double within = (double)criteria->first_within_ms;
	double own_service_ms =
	    server->service_ms > 0 ? server->service_ms : service_ms;
	double wait_ms;

	online += (uint32_t)(criteria->spare_part * server->info.slots);
	if (online < server->info.slots ||
	    criteria->first_within_ms == JJ_MS_NEVER)
		return true;
	if (criteria->first_within_ms > 0 && best_ms >= within)
		return true;
	wait_ms = (online - server->info.slots + 1) * own_service_ms /
	    server->info.slots;
	return best_ms + wait_ms <= within;
}

/** Share of the servers that this VM uses which one request considers. */
static double
sample_share(const jj_slots_t *slots, const jj_name_t *service)
{
	const jj_slot_server_t *server;
	double sample = SAMPLE_MIN;
	uint32_t count = 0;
	uint32_t used = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!server->local ||
		    !jj_name_equal(&server->info.service, service))
			continue;
		count++;
		used += server->used;
	}
	if (SAMPLE_SHARES * (double)count / slots->near_vms > sample)
		sample = SAMPLE_SHARES * (double)count / slots->near_vms;
	return used > 0 && sample < used ? sample / used : 1;
}

/** Share of the servers that this VM does not use, when the used are full. */
static double
others_share(const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now)
{
	const jj_slot_server_t *server;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		count += is_candidate(server, service, now) &&
		    !is_assigned(slots, server);
	}
	return count > OTHERS_SAMPLE ? (double)OTHERS_SAMPLE / count : 1;
}

/** A random number from 0 to 1, different for each server and request. */
static double
random_value(const jj_slots_t *slots, const jj_slot_server_t *server)
{
	uint64_t hash = jj_hash_bytes(&slots->sequence, sizeof(slots->sequence),
	    server->hash ^ slots->settings.seed);

	return (double)(hash & 0xffff) / 0x10000;
}

/** False for a server that is left to other VMs. */
static bool
is_assigned(const jj_slots_t *slots, const jj_slot_server_t *server)
{
	if (server->local)
		return server->used;
	if (slots->far_vms < REMOTE_VMS_UNASSIGNED_MAX)
		return true;
	return jj_rendezvous_weight(slots->settings.name.text, server->hash) %
	    slots->far_vms <
	    REMOTE_VMS;
}

/**
 * When none is assigned to this VM, it uses all; otherwise batch items would
 * wait for ever although servers are idle.
 */
static bool
has_assigned(const jj_slots_t *slots, const jj_name_t *service,
    uint64_t software, jj_ms_t now)
{
	const jj_slot_server_t *server;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (is_candidate(server, service, now) &&
		    is_of_software(server, software) &&
		    is_assigned(slots, server))
			return true;
	}
	return false;
}

/**
 * Batch leaves slots free, and one more at servers of other domains: two free
 * slots there are worth one in this domain. A server with fewer slots than that
 * takes an item while it is empty.
 */
static bool
has_free_slot(const jj_slots_t *slots, const jj_slot_server_t *server)
{
	uint32_t needed = slots->settings.reserve + (server->local ? 1 : 2);

	if (needed > server->info.slots)
		needed = server->info.slots;
	return needed > 0 &&
	    jj_slot_server_taken(server) + needed <= server->info.slots;
}

static double
cost_of(const jj_slot_server_t *server, uint32_t extra, double best_ms)
{
	uint32_t online = server->online + server->others_online + extra;
	uint32_t taken = jj_slot_server_taken(server) + extra;
	uint32_t limit = server->info.slots;
	double cost;

	if (taken < limit)
		cost = 0.1 * (double)taken / (double)limit;
	else if (server->batch > 0)
		cost = COST_CANCEL_OWN;
	else if (server->others_batch > 0)
		cost = COST_CANCEL_OTHER;
	else
		cost = 1.0 + (double)online - limit;
	cost += COST_OPEN_CONNECT *
	    (server->open_connects > 1 ? server->open_connects - 1 : 0);
	cost += slowness(server, best_ms) - 1;
	if (server->failures > 0)
		cost += COST_FAILED;
	if (!server->local)
		cost += COST_REMOTE;
	return cost;
}

/** The shortest mean wait for a first event among a service's servers. */
static double
fastest(const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now)
{
	const jj_slot_server_t *server;
	double best = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!is_candidate(server, service, now) ||
		    server->first_ms == 0)
			continue;
		if (best == 0 || server->first_ms < best)
			best = server->first_ms;
	}
	return best;
}

/** Mean service time over a service's servers; 0: unknown. */
static double
mean_service_time(
    const jj_slots_t *slots, const jj_name_t *service, jj_ms_t now)
{
	const jj_slot_server_t *server;
	double sum = 0;
	uint32_t count = 0;

	TAILQ_FOREACH(server, &slots->servers, link)
	{
		if (!is_candidate(server, service, now) ||
		    server->service_ms == 0)
			continue;
		sum += server->service_ms;
		count++;
	}
	return count > 0 ? sum / count : 0;
}

/**
 * How many times slower than the fastest; up to a factor of two it is noise.
 */
static double
slowness(const jj_slot_server_t *server, double best_ms)
{
	double times;

	if (server->first_ms == 0 || best_ms == 0)
		return 1;
	times = server->first_ms / best_ms / 2;
	if (times < 1)
		return 1;
	return times < SLOWNESS_MAX ? times : SLOWNESS_MAX;
}

static bool
is_candidate(
    const jj_slot_server_t *server, const jj_name_t *service, jj_ms_t now)
{
	return jj_slot_server_is_up(server, now) &&
	    (!server->avoided || server->probe_due) &&
	    jj_name_equal(&server->info.service, service);
}

static bool
is_of_software(const jj_slot_server_t *server, uint64_t software)
{
	return software == 0 || server->software == software;
}

/** True if the server may have these weights; 0: any. */
static bool
has_weights(const jj_slot_server_t *server, uint64_t weights)
{
	return weights == 0 || server->weights == 0 ||
	    server->weights == weights;
}
