/**
 * @file dispatch_reports.c
 * @brief Load reports to the neighbours.
 *
 * All messages between VMs have to fit the control budget, also in a domain of
 * 14 VMs and 100 servers. A server's steward gets each change, as it starts and
 * cancels batch items by it; the other VMs only use the loads to order servers.
 */
#include <string.h>

#include "core/dispatch_state.h"

/*
 * Minimum spacing of load messages, multiplied by the square of the number of
 * VMs in the domain: each message goes to all VMs, and each VM sends some.
 */
#define REPORT_SPACING_MS 4
/*
 * Minimum spacing of reports to a steward that more requests run at its server.
 */
#define STEWARD_REPORT_SPACING_MS 5
/*
 * The more VMs share a server, the less one request of one of them matters. For
 * each multiple of this number of VMs, a change must be larger by one to be
 * reported.
 */
#define VMS_PER_CHANGE 8
/*
 * Loads per heartbeat: all 100 servers of a domain are covered within some
 * seconds.
 */
#define HEARTBEAT_LOADS 8
/* Default for a value that the configuration does not set. */
#define DEFAULT_SLOTS 32
/* A neighbour that has just joined assumes a load of 0. */
#define NOTHING_REPORTED 0

static void report_to_all(jj_dispatch_t *, jj_actions_t *);
static bool is_worth_reporting(const jj_dispatch_t *,
    const jj_service_queue_t *, const jj_server_view_t *);
static bool
is_nearly_full(const jj_service_queue_t *, const jj_server_view_t *);
static uint32_t difference(uint32_t, uint32_t);
static void mark_reported(jj_server_view_t *);
static void report_to_stewards(jj_dispatch_t *, bool, jj_ms_t, jj_actions_t *);
static void
report_to_steward(jj_dispatch_t *, const jj_name_t *, jj_ms_t, jj_actions_t *);
static bool is_steward_outdated(const jj_server_view_t *);
static void
send_loads(jj_dispatch_t *, const jj_load_t *, uint32_t, jj_actions_t *);

jj_message_t *
jj_dispatch_add_message(jj_actions_t *out, const jj_member_info_t *info,
    const jj_dispatch_t *dispatch, jj_message_kind_t kind)
{
	if (jj_name_equal(&info->name, &dispatch->settings.name))
		return NULL;
	return jj_actions_add_message(out, &info->name, kind);
}

/*
 * A server's steward has to know of a new online request at once, so that it
 * can cancel batch items (story 14). The end of a request may wait for the next
 * regular report.
 */
void
jj_dispatch_report_loads(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_ms_t spacing_ms =
	    REPORT_SPACING_MS * dispatch->live_vms * dispatch->live_vms;

	if (dispatch->loads_reported)
		return;
	if (now - dispatch->load_report_ms >= spacing_ms) {
		dispatch->loads_reported = true;
		dispatch->load_report_ms = now;
		report_to_all(dispatch, out);
		report_to_stewards(dispatch, false, now, out);
	} else if (now - dispatch->steward_report_ms >=
	    STEWARD_REPORT_SPACING_MS)
		report_to_stewards(dispatch, true, now, out);
}

void
jj_dispatch_reset_reported(jj_dispatch_t *dispatch)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;

	dispatch->loads_reported = false;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			view->reported_online = NOTHING_REPORTED;
			view->reported_batch = NOTHING_REPORTED;
			view->reported_suspects = NOTHING_REPORTED;
			view->steward_reported_online = NOTHING_REPORTED;
		}
	}
}

jj_load_t
jj_dispatch_load_of(const jj_server_view_t *view)
{
	jj_load_t load = {0};

	load.server = view->hash;
	load.online = view->online;
	load.batch = view->batch;
	load.suspects = view->suspects;
	return load;
}

uint64_t
jj_dispatch_hash_server(const jj_name_t *server)
{
	return jj_hash_bytes(server->text, strlen(server->text), 0);
}

uint32_t
jj_dispatch_loads(jj_dispatch_t *dispatch, jj_load_t *loads, uint32_t max_count)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;
	uint32_t first = dispatch->next_heartbeat_load;
	uint32_t index = 0;
	uint32_t count = 0;

	if (max_count > HEARTBEAT_LOADS)
		max_count = HEARTBEAT_LOADS;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local)
				break;
			if (index++ < first || count == max_count)
				continue;
			loads[count++] = jj_dispatch_load_of(view);
			mark_reported(view);
		}
	}
	dispatch->next_heartbeat_load =
	    first + count < index ? first + count : 0;
	return count;
}

static void
report_to_all(jj_dispatch_t *dispatch, jj_actions_t *out)
{
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	jj_service_queue_t *service;
	jj_server_view_t *view;
	uint32_t count = 0;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local)
				break;
			if (!is_worth_reporting(dispatch, service, view))
				continue;
			if (count == JJ_MESSAGE_LOADS_MAX) {
				dispatch->loads_reported = false;
				break;
			}
			loads[count++] = jj_dispatch_load_of(view);
			mark_reported(view);
		}
	}
	if (count > 0)
		send_loads(dispatch, loads, count, out);
}

/* Smaller changes are reported by the heartbeats. */
static bool
is_worth_reporting(const jj_dispatch_t *dispatch,
    const jj_service_queue_t *service, const jj_server_view_t *view)
{
	uint32_t change = difference(view->online, view->reported_online) +
	    difference(view->batch, view->reported_batch);
	uint32_t threshold =
	    1 + (uint32_t)(dispatch->live_vms / VMS_PER_CHANGE);

	/* No other VM may send a suspect there in the meantime (story 27). */
	if (view->suspects != view->reported_suspects)
		return true;
	if (change > 0 && is_nearly_full(service, view))
		return true;
	return change >= threshold;
}

/*
 * Near the limit one request more or less decides whether other VMs may send.
 */
static bool
is_nearly_full(const jj_service_queue_t *service, const jj_server_view_t *view)
{
	uint32_t slots = service->settings.server_slots;

	if (slots == 0)
		slots = DEFAULT_SLOTS;
	return (view->online + view->others_online) * 4 >= slots * 3;
}

static uint32_t
difference(uint32_t a, uint32_t b)
{
	return a > b ? a - b : b - a;
}

static void
mark_reported(jj_server_view_t *view)
{
	view->reported_online = view->online;
	view->reported_batch = view->batch;
	view->reported_suspects = view->suspects;
	view->steward_reported_online = view->online;
}

/*
 * Reports to stewards at whose servers the online count changed, or with @p
 * more_only rose.
 */
static void
report_to_stewards(
    jj_dispatch_t *dispatch, bool more_only, jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local)
				break;
			if (!is_steward_outdated(view) ||
			    (more_only &&
				view->online < view->steward_reported_online))
				continue;
			report_to_steward(
			    dispatch, &view->steward_name, now, out);
		}
	}
}

/* Reports all changes that concern one steward in one message. */
static void
report_to_steward(jj_dispatch_t *dispatch, const jj_name_t *steward,
    jj_ms_t now, jj_actions_t *out)
{
	jj_message_t *message =
	    jj_actions_add_message(out, steward, JJ_MESSAGE_LOAD);
	jj_service_queue_t *service;
	jj_server_view_t *view;
	uint32_t count = 0;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local)
				break;
			if (count == JJ_MESSAGE_LOADS_MAX ||
			    !is_steward_outdated(view) ||
			    !jj_name_equal(&view->steward_name, steward))
				continue;
			message->body.load.loads[count++] =
			    jj_dispatch_load_of(view);
			view->steward_reported_online = view->online;
		}
	}
	message->body.load.count = count;
	dispatch->steward_report_ms = now;
}

static bool
is_steward_outdated(const jj_server_view_t *view)
{
	return !view->steward && !jj_name_is_empty(&view->steward_name) &&
	    view->online != view->steward_reported_online;
}

static void
send_loads(jj_dispatch_t *dispatch, const jj_load_t *loads, uint32_t count,
    jj_actions_t *out)
{
	jj_member_info_t infos[VMS_MAX];
	size_t vm_count = jj_member_list(
	    dispatch->member, &dispatch->settings.domain, infos, VMS_MAX);
	jj_message_t *message;
	size_t i;

	for (i = 0; i < vm_count; i++) {
		message = jj_dispatch_add_message(
		    out, &infos[i], dispatch, JJ_MESSAGE_LOAD);
		if (message == NULL)
			continue;
		message->body.load.count = count;
		memcpy(
		    message->body.load.loads, loads, count * sizeof(loads[0]));
	}
}
