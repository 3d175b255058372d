/**
 * @file fleet.h
 * @brief The backend servers: where they are and whether they take new work.
 *
 * Sources in order of trust: a server's own signs seen by this VM (a refusal
 * with a drain header, refused connections), the same seen by neighbours,
 * the platform's list, which lags and may be empty, stale or wrong. A server
 * missing from one list is only held for missing after several lists and
 * some time; an empty list changes nothing (story 30).
 */
#ifndef JJ_CORE_FLEET_H
#define JJ_CORE_FLEET_H

#include "core/action.h"

/** Most backend servers one VM keeps in mind (those of all domains). */
#define JJ_SERVERS_MAX 4096

typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_name_t service;
	char address[JJ_NAME_MAX + 1]; /**< IP:PORT */
	uint64_t boot; /**< 0: not known yet */
	jj_server_state_t state;
	bool listed_leaving; /**< the platform's list says leaving */
	jj_ms_t down_until_ms; /**< probe again then; doubles while down */
	bool checks_fence; /**< refuses orders with an old fencing number */
} jj_server_t;

typedef struct jj_fleet jj_fleet_t;

jj_fleet_t *jj_fleet_create(const jj_name_t *own_domain);
void jj_fleet_destroy(jj_fleet_t *fleet);

/** Adds a server from the settings. */
void jj_fleet_learn(jj_fleet_t *fleet, const jj_server_t *server);
/**
 * Takes the platform's VM list (JSON of GET /v1/vms): servers into the fleet,
 * entry VMs through the callback.
 * @return false on malformed JSON; nothing is changed then.
 */
bool jj_fleet_take_list(jj_fleet_t *fleet, const jj_bytes_t *json, jj_ms_t now,
    void (*on_vm)(void *ctx, const jj_name_t *name, const jj_name_t *domain,
	const char *address),
    void *ctx, jj_actions_t *out);
/** A sign this VM saw itself; told to the neighbours when it is news. */
void jj_fleet_note(jj_fleet_t *fleet, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, jj_ms_t now, jj_actions_t *out,
    bool *is_news);
/** A neighbour's notice. */
void jj_fleet_take_notice(
    jj_fleet_t *fleet, const jj_server_notice_t *notice, jj_ms_t now);
/** True when new work may be sent there now. */
bool jj_fleet_takes_work(
    const jj_fleet_t *fleet, const jj_name_t *server, jj_ms_t now);
const jj_server_t *
jj_fleet_find(const jj_fleet_t *fleet, const jj_name_t *server);
/** All servers; the array is valid until the next change. */
const jj_server_t *jj_fleet_list(const jj_fleet_t *fleet, size_t *count);
/**
 * Rises whenever a server comes, goes, moves to another domain or service, or
 * jj_fleet_takes_work() may answer otherwise than before.
 */
uint64_t jj_fleet_version(const jj_fleet_t *fleet);

#endif
