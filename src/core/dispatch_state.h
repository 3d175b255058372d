/**
 * @file dispatch_state.h
 * @brief State shared by the dispatch sources; private to the module.
 */
#ifndef JJ_CORE_DISPATCH_STATE_H
#define JJ_CORE_DISPATCH_STATE_H

#include "core/dispatch.h"
#include "core/dispatch_queue.h"
#include "core/dispatch_server.h"

#define BUCKETS 4096
#define VIEW_BUCKETS 4096
/* Maximum number of VMs that one message is sent to. */
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
	struct view_bucket view_buckets
	    [VIEW_BUCKETS]; /**< indexed by the hash of the server's name */
	uint32_t counts[2]; /**< requests by class */
	uint64_t random;
	bool leaving;
	bool loads_reported; /**< no load change waits to be reported */
	uint32_t next_heartbeat_load; /**< index of the server that the next
					   heartbeat's loads start with */
	jj_ms_t next_ms;
	jj_ms_t refresh_ms;
	uint64_t config_version; /**< of the last refresh */
	uint64_t fleet_version; /**< fleet version that the views reflect */
	uint64_t vms_hash; /**< hash of the names of the VMs that the views
				reflect */
	bool views_stale; /**< must be refreshed, though neither version nor
			       hash changed */
	bool has_unlisted_views; /**< views of servers that left the fleet
				      may exist */
	jj_ms_t full_refresh_ms; /**< time of the next unconditional refresh
				      of the views */
	jj_ms_t remote_adjust_ms; /**< next headroom adjustment of servers of
				       other domains */
	int64_t live_vms; /**< live VMs of the domain, at least 1 */
	jj_ms_t load_report_ms;
	jj_ms_t steward_report_ms; /**< time of the last load report to a
					steward alone */
};

/** The queued or in-flight request with this number, or NULL. */
jj_entry_t *
jj_dispatch_find_entry(const jj_dispatch_t *dispatch, uint64_t request);
/** Frees a request that is neither queued nor in flight. */
void jj_dispatch_free_entry(jj_dispatch_t *dispatch, jj_entry_t *entry);
/** The service of this name, or NULL. */
jj_service_queue_t *
jj_dispatch_find_service(jj_dispatch_t *dispatch, const char *name);
/** The view of a server and its service, or NULL. */
jj_server_view_t *jj_dispatch_find_view(const jj_dispatch_t *dispatch,
    const jj_name_t *server, jj_service_queue_t **service);
/** The view of the server with this hash, or NULL. */
jj_server_view_t *
jj_dispatch_find_hash(const jj_dispatch_t *dispatch, uint64_t hash);
/** Refreshes the views when the data that they reflect has changed. */
void jj_dispatch_refresh_views(jj_dispatch_t *dispatch,
    const jj_member_info_t *vms, size_t vm_count, jj_ms_t now);
/**
 * The part of the headroom input that is common to all servers of the service.
 */
jj_headroom_use_t jj_dispatch_headroom_use(
    const jj_dispatch_t *dispatch, const jj_service_queue_t *service);
/** Answers a request that was not accepted, as not run. */
void jj_dispatch_refuse(jj_dispatch_t *dispatch, const jj_request_t *request,
    jj_failure_t reason, jj_ms_t now, jj_actions_t *out);
/** Ends a request, queued or in flight, with an error answer. */
void jj_dispatch_give_up(jj_dispatch_t *dispatch, jj_entry_t *entry,
    jj_failure_t reason, jj_ms_t now, jj_actions_t *out);
/** Queues an online request and sends what can be sent. */
void jj_dispatch_begin_online(
    jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now, jj_actions_t *out);
/** Starts a batch item now, or refuses it when no server has capacity. */
void jj_dispatch_begin_batch(
    jj_dispatch_t *dispatch, jj_entry_t *entry, jj_ms_t now, jj_actions_t *out);
/** True when a server of the service accepts requests. */
bool jj_dispatch_has_server_up(const jj_service_queue_t *service);
/** Sends queued requests while servers have free request slots. */
void jj_dispatch_pump(jj_dispatch_t *dispatch, jj_service_queue_t *service,
    jj_ms_t now, jj_actions_t *out);
/** Releases the request slot of a request at its server. */
void jj_dispatch_release_slot(jj_dispatch_t *dispatch, jj_entry_t *entry);
/**
 * The verdict on a request's content. An item of a job is never refused, as it
 * is still owed whatever crashed under it, but it runs as one suspect per
 * server.
 */
jj_quarantine_verdict_t jj_dispatch_check_content(
    const jj_dispatch_t *dispatch, const jj_request_t *request, jj_ms_t now);
/**
 * Marks the request as one that may crash servers, and defers it until reports
 * of other crashes have reached this VM.
 */
void jj_dispatch_mark_suspect(jj_entry_t *entry, jj_ms_t now);
/**
 * The state of the server is known, by a probe or a crash report: requests that
 * waited for it are no longer deferred.
 */
void jj_dispatch_end_probe_wait(
    jj_dispatch_t *dispatch, jj_server_view_t *view, bool crashed, jj_ms_t now);
/** Handles a failed attempt: retries the request or abandons it. */
void jj_dispatch_take_failure(jj_dispatch_t *dispatch, jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out);
/**
 * Resumes a stream whose connection broke, at the same server.
 * @return false when that is not possible: the attempt has failed.
 */
bool jj_dispatch_resume(jj_dispatch_t *dispatch, jj_entry_t *entry,
    const jj_backend_event_t *event, jj_ms_t now, jj_actions_t *out);
/**
 * Reports to the quarantine and to the neighbours which requests were in flight
 * at a crashed server.
 */
void jj_dispatch_report_crash(jj_dispatch_t *dispatch, jj_server_view_t *view,
    uint64_t boot, const uint64_t *suspects, uint32_t count, jj_ms_t now,
    jj_actions_t *out);
/**
 * Collects the fingerprints of the requests that were at a server; returns how
 * many.
 */
uint32_t jj_dispatch_gather_suspects(const jj_dispatch_t *dispatch,
    const jj_server_view_t *view, jj_ms_t now, uint64_t *suspects,
    uint32_t max_count);
/**
 * Records the state of a server and notifies the neighbours when it changed.
 */
void jj_dispatch_note_server(jj_dispatch_t *dispatch, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, jj_ms_t now, jj_actions_t *out);
/** Updates services and views from configuration, fleet and membership. */
void jj_dispatch_refresh(jj_dispatch_t *dispatch, jj_ms_t now);
/** Abandons requests that cannot meet their deadline. */
void jj_dispatch_check_deadlines(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
/** Adjusts the limits and cancels batch items that exceed them. */
void jj_dispatch_adjust_headroom(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
/**
 * Adds a message to a VM, to be filled in by the caller; NULL when the VM is
 * this one.
 */
jj_message_t *
jj_dispatch_add_message(jj_actions_t *out, const jj_member_info_t *info,
    const jj_dispatch_t *dispatch, jj_message_kind_t kind);
/**
 * Reports changed loads to the neighbours when the minimum spacing has passed.
 */
void jj_dispatch_report_loads(
    jj_dispatch_t *dispatch, jj_ms_t now, jj_actions_t *out);
/** A neighbour has joined: all loads are reported again. */
void jj_dispatch_reset_reported(jj_dispatch_t *dispatch);
/** The number of requests that this VM runs at a server. */
jj_load_t jj_dispatch_load_of(const jj_server_view_t *view);

#endif
