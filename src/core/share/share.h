/**
 * @file share.h
 * @brief Fair shares of a service's request slots: the part of each VM.
 *
 * While a service has fewer slots than are asked for, its slots are divided
 * among groups of requests (teams; routes where there are no teams) by weighted
 * max-min fairness: a group that asks for less than its share gets all of it,
 * the rest is divided among the others. The unit is slot time: a group whose
 * requests run longer gets fewer of them.
 *
 * One VM, the home of the service (share_home.h), adds up the demand that the
 * VMs report and sends back which part of each group's requests is within its
 * share. Without a recent answer a VM divides its part of the slots by the
 * demand that it sees itself. While the service is not contended nothing is
 * reported and each request is within its share.
 *
 * Pure: takes arrivals, ends, messages and the time; returns decisions and
 * reports.
 */
#ifndef JJ_CORE_SHARE_SHARE_H
#define JJ_CORE_SHARE_SHARE_H

#include "core/message.h"

/**
 * Maximum groups that a VM counts, over all services; further ones are counted
 * together. A group takes about 150 bytes.
 */
#define JJ_SHARE_GROUPS_MAX 10240

/** What a request counts for. */
typedef struct {
	const jj_name_t *service;
	uint64_t group; /**< jj_team_hash() of a team's or route's name */
	double weight; /**< of the group, > 0 */
} jj_share_key_t;

/** Decision about one request. */
typedef struct {
	bool within; /**< within the share of its group */
	bool limited; /**< its group asks for more than its share */
	/**
	 * of a request that is refused for its share: when the group is
	 * expected to have room, ms
	 */
	jj_ms_t retry_after_ms;
	/** "home", "own" (divided here) or "none" (not divided), for the log */
	const char *basis;
	/** slots of all VMs, or of this one when divided here; 0: no limit */
	double share;
	double demand; /**< asked for, in the same unit */
	jj_ms_t age_ms; /**< of that information; JJ_MS_NEVER: none */
} jj_share_decision_t;

/** A group at this VM, for metrics; all services together. */
typedef struct {
	uint64_t group; /**< 0: groups beyond JJ_SHARE_GROUPS_MAX */
	/** requests per second that are within its share */
	double share;
	double demand; /**< requests per second that arrive */
	double served; /**< requests per second that are sent to servers */
} jj_share_info_t;

typedef struct jj_shares jj_shares_t;

/** What a VM needs to know to report and to divide. */
typedef struct {
	void *ctx;
	/**
	 * Part of a service's slots that online requests of all VMs take, and
	 * the number of slots that are this VM's when it divides by itself.
	 */
	void (*slots_of)(void *ctx, const jj_name_t *service, double *taken,
	    double *own_slots);
	/** Sends a report to the service's home. */
	void (*report)(void *ctx, const jj_share_demand_t *demand);
	jj_ms_t interval_ms; /**< between reports */
} jj_share_port_t;

jj_shares_t *jj_shares_create(uint64_t seed);
void jj_shares_destroy(jj_shares_t *shares);

/** Counts a request that arrives, and decides about it. */
jj_share_decision_t
jj_shares_arrive(jj_shares_t *shares, const jj_share_key_t *key, jj_ms_t now);
/** Counts a request that is sent to a server for the first time. */
void jj_shares_note_sent(
    jj_shares_t *shares, const jj_share_key_t *key, jj_ms_t now);
/** Records how long a request that has ended occupied its slot. */
void jj_shares_note_end(jj_shares_t *shares, const jj_share_key_t *key,
    jj_ms_t slot_ms, jj_ms_t now);
/** A request of that service found no slot. */
void jj_shares_note_shortage(
    jj_shares_t *shares, const jj_name_t *service, jj_ms_t now);
/** Takes the answer of a service's home. */
void jj_shares_take_level(
    jj_shares_t *shares, const jj_share_level_t *level, jj_ms_t now);
/** Checks for contention, sends due reports, forgets groups without requests. */
void
jj_shares_tick(jj_shares_t *shares, const jj_share_port_t *port, jj_ms_t now);

/** True while some service is contended. */
bool jj_shares_is_contended(const jj_shares_t *shares, jj_ms_t now);
/**
 * Lists the groups with the highest demand first.
 * @return how many there are; the first @p max_count are filled in.
 */
size_t jj_shares_list(const jj_shares_t *shares, jj_share_info_t *infos,
    size_t max_count, jj_ms_t now);

#endif
