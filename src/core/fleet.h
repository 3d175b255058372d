/**
 * @file fleet.h
 * @brief The backend servers: addresses, and whether they accept new work.
 *
 * Sources of a server's state, the most trusted first: what this VM observes
 * itself (a refusal with a drain header, refused connections), the same
 * observed by neighbours, the platform's list, which lags and may be empty,
 * stale or wrong. A server missing from one list is taken as gone only after
 * several lists and some time; an empty list changes nothing (story 30).
 */
#ifndef JJ_CORE_FLEET_H
#define JJ_CORE_FLEET_H

#include "core/action.h"

/**
 * Maximum number of backend servers that one VM keeps, of all failure domains.
 */
#define JJ_SERVERS_MAX 4096

typedef struct {
	jj_name_t name;
	jj_name_t domain;
	jj_name_t service;
	char address[JJ_NAME_MAX + 1]; /**< IP:PORT */
	uint64_t boot; /**< 0: not known yet */
	jj_server_state_t state;
	bool listed_leaving; /**< the platform's list has it as leaving */
	/** next probe; the interval doubles while down */
	jj_ms_t down_until_ms;
	/** refuses orders with an outdated fencing number */
	bool checks_fence;
} jj_server_t;

typedef struct jj_fleet jj_fleet_t;

jj_fleet_t *jj_fleet_create(const jj_name_t *own_domain);
void jj_fleet_destroy(jj_fleet_t *fleet);

/** Adds a server from the settings. */
void jj_fleet_add_server(jj_fleet_t *fleet, const jj_server_t *server);
/**
 * Reads the platform's VM list (JSON of GET /v1/vms): servers go into the
 * fleet, entry VMs to the callback.
 * @return false on malformed JSON; nothing is changed then.
 */
bool jj_fleet_take_list(jj_fleet_t *fleet, const jj_bytes_t *json, jj_ms_t now,
    void (*on_vm)(void *ctx, const jj_name_t *name, const jj_name_t *domain,
	const char *address),
    void *ctx, jj_actions_t *out);
/**
 * Notes a state that this VM observed itself.
 * @param is_changed set to true when the state is new, so that neighbours have
 * to be notified.
 */
void jj_fleet_note_state(jj_fleet_t *fleet, const jj_name_t *server,
    jj_server_state_t state, uint64_t boot, jj_ms_t now, jj_actions_t *out,
    bool *is_changed);
/** Takes a server's state that a neighbour reports. */
void jj_fleet_take_notice(
    jj_fleet_t *fleet, const jj_server_notice_t *notice, jj_ms_t now);
/** True when new work may be sent to the server now. */
bool jj_fleet_takes_work(
    const jj_fleet_t *fleet, const jj_name_t *server, jj_ms_t now);
const jj_server_t *
jj_fleet_find(const jj_fleet_t *fleet, const jj_name_t *server);
/** All servers; the array is valid until the next change. */
const jj_server_t *jj_fleet_list(const jj_fleet_t *fleet, size_t *count);
/**
 * Increases whenever a server is added, removed, moves to another domain or
 * service, or jj_fleet_takes_work() may return another result.
 */
uint64_t jj_fleet_version(const jj_fleet_t *fleet);

#endif
