/**
 * @file route.c
 * @brief Routes: which service answers a host and a path, and on what terms.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/route.h"

static bool begins(const jj_route_t *, const char *, size_t);

void
jj_routes_clear(jj_routes_t *routes)
{
	free(routes->routes);
	memset(routes, 0, sizeof(*routes));
}

const jj_route_t *
jj_routes_match(const jj_routes_t *routes, const char *host, const char *path)
{
	const jj_route_t *best = NULL;
	size_t best_length = 0;
	size_t path_length = strcspn(path, "?#");
	size_t i;

	for (i = 0; i < routes->route_count; i++) {
		const jj_route_t *route = &routes->routes[i];
		size_t length = strlen(route->prefix);

		if (length <= best_length ||
		    strcasecmp(route->host, host) != 0 ||
		    !begins(route, path, path_length))
			continue;
		best = route;
		best_length = length;
	}
	return best;
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
	uint64_t place;
	uint32_t i;

	for (i = 0; i < route->backend_count; i++)
		sum += route->backends[i].weight;
	if (sum == 0)
		return route->backend_count > 0 ? &route->backends[0].service
						: NULL;
	place = random % sum;
	for (i = 0; i + 1 < route->backend_count; i++) {
		if (place < route->backends[i].weight)
			break;
		place -= route->backends[i].weight;
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
	return route->kind == JJ_ROUTE_SAFE || route->kind == JJ_ROUTE_BATCH ||
	    (route->kind == JJ_ROUTE_STREAM && route->resumable);
}

static bool
begins(const jj_route_t *route, const char *path, size_t path_length)
{
	size_t length = strlen(route->prefix);

	return length <= path_length &&
	    strncmp(route->prefix, path, length) == 0;
}
