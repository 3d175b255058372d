/**
 * @file slopes.h
 * @brief Measurements; each function prints the slopes of one part.
 */
#ifndef BENCH_SLOPES_SLOPES_H
#define BENCH_SLOPES_SLOPES_H

#include "fit.h"

/** Per VM of the domain, without load and at 40 requests per second and VM. */
void slopes_of_neighbours(fit_bounds_t *bounds);
/** Per backend server of the domain. */
void slopes_of_servers(fit_bounds_t *bounds);
/** Per other failure domain, at the domain's speaker. */
void slopes_of_domains(fit_bounds_t *bounds);
/** Per backend server of other domains in the platform's VM list. */
void slopes_of_list(fit_bounds_t *bounds);
/** Per team of the configuration, and per VM that adopts a change. */
void slopes_of_config(fit_bounds_t *bounds);
/** Per open request, and per server that a request may go to. */
void slopes_of_requests(fit_bounds_t *bounds);
/** Per team with requests, and per team seen earlier. */
void slopes_of_teams(fit_bounds_t *bounds);
/** Per stored idempotency key. */
void slopes_of_keys(fit_bounds_t *bounds);
/** Per fingerprint in quarantine. */
void slopes_of_quarantine(fit_bounds_t *bounds);
/** Per known batch job, per chunk of a job, per item of a held chunk. */
void slopes_of_batch(fit_bounds_t *bounds);
/** Work of a domain after the loss of its speaker, per VM of the domain. */
void slopes_of_loss(fit_bounds_t *bounds);
/** Measures a domain of the target's size; prints one line per role. */
void slopes_at_target(fit_bounds_t *bounds);

#endif
