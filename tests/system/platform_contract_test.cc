/**
 * @file platform_contract_test.cc
 * @brief Contract tests of docs/interfaces/PLATFORM.md as tables of requests,
 * run against the stand-in in $JUJUBE_BIN.
 */
#include <gtest/gtest.h>

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>
#include <jansson.h>

#include "tests/system/harness.h"

using harness::LIMIT_MS;
using harness::reply_t;
using harness::strings_t;
using harness::wait_until;

namespace
{

/* Result codes in addition to the HTTP statuses. */
const long CLOSED = 0; /* connection closed without an answer */
const long TIMED_OUT = -1; /* the client's time limit expired */

struct Call {
	const char *method;
	std::string url;
	std::string body;
	std::string header;
	const char *client = "tester";
	long limit_ms = LIMIT_MS;
};

/* Opens a connection for each call: on a reused one libcurl resends a request
 * by itself when the answer is lost, which would hide the fault. */
reply_t
Send(const Call &call)
{
	strings_t headers = {std::string("Jujube-Client: ") + call.client};
	reply_t reply;

	if (!call.header.empty())
		headers.push_back(call.header);
	reply = harness::call(
	    call.method, call.url, call.body, headers, call.limit_ms);
	if (reply.code == CURLE_OPERATION_TIMEDOUT)
		reply.status = TIMED_OUT;
	else if (reply.code != CURLE_OK)
		reply.status = CLOSED;
	return reply;
}

/* The stand-in process; each test starts a new one. */
class Platform
{
      public:
	explicit Platform(const strings_t &options)
	    : process_("standin-platform", options, folder_ + "/log")
	{
		char api[64] = "";
		char control[64] = "";

		process_.start();
		wait_until("the stand-in prints a line", [this] {
			return !process_.is_alive() ||
			    process_.log_text().find('\n') != std::string::npos;
		});
		EXPECT_EQ(2,
		    sscanf(process_.log_text().c_str(),
			"event=listening address=%63s control=%63s", api,
			control))
		    << process_.log_text();
		api_ = std::string("http://") + api;
		control_ = std::string("http://") + control;
	}

	~Platform()
	{
		EXPECT_EQ(0, Stop());
		if (testing::Test::HasFailure())
			fputs(process_.log_text().c_str(), stderr);
		unlink((folder_ + "/log").c_str());
		rmdir(folder_.c_str());
	}

	/* Terminates the stand-in and returns its exit status, which is
	 * nonzero after a sanitizer finding. A process that does not exit in
	 * time is killed and fails the test. */
	int
	Stop()
	{
		int status;

		process_.terminate();
		status = process_.wait_exit();
		process_.kill();
		return status;
	}

	std::string
	Url(const std::string &path) const
	{
		bool control = path.compare(0, 9, "/control/") == 0;

		return (control ? control_ : api_) + path;
	}

	reply_t
	Request(const char *method, const std::string &path,
	    const std::string &body = "", const std::string &header = "",
	    const char *client = "tester") const
	{
		return Send({method, Url(path), body, header, client});
	}

	void
	Fault(const char *json) const
	{
		EXPECT_EQ(204, Request("POST", "/control/fault", json).status);
	}

	/* Waits until the stand-in's request counts contain this text. */
	void
	WaitForCount(const std::string &expected) const
	{
		wait_until(expected, [&] {
			return Request("GET", "/control/counts")
				   .body.find(expected) != std::string::npos;
		});
	}

      private:
	char name_[32] = "/tmp/jujube-test-XXXXXX";
	std::string folder_ = mkdtemp(name_);
	harness::process_t process_;
	std::string api_;
	std::string control_;
};

struct Step {
	const char *method;
	std::string path;
	std::string body;
	std::string header;
	long status;
	std::string contains; /* in the headers or the body */
	const char *client = "tester";
	long limit_ms = LIMIT_MS;
};

struct Case {
	const char *name;
	std::vector<std::string> options;
	std::vector<Step> steps;
};

#define OBJ "/v1/objects/"
#define FAULT "POST", "/control/fault"
#define IF_NEW "If-None-Match: *"
#define IF_1 "If-Match: \"1\""
#define IF_2 "If-Match: \"2\""
#define VM(STATE)                                                            \
	"{\"vms\":[{\"id\":\"v\",\"kind\":\"server\",\"domain\":\"sala-a\"," \
	"\"address\":\"127.0.0.1:9\",\"service\":\"s\",\"state\":\"" STATE   \
	"\"}]}"

const std::vector<Case> cases = {
    {"create_only_when_absent", {},
	{{"PUT", OBJ "a/1", "x", IF_NEW, 201, "ETag: \"1\""},
	    {"PUT", OBJ "a/1", "y", IF_NEW, 412, "ETag: \"1\""},
	    {"GET", OBJ "a/1", "", "", 200, "x"},
	    {"GET", OBJ "a/2", "", "", 404, ""}}},
    {"update_only_the_named_version", {},
	{{"PUT", OBJ "a", "x", IF_1, 404, ""},
	    {"PUT", OBJ "a", "x", "", 201, "ETag: \"1\""},
	    {"PUT", OBJ "a", "y", IF_1, 200, "ETag: \"2\""},
	    {"PUT", OBJ "a", "z", IF_1, 412, "ETag: \"2\""},
	    {"PUT", OBJ "a", "w", "", 200, "ETag: \"3\""},
	    {"GET", OBJ "a", "", "", 200, "ETag: \"3\""},
	    {"GET", "/control/counts", "", "", 200, "\"conflicts\":1"}}},
    {"delete_only_the_named_version", {},
	{{"PUT", OBJ "a", "x", "", 201, ""},
	    {"DELETE", OBJ "a", "", IF_2, 412, "ETag: \"1\""},
	    {"DELETE", OBJ "a", "", IF_1, 204, ""},
	    {"DELETE", OBJ "a", "", "", 404, ""},
	    {"PUT", OBJ "a", "x", IF_NEW, 201, "ETag: \"3\""},
	    {"GET", "/control/log?prefix=a", "", "", 200,
		"{\"revision\":2,\"key\":\"a\",\"client\":\"tester\","
		"\"op\":\"delete\",\"value\":\"\"}"}}},
    {"limits_and_malformed_requests", {},
	{{"PUT", OBJ "a", std::string(1048576, 'v'), "", 201, ""},
	    {"PUT", OBJ "a", std::string(1048577, 'v'), "", 413, ""},
	    {"PUT", OBJ + std::string(512, 'k'), "x", "", 201, ""},
	    {"PUT", OBJ + std::string(513, 'k'), "x", "", 400, ""},
	    {"PUT", OBJ "a%20b", "x", "", 400, ""},
	    {"PUT", OBJ "a", "x", "If-Match: 1", 400, ""},
	    {"PUT", OBJ "a", "x", "If-None-Match: \"1\"", 400, ""},
	    {"GET", "/v1/list?limit=1001", "", "", 400, ""},
	    {"GET", "/v1/watch?since=0&wait=60001", "", "", 400, ""},
	    {"GET", "/v1/none", "", "", 404, ""},
	    {FAULT, "{\"outage\":\"slow\"}", "", 400, "outage"},
	    {FAULT, "{\"delay\":1}", "", 400, "delay"}}},
    {"list_in_key_order_by_pages", {},
	{{"PUT", OBJ "j/b", "2", "", 201, ""},
	    {"PUT", OBJ "j/a", "1", "", 201, ""},
	    {"PUT", OBJ "k/a", "3", "", 201, ""},
	    {"GET", "/v1/list?prefix=j/", "", "", 200,
		"{\"revision\":3,\"more\":false,\"items\":["
		"{\"key\":\"j/a\",\"version\":2},"
		"{\"key\":\"j/b\",\"version\":1}]}"},
	    {"GET", "/v1/list?prefix=j/&limit=1", "", "", 200,
		"\"more\":true,\"items\":[{\"key\":\"j/a\",\"version\":2}]"},
	    {"GET", "/v1/list?prefix=j/&after=j/a&values=1", "", "", 200,
		"\"more\":false,\"items\":[{\"key\":\"j/b\",\"version\":1,"
		"\"value\":\"Mg==\"}]"}}},
    {"watch_tells_what_came_since", {},
	{{"PUT", OBJ "c/1", "x", "", 201, ""},
	    {"PUT", OBJ "d/1", "x", "", 201, ""},
	    {"DELETE", OBJ "c/1", "", "", 204, ""},
	    {"GET", "/v1/watch?prefix=c/&since=0&wait=9999", "", "", 200,
		"{\"revision\":3,\"events\":["
		"{\"key\":\"c/1\",\"version\":1,\"deleted\":false},"
		"{\"key\":\"c/1\",\"version\":3,\"deleted\":true}]}"},
	    {"GET", "/v1/watch?prefix=d/&since=2&wait=1", "", "", 200,
		"{\"revision\":3,\"events\":[]}"},
	    {"GET", "/v1/watch?since=9&wait=9999", "", "", 410,
		"{\"revision\":3}"}}},
    {"watch_history_is_bounded", {"--watch-history", "2"},
	{{"PUT", OBJ "c", "1", "", 201, ""}, {"PUT", OBJ "c", "2", "", 200, ""},
	    {"PUT", OBJ "c", "3", "", 200, ""},
	    {"GET", "/v1/watch?since=0&wait=9999", "", "", 410,
		"{\"revision\":3}"},
	    {"GET", "/v1/watch?since=1&wait=9999", "", "", 200,
		"\"version\":2"}}},
    {"watch_gap_and_lost_events", {},
	{{"PUT", OBJ "c", "1", "", 201, ""},
	    {FAULT, "{\"watch_gap\":true,\"watch_drop\":1}", "", 204, ""},
	    {"GET", "/v1/watch?since=0&wait=9999", "", "", 410, ""},
	    {"PUT", OBJ "c", "2", "", 200, ""},
	    {"GET", "/v1/watch?since=1&wait=1", "", "", 200,
		"{\"revision\":2,\"events\":[]}"},
	    {"PUT", OBJ "c", "3", "", 200, ""},
	    {"GET", "/v1/watch?since=1&wait=9999", "", "", 200,
		"\"events\":[{\"key\":\"c\",\"version\":3,"}}},
    {"lost_answer_takes_effect", {},
	{{FAULT, "{\"lose_answers\":1,\"lose_answers_prefix\":\"j/\"}", "", 204,
	     ""},
	    {"PUT", OBJ "k/a", "x", IF_NEW, 201, ""},
	    {"PUT", OBJ "j/a", "x", IF_NEW, CLOSED, ""},
	    {"PUT", OBJ "j/a", "y", IF_NEW, 412, "ETag: \"2\""},
	    {"GET", OBJ "j/a", "", "", 200, "x"}}},
    {"cut_concerns_the_named_client", {},
	{{FAULT, "{\"cut\":[\"vm-1\"]}", "", 204, ""},
	    {"PUT", OBJ "a", "x", "", CLOSED, "", "vm-1"},
	    {"GET", OBJ "a", "", "", 404, "", "vm-2"},
	    {FAULT, "{\"cut\":[]}", "", 204, ""},
	    {"PUT", OBJ "a", "x", "", 201, "", "vm-1"}}},
    {"outage_refuses_or_hangs_without_effect", {},
	{{FAULT, "{\"outage\":\"refuse\"}", "", 204, ""},
	    {"PUT", OBJ "a", "x", "", 503, ""},
	    {"GET", "/v1/vms", "", "", 503, ""},
	    {FAULT, "{\"outage\":\"hang\"}", "", 204, ""},
	    {"PUT", OBJ "a", "x", "", TIMED_OUT, "", "tester", 100},
	    {FAULT, "{\"outage\":\"none\"}", "", 204, ""},
	    {"GET", OBJ "a", "", "", 404, ""},
	    {"GET", "/control/counts", "", "", 200, "\"put\":2"}}},
    {"write_rate", {"--write-rate", "0.001"},
	{{"PUT", OBJ "a", "x", "", 201, ""},
	    {"PUT", OBJ "a", "y", "", 429, "Retry-After: "},
	    {"GET", OBJ "a", "", "", 200, "x"},
	    {"GET", "/control/counts", "", "", 200, "\"limited\":1"}}},
    {"read_rate_counts_a_watch_as_one", {"--read-rate", "0.001"},
	{{"GET", "/v1/watch?since=0&wait=100", "", "", 200, ""},
	    {"GET", OBJ "a", "", "", 429, "Retry-After: "},
	    {"PUT", OBJ "a", "x", "", 201, ""}}},
    {"weight_quota", {"--weights-bytes-per-second", "1"},
	{{"POST", "/v1/weights/reserve", "{\"bytes\":9000}", "", 200,
	     "\"granted\":true"},
	    {"POST", "/v1/weights/reserve", "{\"bytes\":1}", "", 429,
		"Retry-After: "},
	    {"POST", "/v1/weights/reserve", "{\"bytes\":0}", "", 400, ""}}},
    {"vm_list_lags_and_fails", {},
	{{"POST", "/control/vms", VM("live"), "", 204, ""},
	    {"GET", "/v1/vms", "", "", 200, "\"state\":\"live\""},
	    {FAULT, "{\"vms_lag_ms\":3600000}", "", 204, ""},
	    {"POST", "/control/vms", VM("leaving"), "", 204, ""},
	    {"GET", "/v1/vms", "", "", 200, "\"state\":\"live\""},
	    {FAULT, "{\"vms_lag_ms\":0,\"vms_outage\":\"empty\"}", "", 204, ""},
	    {"GET", "/v1/vms", "", "", 200, "\"vms\":[]"},
	    {FAULT, "{\"vms_outage\":\"refuse\"}", "", 204, ""},
	    {"GET", "/v1/vms", "", "", 503, ""},
	    {FAULT, "{\"vms_outage\":\"none\"}", "", 204, ""},
	    {"POST", "/control/vms", VM("leaving"), "", 204, ""},
	    {"GET", "/v1/vms", "", "", 200, "\"state\":\"leaving\""},
	    {"POST", "/control/vms", VM("dead"), "", 400, "state"}}},
    {"counts_by_kind_and_prefix", {},
	{{"PUT", OBJ "jobs/a/b", "x", "", 201, ""},
	    {"GET", "/v1/list?prefix=jobs/a", "", "", 200, ""},
	    {"GET", "/control/counts", "", "", 200,
		"\"by_prefix\":{\"jobs/\":{\"get\":0,\"put\":1,\"delete\":0,"
		"\"list\":1,\"watch\":0}}"},
	    {"POST", "/control/reset-counts", "", "", 204, ""},
	    {"GET", "/control/counts", "", "", 200, "\"by_prefix\":{}"}}},
};

class PlatformContract : public testing::TestWithParam<Case>
{
};

TEST_P(PlatformContract, Steps)
{
	Platform platform(GetParam().options);
	int number = 0;

	for (const Step &step : GetParam().steps) {
		reply_t reply = Send({step.method, platform.Url(step.path),
		    step.body, step.header, step.client, step.limit_ms});
		std::string all = reply.headers + reply.body;

		SCOPED_TRACE("step " + std::to_string(++number));
		ASSERT_EQ(step.status, reply.status) << all.substr(0, 999);
		ASSERT_NE(std::string::npos, all.find(step.contains))
		    << step.contains << "\nnot in\n"
		    << all.substr(0, 999);
	}
}

INSTANTIATE_TEST_SUITE_P(Table, PlatformContract, testing::ValuesIn(cases),
    [](const testing::TestParamInfo<Case> &info) {
	    return std::string(info.param.name);
    });

/* An event during a pending watch, and the watch's expected answer. */
struct WaitingCase {
	const char *name;
	const char *method;
	const char *path;
	const char *body;
	long status;
	const char *contains;
};

const WaitingCase waiting_cases[] = {
    {"written_below", "PUT", OBJ "c/1", "x", 200, "\"key\":\"c/1\""},
    {"cut", FAULT, "{\"cut\":[\"watcher\"]}", CLOSED, ""},
    {"refused", FAULT, "{\"outage\":\"refuse\"}", 503, ""},
};

class WaitingWatch : public testing::TestWithParam<WaitingCase>
{
};

/* A VM's watch is pending when an object changes, the client is disconnected,
 * or the platform fails. Unless the watch ends immediately, the VM assumes for
 * up to a minute that it is up to date. */
TEST_P(WaitingWatch, EndsAtOnce)
{
	const WaitingCase &param = GetParam();
	Platform platform({});
	reply_t reply = {};
	std::thread watcher([&] {
		reply = platform.Request("GET",
		    "/v1/watch?prefix=c/&since=0&wait=60000", "", "",
		    "watcher");
	});

	platform.WaitForCount("\"watch\":1,");
	platform.Request(param.method, param.path, param.body);
	watcher.join();
	EXPECT_EQ(param.status, reply.status);
	EXPECT_NE(std::string::npos, reply.body.find(param.contains));
}

INSTANTIATE_TEST_SUITE_P(Table, WaitingWatch, testing::ValuesIn(waiting_cases),
    [](const testing::TestParamInfo<WaitingCase> &info) {
	    return std::string(info.param.name);
    });

/* The stand-in is stopped gracefully while a watch is pending and a call hangs:
 * both end, and the process exits. */
TEST(PlatformProcess, StopsWithCallsOpen)
{
	Platform platform({});
	reply_t watched = {};
	reply_t hung = {};
	std::thread watcher([&] {
		watched =
		    platform.Request("GET", "/v1/watch?since=0&wait=60000");
	});

	platform.WaitForCount("\"watch\":1,");
	platform.Fault("{\"outage\":\"hang\"}");
	std::thread caller([&] { hung = platform.Request("GET", "/v1/vms"); });
	platform.WaitForCount("\"vms\":1,");
	EXPECT_EQ(0, platform.Stop());
	watcher.join();
	caller.join();
	EXPECT_EQ(CLOSED, watched.status);
	EXPECT_EQ(CLOSED, hung.status);
}

/* With the delay fault, an answer takes at least the configured delay. */
TEST(PlatformProcess, DelaysAnswers)
{
	Platform platform({});

	platform.Fault("{\"delay_ms\":50}");
	auto before = std::chrono::steady_clock::now();
	EXPECT_EQ(201, platform.Request("PUT", OBJ "a", "x").status);
	EXPECT_LE(std::chrono::milliseconds(50),
	    std::chrono::steady_clock::now() - before);
}

/* Eight clients increment one counter by compare-and-swap. If check and write
 * were not atomic, two writes could succeed on the same version and an
 * increment would be lost. */
TEST(PlatformProcess, ConditionalWritesAreLinearizable)
{
	const int clients = 8;
	const int rounds = 25;
	Platform platform({"--write-rate", "0", "--read-rate", "0"});
	std::vector<std::thread> threads;

	ASSERT_EQ(201, platform.Request("PUT", OBJ "n", "0", IF_NEW).status);
	for (int i = 0; i < clients; i++)
		threads.emplace_back([&] {
			for (int done = 0; done < rounds;) {
				reply_t read = platform.Request("GET", OBJ "n");
				size_t at = read.headers.find("ETag: ");
				size_t end = read.headers.find("\r\n", at);
				std::string etag =
				    read.headers.substr(at + 6, end - at - 6);
				int next = atoi(read.body.c_str()) + 1;

				if (platform
					.Request("PUT", OBJ "n",
					    std::to_string(next),
					    "If-Match: " + etag)
					.status == 200)
					done++;
			}
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(std::to_string(clients * rounds),
	    platform.Request("GET", OBJ "n").body);
	json_t *log = json_loads(
	    platform.Request("GET", "/control/log").body.c_str(), 0, nullptr);
	ASSERT_EQ(size_t(clients * rounds + 1), json_array_size(log));
	for (size_t i = 0; i < json_array_size(log); i++)
		EXPECT_EQ(json_int_t(i + 1),
		    json_integer_value(
			json_object_get(json_array_get(log, i), "revision")));
	json_decref(log);
}

} // namespace
