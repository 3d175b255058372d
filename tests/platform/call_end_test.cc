/**
 * @file call_end_test.cc
 * @brief Each call of a caller ends, once and in time, whatever its server does.
 */
#include <chrono>
#include <map>

#include "tests/adapters/scripted_server.h"
#include "tests/platform/entry_vm.h"

namespace
{

constexpr int LIMIT_MS = 1500; /**< of the routes */
constexpr int LATE_MS = 500;

/** How the last attempt of a request ends. */
struct End {
	const char *name;
	/** All that the server sends; "" for nothing; "%ID" is the request's. */
	std::string answer;
	decltype(ScriptedAnswer::connection) connection;
	bool not_run; /**< the server says that it did not run the request */
	/** it is the rest of a stream of which two events have come */
	bool is_rest = false;
};

std::string
head(int status, const std::string &more = "")
{
	return "HTTP/1.1 " + std::to_string(status) +
	    " S\r\nX-Jujubeswitch-Request-Id: %ID\r\n"
	    "X-Jujubeswitch-Response-Stamp: s\r\n" +
	    more + "Content-Length: 4\r\n\r\nbody";
}

const std::string NOT_RUN = "X-Jujubeswitch-Not-Executed: 1\r\n";

std::vector<End>
all_ends()
{
	std::vector<End> ends = {
	    {"silence", "", ScriptedAnswer::SILENT, false},
	    {"close", "", ScriptedAnswer::CLOSED, false},
	    {"reset", "", ScriptedAnswer::RESET, false},
	    {"half-a-head", "HTTP/1.1 200 OK\r\nX-A", ScriptedAnswer::CLOSED,
		false},
	    {"garbage", "no answer at all\r\n\r\n", ScriptedAnswer::SILENT,
		false},
	    {"half-a-body",
		"HTTP/1.1 200 S\r\nX-Jujubeswitch-Request-Id: %ID\r\n"
		"X-Jujubeswitch-Response-Stamp: s\r\nContent-Length: 99\r\n\r\n"
		"id: 7\ndata: x\n",
		ScriptedAnswer::CLOSED, false},
	    {"without-stamp",
		"HTTP/1.1 200 S\r\nX-Jujubeswitch-Request-Id: %ID\r\n"
		"Content-Length: 4\r\n\r\nbody",
		ScriptedAnswer::SILENT, false},
	    {"of-another-request",
		"HTTP/1.1 200 S\r\nX-Jujubeswitch-Request-Id: other\r\n"
		"X-Jujubeswitch-Response-Stamp: s\r\nContent-Length: 4\r\n\r\n"
		"body",
		ScriptedAnswer::SILENT, false},
	    {"rest",
		"HTTP/1.1 200 S\r\nX-Jujubeswitch-Request-Id: %ID\r\n"
		"X-Jujubeswitch-Response-Stamp: s\r\nContent-Length: 15\r\n"
		"\r\nid: 2\ndata: c\n\n",
		ScriptedAnswer::SILENT, false, true},
	    {"nothing-follows",
		"HTTP/1.1 200 S\r\nX-Jujubeswitch-Request-Id: %ID\r\n"
		"X-Jujubeswitch-Response-Stamp: s\r\nContent-Length: 0\r\n"
		"\r\n",
		ScriptedAnswer::SILENT, false, true},
	    {"events-of-another-place",
		"HTTP/1.1 200 S\r\nX-Jujubeswitch-Request-Id: %ID\r\n"
		"X-Jujubeswitch-Response-Stamp: s\r\nContent-Length: 15\r\n"
		"\r\nid: 5\ndata: c\n\n",
		ScriptedAnswer::SILENT, false},
	    {"421-other", head(421, "X-Jujubeswitch-Instance-Id: i-other\r\n"),
		ScriptedAnswer::SILENT, true},
	    {"429-not-run", head(429, NOT_RUN), ScriptedAnswer::SILENT, true},
	    {"503-not-run", head(503, NOT_RUN), ScriptedAnswer::SILENT, true},
	    {"400-not-run", head(400, NOT_RUN), ScriptedAnswer::SILENT, true},
	};

	for (int status : {200, 204, 206, 226, 299, 300, 301, 304, 307, 400,
		 401, 403, 404, 408, 409, 413, 418, 422, 425, 429, 451, 500,
		 501, 502, 503, 504, 505, 507, 511, 599, 600, 999})
		ends.push_back(
		    {nullptr, head(status), ScriptedAnswer::SILENT, false});
	return ends;
}

/** Servers that act as the path says: /KIND/STATE/NUMBER-OF-AN-END/0. */
class Servers
{
      public:
	const std::vector<End> ends = all_ends();

	/** True if an attempt of the request may have run. */
	bool
	has_run(const std::string &id)
	{
		std::lock_guard<std::mutex> guard(lock);

		return ran.count(id) > 0;
	}
	ScriptedAnswer
	answer(const std::string &request)
	{
		std::string path = request.substr(0, request.find(" HTTP"));
		std::string id =
		    ScriptedServer::field(request, "X-Jujubeswitch-Request-Id");
		bool has_events = path.find("/events/") != std::string::npos;
		bool resumes =
		    !ScriptedServer::field(request, "Last-Event-Id").empty();
		std::string begin;

		if (path.find("/wait/") != std::string::npos)
			return {with_id(head(200), id), ScriptedAnswer::CLOSED};
		const End &end = ends[std::stoul(
		    path.substr(path.rfind('/', path.size() - 3) + 1))];
		if (!end.not_run || has_events) {
			std::lock_guard<std::mutex> guard(lock);
			ran[id]++;
		}
		if (has_events && !resumes) {
			begin = with_id(
			    "HTTP/1.1 200 OK\r\nX-Jujubeswitch-Request-Id: "
			    "%ID\r\nX-Jujubeswitch-Response-Stamp: s\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n"
			    "1e\r\nid: 0\ndata: a\n\nid: 1\ndata: b\n\n\r\n",
			    id);
			/* A stream that can't be resumed ends in that way. */
			if (path.find("/again/") != std::string::npos)
				return {begin, ScriptedAnswer::CLOSED};
		}
		return {begin + with_id(end.answer, id), end.connection};
	}

      private:
	std::mutex lock;
	std::map<std::string, int> ran; /**< by id */

	static std::string
	with_id(std::string text, const std::string &id)
	{
		size_t at = text.find("%ID");

		if (at != std::string::npos)
			text.replace(at, 3, id);
		return text;
	}
};

/** Kind of a route, and what a caller has when the last attempt ends. */
struct Form {
	const char *kind;
	const char *state;
};

const Form forms[] = {{"safe", "nothing"}, {"once", "nothing"},
    {"stream", "nothing"}, {"again", "nothing"}, {"stream", "events"},
    {"again", "events"}};

/** A request, and what its caller has seen. */
struct Call {
	std::string what;
	std::string id;
	int fd;
	std::chrono::steady_clock::time_point begin;
	std::string text;
	bool is_followed;
	long took_ms;
	bool open; /**< the call had not ended by then */
	bool may_be_whole; /**< although its first attempt broke off */
};

class CallEnd : public EntryVm
{
      protected:
	Servers servers;
	ScriptedServer scripted{[this](const std::string &request) {
		return servers.answer(request);
	}};
	std::vector<Call> calls;

	void
	SetUp() override
	{
		EntryVm::SetUp();
		std::string routes = route("safe", "nothing", "wait");

		for (const Form &form : forms)
			for (size_t i = 0; i < servers.ends.size(); i++)
				routes += "," +
				    route(form.kind, form.state,
					std::to_string(i));
		store.put("config/main",
		    R"({"version":2,"routes":[)" + routes + "]}");
		wait_for_status("GET", "/safe/nothing/wait/0", "none", 200);
	}
	/** A route with two servers of its own, so that no case spoils others. */
	std::string
	route(const std::string &kind, const std::string &state,
	    const std::string &number)
	{
		std::string name = kind + "-" + state + "-" + number;

		for (const char *end : {"-1", "-2"})
			store.put("servers/" + name + end,
			    R"({"zone":"d","state":"ready","slots":8,)"
			    R"("service":")" +
				name + R"(","address":")" + scripted.address +
				"\"}");
		return R"({"name":")" + name +
		    R"(","host":"h","pathPrefix":"/)" + kind + "/" + state +
		    "/" + number + R"(/","service":")" + name +
		    R"(","maxAttempts":2,"timeoutMs":)" +
		    std::to_string(LIMIT_MS) + R"(,"kind":)" +
		    (kind == "safe"	     ? R"("safe"})"
			    : kind == "once" ? R"("non_idempotent"})"
			    : kind == "stream"
			    ? R"("streaming"})"
			    : R"("streaming","resumable":true})");
	}
	void
	start_call(
	    const std::string &kind, const std::string &state, size_t number)
	{
		const char *name = servers.ends[number].name;
		Call call = {};

		call.may_be_whole =
		    kind == "again" && servers.ends[number].is_rest;
		call.id = kind + "-" + state + "-" + std::to_string(number);
		call.what = kind + ", " + state + ", " +
		    (name != nullptr
			    ? name
			    : servers.ends[number].answer.substr(9, 3));
		call.is_followed = true;
		call.open = true;
		call.begin = std::chrono::steady_clock::now();
		call.fd = send_request(callers,
		    "POST /" + kind + "/" + state + "/" +
			std::to_string(number) +
			"/0 HTTP/1.1\r\nHost: h\r\n"
			"X-Jujubeswitch-Request-Id: " +
			call.id + "\r\nContent-Length: 0\r\n\r\n");
		calls.push_back(call);
	}
	static bool
	is_whole(const std::string &text)
	{
		size_t body = text.find("\r\n\r\n");
		size_t length = text.find("Content-Length: ");

		if (body == std::string::npos)
			return false;
		if (text.find("Transfer-Encoding: chunked") < body)
			return text.find("\r\n0\r\n\r\n") != std::string::npos;
		if (length > body)
			return text.compare(9, 3, "204") == 0 ||
			    text.compare(9, 3, "304") == 0;
		return text.size() - body - 4 >=
		    std::stoul(text.substr(length + 16));
	}
	static long
	age_ms(const Call &call)
	{
		return (long)
		    std::chrono::duration_cast<std::chrono::milliseconds>(
			std::chrono::steady_clock::now() - call.begin)
			.count();
	}
	/** Waits for answers; false if each call has ended or is too late. */
	bool
	receive_some(int most_ms)
	{
		std::vector<pollfd> waits;
		std::vector<Call *> followed;

		for (Call &call : calls) {
			if (!call.is_followed)
				continue;
			waits.push_back({call.fd, POLLIN, 0});
			followed.push_back(&call);
		}
		(void)poll(waits.data(), waits.size(), most_ms);
		for (size_t i = 0; i < waits.size(); i++)
			receive(followed[i], waits[i].revents != 0);
		return !followed.empty();
	}
	static void
	receive(Call *call, bool is_readable)
	{
		char bytes[4096];
		ssize_t size;

		call->took_ms = age_ms(*call);
		if (is_readable && call->took_ms < LIMIT_MS + LATE_MS) {
			size = recv(call->fd, bytes, sizeof(bytes), 0);
			if (size > 0)
				call->text.append(bytes, (size_t)size);
			call->open = size > 0 && !is_whole(call->text);
		}
		call->is_followed =
		    call->open && call->took_ms < LIMIT_MS + LATE_MS;
		if (!call->is_followed)
			(void)close(call->fd);
	}
	void
	check(const Call &call)
	{
		int status = call.text.size() > 12
		    ? std::stoi(call.text.substr(9, 3))
		    : 0;
		size_t second = call.text.find("HTTP/1.1", 1);

		EXPECT_FALSE(call.open)
		    << call.what << ": no end after " << call.took_ms << " ms";
		EXPECT_EQ(std::string::npos, second)
		    << call.what << ": two answers";
		bool is_promise = status == 408 || status == 421 ||
		    status == 429 || status == 503;

		EXPECT_FALSE(is_promise && servers.has_run(call.id))
		    << call.what << ": " << status << ", and has run";
		bool begun_as_stream =
		    call.text.find("data: a") != std::string::npos;

		if (begun_as_stream) {
			EXPECT_EQ(call.may_be_whole, is_whole(call.text))
			    << call.what
			    << (call.may_be_whole
				       ? ": is cut"
				       : ": a part passes for the whole");
		} else if (!call.open) {
			EXPECT_NE(0, status) << call.what << ": no answer";
		}
	}
};

/* Guards against a call that a server's answer neither goes on nor ends. */
TEST_F(CallEnd, IsSeenByEachCaller)
{
	for (const Form &form : forms)
		for (size_t i = 0; i < servers.ends.size(); i++) {
			start_call(form.kind, form.state, i);
			(void)receive_some(0);
		}
	while (receive_some(10))
		;
	for (const Call &call : calls)
		check(call);
}

} // namespace
