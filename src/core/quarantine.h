/**
 * @file quarantine.h
 * @brief Detects requests that crash the backend servers they run on.
 *
 * A request is identified by its fingerprint (service, path and body without
 * the idempotency key), so that a copy with another key or through another VM
 * is recognised. When a server crashes, the crash is counted against every
 * request in flight there, and each becomes a suspect. A server runs at most
 * one suspect at a time, so that the next crash is due to exactly one request:
 * after two crashes it is refused. A suspect that completes is cleared at once;
 * crash counts and refusals expire.
 */
#ifndef JJ_CORE_QUARANTINE_H
#define JJ_CORE_QUARANTINE_H

#include "core/action.h"

typedef struct {
	uint32_t strikes; /**< crashes until a request is refused; default 2 */
	jj_ms_t suspect_ms; /**< crash counts expire after; default 600000 */
	jj_ms_t quarantine_ms; /**< refused for; default 3600000 */
	size_t most; /**< maximum fingerprints stored; default 65536 */
} jj_quarantine_settings_t;

typedef enum {
	JJ_QUARANTINE_CLEAN,
	JJ_QUARANTINE_SUSPECT, /**< one suspect per server at a time */
	JJ_QUARANTINE_REFUSED,
} jj_quarantine_verdict_t;

typedef struct jj_quarantine jj_quarantine_t;

jj_quarantine_t *jj_quarantine_create(const jj_quarantine_settings_t *settings);
void jj_quarantine_destroy(jj_quarantine_t *quarantine);

jj_quarantine_verdict_t jj_quarantine_check(
    const jj_quarantine_t *quarantine, uint64_t fingerprint, jj_ms_t now);
/**
 * Takes a crash that this VM observed or a neighbour reported. The same crash
 * (server and boot) counts once per fingerprint, whoever reports it and how
 * often.
 */
void jj_quarantine_take_crash(jj_quarantine_t *quarantine,
    const jj_crash_t *crash, jj_ms_t now, jj_actions_t *out);
/**
 * Lists requests that have crashed servers, refused ones first and each group
 * from the newest.
 * @return how many were written, at most @p max_count.
 */
size_t jj_quarantine_list(const jj_quarantine_t *quarantine, jj_ms_t now,
    jj_crash_record_t *entries, size_t max_count);
/**
 * Takes a neighbour's list of requests that have crashed servers, including
 * crashes from before this VM started or received messages. A crash that is
 * already known counts once, as in a crash report.
 * @return true when a crash was not known.
 */
bool jj_quarantine_take_history(jj_quarantine_t *quarantine,
    const jj_crash_record_t *entries, size_t count, jj_ms_t now,
    jj_actions_t *out);
/**
 * The process did not crash: it no longer counts against any request.
 * @return number of requests that it was counted against.
 */
uint32_t jj_quarantine_withdraw(jj_quarantine_t *quarantine,
    const jj_name_t *server, uint64_t boot, jj_actions_t *out);
/** The crash of that process in jj_crash_record_t.deaths. */
uint64_t jj_quarantine_crash_id(const jj_name_t *server, uint64_t boot);
/** Number of crashes counted against a request. */
uint32_t jj_quarantine_strikes(
    const jj_quarantine_t *quarantine, uint64_t fingerprint, jj_ms_t now);
/** Clears a request that completed. */
void jj_quarantine_clear(jj_quarantine_t *quarantine, uint64_t fingerprint);
/** Number of fingerprints that are currently refused. */
size_t jj_quarantine_count(const jj_quarantine_t *quarantine, jj_ms_t now);
/** Drops expired entries; cheap, call it regularly. */
void jj_quarantine_tick(jj_quarantine_t *quarantine, jj_ms_t now);

#endif
