/**
 * @file platform_test.cc
 * @brief Timeouts of the answer to a platform call, and its end.
 */
#include <chrono>
#include <condition_variable>
#include <mutex>

#include "tests/adapters/loopback.h"

extern "C" {
#include "adapters/platform.h"
}

namespace
{

/** Time limit of each wait in these tests, far above the usual, ms. */
constexpr int LIMIT_MS = 20000;
/** Timeout of the platform calls, ms. */
constexpr int TIMEOUT_MS = 1500;
/** Interval between two pieces of an answer, ms. */
constexpr int PIECE_INTERVAL_MS = 400;

/** Waits for one result. */
class Result
{
      public:
	std::string value;

	static void
	take(void *ctx, jj_platform_result_t *result)
	{
		auto *self = static_cast<Result *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->outcome = result->outcome;
		self->value.assign(
		    result->value.data != nullptr ? result->value.data : "",
		    result->value.size);
		self->has_ended = true;
		self->changed.notify_all();
		jj_platform_result_clear(result);
	}
	jj_platform_outcome_t
	wait()
	{
		std::unique_lock<std::mutex> guard(lock);

		EXPECT_TRUE(
		    changed.wait_for(guard, std::chrono::milliseconds(LIMIT_MS),
			[this] { return has_ended; }));
		has_ended = false;
		return outcome;
	}

      private:
	std::mutex lock;
	std::condition_variable changed;
	bool has_ended = false;
	jj_platform_outcome_t outcome = JJ_PLATFORM_OK;
};

struct PaceCase {
	const char *name;
	int pieces; /**< how many of the answer's PIECES are sent */
	jj_platform_outcome_t outcome;
};

class PlatformPace : public ::testing::TestWithParam<PaceCase>
{
      protected:
	static constexpr int PIECES = 8;
	UnresponsiveServer server;
	Result result;
	jj_platform_t *platform = jj_platform_create(&jj_platform_native_codec,
	    server.address.c_str(), "verona-1", TIMEOUT_MS, Result::take,
	    &result);

	~PlatformPace() override
	{
		jj_platform_destroy(platform);
	}
	void
	list()
	{
		jj_platform_call_t call = {};

		call.op = JJ_PLATFORM_LIST;
		(void)snprintf(call.key, sizeof(call.key), "config/");
		jj_platform_start(platform, &call);
		ASSERT_TRUE(server.accept_one(LIMIT_MS));
		(void)read_until(server.last(), "\r\n\r\n");
	}
	void
	send_text(const std::string &text) const
	{
		EXPECT_EQ(static_cast<ssize_t>(text.size()),
		    send(
			server.last(), text.data(), text.size(), MSG_NOSIGNAL));
	}
	/** True while the connection stays open for the time between pieces. */
	bool
	stays_open() const
	{
		pollfd closed = {server.last(), POLLRDHUP, 0};

		return poll(&closed, 1, PIECE_INTERVAL_MS) == 0;
	}
};

/* Guards against a time-out of a large configuration on a slow link. */
TEST_P(PlatformPace, IsReadWhileItKeepsComing)
{
	const std::string body =
	    "{\"items\":[],\"revision\":7,\"padding\":\"xxxxxxxxxxxxxxxxxxx\"}";
	const size_t part = (body.size() + PIECES - 1) / PIECES;

	list();
	for (int i = 0; i < GetParam().pieces; i++) {
		if (i == 0)
			send_text("HTTP/1.1 200 OK\r\nContent-Length: " +
			    std::to_string(body.size()) + "\r\n\r\n");
		ASSERT_TRUE(stays_open()) << i;
		send_text(body.substr((size_t)i * part, part));
	}
	EXPECT_EQ(GetParam().outcome, result.wait());
}

INSTANTIATE_TEST_SUITE_P(Pieces, PlatformPace,
    ::testing::Values(PaceCase{"NoneComes", 0, JJ_PLATFORM_UNKNOWN},
	PaceCase{"StopsMidway", 3, JJ_PLATFORM_UNKNOWN},
	PaceCase{"AllCome", 8, JJ_PLATFORM_OK}),
    [](const auto &one) { return one.param.name; });

struct EndCase {
	const char *name;
	jj_platform_op_t op;
	const char *answer; /**< sent, then the connection is closed */
	jj_platform_outcome_t outcome;
};

class PlatformEnd : public ::testing::TestWithParam<EndCase>
{
};

/* Guards against an outcome that is read from an answer without its end. */
TEST_P(PlatformEnd, IsKnownFromAWholeAnswer)
{
	const std::string answer = std::string("HTTP/1.1 ") + GetParam().answer;
	UnresponsiveServer server;
	Result result;
	jj_platform_t *platform = jj_platform_create(&jj_platform_native_codec,
	    server.address.c_str(), "verona-1", LIMIT_MS, Result::take,
	    &result);
	jj_platform_call_t call = {};

	call.op = GetParam().op;
	(void)snprintf(call.key, sizeof(call.key), "jobs/a");
	jj_platform_start(platform, &call);
	ASSERT_TRUE(server.accept_one(LIMIT_MS));
	(void)read_until(server.last(), "\r\n\r\n");
	(void)send(server.last(), answer.data(), answer.size(), MSG_NOSIGNAL);
	(void)shutdown(server.last(), SHUT_RDWR);
	EXPECT_EQ(GetParam().outcome, result.wait());
	jj_platform_destroy(platform);
}

INSTANTIATE_TEST_SUITE_P(Answers, PlatformEnd,
    ::testing::Values(
	EndCase{"Value", JJ_PLATFORM_GET,
	    "200 OK\r\nContent-Length: 2\r\n\r\n{}", JJ_PLATFORM_OK},
	EndCase{"Absent", JJ_PLATFORM_GET,
	    "404 Not Found\r\nContent-Length: 0\r\n\r\n", JJ_PLATFORM_ABSENT},
	EndCase{"Gap", JJ_PLATFORM_WATCH,
	    "410 Gone\r\nContent-Length: 14\r\n\r\n{\"revision\":7}",
	    JJ_PLATFORM_GAP},
	EndCase{"AbsentCutInItsHead", JJ_PLATFORM_GET, "404 Not Found\r\n",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"ValueCutInItsHead", JJ_PLATFORM_GET, "200 OK\r\n",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"CreatedCutInItsHead", JJ_PLATFORM_CREATE, "201 Created\r\n",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"UpdatedCutInItsHead", JJ_PLATFORM_UPDATE,
	    "200 OK\r\nETag: \"7", JJ_PLATFORM_UNKNOWN},
	EndCase{"ConflictCutInItsHead", JJ_PLATFORM_UPDATE,
	    "412 Precondition Failed\r\n", JJ_PLATFORM_UNKNOWN},
	EndCase{"DeletedCutInItsHead", JJ_PLATFORM_DELETE, "204 No Content\r\n",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"GapCutInItsHead", JJ_PLATFORM_WATCH, "410 Gone\r\n",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"ValueWithTwoLengths", JJ_PLATFORM_GET,
	    "200 OK\r\nContent-Length: 9\r\nContent-Length: 2\r\n\r\n{}",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"ValueWithoutLength", JJ_PLATFORM_GET, "200 OK\r\n\r\n{}",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"VmsWithoutLength", JJ_PLATFORM_VMS, "200 OK\r\n\r\n{}",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"ListWithoutLength", JJ_PLATFORM_LIST,
	    "200 OK\r\n\r\n{\"items\":[],\"revision\":7}", JJ_PLATFORM_OK},
	EndCase{"ListEmptyPageOfMore", JJ_PLATFORM_LIST,
	    "200 OK\r\n\r\n{\"items\":[],\"revision\":7,\"more\":true}",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"ListCutShort", JJ_PLATFORM_LIST, "200 OK\r\n\r\n{\"items\":[]",
	    JJ_PLATFORM_UNKNOWN},
	EndCase{"ListFollowedByMore", JJ_PLATFORM_LIST,
	    "200 OK\r\n\r\n{\"items\":[]}{", JJ_PLATFORM_UNKNOWN},
	EndCase{"NoList", JJ_PLATFORM_LIST,
	    "200 OK\r\nContent-Length: 2\r\n\r\n{}", JJ_PLATFORM_UNKNOWN},
	EndCase{"NoEvents", JJ_PLATFORM_WATCH,
	    "200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":7}",
	    JJ_PLATFORM_UNKNOWN}),
    [](const auto &one) { return one.param.name; });

/* Guards against a second, late answer that is read as another object. */
TEST(PlatformReads, ALateAnswerIsNotThatOfTheNextCall)
{
	const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
	UnresponsiveServer server;
	Result result;
	jj_platform_t *platform = jj_platform_create(&jj_platform_native_codec,
	    server.address.c_str(), "verona-1", LIMIT_MS, Result::take,
	    &result);
	jj_platform_call_t call = {};
	auto answer = [&](int fd, const char *value) {
		const std::string text = head + value;

		(void)send(fd, text.data(), text.size(), MSG_NOSIGNAL);
	};

	call.op = JJ_PLATFORM_GET;
	(void)snprintf(call.key, sizeof(call.key), "jobs/a");
	jj_platform_start(platform, &call);
	ASSERT_TRUE(server.accept_one(LIMIT_MS));
	int first = server.last();
	(void)read_until(first, "\r\n\r\n");
	answer(first, "1");
	(void)result.wait();
	(void)snprintf(call.key, sizeof(call.key), "jobs/b");
	jj_platform_start(platform, &call);
	/* Empty once the connection is closed. */
	if (!read_until(first, "\r\n\r\n").empty()) {
		answer(first, "1");
	} else {
		ASSERT_TRUE(server.accept_one(LIMIT_MS));
		answer(server.last(), "2");
	}
	EXPECT_EQ(JJ_PLATFORM_OK, result.wait());
	EXPECT_EQ("2", result.value);
	jj_platform_destroy(platform);
}

} // namespace
