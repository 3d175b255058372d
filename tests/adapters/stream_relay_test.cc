/**
 * @file stream_relay_test.cc
 * @brief Answers are forwarded unchanged, however long ids and headers are.
 */
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "tests/adapters/loopback.h"

extern "C" {
#include "core/event_stream.h"
#include "daemon/stream_relay.h"
}

namespace
{

constexpr int WAIT_LIMIT_MS = 10000;

struct LongCase {
	const char *name;
	size_t id; /**< bytes of the request's id */
	size_t headers; /**< number in the answer, without id and stamp */
	size_t value; /**< bytes of each header's value */
};

/** A caller, a relay and a server whose answer the test writes. */
class StreamRelayFixture : public ::testing::Test
{
      protected:
	std::mutex lock;
	std::condition_variable changed;
	jj_http_call_t *caller = nullptr;
	bool streams = false; /**< the route has streamed answers */
	bool retries_errors = false; /**< errors are not final */
	uint64_t software = 0; /**< of the last event */
	uint64_t weights = 0; /**< of the server, by the last event */
	int ended = -1; /**< how the attempt ended */
	bool unframed = false; /**< it ended with its connection */
	std::string output; /**< of the item, when it is done */
	int64_t last_id = JJ_EVENT_NO_ID; /**< event to resume after */
	const char *wish = ""; /**< a header of the request; "": none */
	std::string upload; /**< body of the request */
	int progress = 0; /**< reports of events after the first one */
	UnresponsiveServer server;
	std::string front_address = free_address();
	jj_deployment_t deployment = {};
	jj_http_server_t *front;
	jj_stream_relay_t *relay;

	StreamRelayFixture()
	{
		jj_http_limits_t limits = {
		    front_address.c_str(), 1, 100, 16384, 65536, 65536, 60000};
		jj_http_port_t front_port = {this, on_caller, nullptr, nullptr,
		    nullptr, on_writable, nullptr};
		jj_stream_relay_port_t port = {this, on_event};

		deployment.headers = {"X-Id", "X-Deadline", "X-Target",
		    "X-Not-Run", "X-Stamp", "Last-Event-Id", "Resumes",
		    "X-Prompt", "X-Key", "X-Team", "X-Server",
		    {"X-Wants", "X-Holds"}, "X-Wants", "X-Weights"};
		front = jj_http_server_create(&limits, &front_port);
		relay = jj_stream_relay_create(&deployment, &port);
	}
	~StreamRelayFixture() override
	{
		jj_stream_relay_destroy(relay);
		jj_http_server_destroy(front);
	}
	static void
	on_caller(void *ctx, jj_http_call_t *call)
	{
		auto *self = static_cast<StreamRelayFixture *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->caller = call;
		self->changed.notify_all();
	}
	static void
	on_writable(void *ctx, jj_http_call_t *)
	{
		jj_stream_relay_resume(
		    static_cast<StreamRelayFixture *>(ctx)->relay, 1);
	}
	static void
	on_event(
	    void *ctx, const jj_backend_event_t *event, int, jj_bytes_t *text)
	{
		auto *self = static_cast<StreamRelayFixture *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->software = event->software;
		self->weights = event->weights;
		self->progress += event->kind == JJ_BACKEND_TOKENS;
		if (event->kind == JJ_BACKEND_FIRST ||
		    event->kind == JJ_BACKEND_TOKENS)
			return;
		self->ended = event->kind;
		if (text != nullptr && text->size > 0)
			self->output.assign(text->data, text->size);
		self->unframed = event->unframed;
		self->changed.notify_all();
	}
	template <typename Condition>
	void
	wait_for(Condition condition)
	{
		std::unique_lock<std::mutex> guard(lock);

		ASSERT_TRUE(changed.wait_for(guard,
		    std::chrono::milliseconds(WAIT_LIMIT_MS), condition));
	}
	void
	start(const std::string &id)
	{
		jj_stream_exchange_t exchange = {};

		exchange.request = 1;
		exchange.call = caller;
		exchange.id = strdup(id.c_str());
		exchange.method = strdup(upload.empty() ? "GET" : "POST");
		exchange.body = jj_bytes_copy(upload.data(), upload.size());
		exchange.uri = strdup("/x");
		exchange.last_id = last_id;
		jj_stream_exchange_add_header(&exchange, "X-Id", id.c_str());
		if (wish[0] != '\0')
			jj_stream_exchange_add_header(&exchange, wish, "3");
		jj_stream_relay_add(relay, &exchange);
		attempt(1, 7);
	}
	/** Sends an attempt to the server, which has that software version. */
	void
	attempt(uint32_t number, uint64_t software)
	{
		jj_gateway_attempt_t start = {};

		jj_name_set(&start.server, "s1");
		start.streams = streams;
		start.retries_errors = retries_errors;
		start.software = software;
		snprintf(start.address, sizeof(start.address), "%s",
		    server.address.c_str());
		start.budget_ms = WAIT_LIMIT_MS;
		jj_stream_relay_start(relay, 1, number, &start);
	}
	/** Ends the caller's call, whatever became of it, for the next one. */
	void
	end_call(int fd)
	{
		jj_http_call_t *left = nullptr;
		bool relayed;

		if (jj_stream_relay_take(relay, 1, &left, &relayed) &&
		    left != nullptr)
			jj_http_call_end_stream(left, true);
		if (fd >= 0)
			(void)close(fd);
		std::lock_guard<std::mutex> guard(lock);
		caller = nullptr;
		ended = -1;
	}
	/** Answers the attempt that was started, closes; returns its end. */
	int
	answer_and_close(const std::string &answer, bool resets = false)
	{
		linger reset = {1, 0};

		ended = -1;
		if (!server.accept_one(WAIT_LIMIT_MS))
			return -1;
		(void)read_until(server.last(), "\r\n\r\n");
		EXPECT_EQ((ssize_t)answer.size(),
		    send(server.last(), answer.data(), answer.size(),
			MSG_NOSIGNAL));
		if (resets)
			(void)setsockopt(server.last(), SOL_SOCKET, SO_LINGER,
			    &reset, sizeof(reset));
		server.close_last();
		wait_for([this] { return ended >= 0; });
		return ended;
	}
};

class StreamRelay : public StreamRelayFixture,
		    public ::testing::WithParamInterface<LongCase>
{
};

/*
 * Guards against fixed-size buffers: a truncated request id, whose answer was
 * dropped as it did not match, and lost or truncated headers.
 */
TEST_P(StreamRelay, PassesLongHeaders)
{
	std::string id(GetParam().id, 'i');
	std::string value(GetParam().value, 'v');
	std::string answer =
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: " + id +
	    "\r\nX-Stamp: s\r\n";
	int fd = send_request(front_address);

	for (size_t i = 0; i < GetParam().headers; i++)
		answer += "X-H" + std::to_string(i) + ": " + value + "\r\n";
	wait_for([this] { return caller != nullptr; });
	start(id);
	ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
	std::string request = read_until(server.last(), "\r\n\r\n");
	EXPECT_NE(std::string::npos, request.find("X-Id: " + id + "\r\n"));
	answer += "\r\nok";
	ASSERT_EQ((ssize_t)answer.size(),
	    send(server.last(), answer.data(), answer.size(), MSG_NOSIGNAL));
	wait_for([this] { return ended >= 0; });
	ASSERT_EQ(JJ_BACKEND_DONE, ended);
	std::string got = read_until(fd, "\r\n\r\nok");
	size_t intact = 0;
	for (size_t i = 0; i < GetParam().headers; i++)
		intact += got.find("X-H" + std::to_string(i) + ": " + value +
			      "\r\n") != std::string::npos;
	EXPECT_EQ(GetParam().headers, intact);
	(void)close(fd);
}

/*
 * Guards against events of two software versions in one answer, as an event was
 * forwarded that the core had not heard of when it chose the next server.
 */
TEST_F(StreamRelayFixture, AStreamIsNotSentToAnotherVersion)
{
	const std::string head =
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "X-Id: i\r\nX-Stamp: s\r\n\r\nid: 0\ndata: a\n\n";
	int fd = send_request(front_address);

	streams = true;
	wait_for([this] { return caller != nullptr; });
	start("i");
	ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
	(void)read_until(server.last(), "\r\n\r\n");
	ASSERT_EQ((ssize_t)head.size(),
	    send(server.last(), head.data(), head.size(), MSG_NOSIGNAL));
	(void)read_until(fd, "data: a\n\n");
	jj_stream_relay_cancel(relay, 1, 1);
	attempt(2, 8);
	wait_for([this] { return ended >= 0; });
	EXPECT_EQ(JJ_BACKEND_MISMATCH, ended);
	{
		std::lock_guard<std::mutex> guard(lock);
		EXPECT_EQ(7U, software);
	}
	EXPECT_FALSE(server.accept_one(100));
	attempt(3, 7);
	ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
	EXPECT_NE(std::string::npos,
	    read_until(server.last(), "\r\n\r\n").find("Last-Event-Id: 0"));
	(void)close(fd);
}

/** How a server ends an answer, and what that is taken for. */
/*
 * An error that is not final is forwarded as it was when the request is
 * abandoned, and only then; the next attempt's answer replaces it.
 */
TEST_F(StreamRelayFixture, AnErrorIsForwardedUnlessSentAgain)
{
	const std::string error =
	    "HTTP/1.1 500 Error\r\nX-Id: i\r\nX-Stamp: s\r\n"
	    "Content-Length: 5\r\n\r\nfails";

	streams = true;
	for (bool is_final : {false, true}) {
		int fd = send_request(front_address);

		retries_errors = true;
		wait_for([this] { return caller != nullptr; });
		start("i");
		for (uint32_t number = 1; number <= 2; number++) {
			ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
			(void)read_until(server.last(), "\r\n\r\n");
			ASSERT_EQ((ssize_t)error.size(),
			    send(server.last(), error.data(), error.size(),
				MSG_NOSIGNAL));
			wait_for([this] { return ended >= 0; });
			EXPECT_EQ(is_final && number == 2 ? JJ_BACKEND_REJECTED
							  : JJ_BACKEND_FAILED,
			    ended);
			if (number == 2)
				break;
			EXPECT_TRUE(jj_stream_relay_has(relay, 1));
			ended = -1;
			retries_errors = !is_final;
			attempt(2, 7);
		}
		EXPECT_EQ(
		    !is_final, jj_stream_relay_forward_error(relay, 1, true));
		std::string answer = read_until(fd, "fails");
		EXPECT_EQ(0U, answer.find("HTTP/1.1 500"));
		EXPECT_NE(std::string::npos, answer.find("X-Stamp: s"));
		EXPECT_FALSE(jj_stream_relay_has(relay, 1));
		EXPECT_FALSE(jj_stream_relay_forward_error(relay, 1, true));
		(void)close(fd);
		std::lock_guard<std::mutex> guard(lock);
		caller = nullptr;
		ended = -1;
	}
}

struct EndCase {
	const char *name;
	bool streams;
	const char *answer; /**< all that the server sends */
	bool resets; /**< it resets the connection, else closes it */
	jj_backend_kind_t kind;
	bool unframed;
};

#define ANSWER_HEAD "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Stamp: s\r\n"
#define EVENT "id: 0\ndata: a\n\n"
#define NO_STATUS "X-Id: i\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok"

class AnswerEnd : public StreamRelayFixture,
		  public ::testing::WithParamInterface<EndCase>
{
      protected:
	void
	end_answer(jj_backend_kind_t kind)
	{
		streams = GetParam().streams;
		start("i");
		EXPECT_EQ(kind,
		    answer_and_close(GetParam().answer, GetParam().resets));
		EXPECT_EQ(GetParam().unframed, unframed);
	}
};

/* Guards against a crash or a broken answer that looks complete. */
TEST_P(AnswerEnd, IsWholeOnlyWhereTheAnswerIs)
{
	int fd = send_request(front_address);

	wait_for([this] { return caller != nullptr; });
	end_answer(GetParam().kind);
	if (GetParam().kind != JJ_BACKEND_DONE) {
		EXPECT_TRUE(jj_stream_relay_has(relay, 1));
	} else if (GetParam().streams) {
		EXPECT_NE(std::string::npos,
		    read_until(fd, "\r\n0\r\n\r\n").find("data: a\n\n"));
	} else {
		EXPECT_NE(std::string::npos,
		    read_until(fd, "\r\n\r\nok").find("Content-Length: 2\r\n"));
	}
	(void)close(fd);
}

/* The same for an item of a job, which an end by a close leaves in doubt. */
TEST_P(AnswerEnd, OfAnItemIsJudgedAlike)
{
	end_answer(GetParam().streams && GetParam().unframed
		? JJ_BACKEND_UNCONFIRMED
		: GetParam().kind);
}

INSTANTIATE_TEST_SUITE_P(Ends, AnswerEnd,
    ::testing::Values(
	EndCase{"StreamAtABoundary", true, ANSWER_HEAD "\r\n" EVENT, false,
	    JJ_BACKEND_DONE, true},
	EndCase{"StreamInsideAnEvent", true,
	    ANSWER_HEAD "\r\n" EVENT "id: 1\nda", false, JJ_BACKEND_BROKEN,
	    false},
	EndCase{"StreamBeforeTheEndOfAnEvent", true,
	    ANSWER_HEAD "\r\n" EVENT "id: 1\ndata: b\n", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"StreamWithoutAnEvent", true, ANSWER_HEAD "\r\n", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"StreamNotUtf8", true,
	    ANSWER_HEAD "\r\n" EVENT "id: 1\ndata: \xff\x9b\n\n", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"StreamReset", true, ANSWER_HEAD "\r\n" EVENT, true,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"StreamInAHeaderLine", true, "HTTP/1.1 200 OK\r\nX-Id", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"StreamAfterItsStamp", true, ANSWER_HEAD "Transfer-En", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{
	    "StreamBeforeAnyByte", true, "", false, JJ_BACKEND_BROKEN, false},
	EndCase{"StreamInChunks", true,
	    ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\nf\r\n" EVENT
			"\r\n0\r\n\r\n",
	    false, JJ_BACKEND_DONE, false},
	EndCase{"StreamBetweenChunks", true,
	    ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\nf\r\n" EVENT "\r\n",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{
	    "Whole", false, ANSWER_HEAD "\r\nok", false, JJ_BACKEND_DONE, true},
	EndCase{"Reset", false, ANSWER_HEAD "\r\nok", true, JJ_BACKEND_BROKEN,
	    false},
	EndCase{"InAHeaderLine", false, "HTTP/1.1 200 OK\r\nX-St", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"BeforeAnyByte", false, "", false, JJ_BACKEND_BROKEN, false},
	EndCase{"WholeWithLength", false,
	    ANSWER_HEAD "Content-Length: 2\r\n\r\nok", false, JJ_BACKEND_DONE,
	    false},
	EndCase{"ShorterThanItsLength", false,
	    ANSWER_HEAD "Content-Length: 3\r\n\r\nok", false, JJ_BACKEND_BROKEN,
	    false},
	EndCase{"TwoLengths", false,
	    ANSWER_HEAD "Content-Length: 5\r\nContent-Length: 2\r\n\r\nok",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"ListOfLengths", false,
	    ANSWER_HEAD "Content-Length: 2, 5\r\n\r\nok", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"LengthIsNoNumber", false,
	    ANSWER_HEAD "Content-Length: 2x\r\n\r\nok", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"LengthIsNegative", false,
	    ANSWER_HEAD "Content-Length: -2\r\n\r\nok", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"LengthBeyond64Bits", false,
	    ANSWER_HEAD "Content-Length: 18446744073709551618\r\n\r\nok", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"LengthAndChunks", false,
	    ANSWER_HEAD "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"
			"\r\n2\r\nok\r\n0\r\n\r\n",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"OtherCoding", false,
	    ANSWER_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n"
			"2\r\nok\r\n0\r\n\r\n",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"SpaceBeforeTheColon", false,
	    ANSWER_HEAD "Content-Length : 1\r\n\r\nok", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"FoldedLine", false,
	    ANSWER_HEAD "X-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok", false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"ChunksInHttp10", false,
	    "HTTP/1.0 200 OK\r\nX-Id: i\r\nX-Stamp: s\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusLineInTheHead", false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Id: j\r\nHTTP/1.1 200\r\n"
	    "X-Id: i\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"Status000", false, "HTTP/1.1 000 OK\r\n" NO_STATUS, false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"Status000OfAStream", true, "HTTP/1.1 000 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"Status099", false, "HTTP/1.1 099 OK\r\n" NO_STATUS, false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"Status099OfAStream", true, "HTTP/1.1 099 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"Status101", false, "HTTP/1.1 101 OK\r\n" NO_STATUS, false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"Status101OfAStream", true, "HTTP/1.1 101 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusOfTwoDigits", false, "HTTP/1.1 20 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusOfTwoDigitsOfAStream", true,
	    "HTTP/1.1 20 OK\r\n" NO_STATUS, false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusOfLetters", false, "HTTP/1.1 2x0 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusOfLettersOfAStream", true,
	    "HTTP/1.1 2x0 OK\r\n" NO_STATUS, false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusOfFourDigits", false, "HTTP/1.1 2000 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusOfFourDigitsOfAStream", true,
	    "HTTP/1.1 2000 OK\r\n" NO_STATUS, false, JJ_BACKEND_BROKEN, false},
	EndCase{"Status600", false, "HTTP/1.1 600 OK\r\n" NO_STATUS, false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"Status600OfAStream", true, "HTTP/1.1 600 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"Status999", false, "HTTP/1.1 999 OK\r\n" NO_STATUS, false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"Status999OfAStream", true, "HTTP/1.1 999 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusNegative", false, "HTTP/1.1 -200 OK\r\n" NO_STATUS,
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StatusNegativeOfAStream", true,
	    "HTTP/1.1 -200 OK\r\n" NO_STATUS, false, JJ_BACKEND_BROKEN, false},
	EndCase{"NoStatus", false, "HTTP/1.1  OK\r\n" NO_STATUS, false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"NoStatusOfAStream", true, "HTTP/1.1  OK\r\n" NO_STATUS, false,
	    JJ_BACKEND_BROKEN, false},
	EndCase{"HeaderLikeAStatusLine", false,
	    "HTTP/1.1 200 OK\r\nX-Id: j\r\nHTTP/a: b\r\n"
	    "X-Id: i\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"StampInTheTrailer", false,
	    "HTTP/1.1 200 OK\r\nX-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nok\r\n0\r\nX-Stamp: s\r\n\r\n",
	    false, JJ_BACKEND_BROKEN, false},
	EndCase{"NotRunWithoutItsId", false,
	    "HTTP/1.1 503 Full\r\nX-Stamp: s\r\nX-Not-Run: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    false, JJ_BACKEND_REFUSED, false},
	EndCase{"WithoutItsId", false,
	    "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	    false, JJ_BACKEND_BROKEN, false}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against a refusal that its caller never learns, or that is not true. */
TEST_F(StreamRelayFixture, ARefusalOfWhatItAsksForIsForwarded)
{
	const std::string refusal =
	    "HTTP/1.1 421 Misdirected\r\nX-Id: i\r\nX-Stamp: s\r\n"
	    "X-Server: s1\r\nX-Weights: 4\r\nContent-Length: 4\r\n\r\nlack";
	struct {
		const char *name;
		std::string last; /**< answer to a second attempt; "": none */
		bool not_run;
		bool is_forwarded;
	} const cases[] = {
	    {"the only attempt", "", true, true},
	    {"another one refuses it, too", refusal, true, true},
	    {"another one may have run", "", false, false},
	    {"another one is full",
		"HTTP/1.1 503 Full\r\nX-Id: i\r\nX-Not-Run: 1\r\n"
		"Content-Length: 0\r\n\r\n",
		true, false},
	    {"another one closes", " ", true, false},
	};

	wish = "X-Wants";
	for (const auto &row : cases) {
		jj_http_call_t *left = nullptr;
		bool relayed;
		int fd = send_request(front_address);

		wait_for([this] { return caller != nullptr; });
		start("i");
		EXPECT_EQ(JJ_BACKEND_MISMATCH, answer_and_close(refusal))
		    << row.name;
		EXPECT_EQ(4U, weights);
		if (!row.last.empty()) {
			attempt(2, 7);
			(void)answer_and_close(row.last);
		}
		EXPECT_EQ(row.is_forwarded,
		    jj_stream_relay_forward_error(relay, 1, row.not_run))
		    << row.name;
		if (row.is_forwarded) {
			EXPECT_EQ(
			    0U, read_until(fd, "lack").find("HTTP/1.1 421"));
		} else {
			EXPECT_TRUE(
			    jj_stream_relay_take(relay, 1, &left, &relayed));
			jj_http_call_end_stream(left, true);
		}
		(void)close(fd);
		std::lock_guard<std::mutex> guard(lock);
		caller = nullptr;
		ended = -1;
	}
}

/* Guards against answers of another process at a server's address. */
TEST_F(StreamRelayFixture, OnlyRefusalsAndStampedAnswersAreTheServers)
{
	const std::string id = "X-Id: i\r\n";
	const std::string stamp = "X-Stamp: s\r\n";

	for (int status : {200, 204, 300, 301, 304, 400, 401, 403, 404, 405,
		 408, 410, 413, 422, 429, 500, 501, 502, 503, 504, 505, 599})
		for (bool is_item : {false, true})
			for (bool is_stamped : {false, true}) {
				int fd =
				    is_item ? -1 : send_request(front_address);

				if (!is_item)
					wait_for([this] {
						return caller != nullptr;
					});
				start("i");
				int end = answer_and_close("HTTP/1.1 " +
				    std::to_string(status) + " S\r\n" + id +
				    (is_stamped ? stamp : "") +
				    "Content-Length: 0\r\n\r\n");
				EXPECT_EQ(is_stamped, end != JJ_BACKEND_BROKEN)
				    << status << (is_item ? " item" : "");
				EXPECT_TRUE(is_stamped ||
				    jj_stream_relay_has(relay, 1));
				end_call(fd);
			}
}

/** What a server does behind the answer that it sends during an upload. */
enum early_end_t {
	RESETS,
	CLOSES, /**< a reset, as the upload was not read */
	ENDS_SENDING, /**< and closes later, with the upload unread */
	READS_ON, /**< the whole upload, then closes */
};

struct EarlyCase {
	const char *name;
	bool streams;
	const char *answer;
	early_end_t end;
	size_t read_first; /**< bytes of the upload */
	bool is_whole; /**< what was sent may pass for the whole answer */
};

class EarlyAnswer : public StreamRelayFixture,
		    public ::testing::WithParamInterface<EarlyCase>
{
      protected:
	static constexpr size_t UPLOAD_BYTES = 16U << 20;

	void
	read_bytes(size_t size)
	{
		char bytes[65536];
		ssize_t got = 1;

		for (size_t sum = 0; sum < size && got > 0; sum += (size_t)got)
			got = recv(server.last(), bytes, sizeof(bytes), 0);
	}
	/** Answers during the upload; returns how the attempt ended. */
	int
	answer_early()
	{
		linger reset = {1, 0};
		std::string answer = GetParam().answer;

		streams = GetParam().streams;
		upload.assign(UPLOAD_BYTES, 'u');
		start("i");
		EXPECT_TRUE(server.accept_one(WAIT_LIMIT_MS));
		(void)read_until(server.last(), "\r\n\r\n");
		read_bytes(GetParam().read_first);
		EXPECT_EQ((ssize_t)answer.size(),
		    send(server.last(), answer.data(), answer.size(),
			MSG_NOSIGNAL));
		if (GetParam().end == RESETS)
			(void)setsockopt(server.last(), SOL_SOCKET, SO_LINGER,
			    &reset, sizeof(reset));
		if (GetParam().end == ENDS_SENDING)
			(void)shutdown(server.last(), SHUT_WR);
		if (GetParam().end == READS_ON)
			read_bytes(UPLOAD_BYTES);
		if (GetParam().end != ENDS_SENDING)
			server.close_last();
		wait_for([this] { return ended >= 0; });
		return ended;
	}
};

/* Guards against a part of an early answer that passes for the whole. */
TEST_P(EarlyAnswer, IsWholeOnlyWhereItsEndIsSeen)
{
	for (int i = 0; i < 5; i++) {
		int fd = send_request(front_address);

		wait_for([this] { return caller != nullptr; });
		EXPECT_EQ(
		    GetParam().is_whole, answer_early() == JJ_BACKEND_DONE);
		end_call(fd);
	}
}

/* The same for an item. */
TEST_P(EarlyAnswer, OfAnItemIsJudgedAlike)
{
	EXPECT_EQ(GetParam().is_whole, answer_early() == JJ_BACKEND_DONE);
}

#define EARLY_HEAD "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Stamp: s\r\n"
#define EARLY_PART "\r\npart of the body"
#define EARLY_LENGTH "Content-Length: 2\r\n\r\nok"
#define EARLY_CHUNKS "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
#define EARLY_EVENTS "\r\nid: 0\ndata: a\n\n"

INSTANTIATE_TEST_SUITE_P(Answers, EarlyAnswer,
    ::testing::Values(
	EarlyCase{"PartReset", false, EARLY_HEAD EARLY_PART, RESETS, 0, false},
	EarlyCase{"PartClosed", false, EARLY_HEAD EARLY_PART, CLOSES, 0, false},
	EarlyCase{
	    "PartEnded", false, EARLY_HEAD EARLY_PART, ENDS_SENDING, 0, false},
	EarlyCase{"PartResetLater", false, EARLY_HEAD EARLY_PART, RESETS,
	    1U << 20, false},
	EarlyCase{"PartClosedLater", false, EARLY_HEAD EARLY_PART, CLOSES,
	    1U << 20, false},
	EarlyCase{
	    "EventsReset", true, EARLY_HEAD EARLY_EVENTS, RESETS, 0, false},
	EarlyCase{
	    "EventsClosed", true, EARLY_HEAD EARLY_EVENTS, CLOSES, 0, false},
	EarlyCase{"EventsEnded", true, EARLY_HEAD EARLY_EVENTS, ENDS_SENDING, 0,
	    false},
	EarlyCase{"EventsResetLater", true, EARLY_HEAD EARLY_EVENTS, RESETS,
	    1U << 20, false},
	EarlyCase{
	    "OfALength", false, EARLY_HEAD EARLY_LENGTH, READS_ON, 0, true},
	EarlyCase{
	    "InChunks", false, EARLY_HEAD EARLY_CHUNKS, READS_ON, 0, true}),
    [](const auto &info) { return std::string(info.param.name); });

struct RefusalCase {
	const char *name;
	const char *wish; /**< header of the request, or "" */
	const char *answer; /**< status line and headers */
	jj_backend_kind_t kind; /**< of a caller's request */
	jj_backend_kind_t item_kind;
};

class Refusal : public StreamRelayFixture,
		public ::testing::WithParamInterface<RefusalCase>
{
      protected:
	void
	expect(jj_backend_kind_t kind)
	{
		wish = GetParam().wish;
		start("i");
		EXPECT_EQ(kind,
		    answer_and_close(std::string("HTTP/1.1 ") +
			GetParam().answer +
			"\r\nX-Id: i\r\nContent-Length: 0\r\n\r\n"));
	}
};

/* Guards against taking a server out of use for what one request asks for. */
TEST_P(Refusal, IsOfTheServerOrOfTheRequest)
{
	int fd = send_request(front_address);

	wait_for([this] { return caller != nullptr; });
	expect(GetParam().kind);
	(void)close(fd);
}

/* Guards against the same for items. */
TEST_P(Refusal, OfAnItemIsOfTheServerOrOfTheItem)
{
	expect(GetParam().item_kind);
}

INSTANTIATE_TEST_SUITE_P(Answers, Refusal,
    ::testing::Values(
	RefusalCase{"WeightsOfTheServerItself", "X-Wants",
	    "421 M\r\nX-Server: s1", JJ_BACKEND_MISMATCH, JJ_BACKEND_MISMATCH},
	RefusalCase{"WeightsOfNoNamedServer", "x-wants", "421 M",
	    JJ_BACKEND_MISMATCH, JJ_BACKEND_MISMATCH},
	RefusalCase{"WeightsStated", "X-Wants", "421 M\r\nX-Not-Run: 1",
	    JJ_BACKEND_MISMATCH, JJ_BACKEND_MISMATCH},
	RefusalCase{"AnotherProcess", "", "421 M\r\nX-Server: s2",
	    JJ_BACKEND_LEAVING, JJ_BACKEND_LEAVING},
	RefusalCase{"AnotherProcessAndWeights", "X-Wants",
	    "421 M\r\nX-Server: s2", JJ_BACKEND_LEAVING, JJ_BACKEND_LEAVING},
	RefusalCase{"AProcessWithoutName", "", "421 M", JJ_BACKEND_LEAVING,
	    JJ_BACKEND_LEAVING},
	RefusalCase{"TheServerItself", "", "421 M\r\nX-Server: s1",
	    JJ_BACKEND_MISMATCH, JJ_BACKEND_MISMATCH},
	RefusalCase{"OtherHeader", "X-Wants-Not", "421 M", JJ_BACKEND_LEAVING,
	    JJ_BACKEND_LEAVING},
	RefusalCase{"Full", "", "503 F\r\nX-Not-Run: 1", JJ_BACKEND_REFUSED,
	    JJ_BACKEND_REFUSED},
	RefusalCase{"Limited", "", "429 F\r\nX-Not-Run: 1", JJ_BACKEND_REFUSED,
	    JJ_BACKEND_REFUSED},
	RefusalCase{"NoSuchReservation", "X-Holds", "503 F\r\nX-Not-Run: 1",
	    JJ_BACKEND_MISMATCH, JJ_BACKEND_MISMATCH},
	RefusalCase{"NoId", "", "400 N\r\nX-Not-Run: 1", JJ_BACKEND_REJECTED,
	    JJ_BACKEND_MISMATCH},
	RefusalCase{"MaybeRun", "X-Wants", "503 F\r\nX-Stamp: s",
	    JJ_BACKEND_FAILED, JJ_BACKEND_FAILED},
	RefusalCase{"OfNoServer", "X-Wants", "503 F", JJ_BACKEND_BROKEN,
	    JJ_BACKEND_BROKEN}),
    [](const auto &info) { return std::string(info.param.name); });

struct CutCase {
	const char *name;
	bool streams;
	int64_t last_id; /**< event to resume after */
	const char *answer;
};

class CutAnswer : public StreamRelayFixture,
		  public ::testing::WithParamInterface<CutCase>
{
      protected:
	void
	expect_broken_at_each_byte()
	{
		std::string answer = GetParam().answer;
		uint32_t number = 1;

		streams = GetParam().streams;
		last_id = GetParam().last_id;
		start("i");
		for (size_t size = 0; size < answer.size(); size++) {
			ASSERT_EQ(JJ_BACKEND_BROKEN,
			    answer_and_close(answer.substr(0, size)))
			    << size;
			attempt(++number, 7);
		}
		EXPECT_LE(JJ_BACKEND_DONE, answer_and_close(answer));
		EXPECT_FALSE(jj_stream_relay_has(relay, 1));
	}
};

/* Guards against an answer that ends early and is framed as whole. */
TEST_P(CutAnswer, IsBrokenAtEachByte)
{
	int fd = send_request(front_address);

	wait_for([this] { return caller != nullptr; });
	expect_broken_at_each_byte();
	(void)close(fd);
}

/* The same for an item of a job. */
TEST_P(CutAnswer, OfAnItemIsBrokenAtEachByte)
{
	expect_broken_at_each_byte();
}

#define CHUNKS "Transfer-Encoding: chunked\r\n\r\n"

/* The last chunk has been received before its last line feed. */
INSTANTIATE_TEST_SUITE_P(Places, CutAnswer,
    ::testing::Values(CutCase{"Length", false, JJ_EVENT_NO_ID,
			  ANSWER_HEAD "Content-Length: 12\r\n\r\nabcdefghijkl"},
	CutCase{"NoBytes", false, JJ_EVENT_NO_ID,
	    ANSWER_HEAD "Content-Length: 0\r\n\r\n"},
	CutCase{"Chunks", false, JJ_EVENT_NO_ID,
	    ANSWER_HEAD CHUNKS "2\r\nok\r\n0\r\n\r"},
	CutCase{"AfterAnInterimHead", false, JJ_EVENT_NO_ID,
	    "HTTP/1.1 103 Early\r\n\r\n" ANSWER_HEAD
	    "Content-Length: 2\r\n\r\nok"},
	CutCase{"Error", true, JJ_EVENT_NO_ID,
	    "HTTP/1.1 404 Not Found\r\nX-Id: i\r\nX-Stamp: s\r\n"
	    "Content-Length: 2\r\n\r\nno"},
	CutCase{
	    "ResumedWithNothingLeft", true, 8, ANSWER_HEAD CHUNKS "0\r\n\r"},
	CutCase{"ResumedWithLengthZero", true, 8,
	    ANSWER_HEAD "Content-Length: 0\r\n\r\n"}),
    [](const auto &info) { return std::string(info.param.name); });

/** What a server sends before it closes, and how that attempt ends. */
struct DoubtStep {
	const char *answer;
	jj_backend_kind_t kind;
};

struct DoubtCase {
	const char *name;
	std::vector<DoubtStep> steps;
	const char *output; /**< of the item, if it is done */
};

class ItemInDoubt : public StreamRelayFixture,
		    public ::testing::WithParamInterface<DoubtCase>
{
};

/* Guards against an item that is done where its server closed half-way. */
TEST_P(ItemInDoubt, IsResumedWhereItsAnswerWasClosed)
{
	uint32_t number = 1;

	streams = true;
	start("i");
	for (const DoubtStep &step : GetParam().steps) {
		if (number > 1)
			attempt(number, 7);
		EXPECT_EQ(step.kind, answer_and_close(step.answer)) << number;
		number++;
	}
	EXPECT_EQ(GetParam().output, output);
}

#define CLOSED ANSWER_HEAD "\r\n"
#define CHUNKED_EVENT ANSWER_HEAD CHUNKS "f\r\n" EVENT "\r\n"

INSTANTIATE_TEST_SUITE_P(Answers, ItemInDoubt,
    ::testing::Values(
	DoubtCase{"NothingLeft",
	    {{CLOSED EVENT, JJ_BACKEND_UNCONFIRMED},
		{ANSWER_HEAD CHUNKS "0\r\n\r\n", JJ_BACKEND_DONE}},
	    "a"},
	DoubtCase{"ClosedAtTheSameEvent",
	    {{CLOSED EVENT, JJ_BACKEND_UNCONFIRMED}, {CLOSED, JJ_BACKEND_DONE}},
	    "a"},
	DoubtCase{"OneMoreEvent",
	    {{CLOSED EVENT, JJ_BACKEND_UNCONFIRMED},
		{ANSWER_HEAD CHUNKS "f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n",
		    JJ_BACKEND_DONE}},
	    "a\nb"},
	DoubtCase{"OneMoreEventAndClosed",
	    {{CLOSED EVENT, JJ_BACKEND_UNCONFIRMED},
		{CLOSED "id: 1\ndata: b\n\n", JJ_BACKEND_UNCONFIRMED}},
	    ""},
	DoubtCase{"NotInARow",
	    {{CLOSED EVENT, JJ_BACKEND_UNCONFIRMED},
		{ANSWER_HEAD "Transfer-En", JJ_BACKEND_BROKEN},
		{CLOSED, JJ_BACKEND_UNCONFIRMED}},
	    ""},
	DoubtCase{"PartOfAnotherEvent",
	    {{CLOSED EVENT, JJ_BACKEND_UNCONFIRMED},
		{CLOSED "id: 1\nda", JJ_BACKEND_BROKEN},
		{CLOSED, JJ_BACKEND_UNCONFIRMED}},
	    ""},
	DoubtCase{"ChunksBefore",
	    {{CHUNKED_EVENT, JJ_BACKEND_BROKEN},
		{CLOSED, JJ_BACKEND_UNCONFIRMED},
		{CLOSED, JJ_BACKEND_UNCONFIRMED},
		{CLOSED, JJ_BACKEND_UNCONFIRMED}, {CLOSED, JJ_BACKEND_DONE}},
	    "a"},
	DoubtCase{"RefusedMeanwhile",
	    {{CLOSED EVENT, JJ_BACKEND_UNCONFIRMED},
		{"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		    JJ_BACKEND_REFUSED},
		{ANSWER_HEAD CHUNKS "0\r\n\r\n", JJ_BACKEND_DONE}},
	    "a"}),
    [](const auto &info) { return std::string(info.param.name); });

/* Guards against an item that is done as a resumed attempt brought nothing. */
TEST_F(StreamRelayFixture, AnEmptyResumedAnswerThatIsClosedIsNoEnd)
{
	streams = true;
	last_id = 8;
	start("i");
	EXPECT_EQ(JJ_BACKEND_UNCONFIRMED, answer_and_close(ANSWER_HEAD "\r\n"));
}

struct EndlessCase {
	const char *name;
	bool streams;
	const char *begin; /**< sent once */
	const char *repeated; /**< then sent until the connection ends */
};

class EndlessAnswer : public StreamRelayFixture,
		      public ::testing::WithParamInterface<EndlessCase>
{
      protected:
	/** Bytes after which an answer must have been ended. */
	static constexpr size_t BYTES_MAX = 64U << 20;
	size_t sent = 0;

	/** Sends until the connection ends; false if it does not. */
	bool
	send_endlessly()
	{
		std::string block;
		std::string begin = GetParam().begin;
		timeval limit = {5, 0};

		while (block.size() < 65536)
			block += GetParam().repeated;
		(void)setsockopt(server.last(), SOL_SOCKET, SO_SNDTIMEO, &limit,
		    sizeof(limit));
		(void)send(
		    server.last(), begin.data(), begin.size(), MSG_NOSIGNAL);
		while (sent < BYTES_MAX) {
			ssize_t size = send(server.last(), block.data(),
			    block.size(), MSG_NOSIGNAL);

			if (size < 0)
				return errno != EAGAIN;
			sent += (size_t)size;
		}
		return false;
	}
	void
	expect_end()
	{
		streams = GetParam().streams;
		start("i");
		ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
		(void)read_until(server.last(), "\r\n\r\n");
		EXPECT_TRUE(send_endlessly()) << sent;
		wait_for([this] { return ended >= 0; });
		EXPECT_EQ(JJ_BACKEND_BROKEN, ended);
	}
};

/* Guards against bytes without end that hold a request, or fill the memory. */
TEST_P(EndlessAnswer, IsEndedForACaller)
{
	int fd = send_request(front_address);
	/* A caller that does not read would pause the transfer. */
	std::thread reader([fd] { (void)read_to_end(fd); });

	wait_for([this] { return caller != nullptr; });
	expect_end();
	EXPECT_TRUE(jj_stream_relay_has(relay, 1)) << "it may be sent again";
	(void)shutdown(fd, SHUT_RDWR);
	reader.join();
	(void)close(fd);
}

/* The same for an item of a job. */
TEST_P(EndlessAnswer, IsEndedForAnItem)
{
	expect_end();
	EXPECT_TRUE(jj_stream_relay_has(relay, 1));
}

class OutputWithoutEnd : public StreamRelayFixture,
			 public ::testing::WithParamInterface<size_t>
{
};

INSTANTIATE_TEST_SUITE_P(EventSizes, OutputWithoutEnd,
    ::testing::Values(2000, 3000, 4000, 5000, 60000));

/* Guards against an item's output that fills the memory, or loses a part. */
TEST_P(OutputWithoutEnd, OfAnItemIsEndedAndBeginsAnew)
{
	std::string data(GetParam(), 'x');
	std::string head = ANSWER_HEAD "\r\n";

	streams = true;
	start("i");
	ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
	(void)read_until(server.last(), "\r\n\r\n");
	(void)send(server.last(), head.data(), head.size(), MSG_NOSIGNAL);
	for (size_t id = 0; id < (64U << 20) / GetParam(); id++) {
		std::string event =
		    "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";

		if (send(server.last(), event.data(), event.size(),
			MSG_NOSIGNAL) < 0)
			break;
	}
	wait_for([this] { return ended >= 0; });
	EXPECT_EQ(JJ_BACKEND_BROKEN, ended);
	attempt(2, 7);
	ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
	EXPECT_EQ(std::string::npos,
	    read_until(server.last(), "\r\n\r\n").find("Last-Event-Id"))
	    << "it begins anew";
}

/* Guards against a server that looks busy while it sends no events. */
TEST_F(StreamRelayFixture, BytesThatAreNoEventAreNoProgress)
{
	const std::string head = ANSWER_HEAD "\r\n" EVENT;

	streams = true;
	start("i");
	ASSERT_TRUE(server.accept_one(WAIT_LIMIT_MS));
	(void)read_until(server.last(), "\r\n\r\n");
	(void)send(server.last(), head.data(), head.size(), MSG_NOSIGNAL);
	for (int i = 0; i < 10; i++) {
		(void)usleep(60000);
		(void)send(server.last(), ":\n\n", 3, MSG_NOSIGNAL);
	}
	server.close_last();
	wait_for([this] { return ended >= 0; });
	EXPECT_EQ(0, progress);
}

#define CHUNKED ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n"

INSTANTIATE_TEST_SUITE_P(Places, EndlessAnswer,
    ::testing::Values(EndlessCase{"NoHead", true, "", "garbage "},
	EndlessCase{"NoHeadLines", true, "", "garbage\r\n"},
	EndlessCase{"EmptyLines", true, "", "\r\n"},
	EndlessCase{"StatusLine", true, "HTTP/1.1 200 ", "x"},
	EndlessCase{"HeaderLine", true, "HTTP/1.1 200 OK\r\nX-A: ", "x"},
	EndlessCase{"HeaderLines", true, ANSWER_HEAD, "X-A: b\r\n"},
	EndlessCase{
	    "InformationalHeads", true, "", "HTTP/1.1 103 Early\r\n\r\n"},
	EndlessCase{"StreamLine", true, ANSWER_HEAD "\r\n" EVENT, "x"},
	EndlessCase{"StreamLines", true, ANSWER_HEAD "\r\n" EVENT, "data: x\n"},
	EndlessCase{"Comments", true, ANSWER_HEAD "\r\n" EVENT, ":\n\n"},
	EndlessCase{
	    "Trailer", true, CHUNKED "f\r\n" EVENT "\r\n0\r\n", "X-A: b\r\n"},
	EndlessCase{"ChunkSize", true, CHUNKED "f\r\n" EVENT "\r\n", "0"},
	EndlessCase{"Body", false, ANSWER_HEAD "\r\n", "x"},
	EndlessCase{"BodyOfChunks", false, CHUNKED, "8\r\nxxxxxxxx\r\n"}),
    [](const auto &info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(Answers, StreamRelay,
    ::testing::Values(LongCase{"Usual", 16, 3, 10},
	LongCase{"LongId", 100, 3, 10}, LongCase{"ManyHeaders", 16, 60, 10},
	LongCase{"LongHeader", 16, 1, 6000}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
