/**
 * @file slopes.h
 * @brief What is measured: each function prints the slopes of one part.
 */
#ifndef BENCH_SLOPES_SLOPES_H
#define BENCH_SLOPES_SLOPES_H

#include "fit.h"

/** Per VM of the domain, without load and at 40 requests a second each. */
void slopes_of_neighbours(fit_bounds_t *bounds);
/** Per backend server of the domain. */
void slopes_of_servers(fit_bounds_t *bounds);
/** Per other failure domain, at the domain's speaker. */
void slopes_of_domains(fit_bounds_t *bounds);
/** Per entry of the platform's VM list. */
void slopes_of_list(fit_bounds_t *bounds);
/** Per byte of the configuration, and per VM that adopts it. */
void slopes_of_config(fit_bounds_t *bounds);
/** Per open request, and per server that a request may go to. */
void slopes_of_requests(fit_bounds_t *bounds);
/** Per team with requests, and per team seen earlier. */
void slopes_of_teams(fit_bounds_t *bounds);
/** Per idempotency key kept. */
void slopes_of_keys(fit_bounds_t *bounds);
/** Per fingerprint in quarantine. */
void slopes_of_quarantine(fit_bounds_t *bounds);
/** Per batch job known, per chunk of a job, per item held. */
void slopes_of_batch(fit_bounds_t *bounds);
/** What a domain does when its speaker is lost, by VMs of the domain. */
void slopes_of_loss(fit_bounds_t *bounds);
/** A whole domain of the target's size, measured at once: one line a role. */
void slopes_at_target(fit_bounds_t *bounds);

#endif
