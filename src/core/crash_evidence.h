/**
 * @file crash_evidence.h
 * @brief Attempts that ended without an answer, until it is known whether their
 * server crashed.
 *
 * A broken connection may be a lost answer, and a server may leave or be cut
 * off for reasons of its own. What tells them apart comes later and from
 * elsewhere: the server goes on answering, announces that it leaves, refuses
 * connections, restarts, or is no longer listed. Until then its attempts are
 * kept here. A bounded number is kept; the oldest ones are dropped.
 */
#ifndef JJ_CORE_CRASH_EVIDENCE_H
#define JJ_CORE_CRASH_EVIDENCE_H

#include "core/message.h"
#include "core/prompt.h"

#define JJ_CRASH_EVIDENCE_MAX 256
/**
 * Number of crashes that are kept, for attempts that end later and for servers
 * that answer afterwards.
 */
#define JJ_CRASH_EVIDENCE_CRASHES 256

/** An attempt that ended without an answer, or without the proof of one. */
typedef struct {
	uint64_t fingerprint; /**< of its request, see quarantine.h */
	jj_name_t server;
	uint64_t server_hash; /**< hash of the server's process */
	jj_ms_t ms; /**< when it ended */
	/** no event came, and the connection did not break */
	bool silent;
	/** its answer seemed complete, see jj_backend_event_t.unframed */
	bool complete;
	/** connections to other processes broke at the same moment */
	bool correlated;
	/** the process accepted no connection afterwards */
	bool unreachable;
	bool from_peer; /**< another VM's attempt */
	jj_name_t peer;
	jj_incarnation_t incarnation; /**< of that VM's process */
	/** parts of its prompt that may have crashed the server */
	uint32_t part_count;
	uint64_t parts[JJ_UNANSWERED_PARTS_MAX];
} jj_unanswered_t;

/** A server process that was reported to have crashed. */
typedef struct {
	uint64_t server_hash; /**< 0: none */
	jj_ms_t ms;
	bool lived; /**< something that calls itself by its id lived later */
	/** when a request that was sent afterwards was answered; 0: not yet */
	jj_ms_t answered_ms;
	/** the other VMs are told then that it did not crash; 0: it did */
	jj_ms_t due_ms;
} jj_reported_crash_t;

/** Zero-initialized it is empty. */
typedef struct {
	uint32_t count;
	jj_unanswered_t attempts[JJ_CRASH_EVIDENCE_MAX]; /**< oldest first */
	/** the latest reports, in a ring */
	jj_reported_crash_t crashes[JJ_CRASH_EVIDENCE_CRASHES];
	uint32_t crash_count; /**< places of the ring that were used */
	uint32_t next_crash; /**< place of the next one in the ring */
} jj_crash_evidence_t;

/** The parts of the attempt's prompt that may have crashed the server. */
jj_prompt_t jj_unanswered_prompt(const jj_unanswered_t *attempt);

/**
 * Adds an attempt.
 * @param moment_ms connections to several processes that break within this time
 * are correlated.
 */
void jj_crash_evidence_add(jj_crash_evidence_t *evidence,
    const jj_unanswered_t *attempt, jj_ms_t moment_ms);
/** Number of this VM's connections to that process that broke since then. */
uint32_t jj_crash_evidence_count_breaks(const jj_crash_evidence_t *evidence,
    uint64_t server_hash, jj_ms_t since_ms);
/** True when any VM's connection to that process broke since then. */
bool jj_crash_evidence_has_break(const jj_crash_evidence_t *evidence,
    uint64_t server_hash, jj_ms_t since_ms);
/**
 * True when a connection to that process broke since then at the same moment as
 * one to another process.
 */
bool jj_crash_evidence_is_correlated(const jj_crash_evidence_t *evidence,
    uint64_t server_hash, jj_ms_t since_ms);
/** Number of processes to which a connection broke in that time. */
uint32_t jj_crash_evidence_count_broken(
    const jj_crash_evidence_t *evidence, jj_ms_t since_ms, jj_ms_t until_ms);
/** The process accepts no connection; its breaks since then may be crashes. */
void jj_crash_evidence_note_unreachable(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t since_ms);
/** Number of servers at which that content ended without an answer since then.
 */
uint32_t jj_crash_evidence_count_servers(const jj_crash_evidence_t *evidence,
    uint64_t fingerprint, jj_ms_t since_ms);
/** Adds the parts of the prompt of another VM's attempt. */
void
jj_crash_evidence_add_parts(jj_crash_evidence_t *evidence, uint64_t server_hash,
    uint64_t fingerprint, const uint64_t *parts, uint32_t count);
/** The content was answered: it does not crash servers. */
void jj_crash_evidence_drop_request(
    jj_crash_evidence_t *evidence, uint64_t fingerprint);
/** The process was alive at that time. */
void jj_crash_evidence_drop_server(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t alive_ms);
/** Drops attempts that ended before that time. */
void jj_crash_evidence_expire(jj_crash_evidence_t *evidence, jj_ms_t before_ms);
/** The process was reported to have crashed at that time. */
jj_reported_crash_t *jj_crash_evidence_note_crash(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t ms);
/** The report of that crash, or NULL. */
jj_reported_crash_t *jj_crash_evidence_find_crash(
    jj_crash_evidence_t *evidence, uint64_t server_hash);
/** The process lived after a crash that was reported by then. */
void jj_crash_evidence_forget_crash(
    jj_crash_evidence_t *evidence, uint64_t server_hash, jj_ms_t until_ms);
/** True when the process was reported to have crashed since then. */
bool jj_crash_evidence_has_crashed(const jj_crash_evidence_t *evidence,
    uint64_t server_hash, jj_ms_t since_ms);
/**
 * The process has crashed: moves its attempts into a report.
 * @param crash its server and boot are set, suspects are added.
 * @return true when one of the attempts was this VM's.
 */
bool jj_crash_evidence_take(jj_crash_evidence_t *evidence, jj_crash_t *crash);

#endif
