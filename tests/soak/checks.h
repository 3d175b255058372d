/*
 * What is judged once all faults are mended.
 */
#ifndef TESTS_SOAK_CHECKS_H
#define TESTS_SOAK_CHECKS_H

#include "tests/soak/stage.h"

namespace soak
{

/* Waits for the end of all jobs and for one version of the configuration. */
void wait_quiet(stage_t &stage);
/* The records of services against what callers of calls were told. */
void check_calls(stage_t &stage);
/* The records of engines against what online callers were told. */
void check_online(stage_t &stage);
/* The results of jobs, and the platform's log of them. */
void check_jobs(stage_t &stage);
/* Patches against the configuration and its history. */
void check_config(stage_t &stage);

/* A run of the plain service. */
struct run_t {
	std::string key;
	std::string body_hash;
	long at_ms;
};

std::vector<run_t> read_runs(const stage_t &stage);
/* As the plain service writes it. */
std::string hash_body(const std::string &body);

} // namespace soak

#endif
