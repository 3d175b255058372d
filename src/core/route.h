/**
 * @file route.h
 * @brief Routes: which service answers a host and a path, under which limits.
 *
 * A table is one numbered version of the configuration, read as a whole and
 * never changed afterwards. Threads share it by references. All that is decided
 * of a call is decided by one table: a team of one version with a route of
 * another was never allowed by any configuration.
 */
#ifndef JJ_CORE_ROUTE_H
#define JJ_CORE_ROUTE_H

#include "core/team/team.h"
#include "core/types.h"

/** Which requests of a route may be repeated. */
typedef enum {
	JJ_ROUTE_IDEMPOTENT, /**< idempotent: may run more than once */
	/** not idempotent: at most once for each attempt of the caller */
	JJ_ROUTE_NON_IDEMPOTENT,
	JJ_ROUTE_STREAM, /**< event streams; at most once unless resumable */
	JJ_ROUTE_BATCH, /**< accepts whole batch jobs */
} jj_route_kind_t;

/** One service of a split route. */
typedef struct {
	jj_name_t service;
	uint32_t weight; /**< share of requests, relative to the sum of all */
} jj_route_backend_t;

typedef struct {
	jj_name_t name;
	char *host;
	char *prefix; /**< begins and ends with '/' */
	jj_route_kind_t kind;
	bool anonymous; /**< serves callers without a key, too */
	bool resumable; /**< a stream may be resumed at another server */
	/** maximum number of servers that one request is sent to */
	uint32_t attempts;
	uint32_t priority; /**< 0 is the highest */
	jj_ms_t timeout_ms; /**< time limit for the whole answer */
	jj_ms_t target_ms; /**< latency objective of the first byte */
	/** longest pause between events that counts as in time */
	jj_ms_t gap_ms;
	/** of a job: time from its submission until its results are due */
	jj_ms_t run_due_ms;
	/** of a job: time after which its items may be abandoned */
	jj_ms_t retention_ms;
	/** maximum number of waiting tokens, 0: no limit */
	uint64_t max_waiting_tokens;
	jj_route_backend_t *backends;
	uint32_t backend_count; /**< 0: no usable service is known */
} jj_route_t;

/** What callers may send; 0: the configuration does not say. */
typedef struct {
	size_t head_bytes;
	size_t body_bytes;
	jj_ms_t head_ms; /**< until a head is complete */
	jj_ms_t idle_ms; /**< between two requests of a connection */
} jj_route_limits_t;

/**
 * One version of all routes. The number of routes has no limit of its own: only
 * the size of the document that they are read from is limited, by the platform.
 */
typedef struct {
	uint64_t version; /**< 0: no configuration yet */
	jj_route_t *routes; /**< owned, with their texts and backends */
	size_t route_count;
	size_t unreadable; /**< how many of the routes have no known service */
	size_t capacity; /**< routes that fit into the array */
	uint32_t *index; /**< hash table: index in `routes` plus 1, 0: empty */
	size_t index_size; /**< a power of two */
	size_t longest_prefix; /**< bytes */
	jj_route_limits_t limits; /**< of the same version, for all routes */
	/** of the same version; NULL: callers need no key */
	jj_teams_t *teams;
} jj_routes_t;

/** Adds a copy of @p route; call jj_routes_build_index() after the last one. */
void jj_routes_add(jj_routes_t *routes, const jj_route_t *route);
/** Builds the index that jj_routes_match() needs. */
void jj_routes_build_index(jj_routes_t *routes);
/** Moves a table to where threads can share it; returns the first reference. */
const jj_routes_t *jj_routes_share(jj_routes_t *routes);
/** Adds a reference to a shared table; NULL is passed through. */
const jj_routes_t *jj_routes_retain(const jj_routes_t *routes);
/** Drops a reference; NULL is ignored. */
void jj_routes_release(const jj_routes_t *routes);
/** Frees what the table owns and empties it. */
void jj_routes_clear(jj_routes_t *routes);
/** Adds a service to a route that jj_route_clear() frees. */
void jj_route_add_backend(
    jj_route_t *route, const jj_name_t *service, uint32_t weight);
/** Frees what a route outside a table owns. */
void jj_route_clear(jj_route_t *route);
/**
 * The route of @p host with the longest prefix of @p path; a query string is
 * ignored. NULL when there is none.
 */
const jj_route_t *
jj_routes_match(const jj_routes_t *routes, const char *host, const char *path);
/** What a call sends that tells who may make it. */
typedef struct {
	const char *host; /**< or NULL */
	const char *path;
	bool on_job; /**< reads or ends a job */
	const char *key; /**< or NULL */
	size_t key_count; /**< how many keys it sends */
} jj_routes_call_t;

/**
 * Decides whether a call may be made; nothing is granted or denied without a
 * configuration. JJ_ACCESS_ANONYMOUS and JJ_ACCESS_DENIED hold only while no
 * newer version is known, which may have the key.
 * @param team the caller's; empty when it needs none.
 */
jj_access_t jj_routes_check_call(
    const jj_routes_t *routes, const jj_routes_call_t *call, jj_name_t *team);
/** The route of that name, or NULL. */
const jj_route_t *jj_routes_find(const jj_routes_t *routes, const char *name);
/** Picks a service of the route by weight; @p random is any number. */
const jj_name_t *jj_route_pick(const jj_route_t *route, uint64_t random);
/** True when some backend of the route is @p service. */
bool jj_route_allows(const jj_route_t *route, const jj_name_t *service);
/** True when a request may be sent again after it may have run. */
bool jj_route_is_repeatable(const jj_route_t *route);

#endif
