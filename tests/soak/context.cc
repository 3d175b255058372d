/*
 * Shared state of a run, and how its threads send requests to VMs.
 */
#include <algorithm>
#include <thread>

#include <xxhash.h>

#include "tests/soak/context.h"

namespace soak
{

namespace
{

constexpr long PAUSE_STEP_MS = 50;
constexpr long PAUSE_AFTER_MIN_MS = 100;
constexpr long PAUSE_AFTER_MAX_MS = 1500;

unsigned long
mix(unsigned long seed, const std::string &name)
{
	return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

} // namespace

run_context_t::run_context_t(const options_t &run_options,
    harness::fleet_t &run_fleet, history_t &run_history,
    verdicts_t &run_verdicts)
    : options(run_options), fleet(run_fleet), history(run_history),
      verdicts(run_verdicts), transitions(run_fleet.vms.size())
{
	for (const harness::standin_t &engine : fleet.engines)
		crashes[engine.domain] = 0;
}

void
run_context_t::add_job(const job_t &job)
{
	std::lock_guard<std::mutex> guard(lock);

	jobs.push_back(job);
}

caller_t::caller_t(
    run_context_t &run_context, const std::string &role, int number)
    : context(run_context), name(role + "-" + std::to_string(number)),
      random(mix(run_context.options.seed, name))
{
}

long
caller_t::draw(long min, long max)
{
	return min +
	    static_cast<long>(
		random() % static_cast<unsigned long>(max - min + 1));
}

bool
caller_t::chance(int percent)
{
	return draw(1, 100) <= percent;
}

const harness::vm_t &
caller_t::pick_vm()
{
	return *context.fleet.vms[random() % context.fleet.vms.size()];
}

void
caller_t::pause(long min_ms, long max_ms)
{
	long left_ms = draw(min_ms, max_ms);

	while (left_ms > 0 && !context.stop) {
		std::this_thread::sleep_for(std::chrono::milliseconds(
		    std::min(left_ms, PAUSE_STEP_MS)));
		left_ms -= PAUSE_STEP_MS;
	}
}

void
caller_t::pause_after(const harness::reply_t &reply)
{
	long retry_after_ms = reply.number("retry_after_ms");
	long wait_ms =
	    std::clamp(retry_after_ms, PAUSE_AFTER_MIN_MS, PAUSE_AFTER_MAX_MS);

	pause(wait_ms, wait_ms + PAUSE_AFTER_MIN_MS);
}

harness::reply_t
send_to_vm(const caller_t &caller, const harness::vm_t &vm,
    const vm_request_t &request)
{
	attempt_t attempt;
	harness::reply_t reply;

	attempt.caller = caller.name;
	attempt.operation = request.operation;
	attempt.vm = vm.name;
	attempt.key = request.key;
	attempt.begin_ms = harness::now_ms();
	reply = harness::call(request.method, request.url, request.body,
	    request.headers, request.timeout_ms);
	attempt.end_ms = harness::now_ms();
	attempt.code = reply.code;
	attempt.status = reply.status;
	if (reply.status >= 400) {
		attempt.problem = reply.text("code");
		attempt.run = reply.text("run");
	}
	if (request.records_body || reply.status >= 400)
		attempt.detail = reply.body;
	caller.context.history.add(attempt);
	return reply;
}

} // namespace soak
