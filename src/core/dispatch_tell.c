/**
 * @file dispatch_tell.c
 * @brief What the neighbours are told.
 */
#include <string.h>

#include "core/dispatch_state.h"

/* Load messages to the neighbours come no closer than this. */
#define TELL_MS 25

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

void
jj_dispatch_tell_loads(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out)
{
	jj_load_t loads[JJ_MESSAGE_LOADS_MAX];
	jj_service_queue_t *service;
	jj_server_view_t *view;
	uint32_t count = 0;

	if (dispatch->told_all || now - dispatch->told_ms < TELL_MS)
		return;
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
		}
	}
	if (count == 0)
		return;
	dispatch->told_ms = now;
	send_loads(dispatch, loads, count, out);
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
