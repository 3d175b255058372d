#include <gtest/gtest.h>

#include <jansson.h>

#include "tests/core/fake_platform.h"

extern "C" {
#include "core/job.h"
}

namespace
{
const char kFile[] = "0123456789abcdef01234567";
const char kOtherFile[] = "89abcdef0123456789abcdef";
using F = Fault;
const std::vector<F> kManyRefused(10, F::kRefuse);

/** Answer of a job operation. */
struct Answer {
	int count = 0;
	int status = 0;
	jj_ms_t retry_after = 0;
	jj_ms_t at = 0;
	std::string text;

	std::string
	field(const char *name) const
	{
		json_t *object = json_loads(text.c_str(), 0, nullptr);
		const char *found =
		    json_string_value(json_object_get(object, name));
		std::string copy = found ? found : "";

		json_decref(object);
		return copy;
	}
	json_int_t
	count_of(const char *name) const
	{
		json_t *object = json_loads(text.c_str(), 0, nullptr);
		json_int_t found = json_integer_value(json_object_get(
		    json_object_get(object, "request_counts"), name));

		json_decref(object);
		return found;
	}
};

/** The job operations of one VM; several share a platform. */
struct Vm {
	FakePlatform &platform;
	jj_jobs_t *jobs;
	jj_actions_t actions;
	jj_ms_t now = 0;

	Vm(FakePlatform &shared, uint64_t seed) : platform(shared)
	{
		jj_jobs_settings_t settings = {"", seed, 4, 100, 8000, 2000};
		snprintf(settings.writer, sizeof(settings.writer),
		    "vm-%d/%016x", (int)seed, (int)seed);
		jobs = jj_jobs_create(&settings);
		TAILQ_INIT(&actions);
	}
	~Vm()
	{
		jj_jobs_destroy(jobs);
		jj_actions_clear(&actions);
	}
	/** Runs platform calls and timers until the answer; returns it. */
	Answer
	run()
	{
		Answer answer;

		for (;;) {
			platform.run(&actions,
			    [&](const jj_platform_result_t &result,
				jj_actions_t *out) {
				    jj_jobs_take_result(
					jobs, &result, now, out);
			    });
			if (take(&answer) || jj_jobs_next(jobs) == JJ_MS_NEVER)
				break;
			now = std::max(now, jj_jobs_next(jobs));
			jj_jobs_tick(jobs, now, &actions);
		}
		EXPECT_EQ(answer.count, 1);
		EXPECT_EQ(jj_jobs_next(jobs), JJ_MS_NEVER);
		return answer;
	}
	bool
	take(Answer *answer)
	{
		jj_action_t *action, *next;

		for (action = TAILQ_FIRST(&actions); action; action = next) {
			next = TAILQ_NEXT(action, link);
			if (action->kind != JJ_ACTION_JOB_ANSWER)
				continue;
			answer->count++;
			answer->status = action->body.job.status;
			answer->retry_after = action->body.job.retry_after_ms;
			answer->at = now;
			if (action->body.job.body.size > 0)
				answer->text = action->body.job.body.data;
			TAILQ_REMOVE(&actions, action, link);
			jj_action_free(action);
		}
		return answer->count > 0;
	}
	void
	begin_submit(const std::string &request, const char *key = "k",
	    const char *team = "padana")
	{
		jj_bytes_t body = jj_bytes_from_text(request.c_str());

		jj_jobs_submit(
		    jobs, 77, team, key, &body, 1700000000, now, &actions);
		jj_bytes_free(&body);
	}
	Answer
	submit(const std::string &request, const char *key = "k",
	    const char *team = "padana")
	{
		begin_submit(request, key, team);
		return run();
	}
	Answer
	cancel(const std::string &id)
	{
		jj_jobs_cancel(jobs, 78, id.c_str(), now, &actions);
		return run();
	}
	Answer
	status(const std::string &id)
	{
		jj_jobs_status(jobs, 79, id.c_str(), now, &actions);
		return run();
	}
	Answer
	results(const std::string &id, uint32_t chunk)
	{
		jj_jobs_results(jobs, 80, id.c_str(), chunk, now, &actions);
		return run();
	}
	Answer
	list(const char *after)
	{
		jj_jobs_list(jobs, 81, after, now, &actions);
		return run();
	}
};

std::string
request(const std::string &file = kFile, const std::string &more = "")
{
	return "{\"input_file_id\":\"" + file +
	    "\",\"endpoint\":\"/v1/chat/completions\","
	    "\"completion_window\":\"24h\"" +
	    more + "}";
}

struct Jobs : testing::Test {
	FakePlatform platform;
	Vm vm{platform, 1};
	Vm other{platform, 2};

	Jobs()
	{
		put_file(kFile, "padana", "[500,500,7]");
		put_file(kOtherFile, "padana", "[1]");
	}
	void
	put_file(const std::string &id, const std::string &team,
	    const std::string &parts)
	{
		platform.put("files/" + id + "/file",
		    "{\"parts\":" + parts + ",\"team\":\"" + team + "\"}");
	}
	int
	job_count()
	{
		return job_count(platform);
	}
	static int
	job_count(const FakePlatform &on)
	{
		int count = 0;

		for (const auto &object : on.objects)
			count += object.first.find("jobs/") == 0 &&
			    object.first.find("/job") == 29;
		return count;
	}
	static int
	entry_count(const FakePlatform &on)
	{
		int count = 0;

		for (const auto &object : on.objects)
			count += object.first.find("active/") == 0;
		return count;
	}
	/** Completes the job as a batch worker does; false: not running. */
	bool
	finish(const std::string &id)
	{
		auto &object = platform.objects["jobs/" + id + "/job"];
		jj_bytes_t value = jj_bytes_from_text(object.value.c_str());
		jj_job_t job;

		EXPECT_TRUE(jj_job_decode(&job, &value, object.version));
		jj_bytes_free(&value);
		bool ended = jj_job_finish(&job, 1000, 7);
		value = jj_job_encode(&job, "vm-9/1");
		if (ended) {
			platform.put("jobs/" + id + "/job", value.data);
			platform.objects.erase("active/" + id);
		}
		jj_bytes_free(&value);
		jj_job_clear(&job);
		return ended;
	}
};

/*
 * A VM fails after it acknowledged a job, or the platform is down or loses the
 * answer to the create. Guards against a job that never runs (acknowledged
 * before its object exists), a second job (retried without a check), and a job
 * that runs though "not_run" was answered (without verification).
 */
TEST_F(Jobs, SubmitsThroughFaults)
{
	const struct {
		const char *name;
		std::vector<F> writes, reads;
		F all;
		int status;
		const char *run;
		int jobs;
	} cases[] = {
	    {"no fault", {}, {}, F::kNone, 200, "", 1},
	    {"answer lost", {F::kNone, F::kLoseAnswer}, {}, F::kNone, 200, "",
		1},
	    {"no answer, not done", {F::kNone, F::kNoAnswer}, {}, F::kNone, 200,
		"", 1},
	    {"not done, then lost", {F::kNone, F::kNoAnswer, F::kLoseAnswer},
		{}, F::kNone, 200, "", 1},
	    {"resent by the HTTP client", {F::kNone, F::kConflict}, {},
		F::kNone, 200, "", 1},
	    {"entry's answer lost", {F::kLoseAnswer}, {}, F::kNone, 200, "", 1},
	    {"entry not done, then lost", {F::kNoAnswer, F::kLoseAnswer}, {},
		F::kNone, 200, "", 1},
	    {"entry resent by the HTTP client", {F::kConflict}, {}, F::kNone,
		200, "", 1},
	    {"both answers lost", {F::kLoseAnswer, F::kLoseAnswer}, {},
		F::kNone, 200, "", 1},
	    {"refused, limited", {F::kRefuse, F::kLimit}, {F::kRefuse},
		F::kNone, 200, "", 1},
	    {"outage from the start", {}, {}, F::kRefuse, 503, "not_run", 0},
	    {"hanging from the start", {}, {}, F::kNoAnswer, 503, "not_run", 0},
	    {"writes refused", kManyRefused, {}, F::kNone, 503, "not_run", 0},
	    {"lost, then an outage", {F::kNone, F::kLoseAnswer},
		{F::kNone, F::kNone, F::kRefuse, F::kRefuse, F::kRefuse},
		F::kNone, 503, "unknown", 1},
	    {"not done, then an outage",
		{F::kNone, F::kNoAnswer, F::kRefuse, F::kRefuse, F::kRefuse},
		{}, F::kNone, 503, "unknown", 0},
	    {"entry lost, then an outage", {F::kLoseAnswer},
		{F::kNone, F::kNone, F::kRefuse, F::kRefuse, F::kRefuse},
		F::kNone, 503, "not_run", 0},
	};
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		FakePlatform fresh = platform;
		Vm one(fresh, 3);
		fresh.next_writes = c.writes;
		fresh.next_reads = c.reads;
		fresh.fault = c.all;
		Answer answer = one.submit(request());
		EXPECT_EQ(answer.status, c.status) << answer.text;
		EXPECT_EQ(answer.field("run"), c.run);
		EXPECT_EQ(job_count(fresh), c.jobs);
		EXPECT_LE(job_count(fresh), entry_count(fresh))
		    << "a job without an index entry, which no worker finds";
		if (c.status == 503) {
			EXPECT_EQ(answer.field("code"), "platform_unavailable");
			EXPECT_EQ(answer.retry_after, 2000);
			EXPECT_LE(answer.at, 700) << "503 was delayed";
			/* A resend, as advised, gives the one job. */
			fresh.next_writes.clear();
			fresh.next_reads.clear();
			fresh.fault = F::kNone;
			Vm second(fresh, 4);
			EXPECT_EQ(second.submit(request()).status, 200);
			EXPECT_EQ(job_count(fresh), 1);
			EXPECT_EQ(entry_count(fresh), 1);
		}
	}
}

/* As above: the acknowledging VM fails as soon as it has answered. */
TEST_F(Jobs, AnswersOnlyWhatIsDurable)
{
	vm.begin_submit(request());
	/* Read the file, read the job, create the entry, create the job. */
	for (int calls = 0; calls < 4; calls++) {
		Answer early;
		EXPECT_FALSE(vm.take(&early));
		jj_action_t *action = FakePlatform::find_call(&vm.actions);
		ASSERT_NE(action, nullptr);
		TAILQ_REMOVE(&vm.actions, action, link);
		EXPECT_EQ(job_count(), 0);
		EXPECT_EQ(entry_count(platform), calls == 3 ? 1 : 0);
		jj_platform_result_t result =
		    platform.execute(action->body.platform);
		jj_action_free(action);
		jj_jobs_take_result(vm.jobs, &result, 0, &vm.actions);
		jj_platform_result_clear(&result);
	}
	Answer answer = vm.run();
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(job_count(), 1);
}

/*
 * A client resends a submission: to another VM, after the job's end, or with
 * other content. Guards against two jobs that each book the same pallets (ids
 * not derived from the key), and against another job being returned for the
 * key (content not compared).
 */
TEST_F(Jobs, KnowsAResend)
{
	const struct {
		const char *name;
		std::string text;
		const char *key, *team;
		bool ended;
		int status;
		int jobs;
	} cases[] = {
	    {"same", request(), "k", "padana", false, 200, 1},
	    {"same, after the end", request(), "k", "padana", true, 200, 1},
	    {"other order of fields",
		"{\"endpoint\":\"/v1/chat/completions\", "
		"\"completion_window\":\"24h\", \"input_file_id\":\"" +
		    std::string(kFile) + "\"}",
		"k", "padana", false, 200, 1},
	    {"file uploaded again", request(kOtherFile), "k", "padana", false,
		409, 1},
	    {"other metadata", request(kFile, ",\"metadata\":{\"a\":1}"), "k",
		"padana", false, 409, 1},
	    {"other key", request(), "k2", "padana", false, 200, 2},
	    {"no key", request(), nullptr, "padana", false, 200, 2},
	    {"another team's file", request(), "k", "coimbra", false, 404, 1},
	};
	const FakePlatform start = platform;
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		platform = start;
		Answer first = vm.submit(request());
		ASSERT_EQ(first.status, 200);
		if (c.ended) {
			ASSERT_TRUE(finish(first.field("id")));
		}
		Answer second = other.submit(c.text, c.key, c.team);
		EXPECT_EQ(second.status, c.status) << second.text;
		EXPECT_EQ(job_count(), c.jobs);
		EXPECT_EQ(second.field("id") == first.field("id"),
		    c.status == 200 && c.jobs == 1);
		if (c.ended) {
			EXPECT_EQ(second.field("status"), "completed");
		}
		if (c.status == 409) {
			EXPECT_NE(second.field("detail").find("input_file_id"),
			    std::string::npos);
		}
	}
}

/*
 * Two VMs receive the same submission at the same time and would create two
 * jobs. The second VM's create is applied just before that of the first.
 */
TEST_F(Jobs, SubmittedTwiceAtOnceIsOneJob)
{
	for (const char *key : {"k", "k2"}) {
		Answer second;
		std::string text = key[1] ? request(kOtherFile) : request();
		bool nested = false;
		platform.before = [&](const jj_platform_call_t &call) {
			if (call.op != JJ_PLATFORM_CREATE || nested)
				return;
			nested = true;
			second = other.submit(text, key);
		};
		Answer first = vm.submit(request(), key);
		EXPECT_EQ(second.status, 200);
		EXPECT_EQ(first.status, key[1] ? 409 : 200);
		if (!key[1]) {
			EXPECT_EQ(first.text, second.text);
		}
	}
	EXPECT_EQ(job_count(), 2) << "not one job for each key";
}

/* Without a key, a job whose answer was lost is found by its operation id. */
TEST_F(Jobs, WithoutAKeyKnowsItsOwnWrite)
{
	platform.next_writes = {F::kNone, F::kLoseAnswer};
	EXPECT_EQ(vm.submit(request(), nullptr).status, 200);
	EXPECT_EQ(job_count(), 1);
	platform.next_writes = {F::kLoseAnswer, F::kNone};
	EXPECT_EQ(vm.submit(request(), nullptr).status, 200);
	EXPECT_EQ(job_count(), 2);
}

/*
 * Each worker reads all jobs in the index. A client may resend a submission
 * for days; a resend of an ended job must not add it to the index again, where
 * all workers would read it each time. Also checks the number of platform
 * calls of a submission.
 */
TEST_F(Jobs, EntersOnlyActiveJobsIntoTheIndex)
{
	const struct {
		const char *name, *key;
		bool resend, ended, cancelled;
		int writes, reads, entries;
	} cases[] = {
	    {"new", "k", false, false, false, 2, 2, 1},
	    {"new, no key", nullptr, false, false, false, 2, 1, 1},
	    {"resend while it runs", "k", true, false, false, 2, 3, 1},
	    {"resend after the end", "k", true, true, false, 0, 2, 0},
	    {"resend, cancelled, not counted", "k", true, false, true, 2, 3, 1},
	};
	const FakePlatform start = platform;
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		platform = start;
		if (c.resend) {
			std::string id = vm.submit(request()).field("id");
			if (c.ended) {
				EXPECT_TRUE(finish(id));
			}
			if (c.cancelled) {
				EXPECT_EQ(vm.cancel(id).status, 200);
			}
		}
		platform.writes = platform.reads = 0;
		EXPECT_EQ(other.submit(request(), c.key).status, 200);
		EXPECT_EQ(platform.writes, c.writes);
		EXPECT_EQ(platform.reads, c.reads);
		EXPECT_EQ(entry_count(platform), c.entries);
	}
}

/*
 * An acknowledged job never runs. Its submission found the entry of an earlier
 * one whose VM had failed, and a worker deleted that entry as an orphan while
 * the job was created. So the submission must update the entry first.
 */
TEST_F(Jobs, AnOldEntryIsWrittenAnewBeforeTheJob)
{
	std::string id = vm.submit(request()).field("id");
	std::string entry = "active/" + id;

	for (bool deleted_first : {false, true}) {
		SCOPED_TRACE(deleted_first);
		platform.objects.erase("jobs/" + id + "/job");
		uint64_t seen = platform.objects[entry].version;
		bool done = false;
		platform.before = [&](const jj_platform_call_t &call) {
			bool update = call.op == JJ_PLATFORM_UPDATE;
			bool job =
			    call.op == JJ_PLATFORM_CREATE && call.key != entry;
			if (done || !(deleted_first ? update : job))
				return;
			done = true;
			/* The worker deletes only the version it has seen. */
			if (platform.objects[entry].version == seen)
				platform.objects.erase(entry);
		};
		EXPECT_EQ(other.submit(request()).status, 200);
		EXPECT_TRUE(done);
		EXPECT_TRUE(platform.has(entry));
		EXPECT_EQ(job_count(), 1);
		platform.before = nullptr;
	}
}

/*
 * As above: after writing the entry a VM is paused for longer than an entry
 * without a job is kept. When it resumes, it must not create a job that the
 * workers can't find. If the job exists without an entry, a resend must create
 * the entry.
 */
TEST_F(Jobs, FrozenBetweenEntryAndJobCreatesNothing)
{
	platform.before = [&](const jj_platform_call_t &call) {
		if (std::string(call.key).find("active/") == 0)
			vm.now = 700000;
	};
	vm.begin_submit(request());
	Answer answer = vm.run();
	EXPECT_EQ(answer.status, 503);
	EXPECT_EQ(answer.field("run"), "not_run");
	EXPECT_EQ(job_count(), 0);
	platform.before = nullptr;
	std::string id = other.submit(request()).field("id");
	platform.objects.erase("active/" + id);
	EXPECT_EQ(vm.submit(request()).field("id"), id);
	EXPECT_EQ(entry_count(platform), 1);
}

/*
 * The platform never answers a call. Guards against a caller that waits
 * forever, and against "not_run" while the create may still be applied. A late
 * answer must not reach the next operation.
 */
TEST_F(Jobs, GivesUpAtTheDeadline)
{
	for (int calls = 0; calls < 4; calls++) {
		SCOPED_TRACE(calls);
		FakePlatform fresh = platform;
		Vm one(fresh, 10 + calls);
		Answer answer;
		one.begin_submit(request());
		jj_action_t *action = FakePlatform::find_call(&one.actions);
		for (int at = 0; at < calls; at++) {
			TAILQ_REMOVE(&one.actions, action, link);
			jj_platform_result_t result =
			    fresh.execute(action->body.platform);
			jj_action_free(action);
			jj_jobs_take_result(one.jobs, &result, 0, &one.actions);
			jj_platform_result_clear(&result);
			action = FakePlatform::find_call(&one.actions);
		}
		jj_platform_result_t late =
		    fresh.execute(action->body.platform);
		jj_actions_clear(&one.actions);
		EXPECT_EQ(jj_jobs_next(one.jobs), 8000);
		jj_jobs_tick(one.jobs, 7999, &one.actions);
		EXPECT_FALSE(one.take(&answer));
		jj_jobs_tick(one.jobs, 8000, &one.actions);
		ASSERT_TRUE(one.take(&answer));
		EXPECT_EQ(answer.status, 503);
		EXPECT_EQ(
		    answer.field("run"), calls == 3 ? "unknown" : "not_run");
		jj_jobs_status(one.jobs, 79, kFile, 8000, &one.actions);
		jj_jobs_take_result(one.jobs, &late, 8000, &one.actions);
		Answer wrong;
		EXPECT_FALSE(one.take(&wrong)) << wrong.text;
		jj_platform_result_clear(&late);
	}
}

TEST_F(Jobs, WaitsAsThePlatformAsksOrGivesUpAtOnce)
{
	platform.fault = F::kLimit;
	platform.retry_after_ms = 3000;
	Answer answer = vm.submit(request());
	EXPECT_EQ(answer.status, 503);
	EXPECT_EQ(answer.retry_after, 3000);
	EXPECT_EQ(answer.at, 6000)
	    << "not ended when the next try would be after the deadline";
}

TEST_F(Jobs, RefusesAMalformedSubmission)
{
	put_file("00000000000000000000000a", "padana", "[]");
	const struct {
		const char *name;
		std::string text;
		std::string key;
		int status;
	} cases[] = {
	    {"not JSON", "{", "k", 422},
	    {"empty", "", "k", 422},
	    {"no file", "{\"endpoint\":\"/v1/x\"}", "k", 422},
	    {"id with a path", request("../jobs/x"), "k", 422},
	    {"no endpoint", R"({"input_file_id":"0123456789abcdef01234567"})",
		"k", 422},
	    {"unknown file", request("00000000000000000000000b"), "k", 404},
	    {"file without parts", request("00000000000000000000000a"), "k",
		404},
	    {"text metadata", request(kFile, ",\"metadata\":\"x\""), "k", 422},
	    {"empty key", request(), "", 422},
	    {"bytes in the key", request(), "\xff\xfe", 422},
	    {"long key", request(), std::string(256, 'k'), 422},
	};
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Answer answer = vm.submit(c.text, c.key.c_str());
		EXPECT_EQ(answer.status, c.status) << answer.text;
		EXPECT_EQ(answer.field("run"), "not_run");
	}
	EXPECT_EQ(job_count(), 0);
}

TEST_F(Jobs, ReadsTheCompletionWindow)
{
	const struct {
		const char *window;
		jj_ms_t due; /* 0: refused */
	} cases[] = {{"90s", 90000}, {"15m", 900000}, {"24h", 86400000},
	    {"30d", 2592000000}, {"31d", 0}, {"0s", 0}, {"-1h", 0}, {"h", 0},
	    {"24", 0}, {"24 h", 0}, {"99999999999999999999h", 0}};
	for (const auto &c : cases) {
		SCOPED_TRACE(c.window);
		Answer answer =
		    vm.submit("{\"input_file_id\":\"" + std::string(kFile) +
			    "\",\"endpoint\":\"/x\",\"completion_window\":\"" +
			    c.window + "\"}",
			c.window[0] == '-' ? "minus" : nullptr);
		ASSERT_EQ(answer.status, c.due ? 200 : 422);
		if (!c.due)
			continue;
		auto &object =
		    platform.objects["jobs/" + answer.field("id") + "/job"];
		jj_bytes_t value = jj_bytes_from_text(object.value.c_str());
		jj_job_t job;
		ASSERT_TRUE(jj_job_decode(&job, &value, 1));
		EXPECT_EQ(job.due_after_ms, c.due);
		jj_job_clear(&job);
		jj_bytes_free(&value);
	}
}

/*
 * A cancel races with a completion, another cancel, a lost answer or an
 * outage. Guards against a job that still runs after "cancelled", and a
 * completed job that is shown as cancelled, both caused by an unconditional
 * write.
 */
TEST_F(Jobs, CancelsByCompareAndSwap)
{
	enum Race {
		kNoRace,
		kFinish,
		kCancel
	};
	const struct {
		const char *name;
		Race first, during;
		std::vector<F> writes;
		std::vector<F> reads;
		int status;
		const char *state, *run, *kept;
		int writes_made;
	} cases[] = {
	    {"running", kNoRace, kNoRace, {}, {}, 200, "cancelled", "",
		"cancelled", 1},
	    {"again", kCancel, kNoRace, {}, {}, 200, "cancelled", "",
		"cancelled", 0},
	    {"completed", kFinish, kNoRace, {}, {}, 200, "completed", "",
		"completed", 0},
	    {"completes just before", kNoRace, kFinish, {}, {}, 200,
		"completed", "", "completed", 1},
	    {"two at once", kNoRace, kCancel, {}, {}, 200, "cancelled", "",
		"cancelled", 2},
	    {"answer lost", kNoRace, kNoRace, {F::kLoseAnswer}, {}, 200,
		"cancelled", "", "cancelled", 1},
	    {"no answer, not done", kNoRace, kNoRace, {F::kNoAnswer}, {}, 200,
		"cancelled", "", "cancelled", 2},
	    {"outage", kNoRace, kNoRace, {}, kManyRefused, 503, "", "not_run",
		"running", 0},
	    {"writes refused", kNoRace, kNoRace, kManyRefused, {}, 503, "",
		"not_run", "running", 4},
	    {"lost, then an outage", kNoRace, kNoRace, {F::kLoseAnswer},
		{F::kNone, F::kRefuse, F::kRefuse, F::kRefuse}, 503, "",
		"unknown", "cancelled", 1},
	};
	const FakePlatform start = platform;
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		platform = start;
		std::string id = vm.submit(request()).field("id");
		auto race = [&](Race which) {
			if (which == kFinish) {
				EXPECT_TRUE(finish(id));
			}
			if (which == kCancel) {
				EXPECT_EQ(other.cancel(id).status, 200);
			}
		};
		race(c.first);
		platform.writes = 0;
		platform.next_writes = c.writes;
		platform.next_reads = c.reads;
		bool raced = false;
		platform.before = [&](const jj_platform_call_t &call) {
			if (call.op != JJ_PLATFORM_UPDATE || raced)
				return;
			raced = true;
			race(c.during);
		};
		vm.now = 0;
		Answer answer = vm.cancel(id);
		EXPECT_EQ(answer.status, c.status) << answer.text;
		if (c.status == 200) {
			EXPECT_EQ(answer.field("status"), c.state);
		}
		EXPECT_EQ(answer.field("run"), c.run);
		EXPECT_NE(platform.objects["jobs/" + id + "/job"].value.find(
			      std::string("\"state\":\"") + c.kept),
		    std::string::npos);
		EXPECT_EQ(platform.writes, c.writes_made);
	}
}

/* A completion after the cancel doesn't undo it. */
TEST_F(Jobs, ACancelledJobStaysCancelled)
{
	std::string id = vm.submit(request()).field("id");

	EXPECT_EQ(vm.cancel(id).field("status"), "cancelled");
	EXPECT_FALSE(finish(id));
	EXPECT_EQ(other.status(id).field("status"), "cancelled");
	EXPECT_EQ(vm.cancel(kFile).status, 404);
}

/*
 * A caller requests a job with a slash in its id. Without a check this would
 * read or change another object that has the format of a job's.
 */
TEST_F(Jobs, AnIdIsNoPath)
{
	const std::string id = "0123456789ab/123456789ab";
	std::string real = vm.submit(request()).field("id");
	std::string value = platform.objects["jobs/" + real + "/job"].value;

	platform.put("jobs/" + id + "/job", value);
	platform.put("jobs/" + id + "/out/000000", "{\"results\":[]}");
	EXPECT_EQ(vm.cancel(id).status, 404);
	EXPECT_EQ(vm.status(id).status, 404);
	EXPECT_EQ(vm.results(id, 0).status, 404);
	EXPECT_EQ(vm.list(id.c_str()).status, 404);
	EXPECT_EQ(platform.objects["jobs/" + id + "/job"].value, value);
}

/* A key that always conflicts must not use up the platform's rate limit. */
TEST_F(Jobs, GivesUpOnEndlessConflicts)
{
	std::string id = vm.submit(request()).field("id");

	platform.writes = 0;
	platform.before = [&](const jj_platform_call_t &call) {
		if (call.op == JJ_PLATFORM_UPDATE && platform.writes < 100)
			platform.objects[call.key].version =
			    ++platform.revision;
	};
	Answer answer = vm.cancel(id);
	EXPECT_EQ(answer.status, 503);
	EXPECT_EQ(answer.field("run"), "not_run");
	EXPECT_EQ(platform.writes, 8);
}

TEST_F(Jobs, TellsTheStatusFromAnyVm)
{
	std::string many = "[1";
	for (int at = 1; at < 1001; at++)
		many += ",1";
	put_file("0000000000000000000000ff", "padana", many + "]");
	const struct {
		const char *name;
		const char *file;
		std::vector<int> chunks;
		const char *state;
		json_int_t total, completed, failed;
	} cases[] = {
	    {"none yet", kFile, {}, "in_progress", 1007, 0, 0},
	    {"last chunk", kFile, {2}, "in_progress", 1007, 7, 0},
	    {"two chunks", kFile, {0, 2}, "in_progress", 1007, 507, 0},
	    {"cancelled", kFile, {0}, "cancelled", 1007, 500, 0},
	    {"completed", kFile, {0, 1, 2}, "completed", 1007, 1000, 7},
	    {"not one of its chunks", kFile, {9}, "in_progress", 1007, 0, 0},
	    {"more than one list", "0000000000000000000000ff",
		std::vector<int>(1, -1), "in_progress", 1001, 1001, 0},
	};
	const FakePlatform start = platform;
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		platform = start;
		std::string id = vm.submit(request(c.file)).field("id");
		for (int at = 0; at < (c.total == 1001 ? 1001 : 0); at++) {
			char key[64];
			snprintf(key, sizeof(key), "jobs/%s/out/%06d",
			    id.c_str(), at);
			platform.put(key, "{}");
		}
		for (int chunk : c.chunks) {
			if (chunk >= 0)
				platform.put("jobs/" + id + "/out/00000" +
					std::to_string(chunk),
				    "{}");
		}
		if (c.state == std::string("cancelled"))
			vm.cancel(id);
		if (c.state == std::string("completed"))
			finish(id);
		Answer answer = other.status(id);
		EXPECT_EQ(answer.status, 200);
		EXPECT_EQ(answer.field("status"), c.state);
		EXPECT_EQ(answer.field("input_file_id"), c.file);
		EXPECT_EQ(answer.count_of("total"), c.total);
		EXPECT_EQ(answer.count_of("completed"), c.completed);
		EXPECT_EQ(answer.count_of("failed"), c.failed);
	}
	EXPECT_EQ(vm.status(kFile).status, 404);
	platform.put(std::string("jobs/") + kFile + "/job", "{\"id\":");
	EXPECT_EQ(vm.status(kFile).status, 500);
}

/*
 * Reads results while the job runs, after a cancel, from a VM that doesn't
 * know the job, and while the platform is slow or down.
 */
TEST_F(Jobs, ReadsResultsFromAnyVm)
{
	std::string id = vm.submit(request()).field("id");
	platform.put("jobs/" + id + "/out/000001",
	    R"({"results":[{"custom_id":"a","response":{"status_code":200,)"
	    R"("request_id":"r","body":{"x":"é"}},"error":null},)"
	    R"({"custom_id":"b","response":null,)"
	    R"("error":{"code":"refused","message":"m","run":"run"}}]})");
	platform.put("jobs/" + id + "/out/000002", "{\"results\":");
	vm.cancel(id);
	const std::string lines = "{\"id\":\"" + id +
	    "-1-0\",\"custom_id\":\"a\",\"response\":{\"status_code\":200,"
	    "\"request_id\":\"r\",\"body\":{\"x\":\"é\"}},\"error\":null}\n"
	    "{\"id\":\"" +
	    id +
	    "-1-1\",\"custom_id\":\"b\",\"response\":null,\"error\":{"
	    "\"code\":\"refused\",\"message\":\"m\",\"run\":\"run\"}}\n";
	const struct {
		const char *name;
		std::string id;
		uint32_t chunk;
		std::vector<F> reads;
		int status;
	} cases[] = {
	    {"done", id, 1, {}, 200},
	    {"slow platform", id, 1, {F::kNoAnswer, F::kLimit, F::kRefuse},
		200},
	    {"outage", id, 1, kManyRefused, 503},
	    {"not yet", id, 0, {}, 204},
	    {"malformed", id, 2, {}, 500},
	    {"past the last", id, 3, {}, 410},
	    {"unknown job", kFile, 0, {}, 404},
	    {"not an id", "../x", 0, {}, 404},
	};
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		platform.next_reads = c.reads;
		Answer answer = other.results(c.id, c.chunk);
		EXPECT_EQ(answer.status, c.status) << answer.text;
		if (c.status == 200) {
			EXPECT_EQ(answer.text, lines);
		}
		if (c.status == 503) {
			EXPECT_EQ(answer.field("run"), "not_run");
		}
		platform.next_reads.clear();
	}
}

TEST_F(Jobs, ListsByPages)
{
	const int wanted[] = {20, 20, 5};
	std::map<std::string, int> seen;
	std::string after;

	EXPECT_EQ(vm.list(nullptr).text,
	    "{\"object\":\"list\",\"data\":[],\"has_more\":false}");
	for (int at = 0; at < 45; at++) {
		std::string key = "k" + std::to_string(at);
		std::string id = vm.submit(request(), key.c_str()).field("id");
		platform.put("jobs/" + id + "/chunk/000000", "{}");
		platform.put("jobs/" + id + "/out/000000", "{}");
	}
	for (int want : wanted) {
		Answer answer =
		    vm.list(after.empty() ? nullptr : after.c_str());
		json_t *list = json_loads(answer.text.c_str(), 0, nullptr);
		json_t *data = json_object_get(list, "data");
		ASSERT_EQ((int)json_array_size(data), want);
		EXPECT_EQ(json_is_true(json_object_get(list, "has_more")),
		    want == 20);
		for (int at = 0; at < want; at++) {
			after = json_string_value(
			    json_object_get(json_array_get(data, at), "id"));
			seen[after]++;
		}
		json_decref(list);
	}
	EXPECT_EQ(seen.size(), 45u);
}

TEST_F(Jobs, DecodesOnlyWholeObjects)
{
	std::string id =
	    vm.submit(request(kFile, ",\"metadata\":{\"month\":\"May\"}"))
		.field("id");
	std::string text = platform.objects["jobs/" + id + "/job"].value;
	jj_job_t job;

	for (size_t size = 0; size < text.size(); size++) {
		jj_bytes_t cut = jj_bytes_copy(text.data(), size);
		EXPECT_FALSE(jj_job_decode(&job, &cut, 1)) << size;
		jj_bytes_free(&cut);
	}
	const char *swaps[][2] = {{"[500,500,7]", "[500,500,8]"},
	    {"[500,500,7]", "[]"}, {"[500,500,7]", "[500,507,0]"},
	    {"running", "walking"}, {"\"items\":1007", "\"items\":-1"},
	    {id.c_str(), "0123456789abcdef012345678"}};
	for (const auto &swap : swaps) {
		std::string bad = text;
		bad.replace(bad.find(swap[0]), strlen(swap[0]), swap[1]);
		jj_bytes_t value = jj_bytes_from_text(bad.c_str());
		EXPECT_FALSE(jj_job_decode(&job, &value, 1)) << bad;
		jj_bytes_free(&value);
	}
	jj_bytes_t value = jj_bytes_from_text(text.c_str());
	ASSERT_TRUE(jj_job_decode(&job, &value, 9));
	EXPECT_EQ(job.version, 9u);
	jj_bytes_t again = jj_job_encode(&job, "vm-1/0000000000000001");
	EXPECT_EQ(std::string(again.data), text)
	    << "decoded and encoded object differs";
	jj_bytes_free(&again);
	jj_bytes_free(&value);
	jj_job_clear(&job);
}
} // namespace
