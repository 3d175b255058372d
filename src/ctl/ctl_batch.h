/**
 * @file ctl_batch.h
 * @brief What the batch commands share.
 */
#ifndef JJ_CTL_CTL_BATCH_H
#define JJ_CTL_CTL_BATCH_H

#include "ctl/ctl_api.h"

/** A job as an answer of the callers' interface shows it. */
typedef struct {
	bool ended; /**< completed or cancelled: nothing more will come */
	bool completed;
	long long total; /**< items */
	long long done; /**< items with a response */
	long long failed; /**< items that ended with an error */
} jj_ctl_job_t;

/** Reads a job from its JSON object. */
jj_ctl_job_t jj_ctl_job_read(const json_t *object);
/** GET or POST below /v1/batches/ID; @p rest is "" or "/cancel". */
jj_ctl_exit_t jj_ctl_job_ask(const jj_ctl_t *ctl, const char *method,
    const char *id, const char *rest, json_t **object);
/** `batch submit`; its options are jj_ctl_submit_options. */
jj_ctl_exit_t jj_ctl_job_submit(const jj_ctl_t *ctl, char **arguments);
/** `batch results`; its options are jj_ctl_results_options. */
jj_ctl_exit_t jj_ctl_job_results(const jj_ctl_t *ctl, char **arguments);
/** Prints a job. */
void jj_ctl_job_print(const jj_ctl_t *ctl, const json_t *object);

extern const GOptionEntry jj_ctl_submit_options[];
extern const GOptionEntry jj_ctl_results_options[];

#endif
