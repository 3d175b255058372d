/**
 * @file relay_test.cc
 * @brief A caller gets the answer of one run, whatever the core decides.
 */
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/adapters/loopback.h"

extern "C" {
#include "daemon/relay.h"
}

namespace
{

/** Time limit of each wait; the awaited events take milliseconds. */
const int kWaitLimitMs = 10000;

void
send_text(int fd, const std::string &text)
{
	(void)send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

/** An event that the relay reported. */
struct Reported {
	jj_backend_kind_t kind;
	uint32_t attempt;
	bool relayed;
	std::string body; /**< of its answer */
};

/** A backend server and a front server for callers, joined by a relay. */
class Relay : public ::testing::Test
{
      protected:
	std::mutex lock;
	std::condition_variable changed;
	std::vector<jj_http_call_t *> runs; /**< at the engine */
	std::vector<jj_http_call_t *> callers;
	std::vector<Reported> reported;
	std::string engine_address = free_address();
	std::string front_address = free_address();
	jj_http_server_t *engine;
	jj_http_server_t *front;
	jj_relay_t *relay;
	jj_backend_start_t start = {};

	Relay()
	{
		jj_http_port_t engine_port = {
		    this, on_run, nullptr, nullptr, nullptr, nullptr, nullptr};
		jj_http_port_t front_port = {this, on_caller, nullptr, nullptr,
		    nullptr, nullptr, nullptr};
		jj_relay_port_t port = {this, on_event, on_leaving};

		engine = serve(engine_address, engine_port);
		front = serve(front_address, front_port);
		relay = jj_relay_create(1, &port);
		jj_name_set(&start.server, "ordini-1");
		start.request = 1;
	}
	~Relay() override
	{
		jj_relay_destroy(relay);
		jj_http_server_destroy(front);
		jj_http_server_destroy(engine);
	}
	static jj_http_server_t *
	serve(const std::string &address, const jj_http_port_t &port)
	{
		jj_http_limits_t limits = {
		    address.c_str(), 1, 100, 16384, 65536, 65536, 60000};

		return jj_http_server_create(&limits, &port);
	}
	static void
	on_run(void *ctx, jj_http_call_t *call)
	{
		auto *self = static_cast<Relay *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);
		jj_http_answer_t done = {
		    200, "text/plain", {{nullptr, nullptr}}, nullptr, 0};

		if (strstr(jj_http_call_path(call), "/cancel") != nullptr) {
			jj_http_call_answer(call, &done, "", 0);
			return;
		}
		self->runs.push_back(call);
		self->changed.notify_all();
	}
	static void
	on_caller(void *ctx, jj_http_call_t *call)
	{
		auto *self = static_cast<Relay *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->callers.push_back(call);
		self->changed.notify_all();
	}
	static void
	on_event(void *ctx, const jj_backend_event_t *event,
	    jj_backend_answer_t *answer, const jj_name_t *, bool)
	{
		auto *self = static_cast<Relay *>(ctx);
		std::lock_guard<std::mutex> guard(self->lock);

		self->reported.push_back(
		    {event->kind, event->attempt, event->relayed, ""});
		if (answer != nullptr && answer->body.size > 0)
			self->reported.back().body.assign(
			    answer->body.data, answer->body.size);
		self->changed.notify_all();
	}
	static void
	on_leaving(void *, const jj_name_t *)
	{
	}
	template <typename Condition>
	void
	wait_for(Condition condition)
	{
		std::unique_lock<std::mutex> guard(lock);

		ASSERT_TRUE(changed.wait_for(
		    guard, std::chrono::milliseconds(kWaitLimitMs), condition));
	}
	/** Adds an exchange whose answer is no stream. */
	void
	add_call(uint64_t request)
	{
		jj_exchange_t exchange = {};

		exchange.request = request;
		exchange.kind = JJ_EXCHANGE_ITEM;
		exchange.path = jj_bytes_from_text("/");
		exchange.body = jj_bytes_from_text("{}");
		jj_relay_add(relay, &exchange);
	}
	/** Waits for the end of an attempt. */
	Reported
	wait_for_end()
	{
		Reported last = {};

		wait_for([this, &last] {
			if (!reported.empty())
				last = reported.back();
			return !reported.empty() &&
			    last.kind != JJ_BACKEND_FIRST;
		});
		return last;
	}
	/** Adds the exchange of the waiting caller to the relay. */
	void
	add()
	{
		jj_exchange_t exchange = {};

		exchange.request = 1;
		exchange.kind = JJ_EXCHANGE_CALLER;
		exchange.call = callers[0];
		exchange.is_model = true;
		exchange.streams = true;
		exchange.path = jj_bytes_from_text("/v1/completions");
		exchange.body = jj_bytes_from_text("{}");
		jj_relay_add(relay, &exchange);
	}
	void
	send(uint32_t attempt)
	{
		start.attempt = attempt;
		jj_relay_start(
		    relay, &start, engine_address.c_str(), 60000, true);
	}
	static void
	begin_run(jj_http_call_t *run, const char *stream)
	{
		jj_http_answer_t answer = {200, "text/event-stream",
		    {{"Jujube-Stream", stream}, {"Jujube-Boot", "0a"},
			{nullptr, nullptr}},
		    nullptr, 0};

		jj_http_call_begin_stream(run, &answer);
	}
	static void
	write_token(jj_http_call_t *run, const char *word)
	{
		std::string event = std::string("data: {\"choices\":[{"
						"\"text\":\"") +
		    word + "\"}]}\n\n";

		(void)jj_http_call_write(run, event.data(), event.size(), true);
	}
};

/*
 * Guards against two runs in one answer. A VM is paused while it relays a
 * stream, and the server crashes meanwhile. When the VM resumes, the crash
 * report reaches the core before the event of the first tokens, so the core
 * takes the request as not begun and sends it again. The caller got four
 * tokens of one run and then a whole second run, as one complete answer.
 */
TEST_F(Relay, ASecondRunNeverFollowsTheBytesOfAFirst)
{
	int caller = send_request(front_address);

	wait_for([this] { return callers.size() == 1; });
	add();
	send(1);
	wait_for([this] { return runs.size() == 1; });
	begin_run(runs[0], "7");
	write_token(runs[0], "first");
	ASSERT_NE(std::string::npos, read_until(caller, "first").find("first"));
	/* The core did not receive the event, and sends the request again. */
	jj_relay_cancel(relay, 1, 1);
	send(2);
	Reported refused = {};
	/* Tokens of the first attempt may still be reported. */
	wait_for([this, &refused] {
		for (const Reported &event : reported) {
			if (event.attempt == 2 &&
			    event.kind == JJ_BACKEND_BROKEN)
				refused = event;
		}
		return refused.attempt == 2;
	});
	EXPECT_TRUE(refused.relayed)
	    << "the event must say that an answer had begun";
	EXPECT_EQ(1U, runs.size()) << "the second run must not be sent";
	jj_exchange_t taken;
	bool relayed = false;
	ASSERT_TRUE(jj_relay_take(relay, 1, &taken, &relayed));
	EXPECT_TRUE(relayed);
	jj_http_call_end_stream(taken.call, true);
	jj_exchange_clear(&taken);
	std::string rest = read_to_end(caller);
	EXPECT_EQ(std::string::npos, rest.find("0\r\n\r\n"))
	    << "a cut-off stream must not look complete";
	jj_http_call_end_stream(runs[0], true);
	(void)close(caller);
}

/* A broken stream is resumed at its server behind the caller's last token. */
TEST_F(Relay, AResumedRunIsPassedOn)
{
	int caller = send_request(front_address);

	wait_for([this] { return callers.size() == 1; });
	add();
	send(1);
	wait_for([this] { return runs.size() == 1; });
	begin_run(runs[0], "7");
	write_token(runs[0], "first");
	(void)read_until(caller, "first");
	jj_http_call_end_stream(runs[0], true);
	wait_for([this] {
		return !reported.empty() &&
		    reported.back().kind == JJ_BACKEND_BROKEN;
	});
	start.resume_from = 1;
	send(2);
	wait_for([this] { return runs.size() == 2; });
	EXPECT_STREQ("/v1/streams/7/resume", jj_http_call_path(runs[1]));
	begin_run(runs[1], "7");
	write_token(runs[1], "second");
	EXPECT_NE(
	    std::string::npos, read_until(caller, "second").find("second"));
	jj_relay_cancel(relay, 1, 2);
	jj_exchange_t taken;
	bool relayed = false;
	ASSERT_TRUE(jj_relay_take(relay, 1, &taken, &relayed));
	jj_http_call_end_stream(taken.call, true);
	jj_exchange_clear(&taken);
	jj_http_call_end_stream(runs[1], true);
	(void)close(caller);
}

/* Guards against a second, late answer that is taken for the next one's. */
TEST_F(Relay, ALateAnswerIsNotThatOfTheNextRequest)
{
	const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
	const std::string late = head + "first";
	const std::string own = head + "other";
	UnresponsiveServer server;

	add_call(1);
	add_call(2);
	start.attempt = 1;
	jj_relay_start(relay, &start, server.address.c_str(), 60000, true);
	ASSERT_TRUE(server.accept_one(kWaitLimitMs));
	int first = server.last();
	(void)read_until(first, "\r\n\r\n{}");
	send_text(first, late);
	EXPECT_EQ("first", wait_for_end().body);
	{
		std::lock_guard<std::mutex> guard(lock);
		reported.clear();
	}
	start.request = 2;
	jj_relay_start(relay, &start, server.address.c_str(), 60000, true);
	/* Empty once the connection is closed. */
	if (!read_until(first, "\r\n\r\n{}").empty()) {
		send_text(first, late);
	} else {
		ASSERT_TRUE(server.accept_one(kWaitLimitMs));
		(void)read_until(server.last(), "\r\n\r\n{}");
		send_text(server.last(), own);
	}
	EXPECT_EQ("other", wait_for_end().body);
}

struct CallEndCase {
	const char *name;
	const char *answer; /**< after the status line; then a close */
	jj_backend_kind_t kind;
};

/* Guards against an answer that is passed on without its end. */
TEST_F(Relay, AnAnswerWithoutItsEndIsBroken)
{
	const CallEndCase cases[] = {
	    {"length", "Content-Length: 2\r\n\r\n{}", JJ_BACKEND_DONE},
	    {"chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		JJ_BACKEND_DONE},
	    {"cut in its head", "X-A: b\r\n", JJ_BACKEND_BROKEN},
	    {"no last chunk", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		JJ_BACKEND_BROKEN},
	    {"whole JSON", "\r\n{}", JJ_BACKEND_DONE},
	    {"half of the JSON", "\r\n{\"a\":", JJ_BACKEND_BROKEN},
	    {"no JSON", "\r\n12", JJ_BACKEND_BROKEN},
	    {"no length, no body", "\r\n", JJ_BACKEND_BROKEN},
	};

	start.attempt = 1;
	for (const CallEndCase &one : cases) {
		const std::string text =
		    std::string("HTTP/1.1 200 OK\r\n") + one.answer;
		UnresponsiveServer server;

		{
			std::lock_guard<std::mutex> guard(lock);
			reported.clear();
		}
		add_call(start.request);
		jj_relay_start(
		    relay, &start, server.address.c_str(), 60000, false);
		ASSERT_TRUE(server.accept_one(kWaitLimitMs));
		(void)read_until(server.last(), "\r\n\r\n{}");
		send_text(server.last(), text);
		(void)shutdown(server.last(), SHUT_RDWR);
		EXPECT_EQ(one.kind, wait_for_end().kind) << one.name;
		start.request++;
	}
}

} // namespace
