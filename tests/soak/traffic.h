/*
 * The callers and operators of a run, one thread each.
 */
#ifndef TESTS_SOAK_TRAFFIC_H
#define TESTS_SOAK_TRAFFIC_H

#include <thread>
#include <vector>

#include "tests/soak/stage.h"

namespace soak
{

/* Online completions, half of them streamed. */
void call_online(caller_t &caller);
/* Calls that may run once, each under a key of its own. */
void call_service(caller_t &caller);
/* Batch jobs: upload, submission, status, some cancels. */
void submit_jobs(caller_t &caller);
/* Patches of the configuration. */
void patch_config(caller_t &caller);
/* Looks at the version of the configuration at each VM. */
void watch_versions(caller_t &caller);
/* Prompts that crash each engine that runs them, sent again and again. */
void send_poison(caller_t &caller);

/* Uploads and submits a job until a VM accepts it; false: none did. */
bool submit_job(caller_t &caller, job_t &job);
/* The status of a job as a VM tells it; empty: it tells none. */
std::string ask_status(caller_t &caller, const std::string &id);

std::vector<std::thread> start_traffic(stage_t &stage);

} // namespace soak

#endif
