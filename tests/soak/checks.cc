/*
 * Checks calls, online requests and the configuration.
 */
#include <algorithm>
#include <cinttypes>
#include <cstring>
#include <thread>

#include <xxhash.h>

#include "tests/soak/checks.h"

namespace soak
{

namespace
{

constexpr long VERSION_LIMIT_MS = 30000;
constexpr long SERVE_LIMIT_MS = 15000;
/* Caller and service read the clock at slightly different moments. */
constexpr long CLOCK_SLACK_MS = 20;
constexpr int HISTORY_PAGES = 100;

using attempts_t = std::vector<attempt_t>;

/* Whether another attempt with the same key can have caused the run. */
bool
has_other_cause(
    const attempts_t &attempts, const attempt_t &reported, const run_t &run)
{
	return std::any_of(
	    attempts.begin(), attempts.end(), [&](const attempt_t &attempt) {
		    return &attempt != &reported &&
			attempt.code != CURLE_COULDNT_CONNECT &&
			attempt.begin_ms <= run.at_ms + CLOCK_SLACK_MS &&
			(attempt.is_open() ||
			    attempt.end_ms + CLOCK_SLACK_MS >= run.at_ms);
	    });
}

/*
 * Whether an answer "not run" agrees with a recorded run of its key. It is
 * wrong if the run precedes the request that got the answer, or if the run is
 * later and no other attempt can have caused it.
 */
bool
is_not_run_correct(
    const attempts_t &attempts, const attempt_t &reported, const run_t &run)
{
	if (run.at_ms + CLOCK_SLACK_MS < reported.begin_ms)
		return false;
	return has_other_cause(attempts, reported, run);
}

std::string
describe(const attempts_t &attempts, const std::vector<run_t> &runs)
{
	std::string text;

	for (const attempt_t &attempt : attempts)
		text += "\n      " + std::to_string(attempt.begin_ms) + "-" +
		    std::to_string(attempt.end_ms) + " " + attempt.vm + " " +
		    std::to_string(attempt.status) + " " + attempt.problem +
		    " run:" + attempt.run + " " +
		    curl_easy_strerror(attempt.code);
	for (const run_t &run : runs)
		text += "\n      run at " + std::to_string(run.at_ms);
	return text;
}

void
check_call(run_context_t &context, const std::string &key,
    const attempts_t &attempts, const std::vector<run_t> &runs)
{
	verdicts_t &verdicts = context.verdicts;
	std::string all = key + describe(attempts, runs);
	std::string answer;

	verdicts.expect(
	    "calls: a key runs at most once", runs.size() <= 1, all);
	for (const attempt_t &attempt : attempts) {
		bool done = attempt.status == 200 && attempt.code == CURLE_OK;
		if (done) {
			answer = answer.empty() ? attempt.detail : answer;
			verdicts.expect(
			    "calls: answered done, it ran exactly once",
			    runs.size() == 1, all);
			verdicts.expect("calls: an answer belongs to its key",
			    attempt.detail.find("\"" + key + "\"") !=
				std::string::npos,
			    all + attempt.detail);
			verdicts.expect(
			    "calls: all answers to a key are the same",
			    attempt.detail == answer, all + attempt.detail);
		}
		for (const run_t &run : runs) {
			if (attempt.run == "not_run")
				verdicts.expect("calls: \"not run\" is true",
				    is_not_run_correct(attempts, attempt, run),
				    all);
		}
		if (attempt.problem == "history_unknown")
			verdicts.expect(
			    "calls: history_unknown reports run unknown",
			    attempt.run == "unknown", all);
	}
	verdicts.count(!answer.empty() ? "call keys told done"
				       : "call keys never told done");
	if (answer.empty() && !runs.empty())
		verdicts.count("call keys that ran, never told done");
}

/* As harness::wait_until(), but returns false instead of failing the test. */
bool
becomes_true(const std::function<bool()> &condition, long limit_ms)
{
	long until_ms = harness::now_ms() + limit_ms;

	while (!condition()) {
		if (harness::now_ms() >= until_ms)
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	return true;
}

bool
serves(const harness::vm_t &vm)
{
	std::string prompt = "after all at " + vm.name;

	return harness::is_answer_to(vm.complete(prompt, 2), prompt, 2);
}

bool
have_one_version(const harness::fleet_t &fleet)
{
	long version = fleet.vms[0]->version();

	return version > 0 &&
	    std::all_of(fleet.vms.begin(), fleet.vms.end(),
		[version](const auto &vm) { return vm->version() == version; });
}

std::map<std::string, int>
count_records(const run_context_t &context)
{
	std::map<std::string, int> counts;

	for (const harness::standin_t &engine : context.fleet.engines) {
		harness::json_view_t records(engine.ask("/records").body);
		for (size_t i = 0; i < records.size(); i++)
			counts[records.text(
			    std::to_string(i) + ".prompt_hash")]++;
	}
	return counts;
}

std::string
hash_prompt(const std::string &prompt)
{
	char text[16];

	snprintf(text, sizeof(text), "%08x",
	    static_cast<unsigned>(XXH3_64bits(prompt.data(), prompt.size())));
	return text;
}

/* The operators of the patches in the history (each patch has its own). */
std::multimap<long, std::string>
read_history(const harness::vm_t &vm)
{
	std::multimap<long, std::string> found;
	long after = 0;

	for (int page = 0; page < HISTORY_PAGES; page++) {
		harness::json_view_t list(harness::call("GET",
		    vm.operators +
			"/v1/config/history?after=" + std::to_string(after))
					      .body);
		for (size_t i = 0; i < list.size(); i++) {
			std::string at = std::to_string(i);
			after = list.number(at + ".version");
			found.emplace(after, list.text(at + ".operator"));
		}
		if (list.size() == 0)
			break;
	}
	return found;
}

bool
has_entry(const std::multimap<long, std::string> &all, long version,
    const std::string &name)
{
	auto range = all.equal_range(version);

	return std::any_of(range.first, range.second,
	    [&name](const auto &entry) { return entry.second == name; });
}

/* The version that the accepted patch created; -1: not accepted. */
long
accepted_version(const attempts_t &attempts)
{
	for (const attempt_t &attempt : attempts) {
		if (attempt.status == 200 && attempt.code == CURLE_OK)
			return harness::json_view_t(attempt.detail)
			    .number("version");
	}
	return -1;
}

/* Whether every attempt was refused: no connection, 412 or 422. */
bool
was_rejected(const attempts_t &attempts)
{
	return std::all_of(
	    attempts.begin(), attempts.end(), [](const attempt_t &attempt) {
		    return attempt.code == CURLE_COULDNT_CONNECT ||
			attempt.status == 412 || attempt.status == 422;
	    });
}

} // namespace

std::vector<run_t>
read_runs(const run_context_t &context)
{
	std::vector<run_t> runs;

	for (const harness::standin_t &service : context.fleet.services) {
		harness::json_view_t list(service.ask("/runs").body);
		for (size_t i = 0; i < list.size(); i++) {
			std::string at = std::to_string(i);
			runs.push_back({list.text(at + ".key"),
			    list.text(at + ".body_hash"),
			    list.number(at + ".at_ms")});
		}
	}
	return runs;
}

std::string
hash_body(const std::string &body)
{
	char text[24];

	snprintf(text, sizeof(text), "%016" PRIx64,
	    static_cast<uint64_t>(XXH3_64bits(body.data(), body.size())));
	return text;
}

void
check_calls(run_context_t &context)
{
	std::map<std::string, std::vector<run_t>> runs;

	for (const run_t &run : read_runs(context))
		runs[run.key].push_back(run);
	for (const auto &group : context.history.group("call"))
		check_call(
		    context, group.first, group.second, runs[group.first]);
}

/* A restarted engine has lost its records; the others still have theirs. */
void
check_online(run_context_t &context)
{
	std::map<std::string, int> records = count_records(context);

	for (const char *operation : {"complete", "stream"}) {
		for (const attempt_t &attempt :
		    context.history.find(operation)) {
			if (attempt.run == "not_run")
				context.verdicts.expect(
				    "online: \"not run\" is true",
				    records.count(hash_prompt(attempt.key)) ==
					0,
				    attempt.key + " " + attempt.detail);
			if (!context.options.includes("engine_kill"))
				context.verdicts.expect(
				    "online: no healthy prompt is quarantined",
				    attempt.problem != "quarantined",
				    attempt.key + " " + attempt.detail);
		}
	}
	for (const auto &vm : context.fleet.vms)
		context.verdicts.expect("run: each VM serves after the faults",
		    becomes_true([&vm] { return serves(*vm); }, SERVE_LIMIT_MS),
		    vm->name);
}

void
check_config(run_context_t &context)
{
	const harness::vm_t &vm = *context.fleet.vms[0];
	std::multimap<long, std::string> all = read_history(vm);
	std::string document =
	    harness::call("GET", vm.operators + "/v1/config").body;
	std::map<long, std::string> versions;

	context.verdicts.expect("configuration: all VMs reach one version",
	    becomes_true([&context] { return have_one_version(context.fleet); },
		VERSION_LIMIT_MS),
	    "see the history file (--history)");
	for (const auto &group : context.history.group("patch")) {
		const std::string &name = group.first;
		bool in_force =
		    document.find("\"" + name + "\"") != std::string::npos;
		long version = accepted_version(group.second);
		std::string what = name + describe(group.second, {});
		if (version < 0) {
			context.verdicts.expect(
			    "configuration: a rejected patch changes nothing",
			    !was_rejected(group.second) || !in_force, what);
			continue;
		}
		context.verdicts.expect(
		    "configuration: an accepted patch stays in force", in_force,
		    what);
		context.verdicts.expect(
		    "configuration: an accepted patch is in the history",
		    has_entry(all, version, name), what);
		const std::string &first = versions[version];
		context.verdicts.expect(
		    "configuration: one patch makes one version",
		    first.empty() || first == name, what + " and " + first);
		versions[version] = name;
	}
	context.verdicts.count(
	    "patches accepted", static_cast<long>(versions.size()));
}

} // namespace soak
