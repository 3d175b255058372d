/**
 * @file dispatch_state.h
 * @brief What the parts of the dispatch module share; private to it.
 */
#ifndef JJ_CORE_DISPATCH_STATE_H
#define JJ_CORE_DISPATCH_STATE_H

#include "core/dispatch.h"
#include "core/dispatch_queue.h"
#include "core/dispatch_server.h"

#define BUCKETS 4096
#define VIEW_BUCKETS 4096
/* VMs of one failure domain that are told of things. */
#define VMS_MAX 128

TAILQ_HEAD(service_list, jj_service_queue);
LIST_HEAD(bucket, jj_entry);
LIST_HEAD(view_bucket, jj_server_view);

struct jj_dispatch {
	jj_dispatch_settings_t settings;
	const jj_config_t *config;
	jj_fleet_t *fleet;
	const jj_member_t *member;
	jj_quarantine_t *quarantine;
	struct service_list services;
	TAILQ_HEAD(, jj_entry) entries;
	struct bucket buckets[BUCKETS];
	struct view_bucket view_buckets[VIEW_BUCKETS]; /**< by view's hash */
	uint32_t counts[2]; /**< requests by class */
	uint64_t random;
	bool leaving;
	bool told_all; /**< the neighbours know what they need to */
	uint32_t load_turn; /**< where the next heartbeat's loads begin */
	jj_ms_t next_ms;
	jj_ms_t refresh_ms;
	uint64_t config_version; /**< of the last refresh */
	uint64_t fleet_version; /**< that the views show */
	uint64_t vms_hash; /**< names of the VMs that the views show */
	bool views_stale; /**< something else than these has changed */
	bool ended_kept; /**< a server that is gone still has requests */
	jj_ms_t renew_ms; /**< when the views are renewed in any case */
	jj_ms_t distant_ms; /**< next look at servers of other domains */
	int64_t vms; /**< live VMs of the domain, at least 1 */
	jj_ms_t told_ms;
	jj_ms_t urgent_ms; /**< when a steward was told last */
};

/** The request in hand with this number, or NULL. */
jj_entry_t *
jj_dispatch_find_entry(const jj_dispatch_t *dispatch, uint64_t request);
/** Frees a request that is in no queue and at no server. */
void jj_dispatch_free_entry(jj_dispatch_t *dispatch, jj_entry_t *entry);
/** The service of this name, or NULL. */
jj_service_queue_t *
jj_dispatch_find_service(jj_dispatch_t *dispatch, const char *name);
/** The view of a server and its service, or NULL. */
jj_server_view_t *jj_dispatch_find_view(const jj_dispatch_t *dispatch,
    const jj_name_t *server, jj_service_queue_t **service);
/** The view that messages name by this number, or NULL. */
jj_server_view_t *
jj_dispatch_find_hash(const jj_dispatch_t *dispatch, uint64_t hash);
/** Brings the views up to date when what they show has changed. */
void jj_dispatch_renew_views(jj_dispatch_t *dispatch,
    const jj_member_info_t *vms, size_t vm_count, jj_ms_t now);
/** The service's part of the headroom's input. */
jj_headroom_use_t jj_dispatch_headroom_use(
    const jj_dispatch_t *dispatch, const jj_service_queue_t *service);
/** Answers a request that was never taken in; it was not run. */
void jj_dispatch_refuse(jj_dispatch_t *dispatch, const jj_request_t *request,
    jj_give_up_t reason, jj_ms_t now, jj_actions_t *out);
/** Ends a request, queued or in flight, with an answer of our own. */
void jj_dispatch_give_up(jj_dispatch_t *dispatch, jj_entry_t *entry,
    jj_give_up_t reason, jj_ms_t now, jj_actions_t *out);
/** Queues an online request and sends what can be sent. */
void jj_dispatch_begin_online(
    jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now, jj_actions_t *out);
/** Sends a batch item now or gives it back at once. */
void jj_dispatch_begin_batch(
    jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now, jj_actions_t *out);
/** True when some server of the service takes work. */
bool jj_dispatch_has_server_up(const jj_service_queue_t *service);
/** Sends queued requests while servers have places. */
void jj_dispatch_pump(jj_dispatch_t *dispatch, jj_service_queue_t *service,
    jj_ms_t now, jj_actions_t *out);
/** Frees the place of a request at its server. */
void jj_dispatch_leave_server(jj_dispatch_t *dispatch, jj_entry_t *entry);
/** It may crash servers: held until news of another death has spread. */
void jj_dispatch_mark_suspect(jj_entry_t *entry, jj_ms_t now);
/** A look showed this server: ends the wait for it. */
void jj_dispatch_end_look(
    jj_dispatch_t *dispatch, jj_server_view_t *view, bool died, jj_ms_t now);
/** An attempt failed: retries the request or gives it up. */
void jj_dispatch_take_failure(jj_dispatch_t *dispatch, jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out);
/**
 * Goes on with a stream whose connection broke, at its own server.
 * @return false when it cannot: the attempt has failed.
 */
bool jj_dispatch_resume(jj_dispatch_t *dispatch, jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out);
/** Tells the quarantine and the neighbours who was on a dead server. */
void jj_dispatch_report_crash(jj_dispatch_t *dispatch, jj_server_view_t *view,
    uint64_t boot, const uint64_t *suspects, uint32_t count, jj_ms_t now,
    jj_actions_t *out);
/** Fingerprints of what was at a server; returns how many. */
uint32_t jj_dispatch_gather_suspects(const jj_dispatch_t *dispatch,
    const jj_server_view_t *view, jj_ms_t now, uint64_t *suspects,
    uint32_t most);
/** Notes what a server showed and tells the neighbours news. */
void jj_dispatch_note_server(jj_dispatch_t *dispatch, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, jj_ms_t now, jj_actions_t *out);
/** Renews the views from configuration, fleet and membership. */
void jj_dispatch_refresh(jj_dispatch_t *dispatch, jj_ms_t now);
/** Gives up what cannot meet its deadline. */
void jj_dispatch_check_deadlines(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
/** Adjusts limits and withdraws batch that is over them. */
void jj_dispatch_adjust_headroom(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
/** A message to a VM, to be filled in; NULL for this VM itself. */
jj_message_t *jj_dispatch_tell(jj_actions_t *out, const jj_member_info_t *info,
    const jj_dispatch_t *dispatch, jj_message_kind_t kind);
/** Sends the loads that changed, when it is time. */
void
jj_dispatch_tell_loads(jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
/** A neighbour has come: it is told of all that runs. */
void jj_dispatch_tell_anew(jj_dispatch_t *dispatch);
/** What this VM runs at a server. */
jj_load_t jj_dispatch_load_of(const jj_server_view_t *view);

#endif
