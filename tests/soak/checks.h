/*
 * Checks that run after all faults have ended.
 */
#ifndef TESTS_SOAK_CHECKS_H
#define TESTS_SOAK_CHECKS_H

#include "tests/soak/context.h"

namespace soak
{

/* Waits until all jobs have ended, at most --quiet seconds. */
void wait_for_jobs(run_context_t &context);
/* Compares the runs recorded by services with the answers to calls. */
void check_calls(run_context_t &context);
/* Compares the records of engines with the answers to online requests. */
void check_online(run_context_t &context);
/* Checks the results of jobs and the platform's write log of them. */
void check_jobs(run_context_t &context);
/* Compares accepted patches with the configuration and its history. */
void check_config(run_context_t &context);

/* A call that the plain service has run. */
struct run_t {
	std::string key;
	std::string body_hash;
	long at_ms;
};

std::vector<run_t> read_runs(const run_context_t &context);
/* The hash of a call's body in the form that the plain service records. */
std::string hash_body(const std::string &body);

} // namespace soak

#endif
