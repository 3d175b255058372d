/*
 * Judges batch jobs: each item of an accepted job has one result, its own.
 */
#include <algorithm>
#include <sstream>
#include <thread>

#include <glib.h>

#include "tests/soak/checks.h"
#include "tests/soak/traffic.h"

namespace soak
{

namespace
{

constexpr long QUIET_STEP_MS = 200;
constexpr int READ_TRIES = 10;
/* A lease, its margin, and the longest cut or pause of a holder. */
constexpr long CANCEL_LIMIT_MS = 15000;
/* Where nothing keeps the news from a holder. */
constexpr long CANCEL_CALM_MS = 1000;

using lines_t = std::map<std::string, std::string>;

/* Whole results as one VM tells them; false: it never did. */
bool
read_results(caller_t &caller, const job_t &job, const harness::vm_t &vm,
    std::string &text)
{
	question_t question;

	question.operation = "results";
	question.key = job.id;
	question.method = "GET";
	question.url = vm.callers + "/v1/batches/" + job.id + "/results";
	question.timeout_ms = harness::LIMIT_MS;
	for (int i = 0; i < READ_TRIES; i++) {
		harness::reply_t reply = ask(caller, vm, question);
		text = reply.body;
		if (reply.status == 200 && reply.code == CURLE_OK)
			return true;
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(QUIET_STEP_MS));
	}
	return false;
}

lines_t
split(stage_t &stage, const job_t &job, const std::string &text)
{
	std::stringstream stream(text);
	std::string line;
	lines_t lines;

	while (std::getline(stream, line)) {
		std::string id = harness::json_view_t(line).text("custom_id");
		stage.verdicts.judge("jobs: one result of an item",
		    lines.emplace(id, line).second,
		    job.id + ": " + id + " twice");
	}
	return lines;
}

void
check_prompt(stage_t &stage, const job_t &job, const item_t &item,
    const std::string &line)
{
	harness::json_view_t view(line);
	bool done = view.number("response.status_code") == 200;

	if (done)
		stage.verdicts.judge("jobs: a result is its own item's",
		    view.text("response.body.choices.0.text") ==
			harness::text_of(item.id, item.tokens),
		    job.id + ": " + line);
	if (item.kind == item_kind_t::PLAIN)
		stage.verdicts.judge("jobs: an item that can complete does",
		    done, job.id + ": " + line);
	else
		stage.verdicts.judge("jobs: an item that cannot has a failure",
		    !done, job.id + ": " + line);
}

void
check_booking(stage_t &stage, const job_t &job, const item_t &item,
    const std::string &line, const std::map<std::string, int> &runs)
{
	harness::json_view_t view(line);
	bool done = view.number("response.status_code") == 200;
	std::string body = "{\"order\":\"" + item.id + "\"}";
	auto found = runs.find(hash_body(body));
	int count = found != runs.end() ? found->second : 0;
	std::string what =
	    job.id + ": " + line + ", " + std::to_string(count) + " runs";

	stage.verdicts.judge(
	    "jobs: a booking runs at most once", count <= 1, what);
	if (done) {
		stage.verdicts.judge(
		    "jobs: a booking told done ran once", count == 1, what);
		stage.verdicts.judge("jobs: a result is its own item's",
		    view.text("response.body.echo.order") == item.id, what);
	}
	if (view.text("error.run") == "not_run")
		stage.verdicts.judge(
		    "jobs: \"not run\" is true", count == 0, what);
	stage.verdicts.count(done
		? "job bookings done"
		: "job bookings with an error: " + view.text("error.code"));
}

void
check_lines(stage_t &stage, const job_t &job, const lines_t &lines,
    const std::map<std::string, int> &runs)
{
	size_t known = 0;

	for (const item_t &item : job.items) {
		auto line = lines.find(item.id);
		if (line == lines.end()) {
			stage.verdicts.judge("jobs: no item is lost",
			    job.ended != "completed", job.id + ": " + item.id);
			continue;
		}
		known++;
		if (harness::json_view_t(line->second).text("error.code") ==
		    "cancelled") {
			stage.verdicts.count("job items cancelled");
			continue;
		}
		if (item.kind == item_kind_t::BOOKING)
			check_booking(stage, job, item, line->second, runs);
		else
			check_prompt(stage, job, item, line->second);
	}
	stage.verdicts.judge(
	    "jobs: no result of another's item", known == lines.size(), job.id);
}

std::string
decode(const std::string &base64)
{
	gsize size = 0;
	guchar *bytes = g_base64_decode(base64.c_str(), &size);
	std::string text(reinterpret_cast<char *>(bytes), size);

	g_free(bytes);
	return text;
}

/* The first job that has not ended, for a closer look. */
std::string
job_that_runs(const stage_t &stage)
{
	for (const job_t &job : stage.jobs) {
		if (job.ended.empty())
			return job.id;
	}
	return "none";
}

/* A holder that nothing befell keeps its chunk until it gives it back. */
void
judge_take_over(
    stage_t &stage, const std::string &key, const std::string &before)
{
	bool released = before == "released";

	stage.verdicts.count(released ? "chunks released and claimed again"
				      : "chunks taken over from a holder");
	if (stage.options.leaves_vms_alone())
		stage.verdicts.judge("jobs: no take-over without a fault",
		    released, key + " was " + before);
}

/* Each object below out/ was written once; take-overs are counted. */
void
check_log(stage_t &stage)
{
	harness::reply_t reply = stage.fleet.platform.ask("/log?prefix=jobs/");
	harness::json_view_t log(reply.body);
	std::map<std::string, int> writes;
	std::map<std::string, long> fences;
	std::map<std::string, std::string> states;
	std::map<std::string, std::string> last;

	stage.verdicts.judge("run: the platform's log is whole",
	    reply.header("Jujube-Log-Dropped") == "0" ||
		reply.header("Jujube-Log-Dropped").empty(),
	    reply.header("Jujube-Log-Dropped"));
	for (size_t i = 0; i < log.size(); i++) {
		std::string at = std::to_string(i);
		std::string key = log.text(at + ".key");
		if (key.find("/out/") != std::string::npos)
			stage.verdicts.judge("jobs: results are written once",
			    ++writes[key] == 1, key);
		if (key.find("/chunk/") == std::string::npos)
			continue;
		std::string text = decode(log.text(at + ".value"));
		long fence = harness::json_view_t(text).number("fence");
		std::string state = harness::json_view_t(text).text("state");
		stage.verdicts.judge("jobs: fencing numbers only rise",
		    fence >= fences[key], key);
		if (fence > fences[key] && fences[key] > 0)
			judge_take_over(stage, key, states[key]);
		states[key] = state;
		if (key.find(job_that_runs(stage)) != std::string::npos)
			last[key] = text;
		fences[key] = fence;
	}
	for (const auto &record : last)
		fprintf(stderr, "still running: %s %s\n", record.first.c_str(),
		    record.second.c_str());
}

/* No engine was given an item long after its job's cancel was confirmed. */
void
check_cancels(stage_t &stage)
{
	std::map<std::string, const job_t *> cancelled;
	bool calm =
	    stage.options.leaves_vms_alone() && !stage.options.brings("watch");
	long limit_ms = calm ? CANCEL_CALM_MS : CANCEL_LIMIT_MS;

	for (const job_t &job : stage.jobs) {
		for (const item_t &item : job.items) {
			if (job.cancelled_ms == 0)
				continue;
			std::string text = harness::text_of(item.id, 1);
			cancelled[text.substr(3, 8)] = &job;
		}
	}
	for (const harness::standin_t &engine : stage.fleet.engines) {
		harness::json_view_t records(engine.ask("/records").body);
		for (size_t i = 0; i < records.size(); i++) {
			std::string at = std::to_string(i);
			auto found =
			    cancelled.find(records.text(at + ".prompt_hash"));
			if (found == cancelled.end())
				continue;
			long late = records.number(at + ".started_ms") -
			    found->second->cancelled_ms;
			stage.verdicts.judge("jobs: a cancelled job stops",
			    late < limit_ms,
			    found->second->id + ": an item began " +
				std::to_string(late) + " ms after");
		}
	}
}

/* One key, one job, whoever was asked. */
void
check_ids(stage_t &stage)
{
	for (const auto &group : stage.history.group("submit")) {
		std::string id;
		for (const attempt_t &attempt : group.second) {
			if (attempt.status != 200 || group.first.empty())
				continue;
			std::string told =
			    harness::json_view_t(attempt.detail).text("id");
			id = id.empty() ? told : id;
			stage.verdicts.judge("jobs: one key is one job",
			    told == id, group.first + ": " + id + ", " + told);
		}
	}
}

bool
is_ended(caller_t &caller, job_t &job)
{
	std::string status = ask_status(caller, job.id);

	if (status != "completed" && status != "cancelled")
		return false;
	caller.stage.verdicts.judge("jobs: an end is final",
	    job.ended.empty() || job.ended == status,
	    job.id + " was " + job.ended + ", is " + status);
	job.ended = status;
	return true;
}

} // namespace

void
wait_quiet(stage_t &stage)
{
	caller_t caller(stage, "end", 0);
	long limit_ms = harness::now_ms() + stage.options.quiet * 1000;

	for (job_t &job : stage.jobs) {
		bool ended = is_ended(caller, job);
		while (!ended && harness::now_ms() < limit_ms) {
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(QUIET_STEP_MS));
			ended = is_ended(caller, job);
		}
		stage.verdicts.judge("jobs: an accepted job ends", ended,
		    job.id + " " + job.key + ": " +
			caller.pick_vm().job(job.id).body);
		stage.verdicts.count("jobs " + job.ended);
	}
}

void
check_jobs(stage_t &stage)
{
	caller_t caller(stage, "end", 1);
	std::map<std::string, int> runs;

	for (const run_t &run : read_runs(stage))
		runs[run.body_hash]++;
	for (const job_t &job : stage.jobs) {
		std::string first;
		std::string second;
		bool known = job.ended.empty() ||
		    (read_results(caller, job, caller.pick_vm(), first) &&
			read_results(caller, job, caller.pick_vm(), second));
		stage.verdicts.judge(
		    "jobs: results stay readable", known, job.id);
		if (!known || job.ended.empty())
			continue;
		stage.verdicts.judge("jobs: two VMs tell the same results",
		    first == second, job.id);
		check_lines(stage, job, split(stage, job, first), runs);
	}
	check_cancels(stage);
	check_log(stage);
	check_ids(stage);
}

} // namespace soak
