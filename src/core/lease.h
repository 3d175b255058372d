/**
 * @file lease.h
 * @brief A lease kept in one platform object, with a fencing number.
 *
 * The holder counts its lease from before it sent the write that was confirmed,
 * on its own monotonic clock. An observer considers it lapsed when the object's
 * version has not changed for the duration of the lease plus a margin.
 */
#ifndef JJ_CORE_LEASE_H
#define JJ_CORE_LEASE_H

#include "core/action.h"

typedef struct {
	char key[JJ_OBJECT_KEY_MAX + 1];
	char writer[JJ_NAME_MAX + 20]; /**< name of this process, NAME/HEX16 */
	jj_ms_t lease_ms; /**< default 6000 */
	jj_ms_t margin_ms; /**< additional wait of an observer; default 1500 */
	/**
	 * A new holder waits this long before it acts on servers that ignore
	 * fencing numbers: the longest time that an order of the old holder may
	 * take.
	 */
	jj_ms_t grace_ms;
	uint64_t seed;
} jj_lease_settings_t;

typedef struct jj_lease jj_lease_t;

jj_lease_t *jj_lease_create(const jj_lease_settings_t *settings);
void jj_lease_destroy(jj_lease_t *lease);
/**
 * Sets whether this VM wants the lease; releases it when held and not wanted.
 */
void
jj_lease_want(jj_lease_t *lease, bool wanted, jj_ms_t now, jj_actions_t *out);
/** The object may have changed (by a watch): reads it without delay. */
void jj_lease_refresh(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out);
void jj_lease_tick(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_lease_next(const jj_lease_t *lease);
void jj_lease_take_result(jj_lease_t *lease, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
/** True when held now; check right before every use. */
bool jj_lease_is_held(const jj_lease_t *lease, jj_ms_t now);
/**
 * True when held and grace_ms is over: safe for servers that ignore fencing
 * numbers.
 */
bool jj_lease_is_safe_unfenced(const jj_lease_t *lease, jj_ms_t now);
/** The fencing number; increases with each new holder. */
uint64_t jj_lease_fence(const jj_lease_t *lease);

#endif
