/**
 * @file quarantine.h
 * @brief Requests that crash the backend servers they run on.
 *
 * A request is known by its fingerprint (service, path and body without the
 * idempotency key), so that a resend with another key or through another VM
 * is recognised. When a server dies, every request in flight there gets a
 * strike and is a suspect. A server runs at most one suspect at a time, so
 * that the next crash blames exactly one request: two strikes and it is
 * refused. A suspect that completes is cleared at once; strikes and
 * quarantines lapse after their time.
 */
#ifndef JJ_CORE_QUARANTINE_H
#define JJ_CORE_QUARANTINE_H

#include "core/action.h"

typedef struct {
	uint32_t strikes; /**< until refused; default 2 */
	jj_ms_t suspect_ms; /**< a strike lapses after; default 600000 */
	jj_ms_t quarantine_ms; /**< refused for; default 3600000 */
	size_t most; /**< fingerprints kept; default 65536 */
} jj_quarantine_settings_t;

typedef enum {
	JJ_QUARANTINE_CLEAN,
	JJ_QUARANTINE_SUSPECT, /**< run it alone among suspects */
	JJ_QUARANTINE_REFUSED,
} jj_quarantine_verdict_t;

typedef struct jj_quarantine jj_quarantine_t;

jj_quarantine_t *jj_quarantine_create(const jj_quarantine_settings_t *settings);
void jj_quarantine_destroy(jj_quarantine_t *quarantine);

jj_quarantine_verdict_t jj_quarantine_check(
    const jj_quarantine_t *quarantine, uint64_t fingerprint, jj_ms_t now);
/**
 * A crash seen here or told by a neighbour. The same death (server and boot)
 * counts once per fingerprint, whoever tells it and how often.
 */
void jj_quarantine_take_crash(jj_quarantine_t *quarantine,
    const jj_crash_t *crash, jj_ms_t now, jj_actions_t *out);
/**
 * Those that have crashed servers, the newest first and refused ones before
 * all others.
 * @return how many were written, at most @p most.
 */
size_t jj_quarantine_list(const jj_quarantine_t *quarantine, jj_ms_t now,
    jj_struck_t *entries, size_t most);
/**
 * What a neighbour knows, of time before this VM ran or heard it. A death
 * that is known already counts once, as in a crash report.
 * @return true when one was not known.
 */
bool jj_quarantine_take_struck(jj_quarantine_t *quarantine,
    const jj_struck_t *entries, size_t count, jj_ms_t now, jj_actions_t *out);
/** The request completed: it is no suspect. */
void jj_quarantine_clear(jj_quarantine_t *quarantine, uint64_t fingerprint);
/** How many fingerprints are refused now. */
size_t jj_quarantine_count(const jj_quarantine_t *quarantine, jj_ms_t now);
/** Forgets what has lapsed; cheap, call now and then. */
void jj_quarantine_tick(jj_quarantine_t *quarantine, jj_ms_t now);

#endif
