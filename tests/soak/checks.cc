/*
 * Judges calls, online requests and the configuration.
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
/* The history's and the service's clocks are read a little apart. */
constexpr long CLOCK_SLACK_MS = 20;
constexpr int HISTORY_PAGES = 100;

using attempts_t = std::vector<attempt_t>;

/* Whether another attempt under the key can have brought the run about. */
bool
has_other_cause(
    const attempts_t &attempts, const attempt_t &told, const run_t &run)
{
	return std::any_of(
	    attempts.begin(), attempts.end(), [&](const attempt_t &attempt) {
		    return &attempt != &told &&
			attempt.code != CURLE_COULDNT_CONNECT &&
			attempt.begin_ms <= run.at_ms + CLOCK_SLACK_MS &&
			(attempt.is_open() ||
			    attempt.end_ms + CLOCK_SLACK_MS >= run.at_ms);
	    });
}

/*
 * A run before the question that was answered "not run" makes the answer
 * untrue in any case; a later one when no other attempt explains it.
 */
bool
is_true_not_run(
    const attempts_t &attempts, const attempt_t &told, const run_t &run)
{
	if (run.at_ms + CLOCK_SLACK_MS < told.begin_ms)
		return false;
	return has_other_cause(attempts, told, run);
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
check_call(stage_t &stage, const std::string &key, const attempts_t &attempts,
    const std::vector<run_t> &runs)
{
	verdicts_t &verdicts = stage.verdicts;
	std::string all = key + describe(attempts, runs);
	std::string answer;

	verdicts.judge("calls: a key runs at most once", runs.size() <= 1, all);
	for (const attempt_t &attempt : attempts) {
		bool done = attempt.status == 200 && attempt.code == CURLE_OK;
		if (done) {
			answer = answer.empty() ? attempt.detail : answer;
			verdicts.judge("calls: told done, it ran once",
			    runs.size() == 1, all);
			verdicts.judge("calls: an answer is its own",
			    attempt.detail.find("\"" + key + "\"") !=
				std::string::npos,
			    all + attempt.detail);
			verdicts.judge("calls: one answer to one key",
			    attempt.detail == answer, all + attempt.detail);
		}
		for (const run_t &run : runs) {
			if (attempt.run == "not_run")
				verdicts.judge("calls: \"not run\" is true",
				    is_true_not_run(attempts, attempt, run),
				    all);
		}
		if (attempt.problem == "history_unknown")
			verdicts.judge("calls: unknown history says so",
			    attempt.run == "unknown", all);
	}
	verdicts.count(!answer.empty() ? "call keys told done"
				       : "call keys never told done");
	if (answer.empty() && !runs.empty())
		verdicts.count("call keys that ran, never told done");
}

/* As harness::wait_until(), but the verdict is the caller's. */
bool
comes_true(const std::function<bool()> &holds, long limit_ms)
{
	long until_ms = harness::now_ms() + limit_ms;

	while (!holds()) {
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
count_records(const stage_t &stage)
{
	std::map<std::string, int> counts;

	for (const harness::standin_t &engine : stage.fleet.engines) {
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

/* The names of the patches that the history holds, by version. */
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
holds(const std::multimap<long, std::string> &all, long version,
    const std::string &name)
{
	auto range = all.equal_range(version);

	return std::any_of(range.first, range.second,
	    [&name](const auto &entry) { return entry.second == name; });
}

/* The version that an accepted patch became. */
long
accepted_as(const attempts_t &attempts)
{
	for (const attempt_t &attempt : attempts) {
		if (attempt.status == 200 && attempt.code == CURLE_OK)
			return harness::json_view_t(attempt.detail)
			    .number("version");
	}
	return -1;
}

/* All attempts were answered, and each said that nothing was changed. */
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
read_runs(const stage_t &stage)
{
	std::vector<run_t> runs;

	for (const harness::standin_t &service : stage.fleet.services) {
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
check_calls(stage_t &stage)
{
	std::map<std::string, std::vector<run_t>> runs;

	for (const run_t &run : read_runs(stage))
		runs[run.key].push_back(run);
	for (const auto &group : stage.history.group("call"))
		check_call(stage, group.first, group.second, runs[group.first]);
}

/* An engine that was restarted has lost its records; others keep theirs. */
void
check_online(stage_t &stage)
{
	std::map<std::string, int> records = count_records(stage);

	for (const char *operation : {"complete", "stream"}) {
		for (const attempt_t &told : stage.history.find(operation)) {
			if (told.run == "not_run")
				stage.verdicts.judge(
				    "online: \"not run\" is true",
				    records.count(hash_prompt(told.key)) == 0,
				    told.key + " " + told.detail);
			if (!stage.options.brings("engine_kill"))
				stage.verdicts.judge(
				    "online: none is taken for poison",
				    told.problem != "quarantined",
				    told.key + " " + told.detail);
		}
	}
	for (const auto &vm : stage.fleet.vms)
		stage.verdicts.judge("run: each VM serves again",
		    comes_true([&vm] { return serves(*vm); }, SERVE_LIMIT_MS),
		    vm->name);
}

void
check_config(stage_t &stage)
{
	const harness::vm_t &vm = *stage.fleet.vms[0];
	std::multimap<long, std::string> all = read_history(vm);
	std::string document =
	    harness::call("GET", vm.operators + "/v1/config").body;
	std::map<long, std::string> versions;

	stage.verdicts.judge("configuration: one version at all VMs",
	    comes_true([&stage] { return have_one_version(stage.fleet); },
		VERSION_LIMIT_MS),
	    "see the history");
	for (const auto &group : stage.history.group("patch")) {
		const std::string &name = group.first;
		bool in_force =
		    document.find("\"" + name + "\"") != std::string::npos;
		long version = accepted_as(group.second);
		std::string what = name + describe(group.second, {});
		if (version < 0) {
			stage.verdicts.judge(
			    "configuration: a rejected patch changes nothing",
			    !was_rejected(group.second) || !in_force, what);
			continue;
		}
		stage.verdicts.judge(
		    "configuration: an accepted patch stays in force", in_force,
		    what);
		stage.verdicts.judge(
		    "configuration: an accepted patch is in the history",
		    holds(all, version, name), what);
		const std::string &first = versions[version];
		stage.verdicts.judge(
		    "configuration: one patch makes one version",
		    first.empty() || first == name, what + " and " + first);
		versions[version] = name;
	}
	stage.verdicts.count(
	    "patches accepted", static_cast<long>(versions.size()));
}

} // namespace soak
