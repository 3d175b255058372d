/*
 * State that all threads of a run share, and the requests they send to VMs.
 */
#ifndef TESTS_SOAK_CONTEXT_H
#define TESTS_SOAK_CONTEXT_H

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/history.h"
#include "tests/soak/options.h"
#include "tests/system/harness.h"

namespace soak
{

enum class item_kind_t {
	PLAIN, /* a prompt that completes */
	REFUSED, /* a prompt that engines always refuse */
	BOOKING, /* a call that may run at most once */
	POISON, /* a prompt that crashes engines */
};

struct item_t {
	item_kind_t kind;
	std::string id; /* custom_id; for a prompt also its text */
	int tokens;
};

/* A job that a VM has accepted. */
struct job_t {
	std::string id;
	std::string key; /* empty: none */
	std::vector<item_t> items;
	long cancelled_ms = 0; /* time of the confirmed cancel; 0: none */
	std::string ended; /* final status; empty: none seen yet */
};

struct run_context_t {
	const options_t &options;
	harness::fleet_t &fleet;
	history_t &history;
	verdicts_t &verdicts;
	std::atomic<bool> stop{false};
	std::atomic<int> hot_team{-1}; /* its number; -1: none */
	/* Incremented at each stop and each start of a VM: odd while down. */
	std::vector<std::atomic<int>> transitions;
	/* Crashes of engines that were not killed as a fault, by domain. */
	std::map<std::string, std::atomic<long>> crashes;
	std::mutex lock; /* guards jobs */
	std::vector<job_t> jobs;

	run_context_t(
	    const options_t &, harness::fleet_t &, history_t &, verdicts_t &);
	void add_job(const job_t &job);
};

/* A thread of traffic with its own random numbers. */
struct caller_t {
	run_context_t &context;
	std::string name;
	std::mt19937_64 random;

	caller_t(run_context_t &context, const std::string &role, int number);
	long draw(long min, long max);
	bool chance(int percent);
	const harness::vm_t &pick_vm();
	/* Sleeps a random time; returns early when the run ends. */
	void pause(long min_ms, long max_ms);
	/* Sleeps for the answer's retry_after_ms, limited to 100..1500 ms,
	 * plus up to 100 ms. */
	void pause_after(const harness::reply_t &reply);
};

struct vm_request_t {
	std::string operation;
	std::string key;
	std::string method;
	std::string url;
	std::string body;
	harness::strings_t headers;
	long timeout_ms = 10000;
	bool records_body = false; /* record the body of a success */
};

/* Sends the request to the VM once; adds the attempt to the history. */
harness::reply_t send_to_vm(const caller_t &caller, const harness::vm_t &vm,
    const vm_request_t &request);

} // namespace soak

#endif
