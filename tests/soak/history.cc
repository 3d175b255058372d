/*
 * Stores the history of a run; prints its counts and check results.
 */
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include <jansson.h>

#include "tests/soak/history.h"
#include "tests/system/harness.h"

namespace soak
{

namespace
{

constexpr size_t VIOLATIONS_SHOWN = 8;

void
write_line(std::ofstream &file, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);

	if (file.is_open() && text != nullptr)
		file << text << std::endl;
	free(text);
	json_decref(line);
}

std::string
outcome_of(const attempt_t &attempt)
{
	if (attempt.status == 0 || attempt.code != CURLE_OK)
		return std::string("incomplete answer: ") +
		    curl_easy_strerror(attempt.code);
	return std::to_string(attempt.status) +
	    (attempt.problem.empty() ? "" : " " + attempt.problem) +
	    (attempt.run.empty() ? "" : " run:" + attempt.run);
}

} // namespace

bool
attempt_t::is_open() const
{
	return code != CURLE_OK && code != CURLE_COULDNT_CONNECT;
}

history_t::history_t(const std::string &path)
{
	if (!path.empty())
		file.open(path);
}

void
history_t::add(const attempt_t &attempt)
{
	std::lock_guard<std::mutex> guard(lock);

	attempts.push_back(attempt);
	write_line(file,
	    json_pack("{s:I,s:I,s:s,s:s,s:s,s:s,s:I,s:s,s:s,s:s,s:s}", "at",
		static_cast<json_int_t>(attempt.begin_ms), "end",
		static_cast<json_int_t>(attempt.end_ms), "caller",
		attempt.caller.c_str(), "operation", attempt.operation.c_str(),
		"vm", attempt.vm.c_str(), "key", attempt.key.c_str(), "status",
		static_cast<json_int_t>(attempt.status), "transfer",
		curl_easy_strerror(attempt.code), "problem",
		attempt.problem.c_str(), "run", attempt.run.c_str(), "detail",
		attempt.detail.c_str()));
}

void
history_t::add_fault(const std::string &kind, const std::string &target,
    const std::string &phase)
{
	std::lock_guard<std::mutex> guard(lock);

	if (phase == "begin")
		faults[kind]++;
	write_line(file,
	    json_pack("{s:I,s:s,s:s,s:s}", "at",
		static_cast<json_int_t>(harness::now_ms()), "fault",
		kind.c_str(), "target", target.c_str(), "phase",
		phase.c_str()));
}

std::vector<attempt_t>
history_t::find(const std::string &operation) const
{
	std::lock_guard<std::mutex> guard(lock);
	std::vector<attempt_t> found;

	for (const attempt_t &attempt : attempts) {
		if (attempt.operation == operation)
			found.push_back(attempt);
	}
	return found;
}

std::map<std::string, std::vector<attempt_t>>
history_t::group(const std::string &operation) const
{
	std::map<std::string, std::vector<attempt_t>> groups;

	for (const attempt_t &attempt : find(operation))
		groups[attempt.key].push_back(attempt);
	for (auto &group : groups) {
		std::sort(group.second.begin(), group.second.end(),
		    [](const attempt_t &a, const attempt_t &b) {
			    return a.begin_ms < b.begin_ms;
		    });
	}
	return groups;
}

void
history_t::print_counts() const
{
	std::lock_guard<std::mutex> guard(lock);
	std::map<std::string, std::map<std::string, long>> outcomes;
	std::map<std::string, long> totals;

	for (const attempt_t &attempt : attempts) {
		outcomes[attempt.operation][outcome_of(attempt)]++;
		totals[attempt.operation]++;
	}
	printf(
	    "\n%-10s %-56s %7s %6s\n", "operation", "answer", "count", "share");
	for (const auto &operation : outcomes) {
		for (const auto &outcome : operation.second) {
			printf("%-10s %-56s %7ld %5.1f%%\n",
			    operation.first.c_str(), outcome.first.c_str(),
			    outcome.second,
			    100.0 * static_cast<double>(outcome.second) /
				static_cast<double>(totals[operation.first]));
		}
	}
	printf("\n%-20s %7s\n", "fault", "count");
	for (const auto &fault : faults)
		printf("%-20s %7ld\n", fault.first.c_str(), fault.second);
}

void
verdicts_t::expect(
    const std::string &check, bool holds, const std::string &what)
{
	std::lock_guard<std::mutex> guard(lock);

	checks[check].evaluated++;
	if (holds)
		return;
	checks[check].violations.push_back(what);
	fprintf(stderr, "violated at %ld: %s: %s\n", harness::now_ms(),
	    check.c_str(), what.c_str());
}

void
verdicts_t::count(const std::string &name, long number)
{
	std::lock_guard<std::mutex> guard(lock);

	figures[name] += number;
}

bool
verdicts_t::print() const
{
	std::lock_guard<std::mutex> guard(lock);
	int passed = 0;
	int failed = 0;

	printf("\n%-60s %7s\n", "figure", "number");
	for (const auto &figure : figures)
		printf("%-60s %7ld\n", figure.first.c_str(), figure.second);
	printf("\n");
	for (const auto &check : checks) {
		const std::vector<std::string> &bad = check.second.violations;
		printf("%s: %s (%ld evaluated, %zu violated)\n",
		    bad.empty() ? "passed" : "FAILED", check.first.c_str(),
		    check.second.evaluated, bad.size());
		for (size_t i = 0; i < bad.size() && i < VIOLATIONS_SHOWN; i++)
			printf("    %s\n", bad[i].c_str());
		(bad.empty() ? passed : failed)++;
	}
	printf("%d passed, %d failed\n", passed, failed);
	return failed == 0;
}

} // namespace soak
