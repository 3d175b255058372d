/**
 * @file lease.h
 * @brief A lease kept in one platform object, with a fencing number.
 *
 * The holder counts its lease from before it sent the write that was
 * confirmed, on its own monotonic clock; an observer counts it as lapsed
 * when the object's version has not changed for the lease plus a margin.
 */
#ifndef JJ_CORE_LEASE_H
#define JJ_CORE_LEASE_H

#include "core/action.h"

typedef struct {
	char key[JJ_OBJECT_KEY_MAX + 1];
	char writer[JJ_NAME_MAX + 20]; /**< NAME/HEX16 of this process */
	jj_ms_t lease_ms; /**< default 6000 */
	jj_ms_t margin_ms; /**< an observer waits more; 1500 */
	jj_ms_t grace_ms; /**< a successor waits this long before it acts, for
			     servers that ignore fencing numbers: the longest
			     an order of the old holder may be under way */
	uint64_t seed;
} jj_lease_settings_t;

typedef struct jj_lease jj_lease_t;

jj_lease_t *jj_lease_create(const jj_lease_settings_t *settings);
void jj_lease_destroy(jj_lease_t *lease);
/** Wants the lease (or no longer does: releases it when held). */
void
jj_lease_want(jj_lease_t *lease, bool wanted, jj_ms_t now, jj_actions_t *out);
/** The object may have changed (watch): looks at it without delay. */
void jj_lease_refresh(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out);
void jj_lease_tick(jj_lease_t *lease, jj_ms_t now, jj_actions_t *out);
jj_ms_t jj_lease_next(const jj_lease_t *lease);
void jj_lease_take_result(jj_lease_t *lease, const jj_platform_result_t *result,
    jj_ms_t now, jj_actions_t *out);
/** True when held now; check right before every act. */
bool jj_lease_is_held(const jj_lease_t *lease, jj_ms_t now);
/** True when held and the grace for unfenced servers is over. */
bool jj_lease_is_safe_unfenced(const jj_lease_t *lease, jj_ms_t now);
/** The fencing number; rises with each new holder. */
uint64_t jj_lease_fence(const jj_lease_t *lease);

#endif
