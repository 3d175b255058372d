/**
 * @file dispatch_tell.c
 * @brief What the neighbours are told.
 */
#include <string.h>

#include "core/dispatch_state.h"

/*
 * Load messages to all come no closer than this for each VM of the domain, so
 * that what a VM sends does not grow with the number of VMs.
 */
#define TELL_MS_PER_VM 5
/* Nor do those to one steward. */
#define URGENT_MS 5

static void tell_all(jj_dispatch_t *, jj_ms_t, jj_actions_t *);
static void tell_stewards(jj_dispatch_t *, jj_ms_t, jj_actions_t *);
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
 * gives way (story 14); all others only weigh servers by it and are told of
 * all changes now and then.
 */
void
jj_dispatch_tell_loads(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	if (dispatch->told_all)
		return;
	if (now - dispatch->told_ms >= TELL_MS_PER_VM * dispatch->vms)
		tell_all(dispatch, now, out);
	else if (now - dispatch->urgent_ms >= URGENT_MS)
		tell_stewards(dispatch, now, out);
}

jj_load_t
jj_dispatch_load_of(const jj_server_view_t *view)
{
	jj_load_t load = {0};

	load.server = view->name;
	load.online = view->online;
	load.batch = view->batch;
	load.token_gap_us = (uint32_t)view->headroom.gap_us;
	return load;
}

static void
tell_all(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	jj_service_queue_t *service;
	jj_server_view_t *view;
	uint32_t count = 0;

	dispatch->told_all = true;
	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (!view->local ||
			    (view->online == view->told_online &&
				view->batch == view->told_batch))
				continue;
			if (count == JJ_MESSAGE_LOADS_MAX) {
				dispatch->told_all = false;
				break;
			}
			loads[count++] = jj_dispatch_load_of(view);
			view->told_online = view->online;
			view->told_batch = view->batch;
			view->steward_online = view->online;
		}
	}
	if (count == 0)
		return;
	dispatch->told_ms = now;
	send_loads(dispatch, loads, count, out);
}

static void
tell_stewards(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_service_queue_t *service;
	jj_server_view_t *view;
	jj_message_t *message;

	TAILQ_FOREACH(service, &dispatch->services, link)
	{
		TAILQ_FOREACH(view, &service->servers, link)
		{
			if (view->steward ||
			    view->online <= view->steward_online ||
			    jj_name_is_empty(&view->steward_name))
				continue;
			view->steward_online = view->online;
			message = jj_actions_add_message(
			    out, &view->steward_name, JJ_MESSAGE_LOAD);
			message->body.load.count = 1;
			message->body.load.loads[0] = jj_dispatch_load_of(view);
			dispatch->urgent_ms = now;
		}
	}
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
