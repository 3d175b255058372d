/*
 * What all the threads of a run share, and how one of them asks a VM.
 */
#ifndef TESTS_SOAK_STAGE_H
#define TESTS_SOAK_STAGE_H

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
	REFUSED, /* a prompt that engines refuse for good */
	BOOKING, /* a call that may run once */
	POISON, /* a prompt that crashes engines */
};

struct item_t {
	item_kind_t kind;
	std::string id; /* its custom_id; of a prompt: the prompt */
	int tokens;
};

/* A job that a VM has accepted. */
struct job_t {
	std::string id;
	std::string key; /* empty: none */
	std::vector<item_t> items;
	long cancelled_ms = 0; /* told so at; 0: not */
	std::string ended; /* the last status seen that is an end */
};

struct stage_t {
	const options_t &options;
	harness::fleet_t &fleet;
	history_t &history;
	verdicts_t &verdicts;
	std::atomic<bool> stop{false};
	/* Odd while the VM is down; counts its processes. */
	std::vector<std::atomic<int>> lives;
	/* Of engines that nobody killed, by domain. */
	std::map<std::string, std::atomic<long>> crashes;
	std::mutex lock; /* guards jobs */
	std::vector<job_t> jobs;

	stage_t(
	    const options_t &, harness::fleet_t &, history_t &, verdicts_t &);
	void keep(const job_t &job);
};

/* A thread of traffic with numbers of its own. */
struct caller_t {
	stage_t &stage;
	std::string name;
	std::mt19937_64 random;

	caller_t(stage_t &stage, const std::string &role, int number);
	long draw(long least, long most);
	bool chance(int percent);
	const harness::vm_t &pick_vm();
	/* A pause of its own; ends early when the run does. */
	void rest(long least_ms, long most_ms);
	/* Waits as the refusal says, within bounds. */
	void rest_after(const harness::reply_t &reply);
};

struct question_t {
	std::string operation;
	std::string key;
	std::string method;
	std::string url;
	std::string body;
	harness::strings_t headers;
	long timeout_ms = 10000;
	bool keeps_answer = false; /* in the history */
};

/* Asks one VM once and writes it down. */
harness::reply_t ask(const caller_t &caller, const harness::vm_t &vm,
    const question_t &question);

} // namespace soak

#endif
