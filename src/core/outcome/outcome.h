/**
 * @file outcome.h
 * @brief Which server processes fail the requests that they get.
 *
 * Each VM takes the ends of its own attempts and the reports of other VMs. A
 * sequential test (CUSUM) decides from few answers whether a server fails far
 * more often than the other servers of its service. A content that fails at
 * several servers is evidence against none of them. All state expires with age.
 */
#ifndef JJ_CORE_OUTCOME_OUTCOME_H
#define JJ_CORE_OUTCOME_OUTCOME_H

#include "core/message.h"

/** Maximum servers with evidence against them that are kept. */
#define JJ_OUTCOMES_MAX 256

/** The end of an attempt, or its first event. */
typedef struct {
	uint64_t server; /**< as jj_slot_server_t.hash */
	uint64_t service; /**< hash of its name */
	uint64_t content; /**< fingerprint; 0: not known */
	bool failed;
	bool avoided; /**< the server is avoided: this was a probe */
	jj_ms_t sent_ms; /**< when the attempt was sent */
} jj_outcome_t;

/** A server for metrics. */
typedef struct {
	uint64_t server; /**< as jj_slot_server_t.hash */
	double failure_rate; /**< of this VM's recent attempts, 0 to 1 */
	double answers; /**< this VM's recent attempts, weighted by age */
	bool avoided;
	jj_ms_t avoided_since_ms; /**< when `avoided` is set */
} jj_outcome_info_t;

typedef struct jj_outcomes jj_outcomes_t;

jj_outcomes_t *jj_outcomes_create(void);
void jj_outcomes_destroy(jj_outcomes_t *outcomes);

/**
 * Sets the number of live VMs. Failures of all VMs are known, successes only of
 * this VM: it takes the others to have as many.
 */
void jj_outcomes_set_vms(jj_outcomes_t *outcomes, uint32_t vms);
/** Takes an outcome of this VM's own attempts. */
void jj_outcomes_note(
    jj_outcomes_t *outcomes, const jj_outcome_t *outcome, jj_ms_t now);
/**
 * Takes another VM's report about a server of @p service.
 * @param avoided this VM avoids the server.
 */
void jj_outcomes_take_report(jj_outcomes_t *outcomes,
    const jj_server_outcome_t *report, uint64_t service, bool avoided,
    jj_ms_t now);
/** True when other VMs should know at once what this VM observed. */
bool jj_outcomes_is_urgent(const jj_outcomes_t *outcomes);
/** True when there is anything to report. */
bool jj_outcomes_is_changed(const jj_outcomes_t *outcomes);
/**
 * Outcomes that were not reported yet; marks them as reported.
 * @return how many; 0: none.
 */
uint32_t jj_outcomes_take_changes(
    jj_outcomes_t *outcomes, jj_server_outcome_t *reports, uint32_t max_count);
/** True when a server fails far more often than others of its service. */
bool
jj_outcomes_is_failing(jj_outcomes_t *outcomes, uint64_t server, jj_ms_t now);
/**
 * Whose turn it is to probe a failing server: the key for rendezvous hashing
 * among the VMs; 0: no probe is due. It changes with each turn.
 */
uint64_t jj_outcomes_probe_key(
    const jj_outcomes_t *outcomes, uint64_t server, jj_ms_t now);
/** Drops expired evidence. */
void jj_outcomes_tick(jj_outcomes_t *outcomes, jj_ms_t now);
/** True when there is no evidence against any server. */
bool jj_outcomes_is_empty(const jj_outcomes_t *outcomes);
/**
 * Lists the servers of which this VM saw recent answers, or that are avoided.
 * @return how many there are; the first @p max_count of them are filled in.
 */
uint32_t jj_outcomes_list(jj_outcomes_t *outcomes, jj_outcome_info_t *infos,
    uint32_t max_count, jj_ms_t now);

#endif
