/**
 * @file http_client_test.cc
 * @brief Results of single requests, and of requests while others wait.
 */
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>

#include "tests/adapters/loopback.h"

extern "C" {
#include "adapters/http_client.h"
}

namespace
{

/** Time limit, ms; far above what any test here takes. */
constexpr int LIMIT_MS = 20000;

/** Collects the data and the result of a request. */
class Outcome
{
      public:
	std::string data;
	bool paused = false; /**< on_data consumes nothing */
	int refusals = 0; /**< calls of on_data that consumed nothing */

	jj_http_request_t
	describe(const std::string &address, jj_ms_t timeout_ms)
	{
		jj_http_request_t request = {};

		request.method = "GET";
		request.address = address.c_str();
		request.path = "/";
		request.timeout_ms = timeout_ms;
		request.once = true;
		request.ctx = this;
		request.on_data = on_data;
		request.on_end = on_end;
		return request;
	}
	/** Waits for the end, up to the limit, and returns the result. */
	jj_http_end_t
	wait()
	{
		std::unique_lock<std::mutex> guard(lock);

		EXPECT_TRUE(
		    changed.wait_for(guard, std::chrono::milliseconds(LIMIT_MS),
			[this] { return ended; }));
		return end;
	}
	/** Waits for at least so many bytes and so many refused calls. */
	bool
	wait_for(size_t size, int refused = 0)
	{
		std::unique_lock<std::mutex> guard(lock);

		return changed.wait_for(guard,
		    std::chrono::milliseconds(LIMIT_MS),
		    [&] { return data.size() >= size && refusals >= refused; });
	}
	void
	set_paused(bool on)
	{
		std::lock_guard<std::mutex> guard(lock);

		paused = on;
	}

      private:
	std::mutex lock;
	std::condition_variable changed;
	bool ended = false;
	jj_http_end_t end = JJ_HTTP_COMPLETE;

	static jj_http_flow_t
	on_data(void *ctx, const char *bytes, size_t size)
	{
		auto *self = static_cast<Outcome *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->refusals += self->paused;
		if (!self->paused)
			self->data.append(bytes, size);
		self->changed.notify_all();
		return self->paused ? JJ_HTTP_PAUSE : JJ_HTTP_CONSUMED;
	}
	static void
	on_end(void *ctx, jj_http_end_t how, const jj_http_head_t *)
	{
		auto *self = static_cast<Outcome *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->ended = true;
		self->end = how;
		self->changed.notify_all();
	}
};

void
send_text(int fd, const std::string &text)
{
	EXPECT_EQ(static_cast<ssize_t>(text.size()),
	    send(fd, text.data(), text.size(), MSG_NOSIGNAL));
}

class HttpClient : public ::testing::Test
{
      protected:
	jj_http_client_t *client = jj_http_client_create();

	~HttpClient() override
	{
		if (client != nullptr)
			jj_http_client_destroy(client);
	}
	uint64_t
	start(Outcome &outcome, const std::string &address,
	    jj_ms_t timeout_ms = LIMIT_MS)
	{
		jj_http_request_t request =
		    outcome.describe(address, timeout_ms);

		return jj_http_client_start(client, &request);
	}
};

/* NOT_SENT promises that the request did not run: no connection was made. */
TEST_F(HttpClient, SaysHowARequestEnded)
{
	const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
	struct {
		const char *name;
		bool listens;
		std::string answer;
		bool closes;
		jj_ms_t timeout_ms;
		jj_http_end_t end;
	} cases[] = {
	    {"nobody there", false, "", false, LIMIT_MS, JJ_HTTP_NOT_SENT},
	    {"whole answer", true, head + "abcd", false, LIMIT_MS,
		JJ_HTTP_COMPLETE},
	    {"half an answer", true, head + "ab", true, LIMIT_MS,
		JJ_HTTP_BROKEN},
	    {"closed without a word", true, "", true, LIMIT_MS, JJ_HTTP_BROKEN},
	    {"closed inside its head", true, "HTTP/1.1 200 OK\r\nETag: \"1",
		true, LIMIT_MS, JJ_HTTP_BROKEN},
	    {"two lengths", true,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + head.substr(17) +
		    "abcd",
		false, LIMIT_MS, JJ_HTTP_BROKEN},
	    {"silence", true, "", false, 200, JJ_HTTP_TIMEOUT},
	};

	for (const auto &one : cases) {
		UnresponsiveServer server;
		Outcome outcome;

		(void)start(outcome,
		    one.listens ? server.address : free_address(),
		    one.timeout_ms);
		if (one.listens) {
			ASSERT_TRUE(server.accept_one(LIMIT_MS)) << one.name;
			send_text(server.last(), one.answer);
			if (one.closes)
				(void)shutdown(server.last(), SHUT_RDWR);
		}
		EXPECT_EQ(one.end, outcome.wait()) << one.name;
	}
}

/* Guards against a request that reaches a server without its body. */
TEST_F(HttpClient, EachMethodKeepsItsBody)
{
	struct {
		const char *method;
		std::string body;
		const char *length; /**< header, or empty */
	} cases[] = {
	    {"POST", "a=b", "Content-Length: 3\r\n"},
	    {"POST", "", "Content-Length: 0\r\n"},
	    {"PUT", std::string("a\0b", 3), "Content-Length: 3\r\n"},
	    {"PUT", "", "Content-Length: 0\r\n"},
	    {"PATCH", "a=b", "Content-Length: 3\r\n"},
	    {"PATCH", "", "Content-Length: 0\r\n"},
	    {"DELETE", "a=b", "Content-Length: 3\r\n"},
	    {"DELETE", "", ""},
	    {"GET", "a=b", "Content-Length: 3\r\n"},
	    {"GET", "", ""},
	    {"OPTIONS", "a=b", "Content-Length: 3\r\n"},
	    {"REPORT", "a=b", "Content-Length: 3\r\n"},
	    {"HEAD", "", ""},
	};

	for (const auto &one : cases) {
		UnresponsiveServer server;
		Outcome outcome;
		jj_http_request_t request =
		    outcome.describe(server.address, LIMIT_MS);
		std::string end = "\r\n\r\n" + one.body;
		std::string got;

		request.method = one.method;
		request.body = one.body.data();
		request.body_size = one.body.size();
		(void)jj_http_client_start(client, &request);
		ASSERT_TRUE(server.accept_one(LIMIT_MS)) << one.method;
		got = read_until(server.last(), end);
		EXPECT_EQ(0U, got.find(std::string(one.method) + " / HTTP/1.1"))
		    << got;
		EXPECT_NE(std::string::npos, got.find(one.length)) << got;
		EXPECT_EQ(*one.length == '\0',
		    got.find("Content-Length") == std::string::npos)
		    << got;
		EXPECT_EQ(got.size() - end.size(), got.find(end)) << got;
		send_text(server.last(),
		    std::string(
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n") +
			(strcmp(one.method, "HEAD") == 0 ? "" : "ok"));
		EXPECT_EQ(JJ_HTTP_COMPLETE, outcome.wait()) << one.method;
	}
}

/*
 * On small VMs each piece of a stream caused a check of all other open
 * requests, which took a tenth of the CPU time. The client now waits for
 * socket events: a socket with data is served regardless of the other
 * requests, and each of those keeps its own timeout.
 */
TEST_F(HttpClient, AStreamGoesOnBesideRequestsThatWait)
{
	constexpr int WAITING = 40;
	UnresponsiveServer unresponsive;
	UnresponsiveServer server;
	Outcome stream;
	std::vector<std::unique_ptr<Outcome>> others;

	for (int i = 0; i < WAITING; i++) {
		others.push_back(std::make_unique<Outcome>());
		(void)start(*others.back(), unresponsive.address,
		    i % 2 == 0 ? 300 : LIMIT_MS);
	}
	(void)start(stream, server.address);
	ASSERT_TRUE(server.accept_one(LIMIT_MS));
	send_text(
	    server.last(), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
	for (size_t i = 0; i < 6; i++) {
		send_text(server.last(), "x");
		EXPECT_TRUE(stream.wait_for(i + 1)) << i;
	}
	EXPECT_EQ(JJ_HTTP_COMPLETE, stream.wait());
	for (int i = 0; i < WAITING; i += 2)
		EXPECT_EQ(JJ_HTTP_TIMEOUT, others[i]->wait()) << i;
	jj_http_client_destroy(client);
	client = nullptr;
	for (int i = 1; i < WAITING; i += 2)
		EXPECT_EQ(JJ_HTTP_CANCELLED, others[i]->wait()) << i;
}

/* For slow readers: data that was not consumed is delivered again. */
TEST_F(HttpClient, WhatWasNotTakenComesAfterAResume)
{
	UnresponsiveServer server;
	Outcome outcome;
	uint64_t number;

	outcome.set_paused(true);
	number = start(outcome, server.address);
	ASSERT_TRUE(server.accept_one(LIMIT_MS));
	send_text(
	    server.last(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
	ASSERT_TRUE(outcome.wait_for(0, 1));
	send_text(server.last(), "cd");
	outcome.set_paused(false);
	jj_http_client_resume(client, number);
	EXPECT_EQ(JJ_HTTP_COMPLETE, outcome.wait());
	EXPECT_EQ("abcd", outcome.data);
}

TEST_F(HttpClient, ACancelledRequestClosesItsConnection)
{
	UnresponsiveServer server;
	Outcome outcome;
	uint64_t number = start(outcome, server.address);

	ASSERT_TRUE(server.accept_one(LIMIT_MS));
	jj_http_client_cancel(client, number);
	EXPECT_EQ(JJ_HTTP_CANCELLED, outcome.wait());
	pollfd gone = {server.last(), POLLRDHUP, 0};
	EXPECT_EQ(1, poll(&gone, 1, LIMIT_MS));
}

} // namespace
