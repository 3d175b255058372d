/*
 * Contract tests of the stand-ins for backend servers, as specified in
 * docs/interfaces/ENGINE.md and SERVICE.md. Each case starts its own processes.
 */
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <xxhash.h>

#include "tests/system/harness.h"

using harness::call;
using harness::reply_t;
using harness::strings_t;
using harness::wait_until;

namespace
{

/* Sends a request without reading the answer; cleaning up the handle closes
 * the connection. */
CURL *
send_only(
    const std::string &base, const std::string &path, const std::string &body)
{
	std::string request = "POST " + path +
	    " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
	CURL *curl = curl_easy_init();
	size_t sent = 0;

	curl_easy_setopt(curl, CURLOPT_URL, base.c_str());
	curl_easy_setopt(curl, CURLOPT_CONNECT_ONLY, 1L);
	EXPECT_EQ(curl_easy_perform(curl), CURLE_OK);
	EXPECT_EQ(curl_easy_send(curl, request.data(), request.size(), &sent),
	    CURLE_OK);
	EXPECT_EQ(sent, request.size());
	return curl;
}

/* A stand-in process, killed at the end of its case. Its first log line must
 * contain its addresses. */
class backend_t
{
      public:
	std::string data;
	std::string control;

	explicit backend_t(const std::string &program, strings_t options = {})
	    : process(program, std::move(options), folder + "/log")
	{
		process.start();
		wait_until(program + " prints a line",
		    [this] { return !process.is_alive() || !line(0).empty(); });
		EXPECT_EQ(line(0).find("event=listening "), 0u) << line(0);
		data = "http://" + field("address=");
		control = "http://" + field("control=") + "/control";
	}
	~backend_t()
	{
		process.kill();
		if (testing::Test::HasFailure())
			fputs(process.log_text().c_str(), stderr);
		unlink((folder + "/log").c_str());
		rmdir(folder.c_str());
	}
	backend_t(const backend_t &) = delete;

	/* A complete line of the log, counted from 0; empty if there is
	 * none. */
	std::string
	line(int number) const
	{
		std::string text = process.log_text();
		size_t at = 0;
		size_t end = text.find('\n');

		for (; number > 0 && end != std::string::npos; number--) {
			at = end + 1;
			end = text.find('\n', at);
		}
		return end == std::string::npos ? ""
						: text.substr(at, end - at);
	}
	int
	wait_exit()
	{
		return process.wait_exit();
	}
	void
	terminate()
	{
		process.terminate();
	}
	void
	fault(const std::string &json) const
	{
		EXPECT_EQ(call("POST", control + "/fault", json).status, 200);
	}
	std::string
	wait_for(const std::string &path, const std::string &part) const
	{
		return wait_for_url(control + path, part);
	}
	/* Repeats a GET until the body contains a part. */
	static std::string
	wait_for_url(const std::string &url, const std::string &part)
	{
		std::string body;

		wait_until(url + " shows " + part, [&] {
			body = call("GET", url).body;
			return body.find(part) != std::string::npos;
		});
		return body;
	}

      private:
	char name[32] = "/tmp/jujube-test-XXXXXX";
	std::string folder = mkdtemp(name);
	harness::process_t process;

	std::string
	field(const std::string &name) const
	{
		std::string first = line(0);
		size_t at = first.find(name);

		if (at == std::string::npos)
			return "";
		at += name.size();
		return first.substr(at, first.find(' ', at) - at);
	}
};

std::string
completion_body(const std::string &prompt, int tokens, bool stream)
{
	return "{\"prompt\":\"" + prompt +
	    "\",\"max_tokens\":" + std::to_string(tokens) +
	    (stream ? ",\"stream\":true}" : "}");
}

/* The tokens expected for a prompt, from one index up to another. */
std::string
text_of(const std::string &prompt, int from, int to)
{
	char token[40];
	std::string text;

	for (int i = from; i < to; i++) {
		snprintf(token, sizeof(token), "w%d-%08x ", i,
		    (unsigned)XXH3_64bits(prompt.data(), prompt.size()));
		text += token;
	}
	return text;
}

/* Concatenates the text of all events of a streamed answer. */
std::string
streamed_text(const std::string &events)
{
	std::string text;
	size_t at = 0;

	while ((at = events.find("data: {", at)) != std::string::npos) {
		json_t *json = json_loads(
		    events.c_str() + at + 6, JSON_DISABLE_EOF_CHECK, nullptr);
		json_t *choice =
		    json_array_get(json_object_get(json, "choices"), 0);
		json_t *chat = json_object_get(choice, "delta");
		const char *part =
		    json_string_value(chat ? json_object_get(chat, "content")
					   : json_object_get(choice, "text"));
		text += part ? part : "?";
		json_decref(json);
		at++;
	}
	return text;
}

const std::string DONE = "data: [DONE]\n\n";

TEST(EngineContract, AnswersInTheWidelyUsedShapes)
{
	const std::string chat =
	    "{\"messages\":[{\"role\":\"user\",\"content\":\"a\"},"
	    "{\"role\":\"user\",\"content\":\"b\"}],\"max_tokens\":3";
	const struct {
		const char *name;
		const char *path;
		std::string body;
		std::string prompt;
		int tokens;
		bool stream;
		const char *reason;
	} cases[] = {
	    {"whole", "/v1/completions", completion_body("a", 3, false), "a", 3,
		false, "\"length\""},
	    {"stream", "/v1/completions", completion_body("a", 3, true), "a", 3,
		true, "\"length\""},
	    {"default length", "/v1/completions", "{\"prompt\":\"a\"}", "a", 16,
		false, "\"length\""},
	    {"ends by itself", "/v1/completions",
		completion_body("<<stop 2>>", 9, true), "<<stop 2>>", 2, true,
		"\"stop\""},
	    {"chat", "/v1/chat/completions", chat + "}", "a\nb", 3, false,
		"\"length\""},
	    {"chat stream", "/v1/chat/completions", chat + ",\"stream\":true}",
		"a\nb", 3, true, "\"length\""},
	};
	backend_t engine("standin-engine", {"--step-ms=1"});

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		reply_t reply = call("POST", engine.data + c.path, c.body,
		    {"Jujube-Request: r1"});
		std::string text = text_of(c.prompt, 0, c.tokens);
		EXPECT_EQ(reply.status, 200);
		EXPECT_EQ(reply.header("Jujube-Request"), "r1");
		EXPECT_NE(reply.header("Jujube-Stream"), "");
		EXPECT_EQ(reply.header("Jujube-Boot").size(), 16u);
		EXPECT_TRUE(reply.has(c.reason)) << reply.body;
		EXPECT_TRUE(reply.has(
		    "\"completion_tokens\":" + std::to_string(c.tokens)));
		EXPECT_EQ(reply.has(DONE), c.stream);
		if (c.stream)
			EXPECT_EQ(streamed_text(reply.body), text);
		else
			EXPECT_TRUE(reply.has("\"" + text + "\""));
	}
}

TEST(EngineContract, InjectsEachFaultAsDocumented)
{
	const struct {
		const char *name;
		const char *fault;
		std::string body;
		CURLcode code;
		long status;
		const char *contains;
		std::string text;
		const char *outcome;
	} cases[] = {
	    {"truncated", "{\"truncate_next\":1}",
		completion_body("p", 4, true), CURLE_OK, 200, "",
		text_of("p", 0, 2), "failed"},
	    {"broken", "{\"break_next\":1}", completion_body("p", 400, true),
		CURLE_PARTIAL_FILE, 200, "Jujube-Stream", "", "gone"},
	    {"failed", "{\"fail_share\":1}", completion_body("p", 4, true),
		CURLE_OK, 500, "problem+json", "", "failed"},
	    {"refused", "{\"refuse\":true}", completion_body("p", 4, true),
		CURLE_OK, 503, "problem+json", "", nullptr},
	    {"leaving", "{\"leaving\":true}", completion_body("p", 4, true),
		CURLE_OK, 503, "Jujube-Leaving: 1", "", nullptr},
	    {"for good", "{}", completion_body("<<refuse>>", 4, true), CURLE_OK,
		400, "problem+json", "", nullptr},
	    {"cut", "{\"cut\":[\"n1\"]}", completion_body("p", 4, true),
		CURLE_GOT_NOTHING, 0, "", "", nullptr},
	    {"malformed", "{}", "{\"prompt\":1}", CURLE_OK, 400, "prompt", "",
		nullptr},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		backend_t engine("standin-engine", {"--step-ms=1"});
		engine.fault(c.fault);
		reply_t reply = call("POST", engine.data + "/v1/completions",
		    c.body, {"Jujube-Client: n1", "Jujube-Class: batch"});
		EXPECT_EQ(reply.code, c.code);
		EXPECT_EQ(reply.status, c.status);
		EXPECT_TRUE(reply.has(c.contains)) << reply.headers;
		EXPECT_FALSE(reply.has(DONE));
		EXPECT_EQ(streamed_text(reply.body), c.text);
		if (c.outcome == nullptr) {
			engine.wait_for("/records", "[]");
			continue;
		}
		std::string records = engine.wait_for("/records",
		    std::string("\"outcome\":\"") + c.outcome + "\"");
		EXPECT_NE(records.find("\"batch\":true"), std::string::npos);
	}
}

/*
 * A caller's stream is interrupted and the caller asks to resume it, but the
 * engine was restarted meanwhile or the stream is unknown. Stream ids restart
 * with each boot, so without the check of the boot id the caller would receive
 * another caller's text.
 */
TEST(EngineContract, ResumesOnlyTheSameStream)
{
	backend_t engine("standin-engine", {"--step-ms=1"});
	engine.fault("{\"truncate_next\":1}");
	reply_t first = call("POST", engine.data + "/v1/completions",
	    completion_body("p", 4, true));
	std::string id = first.header("Jujube-Stream");
	std::string boot = first.header("Jujube-Boot");
	const struct {
		const char *name;
		std::string id;
		std::string boot;
		int from;
		long status;
		std::string text;
	} cases[] = {
	    {"another boot", id, "0123456789abcdef", 1, 409, ""},
	    {"unknown", "999", boot, 0, 404, ""},
	    {"ahead of the stream", id, boot, 3, 400, ""},
	    {"goes on", id, boot, 1, 200, text_of("p", 1, 4)},
	    {"was whole already", id, boot, 0, 200, text_of("p", 0, 4)},
	    {"only the end", id, boot, 4, 200, ""},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		reply_t reply = call("POST",
		    engine.data + "/v1/streams/" + c.id + "/resume",
		    "{\"boot\":\"" + c.boot +
			"\",\"from\":" + std::to_string(c.from) + "}");
		EXPECT_EQ(reply.status, c.status);
		EXPECT_EQ(streamed_text(reply.body), c.text);
		EXPECT_EQ(reply.has(DONE), c.status == 200);
	}
}

TEST(EngineContract, ResumesAnImportedStream)
{
	backend_t from("standin-engine", {"--step-ms=1"});
	backend_t to("standin-engine", {"--step-ms=1"});
	std::string prompt(600, 'x');

	from.fault("{\"truncate_next\":1}");
	call("POST", from.data + "/v1/completions",
	    completion_body(prompt, 4, true));
	reply_t blob = call("GET", from.data + "/v1/streams/1/kv");
	reply_t put = call("PUT", to.data + "/v1/kv", blob.body);
	EXPECT_TRUE(put.has("\"stream\":\"1\"")) << put.body;
	EXPECT_TRUE(put.has("\"position\":2")) << put.body;
	reply_t reply = call("POST", to.data + "/v1/streams/1/resume",
	    "{\"boot\":\"" + put.header("Jujube-Boot") + "\",\"from\":2}");
	EXPECT_EQ(streamed_text(reply.body), text_of(prompt, 2, 4));
	EXPECT_TRUE(reply.has("\"cached_tokens\":128")) << reply.body;
	EXPECT_EQ(call("PUT", to.data + "/v1/kv", "{}").status, 400);
	EXPECT_EQ(call("GET", to.data + "/v1/streams/9/kv").status, 404);
}

/*
 * An engine has one slot, and the caller of the stream in it disconnects. The
 * next request must get the slot, even when the lost stream writes nothing, so
 * that no failed write shows the loss. Otherwise one disconnected caller would
 * block the engine permanently.
 */
TEST(EngineContract, FreesTheSlotOfALostCaller)
{
	const struct {
		const char *name;
		std::string body;
	} cases[] = {
	    {"stream with tokens", completion_body("p", 100000, true)},
	    {"stream without a token", completion_body("<<hang>>", 1, true)},
	    {"whole answer", completion_body("<<hang>>", 1, false)},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		backend_t engine("standin-engine", {"--slots=1"});
		CURL *lost = send_only(engine.data, "/v1/completions", c.body);
		engine.wait_for("/records", "\"outcome\":\"running\"");
		curl_easy_cleanup(lost);
		reply_t next = call("POST", engine.data + "/v1/completions",
		    completion_body("next", 1, false));
		EXPECT_EQ(next.status, 200);
		engine.wait_for("/records", "\"outcome\":\"gone\"");
	}
}

TEST(EngineContract, FreesTheSlotOfACancelledStream)
{
	const struct {
		const char *name;
		bool stream;
		long status;
	} cases[] = {{"stream", true, 200}, {"whole", false, 409}};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		backend_t engine("standin-engine", {"--slots=1"});
		std::string cancel = engine.data + "/v1/streams/1/cancel";
		reply_t first;
		std::thread caller([&] {
			first = call("POST", engine.data + "/v1/completions",
			    completion_body("<<hang>>", 1, c.stream));
		});
		engine.wait_for("/records", "\"outcome\":\"running\"");
		EXPECT_TRUE(call("POST", cancel).has("\"cancelled\":true"));
		EXPECT_TRUE(call("POST", cancel).has("\"cancelled\":false"));
		caller.join();
		EXPECT_EQ(first.status, c.status);
		EXPECT_FALSE(first.has(DONE));
		reply_t next = call("POST", engine.data + "/v1/completions",
		    completion_body("next", 1, false));
		EXPECT_EQ(next.status, 200);
		engine.wait_for("/records", "\"outcome\":\"cancelled\"");
	}
}

/*
 * Two VMs both act as the engine's controller, and an order is resent because
 * its answer was lost. An engine that checks fences refuses the order with the
 * older one. A resent order must not run twice, with or without the check.
 */
TEST(EngineContract, TakesOrders)
{
	const struct {
		const char *name;
		const char *order;
		long checked;
		long ignored;
	} cases[] = {
	    {"first",
		R"({"fence":5,"order":"load","model":"b",)"
		R"("order_id":"o1"})",
		200, 200},
	    {"older fence", R"({"fence":4,"order":"role","role":"old"})", 409,
		200},
	    {"repeated",
		R"({"fence":5,"order":"load","model":"b",)"
		R"("order_id":"o1"})",
		200, 200},
	    {"newer", R"({"fence":6,"order":"unload","model":"b"})", 200, 200},
	    {"repeated after a newer fence",
		R"({"fence":5,"order":"load","model":"b","order_id":"o1"})",
		200, 200},
	    {"no fence", R"({"order":"load","model":"b"})", 400, 400},
	};

	for (bool checks : {true, false}) {
		backend_t engine("standin-engine",
		    {checks ? "--fencing=check" : "--fencing=ignore"});
		std::string url = engine.data + "/orders";
		for (const auto &c : cases) {
			SCOPED_TRACE(c.name);
			EXPECT_EQ(call("POST", url, c.order).status,
			    checks ? c.checked : c.ignored);
		}
		reply_t state = call("GET", url);
		EXPECT_FALSE(state.has("\"model\":\"b\",\"version\""));
		EXPECT_TRUE(state.has("\"fence\":6,\"applied\""));
		EXPECT_EQ(state.has("\"role\":\"old\""), !checks);
	}
}

TEST(EngineContract, CachesAndEvictsPrefixesAndReportsEvents)
{
	const struct {
		const char *name;
		const char *gap;
		bool shown;
	} cases[] = {{"all shown", "--event-gap=0", true},
	    {"all lost", "--event-gap=1", false}};
	std::string a(512, 'a');
	std::string b(512, 'b');

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		backend_t engine("standin-engine",
		    {"--cache-blocks=2", "--step-ms=1", "--event-lag-ms=0",
			c.gap});
		std::string url = engine.data + "/v1/completions";
		EXPECT_TRUE(call("POST", url, completion_body(a, 1, false))
				.has("\"cached_tokens\":0"));
		EXPECT_TRUE(call("POST", url, completion_body(a, 1, false))
				.has("\"cached_tokens\":128"));
		EXPECT_TRUE(call("POST", url, completion_body(b, 1, false))
				.has("\"cached_tokens\":0"));
		EXPECT_TRUE(call("POST", url, completion_body(a, 1, false))
				.has("\"cached_tokens\":0"));
		reply_t events =
		    call("GET", engine.data + "/cache/events?since=0");
		EXPECT_TRUE(events.has("\"next\":10")) << events.body;
		EXPECT_EQ(events.has("\"op\":\"evict\""), c.shown);
	}
}

/*
 * An engine is stopped gracefully while some requests run and others wait in
 * its queue. A step takes longer than the interval of the checks whether the
 * caller is still connected, so that an answer abandoned by the stop would
 * fail the test.
 */
TEST(EngineContract, RunsAtMostItsSlotsAndFinishesBeforeItEnds)
{
	backend_t engine(
	    "standin-engine", {"--slots=2", "--step-ms=60", "--load-lag-ms=0"});
	std::vector<reply_t> replies(5);
	std::vector<std::thread> callers;

	for (size_t i = 0; i < replies.size(); i++) {
		callers.emplace_back([&replies, &engine, i] {
			replies[i] =
			    call("POST", engine.data + "/v1/completions",
				completion_body("p", 4, i % 2 == 0));
		});
	}
	engine.wait_for_url(
	    engine.data + "/load", "\"running\":2,\"waiting\":3");
	engine.terminate();
	for (std::thread &caller : callers)
		caller.join();
	for (const reply_t &reply : replies)
		EXPECT_TRUE(reply.has("\"completion_tokens\":4"));
	EXPECT_EQ(engine.wait_exit(), 0);
}

TEST(EngineContract, ReportsLoadLateAndFrozen)
{
	backend_t engine("standin-engine", {"--load-lag-ms=0"});
	std::string url = engine.data + "/v1/completions";
	std::vector<std::thread> callers;

	for (int i = 0; i < 2; i++) {
		callers.emplace_back([&] {
			call(
			    "POST", url, completion_body("<<hang>>", 1, false));
		});
	}
	engine.wait_for_url(engine.data + "/load", "\"running\":2");
	engine.fault("{\"load_frozen\":true}");
	for (const char *id : {"1", "2"})
		call("POST", engine.data + "/v1/streams/" + id + "/cancel");
	for (std::thread &caller : callers)
		caller.join();
	/* By the time this is answered, the load report would have been
	 * refreshed if it were not frozen. */
	EXPECT_EQ(
	    call("POST", url, completion_body("next", 1, false)).status, 200);
	EXPECT_TRUE(call("GET", engine.data + "/load").has("\"running\":2"));
	engine.fault("{\"load_frozen\":false}");
	engine.wait_for_url(engine.data + "/load", "\"running\":0");
}

TEST(EngineContract, CrashesOnceTheRequestIsAdmitted)
{
	for (bool crashes : {true, false}) {
		backend_t engine("standin-engine",
		    crashes ? strings_t{} : strings_t{"--no-crash"});
		reply_t reply = call("POST", engine.data + "/v1/completions",
		    completion_body("<<crash>>", 1, false));
		EXPECT_EQ(reply.status, crashes ? 0 : 200);
		if (crashes) {
			EXPECT_EQ(engine.wait_exit(), 1);
		}
	}
}

TEST(ServiceContract, RunsACallAndAnswersWithTheInjectedFault)
{
	const struct {
		const char *name;
		const char *fault;
		CURLcode code;
		long status;
		int runs;
	} cases[] = {
	    {"plain", "{}", CURLE_OK, 200, 2},
	    {"slow", "{\"delay_ms\":5}", CURLE_OK, 200, 2},
	    {"leaving", "{\"leaving\":true}", CURLE_OK, 503, 0},
	    {"refused", "{\"refuse\":true}", CURLE_OK, 503, 0},
	    {"run and 503", "{\"run_then_503\":2}", CURLE_OK, 503, 2},
	    {"run and broken", "{\"run_then_break\":2}", CURLE_GOT_NOTHING, 0,
		2},
	    {"run and failed", "{\"fail_share\":1}", CURLE_OK, 500, 2},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		backend_t service("standin-service");
		service.fault(c.fault);
		for (int i = 0; i < 2; i++) {
			reply_t reply = call("POST",
			    service.data + "/call/book", "{\"a\":1}",
			    {"Idempotency-Key: k1", "Jujube-Request: r1"});
			EXPECT_EQ(reply.code, c.code);
			EXPECT_EQ(reply.status, c.status);
			if (c.status == 200) {
				EXPECT_TRUE(reply.has(
				    "\"key\":\"k1\",\"echo\":{\"a\":1}"));
			}
		}
		char counts[64];
		snprintf(counts, sizeof(counts),
		    "{\"runs\":%d,\"keys\":%d,\"doubled\":%d}", c.runs,
		    c.runs > 0, c.runs > 1);
		EXPECT_EQ(
		    call("GET", service.control + "/counts").body, counts);
	}
}

TEST(ServiceContract, PrintsTheRunThatCrashesIt)
{
	backend_t service("standin-service");
	reply_t reply = call("POST", service.data + "/call/book",
	    "\"<<crash>>\"", {"Idempotency-Key: k1"});

	EXPECT_EQ(reply.status, 0);
	EXPECT_EQ(service.wait_exit(), 1);
	EXPECT_EQ(service.line(1).substr(0, 35),
	    "event=run run=1 name=book key=k1 re");
}

TEST(ServiceContract, NeverAnswersAHungCallAndStillEnds)
{
	backend_t service("standin-service");
	reply_t reply;

	service.fault("{\"run_then_hang\":1}");
	std::thread caller(
	    [&] { reply = call("POST", service.data + "/call/book", "{}"); });
	service.wait_for("/counts", "\"runs\":1");
	service.terminate();
	EXPECT_EQ(service.wait_exit(), 0);
	caller.join();
	EXPECT_EQ(reply.status, 0);
}

} /* namespace */
