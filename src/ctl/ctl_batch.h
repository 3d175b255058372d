/**
 * @file ctl_batch.h
 * @brief Functions shared by the batch commands.
 */
#ifndef JJ_CTL_CTL_BATCH_H
#define JJ_CTL_CTL_BATCH_H

#include "ctl/ctl_api.h"

/** State of a batch job, from an answer of the callers' interface. */
typedef struct {
	bool ended; /**< completed or cancelled: no more results */
	bool completed;
	long long total; /**< items */
	long long done; /**< items with a response */
	long long failed; /**< items that ended with an error */
} jj_ctl_job_t;

/** Reads the state of a job from its JSON object. */
jj_ctl_job_t jj_ctl_job_parse(const json_t *object);
/** GET or POST /v1/batches/ID with @p suffix, which is "" or "/cancel". */
jj_ctl_exit_t jj_ctl_job_request(const jj_ctl_t *ctl, const char *method,
    const char *id, const char *suffix, json_t **object);
/** `batch submit`; its options are jj_ctl_submit_options. */
jj_ctl_exit_t jj_ctl_job_submit(const jj_ctl_t *ctl, char **arguments);
/** `batch results`; its options are jj_ctl_results_options. */
jj_ctl_exit_t jj_ctl_job_results(const jj_ctl_t *ctl, char **arguments);
/** Prints the state of a job. */
void jj_ctl_job_print(const jj_ctl_t *ctl, const json_t *object);

extern const GOptionEntry jj_ctl_submit_options[];
extern const GOptionEntry jj_ctl_results_options[];

#endif
