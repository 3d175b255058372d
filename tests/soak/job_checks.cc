/*
 * Checks batch jobs: each item of an accepted job has exactly one result, and
 * the result belongs to the item.
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

constexpr long POLL_STEP_MS = 200;
constexpr int READ_TRIES = 10;
/* The lease, its margin, and the longest cut or pause of a holder. */
constexpr long CANCEL_LIMIT_MS = 15000;
/* Without faults that can delay the cancel on its way to the holder. */
constexpr long CANCEL_LIMIT_NO_FAULTS_MS = 1000;

using lines_t = std::map<std::string, std::string>;

/* Reads the results from one VM; false: no try got them whole. */
bool
read_results(caller_t &caller, const job_t &job, const harness::vm_t &vm,
    std::string &text)
{
	vm_request_t request;

	request.operation = "results";
	request.key = job.id;
	request.method = "GET";
	request.url = vm.callers + "/v1/batches/" + job.id + "/results";
	request.timeout_ms = harness::LIMIT_MS;
	for (int i = 0; i < READ_TRIES; i++) {
		harness::reply_t reply = send_to_vm(caller, vm, request);
		text = reply.body;
		if (reply.status == 200 && reply.code == CURLE_OK)
			return true;
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(POLL_STEP_MS));
	}
	return false;
}

lines_t
split(run_context_t &context, const job_t &job, const std::string &text)
{
	std::stringstream stream(text);
	std::string line;
	lines_t lines;

	while (std::getline(stream, line)) {
		std::string id = harness::json_view_t(line).text("custom_id");
		context.verdicts.expect("jobs: an item has one result",
		    lines.emplace(id, line).second,
		    job.id + ": " + id + " twice");
	}
	return lines;
}

void
check_prompt(run_context_t &context, const job_t &job, const item_t &item,
    const std::string &line)
{
	harness::json_view_t view(line);
	bool done = view.number("response.status_code") == 200;

	if (done)
		context.verdicts.expect("jobs: a result is its own item's",
		    view.text("response.body.choices.0.text") ==
			harness::text_of(item.id, item.tokens),
		    job.id + ": " + line);
	if (item.kind == item_kind_t::PLAIN)
		context.verdicts.expect("jobs: an item that can complete does",
		    done, job.id + ": " + line);
	else
		context.verdicts.expect(
		    "jobs: an item that cannot complete has an error", !done,
		    job.id + ": " + line);
}

void
check_booking(run_context_t &context, const job_t &job, const item_t &item,
    const std::string &line, const std::map<std::string, int> &runs)
{
	harness::json_view_t view(line);
	bool done = view.number("response.status_code") == 200;
	std::string body = "{\"order\":\"" + item.id + "\"}";
	auto found = runs.find(hash_body(body));
	int count = found != runs.end() ? found->second : 0;
	std::string what =
	    job.id + ": " + line + ", " + std::to_string(count) + " runs";

	context.verdicts.expect(
	    "jobs: a booking runs at most once", count <= 1, what);
	if (done) {
		context.verdicts.expect(
		    "jobs: a booking answered done ran exactly once",
		    count == 1, what);
		context.verdicts.expect("jobs: a result is its own item's",
		    view.text("response.body.echo.order") == item.id, what);
	}
	if (view.text("error.run") == "not_run")
		context.verdicts.expect(
		    "jobs: \"not run\" is true", count == 0, what);
	context.verdicts.count(done
		? "job bookings done"
		: "job bookings with an error: " + view.text("error.code"));
}

void
check_lines(run_context_t &context, const job_t &job, const lines_t &lines,
    const std::map<std::string, int> &runs)
{
	size_t known = 0;

	for (const item_t &item : job.items) {
		auto line = lines.find(item.id);
		if (line == lines.end()) {
			context.verdicts.expect("jobs: no item is lost",
			    job.ended != "completed", job.id + ": " + item.id);
			continue;
		}
		known++;
		if (harness::json_view_t(line->second).text("error.code") ==
		    "cancelled") {
			context.verdicts.count("job items cancelled");
			continue;
		}
		if (item.kind == item_kind_t::BOOKING)
			check_booking(context, job, item, line->second, runs);
		else
			check_prompt(context, job, item, line->second);
	}
	context.verdicts.expect("jobs: no result of an item of another job",
	    known == lines.size(), job.id);
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

/* The first job without an end, whose chunks are printed. */
std::string
first_unended_job(const run_context_t &context)
{
	for (const job_t &job : context.jobs) {
		if (job.ended.empty())
			return job.id;
	}
	return "none";
}

/* A chunk gets another holder only after a release or a fault. */
void
check_take_over(
    run_context_t &context, const std::string &key, const std::string &before)
{
	bool released = before == "released";

	context.verdicts.count(released ? "chunks released and claimed again"
					: "chunks taken over from a holder");
	if (context.options.excludes_vm_faults())
		context.verdicts.expect("jobs: no take-over without a fault",
		    released, key + " was " + before);
}

/* Checks that each object below out/ was written once; counts take-overs. */
void
check_log(run_context_t &context)
{
	harness::reply_t reply =
	    context.fleet.platform.ask("/log?prefix=jobs/");
	harness::json_view_t log(reply.body);
	std::map<std::string, int> writes;
	std::map<std::string, long> fences;
	std::map<std::string, std::string> states;
	std::map<std::string, std::string> last;

	context.verdicts.expect("run: the platform's log dropped nothing",
	    reply.header("Jujube-Log-Dropped") == "0" ||
		reply.header("Jujube-Log-Dropped").empty(),
	    reply.header("Jujube-Log-Dropped"));
	for (size_t i = 0; i < log.size(); i++) {
		std::string at = std::to_string(i);
		std::string key = log.text(at + ".key");
		if (key.find("/out/") != std::string::npos)
			context.verdicts.expect(
			    "jobs: results are written once",
			    ++writes[key] == 1, key);
		if (key.find("/chunk/") == std::string::npos)
			continue;
		std::string text = decode(log.text(at + ".value"));
		long fence = harness::json_view_t(text).number("fence");
		std::string state = harness::json_view_t(text).text("state");
		context.verdicts.expect("jobs: fencing numbers only rise",
		    fence >= fences[key], key);
		if (fence > fences[key] && fences[key] > 0)
			check_take_over(context, key, states[key]);
		states[key] = state;
		if (key.find(first_unended_job(context)) != std::string::npos)
			last[key] = text;
		fences[key] = fence;
	}
	for (const auto &record : last)
		fprintf(stderr, "still running: %s %s\n", record.first.c_str(),
		    record.second.c_str());
}

/* Checks that no engine got an item long after the job's confirmed cancel. */
void
check_cancels(run_context_t &context)
{
	std::map<std::string, const job_t *> cancelled;
	bool no_faults = context.options.excludes_vm_faults() &&
	    !context.options.includes("watch");
	long limit_ms = no_faults ? CANCEL_LIMIT_NO_FAULTS_MS : CANCEL_LIMIT_MS;

	for (const job_t &job : context.jobs) {
		for (const item_t &item : job.items) {
			if (job.cancelled_ms == 0)
				continue;
			std::string text = harness::text_of(item.id, 1);
			cancelled[text.substr(3, 8)] = &job;
		}
	}
	for (const harness::standin_t &engine : context.fleet.engines) {
		harness::json_view_t records(engine.ask("/records").body);
		for (size_t i = 0; i < records.size(); i++) {
			std::string at = std::to_string(i);
			auto found =
			    cancelled.find(records.text(at + ".prompt_hash"));
			if (found == cancelled.end())
				continue;
			long late = records.number(at + ".started_ms") -
			    found->second->cancelled_ms;
			context.verdicts.expect("jobs: a cancelled job stops",
			    late < limit_ms,
			    found->second->id + ": an item began " +
				std::to_string(late) + " ms after");
		}
	}
}

/* Checks that all VMs answered a key with the same job. */
void
check_ids(run_context_t &context)
{
	for (const auto &group : context.history.group("submit")) {
		std::string id;
		for (const attempt_t &attempt : group.second) {
			if (attempt.status != 200 || group.first.empty())
				continue;
			std::string reported_id =
			    harness::json_view_t(attempt.detail).text("id");
			id = id.empty() ? reported_id : id;
			context.verdicts.expect("jobs: one key is one job",
			    reported_id == id,
			    group.first + ": " + id + ", " + reported_id);
		}
	}
}

bool
is_ended(caller_t &caller, job_t &job)
{
	std::string status = fetch_status(caller, job.id);

	if (status != "completed" && status != "cancelled")
		return false;
	caller.context.verdicts.expect("jobs: an end is final",
	    job.ended.empty() || job.ended == status,
	    job.id + " was " + job.ended + ", is " + status);
	job.ended = status;
	return true;
}

} // namespace

void
wait_for_jobs(run_context_t &context)
{
	caller_t caller(context, "end", 0);
	long limit_ms = harness::now_ms() + context.options.quiet * 1000;

	for (job_t &job : context.jobs) {
		bool ended = is_ended(caller, job);
		while (!ended && harness::now_ms() < limit_ms) {
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(POLL_STEP_MS));
			ended = is_ended(caller, job);
		}
		context.verdicts.expect("jobs: an accepted job ends", ended,
		    job.id + " " + job.key + ": " +
			caller.pick_vm().job(job.id).body);
		context.verdicts.count("jobs " + job.ended);
	}
}

void
check_jobs(run_context_t &context)
{
	caller_t caller(context, "end", 1);
	std::map<std::string, int> runs;

	for (const run_t &run : read_runs(context))
		runs[run.body_hash]++;
	for (const job_t &job : context.jobs) {
		std::string first;
		std::string second;
		bool known = job.ended.empty() ||
		    (read_results(caller, job, caller.pick_vm(), first) &&
			read_results(caller, job, caller.pick_vm(), second));
		context.verdicts.expect(
		    "jobs: results stay readable", known, job.id);
		if (!known || job.ended.empty())
			continue;
		context.verdicts.expect("jobs: two VMs return the same results",
		    first == second, job.id);
		check_lines(context, job, split(context, job, first), runs);
	}
	check_cancels(context);
	check_log(context);
	check_ids(context);
}

} // namespace soak
