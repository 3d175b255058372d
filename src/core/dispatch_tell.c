/**
 * @file dispatch_tell.c
 * @brief What the neighbours are told.
 *
 * All that VMs tell each other has to fit their control budget, also in a
 * domain of 14 VMs and 100 servers. A server's steward is told each change,
 * since batch is started and stopped by it; the others only weigh servers.
 */
#include <string.h>

#include "core/dispatch_state.h"

/*
 * Load messages come no closer than this times the square of the domain's
 * VMs: each goes to all of them, and each of them sends some.
 */
#define TELL_MS 4
/* That more runs at a server is told to its steward after this. */
#define URGENT_MS 5
/*
 * The more VMs share a server, the less does one request of one of them say:
 * from so many VMs on the others are told of changes by two, then by three.
 */
#define VMS_PER_CHANGE 8
/* Servers in one heartbeat: all 100 of a domain within some seconds. */
#define HEARTBEAT_LOADS 8
/* Used where the configuration leaves it open. */
#define DEFAULT_SLOTS 32
/* A neighbour that has come knows of no load but 0. */
#define TOLD_NOTHING 0

static void tell_all(jj_dispatch_t *, jj_actions_t *);
static bool is_worth_telling(const jj_dispatch_t *, const jj_service_queue_t *,
    const jj_server_view_t *);
static bool
is_nearly_full(const jj_service_queue_t *, const jj_server_view_t *);
static uint32_t difference(uint32_t, uint32_t);
static void note_told(jj_server_view_t *);
static void tell_stewards(jj_dispatch_t *, bool, jj_ms_t, jj_actions_t *);
static void
tell_steward(jj_dispatch_t *, const jj_name_t *, jj_ms_t, jj_actions_t *);
static bool is_unknown_to_steward(const jj_server_view_t *);
static void
send_loads(jj_dispatch_t *, const jj_load_t *, uint32_t, jj_actions_t *);

/* A message to a VM, NULL for this one. */
jj_message_t *
jj_dispatch_tell(jj_actions_t *out, const jj_member_info_t *info,
    const jj_dispatch_t *dispatch, jj_message_kind_t kind)
{
	if (jj_name_equal(&info->name, &dispatch->settings.name))
		return NULL;
	return jj_actions_add_message(out, &info->name, kind);
}

/*
 * A server's steward has to know of an online request at once, so that batch
 * gives way (story 14); that one ended may wait until there is more to say.
 */
void
jj_dispatch_tell_loads(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_ms_t pause = TELL_MS * dispatch->vms * dispatch->vms;

	if (dispatch->told_all)
		return;
	if (now - dispatch->told_ms >= pause) {
		dispatch->told_all = true;
		dispatch->told_ms = now;
		tell_all(dispatch, out);
		tell_stewards(dispatch, false, now, out);
	} else if (now - dispatch->urgent_ms >= URGENT_MS)
		tell_stewards(dispatch, true, now, out);
}

void
jj_dispatch_tell_anew(jj_dispatch_t *dispatch)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;

	dispatch->told_all = false;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			view->told_online = TOLD_NOTHING;
			view->told_batch = TOLD_NOTHING;
			view->told_suspects = TOLD_NOTHING;
			view->steward_online = TOLD_NOTHING;
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
jj_dispatch_loads(jj_dispatch_t *dispatch, jj_load_t *loads, uint32_t most)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;
	uint32_t turn = dispatch->load_turn;
	uint32_t place = 0;
	uint32_t count = 0;

	if (most > HEARTBEAT_LOADS)
		most = HEARTBEAT_LOADS;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local)
				break;
			if (place++ < turn || count == most)
				continue;
			loads[count++] = jj_dispatch_load_of(view);
			note_told(view);
		}
	}
	dispatch->load_turn = turn + count < place ? turn + count : 0;
	return count;
}

static void
tell_all(jj_dispatch_t *dispatch, jj_actions_t *out)
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
			if (!is_worth_telling(dispatch, service, view))
				continue;
			if (count == JJ_MESSAGE_LOADS_MAX) {
				dispatch->told_all = false;
				break;
			}
			loads[count++] = jj_dispatch_load_of(view);
			note_told(view);
		}
	}
	if (count > 0)
		send_loads(dispatch, loads, count, out);
}

/* Smaller changes are left to the heartbeats. */
static bool
is_worth_telling(const jj_dispatch_t *dispatch,
    const jj_service_queue_t *service, const jj_server_view_t *view)
{
	uint32_t change = difference(view->online, view->told_online) +
	    difference(view->batch, view->told_batch);
	uint32_t least = 1 + (uint32_t)(dispatch->vms / VMS_PER_CHANGE);

	/* No other VM may send a suspect there meanwhile (story 27). */
	if (view->suspects != view->told_suspects)
		return true;
	if (change > 0 && is_nearly_full(service, view))
		return true;
	return change >= least;
}

/* Here one place more or less decides who may send. */
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
note_told(jj_server_view_t *view)
{
	view->told_online = view->online;
	view->told_batch = view->batch;
	view->told_suspects = view->suspects;
	view->steward_online = view->online;
}

/* Tells stewards of whose servers more runs, or anything else. */
static void
tell_stewards(
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
			if (!is_unknown_to_steward(view) ||
			    (more_only && view->online < view->steward_online))
				continue;
			tell_steward(dispatch, &view->steward_name, now, out);
		}
	}
}

/* All that one steward does not know yet, in one message. */
static void
tell_steward(jj_dispatch_t *dispatch, const jj_name_t *steward, jj_ms_t now,
    jj_actions_t *out)
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
			    !is_unknown_to_steward(view) ||
			    !jj_name_equal(&view->steward_name, steward))
				continue;
			message->body.load.loads[count++] =
			    jj_dispatch_load_of(view);
			view->steward_online = view->online;
		}
	}
	message->body.load.count = count;
	dispatch->urgent_ms = now;
}

static bool
is_unknown_to_steward(const jj_server_view_t *view)
{
	return !view->steward && !jj_name_is_empty(&view->steward_name) &&
	    view->online != view->steward_online;
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
		message =
		    jj_dispatch_tell(out, &infos[i], dispatch, JJ_MESSAGE_LOAD);
		if (message == NULL)
			continue;
		message->body.load.count = count;
		memcpy(
		    message->body.load.loads, loads, count * sizeof(loads[0]));
	}
}
