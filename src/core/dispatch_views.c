/**
 * @file dispatch_views.c
 * @brief The views of all servers: lookup by hash, refresh on changes.
 *
 * A VM lists the servers of all domains, a few thousand, but works with about a
 * hundred. So no work may be repeated for each listed server: views are
 * refreshed only when the fleet, the configuration or the domain's VMs have
 * changed. In each service's list the servers of this domain come first, so
 * that code that needs only these stops at the first other one.
 */
#include <string.h>

#include "core/dispatch_state.h"

/*
 * The views are also refreshed after this time without a change, as two things
 * expire without one: the last server state that a lost speaker of another
 * domain reported, and neighbours that have been forgotten.
 */
#define FULL_REFRESH_MS 2000

static uint64_t hash_names(const jj_member_info_t *, size_t);
static void refresh_all(jj_dispatch_t *, bool, jj_ms_t);
static void refresh_view(jj_dispatch_t *, const jj_server_t *, bool, jj_ms_t);
static jj_service_queue_t *
find_service_of(jj_dispatch_t *, const jj_server_view_t *, const jj_server_t *);
static jj_server_view_t *
add_view(jj_dispatch_t *, jj_service_queue_t *, const jj_server_t *);
static void insert_view(jj_server_view_t *);
static void update_steward(const jj_dispatch_t *, jj_server_view_t *);
static void drop_unlisted(jj_dispatch_t *);

jj_server_view_t *
jj_dispatch_find_hash(const jj_dispatch_t *dispatch, uint64_t hash)
{
	const struct view_bucket *bucket =
	    &dispatch->view_buckets[hash % VIEW_BUCKETS];
	jj_server_view_t *view;

	LIST_FOREACH(view, bucket, hash_link)
	{
		if (view->hash == hash)
			return view;
	}
	return NULL;
}

jj_server_view_t *
jj_dispatch_find_view(const jj_dispatch_t *dispatch, const jj_name_t *server,
    jj_service_queue_t **service)
{
	uint64_t hash = jj_dispatch_hash_server(server);
	const struct view_bucket *bucket =
	    &dispatch->view_buckets[hash % VIEW_BUCKETS];
	jj_server_view_t *view;

	*service = NULL;
	LIST_FOREACH(view, bucket, hash_link)
	{
		if (view->hash != hash || !jj_name_equal(&view->name, server))
			continue;
		*service = view->owner;
		return view;
	}
	return NULL;
}

void
jj_dispatch_refresh_views(jj_dispatch_t *dispatch, const jj_member_info_t *vms,
    size_t vm_count, jj_ms_t now)
{
	uint64_t vms_hash = hash_names(vms, vm_count);
	uint64_t fleet_version = jj_fleet_version(dispatch->fleet);
	bool all = dispatch->views_stale || vms_hash != dispatch->vms_hash ||
	    now >= dispatch->full_refresh_ms;

	if (all || fleet_version != dispatch->fleet_version)
		refresh_all(dispatch, all, now);
	if (all)
		dispatch->full_refresh_ms = now + FULL_REFRESH_MS;
	dispatch->views_stale = false;
	dispatch->vms_hash = vms_hash;
	dispatch->fleet_version = fleet_version;
	if (dispatch->has_unlisted_views)
		drop_unlisted(dispatch);
}

/*
 * Which loads count and which VM is steward depends on the names of the live
 * VMs.
 */
static uint64_t
hash_names(const jj_member_info_t *vms, size_t count)
{
	uint64_t hash = count;
	size_t i;

	for (i = 0; i < count; i++)
		hash = jj_hash_bytes(
		    vms[i].name.text, strlen(vms[i].name.text) + 1, hash);
	return hash;
}

/* With @p all also refreshes what depends on the VMs, not only on the fleet. */
static void
refresh_all(jj_dispatch_t *dispatch, bool all, jj_ms_t now)
{
	const jj_server_t *servers;
	jj_service_queue_t *service;
	jj_server_view_t *view;
	size_t count;
	size_t i;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		view->listed = false;
	}
	servers = jj_fleet_list(dispatch->fleet, &count);
	for (i = 0; i < count; i++)
		refresh_view(dispatch, &servers[i], all, now);
	dispatch->has_unlisted_views = true;
}

static void
refresh_view(
    jj_dispatch_t *dispatch, const jj_server_t *server, bool all, jj_ms_t now)
{
	jj_service_queue_t *service;
	jj_server_view_t *view =
	    jj_dispatch_find_view(dispatch, &server->name, &service);
	bool local = jj_name_equal(&server->domain, &dispatch->settings.domain);
	bool moved = view == NULL || view->local != local;

	service = find_service_of(dispatch, view, server);
	if (service == NULL)
		return;
	if (view == NULL)
		view = add_view(dispatch, service, server);
	view->listed = true;
	view->up = jj_fleet_takes_work(dispatch->fleet, &server->name, now);
	if (moved) {
		view->local = local;
		insert_view(view);
	}
	if (!moved && !all)
		return;
	update_steward(dispatch, view);
	jj_server_view_refresh(view, dispatch->member);
}

/* The service that the server belongs to now, or NULL. */
static jj_service_queue_t *
find_service_of(jj_dispatch_t *dispatch, const jj_server_view_t *view,
    const jj_server_t *server)
{
	if (view != NULL && jj_name_equal(&view->owner->name, &server->service))
		return view->owner;
	return jj_dispatch_find_service(dispatch, server->service.text);
}

static jj_server_view_t *
add_view(jj_dispatch_t *dispatch, jj_service_queue_t *service,
    const jj_server_t *server)
{
	jj_server_view_t *view = jj_server_view_create(server);

	jj_headroom_reset(&view->headroom, dispatch->settings.batch_start);
	view->logged_limit = dispatch->settings.batch_start;
	view->owner = service;
	TAILQ_INSERT_TAIL(&service->servers, view, link);
	LIST_INSERT_HEAD(&dispatch->view_buckets[view->hash % VIEW_BUCKETS],
	    view, hash_link);
	return view;
}

/* Servers of this domain come first; otherwise in order of arrival. */
static void
insert_view(jj_server_view_t *view)
{
	jj_server_views_t *views = &view->owner->servers;
	jj_server_view_t *other;

	TAILQ_REMOVE(views, view, link);
	if (!view->local) {
		TAILQ_INSERT_TAIL(views, view, link);
		return;
	}
	TAILQ_FOREACH_REVERSE(other, views, jj_server_views, link)
	{
		if (other->local)
			break;
	}
	if (other == NULL)
		TAILQ_INSERT_HEAD(views, view, link);
	else
		TAILQ_INSERT_AFTER(views, other, view, link);
}

static void
update_steward(const jj_dispatch_t *dispatch, jj_server_view_t *view)
{
	jj_name_t before = view->steward_name;

	(void)jj_name_set(&view->steward_name, "");
	if (view->local)
		(void)jj_member_choose(dispatch->member,
		    &dispatch->settings.domain, view->hash,
		    &view->steward_name);
	view->steward =
	    jj_name_equal(&view->steward_name, &dispatch->settings.name);
	/* The new steward knows only what was reported to all neighbours. */
	if (!jj_name_equal(&view->steward_name, &before))
		view->steward_reported_online = view->reported_online;
}

static void
drop_unlisted(jj_dispatch_t *dispatch)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;
	jj_server_view_t *next;

	dispatch->has_unlisted_views = false;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		for (view = TAILQ_FIRST(&service->servers); view != NULL;
		     view = next) {
			next = TAILQ_NEXT(view, link);
			if (view->listed)
				continue;
			if (view->online + view->batch > 0) {
				dispatch->has_unlisted_views = true;
				continue;
			}
			TAILQ_REMOVE(&service->servers, view, link);
			LIST_REMOVE(view, hash_link);
			jj_server_view_destroy(view);
		}
	}
}
