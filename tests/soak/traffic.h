/*
 * The callers and operators of a run, one thread each.
 */
#ifndef TESTS_SOAK_TRAFFIC_H
#define TESTS_SOAK_TRAFFIC_H

#include <thread>
#include <vector>

#include "tests/soak/context.h"

namespace soak
{

/* Teams whose requests call_online() sends in turn. */
constexpr int ONLINE_TEAMS = 3;

/* Online completions, half of them streamed. */
void call_online(caller_t &caller);
/* The same of the hot team alone, while there is one, and without pauses. */
void call_as_hot_team(caller_t &caller);
/* Non-idempotent calls, each with its own key. */
void call_service(caller_t &caller);
/* Batch jobs: upload, submission, status, some cancels. */
void submit_jobs(caller_t &caller);
/* Patches of the configuration. */
void patch_config(caller_t &caller);
/* Checks that no VM's configuration version decreases. */
void watch_versions(caller_t &caller);
/* Prompts that crash each engine that runs them, sent repeatedly. */
void send_poison(caller_t &caller);

/* Uploads and submits a job; false if no VM has accepted it. */
bool submit_job(caller_t &caller, job_t &job);
/* The status of a job from a picked VM; empty: no valid answer. */
std::string fetch_status(caller_t &caller, const std::string &id);

std::vector<std::thread> start_traffic(run_context_t &context);

} // namespace soak

#endif
