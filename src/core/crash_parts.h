/**
 * @file crash_parts.h
 * @brief Detects parts of prompts that crash the servers which answer them.
 *
 * All requests at a crashed server may have crashed it, and so may each part of
 * their prompts. What tells a part that crashes servers from the others is that
 * no answer with it is ever completed. So a crash counts against those parts of
 * a request that have not completed, and a part is refused after several
 * crashes without a completed answer in between. One completed answer clears
 * it.
 *
 * A refusal ends by a probe: after a time that grows with each probe, one
 * request with the part is sent. The first one comes soon, as sound parts that
 * came together with the one that crashes servers may be refused with it. Crashes are counted by server
 * process, so that all VMs come to the same number whoever reports them.
 *
 * A part is its id alone: which service, model or software version a request
 * asks for makes no difference. Memory is bounded; the least recent entries are
 * dropped.
 */
#ifndef JJ_CORE_CRASH_PARTS_H
#define JJ_CORE_CRASH_PARTS_H

#include "core/action.h"
#include "core/prompt.h"

typedef struct jj_crash_parts jj_crash_parts_t;

typedef enum {
	JJ_PARTS_ALLOWED,
	JJ_PARTS_PROBE, /**< may be sent as a probe, by one VM */
	JJ_PARTS_REFUSED,
} jj_parts_verdict_t;

/** @param probe_most_ms longest time from a crash to the next probe. */
jj_crash_parts_t *jj_crash_parts_create(jj_ms_t probe_most_ms);
void jj_crash_parts_destroy(jj_crash_parts_t *parts);

/**
 * An answer with these parts was completed.
 * @param cleared set to the parts that had been counted against.
 */
void jj_crash_parts_complete(jj_crash_parts_t *parts, const jj_prompt_t *prompt,
    jj_ms_t now, jj_prompt_t *cleared);
/**
 * Selects the parts that may have crashed the server of a request: those that
 * are refused, or else those without a completed answer, or, if all have one,
 * those whose last one is long ago.
 */
void jj_crash_parts_select(const jj_crash_parts_t *parts,
    const jj_prompt_t *prompt, jj_ms_t now, jj_prompt_t *suspects);
/**
 * Counts crashes against a part; each server process counts once.
 * @return true when nothing was counted because the part is known to be sound:
 * an answer with it was completed since, or not long ago.
 */
bool jj_crash_parts_take(jj_crash_parts_t *parts,
    const jj_part_crashes_t *crashes, jj_ms_t now, jj_actions_t *out);
/**
 * Whether a request with these parts may be sent.
 * @param wait_ms set to the time until a refusal ends.
 * @param probed set to the part that a probe is due for.
 */
jj_parts_verdict_t jj_crash_parts_check(const jj_crash_parts_t *parts,
    const jj_prompt_t *prompt, jj_ms_t now, jj_ms_t *wait_ms, uint64_t *probed);
/**
 * A request with these parts is sent; it is a probe of those that are refused,
 * and the next one is due later.
 */
void jj_crash_parts_note_probe(jj_crash_parts_t *parts,
    const jj_prompt_t *prompt, jj_ms_t now, jj_actions_t *out);
/** The probe that was sent then told nothing: another one is due soon. */
void jj_crash_parts_withdraw_probe(jj_crash_parts_t *parts,
    const jj_prompt_t *prompt, jj_ms_t sent_ms, jj_actions_t *out);
/**
 * The process did not crash: it no longer counts against any part.
 * @return number of parts that it was counted against.
 */
uint32_t jj_crash_parts_withdraw(
    jj_crash_parts_t *parts, uint64_t server, jj_actions_t *out);
/**
 * Lists the crashes counted against parts, the latest first.
 * @return how many were written, at most @p max_count.
 */
size_t jj_crash_parts_list(const jj_crash_parts_t *parts, jj_ms_t now,
    jj_part_crashes_t *list, size_t max_count);
/** Number of probes that were sent since the part is refused. */
uint32_t jj_crash_parts_probes(const jj_crash_parts_t *parts, uint64_t part);
/** Number of parts with crashes; 0 on a calm day. */
size_t jj_crash_parts_count(const jj_crash_parts_t *parts);
/** Drops parts whose last crash is long ago; cheap, call it regularly. */
void jj_crash_parts_tick(jj_crash_parts_t *parts, jj_ms_t now);

#endif
