/*
 * How the threads of a run ask VMs.
 */
#include <algorithm>
#include <thread>

#include <xxhash.h>

#include "tests/soak/stage.h"

namespace soak
{

namespace
{

constexpr long REST_STEP_MS = 50;
constexpr long REST_AFTER_LEAST_MS = 100;
constexpr long REST_AFTER_MOST_MS = 1500;

unsigned long
mix(unsigned long seed, const std::string &name)
{
	return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

} // namespace

stage_t::stage_t(const options_t &wanted, harness::fleet_t &built,
    history_t &kept, verdicts_t &judged)
    : options(wanted), fleet(built), history(kept), verdicts(judged),
      lives(built.vms.size())
{
	for (const harness::standin_t &engine : fleet.engines)
		crashes[engine.domain] = 0;
}

void
stage_t::keep(const job_t &job)
{
	std::lock_guard<std::mutex> guard(lock);

	jobs.push_back(job);
}

caller_t::caller_t(stage_t &of, const std::string &role, int number)
    : stage(of), name(role + "-" + std::to_string(number)),
      random(mix(of.options.seed, name))
{
}

long
caller_t::draw(long least, long most)
{
	return least +
	    static_cast<long>(
		random() % static_cast<unsigned long>(most - least + 1));
}

bool
caller_t::chance(int percent)
{
	return draw(1, 100) <= percent;
}

const harness::vm_t &
caller_t::pick_vm()
{
	return *stage.fleet.vms[random() % stage.fleet.vms.size()];
}

void
caller_t::rest(long least_ms, long most_ms)
{
	long left_ms = draw(least_ms, most_ms);

	while (left_ms > 0 && !stage.stop) {
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(std::min(left_ms, REST_STEP_MS)));
		left_ms -= REST_STEP_MS;
	}
}

void
caller_t::rest_after(const harness::reply_t &reply)
{
	long told_ms = reply.number("retry_after_ms");
	long wait_ms =
	    std::clamp(told_ms, REST_AFTER_LEAST_MS, REST_AFTER_MOST_MS);

	rest(wait_ms, wait_ms + REST_AFTER_LEAST_MS);
}

harness::reply_t
ask(const caller_t &caller, const harness::vm_t &vm, const question_t &question)
{
	attempt_t attempt;
	harness::reply_t reply;

	attempt.caller = caller.name;
	attempt.operation = question.operation;
	attempt.vm = vm.name;
	attempt.key = question.key;
	attempt.begin_ms = harness::now_ms();
	reply = harness::call(question.method, question.url, question.body,
	    question.headers, question.timeout_ms);
	attempt.end_ms = harness::now_ms();
	attempt.code = reply.code;
	attempt.status = reply.status;
	if (reply.status >= 400) {
		attempt.problem = reply.text("code");
		attempt.run = reply.text("run");
	}
	if (question.keeps_answer || reply.status >= 400)
		attempt.detail = reply.body;
	caller.stage.history.add(attempt);
	return reply;
}

} // namespace soak
