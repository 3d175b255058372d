/**
 * @file route.c
 * @brief Routes: which service answers a host and a path, under which limits.
 */
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <glib.h>

#include "core/route.h"

/** Multiplier of the hash of a host: the 64-bit FNV prime. */
#define HASH_FACTOR UINT64_C(0x100000001b3)
/** Minimum number of index slots for each route. */
#define INDEX_SLOTS_PER_ROUTE 2

/** A table that threads share. */
typedef struct {
	jj_routes_t routes; /**< first, as references point to it */
	atomic_uint references;
} shared_routes_t;

static bool has_anonymous_jobs(const jj_routes_t *, const char *);
static uint64_t hash_key(const char *, const char *, size_t);
static const jj_route_t *
find_prefix(const jj_routes_t *, const char *, const char *, size_t);
static bool is_key(const jj_route_t *, const char *, const char *, size_t);

void
jj_routes_add(jj_routes_t *routes, const jj_route_t *route)
{
	jj_route_t *copy;
	uint32_t i;

	if (routes->route_count == routes->capacity) {
		routes->capacity =
		    routes->capacity == 0 ? 16 : 2 * routes->capacity;
		routes->routes = jj_realloc(
		    routes->routes, routes->capacity * sizeof(*routes->routes));
	}
	copy = &routes->routes[routes->route_count++];
	*copy = *route;
	copy->host = strdup(route->host);
	copy->prefix = strdup(route->prefix);
	copy->backends = NULL;
	copy->backend_count = 0;
	for (i = 0; i < route->backend_count; i++)
		jj_route_add_backend(copy, &route->backends[i].service,
		    route->backends[i].weight);
}

void
jj_routes_build_index(jj_routes_t *routes)
{
	size_t size = 1;
	size_t i;

	while (size < INDEX_SLOTS_PER_ROUTE * routes->route_count)
		size *= 2;
	free(routes->index);
	routes->index = jj_alloc(size * sizeof(*routes->index));
	routes->index_size = size;
	routes->longest_prefix = 0;
	for (i = 0; i < routes->route_count; i++) {
		const jj_route_t *route = &routes->routes[i];
		size_t length = strlen(route->prefix);
		size_t at = hash_key(route->host, route->prefix, length);

		if (length > routes->longest_prefix)
			routes->longest_prefix = length;
		/*
		 * The first of two routes with the same host and prefix wins.
		 */
		if (find_prefix(routes, route->host, route->prefix, length) !=
		    NULL)
			continue;
		while (routes->index[at & (size - 1)] != 0)
			at++;
		routes->index[at & (size - 1)] = (uint32_t)i + 1;
	}
}

const jj_routes_t *
jj_routes_share(jj_routes_t *routes)
{
	shared_routes_t *shared = jj_alloc(sizeof(*shared));

	shared->routes = *routes;
	atomic_init(&shared->references, 1);
	memset(routes, 0, sizeof(*routes));
	return &shared->routes;
}

const jj_routes_t *
jj_routes_retain(const jj_routes_t *routes)
{
	shared_routes_t *shared = (shared_routes_t *)(uintptr_t)routes;

	if (shared != NULL)
		(void)atomic_fetch_add(&shared->references, 1);
	return routes;
}

void
jj_routes_release(const jj_routes_t *routes)
{
	shared_routes_t *shared = (shared_routes_t *)(uintptr_t)routes;

	if (shared == NULL || atomic_fetch_sub(&shared->references, 1) != 1)
		return;
	jj_routes_clear(&shared->routes);
	free(shared);
}

void
jj_routes_clear(jj_routes_t *routes)
{
	size_t i;

	for (i = 0; i < routes->route_count; i++)
		jj_route_clear(&routes->routes[i]);
	free(routes->routes);
	free(routes->index);
	jj_teams_release(routes->teams);
	memset(routes, 0, sizeof(*routes));
}

void
jj_route_add_backend(
    jj_route_t *route, const jj_name_t *service, uint32_t weight)
{
	jj_route_backend_t *backend;

	route->backends = jj_realloc(route->backends,
	    (route->backend_count + 1) * sizeof(*route->backends));
	backend = &route->backends[route->backend_count++];
	backend->service = *service;
	backend->weight = weight;
}

void
jj_route_clear(jj_route_t *route)
{
	free(route->host);
	free(route->prefix);
	free(route->backends);
	memset(route, 0, sizeof(*route));
}

/**
 * A prefix ends with a slash, so only prefixes of the path that end with a
 * slash are looked up.
 */
const jj_route_t *
jj_routes_match(const jj_routes_t *routes, const char *host, const char *path)
{
	size_t length = strcspn(path, "?#");
	const jj_route_t *found;

	if (routes->index == NULL)
		return NULL;
	if (length > routes->longest_prefix)
		length = routes->longest_prefix;
	for (; length > 0; length--) {
		if (path[length - 1] != '/')
			continue;
		found = find_prefix(routes, host, path, length);
		if (found != NULL)
			return found;
	}
	return NULL;
}

jj_access_t
jj_routes_check_call(
    const jj_routes_t *routes, const jj_routes_call_t *call, jj_name_t *team)
{
	const jj_team_entry_t *found = NULL;
	const jj_route_t *route;
	jj_access_t access;
	bool optional = false;

	memset(team, 0, sizeof(*team));
	if (routes->version == 0)
		return JJ_ACCESS_UNCLEAR;
	if (call->host != NULL && call->on_job) {
		optional = has_anonymous_jobs(routes, call->host);
	} else if (call->host != NULL) {
		route = jj_routes_match(routes, call->host, call->path);
		optional = route != NULL && route->anonymous;
	}
	access = jj_teams_check(
	    routes->teams, optional, call->key, call->key_count, &found);
	if (found != NULL)
		*team = found->name;
	else if (access == JJ_ACCESS_GRANTED && routes->teams != NULL &&
	    call->key_count > 0)
		return JJ_ACCESS_ANONYMOUS;
	return access;
}

const jj_route_t *
jj_routes_find(const jj_routes_t *routes, const char *name)
{
	size_t i;

	for (i = 0; i < routes->route_count; i++)
		if (strcmp(routes->routes[i].name.text, name) == 0)
			return &routes->routes[i];
	return NULL;
}

const jj_name_t *
jj_route_pick(const jj_route_t *route, uint64_t random)
{
	uint64_t sum = 0;
	uint64_t rest;
	uint32_t i;

	for (i = 0; i < route->backend_count; i++)
		sum += route->backends[i].weight;
	if (sum == 0)
		return route->backend_count > 0 ? &route->backends[0].service
						: NULL;
	rest = random % sum;
	for (i = 0; i + 1 < route->backend_count; i++) {
		if (rest < route->backends[i].weight)
			break;
		rest -= route->backends[i].weight;
	}
	return &route->backends[i].service;
}

bool
jj_route_allows(const jj_route_t *route, const jj_name_t *service)
{
	uint32_t i;

	for (i = 0; i < route->backend_count; i++)
		if (jj_name_equal(&route->backends[i].service, service))
			return true;
	return false;
}

bool
jj_route_is_repeatable(const jj_route_t *route)
{
	return route->kind == JJ_ROUTE_IDEMPOTENT ||
	    route->kind == JJ_ROUTE_BATCH ||
	    (route->kind == JJ_ROUTE_STREAM && route->resumable);
}

/** True when some batch route of the host serves callers without a key. */
static bool
has_anonymous_jobs(const jj_routes_t *routes, const char *host)
{
	size_t i;

	for (i = 0; i < routes->route_count; i++) {
		const jj_route_t *route = &routes->routes[i];

		if (route->kind == JJ_ROUTE_BATCH && route->anonymous &&
		    strcasecmp(route->host, host) == 0)
			return true;
	}
	return false;
}

/** Hashes a host and a prefix; the case of the host is ignored. */
static uint64_t
hash_key(const char *host, const char *prefix, size_t length)
{
	uint64_t hash = 0;
	size_t i;

	for (i = 0; host[i] != '\0'; i++)
		hash =
		    HASH_FACTOR * (hash + (uint64_t)g_ascii_tolower(host[i]));
	return jj_hash_bytes(prefix, length, hash);
}

static const jj_route_t *
find_prefix(const jj_routes_t *routes, const char *host, const char *prefix,
    size_t length)
{
	size_t at = hash_key(host, prefix, length);
	uint32_t number;

	while ((number = routes->index[at & (routes->index_size - 1)]) != 0) {
		if (is_key(&routes->routes[number - 1], host, prefix, length))
			return &routes->routes[number - 1];
		at++;
	}
	return NULL;
}

static bool
is_key(const jj_route_t *route, const char *host, const char *prefix,
    size_t length)
{
	return strncmp(route->prefix, prefix, length) == 0 &&
	    route->prefix[length] == '\0' && strcasecmp(route->host, host) == 0;
}
